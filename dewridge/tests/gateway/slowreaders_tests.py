"""Tests of callers that have not read their whole answer when their host exits."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import h11
import trio
import trio.testing

from dewridge.gateway.responder import Responder
from dewridge.tests.gateway.world import make_request, read_answer

SMALL_BUFFER_BYTES = 8_192
BODY = bytes(150_000)
"""More than the small buffers of both ends, less than common limits of systems."""


@asynccontextmanager
async def open_connection() -> AsyncIterator[tuple[trio.SocketStream, Responder]]:
    """Yield a caller that has sent a request and does not read, and its responder.

    The host's end is closed afterwards as at the end of its process.
    """
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    for listener in listeners:
        listener.socket.setsockopt(
            trio.socket.SOL_SOCKET, trio.socket.SO_SNDBUF, SMALL_BUFFER_BYTES
        )
    caller = trio.SocketStream(trio.socket.socket())
    caller.socket.setsockopt(
        trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, SMALL_BUFFER_BYTES
    )
    await caller.socket.connect(listeners[0].socket.getsockname())
    host = await listeners[0].accept()
    async with listeners[0], caller:
        state = h11.Connection(h11.SERVER)
        state.receive_data(make_request("/read/a"))
        while state.next_event() is not h11.NEED_DATA:
            if state.their_state is h11.DONE:
                break
        yield caller, Responder(host, state, lambda: True)
        host.socket.close()


async def leave_to_kernel(responder: Responder) -> None:
    """Have the kernel take the rest of an answer, and close the host's end."""
    with trio.fail_after(1.0):
        while not responder.is_finished:
            responder.leave_to_kernel()
            await trio.sleep(0.01)
    responder._stream.socket.close()


async def test_an_answer_that_its_caller_has_not_read_outlasts_the_host() -> None:
    """Guards against answers that are cut at the exit since their callers are slow."""
    async with open_connection() as (caller, responder), trio.open_nursery() as nursery:
        nursery.start_soon(responder.send_complete, 200, [], BODY)
        await trio.testing.wait_all_tasks_blocked()
        assert not responder.is_finished
        await leave_to_kernel(responder)
        answer = await read_answer(caller)
    assert answer.is_complete
    assert answer.body == BODY


async def test_a_stream_that_its_caller_has_not_read_outlasts_the_host() -> None:
    """Guards against streams that are cut at the exit since their callers are slow."""
    part = BODY[:30_000]

    async def send(responder: Responder) -> None:
        await responder.send_head(200, [])
        for _ in range(5):
            await responder.send_body_part(part)
        await responder.finish()

    async with open_connection() as (caller, responder), trio.open_nursery() as nursery:
        nursery.start_soon(send, responder)
        await trio.testing.wait_all_tasks_blocked()
        await leave_to_kernel(responder)
        answer = await read_answer(caller)
    assert answer.is_complete
    assert answer.body == 5 * part


async def test_a_larger_send_buffer_is_kept() -> None:
    """Guards against a kernel that takes less since it was asked to take more."""
    async with open_connection() as (_, responder):
        host = responder._stream.socket
        host.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_SNDBUF, 100_000)
        before = host.getsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_SNDBUF)
        responder._bytes_in_write = 10
        responder.leave_to_kernel()
        after = host.getsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_SNDBUF)
    assert after >= before
