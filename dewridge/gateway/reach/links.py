"""How this host reaches the servers of each service, found out by few probes."""

import math
import random
from collections import Counter, defaultdict
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Iterator,
    Mapping,
    Sequence,
)
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio
from loguru import logger as log

from dewridge.gateway.hosts import HostEntry
from dewridge.gateway.model import ServerRecord
from dewridge.ids import FailureDomain, HostId, ServiceName
from dewridge.metrics.registry import Metrics
from dewridge.policy.losses import ConnectResult
from dewridge.policy.reachability import (
    PeerHost,
    ServerPath,
    choose_relay,
    classify_path,
)

CHECK_PERIOD = 0.25
"""Mean seconds between two checks while a service is not reached directly: this host
sends directly again within about as long after a partition."""
MAX_SILENCE = 0.5
"""Seconds without any byte from the servers of a service, while requests wait for them,
after which the path is checked."""
SILENCE_CHECK_PERIOD = 1.0
"""Minimum seconds between two checks because of silence."""
HANG_TIME = 0.3
"""Seconds after which open connections count as hanging if no byte arrived on any of
them since the host found that it does not reach the servers."""
SAMPLE_SIZE = 3
"""Servers that are probed first: two more than the one that failed."""
WIDE_SAMPLE_SIZE = 13
"""Further servers that are probed if none of the first accepts a connection, since
servers of one failure domain may be lost together."""
RECOVERY_SAMPLE_SIZE = 2
ASKED_PEERS = 3
"""Peers that are asked in one check."""
MAX_RELAYS = 8
"""Peers among which the relayed requests are spread."""
MAX_PROBE_TIME = 0.25
"""Seconds that probes take at most unless this process was stalled, so that they show
nothing about the servers."""

ProbeServer = Callable[[ServerRecord], Awaitable[ConnectResult]]
AskPeer = Callable[
    [HostEntry, Sequence[ServerRecord]], Awaitable[Sequence[ConnectResult]]
]


@dataclass
class ServiceLink:
    """How the servers of one service are reached.

    Attributes:
        path: the path in use.
        since: monotonic time since which it is in use.
        checked_at: monotonic time of the last conclusive check.
        received_at: monotonic time of the last bytes on a connection of this host.
        busy_since: monotonic time since which requests are in flight.
        silence_checked_at: monotonic time of the last check because of silence.
        relays: peers that reach the servers, as they said when they were asked.
        dropped_at: when peers that could not relay were dropped; asked again last.
        evidence: what the last check found, for logs.
        waiting: called to give attempts up, if others can follow, while connections
            hang.
        checked: set when the check in progress ends; None without one.
    """

    path: ServerPath = ServerPath.DIRECT
    since: float = -math.inf
    checked_at: float = -math.inf
    received_at: float = -math.inf
    busy_since: float = math.inf
    silence_checked_at: float = -math.inf
    relays: dict[HostId, HostEntry] = field(default_factory=dict)
    dropped_at: dict[HostId, float] = field(default_factory=dict)
    evidence: str = ""
    waiting: set[Callable[[], None]] = field(default_factory=set)
    checked: trio.Event | None = None

    def is_silent(self, now: float) -> bool:
        """Whether to check the path because requests wait and no byte arrives."""
        checked_at = max(self.silence_checked_at, self.checked_at)
        return (
            self.path is ServerPath.DIRECT
            and now - max(self.received_at, self.busy_since) > MAX_SILENCE
            and now - checked_at > SILENCE_CHECK_PERIOD
        )

    def is_hanging(self, now: float) -> bool:
        """Whether the open connections of this host bring no bytes any more."""
        return (
            self.path is not ServerPath.DIRECT
            and now - self.since >= HANG_TIME
            and self.received_at <= self.since
        )


