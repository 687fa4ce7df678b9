"""The entry hosts: this one's registration under a lease, and the others'."""

import random
from collections.abc import Callable, Container
from dataclasses import dataclass

import msgspec
import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.gateway.clock import read_boot_clock
from dewridge.ids import FailureDomain, HostId
from dewridge.platform.store import Item, Lease, Listing, Store, Write
from dewridge.sentinels import Failure

PREFIX = "dewridge/"
HOSTS_PREFIX = PREFIX + "hosts/"
LEASE_TTL = 3.0
"""Seconds that a registration outlives its host: callers are sent there meanwhile,
unless the host's peers miss it sooner."""
RENEW_PERIOD = 0.8
"""Seconds between renewals: three may be lost before the lease ends."""
LEASE_MARGIN = 0.4
"""Seconds before the lease's end at which its holder counts it as ended: one slow
wake-up of a busy process."""
POLL_PERIOD = 4.0
"""Seconds between two reads of all registrations; a watch brings most news sooner, and
hosts that went silent are missed by their peers before."""
GATHER_TIME = 0.3
"""Seconds between two watches: when all hosts start, each registration would cost each
of them a call of its own."""

LONGEST_GATHER = 1.0
"""The same at the most, where many hosts read: only who may take over the duties needs
the news at once, and a third of a lease is soon enough for that."""

MOST_LOST_ITEMS = 2_000
"""Limit on the items kept from before restores of the store."""
REREGISTRATION_TIME = LEASE_TTL
"""Seconds after a restore of the store during which known hosts missing from a list are
kept, so that they can register again."""
LAPSED_FOR = 15.0
"""Seconds that a registration which lapsed is remembered: longer than the store turns
some hosts away by itself, and a host that is not heard does not count anyway."""


class HostEntry(msgspec.Struct, frozen=True):
    """An entry host's registration.

    Attributes:
        id: name of the host.
        boot: start of its process; a later start has a higher number.
        frontend: `a.b.c.d:port` for callers.
        peers: `a.b.c.d:port` for the other entry hosts.
        failure_domain: where it is.
        is_ready: whether callers may be sent there.
    """

    id: HostId
    boot: int
    frontend: str
    peers: str
    failure_domain: FailureDomain
    is_ready: bool


@dataclass
class LeaseState:
    """This process's lease; `valid_until` is on the clock that counts suspension."""

    lease: Lease | None = None
    valid_until: float = float("-inf")

    @property
    def is_valid(self) -> bool:
        """Whether the store surely still has the lease."""
        return self.lease is not None and read_boot_clock() < self.valid_until


