"""Reloading of the settings file while the process runs."""

from collections.abc import Callable
from pathlib import Path

import trio
from loguru import logger as log

from dewridge.gateway.configuration import ConfigurationState
from dewridge.settings.gateway import GatewaySettings
from dewridge.settings.loading import LoadedSettings

POLL_INTERVAL = 1.0
"""Seconds between two polls of the file, as it may change without a signal."""
TRUST_FRACTION = 0.8
"""Fraction of the maximum revocation delay of a key for which the configuration is
trusted without confirmation by the store. The rest covers requests read just before the
end of that period, and late clock readings on a busy host."""

SettingsLoader = Callable[[Path], LoadedSettings[GatewaySettings]]


def compute_trust_period(settings: GatewaySettings) -> float:
    """Return the seconds for which a configuration is trusted after a confirmation."""
    if not settings.bounds.fails_closed:
        return float("inf")
    return TRUST_FRACTION * settings.bounds.revocation_ms / 1000


class SettingsReloader:
    """Reloads the settings file after changes and applies new limits.

    The addresses and the id of the host change only with a restart, as the listeners
    and the registration depend on them. A file that is unreadable or invalid changes
    nothing: if the host exited because of a partially written file, it would disconnect
    its callers.
    """

    def __init__(
        self,
        path: Path,
        load: SettingsLoader,
        configuration: ConfigurationState,
        apply: Callable[[GatewaySettings], None],
        current: GatewaySettings,
    ) -> None:
        self._path = path
        self._load = load
        self._configuration = configuration
        self._apply = apply
        self._current = current
        # The file may have changed since the settings were read, and is compared once.
        self._raw: bytes | None = None
        self._poll_requested = trio.Event()

    def poll_now(self) -> None:
        """Poll the file at once; called when a signal reports a change."""
        self._poll_requested.set()

    async def run(self) -> None:
        """Poll the file forever and reload it after each change."""
        while True:
            with trio.move_on_after(POLL_INTERVAL):
                await self._poll_requested.wait()
            is_requested = self._poll_requested.is_set()
            self._poll_requested = trio.Event()
            if not self.reload_if_changed() and is_requested:
                log.info("settings reloaded without a change")

    def reload_if_changed(self) -> bool:
        """Reload the file if it has changed; return whether it has."""
        raw = self._read()
        if raw is None or raw == self._raw:
            return False
        self._raw = raw
        self._reload()
        return True

    def _read(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError as error:
            log.bind(reason=error.strerror).warning("settings can't be read")
            return None

    def _reload(self) -> None:
        loaded = self._load(self._path)
        if loaded.settings is None:
            reasons = "; ".join(str(problem) for problem in loaded.errors)
            log.bind(reason=reasons).error("changed settings rejected")
            return
        if loaded.settings == self._current:
            return
        if loaded.settings.listen != self._current.listen:
            log.warning("changed addresses take effect after a restart")
        self._current = loaded.settings
        self._configuration.set_trust_period(compute_trust_period(loaded.settings))
        self._apply(loaded.settings)
        log.info("settings reloaded")
