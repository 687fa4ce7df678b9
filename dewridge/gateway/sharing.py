"""What a host knows from the others: use of quotas, work at servers, usage, life.

Hosts of the own cell tell their own totals, hosts of other cells the sums of theirs
(`dewridge.policy.cells`). All are running totals, so that a lost datagram costs nothing
but time. The period between two rounds grows with the messages of a round, so that a
host's cost stays the same in a larger fleet while news gets older; decisions allow for
its age.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

import trio
from loguru import logger as log

from dewridge.gateway.cellview import CellView, SourceView
from dewridge.gateway.reports import (
    NO_HOLDER,
    CellReport,
    DutyHolder,
    OutcomeKey,
    PeriodicReport,
    Report,
    ServerTotals,
    Totals,
)
from dewridge.gateway.serversums import ServerSums
from dewridge.gateway.usagecounts import FleetUsage
from dewridge.ids import BackendServerId, ClientAccount, HostId, ServiceName
from dewridge.policy.cells import CellName
from dewridge.policy.mergedtotals import find_growth

MIN_REPORT_PERIOD = 0.1
"""Seconds between two reports: a tenth of the shortest time to first token, so that
the others' load is known before it has changed much."""
REPORTS_PER_SECOND = 90.0
"""Datagrams a second that a host of a small fleet sends: about 2% of a core, for news
that are a tenth of a second old where each host takes much of the load."""
CELL_REPORTS_PER_SECOND = 40.0
"""The same in a large fleet: sums over many hosts change slowly, and each host has few
requests to set the cost of its reports against."""
SILENT_AFTER_PERIODS = 5
"""Periods without a report after which a host counts as silent: single datagrams get
lost, five in a row seldom."""
MIN_SILENCE = 0.6
"""Seconds that a host may be silent at least: a busy process stalls for tenths."""
SUMMARY_CACHE_TIME = 0.05
"""Seconds for which it stands who is heard: half of the shortest period. Looked at for
each request it took a large part of its processor time in a large fleet."""
DIRECT_STALENESS_PERIODS = 1.5
CELL_STALENESS_PERIODS = 2.5
"""Periods by which the others' news may lag: one on average until the next round and
half a one on the way or in a busy process; with cells, one more for the second step."""
CELL_RETENTION_TIME = 10.0
"""Seconds after its silence at which a host's word on its cell is forgotten: a cut of
that length must not be taken for a new cell when it heals."""

Name = TypeVar("Name", bound=str)


@dataclass
class PeerView:
    """The last report of one start of a host of the own cell."""

    report: Report
    received_at: float


@dataclass(frozen=True, slots=True)
class FleetSummary:
    """Sums over all other hosts that are heard.

    Attributes:
        live_hosts: the hosts that are heard, directly or through their cell.
        unready_hosts: those of them to which callers should not be sent.
        server_totals: what goes on at each server; it goes on changing.
    """

    live_hosts: frozenset[HostId]
    unready_hosts: frozenset[HostId]
    server_totals: dict[BackendServerId, ServerTotals]


def _ignore(*_: object) -> None:
    return


