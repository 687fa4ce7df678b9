"""Tests of the operators' client with hosts whose replies can't be used."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from dewridge.client.operators import OperatorClient
from dewridge.codes import ResultCode
from dewridge.sentinels import Failure

PROBLEM = b'{"code":%d,"title":"internal"}' % int(ResultCode.INTERNAL)


@asynccontextmanager
async def run_host(reply: bytes, received: list[bytes]) -> AsyncIterator[str]:
    """Send a reply to each request and close its connection; yield the address."""

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            received.append(bytes(await stream.receive_some(65536)))
            await stream.send_all(reply)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        port = listeners[0].socket.getsockname()[1]
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()


def make_reply(status: int, body: bytes, length: int | None = None) -> bytes:
    """Return a reply, which may announce more than its body."""
    announced = len(body) if length is None else length
    return b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s" % (status, announced, body)


@pytest.mark.parametrize(
    "reply",
    [
        b"",
        b"no http\r\n\r\n",
        make_reply(200, b'{"revision":', 40),
        make_reply(200, b"unreadable"),
        make_reply(500, b""),
        make_reply(502, b"bad gateway"),
        make_reply(500, PROBLEM),
    ],
)
async def test_change_without_a_usable_reply_has_unknown_outcome(reply: bytes) -> None:
    """Guards against an operator who repeats a change that was made."""
    received: list[bytes] = []
    async with (
        run_host(reply, received) as host,
        run_host(b"", received) as other,
        OperatorClient([host, other], "token") as client,
    ):
        result = await client.change("PUT", "/v1/profiles/a", 1, {})
    assert isinstance(result, Failure)
    assert result.code is ResultCode.CHANGE_UNKNOWN
    assert len(received) == 1


@pytest.mark.parametrize(
    ("status", "code"),
    [(409, ResultCode.REVISION_CONFLICT), (503, ResultCode.KEY_VALUE_DOWN)],
)
async def test_refused_change_is_reported_as_such(
    status: int, code: ResultCode
) -> None:
    body = b'{"code":%d,"title":"refused"}' % int(code)
    async with (
        run_host(make_reply(status, body), []) as host,
        OperatorClient([host], "token") as client,
    ):
        result = await client.change("PUT", "/v1/profiles/a", 1, {})
    assert isinstance(result, Failure)
    assert result.code is code
