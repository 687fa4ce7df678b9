"""Registration of this entry host under a lease, and the table of all entry hosts."""

import random
from collections.abc import Callable, Container
from dataclasses import dataclass

import msgspec
import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.decoding import (
    MAX_COUNT,
    MAX_NAME,
    decode_json,
    is_address,
    is_header_text,
)
from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.entries.faults import EntryFaults
from dewridge.gateway.mirrors import ListMirror
from dewridge.ids import FailureDomain, HostId
from dewridge.platform.store import Item, Lease, Listing, Store, Write
from dewridge.sentinels import Failure

SYSTEM_PREFIX = "dewridge/"
"""Prefix of the keys that the entry hosts write to the store."""
HOSTS_PREFIX = SYSTEM_PREFIX + "hosts/"
LEASE_TTL = 3.0
"""Seconds until a registration expires without a renewal. Until then callers may be
sent to a host that has crashed, unless its peers find it silent earlier."""
RENEW_PERIOD = 0.8
"""Seconds between renewals. Three renewals may be lost before the lease ends."""
LEASE_MARGIN = 0.4
"""Seconds before the end of the lease at which its holder treats it as ended. Covers
one delayed wake-up of a busy process."""
POLL_INTERVAL = 4.0
"""Seconds between two reads of all registrations. Most changes arrive earlier through a
watch, and peers detect silent hosts earlier."""
BATCH_DELAY = 0.3
"""Seconds between two watches if one host reads the store. Without the delay, each
registration would cost each host a separate call when all hosts start together. Also
the maximum random delay before the read that follows a restore of the store."""

MAX_BATCH_DELAY = 1.0
"""Upper limit on the delay in seconds if many hosts read the store. Only hosts that may
take over the duties need changes quickly, and a third of a lease is enough for that."""

MIN_RETRY_DELAY = 0.1
MAX_RETRY_DELAY = 0.5
"""Seconds until a failed listing is retried: the first delay, and the limit up to which
it doubles. A host that starts sends no reports until it knows the others."""
MAX_LOST_ITEMS = 2_000
"""Limit on the items retained from before restores of the store."""
REREGISTRATION_TIME = LEASE_TTL
"""Seconds after a restore of the store during which known hosts that are missing from a
listing are retained, so that they can register again."""
LAPSED_RETENTION = 15.0
"""Seconds that a lapsed registration is retained: longer than the periods in which the
store may reject the calls of some hosts while it serves others. A silent host is
ignored in any case."""


class HostEntry(msgspec.Struct, frozen=True):
    """Registration of an entry host, as stored.

    Attributes:
        id: name of the host.
        boot: number of the host incarnation; a later one has a higher number.
        frontend: address `a.b.c.d:port` for callers.
        peers: address `a.b.c.d:port` for the other entry hosts.
        failure_domain: failure domain of the host.
        is_ready: whether callers may be sent to the host.
        relay_key: secret that a peer has to name when it asks this host to relay a
            request; empty if it does not relay. Only hosts can read it in the store.
        link_mbps: bandwidth of the host's link in Mbit/s; 0 if unknown.
    """

    id: HostId
    boot: int
    frontend: str
    peers: str
    failure_domain: FailureDomain
    is_ready: bool
    relay_key: str = ""
    link_mbps: float = 0.0


def make_host_key(entry: HostEntry) -> str:
    """Return the store key of a registration."""
    return f"{HOSTS_PREFIX}{entry.id}/{entry.boot}"


def decode_host(item: Item) -> HostEntry | Failure:
    """Decode and validate a registration; a `Failure` if it is not usable.

    This host connects and sends datagrams to the addresses, and puts the names into
    headers and messages.
    """
    entry = decode_json(item.value, HostEntry)
    if isinstance(entry, Failure):
        return Failure(entry.code, f"{item.key!r}: {entry.reason}")
    fault = _find_host_fault(entry, item.key)
    if fault:
        return Failure(ResultCode.PLATFORM_MALFORMED, f"{item.key!r}: {fault}")
    return entry


def _find_host_fault(entry: HostEntry, key: str) -> str:
    names = (entry.id, entry.relay_key or entry.id)
    if not all(map(is_header_text, names)) or len(entry.failure_domain) > MAX_NAME:
        return "a name can't be used"
    if key != make_host_key(entry):
        return f"is the entry of {entry.id!r}"
    if not (is_address(entry.frontend) and is_address(entry.peers)):
        return "an address is not a.b.c.d:port"
    is_in_range = 0 < entry.boot <= MAX_COUNT and 0 <= entry.link_mbps <= MAX_COUNT
    return "" if is_in_range else "a number is out of range"


