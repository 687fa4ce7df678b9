"""Periodic rounds of reports between hosts, and urgent messages outside of them."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import msgspec
import trio
from loguru import logger as log

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.datagrams import (
    MAX_BATCH,
    PacedSocket,
    PeerAddress,
    Urgency,
    read_address,
)
from dewridge.gateway.echoes import SentReportTimes
from dewridge.gateway.hosts import HostEntry, HostTable
from dewridge.gateway.limitsharing import merge_cell_limits
from dewridge.gateway.messages.decoding import decode_message
from dewridge.gateway.reports import (
    CellReport,
    DepartureReport,
    HostMessage,
    Report,
    ServerRegistrations,
    StreamVersionMessage,
    SuspectReport,
    SuspectUpdate,
    Totals,
    UsageConfirmation,
    UsageReport,
    UsageRequest,
    VersionNotice,
    VersionQuery,
)
from dewridge.gateway.sharing import (
    CELL_REPORTS_PER_SECOND,
    MIN_REPORT_PERIOD,
    REPORTS_PER_SECOND,
    SharedReports,
)
from dewridge.gateway.usagetelling import UsageReporter
from dewridge.ids import BackendServerId, FailureDomain, HostId
from dewridge.policy.cells import CellName, assign_cells, find_cell, list_receivers
from dewridge.policy.documentsources import rank_hosts
from dewridge.sentinels import Failure

URGENT_BATCH_DELAY = 0.02
"""Seconds for which urgent updates are collected before they are sent: the servers of a
failure domain leave within that time."""
RECEIVE_DELAY_PERIODS = 0.2
"""Pause after messages were received, in periods of the rounds. Without it, each one
wakes the process, 40 times a second in a large fleet. The pause adds a tenth of a
period to the age of a report on average; the stated staleness of reports allows half a
period for a busy process."""
MAX_RECEIVE_DELAY = 0.1
"""Upper limit on that pause in seconds: a tenth of the notice of a reclaimed server."""
MAX_SUSPECTS_PER_DATAGRAM = 16
"""About 1.5 KB, which fits into the queue of a weak link in addition to a round."""
READERS_PER_CELL = 1
"""Hosts of each cell that follow the store for the other hosts. What one of them learns
is sent to all cells: when the store rejects a third of the hosts, the probability that
these include the readers of all eight cells of 85 hosts is 1 in 6,000."""


class Recipients(Enum):
    """Recipients of an urgent message."""

    ALL = "all of a round"
    CELL_PEERS = "the own cell"


@dataclass(frozen=True, slots=True)
class Round:
    """Recipients of a round of reports.

    Attributes:
        cell: this host's cell.
        cell_peers: the other hosts of the cell.
        receivers: the hosts of other cells that this host reports to.
        is_reader: whether this host follows the store on behalf of its cell.
        reader_count: number of hosts that follow the store.
    """

    cell: CellName
    cell_peers: list[HostEntry]
    receivers: list[HostEntry]
    is_reader: bool
    reader_count: int = 1

    @property
    def message_count(self) -> int:
        """Number of messages in the round."""
        return len(self.cell_peers) + len(self.receivers)


def plan_round(
    entries: dict[HostId, HostEntry],
    local_host: HostId,
    local_domain: FailureDomain,
    number: int,
    local_link_mbps: float = 0.0,
) -> Round:
    """Return the recipients of a round of reports.

    The hosts of a cell with the fastest links are its readers: what they read from the
    store delays answers the least.

    Args:
        entries: the hosts that exchange reports, by id.
        local_host: this host; it may not be registered yet.
        local_domain: failure domain of this host.
        number: sequence number of the round.
        local_link_mbps: bandwidth of this host's link in Mbit/s; 0 if unknown.
    """
    domains = {host: entry.failure_domain for host, entry in entries.items()}
    domains[local_host] = local_domain
    cells = assign_cells(domains)
    cell = find_cell(cells, local_host)
    assert cell is not None
    cell_peers = [host for host in cells[cell] if host != local_host]
    receivers = list_receivers(cells, local_host, number)
    links = {host: entries[host].link_mbps for host in cell_peers}
    links[local_host] = local_link_mbps
    return Round(
        cell=cell,
        cell_peers=[entries[host] for host in cell_peers],
        receivers=[entries[host] for host in receivers],
        is_reader=len(cells) == 1 or local_host in rank_hosts(links)[:READERS_PER_CELL],
        reader_count=1 if len(cells) == 1 else READERS_PER_CELL * len(cells),
    )


class ReportLink:
    """Sends the reports of this host and receives those of the other hosts.

    Attributes:
        on_departures: called with each urgent message about departing servers.
        list_departing: returns seconds until each departing server stops serving.
        list_registrations: returns what qualifies these departures.
        on_suspects: called with each urgent message about suspect requests.
        list_suspects: returns the suspects not yet sent in an urgent message.
        on_dated_report: called with each report of a cell peer that can be dated, and
            the earliest time on the boot clock at which it can have been made.
        on_stream_message: called with each message on the versions of streams.
        on_version: called with each host that has a version, and the version.
        get_version: returns the version of the configuration in force; 0 for none.
        check_stall: called before messages are received.
        link_mbps: bandwidth of this host's link in Mbit/s; 0 if unknown.
    """

    def __init__(
        self,
        socket: PacedSocket,
        sharing: SharedReports,
        host_table: HostTable,
        local_domain: FailureDomain,
        make_report: Callable[[int], Report],
        sent_times: SentReportTimes,
        usage_reporter: UsageReporter,
        on_confirmed: Callable[[int, float], None],
    ) -> None:
        self._socket = socket
        self._sharing = sharing
        self._host_table = host_table
        self._local_domain = local_domain
        self._make_report = make_report
        self._sent_times = sent_times
        self._usage_reporter = usage_reporter
        self._on_confirmed = on_confirmed
        self.on_departures: Callable[[DepartureReport], None] = lambda report: None
        self.list_departing: Callable[[], dict[BackendServerId, float]] = dict
        self.list_registrations: Callable[[], ServerRegistrations] = ServerRegistrations
        self.on_suspects: Callable[[SuspectReport], None] = lambda report: None
        self.list_suspects: Callable[[], list[SuspectUpdate]] = list
        self.on_dated_report: Callable[[Report, float], None] = lambda report, at: None
        self.on_stream_message: Callable[[StreamVersionMessage, PeerAddress], None] = (
            lambda message, sender: None
        )
        self.on_version: Callable[[HostId, int], None] = lambda host, version: None
        self.get_version: Callable[[], int] = lambda: 0
        self.link_mbps = 0.0
        self._notices: dict[HostId, int] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._number = 0
        self._planned_members: list[HostEntry] = []
        self._plans: dict[int, Round] = {}
        self._urgent_requested = trio.Event()
        self._urgent_recipients: Recipients | None = None
        self._is_round_due = False
        self._drops_reports = False
        self.check_stall: Callable[[], None] = lambda: None

    async def receive(self) -> None:
        """Receive and apply messages forever."""
        while True:
            self.check_stall()
            batch = self._socket.receive_batch()
            for data, sender in batch:
                message = decode_message(data)
                if isinstance(message, Failure):
                    log.bind(reason=message.reason).warning(
                        "datagram cannot be decoded"
                    )
                    continue
                self.receive_message(message, sender)
            if len(batch) < MAX_BATCH:
                self._drops_reports = False
            if len(batch) == MAX_BATCH:
                await trio.lowlevel.checkpoint()
            elif batch:
                delay = self._sharing.period * RECEIVE_DELAY_PERIODS
                await trio.sleep(min(MAX_RECEIVE_DELAY, delay))
            else:
                await self._socket.wait_for_input()

    def handle_stall(self) -> None:
        """Ignore the periodic reports that arrived while this process did not run.

        They would show what their senders knew, and that they were alive, as of now.
        Departures and returns name the registration, and apply whenever they are read.
        """
        self._drops_reports = True

    def receive_message(self, message: HostMessage, sender: PeerAddress) -> None:
        """Apply a message of a peer."""
        if self._drops_reports and isinstance(message, Report | CellReport):
            self.on_departures(
                DepartureReport(
                    message.host,
                    message.departing_servers,
                    is_cell_local=True,
                    registrations=message.registrations,
                )
            )
            return
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
            case VersionNotice():
                self._apply_version_notice(message)
            case VersionQuery():
                self._answer_version_query(sender)
            case CellReport():
                self._sharing.apply_report(message, trio.current_time())
            case Report():
                self._apply_report(message)
            case _:
                self.on_stream_message(message, sender)

    def _apply_report(self, report: Report) -> None:
        self._sharing.apply_report(report, trio.current_time())
        confirmed_at = self._sent_times.find_confirmation_time(report)
        if confirmed_at is not None:
            self._on_confirmed(report.version, confirmed_at)
        made_at = self._sent_times.find_earliest_time(report)
        if made_at is not None:
            self.on_dated_report(report, made_at)

    def announce_version(self, version: int) -> None:
        """Tell the other hosts at once that this host has a version."""
        self._notices[self._sharing.local_host] = version
        self.schedule_urgent_send(Recipients.ALL)

    def ask_version(self, peer: HostEntry) -> None:
        """Ask a peer for a notice of its version."""
        query = VersionQuery(self._sharing.local_host)
        self._enqueue([peer], self._encoder.encode(query), Urgency.URGENT)

    def _answer_version_query(self, sender: PeerAddress) -> None:
        # The host that asks may not be registered yet.
        notice = VersionNotice(
            self._sharing.local_host, self.get_version(), is_cell_local=True
        )
        self._socket.enqueue(sender, self._encoder.encode(notice), Urgency.URGENT)

    def _apply_version_notice(self, notice: VersionNotice) -> None:
        if notice.host == self._sharing.local_host:
            return
        self.on_version(notice.host, notice.version)
        if not notice.is_cell_local:
            self._notices[notice.host] = notice.version
            self.schedule_urgent_send(Recipients.CELL_PEERS)

    def schedule_round(self) -> None:
        """Send the next round of reports soon, with what has just changed."""
        self._is_round_due = True
        self._urgent_requested.set()

    def schedule_urgent_send(self, recipients: Recipients) -> None:
        """Send departing servers and suspect requests before the next round.

        A reclaimed server stops one second after its notice, so that its streams could
        not be moved in time with the periodic rounds alone. A request that crashes
        servers arrives again at other hosts within tenths of a second.
        """
        if self._urgent_recipients is not Recipients.ALL:
            self._urgent_recipients = recipients
        self._urgent_requested.set()

    async def send(self) -> None:
        """Send rounds of reports and urgent messages forever."""
        while True:
            self._number += 1
            self._send_round(self._plan_round())
            next_at = trio.current_time() + self._sharing.period
            while trio.current_time() < next_at and not self._is_round_due:
                with trio.move_on_at(next_at):
                    await self._urgent_requested.wait()
                    await trio.sleep(URGENT_BATCH_DELAY)
                self._send_urgent()
            self._is_round_due = False

    def _plan_round(self) -> Round:
        """Return the recipients of a round, planned anew when the members change.

        Even rounds have the same recipients, and so have odd ones, since the two
        senders of a report between cells alternate.
        """
        members = self._host_table.list_members(self._sharing.list_live_hosts())
        if members != self._planned_members:
            self._planned_members = members
            self._plans.clear()
        parity = self._number % 2
        plan = self._plans.get(parity)
        if plan is None:
            entries = {entry.id: entry for entry in members}
            plan = self._plans[parity] = plan_round(
                entries,
                self._sharing.local_host,
                self._local_domain,
                self._number,
                self.link_mbps,
            )
        return plan

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
        sharing.period = self._compute_period(plan, size)
        self._sent_times.record_sent(self._number, read_boot_clock())
        self._socket.begin_round()
        self._enqueue(plan.cell_peers, data, Urgency.PERIODIC)
        self._enqueue(plan.receivers, cell_data, Urgency.PERIODIC)

    def _compute_period(self, plan: Round, size: int) -> float:
        """Return the seconds until the next round, enough to send all of this one."""
        pace = CELL_REPORTS_PER_SECOND if plan.receivers else REPORTS_PER_SECOND
        return max(
            MIN_REPORT_PERIOD, plan.message_count / pace, size / self._socket.rate
        )

    def _send_urgent(self) -> None:
        recipients, self._urgent_recipients = self._urgent_recipients, None
        self._urgent_requested = trio.Event()
        if recipients is None:
            return
        plan = self._plan_round()
        suspects = self.list_suspects()
        self._send_notices(plan)
        self._enqueue_urgent(plan.cell_peers, suspects, is_cell_local=True)
        if recipients is Recipients.ALL:
            self._enqueue_urgent(plan.receivers, suspects, is_cell_local=False)

    def _send_notices(self, plan: Round) -> None:
        """Send notices of versions to the cell, and those of this host to all cells."""
        notices, self._notices = self._notices, {}
        for host, version in notices.items():
            local = VersionNotice(host, version, is_cell_local=True)
            self._enqueue(plan.cell_peers, self._encoder.encode(local), Urgency.URGENT)
            if host == self._sharing.local_host:
                remote = VersionNotice(host, version, is_cell_local=False)
                data = self._encoder.encode(remote)
                self._enqueue(plan.receivers, data, Urgency.URGENT)

    def _enqueue_urgent(
        self,
        peers: list[HostEntry],
        suspects: list[SuspectUpdate],
        *,
        is_cell_local: bool,
    ) -> None:
        local_host = self._sharing.local_host
        departing, registrations = self.list_departing(), self.list_registrations()
        if departing or registrations:
            departures = DepartureReport(
                local_host, departing, is_cell_local, registrations
            )
            self._enqueue(peers, self._encoder.encode(departures), Urgency.URGENT)
        for begin in range(0, len(suspects), MAX_SUSPECTS_PER_DATAGRAM):
            part = suspects[begin : begin + MAX_SUSPECTS_PER_DATAGRAM]
            suspect_report = SuspectReport(local_host, part, is_cell_local)
            self._enqueue(peers, self._encoder.encode(suspect_report), Urgency.URGENT)

    def _make_cell_report(
        self, cell: CellName, report: Report, totals: Totals
    ) -> CellReport:
        now = trio.current_time()
        limits = merge_cell_limits(report.limits, self._sharing, report.number, now)
        unready = self._sharing.list_unready_cell_peers(now)
        if not report.is_ready:
            unready.append(report.host)
        partitioned = self._sharing.list_partitioned_cell_peers(now)
        if report.is_partitioned:
            partitioned.append(report.host)
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
            limits=limits,
            partitioned=partitioned,
            rejections=report.rejections,
            releases=report.releases,
            registrations=report.registrations,
        )

    def _enqueue(self, peers: list[HostEntry], data: bytes, urgency: Urgency) -> None:
        """Send to all peers, rotating the first one so that none is always the last."""
        first = self._number % max(1, len(peers))
        for peer in [*peers[first:], *peers[:first]]:
            self._socket.enqueue(read_address(peer.peers), data, urgency)
