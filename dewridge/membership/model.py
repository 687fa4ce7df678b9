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
    """This incarnation is gone for good; a restart has a new one."""


@dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of an entry host.

    Attributes:
        address: IP number and port for peers.
        front_address: IP number and port for callers.
        refutation: counter by which a suspected member overrules suspicion.
    """

    host: HostId
    incarnation: Incarnation
    failure_domain: FailureDomain
    address: str
    front_address: str
    state: MemberState = MemberState.ALIVE
    refutation: int = 0

    @property
    def takes_work(self) -> bool:
        """Whether new work and copies may be given to it."""
        return self.state is MemberState.ALIVE


class MembershipView(Protocol):
    """What other parts read of the membership; answered from memory."""

    @property
    def me(self) -> Member:
        """This host's own entry."""

    def members(self) -> Sequence[Member]:
        """All known members, this host included, in any state but DEAD."""

    def find(self, host: HostId) -> Member | None:
        """Look up the newest known incarnation of a host, DEAD included."""

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` at once and briefly on each change of a member."""
