"""Follows the operator's configuration in the store.

The document may be large, so it is transferred only when it has changed. A poll asks
for the changes after the revision that the host knows, and costs as little as an empty
watch if there is none.
"""

from collections.abc import Awaitable, Callable
from enum import Enum
from functools import partial

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.configuration import Arrival, ConfigurationState, Source
from dewridge.gateway.documents.building import ConfigurationBuilder
from dewridge.gateway.documents.fetching import DocumentPeers, PeerFetcher
from dewridge.gateway.documents.parts import DocumentParts
from dewridge.gateway.documents.passing import PassedDocument
from dewridge.gateway.documents.polling import POLL_INTERVAL, PollPacing
from dewridge.gateway.documents.singletransfer import OnBegin, SingleTransfer
from dewridge.gateway.entries.faults import EntryFaults
from dewridge.gateway.model import RolloutOrder
from dewridge.ids import HostId
from dewridge.platform.configuration import split_document
from dewridge.platform.names import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    ROLLOUTS_PREFIX,
)
from dewridge.platform.rollouts import decode_rollout
from dewridge.platform.store import (
    ANSWER_TOO_LARGE,
    SHORTEST_WAIT,
    Item,
    Listing,
    Store,
)
from dewridge.policy.documentsources import LARGE_DOCUMENT_BYTES
from dewridge.sentinels import Failure