@dataclass
class SharedReports:
    """The last word of every host heard, and who is silent.

    Attributes:
        local_host: this host.
        boot: this start of it.
        on_quota_usage: told the growth of an account's use at other hosts.
        on_quota_demand: told the growth of what an account asked for at other hosts.
        on_token_demand: told the growth of the prompt tokens for a service at other
            hosts.
        on_outcomes: told the growth of a counter of rollout outcomes at other hosts.
        is_outcome_open: whether such a counter belongs to a rollout in progress.
        on_report: told the version in force at another host, and who left.
        started_at: steady time at which this process started.
        cell_peers: last report by host of the own cell.
        cells: the other cells.
        usage: what began at other hosts: the own cell's, and at the holder of the
            duties that of all.
        reports_received: those of hosts of the own cell.
        reports_missed: those of theirs that never came, or too late.
        holder: the holder of the duties.
        period: seconds between two rounds.
        has_cells: whether the fleet is large enough for cells.
        is_reader: whether this host follows the store for its cell.
        reader_count: hosts that follow the store.
    """

    local_host: HostId
    on_quota_usage: Callable[[HostId, ClientAccount, float, float], None]
    on_quota_demand: Callable[[ClientAccount, float, float], None] = _ignore
    on_token_demand: Callable[[ServiceName, float, float], None] = _ignore
    on_outcomes: Callable[[OutcomeKey, float], None] = _ignore
    is_outcome_open: Callable[[OutcomeKey], bool] = lambda name: True
    on_report: Callable[[PeriodicReport], None] = _ignore
    started_at: float = 0.0
    boot: int = 0
    cell_peers: dict[HostId, PeerView] = field(default_factory=dict)
    cells: dict[CellName, CellView] = field(default_factory=dict)
    usage: FleetUsage = field(default_factory=FleetUsage)
    reports_received: int = 0
    reports_missed: int = 0
    holder: DutyHolder = NO_HOLDER
    period: float = MIN_REPORT_PERIOD
    has_cells: bool = False
    is_reader: bool = True
    reader_count: int = 1
    _cell_quota_usage: dict[ClientAccount, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _cell_quota_demand: dict[ClientAccount, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _cell_token_demand: dict[ServiceName, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _cell_outcomes: dict[OutcomeKey, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _server_sums: ServerSums = field(default_factory=ServerSums)
    _summary: FleetSummary | None = None
    _summed_at: float = float("-inf")

    @property
    def staleness(self) -> float:
        """Seconds by which the others' news may lag."""
        return self.period * (
            CELL_STALENESS_PERIODS if self.has_cells else DIRECT_STALENESS_PERIODS
        )

    def apply_report(self, news: PeriodicReport, now: float) -> None:
        """Take over a message; late ones and those of earlier starts are dropped."""
        if news.host == self.local_host:
            return
        if isinstance(news, CellReport):
            is_taken = self._apply_cell_report(news, now)
        else:
            is_taken = self._apply_host_report(news, now)
        if is_taken:
            self.record_holder(news.holder)
            self.on_report(news)

    def _apply_host_report(self, report: Report, now: float) -> bool:
        known = self.cell_peers.get(report.host)
        was_silent = known is not None and self._is_stale(known.received_at, now)
        before = None
        if known is not None:
            order = (known.report.boot, known.report.number)
            if (report.boot, report.number) <= order:
                return False
            if report.boot == known.report.boot:
                before = known.report
        else:
            log.bind(host=report.host, boot=report.boot).info("peer heard")
        if was_silent:
            log.bind(host=report.host).info("peer heard again")
        else:
            self._apply_growth(report, before, now)
        self.usage.merge_counts((report.host, report.boot), report.usage_counts)
        self.reports_received += 1
        if before is not None:
            self.reports_missed += report.number - before.number - 1
        self.cell_peers[report.host] = PeerView(report, now)
        self._server_sums.replace(report.host, report.totals.servers)
        return True

    # A host that was silent kept to its share, and this one left that share to it. Its
    # use of that time must not be taken out once more: after a cut of ten seconds an
    # account would be refused for ten more at the host that was cut off.
    def _apply_growth(self, report: Report, before: Report | None, now: float) -> None:
        # What a host used before this one started is not in this one's buckets.
        if before is None and report.age > now - self.started_at:
            return
        earlier = before.totals if before is not None else Totals()
        totals = report.totals
        for account, grown in find_growth(
            totals.quota_usage, earlier.quota_usage
        ).items():
            self._cell_quota_usage[account] += grown
            self.on_quota_usage(report.host, account, grown, now)
        for account, grown in find_growth(
            totals.quota_demand, earlier.quota_demand
        ).items():
            self._cell_quota_demand[account] += grown
            self.on_quota_demand(account, grown, now)
        for service, grown in find_growth(
            totals.token_demand, earlier.token_demand
        ).items():
            self._cell_token_demand[service] += grown
            self.on_token_demand(service, grown, now)
        for name, grown in find_growth(totals.outcomes, earlier.outcomes).items():
            self._cell_outcomes[name] += grown
            self.on_outcomes(name, grown)

    def _apply_cell_report(self, report: CellReport, now: float) -> bool:
        cell = self.cells.setdefault(report.cell, CellView())
        known = cell.sources.get(report.host)
        if known is not None:
            order = (known.report.boot, known.report.number)
            if (report.boot, report.number) <= order:
                return False
        if cell.sources and self._is_stale(cell.received_at, now):
            log.bind(cell=report.cell).info("cell heard again")
            cell.realign()
        cell.sources[report.host] = SourceView(report, now)
        self._server_sums.replace(report.cell, report.totals.servers)
        source = (report.host, report.boot)
        totals = report.totals
        for account, grown in cell.quota_usage.note(source, totals.quota_usage).items():
            self.on_quota_usage(report.host, account, grown, now)
        for account, grown in cell.quota_demand.note(
            source, totals.quota_demand
        ).items():
            self.on_quota_demand(account, grown, now)
        for service, grown in cell.token_demand.note(
            source, totals.token_demand
        ).items():
            self.on_token_demand(service, grown, now)
        for name, grown in cell.outcomes.note(source, totals.outcomes).items():
            self.on_outcomes(name, grown)
        return True

    def record_holder(self, holder: DutyHolder) -> None:
        """Take over who holds the duties; an earlier holder gives way."""
        self.holder = max(self.holder, holder)

    def _is_stale(self, heard_at: float, now: float) -> bool:
        return now - heard_at > max(MIN_SILENCE, SILENT_AFTER_PERIODS * self.period)

    def list_live_hosts(self) -> frozenset[HostId]:
        """Return the other hosts that are heard now, directly or through their cell."""
        return self.find_summary(trio.current_time()).live_hosts

    def is_silent(self, host: HostId, now: float) -> bool:
        """Whether nothing was heard from or of a host for some periods."""
        return host not in self.find_summary(now).live_hosts

    def find_summary(self, now: float) -> FleetSummary:
        """Return what is known of all other hosts together."""
        if self._summary is None or not 0 <= now - self._summed_at < SUMMARY_CACHE_TIME:
            self._summary = self._make_summary(now)
            self._summed_at = now
        return self._summary

    def _make_summary(self, now: float) -> FleetSummary:
        heard: set[HostId] = set()
        unready: set[HostId] = set()
        for host, view in self.cell_peers.items():
            is_old = self._is_stale(view.received_at, now)
            self._update_server_sums(host, view.report, is_old=is_old)
            if not is_old:
                heard.add(host)
                if not view.report.is_ready:
                    unready.add(host)
        for name, cell in self.cells.items():
            fresh = [
                source
                for source in cell.sources.values()
                if not self._is_stale(source.received_at, now)
            ]
            self._update_server_sums(name, cell.newest, is_old=not fresh)
            for source in fresh:
                heard.update(source.report.members)
            if fresh:
                unready.update(cell.newest.unready)
        return FleetSummary(
            live_hosts=frozenset(heard - {self.local_host}),
            unready_hosts=frozenset(unready),
            server_totals=self._server_sums.totals,
        )

    def _update_server_sums(
        self, source: str, report: Report | CellReport, *, is_old: bool
    ) -> None:
        """Leave out what silent hosts had at servers, and count it when heard again."""
        if is_old:
            self._server_sums.drop(source)
        elif source not in self._server_sums:
            self._server_sums.replace(source, report.totals.servers)

    def list_live_cell_members(self, now: float) -> list[HostId]:
        """Return the hosts of the own cell that are heard, this one included."""
        heard = [
            host
            for host, view in self.cell_peers.items()
            if not self._is_stale(view.received_at, now)
        ]
        return [self.local_host, *heard]

    def list_last_received(self) -> dict[HostId, tuple[int, int]]:
        """Return start and number of the last report of each host of the cell."""
        return {
            host: (view.report.boot, view.report.number)
            for host, view in self.cell_peers.items()
        }

    def list_unready_cell_peers(self, now: float) -> list[HostId]:
        """Return the heard hosts of the own cell that are not ready."""
        return [
            host
            for host, view in self.cell_peers.items()
            if not self._is_stale(view.received_at, now) and not view.report.is_ready
        ]

    def sum_cell_totals(self, own: Totals, now: float) -> Totals:
        """Return the own cell's totals.

        Args:
            own: this host's totals.
            now: steady time.
        """
        mates = [
            view.report.totals
            for view in self.cell_peers.values()
            if not self._is_stale(view.received_at, now)
        ]
        return Totals(
            quota_usage=_add(self._cell_quota_usage, own.quota_usage),
            quota_demand=_add(self._cell_quota_demand, own.quota_demand),
            token_demand=_add(self._cell_token_demand, own.token_demand),
            servers=sum_server_totals([own, *mates]),
            outcomes=self._sum_outcomes(own),
        )

    def _sum_outcomes(self, own: Totals) -> dict[OutcomeKey, int]:
        closed = [
            name for name in self._cell_outcomes if not self.is_outcome_open(name)
        ]
        for name in closed:
            del self._cell_outcomes[name]
        return _add(self._cell_outcomes, own.outcomes)

    def discard_before(self, window: int, now: float) -> None:
        """Forget the usage of windows before this one, and cells that are gone."""
        self.usage.discard_before(window)
        for name, cell in list(self.cells.items()):
            for host, view in list(cell.sources.items()):
                if self._is_stale(view.received_at + CELL_RETENTION_TIME, now):
                    del cell.sources[host]
            if not cell.sources:
                del self.cells[name]
                self._server_sums.drop(name)


def sum_server_totals(parts: Iterable[Totals]) -> dict[BackendServerId, ServerTotals]:
    """Return the sums by server."""
    total: dict[BackendServerId, ServerTotals] = {}
    for part in parts:
        for server, totals in part.servers.items():
            known = total.get(server)
            total[server] = totals if known is None else known + totals
    return total


def _add(some: dict[Name, float], others: Mapping[Name, float]) -> dict[Name, int]:
    total = dict(some)
    for name, amount in others.items():
        total[name] = total.get(name, 0.0) + amount
    return {name: round(amount) for name, amount in total.items()}
