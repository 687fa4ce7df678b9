"""Key-value service: compare-and-swap, watches and leases over HTTP and JSON."""

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
FAULT_TARGET = "key_value"


class StoredEntry(msgspec.Struct, frozen=True):
    """A key's value; revision 0 when absent."""

    key: str
    value: bytes = b""
    revision: int = 0


class WriteRecord(msgspec.Struct, frozen=True):
    """One line of the log of writes.

    Attributes:
        revision: revision that the write made; 0 if it was refused.
        lost: whether its answer was lost by a fault.
    """

    at: float
    kind: str
    key: str
    expected_revision: int
    revision: int
    lost: bool
    value: bytes = b""


class Lease(msgspec.Struct):
    """A lease, which deletes its keys when it is not kept alive."""

    id: str
    ttl: float
    expires: float
    keys: set[str]


class SwapRequest(msgspec.Struct):
    """Body of a compare-and-swap."""

    value: bytes
    expected_revision: int
    lease: str = ""


class LeaseRequest(msgspec.Struct):
    """Body that asks for a lease."""

    ttl: float


class KeyValueStore:
    """What the key-value service holds. Revisions come from one counter."""

    def __init__(self) -> None:
        self._entries: dict[str, StoredEntry] = {}
        self._versions: dict[str, deque[StoredEntry]] = {}
        self._changes: dict[str, trio.Event] = {}
        self._leases: dict[str, Lease] = {}
        self._revision = 0
        self.writes: deque[WriteRecord] = deque(maxlen=MAX_WRITE_RECORDS)

    def get(self, key: str) -> StoredEntry:
        """Read a key."""
        return self._entries.get(key, StoredEntry(key))

    def list_prefix(self, prefix: str) -> list[StoredEntry]:
        """Read all keys under a prefix, in order."""
        return [self._entries[k] for k in sorted(self._entries) if k.startswith(prefix)]

    def compare_and_swap(
        self, key: str, swap: SwapRequest, lost: bool
    ) -> StoredEntry | None:
        """Write a key if its revision is the expected one."""
        made = None
        if self.get(key).revision == swap.expected_revision:
            self._revision += 1
            made = StoredEntry(key, swap.value, self._revision)
            self._put(made)
            if swap.lease in self._leases:
                self._leases[swap.lease].keys.add(key)
        self._note("swap", key, swap.expected_revision, made, lost)
        return made

    def delete(
        self, key: str, expected_revision: int, lost: bool
    ) -> StoredEntry | None:
        """Delete a key if its revision is the expected one."""
        made = None
        if self.get(key).revision == expected_revision:
            self._revision += 1
            made = StoredEntry(key, b"", 0)
            self._entries.pop(key, None)
            self._wake(key)
        self._note("delete", key, expected_revision, made, lost)
        return made

    def restore(self, key: str, revision: int) -> StoredEntry | None:
        """Put back an older version with its old revision, as from a backup.

        A revision of 0 takes the version before the last.
        """
        versions = self._versions.get(key, deque())
        older = [v for v in versions if revision in (0, v.revision)]
        chosen = older[-2:][0] if older else None
        if chosen is not None:
            self._entries[key] = chosen
            self._wake(key)
            self._note("restore", key, 0, chosen, False)
        return chosen

    async def wait_for_change(
        self, key: str, after: int, timeout: float
    ) -> StoredEntry | None:
        """Wait until a key's revision differs from `after`."""
        with trio.move_on_after(timeout):
            while self.get(key).revision == after:
                await self._changes.setdefault(key, trio.Event()).wait()
            return self.get(key)
        return None

    def grant_lease(self, ttl: float) -> Lease:
        """Make a lease."""
        lease = Lease(uuid4().hex, ttl, trio.current_time() + ttl, set())
        self._leases[lease.id] = lease
        return lease

    def renew_lease(self, lease_id: str) -> Lease | None:
        """Renew a lease that has not lapsed."""
        lease = self._leases.get(lease_id)
        if lease is not None:
            lease.expires = trio.current_time() + lease.ttl
        return lease

    def revoke_lease(self, lease_id: str) -> bool:
        """End a lease and delete its keys."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return False
        for key in lease.keys:
            self.delete(key, self.get(key).revision, False)
        return True

    async def expire_leases(self) -> None:
        """End leases as they lapse."""
        while True:
            await trio.sleep(LEASE_CHECK_SECONDS)
            now = trio.current_time()
            for lease in list(self._leases.values()):
                if lease.expires < now:
                    self.revoke_lease(lease.id)

    def _put(self, made: StoredEntry) -> None:
        self._entries[made.key] = made
        versions = self._versions.setdefault(
            made.key, deque(maxlen=MAX_VERSIONS_PER_KEY)
        )
        versions.append(made)
        self._wake(made.key)

    def _wake(self, key: str) -> None:
        event = self._changes.pop(key, None)
        if event is not None:
            event.set()

    def _note(
        self, kind: str, key: str, expected: int, made: StoredEntry | None, lost: bool
    ) -> None:
        revision = 0 if made is None else made.revision or self._revision
        value = b"" if made is None else made.value
        self.writes.append(
            WriteRecord(time.time(), kind, key, expected, revision, lost, value)
        )


def build_key_value_app(store: KeyValueStore, faults: FaultInjector) -> QuartTrio:
    """Return the service's HTTP application."""
    app = make_app("key-value")

    @app.get("/v1/keys/<path:key>")
    async def get(key: str) -> Response:
        fault = faults.intercept(FAULT_TARGET, "get", key)
        early = await inject_before_call(fault)
        return early or await inject_after_call(fault, reply(store.get(key)))

    @app.get("/v1/keys")
    async def list_prefix() -> Response:
        prefix = request.args.get("prefix", "")
        fault = faults.intercept(FAULT_TARGET, "list", prefix)
        early = await inject_before_call(fault)
        found = {"entries": store.list_prefix(prefix)}
        return early or await inject_after_call(fault, reply(found))

    @app.put("/v1/keys/<path:key>")
    async def swap(key: str) -> Response:
        body = await read_body(SwapRequest)
        fault = faults.intercept(FAULT_TARGET, "swap", key)
        early = await inject_before_call(fault)
        if early is not None:
            return early
        if len(body.value) > MAX_VALUE_BYTES:
            return reply({"error": {"type": "too_large"}}, 413)
        made = store.compare_and_swap(key, body, is_answer_lost(fault))
        return await inject_after_call(fault, reply_to_write(store, key, made))

    @app.delete("/v1/keys/<path:key>")
    async def delete(key: str) -> Response:
        expected = request.args.get("expected_revision", 0, type=int)
        fault = faults.intercept(FAULT_TARGET, "delete", key)
        early = await inject_before_call(fault)
        if early is not None:
            return early
        made = store.delete(key, expected, is_answer_lost(fault))
        return await inject_after_call(fault, reply_to_write(store, key, made))

    @app.get("/v1/watches/<path:key>")
    async def watch(key: str) -> Response:
        after = request.args.get("after", 0, type=int)
        timeout = request.args.get("timeout", 10.0, type=float)
        fault = faults.intercept(FAULT_TARGET, "watch", key)
        early = await inject_before_call(fault)
        if early is not None:
            return early
        changed = await store.wait_for_change(key, after, timeout)
        answer = Response("", status=204) if changed is None else reply(changed)
        return await inject_after_call(fault, answer)

    add_lease_routes(app, store, faults)
    return app


