"""Types shared by the decisions. Times are seconds on the caller's clock."""

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
    """Whether somebody waits for the answer."""

    INTERACTIVE = "interactive"
    BACKGROUND = "background"


@dataclass(frozen=True, slots=True)
class Work:
    """A request as the decisions see it.

    Attributes:
        arrival: when it was accepted.
        deadline: when the whole answer is due.
        prompt_tokens: size of the input.
        expected_tokens: size of the answer that is reckoned with.
        prefix: account-salted hash of the prompt's first part; 0 for none.
        tokens_done: tokens kept from earlier attempts.
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

    @property
    def size(self) -> int:
        """Tokens that are still to be computed, prompt included."""
        return self.prompt_tokens + max(1, self.expected_tokens - self.tokens_done)


@dataclass(frozen=True, slots=True)
class ServerView:
    """A backend server as the decisions see it.

    Attributes:
        price: money per hour.
        capacity: requests that it runs side by side at most.
        leaving_at: when it goes, if it is leaving; it gets no new work.
        load: queued and running requests as last reported, stale.
        load_at: when that was reported.
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


@dataclass(frozen=True, slots=True)
class Assignment:
    """A request and the backend server that it is to be sent to now."""

    work: Work
    server: BackendServerId


class AttemptOutcome(Enum):
    """How an attempt ended, as far as the decisions care."""

    DONE = "done"
    NOT_STARTED = "not_started"
    """Provably did not start: safe to send elsewhere, even if not idempotent."""
    REJECTED = "rejected"
    """The input is at fault; no other server would take it."""
    LOST = "lost"
    """It broke, failed or went silent: it may have run."""
    LEAVING = "leaving"
    """Stopped by us because its server is being reclaimed."""


@dataclass(frozen=True, slots=True)
class Retry:
    """Try again: the work is back in the queue and comes out of `pick`."""

    after: float


@dataclass(frozen=True, slots=True)
class Abandoned:
    """A request that gets its final answer now."""

    request: RequestId
    failure: Failure


@dataclass(frozen=True, slots=True)
class Move:
    """A running request to be stopped and sent elsewhere, at a time.

    Attributes:
        at: when to stop it; now or a little later, so that the work of a
            failure domain does not reach the next one at one moment.
        export_cache: whether to ask the engine for its KV cache first.
    """

    request: RequestId
    at: float
    export_cache: bool


@dataclass(frozen=True, slots=True)
class Usage:
    """What a profile cost and lost on this host, by counter name."""

    counters: dict[str, float]
