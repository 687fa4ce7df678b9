"""Updates of the configuration and the list of servers from the store.

In a small fleet every host polls and watches everything. The polls guarantee how
outdated a host may be, since each one confirms the configuration in force; watches only
bring changes earlier. In a large fleet, the calls for this would cost more than the
requests are worth. There a host confirms the configuration by watches that return no
change, and only some hosts, the readers, follow the servers. The other hosts, the
listeners, receive reports of leaving servers from the readers, and find new servers by
cheaper reads that may return outdated data.
"""

import random
from collections.abc import Callable, Iterable
from enum import Enum

import trio
from loguru import logger as log

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.model import RolloutOrder, ServerRecord
from dewridge.gateway.servers import ServerTable
from dewridge.ids import BackendServerId
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

POLL_INTERVAL = 1.5
"""Seconds between two polls of a host without live peers. Watches bring most changes at
once; polls alone still meet the limit of 2 s that operators rely on."""
MAX_PERIOD_FACTOR = 2.4
"""Maximum factor by which the poll period grows with the number of live peers.

The polls of each host serve all hosts, which report their version to each other within
0.2 s. With the watches of all hosts silent, nine hosts that each poll every 3.5 s leave
1.5 s without a poll once in a hundred times. Polls cost 2% of the benefit of a day's
requests when each host used the shortest period."""
HOSTS_PER_EXTRA_PERIOD = 6.0
"""Live peers for each further `POLL_INTERVAL` that is added to the poll period."""
MIN_RECHECK_AGE = 0.6
"""Age of a confirmation in seconds below which no host asks for a new one."""
RECHECK_AGE_EXPONENT = 1.5
"""Exponent that shifts the random recheck ages towards lower ones. With a uniform
distribution, nine hosts left the configuration unconfirmed for two seconds once in two
hundred times; with this exponent once in ten thousand, for a third more calls."""
POLL_READ_SHARE = 0.3
"""Share of the store's reads per second available to the polls of all hosts."""
POLLS_PER_PERIOD = 3
"""Polls of each host in one poll period: configuration, servers and hosts."""
READER_POLL_INTERVAL = 2.0
"""Seconds between two polls of the servers by a reader of a large fleet. Its watch
brings changes at once, and reports of other readers cover a watch that went silent."""
LISTENER_POLL_INTERVAL = 2.0
"""Seconds between two cheaper reads of the servers by a listener: half of the time that
a new server takes to start."""
CONFIRM_WAIT = 1.5
"""Seconds that a reader's watch of the configuration waits in a large fleet. An empty
result also confirms the version for the reader's cell, which receives the confirmation
within about a second."""
STARTUP_PERIOD = 5.0
"""Seconds after startup in which the host may not know the size of the fleet, and its
peers may not confirm the configuration for it."""
STARTUP_CONFIRM_WAIT = 3.0
"""Seconds that a watch of the configuration waits during the startup period."""
UNCONFIRMED_AFTER = 3.4
"""Age of the confirmation in seconds from which the configuration is read: the watch is
stuck, or the cell's reader sends no confirmation. Keys are refused from 4 s on."""
MAX_AGE_CHECK_INTERVAL = 0.2
MIN_AGE_CHECK_INTERVAL = 0.01
"""Maximum and minimum seconds between two checks of the age of the confirmation."""
MIN_RETRY_DELAY = 0.1
MAX_RETRY_DELAY = 0.5
"""Seconds until a failed call is retried: the first delay, and the limit up to which it
doubles. Each delay varies by up to half of it either way. Hosts that retry at the same
time after an outage would exceed the store's rates."""
CELL_WATCH_RETRY_DELAY = 1.0
"""Seconds until a failed watch is retried in a large fleet. The configuration is polled
meanwhile, and each retry costs a call."""
BATCH_DELAY = 0.1
"""Seconds between two watches of the servers. The servers of a failure domain join and
leave within this time, and without the delay each of them would cost each host a call.
Hosts wake at different times, and the first one reports to the other hosts."""
MAX_BATCH_DELAY = 1.0
"""Upper limit on the delay in seconds if many hosts are readers. This is half of the
time within which all hosts must know of a leaving server, in case only one reader is
left."""
MIN_JITTER = 0.5
MAX_JITTER = 1.5
"""Limits of the random factor on a delay, so that hosts that waited for the same event
do not act at the same time."""
MAX_REQUESTED_SERVERS = 1_000
"""Servers for which the list was read once since a peer named them. A server that only
the peer knows, because it left long ago, does not cause further reads."""
MAX_LOGGED_REASONS = 200
"""Maximum number of different reasons for unreadable records that a process logs:
enough to find the writer, and a limit on lines and memory if records change often."""
WATCH_WAIT = 15.0
"""Seconds that a watch waits for changes. Each watch costs a call, and the polls cover
a watch that went silent."""


