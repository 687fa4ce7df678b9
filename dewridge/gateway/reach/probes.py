"""Probes of servers whose results are shared by all who ask for them."""

import math
from collections.abc import Awaitable, Callable, Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import trio

MAX_AGE = 1.0
"""Seconds for which results are kept."""

Result = TypeVar("Result")


@dataclass
class _Probe(Generic[Result]):
    began_at: float = math.inf
    result: Result | None = None
    """None also if the task that probed was cancelled."""
    done: trio.Event = field(default_factory=trio.Event)


class SharedProbes(Generic[Result]):
    """Probes that are in progress, and the results of recent ones."""

    def __init__(self) -> None:
        self._probes: dict[Hashable, _Probe[Result]] = {}

    async def probe(
        self,
        key: Hashable,
        connect: Callable[[], Awaitable[Result]],
        max_age: float = 0.0,
        reusable: frozenset[Result] | None = None,
    ) -> Result:
        """Return the result of a probe; one probe at a time runs for each key.

        Args:
            key: what is probed.
            connect: probes it.
            max_age: seconds for which the probe may have begun before this call. With
                0, the result shows what is true after the call.
            reusable: results that may be so old, all if None; others are from after
                the call.
        """
        called_at = trio.current_time()
        while True:
            probe = self._probes.get(key)
            if probe is None:
                return await self._run(key, connect)
            await probe.done.wait()
            result = probe.result
            is_reusable = reusable is None or result in reusable
            age = max_age if is_reusable else 0.0
            if result is not None and probe.began_at >= called_at - age:
                return result
            if self._probes.get(key) is probe:
                del self._probes[key]

    async def _run(
        self, key: Hashable, connect: Callable[[], Awaitable[Result]]
    ) -> Result:
        self._drop_expired(trio.current_time())
        probe: _Probe[Result] = _Probe()
        self._probes[key] = probe
        try:
            # Tasks whose connections ended at the same moment ask before it begins.
            await trio.lowlevel.checkpoint()
            probe.began_at = trio.current_time()
            result = await connect()
            probe.result = result
            return result
        finally:
            probe.done.set()

    def _drop_expired(self, now: float) -> None:
        self._probes = {
            key: probe
            for key, probe in self._probes.items()
            if not probe.done.is_set() or now - probe.began_at < MAX_AGE
        }
