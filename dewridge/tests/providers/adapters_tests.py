"""Each failure of the platform gets its code, and no answer raises."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from dewridge.codes import ResultCode
from dewridge.metrics.registry import Metrics
from dewridge.providers.cloud import make_cloud
from dewridge.providers.hostlist import make_host_list
from dewridge.providers.keyvalue import make_key_value
from dewridge.providers.model import Entry, KeyValue
from dewridge.sentinels import Failure
from dewridge.standins.faults import Fault, FaultMode
from dewridge.standins.hostlist import HostRecord
from dewridge.standins.platform import Platform

TIMEOUT = 0.3
RECORD = HostRecord("engine-1", "127.0.0.1:1", "zona-a", "engine", ("findings",))


@asynccontextmanager
async def run_platform() -> AsyncIterator[Platform]:
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            platform = Platform()
            await platform.start(nursery)
            yield platform
            nursery.cancel_scope.cancel()


@asynccontextmanager
async def open_key_value(platform: Platform) -> AsyncIterator[tuple[KeyValue, Metrics]]:
    metrics = Metrics()
    url = platform.listeners["key_value"].url
    async with make_key_value(url, timeout=TIMEOUT, metrics=metrics) as key_value:
        yield key_value, metrics


async def strike(platform: Platform, target: str, mode: str) -> None:
    """Put a fault in force; a listener takes a moment to close."""
    platform.set_fault(Fault(target, FaultMode(mode)))
    await trio.sleep(0.05)


def find_code(result: object) -> ResultCode:
    assert isinstance(result, Failure), result
    return result.code


async def test_the_key_value_service_reads_writes_and_watches() -> None:
    async with run_platform() as platform, open_key_value(platform) as (kv, metrics):
        absent = await kv.get("a/b c")
        assert isinstance(absent, Entry)
        assert absent.is_absent
        written = await kv.compare_and_swap("a/b c", b"\x00one", 0)
        assert written == Entry("a/b c", b"\x00one", 1)
        lost = await kv.compare_and_swap("a/b c", b"two", 0)
        assert find_code(lost) is ResultCode.KEY_VALUE_CONFLICT
        assert await kv.list_entries("a/") == [written]
        assert await kv.watch("a/b c", 0, 1.0) == written
        nothing = await kv.watch("a/b c", 1, 0.05)
        assert find_code(nothing) is ResultCode.KEY_VALUE_TIMEOUT
        assert await kv.delete("a/b c", 1) == Entry("a/b c", b"", 0)
        kind = {"service": "key_value", "kind": "swap"}
        assert metrics.read("platform_calls_total", **kind) == 2


async def test_a_watch_outlasts_the_time_of_a_call() -> None:
    # A watch waits longer than any other call may. Cut by the timeout of a
    # call, it would look like an outage several times a second.
    async with run_platform() as platform, open_key_value(platform) as (kv, _):
        nothing = await kv.watch("k", 0, 3 * TIMEOUT)
        assert find_code(nothing) is ResultCode.KEY_VALUE_TIMEOUT


@pytest.mark.parametrize(
    ("mode", "write_code", "read_code", "took_effect"),
    [
        ("down", ResultCode.KEY_VALUE_DOWN, ResultCode.KEY_VALUE_DOWN, False),
        ("silent", ResultCode.KEY_VALUE_UNKNOWN, ResultCode.KEY_VALUE_DOWN, False),
        ("error", ResultCode.KEY_VALUE_UNKNOWN, ResultCode.KEY_VALUE_DOWN, False),
        ("lose_answers", ResultCode.KEY_VALUE_UNKNOWN, ResultCode.KEY_VALUE_DOWN, True),
        ("garble", ResultCode.KEY_VALUE_UNKNOWN, ResultCode.PLATFORM_MALFORMED, True),
    ],
)
async def test_only_a_write_that_never_left_counts_as_not_written(
    mode: str, write_code: ResultCode, read_code: ResultCode, took_effect: bool
) -> None:
    # The service fails while a claim is written, and some of these failures
    # hide a write that took effect. If the adapter called that one "not
    # written", a letter would be issued twice.
    async with run_platform() as platform, open_key_value(platform) as (kv, _):
        await kv.get("k")
        await strike(platform, "key_value", mode)
        assert find_code(await kv.compare_and_swap("k", b"v", 0)) is write_code
        assert find_code(await kv.get("k")) is read_code
        await strike(platform, "key_value", "none")
        entry = await kv.get("k")
        assert isinstance(entry, Entry)
        assert entry.is_absent is not took_effect


async def test_one_record_from_a_newer_platform_does_not_hide_the_others() -> None:
    # The platform is upgraded first and lists a kind of server that this
    # release does not know. Operators would see every service without servers.
    metrics = Metrics()
    async with run_platform() as platform:
        url = platform.listeners["host_list"].url
        strange = HostRecord("x-1", "127.0.0.1:2", "zona-a", "quantum", ("findings",))
        async with make_host_list(url, timeout=TIMEOUT, metrics=metrics) as host_list:
            platform.directory.register(strange)
            assert find_code(await host_list.fetch()) is ResultCode.PLATFORM_MALFORMED
            platform.directory.register(RECORD)
            servers = await host_list.fetch()
            assert not isinstance(servers, Failure)
            assert [server.backend_server for server in servers] == ["engine-1"]
            await strike(platform, "host_list", "garble")
            assert find_code(await host_list.fetch()) is ResultCode.PLATFORM_MALFORMED
            await strike(platform, "host_list", "down")
            assert find_code(await host_list.fetch()) is ResultCode.PLATFORM_DOWN


async def test_notices_are_read_and_an_outage_is_told() -> None:
    async with run_platform() as platform:
        url = platform.listeners["cloud"].url
        async with make_cloud(url, timeout=TIMEOUT, metrics=Metrics()) as cloud:
            assert await cloud.fetch_notices() == []
            await strike(platform, "cloud", "error")
            assert find_code(await cloud.fetch_notices()) is ResultCode.PLATFORM_DOWN
