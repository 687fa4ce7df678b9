"""Records of what callers, servers and the cloud API stand-in saw."""

import signal
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

RETRY_SLACK = 54.0
"""Retries of a service that operators usually allow in a window, beside a share of its
requests."""
LOW_RETRY_SLACK = 12.0
"""The same where servers reject most requests, so that retries soon reach the limit."""


NOTICE_MARGIN = 0.3
"""Seconds before the end of an engine's notice in which no request has to reach it."""
RESTART_IMPACT_SECONDS = 1.0
"""Seconds in which hosts read a record, or ask which process has sent an answer."""
STREAM_SECONDS = 0.48
"""Usual length of a stream."""
STREAM_ROUTE_TIMEOUT = 15.0
"""Seconds after which hosts abandon a stream."""
PLAIN_ROUTE_TIMEOUT = 6.0
"""Seconds after which hosts abandon a request without a stream."""


class RequestKind(Enum):
    """Kinds of requests that the soak test sends; the value is the path prefix."""

    READ = "read"
    WRITE = "write"
    CHAT = "chat"
    DRAFT = "draft"

    @property
    def is_retryable(self) -> bool:
        """Whether a request of this kind may be executed more than once."""
        return self in {RequestKind.READ, RequestKind.CHAT}

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in {RequestKind.CHAT, RequestKind.DRAFT}

    @property
    def service(self) -> str:
        """The service whose servers answer requests of this kind."""
        return "engine" if self.is_stream else "plain"

    @property
    def route_timeout(self) -> float:
        """Seconds after which hosts abandon a request of this kind."""
        return STREAM_ROUTE_TIMEOUT if self.is_stream else PLAIN_ROUTE_TIMEOUT


