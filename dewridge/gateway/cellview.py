"""What is known of another cell from the hosts that tell of it."""

from dataclasses import dataclass, field

from dewridge.gateway.reports import CellReport, OutcomeKey
from dewridge.ids import ClientAccount, HostId, ServiceName
from dewridge.policy.mergedtotals import MergedTotals


@dataclass
class SourceView:
    """The last word of one host on its cell."""

    report: CellReport
    received_at: float


@dataclass
class CellView:
    """What is known of another cell from all who told of it."""

    sources: dict[HostId, SourceView] = field(default_factory=dict)
    quota_usage: MergedTotals[ClientAccount] = field(default_factory=MergedTotals)
    quota_demand: MergedTotals[ClientAccount] = field(default_factory=MergedTotals)
    token_demand: MergedTotals[ServiceName] = field(default_factory=MergedTotals)
    outcomes: MergedTotals[OutcomeKey] = field(default_factory=MergedTotals)

    @property
    def received_at(self) -> float:
        """When the last word on it came."""
        return max(view.received_at for view in self.sources.values())

    @property
    def newest(self) -> CellReport:
        """The last word on it."""
        newest = max(self.sources.values(), key=lambda view: view.received_at)
        return newest.report

    def realign(self) -> None:
        """Leave what was counted since the last word to those who kept to a share."""
        for totals in (
            self.quota_usage,
            self.quota_demand,
            self.token_demand,
            self.outcomes,
        ):
            totals.realign()
