"""Keeps the configuration and the list of servers as new as the store has them.

In a small fleet every host polls and watches all: polls carry the promise, since each
confirms what is in force, and watches only bring news sooner. In a large one that would
cost more calls than the requests are worth. There a host confirms the configuration by
watches that come back empty, and only some hosts, the readers, follow the servers; the
others hear of leaving servers from them, and of new ones by cheap reads that may lag.
"""

import random
from collections.abc import Callable
from enum import Enum

import trio
from loguru import logger as log

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.model import RolloutOrder, ServerRecord
from dewridge.gateway.servers import ServerTable
from dewridge.platform.configuration import decode_configuration
from dewridge.platform.names import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    ROLLOUTS_PREFIX,
    SERVERS_PREFIX,
)
from dewridge.platform.rollouts import decode_rollout
from dewridge.platform.servers import decode_server
from dewridge.platform.store import Item, Listing, Store
from dewridge.sentinels import Failure

POLL_PERIOD = 1.5
"""Seconds between two polls of a host that hears no other. Watches bring most news at
once; a poll alone still keeps within the 2 s that operators count on."""
MOST_SHARED = 2.4
HOSTS_TO_SHARE = 6.0
"""How much longer the period may get, and the hosts heard for each time that it gets
longer by itself. Each host's polls serve all, since they tell their version within two
tenths: with the watches of all hosts silent, nine hosts that poll each 3.5 s leave a
second and a half without a poll once in a hundred times. Polls cost 2% of the benefit
of a day's requests where each host kept to the shortest period."""
LEAST_DOUBT = 0.6
"""Age of a confirmation below which nobody asks for a new one."""
DOUBT_POWER = 1.5
"""How the hosts' doubts lean to the earlier times: drawn evenly, nine hosts left the
configuration unconfirmed for two seconds once in two hundred times, so once in ten
thousand, for a third more calls."""
POLL_SHARE = 0.3
"""Part of the store's reads a second that the polls of all hosts together may use."""
POLLS = 3
"""Polls of each host in one period: configuration, servers, hosts."""
READER_PERIOD = 2.0
"""Seconds between two polls of the servers by a reader of a large fleet: its watch
brings news at once, and other readers' words cover one whose watch went silent."""
LAGGING_PERIOD = 2.0
"""Seconds between two cheap reads of the servers by other hosts: half of the time that
a new server takes to start."""
CONFIRM_WAIT = 1.5
"""Seconds that a reader's watch of the configuration waits in a large fleet. An empty
result also confirms the version for the reader's cell, which receives the confirmation
within about a second."""
STARTUP_PERIOD = 5.0
"""Seconds after startup in which the host may not know the size of the fleet, and no
peer may confirm the configuration for it."""
STARTUP_CONFIRM_WAIT = 3.0
"""Seconds that a watch of the configuration waits during the startup period."""
UNCONFIRMED_AFTER = 3.4
"""Age of the confirmation from which the configuration is read: the watch is stuck, or
no confirmation arrives from the cell's reader. Keys are refused from 4 s on."""
LOOK_PERIOD = 0.2
SHORTEST_LOOK = 0.01
"""Seconds between two looks at that age, at the most and at the least."""
FIRST_RETRY = 0.1
LAST_RETRY = 0.5
"""Seconds until a failed call is made again. Hosts spread by half of it either way:
together after an outage they would go over the store's rates."""
CELL_WATCH_RETRY = 1.0
"""Seconds until a failed watch is begun again in a large fleet: the configuration is
read meanwhile, and each try costs a call."""
GATHER_TIME = 0.1
"""Seconds between two watches of the servers: those of a failure domain come and go
within that, and each alone would cost each host a call. Hosts wake at different times,
and the first one tells the others."""
LONGEST_GATHER = 1.0
"""The same at the most, where many hosts read for all: half of the time within which a
leaving server must be known to all, if only one of them were left."""
LEAST_SPREAD = 0.5
MOST_SPREAD = 1.5
"""Parts of a time by chance, so that hosts that waited for the same act by turns."""
MOST_UNREADABLE = 200
"""Unreadable records, with their reasons, that are told of in a process's life: enough
to see what writes them, and a bound on lines and memory if they change all the time."""
WATCH_WAIT = 15.0
"""Seconds that a watch waits for news: each costs a call, and one that went silent is
found by the polls."""


