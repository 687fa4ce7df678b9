"""Lets only one of several concurrent calls receive a large answer."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

LARGE_ANSWER_BYTES = 16_384
"""Bytes of an answer from which it counts as a transfer. Two of them side by side would
each take twice as long; smaller ones take a few milliseconds on the slowest links."""

Result = TypeVar("Result")
OnBegin = Callable[[int | None], None]
"""Called with the length of an answer's body, None if unknown, when it begins."""


class SingleTransfer:
    """Ends calls whose large answer begins while another one is being received."""

    def __init__(self) -> None:
        self._active: trio.CancelScope | None = None
        self._ended = trio.Event()

    async def run(
        self,
        call: Callable[[OnBegin], Awaitable[Result]],
        is_wanted: Callable[[], bool],
    ) -> Result | None:
        """Make a call.

        Args:
            call: makes the call.
            is_wanted: whether a large answer that begins is still needed.

        Returns:
            Its result; None if it was ended because of another one or by `stop`, or if
            its answer was not wanted any more.
        """
        scope = trio.CancelScope()

        def begin(size: int | None) -> None:
            if size is not None and size < LARGE_ANSWER_BYTES:
                return
            if self._active is None and is_wanted():
                self._active = scope
            elif self._active is not scope:
                scope.cancel()

        result: Result | None = None
        try:
            with scope:
                result = await call(begin)
        finally:
            if self._active is scope:
                self._active = None
                ended, self._ended = self._ended, trio.Event()
                ended.set()
        return result

    async def wait(self) -> None:
        """Wait until no large answer is being received."""
        while self._active is not None:
            await self._ended.wait()

    def stop(self) -> None:
        """End the call whose large answer is being received."""
        if self._active is not None:
            self._active.cancel()
