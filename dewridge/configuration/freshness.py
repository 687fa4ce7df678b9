"""Tracks whether this host's configuration may be outdated. No I/O."""

from dataclasses import dataclass, field

from dewridge.codes import ResultCode
from dewridge.ids import HostId, Incarnation
from dewridge.membership.model import Member, MemberState
from dewridge.sentinels import Failure

LOST_HOST_SECONDS = 60.0
"""Seconds for which a host that failed without announcing its departure still counts
as a known host. To a partitioned host, the others look crashed; if it forgot them
sooner, a minority could count itself as a majority. A minute covers every partition
that is shorter than the suspicion and the restart after a real crash."""


@dataclass
class Freshness:
    """Tracks when the configuration was last confirmed and which hosts were lost.

    Hosts that this one can't reach may have accepted a change, and this host
    would keep using the old configuration without noticing. It therefore stops
    admitting requests unless, within the limit, the key-value service confirmed
    its revision or it was among a majority of the known hosts. A change is only
    accepted by a host among a majority, so the two sides of a partition never
    both continue.

    Attributes:
        limit: seconds that a confirmation is valid. Shorter than the time within
            which a change must be in force everywhere, less the time that its
            distribution takes.
        local_host: id of this host, which always counts as present.
        confirmed_at: when the key-value service last confirmed the revision.
        majority_at: when this host was last among a majority of the known hosts.
    """

    limit: float
    local_host: HostId
    confirmed_at: float = float("-inf")
    majority_at: float = float("-inf")
    _present: dict[HostId, Incarnation] = field(default_factory=dict)
    _lost: dict[HostId, float] = field(default_factory=dict)

    def handle_member_change(self, member: Member, now: float) -> None:
        """Update the present and lost hosts after another member's state changed."""
        if member.host == self.local_host:
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
        self.update_majority(now)

    def record_confirmation(self, now: float) -> None:
        """Record that the key-value service holds the revision that this host has."""
        self.confirmed_at = max(self.confirmed_at, now)

    def update_majority(self, now: float) -> None:
        """Record the time if this host is among a majority of the known hosts."""
        self._lost = {
            host: lost_at
            for host, lost_at in self._lost.items()
            if lost_at > now - LOST_HOST_SECONDS
        }
        present = len(self._present) + 1
        known = present + len(self._lost)
        if 2 * present > known:
            self.majority_at = now

    def has_majority(self, now: float) -> bool:
        """Return whether this host is now among a majority of the known hosts."""
        self.update_majority(now)
        return self.majority_at == now

    def check(self, now: float) -> Failure | None:
        """Return CONFIGURATION_STALE if nothing confirmed it within the limit."""
        self.update_majority(now)
        if max(self.confirmed_at, self.majority_at) >= now - self.limit:
            return None
        return Failure(
            ResultCode.CONFIGURATION_STALE,
            f"neither the key-value service nor a majority for {self.limit:g} s",
            retry_after=1.0,
        )