@dataclass
class SentRequest:
    """One request as its caller saw it; times in seconds of the monotonic clock.

    Attributes:
        id: unique id of the attempt.
        kind: kind of the request.
        host: entry host that it was sent to.
        key: account key of the request.
        tokens: quota tokens that it uses.
        sent_at: when the caller began to send it.
        ended_at: when its response or connection ended; None if still open at the end.
        status: status code of the response; 0 if there was none.
        is_signed: whether the response had a server's signature.
        is_complete: whether the response was received to its end.
        body: body of the response.
        events: (number, request id, whether it is the last one) of each event.
        is_abandoned: whether the caller stopped waiting for the response.
        content: body of the request; the same for retries of one request.
        crashes_servers: whether it crashes each server that begins to execute it.
        breaks_off: whether its caller breaks the connection in the middle.
        first_attempt: id of the attempt that brought the first event of the stream that
            it resumes; empty for a new stream.
        resumes_after: number of the last event that the caller has of that stream.
        versions: versions of the servers that wrote the events, if they have any.
        parts: parts of its prompt; the last one is its own.
        stream_seconds: how long its server takes for the whole stream.
        first_event_seconds: how long its server takes before that, or before it answers
            a request without a stream.
        timeout: seconds until its deadline; 0 for the usual time.
        event_bytes: bytes that are added to each event.
        read_pause: seconds that its caller pauses before each small read of the
            response; 0 if it reads at once.
        sent_by: when the caller had sent its last byte.
        is_kept: whether its connection had carried another request before.
        is_reset: whether the connection was reset, which also happens if the process at
            its other end had not read all that was sent.
        upload_bytes: bytes of its body if that is an upload; 0 otherwise.
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
    breaks_off: bool = False
    first_attempt: str = ""
    resumes_after: int = 0
    versions: set[str] = field(default_factory=set)
    parts: tuple[str, ...] = ()
    stream_seconds: float = STREAM_SECONDS
    first_event_seconds: float = 0.0
    timeout: float = 0.0
    event_bytes: int = 0
    read_pause: float = 0.0
    sent_by: float = 0.0
    is_kept: bool = False
    is_reset: bool = False
    upload_bytes: int = 0


@dataclass
class ServerRun:
    """An execution of a request on a server, until it ended there.

    Attributes:
        id: id of the request.
        server: the server.
        began_at: monotonic time in seconds.
        ended_at: when the server had answered or saw that the connection was closed;
            None if it still runs.
        has_broken_off: whether the server itself broke the answer off.
        is_unframed: whether its answer has neither a length nor chunks.
        has_finished: whether the server sent the whole answer and ended it in order.
    """

    id: str
    server: str
    began_at: float
    ended_at: float | None = None
    has_broken_off: bool = False
    is_unframed: bool = False
    has_finished: bool = False

    def end(self) -> None:
        """Record the end, unless it was recorded before."""
        if self.ended_at is None:
            self.ended_at = time.monotonic()


@dataclass(frozen=True)
class StopRecord:
    """An order to stop a run and to move its memory, as an engine got it.

    Attributes:
        id: id of the request.
        server: the engine.
        at: monotonic time in seconds.
        reply: what the engine replied, or what happened to the reply.
        is_usable: whether the reply says what became of the run.
    """

    id: str
    server: str
    at: float
    reply: str
    is_usable: bool


@dataclass
class EngineMemory:
    """Memory of a run that an engine has stopped.

    Attributes:
        handle: its handle.
        id: id of the request.
        source: the engine that ran it.
        target: the engine that has a copy; empty if there is none.
        created_at: monotonic time in seconds.
        announced_at: when the source replied with the handle in time; None if it
            did not.
        freed_at: when it was freed; None if it was not.
        forgotten_by: engines that don't have it any more although it was not freed.
    """

    handle: str
    id: str
    source: str
    target: str
    created_at: float
    announced_at: float | None = None
    freed_at: float | None = None
    forgotten_by: set[str] = field(default_factory=set)


@dataclass
class Restart:
    """An engine that has closed its connections and started again under its name.

    Attributes:
        server: the engine.
        at: monotonic time in seconds.
        recorded_at: when its record had the new start time.
    """

    server: str
    at: float
    recorded_at: float = float("inf")

    def affects(self, run: ServerRun) -> bool:
        """Whether a host may not know which process an execution belongs to."""
        ended_at = float("inf") if run.ended_at is None else run.ended_at
        return (
            run.server == self.server
            and run.began_at <= self.recorded_at + RESTART_IMPACT_SECONDS
            and ended_at >= self.at - RESTART_IMPACT_SECONDS
        )


@dataclass(frozen=True)
class Continuation:
    """A request that asked to go on from memory; `has_run` if the engine ran it."""

    handle: str
    id: str
    server: str
    at: float
    has_run: bool


@dataclass(frozen=True)
class HostSignal:
    """A signal that was sent to the process of a host.

    Attributes:
        number: number of the signal.
        at: monotonic time in seconds.
        is_handled: whether the process had a handler for it.
    """

    number: int
    at: float
    is_handled: bool = True


@dataclass
class HostBoot:
    """One process of a host, from its start to its end.

    Attributes:
        host: name of the host.
        started_at: monotonic time in seconds.
        signals: signals that were sent to it, except SIGKILL, SIGSTOP and SIGCONT.
        exited_at: when it had ended; None if it still runs.
        status: exit status, or the negated number of the signal that ended it.
    """

    host: str
    started_at: float
    signals: list[HostSignal] = field(default_factory=list)
    exited_at: float | None = None
    status: int | None = None

    @property
    def leaves_at(self) -> float | None:
        """When it was first asked to shut down; None if it was not."""
        times = [sent.at for sent in self.signals if sent.number == signal.SIGTERM]
        return min(times, default=None)


@dataclass(frozen=True)
class Execution:
    """The start of a request on a server; `at` is a monotonic time in seconds."""

    id: str
    server: str
    account: str
    at: float


@dataclass(frozen=True)
class Crash:
    """A crash of a server while it executed a request with this content."""

    content: str
    server: str
    at: float


@dataclass(frozen=True)
class DutyCall:
    """A call of the cloud API by a duty holder.

    Attributes:
        holder: host that made the call.
        fencing_token: token of the holder's lease.
        subject: usage window or server group that the call is about.
        counts: reported or ordered counts, as text.
        at: monotonic time of the call.
    """

    holder: str
    fencing_token: int
    subject: str
    counts: str
    at: float


@dataclass(frozen=True)
class Disturbance:
    """A period in which a fault was active; `host` is empty for all hosts.

    `affects_servers_only` means that hosts still reach the store and each other, and
    `affects_store_only` that they reach servers and each other.
    """

    host: str
    begin: float
    end: float
    is_planned: bool = False
    affects_servers_only: bool = False
    affects_store_only: bool = False


class Signal(Enum):
    """Signals by which a server asks for fewer requests."""

    LIMIT = "limit"
    REST = "rest"
    LEAVING = "leaving"


@dataclass(frozen=True)
class SignalAnswer:
    """An answer with a signal that a server sent to a host.

    Attributes:
        signal: the signal.
        server: server that sent it.
        host: entry host that got it.
        value: requests per second of a limit, seconds of a rest.
        at: monotonic time in seconds.
    """

    signal: Signal
    server: str
    host: str
    value: float
    at: float


@dataclass(frozen=True)
class Fall:
    """A brittle server that fell over since it had to reject too many requests."""

    server: str
    service: str
    at: float


@dataclass(frozen=True)
class BrittlePeriod:
    """A period in which the servers of a service are brittle and have little room."""

    service: str
    server_count: int
    begin: float
    end: float


@dataclass(frozen=True)
class Partition:
    """A period in which some hosts did not reach any server."""

    hosts: frozenset[str]
    begin: float
    end: float


@dataclass
class ServerPeriod:
    """The period in which a server of a version took requests."""

    version: str
    begin: float
    end: float = float("inf")


@dataclass
class ServerReturn:
    """The time from which a server is registered again after its record had lapsed.

    Attributes:
        server: the server.
        service: its service.
        at: when the store acknowledged its record.
        until: when it left, or when something else kept requests from it.
    """

    server: str
    service: str
    at: float
    until: float = float("inf")


@dataclass(frozen=True)
class VersionProbe:
    """A request on a route that a version of the configuration has added."""

    host: str
    version: int
    written_at: float
    sent_at: float
    status: int
    """Status of the answer; 0 without one."""


@dataclass
class History:
    """All records of one run of the soak test.

    Attributes:
        requests: requests by id.
        executions: requests that servers began to execute.
        arrivals: attempts of crashing requests that reached a server, executed or not.
        crashes: server crashes caused by such requests.
        duty_calls: calls of the cloud API.
        disturbances: periods of faults and of planned operations.
        key_revoked_at: when the store acknowledged the removal of a key.
        server_departing_at: when the store acknowledged that a server is draining.
        last_fault_end: end of the last fault.
        signal_answers: answers of servers that asked for fewer requests.
        server_arrivals: requests that reached servers that ever did, executed or not.
        all_arrivals: requests that reached servers, executed or not.
        falls: brittle servers that fell over.
        brittle_periods: periods in which servers were brittle.
        rejections_for_room: requests that brittle servers rejected for want of room.
        partitions: periods in which hosts were partitioned from all servers.
        server_periods: periods of the servers that have versions, by server.
        version_probes: requests on routes that versions have added.
        store_cuts: disturbances of hosts that did not reach the store while a new
            version appeared.
        new_versions: what happened while each new version appeared.
        runs: executions with the times at which they ended.
        boots: processes of the hosts.
        configurations_written_at: when the store acknowledged each configuration.
        leavings: times that hosts left while callers went on to use them.
        retry_slack: retries that operators allow in a window beside a share of the
            requests.
        stop_records: orders to stop runs.
        memories: memory of stopped runs, by handle.
        continuations: requests that asked to go on from memory.
        continuation_arrivals: the same, as they reached servers.
        notices: seconds that leaving engines said they would go on.
        server_ended_at: when leaving engines ended.
        restarts: engines that started again under their names.
        odd_entries: odd entries that another writer left in the store.
        returns: servers that registered again after their record had lapsed.
        restores: restores of the store from an older copy.
        end: end of the observed period; later interruptions are ignored.
    """

    requests: dict[str, SentRequest] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    arrivals: list[Execution] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)
    duty_calls: list[DutyCall] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    key_revoked_at: dict[str, float] = field(default_factory=dict)
    server_departing_at: dict[str, float] = field(default_factory=dict)
    signal_answers: list[SignalAnswer] = field(default_factory=list)
    server_arrivals: list[Execution] = field(default_factory=list)
    all_arrivals: list[Execution] = field(default_factory=list)
    falls: list[Fall] = field(default_factory=list)
    brittle_periods: list[BrittlePeriod] = field(default_factory=list)
    rejections_for_room: int = 0
    partitions: list[Partition] = field(default_factory=list)
    server_periods: dict[str, ServerPeriod] = field(default_factory=dict)
    version_probes: list[VersionProbe] = field(default_factory=list)
    store_cuts: list[Disturbance] = field(default_factory=list)
    new_versions: list[str] = field(default_factory=list)
    runs: list[ServerRun] = field(default_factory=list)
    boots: list[HostBoot] = field(default_factory=list)
    configurations_written_at: list[float] = field(default_factory=list)
    leavings: int = 0
    retry_slack: float = RETRY_SLACK
    stop_records: list[StopRecord] = field(default_factory=list)
    memories: dict[str, EngineMemory] = field(default_factory=dict)
    continuations: list[Continuation] = field(default_factory=list)
    continuation_arrivals: list[Execution] = field(default_factory=list)
    notices: dict[str, float] = field(default_factory=dict)
    server_ended_at: dict[str, float] = field(default_factory=dict)
    restarts: list[Restart] = field(default_factory=list)
    odd_entries: int = 0
    returns: list[ServerReturn] = field(default_factory=list)
    restores: int = 0
    last_fault_end: float = 0.0
    end: float = 0.0

    def end_returns(self, server: str) -> None:
        """Record that a server may get no requests from now on."""
        for returned in self.returns:
            if returned.server == server:
                returned.until = min(returned.until, time.monotonic())

    def record_fault(self) -> None:
        """Record a fault from which most requests must recover after a time."""
        self.last_fault_end = max(self.last_fault_end, time.monotonic())

    def is_disturbed(
        self, host: str, begin: float, end: float, *, include_server_faults: bool = True
    ) -> bool:
        """Whether an unplanned fault affected the host, or all hosts, in a period."""
        return any(
            not disturbance.is_planned
            and (include_server_faults or not disturbance.affects_servers_only)
            and disturbance.host in {"", host}
            and disturbance.begin <= end
            and disturbance.end >= begin
            for disturbance in self.disturbances
        )

    def is_cut_by_order(self, request: SentRequest) -> bool:
        """Whether failed replies to orders to stop a stream excuse that it was cut.

        A host may cut a stream if it can't learn whether it was stopped, or learns it
        when the engine that has its memory is about to end.
        """
        ended_at = self.end if request.ended_at is None else request.ended_at
        replies = [
            record
            for record in self.stop_records
            if record.id == request.id and record.at <= ended_at
        ]
        failed = [record for record in replies if not record.is_usable]
        if not failed:
            return False
        return failed[-1] is replies[-1] or any(
            ended_at >= self._find_stop(record.server) - NOTICE_MARGIN
            for record in replies
        )

    def is_restarted(self, runs: Iterable[ServerRun]) -> bool:
        """Whether an engine of an execution started again meanwhile."""
        return any(restart.affects(run) for run in runs for restart in self.restarts)

    def _find_stop(self, server: str) -> float:
        """Return when a leaving engine may end by its notice."""
        notice = self.notices.get(server, float("inf"))
        return self.server_departing_at.get(server, 0.0) + notice
