"""What this host believes of each member: merging claims, suspicion, refutation.

Pure state; the time is an argument.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from dewridge.ids import HostId, Incarnation
from dewridge.membership.buckets import BucketHashes, find_bucket
from dewridge.membership.model import Member, MemberState

DEAD_KEPT = 21_600.0
"""Seconds that a dead member is remembered. Regions lose each other for an hour now
and then; whoever forgot the other side's addresses could find it only by seeds."""
DEAD_LIMIT = 1_000
"""Dead members remembered: a region of 150 and six hours of 570 replacements a day
fit several times. It bounds memory when hosts restart in a loop."""

FENCED_LIMIT = 4_096
"""Fenced incarnations remembered, by host: a week of 570 replacements a day."""

PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
}
"""Which of two claims with the same incarnation and refutation holds. Only the member
itself raises its refutation, and so overrules what others claim."""


class LocalClaim(Enum):
    """What others claim of this host itself."""

    SUSPECT = "suspect"
    DEAD = "dead"
    SUPERSEDED = "superseded"
    """Its incarnation is fenced, or a newer one of the same host exists."""


@dataclass(slots=True)
class _Entry:
    member: Member
    changed_at: float


class MemberTable:
    """Members by host, each in its newest incarnation."""

    def __init__(self, me: Member, buckets: BucketHashes, suspicion: float) -> None:
        self._me = me
        self._buckets = buckets
        self._suspicion = suspicion
        self._entries: dict[HostId, _Entry] = {}
        self._fenced: dict[HostId, Incarnation] = {}
        self._accusations: set[LocalClaim] = set()
        self._alive = 1
        self._toggle(me)

    @property
    def local_member(self) -> Member:
        """This host's own entry."""
        return self._me

    @property
    def alive_count(self) -> int:
        """Members that are not dead, this host included."""
        return self._alive

    def find(self, host: HostId) -> Member | None:
        """Look up the newest known incarnation of a host."""
        if host == self._me.host:
            return self._me
        entry = self._entries.get(host)
        return entry.member if entry else None

    def others(self) -> Iterator[Member]:
        """Return all other members, dead ones included."""
        return (entry.member for entry in self._entries.values())

    def list_live(self) -> list[Member]:
        """Return all members that are not dead, this host first."""
        live = [m for m in self.others() if m.state is not MemberState.DEAD]
        return [self._me, *live]

    def list_buckets(self, buckets: set[int]) -> list[Member]:
        """Return the members that fall into some buckets."""
        known = [self._me, *self.others()]
        return [m for m in known if find_bucket(name_member(m.host)) in buckets]

    def is_newer(self, claim: Member) -> bool:
        """Whether a claim overrules what is known."""
        known = self.find(claim.host)
        return known is None or _rank(claim) > _rank(known)

    def is_obsolete(self, host: HostId, incarnation: Incarnation) -> bool:
        """Whether an incarnation is fenced, or older than one that is known."""
        if incarnation <= self._fenced.get(host, 0):
            return True
        known = self.find(host)
        return known is not None and known.incarnation > incarnation

    def merge(
        self, claim: Member, now: float, *, from_sync: bool = False
    ) -> list[Member]:
        """Take in a claim about a member.

        Args:
            claim: what another member believes.
            now: the time.
            from_sync: whether it comes from comparing all that both know, in
                place of news. A death is then first taken as a suspicion: when
                a cut between two halves heals, each holds the other's members
                for dead, and taking that over would kill all of both at once.

        Returns:
            The changes, in order; empty if the claim is not news.
        """
        if claim.host == self._me.host:
            self._hear_of_me(claim)
            return []
        if claim.incarnation <= self._fenced.get(claim.host, 0):
            claim = replace(claim, state=MemberState.DEAD)
        known = self._entries.get(claim.host)
        if known is None and (claim.state is MemberState.DEAD or not claim.address):
            return []
        if known is not None:
            claim = self._complete(claim, known.member, from_sync)
            if _rank(claim) <= _rank(known.member):
                return []
        return self._put(claim, now)

    def suspect(self, member: Member, now: float) -> list[Member]:
        """Hold a member for suspect after a probe of this host failed."""
        known = self._entries.get(member.host)
        if known is None or known.member.incarnation != member.incarnation:
            return []
        return self.merge(replace(known.member, state=MemberState.SUSPECT), now)

    def fence(self, host: HostId, incarnation: Incarnation, now: float) -> list[Member]:
        """Hold an incarnation, and all before it, for dead for good."""
        self._fenced[host] = max(incarnation, self._fenced.get(host, Incarnation(0)))
        if len(self._fenced) > FENCED_LIMIT:
            del self._fenced[next(iter(self._fenced))]
        if host == self._me.host:
            if self._me.incarnation <= incarnation:
                self._accusations.add(LocalClaim.SUPERSEDED)
            return []
        known = self._entries.get(host)
        if known is None or known.member.incarnation > incarnation:
            return []
        return self.merge(known.member, now)

    def expire(self, now: float, stretch: float) -> list[Member]:
        """Declare suspects dead whose time to refute is over; forget old dead.

        Args:
            now: the time.
            stretch: by how much this host's own slowness lengthens the time.
        """
        limit = now - self.compute_suspicion_time() * stretch
        over = [
            entry.member
            for entry in self._entries.values()
            if entry.member.state is MemberState.SUSPECT and entry.changed_at <= limit
        ]
        changes = []
        for member in over:
            changes += self._put(replace(member, state=MemberState.DEAD), now)
        self._forget(now)
        return changes

    def list_suspects(self, limit: int) -> list[Member]:
        """Return the suspects whose time is over soonest."""
        suspects = [
            entry
            for entry in self._entries.values()
            if entry.member.state is MemberState.SUSPECT
        ]
        suspects.sort(key=lambda entry: entry.changed_at)
        return [entry.member for entry in suspects[:limit]]

    def restart_suspicions(self, now: float) -> None:
        """Give all suspects their whole time again.

        For when this host itself stood still: their refutations came meanwhile
        and lie unread.
        """
        for entry in self._entries.values():
            if entry.member.state is MemberState.SUSPECT:
                entry.changed_at = now

    def compute_suspicion_time(self) -> float:
        """Return the seconds that a suspect has to refute.

        It grows with the logarithm of the count, as the suspicion's way to the
        suspect and its answer's way back do.
        """
        return self._suspicion * max(1.0, math.log10(self._alive))

    def refute(self) -> Member:
        """Overrule what others claim of this host."""
        return self._replace_me(replace(self._me, refutation=self._me.refutation + 1))

    def leave(self) -> Member:
        """Announce that this host goes."""
        return self._replace_me(
            replace(
                self._me,
                state=MemberState.LEAVING,
                refutation=self._me.refutation + 1,
            )
        )

    def pop_local_claims(self) -> set[LocalClaim]:
        """Return what was claimed of this host since the last call."""
        accusations, self._accusations = self._accusations, set()
        return accusations

    def _hear_of_me(self, claim: Member) -> None:
        if claim.incarnation > self._me.incarnation:
            self._accusations.add(LocalClaim.SUPERSEDED)
        elif _rank(claim) <= _rank(self._me):
            return
        elif claim.state is MemberState.DEAD:
            self._accusations.add(LocalClaim.DEAD)
        else:
            self._accusations.add(LocalClaim.SUSPECT)
        if claim.incarnation == self._me.incarnation:
            top = max(self._me.refutation, claim.refutation)
            self._replace_me(replace(self._me, refutation=top))

    def _complete(self, claim: Member, known: Member, hearsay: bool) -> Member:
        if claim.incarnation != known.incarnation:
            return claim
        is_up = known.state is not MemberState.DEAD
        if hearsay and is_up and claim.state is MemberState.DEAD:
            is_fenced = claim.incarnation <= self._fenced.get(claim.host, 0)
            state = MemberState.DEAD if is_fenced else MemberState.SUSPECT
        else:
            state = claim.state
        # Claims about suspects and dead come without addresses, to save bytes.
        return replace(known, state=state, refutation=claim.refutation)

    def _put(self, member: Member, now: float) -> list[Member]:
        known = self._entries.get(member.host)
        changes = []
        if known is not None:
            self._toggle(known.member)
            if known.member.state is not MemberState.DEAD:
                self._alive -= 1
                if known.member.incarnation < member.incarnation:
                    # Listeners hear of the old incarnation's end before the new
                    # one, though nobody saw it die: it held work that is lost.
                    changes.append(replace(known.member, state=MemberState.DEAD))
        if member.state is not MemberState.DEAD:
            self._alive += 1
        self._entries[member.host] = _Entry(member, now)
        self._toggle(member)
        return [*changes, member]

    def _forget(self, now: float) -> None:
        dead = [
            entry
            for entry in self._entries.values()
            if entry.member.state is MemberState.DEAD
        ]
        surplus = len(dead) - DEAD_LIMIT
        for entry in sorted(dead, key=lambda entry: entry.changed_at):
            if entry.changed_at > now - DEAD_KEPT and surplus <= 0:
                break
            surplus -= 1
            del self._entries[entry.member.host]

    def _replace_me(self, me: Member) -> Member:
        self._toggle(self._me)
        self._me = me
        self._toggle(me)
        return me

    def _toggle(self, member: Member) -> None:
        # Without the dead, which members forget at different times.
        if member.state is not MemberState.DEAD:
            version = f"{member.incarnation}|{member.refutation}|{member.state.value}"
            self._buckets.toggle(name_member(member.host), version)


def name_member(host: HostId) -> str:
    """Return the name under which a member is hashed."""
    return f"m|{host}"


def _rank(member: Member) -> tuple[int, int, int]:
    return member.incarnation, member.refutation, PRECEDENCE[member.state]
