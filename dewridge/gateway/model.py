"""What a gateway knows of routes, services, accounts, servers and requests."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    FailureDomain,
    ServerName,
    ServiceName,
)

RouteName = NewType("RouteName", str)
ServerVersion = NewType("ServerVersion", str)
"""Version of the software of a backend server."""
AccountKey = NewType("AccountKey", str)
AttemptKey = NewType("AttemptKey", str)
"""The caller's name for one sending of a request; unique, and never repeated."""


class RouteKind(Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    """A series of events; repeated only where the route allows to resume it."""


@dataclass(frozen=True, slots=True)
class Share:
    """A service's part of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests to one path prefix of one name go.

    Attributes:
        name: its name.
        hostname: value of the `Host` header, in lower case, without a port.
        path_prefix: begins and ends with a slash.
        kind: what may be repeated.
        timeout: seconds that a caller is kept waiting at the longest.
        latency_target: seconds within which an answer, or its first event, is on time.
        gap_target: longest seconds between two events of an answer on time.
        attempts_limit: backend servers that may run one request.
        priority: 0 is the most urgent.
        shares: services and their weights.
        is_anonymous: whether requests need no key.
        has_prefixes: whether requests name the shared parts of their prompts.
        is_resumable: whether another server may go on after the last event.
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
        """Whether a request that may have run may be sent to another server."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Scaling:
    """How many backend servers a service may have in each failure domain.

    Attributes:
        min_servers: servers in a failure domain at least, of both kinds together.
        max_servers: servers in a failure domain at most, of both kinds together.
        boot_time: seconds from the order until a server serves.
        reclaimable_price: price of a reclaimable server as part of another's.
        prices: price of a server's second by failure domain; its keys name the
            failure domains in which the service may run.
    """

    min_servers: int
    max_servers: int
    boot_time: float
    reclaimable_price: float
    prices: Mapping[FailureDomain, float]


@dataclass(frozen=True, slots=True)
class Engine:
    """What the model engines of a service can do at once."""

    slots: int
    memory_tokens: int
    has_backups: bool
    has_moves: bool


@dataclass(frozen=True, slots=True)
class Service:
    """A service; `engine` is None for a plain one."""

    name: ServiceName
    connection_limit: int
    engine: Engine | None
    scaling: Scaling | None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account and its quota over all entry hosts.

    Attributes:
        name: its name.
        priority: goes before a route's priority; None for none.
        rate: tokens or requests a second; 0 for no limit.
        burst: tokens or requests at once beyond the rate.
        counts_tokens: whether the quota counts tokens and not requests.
        plain_tokens: what a request without a size counts as.
    """

    name: ClientAccount
    priority: int | None
    rate: float
    burst: float
    counts_tokens: bool
    plain_tokens: int


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a caller may send, in bytes and seconds."""

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
    by_hostname: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    """Routes of each name, the longest prefix first."""

    def find_route(self, hostname: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.by_hostname.get(hostname, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """A backend server as it describes itself.

    Attributes:
        id: this start of it; nothing known of an earlier start holds for it.
        name: what it calls itself, the same for all its starts.
        service: what it serves.
        address: `a.b.c.d:port`; another server may get it later.
        failure_domain: where it runs.
        slots: requests that it works on at once.
        is_draining: whether it said that it leaves.
        is_reclaimable: whether it may be taken away on short notice.
        leaves_in: seconds until it is taken away, as of the record; None if unknown.
        is_cold: whether it is still slow after its start.
        started_at_ms: when this process started, in milliseconds since 1970; 0 if the
            record does not say.
        version: of its software; empty if the record has none.
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


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The operator's order to move a service to another version of its servers.

    Attributes:
        service: the service.
        target: the version to move to.
        duration: seconds after the order by which the rollout must have ended.
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
    """What a request says of its work; zeros for a plain request.

    Attributes:
        prompt_tokens: tokens to read.
        output_tokens: tokens to generate at the most.
        parts: the prompt in order; the last part is the request's own.
        model: name of the model; empty without one.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    model: str = ""

    @property
    def tokens(self) -> int:
        """Tokens in and out, as quotas count them."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request as a caller sent it, read whole.

    Attributes:
        id: the caller's name for this sending.
        method: HTTP method.
        target: path and query, to be passed on unchanged.
        hostname: value of the `Host` header, in lower case, without a port.
        headers: what the caller sent, names in lower case.
        body: the body.
        key: the account's key; empty without one.
        sizes: what the request says of its work.
        last_event: the event after which the caller resumes; None for a new one.
        arrived_at: when its head was read, on the steady clock.
        deadline: when the caller stops waiting, on the steady clock.
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

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")
