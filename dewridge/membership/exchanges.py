"""Sends, answers and applies the messages of the membership protocol."""

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

MAX_RUMOR_BYTES = 65_536
"""Maximum bytes of rumors in one message of a join or comparison, besides the records,
which take 48 KB for 440 members. More rumors are transferred by several comparisons, so
that they don't delay the probes on the same connection."""
ISOLATION_GRACE = 10.0
"""Seconds after the end of an isolation within which a claim that this host is dead
is attributed to the isolation. Such a claim arrives with the first messages."""
MAX_RELAY_TIMEOUT = 5.0
"""Maximum seconds of a probe on behalf of another member; the longest timeout that a
slow host uses. A corrupt value must not keep a handler busy forever."""
MIN_OTHERS_TO_TERMINATE = 2
"""Minimum number of other members for an isolated host to terminate its incarnation. In
a pair, a partition isolates both; if both terminated, all requests would be lost."""

_TERMINATED = Failure(ResultCode.PEER_REFUSED, "this incarnation was given up")
"""Answer of a host whose incarnation was terminated. With FENCED, the receiver would
terminate its own incarnation, and one fenced host would terminate all others."""


class RelayResult(Enum):
    """Result of asking a member to probe another one."""

    REACHED = "reached"
    NOT_REACHED = "not_reached"
    NO_ANSWER = "no_answer"


