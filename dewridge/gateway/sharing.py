"""State received from the other entry hosts: quota usage, server load, liveness.

Hosts of the local cell report their own totals, hosts of other cells the sums over
theirs (`dewridge.policy.cells`). All are running totals, so that a lost datagram only
delays an update. The period between two rounds grows with the number of messages in a
round: the cost of each host stays the same in a larger fleet, while reports become more
stale. Decisions allow for this staleness.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec
import trio
from loguru import logger as log

from dewridge.decoding import MAX_COUNT
from dewridge.gateway.cellview import CellView, SourceView
from dewridge.gateway.reports import (
    NO_HOLDER,
    OUTCOME_KEY,
    CellReport,
    DutyHolder,
    OutcomeKey,
    PeriodicReport,
    Report,
    ServerTotals,
    Totals,
    limit_figure,
)
from dewridge.gateway.serversums import ServerSums
from dewridge.gateway.usagecounts import FleetUsage
from dewridge.ids import BackendServerId, ClientAccount, HostId, ServiceName
from dewridge.policy.cells import CellName
from dewridge.policy.mergedtotals import compute_growth
from dewridge.policy.serverpace import is_credible
from dewridge.policy.workdemand import MAX_GROWTH_MS, parse_demand_key

MIN_REPORT_PERIOD = 0.1
"""Seconds between two reports: a tenth of the shortest time to first token, so that
hosts learn each other's load before it has changed much."""
REPORTS_PER_SECOND = 90.0
"""Datagrams that a host of a small fleet sends per second. They take about 2% of a core
and keep reports within a tenth of a second old, because each host of a small fleet
carries much of the load."""
CELL_REPORTS_PER_SECOND = 40.0
"""Datagrams that a host of a large fleet sends per second: sums over many hosts change
slowly, and each host handles few requests relative to the cost of its reports."""
SILENT_AFTER_PERIODS = 5
"""Periods without a report after which a host counts as silent: single datagrams get
lost, but five in a row rarely do."""
MIN_SILENCE = 0.6
"""Minimum seconds without a report before a host counts as silent: a busy process may
stall for tenths of a second."""
SUMMARY_CACHE_TIME = 0.05
"""Seconds for which a summary is reused: half of the shortest report period. In a large
fleet, computing it for each request took a large part of the time spent on a
request."""
DIRECT_STALENESS_PERIODS = 1.5
"""Staleness of direct reports, in periods: one on average until the next round, and a
half in transit or in a busy process."""
CELL_STALENESS_PERIODS = 2.5
"""Staleness of reports in a fleet with cells, in periods: one more for the second hop,
from cell to cell."""
MAX_LATENESS = 10.0
"""Seconds after which no earlier report of a host can arrive any more. If one seems to,
the order of the last one was wrong, and would hide the host for ever."""
CELL_RETENTION_TIME = 10.0
"""Seconds for which the cell report of a silent host is retained, so that a cell is not
taken for a new one when a network partition of that length heals."""

Name = TypeVar("Name", bound=str)


@dataclass
class PeerView:
    """The last report received from a host of the local cell."""

    report: Report
    received_at: float


@dataclass(frozen=True, slots=True)
class FleetSummary:
    """Sums over all other live hosts.

    Attributes:
        live_hosts: hosts that sent a report recently, or that a recent cell report
            lists.
        unready_hosts: the live hosts to which callers should not be directed.
        server_totals: load and recent failures at each server; updated in place as
            reports arrive.
        partitioned_hosts: the live hosts that do not reach the servers of some service.
    """

    live_hosts: frozenset[HostId]
    unready_hosts: frozenset[HostId]
    server_totals: dict[BackendServerId, ServerTotals]
    partitioned_hosts: frozenset[HostId] = frozenset()


def _ignore(*_: object) -> None:
    return


