"""Client of the platform's key-value store."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.decoding import Count, Name, decode_json
from dewridge.http1.calls import CallFailure, Response, ServiceClient
from dewridge.platform.eras import StoreEra
from dewridge.platform.names import STORE_ERA
from dewridge.sentinels import Failure

Body = TypeVar("Body")
Items = TypeVar("Items", "_Page", "_WatchReply")
ITEMS, EVENTS = "items", "events"

SHORTEST_WAIT = 0.001
"""The shortest time in seconds that a watch may wait. Such a watch asks whether
anything has changed."""
ANSWER_TOO_LARGE = Failure(ResultCode.PLATFORM_MALFORMED, "the answer is too large")
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_COMPACTED = 410
STATUS_CONFLICT = 412
STATUS_DOWN = 503
"""Says that nothing was done. No other failure of the store says that."""
STATUS_FAILURES = 500
"""The lowest status with which the store says that it can't serve anybody."""


class Item(msgspec.Struct, frozen=True, rename={"created_revision": "created"}):
    """A key with its value, or the event of its removal in a watch.

    Attributes:
        key: the key.
        value: its bytes; empty in a removal event.
        revision: the store's revision at the last change of the key.
        created_revision: the store's revision when the key was created; on the wire
            it is called `created`, although it is not a time.
        lease: the lease with which the key expires; 0 for none.
        removed: whether this is a removal event.
    """

    key: Name
    value: bytes = b""
    revision: Count = 0
    created_revision: Count = 0
    lease: Count = 0
    removed: bool = False


class _Page(
    msgspec.Struct,
    frozen=True,
    rename={"more": "more_pages", "revision": "current_rev"},
):
    items: list[Item] = []
    more: bool = False
    revision: Count = 0


class _WatchReply(
    msgspec.Struct,
    frozen=True,
    rename={"items": EVENTS, "revision": "current_rev"},
):
    items: list[Item] = []
    revision: Count = 0


class _TransactionReply(msgspec.Struct, frozen=True):
    revision: Count


class _LeaseReply(msgspec.Struct, frozen=True):
    ttl_ms: Count
    lease: Count = 0


class _ExpectedRevision(msgspec.Struct, frozen=True):
    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """A key to write; with `lease` 0 it does not expire."""

    key: str
    value: bytes
    lease: int = 0


class _Transaction(
    msgspec.Struct, frozen=True, rename={"expected": "expected_revision"}
):
    expected: list[_ExpectedRevision]
    writes: list[Write]
    drop: list[str]


