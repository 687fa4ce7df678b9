"""Telling the holder of the duties what requests began: again until it is confirmed.

Accounts are billed by the holder's sums. A word on usage that gets lost each time, on a
link that drops, leaves its host's requests out of every sum; so each word is confirmed,
and the holder asks the hosts whose counts of a window it lacks.
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
"""Seconds between two words on usage: less than a sum waits for, and what a host that
dies told nobody is a fifth of a short window."""
CONFIRMATION_TIMEOUT = 0.3
"""Seconds after which a word that is not confirmed is sent again: a way there and back
behind a round of reports."""
MAX_DEPARTED_PER_SEND = 4
"""Starts of hosts that are gone of which is told at a time: a failure domain's worth is
told by its cells within some seconds."""
MAX_PENDING_REPORTS = 32
"""Words whose confirmation is still waited for: those of some seconds."""
RETAINED_WINDOWS = 2 * REPORTED_WINDOWS
"""Windows whose confirmations are kept: as long as counts of them are known."""
MAX_USAGE_REPORTS_PER_SECOND = 90.0
"""Words on usage that the holder of the duties takes a second, about 1% of a core."""


def find_usage_period(hosts: int) -> float:
    """Return the seconds between two words of a host on usage."""
    return max(MIN_USAGE_PERIOD, hosts / MAX_USAGE_REPORTS_PER_SECOND)


@dataclass
class UsageOutbox:
    """Which counts the holder has not confirmed.

    Attributes:
        holder: whom the confirmations are of.
        number: of the last word.
    """

    holder: DutyHolder = NO_HOLDER
    number: int = 0
    _confirmed: dict[HostIncarnation, UsageCounts] = field(default_factory=dict)
    _sent: dict[int, HostUsage] = field(default_factory=dict)

    def set_holder(self, holder: DutyHolder) -> None:
        """Begin anew with another holder, which may have heard nothing."""
        if holder != self.holder:
            self.holder = holder
            self._confirmed.clear()
            self._sent.clear()

    def select_unconfirmed(self, usage: HostUsage) -> HostUsage:
        """Return what of a start's counts the holder has not confirmed."""
        confirmed = self._confirmed.get((usage.host, usage.boot), {})
        untold = {
            window: counts
            for window, counts in usage.usage_counts.items()
            if confirmed.get(window) != counts
        }
        return HostUsage(usage.host, usage.boot, untold)

    def record_sent(self, usage: HostUsage) -> int:
        """Return the number of a word that is about to be sent."""
        self.number += 1
        self._sent[self.number] = usage
        self._sent.pop(self.number - MAX_PENDING_REPORTS, None)
        return self.number

    def apply_confirmation(self, number: int) -> None:
        """Take over the confirmation of a word."""
        usage = self._sent.pop(number, None)
        if usage is not None:
            start = (usage.host, usage.boot)
            self._confirmed.setdefault(start, {}).update(usage.usage_counts)

    def discard_before(self, window: int) -> None:
        """Forget what was confirmed of windows before this one."""
        for start, counts in list(self._confirmed.items()):
            kept = {at: told for at, told in counts.items() if at >= window}
            self._confirmed[start] = kept
            if not kept:
                del self._confirmed[start]


