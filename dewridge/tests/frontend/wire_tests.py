"""Tests with malformed or unexpected bytes over real connections."""

import re
from typing import Any

import httpx
import pytest
import trio

from dewridge.tests.frontend.fakes import (
    AUDITOR,
    FakeRequests,
    authorize,
    make_body,
    run_frontend,
)

TOKEN = f"Authorization: Bearer {AUDITOR}\r\n".encode()
POST = b"POST /v1/services/findings/requests HTTP/1.1\r\nHost: a\r\n" + TOKEN
UNEXPECTED_INPUTS = {
    "binary": bytes(range(256)) * 8,
    "tls": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"\x00" * 300,
    "http2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00" * 64,
    "upgrade": b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n"
    b"Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n",
    "h2c": b"GET /v1/entry-hosts HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, HTTP2-Se"
    b"ttings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n\r\n",
    "no host": b"GET /v1/entry-hosts HTTP/1.1\r\n\r\n",
    "length": POST + b"Content-Length: -5\r\n\r\n{}",
    "two lengths": POST + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n{}   ",
    "chunks": POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n",
    "smuggled": POST
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "head": b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 100_000 + b"\r\n\r\n",
    "path": b"GET /v1/requests/%ff%00%2e%2e HTTP/1.1\r\nHost: a\r\n" + TOKEN + b"\r\n",
    "token": b"GET /v1/entry-hosts HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
    b"\xff\xfe\r\n\r\n",
}


@pytest.mark.parametrize("name", list(UNEXPECTED_INPUTS))
async def test_malformed_bytes_affect_only_their_own_connection(name: str) -> None:
    # A scanner, a faulty client or another protocol connects to the port. It must
    # get an error or a closed connection, and other callers must not be affected.
    requests = FakeRequests([])
    limits: dict[str, Any] = {"keep_alive": 0.3, "body_timeout": 0.3}
    async with run_frontend(requests, **limits) as frontend:
        host, port = frontend.address.split(":")
        received = b""
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            with trio.fail_after(5):
                try:
                    await stream.send_all(UNEXPECTED_INPUTS[name])
                    while chunk := await stream.receive_some(65536):
                        received += chunk
                except trio.BrokenResourceError:
                    pass
        assert b" 200 " not in received.split(b"\r\n")[0]
        assert b" 500 " not in received
        assert not requests.submissions
        async with httpx.AsyncClient() as client:
            url = f"http://{frontend.address}/v1/entry-hosts"
            answer = await client.get(url, headers=authorize(AUDITOR))
        assert answer.status_code == 200


async def test_pipelined_requests_are_answered_in_order() -> None:
    # A caller pipelines requests: it sends the next one before the first answer.
    body = make_body(operation="draft_finding")
    content = httpx.Request(
        "POST", "http://a/v1/services/findings/requests", json=body
    ).content
    post_request = POST + b"Content-Length: %d\r\n\r\n" % len(content) + content
    list_request = b"GET /v1/entry-hosts HTTP/1.1\r\nHost: a\r\n" + TOKEN + b"\r\n"
    async with run_frontend(FakeRequests([]), keep_alive=0.3) as frontend:
        host, port = frontend.address.split(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(post_request + list_request)
            received = b""
            with trio.fail_after(10):
                while chunk := await stream.receive_some(65536):
                    received += chunk
    assert re.findall(rb"HTTP/1\.1 (\d+)", received) == [b"202", b"200"]
