"""State of one request over its attempts at servers."""

from collections import defaultdict
from dataclasses import dataclass, field, replace
from functools import cached_property
from hashlib import blake2b

from dewridge.digests import (
    make_account_part_digest,
    make_part_digest,
    make_stream_key,
)
from dewridge.gateway.digests import make_digest
from dewridge.gateway.model import Account, CallerRequest, Route, ServerRecord
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    HostId,
    PartDigest,
    Release,
    RequestDigest,
    ServiceName,
    StreamKey,
)
from dewridge.platform.engines import CacheCopy
from dewridge.policy.expectedtime import ExpectedPlacement
from dewridge.policy.streamversions import (
    Origin,
)

MAX_PREFIX_NAME = 200
"""Characters of the name of a prefix; tables keep thousands of them."""
PRIORITY_STEP = 3
"""Route priorities within one account priority on the engines' scale from 0 to 9."""


@dataclass(frozen=True, slots=True)
class Continuation:
    """A server that continues a stopped run, and the engine memory to continue from."""

    server: ServerRecord
    memory: CacheCopy


@dataclass(frozen=True, slots=True)
class StopOrder:
    """An order to stop a run and to copy its memory.

    Attributes:
        source: the server that runs it.
        target: the server to which its memory is copied.
        has_retry: whether a retry was used for the run that goes on from the memory.
    """

    source: ServerRecord
    target: ServerRecord
    has_retry: bool = True


@dataclass(frozen=True, slots=True)
class HeldMemory:
    """Memory of a stopped run that no run has used yet.

    Attributes:
        order: the order that stopped the run.
        memory: the memory.
    """

    order: StopOrder
    memory: CacheCopy


@dataclass(frozen=True, slots=True)
class SharedPart:
    """A part of a prompt, by digests.

    Attributes:
        part: digest of the part.
        in_account: digest of the part in the requests of the request's account.
    """

    part: PartDigest
    in_account: RequestDigest


