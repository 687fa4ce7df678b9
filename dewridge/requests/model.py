"""Requests as callers, owners and replicas see them."""

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
    """One sending of a request by a caller.

    Attributes:
        key: UUIDv7 that names the request; the same in every repeat.
        number: counts the caller's sendings of the key from 1. A refusal of
            number n holds for all numbers up to n and for no later one.
        deadline: seconds since 1970 by which the whole answer is wanted.
        input: prompt text for a model, JSON text for a plain service.
        max_tokens: bound on generated tokens; 0 for a plain service.
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
    """How far a request has come."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"
    """Not run; a later submission number may run."""
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The request is kept by this host and at least one replica.

    Attributes:
        attached: whether an earlier submission of the key was joined.
    """

    request: RequestId
    generation: Generation
    attached: bool = False


@dataclass(frozen=True, slots=True)
class TokensEvent:
    """Tokens of the answer, in order, from `offset` of a generation on."""

    generation: Generation
    offset: int
    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RestartEvent:
    """Earlier generations are void; the answer begins anew."""

    generation: Generation


@dataclass(frozen=True, slots=True)
class MovedEvent:
    """This host goes; continue at one of these frontend addresses."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HeartbeatEvent:
    """Nothing new, but the hop is alive."""


@dataclass(frozen=True, slots=True)
class AnswerSummary:
    """What is told with the end of an answer.

    Attributes:
        tokens: count of tokens in the whole answer.
        attempts: dispatches that it took.
        recomputed: tokens computed more than once.
        cost: money, by the backend servers' prices and the time held.
        backend_server: id of the one that finished it.
        failure_domain: where that one is.
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
    """The final word on a request; nothing follows.

    Attributes:
        code: OK, or why there is no whole answer (see `codes.TABLE`).
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
    """A request as looked up by its key."""

    request: RequestId
    state: RequestState
    generation: Generation
    tokens: int
    ended: EndedEvent | None


AnswerStream = AbstractAsyncContextManager["trio.MemoryReceiveChannel[AnswerEvent]"]


class Requests(Protocol):
    """What the frontend asks of the requests part of an entry host."""

    async def submit(self, submission: Submission) -> Accepted | Failure:
        """Accept a request, join the one that runs, or refuse it."""

    def follow(
        self,
        account: ClientAccount,
        key: RequestKey,
        generation: Generation,
        offset: int,
    ) -> AnswerStream:
        """Stream an answer from a place on, wherever in the system it runs.

        The channel ends after an EndedEvent or a MovedEvent; a request that
        is not known anywhere ends at once with UNKNOWN_REQUEST. A generation
        of 0 asks for the current one from the start.
        """

    async def look_up(
        self, account: ClientAccount, key: RequestKey
    ) -> RequestStatus | Failure:
        """Say how far a request has come: UNKNOWN_REQUEST if nobody knows it."""

    async def cancel(
        self, account: ClientAccount, key: RequestKey
    ) -> RequestStatus | Failure:
        """End a request as soon as may be; says what became of it."""
