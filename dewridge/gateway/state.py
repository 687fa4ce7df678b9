"""State that the components of one gateway process share."""

import random
import secrets
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import TypeVar

import trio

from dewridge.gateway.clock import StallDetector
from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.contention.records import ContentionRecords
from dewridge.gateway.documents.following import StoreRole
from dewridge.gateway.endings.left import LeftMemories
from dewridge.gateway.forwarding import AnswerBuffers
from dewridge.gateway.hosts import HostEntry, HostTable
from dewridge.gateway.ingress import IngressState
from dewridge.gateway.intake.listeners import Endpoint, compute_intake_bytes
from dewridge.gateway.limits.retries import RetryBudgets
from dewridge.gateway.limits.senders import HOST_RETENTION, SenderHosts
from dewridge.gateway.model import Limits, ServerRecord
from dewridge.gateway.placement.table import PlacementTable
from dewridge.gateway.pool import ConnectionPool
from dewridge.gateway.pushback import PushbackTable
from dewridge.gateway.reach.links import ServerLinks
from dewridge.gateway.reach.peers import ask_peer
from dewridge.gateway.reports import (
    MAX_STORE_CALL_AGE,
    REPORTED_WINDOWS,
    TENTHS_PER_ATTEMPT,
    TENTHS_PER_SECOND,
    ZERO_SERVER_TOTALS,
    LimitUpdate,
    PeriodicReport,
    Report,
    ServerTotals,
    SuspectUpdate,
    Totals,
    UsageCounts,
)
from dewridge.gateway.rollouts import RolloutTable
from dewridge.gateway.servers import ServerTable
from dewridge.gateway.sharing import SharedReports
from dewridge.gateway.shutdown.progress import ServedRequests
from dewridge.gateway.streams import RunningStreams
from dewridge.gateway.versions.records import (
    AskPeers,
    FindStored,
    StreamVersions,
    ask_nobody,
    find_no_servers,
    find_nothing_stored,
)
from dewridge.gateway.versions.unknownservers import UnknownServers
from dewridge.http1.calls import ServiceClient
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    FailureDomain,
    HostId,
    Release,
    RequestDigest,
    ServiceName,
)
from dewridge.metrics.registry import Metrics
from dewridge.policy.brittleness import ServerLoad, compute_room
from dewridge.policy.capacity import PrefillRateMeter
from dewridge.policy.demand import DemandMeter
from dewridge.policy.documentsources import is_watcher
from dewridge.policy.quota import FleetView, QuotaLedger
from dewridge.policy.reachability import ServerPath
from dewridge.policy.serverhealth import ServerHealth, compute_attempt_rate
from dewridge.policy.shutdown import ShutdownSchedule
from dewridge.policy.streamlengths import StreamLengths
from dewridge.policy.streamversions import ReleaseHistory
from dewridge.policy.suspects import SuspectLedger
from dewridge.settings.gateway import GatewaySettings

Name = TypeVar("Name", bound=str)

MAX_RELAYED_HEAD_BYTES = 131_072
"""Largest head of a relayed request: a caller's, with the headers that hosts add."""
MAX_STALL = 1.0
"""Seconds between two rounds of the upkeep from which the process has stalled: four of
its periods."""
MEAN_TOKENS_WEIGHT = 0.02
"""Weight of the newest prompt in the mean size of prompts."""
CELL_REPORT_WINDOWS = 2
"""Usage windows in a report to the local cell of a large fleet. The cell retains the
last counts of a host that ends, and the holder of the duties gets separate reports."""
SERVER_ANSWER_TIME_METRIC = "server_answer_seconds"
"""Metric of the seconds between sending a request and receiving the response head."""


def round_totals(totals: Mapping[Name, float]) -> dict[Name, int]:
    """Return totals rounded to whole numbers, for reports."""
    return {name: round(total) for name, total in totals.items()}