@dataclass(frozen=True, slots=True)
class Listing:
    """Items under a prefix, and the `revision` from which a watch continues.

    With several pages it is that of the first page: a watch from there also returns
    the changes made while the other pages were read.
    """

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease with the time to live granted by the store, in seconds."""

    id: int
    ttl: float


class Store:
    """Client of the store; its methods return a `Failure` instead of raising.

    Attributes:
        era: the era of the store.
        on_outcome: called after each call with whether the store answered it. An
            answer that rejects the call because of the caller is one, too.
    """

    def __init__(
        self,
        client: ServiceClient,
        on_call: Callable[[str, str], None] = lambda *_: None,
        era: StoreEra | None = None,
        on_received: Callable[[str, int], None] = lambda *_: None,
    ) -> None:
        """Create a client.

        Args:
            client: the HTTP client of the store.
            on_call: called before a call with its kind and the key prefix, which is
                empty for transactions and calls of leases.
            era: the era of the store, shared by all clients of the same store.
            on_received: called with the key prefix of a read or watch and the bytes of
                its answer.
        """
        self._on_call = on_call
        self._on_received = on_received
        self._client = client
        self.era = era or StoreEra()
        self.on_outcome: Callable[[bool], None] = lambda is_answered: None

    async def _call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        wait: float = 0.0,
        on_begin: Callable[[int | None], None] | None = None,
    ) -> Response | CallFailure:
        response = await self._client.call(
            method, path, body=body, wait=wait, on_begin=on_begin
        )
        self.on_outcome(
            response is CallFailure.TOO_LARGE
            or (isinstance(response, Response) and response.status < STATUS_FAILURES)
        )
        if isinstance(response, Response) and not self.era.accept(
            response.find_header(STORE_ERA)
        ):
            return CallFailure.LOST
        return response

    def _count_received(self, prefix: str, response: Response | CallFailure) -> None:
        if isinstance(response, Response):
            self._on_received(prefix, len(response.body))

    async def read(
        self, key: str, on_begin: Callable[[int | None], None] | None = None
    ) -> Item | Failure | None:
        """Return the current item of a key; None if the key does not exist.

        Args:
            key: the key.
            on_begin: called with the length of the answer's body, None if unknown,
                when it begins to arrive.
        """
        path = "/-/kv-key?" + urlencode({"key": key})
        prefix = key.rpartition("/")[0]
        self._on_call("read", prefix)
        response = await self._call("GET", path, on_begin=on_begin)
        self._count_received(prefix, response)
        if isinstance(response, Response) and response.status == STATUS_NOT_FOUND:
            return None
        return _decode(response, Item)

    async def list_items(
        self,
        prefix: str,
        *,
        allow_stale: bool = False,
        on_begin: Callable[[int | None], None] | None = None,
    ) -> Listing | Failure:
        """Read all keys under a prefix, page by page.

        Args:
            prefix: common prefix of the keys.
            allow_stale: whether a result some seconds old is acceptable; such a
                call costs a tenth of a consistent one.
            on_begin: called with the length of each page's body, None if unknown, when
                it begins to arrive.
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
            response = await self._call("GET", path, on_begin=on_begin)
            self._count_received(prefix, response)
            page = _decode_items(response, _Page, ITEMS)
            if isinstance(page, Failure):
                return page
            items += page.items
            revision = page.revision if revision is None else revision
            if not page.more:
                return Listing(tuple(items), revision)
            # The next page begins after the last item of this one.
            last = page.items[-1].key if page.items else ""
            if last <= after:
                return Failure(ResultCode.PLATFORM_MALFORMED, "pages do not advance")
            after = last

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
        on_begin: Callable[[int | None], None] | None = None,
    ) -> Listing | Failure:
        """Wait up to `wait` seconds for changes after a revision.

        Args:
            prefix: common prefix of the keys.
            after: the revision.
            wait: seconds.
            on_begin: called with the length of the answer's body, None if unknown,
                when it begins to arrive.

        Returns:
            The changes, none if the wait timed out; a `Failure` with the code
            `KEY_VALUE_COMPACTED` if the store no longer has that history.
        """
        fields = {
            "path_prefix": prefix,
            "after": after,
            "wait_ms": round(wait * 1000),
        }
        path = "/-/kv-watch?" + urlencode(fields)
        self._on_call("watch", prefix)
        response = await self._call("GET", path, wait=wait, on_begin=on_begin)
        self._count_received(prefix, response)
        if isinstance(response, Response) and response.status == STATUS_COMPACTED:
            return Failure(ResultCode.KEY_VALUE_COMPACTED, "the history is gone")
        reply = _decode_items(response, _WatchReply, EVENTS)
        if isinstance(reply, Failure):
            return reply
        return Listing(tuple(reply.items), reply.revision)

    async def change(
        self,
        *,
        expected: dict[str, int] | None = None,
        writes: tuple[Write, ...] = (),
        removed_keys: tuple[str, ...] = (),
    ) -> int | Failure:
        """Write and remove keys in one transaction.

        Args:
            expected: revisions that keys must have (0: the key must not exist);
                otherwise nothing is changed.
            writes: keys to write.
            removed_keys: keys to remove.

        Returns:
            The store's revision of the change; a `Failure` otherwise. With the code
            `KEY_VALUE_UNKNOWN` the change may be carried out, even seconds later.
        """
        expectations = [
            _ExpectedRevision(key, revision)
            for key, revision in (expected or {}).items()
        ]
        body = msgspec.json.encode(
            _Transaction(expectations, list(writes), list(removed_keys))
        )
        self._on_call("change", "")
        response = await self._call("POST", "/-/kv-txn", body=body)
        if isinstance(response, Response):
            if response.status == STATUS_CONFLICT:
                return Failure(ResultCode.KEY_VALUE_CONFLICT, "a key has moved on")
            if response.status == STATUS_NOT_FOUND:
                return Failure(ResultCode.KEY_VALUE_LEASE_ENDED, "the lease has ended")
        changed = _decode(response, _TransactionReply, is_write=True)
        return changed if isinstance(changed, Failure) else changed.revision

    async def check_revision(self, key: str, revision: int) -> int | Item | Failure:
        """Ask whether a key still has a revision; needs no history of the store.

        Returns:
            The store's revision at which it still had it, or the current item.
        """
        body = msgspec.json.encode(
            _Transaction([_ExpectedRevision(key, revision)], [], [])
        )
        self._on_call("check", key)
        response = await self._call("POST", "/-/kv-txn", body=body)
        self._count_received(key, response)
        if isinstance(response, Response) and response.status == STATUS_CONFLICT:
            page = _decode_body(response.body, _Page)
            if isinstance(page, Failure):
                return page
            found = [item for item in page.items if item.key == key]
            missing = Failure(ResultCode.PLATFORM_MALFORMED, "the key is missing")
            return found[0] if found else missing
        checked = _decode(response, _TransactionReply)
        return checked if isinstance(checked, Failure) else checked.revision

    async def grant_lease(self, ttl: float) -> Lease | Failure:
        """Request a lease of `ttl` seconds."""
        body = msgspec.json.encode({"ttl_ms": round(ttl * 1000)})
        self._on_call("lease grant", "")
        granted = _decode(
            await self._call("POST", "/-/kv-lease", body=body), _LeaseReply
        )
        if isinstance(granted, Failure):
            return granted
        return Lease(granted.lease, granted.ttl_ms / 1000)

    async def renew_lease(self, lease: int) -> Lease | Failure:
        """Renew a lease; a `Failure` `KEY_VALUE_LEASE_ENDED` if it has ended."""
        self._on_call("renewal", "")
        response = await self._call("POST", f"/-/kv-keep/{lease}", body=b"{}")
        if isinstance(response, Response) and response.status == STATUS_NOT_FOUND:
            return Failure(ResultCode.KEY_VALUE_LEASE_ENDED, "the lease has ended")
        granted = _decode(response, _LeaseReply)
        if isinstance(granted, Failure):
            return granted
        return Lease(lease, granted.ttl_ms / 1000)

    async def end_lease(self, lease: int) -> Failure | None:
        """End a lease at once and remove its keys."""
        self._on_call("lease end", "")
        response = await self._call("DELETE", f"/-/kv-lease-end/{lease}")
        if isinstance(response, Response) and response.status == STATUS_OK:
            return None
        return _make_failure(response, is_write=True)


