"""Usage reports to the holder of the duties, sent again until they are confirmed.

Accounts are billed by the sums that the holder computes. On a lossy link, usage reports
without confirmation could all get lost, which would leave the host's requests out of
every sum. So the holder confirms each report, and asks the hosts whose counts of a
window it is missing.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec
import trio

from dewridge.gateway.datagrams import PacedSocket, PeerAddress, Urgency, read_address
from dewridge.gateway.hosts import HostEntry, HostTable
from dewridge.gateway.reports import (
    NO_HOLDER,
    REPORTED_WINDOWS,
    DutyHolder,
    HostIncarnation,
    HostUsage,
    UsageConfirmation,
    UsageCounts,
    UsageReport,
    UsageRequest,
)
from dewridge.gateway.sharing import SharedReports

MIN_USAGE_PERIOD = 1.0
"""Minimum seconds between two usage reports of a host. This is less than the
time that a sum waits for them, and a host that crashes leaves at most a fifth of a
short usage window unreported."""
CONFIRMATION_TIMEOUT = 0.3
"""Seconds after which an unconfirmed report is sent again: a round trip, with the
report and its confirmation queued behind a round of reports."""
MAX_DEPARTED_PER_SEND = 4
"""Departed incarnations whose usage is sent at a time: at this rate the cells of a
failure domain report for all its hosts within a few seconds."""
MAX_PENDING_REPORTS = 32
"""Number of reports that may still be confirmed: those of the last few seconds."""
RETAINED_WINDOWS = 2 * REPORTED_WINDOWS
"""Number of windows whose confirmations are kept: as many as their counts are kept."""
MAX_USAGE_REPORTS_PER_SECOND = 90.0
"""Usage reports that the holder of the duties receives per second: about 1% of a
core."""


def compute_usage_report_period(hosts: int) -> float:
    """Return the seconds between two usage reports of a host."""
    return max(MIN_USAGE_PERIOD, hosts / MAX_USAGE_REPORTS_PER_SECOND)


@dataclass
class UsageOutbox:
    """Tracks which usage counts a holder of the duties has confirmed.

    Attributes:
        holder: the holder whose confirmations are tracked.
        number: sequence number of the last report.
    """

    holder: DutyHolder = NO_HOLDER
    number: int = 0
    _confirmed: dict[HostIncarnation, UsageCounts] = field(default_factory=dict)
    _sent: dict[int, HostUsage] = field(default_factory=dict)

    def set_holder(self, holder: DutyHolder) -> None:
        """Discard all confirmations if the holder changed.

        A new holder may have received no counts yet.
        """
        if holder != self.holder:
            self.holder = holder
            self._confirmed.clear()
            self._sent.clear()

    def select_unconfirmed(self, usage: HostUsage) -> HostUsage:
        """Return the windows of a host's usage that the holder has not confirmed."""
        confirmed = self._confirmed.get((usage.host, usage.boot), {})
        unconfirmed = {
            window: counts
            for window, counts in usage.usage_counts.items()
            if confirmed.get(window) != counts
        }
        return HostUsage(usage.host, usage.boot, unconfirmed)

    def record_sent(self, usage: HostUsage) -> int:
        """Record a report that is about to be sent, and return its sequence number."""
        self.number += 1
        self._sent[self.number] = usage
        self._sent.pop(self.number - MAX_PENDING_REPORTS, None)
        return self.number

    def apply_confirmation(self, number: int) -> None:
        """Apply the confirmation of the report with a sequence number."""
        usage = self._sent.pop(number, None)
        if usage is not None:
            incarnation = (usage.host, usage.boot)
            self._confirmed.setdefault(incarnation, {}).update(usage.usage_counts)

    def discard_before(self, window: int) -> None:
        """Discard the confirmations of windows before this one."""
        for incarnation, usage_counts in list(self._confirmed.items()):
            retained = {
                at: counts for at, counts in usage_counts.items() if at >= window
            }
            self._confirmed[incarnation] = retained
            if not retained:
                del self._confirmed[incarnation]


