"""Simulated key-value service: compare-and-swap, watches, leases; JSON over HTTP."""

import time
from collections import deque
from uuid import uuid4

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from dewridge.standins.faults import (
    Fault,
    FaultInjector,
    inject_after_call,
    inject_before_call,
)
from dewridge.standins.serving import make_app, read_body, reply

MAX_VALUE_BYTES = 1_000_000
MAX_WRITE_RECORDS = 200_000
MAX_VERSIONS_PER_KEY = 50
LEASE_CHECK_SECONDS = 0.02
"""Seconds between two checks for expired leases."""
FAULT_TARGET = "key_value"


class StoredEntry(msgspec.Struct, frozen=True):
    """A key's value and revision; revision 0 if the key is absent."""

    key: str
    value: bytes = b""
    revision: int = 0


class WriteRecord(msgspec.Struct, frozen=True):
    """One entry of the write log.

    Attributes:
        revision: revision created by the write; 0 if the write was rejected.
        lost: whether an injected fault lost the answer.
    """

    at: float
    kind: str
    key: str
    expected_revision: int
    revision: int
    lost: bool
    value: bytes = b""


class Lease(msgspec.Struct):
    """A lease; its keys are deleted when it expires without renewal."""

    id: str
    ttl: float
    expires: float
    keys: set[str]


class SwapRequest(msgspec.Struct):
    """Body of a compare-and-swap request."""

    value: bytes
    expected_revision: int
    lease: str = ""


class LeaseRequest(msgspec.Struct):
    """Body of a request for a lease."""

    ttl: float


class KeyValueStore:
    """Contents of the key-value service; all keys share one revision counter."""

    def __init__(self) -> None:
        self._entries: dict[str, StoredEntry] = {}
        self._versions: dict[str, deque[StoredEntry]] = {}
        self._changes: dict[str, trio.Event] = {}
        self._leases: dict[str, Lease] = {}
        self._revision = 0
        self.writes: deque[WriteRecord] = deque(maxlen=MAX_WRITE_RECORDS)

    def get(self, key: str) -> StoredEntry:
        """Return the entry of a key; its revision is 0 if the key is absent."""
        return self._entries.get(key, StoredEntry(key))

    def list_prefix(self, prefix: str) -> list[StoredEntry]:
        """Return all entries whose keys have a prefix, ordered by key."""
        return [self._entries[k] for k in sorted(self._entries) if k.startswith(prefix)]

    def compare_and_swap(
        self, key: str, swap: SwapRequest, lost: bool
    ) -> StoredEntry | None:
        """Write a key if its revision is the expected one; otherwise return None."""
        written = None
        if self.get(key).revision == swap.expected_revision:
            self._revision += 1
            written = StoredEntry(key, swap.value, self._revision)
            self._store_entry(written)
            if swap.lease in self._leases:
                self._leases[swap.lease].keys.add(key)
        self._record_write("swap", key, swap.expected_revision, written, lost)
        return written

    def delete(
        self, key: str, expected_revision: int, lost: bool
    ) -> StoredEntry | None:
        """Delete a key if its revision is the expected one; otherwise return None."""
        written = None
        if self.get(key).revision == expected_revision:
            self._revision += 1
            written = StoredEntry(key, b"", 0)
            self._entries.pop(key, None)
            self._notify_watchers(key)
        self._record_write("delete", key, expected_revision, written, lost)
        return written

    def restore(self, key: str, revision: int) -> StoredEntry | None:
        """Restore an older version under its old revision, as a backup would.

        A revision of 0 restores the version before the latest one.
        """
        versions = self._versions.get(key, deque())
        older = [v for v in versions if revision in (0, v.revision)]
        restored = older[-2:][0] if older else None
        if restored is not None:
            self._entries[key] = restored
            self._notify_watchers(key)
            self._record_write("restore", key, 0, restored, False)
        return restored

    async def wait_for_change(
        self, key: str, after: int, timeout: float
    ) -> StoredEntry | None:
        """Wait until a key's revision differs from `after`; None on timeout."""
        with trio.move_on_after(timeout):
            while self.get(key).revision == after:
                await self._changes.setdefault(key, trio.Event()).wait()
            return self.get(key)
        return None

    def grant_lease(self, ttl: float) -> Lease:
        """Create a lease that expires after `ttl` seconds without renewal."""
        lease = Lease(uuid4().hex, ttl, trio.current_time() + ttl, set())
        self._leases[lease.id] = lease
        return lease

    def renew_lease(self, lease_id: str) -> Lease | None:
        """Renew a lease; None if it has expired."""
        lease = self._leases.get(lease_id)
        if lease is not None:
            lease.expires = trio.current_time() + lease.ttl
        return lease

    def revoke_lease(self, lease_id: str) -> bool:
        """End a lease and delete its keys; False if there is no such lease."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return False
        for key in lease.keys:
            self.delete(key, self.get(key).revision, False)
        return True

    async def expire_leases(self) -> None:
        """Revoke expired leases, forever."""
        while True:
            await trio.sleep(LEASE_CHECK_SECONDS)
            now = trio.current_time()
            for lease in list(self._leases.values()):
                if lease.expires < now:
                    self.revoke_lease(lease.id)

    def _store_entry(self, written: StoredEntry) -> None:
        self._entries[written.key] = written
        versions = self._versions.setdefault(
            written.key, deque(maxlen=MAX_VERSIONS_PER_KEY)
        )
        versions.append(written)
        self._notify_watchers(written.key)

    def _notify_watchers(self, key: str) -> None:
        event = self._changes.pop(key, None)
        if event is not None:
            event.set()

    def _record_write(
        self,
        kind: str,
        key: str,
        expected: int,
        written: StoredEntry | None,
        lost: bool,
    ) -> None:
        revision = 0 if written is None else written.revision or self._revision
        value = b"" if written is None else written.value
        self.writes.append(
            WriteRecord(time.time(), kind, key, expected, revision, lost, value)
        )


def build_key_value_app(store: KeyValueStore, faults: FaultInjector) -> QuartTrio:
    """Return the service's HTTP application."""
    app = make_app("key-value")

    @app.get("/v1/keys/<path:key>")
    async def get(key: str) -> Response:
        fault = faults.intercept(FAULT_TARGET, "get", key)
        early_response = await inject_before_call(fault)
        return early_response or await inject_after_call(fault, reply(store.get(key)))

    @app.get("/v1/keys")
    async def list_prefix() -> Response:
        prefix = request.args.get("prefix", "")
        fault = faults.intercept(FAULT_TARGET, "list", prefix)
        early_response = await inject_before_call(fault)
        body = {"entries": store.list_prefix(prefix)}
        return early_response or await inject_after_call(fault, reply(body))

    @app.put("/v1/keys/<path:key>")
    async def swap(key: str) -> Response:
        body = await read_body(SwapRequest)
        fault = faults.intercept(FAULT_TARGET, "swap", key)
        early_response = await inject_before_call(fault)
        if early_response is not None:
            return early_response
        if len(body.value) > MAX_VALUE_BYTES:
            return reply({"error": {"type": "too_large"}}, 413)
        written = store.compare_and_swap(key, body, is_answer_lost(fault))
        return await inject_after_call(fault, reply_to_write(store, key, written))

    @app.delete("/v1/keys/<path:key>")
    async def delete(key: str) -> Response:
        expected = request.args.get("expected_revision", 0, type=int)
        fault = faults.intercept(FAULT_TARGET, "delete", key)
        early_response = await inject_before_call(fault)
        if early_response is not None:
            return early_response
        written = store.delete(key, expected, is_answer_lost(fault))
        return await inject_after_call(fault, reply_to_write(store, key, written))

    @app.get("/v1/watches/<path:key>")
    async def watch(key: str) -> Response:
        after = request.args.get("after", 0, type=int)
        timeout = request.args.get("timeout", 10.0, type=float)
        fault = faults.intercept(FAULT_TARGET, "watch", key)
        early_response = await inject_before_call(fault)
        if early_response is not None:
            return early_response
        changed = await store.wait_for_change(key, after, timeout)
        answer = Response("", status=204) if changed is None else reply(changed)
        return await inject_after_call(fault, answer)

    add_lease_routes(app, store, faults)
    return app


