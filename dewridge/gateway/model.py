"""Data model of a gateway: routes, services, accounts, servers and requests."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from dewridge.digests import make_release
from dewridge.ids import (
    UNREGISTERED,
    BackendServerId,
    ClientAccount,
    FailureDomain,
    Registration,
    Release,
    ServerName,
    ServiceName,
)

RouteName = NewType("RouteName", str)
ServerVersion = NewType("ServerVersion", str)
"""Version of the software of a backend server."""
AccountKey = NewType("AccountKey", str)
AttemptKey = NewType("AttemptKey", str)
"""The caller's unique id for one attempt at a request; never reused for a retry."""


class RouteKind(Enum):
    """Whether requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    """A stream of events; retried only if the route is resumable."""


@dataclass(frozen=True, slots=True)
class Share:
    """A service's share of the requests of a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Destination of requests to one host name and path prefix.

    Attributes:
        name: name of the route.
        hostname: value of the `Host` header, in lower case, without a port.
        path_prefix: begins and ends with a slash.
        kind: whether requests may be retried.
        timeout: maximum seconds that a caller waits.
        latency_target: seconds within which an answer, or its first event, is on time.
        gap_target: maximum seconds between two events of an answer on time.
        attempts_limit: maximum number of backend servers that may run one request.
        priority: 0 is the most urgent.
        shares: services and their weights.
        is_anonymous: whether requests need no key.
        has_prefixes: whether requests name the shared parts of their prompts.
        is_resumable: whether another server may continue after the last event.
    """

    name: RouteName
    hostname: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    latency_target: float
    gap_target: float
    attempts_limit: int
    priority: int
    shares: tuple[Share, ...]
    is_anonymous: bool
    has_prefixes: bool
    is_resumable: bool

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run may be retried on another server."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Scaling:
    """Scaling bounds and prices of a service.

    Attributes:
        min_servers: minimum number of servers in a failure domain, reclaimable and
            on-demand ones together.
        max_servers: maximum number, counted the same way.
        boot_time: seconds from the order until a server serves.
        reclaimable_price: price of a reclaimable server relative to an on-demand one.
        prices: price of one server for a second, by failure domain; its keys name the
            failure domains in which the service may run.
    """

    min_servers: int
    max_servers: int
    boot_time: float
    reclaimable_price: float
    prices: Mapping[FailureDomain, float]


@dataclass(frozen=True, slots=True)
class Engine:
    """Capacity and features of the model engines of a service.

    Attributes:
        slots: requests that an engine runs at once.
        memory_tokens: tokens that fit into an engine's memory.
        has_backups: whether engines support backups of the memory of requests.
        has_moves: whether engines support moving running requests.
    """

    slots: int
    memory_tokens: int
    has_backups: bool
    has_moves: bool


@dataclass(frozen=True, slots=True)
class Service:
    """A service; `engine` is None if no model engines serve it."""

    name: ServiceName
    connection_limit: int
    engine: Engine | None
    scaling: Scaling | None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account and its quota over all entry hosts.

    Attributes:
        name: name of the account.
        priority: takes precedence over a route's priority; None if it has none.
        rate: tokens or requests per second; 0 for no limit.
        burst: tokens or requests allowed at once beyond the rate.
        counts_tokens: whether the quota counts tokens instead of requests.
        plain_tokens: tokens counted for a request that states no size.
    """

    name: ClientAccount
    priority: int | None
    rate: float
    burst: float
    counts_tokens: bool
    plain_tokens: int


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on callers' requests, in bytes and seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    accounts: Mapping[AccountKey, Account]
    limits: Limits
    has_accounts: bool
    by_hostname: Mapping[str, "HostRoutes"] = field(default_factory=dict)

    def find_route(self, hostname: str, path: str) -> Route | None:
        """Return the route with the longest path prefix that matches the path."""
        routes = self.by_hostname.get(hostname)
        return None if routes is None else routes.find(path)


