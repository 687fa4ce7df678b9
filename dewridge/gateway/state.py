"""What the parts of one gateway process share."""

import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

import trio

from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.hosts import HostTable
from dewridge.gateway.ingress import IngressState
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.pool import ConnectionPool
from dewridge.gateway.reports import (
    NOTHING,
    REPORTED_WINDOWS,
    TENTHS,
    Report,
    ServerTotals,
    SuspectNews,
    Totals,
    UsageCounts,
)
from dewridge.gateway.rollouts import RolloutTable
from dewridge.gateway.servers import ServerTable
from dewridge.gateway.sharing import Sharing
from dewridge.gateway.streams import RunningStreams
from dewridge.gateway.watching import Part
from dewridge.http1.calls import ServiceClient
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    HostId,
    RequestDigest,
    ServiceName,
)
from dewridge.metrics.registry import Metrics
from dewridge.policy.capacity import ReadingPace
from dewridge.policy.demand import DemandMeter
from dewridge.policy.quota import FleetView, QuotaLedger
from dewridge.policy.retrybudget import RetryBudget
from dewridge.policy.serverhealth import ServerHealth
from dewridge.policy.suspects import SuspectLedger
from dewridge.settings.gateway import GatewaySettings

Name = TypeVar("Name", bound=str)

CELL_WINDOWS = 2
"""Usage windows in a report to the own cell of a large fleet, which keeps what a host
counted until its end: the holder of the duties is told by words of their own."""
SERVER_SECONDS = "server_answer_seconds"
"""Name of the time from a sending until the head of the server's answer."""


def round_all(totals: Mapping[Name, float]) -> dict[Name, int]:
    """Return totals as whole numbers, for reports."""
    return {name: round(total) for name, total in totals.items()}