@dataclass
class Job:
    """A request that is being served; all times are monotonic times.

    Attributes:
        request: the caller's request.
        route: the route of the request.
        account: the account that sent it; None on an anonymous route.
        service: the service chosen for it.
        deadline: time at which it is abandoned.
        is_engine: whether model engines serve it.
        tried_servers: servers that it was sent to.
        possible_runs: attempts that may have run, counted against the route's limit.
        last_event: id of the last event forwarded, or after which the caller resumes.
        sent_at: time at which the current or last attempt was sent.
        attempt_first_event_at: time of that attempt's first event; None without one.
        rejections: attempts that servers rejected.
        may_have_run: whether some server may have run it.
        has_retry: whether a retry of its service's budget is reserved for the next
            attempt.
        is_usage_counted: whether it is counted in its account's usage.
        unprocessed_tokens: prompt tokens that the server probably has yet to process.
        prefill_measured_from: time at which the attempt was sent to an idle engine, to
            measure its prompt processing rate; None if the engine was not idle.
        expected: expected times to the first event of the current attempt; None if its
            server was not chosen by them.
        probed: how many of the servers asked for their load answered before the current
            attempt; empty if none was asked.
        cache_holder: address of a server that probably has the prompt's shared prefix
            cached; None if no copy is needed.
        events: number of events forwarded.
        first_event_at: time of the first event forwarded in any attempt.
        last_event_at: time of the last event forwarded.
        continuation: where and from which memory a stopped run continues.
        fallback: where it continues if the server of `continuation` rejects it.
        unknown_orders: orders to stop its runs whose outcome is unknown.
        unanswered_orders: orders that had no reply, by the server that got them. They
            may be carried out late, on a later run at that server.
        may_have_ended: whether the last attempt may have sent all events: its answer
            ended in order, and only its run may have been stopped.
        held_memory: memory of stopped runs that no run has used yet.
        withheld_servers: servers that asked for fewer requests when it was refused.
        was_moved: whether it was stopped and moved; it is never started anew then.
        relays: peers by which it was sent.
        origin: the version that began the stream, and how it is known; None before the
            first event of a new stream, and for other requests.
        is_version_recorded: whether the version is recorded for the caller's later
            attempts.
        admission_share: share of its account's requests that the plan admitted; None
            if the service was not contended.
        has_survived: whether a server has answered it for long enough to show that it
            crashes no servers.
        is_probe: whether it may be sent to one server although a part of its prompt is
            set aside.
    """

    request: CallerRequest
    route: Route
    account: Account | None
    service: ServiceName
    deadline: float
    is_engine: bool
    tried_servers: list[BackendServerId] = field(default_factory=list)
    sent_at: float = float("-inf")
    attempt_first_event_at: float | None = None
    rejections: int = 0
    possible_runs: int = 0
    last_event: int | None = None
    may_have_run: bool = False
    has_retry: bool = False
    is_usage_counted: bool = False
    unprocessed_tokens: int = 0
    prefill_measured_from: float | None = None
    expected: ExpectedPlacement | None = None
    probed: str = ""
    cache_holder: str | None = None
    events: int = 0
    first_event_at: float | None = None
    last_event_at: float | None = None
    continuation: "Continuation | None" = None
    fallback: "Continuation | None" = None
    unknown_orders: list[StopOrder] = field(default_factory=list)
    unanswered_orders: dict[BackendServerId, list[StopOrder]] = field(
        default_factory=lambda: defaultdict(list)
    )
    may_have_ended: bool = False
    held_memory: list[HeldMemory] = field(default_factory=list)
    withheld_servers: list[BackendServerId] = field(default_factory=list)
    was_moved: bool = False
    relays: list[HostId] = field(default_factory=list)
    origin: Origin | None = None
    is_version_recorded: bool = False
    admission_share: float | None = None
    has_survived: bool = False
    is_probe: bool = False

    def __post_init__(self) -> None:
        """Set the event after which the caller resumes."""
        if self.route.is_resumable:
            self.last_event = self.request.last_event

    def find_order(self, server: BackendServerId) -> StopOrder | None:
        """Return an order to a server whose outcome is unknown."""
        orders = (each for each in self.unknown_orders if each.source.id == server)
        return next(orders, None)

    def expect_late_order(self, server: BackendServerId) -> bool:
        """Return whether an earlier order may stop a run that begins at a server."""
        orders = self.unanswered_orders.get(server)
        if not orders:
            return False
        if self.find_order(server) is None:
            self.unknown_orders.append(replace(orders[-1], has_retry=False))
        return True

    def record_carried_out(self, server: BackendServerId) -> None:
        """Record that the first order without a reply has stopped the run.

        The engine had ended the answer before the order was repeated, and has the run's
        memory.
        """
        del self.unanswered_orders[server][:1]

    def record_memory_used(self, memory: CacheCopy) -> None:
        """Record that a run goes on from the memory of a stopped one."""
        self.held_memory = [each for each in self.held_memory if each.memory != memory]

    def drop_orders(self, server: BackendServerId) -> None:
        """Forget the orders to a server, whose outcomes do not matter any more."""
        self.unknown_orders = [
            order for order in self.unknown_orders if order.source.id != server
        ]

    @property
    def release(self) -> Release | None:
        """The version whose servers alone may continue the stream; None for any."""
        return None if self.origin is None else self.origin.release

    @cached_property
    def stream_key(self) -> StreamKey:
        """Digest of the attempt that brought, or will bring, the stream's first event.

        All later attempts of the caller name that attempt.
        """
        first_attempt = self.request.resumed_attempt or self.request.id.encode(
            "latin-1"
        )
        return make_stream_key(
            self.account.name if self.account else None, first_attempt
        )

    @cached_property
    def digest(self) -> RequestDigest:
        """Digest of the request's content, computed on first use."""
        return make_digest(self.request, self.account.name if self.account else None)

    @cached_property
    def shared_parts(self) -> tuple["SharedPart", ...]:
        """The parts of its prompt that other requests may have too."""
        account = self.account.name if self.account else ClientAccount("")
        sizes = self.request.sizes
        parts = [
            make_part_digest(self.service, sizes.model, part.id)
            for part in sizes.parts[:-1]
        ]
        return tuple(
            SharedPart(part, make_account_part_digest(account, part))
            for part in dict.fromkeys(parts)
        )


def compute_engine_priority(job: Job) -> int:
    """Return the priority for the engine: by account first, then by route."""
    account = job.account.priority if job.account else None
    if account is None:
        return min(9, job.route.priority)
    return min(9, account * PRIORITY_STEP + min(PRIORITY_STEP - 1, job.route.priority))


def make_prefix_name(job: Job) -> str:
    """Return the name of a prompt's shared prefix, which determines its cache holder.

    A prompt without a shared prefix is named by its request id, which spreads such
    prompts over all servers.
    """
    sizes = job.request.sizes
    shared = sizes.parts[:-1]
    name = f"{sizes.model}/{shared[-1].id if shared else job.request.id}"
    if len(name) <= MAX_PREFIX_NAME:
        return name
    return blake2b(name.encode(), digest_size=16).hexdigest()