def add_lease_routes(
    app: QuartTrio, store: KeyValueStore, faults: FaultInjector
) -> None:
    """Add what grants, renews and ends leases."""

    @app.post("/v1/leases")
    async def grant() -> Response:
        body = await read_body(LeaseRequest)
        fault = faults.intercept(FAULT_TARGET, "lease")
        early = await inject_before_call(fault)
        return early or await inject_after_call(
            fault, reply(store.grant_lease(body.ttl))
        )

    @app.post("/v1/leases/<lease_id>/keepalive")
    async def keep(lease_id: str) -> Response:
        fault = faults.intercept(FAULT_TARGET, "lease")
        early = await inject_before_call(fault)
        if early is not None:
            return early
        lease = store.renew_lease(lease_id)
        return await inject_after_call(fault, reply(lease, 200 if lease else 404))

    @app.delete("/v1/leases/<lease_id>")
    async def drop(lease_id: str) -> Response:
        fault = faults.intercept(FAULT_TARGET, "lease")
        early = await inject_before_call(fault)
        if early is not None:
            return early
        dropped = store.revoke_lease(lease_id)
        return await inject_after_call(fault, reply({}, 200 if dropped else 404))


def is_answer_lost(fault: Fault) -> bool:
    """Whether a write under this fault takes effect and loses its answer."""
    return fault.mode.value in ("lose_answers", "garble")


def reply_to_write(
    store: KeyValueStore, key: str, made: StoredEntry | None
) -> Response:
    """Answer a write: the new entry, or the conflict with the entry that won."""
    if made is None:
        return reply(store.get(key), 409)
    return reply(made)
