"""The configuration in force on this host, and when it was last confirmed as newest."""

from dataclasses import dataclass
from enum import Enum

from loguru import logger as log

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.model import Configuration


class Source(Enum):
    """How a configuration came to this host."""

    STORE = "store"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class Arrival:
    """How and when the configuration in force arrived.

    Attributes:
        source: how it came.
        size: bytes of the document.
        received: bytes that were received for it.
        at: time on the boot clock.
    """

    source: Source = Source.STORE
    size: int = 0
    received: int = 0
    at: float = float("-inf")


class ConfigurationState:
    """Holds the newest configuration received; never returns to an older version.

    Attributes:
        current: the configuration in force; None before the first.
        arrival: how and when it arrived.
        confirmed_at: time on the boot clock at which it was certainly the newest.
        idle_timeout: seconds that idle connections of callers are kept open.
    """

    def __init__(self, trust_period: float) -> None:
        self._trust_period = trust_period
        self.current: Configuration | None = None
        self.arrival = Arrival()
        self.confirmed_at = float("-inf")
        self.idle_timeout = 15.0
        self._is_store_restored = False

    def set_trust_period(self, seconds: float) -> None:
        """Set the seconds that a version is trusted without a confirmation."""
        self._trust_period = seconds

    def apply(self, configuration: Configuration, arrival: Arrival = Arrival()) -> bool:
        """Apply a configuration if its version is newer; return whether it was.

        A read that was answered late, or by a lagging replica of the store, returns an
        older version. Applying it would restore removed routes and revoked keys.
        """
        current = self.current
        if current is not None and configuration.version <= current.version:
            return False
        previous = configuration if current is None else current
        # Callers may still rely on the previous version, so use the longer timeout.
        self.idle_timeout = max(
            configuration.limits.idle_timeout, previous.limits.idle_timeout
        )
        self.current = configuration
        self.arrival = arrival
        log.bind(
            version=configuration.version,
            routes=len(configuration.routes),
            source=self.arrival.source.value,
            bytes=self.arrival.size,
            received=self.arrival.received,
        ).info("configuration in force")
        return True

    def confirm(self, requested_at: float) -> None:
        """Record that the store, when asked at the given time, had no newer version."""
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def confirm_by_peer(self, version: int, at: float) -> None:
        """Record that a peer's version was certainly the newest at the given time.

        An older version is accepted too, because the version in force here superseded
        it. After a restore of the store only the same version is accepted, since the
        restored copy may lack the version in force.
        """
        is_accepted = version == self.version if self._is_store_restored else True
        if 0 < version <= self.version and is_accepted:
            self.confirm(at)

    def handle_restore(self) -> None:
        """Record that the store was restored and may lack the version in force."""
        self._is_store_restored = True

    @property
    def is_store_restored(self) -> bool:
        """Whether the store was restored and may lack the version in force."""
        return self._is_store_restored

    @property
    def version(self) -> int:
        """The version in force; 0 if there is none."""
        return 0 if self.current is None else self.current.version

    @property
    def age(self) -> float:
        """Seconds since the version in force was certainly the newest."""
        return read_boot_clock() - self.confirmed_at

    @property
    def is_trusted(self) -> bool:
        """Whether the version in force may still be used to check keys.

        While the store is unreachable, a key may be revoked without this host knowing.
        After the trust period requests are refused rather than serve a revoked key.
        """
        return self.current is not None and self.age < self._trust_period
