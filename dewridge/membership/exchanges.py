"""The messages of the membership: sending them, answering them, taking them in."""

from collections.abc import Callable, Iterable
from enum import Enum

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.ids import HostId
from dewridge.membership.health import LocalHealth
from dewridge.membership.messages import (
    is_behind,
    make_member_version,
    make_record,
    read_member,
    read_member_versions,
    read_rumor_versions,
)
from dewridge.membership.model import Member, MemberState, Rumor
from dewridge.membership.rumors import measure_rumor
from dewridge.membership.state import GroupState, list_update_keys
from dewridge.membership.table import LocalClaim
from dewridge.metrics.registry import Metrics
from dewridge.peers.model import Message, PeerIdentity, Peers
from dewridge.peers.wire import ttypes
from dewridge.sentinels import Failure

EXCHANGE_BYTES = 65_536
"""Bytes of records and rumors in one comparison. All 440 members take 48 KB; more
than that in rumors comes over in several, so that catching up can't hold up probes
that share the connection."""
ISOLATION_MEMORY = 10.0
"""Seconds after the end of an isolation within which a claim that this host is dead
is put down to it; such a claim comes with the first messages."""
LONGEST_RELAY = 5.0
"""Seconds that a relay probes for another; the longest that a slow host stretches its
timeouts to. A garbled figure must not keep a handler busy for ever."""
COMPANY = 2
"""Other hosts there must be for an isolated one to give way. Of a pair, each is alone
when cut off; both giving way would lose all that they hold."""

_GIVEN_UP = Failure(ResultCode.PEER_REFUSED, "this incarnation was given up")
"""What a host answers whose incarnation is over. FENCED would tell the asker that its
own incarnation is over, and one fenced host would take all others with it."""


class RelayResult(Enum):
    """What came of asking a member to probe another one."""

    REACHED = "reached"
    NOT_REACHED = "not_reached"
    NO_ANSWER = "no_answer"


