"""Types shared by the scheduling policies. Times are seconds on the caller's clock."""

from dataclasses import dataclass
from enum import Enum

from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    FailureDomain,
    OperationName,
    RequestId,
)
from dewridge.sentinels import Failure


class WorkClass(Enum):
    """Whether a user waits for the answer."""

    INTERACTIVE = "interactive"
    BACKGROUND = "background"


@dataclass(frozen=True, slots=True)
class Work:
    """The properties of a request that scheduling uses.

    Attributes:
        arrival: when the request was accepted.
        deadline: when the complete answer is due.
        prompt_tokens: size of the input.
        expected_tokens: expected size of the answer.
        idempotent: whether the request may be repeated after it may have run.
        prefix: hash of the prompt's first part, salted with the account; 0 for none.
        tokens_done: tokens retained from earlier attempts.
        version: software version of the servers that can continue after these tokens;
            None for any.
    """

    request: RequestId
    account: ClientAccount
    operation: OperationName
    work_class: WorkClass
    arrival: float
    deadline: float
    prompt_tokens: int
    expected_tokens: int
    idempotent: bool = True
    prefix: int = 0
    tokens_done: int = 0
    version: str | None = None

    @property
    def size(self) -> int:
        """Tokens that remain to be processed, including the prompt."""
        return self.prompt_tokens + max(1, self.expected_tokens - self.tokens_done)


@dataclass(frozen=True, slots=True)
class ServerView:
    """The properties of a backend server that scheduling uses.

    Attributes:
        price: money per hour.
        reclaimable: whether the platform may reclaim the server at short notice.
        capacity: maximum number of concurrent requests.
        leaving_at: when a leaving server ends; it gets no new work.
        load: queued and running requests in the last report, which may be stale.
        load_at: time of that report.
        version: version of its software.
    """

    id: BackendServerId
    failure_domain: FailureDomain
    machine_class: str
    price: float
    reclaimable: bool
    capacity: int
    leaving_at: float | None = None
    load: float = 0.0
    load_at: float = 0.0
    version: str = ""


@dataclass(frozen=True, slots=True)
class Assignment:
    """A request and the backend server to send it to now."""

    work: Work
    server: BackendServerId


class AttemptOutcome(Enum):
    """How an attempt ended."""

    DONE = "done"
    NOT_STARTED = "not_started"
    """It certainly did not start, and may be repeated even if it is not idempotent."""
    REJECTED = "rejected"
    """The server rejected the input, as every other server would."""
    LOST = "lost"
    """It failed, or its connection broke or went silent; it may have run."""
    LEAVING = "leaving"
    """This host stopped it because its server is being reclaimed."""


@dataclass(frozen=True, slots=True)
class Retry:
    """The request is queued again after `after` seconds; `pick` returns it later."""

    after: float


@dataclass(frozen=True, slots=True)
class Abandoned:
    """A request that ends now with a failure."""

    request: RequestId
    failure: Failure


@dataclass(frozen=True, slots=True)
class Move:
    """A running request that is to be stopped and sent to another server.

    Attributes:
        stop_at: when to stop the request. Moves are spread over time, so that the work
            of a failure domain does not arrive at another one all at once.
        export_cache: whether to export the request's KV cache from the engine first.
    """

    request: RequestId
    stop_at: float
    export_cache: bool


@dataclass(frozen=True, slots=True)
class Usage:
    """Counters of answers, costs and losses of a profile on this host, by name."""

    counters: dict[str, float]
