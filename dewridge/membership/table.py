"""Table of the members' states: merging of claims, suspicion and refutation.

A claim is the state of a member as sent by any member. The table does no I/O, and the
time is an argument.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from dewridge.ids import HostId, Incarnation
from dewridge.membership.buckets import BucketHashes, find_bucket
from dewridge.membership.model import Member, MemberState

DEAD_RETENTION = 21_600.0
"""Seconds that a dead member is retained. Regions are sometimes partitioned for an
hour; a host that dropped the other side's addresses could find it only by seeds."""
MAX_DEAD_MEMBERS = 1_000
"""Maximum number of dead members retained. It is several times a region of 150 hosts
plus six hours of 570 replacements a day, and bounds memory if hosts restart in a
loop."""

MAX_FENCED_HOSTS = 4_096
"""Maximum number of fenced hosts retained; about a week of 570 replacements a day."""

PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
}
"""Order of claims with the same incarnation and refutation; the highest one wins. Only
the member itself increments its refutation, which overrides claims by others."""


class LocalClaim(Enum):
    """Claims by other members about this host."""

    SUSPECT = "suspect"
    DEAD = "dead"
    SUPERSEDED = "superseded"
    """This incarnation was fenced, or a newer one of the same host exists."""


@dataclass(slots=True)
class _Entry:
    member: Member
    changed_at: float


