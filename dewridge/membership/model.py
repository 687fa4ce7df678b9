"""Entry hosts as members of one deployment."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from dewridge.ids import FailureDomain, HostId, Incarnation


class MemberState(Enum):
    """What this host believes of another entry host."""

    ALIVE = 0
    SUSPECT = 1
    """Did not answer probes; not used for new work, may still refute."""
    LEAVING = 2
    """Announced that it goes; not used for new work, still answers."""
    DEAD = 3
    """Silent for longer than a suspect may be. A restart has a new incarnation; the
    same one comes back only where a cut heals that split the members in groups, and
    never once it is fenced."""


@dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of an entry host.

    Attributes:
        address: IP number and port for peers.
        frontend_address: IP number and port for callers.
        refutation: counter by which a suspected member overrules suspicion.
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
        """Whether new work and copies may be given to it."""
        return self.state is MemberState.ALIVE


class MembershipView(Protocol):
    """What other parts read of the membership; answered from memory."""

    @property
    def local_member(self) -> Member:
        """This host's own entry."""

    def members(self) -> Sequence[Member]:
        """All known members, this host included, in any state but DEAD."""

    def find(self, host: HostId) -> Member | None:
        """Look up the newest known incarnation of a host, DEAD included."""

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` at once and briefly on each change of a member."""


@dataclass(frozen=True, slots=True)
class Rumor:
    """Something that every entry host should hear of.

    Attributes:
        version: a higher version of the same kind and subject replaces a lower.
        routine: whether it may wait for the next probe, in place of being told at
            once; for what is repeated every second or two anyway.
        lifetime: seconds after which every member forgets it; None: never, and
            only what has a bounded number of subjects may go without.
    """

    kind: str
    subject: str
    version: int
    payload: bytes
    routine: bool = False
    lifetime: float | None = None


FENCED_RUMOR = "fenced"
"""Kind of the rumor that a host's incarnation, and all before it, was fenced: the
subject is the host, the version the incarnation. It makes that one dead for good."""


class Rumors(Protocol):
    """Spreading of small facts along with the membership's probes."""

    def spread(self, rumor: Rumor) -> None:
        """Tell all members, unless a version as high is known already."""

    def subscribe_rumors(self, kind: str, listener: Callable[[Rumor], None]) -> None:
        """Call `listener` on each new version, and now with those known.

        A listener returns at once and is also called for what this host spreads.
        """
