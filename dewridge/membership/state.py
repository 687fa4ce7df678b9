"""All that this host knows of the group: members, rumors, and what is news.

Pure state; the time is an argument. Listeners are called at once.
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

NEWS_BYTES = 1_024
"""Bytes of news in one message. A node sends four a second or so, so that even after
the loss of a failure domain, 63 of 440 hosts, control stays near 3 KB a second; the
news of all 63, in short records, still is out after four messages."""

_DOUBTED = (MemberState.SUSPECT, MemberState.DEAD)

DOUBTS = 4
"""Suspects named in each probe; 220 bytes, and only while there are any. A probe or
two a second name the few that may be there on an ordinary day several times over
before their time is up."""

HEARSAY_NEWS = 16
"""Items learned at once, by joining or comparing, up to which they are told on as news.
A host that joins learns of 440 members who all know each other; telling those on would
fill every message for minutes. After a cut that heals, comparisons spread them."""
BACKLOG = 64
BACKLOG_TRANSMISSIONS = 3
"""Pieces of news beyond which each is told only so often: a failure domain's 63 hosts,
twice, or the start of all hosts at once. One member in twenty then misses a piece and
finds it by comparing; at ten times, 440 joins would be 440 KB for each node."""

TOLD_LIMIT = 1_000
"""Hosts whose last told state is remembered before those forgotten are cleared out;
over months of replaced hosts it would grow without end."""

Listener = Callable[[Member], None]
RumorListener = Callable[[Rumor], None]


class GroupState:
    """Members and rumors as this host knows them.

    Attributes:
        wake_spreader: called when there is news that should not wait for a probe.
    """

    def __init__(
        self, me: Member, settings: MembershipSettings, metrics: Metrics
    ) -> None:
        self.buckets = BucketHashes()
        self.table = MemberTable(me, self.buckets, settings.suspicion)
        self.rumors = RumorTable(self.buckets)
        self.wake_spreader: Callable[[], None] = lambda: None
        self._multiplier = settings.retransmissions
        self._metrics = metrics
        self._news = UpdateQueue()
        self._listeners: list[Listener] = []
        self._rumor_listeners: dict[str, list[RumorListener]] = {}
        self._told: dict[HostId, tuple[Incarnation, MemberState]] = {}

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` on each change of another member's state."""
        self._listeners.append(listener)

    def subscribe_rumors(self, kind: str, listener: RumorListener) -> None:
        """Call `listener` on each new rumor of a kind, and now with those known."""
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
        """Take in what a message tells; returns how many items were new."""
        items = len(records or []) + len(rumors or [])
        is_news = not from_sync or items <= HEARSAY_NEWS
        count = 0
        for claim in read_members(records):
            changes = self.table.merge(claim, now, from_sync=from_sync)
            count += self.handle_changes(changes, is_broadcast=is_news)
        for rumor, age in read_rumors(rumors):
            count += self.receive_rumor(rumor, age, now, is_broadcast=is_news)
        return count

    def handle_changes(
        self, changes: Iterable[Member], *, is_broadcast: bool = True
    ) -> int:
        """Tell listeners, and others if it is news, of changes; returns how many."""
        count = 0
        for member in changes:
            count += 1
            if is_broadcast:
                key = UpdateKey(UpdateKind.MEMBER, member.host)
                self._news.add(key, is_urgent=_is_pressing(member))
            self._tell(member)
        if count and is_broadcast:
            self.wake_spreader()
        return count

    def broadcast_local_member(self, me: Member) -> None:
        """Tell other members of a change of this host's own entry."""
        self._news.add(UpdateKey(UpdateKind.MEMBER, me.host), is_urgent=True)
        self.wake_spreader()
        log.info("this host is {}, refutation {}", me.state.name, me.refutation)

    def receive_rumor(
        self, rumor: Rumor, age: float, now: float, *, is_broadcast: bool = True
    ) -> bool:
        """Keep a rumor, tell listeners, and others if it is news.

        Returns:
            Whether it was not known.
        """
        reception = self.rumors.merge(rumor, age, now)
        if reception is MergeResult.OVER_LIMIT:
            self._metrics.add("membership_rumors_refused", kind=rumor.kind)
        if reception is not MergeResult.NEW:
            return False
        self._metrics.add("membership_rumors_heard", kind=rumor.kind)
        if is_broadcast:
            key = UpdateKey(UpdateKind.RUMOR, rumor.kind, rumor.subject)
            self._news.add(key, is_urgent=not rumor.routine)
        if is_broadcast and not rumor.routine:
            self.wake_spreader()
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
            about: the receiver, who must hear what is believed of it, so that
                it can refute or learn that it was given up.
            known: what the receiver told just now.
        """
        times = count_transmissions(self._multiplier, self.table.alive_count)
        if len(self._news) > BACKLOG:
            times = min(times, BACKLOG_TRANSMISSIONS)
        keys = self._news.select_for_message(self._measure, NEWS_BYTES, times, known)
        members = [self.table.find(HostId(k.subject)) for k in keys if _is_member(k)]
        records = [make_record(member) for member in members if member is not None]
        if about is not None and about.state in _DOUBTED:
            records.append(make_record(about))
        heard = [
            self.rumors.find(k.subject, k.detail) for k in keys if not _is_member(k)
        ]
        rumors = [rumor for rumor in heard if rumor is not None]
        return records, self.make_rumors(rumors, now)

    def make_suspect_records(self) -> list[Message]:
        """Return the records of the suspects that will soon count as dead.

        A refutation that missed this host is told no more after a second. Without
        asking along with each probe, it would declare a healthy member dead.
        """
        return [make_record(m) for m in self.table.list_suspects(DOUBTS)]

    def make_corrections(self, records: list[Message] | None) -> list[Message]:
        """Return records for whoever holds a member for gone that refuted it.

        Its refutation may be told no more when a late claim still goes around;
        whoever believes that claim would in the end declare a healthy member dead.
        """
        corrections = []
        for claim in read_members(records):
            known = self.table.find(claim.host)
            is_stale = claim.state in _DOUBTED and not self.table.is_newer(claim)
            if known is not None and is_stale and known.state not in _DOUBTED:
                corrections.append(make_record(known))
        return corrections

    def make_rumors(self, rumors: Iterable[Rumor], now: float) -> list[Message]:
        """Return rumors that are known as structures."""
        return [make_rumor(r, self.rumors.find_age(r, now)) for r in rumors]

    def make_records(self) -> list[Message]:
        """Return the records of all members that are not dead."""
        return [make_record(m, with_addresses=True) for m in self.table.list_live()]

    @property
    def pending_update_count(self) -> int:
        """Pieces of news still to be told."""
        return len(self._news)

    def expire(self, now: float, stretch: float) -> None:
        """Let suspicions and lifetimes run out."""
        self.handle_changes(self.table.expire(now, stretch))
        self.rumors.expire(now)
        if len(self._told) > 2 * TOLD_LIMIT:
            known = {member.host for member in self.table.others()}
            self._told = {h: told for h, told in self._told.items() if h in known}

    def _measure(self, key: UpdateKey) -> int | None:
        if key.kind is UpdateKind.MEMBER:
            member = self.table.find(HostId(key.subject))
            return None if member is None else measure_record(member)
        rumor = self.rumors.find(key.subject, key.detail)
        return None if rumor is None else measure_rumor(rumor)

    def _tell(self, member: Member) -> None:
        now_told = member.incarnation, member.state
        if self._told.get(member.host) == now_told:
            return
        self._told[member.host] = now_told
        self._metrics.add("membership_changes", state=member.state.name)
        log.info("host {} is {}", member.host, member.state.name)
        for listener in self._listeners:
            self._call(listener, member)

    def _call(self, listener: Callable[..., None], what: Member | Rumor) -> None:
        try:
            listener(what)
        except Exception as error:  # a listener's fault must not stop the probes
            self._metrics.add("membership_listener_faults")
            log.opt(exception=error).error("a listener failed")


def list_update_keys(
    records: list[Message] | None, rumors: list[Message] | None
) -> frozenset[UpdateKey]:
    """Return what a message tells of."""
    told = [UpdateKey(UpdateKind.MEMBER, record.host) for record in records or []]
    told += [UpdateKey(UpdateKind.RUMOR, r.kind, r.subject) for r in rumors or []]
    return frozenset(told)


def _is_pressing(member: Member) -> bool:
    return member.state is not MemberState.ALIVE or member.refutation > 0


def _is_member(key: UpdateKey) -> bool:
    return key.kind is UpdateKind.MEMBER
