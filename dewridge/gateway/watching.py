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
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace

import trio

from dewridge.codes import ResultCode
from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.documents.fetching import DocumentPeers
from dewridge.gateway.documents.following import (
    CELL_WATCH_RETRY_DELAY,
    MAX_JITTER,
    MAX_RETRY_DELAY,
    MIN_JITTER,
    MIN_RETRY_DELAY,
    WATCH_WAIT,
    ConfigurationFollower,
    StoreRole,
)
from dewridge.gateway.documents.polling import PollPacing
from dewridge.gateway.entries.faults import EntryFaults
from dewridge.gateway.mirrors import ListMirror
from dewridge.gateway.model import RolloutOrder, ServerRecord
from dewridge.gateway.servers import ServerTable
from dewridge.gateway.versions.freshness import ConfirmedBy, VersionView
from dewridge.ids import BackendServerId, Registration
from dewridge.platform.names import SERVERS_PREFIX
from dewridge.platform.servers import decode_server
from dewridge.platform.store import Item, Listing, Store
from dewridge.policy.serverregistrations import RegistrationDating
from dewridge.sentinels import Failure

READER_POLL_INTERVAL = 2.0
"""Seconds between two polls of the servers by a reader of a large fleet. Its watch
brings changes at once, and reports of other readers cover a watch that went silent."""
LISTENER_POLL_INTERVAL = 2.0
"""Seconds between two cheaper reads of the servers by a listener: half of the time that
a new server takes to start."""
BATCH_DELAY = 0.1
"""Seconds between two watches of the servers. The servers of a failure domain join and
leave within this time, and without the delay each of them would cost each host a call.
Hosts wake at different times, and the first one reports to the other hosts."""
MAX_BATCH_DELAY = 1.0
"""Upper limit on the delay in seconds if many hosts are readers. This is half of the
time within which all hosts must know of a leaving server, in case only one reader is
left."""
MAX_RECHECK_DELAY = 0.1
"""Seconds over which hosts spread the reads that follow an outage of the store."""
MAX_REQUESTED_SERVERS = 1_000
"""Servers for which the list was read once since a peer named them. A server that only
the peer knows, because it left long ago, does not cause further reads."""


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


