"""Calls of the platform's store and the decoding of what it answers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from dewridge.codes import ResultCode
from dewridge.http1.calls import Answer, ServiceClient, Trouble
from dewridge.platform.eras import StoreEra
from dewridge.platform.names import STORE_ERA
from dewridge.sentinels import Failure

Shape = TypeVar("Shape")

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_COMPACTED = 410
STATUS_CONFLICT = 412


class Item(msgspec.Struct, frozen=True, rename={"created_revision": "created"}):
    """A key with its value, or the mark of its removal in a watch.

    Attributes:
        key: the key.
        value: its bytes; empty in the mark of a removal.
        revision: the store's revision at the last change of the key.
        created_revision: the store's revision when the key was created; the wire's
            name reads like a time.
        lease: the lease that the key goes with; 0 for none.
        removed: whether this tells of a removal.
    """

    key: str
    value: bytes = b""
    revision: int = 0
    created_revision: int = 0
    lease: int = 0
    removed: bool = False


class _Page(
    msgspec.Struct,
    frozen=True,
    rename={"more": "more_pages", "revision": "current_rev"},
):
    items: list[Item] = []
    more: bool = False
    revision: int = 0


class _News(msgspec.Struct, frozen=True, rename={"revision": "current_rev"}):
    events: list[Item] = []
    revision: int = 0


class _Changed(msgspec.Struct, frozen=True):
    revision: int


class _Granted(msgspec.Struct, frozen=True):
    ttl_ms: int
    lease: int = 0


class _Expectation(msgspec.Struct, frozen=True):
    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """A key to write; `lease` 0 keeps it for good."""

    key: str
    value: bytes
    lease: int = 0


class _Transaction(
    msgspec.Struct, frozen=True, rename={"expected": "expected_revision"}
):
    expected: list[_Expectation]
    writes: list[Write]
    drop: list[str]


@dataclass(frozen=True, slots=True)
class Listing:
    """Items under a prefix; `revision` is where a watch goes on from.

    With several pages it is the first page's: a watch from there tells again of
    what changed while the others were read.
    """

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease with the time to live that the store gave it, in seconds."""

    id: int
    ttl: float


