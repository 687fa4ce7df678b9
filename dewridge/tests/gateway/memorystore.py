"""In-memory store of the platform with faults that tests can inject."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import trio

from dewridge.codes import ResultCode
from dewridge.platform.eras import StoreEra
from dewridge.platform.store import Item, Lease, Listing, Store, Write
from dewridge.sentinels import Failure

DOWN = Failure(ResultCode.KEY_VALUE_DOWN, "down")
COMPACTED = Failure(ResultCode.KEY_VALUE_COMPACTED, "the history is gone")


@dataclass
class StoreData:
    """Data that all callers of one store share."""

    items: dict[str, Item] = field(default_factory=dict)
    leases: dict[int, float] = field(default_factory=dict)
    revision: int = 10
    next_lease: int = 1
    changes: list[Item] = field(default_factory=list)
    changed: trio.Event = field(default_factory=trio.Event)

    era: int | None = None
    """Era sent with each answer; None if the store sends no era."""

    def take_snapshot(self) -> "StoreData":
        """Return a snapshot for a later `restore`."""
        return replace(
            self,
            items=dict(self.items),
            leases=dict(self.leases),
            changes=list(self.changes),
        )

    def restore(self, snapshot: "StoreData") -> None:
        """Restore a snapshot, discarding later changes, and begin a new era."""
        self.items = dict(snapshot.items)
        self.leases = dict(snapshot.leases)
        self.changes = list(snapshot.changes)
        self.revision = snapshot.revision
        self.next_lease = snapshot.next_lease
        assert self.era is not None
        self.era += 1
        self.notify_watches()

    def notify_watches(self) -> None:
        """Wake all waiting watches."""
        changed, self.changed = self.changed, trio.Event()
        changed.set()


class MemoryStore(Store):
    """A client of the in-memory store.

    Attributes:
        data: data of the store.
        loses_answers: whether changes are applied but their answers are lost.
        calls: number of calls, including failed ones.
        change_calls: number of calls to `change`, including failed ones.
    """

    def __init__(self, data: StoreData | None = None) -> None:
        self.data = data or StoreData()
        self._is_down = False
        self.loses_answers = False
        self.calls = 0
        self.change_calls = 0
        self.era = StoreEra()
        self.on_outcome = lambda is_answered: None

    @property
    def is_down(self) -> bool:
        """Whether calls of this client fail without an answer."""
        return self._is_down

    @is_down.setter
    def is_down(self, is_down: bool) -> None:
        self._is_down = is_down
        self.data.notify_watches()

    def write(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key without a call, as the operator or a server does."""
        data = self.data
        data.revision += 1
        current = data.items.get(key)
        created = current.created_revision if current else data.revision
        data.items[key] = Item(key, value, data.revision, created, lease)
        data.changes.append(data.items[key])
        data.notify_watches()
        return data.revision

    def remove(self, key: str) -> None:
        """Remove a key without a call."""
        data = self.data
        if data.items.pop(key, None) is not None:
            data.revision += 1
            data.changes.append(Item(key, revision=data.revision, removed=True))
            data.notify_watches()

    def expire(self) -> None:
        """Remove expired leases and their keys."""
        now = trio.current_time()
        for lease in [
            lease_id for lease_id, end in self.data.leases.items() if end <= now
        ]:
            del self.data.leases[lease]
            for item in [
                entry for entry in self.data.items.values() if entry.lease == lease
            ]:
                self.remove(item.key)

    async def _start_call(self) -> bool:
        await trio.sleep(0.004)
        self.calls += 1
        self.expire()
        if not self.is_down:
            era = self.data.era
            self.era.accept(None if era is None else b"%d" % era)
        self.on_outcome(not self.is_down)
        return not self.is_down

    async def read(
        self, key: str, on_begin: Callable[[int | None], None] | None = None
    ) -> Item | Failure | None:
        """Read a key."""
        return self.data.items.get(key) if await self._start_call() else DOWN

    async def list_items(
        self,
        prefix: str,
        *,
        allow_stale: bool = False,
        on_begin: Callable[[int | None], None] | None = None,
    ) -> Listing | Failure:
        """Read all keys under a prefix."""
        if not await self._start_call():
            return DOWN
        items = sorted(self.data.items.items())
        found = tuple(item for key, item in items if key.startswith(prefix))
        return Listing(found, self.data.revision)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
        on_begin: Callable[[int | None], None] | None = None,
    ) -> Listing | Failure:
        """Wait for changes."""
        if not await self._start_call():
            return DOWN
        era = self.data.era
        if after > self.data.revision:
            return COMPACTED
        with trio.move_on_after(wait):
            while True:
                changes = tuple(
                    item
                    for item in self.data.changes
                    if item.revision > after and item.key.startswith(prefix)
                )
                if changes or self.is_down or era != self.data.era:
                    break
                await self.data.changed.wait()
        if self.is_down or era != self.data.era:
            self.on_outcome(False)
            return DOWN
        return Listing(changes, self.data.revision)

    async def change(
        self,
        *,
        expected: dict[str, int] | None = None,
        writes: tuple[Write, ...] = (),
        removed_keys: tuple[str, ...] = (),
    ) -> int | Failure:
        """Write and drop keys if the expected revisions match."""
        self.change_calls += 1
        if not await self._start_call():
            return Failure(ResultCode.KEY_VALUE_UNKNOWN, "no answer")
        for key, revision in (expected or {}).items():
            current = self.data.items.get(key)
            if (current.revision if current else 0) != revision:
                return Failure(ResultCode.KEY_VALUE_CONFLICT, "moved on")
        for write in writes:
            if write.lease and write.lease not in self.data.leases:
                return Failure(ResultCode.KEY_VALUE_LEASE_ENDED, "ended")
        for write in writes:
            self.write(write.key, write.value, write.lease)
        for key in removed_keys:
            self.remove(key)
        if self.loses_answers:
            return Failure(ResultCode.KEY_VALUE_UNKNOWN, "no answer")
        return self.data.revision

    async def check_revision(self, key: str, revision: int) -> int | Item | Failure:
        """Check the revision of a key."""
        if not await self._start_call():
            return DOWN
        item = self.data.items.get(key)
        if item is None:
            return Failure(ResultCode.PLATFORM_MALFORMED, "the key is missing")
        return self.data.revision if item.revision == revision else item

    async def grant_lease(self, ttl: float) -> Lease | Failure:
        """Grant a lease."""
        if not await self._start_call():
            return DOWN
        lease = self.data.next_lease
        self.data.next_lease += 1
        self.data.leases[lease] = trio.current_time() + ttl
        return Lease(lease, ttl)

    async def renew_lease(self, lease: int) -> Lease | Failure:
        """Renew a lease."""
        if not await self._start_call():
            return DOWN
        if lease not in self.data.leases:
            return Failure(ResultCode.KEY_VALUE_LEASE_ENDED, "ended")
        self.data.leases[lease] = trio.current_time() + 3.0
        return Lease(lease, 3.0)

    async def end_lease(self, lease: int) -> Failure | None:
        """End a lease with its keys."""
        if not await self._start_call():
            return DOWN
        self.data.leases[lease] = trio.current_time()
        self.expire()
        return None
