"""State of the group as known to this host: members, rumors and pending updates.

It does no I/O, and the time is an argument. Listeners are called synchronously.
"""

from collections.abc import Callable, Iterable

from loguru import logger as log

from dewridge.ids import HostId, Incarnation
from dewridge.membership.buckets import BucketHashes
from dewridge.membership.messages import (
    make_record,
    make_rumor,
    measure_record,
    read_members,
    read_rumors,
)
from dewridge.membership.model import FENCED_RUMOR, Member, MemberState, Rumor
from dewridge.membership.news import (
    UpdateKey,
    UpdateKind,
    UpdateQueue,
    count_transmissions,
)
from dewridge.membership.rumors import MergeResult, RumorTable, measure_rumor
from dewridge.membership.table import MemberTable
from dewridge.metrics.registry import Metrics
from dewridge.peers.model import Message
from dewridge.settings.schema import MembershipSettings

MAX_UPDATE_BYTES = 1_024
"""Bytes of updates in one message. A node sends about four messages a second, so that
the control traffic stays near 3 KB/s even after the loss of a failure domain, 63 of 440
hosts. The updates about all 63, as short records, fit into four messages."""

_SUSPECT_OR_DEAD = (MemberState.SUSPECT, MemberState.DEAD)

MAX_SUSPECTS_PER_PROBE = 4
"""Suspects listed in each probe, in 220 bytes, and only while there are any. With one
or two probes a second, the few suspects of an ordinary day are each listed several
times before they are declared dead."""

MAX_SYNC_UPDATES = 16
"""Items received by joining or comparing, up to which they are sent on as updates. A
joining host receives 440 members that all know each other; sending these on would fill
every message for minutes. After a partition ends, comparisons distribute the items."""
LARGE_BACKLOG = 64
LARGE_BACKLOG_TRANSMISSIONS = 3
"""Number of pending updates beyond which each is sent at most three times, for example
when the 63 hosts of a failure domain change twice, or all hosts start at once. One
member in twenty then misses an update and gets it by a comparison. With ten
transmissions, 440 joins would cost each node 440 KB."""

MAX_NOTIFIED_HOSTS = 1_000
"""Hosts whose last reported state is stored for the listeners. At twice this number,
entries of hosts that are no longer known are dropped. Otherwise the table would grow
without bound over months of replaced hosts."""

Listener = Callable[[Member], None]
RumorListener = Callable[[Rumor], None]


