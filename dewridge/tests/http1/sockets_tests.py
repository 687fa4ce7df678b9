"""Reading and writing sockets with few system calls."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing

from dewridge.http1.sockets import receive_some, send_all

LARGE = bytes(range(256)) * 40_000


@asynccontextmanager
async def open_pair() -> AsyncIterator[tuple[trio.SocketStream, trio.SocketStream]]:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    one = await trio.open_tcp_stream("127.0.0.1", port)
    other = await listeners[0].accept()
    async with listeners[0], one, other:
        yield one, other


async def test_data_beyond_the_kernels_buffer_is_sent_completely() -> None:
    # A direct write accepts only a part of a large body. If the rest were not sent, or
    # sent twice, the caller would get a damaged answer.
    received = bytearray()
    async with open_pair() as (sender, receiver):

        async def receive() -> None:
            while len(received) < len(LARGE):
                received.extend(await receive_some(receiver, 50_000))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_all, sender, LARGE)
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(receive)
    assert bytes(received) == LARGE


async def test_a_cancelled_read_loses_no_data() -> None:
    # The wait for a caller's disconnect is cancelled when the answer is complete. A
    # byte of the next request that was lost with it would break the connection.
    async with open_pair() as (sender, receiver):
        with trio.move_on_after(0.01):
            await receive_some(receiver, 10)
        await send_all(sender, b"next")
        assert await receive_some(receiver, 10) == b"next"


async def test_the_end_of_the_connection_is_seen() -> None:
    async with open_pair() as (sender, receiver):
        await send_all(sender, b"")
        await sender.send_eof()
        assert await receive_some(receiver, 10) == b""


async def test_a_closed_stream_raises_and_reaches_no_other_socket() -> None:
    # The number of a closed descriptor is soon used by another connection. Data
    # written to it would reach another caller.
    async with open_pair() as (sender, _):
        sender.socket.close()
        with pytest.raises(trio.ClosedResourceError):
            await send_all(sender, b"x")
        with pytest.raises(trio.ClosedResourceError):
            await receive_some(sender, 1)


async def test_a_read_ends_when_the_stream_is_closed_meanwhile() -> None:
    async with open_pair() as (_, receiver), trio.open_nursery() as nursery:

        async def wait_for_data() -> None:
            with pytest.raises(trio.ClosedResourceError):
                await receive_some(receiver, 1)

        nursery.start_soon(wait_for_data)
        await trio.testing.wait_all_tasks_blocked()
        receiver.socket.close()


async def test_a_reset_connection_raises() -> None:
    async with open_pair() as (sender, receiver):
        receiver.setsockopt(
            trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
        )
        receiver.socket.close()
        with pytest.raises(trio.BrokenResourceError):
            await receive_some(sender, 1)
        with pytest.raises(trio.BrokenResourceError):
            await send_all(sender, b"x")
