"""Copies of the versions of running streams in the store, for hosts that start.

Hosts keep these versions for each other, but all hosts may be killed at the same
moment. While a service has several versions, each host has a key under a lease. That
no host has one shows that all servers of a service had one version lately.
"""

from collections.abc import Callable
from itertools import chain

import msgspec
import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.decoding import decode_json
from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.entries.faults import EntryFaults
from dewridge.gateway.versions.link import group_by_release
from dewridge.gateway.versions.records import StreamVersions
from dewridge.ids import (
    HostId,
    Release,
    ServiceName,
    StreamKey,
)
from dewridge.platform.store import Item, Lease, Store, Write
from dewridge.policy.streamversions import (
    MAX_VIEW_GAP,
    RETENTION,
    Origin,
    OriginSource,
    unpack_streams,
)
from dewridge.sentinels import Failure

STREAMS_PREFIX = "streams/"
"""Prefix of the keys; not below the one that all hosts watch."""
MIN_WRITE_PERIOD = 0.2
"""Minimum seconds between two writes of a host. Streams that began since the last one
are unknown after a loss of all hosts, and take a few seconds."""
WRITE_SHARE = 0.15
"""Share of the store's write rate that all hosts together use for the copies."""
MAX_WRITE_RATE = 2_000.0
"""Bytes of copies that a host writes per second: most of what control may send."""
RENEW_PERIOD = RETENTION / 3
READ_TIMEOUT = 0.6
"""Seconds that a caller waits for the copies at most."""
MAX_RELEASE = 2**32 - 1
READ_LIFETIME = 0.5
"""Seconds for which the copies that were read are used: the streams of hosts that were
killed together are resumed at about the same time."""


class StoredStreams(msgspec.Struct, frozen=True):
    """Stored form of the versions of a host's running streams.

    Attributes:
        streams: digests of the streams, 6 bytes each, by the version's digest.
        mixed: digests of the recent versions of each service that has several.
    """

    streams: dict[Release, bytes]
    mixed: dict[ServiceName, list[Release]]


