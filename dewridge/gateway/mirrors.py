"""Lists of the store's items that are kept current by their changes."""

from dataclasses import dataclass

from dewridge.codes import ResultCode
from dewridge.platform.store import SHORTEST_WAIT, Item, Listing, Store
from dewridge.sentinels import Failure

LARGE_LIST_BYTES = 65_536
"""Bytes of a list from which its changes cost less than a cheaper read of the whole
that may lag."""


@dataclass(frozen=True, slots=True)
class MirrorRead:
    """A list of items.

    Attributes:
        listing: the items.
        may_lag: whether the list may be outdated.
        replaced: items that were written since the last read and are not in the list,
            since they were removed or written again.
        has_history: whether all items that were written since the last read are in the
            list or among the replaced ones.
    """

    listing: Listing
    may_lag: bool
    replaced: tuple[Item, ...] = ()
    has_history: bool = False


class ListMirror:
    """The items under a prefix; after the first read, only changes are transferred.

    Reading all records of thousands of servers every few seconds, mostly to learn that
    none has changed, fills the links of hosts and of the store.
    """

    def __init__(self, store: Store, prefix: str) -> None:
        self._store = store
        self._prefix = prefix
        self._items: dict[str, Item] = {}
        self._revision: int | None = None
        self._era = 0
        self._size = 0

    async def read(self, *, may_lag: bool = False) -> MirrorRead | Failure:
        """Read the items.

        Args:
            may_lag: whether an outdated list is acceptable. It is cheaper if it is
                small.
        """
        if may_lag and self._size < LARGE_LIST_BYTES:
            return await self._list(may_lag=True)
        if self._revision is None or self._era != self._store.era.number:
            return await self._list(may_lag=False)
        changes = await self._store.watch(self._prefix, self._revision, SHORTEST_WAIT)
        if isinstance(changes, Failure):
            if changes.code is ResultCode.KEY_VALUE_COMPACTED:
                return await self._list(may_lag=False)
            return changes
        for item in changes.items:
            if item.removed:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item
        self._revision = max(self._revision, changes.revision)
        replaced = tuple(
            item
            for item in changes.items
            if not item.removed and self._items.get(item.key) is not item
        )
        listing = Listing(tuple(self._items.values()), self._revision)
        return MirrorRead(listing, False, replaced, has_history=True)

    async def _list(self, *, may_lag: bool) -> MirrorRead | Failure:
        listing = await self._store.list_items(self._prefix, allow_stale=may_lag)
        if isinstance(listing, Failure):
            return listing
        self._size = sum(len(item.value) for item in listing.items)
        if not may_lag:
            self._items = {item.key: item for item in listing.items}
            self._revision = listing.revision
            self._era = self._store.era.number
        return MirrorRead(listing, may_lag)
