"""The datagram socket on which hosts tell each other what they know."""

import errno
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import msgspec
import trio
from loguru import logger as log

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.echoes import Echoes
from dewridge.gateway.hosts import HostEntry, HostTable
from dewridge.gateway.reports import (
    CellReport,
    HostUsage,
    Message,
    Report,
    Totals,
    UsageReport,
)
from dewridge.gateway.sharing import (
    CELL_REPORTS_PER_SECOND,
    LEAST_PERIOD,
    REPORTS_PER_SECOND,
    Sharing,
)
from dewridge.ids import FailureDomain, HostId
from dewridge.policy.cells import CellName, deal_cells, find_cell, list_receivers

DATAGRAM_LIMIT = 60_000
GATHER_TIME = 0.02
"""Seconds before urgent news goes out: a failure domain's servers leave within that."""
READERS = 1
"""Hosts of each cell that follow the store for all; what one learns goes to all cells.
When the store turns a third of the hosts away, the chance that it is the readers of all
eight cells of 85 hosts is one in 6,000."""
USAGE_PERIOD = 1.0
"""Seconds between two words on usage: less than a sum waits for."""
GONE_AT_ONCE = 4
"""Starts of hosts that are gone of which each word on usage tells: a failure domain's
worth is told by its cells within some seconds."""
USAGE_REPORTS_PER_SECOND = 90.0
"""Words on usage that the holder of the duties takes a second, about 1% of a core."""


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
    """

    cell: CellName
    mates: list[HostEntry]
    receivers: list[HostEntry]
    is_reader: bool

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
        entries: registered hosts by id.
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
        mates=[entries[host] for host in mates],
        receivers=[entries[host] for host in receivers],
        is_reader=len(cells) == 1 or own in cells[cell][:READERS],
    )


def find_usage_period(hosts: int) -> float:
    """Return the seconds between two words of a host on usage."""
    return max(USAGE_PERIOD, hosts / USAGE_REPORTS_PER_SECOND)


class SharingLink:
    """Sends this host's word and takes the others'."""

    def __init__(
        self,
        address: str,
        port: int,
        sharing: Sharing,
        table: HostTable,
        own_domain: FailureDomain,
        make_report: Callable[[int], Report],
        echoes: Echoes,
        on_confirmed: Callable[[int, float], None],
    ) -> None:
        self._address = address
        self._port = port
        self._sharing = sharing
        self._table = table
        self._own_domain = own_domain
        self._make_report = make_report
        self._echoes = echoes
        self._on_confirmed = on_confirmed
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        self._number = 0
        self._urgent = trio.Event()
        self._urgent_to: Audience | None = None
        self._told_usage_at = float("-inf")

    async def bind(self) -> None:
        """Open the port."""
        await self._socket.bind((self._address, self._port))

    def close(self) -> None:
        """Close the port."""
        self._socket.close()

    async def receive(self) -> None:
        """Take over messages for ever."""
        decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
        while True:
            data = await self._socket.recv(DATAGRAM_LIMIT)
            self._take(decoder, data)

    def _take(self, decoder: msgspec.msgpack.Decoder[Message], data: bytes) -> None:
        try:
            news = decoder.decode(data)
        except msgspec.DecodeError as error:
            log.bind(reason=str(error)).warning("report can't be read")
            return
        if isinstance(news, UsageReport):
            self._sharing.note_usage(news)
            return
        self._sharing.note(news, trio.current_time())
        if isinstance(news, Report):
            confirmed_at = self._echoes.find_confirmation(news)
            if confirmed_at is not None:
                self._on_confirmed(news.version, confirmed_at)

    def tell_now(self, audience: Audience) -> None:
        """Tell urgent news at once.

        A reclaimed server is gone a second after its notice. With the news of it in
        the usual rounds its streams could not be moved in time.
        """
        if self._urgent_to is not Audience.ALL:
            self._urgent_to = audience
        self._urgent.set()

    async def send(self) -> None:
        """Tell the others for ever."""
        encoder = msgspec.msgpack.Encoder()
        next_at = trio.current_time()
        while True:
            audience = self._urgent_to or Audience.ALL
            self._urgent_to = None
            self._urgent = trio.Event()
            self._number += 1
            await self._send_round(encoder, audience)
            if audience is Audience.ALL:
                next_at = trio.current_time() + self._sharing.period
            with trio.move_on_at(next_at):
                await self._urgent.wait()
                await trio.sleep(GATHER_TIME)

    async def _send_round(
        self, encoder: msgspec.msgpack.Encoder, audience: Audience
    ) -> None:
        entries = {entry.id: entry for entry in self._table.list_hosts()}
        sharing = self._sharing
        plan = plan_round(entries, sharing.own, self._own_domain, self._number)
        sharing.has_cells = bool(plan.receivers)
        sharing.is_reader = plan.is_reader
        pace = CELL_REPORTS_PER_SECOND if sharing.has_cells else REPORTS_PER_SECOND
        sharing.period = max(LEAST_PERIOD, plan.messages / pace)
        report = self._make_report(self._number)
        self._echoes.note_sent(self._number, read_boot_clock())
        await self._send_all(plan.mates, encoder.encode(report))
        if not plan.receivers or audience is Audience.MATES:
            return
        totals = sharing.sum_cell(report.totals, trio.current_time())
        told = self._make_cell_report(plan.cell, report, totals)
        await self._send_all(plan.receivers, encoder.encode(told))
        await self._tell_usage(encoder, entries, report)

    async def _tell_usage(
        self,
        encoder: msgspec.msgpack.Encoder,
        entries: dict[HostId, HostEntry],
        report: Report,
    ) -> None:
        """Tell the holder of the duties what this host, and hosts now gone, counted."""
        _, name = self._sharing.holder
        holder = entries.get(name)
        now = trio.current_time()
        is_due = now - self._told_usage_at >= find_usage_period(len(entries))
        if holder is None or name == report.host or not is_due:
            return
        self._told_usage_at = now
        live = {(entry.id, entry.boot) for entry in entries.values()}
        own = HostUsage(report.host, report.boot, report.began)
        gone = self._sharing.list_usage_of_gone(live | {(report.host, report.boot)})
        for usage in [own, *self._take_turns(gone)]:
            told = UsageReport(report.host, [usage])
            await self._send_to(holder, encoder.encode(told))

    def _take_turns(self, gone: list[HostUsage]) -> list[HostUsage]:
        """Return a few of the starts that are gone, others each time.

        Each goes in a datagram of its own. All in one, it was larger than what gets
        through: where several hosts of a cell lost their leases, the others' own counts
        were lost with theirs.
        """
        begin = self._number % max(1, len(gone))
        return [*gone[begin:], *gone[:begin]][:GONE_AT_ONCE]

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
        )

    async def _send_all(self, peers: list[HostEntry], data: bytes) -> None:
        for peer in peers:
            await self._send_to(peer, data)

    async def _send_to(self, peer: HostEntry, data: bytes) -> None:
        host, _, port = peer.peers.rpartition(":")
        try:
            await self._socket.sendto(data, (host, int(port)))
        except OSError as error:
            # A report is repeated by the next one; only odd errors are worth a line.
            if error.errno not in {errno.ECONNREFUSED, errno.EHOSTUNREACH}:
                log.bind(host=peer.id, reason=str(error)).warning("report not sent")