class MemberTable:
    """Members by host, each with its newest known incarnation."""

    def __init__(
        self, local_member: Member, buckets: BucketHashes, suspicion: float
    ) -> None:
        self._local_member = local_member
        self._buckets = buckets
        self._suspicion = suspicion
        self._entries: dict[HostId, _Entry] = {}
        self._fenced: dict[HostId, Incarnation] = {}
        self._local_claims: set[LocalClaim] = set()
        self._alive_count = 1
        self._toggle(local_member)

    @property
    def local_member(self) -> Member:
        """The member that represents this host."""
        return self._local_member

    @property
    def alive_count(self) -> int:
        """Number of members that are not dead, including this host."""
        return self._alive_count

    def find(self, host: HostId) -> Member | None:
        """Return the newest known incarnation of a host, even if it is dead."""
        if host == self._local_member.host:
            return self._local_member
        entry = self._entries.get(host)
        return entry.member if entry else None

    def others(self) -> Iterator[Member]:
        """Return all other members, including dead ones."""
        return (entry.member for entry in self._entries.values())

    def list_live(self) -> list[Member]:
        """Return all members that are not dead, this host first."""
        live = [m for m in self.others() if m.state is not MemberState.DEAD]
        return [self._local_member, *live]

    def list_buckets(self, buckets: set[int]) -> list[Member]:
        """Return the members in the given hash buckets."""
        known = [self._local_member, *self.others()]
        return [m for m in known if find_bucket(make_hash_key(m.host)) in buckets]

    def is_newer(self, claim: Member) -> bool:
        """Return whether a claim overrides the known state of its member."""
        known = self.find(claim.host)
        return known is None or _get_precedence(claim) > _get_precedence(known)

    def is_obsolete(self, host: HostId, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is fenced or older than the known one."""
        if incarnation <= self._fenced.get(host, 0):
            return True
        known = self.find(host)
        return known is not None and known.incarnation > incarnation

    def merge(
        self, claim: Member, now: float, *, from_sync: bool = False
    ) -> list[Member]:
        """Apply a claim about a member.

        Args:
            claim: state of a member, as known to another member.
            now: the time.
            from_sync: whether the claim comes from a join or a comparison of full
                states, and not from an update. A death is then applied as a
                suspicion: when a partition into two halves ends, each half has the
                other's members as dead, and applying that directly would declare
                all members of both halves dead at once.

        Returns:
            The changes, in order; empty if the claim changes nothing.
        """
        if claim.host == self._local_member.host:
            self._record_local_claim(claim)
            return []
        if claim.incarnation <= self._fenced.get(claim.host, 0):
            claim = replace(claim, state=MemberState.DEAD)
        known = self._entries.get(claim.host)
        if known is None and (claim.state is MemberState.DEAD or not claim.address):
            return []
        if known is not None:
            claim = self._add_known_fields(claim, known.member, from_sync)
            if _get_precedence(claim) <= _get_precedence(known.member):
                return []
        return self._store(claim, now)

    def suspect(self, member: Member, now: float) -> list[Member]:
        """Mark a member as suspect after a probe by this host failed."""
        known = self._entries.get(member.host)
        if known is None or known.member.incarnation != member.incarnation:
            return []
        return self.merge(replace(known.member, state=MemberState.SUSPECT), now)

    def fence(self, host: HostId, incarnation: Incarnation, now: float) -> list[Member]:
        """Mark an incarnation and all earlier ones as dead permanently."""
        self._fenced[host] = max(incarnation, self._fenced.get(host, Incarnation(0)))
        if len(self._fenced) > MAX_FENCED_HOSTS:
            del self._fenced[next(iter(self._fenced))]
        if host == self._local_member.host:
            if self._local_member.incarnation <= incarnation:
                self._local_claims.add(LocalClaim.SUPERSEDED)
            return []
        known = self._entries.get(host)
        if known is None or known.member.incarnation > incarnation:
            return []
        return self.merge(known.member, now)

    def expire(self, now: float, timeout_multiplier: float) -> list[Member]:
        """Declare overdue suspects dead, and drop members that were dead for long.

        Args:
            now: the time.
            timeout_multiplier: factor for the suspicion time, raised while this
                host itself is slow.
        """
        limit = now - self.compute_suspicion_time() * timeout_multiplier
        overdue = [
            entry.member
            for entry in self._entries.values()
            if entry.member.state is MemberState.SUSPECT and entry.changed_at <= limit
        ]
        changes = []
        for member in overdue:
            changes += self._store(replace(member, state=MemberState.DEAD), now)
        self._drop_old_dead(now)
        return changes

    def list_suspects(self, limit: int) -> list[Member]:
        """Return the suspects that will be declared dead soonest."""
        suspects = [
            entry
            for entry in self._entries.values()
            if entry.member.state is MemberState.SUSPECT
        ]
        suspects.sort(key=lambda entry: entry.changed_at)
        return [entry.member for entry in suspects[:limit]]

    def restart_suspicions(self, now: float) -> None:
        """Restart the suspicion time of all suspects.

        This is needed after this host was paused or isolated: refutations may have
        arrived that it has not processed yet.
        """
        for entry in self._entries.values():
            if entry.member.state is MemberState.SUSPECT:
                entry.changed_at = now

    def compute_suspicion_time(self) -> float:
        """Return the seconds within which a suspect must refute.

        The time grows with the logarithm of the member count, like the time that
        gossip needs to carry the suspicion to the suspect and its refutation back.
        """
        return self._suspicion * max(1.0, math.log10(self._alive_count))

    def refute(self) -> Member:
        """Override the claims about this host; return the new local member."""
        return self._replace_local_member(
            replace(self._local_member, refutation=self._local_member.refutation + 1)
        )

    def leave(self) -> Member:
        """Mark this host as leaving; return the new local member."""
        return self._replace_local_member(
            replace(
                self._local_member,
                state=MemberState.LEAVING,
                refutation=self._local_member.refutation + 1,
            )
        )

    def pop_local_claims(self) -> set[LocalClaim]:
        """Return and clear the claims about this host since the last call."""
        claims, self._local_claims = self._local_claims, set()
        return claims

    def _record_local_claim(self, claim: Member) -> None:
        if claim.incarnation > self._local_member.incarnation:
            self._local_claims.add(LocalClaim.SUPERSEDED)
        elif _get_precedence(claim) <= _get_precedence(self._local_member):
            return
        elif claim.state is MemberState.DEAD:
            self._local_claims.add(LocalClaim.DEAD)
        else:
            self._local_claims.add(LocalClaim.SUSPECT)
        if claim.incarnation == self._local_member.incarnation:
            refutation = max(self._local_member.refutation, claim.refutation)
            self._replace_local_member(
                replace(self._local_member, refutation=refutation)
            )

    def _add_known_fields(
        self, claim: Member, known: Member, from_sync: bool
    ) -> Member:
        if claim.incarnation != known.incarnation:
            return claim
        is_up = known.state is not MemberState.DEAD
        if from_sync and is_up and claim.state is MemberState.DEAD:
            is_fenced = claim.incarnation <= self._fenced.get(claim.host, 0)
            state = MemberState.DEAD if is_fenced else MemberState.SUSPECT
        else:
            state = claim.state
        # Claims about suspect and dead members have no addresses, to save bytes.
        return replace(known, state=state, refutation=claim.refutation)

    def _store(self, member: Member, now: float) -> list[Member]:
        known = self._entries.get(member.host)
        changes = []
        if known is not None:
            self._toggle(known.member)
            if known.member.state is not MemberState.DEAD:
                self._alive_count -= 1
                if known.member.incarnation < member.incarnation:
                    # Report the old incarnation as dead before the new one, although
                    # no member detected its crash: the requests it held are lost.
                    changes.append(replace(known.member, state=MemberState.DEAD))
        if member.state is not MemberState.DEAD:
            self._alive_count += 1
        self._entries[member.host] = _Entry(member, now)
        self._toggle(member)
        return [*changes, member]

    def _drop_old_dead(self, now: float) -> None:
        dead = [
            entry
            for entry in self._entries.values()
            if entry.member.state is MemberState.DEAD
        ]
        surplus = len(dead) - MAX_DEAD_MEMBERS
        for entry in sorted(dead, key=lambda entry: entry.changed_at):
            if entry.changed_at > now - DEAD_RETENTION and surplus <= 0:
                break
            surplus -= 1
            del self._entries[entry.member.host]

    def _replace_local_member(self, local_member: Member) -> Member:
        self._toggle(self._local_member)
        self._local_member = local_member
        self._toggle(local_member)
        return local_member

    def _toggle(self, member: Member) -> None:
        # The hashes exclude dead members, which are dropped at different times.
        if member.state is not MemberState.DEAD:
            version = f"{member.incarnation}|{member.refutation}|{member.state.value}"
            self._buckets.toggle(make_hash_key(member.host), version)


def make_hash_key(host: HostId) -> str:
    """Return the key under which a member is hashed."""
    return f"m|{host}"


def _get_precedence(member: Member) -> tuple[int, int, int]:
    return member.incarnation, member.refutation, PRECEDENCE[member.state]