class MessageExchange:
    """Talks with other members and keeps the state up to date with what they say.

    Attributes:
        is_terminated: whether this incarnation is over; it then stays silent.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        state: GroupState,
        health: LocalHealth,
        metrics: Metrics,
        on_fenced: Callable[[], None],
    ) -> None:
        self.is_terminated = False
        self._peers = peers
        self._state = state
        self._table = state.table
        self._health = health
        self._metrics = metrics
        self._on_fenced = on_fenced
        self._sequence = 0
        self._last_contact: float | None = None
        self._isolated_until = float("-inf")
        peers.handle(ttypes.Probe, self._answer_probe)
        peers.handle(ttypes.RelayProbe, self._answer_relay)
        peers.handle(ttypes.Join, self._answer_join)
        peers.handle(ttypes.CompareState, self._answer_compare)
        peers.handle(ttypes.ExchangeState, self._answer_exchange)

    # -- asking ------------------------------------------------------------------

    async def probe(self, target: Member, timeout: float) -> bool:
        """Probe a member; whether that incarnation of it answered."""
        now = trio.current_time()
        known = self._table.find(target.host)
        records, rumors = self._state.select_updates(now, about=known)
        self._sequence += 1
        message = ttypes.Probe(
            sequence=self._sequence,
            members=records + self._state.make_suspect_records(),
            rumors=rumors,
            target_incarnation=target.incarnation,
        )
        self._metrics.add("membership_probes")
        reply = await self._call(target.address, message, timeout)
        if not isinstance(reply, ttypes.ProbeReply):
            return False
        self._take_in(reply.members, reply.rumors)
        return bool(reply.incarnation == target.incarnation)

    async def relay(self, relay: Member, target: Member, timeout: float) -> RelayResult:
        """Ask a member to probe another one."""
        record = make_record(target, with_addresses=True)
        message = ttypes.RelayProbe(target=record, timeout=timeout)
        self._metrics.add("membership_relay_probes")
        # The relay needs the timeout for its probe; as much again for the way.
        reply = await self._call(relay.address, message, 2 * timeout)
        if not isinstance(reply, ttypes.RelayProbeReply):
            return RelayResult.NO_ANSWER
        return RelayResult.REACHED if reply.reached else RelayResult.NOT_REACHED

    async def join(self, address: str, timeout: float) -> bool:
        """Introduce this host to a member and learn all that it knows."""
        message = ttypes.Join(
            me=make_record(self._table.local_member, with_addresses=True)
        )
        reply = await self._call(address, message, timeout)
        if not isinstance(reply, ttypes.JoinReply):
            return False
        self._take_in(reply.members, reply.rumors, from_sync=True)
        return True

    async def compare(self, address: str, timeout: float) -> int | None:
        """Bring this host and a member to the same knowledge, both ways.

        Returns:
            How many items went either way; None if the member did not answer.
        """
        message = ttypes.CompareState(hashes=self._state.buckets.list_hashes())
        reply = await self._call(address, message, timeout)
        if not isinstance(reply, ttypes.CompareStateReply):
            return None
        if not reply.differing:
            return 0
        exchange = self._make_exchange(reply)
        answer = await self._call(address, exchange, timeout)
        if not isinstance(answer, ttypes.ExchangeStateReply):
            return None
        self._take_in(answer.members, answer.rumors, from_sync=True)
        sent = len(exchange.members) + len(exchange.rumors)
        return sent + len(answer.members or []) + len(answer.rumors or [])

    async def _call(
        self, address: str, message: Message, timeout: float
    ) -> Message | Failure:
        if self.is_terminated:
            await trio.lowlevel.checkpoint()
            return _GIVEN_UP
        reply = await self._peers.call(address, message, timeout)
        if not isinstance(reply, Failure):
            self._note_contact()
        elif reply.code is ResultCode.FENCED:
            self._give_up(f"refused by a peer: {reply.reason}")
        return reply

    # -- answering -----------------------------------------------------------------

    async def _answer_probe(
        self, peer: PeerIdentity, probe: Message
    ) -> Message | Failure:
        if self.is_terminated:
            return _GIVEN_UP
        self._note_contact()
        before = self._table.local_member
        self._take_in(probe.members, probe.rumors)
        prober = self._table.find(peer.host)
        known = list_update_keys(probe.members, probe.rumors)
        now = trio.current_time()
        records, rumors = self._state.select_updates(now, about=prober, known=known)
        records += self._state.make_corrections(probe.members)
        me = self._table.local_member
        if me != before or probe.target_incarnation not in (0, None, me.incarnation):
            records.append(make_record(me))
        return ttypes.ProbeReply(
            sequence=probe.sequence,
            members=records,
            rumors=rumors,
            incarnation=me.incarnation,
        )

    async def _answer_relay(
        self, peer: PeerIdentity, ask: Message
    ) -> Message | Failure:
        if self.is_terminated:
            return _GIVEN_UP
        self._note_contact()
        target = read_member(ask.target)
        if target is None:
            return Failure(ResultCode.PEER_REFUSED, "no target")
        timeout = min(float(ask.timeout), LONGEST_RELAY)
        return ttypes.RelayProbeReply(reached=await self.probe(target, timeout))

    async def _answer_join(
        self, peer: PeerIdentity, join: Message
    ) -> Message | Failure:
        if self.is_terminated:
            return _GIVEN_UP
        self._note_contact()
        self._take_in([join.me], [])
        now = trio.current_time()
        rumors = self._fit(self._state.rumors, measure_rumor)
        return ttypes.JoinReply(
            members=self._state.make_records(),
            rumors=self._state.make_rumors(rumors, now),
        )

    async def _answer_compare(
        self, peer: PeerIdentity, ask: Message
    ) -> Message | Failure:
        if self.is_terminated:
            return _GIVEN_UP
        self._note_contact()
        differing = set(self._state.buckets.find_differing(ask.hashes or []))
        members = self._table.list_buckets(differing) if differing else []
        rumors = self._state.rumors.list_buckets(differing) if differing else []
        return ttypes.CompareStateReply(
            differing=sorted(differing),
            members=[make_member_version(member) for member in members],
            rumors=[_make_rumor_version(rumor) for rumor in rumors],
        )

    def _make_exchange(self, reply: Message) -> Message:
        differing = set(reply.differing)
        theirs = {v.host: v for v in read_member_versions(reply.members)}
        versions = read_rumor_versions(reply.rumors)
        heard = {(v.kind, v.subject): v.version for v in versions}
        members = [
            member
            for member in self._table.list_buckets(differing)
            if _is_ahead(member, theirs.get(member.host))
        ]
        rumors = [
            rumor
            for rumor in self._state.rumors.list_buckets(differing)
            if rumor.version > heard.get((rumor.kind, rumor.subject), -1)
        ]
        return ttypes.ExchangeState(
            members=[make_record(member, with_addresses=True) for member in members],
            rumors=self._state.make_rumors(
                self._fit(rumors, measure_rumor), trio.current_time()
            ),
            wanted_members=[
                host for host, v in theirs.items() if is_behind(v, self._table)
            ],
            wanted_rumors=[version for version in versions if self._lacks(version)],
        )

    async def _answer_exchange(
        self, peer: PeerIdentity, exchange: Message
    ) -> Message | Failure:
        if self.is_terminated:
            return _GIVEN_UP
        self._note_contact()
        before = self._table.local_member
        self._take_in(exchange.members, exchange.rumors, from_sync=True)
        found = [self._table.find(HostId(h)) for h in exchange.wanted_members or []]
        members = [member for member in found if member is not None]
        if self._table.local_member != before:
            members.append(self._table.local_member)
        wanted = [
            self._state.rumors.find(version.kind, version.subject)
            for version in exchange.wanted_rumors or []
        ]
        rumors = self._fit([r for r in wanted if r is not None], measure_rumor)
        return ttypes.ExchangeStateReply(
            members=[make_record(member, with_addresses=True) for member in members],
            rumors=self._state.make_rumors(rumors, trio.current_time()),
        )

    def _lacks(self, version: Message) -> bool:
        known = self._state.rumors.find(version.kind, version.subject)
        return known is None or known.version < version.version

    def _fit(
        self, rumors: Iterable[Rumor], size_of: Callable[[Rumor], int]
    ) -> list[Rumor]:
        chosen = []
        left = EXCHANGE_BYTES
        for rumor in rumors:
            left -= size_of(rumor)
            if left < 0:
                break
            chosen.append(rumor)
        return chosen

    # -- what others say of this host --------------------------------------------------

    def _take_in(
        self,
        records: list[Message] | None,
        rumors: list[Message] | None,
        *,
        from_sync: bool = False,
    ) -> None:
        now = trio.current_time()
        self._state.merge(records, rumors, now, from_sync=from_sync)
        self.handle_local_claims()

    def handle_local_claims(self) -> None:
        """Refute what others claim of this host, or give this incarnation up."""
        accusations = self._table.pop_local_claims()
        if LocalClaim.SUPERSEDED in accusations:
            self._give_up("fenced, or superseded by a newer incarnation")
        elif LocalClaim.DEAD in accusations and self._was_isolated():
            self._give_up("declared dead while it stood still or was cut off")
        elif accusations:
            self._metrics.add("membership_refutations")
            if LocalClaim.SUSPECT in accusations:
                self._health.record_local_fault()
            self._state.broadcast_local_member(self._table.refute())

    def _note_contact(self) -> None:
        now = trio.current_time()
        since = now - (self._last_contact if self._last_contact is not None else now)
        if since > self._table.compute_suspicion_time():
            self._isolated_until = now + ISOLATION_MEMORY
            self._table.restart_suspicions(now)
        self._last_contact = now

    def _was_isolated(self) -> bool:
        # A host that stood still or was cut off all alone gives way: the others
        # took over what it held, and hold it coherent without it. Members that were
        # cut off together go on, for they hold each other's requests, and if all of
        # them started anew those would be lost; they refute.
        if trio.current_time() > self._isolated_until:
            return False
        return sum(1 for _ in self._table.others()) >= COMPANY

    def _give_up(self, reason: str) -> None:
        if self.is_terminated:
            return
        self.is_terminated = True
        self._metrics.add("membership_given_up")
        log.warning("this incarnation is over: {}", reason)
        self._on_fenced()


def _is_ahead(member: Member, theirs: Message | None) -> bool:
    if theirs is None:
        return member.state is not MemberState.DEAD
    ours = make_member_version(member)
    return ours != theirs and not _is_later(theirs, ours)


def _is_later(one: Message, other: Message) -> bool:
    return (one.incarnation, one.refutation) > (other.incarnation, other.refutation)


def _make_rumor_version(rumor: Rumor) -> Message:
    return ttypes.RumorVersion(
        kind=rumor.kind, subject=rumor.subject, version=rumor.version
    )
