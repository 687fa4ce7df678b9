"""Numbers of requests started at other hosts, by usage window and account."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from dewridge.gateway.reports import (
    HostIncarnation,
    HostUsage,
    UsageCounts,
    UsageReport,
)
from dewridge.ids import ClientAccount

MAX_WINDOWS_AHEAD = 1_000
"""Windows ahead of the oldest retained one from which counts are discarded. Clocks
differ by far less, and the counts of damaged reports would never be too old."""

AccountCounts = dict[ClientAccount, int]


@dataclass
class FleetUsage:
    """Counts of each host incarnation, retained after it has departed.

    Attributes:
        counts_by_window: the counts, by window and incarnation.
        complete_before: window in which each incarnation last reported its usage to
            this host as the holder of the duties. Its counts of earlier windows are
            complete.
    """

    counts_by_window: dict[int, dict[HostIncarnation, AccountCounts]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    complete_before: dict[HostIncarnation, int] = field(default_factory=dict)

    def merge_counts(
        self, incarnation: HostIncarnation, usage_counts: UsageCounts
    ) -> None:
        """Merge counts of an incarnation by maximum.

        Counts only grow, and older reports may arrive later.
        """
        for window, counts in usage_counts.items():
            known = self.counts_by_window[window].setdefault(incarnation, {})
            for account, count in counts.items():
                known[account] = max(count, known.get(account, 0))

    def apply_report(self, report: UsageReport, local: HostIncarnation) -> None:
        """Apply a usage report sent to this host as the holder of the duties.

        Several hosts may report for a departed incarnation, and each of them may have
        missed its last report.

        Args:
            report: the usage report.
            local: the incarnation of this host, whose own counts are not overwritten.
        """
        for usage in report.usage:
            incarnation = (usage.host, usage.boot)
            if incarnation != local:
                self.merge_counts(incarnation, usage.usage_counts)
        sender = (report.host, report.boot)
        known = self.complete_before.get(sender, report.window)
        self.complete_before[sender] = max(known, report.window)

    def is_incomplete(self, incarnation: HostIncarnation, window: int) -> bool:
        """Whether counts of a window may still grow or have not been reported yet."""
        return self.complete_before.get(incarnation, window) <= window

    def list_departed(self, live: set[HostIncarnation]) -> list[HostUsage]:
        """Return the usage of the incarnations that are not among the live ones."""
        departed: dict[HostIncarnation, UsageCounts] = defaultdict(dict)
        for window, by_incarnation in self.counts_by_window.items():
            for incarnation, counts in by_incarnation.items():
                if incarnation not in live:
                    departed[incarnation][window] = counts
        return [
            HostUsage(host, boot, usage_counts)
            for (host, boot), usage_counts in departed.items()
        ]

    def sum(self, window: int, local: AccountCounts) -> AccountCounts:
        """Return the sum of a window over all hosts, given the counts of this host."""
        return _add_counts([local, *self.counts_by_window.get(window, {}).values()])

    def discard_before(self, window: int) -> None:
        """Discard the counts of windows before this one, and of those far ahead."""
        retained = range(window, window + MAX_WINDOWS_AHEAD)
        for other in [at for at in self.counts_by_window if at not in retained]:
            del self.counts_by_window[other]
        self.complete_before = {
            incarnation: reported
            for incarnation, reported in self.complete_before.items()
            if reported in retained
        }


def _add_counts(parts: Iterable[AccountCounts]) -> AccountCounts:
    total: AccountCounts = defaultdict(int)
    for part in parts:
        for account, count in part.items():
            total[account] += count
    return dict(total)