def find_gather_time(readers: int) -> float:
    """Return the seconds between two watches that had news, drawn by chance.

    Made for a fleet whose servers come and go all the time: each change woke each
    reader, up to ten times a second. As each tells the others, together they need to
    look as often as one would alone.
    """
    if readers == 1:
        return GATHER_TIME
    mean = min(LONGEST_GATHER / MOST_SPREAD, GATHER_TIME * readers)
    return mean * random.uniform(LEAST_SPREAD, MOST_SPREAD)


class Part(Enum):
    """What a host has to read of the store itself."""

    ALL = "all"
    """In a small fleet."""
    READER = "reader"
    """In a large fleet: the servers, for others too."""
    LISTENER = "listener"
    """In a large fleet: the configuration only."""


CONFIRM_WAITS = {
    Part.ALL: WATCH_WAIT,
    Part.READER: CONFIRM_WAIT,
    Part.LISTENER: WATCH_WAIT,
}
"""Seconds that a watch of the configuration waits after the startup period."""


class StoreWatcher:
    """Runs the polls and watches and writes what they bring into the tables."""

    def __init__(
        self,
        store: Store,
        watch_store: Store,
        configuration: ConfigurationState,
        servers: ServerTable,
        count_hosts: Callable[[], int],
        reads_per_second: float,
        find_part: Callable[[], Part] = lambda: Part.ALL,
        count_heard: Callable[[], int] = lambda: 0,
        count_readers: Callable[[], int] = lambda: 1,
        on_rollout: Callable[[RolloutOrder], None] = lambda order: None,
    ) -> None:
        self._on_rollout = on_rollout
        self._count_readers = count_readers
        self._find_part = find_part
        self._count_heard = count_heard
        self._store = store
        self._watch_store = watch_store
        self._configuration = configuration
        self._servers = servers
        self._count_hosts = count_hosts
        self._reads_per_second = reads_per_second
        self._servers_wake = trio.Event()
        self._configuration_wake = trio.Event()
        self._unreadable: set[str] = set()
        self.revision = 0
        self._started_at = float("-inf")
        self._is_store_outdated = False
        self._newest_peer_version = 0

    def find_period(self) -> float:
        """Return the seconds between polls that all hosts together can afford."""
        polls = POLLS * self._count_hosts()
        shared = min(MOST_SHARED, 1 + self._count_heard() / HOSTS_TO_SHARE)
        affordable = polls / (POLL_SHARE * self._reads_per_second)
        return max(POLL_PERIOD * shared, affordable)

    def note_version(self, version: int) -> None:
        """Note another host's version; look at once if it is newer."""
        current = self._configuration.current
        self._newest_peer_version = max(self._newest_peer_version, version)
        if current is None or version > current.version:
            self._configuration_wake.set()

    async def poll_configuration(self) -> None:
        """Confirm the configuration for ever."""
        pause = FIRST_RETRY
        while True:
            asked_at = read_boot_clock()
            listing = await self._store.list_items(OPERATOR_PREFIX)
            if isinstance(listing, Failure):
                await self._pause(pause)
                pause = min(LAST_RETRY, pause * 2)
                continue
            pause = FIRST_RETRY
            if self._take_operator_items(listing):
                self._configuration.confirm(asked_at)
            elif self._is_store_outdated:
                await self._pause(LAST_RETRY)
                continue
            await self._wait_for_doubt()

    async def _wait_for_doubt(self) -> None:
        """Wait until the configuration has to be read again."""
        is_small = self._find_part() is Part.ALL
        if is_small and not self._count_heard():
            self._configuration_wake = await self._wait(
                self._configuration_wake, POLL_PERIOD
            )
            return
        most, drawn_for = UNCONFIRMED_AFTER, float("-inf")
        while True:
            if is_small and drawn_for != self._configuration.confirmed_at:
                # Kept from the time before, only the latest doubts would be left.
                drawn_for = self._configuration.confirmed_at
                most = self._draw_doubt()
            left = most - self._configuration.age
            if left <= 0:
                break
            with trio.move_on_after(max(SHORTEST_LOOK, min(LOOK_PERIOD, left))):
                await self._configuration_wake.wait()
            if self._configuration_wake.is_set():
                break
        self._configuration_wake = trio.Event()

    def _draw_doubt(self) -> float:
        """Return the age of the confirmation at which this host asks for a new one.

        Who asks confirms for all that hear it, so that drawing it leaves about one in
        some tenths of the period to each of them. Made for hosts that were all started
        anew by a loss of power: polling by the clock they asked all at once, and an
        outage of the store just before the next time left their keys trusted for two
        seconds in place of four.
        """
        period = self.find_period()
        first = max(LEAST_DOUBT, period / (1 + self._count_heard()))
        first = min(first, period)
        return float(first + (period - first) * random.random() ** DOUBT_POWER)

    def _is_behind_peers(self) -> bool:
        """Return whether another host has reported a newer configuration.

        A store restored from a copy returns an older version until the operator
        writes the newer one again. Until then, reads and watches of the store must not
        confirm the older version.
        """
        return self._configuration.version < self._newest_peer_version

    def _take_operator_items(self, listing: Listing) -> bool:
        """Apply the operator's items; return whether a configuration was applied."""
        is_configured = False
        for item in listing.items:
            if item.key == CONFIGURATION_KEY:
                is_configured = self._take_configuration(item)
            else:
                self._note_operator_item(item)
        return is_configured

    def _take_configuration(self, item: Item) -> bool:
        decoded = decode_configuration(item.value)
        if isinstance(decoded, Failure):
            log.bind(reason=decoded.reason, revision=item.revision).error(
                "configuration can't be read"
            )
            return False
        self._configuration.apply(decoded)
        self._is_store_outdated = decoded.version < max(
            self._configuration.version, self._newest_peer_version
        )
        return not self._is_store_outdated

    async def poll_servers(self) -> None:
        """Read the whole list of servers for ever."""
        pause = FIRST_RETRY
        may_lag = False
        while True:
            listing = await self._store.list_items(SERVERS_PREFIX, allow_stale=may_lag)
            if isinstance(listing, Failure):
                self._servers.note_outage(trio.current_time())
                await self._pause(pause)
                pause = min(LAST_RETRY, pause * 2)
                continue
            pause = FIRST_RETRY
            has_doubt = self._take_servers(listing, may_lag=may_lag)
            if has_doubt:
                may_lag = False
                continue
            part = self._find_part()
            period = self.find_period() if part is Part.ALL else READER_PERIOD
            if part is Part.LISTENER:
                period = LAGGING_PERIOD
            self._servers_wake = await self._wait(self._servers_wake, period)
            may_lag = part is Part.LISTENER

    def _take_servers(self, listing: Listing, *, may_lag: bool) -> bool:
        """Take over a list; returns whether a current one has to be asked for."""
        decoded = [self._decode_server(item) for item in listing.items]
        records = [record for record in decoded if record is not None]
        now = trio.current_time()
        if may_lag:
            return self._servers.add(records, now)
        self._servers.replace(records, now)
        return False

    def _decode_server(self, item: Item) -> ServerRecord | None:
        """Decode a record; one that names no server is told of once, not each poll."""
        record = decode_server(item)
        if isinstance(record, ServerRecord):
            return record
        self._log_unreadable(record, "server record can't be read")
        return None

    def _log_unreadable(self, failure: Failure, event: str) -> None:
        told = self._unreadable
        if failure.reason not in told and len(told) < MOST_UNREADABLE:
            told.add(failure.reason)
            log.bind(reason=failure.reason).error(event)

    async def watch_configuration(self) -> None:
        """Follow changes of the configuration for ever."""
        self._started_at = trio.current_time()
        await self._watch(OPERATOR_PREFIX, self._note_operator_item, self._confirm)

    async def watch_servers(self) -> None:
        """Follow changes of servers' records for ever, if that is this host's part."""
        await self._watch(SERVERS_PREFIX, self._note_server)

    def _confirm(self, asked_at: float, wait: float) -> None:
        """Note that a watch came back empty.

        The store answers an empty watch after its wait only. So there was nothing
        newer until then, whenever the answer is read: a host that was frozen meanwhile
        does not take it for younger than it is.
        """
        if self._is_store_outdated or self._is_behind_peers():
            return
        now = read_boot_clock()
        waited = asked_at + wait
        self._configuration.confirm(waited if waited <= now else asked_at)

    def _note_operator_item(self, item: Item) -> None:
        if item.removed:
            # Deleting an order does not stop a rollout in progress.
            return
        if item.key == CONFIGURATION_KEY:
            self._take_configuration(item)
        elif item.key.startswith(ROLLOUTS_PREFIX):
            order = decode_rollout(item)
            if isinstance(order, Failure):
                self._log_unreadable(order, "rollout order can't be read")
            else:
                self._on_rollout(order)

    def _note_server(self, item: Item) -> None:
        if item.removed:
            # Records also lapse while the store is away: the poll decides.
            self._servers_wake.set()
            return
        record = self._decode_server(item)
        if record is not None:
            self._servers.update(record, trio.current_time())

    async def _watch(
        self,
        prefix: str,
        note: Callable[[Item], None],
        on_quiet: Callable[[float, float], None] = lambda asked_at, wait: None,
    ) -> None:
        revision = None
        era = self._watch_store.era.number
        pause = FIRST_RETRY
        while True:
            if prefix == SERVERS_PREFIX and self._find_part() is Part.LISTENER:
                revision = None
                await trio.sleep(LAGGING_PERIOD)
                continue
            if revision is None or era != self._watch_store.era.number:
                revision = await self._find_start(prefix, note)
                era = self._watch_store.era.number
            news: Listing | Failure | None = None
            asked_at = read_boot_clock()
            is_servers = prefix == SERVERS_PREFIX
            wait = WATCH_WAIT if is_servers else self._find_confirm_wait()
            if revision is not None:
                news = await self._watch_store.watch(prefix, revision, wait)
            if isinstance(news, Listing):
                pause = FIRST_RETRY
                for item in news.items:
                    note(item)
                if not news.items:
                    on_quiet(asked_at, wait)
                elif prefix == SERVERS_PREFIX:
                    await trio.sleep(find_gather_time(self._count_readers()))
                revision = max(revision or 0, news.revision)
                continue
            # The history may be gone, or the connection went silent: start anew.
            revision = None
            self._servers_wake.set()
            self._configuration_wake.set()
            is_small = self._find_part() is Part.ALL
            await self._pause(pause if is_small else CELL_WATCH_RETRY)
            pause = min(LAST_RETRY, pause * 2)

    def _find_confirm_wait(self) -> float:
        if trio.current_time() - self._started_at < STARTUP_PERIOD:
            return STARTUP_CONFIRM_WAIT
        return CONFIRM_WAITS[self._find_part()]

    async def _find_start(
        self, prefix: str, note: Callable[[Item], None]
    ) -> int | None:
        listing = await self._watch_store.list_items(prefix)
        if isinstance(listing, Failure):
            return None
        for item in listing.items:
            note(item)
        return listing.revision

    async def _wait(self, wake: trio.Event, period: float) -> trio.Event:
        with trio.move_on_after(period * random.uniform(0.9, 1.1)):
            await wake.wait()
        return trio.Event()

    async def _pause(self, seconds: float) -> None:
        await trio.sleep(seconds * random.uniform(LEAST_SPREAD, MOST_SPREAD))
