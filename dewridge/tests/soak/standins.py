"""HTTP stand-ins of the platform's store and cloud API, on an in-memory store."""

import time
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from dewridge.codes import ResultCode
from dewridge.platform.store import Item, Lease, Listing, Write
from dewridge.sentinels import Failure
from dewridge.standins.serving import Listener, make_app, reply
from dewridge.tests.gateway.memorystore import MemoryStore, StoreData
from dewridge.tests.soak.records import DutyCall, History

STATUS_BY_CODE = {
    ResultCode.KEY_VALUE_CONFLICT: 412,
    ResultCode.KEY_VALUE_LEASE_ENDED: 404,
}


STALE_READ_LAG = 3.0
"""Seconds by which reads that allow stale data lag behind."""
SNAPSHOT_PERIOD = 0.25
"""Seconds between two snapshots for stale reads."""


class StoreStandIn:
    """The store; the operator and servers write to `memory_store` directly.

    Attributes:
        memory_store: contents of the store.
        drops_responses: whether changes are executed without a response.
        listener: HTTP server of the store.
    """

    def __init__(self) -> None:
        self.memory_store = MemoryStore(StoreData(era=1))
        self.drops_responses = False
        self._compacted_at = 0
        self._snapshots: deque[tuple[float, dict[str, Item], int]] = deque()
        self.listener = Listener(build_store_app(self))

    def compact(self) -> None:
        """Drop the history of changes up to the current revision."""
        self._compacted_at = self.memory_store.data.revision
        self.memory_store.data.changes.clear()

    def restore(self, copy: StoreData) -> None:
        """Come back from a copy, in a new era."""
        self.memory_store.data.restore(copy)
        self._compacted_at = min(self._compacted_at, copy.revision)
        self._snapshots.clear()
        self._record_snapshot()

    def _record_snapshot(self) -> None:
        data = self.memory_store.data
        self._snapshots.append((trio.current_time(), dict(data.items), data.revision))

    async def record_snapshots(self) -> None:
        """Record snapshots of the store for stale reads until cancelled."""
        while True:
            self._record_snapshot()
            while self._snapshots[0][0] < trio.current_time() - STALE_READ_LAG:
                self._snapshots.popleft()
            await trio.sleep(SNAPSHOT_PERIOD)

    def list_stale_items(self, prefix: str) -> Listing:
        """Return the items under a prefix as of `STALE_READ_LAG` seconds ago."""
        _, items, revision = self._snapshots[0]
        found = [item for key, item in sorted(items.items()) if key.startswith(prefix)]
        return Listing(tuple(found), revision)

    def has_history(self, after: int) -> bool:
        """Whether the history still has all changes after a revision."""
        return after >= self._compacted_at


def build_store_app(
    stand_in: StoreStandIn, rewrite: Callable[[Item], Item] = lambda item: item
) -> QuartTrio:
    """Return an app with the store's HTTP API.

    Args:
        stand_in: the store.
        rewrite: changes the items that one gateway reads.
    """
    app = make_app("store")
    store = stand_in.memory_store

    @app.after_request
    async def name_era(response: Response) -> Response:
        response.headers["Store-Era"] = str(store.data.era)
        return response

    @app.get("/-/kv-key")
    async def read() -> Response:
        item = await store.read(request.args["key"])
        if isinstance(item, Failure):
            return reply({}, 503)
        return (
            reply({}, 404)
            if item is None
            else reply(msgspec.to_builtins(rewrite(item)))
        )

    @app.get("/-/kv-range")
    async def list_items() -> Response:
        prefix = request.args["path_prefix"]
        listing: Listing | Failure
        if "stale_ok" in request.args:
            listing = stand_in.list_stale_items(prefix)
        else:
            listing = await store.list_items(prefix)
        if isinstance(listing, Failure):
            return reply({}, 503)
        items = [rewrite(item) for item in listing.items]
        return reply({"items": items, "current_rev": listing.revision})

    @app.get("/-/kv-watch")
    async def watch() -> Response:
        after = int(request.args["after"])
        if not stand_in.has_history(after):
            return reply({}, 410)
        wait_seconds = int(request.args["wait_ms"]) / 1000
        update = await store.watch(request.args["path_prefix"], after, wait_seconds)
        if isinstance(update, Failure):
            is_gone = update.code is ResultCode.KEY_VALUE_COMPACTED
            return reply({}, 410 if is_gone else 503)
        events = [rewrite(item) for item in update.items]
        return reply({"events": events, "current_rev": update.revision})

    @app.post("/-/kv-txn")
    async def change() -> Response:
        body = msgspec.json.decode(await request.get_data(as_text=False))
        rows = body.get("expected_revision", [])
        writes = msgspec.convert(
            body.get("writes", []), list[Write], builtin_types=(bytes,), strict=False
        )
        result = await store.change(
            expected={row["key"]: row["revision"] for row in rows},
            writes=tuple(writes),
            removed_keys=tuple(body.get("drop", [])),
        )
        if stand_in.drops_responses:
            await trio.sleep_forever()
        if isinstance(result, Failure):
            items = store.data.items
            current = [items[row["key"]] for row in rows if row["key"] in items]
            body = {"items": msgspec.to_builtins([rewrite(item) for item in current])}
            return reply(body, STATUS_BY_CODE.get(result.code, 503))
        return reply({"revision": result})

    @app.post("/-/kv-lease")
    async def grant() -> Response:
        body = msgspec.json.decode(await request.get_data(as_text=False))
        return make_lease_reply(await store.grant_lease(body["ttl_ms"] / 1000))

    @app.post("/-/kv-keep/<int:lease>")
    async def renew(lease: int) -> Response:
        return make_lease_reply(await store.renew_lease(lease))

    @app.delete("/-/kv-lease-end/<int:lease>")
    async def end(lease: int) -> Response:
        await store.end_lease(lease)
        return reply({})

    return app


def make_lease_reply(lease: Lease | Failure) -> Response:
    """Return the response to the grant or renewal of a lease."""
    if isinstance(lease, Failure):
        return reply({}, STATUS_BY_CODE.get(lease.code, 503))
    return reply({"lease": lease.id, "ttl_ms": round(lease.ttl * 1000)})


def build_cloud_app(history: History) -> QuartTrio:
    """Return an app with the cloud API, which records and accepts each call."""
    app = make_app("cloud")

    async def record_call(subject: str, body: dict[str, Any]) -> Response:
        headers = request.headers
        call = DutyCall(
            holder=headers["X-Duty-Holder"],
            fencing_token=int(headers["X-Fencing-Token"]),
            subject=subject,
            counts=str(sorted(body.get("counts", {}).items())),
            at=time.monotonic(),
        )
        history.duty_calls.append(call)
        return reply({})

    @app.post("/usage")
    async def report() -> Response:
        body = msgspec.json.decode(await request.get_data(as_text=False))
        return await record_call(f"usage {body['window_id']}", body)

    @app.post("/scale")
    async def order() -> Response:
        body = msgspec.json.decode(await request.get_data(as_text=False))
        return await record_call(f"servers {body['service']} {body['zone']}", body)

    return app
