"""Calls, answers and limits of the client."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from dewridge.codes import CODE_TABLE, Outcome, ResultCode
from dewridge.ids import RequestKey
from dewridge.requests.model import AnswerEvent, AnswerSummary


@dataclass(frozen=True, slots=True)
class Call:
    """One call of an operation.

    Attributes:
        input: text for a model, any JSON value for a plain service.
        deadline: seconds from now by which the complete answer is needed.
        max_tokens: limit on generated tokens; 0 sets none.
        key: UUIDv7 that identifies the request; generated if empty. A caller
            that stores it can retry after a crash without running the request
            twice.
    """

    service: str
    operation: str
    input: Any
    deadline: float = 60.0
    max_tokens: int = 0
    key: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """The final result of a call.

    Attributes:
        code: OK if the answer is complete, otherwise the reason why not.
        text: a model's answer.
        result: a plain service's answer, decoded.
        submissions: how many times the call was submitted.
        connections: how many connections were used.
        restarts: how many times the answer restarted under a new generation.
        hosts: the addresses used, in the order of their first use.
    """

    key: RequestKey
    code: ResultCode
    reason: str = ""
    retry_after: float | None = None
    text: str = ""
    tokens: tuple[str, ...] = ()
    result: Any = None
    summary: AnswerSummary = field(default_factory=AnswerSummary)
    submissions: int = 0
    connections: int = 0
    restarts: int = 0
    hosts: tuple[str, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Whether the complete answer was received."""
        return self.code is ResultCode.OK

    @property
    def outcome(self) -> Outcome:
        """What is known about whether the call ran."""
        return CODE_TABLE[self.code].outcome


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Timeouts, retry delays and limits of a client; times are in seconds.

    Attributes:
        connect_timeout: for connecting. Short, since another host can be tried.
        silence_timeout: a stream without any event, heartbeats included, for
            this long is abandoned and resumed at another host. Spans a few
            heartbeats. Needed because a network hop that loses track of a
            connection never closes it.
        list_timeout: for the entry list and other short reads.
        accept_timeout: from sending a request to the head of the response.
        host_time_share: fraction of the time left until the deadline that the
            client waits for one host.
        min_host_timeout: lower bound of that wait; longer than the heartbeat
            interval.
        initial_backoff: delay after the second consecutive failure; it doubles
            with each further one.
        max_backoff: upper bound of the delay between attempts.
        grace: time past the deadline in which the final result may arrive.
        max_submissions: maximum submissions of one key; 0 sets no limit.
    """

    connect_timeout: float = 1.0
    silence_timeout: float = 7.0
    list_timeout: float = 1.5
    accept_timeout: float = 10.0
    host_time_share: float = 0.3
    min_host_timeout: float = 2.5
    initial_backoff: float = 0.05
    max_backoff: float = 2.0
    grace: float = 2.0
    max_submissions: int = 0


OnEvent = Callable[[AnswerEvent], None]
"""Called with each event of an answer as it is received, without duplicates."""
