"""Tests of listeners: what a failed accept does to the connections that are served."""

import errno
import os
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest
import trio
import trio.testing

from dewridge.gateway.composition import accept_connections

MemoryStream = trio.StapledStream[
    trio.testing.MemorySendStream, trio.testing.MemoryReceiveStream
]
ERRORS = (errno.ECONNABORTED, errno.EMFILE, errno.EPROTO, errno.EPERM)
"""Errors of accept on Linux: of the new connection, the process or the firewall."""


class FailingListener(trio.abc.Listener[MemoryStream]):
    """A listener whose second accept fails, and which accepts two connections in all.

    Attributes:
        callers: the callers' ends of the accepted connections.
    """

    def __init__(self, error: OSError) -> None:
        self._error = error
        self._calls = 0
        self.callers: list[MemoryStream] = []

    async def accept(self) -> MemoryStream:
        """Return a new connection, except at the second call."""
        self._calls += 1
        if self._calls == 2:
            raise self._error
        if self._calls > 3:
            await trio.sleep_forever()
        caller, accepted = trio.testing.memory_stream_pair()
        self.callers.append(caller)
        return accepted

    async def aclose(self) -> None:
        """Do nothing; the connections have their own ends."""


@pytest.mark.parametrize("number", ERRORS)
async def test_a_failed_accept_ends_no_connection(
    number: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against one failed accept that cuts the answers of all callers."""
    listener = FailingListener(OSError(number, os.strerror(number)))

    async def answer_late(stream: MemoryStream) -> None:
        async with stream:
            await trio.sleep(1.0)
            await stream.send_all(b"whole")

    handler = cast(Callable[[trio.SocketStream], Awaitable[None]], answer_late)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(accept_connections, cast(Any, listener), handler)
        await trio.sleep(2.0)
        answers = [await caller.receive_some(10) for caller in listener.callers]
        nursery.cancel_scope.cancel()
    assert answers == [b"whole", b"whole"]