@dataclass
class WorkInFlight:
    """This host's requests at each server, and their prompts that are not read yet.

    Attributes:
        requests: in flight.
        tokens: of their prompts that are not read yet.
        suspects: those of the requests under which servers ended before.
    """

    requests: dict[BackendServerId, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    tokens: dict[BackendServerId, int] = field(default_factory=lambda: defaultdict(int))

    suspects: Counter[BackendServerId] = field(default_factory=Counter)

    def add(
        self, server: BackendServerId, tokens: int, *, is_suspect: bool = False
    ) -> None:
        """Count a request that is being sent."""
        self.requests[server] += 1
        self.tokens[server] += tokens
        if is_suspect:
            self.suspects[server] += 1

    def note_read(self, server: BackendServerId, tokens: int) -> None:
        """Count a prompt as read: its answer has begun, or it never will."""
        self.tokens[server] -= tokens

    def remove(self, server: BackendServerId, *, is_suspect: bool = False) -> None:
        """Count a request as ended."""
        if is_suspect:
            self.suspects[server] -= 1
            self.suspects += Counter()
        self.requests[server] -= 1
        if self.requests[server] <= 0:
            del self.requests[server]
            self.tokens.pop(server, None)


@dataclass
class GatewayState:
    """All that a gateway knows; each part changes only what is its own."""

    settings: GatewaySettings
    host: HostId
    boot: int
    configuration: ConfigurationState
    servers: ServerTable
    hosts: HostTable
    sharing: Sharing
    ledger: QuotaLedger
    pool: ConnectionPool
    ingress: IngressState
    rng: random.Random
    work: WorkInFlight = field(default_factory=WorkInFlight)
    streams: RunningStreams = field(default_factory=RunningStreams)
    health: dict[BackendServerId, ServerHealth] = field(default_factory=dict)
    budgets: dict[ServiceName, RetryBudget] = field(default_factory=dict)
    began: dict[int, dict[ClientAccount, int]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(int))
    )
    demand: dict[ServiceName, DemandMeter] = field(
        default_factory=lambda: defaultdict(DemandMeter)
    )
    paces: dict[ServiceName, ReadingPace] = field(
        default_factory=lambda: defaultdict(ReadingPace)
    )
    own_demand: dict[ServiceName, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    rollouts: RolloutTable = field(default_factory=RolloutTable)
    suspects: SuspectLedger = field(default_factory=SuspectLedger)
    seen_ending: set[RequestDigest] = field(default_factory=set)
    """Requests under which this host saw a server end itself."""
    on_suspects: Callable[[], None] = lambda: None
    """Told when something is new of the requests under which servers ended."""
    list_suspects: Callable[[int], list[SuspectNews]] = lambda turn: []
    """Returns what a report tells of them."""
    metrics: Metrics = field(default_factory=Metrics)
    dependencies: list[ServiceClient] = field(default_factory=list)
    describe_duties: Callable[[], dict[str, object]] = dict
    is_ready: bool = False
    leaves_at: float = float("inf")
    """Steady time at which this process ends."""

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Put changed settings into force."""
        self.settings = settings
        self.budgets.clear()

    def note_restored(self) -> None:
        """Note that the store was restored from a copy and may lack recent writes."""
        self.metrics.add("store_restores")
        self.configuration.note_restored()
        self.servers.note_outage(trio.current_time())
        self.hosts.note_restored()
        self.rollouts.note_restored()

    def find_health(self, server: BackendServerId) -> ServerHealth:
        """Return what own attempts saw of a server."""
        if server not in self.health:
            self.health[server] = ServerHealth()
        return self.health[server]

    def find_budget(self, service: ServiceName) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            bounds = self.settings.bounds
            self.budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
        return self.budgets[service]

    def count_demand(self, service: ServiceName, tokens: float) -> None:
        """Count the prompt tokens of a request that arrived here."""
        self.own_demand[service] += tokens
        self.demand[service].add(tokens, trio.current_time())

    def list_serving(self, service: ServiceName) -> list[ServerRecord]:
        """Return the servers that carry a service, excluding those under trial."""
        return self.rollouts.list_serving(service, self.servers.list_service(service))

    def count_in_flight(self, records: Iterable[ServerRecord]) -> int:
        """Return the requests of all hosts at the given servers."""
        others = self.sharing.find_summary(trio.current_time()).servers
        return sum(
            others.get(one.id, NOTHING).requests + self.work.requests.get(one.id, 0)
            for one in records
        )

    def note_demand(self, service: ServiceName, tokens: float, now: float) -> None:
        """Count the prompt tokens that arrived at another host."""
        self.demand[service].add(tokens, now)

    def find_window(self, at: float) -> int:
        """Return the usage window of a time in seconds since 1970."""
        return int(at // self.settings.bounds.usage_window)

    def count_began(self, account: ClientAccount | None) -> None:
        """Count a request of an account that began to run now."""
        if account is not None:
            self.began[self.find_window(time.time())][account] += 1

    def make_report(self, number: int) -> Report:
        """Return this host's running totals for the others."""
        now = trio.current_time()
        windows = CELL_WINDOWS if self.sharing.has_cells else REPORTED_WINDOWS
        return Report(
            host=self.host,
            boot=self.boot,
            number=number,
            is_ready=self.is_ready,
            age=now - self.sharing.started_at,
            totals=self._make_totals(now),
            began=self.list_began(windows),
            version=self.configuration.version,
            left=self.servers.list_just_left(now),
            confirmed_age=self.configuration.age,
            heard=self.sharing.list_heard_numbers(),
            holder=self.sharing.holder,
            suspects=self.list_suspects(number),
            rollouts=self.rollouts.list_progress(),
        )

    def list_began(self, windows: int) -> UsageCounts:
        """Return what began here in the newest usage windows."""
        newest = self.find_window(time.time())
        recent = range(newest - windows + 1, newest + 1)
        return {at: dict(self.began[at]) for at in recent if at in self.began}

    def _make_totals(self, now: float) -> Totals:
        return Totals(
            used=round_all(self.ledger.totals),
            asked=round_all(self.ledger.asked),
            demand=round_all(self.own_demand),
            servers=self._list_server_totals(now),
            outcomes=dict(self.rollouts.outcomes),
        )

    def _list_server_totals(self, now: float) -> dict[BackendServerId, ServerTotals]:
        told = {}
        for server in {*self.work.requests, *self.health}:
            attempts, failures = self.find_health(server).recent.read(now)
            totals = ServerTotals(
                requests=self.work.requests.get(server, 0),
                tokens=self.work.tokens.get(server, 0),
                attempts=round(attempts * TENTHS),
                failures=round(failures * TENTHS),
            )
            if totals != NOTHING:
                told[server] = totals
        return told

    def find_fleet(self) -> FleetView:
        """Return what this host knows of the others, for quotas."""
        summary = self.sharing.find_summary(trio.current_time())
        peers = self.hosts.list_peers()
        silent = sum(peer.id not in summary.heard for peer in peers)
        return FleetView(
            hosts=len(peers) + 1, silent=silent, news_age=self.sharing.news_age
        )

    def find_part(self) -> Part:
        """Return what this host has to read of the store itself."""
        if not self.sharing.has_cells:
            return Part.ALL
        return Part.READER if self.sharing.is_reader else Part.LISTENER

    def count_heard(self) -> int:
        """Return how many other hosts are heard."""
        return len(self.sharing.list_heard())

    def list_silent(self) -> list[HostId]:
        """Return the registered hosts that are not heard."""
        heard = self.sharing.list_heard()
        return [peer.id for peer in self.hosts.list_peers() if peer.id not in heard]

    def forget_old(self) -> None:
        """Drop what is told or known of long past."""
        window = self.find_window(time.time()) - REPORTED_WINDOWS * 2
        for old in [known for known in self.began if known < window]:
            del self.began[old]
        self.sharing.forget_before(window, trio.current_time())
        gone = [one for one in self.health if self.servers.find(one) is None]
        for server in gone:
            del self.health[server]
            self.metrics.forget(SERVER_SECONDS, server=server)
        self.suspects.forget_old(trio.current_time())
        self.seen_ending = {
            digest for digest in self.seen_ending if self.suspects.find(digest)
        }
        self.pool.drop_old()