class StoreWatcher:
    """Polls and watches the store and applies the results to the tables.

    After a start or an event, all hosts poll the servers at the same moment. Each then
    draws when its next poll is due, so that the polls spread over the period again.

    Attributes:
        configuration: follows the operator's items.
        pacing: computes the times between polls.
    """

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
        peers: DocumentPeers | None = None,
        version_view: VersionView | None = None,
        check_start: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._rng = rng
        self._version_view = version_view or VersionView()
        self._count_readers = count_readers
        self._find_role = find_role
        self._watch_store = watch_store
        self._servers = servers
        self.pacing = PollPacing(count_hosts, count_live_peers, reads_per_second, rng)
        self.configuration = ConfigurationFollower(
            store,
            watch_store,
            configuration,
            self.pacing,
            find_role,
            on_rollout_order,
            peers or DocumentPeers(),
            check_start,
        )
        self._server_list = ListMirror(store, SERVERS_PREFIX)
        self._servers_wake = trio.Event()
        self.configuration.on_watch_failed = self.wake_servers
        self._faults = EntryFaults()
        self._dating = RegistrationDating(servers.outages.heartbeat)
        self._is_server_list_outdated = False
        self._is_poll_in_step = True
        self._requested_servers: set[BackendServerId] = set()
        store.on_outcome = watch_store.on_outcome = self._record_outcome

    def _record_outcome(self, is_answered: bool) -> None:
        now = trio.current_time()
        self._servers.outages.record_call(now, is_answered=is_answered)

    def wake_servers(self) -> None:
        """Have the list of servers read now."""
        self._servers_wake.set()

    def receive_servers(self, servers: Iterable[BackendServerId]) -> None:
        """Record the servers that a peer uses; read the current list if one is unknown.

        The cheaper reads of a listener may lack a server for seconds after its start,
        in particular while the store loses its history. The readers use it by then, and
        after a reclaim the other hosts refuse requests for which it has room.
        """
        unknown = [
            server
            for server in servers
            if not self._servers.has_known(server)
            and server not in self._requested_servers
        ]
        if not unknown:
            return
        if len(self._requested_servers) > MAX_REQUESTED_SERVERS:
            self._requested_servers.clear()
        self._requested_servers.update(unknown)
        self.request_current_list()

    def request_current_list(self) -> None:
        """Have the current list of servers read now, also by a listener."""
        self._is_server_list_outdated = True
        self._servers_wake.set()

    async def poll_servers(self) -> None:
        """Poll the complete list of servers indefinitely."""
        retry_delay = MIN_RETRY_DELAY
        may_lag = False
        while True:
            requested_at = read_boot_clock()
            began_at = trio.current_time()
            read = await self._server_list.read(may_lag=may_lag)
            if isinstance(read, Failure):
                await self._sleep_with_jitter(retry_delay)
                retry_delay = min(MAX_RETRY_DELAY, retry_delay * 2)
                continue
            retry_delay = MIN_RETRY_DELAY
            self._record_replaced(read.replaced)
            needs_current_list = self._apply_server_listing(
                read.listing, began_at, may_lag=read.may_lag
            )
            if needs_current_list:
                may_lag = False
                continue
            if not read.may_lag:
                self._version_view.confirm(
                    requested_at, ConfirmedBy.STORE, has_history=read.has_history
                )
            role = self._find_role()
            period = (
                self.pacing.compute_interval()
                if role is StoreRole.ALL
                else READER_POLL_INTERVAL
            )
            if role is StoreRole.LISTENER:
                period = LISTENER_POLL_INTERVAL
            self._servers_wake = await self._wait_for_wake(self._servers_wake, period)
            may_lag = (
                role is StoreRole.LISTENER
                and not self._is_server_list_outdated
                and self._servers.recheck_at is None
            )
            self._is_server_list_outdated = False

    def _apply_server_listing(
        self, listing: Listing, requested_at: float, *, may_lag: bool
    ) -> bool:
        """Apply a list of servers; return whether a current list has to be read."""
        now = trio.current_time()
        listed_at = float("-inf")
        if not may_lag:
            listed_at = requested_at
            era = self._watch_store.era.number
            self._dating.record_list(era, listing.revision, now)
        decoded = [self._decode_server(item, listed_at) for item in listing.items]
        records = [record for record in decoded if record is not None]
        if may_lag:
            return self._servers.merge_stale_list(records, now)
        self._servers.apply_full_list(records, now, requested_at)
        return False

    def _record_replaced(self, items: Iterable[Item]) -> None:
        """Record servers that the list does not show, though they had a record."""
        now = trio.current_time()
        for item in items:
            record = self._decode_server(item)
            if record is not None:
                self._servers.record_replaced(record, now)

    def _decode_server(
        self, item: Item, listed_at: float = float("-inf")
    ) -> ServerRecord | None:
        """Decode a record; log an invalid one once instead of at each poll.

        Args:
            item: the record.
            listed_at: monotonic time at which the list that it is from was requested,
                if the list was current then.
        """
        record = decode_server(item)
        if isinstance(record, ServerRecord):
            era = self._watch_store.era.number
            now = trio.current_time()
            return replace(
                record,
                registration=Registration(era, item.created_revision),
                is_dated=self._dating.is_dated(era, item.revision, now, listed_at),
            )
        self._faults.report("server record can't be read", record)
        return None

    async def watch_servers(self) -> None:
        """Apply changes of server records indefinitely, except on a listener."""
        revision = None
        era = self._watch_store.era.number
        retry_delay = MIN_RETRY_DELAY
        while True:
            if self._find_role() is StoreRole.LISTENER:
                revision = None
                await trio.sleep(LISTENER_POLL_INTERVAL)
                continue
            if revision is None or era != self._watch_store.era.number:
                revision = await self._read_start_revision()
                era = self._watch_store.era.number
            changes: Listing | Failure | None = None
            requested_at = read_boot_clock()
            if revision is not None:
                changes = await self._watch_store.watch(
                    SERVERS_PREFIX, revision, WATCH_WAIT
                )
            if isinstance(changes, Listing):
                retry_delay = MIN_RETRY_DELAY
                for item in changes.items:
                    self._apply_server_item(item)
                self._confirm_versions(
                    requested_at if changes.items else requested_at + WATCH_WAIT,
                    requested_at,
                )
                if changes.items:
                    await trio.sleep(draw_batch_delay(self._count_readers(), self._rng))
                revision = max(revision or 0, changes.revision)
                continue
            if changes is not None and changes.code is ResultCode.KEY_VALUE_COMPACTED:
                # After any other failure the next watch shows what came and went.
                revision = None
            self._servers_wake.set()
            is_small_fleet = self._find_role() is StoreRole.ALL
            await self._sleep_with_jitter(
                retry_delay if is_small_fleet else CELL_WATCH_RETRY_DELAY
            )
            retry_delay = min(MAX_RETRY_DELAY, retry_delay * 2)

    def _apply_server_item(self, item: Item) -> None:
        if item.removed:
            # Records also lapse during an outage of the store, so the poll decides.
            self._servers_wake.set()
            return
        record = self._decode_server(item)
        if record is not None:
            self._servers.update(record, trio.current_time())

    def _confirm_versions(self, at: float, requested_at: float) -> None:
        """Record that this host knew all servers, and so all versions, at a time.

        Args:
            at: the earliest time at which the store can have answered.
            requested_at: when it was asked, for an answer that came before that.
        """
        confirmed_at = at if at <= read_boot_clock() else requested_at
        self._version_view.confirm(confirmed_at, ConfirmedBy.STORE)

    async def _read_start_revision(self) -> int | None:
        requested_at = read_boot_clock()
        began_at = trio.current_time()
        listing = await self._watch_store.list_items(SERVERS_PREFIX)
        if isinstance(listing, Failure):
            return None
        # No watch shows what was removed before this revision.
        self._apply_server_listing(listing, began_at, may_lag=False)
        if self._servers.recheck_at is not None:
            self._servers_wake.set()
        self._version_view.confirm(requested_at, ConfirmedBy.STORE, has_history=False)
        return listing.revision

    async def _wait_for_wake(self, wake: trio.Event, period: float) -> trio.Event:
        if self._is_poll_in_step:
            # While watches are silent, only the polls of all hosts are often enough.
            period *= self._rng.random()
        wake_at = trio.current_time() + period * self._rng.uniform(0.9, 1.1)
        recheck_at = self._servers.recheck_at
        if recheck_at is not None:
            delay = self._rng.uniform(0.0, MAX_RECHECK_DELAY)
            wake_at = min(wake_at, recheck_at + delay)
        with trio.move_on_at(wake_at):
            await wake.wait()
        self._is_poll_in_step = wake.is_set()
        return trio.Event()

    async def _sleep_with_jitter(self, seconds: float) -> None:
        await trio.sleep(seconds * self._rng.uniform(MIN_JITTER, MAX_JITTER))
