"""State of another cell, merged from the reports of its hosts."""

from dataclasses import dataclass, field

from dewridge.gateway.reports import CellReport, OutcomeKey
from dewridge.ids import ClientAccount, HostId, ServiceName
from dewridge.policy.mergedtotals import MergedTotals
from dewridge.policy.workdemand import MAX_GROWTH_MS


@dataclass
class SourceView:
    """The last report of one host on its cell."""

    report: CellReport
    received_at: float


@dataclass
class CellView:
    """State of another cell.

    Attributes:
        sources: the last report of each of its hosts that reports on it.
        quota_usage: usage of each account in the cell.
        quota_demand: demand of each account in the cell.
        token_demand: prompt tokens that arrived for each service in the cell.
        outcomes: counters of rollout outcomes in the cell.
        work_demand: work in ms that arrived in the cell, by service and urgency.
    """

    sources: dict[HostId, SourceView] = field(default_factory=dict)
    quota_usage: MergedTotals[ClientAccount] = field(default_factory=MergedTotals)
    quota_demand: MergedTotals[ClientAccount] = field(default_factory=MergedTotals)
    token_demand: MergedTotals[ServiceName] = field(default_factory=MergedTotals)
    outcomes: MergedTotals[OutcomeKey] = field(default_factory=MergedTotals)
    work_demand: MergedTotals[str] = field(
        default_factory=lambda: MergedTotals(max_growth=MAX_GROWTH_MS)
    )

    @property
    def received_at(self) -> float:
        """Monotonic time at which the last report on the cell was received."""
        return max(view.received_at for view in self.sources.values())

    @property
    def newest_report(self) -> CellReport:
        """The last report received on the cell."""
        newest = max(self.sources.values(), key=lambda view: view.received_at)
        return newest.report

    def reset_baselines(self) -> None:
        """Count no growth up to the next report of each source.

        While the cell was silent, its hosts used only their share of each quota. This
        growth must not be deducted from the quotas a second time.
        """
        for totals in (
            self.quota_usage,
            self.quota_demand,
            self.token_demand,
            self.outcomes,
            self.work_demand,
        ):
            totals.reset_baselines()
