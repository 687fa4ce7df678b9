"""What requests began at other hosts, by usage window and account."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from dewridge.gateway.reports import HostUsage, Start, UsageCounts, UsageReport
from dewridge.ids import ClientAccount

Counts = dict[ClientAccount, int]


@dataclass
class FleetUsage:
    """Counts of each start of a host, kept beyond its end.

    Attributes:
        began: the counts, by window and start.
        counted_until: the window in which each start last told this host its usage as
            the holder of the duties; its counts of earlier ones are complete.
    """

    began: dict[int, dict[Start, Counts]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    counted_until: dict[Start, int] = field(default_factory=dict)

    def note(self, start: Start, began: UsageCounts) -> None:
        """Take over counts, which only grow; older words may come later."""
        for window, counts in began.items():
            known = self.began[window].setdefault(start, {})
            for account, count in counts.items():
                known[account] = max(count, known.get(account, 0))

    def note_report(self, report: UsageReport, own: Start) -> None:
        """Take over what was told to this host as the holder of the duties.

        Several hosts may tell of a start that is gone, and each may have missed its
        last word.
        """
        for usage in report.usage:
            start = (usage.host, usage.boot)
            if start != own:
                self.note(start, usage.began)
        teller = (report.host, report.boot)
        told = self.counted_until.get(teller, report.window)
        self.counted_until[teller] = max(told, report.window)

    def is_incomplete(self, start: Start, window: int) -> bool:
        """Whether a start's counts of a window may still grow, or are not told yet."""
        return self.counted_until.get(start, window) <= window

    def list_gone(self, live: set[Start]) -> list[HostUsage]:
        """Return the usage of starts that are not among the live ones."""
        gone: dict[Start, UsageCounts] = defaultdict(dict)
        for window, by_start in self.began.items():
            for start, counts in by_start.items():
                if start not in live:
                    gone[start][window] = counts
        return [HostUsage(host, boot, began) for (host, boot), began in gone.items()]

    def sum(self, window: int, own: Counts) -> Counts:
        """Return all hosts' usage in a window, with this host's own."""
        return _add_counts([own, *self.began.get(window, {}).values()])

    def forget_before(self, window: int) -> None:
        """Forget the windows before this one."""
        for old in [known for known in self.began if known < window]:
            del self.began[old]
        self.counted_until = {
            start: told for start, told in self.counted_until.items() if told >= window
        }


def _add_counts(parts: Iterable[Counts]) -> Counts:
    total: Counts = defaultdict(int)
    for part in parts:
        for account, count in part.items():
            total[account] += count
    return dict(total)