def add_lease_routes(
    app: QuartTrio, store: KeyValueStore, faults: FaultInjector
) -> None:
    """Add the routes that grant, renew and revoke leases."""

    @app.post("/v1/leases")
    async def grant() -> Response:
        body = await read_body(LeaseRequest)
        fault = faults.intercept(FAULT_TARGET, "lease")
        early_response = await inject_before_call(fault)
        return early_response or await inject_after_call(
            fault, reply(store.grant_lease(body.ttl))
        )

    @app.post("/v1/leases/<lease_id>/keepalive")
    async def renew(lease_id: str) -> Response:
        fault = faults.intercept(FAULT_TARGET, "lease")
        early_response = await inject_before_call(fault)
        if early_response is not None:
            return early_response
        lease = store.renew_lease(lease_id)
        return await inject_after_call(fault, reply(lease, 200 if lease else 404))

    @app.delete("/v1/leases/<lease_id>")
    async def revoke(lease_id: str) -> Response:
        fault = faults.intercept(FAULT_TARGET, "lease")
        early_response = await inject_before_call(fault)
        if early_response is not None:
            return early_response
        revoked = store.revoke_lease(lease_id)
        return await inject_after_call(fault, reply({}, 200 if revoked else 404))


def is_answer_lost(fault: Fault) -> bool:
    """Whether a write under this fault is executed but its answer is lost."""
    return fault.mode.value in ("lose_answers", "garble")


def reply_to_write(
    store: KeyValueStore, key: str, written: StoredEntry | None
) -> Response:
    """Return the written entry, or status 409 with the current entry."""
    if written is None:
        return reply(store.get(key), 409)
    return reply(written)