class Store:
    """Calls the store; each method returns a `Failure` in place of raising."""

    def __init__(
        self,
        caller: ServiceClient,
        on_call: Callable[[str, str], None] = lambda *_: None,
        era: StoreEra | None = None,
    ) -> None:
        """Make the client.

        Args:
            caller: makes the calls.
            on_call: told the kind of each call and the keys that it is about.
            era: the era of the store, shared by all clients of the same store.
        """
        self._on_call = on_call
        self._caller = caller
        self.era = era or StoreEra()

    async def _call(
        self, method: str, path: str, *, body: bytes = b"", wait: float = 0.0
    ) -> Answer | Trouble:
        answer = await self._caller.call(method, path, body=body, wait=wait)
        if isinstance(answer, Answer) and not self.era.accept(
            answer.find_header(STORE_ERA)
        ):
            return Trouble.LOST
        return answer

    async def read(self, key: str) -> Item | Failure | None:
        """Read a key as it is now; None if it is not there."""
        path = "/-/kv-key?" + urlencode({"key": key})
        self._on_call("read", key.rpartition("/")[0])
        answer = await self._call("GET", path)
        if isinstance(answer, Answer) and answer.status == STATUS_NOT_FOUND:
            return None
        return _decode(answer, Item)

    async def list_items(
        self, prefix: str, *, allow_stale: bool = False
    ) -> Listing | Failure:
        """Read all keys under a prefix, page by page.

        Args:
            prefix: what the keys begin with.
            allow_stale: whether what is seconds old will do; costs a tenth of a call.
        """
        items: list[Item] = []
        revision = None
        after = ""
        while True:
            fields = {"path_prefix": prefix}
            if allow_stale:
                fields["stale_ok"] = "1"
            if after:
                fields["after"] = after
            path = "/-/kv-range?" + urlencode(fields)
            self._on_call("lagging list" if allow_stale else "list", prefix)
            page = _decode(await self._call("GET", path), _Page)
            if isinstance(page, Failure):
                return page
            items += page.items
            revision = page.revision if revision is None else revision
            if not page.more or not page.items:
                return Listing(tuple(items), revision)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait: float) -> Listing | Failure:
        """Wait up to `wait` seconds for changes past a revision.

        Returns:
            The changes, none after a quiet wait; a `Failure` with the code
            `KEY_VALUE_COMPACTED` if that history is gone.
        """
        fields = {
            "path_prefix": prefix,
            "after": after,
            "wait_ms": round(wait * 1000),
        }
        path = "/-/kv-watch?" + urlencode(fields)
        self._on_call("watch", prefix)
        answer = await self._call("GET", path, wait=wait)
        if isinstance(answer, Answer) and answer.status == STATUS_COMPACTED:
            return Failure(ResultCode.KEY_VALUE_COMPACTED, "the history is gone")
        news = _decode(answer, _News)
        if isinstance(news, Failure):
            return news
        return Listing(tuple(news.events), news.revision)

    async def change(
        self,
        *,
        expected: dict[str, int] | None = None,
        writes: tuple[Write, ...] = (),
        drop: tuple[str, ...] = (),
    ) -> int | Failure:
        """Write and drop keys if all have the revisions expected (0: absent).

        Returns:
            The store's revision of the change. A `Failure` with the code
            `KEY_VALUE_UNKNOWN` may have been carried out, even seconds later.
        """
        rows = [_Expectation(key, rev) for key, rev in (expected or {}).items()]
        body = msgspec.json.encode(_Transaction(rows, list(writes), list(drop)))
        self._on_call("change", "")
        answer = await self._call("POST", "/-/kv-txn", body=body)
        if isinstance(answer, Answer):
            if answer.status == STATUS_CONFLICT:
                return Failure(ResultCode.KEY_VALUE_CONFLICT, "a key has moved on")
            if answer.status == STATUS_NOT_FOUND:
                return Failure(ResultCode.KEY_VALUE_LEASE_ENDED, "the lease has ended")
        changed = _decode(answer, _Changed, is_write=True)
        return changed if isinstance(changed, Failure) else changed.revision

    async def grant_lease(self, ttl: float) -> Lease | Failure:
        """Ask for a lease of `ttl` seconds."""
        body = msgspec.json.encode({"ttl_ms": round(ttl * 1000)})
        granted = _decode(await self._call("POST", "/-/kv-lease", body=body), _Granted)
        if isinstance(granted, Failure):
            return granted
        return Lease(granted.lease, granted.ttl_ms / 1000)

    async def renew_lease(self, lease: int) -> Lease | Failure:
        """Renew a lease; `KEY_VALUE_LEASE_ENDED` if it has ended."""
        self._on_call("renewal", "")
        answer = await self._call("POST", f"/-/kv-keep/{lease}", body=b"{}")
        if isinstance(answer, Answer) and answer.status == STATUS_NOT_FOUND:
            return Failure(ResultCode.KEY_VALUE_LEASE_ENDED, "the lease has ended")
        granted = _decode(answer, _Granted)
        if isinstance(granted, Failure):
            return granted
        return Lease(lease, granted.ttl_ms / 1000)

    async def end_lease(self, lease: int) -> Failure | None:
        """End a lease at once, with its keys."""
        answer = await self._call("DELETE", f"/-/kv-lease-end/{lease}")
        if isinstance(answer, Answer) and answer.status == STATUS_OK:
            return None
        return _refuse(answer, is_write=True)


def _decode(
    answer: Answer | Trouble, shape: type[Shape], *, is_write: bool = False
) -> Shape | Failure:
    if isinstance(answer, Trouble) or answer.status != STATUS_OK:
        return _refuse(answer, is_write=is_write)
    try:
        return msgspec.json.decode(answer.body, type=shape)
    except msgspec.DecodeError as error:
        code = (
            ResultCode.KEY_VALUE_UNKNOWN if is_write else ResultCode.PLATFORM_MALFORMED
        )
        return Failure(code, f"malformed answer: {error}")


def _refuse(answer: Answer | Trouble, *, is_write: bool) -> Failure:
    # A write whose answer was lost may still be carried out: told apart from one
    # that never left, since the two leave different work to the caller.
    if answer is Trouble.NOT_SENT:
        return Failure(ResultCode.KEY_VALUE_DOWN, "could not connect")
    if isinstance(answer, Trouble):
        code = ResultCode.KEY_VALUE_UNKNOWN if is_write else ResultCode.KEY_VALUE_DOWN
        return Failure(code, "no answer")
    return Failure(ResultCode.KEY_VALUE_DOWN, f"status {answer.status}")
