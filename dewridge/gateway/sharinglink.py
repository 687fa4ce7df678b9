"""The rounds in which hosts tell each other what they know."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import msgspec
import trio
from loguru import logger as log

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.datagrams import PacedSocket, PeerAddress, Urgency, read_address
from dewridge.gateway.echoes import Echoes
from dewridge.gateway.hosts import HostEntry, HostTable
from dewridge.gateway.reports import (
    CellReport,
    LeftReport,
    Message,
    Report,
    SuspectNews,
    SuspectReport,
    Totals,
    UsageHeard,
    UsageQuestion,
    UsageReport,
)
from dewridge.gateway.sharing import (
    CELL_REPORTS_PER_SECOND,
    LEAST_PERIOD,
    REPORTS_PER_SECOND,
    Sharing,
)
from dewridge.gateway.usagetelling import UsageTeller
from dewridge.ids import BackendServerId, FailureDomain, HostId
from dewridge.policy.cells import CellName, assign_cells, find_cell, list_receivers

GATHER_TIME = 0.02
"""Seconds before urgent news goes out: a failure domain's servers leave within that."""
SUSPECTS_IN_A_DATAGRAM = 16
"""Some 1.5 KB: what a weak link's queue takes beside a round."""
READERS = 1
"""Hosts of each cell that follow the store for all; what one learns goes to all cells.
When the store turns a third of the hosts away, the chance that it is the readers of all
eight cells of 85 hosts is one in 6,000."""


class Audience(Enum):
    """Whom urgent news goes to."""

    ALL = "all of a round"
    MATES = "the own cell"


@dataclass(frozen=True, slots=True)
class Round:
    """Whom a round of messages goes to.

    Attributes:
        cell: this host's cell.
        mates: the other hosts of the cell.
        receivers: hosts of other cells.
        is_reader: whether this host follows the store for its cell.
        readers: hosts of a large fleet that do.
    """

    cell: CellName
    mates: list[HostEntry]
    receivers: list[HostEntry]
    is_reader: bool
    readers: int = 1

    @property
    def messages(self) -> int:
        """How many messages it takes."""
        return len(self.mates) + len(self.receivers)


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
    cells = assign_cells(domains)
    cell = find_cell(cells, own)
    assert cell is not None
    mates = [host for host in cells[cell] if host != own]
    receivers = list_receivers(cells, own, number)
    return Round(
        cell=cell,
        mates=[entries[host] for host in mates],
        receivers=[entries[host] for host in receivers],
        is_reader=len(cells) == 1 or own in cells[cell][:READERS],
        readers=1 if len(cells) == 1 else READERS * len(cells),
    )


