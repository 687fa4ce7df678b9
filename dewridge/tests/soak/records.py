"""What callers, servers, the cloud API and the store's stand-in saw, as records."""

from dataclasses import dataclass, field
from enum import Enum


class RequestKind(Enum):
    """Kinds of requests that the soak sends."""

    READ = "read"
    WRITE = "write"
    CHAT = "chat"
    DRAFT = "draft"

    @property
    def is_retryable(self) -> bool:
        """Whether it may run more than once."""
        return self in {RequestKind.READ, RequestKind.CHAT}

    @property
    def is_stream(self) -> bool:
        """Whether it is answered by events."""
        return self in {RequestKind.CHAT, RequestKind.DRAFT}


@dataclass
class SentRequest:
    """One request as its caller saw it; times in seconds of the soak's clock.

    Attributes:
        id: unique.
        kind: what was asked.
        host: entry host that it was sent to.
        key: account key sent along.
        tokens: units of quota.
        sent_at: when its last byte was sent.
        ended_at: when its answer or connection ended; None if still open at the end.
        status: of the answer; 0 if none came.
        is_signed: whether the answer bore a server's signature.
        is_whole: whether the answer ended as complete.
        body: a plain answer's body.
        events: (number, owner, is the last one) of each event.
        has_left: whether the caller gave up by itself.
        content: path, account and body; the same for repeats of one request.
        crashes: whether it ends each server that begins to run it.
    """

    id: str
    kind: RequestKind
    host: str
    key: str
    tokens: int
    sent_at: float
    ended_at: float | None = None
    status: int = 0
    is_signed: bool = False
    is_complete: bool = False
    body: bytes = b""
    events: list[tuple[int, str, bool]] = field(default_factory=list)
    is_abandoned: bool = False
    content: str = ""
    crashes_servers: bool = False


@dataclass(frozen=True)
class Execution:
    """A server began to work on a request."""

    id: str
    server: str
    account: str
    at: float


@dataclass(frozen=True)
class Crash:
    """A server ended under a request; `content` names what it was."""

    content: str
    server: str
    at: float


@dataclass(frozen=True)
class DutyCall:
    """A call of the cloud API."""

    holder: str
    fencing_token: int
    subject: str
    counts: str
    at: float


@dataclass(frozen=True)
class Disturbance:
    """A time in which a fault was at work; `host` is empty for all hosts.

    `spares_hosts` says that it touched servers only: the hosts stay in touch.
    """

    host: str
    begin: float
    end: float
    is_planned: bool = False
    affects_servers_only: bool = False


@dataclass
class History:
    """All that one run of the soak recorded.

    Attributes:
        sent: requests by id.
        runs: what servers began to work on.
        arrivals: sendings of crashing requests that reached a server, run or not.
        crashes: ends of servers under such a request.
        calls: calls of the cloud API.
        disturbances: when faults were at work, those of planned work included.
        revoked: when the removal of a key was acknowledged.
        left: when a server's leaving was acknowledged.
        final_fault_end: end of the last fault.
        end: when callers stopped.
    """

    requests: dict[str, SentRequest] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    arrivals: list[Execution] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)
    duty_calls: list[DutyCall] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    key_revoked_at: dict[str, float] = field(default_factory=dict)
    server_departing_at: dict[str, float] = field(default_factory=dict)
    last_fault_end: float = 0.0
    end: float = 0.0

    def is_disturbed(
        self, host: str, begin: float, end: float, *, include_server_faults: bool = True
    ) -> bool:
        """Whether an unplanned fault touched a host or all hosts in a time."""
        return any(
            not disturbance.is_planned
            and (include_server_faults or not disturbance.affects_servers_only)
            and disturbance.host in {"", host}
            and disturbance.begin <= end
            and disturbance.end >= begin
            for disturbance in self.disturbances
        )