@dataclass(slots=True)
class HostRoutes:
    """The routes of one host name by their path prefixes, which end with a slash.

    Attributes:
        by_prefix: the routes.
        max_length: length of the longest prefix.
    """

    by_prefix: dict[str, Route] = field(default_factory=dict)
    max_length: int = 0

    def add(self, route: Route) -> bool:
        """Add a route; return False if the prefix has one already."""
        if route.path_prefix in self.by_prefix:
            return False
        self.by_prefix[route.path_prefix] = route
        self.max_length = max(self.max_length, len(route.path_prefix))
        return True

    def find(self, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        The time depends on the length of the prefixes, not on their number.
        """
        end = path.rfind("/", 0, self.max_length)
        while end >= 0:
            route = self.by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def index_routes(routes: Iterable[Route]) -> dict[str, HostRoutes]:
    """Return the routes by host name; of several with one prefix, the first."""
    by_hostname: dict[str, HostRoutes] = {}
    for route in routes:
        by_hostname.setdefault(route.hostname, HostRoutes()).add(route)
    return by_hostname


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """A backend server process as described by its record in the store.

    Attributes:
        id: id of the process; a restarted server has a new id, and nothing known of
            the earlier process applies to it.
        name: name of the server, the same after a restart.
        service: the service that it serves.
        address: `a.b.c.d:port`; may be assigned to another server later.
        failure_domain: the failure domain it runs in.
        slots: requests that it runs at once.
        is_draining: whether it announced that it leaves.
        is_reclaimable: whether the cloud may reclaim it on short notice.
        leaves_in: seconds until it is reclaimed, as of the record; None if unknown.
        is_cold: whether it is still slow after its start.
        started_at_ms: when the process started, in milliseconds since 1970; 0 if the
            record does not say.
        version: version of its software; empty if the record has none.
        registration: when the server registered.
        is_dated: whether it is known to have registered in that era of the store.
    """

    id: BackendServerId
    name: ServerName
    service: ServiceName
    address: str
    failure_domain: FailureDomain
    slots: int
    is_draining: bool
    is_reclaimable: bool = False
    leaves_in: float | None = None
    is_cold: bool = False
    started_at_ms: int = 0
    version: ServerVersion = ServerVersion("")
    registration: Registration = field(default=UNREGISTERED, compare=False)
    is_dated: bool = field(default=True, compare=False)

    @property
    def release(self) -> Release:
        """Digest of the service and of the version of its software."""
        return make_release(self.service, self.version)


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The operator's order to roll out another server version for a service.

    Attributes:
        service: the service.
        target: the version to roll out.
        duration: seconds after the order by which the rollout must have completed.
        revision: the store's revision of the order; increases with each order.
    """

    service: ServiceName
    target: ServerVersion
    duration: float
    revision: int


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Sizes:
    """Sizes that a request states; zeros for a request without a prompt.

    Attributes:
        prompt_tokens: tokens of the prompt.
        output_tokens: maximum number of tokens to generate.
        parts: parts of the prompt in order; only the last one can't be shared with
            other requests.
        model: name of the model; empty if the request names none.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    model: str = ""

    @property
    def tokens(self) -> int:
        """Tokens of the prompt and the output, as quotas count them."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request as a caller sent it.

    Attributes:
        id: the caller's id for this attempt.
        method: HTTP method.
        target: path and query, forwarded unchanged.
        hostname: value of the `Host` header, in lower case, without a port.
        headers: the headers that the caller sent, names in lower case.
        body: the body.
        key: the account's key; empty without one.
        sizes: the sizes that the request states.
        last_event: id of the event after which the caller resumes; None for a new
            request.
        arrived_at: monotonic time at which its head was read.
        deadline: monotonic time at which the caller stops waiting.
        resumed_attempt: id of the attempt that brought the first event of the stream
            to resume, as the caller sent it; None for a new request.
    """

    id: AttemptKey
    method: bytes
    target: bytes
    hostname: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    key: AccountKey
    sizes: Sizes
    last_event: int | None
    arrived_at: float
    deadline: float
    resumed_attempt: bytes | None = None

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")
