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
    NOBODY,
    REPORTED_WINDOWS,
    Holder,
    HostUsage,
    Start,
    UsageCounts,
    UsageHeard,
    UsageQuestion,
    UsageReport,
)
from dewridge.gateway.sharing import Sharing

USAGE_PERIOD = 1.0
"""Seconds between two words on usage: less than a sum waits for, and what a host that
dies told nobody is a fifth of a short window."""
CONFIRMED_WITHIN = 0.3
"""Seconds after which a word that is not confirmed is sent again: a way there and back
behind a round of reports."""
GONE_AT_ONCE = 4
"""Starts of hosts that are gone of which is told at a time: a failure domain's worth is
told by its cells within some seconds."""
KEPT_NUMBERS = 32
"""Words whose confirmation is still waited for: those of some seconds."""
KEPT_WINDOWS = 2 * REPORTED_WINDOWS
"""Windows whose confirmations are kept: as long as counts of them are known."""
USAGE_REPORTS_PER_SECOND = 90.0
"""Words on usage that the holder of the duties takes a second, about 1% of a core."""


def find_usage_period(hosts: int) -> float:
    """Return the seconds between two words of a host on usage."""
    return max(USAGE_PERIOD, hosts / USAGE_REPORTS_PER_SECOND)


@dataclass
class UsageOutbox:
    """Which counts the holder has not confirmed.

    Attributes:
        holder: whom the confirmations are of.
        number: of the last word.
    """

    holder: Holder = NOBODY
    number: int = 0
    _confirmed: dict[Start, UsageCounts] = field(default_factory=dict)
    _sent: dict[int, HostUsage] = field(default_factory=dict)

    def note_holder(self, holder: Holder) -> None:
        """Begin anew with another holder, which may have heard nothing."""
        if holder != self.holder:
            self.holder = holder
            self._confirmed.clear()
            self._sent.clear()

    def choose(self, usage: HostUsage) -> HostUsage:
        """Return what of a start's counts the holder has not confirmed."""
        confirmed = self._confirmed.get((usage.host, usage.boot), {})
        untold = {
            window: counts
            for window, counts in usage.began.items()
            if confirmed.get(window) != counts
        }
        return HostUsage(usage.host, usage.boot, untold)

    def note_sent(self, usage: HostUsage) -> int:
        """Return the number of a word that is about to be sent."""
        self.number += 1
        self._sent[self.number] = usage
        self._sent.pop(self.number - KEPT_NUMBERS, None)
        return self.number

    def note_heard(self, number: int) -> None:
        """Take over the confirmation of a word."""
        usage = self._sent.pop(number, None)
        if usage is not None:
            start = (usage.host, usage.boot)
            self._confirmed.setdefault(start, {}).update(usage.began)

    def forget_before(self, window: int) -> None:
        """Forget what was confirmed of windows before this one."""
        for start, counts in list(self._confirmed.items()):
            kept = {at: told for at, told in counts.items() if at >= window}
            self._confirmed[start] = kept
            if not kept:
                del self._confirmed[start]


class UsageTeller:
    """Tells the holder what this host, and starts of its cell now gone, counted."""

    def __init__(
        self,
        sharing: Sharing,
        table: HostTable,
        socket: PacedSocket,
        find_window: Callable[[], int],
        list_began: Callable[[], UsageCounts],
    ) -> None:
        self._sharing = sharing
        self._table = table
        self._socket = socket
        self._find_window = find_window
        self._list_began = list_began
        self._encoder = msgspec.msgpack.Encoder()
        self._outbox = UsageOutbox()
        self._unconfirmed = 0
        self._asked_by: tuple[Holder, PeerAddress] = (NOBODY, ("", 0))

    async def run(self) -> None:
        """Tell for ever, in a large fleet."""
        while True:
            if self._sharing.has_cells:
                self._tell()
            await trio.sleep(CONFIRMED_WITHIN)
            if self._sharing.has_cells and self._unconfirmed:
                self._tell()
            period = find_usage_period(self._table.count())
            await trio.sleep(period * random.uniform(0.9, 1.1) - CONFIRMED_WITHIN)

    def _tell(self) -> None:
        sharing = self._sharing
        address = self._find_holder()
        if address is None or sharing.holder[1] == sharing.own:
            self._unconfirmed = 0
            return
        self._outbox.note_holder(sharing.holder)
        window = self._find_window()
        self._outbox.forget_before(window - KEPT_WINDOWS)
        own = HostUsage(sharing.own, sharing.boot, self._list_began())
        # Also without anything new: it tells that the windows before are complete.
        self._unconfirmed = self._post(address, window, self._outbox.choose(own))
        for usage in self._choose_gone():
            self._post(address, window, usage)

    def _find_holder(self) -> PeerAddress | None:
        """Return where to tell; a host that was cut off may not find it in its list."""
        holder, address = self._asked_by
        if holder == self._sharing.holder != NOBODY:
            return address
        name = self._sharing.holder[1]
        entries = {entry.id: entry for entry in self._list_members()}
        return read_address(entries[name].peers) if name in entries else None

    def _list_members(self) -> list[HostEntry]:
        return self._table.list_members(self._sharing.list_heard())

    def _choose_gone(self) -> list[HostUsage]:
        """Return a few of the starts that are gone and not confirmed.

        Each goes in a datagram of its own. All in one, it was larger than what gets
        through: where several hosts of a cell lost their leases, the others' own counts
        were lost with theirs.
        """
        live = {(entry.id, entry.boot) for entry in self._list_members()}
        live.add((self._sharing.own, self._sharing.boot))
        gone = [
            self._outbox.choose(usage) for usage in self._sharing.usage.list_gone(live)
        ]
        untold = [usage for usage in gone if usage.began]
        begin = self._outbox.number % max(1, len(untold))
        return [*untold[begin:], *untold[:begin]][:GONE_AT_ONCE]

    def _post(self, address: PeerAddress, window: int, usage: HostUsage) -> int:
        number = self._outbox.note_sent(usage)
        report = UsageReport(
            self._sharing.own, self._sharing.boot, number, window, [usage]
        )
        data = self._encoder.encode(report)
        self._socket.post(address, data, Urgency.MUST_ARRIVE)
        return number

    def take_report(self, report: UsageReport, sender: PeerAddress) -> None:
        """Take over another host's word on usage; the holder confirms it."""
        sharing = self._sharing
        sharing.usage.note_report(report, (sharing.own, sharing.boot))
        if sharing.holder[1] != sharing.own:
            return
        heard = UsageHeard(sharing.holder, report.boot, report.number)
        self._socket.post(sender, self._encoder.encode(heard), Urgency.MUST_ARRIVE)

    def take_heard(self, heard: UsageHeard) -> None:
        """Take over the confirmation of an own word."""
        if (heard.holder, heard.boot) != (self._outbox.holder, self._sharing.boot):
            return
        self._outbox.note_heard(heard.number)
        if heard.number == self._unconfirmed:
            self._unconfirmed = 0

    def take_question(self, question: UsageQuestion, sender: PeerAddress) -> None:
        """Tell at once what a holder lacks that asks for it."""
        if question.holder < self._sharing.holder:
            return
        self._sharing.note_holder(question.holder)
        self._asked_by = (question.holder, sender)
        self._tell()

    def ask(self, hosts: Iterable[HostEntry]) -> None:
        """Ask hosts, as the holder of the duties, for what they counted."""
        data = self._encoder.encode(UsageQuestion(self._sharing.holder))
        for host in hosts:
            self._socket.post(read_address(host.peers), data, Urgency.MUST_ARRIVE)
