"""State dumps: each part describes itself, and one that hangs is named."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

DescribeState = Callable[[], Awaitable[Any]]
"""Returns a part's state as plain JSON values, asked of the task that owns it.
It holds no token, prompt or answer."""


class DumpCollector:
    """The parts of this process that can describe themselves."""

    def __init__(self, timeout: float = 1.0) -> None:
        self._timeout = timeout
        self._parts: dict[str, DescribeState] = {}

    def add(self, part: str, describe: DescribeState) -> None:
        """Register a part."""
        self._parts[part] = describe

    async def collect(self) -> dict[str, Any]:
        """Ask all parts at once.

        Returns:
            The state by part. A part that does not answer in time, or fails,
            is in `missing` with the reason, so that a dump of a process with
            a hung task still arrives and says which task it is.
        """
        found: dict[str, Any] = {}
        missing: dict[str, str] = {}

        async def ask(part: str, describe: DescribeState) -> None:
            try:
                with trio.fail_after(self._timeout):
                    found[part] = await describe()
            except trio.TooSlowError:
                missing[part] = f"no answer within {self._timeout:g} s"
            except Exception as error:  # a part's fault must not hide the others
                missing[part] = f"{type(error).__name__}: {error}"[:200]

        async with trio.open_nursery() as nursery:
            for part, describe in self._parts.items():
                nursery.start_soon(ask, part, describe)
        return {"parts": dict(sorted(found.items())), "missing": missing}
