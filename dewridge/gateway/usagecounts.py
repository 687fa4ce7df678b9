"""What requests began at other hosts, by usage window and account."""

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

Counts = dict[ClientAccount, int]


@dataclass
class FleetUsage:
    """Counts of each start of a host, kept beyond its end.

    Attributes:
        counts_by_window: the counts, by window and start.
        complete_before: the window in which each start last told this host its usage as
            the holder of the duties; its counts of earlier ones are complete.
    """

    counts_by_window: dict[int, dict[HostIncarnation, Counts]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    complete_before: dict[HostIncarnation, int] = field(default_factory=dict)

    def merge_counts(self, start: HostIncarnation, began: UsageCounts) -> None:
        """Take over counts, which only grow; older words may come later."""
        for window, counts in began.items():
            known = self.counts_by_window[window].setdefault(start, {})
            for account, count in counts.items():
                known[account] = max(count, known.get(account, 0))

    def apply_report(self, report: UsageReport, own: HostIncarnation) -> None:
        """Take over what was told to this host as the holder of the duties.

        Several hosts may tell of a start that is gone, and each may have missed its
        last word.
        """
        for usage in report.usage:
            start = (usage.host, usage.boot)
            if start != own:
                self.merge_counts(start, usage.usage_counts)
        teller = (report.host, report.boot)
        told = self.complete_before.get(teller, report.window)
        self.complete_before[teller] = max(told, report.window)

    def is_incomplete(self, start: HostIncarnation, window: int) -> bool:
        """Whether a start's counts of a window may still grow, or are not told yet."""
        return self.complete_before.get(start, window) <= window

    def list_departed(self, live: set[HostIncarnation]) -> list[HostUsage]:
        """Return the usage of starts that are not among the live ones."""
        gone: dict[HostIncarnation, UsageCounts] = defaultdict(dict)
        for window, by_start in self.counts_by_window.items():
            for start, counts in by_start.items():
                if start not in live:
                    gone[start][window] = counts
        return [HostUsage(host, boot, began) for (host, boot), began in gone.items()]

    def sum(self, window: int, own: Counts) -> Counts:
        """Return all hosts' usage in a window, with this host's own."""
        return _add_counts([own, *self.counts_by_window.get(window, {}).values()])

    def discard_before(self, window: int) -> None:
        """Forget the windows before this one."""
        for old in [known for known in self.counts_by_window if known < window]:
            del self.counts_by_window[old]
        self.complete_before = {
            start: told
            for start, told in self.complete_before.items()
            if told >= window
        }


def _add_counts(parts: Iterable[Counts]) -> Counts:
    total: Counts = defaultdict(int)
    for part in parts:
        for account, count in part.items():
            total[account] += count
    return dict(total)