class Registration:
    """Keeps this host's entry in the store under a lease."""

    def __init__(self, store: Store, entry: HostEntry) -> None:
        self._store = store
        self.entry = entry
        self.state = LeaseState()
        self._written: HostEntry | None = None
        self._answered_at = read_boot_clock()
        self._changed = trio.Event()

    @property
    def key(self) -> str:
        """The key of the entry; each start has its own.

        With one key for all starts, the end of an earlier start's lease could take
        the later start's entry along.
        """
        return f"{HOSTS_PREFIX}{self.entry.id}/{self.entry.boot}"

    @property
    def unanswered_for(self) -> float:
        """Seconds since the store last answered a grant or a renewal."""
        return read_boot_clock() - self._answered_at

    def set_ready(self, is_ready: bool) -> None:
        """Change whether callers may be sent here."""
        if self.entry.is_ready != is_ready:
            self.entry = msgspec.structs.replace(self.entry, is_ready=is_ready)
            self._changed.set()

    async def run(self) -> None:
        """Register and renew for ever."""
        while True:
            self._changed = trio.Event()
            is_done = await self._step()
            period = RENEW_PERIOD if is_done else RENEW_PERIOD / 4
            with trio.move_on_after(period * random.uniform(0.9, 1.1)):
                await self._changed.wait()

    async def _step(self) -> bool:
        if not await self._hold_lease():
            return False
        if self._written == self.entry:
            return True
        # Until this start can serve, the entry of the one before is the better word:
        # a newer one that is not ready would take the host out of all answers.
        if self._written is None and not self.entry.is_ready:
            return True
        entry = self.entry
        lease = self.state.lease
        assert lease is not None
        write = Write(self.key, msgspec.json.encode(entry), lease.id)
        result = await self._store.change(writes=(write,))
        if isinstance(result, Failure):
            if result.code is ResultCode.KEY_VALUE_LEASE_ENDED:
                self._lose_lease()
            return False
        self._written = entry
        return True

    async def _hold_lease(self) -> bool:
        asked_at = read_boot_clock()
        if self.state.lease is None:
            granted = await self._store.grant_lease(LEASE_TTL)
        else:
            granted = await self._store.renew_lease(self.state.lease.id)
        if isinstance(granted, Lease):
            if self.state.lease is None:
                log.bind(lease=granted.id, ttl=granted.ttl).info("lease granted")
            self.state.lease = granted
            self._answered_at = read_boot_clock()
            self.state.valid_until = asked_at + granted.ttl - LEASE_MARGIN
            return True
        if granted.code is ResultCode.KEY_VALUE_LEASE_ENDED:
            self._lose_lease()
        return False

    def _lose_lease(self) -> None:
        log.bind(lease=self.state.lease and self.state.lease.id).warning("lease lost")
        self.state.lease = None
        self.state.valid_until = float("-inf")
        self._written = None

    def note_restored(self) -> None:
        """Register with a new lease; the store may lack the old one or the entry."""
        if self.state.lease is not None:
            self._lose_lease()

    async def leave(self) -> None:
        """Take the entry out of the store."""
        if self.state.lease is not None:
            lease, self.state.lease = self.state.lease, None
            self.state.valid_until = float("-inf")
            await self._store.end_lease(lease.id)


@dataclass(frozen=True, slots=True)
class Lapsed:
    """A registration that ended though its host did not say that it leaves."""

    entry: HostEntry
    since: float


