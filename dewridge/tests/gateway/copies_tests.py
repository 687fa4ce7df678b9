"""Tests of the copies of streams' versions that outlast a loss of all hosts."""

import pytest
import trio
import trio.testing

from dewridge.gateway.versions.copies import StreamCopies
from dewridge.gateway.versions.records import StreamVersions
from dewridge.ids import ServiceName, StreamKey
from dewridge.platform.store import Lease
from dewridge.policy.streamversions import ReleaseHistory
from dewridge.tests.gateway.memorystore import MemoryStore, StoreData

SERVICE = ServiceName("chat")
STREAM_SECONDS = 2.5
"""Seconds that a stream runs."""
BEGIN_INTERVAL = 0.05
"""Seconds between the beginnings of two streams at a host."""
MAX_UNKNOWN_SHARE = 0.2
"""Share of the running streams that may be unknown. Their callers try four times, the
others once, so that half of all attempts go on then."""


@pytest.mark.parametrize(
    ("hosts", "writes_per_second"),
    [(2, 400.0), (9, 400.0), (60, 1200.0), (195, 3200.0), (440, 7200.0)],
)
async def test_most_streams_are_known_after_all_hosts_were_killed(
    autojump_clock: trio.testing.MockClock, hosts: int, writes_per_second: float
) -> None:
    """Guards against copies that lack the streams begun shortly before the loss."""
    store = MemoryStore()
    versions = StreamVersions(ReleaseHistory(complete_since=0.0))
    for name in ("v1", "v2"):
        versions.history.record(SERVICE, name, trio.current_time())
    release = versions.history.list_recent(SERVICE, trio.current_time())[0]
    copies = StreamCopies(
        versions, store, "streams/host-1/1", lambda: hosts, writes_per_second
    )
    versions.on_mixed = copies.handle_mixed
    began_at: dict[StreamKey, float] = {}
    worst = 0.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(copies.run)
        copies.handle_mixed()
        for number in range(200):
            now = trio.current_time()
            stream = StreamKey(number)
            began_at[stream] = now
            versions.begin(SERVICE, stream, release, now)
            for old, at in list(began_at.items()):
                if now - at > STREAM_SECONDS:
                    versions.end(SERVICE, old)
                    del began_at[old]
            await trio.sleep(BEGIN_INTERVAL)
            if number > STREAM_SECONDS / BEGIN_INTERVAL:
                known = await read_copies(store)
                unknown = [key for key in began_at if known.ledger.find(key) is None]
                worst = max(worst, len(unknown) / len(began_at))
        nursery.cancel_scope.cancel()
    assert worst <= MAX_UNKNOWN_SHARE


async def test_a_copy_has_no_lease_of_another_host_after_a_restore(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a copy that ends with a lease that was granted again."""
    data = StoreData(era=1)
    snapshot = data.take_snapshot()
    store, other = MemoryStore(data), MemoryStore(data)
    versions = StreamVersions(ReleaseHistory(complete_since=0.0))
    for name in ("v1", "v2"):
        versions.history.record(SERVICE, name, trio.current_time())
    release = versions.history.list_recent(SERVICE, trio.current_time())[0]
    key = "streams/host-1/1"
    copies = StreamCopies(versions, store, key, lambda: 2, 400.0)
    store.era.on_restored.append(copies.handle_restore)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(copies.run)
        copies.handle_mixed()
        for number in range(8):
            versions.begin(SERVICE, StreamKey(number), release, trio.current_time())
            await trio.sleep(0.25)
        data.restore(snapshot)
        granted = await other.grant_lease(10.0)
        assert isinstance(granted, Lease)
        # Its next call renews the lease.
        copies._renewed_at = float("-inf")
        for number in range(8, 16):
            versions.begin(SERVICE, StreamKey(number), release, trio.current_time())
            await trio.sleep(0.25)
        assert data.items[key].lease != granted.id
        nursery.cancel_scope.cancel()


async def read_copies(store: MemoryStore) -> StreamVersions:
    """Return what a host that starts now reads from the store."""
    started = StreamVersions(ReleaseHistory(complete_since=trio.current_time()))
    reader = StreamCopies(
        started, MemoryStore(store.data), "streams/host-2/1", lambda: 1, 1.0
    )
    await reader.find(SERVICE, StreamKey(1_000_000))
    return started
