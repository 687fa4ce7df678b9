"""Tests of copying the shared prefix of a prompt from the server that has it cached."""

from collections import Counter
from dataclasses import replace

import trio

from dewridge.gateway.model import ServerRecord
from dewridge.gateway.servers import CACHE_WARMUP_TIME, ServerTable
from dewridge.ids import BackendServerId, ServerName
from dewridge.policy.choice import find_cache_holder, score_cache_holder
from dewridge.tests.gateway.world import (
    DOMAIN,
    ENGINE,
    ServerExchange,
    open_world,
)

PARTS = (
    "X-Model: m\r\nX-Token-Count: 9000,50\r\nX-Prefix-Hash: aa:2000,bb:4000,cc:3000\r\n"
)
PREFIX = "m/bb"


def make_record(name: str, *, is_draining: bool = False) -> ServerRecord:
    """Return the record of an engine."""
    return ServerRecord(
        BackendServerId(name),
        ServerName(name),
        ENGINE,
        "127.0.0.1:9",
        DOMAIN,
        8,
        is_draining,
        is_reclaimable=True,
    )


def list_cache_warm(table: ServerTable, now: float) -> list[str]:
    """Return the names of the engines that prefixes may be copied from."""
    return sorted(record.name for record in table.list_cache_warm(ENGINE, now))


def test_a_leaving_server_is_copied_from_until_shortly_before_its_end() -> None:
    """Guards against cached prefixes that are lost with a reclaimed failure domain.

    Otherwise the prefixes would be processed again on fewer servers. They can be copied
    during the two seconds' notice of a leaving server, but not from a crashed one.
    """
    table = ServerTable()
    for name in ("s-1", "s-2", "s-3"):
        table.update(make_record(name), 0.0)
    now = CACHE_WARMUP_TIME + 1
    table.update(make_record("s-1", is_draining=True), now)
    table.apply_full_list(
        [make_record("s-1", is_draining=True), make_record("s-2")], now
    )
    assert list_cache_warm(table, now + 1.0) == ["s-1", "s-2"]
    assert list_cache_warm(table, now + 1.8) == ["s-2"]


def test_a_server_that_has_just_joined_is_not_copied_from() -> None:
    table = ServerTable()
    table.update(make_record("s-1"), 0.0)
    table.update(make_record("s-2"), CACHE_WARMUP_TIME)
    assert list_cache_warm(table, CACHE_WARMUP_TIME + 1.0) == ["s-1"]


def test_the_previous_cache_holder_is_computed_without_communication() -> None:
    """A server joins and becomes the cache holder of prefixes that it has not cached.

    Each host can compute which server was the holder before.
    """
    before = [BackendServerId(f"s-{number}") for number in range(3)]
    new = BackendServerId("s-new")
    previous_holders = Counter[str]()
    for number in range(200):
        prefix = f"p{number}"
        holder = max(
            [*before, new], key=lambda server: score_cache_holder(prefix, server)
        )
        previous_holder = find_cache_holder(before, prefix, holder)
        assert (previous_holder is None) == (holder != new)
        previous_holders[str(previous_holder)] += 1
    assert 30 < 200 - previous_holders["None"] < 70
    assert find_cache_holder([], "p", new) is None


async def test_an_engine_gets_the_address_of_the_cache_holder() -> None:
    """The cache holder of a prefix leaves, and another server gets the prompt."""

    async def answer(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(1, 1)
        await exchange.end_stream()

    async with open_world() as world:
        servers = [await world.add_server(f"s-{n}", answer, ENGINE) for n in range(3)]
        table = world.state.servers
        now = trio.current_time()
        table._joined_at = dict.fromkeys(table._joined_at, now - 2 * CACHE_WARMUP_TIME)
        holder = max(servers, key=lambda server: score_cache_holder(PREFIX, server.id))
        record = table.find(holder.id)
        assert record is not None
        await world.request("/draft/a", method="POST", body=b"x", extra=PARTS)
        table.update(replace(record, is_draining=True), now)
        await world.request(
            "/draft/a", method="POST", body=b"x", extra=PARTS, request_id="r-2"
        )
    (first,) = holder.received
    second = next(
        server.received[0]
        for server in servers
        if server is not holder and server.received
    )
    assert b"kv-fetch" not in first.headers
    assert second.headers[b"kv-fetch"] == record.address.encode()


async def test_a_caller_cannot_name_a_server_to_copy_from() -> None:
    """Guards against callers that send the header to read another account's prompt."""

    async def answer(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(1, 1)
        await exchange.end_stream()

    async with open_world() as world:
        server = await world.add_server("s-1", answer, ENGINE)
        extra = PARTS + "Kv-Fetch: 127.0.0.1:1\r\n"
        await world.request("/draft/a", method="POST", body=b"x", extra=extra)
    assert b"kv-fetch" not in server.received[0].headers
