"""When this host last certainly knew all software versions that serve."""

from collections.abc import Callable
from enum import Enum
from math import isfinite

from dewridge.gateway.clock import read_boot_clock
from dewridge.policy.streamversions import MAX_VIEW_AGE, MAX_VIEW_GAP


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
        on_gap: called if versions may have come and gone between two confirmations, as
            while the host was suspended.
    """

    def __init__(self) -> None:
        self.on_gap: Callable[[], None] = lambda: None
        self.confirmed_at = float("-inf")
        self.confirmed_by = ConfirmedBy.NOBODY

    def confirm(self, at: float, by: ConfirmedBy, *, has_history: bool = True) -> None:
        """Record that this host knew all versions at a time on the boot clock.

        Args:
            at: the time.
            by: what showed it.
            has_history: whether versions that came and went since the last confirmation
                are known as well. Without that, the gap may be no longer than new
                versions are without streams.
        """
        if at <= self.confirmed_at:
            return
        previous, self.confirmed_at = self.confirmed_at, at
        self.confirmed_by = by
        max_gap = MAX_VIEW_GAP if has_history else MAX_VIEW_AGE
        if previous > float("-inf") and at - previous > max_gap:
            self.on_gap()

    @property
    def age(self) -> float:
        """Seconds since this host certainly knew all versions."""
        return read_boot_clock() - self.confirmed_at

    @property
    def age_ms(self) -> int | None:
        """The age in milliseconds; None if this host has never known all versions."""
        age = self.age
        return round(age * 1000) if isfinite(age) else None

    @property
    def is_current(self) -> bool:
        """Whether no version that this host does not know has streams yet."""
        return self.age <= MAX_VIEW_AGE
