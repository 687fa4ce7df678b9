"""Data types and interfaces of the membership of entry hosts."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from dewridge.ids import FailureDomain, HostId, Incarnation


class MemberState(Enum):
    """State of another entry host, as known to this host."""

    ALIVE = 0
    SUSPECT = 1
    """Did not answer probes. It gets no new work and may still refute the suspicion."""
    LEAVING = 2
    """Announced its departure. It gets no new work and still answers."""
    DEAD = 3
    """Was a suspect for longer than the suspicion time. A restarted host has a new
    incarnation. The same incarnation only becomes alive again after a partition that
    split the members into groups ends, and never after it was fenced."""


@dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of an entry host.

    Attributes:
        address: IP address and port for peers.
        frontend_address: IP address and port for callers.
        refutation: counter that the member itself increments to override claims by
            others that it is suspect or dead.
    """

    host: HostId
    incarnation: Incarnation
    failure_domain: FailureDomain
    address: str
    frontend_address: str
    state: MemberState = MemberState.ALIVE
    refutation: int = 0

    @property
    def accepts_work(self) -> bool:
        """Whether it may be given new work and replicas."""
        return self.state is MemberState.ALIVE


class MembershipView(Protocol):
    """Read access to the membership for other packages; answered from memory."""

    @property
    def local_member(self) -> Member:
        """The member that represents this host."""

    def members(self) -> Sequence[Member]:
        """Return all known members that are not DEAD, including this host."""

    def find(self, host: HostId) -> Member | None:
        """Return the newest known incarnation of a host, even if it is DEAD."""

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` synchronously on each change; it must not block."""


@dataclass(frozen=True, slots=True)
class Rumor:
    """A small fact that is distributed to every entry host.

    Attributes:
        version: a higher version of the same kind and subject replaces a lower one.
        routine: whether it waits for the next probe instead of being sent at once;
            for facts that are repeated every second or two anyway.
        lifetime: seconds after which every member drops it. None means the default
            of its kind or, without one, never; kinds without any lifetime must
            have a bounded number of subjects.
    """

    kind: str
    subject: str
    version: int
    payload: bytes
    routine: bool = False
    lifetime: float | None = None


FENCED_RUMOR = "fenced"
"""Kind of the rumor that an incarnation of a host and all earlier ones were fenced.
The subject is the host, the version the incarnation; it then stays DEAD."""


class Rumors(Protocol):
    """Distribution of small facts by gossip, along with the membership's probes."""

    def spread(self, rumor: Rumor) -> None:
        """Send a rumor to all members, unless a version as high is already known."""

    def subscribe_rumors(self, kind: str, listener: Callable[[Rumor], None]) -> None:
        """Call `listener` on each new version, and now with each known rumor.

        The listener must not block. It is also called for rumors of this host.
        """