@dataclass
class SharedReports:
    """The last report of every other host, and which hosts are silent.

    Attributes:
        local_host: this host.
        on_quota_usage: called with the growth of an account's usage at other hosts.
        on_quota_demand: called with the growth of an account's demand at other hosts.
        on_token_demand: called with the growth of the prompt tokens for a service at
            other hosts.
        on_work_demand: called with the growth in ms of the work of a class that arrived
            at other hosts.
        on_demand_ignored: called for each reported work demand that is impossible.
        on_outcomes: called with the growth of a rollout outcome counter at other hosts.
        is_outcome_open: whether such a counter belongs to a rollout in progress.
        on_report: called with each periodic report that is accepted.
        on_ignored_paces: called with the number of servers whose pace in a report is
            not credible.
        started_at: monotonic time at which this process started.
        boot: start time of this process, in microseconds since 1970.
        cell_peers: the last report of each other host of the local cell.
        cells: the other cells.
        usage: requests started at other hosts: those of the local cell, and all hosts
            if this host holds the duties.
        reports_received: number of reports received from hosts of the local cell.
        reports_missed: number of their reports that were lost or arrived too late.
        holder: the latest known holder of the duties.
        last_report_at: monotonic time of the last accepted report.
        period: seconds between two rounds.
        has_cells: whether the fleet is large enough for more than one cell.
        is_reader: whether this host follows the store on behalf of its cell.
        reader_count: number of hosts that follow the store.
    """

    local_host: HostId
    on_quota_usage: Callable[[HostId, ClientAccount, float, float], None]
    on_quota_demand: Callable[[ClientAccount, float, float], None] = _ignore
    on_token_demand: Callable[[ServiceName, float, float], None] = _ignore
    on_work_demand: Callable[[str, float, float], None] = _ignore
    on_demand_ignored: Callable[[], None] = _ignore
    on_outcomes: Callable[[OutcomeKey, float], None] = _ignore
    is_outcome_open: Callable[[OutcomeKey], bool] = lambda name: True
    on_report: Callable[[PeriodicReport], None] = _ignore
    on_ignored_paces: Callable[[int], None] = _ignore
    started_at: float = 0.0
    boot: int = 0
    cell_peers: dict[HostId, PeerView] = field(default_factory=dict)
    cells: dict[CellName, CellView] = field(default_factory=dict)
    usage: FleetUsage = field(default_factory=FleetUsage)
    reports_received: int = 0
    reports_missed: int = 0
    holder: DutyHolder = NO_HOLDER
    last_report_at: float = float("-inf")
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
    _cell_work_demand: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _cell_outcomes: dict[OutcomeKey, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _server_sums: ServerSums = field(default_factory=ServerSums)
    _summary: FleetSummary | None = None
    _summarized_at: float = float("-inf")

    @property
    def staleness(self) -> float:
        """Seconds by which the state of other hosts may lag."""
        return self.period * (
            CELL_STALENESS_PERIODS if self.has_cells else DIRECT_STALENESS_PERIODS
        )

    def apply_report(self, report: PeriodicReport, now: float) -> None:
        """Apply a report; drop late ones and those of earlier incarnations."""
        if report.host == self.local_host:
            return
        clear_negative_loads(report.totals.servers)
        ignored = clear_bad_paces(report.totals.servers)
        if ignored:
            self.on_ignored_paces(ignored)
        if isinstance(report, CellReport):
            is_accepted = self._apply_cell_report(report, now)
        else:
            is_accepted = self._apply_host_report(report, now)
        if is_accepted:
            self.last_report_at = now
            self.record_holder(report.holder)
            self.on_report(report)

    def _apply_host_report(self, report: Report, now: float) -> bool:
        known = self.cell_peers.get(report.host)
        was_silent = known is not None and self._is_stale(known.received_at, now)
        previous = None
        if known is not None:
            order = (known.report.boot, known.report.number)
            is_late = (report.boot, report.number) <= order
            if is_late and now - known.received_at <= MAX_LATENESS:
                return False
            if report.boot == known.report.boot and not is_late:
                previous = known.report
        else:
            log.bind(host=report.host, boot=report.boot).info("peer heard")
        if was_silent:
            log.bind(host=report.host).info("peer heard again")
        else:
            self._apply_growth(report, previous, now)
        self.usage.merge_counts((report.host, report.boot), report.usage_counts)
        self.reports_received += 1
        if previous is not None:
            self.reports_missed += report.number - previous.number - 1
        self.cell_peers[report.host] = PeerView(report, now)
        self._server_sums.replace(report.host, report.totals.servers)
        return True

    def _apply_growth(
        self, report: Report, previous: Report | None, now: float
    ) -> None:
        """Apply the growth of a peer's totals since its previous report.

        The growth during a silence of the peer is not applied. The silent peer used no
        more than its share of each quota, which this host had reserved for it.
        Deducting that usage again would, after a partition of ten seconds, refuse an
        account for ten more seconds at the host that was partitioned.
        """
        # Usage from before this process started is not in its quota buckets.
        if previous is None and report.age > now - self.started_at:
            return
        earlier = previous.totals if previous is not None else Totals()
        totals = report.totals
        for account, growth in compute_growth(
            totals.quota_usage, earlier.quota_usage
        ).items():
            self._cell_quota_usage[account] += growth
            self.on_quota_usage(report.host, account, growth, now)
        for account, growth in compute_growth(
            totals.quota_demand, earlier.quota_demand
        ).items():
            self._cell_quota_demand[account] += growth
            self.on_quota_demand(account, growth, now)
        for service, growth in compute_growth(
            totals.token_demand, earlier.token_demand
        ).items():
            self._cell_token_demand[service] += growth
            self.on_token_demand(service, growth, now)
        for name, growth in compute_growth(
            select_outcomes(totals.outcomes), earlier.outcomes
        ).items():
            self._cell_outcomes[name] += growth
            self.on_outcomes(name, growth)
        for key, growth in compute_growth(
            self._select_possible(totals.work_demand), earlier.work_demand
        ).items():
            if earlier.work_demand.get(key, 0) < 0:
                # The growth since an impossible total is not known.
                continue
            if growth > MAX_GROWTH_MS:
                self.on_demand_ignored()
                continue
            self._cell_work_demand[key] += growth
            self.on_work_demand(key, growth, now)

    def _apply_cell_report(self, report: CellReport, now: float) -> bool:
        cell = self.cells.setdefault(report.cell, CellView())
        known = cell.sources.get(report.host)
        if known is not None:
            order = (known.report.boot, known.report.number)
            if (report.boot, report.number) <= order:
                return False
        if cell.sources and self._is_stale(cell.received_at, now):
            log.bind(cell=report.cell).info("cell heard again")
            cell.reset_baselines()
        cell.sources[report.host] = SourceView(report, now)
        self._server_sums.replace(report.cell, report.totals.servers)
        source = (report.host, report.boot)
        totals = report.totals
        for account, growth in cell.quota_usage.record(
            source, totals.quota_usage
        ).items():
            self.on_quota_usage(report.host, account, growth, now)
        for account, growth in cell.quota_demand.record(
            source, totals.quota_demand
        ).items():
            self.on_quota_demand(account, growth, now)
        for service, growth in cell.token_demand.record(
            source, totals.token_demand
        ).items():
            self.on_token_demand(service, growth, now)
        for name, growth in cell.outcomes.record(
            source, select_outcomes(totals.outcomes)
        ).items():
            self.on_outcomes(name, growth)
        self._apply_cell_work(cell, source, totals.work_demand, now)
        return True

    def _apply_cell_work(
        self,
        cell: CellView,
        source: tuple[HostId, int],
        reported: Mapping[str, int],
        now: float,
    ) -> None:
        ignored = cell.work_demand.ignored
        growths = cell.work_demand.record(source, self._select_possible(reported))
        for key, growth in growths.items():
            self.on_work_demand(key, growth, now)
        for _ in range(cell.work_demand.ignored - ignored):
            self.on_demand_ignored()

    def _select_possible(self, reported: Mapping[str, int]) -> dict[str, float]:
        """Return the reported work demands without negative and malformed ones."""
        possible: dict[str, float] = {}
        for key, amount in reported.items():
            if amount < 0 or parse_demand_key(key) is None:
                self.on_demand_ignored()
            else:
                possible[key] = amount
        return possible

    def handle_suspension(self, seconds: float) -> None:
        """Count the time for which the monotonic clock stopped as time without reports.

        Hosts that ended meanwhile would otherwise seem alive.
        """
        for view in self.cell_peers.values():
            view.received_at -= seconds
        for cell in self.cells.values():
            for source in cell.sources.values():
                source.received_at -= seconds
        self._summary = None

    def record_holder(self, holder: DutyHolder) -> None:
        """Record the holder of the duties unless a later one is known."""
        self.holder = max(self.holder, holder)

    def _is_stale(self, received_at: float, now: float) -> bool:
        return now - received_at > max(MIN_SILENCE, SILENT_AFTER_PERIODS * self.period)

    def list_live_hosts(self) -> frozenset[HostId]:
        """Return the other live hosts of all cells."""
        return self.get_summary(trio.current_time()).live_hosts

    def is_silent(self, host: HostId, now: float) -> bool:
        """Whether a host sent no recent report and no recent cell report lists it."""
        return host not in self.get_summary(now).live_hosts

    def get_summary(self, now: float) -> FleetSummary:
        """Return the state of all other hosts together, cached for a short time."""
        if (
            self._summary is None
            or not 0 <= now - self._summarized_at < SUMMARY_CACHE_TIME
        ):
            self._summary = self._make_summary(now)
            self._summarized_at = now
        return self._summary

    def _make_summary(self, now: float) -> FleetSummary:
        live: set[HostId] = set()
        unready: set[HostId] = set()
        partitioned: set[HostId] = set()
        for host, view in self.cell_peers.items():
            is_stale = self._is_stale(view.received_at, now)
            self._update_server_sums(host, view.report, is_stale=is_stale)
            if not is_stale:
                live.add(host)
                if not view.report.is_ready:
                    unready.add(host)
                if view.report.is_partitioned:
                    partitioned.add(host)
        for name, cell in self.cells.items():
            live_sources = [
                source
                for source in cell.sources.values()
                if not self._is_stale(source.received_at, now)
            ]
            newest_report = cell.newest_report
            self._update_server_sums(name, newest_report, is_stale=not live_sources)
            members: list[HostId] = []
            for source in live_sources:
                # The sources of a cell mostly list the same members.
                if source.report.members != members:
                    members = source.report.members
                    live.update(members)
            if live_sources:
                unready.update(newest_report.unready)
                partitioned.update(newest_report.partitioned)
        live.discard(self.local_host)
        previous = self._summary
        # The sets rarely change. The earlier ones are kept then, so that what depends
        # on them can be cached until they are replaced.
        return FleetSummary(
            live_hosts=previous.live_hosts
            if previous is not None and previous.live_hosts == live
            else frozenset(live),
            unready_hosts=previous.unready_hosts
            if previous is not None and previous.unready_hosts == unready
            else frozenset(unready),
            partitioned_hosts=previous.partitioned_hosts
            if previous is not None and previous.partitioned_hosts == partitioned
            else frozenset(partitioned),
            server_totals=self._server_sums.totals,
        )

    def _update_server_sums(
        self, source: str, report: Report | CellReport, *, is_stale: bool
    ) -> None:
        """Exclude the load of a silent source, and include it once it is live again."""
        if is_stale:
            self._server_sums.drop(source)
        elif source not in self._server_sums:
            self._server_sums.replace(source, report.totals.servers)

    def list_live_cell_members(self, now: float) -> list[HostId]:
        """Return the live hosts of the local cell, including this one."""
        live = [
            host
            for host, view in self.cell_peers.items()
            if not self._is_stale(view.received_at, now)
        ]
        return [self.local_host, *live]

    def list_last_received(self) -> dict[HostId, tuple[int, int]]:
        """Return boot time and number of the last report of each cell peer."""
        return {
            host: (view.report.boot, view.report.number)
            for host, view in self.cell_peers.items()
        }

    def list_unready_cell_peers(self, now: float) -> list[HostId]:
        """Return the live cell peers that are not ready."""
        return [
            host
            for host, view in self.cell_peers.items()
            if not self._is_stale(view.received_at, now) and not view.report.is_ready
        ]

    def list_partitioned_cell_peers(self, now: float) -> list[HostId]:
        """Return the live cell peers that do not reach the servers of some service."""
        return [
            host
            for host, view in self.cell_peers.items()
            if not self._is_stale(view.received_at, now) and view.report.is_partitioned
        ]

    def sum_cell_totals(self, local: Totals, now: float) -> Totals:
        """Return the totals of the local cell.

        Args:
            local: this host's totals.
            now: monotonic time.
        """
        peer_totals = [
            view.report.totals
            for view in self.cell_peers.values()
            if not self._is_stale(view.received_at, now)
        ]
        return Totals(
            quota_usage=_add(self._cell_quota_usage, local.quota_usage),
            quota_demand=_add(self._cell_quota_demand, local.quota_demand),
            token_demand=_add(self._cell_token_demand, local.token_demand),
            servers=sum_server_totals([local, *peer_totals]),
            outcomes=self._sum_outcomes(local),
            work_demand=_add(self._cell_work_demand, local.work_demand),
        )

    def _sum_outcomes(self, local: Totals) -> dict[OutcomeKey, int]:
        closed = [
            name for name in self._cell_outcomes if not self.is_outcome_open(name)
        ]
        for name in closed:
            del self._cell_outcomes[name]
        return _add(self._cell_outcomes, local.outcomes)

    def discard_before(self, window: int, now: float) -> None:
        """Discard the usage of windows before this one, and departed cells."""
        self.usage.discard_before(window)
        for name, cell in list(self.cells.items()):
            for host, view in list(cell.sources.items()):
                if self._is_stale(view.received_at + CELL_RETENTION_TIME, now):
                    del cell.sources[host]
            if not cell.sources:
                del self.cells[name]
                self._server_sums.drop(name)


def select_outcomes(reported: Mapping[OutcomeKey, int]) -> dict[OutcomeKey, int]:
    """Return the reported outcomes without those of kinds that are not known here."""
    return {key: count for key, count in reported.items() if OUTCOME_KEY.match(key)}


def clear_negative_loads(servers: Mapping[BackendServerId, ServerTotals]) -> None:
    """Set reported loads below zero to zero.

    No server has such a load, and a negative rate of attempts has no square root.
    """
    for totals in servers.values():
        if (
            totals.requests < 0
            or totals.tokens < 0
            or totals.attempts < 0
            or totals.failures < 0
        ):
            totals.requests = max(0, totals.requests)
            totals.tokens = max(0, totals.tokens)
            totals.attempts = max(0, totals.attempts)
            totals.failures = max(0, totals.failures)


def clear_bad_paces(servers: Mapping[BackendServerId, ServerTotals]) -> int:
    """Set reported paces that are not credible to zero; return their number.

    A host with a faulty clock or build would otherwise spoil the sums of all hosts.
    """
    ignored = 0
    for totals in servers.values():
        samples, ratio_sum = totals.pace_samples, totals.pace_sum
        if (samples or ratio_sum) and not is_credible(samples, ratio_sum):
            totals.pace_samples = totals.pace_sum = 0
            ignored += 1
    return ignored


def sum_server_totals(parts: Iterable[Totals]) -> dict[BackendServerId, ServerTotals]:
    """Return the sums by server."""
    total: dict[BackendServerId, ServerTotals] = {}
    for part in parts:
        for server, totals in part.servers.items():
            known = total.get(server)
            total[server] = totals if known is None else known + totals
    return {
        server: totals
        if max(msgspec.structs.astuple(totals)) <= MAX_COUNT
        else ServerTotals(*map(limit_figure, msgspec.structs.astuple(totals)))
        for server, totals in total.items()
    }


def _add(some: dict[Name, float], others: Mapping[Name, float]) -> dict[Name, int]:
    total = dict(some)
    for name, amount in others.items():
        total[name] = total.get(name, 0.0) + amount
    return {name: limit_figure(round(amount)) for name, amount in total.items()}
