"""What goes on at each server over all hosts, kept up word by word."""

from collections.abc import Mapping

from dewridge.gateway.reports import ZERO_SERVER_TOTALS, ServerTotals
from dewridge.ids import BackendServerId

Source = str
"""Who tells: a host of the own cell, or another cell as a whole."""
ServerTotalsMap = Mapping[BackendServerId, ServerTotals]


class ServerSums:
    """Sums over the last word of each source.

    A large fleet tells of all its servers some forty times a second, and each request
    asks for the sums. Added up anew for each request they took more processor time
    than all else that is done for it; here a word costs what it changes.

    Attributes:
        totals: the sums; a server of which nobody tells is missing.
    """

    def __init__(self) -> None:
        self.totals: dict[BackendServerId, ServerTotals] = {}
        self._reported: dict[Source, ServerTotalsMap] = {}

    def __contains__(self, source: Source) -> bool:
        """Whether a source's word counts."""
        return source in self._reported

    def replace(self, source: Source, told: ServerTotalsMap) -> None:
        """Take over a source's word in place of its last one."""
        before = self._reported.get(source, {})
        self._reported[source] = told
        for server, now in told.items():
            known = before.get(server, ZERO_SERVER_TOTALS)
            if now != known:
                self._apply_change(server, known, now)
        for server in before.keys() - told.keys():
            self._apply_change(server, before[server], ZERO_SERVER_TOTALS)
            if self.totals[server] == ZERO_SERVER_TOTALS:
                del self.totals[server]

    def drop(self, source: Source) -> None:
        """Count a source no longer."""
        if source in self._reported:
            self.replace(source, {})
            del self._reported[source]

    def _apply_change(
        self, server: BackendServerId, known: ServerTotals, now: ServerTotals
    ) -> None:
        total = self.totals.get(server)
        if total is None:
            total = self.totals[server] = ServerTotals()
        total.requests += now.requests - known.requests
        total.tokens += now.tokens - known.tokens
        total.attempts += now.attempts - known.attempts
        total.failures += now.failures - known.failures