class GroupState:
    """Members, rumors and pending updates, and the listeners for their changes.

    Attributes:
        buckets: hashes of all members and rumors, for comparisons.
        table: the known members.
        rumors: the known rumors.
        wake_sender: called when there are updates that should not wait for a probe.
    """

    def __init__(
        self, local_member: Member, settings: MembershipSettings, metrics: Metrics
    ) -> None:
        self.buckets = BucketHashes()
        self.table = MemberTable(local_member, self.buckets, settings.suspicion)
        self.rumors = RumorTable(self.buckets)
        self.wake_sender: Callable[[], None] = lambda: None
        self._multiplier = settings.retransmissions
        self._metrics = metrics
        self._updates = UpdateQueue()
        self._listeners: list[Listener] = []
        self._rumor_listeners: dict[str, list[RumorListener]] = {}
        self._notified: dict[HostId, tuple[Incarnation, MemberState]] = {}

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` synchronously on each change of another member's state."""
        self._listeners.append(listener)

    def subscribe_rumors(self, kind: str, listener: RumorListener) -> None:
        """Call `listener` on each new rumor of a kind, and now with each known one."""
        self._rumor_listeners.setdefault(kind, []).append(listener)
        for rumor in self.rumors.list_kind(kind):
            self._call(listener, rumor)

    def merge(
        self,
        records: list[Message] | None,
        rumors: list[Message] | None,
        now: float,
        *,
        from_sync: bool = False,
    ) -> int:
        """Apply the members and rumors of a message.

        Args:
            records: members of the message.
            rumors: rumors of the message.
            now: the time.
            from_sync: whether the message is the answer to a join or part of a
                comparison, and not an update.

        Returns:
            How many items were new.
        """
        items = len(records or []) + len(rumors or [])
        is_broadcast = not from_sync or items <= MAX_SYNC_UPDATES
        count = 0
        for claim in read_members(records):
            changes = self.table.merge(claim, now, from_sync=from_sync)
            count += self.handle_changes(changes, is_broadcast=is_broadcast)
        for rumor, age in read_rumors(rumors):
            count += self.receive_rumor(rumor, age, now, is_broadcast=is_broadcast)
        return count

    def handle_changes(
        self, changes: Iterable[Member], *, is_broadcast: bool = True
    ) -> int:
        """Notify listeners of changes, and broadcast them if asked; return how many."""
        count = 0
        for member in changes:
            count += 1
            if is_broadcast:
                key = UpdateKey(UpdateKind.MEMBER, member.host)
                self._updates.add(key, is_prioritized=_is_prioritized(member))
            self._notify_listeners(member)
        if count and is_broadcast:
            self.wake_sender()
        return count

    def broadcast_local_member(self, local_member: Member) -> None:
        """Send a change of the local member to the other members."""
        self._updates.add(
            UpdateKey(UpdateKind.MEMBER, local_member.host), is_prioritized=True
        )
        self.wake_sender()
        log.info(
            "this host is {}, refutation {}",
            local_member.state.name,
            local_member.refutation,
        )

    def receive_rumor(
        self, rumor: Rumor, age: float, now: float, *, is_broadcast: bool = True
    ) -> bool:
        """Store a rumor, notify listeners, and broadcast it if asked.

        Returns:
            Whether the rumor was new.
        """
        result = self.rumors.merge(rumor, age, now)
        if result is MergeResult.OVER_LIMIT:
            self._metrics.add("membership_rumors_refused", kind=rumor.kind)
        if result is not MergeResult.NEW:
            return False
        self._metrics.add("membership_rumors_heard", kind=rumor.kind)
        if is_broadcast:
            key = UpdateKey(UpdateKind.RUMOR, rumor.kind, rumor.subject)
            self._updates.add(key, is_prioritized=not rumor.routine)
        if is_broadcast and not rumor.routine:
            self.wake_sender()
        if rumor.kind == FENCED_RUMOR:
            host, incarnation = HostId(rumor.subject), Incarnation(rumor.version)
            self.handle_changes(self.table.fence(host, incarnation, now))
        for listener in self._rumor_listeners.get(rumor.kind, []):
            self._call(listener, rumor)
        return True

    def select_updates(
        self,
        now: float,
        about: Member | None = None,
        known: frozenset[UpdateKey] = frozenset(),
    ) -> tuple[list[Message], list[Message]]:
        """Return the records and rumors for one message.

        Args:
            now: the time.
            about: the receiver. If this host knows it as suspect or dead, its
                record is included, so that it can refute or terminate.
            known: updates that the receiver has just sent.
        """
        max_transmissions = count_transmissions(
            self._multiplier, self.table.alive_count
        )
        if len(self._updates) > LARGE_BACKLOG:
            max_transmissions = min(max_transmissions, LARGE_BACKLOG_TRANSMISSIONS)
        keys = self._updates.select_for_message(
            self._measure, MAX_UPDATE_BYTES, max_transmissions, known
        )
        members = [self.table.find(HostId(k.subject)) for k in keys if _is_member(k)]
        records = [make_record(member) for member in members if member is not None]
        if about is not None and about.state in _SUSPECT_OR_DEAD:
            records.append(make_record(about))
        found = [
            self.rumors.find(k.subject, k.detail) for k in keys if not _is_member(k)
        ]
        rumors = [rumor for rumor in found if rumor is not None]
        return records, self.make_rumors(rumors, now)

    def make_suspect_records(self) -> list[Message]:
        """Return the records of the suspects that will be declared dead soonest.

        A refutation is only sent for about a second, and this host may have missed
        it. If probes did not list the suspects, so that others send corrections,
        this host would declare a healthy member dead.
        """
        return [
            make_record(m) for m in self.table.list_suspects(MAX_SUSPECTS_PER_PROBE)
        ]

    def make_corrections(self, records: list[Message] | None) -> list[Message]:
        """Return records of members that refuted a received suspicion or death.

        A late claim may still be sent when the refutation is no longer sent. A
        member that applied the claim would finally declare a healthy member dead.
        """
        corrections = []
        for claim in read_members(records):
            known = self.table.find(claim.host)
            is_stale = claim.state in _SUSPECT_OR_DEAD and not self.table.is_newer(
                claim
            )
            if known is not None and is_stale and known.state not in _SUSPECT_OR_DEAD:
                corrections.append(make_record(known))
        return corrections

    def make_rumors(self, rumors: Iterable[Rumor], now: float) -> list[Message]:
        """Return known rumors as thrift structures."""
        return [make_rumor(r, self.rumors.find_age(r, now)) for r in rumors]

    def make_records(self) -> list[Message]:
        """Return the records of all members that are not dead."""
        return [make_record(m, with_addresses=True) for m in self.table.list_live()]

    @property
    def pending_update_count(self) -> int:
        """Number of updates still to be sent."""
        return len(self._updates)

    def expire(self, now: float, timeout_multiplier: float) -> None:
        """Declare overdue suspects dead, and drop rumors past their lifetime."""
        self.handle_changes(self.table.expire(now, timeout_multiplier))
        self.rumors.expire(now)
        if len(self._notified) > 2 * MAX_NOTIFIED_HOSTS:
            known = {member.host for member in self.table.others()}
            self._notified = {
                host: state for host, state in self._notified.items() if host in known
            }

    def _measure(self, key: UpdateKey) -> int | None:
        if key.kind is UpdateKind.MEMBER:
            member = self.table.find(HostId(key.subject))
            return None if member is None else measure_record(member)
        rumor = self.rumors.find(key.subject, key.detail)
        return None if rumor is None else measure_rumor(rumor)

    def _notify_listeners(self, member: Member) -> None:
        current = member.incarnation, member.state
        if self._notified.get(member.host) == current:
            return
        self._notified[member.host] = current
        self._metrics.add("membership_changes", state=member.state.name)
        log.info("host {} is {}", member.host, member.state.name)
        for listener in self._listeners:
            self._call(listener, member)

    def _call(self, listener: Callable[..., None], changed: Member | Rumor) -> None:
        try:
            listener(changed)
        except Exception as error:  # a listener's error must not stop the probes
            self._metrics.add("membership_listener_faults")
            log.opt(exception=error).error("a listener failed")


def list_update_keys(
    records: list[Message] | None, rumors: list[Message] | None
) -> frozenset[UpdateKey]:
    """Return the keys of the updates in a message."""
    keys = [UpdateKey(UpdateKind.MEMBER, record.host) for record in records or []]
    keys += [UpdateKey(UpdateKind.RUMOR, r.kind, r.subject) for r in rumors or []]
    return frozenset(keys)


def _is_prioritized(member: Member) -> bool:
    return member.state is not MemberState.ALIVE or member.refutation > 0


def _is_member(key: UpdateKey) -> bool:
    return key.kind is UpdateKind.MEMBER
