"""Load and recent failures at each server over all hosts, updated incrementally."""

from collections.abc import Mapping

from dewridge.gateway.reports import ZERO_SERVER_TOTALS, ServerTotals
from dewridge.ids import BackendServerId

Source = str
"""Sender of totals: a host of the local cell, or the name of another cell."""
ServerTotalsMap = Mapping[BackendServerId, ServerTotals]


class ServerSums:
    """Sums over the last totals of each source.

    In a large fleet some forty reports per second cover all servers, and each request
    reads the sums. Computing them for each request took more processor time than the
    rest of its handling; here the cost of a report is proportional to what it changes.

    Attributes:
        totals: the sums by server, without the servers that no source reports.
    """

    def __init__(self) -> None:
        self.totals: dict[BackendServerId, ServerTotals] = {}
        self._reported: dict[Source, ServerTotalsMap] = {}

    def __contains__(self, source: Source) -> bool:
        """Whether the sums include a source."""
        return source in self._reported

    def replace(self, source: Source, totals: ServerTotalsMap) -> None:
        """Replace the totals of a source, or add them if it has none."""
        previous = self._reported.get(source, {})
        self._reported[source] = totals
        if totals == previous:
            return
        for server, new in totals.items():
            old = previous.get(server, ZERO_SERVER_TOTALS)
            if new != old:
                self._apply_change(server, old, new)
        if previous.keys() <= totals.keys():
            return
        for server in previous.keys() - totals.keys():
            self._apply_change(server, previous[server], ZERO_SERVER_TOTALS)
            if self.totals[server] == ZERO_SERVER_TOTALS:
                del self.totals[server]

    def drop(self, source: Source) -> None:
        """Remove a source from the sums."""
        if source in self._reported:
            self.replace(source, {})
            del self._reported[source]

    def _apply_change(
        self, server: BackendServerId, old: ServerTotals, new: ServerTotals
    ) -> None:
        total = self.totals.get(server)
        if total is None:
            total = self.totals[server] = ServerTotals()
        total.requests += new.requests - old.requests
        total.tokens += new.tokens - old.tokens
        total.attempts += new.attempts - old.attempts
        total.failures += new.failures - old.failures
        total.pace_samples += new.pace_samples - old.pace_samples
        total.pace_sum += new.pace_sum - old.pace_sum