class MessageExchange:
    """Exchanges messages with other members and applies them to the state.

    Attributes:
        is_terminated: whether this incarnation was terminated; it then neither
            sends messages nor answers them.
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

    # -- requests ----------------------------------------------------------------

    async def probe(self, target: Member, timeout: float) -> bool:
        """Probe a member; return whether the same incarnation answered."""
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
        self._apply_message(reply.members, reply.rumors)
        return bool(reply.incarnation == target.incarnation)

    async def relay(self, relay: Member, target: Member, timeout: float) -> RelayResult:
        """Ask a member to probe another one; return the result."""
        record = make_record(target, with_addresses=True)
        message = ttypes.RelayProbe(target=record, timeout=timeout)
        self._metrics.add("membership_relay_probes")
        # One timeout for the relay's probe and one for the call to the relay.
        reply = await self._call(relay.address, message, 2 * timeout)
        if not isinstance(reply, ttypes.RelayProbeReply):
            return RelayResult.NO_ANSWER
        return RelayResult.REACHED if reply.reached else RelayResult.NOT_REACHED

    async def join(self, address: str, timeout: float) -> bool:
        """Introduce this host to a member and apply the member's full state."""
        message = ttypes.Join(
            me=make_record(self._table.local_member, with_addresses=True)
        )
        reply = await self._call(address, message, timeout)
        if not isinstance(reply, ttypes.JoinReply):
            return False
        self._apply_message(reply.members, reply.rumors, from_sync=True)
        return True

    async def compare(self, address: str, timeout: float) -> int | None:
        """Synchronize the states of this host and a member in both directions.

        Returns:
            The number of items sent and received; None if the member did not answer.
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
        self._apply_message(answer.members, answer.rumors, from_sync=True)
        sent = len(exchange.members) + len(exchange.rumors)
        return sent + len(answer.members or []) + len(answer.rumors or [])

    async def _call(
        self, address: str, message: Message, timeout: float
    ) -> Message | Failure:
        if self.is_terminated:
            await trio.lowlevel.checkpoint()
            return _TERMINATED
        reply = await self._peers.call(address, message, timeout)
        if not isinstance(reply, Failure):
            self._record_contact()
        elif reply.code is ResultCode.FENCED:
            self._terminate(f"refused by a peer: {reply.reason}")
        return reply

    # -- answers -------------------------------------------------------------------

    async def _answer_probe(
        self, peer: PeerIdentity, probe: Message
    ) -> Message | Failure:
        if self.is_terminated:
            return _TERMINATED
        self._record_contact()
        member_before = self._table.local_member
        self._apply_message(probe.members, probe.rumors)
        prober = self._table.find(peer.host)
        known = list_update_keys(probe.members, probe.rumors)
        now = trio.current_time()
        records, rumors = self._state.select_updates(now, about=prober, known=known)
        records += self._state.make_corrections(probe.members)
        local_member = self._table.local_member
        if local_member != member_before or probe.target_incarnation not in (
            0,
            None,
            local_member.incarnation,
        ):
            records.append(make_record(local_member))
        return ttypes.ProbeReply(
            sequence=probe.sequence,
            members=records,
            rumors=rumors,
            incarnation=local_member.incarnation,
        )

    async def _answer_relay(
        self, peer: PeerIdentity, request: Message
    ) -> Message | Failure:
        if self.is_terminated:
            return _TERMINATED
        self._record_contact()
        target = read_member(request.target)
        if target is None:
            return Failure(ResultCode.PEER_REFUSED, "no target")
        timeout = min(float(request.timeout), MAX_RELAY_TIMEOUT)
        return ttypes.RelayProbeReply(reached=await self.probe(target, timeout))

    async def _answer_join(
        self, peer: PeerIdentity, join: Message
    ) -> Message | Failure:
        if self.is_terminated:
            return _TERMINATED
        self._record_contact()
        self._apply_message([join.me], [])
        now = trio.current_time()
        rumors = self._limit_size(self._state.rumors, measure_rumor)
        return ttypes.JoinReply(
            members=self._state.make_records(),
            rumors=self._state.make_rumors(rumors, now),
        )

    async def _answer_compare(
        self, peer: PeerIdentity, request: Message
    ) -> Message | Failure:
        if self.is_terminated:
            return _TERMINATED
        self._record_contact()
        differing = set(self._state.buckets.find_differing(request.hashes or []))
        members = self._table.list_buckets(differing) if differing else []
        rumors = self._state.rumors.list_buckets(differing) if differing else []
        return ttypes.CompareStateReply(
            differing=sorted(differing),
            members=[make_member_version(member) for member in members],
            rumors=[_make_rumor_version(rumor) for rumor in rumors],
        )

    def _make_exchange(self, reply: Message) -> Message:
        differing = set(reply.differing)
        member_versions = {v.host: v for v in read_member_versions(reply.members)}
        rumor_versions = read_rumor_versions(reply.rumors)
        peer_rumors = {(v.kind, v.subject): v.version for v in rumor_versions}
        members = [
            member
            for member in self._table.list_buckets(differing)
            if _is_ahead(member, member_versions.get(member.host))
        ]
        rumors = [
            rumor
            for rumor in self._state.rumors.list_buckets(differing)
            if rumor.version > peer_rumors.get((rumor.kind, rumor.subject), -1)
        ]
        return ttypes.ExchangeState(
            members=[make_record(member, with_addresses=True) for member in members],
            rumors=self._state.make_rumors(
                self._limit_size(rumors, measure_rumor), trio.current_time()
            ),
            wanted_members=[
                host for host, v in member_versions.items() if is_behind(v, self._table)
            ],
            wanted_rumors=[
                version for version in rumor_versions if self._lacks(version)
            ],
        )

    async def _answer_exchange(
        self, peer: PeerIdentity, exchange: Message
    ) -> Message | Failure:
        if self.is_terminated:
            return _TERMINATED
        self._record_contact()
        member_before = self._table.local_member
        self._apply_message(exchange.members, exchange.rumors, from_sync=True)
        found_members = [
            self._table.find(HostId(h)) for h in exchange.wanted_members or []
        ]
        members = [member for member in found_members if member is not None]
        if self._table.local_member != member_before:
            members.append(self._table.local_member)
        found_rumors = [
            self._state.rumors.find(version.kind, version.subject)
            for version in exchange.wanted_rumors or []
        ]
        rumors = self._limit_size(
            [r for r in found_rumors if r is not None], measure_rumor
        )
        return ttypes.ExchangeStateReply(
            members=[make_record(member, with_addresses=True) for member in members],
            rumors=self._state.make_rumors(rumors, trio.current_time()),
        )

    def _lacks(self, version: Message) -> bool:
        known = self._state.rumors.find(version.kind, version.subject)
        return known is None or known.version < version.version

    def _limit_size(
        self, rumors: Iterable[Rumor], size_of: Callable[[Rumor], int]
    ) -> list[Rumor]:
        chosen = []
        left = MAX_RUMOR_BYTES
        for rumor in rumors:
            left -= size_of(rumor)
            if left < 0:
                break
            chosen.append(rumor)
        return chosen

    # -- applying messages and claims about this host ----------------------------------

    def _apply_message(
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
        """Refute claims about this host, or terminate this incarnation."""
        claims = self._table.pop_local_claims()
        if LocalClaim.SUPERSEDED in claims:
            self._terminate("fenced, or superseded by a newer incarnation")
        elif LocalClaim.DEAD in claims and self._was_isolated():
            self._terminate("declared dead while paused or partitioned")
        elif claims:
            self._metrics.add("membership_refutations")
            if LocalClaim.SUSPECT in claims:
                self._health.record_local_fault()
            self._state.broadcast_local_member(self._table.refute())

    def _record_contact(self) -> None:
        now = trio.current_time()
        elapsed = now - (self._last_contact if self._last_contact is not None else now)
        if elapsed > self._table.compute_suspicion_time():
            self._isolated_until = now + ISOLATION_GRACE
            self._table.restart_suspicions(now)
        self._last_contact = now

    def _was_isolated(self) -> bool:
        # An isolated host, one that was paused or partitioned from all others, is
        # terminated: the other hosts took over its requests and are consistent
        # without it. Members that were partitioned together refute and continue,
        # because they hold replicas of each other's requests, which would be lost if
        # all of them restarted.
        if trio.current_time() > self._isolated_until:
            return False
        return sum(1 for _ in self._table.others()) >= MIN_OTHERS_TO_TERMINATE

    def _terminate(self, reason: str) -> None:
        if self.is_terminated:
            return
        self.is_terminated = True
        self._metrics.add("membership_given_up")
        log.warning("terminating this incarnation: {}", reason)
        self._on_fenced()


def _is_ahead(member: Member, peer_version: Message | None) -> bool:
    if peer_version is None:
        return member.state is not MemberState.DEAD
    version = make_member_version(member)
    return version != peer_version and not _is_later(peer_version, version)


def _is_later(version: Message, other: Message) -> bool:
    return (version.incarnation, version.refutation) > (
        other.incarnation,
        other.refutation,
    )


def _make_rumor_version(rumor: Rumor) -> Message:
    return ttypes.RumorVersion(
        kind=rumor.kind, subject=rumor.subject, version=rumor.version
    )