def draw_batch_delay(readers: int, rng: random.Random) -> float:
    """Return a delay in seconds before the next watch after one that returned changes.

    In a fleet whose servers join and leave all the time, each change would wake each
    reader, up to ten times a second. As readers report changes to each other, together
    they need to watch only as often as a single reader. So the mean delay grows with
    the number of readers, and is drawn at random if there are several.
    """
    if readers == 1:
        return BATCH_DELAY
    mean_delay = min(MAX_BATCH_DELAY / MAX_JITTER, BATCH_DELAY * readers)
    return mean_delay * rng.uniform(MIN_JITTER, MAX_JITTER)


class StoreRole(Enum):
    """Which data a host has to read from the store itself."""

    ALL = "all"
    """In a small fleet: the configuration and the servers, for itself."""
    READER = "reader"
    """In a large fleet: the configuration and the servers, for other hosts too."""
    LISTENER = "listener"
    """In a large fleet: the configuration, and servers by reads that may lag."""


CONFIRM_WAITS = {
    StoreRole.ALL: WATCH_WAIT,
    StoreRole.READER: CONFIRM_WAIT,
    StoreRole.LISTENER: WATCH_WAIT,
}
"""Seconds that a watch of the configuration waits after the startup period."""


class StoreWatcher:
    """Polls and watches the store and applies the results to the tables."""

    def __init__(
        self,
        store: Store,
        watch_store: Store,
        configuration: ConfigurationState,
        servers: ServerTable,
        count_hosts: Callable[[], int],
        reads_per_second: float,
        rng: random.Random,
        find_role: Callable[[], StoreRole] = lambda: StoreRole.ALL,
        count_live_peers: Callable[[], int] = lambda: 0,
        count_readers: Callable[[], int] = lambda: 1,
        on_rollout_order: Callable[[RolloutOrder], None] = lambda order: None,
    ) -> None:
        self._rng = rng
        self._on_rollout_order = on_rollout_order
        self._count_readers = count_readers
        self._find_role = find_role
        self._count_live_peers = count_live_peers
        self._store = store
        self._watch_store = watch_store
        self._configuration = configuration
        self._servers = servers
        self._count_hosts = count_hosts
        self._reads_per_second = reads_per_second
        self._servers_wake = trio.Event()
        self._configuration_wake = trio.Event()
        self._logged_reasons: set[str] = set()
        self.revision = 0
        self._started_at = float("-inf")
        self._is_store_outdated = False
        self._newest_peer_version = 0
        self._is_server_list_outdated = False
        self._requested_servers: set[BackendServerId] = set()

    def compute_poll_interval(self) -> float:
        """Return the seconds between polls.

        The period grows with the number of live peers, and keeps the polls of all hosts
        together within their share of the store's reads.
        """
        polls = POLLS_PER_PERIOD * self._count_hosts()
        factor = min(
            MAX_PERIOD_FACTOR, 1 + self._count_live_peers() / HOSTS_PER_EXTRA_PERIOD
        )
        min_period = polls / (POLL_READ_SHARE * self._reads_per_second)
        return max(POLL_INTERVAL * factor, min_period)

    def receive_version(self, version: int) -> None:
        """Record a version that a peer reports; read the store now if it is newer."""
        current = self._configuration.current
        self._newest_peer_version = max(self._newest_peer_version, version)
        if current is None or version > current.version:
            self._configuration_wake.set()

    def receive_servers(self, servers: Iterable[BackendServerId]) -> None:
        """Record the servers that a peer uses; read the current list if one is unknown.

        The cheaper reads of a listener may lack a server for seconds after its start,
        in particular while the store loses its history. The readers use it by then, and
        after a reclaim the other hosts refuse requests for which it has room.
        """
        unknown = [
            server
            for server in servers
            if self._servers.find(server) is None
            and self._servers.find_departure(server) is None
            and server not in self._requested_servers
        ]
        if not unknown:
            return
        if len(self._requested_servers) > MAX_REQUESTED_SERVERS:
            self._requested_servers.clear()
        self._requested_servers.update(unknown)
        self._is_server_list_outdated = True
        self._servers_wake.set()

    async def poll_configuration(self) -> None:
        """Poll and confirm the configuration indefinitely."""
        retry_delay = MIN_RETRY_DELAY
        while True:
            requested_at = read_boot_clock()
            listing = await self._store.list_items(OPERATOR_PREFIX)
            if isinstance(listing, Failure):
                await self._sleep_with_jitter(retry_delay)
                retry_delay = min(MAX_RETRY_DELAY, retry_delay * 2)
                continue
            retry_delay = MIN_RETRY_DELAY
            if self._apply_operator_listing(listing):
                self._configuration.confirm(requested_at)
            elif self._is_store_outdated:
                await self._sleep_with_jitter(MAX_RETRY_DELAY)
                continue
            await self._wait_until_uncertain()

    async def _wait_until_uncertain(self) -> None:
        """Wait until the configuration has to be read again."""
        is_small_fleet = self._find_role() is StoreRole.ALL
        if is_small_fleet and not self._count_live_peers():
            self._configuration_wake = await self._wait_for_wake(
                self._configuration_wake, POLL_INTERVAL
            )
            return
        max_age, drawn_for = UNCONFIRMED_AFTER, float("-inf")
        while True:
            if is_small_fleet and drawn_for != self._configuration.confirmed_at:
                # Draw a new age for each confirmation. Only hosts that reach their age
                # would otherwise draw again, so that the low ages would disappear and
                # only the highest would remain.
                drawn_for = self._configuration.confirmed_at
                max_age = self._draw_recheck_age()
            remaining = max_age - self._configuration.age
            if remaining <= 0:
                break
            with trio.move_on_after(
                max(MIN_AGE_CHECK_INTERVAL, min(MAX_AGE_CHECK_INTERVAL, remaining))
            ):
                await self._configuration_wake.wait()
            if self._configuration_wake.is_set():
                break
        self._configuration_wake = trio.Event()

    def _draw_recheck_age(self) -> float:
        """Return a random age of the confirmation at which to ask for a new one.

        A host that asks also confirms the version for the peers that receive its
        reports. With random ages the reads are spread over the period, and each host
        makes only a small share of them. Hosts that restarted together after a power
        loss and polled at fixed intervals all asked at the same time. An outage of the
        store just before the next poll then left their keys trusted for two seconds
        instead of four.
        """
        period = self.compute_poll_interval()
        min_age = max(MIN_RECHECK_AGE, period / (1 + self._count_live_peers()))
        min_age = min(min_age, period)
        return float(
            min_age + (period - min_age) * self._rng.random() ** RECHECK_AGE_EXPONENT
        )

    def _is_behind_peers(self) -> bool:
        """Return whether another host has reported a newer configuration.

        A store restored from a copy returns an older version until the operator
        writes the newer one again. Until then, reads and watches of the store must not
        confirm the older version.
        """
        return self._configuration.version < self._newest_peer_version

    def _apply_operator_listing(self, listing: Listing) -> bool:
        """Apply the operator's items; return whether a configuration was applied."""
        is_configured = False
        for item in listing.items:
            if item.key == CONFIGURATION_KEY:
                is_configured = self._apply_configuration(item)
            else:
                self._apply_operator_item(item)
        return is_configured

    def _apply_configuration(self, item: Item) -> bool:
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
        """Poll the complete list of servers indefinitely."""
        retry_delay = MIN_RETRY_DELAY
        may_lag = False
        while True:
            listing = await self._store.list_items(SERVERS_PREFIX, allow_stale=may_lag)
            if isinstance(listing, Failure):
                self._servers.record_outage(trio.current_time())
                await self._sleep_with_jitter(retry_delay)
                retry_delay = min(MAX_RETRY_DELAY, retry_delay * 2)
                continue
            retry_delay = MIN_RETRY_DELAY
            needs_current_list = self._apply_server_listing(listing, may_lag=may_lag)
            if needs_current_list:
                may_lag = False
                continue
            role = self._find_role()
            period = (
                self.compute_poll_interval()
                if role is StoreRole.ALL
                else READER_POLL_INTERVAL
            )
            if role is StoreRole.LISTENER:
                period = LISTENER_POLL_INTERVAL
            self._servers_wake = await self._wait_for_wake(self._servers_wake, period)
            may_lag = role is StoreRole.LISTENER and not self._is_server_list_outdated
            self._is_server_list_outdated = False

    def _apply_server_listing(self, listing: Listing, *, may_lag: bool) -> bool:
        """Apply a list of servers; return whether a current list has to be read."""
        decoded = [self._decode_server(item) for item in listing.items]
        records = [record for record in decoded if record is not None]
        now = trio.current_time()
        if may_lag:
            return self._servers.merge_stale_list(records, now)
        self._servers.apply_full_list(records, now)
        return False

    def _decode_server(self, item: Item) -> ServerRecord | None:
        """Decode a record; log an invalid one once instead of at each poll."""
        record = decode_server(item)
        if isinstance(record, ServerRecord):
            return record
        self._log_unreadable(record, "server record can't be read")
        return None

    def _log_unreadable(self, failure: Failure, event: str) -> None:
        logged = self._logged_reasons
        if failure.reason not in logged and len(logged) < MAX_LOGGED_REASONS:
            logged.add(failure.reason)
            log.bind(reason=failure.reason).error(event)

    async def watch_configuration(self) -> None:
        """Apply changes of the configuration indefinitely."""
        self._started_at = trio.current_time()
        await self._watch(OPERATOR_PREFIX, self._apply_operator_item, self._confirm)

    async def watch_servers(self) -> None:
        """Apply changes of server records indefinitely, except on a listener."""
        await self._watch(SERVERS_PREFIX, self._apply_server_item)

    def _confirm(self, requested_at: float, wait: float) -> None:
        """Confirm the configuration after a watch that returned no change.

        The store answers such a watch only after its wait, so nothing was newer until
        then. The time of the confirmation does not depend on when the answer is read:
        otherwise a host that was suspended meanwhile would treat it as too recent.
        """
        if self._is_store_outdated or self._is_behind_peers():
            return
        now = read_boot_clock()
        earliest_answer_at = requested_at + wait
        self._configuration.confirm(
            earliest_answer_at if earliest_answer_at <= now else requested_at
        )

    def _apply_operator_item(self, item: Item) -> None:
        if item.removed:
            # Deleting an order does not stop a rollout in progress.
            return
        if item.key == CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif item.key.startswith(ROLLOUTS_PREFIX):
            order = decode_rollout(item)
            if isinstance(order, Failure):
                self._log_unreadable(order, "rollout order can't be read")
            else:
                self._on_rollout_order(order)

    def _apply_server_item(self, item: Item) -> None:
        if item.removed:
            # Records also lapse during an outage of the store, so the poll decides.
            self._servers_wake.set()
            return
        record = self._decode_server(item)
        if record is not None:
            self._servers.update(record, trio.current_time())

    async def _watch(
        self,
        prefix: str,
        apply_item: Callable[[Item], None],
        on_empty: Callable[[float, float], None] = lambda requested_at, wait: None,
    ) -> None:
        revision = None
        era = self._watch_store.era.number
        retry_delay = MIN_RETRY_DELAY
        while True:
            if prefix == SERVERS_PREFIX and self._find_role() is StoreRole.LISTENER:
                revision = None
                await trio.sleep(LISTENER_POLL_INTERVAL)
                continue
            if revision is None or era != self._watch_store.era.number:
                revision = await self._read_start_revision(prefix, apply_item)
                era = self._watch_store.era.number
            changes: Listing | Failure | None = None
            requested_at = read_boot_clock()
            is_servers = prefix == SERVERS_PREFIX
            wait = WATCH_WAIT if is_servers else self._compute_confirm_wait()
            if revision is not None:
                changes = await self._watch_store.watch(prefix, revision, wait)
            if isinstance(changes, Listing):
                retry_delay = MIN_RETRY_DELAY
                for item in changes.items:
                    apply_item(item)
                if not changes.items:
                    on_empty(requested_at, wait)
                elif prefix == SERVERS_PREFIX:
                    await trio.sleep(draw_batch_delay(self._count_readers(), self._rng))
                revision = max(revision or 0, changes.revision)
                continue
            # The history may be compacted, or the connection went silent: start again.
            revision = None
            self._servers_wake.set()
            self._configuration_wake.set()
            is_small_fleet = self._find_role() is StoreRole.ALL
            await self._sleep_with_jitter(
                retry_delay if is_small_fleet else CELL_WATCH_RETRY_DELAY
            )
            retry_delay = min(MAX_RETRY_DELAY, retry_delay * 2)

    def _compute_confirm_wait(self) -> float:
        if trio.current_time() - self._started_at < STARTUP_PERIOD:
            return STARTUP_CONFIRM_WAIT
        return CONFIRM_WAITS[self._find_role()]

    async def _read_start_revision(
        self, prefix: str, apply_item: Callable[[Item], None]
    ) -> int | None:
        listing = await self._watch_store.list_items(prefix)
        if isinstance(listing, Failure):
            return None
        for item in listing.items:
            apply_item(item)
        return listing.revision

    async def _wait_for_wake(self, wake: trio.Event, period: float) -> trio.Event:
        with trio.move_on_after(period * self._rng.uniform(0.9, 1.1)):
            await wake.wait()
        return trio.Event()

    async def _sleep_with_jitter(self, seconds: float) -> None:
        await trio.sleep(seconds * self._rng.uniform(MIN_JITTER, MAX_JITTER))
