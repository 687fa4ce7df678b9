"""Tests of how callers tell requests that were read from those that were not."""

from collections.abc import Awaitable, Callable

import h11
import pytest
import trio

from dewridge.tests.soak.callers import send_request
from dewridge.tests.soak.records import History, RequestKind, SentRequest

Handler = Callable[[trio.SocketStream], Awaitable[None]]


async def close_at_once(stream: trio.SocketStream) -> None:
    """Close a connection before the request is sent."""
    await stream.aclose()


async def close_unread(stream: trio.SocketStream) -> None:
    """Close a connection with the request unread."""
    await trio.sleep(0.1)
    await stream.aclose()


async def close_after_reading(stream: trio.SocketStream) -> None:
    """Read the request and close the connection."""
    await stream.receive_some()
    await stream.aclose()


@pytest.mark.parametrize(
    ("handle", "expected"),
    [(close_at_once, True), (close_unread, True), (close_after_reading, False)],
)
async def test_connection_is_reset_if_the_request_was_not_read(
    handle: Handler, expected: bool
) -> None:
    request = SentRequest("r-1", RequestKind.READ, "host-1", "key-1", 10, 0.0)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, handle, listeners)
        port = listeners[0].socket.getsockname()[1]
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await trio.sleep(0.05)
            state = h11.Connection(h11.CLIENT)
            await send_request(stream, state, request, History(), 1.0)
        nursery.cancel_scope.cancel()
    assert not request.is_complete
    assert request.is_reset is expected
