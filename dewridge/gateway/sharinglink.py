"""The rounds in which hosts tell each other what they know."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import msgspec
import trio
from loguru import logger as log

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.datagrams import PacedSocket, PeerAddress, Urgency, read_address
from dewridge.gateway.echoes import SentReportTimes
from dewridge.gateway.hosts import HostEntry, HostTable
from dewridge.gateway.reports import (
    CellReport,
    DepartureReport,
    HostMessage,
    Report,
    SuspectReport,
    SuspectUpdate,
    Totals,
    UsageConfirmation,
    UsageReport,
    UsageRequest,
)
from dewridge.gateway.sharing import (
    CELL_REPORTS_PER_SECOND,
    MIN_REPORT_PERIOD,
    REPORTS_PER_SECOND,
    SharedReports,
)
from dewridge.gateway.usagetelling import UsageReporter
from dewridge.ids import BackendServerId, FailureDomain, HostId
from dewridge.policy.cells import CellName, deal_cells, find_cell, list_receivers

URGENT_GATHER_TIME = 0.02
"""Seconds before urgent news goes out: a failure domain's servers leave within that."""
MAX_SUSPECTS_PER_DATAGRAM = 16
"""Some 1.5 KB: what a weak link's queue takes beside a round."""
READERS_PER_CELL = 1
"""Hosts of each cell that follow the store for all; what one learns goes to all cells.
When the store turns a third of the hosts away, the chance that it is the readers of all
eight cells of 85 hosts is one in 6,000."""


class Recipients(Enum):
    """Whom urgent news goes to."""

    ALL = "all of a round"
    CELL_PEERS = "the own cell"


@dataclass(frozen=True, slots=True)
class Round:
    """Whom a round of messages goes to.

    Attributes:
        cell: this host's cell.
        cell_peers: the other hosts of the cell.
        receivers: hosts of other cells.
        is_reader: whether this host follows the store for its cell.
        reader_count: hosts of a large fleet that do.
    """

    cell: CellName
    cell_peers: list[HostEntry]
    receivers: list[HostEntry]
    is_reader: bool
    reader_count: int = 1

    @property
    def message_count(self) -> int:
        """How many messages it takes."""
        return len(self.cell_peers) + len(self.receivers)


def plan_round(
    entries: dict[HostId, HostEntry],
    own: HostId,
    own_domain: FailureDomain,
    number: int,
) -> Round:
    """Return whom this host tells in a round.

    Args:
        entries: the hosts that news is shared with, by id.
        own: this host; it may not be registered yet.
        own_domain: where it is.
        number: of the round.
    """
    domains = {host: entry.failure_domain for host, entry in entries.items()}
    domains[own] = own_domain
    cells = deal_cells(domains)
    cell = find_cell(cells, own)
    assert cell is not None
    mates = [host for host in cells[cell] if host != own]
    receivers = list_receivers(cells, own, number)
    return Round(
        cell=cell,
        cell_peers=[entries[host] for host in mates],
        receivers=[entries[host] for host in receivers],
        is_reader=len(cells) == 1 or own in cells[cell][:READERS_PER_CELL],
        reader_count=1 if len(cells) == 1 else READERS_PER_CELL * len(cells),
    )


