"""Tests of callers that send requests without end to the own interface."""

import tracemalloc
from contextlib import suppress

import pytest
import trio

from dewridge.tests.frontend.fakes import AUDITOR, FakeRequests, run_frontend

PIECE = b"x" * 16_384
MAX_SECONDS = 4.0
MAX_BYTES = 24_000_000
REQUEST = (
    "POST /v1/services/findings/requests HTTP/1.1\r\nHost: a\r\n"
    f"Authorization: Bearer {AUDITOR}\r\n"
).encode()
CHUNKED = REQUEST + b"Transfer-Encoding: chunked\r\n\r\n"
FLOODS = {
    "garbage": (b"", PIECE),
    "line": (b"POST /", PIECE),
    "field": (REQUEST + b"X-Field: ", PIECE),
    "fields": (REQUEST, b"X-Field: value\r\n" * 1_000),
    "empty-lines": (b"", b"\r\n" * 8_000),
    "chunks": (CHUNKED, b"%x\r\n%s\r\n" % (len(PIECE), PIECE)),
    "small-chunks": (CHUNKED, b"1\r\nx\r\n" * 3_000),
    "chunk-size": (CHUNKED, b"0" * 16_384),
    "extension": (CHUNKED + b"5;", PIECE),
    "trailers": (CHUNKED + b"0\r\n", b"X-Field: value\r\n" * 1_000),
    "length": (REQUEST + b"Content-Length: 999999999999\r\n\r\n", PIECE),
    "stranger": (
        CHUNKED.replace(AUDITOR.encode(), b"stranger"),
        b"%x\r\n%s\r\n" % (len(PIECE), PIECE),
    ),
}
"""Beginning and repeated rest of requests that have no end."""


@pytest.mark.parametrize("name", FLOODS)
async def test_the_listener_keeps_no_bytes_without_end(name: str) -> None:
    """Guards against a caller that makes a host hold all that it sends."""
    begin, rest = FLOODS[name]
    has_ended = False
    async with run_frontend(FakeRequests([]), body_timeout=1.0) as frontend:
        host, port = frontend.address.split(":")
        stream = await trio.open_tcp_stream(host, int(port))

        async def discard() -> None:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                while await stream.receive_some(65_536):
                    pass

        tracemalloc.start()
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(discard)
            with trio.move_on_after(MAX_SECONDS):
                try:
                    await stream.send_all(begin)
                    while True:
                        await stream.send_all(rest)
                except trio.BrokenResourceError:
                    has_ended = True
            nursery.cancel_scope.cancel()
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    assert peak < MAX_BYTES
    assert has_ended
