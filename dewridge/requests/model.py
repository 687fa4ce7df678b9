"""Data types of requests, their answers and their results."""

from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

import trio

from dewridge.codes import ResultCode
from dewridge.ids import (
    ClientAccount,
    Generation,
    OperationName,
    RequestId,
    RequestKey,
    ServiceName,
)
from dewridge.sentinels import Failure


@dataclass(frozen=True, slots=True)
class Submission:
    """One submission of a request by a caller.

    Attributes:
        key: UUIDv7 that identifies the request; the same in every retry.
        number: counts the caller's submissions of the key from 1. A refusal of
            number n applies to all numbers up to n and to no later one.
        deadline: time by which the complete answer is due, in seconds since 1970.
        input: prompt text for a model, JSON text for a plain service.
        max_tokens: limit on generated tokens; 0 for a plain service.
    """

    account: ClientAccount
    service: ServiceName
    operation: OperationName
    key: RequestKey
    number: int
    deadline: float
    input: str
    max_tokens: int = 0


class RequestState(Enum):
    """Processing state of a request, as shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"
    """Not run; a later submission number may run."""
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The request is accepted: this host and at least one replica store it.

    Attributes:
        attached: whether the submission was attached to an existing request.
    """

    request: RequestId
    generation: Generation
    attached: bool = False


@dataclass(frozen=True, slots=True)
class TokensEvent:
    """Consecutive tokens of an answer's generation, starting at `offset`."""

    generation: Generation
    offset: int
    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RestartEvent:
    """Tokens of earlier generations are invalid; the answer restarts."""

    generation: Generation


@dataclass(frozen=True, slots=True)
class MovedEvent:
    """This host is leaving; the caller continues at one of these frontend addresses."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HeartbeatEvent:
    """No new data; shows that the connection is alive."""


@dataclass(frozen=True, slots=True)
class AnswerSummary:
    """Statistics that are sent with the end of an answer.

    Attributes:
        tokens: number of tokens in the complete answer.
        attempts: number of dispatches to backend servers.
        recomputed: tokens computed more than once.
        cost: cost by the backend servers' prices and the time used.
        backend_server: id of the backend server that completed the answer.
        failure_domain: failure domain of that backend server.
        profile: name of the profile in force at acceptance.
    """

    tokens: int = 0
    attempts: int = 0
    recomputed: int = 0
    cost: float = 0.0
    backend_server: str = ""
    failure_domain: str = ""
    profile: str = ""


@dataclass(frozen=True, slots=True)
class EndedEvent:
    """The final result of a request; no event follows it.

    Attributes:
        code: OK, or why there is no complete answer (see `codes.CODE_TABLE`).
        body: a plain service's answer as JSON text.
    """

    code: ResultCode
    reason: str = ""
    retry_after: float | None = None
    body: str = ""
    summary: AnswerSummary = field(default_factory=AnswerSummary)


AnswerEvent = TokensEvent | RestartEvent | MovedEvent | HeartbeatEvent | EndedEvent


@dataclass(frozen=True, slots=True)
class RequestStatus:
    """The status of a request, looked up by its key."""

    request: RequestId
    state: RequestState
    generation: Generation
    tokens: int
    ended: EndedEvent | None


AnswerStream = AbstractAsyncContextManager["trio.MemoryReceiveChannel[AnswerEvent]"]


class Requests(Protocol):
    """The interface of request processing that the frontend uses."""

    async def submit(self, submission: Submission) -> Accepted | Failure:
        """Accept a submission, attach it to the request of its key, or refuse it."""

    def follow(
        self,
        account: ClientAccount,
        key: RequestKey,
        generation: Generation,
        offset: int,
    ) -> AnswerStream:
        """Stream an answer from an offset on, whichever host owns the request.

        The channel ends after an EndedEvent or a MovedEvent. A request that no
        host knows ends immediately with UNKNOWN_REQUEST. A generation of 0 selects
        the current one from its start.
        """

    async def look_up(
        self, account: ClientAccount, key: RequestKey
    ) -> RequestStatus | Failure:
        """Return the status of a request; UNKNOWN_REQUEST if no host knows it."""

    async def cancel(
        self, account: ClientAccount, key: RequestKey
    ) -> RequestStatus | Failure:
        """Cancel a request as early as possible and return its status."""