CONFIRM_WAIT = 1.5
"""Seconds that a reader's watch of the configuration waits in a large fleet. An empty
result also confirms the version for the reader's cell, which receives the confirmation
within about a second."""
WATCH_WAIT = 15.0
"""Seconds that a watch waits for changes. Each watch costs a call, and the polls cover
a watch that went silent."""
STARTUP_PERIOD = 5.0
"""Seconds after startup in which the host may not know the size of the fleet, and its
peers may not confirm the configuration for it."""
STARTUP_CONFIRM_WAIT = 3.0
"""Seconds that a watch of the configuration waits during the startup period."""
UNCONFIRMED_AFTER = 3.4
"""Age of the confirmation in seconds from which the store is polled: the watch is
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
UNKNOWN_ERA = 0
"""The era before the first answer of the store, and of a store that names none."""
MIN_JITTER = 0.5
MAX_JITTER = 1.5
"""Limits of the random factor on a delay, so that hosts that waited for the same event
do not act at the same time."""


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


class ConfigurationFollower:
    """Polls and watches the operator's items and applies the configuration.

    Attributes:
        on_watch_failed: called when a watch fails.
        fetcher: takes newer versions from peers.
    """

    def __init__(
        self,
        store: Store,
        watch_store: Store,
        configuration: ConfigurationState,
        pacing: PollPacing,
        find_role: Callable[[], StoreRole],
        on_rollout_order: Callable[[RolloutOrder], None],
        peers: DocumentPeers,
        check_start: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._check_start = check_start
        self._store = store
        self._watch_store = watch_store
        self._configuration = configuration
        self._pacing = pacing
        self._find_role = find_role
        self._on_rollout_order = on_rollout_order
        self._peers = peers
        self.fetcher = PeerFetcher(
            configuration,
            peers,
            pacing.rng,
            self._apply_passed,
            self._poll_now,
        )
        self._rollouts_revision = 0
        self._may_have_backlog = False
        self.on_watch_failed: Callable[[], None] = lambda: None
        self._revision: int | None = None
        self._era = 0
        self._document_revision = 0
        self._builder = ConfigurationBuilder()
        self._applying = trio.Lock()
        self._stored_version = 0
        self._reading = trio.Lock()
        self._transfer = SingleTransfer()
        self._wake = trio.Event()
        self._started_at = float("-inf")
        self._newest_peer_version = 0
        self._faults = EntryFaults()

    def receive_version(self, version: int, holder: HostId | None = None) -> None:
        """Record a version that a peer reports; get it now if it is newer."""
        self._newest_peer_version = max(self._newest_peer_version, version)
        if version <= self._configuration.version:
            return
        if holder is None or not self.fetcher.add_holder(holder, version):
            self._poll_now()

    def _poll_now(self) -> None:
        self._wake.set()

    async def _apply_passed(self, passed: PassedDocument) -> bool:
        """Apply a document of a peer; return False if it is not valid."""
        async with self._applying:
            parts = passed.parts
            if parts.version <= self._configuration.version:
                return True
            built = await self._builder.build(parts)
            if not isinstance(built, Failure) and built.version != parts.version:
                reason = f"version {parts.version} of a document of {built.version}"
                built = Failure(ResultCode.PLATFORM_MALFORMED, reason)
            if isinstance(built, Failure):
                log.bind(reason=built.reason).error("configuration of a peer rejected")
                return False
            arrival = Arrival(
                Source.PEER, parts.size, passed.received, read_boot_clock()
            )
            self._configuration.apply(built, arrival)
            self._peers.library.add(parts, passed.revision, passed.era)
            self._note_passed(passed)
            return True

    def _note_passed(self, passed: PassedDocument) -> None:
        """Record that the store need not send a document that a peer passed on."""
        if self._store.era.number not in {UNKNOWN_ERA, passed.era}:
            return
        if passed.revision <= self._document_revision:
            return
        self._document_revision = passed.revision
        self._stored_version = passed.parts.version
        self._revision = max(self._revision or 0, passed.revision)
        self._era = passed.era
        self._transfer.stop()

    async def poll(self) -> None:
        """Poll and confirm the configuration indefinitely."""
        retry_delay = MIN_RETRY_DELAY
        while True:
            requested_at = read_boot_clock()
            failure = await self._read()
            if failure is not None:
                await self._sleep_with_jitter(retry_delay)
                retry_delay = min(MAX_RETRY_DELAY, retry_delay * 2)
                continue
            retry_delay = MIN_RETRY_DELAY
            if self._check_start is not None:
                await self._check_start()
                self._check_start = None
            if self._stored_version and not self._is_outdated():
                self._configuration.confirm(requested_at)
            else:
                await self._sleep_with_jitter(MAX_RETRY_DELAY)
                continue
            await self._wait_until_uncertain()

    async def _wait_until_uncertain(self) -> None:
        """Wait until the store has to be polled again."""
        is_small_fleet = self._find_role() is StoreRole.ALL
        if is_small_fleet and not self._pacing.count_live_peers():
            with trio.move_on_after(POLL_INTERVAL * self._pacing.rng.uniform(0.9, 1.1)):
                await self._wake.wait()
            self._wake = trio.Event()
            return
        max_age, drawn_for = UNCONFIRMED_AFTER, float("-inf")
        while True:
            if is_small_fleet and drawn_for != self._configuration.confirmed_at:
                # Draw a new age for each confirmation. Only hosts that reach their age
                # would otherwise draw again, so that the low ages would disappear and
                # only the highest would remain.
                drawn_for = self._configuration.confirmed_at
                max_age = self._pacing.draw_recheck_age()
            remaining = max_age - self._configuration.age
            if remaining <= 0:
                break
            with trio.move_on_after(
                max(MIN_AGE_CHECK_INTERVAL, min(MAX_AGE_CHECK_INTERVAL, remaining))
            ):
                await self._wake.wait()
            if self._wake.is_set():
                break
        self._wake = trio.Event()

    async def _read(self) -> Failure | None:
        """Read and apply what has changed; everything if no revision is known.

        What a watch or another read is receiving is waited for: two transfers of a
        large document side by side would take twice as long.
        """
        while True:
            await self._transfer.wait()
            async with self._reading:
                listing = await self._receive(self._read_changes)
            if listing is ANSWER_TOO_LARGE:
                await self._skip_oversized()
            if isinstance(listing, Failure):
                return listing
            if listing is not None and self._has_revision():
                return None

    async def _receive(
        self, call: Callable[[OnBegin], Awaitable[Listing | Failure]]
    ) -> Listing | Failure | None:
        """Make a call and apply its listing; None if another one receives a large one.

        No call begins to receive a document before the last one is in force: it would
        ask for the changes after an outdated revision.
        """

        async def receive(on_begin: OnBegin) -> Listing | Failure:
            listing = await call(on_begin)
            if isinstance(listing, Listing):
                await self._apply_listing(listing)
            return listing

        return await self._transfer.run(receive, partial(self._is_at, self._revision))

    async def _ensure_revision(self) -> Failure | None:
        """Read all items unless the revision up to which they are known is known."""
        return None if self._has_revision() else await self._read()

    async def _skip_oversized(self) -> None:
        """Continue after a document that is too large to be read.

        The last valid one stays in force and confirmed. The document is looked at once
        more after the revision is known, so that a newer one is not skipped.
        """
        if not self._stored_version:
            return
        orders = await self._store.list_items(ROLLOUTS_PREFIX)
        if isinstance(orders, Failure):
            return
        current = await self._store.read(CONFIGURATION_KEY)
        if current is ANSWER_TOO_LARGE:
            log.bind(revision=orders.revision).error("configuration too large")
            await self._apply_listing(orders)
            self._rollouts_revision = max(self._rollouts_revision, orders.revision)

    def _is_at(self, revision: int | None) -> bool:
        """Return whether nothing newer than a revision has come in meanwhile."""
        return self._revision == revision

    def _has_revision(self) -> bool:
        is_same_era = self._store.era.number in {UNKNOWN_ERA, self._era}
        return self._revision is not None and is_same_era

    async def _read_changes(self, on_begin: OnBegin) -> Listing | Failure:
        revision = self._revision
        if revision is not None and self._has_revision():
            if self._configuration.version < self._newest_peer_version:
                return await self._read_document(on_begin)
            changes = await self._store.watch(
                OPERATOR_PREFIX, revision, SHORTEST_WAIT, on_begin
            )
            if isinstance(changes, Listing) or not is_compacted(changes):
                return changes
            checked = await self._check_document()
            if checked is not None:
                return checked
        return await self._list_all(on_begin)

    async def _read_document(self, on_begin: OnBegin) -> Listing | Failure:
        """Read the document alone; a watch would return all versions in between."""
        item = await self._store.read(CONFIGURATION_KEY, on_begin=on_begin)
        if isinstance(item, Failure):
            return item
        if item is None:
            return Listing((), self._revision or 0)
        return Listing((item,), item.revision)

    async def _check_document(self) -> Listing | None:
        """Ask whether the document has changed, without the history of the store."""
        if not self._document_revision:
            return None
        current = await self._store.check_revision(
            CONFIGURATION_KEY, self._document_revision
        )
        orders = await self._store.list_items(ROLLOUTS_PREFIX)
        if isinstance(current, Failure) or isinstance(orders, Failure):
            return None
        if isinstance(current, Item):
            return Listing((current, *orders.items), current.revision)
        return Listing(orders.items, min(current, orders.revision))

    async def _list_all(self, on_begin: OnBegin) -> Listing | Failure:
        listing = await self._store.list_items(OPERATOR_PREFIX, on_begin=on_begin)
        if isinstance(listing, Listing):
            self._revision = None
            self._document_revision = 0
            self._stored_version = 0
            self._rollouts_revision = listing.revision
            self._era = self._store.era.number
        return listing

    def _is_outdated(self) -> bool:
        """Return whether the store or a peer shows that the store is not current.

        A store restored from a copy returns an older version until the operator writes
        the newer one again. Until then, reads and watches of the store must not confirm
        the older version. Nor may they while a peer has a newer one, or before peers
        were asked after a start.
        """
        if self._check_start is not None:
            return True
        version = self._configuration.version
        is_older = 0 < self._stored_version < version
        return is_older or version < self._newest_peer_version

    async def _apply_listing(self, listing: Listing) -> None:
        document: Item | None = None
        for item in listing.items:
            if item.removed:
                # Deleting an order does not stop a rollout in progress.
                continue
            if item.key == CONFIGURATION_KEY:
                document = item
            elif item.key.startswith(ROLLOUTS_PREFIX):
                self._apply_order(item)
        if document is not None:
            # A watch returns all versions since its revision; only the last one counts.
            await self._apply_document(document)
        self._revision = max(self._revision or 0, listing.revision)

    async def _apply_document(self, item: Item) -> None:
        async with self._applying:
            if item.revision <= self._document_revision:
                return
            parts = split_document(item.value)
            if isinstance(parts, DocumentParts):
                parts = await self._apply_parts(parts, item.revision)
            if isinstance(parts, Failure):
                # The last valid document stays in force, as if it were the newest.
                self._document_revision = item.revision
                log.bind(reason=parts.reason, revision=item.revision).error(
                    "configuration rejected"
                )

    async def _apply_parts(
        self, parts: DocumentParts, revision: int
    ) -> DocumentParts | Failure:
        current = self._configuration.version
        if parts.version < current and not self._configuration.is_store_restored:
            reason = f"version {parts.version} after {current}"
            return Failure(ResultCode.PLATFORM_MALFORMED, reason)
        if parts.version > current:
            built = await self._builder.build(parts)
            if isinstance(built, Failure):
                return built
            size = parts.size
            arrival = Arrival(Source.STORE, size, size, read_boot_clock())
            self._configuration.apply(built, arrival)
            self._peers.library.add(parts, revision, self._era)
            self._peers.on_read(parts)
            self._may_have_backlog = size >= LARGE_DOCUMENT_BYTES
        self._document_revision = revision
        self._stored_version = parts.version
        return parts

    def _apply_order(self, item: Item) -> None:
        order = decode_rollout(item)
        if isinstance(order, RolloutOrder):
            self._on_rollout_order(order)
        else:
            self._faults.report("rollout order can't be read", order)

    async def watch(self) -> None:
        """Apply changes of the operator's items indefinitely."""
        self._started_at = trio.current_time()
        retry_delay = MIN_RETRY_DELAY
        while True:
            failure = await self._ensure_revision()
            if failure is None:
                failure = await self._watch_once()
            if failure is None:
                retry_delay = MIN_RETRY_DELAY
                continue
            if is_compacted(failure) or failure is ANSWER_TOO_LARGE:
                await self._read()
                self._rollouts_revision = self._revision or 0
            retry_delay = await self._handle_watch_failure(retry_delay)

    async def _watch_once(self) -> Failure | None:
        """Wait for changes of the orders of rollouts, and mostly of the document.

        A large document is watched by a few hosts only, which pass it on.
        """
        if not self._peers.watches_document(self._configuration.arrival.size):
            return await self._watch_rollouts(WATCH_WAIT)
        if self._may_have_backlog:
            await self._skip_backlog()
        assert self._revision is not None
        if self._rollouts_revision < self._revision:
            failure = await self._watch_rollouts(SHORTEST_WAIT)
            if failure is not None:
                return failure
        requested_at = read_boot_clock()
        wait = self._compute_watch_wait()
        changes = await self._receive(
            partial(self._watch_store.watch, OPERATOR_PREFIX, self._revision, wait)
        )
        if changes is None:
            await self._transfer.wait()
        elif isinstance(changes, Failure):
            return changes
        else:
            self._rollouts_revision = max(self._rollouts_revision, changes.revision)
            if not changes.items:
                self.confirm(requested_at, wait)
        return None

    async def _skip_backlog(self) -> None:
        """Get the current document in place of all versions of a large one.

        While a large document was received, further versions may have followed; a watch
        would return them all.
        """
        self._may_have_backlog = False
        current = await self._store.check_revision(
            CONFIGURATION_KEY, self._document_revision
        )
        if isinstance(current, int):
            self._revision = max(self._revision or 0, current)
        elif isinstance(current, Item):
            self._may_have_backlog = True
            await self._apply_document(current)
            self._revision = max(self._revision or 0, current.revision)

    async def _watch_rollouts(self, wait: float) -> Failure | None:
        revision = self._rollouts_revision
        changes = await self._watch_store.watch(ROLLOUTS_PREFIX, revision, wait)
        if isinstance(changes, Failure):
            return changes
        for item in changes.items:
            if not item.removed:
                self._apply_order(item)
        self._rollouts_revision = max(revision, changes.revision)
        return None

    async def _handle_watch_failure(self, retry_delay: float) -> float:
        """Poll in place of the watch, wait, and return the next delay in seconds."""
        self._wake.set()
        self.on_watch_failed()
        is_small_fleet = self._find_role() is StoreRole.ALL
        await self._sleep_with_jitter(
            retry_delay if is_small_fleet else CELL_WATCH_RETRY_DELAY
        )
        return min(MAX_RETRY_DELAY, retry_delay * 2)

    def confirm(self, requested_at: float, wait: float) -> None:
        """Confirm the configuration after a watch that returned no change.

        The store answers such a watch only after its wait, so nothing was newer until
        then. The time of the confirmation does not depend on when the answer is read:
        otherwise a host that was suspended meanwhile would treat it as too recent.
        """
        if self._is_outdated():
            return
        now = read_boot_clock()
        earliest_answer_at = requested_at + wait
        self._configuration.confirm(
            earliest_answer_at if earliest_answer_at <= now else requested_at
        )

    def _compute_watch_wait(self) -> float:
        if trio.current_time() - self._started_at < STARTUP_PERIOD:
            return STARTUP_CONFIRM_WAIT
        return CONFIRM_WAITS[self._find_role()]

    async def _sleep_with_jitter(self, seconds: float) -> None:
        await trio.sleep(seconds * self._pacing.rng.uniform(MIN_JITTER, MAX_JITTER))


def is_compacted(failure: Failure) -> bool:
    """Return whether the store no longer has the history that was asked for."""
    return failure.code is ResultCode.KEY_VALUE_COMPACTED