class HostTable:
    """All registered entry hosts, and the system's own keys in the store."""

    def __init__(self, own: HostId) -> None:
        self._own = own
        self._entries: dict[str, HostEntry] = {}
        self._lapsed: dict[HostId, Lapsed] = {}
        self.items: dict[str, Item] = {}
        self.on_item: Callable[[Item], None] = lambda item: None
        self.revision = 0
        self.changed = trio.Event()
        self.restored = trio.Event()
        self.lost_items: dict[str, Item] = {}
        self._restored_at = float("-inf")

    def note_restored(self) -> None:
        """Discard the revision and items; the restored store may lack recent keys.

        The items remain available in `lost_items`.
        """
        self.revision = 0
        kept = [*self.lost_items.items(), *self.items.items()]
        self.lost_items = dict(kept[-MOST_LOST_ITEMS:])
        self.items = {}
        self._restored_at = trio.current_time()
        restored, self.restored = self.restored, trio.Event()
        restored.set()

    def replace(self, listing: Listing) -> None:
        """Take over a whole list of the system's own keys."""
        if listing.revision < self.revision:
            return
        self.revision = listing.revision
        self.items = {item.key: item for item in listing.items}
        before, self._entries = self._entries, {}
        for item in listing.items:
            self._take_entry(item)
        for key in before.keys() - self._entries.keys():
            if trio.current_time() - self._restored_at < REREGISTRATION_TIME:
                self._entries[key] = before[key]
            else:
                self._note_end(before[key])
        self._tell()

    def update(self, item: Item) -> None:
        """Take over one change."""
        if item.removed:
            self.items.pop(item.key, None)
            entry = self._entries.pop(item.key, None)
            if entry is not None:
                self._note_end(entry)
        else:
            self.items[item.key] = item
            self._take_entry(item)
        self._tell()

    def _take_entry(self, item: Item) -> None:
        self.on_item(item)
        if not item.key.startswith(HOSTS_PREFIX):
            return
        try:
            self._entries[item.key] = msgspec.json.decode(item.value, type=HostEntry)
        except msgspec.DecodeError as error:
            log.bind(key=item.key, reason=str(error)).error("entry can't be read")

    def _note_end(self, entry: HostEntry) -> None:
        # A host that leaves says first that it is not ready.
        if entry.is_ready:
            self._lapsed[entry.id] = Lapsed(entry, trio.current_time())

    def list_members(self, heard: Container[HostId]) -> list[HostEntry]:
        """Return the hosts that news is shared with.

        The store may turn some hosts away and serve the others: their leases lapse
        while they live and go on working. Left out of all news they were the last to
        know of a new holder of the duties, and the sums of usage lacked their counts.

        Args:
            heard: the hosts that are heard, directly or through their cell.
        """
        now = trio.current_time()
        registered = self.list_hosts()
        names = {entry.id for entry in registered}
        self._lapsed = {
            host: lapsed
            for host, lapsed in self._lapsed.items()
            if host not in names and now - lapsed.since < LAPSED_FOR
        }
        living = [one.entry for host, one in self._lapsed.items() if host in heard]
        return [*registered, *living]

    def _tell(self) -> None:
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def list_hosts(self) -> list[HostEntry]:
        """Return the newest start of each registered host."""
        newest: dict[HostId, HostEntry] = {}
        for entry in self._entries.values():
            known = newest.get(entry.id)
            if known is None or known.boot < entry.boot:
                newest[entry.id] = entry
        return list(newest.values())

    def list_peers(self) -> list[HostEntry]:
        """Return the registered hosts but this one."""
        return [entry for entry in self.list_hosts() if entry.id != self._own]

    def count(self) -> int:
        """Return how many hosts there are, this one included."""
        return len(self.list_peers()) + 1


class HostWatcher:
    """Keeps the table of hosts as new as the store has it.

    In a large fleet only the readers do; the others read cheaply what may lag, and
    hear from their peers who lives.
    """

    def __init__(
        self,
        store: Store,
        watch_store: Store,
        table: HostTable,
        watch_wait: float,
        reads: Callable[[], bool] = lambda: True,
        count_readers: Callable[[], int] = lambda: 1,
    ) -> None:
        self._count_readers = count_readers
        self._store = store
        self._watch_store = watch_store
        self._table = table
        self._watch_wait = watch_wait
        self._reads = reads

    async def poll(self) -> None:
        """Read all registrations for ever."""
        may_lag = False
        while True:
            listing = await self._store.list_items(PREFIX, allow_stale=may_lag)
            if isinstance(listing, Listing):
                self._table.replace(listing)
            is_restored = False
            with trio.move_on_after(POLL_PERIOD * random.uniform(0.8, 1.2)):
                await self._table.restored.wait()
                is_restored = True
                await trio.sleep(GATHER_TIME * random.random())
            may_lag = not (is_restored or self._reads())

    async def watch(self) -> None:
        """Follow changes for ever; the poll mends what a lost watch misses."""
        while True:
            if not self._table.revision:
                await self._table.changed.wait()
                continue
            revision = self._table.revision
            if self._reads():
                news = await self._watch_store.watch(PREFIX, revision, self._watch_wait)
                if isinstance(news, Listing):
                    for item in news.items:
                        self._table.update(item)
                    if self._table.revision:
                        self._table.revision = max(revision, news.revision)
                    await trio.sleep(self._find_gather_time())
                    continue
            with trio.move_on_after(POLL_PERIOD):
                await self._table.changed.wait()

    def _find_gather_time(self) -> float:
        """Return the seconds until the next watch after one that had news."""
        shared = min(LONGEST_GATHER, GATHER_TIME * self._count_readers())
        return shared * random.uniform(0.8, 1.2)