def _decode(
    response: Response | CallFailure, body_type: type[Body], *, is_write: bool = False
) -> Body | Failure:
    if isinstance(response, CallFailure) or response.status != STATUS_OK:
        return _make_failure(response, is_write=is_write)
    return _decode_body(response.body, body_type, is_write=is_write)


def _decode_body(
    body: bytes, body_type: type[Body], *, is_write: bool = False
) -> Body | Failure:
    code = ResultCode.KEY_VALUE_UNKNOWN if is_write else ResultCode.PLATFORM_MALFORMED
    decoded = decode_json(body, body_type, code)
    if isinstance(decoded, Failure):
        return Failure(code, f"malformed answer: {decoded.reason}")
    return decoded


def _decode_items(
    response: Response | CallFailure, body_type: type[Items], name: str
) -> Items | Failure:
    """Decode a page of items; leave out the items that can't be read.

    Args:
        response: the response of the store.
        body_type: type of the page.
        name: name of the items in the response.
    """
    decoded = _decode(response, body_type)
    if not isinstance(decoded, Failure):
        return decoded
    if isinstance(response, CallFailure) or response.status != STATUS_OK:
        return decoded
    fields = decode_json(response.body, dict[str, msgspec.Raw])
    if isinstance(fields, Failure):
        return decoded
    raws = decode_json(bytes(fields.pop(name, b"")), list[msgspec.Raw])
    rest = decode_json(msgspec.json.encode(fields), body_type)
    if isinstance(raws, Failure) or isinstance(rest, Failure):
        return decoded
    items = [decode_json(bytes(raw), Item) for raw in raws]
    sound = [item for item in items if not isinstance(item, Failure)]
    log.bind(reason=decoded.reason, items=len(items), read=len(sound)).error(
        "items of the store can't be read"
    )
    return msgspec.structs.replace(rest, items=sound)


def _make_failure(response: Response | CallFailure, *, is_write: bool) -> Failure:
    # A write whose response was lost may still be carried out; one that was not sent
    # can't be. The caller has to handle the two cases differently.
    if response is CallFailure.TOO_LARGE and not is_write:
        return ANSWER_TOO_LARGE
    if response is CallFailure.NOT_SENT:
        return Failure(ResultCode.KEY_VALUE_DOWN, "could not connect")
    if isinstance(response, CallFailure):
        code = ResultCode.KEY_VALUE_UNKNOWN if is_write else ResultCode.KEY_VALUE_DOWN
        return Failure(code, "no answer")
    is_refused = response.status == STATUS_DOWN or 400 <= response.status < 500
    code = (
        ResultCode.KEY_VALUE_UNKNOWN
        if is_write and not is_refused
        else ResultCode.KEY_VALUE_DOWN
    )
    return Failure(code, f"status {response.status}")