class ReportLink:
    """Sends this host's word and takes the others'."""

    def __init__(
        self,
        socket: PacedSocket,
        sharing: SharedReports,
        table: HostTable,
        own_domain: FailureDomain,
        make_report: Callable[[int], Report],
        echoes: SentReportTimes,
        teller: UsageReporter,
        on_confirmed: Callable[[int, float], None],
    ) -> None:
        self._socket = socket
        self._sharing = sharing
        self._host_table = table
        self._local_domain = own_domain
        self._make_report = make_report
        self._sent_times = echoes
        self._usage_reporter = teller
        self._on_confirmed = on_confirmed
        self.on_departures: Callable[[DepartureReport], None] = lambda report: None
        self.list_departing: Callable[[], dict[BackendServerId, float]] = dict
        self.on_suspects: Callable[[SuspectReport], None] = lambda report: None
        self.list_suspects: Callable[[], list[SuspectUpdate]] = list
        self._encoder = msgspec.msgpack.Encoder()
        self._number = 0
        self._urgent = trio.Event()
        self._urgent_recipients: Recipients | None = None

    async def receive(self) -> None:
        """Take over messages for ever."""
        decoder: msgspec.msgpack.Decoder[HostMessage] = msgspec.msgpack.Decoder(
            HostMessage
        )
        while True:
            data, sender = await self._socket.receive()
            try:
                message = decoder.decode(data)
            except msgspec.DecodeError as error:
                log.bind(reason=str(error)).warning("report can't be read")
                continue
            self._dispatch(message, sender)

    def _dispatch(self, message: HostMessage, sender: PeerAddress) -> None:
        match message:
            case UsageReport():
                self._usage_reporter.receive_report(message, sender)
            case UsageConfirmation():
                self._usage_reporter.receive_confirmation(message)
            case UsageRequest():
                self._usage_reporter.receive_request(message, sender)
            case DepartureReport():
                self.on_departures(message)
            case SuspectReport():
                self.on_suspects(message)
            case CellReport():
                self._sharing.apply_report(message, trio.current_time())
            case Report():
                self._apply_report(message)

    def _apply_report(self, report: Report) -> None:
        self._sharing.apply_report(report, trio.current_time())
        confirmed_at = self._sent_times.find_confirmation_time(report)
        if confirmed_at is not None:
            self._on_confirmed(report.version, confirmed_at)

    def schedule_urgent_send(self, audience: Recipients) -> None:
        """Tell at once which servers leave, and under which requests servers ended.

        A reclaimed server is gone a second after its notice. With the news of it in
        the usual rounds its streams could not be moved in time; and a request that ends
        servers comes again at other hosts within tenths.
        """
        if self._urgent_recipients is not Recipients.ALL:
            self._urgent_recipients = audience
        self._urgent.set()

    async def send(self) -> None:
        """Tell the others for ever."""
        while True:
            self._number += 1
            self._send_round(self._plan_round())
            next_at = trio.current_time() + self._sharing.period
            while trio.current_time() < next_at:
                with trio.move_on_at(next_at):
                    await self._urgent.wait()
                    await trio.sleep(URGENT_GATHER_TIME)
                self._send_urgent()

    def _plan_round(self) -> Round:
        members = self._host_table.list_members(self._sharing.list_live_hosts())
        entries = {entry.id: entry for entry in members}
        return plan_round(
            entries, self._sharing.local_host, self._local_domain, self._number
        )

    def _send_round(self, plan: Round) -> None:
        sharing = self._sharing
        sharing.has_cells = bool(plan.receivers)
        sharing.is_reader = plan.is_reader
        sharing.reader_count = plan.reader_count
        report = self._make_report(self._number)
        data = self._encoder.encode(report)
        cell_data = b""
        if plan.receivers:
            totals = sharing.sum_cell_totals(report.totals, trio.current_time())
            cell_report = self._make_cell_report(plan.cell, report, totals)
            cell_data = self._encoder.encode(cell_report)
        size = len(plan.cell_peers) * len(data) + len(plan.receivers) * len(cell_data)
        sharing.period = self._find_period(plan, size)
        self._sent_times.record_sent(self._number, read_boot_clock())
        self._socket.begin_round()
        self._enqueue(plan.cell_peers, data, Urgency.ROUND)
        self._enqueue(plan.receivers, cell_data, Urgency.ROUND)

    def _find_period(self, plan: Round, size: int) -> float:
        """Return the seconds until the next round: all of this one has gone by then."""
        pace = CELL_REPORTS_PER_SECOND if plan.receivers else REPORTS_PER_SECOND
        return max(
            MIN_REPORT_PERIOD, plan.message_count / pace, size / self._socket.rate
        )

    def _send_urgent(self) -> None:
        audience, self._urgent_recipients = self._urgent_recipients, None
        self._urgent = trio.Event()
        if audience is None:
            return
        plan = self._plan_round()
        left = self.list_departing()
        suspects = self.list_suspects()
        self._enqueue_urgent(plan.cell_peers, left, suspects, is_for_mates=True)
        if audience is Recipients.ALL:
            self._enqueue_urgent(plan.receivers, left, suspects, is_for_mates=False)

    def _enqueue_urgent(
        self,
        peers: list[HostEntry],
        left: dict[BackendServerId, float],
        suspects: list[SuspectUpdate],
        *,
        is_for_mates: bool,
    ) -> None:
        own = self._sharing.local_host
        if left:
            told = DepartureReport(own, left, is_for_mates)
            self._enqueue(peers, self._encoder.encode(told), Urgency.AT_ONCE)
        for begin in range(0, len(suspects), MAX_SUSPECTS_PER_DATAGRAM):
            part = suspects[begin : begin + MAX_SUSPECTS_PER_DATAGRAM]
            news = SuspectReport(own, part, is_for_mates)
            self._enqueue(peers, self._encoder.encode(news), Urgency.AT_ONCE)

    def _make_cell_report(
        self, cell: CellName, report: Report, totals: Totals
    ) -> CellReport:
        now = trio.current_time()
        unready = self._sharing.list_unready_cell_peers(now)
        if not report.is_ready:
            unready.append(report.host)
        return CellReport(
            host=report.host,
            boot=report.boot,
            number=report.number,
            cell=cell,
            members=self._sharing.list_live_cell_members(now),
            unready=unready,
            totals=totals,
            version=report.version,
            departing_servers=report.departing_servers,
            holder=report.holder,
            suspects=report.suspects,
            rollouts=report.rollouts,
        )

    def _enqueue(self, peers: list[HostEntry], data: bytes, urgency: Urgency) -> None:
        """Send to all; another begins each round, so that none is the last always."""
        turn = self._number % max(1, len(peers))
        for peer in [*peers[turn:], *peers[:turn]]:
            self._socket.enqueue(read_address(peer.peers), data, urgency)
