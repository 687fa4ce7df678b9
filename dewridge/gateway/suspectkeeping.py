"""Copies of the quarantined requests in the store, for hosts that start.

Hosts report suspects to each other, but all hosts may be killed at the same moment.
Each quarantined request has a key in the store under a lease that lasts as long as its
quarantine. The keys lie beside the hosts' registrations, which every host reads anyway,
so a copy costs just two calls per request.
"""

import time
from collections.abc import Callable

import msgspec
import trio

from dewridge.codes import ResultCode
from dewridge.decoding import MAX_NAME, decode_json, is_finite, is_header_text
from dewridge.gateway.entries.faults import EntryFaults
from dewridge.gateway.hosts import SYSTEM_PREFIX
from dewridge.gateway.state import GatewayState
from dewridge.gateway.suspects import merge_suspects
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    PartDigest,
    RequestDigest,
    ServiceName,
)
from dewridge.platform.store import Item, Store, Write
from dewridge.policy.suspects import NO_PART, Crash, Suspect
from dewridge.sentinels import Failure

SUSPECTS_PREFIX = SYSTEM_PREFIX + "suspects/"
POLL_INTERVAL = 0.25
"""Seconds between two checks for copies to write or to delete."""
FALLBACK_WRITE_DELAY = 3.0
"""Seconds that the hosts that saw the crashes have for writing a copy before the holder
of the duties writes it: they may have ended, or be partitioned from the store."""
MAX_STORED = 64
"""Maximum number of copies in the store; all hosts read the whole list."""
MAX_SERVERS = 1_000
"""Servers that a copy may name; three crashes put a request into quarantine."""
MIN_LEASE = 5.0
"""Seconds of quarantine that must be left for a copy to be worth its calls."""


class StoredSuspect(msgspec.Struct, frozen=True):
    """Stored form of a quarantined request.

    Attributes:
        digest: digest of the request's content.
        account: the account that sent it.
        service: the service whose servers crashed.
        ends: when each server crashed, and when the request was sent to it, in seconds
            since 1970.
        cleared: servers whose crashes no longer count.
        part: digest of the suspected prompt part; empty for a whole request.
    """

    digest: RequestDigest
    account: ClientAccount
    service: ServiceName
    ends: dict[BackendServerId, tuple[float, float]]
    cleared: list[BackendServerId] = []
    part: PartDigest = NO_PART


