"""Tests of the store client over a real connection, including lost responses."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from dewridge.codes import ResultCode
from dewridge.http1.calls import ServiceClient
from dewridge.platform.servers import decode_server
from dewridge.platform.store import Item, Lease, Listing, Store, Write
from dewridge.sentinels import Failure
from dewridge.tests.gateway.documents import build_configuration

Handler = Callable[[bytes, trio.SocketStream], Awaitable[None]]


@asynccontextmanager
async def open_store(
    handler: Handler, on_call: Callable[[str, str], None] = lambda *_: None
) -> AsyncIterator[Store]:
    """Run a server that passes each request to a handler; return a client of it."""

    async def serve(stream: trio.SocketStream) -> None:
        data = b""
        try:
            while chunk := await stream.receive_some(65536):
                data += bytes(chunk)
                head, found, rest = data.partition(b"\r\n\r\n")
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.partition(b":")[2])
                if found and len(rest) >= length:
                    data = rest[length:]
                    await handler(head + b"\n" + rest[:length], stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        yield Store(ServiceClient("store", f"127.0.0.1:{port}", 0.3), on_call)
        nursery.cancel_scope.cancel()


async def reply(stream: trio.SocketStream, status: int, body: object) -> None:
    """Send a response with a JSON body."""
    data = json.dumps(body).encode()
    head = b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(data))
    await stream.send_all(head + data)


def make_handler(status: int, body: object) -> Handler:
    """Return a handler that sends the same response to every request."""

    async def handler(request: bytes, stream: trio.SocketStream) -> None:
        await reply(stream, status, body)

    return handler


ITEM = {"key": "k", "value": "dg==", "revision": 4, "created": 3, "lease": 9}


async def test_item_is_decoded_with_all_fields() -> None:
    async with open_store(make_handler(200, ITEM | {"current_rev": 8})) as store:
        assert await store.read("k") == Item("k", b"v", 4, 3, 9)


async def test_every_call_is_counted() -> None:
    """Guards against calls that are missing from the counter operators rely on.

    Each quarantined request takes a lease of its own. Without its calls the store
    would seem less loaded than it is.
    """
    calls: list[tuple[str, str]] = []
    received: list[bytes] = []

    async def handler(request: bytes, stream: trio.SocketStream) -> None:
        received.append(request)
        await reply(stream, 200, {"lease": 5, "ttl_ms": 3000})

    def record_call(kind: str, prefix: str) -> None:
        calls.append((kind, prefix))

    async with open_store(handler, record_call) as store:
        await store.read("a/k")
        await store.list_items("a")
        await store.list_items("a", allow_stale=True)
        await store.watch("a", 1, 0.1)
        await store.change()
        await store.grant_lease(3.0)
        await store.renew_lease(5)
        await store.end_lease(5)
    assert calls == [
        ("read", "a"),
        ("list", "a"),
        ("lagging list", "a"),
        ("watch", "a"),
        ("change", ""),
        ("lease grant", ""),
        ("renewal", ""),
        ("lease end", ""),
    ]
    assert len(received) == len(calls)


async def test_missing_key_is_not_a_failure() -> None:
    async with open_store(make_handler(404, {})) as store:
        assert await store.read("k") is None


async def test_all_pages_are_read() -> None:
    async def page(request: bytes, stream: trio.SocketStream) -> None:
        is_second = b"after=k" in request
        items = [ITEM | {"key": "m"}] if is_second else [ITEM]
        body = {"items": items, "more_pages": not is_second, "current_rev": 8}
        await reply(stream, 200, body)

    async with open_store(page) as store:
        listing = await store.list_items("")
    assert isinstance(listing, Listing)
    assert [item.key for item in listing.items] == ["k", "m"]


async def test_compacted_history_has_its_own_code() -> None:
    async with open_store(make_handler(410, {})) as store:
        changes = await store.watch("", 3, 0.1)
    assert isinstance(changes, Failure)
    assert changes.code is ResultCode.KEY_VALUE_COMPACTED


async def test_watch_reports_removals() -> None:
    body = {"events": [{"key": "k", "revision": 5, "removed": True}], "current_rev": 5}
    async with open_store(make_handler(200, body)) as store:
        changes = await store.watch("", 3, 0.1)
    assert isinstance(changes, Listing)
    assert changes.items[0].removed


async def test_write_without_response_has_unknown_outcome() -> None:
    """The store carries out a write and its response is lost.

    If this counted as a failure, the write would be repeated under other conditions.
    """

    async def never_reply(request: bytes, stream: trio.SocketStream) -> None:
        await trio.sleep_forever()

    async with open_store(never_reply) as store:
        result = await store.change(writes=(Write("k", b"v"),))
        read = await store.read("k")
    assert isinstance(result, Failure)
    assert result.code is ResultCode.KEY_VALUE_UNKNOWN
    assert isinstance(read, Failure)
    assert read.code is ResultCode.KEY_VALUE_DOWN


async def test_unsent_write_has_known_outcome() -> None:
    store = Store(ServiceClient("store", "127.0.0.1:1", 0.3))
    result = await store.change(writes=(Write("k", b"v"),))
    assert isinstance(result, Failure)
    assert result.code is ResultCode.KEY_VALUE_DOWN


@pytest.mark.parametrize("status", [500, 502, 504, 200, 202])
async def test_failed_or_unreadable_write_has_unknown_outcome(status: int) -> None:
    """Guards against a write that is carried out although it was taken as refused.

    Of the failures, only 503 says that the store did nothing.
    """
    async with open_store(make_handler(status, "unreadable")) as store:
        result = await store.change(writes=(Write("k", b"v"),))
    assert isinstance(result, Failure)
    assert result.code is ResultCode.KEY_VALUE_UNKNOWN


async def test_conflict_and_ended_lease_have_different_codes() -> None:
    codes = []
    for status in (412, 404, 429, 503):
        async with open_store(make_handler(status, {"items": []})) as store:
            result = await store.change(expected={"k": 1}, writes=(Write("k", b""),))
            assert isinstance(result, Failure)
            codes.append(result.code)
    assert codes == [
        ResultCode.KEY_VALUE_CONFLICT,
        ResultCode.KEY_VALUE_LEASE_ENDED,
        ResultCode.KEY_VALUE_DOWN,
        ResultCode.KEY_VALUE_DOWN,
    ]


async def test_lease_duration_is_converted_to_seconds() -> None:
    async with open_store(make_handler(200, {"lease": 7, "ttl_ms": 2500})) as store:
        assert await store.grant_lease(2.5) == Lease(7, 2.5)


async def test_connection_closed_while_idle_is_not_reused() -> None:
    """The store closes an idle connection without notice.

    A call sent on it would be lost; a write would have an unknown outcome.
    """

    async def reply_and_close(request: bytes, stream: trio.SocketStream) -> None:
        await reply(stream, 200, ITEM)
        await stream.aclose()

    async with open_store(reply_and_close) as store:
        for _ in range(4):
            assert isinstance(await store.read("k"), Item)
            await trio.sleep(0.02)


@given(st.binary(max_size=200))
def test_any_document_is_decoded_or_rejected(value: bytes) -> None:
    trio.run(build_configuration, value)
    decode_server(Item("servers/i-1", value))
