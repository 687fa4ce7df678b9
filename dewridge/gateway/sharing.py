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
    NOBODY,
    CellReport,
    Holder,
    News,
    OutcomeName,
    Report,
    ServerTotals,
    Totals,
)
from dewridge.gateway.serversums import ServerSums
from dewridge.gateway.usagecounts import FleetUsage
from dewridge.ids import BackendServerId, ClientAccount, HostId, ServiceName
from dewridge.policy.cells import CellName
from dewridge.policy.mergedtotals import find_growth

LEAST_PERIOD = 0.1
"""Seconds between two reports: a tenth of the shortest time to first token, so that
the others' load is known before it has changed much."""
REPORTS_PER_SECOND = 90.0
"""Datagrams a second that a host of a small fleet sends: about 2% of a core, for news
that are a tenth of a second old where each host takes much of the load."""
CELL_REPORTS_PER_SECOND = 40.0
"""The same in a large fleet: sums over many hosts change slowly, and each host has few
requests to set the cost of its reports against."""
SILENT_AFTER = 5
"""Periods without a report after which a host counts as silent: single datagrams get
lost, five in a row seldom."""
LEAST_SILENCE = 0.6
"""Seconds that a host may be silent at least: a busy process stalls for tenths."""
SUMMARY_FOR = 0.05
"""Seconds for which it stands who is heard: half of the shortest period. Looked at for
each request it took a large part of its processor time in a large fleet."""
DIRECT_AGE = 1.5
CELL_AGE = 2.5
"""Periods by which the others' news may lag: one on average until the next round and
half a one on the way or in a busy process; with cells, one more for the second step."""
FORGET_AFTER = 10.0
"""Seconds after its silence at which a host's word on its cell is forgotten: a cut of
that length must not be taken for a new cell when it heals."""

Name = TypeVar("Name", bound=str)


@dataclass
class PeerView:
    """The last report of one start of a host of the own cell."""

    report: Report
    heard_at: float


@dataclass(frozen=True, slots=True)
class Summary:
    """Sums over all other hosts that are heard.

    Attributes:
        heard: the hosts that are heard, directly or through their cell.
        unready: those of them to which callers should not be sent.
        servers: what goes on at each server; it goes on changing.
    """

    heard: frozenset[HostId]
    unready: frozenset[HostId]
    servers: dict[BackendServerId, ServerTotals]


def _ignore(*_: object) -> None:
    return