class StreamCopies:
    """Writes this host's copy, and reads those of all hosts."""

    def __init__(
        self,
        versions: StreamVersions,
        store: Store,
        key: str,
        count_hosts: Callable[[], int],
        writes_per_second: float,
    ) -> None:
        """Create the copies.

        Args:
            versions: the versions that this host knows.
            store: the store.
            key: key of this process; another one after a restart.
            count_hosts: returns the number of hosts.
            writes_per_second: the store's write rate for all hosts together.
        """
        self._versions = versions
        self._store = store
        self._key = key
        self._count_hosts = count_hosts
        self._writes_per_second = writes_per_second
        self._due = trio.Event()
        self._lease: Lease | None = None
        self._renewed_at = float("-inf")
        self._written: StoredStreams | None = None
        self._revision: int | None = 0
        """Revision of the key as far as known; None after a restore of the store, when
        a condition would cost each host a further write."""
        self._written_bytes = 0
        self._reading = trio.Lock()
        self._read_at = float("-inf")
        self._stored_mixed: set[ServiceName] | None = None
        self._faults = EntryFaults()

    def handle_mixed(self) -> None:
        """Have the copy written, since a service has several versions."""
        self._due.set()

    def handle_restore(self) -> None:
        """Have the copy written again, since the restored store may lack it."""
        self._lease = None
        self._written = None
        self._revision = None

    async def run(self) -> None:
        """Write the copy while a service has several versions, forever."""
        while True:
            await self._due.wait()
            now = trio.current_time()
            stored = self._make_stored(now)
            if not stored.mixed:
                await self._remove()
                self._due = trio.Event()
                continue
            if self._lacks_streams(stored) or now - self._renewed_at > RENEW_PERIOD:
                await self._write(stored, now)
            await trio.sleep(self._compute_period())

    def _compute_period(self) -> float:
        rate = max(1.0, WRITE_SHARE * self._writes_per_second)
        return max(
            MIN_WRITE_PERIOD,
            self._count_hosts() / rate,
            self._written_bytes / MAX_WRITE_RATE,
        )

    def _lacks_streams(self, stored: StoredStreams) -> bool:
        """Return whether the copy in the store lacks running streams or versions.

        Streams that have ended since it was written do no harm in it.
        """
        written = self._written
        if written is None or written.mixed != stored.mixed:
            return True
        return any(
            not set(unpack_streams(data)).issubset(
                unpack_streams(written.streams.get(release, b""))
            )
            for release, data in stored.streams.items()
        )

    def _make_stored(self, now: float) -> StoredStreams:
        streams = group_by_release(self._versions.list_running(now))
        return StoredStreams(streams, self._versions.history.list_mixed(now))

    async def _write(self, stored: StoredStreams, now: float) -> None:
        era = self._store.era.number
        lease = await self._hold_lease(now)
        result: int | Failure = lease if isinstance(lease, Failure) else 0
        if not isinstance(lease, Failure):
            value = msgspec.json.encode(stored)
            self._written_bytes = len(value)
            write = Write(self._key, value, lease.id)
            # Without the condition, a write without an answer could replace a later
            # one, and lack the services that have several versions since.
            known = self._revision
            expected = {} if known is None else {self._key: known}
            result = await self._store.change(expected=expected, writes=(write,))
        if not isinstance(result, Failure):
            self._written, self._revision = stored, result
            if self._store.era.has_followed(era):
                # The lease may be another host's now.
                self._lease = self._written = None
            return
        if self._written is not None:
            log.bind(reason=result.reason).warning("stream versions not stored")
        # The lease may have ended while the store was away.
        self._lease, self._written = None, None
        if result.code is not ResultCode.KEY_VALUE_DOWN:
            await self._read_revision()

    async def _read_revision(self) -> None:
        item = await self._store.read(self._key)
        if not isinstance(item, Failure):
            self._revision = item.revision if item is not None else 0

    async def _hold_lease(self, now: float) -> Lease | Failure:
        """Return the lease, granted or renewed if that is due."""
        held = self._lease
        if held is not None and now - self._renewed_at <= RENEW_PERIOD:
            return held
        lease = await (
            self._store.grant_lease(RETENTION)
            if held is None
            else self._store.renew_lease(held.id)
        )
        if not isinstance(lease, Failure):
            self._lease, self._renewed_at = lease, now
        return lease

    async def _remove(self) -> None:
        lease, self._lease = self._lease, None
        self._written = None
        if lease is not None:
            await self._store.end_lease(lease.id)
            await self._read_revision()

    async def find(
        self, service: ServiceName, stream: StreamKey
    ) -> Origin | Failure | None:
        """Return where a stream began by the copies of all hosts; None if unknown.

        A failure means that the copies could not be read.
        """
        is_read = False
        with trio.move_on_after(READ_TIMEOUT):
            is_read = await self._read()
        known = self._versions.ledger.find(stream)
        if known is not None:
            return Origin(known[0], OriginSource.STORE)
        if not is_read or self._stored_mixed is None:
            return Failure(ResultCode.KEY_VALUE_DOWN, "copies not read")
        if service in self._stored_mixed:
            return None
        if self._versions.view.age > MAX_VIEW_GAP:
            return Failure(ResultCode.KEY_VALUE_DOWN, "list of servers is outdated")
        recent = self._versions.history.list_recent(service, trio.current_time())
        return Origin(recent[0], OriginSource.STORE) if len(recent) == 1 else None

    async def _read(self) -> bool:
        """Read the copies unless they were read just now; return whether it worked."""
        async with self._reading:
            requested_at = read_boot_clock()
            if requested_at - self._read_at < READ_LIFETIME:
                return self._stored_mixed is not None
            self._stored_mixed = None
            listing = await self._store.list_items(STREAMS_PREFIX)
            # The answer may have waited while this host was suspended.
            self._read_at = requested_at
            if isinstance(listing, Failure):
                return False
            mixed: set[ServiceName] = set()
            for item in listing.items:
                mixed |= self._apply(item)
            self._stored_mixed = mixed
            return True

    def _apply(self, item: Item) -> set[ServiceName]:
        """Remember the streams of a copy; return its services with several versions."""
        stored = decode_streams(item)
        if isinstance(stored, Failure):
            self._faults.report("copy can't be read", stored)
            return set()
        now = trio.current_time()
        for release, data in stored.streams.items():
            for stream in unpack_streams(data):
                self._versions.ledger.record(stream, release, now)
        return set(stored.mixed)


def decode_streams(item: Item) -> StoredStreams | Failure:
    """Decode and validate a copy; a `Failure` if it is not usable."""
    stored = decode_json(item.value, StoredStreams)
    if isinstance(stored, Failure):
        return Failure(stored.code, f"{item.key!r}: {stored.reason}")
    releases = {*stored.streams, *chain.from_iterable(stored.mixed.values())}
    if not all(0 < release <= MAX_RELEASE for release in releases):
        reason = f"{item.key!r}: a version is out of range"
        return Failure(ResultCode.PLATFORM_MALFORMED, reason)
    return stored


def make_key(host: HostId, boot: int) -> str:
    """Return the key of a host's copy, another one after each start."""
    return f"{STREAMS_PREFIX}{host}/{boot}"
