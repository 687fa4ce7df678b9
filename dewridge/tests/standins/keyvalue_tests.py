"""Simulated key-value service: compare-and-swap, watches, leases and restores."""

import trio

from dewridge.standins.keyvalue import KeyValueStore, StoredEntry, SwapRequest


async def test_only_one_of_two_concurrent_writes_succeeds() -> None:
    store = KeyValueStore()
    assert store.compare_and_swap(
        "k", SwapRequest(b"one", 0), lost=False
    ) == StoredEntry("k", b"one", 1)
    assert store.compare_and_swap("k", SwapRequest(b"two", 0), lost=False) is None
    assert [write.revision for write in store.writes] == [1, 0]


async def test_a_key_created_again_gets_a_new_revision() -> None:
    store = KeyValueStore()
    store.compare_and_swap("k", SwapRequest(b"one", 0), lost=False)
    assert store.delete("k", 1, lost=False)
    assert store.get("k").revision == 0
    recreated = store.compare_and_swap("k", SwapRequest(b"one", 0), lost=False)
    assert recreated is not None
    assert recreated.revision == 3


async def test_a_watch_returns_on_a_change() -> None:
    store = KeyValueStore()
    with trio.fail_after(2):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(write_after_delay, store)
            assert await store.wait_for_change("k", 0, 1.0) == StoredEntry(
                "k", b"one", 1
            )
        assert await store.wait_for_change("k", 1, 0.01) is None


async def write_after_delay(store: KeyValueStore) -> None:
    await trio.sleep(0.01)
    store.compare_and_swap("k", SwapRequest(b"one", 0), lost=False)


async def test_an_expired_lease_deletes_its_keys() -> None:
    # A lease holder is paused for longer than its lease; others see that its key
    # is deleted.
    store = KeyValueStore()
    lease = store.grant_lease(0.05)
    store.compare_and_swap("k", SwapRequest(b"mine", 0, lease.id), lost=False)
    with trio.move_on_after(0.3):
        await store.expire_leases()
    assert store.get("k").revision == 0
    assert store.renew_lease(lease.id) is None


async def test_restoring_a_backup_restores_the_older_revision() -> None:
    # After the service is restored from a backup, a reader that trusts the latest
    # answer would revert to an older configuration.
    store = KeyValueStore()
    store.compare_and_swap("k", SwapRequest(b"one", 0), lost=False)
    store.compare_and_swap("k", SwapRequest(b"two", 1), lost=False)
    assert store.restore("k", 0) == StoredEntry("k", b"one", 1)
    assert store.get("k") == StoredEntry("k", b"one", 1)
