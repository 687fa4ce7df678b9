"""The configuration in force on this host, and how sure it is to be the newest."""

from loguru import logger as log

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.model import Configuration


class ConfigurationState:
    """Holds the newest version seen; never goes back to an older one."""

    def __init__(self, trust_period: float) -> None:
        self._trusted_for = trust_period
        self.current: Configuration | None = None
        self.confirmed_at = float("-inf")
        self.idle_timeout = 15.0
        self._is_store_restored = False

    def set_trust_period(self, seconds: float) -> None:
        """Change how long the version in force is trusted without a confirmation."""
        self._trusted_for = seconds

    def apply(self, configuration: Configuration) -> bool:
        """Take over a version if it is newer; returns whether it was.

        A read that was answered late, or by a copy of the store that lags, brings
        an older version. Taken over, it would serve routes that were removed and
        keys that were taken away.
        """
        current = self.current
        if current is not None and configuration.version <= current.version:
            return False
        before = configuration if current is None else current
        # Callers may still act on the version before: keep to the longer promise.
        self.idle_timeout = max(
            configuration.limits.idle_timeout, before.limits.idle_timeout
        )
        self.current = configuration
        log.bind(version=configuration.version, routes=len(configuration.routes)).info(
            "configuration in force"
        )
        return True

    def confirm(self, asked_at: float) -> None:
        """Note that the store, asked at that time, had nothing newer."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def confirm_by_peer(self, version: int, at: float) -> None:
        """Note that another host's version was surely the newest at that time.

        An older version counts as well, because the one in force here superseded it.
        After a restore of the store only the same version counts: the restored copy
        may lack the one in force.
        """
        is_accepted = version == self.version if self._is_store_restored else True
        if 0 < version <= self.version and is_accepted:
            self.confirm(at)

    def handle_restore(self) -> None:
        """Note that the store was restored and may lack the version in force."""
        self._is_store_restored = True

    @property
    def version(self) -> int:
        """The version in force; 0 for none."""
        return 0 if self.current is None else self.current.version

    @property
    def age(self) -> float:
        """Seconds since the version in force was surely the newest."""
        return read_boot_clock() - self.confirmed_at

    @property
    def is_trusted(self) -> bool:
        """Whether keys may still be judged by the version in force.

        Without a sound way to the store a key may have been taken away unseen.
        After this time requests are refused in place of serving a revoked key.
        """
        return self.current is not None and self.age < self._trusted_for
