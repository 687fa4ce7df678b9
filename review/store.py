"""The platform's store and cloud API, as PROTOCOL.md describes them."""

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from wire import EndedError, Message, format_json, read_head, read_sized

ANSWER_SECONDS = 0.004
SWEEP_SECONDS = 0.05
PAGE_ITEMS = 500

Answer = tuple[int, Any]


@dataclass
class Copy:
    """A copy of the store.

    Attributes:
        items: the keys.
        events: number of changes that it holds.
        revision: its revision.
    """

    items: dict[str, dict[str, Any]]
    events: int
    revision: int


@dataclass
class Store:
    """Keys with revisions and leases; the operator and workers write directly.

    Attributes:
        era: rises by one each time that the store comes back from a copy.
        is_away: whether calls are cut off without an answer.
        usage: counts that were reported, by window.
        orders: number of servers that were ordered.
    """

    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    revision: int = 10
    era: int = 1
    is_away: bool = False
    usage: dict[int, Any] = field(default_factory=dict)
    orders: int = 0
    _next_lease: int = 1
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, key: str, value: Any) -> None:
        """Write a value as JSON, as the operator or a worker does."""
        self.revision += 1
        self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        self._notify()

    def remove(self, key: str) -> None:
        """Remove a key, as a worker that leaves does."""
        if key in self.items:
            self.revision += 1
            self._drop(key)
            self._notify()

    def _put(self, key: str, value: str, lease: int) -> None:
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def _drop(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            removal = {"key": key, "revision": self.revision, "removed": True}
            self.events.append(removal)

    def go_away(self) -> None:
        """Cut off all calls from now on, also those that wait."""
        self.is_away = True
        self._notify()

    def take_copy(self) -> "Copy":
        """Return a copy to come back from."""
        return Copy(dict(self.items), len(self.events), self.revision)

    def come_back(self, copy: "Copy") -> None:
        """Serve again from an older copy, without leases and their keys."""
        self.items = dict(copy.items)
        self.events = self.events[: copy.events]
        self.revision = copy.revision
        self.leases = {}
        for key in [key for key, item in self.items.items() if item["lease"]]:
            del self.items[key]
        self.era += 1
        self.is_away = False

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def sweep(self) -> None:
        """End leases whose time is over, forever."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = time.monotonic()
            for lease in [id for id, (end, _) in self.leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._drop(key)
            self._notify()

    async def answer(self, head: Message, body: bytes) -> Answer:
        """Return the status and body of the answer to a call."""
        await asyncio.sleep(ANSWER_SECONDS)
        era = self.era
        found = await self._answer(head, body)
        if self.is_away or era != self.era:
            raise ConnectionResetError
        return found

    async def _answer(self, head: Message, body: bytes) -> Answer:
        url = urlsplit(head.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        name, _, lease = url.path.removeprefix("/-/").partition("/")
        match name:
            case "kv-key":
                found = self._read(query["key"])
            case "kv-range":
                found = self._list(query)
            case "kv-watch":
                found = await self._watch(query)
            case "kv-txn":
                found = self._change(json.loads(body))
            case "kv-lease":
                found = self._grant(json.loads(body)["ttl_ms"])
            case "kv-keep":
                found = self._renew(int(lease))
            case _:
                self._end_lease(int(lease))
                found = 200, {}
        return found

    def _read(self, key: str) -> Answer:
        item = self.items.get(key)
        if item is None:
            return 404, {"current_rev": self.revision}
        return 200, {**item, "current_rev": self.revision}

    def _list(self, query: dict[str, str]) -> Answer:
        prefix, after = query["path_prefix"], query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        found = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return 200, {
            "items": found,
            "more_pages": len(keys) > PAGE_ITEMS,
            "current_rev": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> Answer:
        prefix, after = query["path_prefix"], int(query["after"])
        if after > self.revision:
            return 410, {}
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0 or self.is_away:
                return 200, {"events": events, "current_rev": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _change(self, body: dict[str, Any]) -> Answer:
        expected = {row["key"]: row["revision"] for row in body["expected_revision"]}
        writes, dropped = body.get("writes", []), body.get("drop", [])
        keys = [*(write["key"] for write in writes), *dropped]
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        current = {key: self.items.get(key) for key in expected}
        for key, revision in expected.items():
            item = current[key]
            if (item["revision"] if item else 0) != revision:
                return 412, {"items": [item for item in current.values() if item]}
        if any(write.get("lease") not in {0, None, *self.leases} for write in writes):
            return 404, {}
        if keys:
            self.revision += 1
            for write in writes:
                self._put(write["key"], write["value"], write.get("lease", 0))
            for key in dropped:
                self._drop(key)
            self._notify()
        return 200, {"revision": self.revision}

    def _grant(self, ttl_ms: int) -> Answer:
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {"lease": lease, "ttl_ms": ttl_ms}

    def _renew(self, lease: int) -> Answer:
        if lease not in self.leases:
            return 404, {}
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {"ttl_ms": ttl_ms}

    async def answer_cloud(self, head: Message, body: bytes) -> Answer:
        """Return the answer of the cloud API, which accepts each call."""
        call = json.loads(body or b"{}")
        if head.target == "/usage":
            self.usage.setdefault(call["window_id"], call["counts"])
        else:
            self.orders += 1
        return 200, {}


async def serve(
    answer: Callable[[Message, bytes], Awaitable[Answer]], find_era: Callable[[], int]
) -> str:
    """Serve calls on a free port and return its address."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_sized(reader, head)
                status, value = await answer(head, body)
                writer.write(format_json(status, value, {"Store-Era": str(find_era())}))
                await writer.drain()
        except (EndedError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"
