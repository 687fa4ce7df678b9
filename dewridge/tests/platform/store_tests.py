"""Calls of the store over a real connection, with the answers it may give or lose."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import trio
from hypothesis import given
from hypothesis import strategies as st

from dewridge.codes import ResultCode
from dewridge.http1.calls import ServiceClient
from dewridge.platform.configuration import decode_configuration
from dewridge.platform.servers import decode_server
from dewridge.platform.store import Item, Lease, Listing, Store, Write
from dewridge.sentinels import Failure

Script = Callable[[bytes, trio.SocketStream], Awaitable[None]]


@asynccontextmanager
async def open_store(script: Script) -> AsyncIterator[Store]:
    """Run a server that answers each request by a script."""

    async def handle(stream: trio.SocketStream) -> None:
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
                    await script(head + b"\n" + rest[:length], stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, handle, listeners)
        port = listeners[0].socket.getsockname()[1]
        yield Store(ServiceClient("store", f"127.0.0.1:{port}", 0.3))
        nursery.cancel_scope.cancel()


async def reply(stream: trio.SocketStream, status: int, body: object) -> None:
    """Send an answer with a JSON body."""
    data = json.dumps(body).encode()
    head = b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(data))
    await stream.send_all(head + data)


def answer_with(status: int, body: object) -> Script:
    """Return a script that gives one answer to everything."""

    async def script(request: bytes, stream: trio.SocketStream) -> None:
        await reply(stream, status, body)

    return script


ITEM = {"key": "k", "value": "dg==", "revision": 4, "created": 3, "lease": 9}


async def test_an_item_is_decoded_with_what_its_fields_hold() -> None:
    async with open_store(answer_with(200, ITEM | {"current_rev": 8})) as store:
        assert await store.read("k") == Item("k", b"v", 4, 3, 9)


async def test_a_missing_key_is_no_failure() -> None:
    async with open_store(answer_with(404, {})) as store:
        assert await store.read("k") is None


async def test_pages_are_read_to_the_end() -> None:
    async def page(request: bytes, stream: trio.SocketStream) -> None:
        is_second = b"after=k" in request
        items = [ITEM | {"key": "m"}] if is_second else [ITEM]
        body = {"items": items, "more_pages": not is_second, "current_rev": 8}
        await reply(stream, 200, body)

    async with open_store(page) as store:
        listing = await store.list_items("")
    assert isinstance(listing, Listing)
    assert [item.key for item in listing.items] == ["k", "m"]


async def test_a_dropped_history_is_told_apart() -> None:
    async with open_store(answer_with(410, {})) as store:
        news = await store.watch("", 3, 0.1)
    assert isinstance(news, Failure)
    assert news.code is ResultCode.KEY_VALUE_COMPACTED


async def test_removals_are_told_by_watches() -> None:
    body = {"events": [{"key": "k", "revision": 5, "removed": True}], "current_rev": 5}
    async with open_store(answer_with(200, body)) as store:
        news = await store.watch("", 3, 0.1)
    assert isinstance(news, Listing)
    assert news.items[0].removed


async def test_a_lost_answer_to_a_write_is_unknown() -> None:
    """The store carries a write out and its answer is lost.

    Taken for a failure, the write would be made again under other conditions.
    """

    async def lose(request: bytes, stream: trio.SocketStream) -> None:
        await trio.sleep_forever()

    async with open_store(lose) as store:
        result = await store.change(writes=(Write("k", b"v"),))
        read = await store.read("k")
    assert isinstance(result, Failure)
    assert result.code is ResultCode.KEY_VALUE_UNKNOWN
    assert isinstance(read, Failure)
    assert read.code is ResultCode.KEY_VALUE_DOWN


async def test_a_write_that_never_left_is_not_unknown() -> None:
    store = Store(ServiceClient("store", "127.0.0.1:1", 0.3))
    result = await store.change(writes=(Write("k", b"v"),))
    assert isinstance(result, Failure)
    assert result.code is ResultCode.KEY_VALUE_DOWN


async def test_a_condition_that_failed_and_an_ended_lease_are_told_apart() -> None:
    codes = []
    for status in (412, 404, 429, 503):
        async with open_store(answer_with(status, {"items": []})) as store:
            result = await store.change(expected={"k": 1}, writes=(Write("k", b""),))
            assert isinstance(result, Failure)
            codes.append(result.code)
    assert codes == [
        ResultCode.KEY_VALUE_CONFLICT,
        ResultCode.KEY_VALUE_LEASE_ENDED,
        ResultCode.KEY_VALUE_DOWN,
        ResultCode.KEY_VALUE_DOWN,
    ]


async def test_leases_are_granted_in_seconds() -> None:
    async with open_store(answer_with(200, {"lease": 7, "ttl_ms": 2500})) as store:
        assert await store.grant_lease(2.5) == Lease(7, 2.5)


async def test_a_connection_that_was_closed_meanwhile_is_not_used() -> None:
    """The store closes a kept connection without a word.

    A call sent on it would be lost; for a write nobody would know its fate.
    """

    async def answer_and_close(request: bytes, stream: trio.SocketStream) -> None:
        await reply(stream, 200, ITEM)
        await stream.aclose()

    async with open_store(answer_and_close) as store:
        for _ in range(4):
            assert isinstance(await store.read("k"), Item)
            await trio.sleep(0.02)


@given(st.binary(max_size=200))
def test_any_document_is_decoded_or_refused(value: bytes) -> None:
    decode_configuration(value)
    decode_server(Item("servers/i-1", value))