class UsageReporter:
    """Reports usage of this host and of departed hosts to the holder of the duties.

    On the holder it confirms the reports of other hosts. It only sends in a fleet that
    is large enough for cells.
    """

    def __init__(
        self,
        sharing: SharedReports,
        host_table: HostTable,
        socket: PacedSocket,
        find_window: Callable[[], int],
        list_usage_counts: Callable[[], UsageCounts],
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._sharing = sharing
        self._host_table = host_table
        self._socket = socket
        self._find_window = find_window
        self._list_usage_counts = list_usage_counts
        self._encoder = msgspec.msgpack.Encoder()
        self._outbox = UsageOutbox()
        self._unconfirmed_number = 0
        self._last_request: tuple[DutyHolder, PeerAddress] = (NO_HOLDER, ("", 0))

    async def run(self) -> None:
        """Send usage reports forever, in a fleet with cells."""
        while True:
            if self._sharing.has_cells:
                self._send_usage()
            await trio.sleep(CONFIRMATION_TIMEOUT)
            if self._sharing.has_cells and self._unconfirmed_number:
                self._send_usage()
            period = compute_usage_report_period(self._host_table.count())
            await trio.sleep(
                period * self._rng.uniform(0.9, 1.1) - CONFIRMATION_TIMEOUT
            )

    def _send_usage(self) -> None:
        sharing = self._sharing
        address = self._find_holder_address()
        if address is None or sharing.holder[1] == sharing.local_host:
            self._unconfirmed_number = 0
            return
        self._outbox.set_holder(sharing.holder)
        window = self._find_window()
        self._outbox.discard_before(window - RETAINED_WINDOWS)
        local = HostUsage(sharing.local_host, sharing.boot, self._list_usage_counts())
        # Sent even without new counts: it shows that earlier windows are complete.
        self._unconfirmed_number = self._enqueue(
            address, window, self._outbox.select_unconfirmed(local)
        )
        for usage in self._select_departed():
            self._enqueue(address, window, usage)

    def _find_holder_address(self) -> PeerAddress | None:
        """Return the address of the holder, or None if it is unknown.

        A host that was partitioned may not have the holder in its table of hosts; it
        then uses the address from which the holder's request came.
        """
        holder, address = self._last_request
        if holder == self._sharing.holder != NO_HOLDER:
            return address
        name = self._sharing.holder[1]
        entries = {entry.id: entry for entry in self._list_members()}
        return read_address(entries[name].peers) if name in entries else None

    def _list_members(self) -> list[HostEntry]:
        return self._host_table.list_members(self._sharing.list_live_hosts())

    def _select_departed(self) -> list[HostUsage]:
        """Return the unconfirmed usage of a few departed incarnations.

        Each is sent in its own datagram. A single datagram with all of them was too
        large to arrive: where several hosts of a cell lost their leases, the counts of
        the other hosts were lost together with theirs.
        """
        live = {(entry.id, entry.boot) for entry in self._list_members()}
        live.add((self._sharing.local_host, self._sharing.boot))
        departed = [
            self._outbox.select_unconfirmed(usage)
            for usage in self._sharing.usage.list_departed(live)
        ]
        unconfirmed = [usage for usage in departed if usage.usage_counts]
        begin = self._outbox.number % max(1, len(unconfirmed))
        return [*unconfirmed[begin:], *unconfirmed[:begin]][:MAX_DEPARTED_PER_SEND]

    def _enqueue(self, address: PeerAddress, window: int, usage: HostUsage) -> int:
        number = self._outbox.record_sent(usage)
        report = UsageReport(
            self._sharing.local_host, self._sharing.boot, number, window, [usage]
        )
        data = self._encoder.encode(report)
        self._socket.enqueue(address, data, Urgency.CONFIRMED)
        return number

    def receive_report(self, report: UsageReport, sender: PeerAddress) -> None:
        """Apply a usage report of another host, and confirm it as the holder."""
        sharing = self._sharing
        sharing.usage.apply_report(report, (sharing.local_host, sharing.boot))
        if sharing.holder[1] != sharing.local_host:
            return
        confirmation = UsageConfirmation(sharing.holder, report.boot, report.number)
        self._socket.enqueue(
            sender, self._encoder.encode(confirmation), Urgency.CONFIRMED
        )

    def receive_confirmation(self, confirmation: UsageConfirmation) -> None:
        """Apply the confirmation of a report that this process sent to the holder."""
        if (confirmation.holder, confirmation.boot) != (
            self._outbox.holder,
            self._sharing.boot,
        ):
            return
        self._outbox.apply_confirmation(confirmation.number)
        if confirmation.number == self._unconfirmed_number:
            self._unconfirmed_number = 0

    def receive_request(self, request: UsageRequest, sender: PeerAddress) -> None:
        """Send usage immediately to a holder that asks for it.

        A request of an earlier holder than the one known here is ignored.
        """
        if request.holder < self._sharing.holder:
            return
        self._sharing.record_holder(request.holder)
        self._last_request = (request.holder, sender)
        self._send_usage()

    def request_usage(self, hosts: Iterable[HostEntry]) -> None:
        """Ask hosts for their usage, as the holder of the duties."""
        data = self._encoder.encode(UsageRequest(self._sharing.holder))
        for host in hosts:
            self._socket.enqueue(read_address(host.peers), data, Urgency.CONFIRMED)
