"""The versions at which streams began, as far as this host knows them."""

from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from dewridge.gateway.model import ServerRecord
from dewridge.gateway.versions.freshness import VersionView
from dewridge.ids import (
    BackendServerId,
    Release,
    ServiceName,
    StreamKey,
)
from dewridge.policy.streamversions import (
    RETENTION,
    Origin,
    OriginSource,
    ReleaseHistory,
    SeenRelease,
    StreamLedger,
)
from dewridge.sentinels import Failure

Streams = dict[StreamKey, Release]


@dataclass(frozen=True, slots=True)
class PeerKnowledge:
    """What the other hosts know of a stream.

    Attributes:
        origin: where it began; None if none of them knows.
        silent: number of hosts that did not answer.
        has_several: whether one of them has seen several versions of the service.
    """

    origin: Origin | None
    silent: int = 0
    has_several: bool = False


AskPeers = Callable[[ServiceName, StreamKey], Awaitable[PeerKnowledge]]


FindStored = Callable[[ServiceName, StreamKey], Awaitable[Origin | Failure | None]]


async def find_nothing_stored(
    service: ServiceName, stream: StreamKey
) -> Origin | Failure | None:
    """Answer for a host without a store."""
    return None


async def find_no_servers(needed: Release | ServiceName) -> None:
    """Find no further servers, for a host without peers."""


async def ask_nobody(service: ServiceName, stream: StreamKey) -> PeerKnowledge:
    """Answer for a host without peers."""
    return PeerKnowledge(None)


@dataclass
class StreamVersions:
    """The streams of this host, those that it keeps for peers, and recent versions.

    Attributes:
        history: the versions that had servers recently.
        view: when this host last certainly knew all versions.
        ledger: versions of the streams of this host and of its peers.
        doubtful_servers: servers that were unreachable, and may be another process now.
        confirmed_servers: time on the boot clock at which a server was last asked, and
            was still the process of its record.
        on_due: called when there are streams that other hosts have to keep.
        on_mixed: called regularly while a service has several versions.
        on_new: called when a version is seen the first time.
        check_replicas: called regularly, to find out whether other hosts have to keep
            the running streams.
    """

    history: ReleaseHistory
    view: VersionView = field(default_factory=VersionView)
    ledger: StreamLedger = field(default_factory=StreamLedger)
    doubtful_servers: set[BackendServerId] = field(default_factory=set)
    confirmed_servers: dict[BackendServerId, float] = field(default_factory=dict)
    on_due: Callable[[], None] = lambda: None
    on_mixed: Callable[[], None] = lambda: None
    on_new: Callable[[], None] = lambda: None
    check_replicas: Callable[[], None] = lambda: None
    _running: dict[ServiceName, Streams] = field(
        default_factory=lambda: defaultdict(dict)
    )
    _unsent: dict[ServiceName, Streams] = field(
        default_factory=lambda: defaultdict(dict)
    )

    def record_servers(self, servers: Iterable[ServerRecord], now: float) -> None:
        """Record that servers serve now, or did until now."""
        services = {server.service for server in servers}
        added = [
            self.history.record(server.service, server.version, now)
            for server in servers
        ]
        if any(added):
            self.on_new()
        self._notify_mixed(services, now)

    def merge(self, releases: Iterable[SeenRelease], now: float) -> None:
        """Record versions that a peer has seen."""
        added = [seen for seen in releases if self.history.merge(seen, now)]
        if added:
            self.on_new()
            self._notify_mixed({seen.service for seen in added}, now)

    def _notify_mixed(self, services: set[ServiceName], now: float) -> None:
        if any(self._unsent.get(service) for service in services):
            self.on_due()
        if any(self.history.is_mixed(service, now) for service in services):
            self.on_mixed()

    def begin(
        self, service: ServiceName, stream: StreamKey, release: Release, now: float
    ) -> None:
        """Record the version of a stream that brings its first event here."""
        self.ledger.record(stream, release, now)
        self._running[service][stream] = release
        self._unsent[service][stream] = release
        if self.history.is_mixed(service, now):
            self.on_due()

    def end(self, service: ServiceName, stream: StreamKey) -> None:
        """Record that a stream does not run here any more."""
        self._running[service].pop(stream, None)
        self._unsent[service].pop(stream, None)

    def take_unsent(self, now: float) -> Streams:
        """Return the running streams that other hosts have to keep from now on.

        While a service has one version, its streams are not sent to any host.
        """
        taken: Streams = {}
        for service, streams in self._unsent.items():
            if streams and self.history.is_mixed(service, now):
                taken.update(streams)
                streams.clear()
        return taken

    def resend(self) -> None:
        """Have all running streams sent again, since other hosts keep them now."""
        for service, streams in self._running.items():
            self._unsent[service].update(streams)
        self.on_due()

    def list_running(self, now: float) -> Streams:
        """Return the running streams of services with several versions."""
        return {
            stream: release
            for service, streams in self._running.items()
            if streams and self.history.is_mixed(service, now)
            for stream, release in streams.items()
        }

    def describe(self, now: float) -> dict[str, Any]:
        """Return the recent versions and the known streams, for a dump."""
        names = self.history.name_release
        return {
            "view_age_seconds": round(self.view.age, 3),
            "view_confirmed_by": self.view.confirmed_by.value,
            "streams_known": len(self.ledger),
            "streams_running": sum(map(len, self._running.values())),
            "services": {
                service: sorted(map(names, self.history.list_recent(service, now)))
                for service in self.history.list_services()
            },
            "has_seen_all": now - self.history.complete_since > RETENTION,
        }

    def find(self, stream: StreamKey, now: float) -> Origin | None:
        """Return the version of a stream that ran or is kept here."""
        known = self.ledger.find(stream)
        if known is None:
            return None
        return Origin(known[0], OriginSource.LOCAL, now - known[1])