@dataclass
class Sharing:
    """The last word of every host heard, and who is silent.

    Attributes:
        own: this host.
        boot: this start of it.
        on_use: told the growth of an account's use at other hosts.
        on_asked: told the growth of what an account asked for at other hosts.
        on_demand: told the growth of the prompt tokens for a service at other hosts.
        on_outcomes: told the growth of a counter of rollout outcomes at other hosts.
        is_outcome_open: whether such a counter belongs to a rollout in progress.
        on_news: told the version in force at another host, and who left.
        started_at: steady time at which this process started.
        peers: last report by host of the own cell.
        cells: the other cells.
        usage: what began at other hosts: the own cell's, and at the holder of the
            duties that of all.
        reports_heard: those of hosts of the own cell.
        reports_missed: those of theirs that never came, or too late.
        holder: the holder of the duties.
        period: seconds between two rounds.
        has_cells: whether the fleet is large enough for cells.
        is_reader: whether this host follows the store for its cell.
        readers: hosts that follow the store.
    """

    own: HostId
    on_use: Callable[[HostId, ClientAccount, float, float], None]
    on_asked: Callable[[ClientAccount, float, float], None] = _ignore
    on_demand: Callable[[ServiceName, float, float], None] = _ignore
    on_outcomes: Callable[[OutcomeName, float], None] = _ignore
    is_outcome_open: Callable[[OutcomeName], bool] = lambda name: True
    on_news: Callable[[News], None] = _ignore
    started_at: float = 0.0
    boot: int = 0
    peers: dict[HostId, PeerView] = field(default_factory=dict)
    cells: dict[CellName, CellView] = field(default_factory=dict)
    usage: FleetUsage = field(default_factory=FleetUsage)
    reports_heard: int = 0
    reports_missed: int = 0
    holder: Holder = NOBODY
    period: float = LEAST_PERIOD
    has_cells: bool = False
    is_reader: bool = True
    readers: int = 1
    _cell_used: dict[ClientAccount, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _cell_asked: dict[ClientAccount, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _cell_demand: dict[ServiceName, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _cell_outcomes: dict[OutcomeName, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _sums: ServerSums = field(default_factory=ServerSums)
    _summary: Summary | None = None
    _summed_at: float = float("-inf")

    @property
    def news_age(self) -> float:
        """Seconds by which the others' news may lag."""
        return self.period * (CELL_AGE if self.has_cells else DIRECT_AGE)

    def note(self, news: News, now: float) -> None:
        """Take over a message; late ones and those of earlier starts are dropped."""
        if news.host == self.own:
            return
        if isinstance(news, CellReport):
            is_taken = self._note_cell(news, now)
        else:
            is_taken = self._note_host(news, now)
        if is_taken:
            self.note_holder(news.holder)
            self.on_news(news)

    def _note_host(self, report: Report, now: float) -> bool:
        known = self.peers.get(report.host)
        was_silent = known is not None and self._is_old(known.heard_at, now)
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
            self._note_growth(report, before, now)
        self.usage.note((report.host, report.boot), report.began)
        self.reports_heard += 1
        if before is not None:
            self.reports_missed += report.number - before.number - 1
        self.peers[report.host] = PeerView(report, now)
        self._sums.replace(report.host, report.totals.servers)
        return True

    # A host that was silent kept to its share, and this one left that share to it. Its
    # use of that time must not be taken out once more: after a cut of ten seconds an
    # account would be refused for ten more at the host that was cut off.
    def _note_growth(self, report: Report, before: Report | None, now: float) -> None:
        # What a host used before this one started is not in this one's buckets.
        if before is None and report.age > now - self.started_at:
            return
        earlier = before.totals if before is not None else Totals()
        totals = report.totals
        for account, grown in find_growth(totals.used, earlier.used).items():
            self._cell_used[account] += grown
            self.on_use(report.host, account, grown, now)
        for account, grown in find_growth(totals.asked, earlier.asked).items():
            self._cell_asked[account] += grown
            self.on_asked(account, grown, now)
        for service, grown in find_growth(totals.demand, earlier.demand).items():
            self._cell_demand[service] += grown
            self.on_demand(service, grown, now)
        for name, grown in find_growth(totals.outcomes, earlier.outcomes).items():
            self._cell_outcomes[name] += grown
            self.on_outcomes(name, grown)

    def _note_cell(self, report: CellReport, now: float) -> bool:
        cell = self.cells.setdefault(report.cell, CellView())
        known = cell.sources.get(report.host)
        if known is not None:
            order = (known.report.boot, known.report.number)
            if (report.boot, report.number) <= order:
                return False
        if cell.sources and self._is_old(cell.heard_at, now):
            log.bind(cell=report.cell).info("cell heard again")
            cell.realign()
        cell.sources[report.host] = SourceView(report, now)
        self._sums.replace(report.cell, report.totals.servers)
        source = (report.host, report.boot)
        totals = report.totals
        for account, grown in cell.used.record(source, totals.used).items():
            self.on_use(report.host, account, grown, now)
        for account, grown in cell.asked.record(source, totals.asked).items():
            self.on_asked(account, grown, now)
        for service, grown in cell.demand.record(source, totals.demand).items():
            self.on_demand(service, grown, now)
        for name, grown in cell.outcomes.record(source, totals.outcomes).items():
            self.on_outcomes(name, grown)
        return True

    def note_holder(self, holder: Holder) -> None:
        """Take over who holds the duties; an earlier holder gives way."""
        self.holder = max(self.holder, holder)

    def _is_old(self, heard_at: float, now: float) -> bool:
        return now - heard_at > max(LEAST_SILENCE, SILENT_AFTER * self.period)

    def list_heard(self) -> frozenset[HostId]:
        """Return the other hosts that are heard now, directly or through their cell."""
        return self.find_summary(trio.current_time()).heard

    def is_silent(self, host: HostId, now: float) -> bool:
        """Whether nothing was heard from or of a host for some periods."""
        return host not in self.find_summary(now).heard

    def find_summary(self, now: float) -> Summary:
        """Return what is known of all other hosts together."""
        if self._summary is None or not 0 <= now - self._summed_at < SUMMARY_FOR:
            self._summary = self._sum_up(now)
            self._summed_at = now
        return self._summary

    def _sum_up(self, now: float) -> Summary:
        heard: set[HostId] = set()
        unready: set[HostId] = set()
        for host, view in self.peers.items():
            is_old = self._is_old(view.heard_at, now)
            self._count_servers(host, view.report, is_old=is_old)
            if not is_old:
                heard.add(host)
                if not view.report.is_ready:
                    unready.add(host)
        for name, cell in self.cells.items():
            fresh = [
                source
                for source in cell.sources.values()
                if not self._is_old(source.heard_at, now)
            ]
            self._count_servers(name, cell.newest, is_old=not fresh)
            for source in fresh:
                heard.update(source.report.members)
            if fresh:
                unready.update(cell.newest.unready)
        return Summary(
            heard=frozenset(heard - {self.own}),
            unready=frozenset(unready),
            servers=self._sums.totals,
        )

    def _count_servers(
        self, source: str, report: Report | CellReport, *, is_old: bool
    ) -> None:
        """Leave out what silent hosts had at servers, and count it when heard again."""
        if is_old:
            self._sums.drop(source)
        elif source not in self._sums:
            self._sums.replace(source, report.totals.servers)

    def list_heard_mates(self, now: float) -> list[HostId]:
        """Return the hosts of the own cell that are heard, this one included."""
        heard = [
            host
            for host, view in self.peers.items()
            if not self._is_old(view.heard_at, now)
        ]
        return [self.own, *heard]

    def list_heard_numbers(self) -> dict[HostId, tuple[int, int]]:
        """Return start and number of the last report of each host of the cell."""
        return {
            host: (view.report.boot, view.report.number)
            for host, view in self.peers.items()
        }

    def list_unready_mates(self, now: float) -> list[HostId]:
        """Return the heard hosts of the own cell that are not ready."""
        return [
            host
            for host, view in self.peers.items()
            if not self._is_old(view.heard_at, now) and not view.report.is_ready
        ]

    def sum_cell(self, own: Totals, now: float) -> Totals:
        """Return the own cell's totals.

        Args:
            own: this host's totals.
            now: steady time.
        """
        mates = [
            view.report.totals
            for view in self.peers.values()
            if not self._is_old(view.heard_at, now)
        ]
        return Totals(
            used=_add(self._cell_used, own.used),
            asked=_add(self._cell_asked, own.asked),
            demand=_add(self._cell_demand, own.demand),
            servers=sum_servers([own, *mates]),
            outcomes=self._sum_outcomes(own),
        )

    def _sum_outcomes(self, own: Totals) -> dict[OutcomeName, int]:
        closed = [
            name for name in self._cell_outcomes if not self.is_outcome_open(name)
        ]
        for name in closed:
            del self._cell_outcomes[name]
        return _add(self._cell_outcomes, own.outcomes)

    def forget_before(self, window: int, now: float) -> None:
        """Forget the usage of windows before this one, and cells that are gone."""
        self.usage.forget_before(window)
        for name, cell in list(self.cells.items()):
            for host, view in list(cell.sources.items()):
                if self._is_old(view.heard_at + FORGET_AFTER, now):
                    del cell.sources[host]
            if not cell.sources:
                del self.cells[name]
                self._sums.drop(name)


def sum_servers(parts: Iterable[Totals]) -> dict[BackendServerId, ServerTotals]:
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