class UsageReporter:
    """Tells the holder what this host, and starts of its cell now gone, counted."""

    def __init__(
        self,
        sharing: SharedReports,
        table: HostTable,
        socket: PacedSocket,
        find_window: Callable[[], int],
        list_began: Callable[[], UsageCounts],
    ) -> None:
        self._sharing = sharing
        self._host_table = table
        self._socket = socket
        self._find_window = find_window
        self._list_usage_counts = list_began
        self._encoder = msgspec.msgpack.Encoder()
        self._outbox = UsageOutbox()
        self._unconfirmed_number = 0
        self._last_request: tuple[DutyHolder, PeerAddress] = (NO_HOLDER, ("", 0))

    async def run(self) -> None:
        """Tell for ever, in a large fleet."""
        while True:
            if self._sharing.has_cells:
                self._send_usage()
            await trio.sleep(CONFIRMATION_TIMEOUT)
            if self._sharing.has_cells and self._unconfirmed_number:
                self._send_usage()
            period = find_usage_period(self._host_table.count())
            await trio.sleep(period * random.uniform(0.9, 1.1) - CONFIRMATION_TIMEOUT)

    def _send_usage(self) -> None:
        sharing = self._sharing
        address = self._find_holder_address()
        if address is None or sharing.holder[1] == sharing.local_host:
            self._unconfirmed_number = 0
            return
        self._outbox.set_holder(sharing.holder)
        window = self._find_window()
        self._outbox.discard_before(window - RETAINED_WINDOWS)
        own = HostUsage(sharing.local_host, sharing.boot, self._list_usage_counts())
        # Also without anything new: it tells that the windows before are complete.
        self._unconfirmed_number = self._enqueue(
            address, window, self._outbox.select_unconfirmed(own)
        )
        for usage in self._select_departed():
            self._enqueue(address, window, usage)

    def _find_holder_address(self) -> PeerAddress | None:
        """Return where to tell; a host that was cut off may not find it in its list."""
        holder, address = self._last_request
        if holder == self._sharing.holder != NO_HOLDER:
            return address
        name = self._sharing.holder[1]
        entries = {entry.id: entry for entry in self._list_members()}
        return read_address(entries[name].peers) if name in entries else None

    def _list_members(self) -> list[HostEntry]:
        return self._host_table.list_members(self._sharing.list_live_hosts())

    def _select_departed(self) -> list[HostUsage]:
        """Return a few of the starts that are gone and not confirmed.

        Each goes in a datagram of its own. All in one, it was larger than what gets
        through: where several hosts of a cell lost their leases, the others' own counts
        were lost with theirs.
        """
        live = {(entry.id, entry.boot) for entry in self._list_members()}
        live.add((self._sharing.local_host, self._sharing.boot))
        gone = [
            self._outbox.select_unconfirmed(usage)
            for usage in self._sharing.usage.list_departed(live)
        ]
        untold = [usage for usage in gone if usage.usage_counts]
        begin = self._outbox.number % max(1, len(untold))
        return [*untold[begin:], *untold[:begin]][:MAX_DEPARTED_PER_SEND]

    def _enqueue(self, address: PeerAddress, window: int, usage: HostUsage) -> int:
        number = self._outbox.record_sent(usage)
        report = UsageReport(
            self._sharing.local_host, self._sharing.boot, number, window, [usage]
        )
        data = self._encoder.encode(report)
        self._socket.enqueue(address, data, Urgency.MUST_ARRIVE)
        return number

    def receive_report(self, report: UsageReport, sender: PeerAddress) -> None:
        """Take over another host's word on usage; the holder confirms it."""
        sharing = self._sharing
        sharing.usage.apply_report(report, (sharing.local_host, sharing.boot))
        if sharing.holder[1] != sharing.local_host:
            return
        heard = UsageConfirmation(sharing.holder, report.boot, report.number)
        self._socket.enqueue(sender, self._encoder.encode(heard), Urgency.MUST_ARRIVE)

    def receive_confirmation(self, heard: UsageConfirmation) -> None:
        """Take over the confirmation of an own word."""
        if (heard.holder, heard.boot) != (self._outbox.holder, self._sharing.boot):
            return
        self._outbox.apply_confirmation(heard.number)
        if heard.number == self._unconfirmed_number:
            self._unconfirmed_number = 0

    def receive_request(self, question: UsageRequest, sender: PeerAddress) -> None:
        """Tell at once what a holder lacks that asks for it."""
        if question.holder < self._sharing.holder:
            return
        self._sharing.record_holder(question.holder)
        self._last_request = (question.holder, sender)
        self._send_usage()

    def request_usage(self, hosts: Iterable[HostEntry]) -> None:
        """Ask hosts, as the holder of the duties, for what they counted."""
        data = self._encoder.encode(UsageRequest(self._sharing.holder))
        for host in hosts:
            self._socket.enqueue(read_address(host.peers), data, Urgency.MUST_ARRIVE)
