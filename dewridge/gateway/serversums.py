"""What goes on at each server over all hosts, kept up word by word."""

from collections.abc import Mapping

from dewridge.gateway.reports import NOTHING, ServerTotals
from dewridge.ids import BackendServerId

Source = str
"""Who tells: a host of the own cell, or another cell as a whole."""
Told = Mapping[BackendServerId, ServerTotals]


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
        self._told: dict[Source, Told] = {}

    def __contains__(self, source: Source) -> bool:
        """Whether a source's word counts."""
        return source in self._told

    def replace(self, source: Source, told: Told) -> None:
        """Take over a source's word in place of its last one."""
        before = self._told.get(source, {})
        self._told[source] = told
        for server, now in told.items():
            known = before.get(server, NOTHING)
            if now != known:
                self._change(server, known, now)
        for server in before.keys() - told.keys():
            self._change(server, before[server], NOTHING)
            if self.totals[server] == NOTHING:
                del self.totals[server]

    def drop(self, source: Source) -> None:
        """Count a source no longer."""
        if source in self._told:
            self.replace(source, {})
            del self._told[source]

    def _change(
        self, server: BackendServerId, known: ServerTotals, now: ServerTotals
    ) -> None:
        total = self.totals.get(server)
        if total is None:
            total = self.totals[server] = ServerTotals()
        total.requests += now.requests - known.requests
        total.tokens += now.tokens - known.tokens
        total.attempts += now.attempts - known.attempts
        total.failures += now.failures - known.failures
