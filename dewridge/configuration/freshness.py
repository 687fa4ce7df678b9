"""Whether a host may trust the configuration that it has; pure."""

from dataclasses import dataclass, field

from dewridge.codes import ResultCode
from dewridge.ids import HostId, Incarnation
from dewridge.membership.model import Member, MemberState
from dewridge.sentinels import Failure

LOST_MEMORY = 60.0
"""Seconds that a host which went without a word counts among the known ones. A
cut looks like a crash from inside; a minute outlives every cut that is shorter
than the suspicion and restart of a real crash."""


@dataclass
class Freshness:
    """Remembers when the configuration was last confirmed, and who is missing.

    A change may be accepted by hosts that this one can't hear. It would go on
    under the old configuration without anyone noticing; so it stops admitting
    unless, within the limit, the key-value service confirmed its revision or
    it has been among a majority of the known hosts. A change is only accepted
    by a host among a majority, so two sides of a cut never both go on.

    Attributes:
        limit: seconds that a confirmation holds. Shorter than the time in which
            a change must be in force everywhere, less the time it spreads.
        me: this host, which always counts as present.
    """

    limit: float
    me: HostId
    confirmed_at: float = float("-inf")
    majority_at: float = float("-inf")
    _present: dict[HostId, Incarnation] = field(default_factory=dict)
    _lost: dict[HostId, float] = field(default_factory=dict)

    def handle_member_change(self, member: Member, now: float) -> None:
        """Record a change of another member's state."""
        if member.host == self.me:
            return
        if member.state in (MemberState.ALIVE, MemberState.SUSPECT):
            self._present[member.host] = member.incarnation
            self._lost.pop(member.host, None)
        elif member.state is MemberState.LEAVING:
            self._present.pop(member.host, None)
            self._lost.pop(member.host, None)
        elif self._present.get(member.host) == member.incarnation:
            del self._present[member.host]
            self._lost[member.host] = now
        self.look(now)

    def record_confirmation(self, now: float) -> None:
        """Record that the key-value service named the revision known here."""
        self.confirmed_at = max(self.confirmed_at, now)

    def look(self, now: float) -> None:
        """Note the time if this host is among a majority of the known hosts."""
        self._lost = {h: t for h, t in self._lost.items() if t > now - LOST_MEMORY}
        present = len(self._present) + 1
        known = present + len(self._lost)
        if 2 * present > known:
            self.majority_at = now

    def has_majority(self, now: float) -> bool:
        """Whether this host is among a majority of the known hosts now."""
        self.look(now)
        return self.majority_at == now

    def check(self, now: float) -> Failure | None:
        """Return CONFIGURATION_STALE if nothing confirmed it within the limit."""
        self.look(now)
        if max(self.confirmed_at, self.majority_at) >= now - self.limit:
            return None
        return Failure(
            ResultCode.CONFIGURATION_STALE,
            f"neither the key-value service nor a majority for {self.limit:g} s",
            retry_after=1.0,
        )
