"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import random
import time
from collections import deque
from dataclasses import dataclass, field, replace
from typing import Any

from rig.web import DroppedError, Request, Response, make_json, open_server

PAGE_ITEMS = 500
SNAPSHOT_SECONDS = 0.1
RETAINED_SNAPSHOTS = 100
STALE_SECONDS = 1.0
ANSWER_SECONDS = 0.004
SILENT_SECONDS = 10.0


@dataclass
class Item:
    """A key with its value; the value is base64 text."""

    key: str
    value: str
    revision: int
    created: int
    lease: int

    def encode(self) -> dict[str, Any]:
        """Return the item as the store sends it."""
        return dict(vars(self))


@dataclass
class Lease:
    """A lease; its keys go when it ends."""

    ttl: float
    ends_at: float


@dataclass
class Contents:
    """All that a copy of the store holds."""

    items: dict[str, Item] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    revision: int = 100
    next_lease: int = 7000


class Store:
    """The store; the operator and the workers write to it without a call.

    Attributes:
        era: rises by one with each restore.
        is_down: whether all calls are dropped.
        cut_off: hosts whose calls get no answer.
        lost_share: share of the changes that are made and not answered.
    """

    def __init__(self) -> None:
        self.era = 1
        self.is_down = False
        self.cut_off: set[str] = set()
        self.lost_share = 0.0
        self._contents = Contents()
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._oldest = self._contents.revision
        self._changed = asyncio.Event()
        self._snapshots: deque[tuple[float, Contents]] = deque(
            maxlen=RETAINED_SNAPSHOTS
        )

    async def run(self) -> None:
        """End leases and keep copies, forever."""
        while True:
            now = time.monotonic()
            leases = self._contents.leases
            for lease in [key for key, held in leases.items() if held.ends_at < now]:
                self._end_lease(lease)
            self._snapshots.append((now, self._copy()))
            await asyncio.sleep(SNAPSHOT_SECONDS)

    def _copy(self) -> Contents:
        held = self._contents
        leases = {key: replace(lease) for key, lease in held.leases.items()}
        return replace(held, items=dict(held.items), leases=leases)

    async def listen(self, host: str) -> int:
        """Serve one host; return the port."""

        async def serve(request: Request) -> Response:
            return await self._serve(host, request)

        _, port = await open_server(serve)
        return port

    def write(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return the revision."""
        held = self._contents
        held.revision += 1
        known = held.items.get(key)
        text = base64.b64encode(value).decode()
        created = known.created if known else held.revision
        item = held.items[key] = Item(key, text, held.revision, created, lease)
        self._record(item.encode())
        return held.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        held = self._contents
        if held.items.pop(key, None) is not None:
            held.revision += 1
            event = {"key": key, "revision": held.revision, "removed": True}
            self._record(event)

    def _record(self, event: dict[str, Any]) -> None:
        self._changes.append((self._contents.revision, event))
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def take_down(self) -> None:
        """Drop all calls from now on, also those that wait."""
        self.is_down = True
        self._notify()

    def bring_back(self) -> None:
        """Serve again."""
        self.is_down = False

    def restore(self, seconds: float) -> int:
        """Return to a copy that is some seconds old; return its revision.

        Leases that the copy has run on from now; later ones are gone.
        """
        now = time.monotonic()
        copies = [copy for at, copy in self._snapshots if at <= now - seconds]
        self._contents = copies[-1] if copies else self._snapshots[0][1]
        for lease in self._contents.leases.values():
            lease.ends_at = now + lease.ttl
        revision = self._contents.revision
        self._changes = [entry for entry in self._changes if entry[0] <= revision]
        self._snapshots.clear()
        self.era += 1
        return revision

    def _end_lease(self, lease: int) -> None:
        if self._contents.leases.pop(lease, None) is None:
            return
        items = self._contents.items
        for key in [key for key, item in items.items() if item.lease == lease]:
            self.remove(key)

    async def _serve(self, host: str, request: Request) -> Response:
        if self.is_down:
            raise DroppedError
        if host in self.cut_off:
            await asyncio.sleep(SILENT_SECONDS)
            raise DroppedError
        await asyncio.sleep(ANSWER_SECONDS)
        response = await self._answer(request)
        if self.is_down:
            raise DroppedError
        is_change = request.path.endswith("kv-txn")
        if host in self.cut_off or (is_change and random.random() < self.lost_share):
            await asyncio.sleep(SILENT_SECONDS)
            raise DroppedError
        response.headers["Store-Era"] = str(self.era)
        return response

    async def _answer(self, request: Request) -> Response:
        path, query = request.path, request.query
        response = make_json({}, 404)
        match path.split("/")[2]:
            case "kv-key":
                response = self._read(query["key"])
            case "kv-range":
                response = make_json(self._list(query))
            case "kv-watch":
                response = await self._watch(query)
            case "kv-txn":
                response = self._change(request.read_json())
            case "kv-lease":
                response = self._grant(request.read_json()["ttl_ms"])
            case "kv-keep":
                response = self._renew(int(path.rpartition("/")[2]))
            case "kv-lease-end":
                self._end_lease(int(path.rpartition("/")[2]))
                response = make_json({})
        return response

    def _read(self, key: str) -> Response:
        held = self._contents
        item = held.items.get(key)
        fields = item.encode() if item else {}
        fields["current_rev"] = held.revision
        return make_json(fields, 200 if item else 404)

    def _list(self, query: dict[str, str]) -> dict[str, Any]:
        held = self._contents
        if "stale_ok" in query:
            limit = time.monotonic() - STALE_SECONDS
            old = [copy for at, copy in self._snapshots if at <= limit]
            held = old[-1] if old else held
        found = [
            item.encode()
            for key, item in sorted(held.items.items())
            if key.startswith(query["path_prefix"]) and key > query.get("after", "")
        ]
        return {
            "items": found[:PAGE_ITEMS],
            "more_pages": len(found) > PAGE_ITEMS,
            "current_rev": held.revision,
        }

    async def _watch(self, query: dict[str, str]) -> Response:
        after, prefix = int(query["after"]), query["path_prefix"]
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self._oldest or after > self._contents.revision:
                return make_json({}, 410)
            found = [
                event
                for revision, event in self._changes
                if revision > after and event["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if found or left <= 0 or self.is_down:
                body = {"events": found, "current_rev": self._contents.revision}
                return make_json(body)
            waits = self._changed.wait()
            try:
                await asyncio.wait_for(waits, left)
            except TimeoutError:
                continue

    def _change(self, body: dict[str, Any]) -> Response:
        held = self._contents
        rows = body.get("expected_revision") or []
        for row in rows:
            item = held.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                keys = [row["key"] for row in rows]
                items = [held.items[key].encode() for key in keys if key in held.items]
                fields = {"items": items, "current_rev": held.revision}
                return make_json(fields, 412)
        writes = body.get("writes") or []
        leases = {write.get("lease", 0) for write in writes} - {0}
        if leases - held.leases.keys():
            return make_json({}, 404)
        for write in writes:
            value = base64.b64decode(write["value"])
            self.write(write["key"], value, write.get("lease", 0))
        for key in body.get("drop") or []:
            self.remove(key)
        return make_json({"revision": held.revision})

    def _grant(self, ttl_ms: int) -> Response:
        held = self._contents
        held.next_lease += 1
        ttl_ms = min(max(ttl_ms, 1000), 600_000)
        ends_at = time.monotonic() + ttl_ms / 1000
        held.leases[held.next_lease] = Lease(ttl_ms / 1000, ends_at)
        return make_json({"lease": held.next_lease, "ttl_ms": ttl_ms})

    def _renew(self, lease: int) -> Response:
        held = self._contents.leases.get(lease)
        if held is None:
            return make_json({}, 404)
        held.ends_at = time.monotonic() + held.ttl
        return make_json({"ttl_ms": round(held.ttl * 1000)})
