"""When this host last certainly knew all software versions that serve."""

from enum import Enum

from dewridge.gateway.clock import read_boot_clock


class ConfirmedBy(Enum):
    """What showed that this host knows all versions."""

    NOBODY = "nobody"
    STORE = "store"
    PEER = "peer"


class VersionView:
    """Age of this host's knowledge of the versions that serve.

    It is that of the list of servers, which the store confirms independently of the
    configuration.

    Attributes:
        confirmed_at: time on the boot clock at which this host knew all versions.
        confirmed_by: what showed it.
    """

    def __init__(self) -> None:
        self.confirmed_at = float("-inf")
        self.confirmed_by = ConfirmedBy.NOBODY

    def confirm(self, at: float, by: ConfirmedBy) -> None:
        """Record that this host knew all versions at a time on the boot clock."""
        if at <= self.confirmed_at:
            return
        self.confirmed_at = at
        self.confirmed_by = by

    @property
    def age(self) -> float:
        """Seconds since this host certainly knew all versions."""
        return read_boot_clock() - self.confirmed_at
