"""Takes newer versions of the configuration from peers that have them."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.documents.parts import DocumentParts
from dewridge.gateway.documents.passing import (
    DocumentLibrary,
    FetchFailure,
    PassedDocument,
    fetch_document,
)
from dewridge.gateway.hosts import HostEntry
from dewridge.ids import HostId
from dewridge.policy.documentsources import PEER_TIME, Holder, choose_holder

BUSY_RETRY_DELAY = 0.1
"""Mean seconds until a peer is asked again if those asked send to others: about the
time of a transfer."""


@dataclass
class DocumentPeers:
    """What the following of the configuration needs of the other hosts.

    Attributes:
        library: the documents that this host passes on.
        find_entry: returns the registration of a peer that passes documents on.
        watches_document: returns whether this host watches a document of some bytes.
        on_read: called with each newer document that was read from the store.
    """

    library: DocumentLibrary = field(default_factory=DocumentLibrary)
    find_entry: Callable[[HostId], HostEntry | None] = lambda host: None
    watches_document: Callable[[int], bool] = lambda size: True
    on_read: Callable[[DocumentParts], None] = lambda parts: None


class PeerFetcher:
    """Takes the newest version from the peers that are known to have it."""

    def __init__(
        self,
        configuration: ConfigurationState,
        peers: DocumentPeers,
        rng: random.Random,
        apply: Callable[[PassedDocument], Awaitable[bool]],
        ask_store: Callable[[], None],
    ) -> None:
        """Create a fetcher.

        Args:
            configuration: the configuration in force.
            peers: the other hosts.
            rng: random generator.
            apply: applies a document; returns False if it is not valid.
            ask_store: has the store polled, as no peer has sent the version.
        """
        self._configuration = configuration
        self._peers = peers
        self._rng = rng
        self._apply = apply
        self._ask_store = ask_store
        self._holders: dict[HostId, int] = {}
        self._notified = trio.Event()

    def add_holder(self, holder: HostId, version: int) -> bool:
        """Have a version taken from peers; return False if the holder is not known."""
        if self._peers.find_entry(holder) is None:
            return False
        self._holders[holder] = version
        self._notified.set()
        return True

    async def run(self) -> None:
        """Take newer versions from peers indefinitely."""
        while True:
            await self._notified.wait()
            self._notified = trio.Event()
            await self._fetch_newest()
            if any(
                held > self._configuration.version for held in self._holders.values()
            ):
                self._ask_store()

    def _has_newer(self) -> bool:
        version = self._configuration.version
        return any(held > version for held in self._holders.values())

    async def _fetch_newest(self) -> None:
        started_at = trio.current_time()
        asked: set[HostId] = set()
        while trio.current_time() - started_at < PEER_TIME:
            entry = self._choose_peer(asked)
            if entry is None:
                return
            passed = await fetch_document(entry, self._peers.library.newest)
            if passed is FetchFailure.BUSY:
                await trio.sleep(BUSY_RETRY_DELAY * self._rng.uniform(0.5, 1.5))
            elif isinstance(passed, FetchFailure) or not await self._apply(passed):
                asked.add(entry.id)

    def _choose_peer(self, asked: set[HostId]) -> HostEntry | None:
        """Return a peer that has a newer version; None if no more are to be asked."""
        version = self._configuration.version
        self._holders = {
            host: held for host, held in self._holders.items() if held > version
        }
        entries = {host: self._peers.find_entry(host) for host in self._holders}
        holders = [
            Holder(host, entry.link_mbps)
            for host, entry in entries.items()
            if entry is not None
        ]
        holder = choose_holder(holders, asked, self._rng)
        return None if holder is None else entries[holder.host]
