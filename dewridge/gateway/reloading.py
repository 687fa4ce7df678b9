"""Settings that change while the process runs, with a signal or without."""

from collections.abc import Callable
from pathlib import Path

import trio
from loguru import logger as log

from dewridge.gateway.configuration import ConfigurationState
from dewridge.settings.gateway import GatewaySettings
from dewridge.settings.loading import LoadedSettings

LOOK_PERIOD = 1.0
"""Seconds between two looks at the file: it may change without a signal."""
TRUST_SHARE = 0.8
"""Part of the time until a revoked key must not work during which the configuration
is trusted without a word from the store. The rest is for a request that was read just
before, and for clocks that are read late on a busy host."""

SettingsLoader = Callable[[Path], LoadedSettings[GatewaySettings]]


def compute_trust_period(settings: GatewaySettings) -> float:
    """Return the seconds for which a confirmed configuration is trusted."""
    if not settings.bounds.fails_closed:
        return float("inf")
    return TRUST_SHARE * settings.bounds.revocation_ms / 1000


class SettingsFile:
    """Reads the settings again and puts new bounds into force.

    Addresses and the host's name stay as they were at the start: listeners and the
    registration rest on them, and a restart is the clear way to change them. A file
    that can't be read or is not valid leaves all as it was: a host that stopped for a
    half-written file would cut its callers off.
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
        self._raw = self._read()
        self._wake = trio.Event()

    def poll_now(self) -> None:
        """Look at the file at once: a signal told of a change."""
        self._wake.set()

    async def run(self) -> None:
        """Follow the file for ever."""
        while True:
            with trio.move_on_after(LOOK_PERIOD):
                await self._wake.wait()
            is_told = self._wake.is_set()
            self._wake = trio.Event()
            raw = self._read()
            if raw is not None and raw != self._raw:
                self._raw = raw
                self._take_over()
            elif is_told:
                log.info("settings reloaded without a change")

    def _read(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError as error:
            log.bind(reason=error.strerror).warning("settings can't be read")
            return None

    def _take_over(self) -> None:
        loaded = self._load(self._path)
        if loaded.settings is None:
            reasons = "; ".join(str(problem) for problem in loaded.errors)
            log.bind(reason=reasons).error("settings refused on reload")
            return
        if loaded.settings.listen != self._current.listen:
            log.warning("changed addresses take a restart")
        self._current = loaded.settings
        self._configuration.set_trust_period(compute_trust_period(loaded.settings))
        self._apply(loaded.settings)
        log.info("settings reloaded")
