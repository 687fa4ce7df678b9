"""Tests of the client connection whose server ends while the request is sent."""

import os
import select
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing

from dewridge.http1.client import ClientConnection, ConnectionBrokenError, Headers
from dewridge.http1.sockets import receive_some, send_all

UPLOAD = bytes(30_000_000)
"""More than the kernel holds of both sides, so that the upload waits for the server."""
HEADERS: Headers = [
    (b"host", b"x"),
    (b"content-length", str(len(UPLOAD)).encode()),
]
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LINGER_RESET = struct.pack("ii", 1, 0)
WAIT_MS = 2_000


@asynccontextmanager
async def open_pair() -> AsyncIterator[tuple[trio.SocketStream, socket.socket]]:
    """Connect a client to a server that is used without the event loop."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        client = await trio.open_tcp_stream(*listener.getsockname())
        server, _ = listener.accept()
        async with client:
            with server:
                yield client, server


def reset(server: socket.socket) -> None:
    """Reset a connection."""
    server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    server.close()


def end_in_order(server: socket.socket) -> None:
    """End a connection; what the client still sends is answered with a reset."""
    server.shutdown(socket.SHUT_WR)
    server.close()


def wait_for_end(client: trio.SocketStream) -> None:
    """Wait without the event loop until the kernel knows of a reset."""
    poll = select.poll()
    poll.register(client.socket.fileno(), select.POLLERR)
    assert poll.poll(WAIT_MS)


async def exchange(
    answer: bytes, end: Callable[[socket.socket], None]
) -> tuple[bytes, bool]:
    """Send an upload that its server ends; return the body and whether it is whole.

    The write takes the error of the connection before the answer is read.
    """
    body = b""
    async with open_pair() as (client, server):
        connection = ClientConnection(client, "server")

        async def upload() -> None:
            with pytest.raises(ConnectionBrokenError):
                await connection.send(b"POST", b"/", HEADERS, UPLOAD)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(upload)
            await trio.testing.wait_all_tasks_blocked()
            server.sendall(answer)
            end(server)
            wait_for_end(client)
        try:
            await connection.receive_head()
            while (part := await connection.receive_body()) is not None:
                body += part
        except ConnectionBrokenError as error:
            assert not error.is_framing_fault
            return body, False
        assert not connection.finish_exchange(0.0)
        return body, True


@pytest.mark.parametrize("head", [UNFRAMED, WITH_LENGTH, CHUNKED + b"4\r\n", b""])
async def test_a_reset_that_a_write_met_is_no_end_of_an_answer(head: bytes) -> None:
    """Guards against a part that looks whole as the write took the error of the read.

    The kernel reports a reset to one system call alone; the next read gets an end of
    input, like that of a connection which ended in order.
    """
    for _ in range(5):
        body, is_whole = await exchange(head + b"part", reset)
        assert not is_whole
        assert body in {b"part", b""}


async def test_a_whole_answer_before_a_reset_that_a_write_met_is_received() -> None:
    """Guards against an early answer that is lost although its end has arrived."""
    for answer in (WITH_LENGTH + b"0123456789", CHUNKED + b"5\r\nwhole\r\n0\r\n\r\n"):
        body, is_whole = await exchange(answer, reset)
        assert is_whole
        assert body in {b"whole", b"0123456789"}


async def test_an_unframed_answer_that_ends_within_an_upload_is_not_whole() -> None:
    """Guards against a part that looks whole as its server closed before it had read.

    A server that breaks off sends the same end as one that has answered early.
    """
    for _ in range(5):
        assert await exchange(UNFRAMED + b"part", end_in_order) == (b"part", False)


@pytest.mark.parametrize("framing", [WITH_LENGTH, CHUNKED])
async def test_a_framed_answer_that_ends_within_an_upload_is_whole(
    framing: bytes,
) -> None:
    """Guards against an early answer that is lost as its server reads no further."""
    is_chunked = framing is CHUNKED
    body = b"a\r\n0123456789\r\n0\r\n\r\n" if is_chunked else b"0123456789"
    for _ in range(5):
        received = await exchange(framing + body, end_in_order)
        assert received == (b"0123456789", True)


async def test_no_task_runs_between_the_error_of_a_write_and_its_report(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a read that gets an end of input before the write has failed."""
    ends: list[bytes] = []
    has_failed = False

    async def read(client: trio.SocketStream) -> None:
        try:
            data = await receive_some(client, 10)
        except trio.BrokenResourceError:
            return
        if not has_failed:
            ends.append(data)

    for _ in range(20):
        has_failed = False
        async with open_pair() as (client, server):

            def write_and_reset(
                descriptor: int,
                data: bytes | memoryview,
                client: trio.SocketStream = client,
                server: socket.socket = server,
            ) -> int:
                monkeypatch.undo()
                sent = os.write(descriptor, data)
                reset(server)
                wait_for_end(client)
                return sent

            async with trio.open_nursery() as nursery:
                nursery.start_soon(read, client)
                await trio.testing.wait_all_tasks_blocked()
                monkeypatch.setattr("dewridge.http1.sockets.os.write", write_and_reset)
                with pytest.raises(trio.BrokenResourceError):
                    await send_all(client, UPLOAD)
                has_failed = True
    assert not ends


def test_a_reset_is_reported_to_one_system_call() -> None:
    """Guards against a change of the kernel's behaviour that the client relies on."""
    for end, errors in (
        (reset, [ConnectionResetError, BrokenPipeError]),
        (end_in_order, [BrokenPipeError, BrokenPipeError]),
    ):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            client = socket.create_connection(listener.getsockname())
            server, _ = listener.accept()
        with client:
            client.sendall(b"x")
            end(server)
            poll = select.poll()
            poll.register(client, select.POLLERR)
            assert poll.poll(WAIT_MS)
            for error in errors:
                with pytest.raises(error):
                    client.send(b"x")
            assert client.recv(1) == b""