class SuspectPersistence:
    """Reads and writes the store's copies of quarantined requests.

    A host writes the requests that it saw servers crash on; the holder of the duties
    also writes those that no other host has written in time.
    """

    def __init__(
        self, state: GatewayState, store: Store, has_duties: Callable[[], bool]
    ) -> None:
        self._state = state
        self._store = store
        self._has_duties = has_duties
        self._faults = EntryFaults()
        self._written: set[RequestDigest] = set()
        self._deleted: dict[str, int] = {}
        """Deleted copies, with the store's revision of the deletion. A write without an
        answer may be carried out after it."""

    def apply_item(self, item: Item) -> None:
        """Merge a copy from the store; ignore items with other keys."""
        if not item.key.startswith(SUSPECTS_PREFIX):
            return
        stored = decode_suspect(item)
        if isinstance(stored, Failure):
            self._faults.report("suspect can't be read", stored)
            return
        merge_suspects(self._state, [convert_stored(stored)])

    def handle_restore(self) -> None:
        """Have all copies written again, since the restored store may lack them."""
        self._written.clear()
        self._deleted.clear()

    async def run(self) -> None:
        """Write and delete copies until cancelled; failed calls are retried."""
        while True:
            await trio.sleep(POLL_INTERVAL)
            if self._state.suspects.is_empty:
                continue
            await self._delete_cleared()
            now = trio.current_time()
            for suspect in self._state.suspects.list_quarantined(now):
                if self._must_write(suspect, now):
                    await self._write(suspect, now)

    def _compute_left(self, suspect: Suspect, now: float) -> float:
        return self._state.suspects.compute_quarantine_left(suspect.digest, now)

    def _must_write(self, suspect: Suspect, now: float) -> bool:
        items = self._state.hosts.items
        if suspect.digest in self._written or make_key(suspect.digest) in items:
            return False
        stored = sum(key.startswith(SUSPECTS_PREFIX) for key in items)
        if stored >= MAX_STORED or self._compute_left(suspect, now) < MIN_LEASE:
            return False
        if suspect.digest in self._state.observed_crashes:
            return True
        return self._has_duties() and now - suspect.updated_at > FALLBACK_WRITE_DELAY

    async def _write(self, suspect: Suspect, now: float) -> None:
        era = self._store.era.number
        lease = await self._store.grant_lease(self._compute_left(suspect, now))
        if isinstance(lease, Failure):
            return
        value = msgspec.json.encode(encode_stored(suspect, now))
        write = Write(make_key(suspect.digest), value, lease.id)
        result = await self._store.change(writes=(write,))
        if self._store.era.has_followed(era):
            # The lease may be another host's now, which ends at another time.
            return
        if not isinstance(result, Failure):
            self._written.add(suspect.digest)
            self._deleted.pop(write.key, None)

    async def _delete_cleared(self) -> None:
        """Delete the copies of requests that were released from quarantine.

        Otherwise, a host that starts would quarantine them again because of the copy.
        """
        for key in self._list_cleared():
            result = await self._store.change(removed_keys=(key,))
            if isinstance(result, Failure):
                return
            self._deleted[key] = result

    def _list_cleared(self) -> list[str]:
        now = trio.current_time()
        cleared = []
        for suspect in self._state.suspects.list_all():
            key = make_key(suspect.digest)
            is_responsible = suspect.digest in self._written or self._has_duties()
            item = self._state.hosts.items.get(key)
            is_stored = item is not None and item.revision > self._deleted.get(key, 0)
            if is_responsible and is_stored and self._compute_left(suspect, now) <= 0:
                cleared.append(key)
        return cleared


def make_key(digest: RequestDigest) -> str:
    """Return the store key of a request's copy."""
    return SUSPECTS_PREFIX + digest


def encode_stored(suspect: Suspect, now: float) -> StoredSuspect:
    """Return the stored form of a request, with wall-clock times."""
    offset = time.time() - now
    return StoredSuspect(
        suspect.digest,
        suspect.account,
        suspect.service,
        {
            server: (crash.crashed_at + offset, crash.sent_at + offset)
            for server, crash in suspect.crashes.items()
        },
        sorted(suspect.cleared),
        suspect.part,
    )


def decode_suspect(item: Item) -> StoredSuspect | Failure:
    """Decode and validate a copy; a `Failure` if it is not usable."""
    stored = decode_json(item.value, StoredSuspect)
    if isinstance(stored, Failure):
        return Failure(stored.code, f"{item.key!r}: {stored.reason}")
    names = (stored.account, stored.service, stored.part, *stored.ends, *stored.cleared)
    fault = ""
    if item.key != make_key(stored.digest) or not is_header_text(stored.digest):
        fault = "the digest does not match the key"
    elif max(map(len, names)) > MAX_NAME:
        fault = "a name is too long"
    elif max(len(stored.ends), len(stored.cleared)) > MAX_SERVERS:
        fault = "too many servers"
    elif not is_finite(*(time for times in stored.ends.values() for time in times)):
        fault = "a time is out of range"
    if fault:
        return Failure(ResultCode.PLATFORM_MALFORMED, f"{item.key!r}: {fault}")
    return stored


def convert_stored(stored: StoredSuspect) -> Suspect:
    """Return a request from its stored form, with monotonic times of this host."""
    now = trio.current_time()
    offset = now - time.time()
    return Suspect(
        stored.digest,
        stored.account,
        stored.service,
        {
            server: Crash(min(now, crashed_at + offset), sent_at + offset)
            for server, (crashed_at, sent_at) in stored.ends.items()
        },
        set(stored.cleared),
        part=stored.part,
    )
