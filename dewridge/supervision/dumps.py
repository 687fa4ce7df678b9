"""State dumps, collected from each part of the process with a timeout."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

DescribeState = Callable[[], Awaitable[Any]]
"""Returns a part's state as plain JSON values; the task that owns the state replies.
It contains no token, prompt or answer."""


class DumpCollector:
    """Collects state dumps from the registered parts of this process."""

    def __init__(self, timeout: float = 1.0) -> None:
        self._timeout = timeout
        self._parts: dict[str, DescribeState] = {}

    def add(self, part: str, describe: DescribeState) -> None:
        """Register a part and the function that returns its state."""
        self._parts[part] = describe

    async def collect(self) -> dict[str, Any]:
        """Query all parts concurrently.

        Returns:
            The state by part. A part that fails or does not answer in time is
            listed in `missing` with the reason, so that a dump of a process
            with a hung task still completes and shows which task hangs.
        """
        states: dict[str, Any] = {}
        missing: dict[str, str] = {}

        async def query(part: str, describe: DescribeState) -> None:
            try:
                with trio.fail_after(self._timeout):
                    states[part] = await describe()
            except trio.TooSlowError:
                missing[part] = f"no answer within {self._timeout:g} s"
            except Exception as error:  # one failing part must not fail the dump
                missing[part] = f"{type(error).__name__}: {error}"[:200]

        async with trio.open_nursery() as nursery:
            for part, describe in self._parts.items():
                nursery.start_soon(query, part, describe)
        return {"parts": dict(sorted(states.items())), "missing": missing}