class SharingLink:
    """Sends this host's word and takes the others'."""

    def __init__(
        self,
        socket: PacedSocket,
        sharing: Sharing,
        table: HostTable,
        own_domain: FailureDomain,
        make_report: Callable[[int], Report],
        echoes: Echoes,
        teller: UsageTeller,
        on_confirmed: Callable[[int, float], None],
    ) -> None:
        self._socket = socket
        self._sharing = sharing
        self._table = table
        self._own_domain = own_domain
        self._make_report = make_report
        self._echoes = echoes
        self._teller = teller
        self._on_confirmed = on_confirmed
        self.on_left: Callable[[LeftReport], None] = lambda report: None
        self.list_left: Callable[[], dict[BackendServerId, float]] = dict
        self.on_suspects: Callable[[SuspectReport], None] = lambda report: None
        self.list_suspects: Callable[[], list[SuspectNews]] = list
        self._encoder = msgspec.msgpack.Encoder()
        self._number = 0
        self._urgent = trio.Event()
        self._urgent_to: Audience | None = None

    async def receive(self) -> None:
        """Take over messages for ever."""
        decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
        while True:
            data, sender = await self._socket.receive()
            try:
                message = decoder.decode(data)
            except msgspec.DecodeError as error:
                log.bind(reason=str(error)).warning("report can't be read")
                continue
            self._take(message, sender)

    def _take(self, message: Message, sender: PeerAddress) -> None:
        match message:
            case UsageReport():
                self._teller.take_report(message, sender)
            case UsageHeard():
                self._teller.take_heard(message)
            case UsageQuestion():
                self._teller.take_question(message, sender)
            case LeftReport():
                self.on_left(message)
            case SuspectReport():
                self.on_suspects(message)
            case CellReport():
                self._sharing.note(message, trio.current_time())
            case Report():
                self._take_report(message)

    def _take_report(self, report: Report) -> None:
        self._sharing.note(report, trio.current_time())
        confirmed_at = self._echoes.find_confirmation(report)
        if confirmed_at is not None:
            self._on_confirmed(report.version, confirmed_at)

    def tell_now(self, audience: Audience) -> None:
        """Tell at once which servers leave, and under which requests servers ended.

        A reclaimed server is gone a second after its notice. With the news of it in
        the usual rounds its streams could not be moved in time; and a request that ends
        servers comes again at other hosts within tenths.
        """
        if self._urgent_to is not Audience.ALL:
            self._urgent_to = audience
        self._urgent.set()

    async def send(self) -> None:
        """Tell the others for ever."""
        while True:
            self._number += 1
            self._tell_round(self._plan())
            next_at = trio.current_time() + self._sharing.period
            while trio.current_time() < next_at:
                with trio.move_on_at(next_at):
                    await self._urgent.wait()
                    await trio.sleep(GATHER_TIME)
                self._tell_urgent()

    def _plan(self) -> Round:
        members = self._table.list_members(self._sharing.list_heard())
        entries = {entry.id: entry for entry in members}
        return plan_round(entries, self._sharing.own, self._own_domain, self._number)

    def _tell_round(self, plan: Round) -> None:
        sharing = self._sharing
        sharing.has_cells = bool(plan.receivers)
        sharing.is_reader = plan.is_reader
        sharing.readers = plan.readers
        report = self._make_report(self._number)
        data = self._encoder.encode(report)
        cell_data = b""
        if plan.receivers:
            totals = sharing.sum_cell(report.totals, trio.current_time())
            cell_report = self._make_cell_report(plan.cell, report, totals)
            cell_data = self._encoder.encode(cell_report)
        size = len(plan.mates) * len(data) + len(plan.receivers) * len(cell_data)
        sharing.period = self._find_period(plan, size)
        self._echoes.note_sent(self._number, read_boot_clock())
        self._socket.begin_round()
        self._post(plan.mates, data, Urgency.ROUND)
        self._post(plan.receivers, cell_data, Urgency.ROUND)

    def _find_period(self, plan: Round, size: int) -> float:
        """Return the seconds until the next round: all of this one has gone by then."""
        pace = CELL_REPORTS_PER_SECOND if plan.receivers else REPORTS_PER_SECOND
        return max(LEAST_PERIOD, plan.messages / pace, size / self._socket.rate)

    def _tell_urgent(self) -> None:
        audience, self._urgent_to = self._urgent_to, None
        self._urgent = trio.Event()
        if audience is None:
            return
        plan = self._plan()
        left = self.list_left()
        suspects = self.list_suspects()
        self._post_urgent(plan.mates, left, suspects, is_for_mates=True)
        if audience is Audience.ALL:
            self._post_urgent(plan.receivers, left, suspects, is_for_mates=False)

    def _post_urgent(
        self,
        peers: list[HostEntry],
        left: dict[BackendServerId, float],
        suspects: list[SuspectNews],
        *,
        is_for_mates: bool,
    ) -> None:
        own = self._sharing.own
        if left:
            told = LeftReport(own, left, is_for_mates)
            self._post(peers, self._encoder.encode(told), Urgency.AT_ONCE)
        for begin in range(0, len(suspects), SUSPECTS_IN_A_DATAGRAM):
            part = suspects[begin : begin + SUSPECTS_IN_A_DATAGRAM]
            news = SuspectReport(own, part, is_for_mates)
            self._post(peers, self._encoder.encode(news), Urgency.AT_ONCE)

    def _make_cell_report(
        self, cell: CellName, report: Report, totals: Totals
    ) -> CellReport:
        now = trio.current_time()
        unready = self._sharing.list_unready_mates(now)
        if not report.is_ready:
            unready.append(report.host)
        return CellReport(
            host=report.host,
            boot=report.boot,
            number=report.number,
            cell=cell,
            members=self._sharing.list_heard_mates(now),
            unready=unready,
            totals=totals,
            version=report.version,
            left=report.left,
            holder=report.holder,
            suspects=report.suspects,
            rollouts=report.rollouts,
        )

    def _post(self, peers: list[HostEntry], data: bytes, urgency: Urgency) -> None:
        """Send to all; another begins each round, so that none is the last always."""
        turn = self._number % max(1, len(peers))
        for peer in [*peers[turn:], *peers[:turn]]:
            self._socket.post(read_address(peer.peers), data, urgency)