@dataclass
class WorkInFlight:
    """This host's requests in flight at each server, and their unprocessed prompts.

    Attributes:
        requests: number of requests in flight.
        tokens: prompt tokens that the server has not processed yet.
        suspects: number of those requests during which servers crashed before.
    """

    requests: dict[BackendServerId, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    tokens: dict[BackendServerId, int] = field(default_factory=lambda: defaultdict(int))

    suspects: Counter[BackendServerId] = field(default_factory=Counter)

    def add(
        self, server: BackendServerId, tokens: int, *, is_suspect: bool = False
    ) -> None:
        """Record that a request is sent to a server."""
        self.requests[server] += 1
        self.tokens[server] += tokens
        if is_suspect:
            self.suspects[server] += 1

    def record_prompt_processed(self, server: BackendServerId, tokens: int) -> None:
        """Record that a prompt is no longer waiting to be processed.

        Its answer has begun, or never will.
        """
        self.tokens[server] -= tokens

    def remove(self, server: BackendServerId, *, is_suspect: bool = False) -> None:
        """Record that a request has ended."""
        if is_suspect:
            self.suspects[server] -= 1
            self.suspects += Counter()
        self.requests[server] -= 1
        if self.requests[server] <= 0:
            del self.requests[server]
            self.tokens.pop(server, None)


@dataclass
class GatewayState:
    """State of a gateway process; each component modifies only its own part."""

    settings: GatewaySettings
    host: HostId
    boot: int
    configuration: ConfigurationState
    servers: ServerTable
    hosts: HostTable
    sharing: SharedReports
    ledger: QuotaLedger
    pool: ConnectionPool
    ingress: IngressState
    rng: random.Random
    work_in_flight: WorkInFlight = field(default_factory=WorkInFlight)
    answer_buffers: AnswerBuffers = field(default_factory=AnswerBuffers)
    streams: RunningStreams = field(default_factory=RunningStreams)
    left_memories: LeftMemories = field(default_factory=LeftMemories)
    health: dict[BackendServerId, ServerHealth] = field(default_factory=dict)
    usage_counts: dict[int, dict[ClientAccount, int]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(int))
    )
    """Requests that started on this host, by usage window and account."""
    demand: dict[ServiceName, DemandMeter] = field(
        default_factory=lambda: defaultdict(DemandMeter)
    )
    prefill_rate_meters: dict[ServiceName, PrefillRateMeter] = field(
        default_factory=lambda: defaultdict(PrefillRateMeter)
    )
    local_demand: dict[ServiceName, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    mean_tokens: dict[ServiceName, float] = field(default_factory=dict)
    """Mean tokens of the prompts that arrived here, by service."""
    rollouts: RolloutTable = field(default_factory=RolloutTable)
    placement: PlacementTable = field(default_factory=PlacementTable)
    suspects: SuspectLedger = field(default_factory=SuspectLedger)
    observed_crashes: set[RequestDigest] = field(default_factory=set)
    """Digests of the requests during which this host itself observed a server crash."""
    quarantine_logged: set[RequestDigest] = field(default_factory=set)
    """Quarantined requests and parts for which the line was logged."""
    on_suspects_changed: Callable[[], None] = lambda: None
    """Called when the information on requests during which servers crashed changes."""
    list_limits: Callable[[int], list[LimitUpdate]] = lambda number: []
    """Returns the servers' request limits for the report of a given number."""
    list_suspects: Callable[[int], list[SuspectUpdate]] = lambda number: []
    """Returns the information on such requests for the report of a given number."""
    metrics: Metrics = field(default_factory=Metrics)
    senders: SenderHosts = field(init=False)
    retries: RetryBudgets = field(init=False)
    pushback: PushbackTable = field(init=False)
    links: ServerLinks = field(init=False)
    relay_ingress: IngressState = field(init=False)
    """The connections of peers that have requests relayed."""
    relay_key: str = field(default_factory=partial(secrets.token_hex, 16))
    contention: ContentionRecords = field(init=False)
    versions: StreamVersions = field(init=False)
    unknown_servers: UnknownServers = field(init=False)
    ask_peers_for_origin: AskPeers = ask_nobody
    """Asks the other hosts at which version a stream of a service began."""
    find_stored_origin: FindStored = find_nothing_stored
    """Reads from the store's copies at which version a stream of a service began."""
    stalls: StallDetector = field(default_factory=partial(StallDetector, MAX_STALL))
    compare_releases: Callable[[PeriodicReport], None] = lambda report: None
    """Exchanges the recent versions with a peer whose report shows other ones."""
    find_release_servers: Callable[[Release], Awaitable[None]] = find_no_servers
    """Waits until a server of a version is known, or peers know none."""
    find_service_servers: Callable[[ServiceName], Awaitable[None]] = find_no_servers
    """Waits until a server of a service is known, or peers know none."""
    dependencies: list[ServiceClient] = field(default_factory=list)
    describe_duties: Callable[[], dict[str, object]] = dict
    is_ready: bool = False
    shutdown: ShutdownSchedule | None = None
    """Times of the graceful shutdown; None until it begins."""
    checked_before_signal: float | None = None
    """When `stalls` was last checked before SIGTERM was noticed; None without one."""
    served: ServedRequests = field(default_factory=ServedRequests)
    stream_lengths: StreamLengths = field(default_factory=StreamLengths)
    endpoints: list[Endpoint] = field(default_factory=list)
    """The listeners of this host."""
    _silent_live_hosts: frozenset[HostId] = frozenset()
    _silent_peers: list[HostEntry] = field(default_factory=list)
    _silent_count: int = 0
    """Number of silent peers, for the live hosts and peers above."""

    def __post_init__(self) -> None:
        """Create the parts that use other parts of the state."""
        self.senders = SenderHosts(self.list_sender_hosts)
        self.senders.retention = self._compute_sender_retention()
        self.retries = RetryBudgets(
            self.settings.bounds,
            self.senders.count,
            self.metrics,
            self.sharing.started_at,
        )
        self.pushback = PushbackTable(
            self.host,
            self.senders,
            self.rng.random,
            self.servers,
            self.metrics,
        )
        self.pushback.brittle.measure_load = self.measure_load
        self.links = ServerLinks(
            self.servers.list_service, self.pool.probe, self.rng, self.metrics
        )
        self.links.list_peers = self.list_relays
        self.links.list_live = self.sharing.list_live_hosts
        self.links.list_fallback_relays = self._list_fallback_relays
        self.links.ask_peer = partial(ask_peer, self.host)
        self.links.on_changed = self._handle_path_change
        self.links.on_hanging = self._move_hanging_streams
        self.relay_ingress = IngressState(
            Limits(head_bytes=MAX_RELAYED_HEAD_BYTES),
            self.ingress.connection_limit,
            memory=self.ingress.memory,
            parsing=self.ingress.parsing,
            log=self.ingress.log,
        )
        self.answer_buffers.limit = self.ingress.memory.answer_limit
        self.sharing.on_ignored_paces = partial(
            self.metrics.add, "pace_reports_ignored_total"
        )
        self.contention = ContentionRecords(self.rng.random)
        is_first_start = self.settings.host.is_first_start
        started_at = float("-inf") if is_first_start else self.sharing.started_at
        self.versions = StreamVersions(ReleaseHistory(complete_since=started_at))
        self.versions.view.on_gap = self._handle_view_gap
        self.servers.on_serving = self._record_serving
        self.unknown_servers = UnknownServers(self.servers.has_known)

    def _handle_view_gap(self) -> None:
        """Count this host as just started: it may not have seen all versions."""
        self.versions.history.complete_since = trio.current_time()

    def _record_serving(self, record: ServerRecord, now: float) -> None:
        self.versions.record_servers([record], now)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings."""
        self.settings = settings
        self.senders.retention = self._compute_sender_retention()
        self.retries.apply_bounds(settings.bounds)
        self.ingress.memory.limit = compute_intake_bytes(settings)
        self.answer_buffers.limit = self.ingress.memory.answer_limit

    def handle_restore(self) -> None:
        """Prepare for a restored store, which may lack recent writes."""
        self.metrics.add("store_restores")
        self.configuration.handle_restore()
        self.servers.record_restore(trio.current_time())
        self.hosts.handle_restore()
        self.rollouts.handle_restore()

    def _handle_path_change(self, service: ServiceName) -> None:
        """Forget the failures that this host's own links may have caused.

        Idle connections are closed as well: those from before a partition may hang
        after its end. They are the only ones left while no path is known.
        """
        has_path = self.links.find_path(service) is not ServerPath.NONE
        for record in self.servers.list_service(service):
            self.health.pop(record.id, None)
            if has_path:
                self.pool.close_idle(record.id)

    def _move_hanging_streams(self, service: ServiceName) -> None:
        now = trio.current_time()
        for server in self.servers.list_service(service):
            self.streams.move_hanging(server.id, now)

    def check_silent_services(self) -> None:
        """Check the paths to servers that have sent nothing while requests wait."""
        records = map(self.servers.find, self.work_in_flight.requests)
        self.links.check_silent({record.service for record in records if record})

    def get_health(self, server: BackendServerId) -> ServerHealth:
        """Return the health of a server as observed by this host's attempts."""
        if server not in self.health:
            self.health[server] = ServerHealth()
        return self.health[server]

    def record_local_demand(self, service: ServiceName, tokens: float) -> None:
        """Record the prompt tokens of a request that arrived at this host."""
        self.local_demand[service] += tokens
        mean = self.mean_tokens.get(service, tokens)
        self.mean_tokens[service] = mean + (tokens - mean) * MEAN_TOKENS_WEIGHT
        self.demand[service].add(tokens, trio.current_time())

    def list_serving(self, service: ServiceName) -> list[ServerRecord]:
        """Return the servers of a service, excluding those of a version under trial."""
        return self.rollouts.list_serving(service, self.servers.list_service(service))

    def count_in_flight(self, records: Iterable[ServerRecord]) -> int:
        """Return the number of requests of all hosts in flight at the given servers."""
        remote = self.sharing.get_summary(trio.current_time()).server_totals
        return sum(
            remote.get(record.id, ZERO_SERVER_TOTALS).requests
            + self.work_in_flight.requests.get(record.id, 0)
            for record in records
        )

    def record_remote_demand(
        self, service: ServiceName, tokens: float, now: float
    ) -> None:
        """Record prompt tokens that arrived at another host."""
        self.demand[service].add(tokens, now)

    def compute_window(self, unix_time: float) -> int:
        """Return the usage window of a time in seconds since 1970."""
        return int(unix_time // self.settings.bounds.usage_window)

    def count_usage(self, account: ClientAccount | None) -> None:
        """Record that a request of an account has just started."""
        if account is not None:
            self.usage_counts[self.compute_window(time.time())][account] += 1

    def make_report(self, number: int) -> Report:
        """Return this host's report to its peers, with its running totals."""
        now = trio.current_time()
        windows = CELL_REPORT_WINDOWS if self.sharing.has_cells else REPORTED_WINDOWS
        return Report(
            host=self.host,
            boot=self.boot,
            number=number,
            is_ready=self.is_ready,
            age=now - self.sharing.started_at,
            totals=self._make_totals(now),
            usage_counts=self.list_usage(windows),
            version=self.configuration.version,
            departing_servers=self.servers.list_recently_left(now),
            confirmed_age=self.configuration.age,
            last_received=self.sharing.list_last_received(),
            holder=self.sharing.holder,
            suspects=self.list_suspects(number),
            rollouts=self.rollouts.list_progress(),
            limits=self.list_limits(number),
            is_partitioned=self.links.is_partitioned,
            rejections=self.pushback.brittle.list_rejections(now),
            releases=self.versions.history.compute_digest(now),
            versions_age_ms=self.versions.view.age_ms,
            store_answer_age=_count_tenths(now - self.servers.outages.own_answer_at),
            store_failure_age=_count_tenths(now - self.servers.outages.own_failure_at),
            registrations=self.servers.list_registrations(now),
        )

    def list_usage(self, windows: int) -> UsageCounts:
        """Return the requests started on this host in the newest usage windows."""
        newest = self.compute_window(time.time())
        recent = range(newest - windows + 1, newest + 1)
        return {
            at: dict(self.usage_counts[at]) for at in recent if at in self.usage_counts
        }

    def _make_totals(self, now: float) -> Totals:
        return Totals(
            quota_usage=round_totals(self.ledger.usage_totals),
            quota_demand=round_totals(self.ledger.demand_totals),
            token_demand=round_totals(self.local_demand),
            servers=self._list_server_totals(now),
            outcomes=dict(self.rollouts.outcomes),
            work_demand=self.contention.demand.list_totals_ms(),
        )

    def _list_server_totals(self, now: float) -> dict[BackendServerId, ServerTotals]:
        reported = {}
        for server in {*self.work_in_flight.requests, *self.health}:
            attempts, failures = self._read_outcomes(server, now)
            pace_samples, pace_sum = self.placement.read_reported_pace(server, now)
            totals = ServerTotals(
                requests=self.work_in_flight.requests.get(server, 0),
                tokens=self.work_in_flight.tokens.get(server, 0),
                attempts=round(attempts * TENTHS_PER_ATTEMPT),
                failures=round(failures * TENTHS_PER_ATTEMPT),
                pace_samples=pace_samples,
                pace_sum=pace_sum,
            )
            if totals != ZERO_SERVER_TOTALS:
                reported[server] = totals
        return reported

    def measure_load(self, server: BackendServerId) -> ServerLoad | None:
        """Return the load of a server by this host's requests and peers' reports."""
        record = self.servers.find(server)
        if record is None:
            return None
        summary = self.sharing.get_summary(trio.current_time())
        elsewhere = summary.server_totals.get(server, ZERO_SERVER_TOTALS)
        own = self.work_in_flight.requests.get(server, 0)
        attempts = elsewhere.attempts / TENTHS_PER_ATTEMPT
        configuration = self.configuration.current
        service = configuration and configuration.services.get(record.service)
        engine = service.engine if service else None
        return ServerLoad(
            requests=own + elsewhere.requests,
            own_requests=own,
            room=compute_room(
                record.slots,
                engine.memory_tokens if engine else 0.0,
                self.mean_tokens.get(record.service, 0.0),
            ),
            arrival_rate=compute_attempt_rate(attempts),
            staleness=self.sharing.staleness,
        )

    def _read_outcomes(
        self, server: BackendServerId, now: float
    ) -> tuple[float, float]:
        """Return the recent attempts and failures at a server that peers may count.

        What a partitioned host sees of a server may be the fault of its own links.
        """
        record = self.servers.find(server)
        if record is None:
            return 0.0, 0.0
        if self.links.find_path(record.service) is not ServerPath.DIRECT:
            return 0.0, 0.0
        return self.get_health(server).recent.read(now)

    def make_fleet_view(self) -> FleetView:
        """Return this host's view of its peers, for quotas."""
        live_hosts = self.sharing.get_summary(trio.current_time()).live_hosts
        peers = self.hosts.list_peers()
        if live_hosts is not self._silent_live_hosts or peers != self._silent_peers:
            self._silent_live_hosts, self._silent_peers = live_hosts, peers
            self._silent_count = sum(peer.id not in live_hosts for peer in peers)
        return FleetView(
            hosts=len(peers) + 1,
            silent=self._silent_count,
            staleness=self.sharing.staleness,
        )

    def get_store_role(self) -> StoreRole:
        """Return which data this host has to read from the store itself."""
        if not self.sharing.has_cells:
            return StoreRole.ALL
        return StoreRole.READER if self.sharing.is_reader else StoreRole.LISTENER

    def _compute_sender_retention(self) -> float:
        return max(HOST_RETENTION, self.settings.bounds.retry_window)

    def list_sender_hosts(self) -> list[HostId]:
        """Return the hosts that may send to servers; none while they are not known."""
        if not self.hosts.is_listed:
            return []
        members = self.hosts.list_members(self.sharing.list_live_hosts())
        return [self.host, *(entry.id for entry in members)]

    def count_live_peers(self) -> int:
        """Return the number of other live hosts."""
        return len(self.sharing.list_live_hosts())

    @property
    def failure_domain(self) -> FailureDomain:
        """The failure domain of this host."""
        return FailureDomain(self.settings.host.failure_domain)

    def count_domain_hosts(self) -> int:
        """Return the number of live hosts in this host's failure domain."""
        live = self.sharing.list_live_hosts()
        return 1 + sum(
            peer.id in live and peer.failure_domain == self.failure_domain
            for peer in self.hosts.list_peers()
        )

    def _list_fallback_relays(self) -> frozenset[HostId]:
        summary = self.sharing.get_summary(trio.current_time())
        return summary.partitioned_hosts | summary.unready_hosts

    def list_relays(self) -> list[HostEntry]:
        """Return the peers that may relay requests."""
        live = self.sharing.list_live_hosts()
        return [
            peer
            for peer in self.hosts.list_peers()
            if peer.relay_key and peer.id in live
        ]

    def find_relay(self, host: HostId) -> HostEntry | None:
        """Return the registration of a peer that serves this host; None if none."""
        return next((peer for peer in self.list_relays() if peer.id == host), None)

    def watches_document(self, size: int) -> bool:
        """Return whether this host watches a configuration of some bytes itself."""
        role = self.get_store_role()
        if role is not StoreRole.ALL:
            return role is StoreRole.READER or not self.count_live_peers()
        links = {entry.id: entry.link_mbps for entry in self.list_live_entries()}
        links[self.host] = self.settings.host.link_mbps
        return is_watcher(self.host, links, size)

    def list_member_entries(self) -> list[HostEntry]:
        """Return the registrations of the other hosts."""
        return self.hosts.list_members(self.sharing.list_live_hosts())

    def list_live_entries(self) -> list[HostEntry]:
        """Return the registrations of the other hosts that are not silent."""
        live = self.sharing.list_live_hosts()
        return [entry for entry in self.list_member_entries() if entry.id in live]

    def rank_informed_peers(self) -> list[HostEntry]:
        """Return the live peers, those that were last sure to know all servers first.

        Peers of other cells do not report that, and come last in random order.
        """
        peers = self.list_live_entries()
        self.rng.shuffle(peers)
        views = self.sharing.cell_peers

        def read_age(peer: HostEntry) -> float:
            view = views.get(peer.id)
            age_ms = view.report.versions_age_ms if view else None
            return float("inf") if age_ms is None else age_ms

        return sorted(peers, key=read_age)

    def list_silent_hosts(self) -> list[HostId]:
        """Return the other registered hosts that are silent."""
        live = self.sharing.list_live_hosts()
        return [peer.id for peer in self.hosts.list_peers() if peer.id not in live]

    def drop_expired(self) -> None:
        """Remove outdated counts and the data of departed servers."""
        window = self.compute_window(time.time()) - REPORTED_WINDOWS * 2
        for old_window in [
            known_window for known_window in self.usage_counts if known_window < window
        ]:
            del self.usage_counts[old_window]
        self.sharing.discard_before(window, trio.current_time())
        now = trio.current_time()
        retained = self.servers.list_retained(now)
        for server in self.health.keys() - retained:
            del self.health[server]
            self.metrics.remove_histogram(SERVER_ANSWER_TIME_METRIC, server=server)
        self.versions.record_servers(self.servers.list_all(), now)
        self.versions.doubtful_servers &= retained
        for server in self.versions.confirmed_servers.keys() - retained:
            del self.versions.confirmed_servers[server]
        self.pushback.drop_expired(retained, now)
        self.placement.drop_departed(retained)
        self.suspects.drop_expired(now)
        self.observed_crashes = {
            digest for digest in self.observed_crashes if self.suspects.find(digest)
        }
        self.quarantine_logged = {
            digest for digest in self.quarantine_logged if self.suspects.find(digest)
        }
        if self.configuration.current is not None:
            self.contention.drop_unknown(self.configuration.current)
        self.pool.close_expired()


def _count_tenths(age: float) -> int | None:
    """Return the age of a call to the store for a report; None if it is too old."""
    return int(age * TENTHS_PER_SECOND) if age <= MAX_STORE_CALL_AGE else None
