"""Calls, answers and limits of the client."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from dewridge.codes import CODE_TABLE, Outcome, ResultCode
from dewridge.ids import RequestKey
from dewridge.requests.model import AnswerEvent, AnswerSummary


@dataclass(frozen=True, slots=True)
class Call:
    """What a caller wants done.

    Attributes:
        input: text for a model, any JSON value for a plain service.
        deadline: seconds from now by which the whole answer is wanted.
        key: UUIDv7 that names the request; made anew if empty. Keep it and
            use it again after a crash: the request does not run twice.
    """

    service: str
    operation: str
    input: Any
    deadline: float = 60.0
    max_tokens: int = 0
    key: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """The final word on a call.

    Attributes:
        code: OK if the answer is whole, otherwise why it is not.
        text: a model's answer.
        result: a plain service's answer, decoded.
        submissions: how often the call was sent.
        connections: how many connections it took.
        restarts: how often the answer began anew.
        hosts: addresses in the order used.
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
    def is_whole(self) -> bool:
        """Whether the whole answer came."""
        return self.code is ResultCode.OK

    @property
    def outcome(self) -> Outcome:
        """What is known about whether the call ran."""
        return CODE_TABLE[self.code].outcome


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Timeouts and pauses of a client, in seconds.

    Attributes:
        connect_timeout: to connect. Short, since another host is at hand.
        silence_timeout: a stream on which not even a heartbeat comes for so
            long is abandoned and resumed elsewhere. A few heartbeats long: a
            hop that forgets a connection never closes it.
        list_timeout: for the entry list and other short reads.
        accept_timeout: from sending to the first answer.
        patience: part of the time left that one host may take of it.
        least_patience: but at least this long; more than a heartbeat.
        first_pause: before the second try at hosts that failed; it doubles.
        last_pause: longest pause between tries.
        grace: past the deadline, for the final word to arrive.
        submissions: sendings of one key at most; 0 sets no bound.
    """

    connect_timeout: float = 1.0
    silence_timeout: float = 7.0
    list_timeout: float = 1.5
    accept_timeout: float = 10.0
    patience: float = 0.3
    least_patience: float = 2.5
    first_pause: float = 0.05
    last_pause: float = 2.0
    grace: float = 2.0
    submissions: int = 0


OnEvent = Callable[[AnswerEvent], None]
"""Called with each event of an answer as it comes, duplicates left out."""