class ServerLinks:
    """The paths to all services.

    Attributes:
        list_peers: returns the peers that may relay requests.
        list_live: returns the peers that are not silent.
        list_fallback_relays: returns the peers that are used only if no other reaches
            the servers: those that are not ready, and those that do not reach the
            servers of some service, maybe of another one.
        ask_peer: asks a peer whether servers accept its connections.
        on_changed: called with each service whose path changed.
        on_hanging: called with each service whose open connections hang.
        in_flight: this host's requests in flight by relay.
    """

    def __init__(
        self,
        list_servers: Callable[[ServiceName], list[ServerRecord]],
        probe: ProbeServer,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._list_servers = list_servers
        self._probe = probe
        self._rng = rng
        self._metrics = metrics
        self._links: dict[ServiceName, ServiceLink] = defaultdict(ServiceLink)
        self._nursery: trio.Nursery | None = None
        self.list_peers: Callable[[], list[HostEntry]] = list
        self.list_live: Callable[[], frozenset[HostId]] = frozenset
        self.list_fallback_relays: Callable[[], frozenset[HostId]] = frozenset
        self.ask_peer: AskPeer = _ask_nobody
        self.on_changed: Callable[[ServiceName], None] = lambda service: None
        self.on_hanging: Callable[[ServiceName], None] = lambda service: None
        self.in_flight: Counter[HostId] = Counter()

    def find_path(self, service: ServiceName) -> ServerPath:
        """Return how the servers of a service are reached now."""
        link = self._links.get(service)
        return ServerPath.DIRECT if link is None else link.path

    @property
    def is_partitioned(self) -> bool:
        """Whether the servers of some service are not reached directly."""
        return any(link.path is not ServerPath.DIRECT for link in self._links.values())

    def record_received(self, service: ServiceName) -> None:
        """Record that bytes arrived on a connection of this host."""
        self._links[service].received_at = trio.current_time()

    def has_live_connections(self, service: ServiceName) -> bool:
        """Whether bytes arrived on open connections although new ones fail."""
        link = self._links[service]
        return link.received_at > link.since

    @contextmanager
    def give_up_when_hanging(
        self, service: ServiceName, give_up: Callable[[], None] | None
    ) -> Iterator[None]:
        """Give an attempt up, if it may be, while connections hang."""
        if give_up is None:
            yield
            return
        waiting = self._links[service].waiting
        waiting.add(give_up)
        try:
            yield
        finally:
            waiting.discard(give_up)

    async def run(self) -> None:
        """Check the paths that are not direct, and those that are silent, forever."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                while True:
                    await trio.sleep(CHECK_PERIOD * self._rng.uniform(0.5, 1.5))
                    self._run_round(trio.current_time())
        finally:
            self._nursery = None

    def _run_round(self, now: float) -> None:
        for service, link in list(self._links.items()):
            if link.path is ServerPath.DIRECT:
                continue
            self._start_check(service, link, None)
            if link.is_hanging(now):
                self._cancel_hanging(service, link)

    def _cancel_hanging(self, service: ServiceName, link: ServiceLink) -> None:
        for give_up in list(link.waiting):
            give_up()
        self.on_hanging(service)

    def check_silent(self, busy: Collection[ServiceName]) -> None:
        """Check the paths to services that have sent no byte for long.

        Args:
            busy: services with requests in flight.
        """
        now = trio.current_time()
        for service in busy:
            link = self._links[service]
            link.busy_since = min(link.busy_since, now)
            if link.is_silent(now):
                link.silence_checked_at = now
                self._start_check(service, link, None)
        for service, link in self._links.items():
            if service not in busy:
                link.busy_since = math.inf

    async def check(self, server: ServerRecord, failed_since: float) -> ServerPath:
        """Return the path to a server's service after a connection to it failed.

        A check is shared by all requests that wait for its result.

        Args:
            server: the server.
            failed_since: monotonic time from which the connection was tried; an earlier
                check says nothing about it.
        """
        link = self._links[server.service]
        if link.path is ServerPath.DIRECT and link.checked_at < failed_since:
            self._start_check(server.service, link, server)
        if link.path is ServerPath.DIRECT and link.checked is not None:
            await link.checked.wait()
        return link.path

    async def find_relays(self, service: ServiceName) -> None:
        """Ask further peers whether they reach the servers of a service."""
        link = self._links[service]
        self._start_check(service, link, None)
        if link.checked is not None:
            await link.checked.wait()

    def _start_check(
        self, service: ServiceName, link: ServiceLink, failed: ServerRecord | None
    ) -> None:
        if self._nursery is None or link.checked is not None:
            return
        link.checked = trio.Event()
        self._nursery.start_soon(self._run_check, service, link, failed)

    async def _run_check(
        self, service: ServiceName, link: ServiceLink, failed: ServerRecord | None
    ) -> None:
        assert link.checked is not None
        try:
            await self._check(service, link, failed)
        finally:
            link.checked.set()
            link.checked = None

    async def _check(
        self, service: ServiceName, link: ServiceLink, failed: ServerRecord | None
    ) -> None:
        was_direct = link.path is ServerPath.DIRECT
        first, others = self._draw_servers(service, failed, is_first=was_direct)
        started_at = trio.current_time()
        own = await self._probe_servers(first)
        answers: dict[HostId, Sequence[ConnectResult]] = {}
        if ConnectResult.ACCEPTED not in own and first:
            if trio.current_time() - started_at > MAX_PROBE_TIME:
                return
            self._drop_relays(link)
            async with trio.open_nursery() as nursery:
                if was_direct:
                    nursery.start_soon(self._extend, own, others)
                for peer in self._draw_peers(link):
                    nursery.start_soon(self._ask, answers, peer, first)
        self._add_relays(link, answers)
        answers |= dict.fromkeys(link.relays, (ConnectResult.ACCEPTED,))
        link.checked_at = trio.current_time()
        self._set_path(service, link, classify_path(own, answers), own, answers)

    def _draw_servers(
        self, service: ServiceName, failed: ServerRecord | None, *, is_first: bool
    ) -> tuple[list[ServerRecord], list[ServerRecord]]:
        """Return the servers to probe first, and those to probe if none accepts."""
        servers = self._list_servers(service)
        drawn = self._rng.sample(
            servers, min(len(servers), SAMPLE_SIZE + WIDE_SAMPLE_SIZE)
        )
        if failed is not None:
            drawn = [failed, *(record for record in drawn if record.id != failed.id)]
        size = SAMPLE_SIZE if is_first else RECOVERY_SAMPLE_SIZE
        return drawn[:size], drawn[size:]

    async def _probe_servers(
        self, servers: Sequence[ServerRecord]
    ) -> list[ConnectResult]:
        """Return the results of probes, the first ones up to one that is accepted."""
        results: list[ConnectResult] = []

        async def probe(server: ServerRecord, scope: trio.CancelScope) -> None:
            result = await self._probe(server)
            results.append(result)
            if result is ConnectResult.ACCEPTED:
                scope.cancel()

        async with trio.open_nursery() as nursery:
            for server in servers:
                nursery.start_soon(probe, server, nursery.cancel_scope)
        return results

    async def _extend(
        self, results: list[ConnectResult], servers: Sequence[ServerRecord]
    ) -> None:
        results += await self._probe_servers(servers)

    async def _ask(
        self,
        answers: dict[HostId, Sequence[ConnectResult]],
        peer: HostEntry,
        servers: Sequence[ServerRecord],
    ) -> None:
        answers[peer.id] = await self.ask_peer(peer, servers)

    def _draw_peers(self, link: ServiceLink) -> list[HostEntry]:
        if len(link.relays) >= MAX_RELAYS:
            return []
        unknown = [peer for peer in self.list_peers() if peer.id not in link.relays]
        fallbacks = self.list_fallback_relays()
        self._rng.shuffle(unknown)
        unknown.sort(
            key=lambda peer: (
                peer.id in fallbacks,
                link.dropped_at.get(peer.id, -math.inf),
            )
        )
        return unknown[:ASKED_PEERS]

    def _drop_relays(self, link: ServiceLink) -> None:
        """Drop silent relays; a leaving one is of use although it is not registered."""
        live = self.list_live()
        link.relays = {
            host: entry for host, entry in link.relays.items() if host in live
        }

    def _add_relays(
        self, link: ServiceLink, answers: Mapping[HostId, Sequence[ConnectResult]]
    ) -> None:
        peers = {peer.id: peer for peer in self.list_peers()}
        for host, results in answers.items():
            if ConnectResult.ACCEPTED in results and host in peers:
                link.relays[host] = peers[host]

    def _set_path(
        self,
        service: ServiceName,
        link: ServiceLink,
        path: ServerPath,
        own: Sequence[ConnectResult],
        answers: Mapping[HostId, Sequence[ConnectResult]],
    ) -> None:
        if path is link.path:
            return
        link.path, link.since = path, trio.current_time()
        link.evidence = describe_evidence(own, answers)
        if path is ServerPath.DIRECT:
            link.relays.clear()
            link.dropped_at.clear()
        self._metrics.add("server_path_changes_total", service=service, path=path.name)
        log.bind(service=service, path=path.value, evidence=link.evidence).warning(
            "path to servers changed"
        )
        self.on_changed(service)

    def choose_relay(
        self,
        service: ServiceName,
        excluded: set[HostId],
        local_domain: FailureDomain,
        domain_size: int,
    ) -> HostEntry | None:
        """Return the peer that relays the next request; None if there is none."""
        self._drop_relays(self._links[service])
        relays = self._links[service].relays
        usable = [entry for entry in relays.values() if entry.id not in excluded]
        fallbacks = self.list_fallback_relays()
        preferred = [entry for entry in usable if entry.id not in fallbacks]
        peers = [
            PeerHost(entry.id, entry.failure_domain) for entry in preferred or usable
        ]
        chosen = choose_relay(
            peers, self.in_flight, local_domain, domain_size, self._rng
        )
        return None if chosen is None else relays[chosen.id]

    def drop_relay(self, service: ServiceName, host: HostId) -> None:
        """Relay no more requests by a peer until it says again that it can."""
        link = self._links[service]
        link.relays.pop(host, None)
        link.dropped_at[host] = trio.current_time()

    def describe(self) -> dict[str, dict[str, object]]:
        """Return the paths that are not direct, for dumps."""
        now = trio.current_time()
        return {
            service: {
                "path": link.path.value,
                "for_seconds": round(now - link.since, 2),
                "evidence": link.evidence,
                "relays": sorted(link.relays),
            }
            for service, link in self._links.items()
            if link.path is not ServerPath.DIRECT
        }

    def list_paths(self) -> dict[ServiceName, ServerPath]:
        """Return the path to each service that was ever used."""
        return {service: link.path for service, link in self._links.items()}


async def _ask_nobody(
    peer: HostEntry, servers: Sequence[ServerRecord]
) -> Sequence[ConnectResult]:
    return ()


def describe_evidence(
    own: Sequence[ConnectResult],
    answers: Mapping[HostId, Sequence[ConnectResult]],
) -> str:
    """Return the results of a check as a line of text."""
    counts = Counter(result.value for result in own)
    parts = [f"{count} {result}" for result, count in sorted(counts.items())]
    reached = [
        host for host, results in answers.items() if ConnectResult.ACCEPTED in results
    ]
    return f"own: {', '.join(parts) or 'none'}; reached by: " + (
        ",".join(sorted(reached)) or f"none of {len(answers)} asked"
    )
