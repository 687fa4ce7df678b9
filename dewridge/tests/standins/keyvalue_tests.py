"""The key-value stand-in swaps, watches, leases and restores."""

import trio

from dewridge.standins.keyvalue import KeyValueStore, StoredEntry, SwapRequest


async def test_one_of_two_writers_wins() -> None:
    store = KeyValueStore()
    assert store.compare_and_swap(
        "k", SwapRequest(b"one", 0), lost=False
    ) == StoredEntry("k", b"one", 1)
    assert store.compare_and_swap("k", SwapRequest(b"two", 0), lost=False) is None
    assert [write.revision for write in store.writes] == [1, 0]


async def test_a_deleted_key_does_not_return_to_an_old_revision() -> None:
    store = KeyValueStore()
    store.compare_and_swap("k", SwapRequest(b"one", 0), lost=False)
    assert store.delete("k", 1, lost=False)
    assert store.get("k").revision == 0
    again = store.compare_and_swap("k", SwapRequest(b"one", 0), lost=False)
    assert again is not None
    assert again.revision == 3


async def test_a_watch_wakes_on_a_change() -> None:
    store = KeyValueStore()
    with trio.fail_after(2):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(write_later, store)
            assert await store.wait_for_change("k", 0, 1.0) == StoredEntry(
                "k", b"one", 1
            )
        assert await store.wait_for_change("k", 1, 0.01) is None


async def write_later(store: KeyValueStore) -> None:
    await trio.sleep(0.01)
    store.compare_and_swap("k", SwapRequest(b"one", 0), lost=False)


async def test_a_lapsed_lease_takes_its_keys_along() -> None:
    # A holder is paused for longer than its lease; others see its key go.
    store = KeyValueStore()
    lease = store.grant_lease(0.05)
    store.compare_and_swap("k", SwapRequest(b"mine", 0, lease.id), lost=False)
    with trio.move_on_after(0.3):
        await store.expire_leases()
    assert store.get("k").revision == 0
    assert store.renew_lease(lease.id) is None


async def test_a_restored_backup_brings_back_the_older_revision() -> None:
    # The service is restored from a backup: a reader that trusted the latest
    # answer would fall back to an older configuration.
    store = KeyValueStore()
    store.compare_and_swap("k", SwapRequest(b"one", 0), lost=False)
    store.compare_and_swap("k", SwapRequest(b"two", 1), lost=False)
    assert store.restore("k", 0) == StoredEntry("k", b"one", 1)
    assert store.get("k") == StoredEntry("k", b"one", 1)