@dataclass
class LeaseState:
    """Lease of this process.

    Attributes:
        lease: the lease; None before it is granted and after it is lost.
        valid_until: end of its validity on the boot clock, which also advances while
            the machine is suspended.
    """

    lease: Lease | None = None
    valid_until: float = float("-inf")

    @property
    def is_valid(self) -> bool:
        """Whether the store is certain to still have the lease."""
        return self.lease is not None and read_boot_clock() < self.valid_until


class Registration:
    """Registers this host in the store under a lease and renews the lease."""

    def __init__(self, store: Store, entry: HostEntry, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self.entry = entry
        self.lease_state = LeaseState()
        self._written_entry: HostEntry | None = None
        self._revision = 0
        self._has_unknown_write = False
        self._last_answer_at = read_boot_clock()
        self._changed = trio.Event()

    @property
    def key(self) -> str:
        """The key of the entry, which differs for each host incarnation.

        With one key for all incarnations of the host, the end of an earlier
        incarnation's lease could remove the entry of a later one.
        """
        return make_host_key(self.entry)

    @property
    def seconds_since_answer(self) -> float:
        """Seconds since the store last answered a grant or a renewal."""
        return read_boot_clock() - self._last_answer_at

    def set_ready(self, is_ready: bool) -> None:
        """Set whether callers may be sent to this host."""
        if self.entry.is_ready != is_ready:
            self.entry = msgspec.structs.replace(self.entry, is_ready=is_ready)
            self._changed.set()

    async def run(self) -> None:
        """Register this host and renew its lease indefinitely."""
        while True:
            self._changed = trio.Event()
            is_registered = await self._ensure_registered()
            period = RENEW_PERIOD if is_registered else RENEW_PERIOD / 4
            with trio.move_on_after(period * self._rng.uniform(0.9, 1.1)):
                await self._changed.wait()

    async def _ensure_registered(self) -> bool:
        if not await self._ensure_lease():
            return False
        if self._written_entry == self.entry and not self._has_unknown_write:
            return True
        # Until this host incarnation is ready, keep the entry of the previous one: a
        # newer entry that is not ready would remove the host from all lists sent to
        # callers.
        is_absent = self._written_entry is None and not self._has_unknown_write
        if is_absent and not self.entry.is_ready:
            return True
        return await self._write_entry()

    async def _write_entry(self) -> bool:
        """Write the entry if the key has the revision that this host last knew.

        A write without an answer may be carried out seconds later. Without the
        condition, it would replace a newer entry, which is not written again.
        """
        entry = self.entry
        lease = self.lease_state.lease
        assert lease is not None
        write = Write(self.key, msgspec.json.encode(entry), lease.id)
        era = self._store.era.number
        result = await self._store.change(
            expected={self.key: self._revision}, writes=(write,)
        )
        if not isinstance(result, Failure):
            if self._store.era.has_followed(era):
                # The lease may be another host's now.
                self._written_entry, self._revision = None, result
                self._has_unknown_write = True
                return False
            self._written_entry, self._revision = entry, result
            self._has_unknown_write = False
            return True
        if result.code is ResultCode.KEY_VALUE_LEASE_ENDED:
            self._discard_lease()
        elif result.code in {
            ResultCode.KEY_VALUE_UNKNOWN,
            ResultCode.KEY_VALUE_CONFLICT,
        }:
            # Only this host writes the key, so a conflict shows an earlier own write.
            self._has_unknown_write = True
            item = await self._store.read(self.key)
            if not isinstance(item, Failure):
                self._revision = item.revision if item is not None else 0
        return False

    async def _ensure_lease(self) -> bool:
        requested_at = read_boot_clock()
        era = self._store.era.number
        is_renewal = self.lease_state.lease is not None
        if self.lease_state.lease is None:
            granted = await self._store.grant_lease(LEASE_TTL)
        else:
            granted = await self._store.renew_lease(self.lease_state.lease.id)
        if isinstance(granted, Lease):
            if is_renewal and self._store.era.has_followed(era):
                return False
            if self.lease_state.lease is None:
                log.bind(lease=granted.id, ttl=granted.ttl).info("lease granted")
            self.lease_state.lease = granted
            self._last_answer_at = read_boot_clock()
            self.lease_state.valid_until = requested_at + granted.ttl - LEASE_MARGIN
            return True
        if granted.code is ResultCode.KEY_VALUE_LEASE_ENDED:
            self._discard_lease()
        return False

    def _discard_lease(self) -> None:
        log.bind(lease=self.lease_state.lease and self.lease_state.lease.id).warning(
            "lease lost"
        )
        self.lease_state.lease = None
        self.lease_state.valid_until = float("-inf")
        self._written_entry = None
        self._has_unknown_write = False
        self._revision = 0

    def handle_restore(self) -> None:
        """Discard the lease so that the host registers again.

        The restored store may lack the lease or the entry.
        """
        if self.lease_state.lease is not None:
            # The copy has the entry with this revision, unless it is older than that.
            revision = self._revision
            self._discard_lease()
            self._revision = revision

    async def unregister(self) -> None:
        """End the lease, which removes the entry from the store."""
        if self.lease_state.lease is not None:
            lease, self.lease_state.lease = self.lease_state.lease, None
            self.lease_state.valid_until = float("-inf")
            await self._store.end_lease(lease.id)


@dataclass(frozen=True, slots=True)
class LapsedRegistration:
    """A registration that ended while its host was ready.

    Attributes:
        entry: the last registration.
        since: time at which it ended.
    """

    entry: HostEntry
    since: float


class HostTable:
    """All registered entry hosts, and the items that entry hosts wrote to the store.

    Attributes:
        items: all items under `SYSTEM_PREFIX`, by key.
        on_item: called with each item that is listed or changed.
        revision: revision of the store up to which the table is current; 0 if unknown.
        changed: set and replaced at each change of the table.
        listing_due: set and replaced when all registrations have to be listed.
        lost_items: items known before restores, which the store may lack now.
        is_listed: whether a complete listing has been applied.
        recheck_at: monotonic time at which the hosts have to be listed again, since a
            missing one was kept; None if none was.
    """

    def __init__(self, local_host: HostId) -> None:
        self._local_host = local_host
        self._entries: dict[str, HostEntry] = {}
        self._hosts: list[HostEntry] | None = None
        self._peers: list[HostEntry] | None = None
        self._lapsed_registrations: dict[HostId, LapsedRegistration] = {}
        self._faults = EntryFaults()
        self.items: dict[str, Item] = {}
        self.on_item: Callable[[Item], None] = lambda item: None
        self.revision = 0
        self.changed = trio.Event()
        self.listing_due = trio.Event()
        self.lost_items: dict[str, Item] = {}
        self._restored_at = float("-inf")
        self.is_listed = False
        self.recheck_at: float | None = None

    def handle_restore(self) -> None:
        """Discard the revision and items; the restored store may lack recent keys.

        The items remain available in `lost_items`.
        """
        self.revision = 0
        retained = [*self.lost_items.items(), *self.items.items()]
        self.lost_items = dict(retained[-MAX_LOST_ITEMS:])
        self.items = {}
        self._restored_at = trio.current_time()
        self.request_listing()

    def request_listing(self) -> None:
        """Have all registrations listed soon."""
        due, self.listing_due = self.listing_due, trio.Event()
        due.set()

    def replace(self, listing: Listing) -> None:
        """Replace the table with a complete listing, unless the listing is outdated."""
        if listing.revision < self.revision:
            return
        self.revision = listing.revision
        self.is_listed = True
        self.items = {item.key: item for item in listing.items}
        previous, self._entries = self._entries, {}
        self._discard_cached()
        for item in listing.items:
            self._apply_item(item)
        self.recheck_at = None
        may_register_until = self._restored_at + REREGISTRATION_TIME
        for key in previous.keys() - self._entries.keys():
            if trio.current_time() < may_register_until:
                self._entries[key] = previous[key]
                self._discard_cached()
                self.recheck_at = may_register_until
            else:
                self._record_end(previous[key])
        self._notify_changed()

    def update(self, item: Item) -> None:
        """Apply a change of one item."""
        if item.removed:
            self.items.pop(item.key, None)
            entry = self._entries.pop(item.key, None)
            if entry is not None:
                self._discard_cached()
                self._record_end(entry)
        else:
            self.items[item.key] = item
            self._apply_item(item)
        self._notify_changed()

    def _apply_item(self, item: Item) -> None:
        self.on_item(item)
        if not item.key.startswith(HOSTS_PREFIX):
            return
        entry = decode_host(item)
        if isinstance(entry, Failure):
            self._faults.report("entry can't be read", entry)
            return
        self._entries[item.key] = entry
        self._discard_cached()

    def _discard_cached(self) -> None:
        """Discard the lists derived from the entries; call after each change."""
        self._hosts = None
        self._peers = None

    def _record_end(self, entry: HostEntry) -> None:
        # A host that leaves gracefully first sets its entry to not ready.
        if entry.is_ready:
            self._lapsed_registrations[entry.id] = LapsedRegistration(
                entry, trio.current_time()
            )

    def list_members(self, live_hosts: Container[HostId]) -> list[HostEntry]:
        """Return the registered hosts, and the live ones whose registration lapsed.

        Reports are exchanged with all of these.

        The store may reject the calls of some hosts while it serves others, so that the
        leases of hosts that still work lapse. If these were left out, they would be the
        last to learn of a new holder of the duties, and the sums of usage would lack
        their counts.

        Args:
            live_hosts: the hosts from which reports arrive, directly or through their
                cell.
        """
        registered = self.list_hosts()
        if not self._lapsed_registrations:
            return registered
        now = trio.current_time()
        registered_ids = {entry.id for entry in registered}
        self._lapsed_registrations = {
            host: lapsed
            for host, lapsed in self._lapsed_registrations.items()
            if host not in registered_ids and now - lapsed.since < LAPSED_RETENTION
        }
        live_lapsed = [
            registration.entry
            for host, registration in self._lapsed_registrations.items()
            if host in live_hosts
        ]
        return [*registered, *live_lapsed]

    def _notify_changed(self) -> None:
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def list_hosts(self) -> list[HostEntry]:
        """Return the newest incarnation of each registered host."""
        if self._hosts is None:
            newest: dict[HostId, HostEntry] = {}
            for entry in self._entries.values():
                known = newest.get(entry.id)
                if known is None or known.boot < entry.boot:
                    newest[entry.id] = entry
            self._hosts = list(newest.values())
        return self._hosts.copy()

    def list_peers(self) -> list[HostEntry]:
        """Return the registered hosts except this one."""
        return self._find_peers().copy()

    def count(self) -> int:
        """Return the number of hosts, including this one."""
        return len(self._find_peers()) + 1

    def _find_peers(self) -> list[HostEntry]:
        if self._peers is None:
            self._peers = [
                entry for entry in self.list_hosts() if entry.id != self._local_host
            ]
        return self._peers


class HostWatcher:
    """Updates the table of hosts from the store.

    In a large fleet only the readers follow the store closely. The other hosts use
    cheaper reads that may return outdated data, and receive reports of live hosts from
    their peers.
    """

    def __init__(
        self,
        store: Store,
        watch_store: Store,
        table: HostTable,
        watch_wait: float,
        rng: random.Random,
        is_reader: Callable[[], bool] = lambda: True,
        count_readers: Callable[[], int] = lambda: 1,
    ) -> None:
        self._rng = rng
        self._count_readers = count_readers
        self._store = store
        self._watch_store = watch_store
        self._table = table
        self._watch_wait = watch_wait
        self._is_reader = is_reader

    async def poll(self) -> None:
        """Poll all registrations indefinitely."""
        mirror = ListMirror(self._store, SYSTEM_PREFIX)
        may_lag = False
        retry_delay = MIN_RETRY_DELAY
        while True:
            listing_due = self._table.listing_due
            read = await mirror.read(may_lag=may_lag)
            if isinstance(read, Failure):
                await trio.sleep(retry_delay * self._rng.uniform(0.5, 1.5))
                retry_delay = min(MAX_RETRY_DELAY, retry_delay * 2)
                continue
            retry_delay = MIN_RETRY_DELAY
            self._table.replace(read.listing)
            needs_current = False
            with trio.move_on_at(self._compute_next_poll()):
                await listing_due.wait()
                needs_current = True
                await trio.sleep(BATCH_DELAY * self._rng.random())
            needs_current |= self._table.recheck_at is not None
            may_lag = not (needs_current or self._is_reader())

    def _compute_next_poll(self) -> float:
        poll_at = trio.current_time() + POLL_INTERVAL * self._rng.uniform(0.8, 1.2)
        recheck_at = self._table.recheck_at
        if recheck_at is None:
            return poll_at
        return min(poll_at, recheck_at + BATCH_DELAY * self._rng.random())

    async def watch(self) -> None:
        """Apply changes from watches indefinitely.

        The poll finds the changes that a lost watch misses.
        """
        while True:
            if not self._table.revision:
                await self._table.changed.wait()
                continue
            revision = self._table.revision
            changed = self._table.changed
            if self._is_reader():
                changes = await self._watch_store.watch(
                    SYSTEM_PREFIX, revision, self._watch_wait
                )
                if isinstance(changes, Listing):
                    for item in changes.items:
                        self._table.update(item)
                    if self._table.revision:
                        self._table.revision = max(revision, changes.revision)
                    await trio.sleep(self._draw_batch_delay())
                    continue
                # A change may be missed until the next watch.
                self._table.request_listing()
                await trio.sleep(MAX_RETRY_DELAY * self._rng.uniform(0.5, 1.5))
            with trio.move_on_after(POLL_INTERVAL):
                await changed.wait()

    def _draw_batch_delay(self) -> float:
        """Return a random delay in seconds before the next watch after a change.

        Its mean grows with the number of readers up to `MAX_BATCH_DELAY`.
        """
        mean_delay = min(MAX_BATCH_DELAY, BATCH_DELAY * self._count_readers())
        return mean_delay * self._rng.uniform(0.8, 1.2)
