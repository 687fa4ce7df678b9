"""Decoding of what a host sends: events, problems and the entry list."""

from collections.abc import AsyncGenerator, AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from dewridge.codes import Outcome, ResultCode
from dewridge.ids import Generation
from dewridge.requests.model import (
    AnswerEvent,
    AnswerSummary,
    EndedEvent,
    HeartbeatEvent,
    MovedEvent,
    RestartEvent,
    TokensEvent,
)
from dewridge.sentinels import Failure

MAX_LINE_CHARS = 16_000_000
"""Characters of one line; a host that sends more is taken for broken."""


@dataclass(frozen=True, slots=True)
class AcceptedEvent:
    """The host has accepted the submission."""

    generation: Generation
    attached: bool


StreamItem = AnswerEvent | AcceptedEvent


class FrameError(Exception):
    """A host sent what no host of this protocol sends."""


class _Frame(msgspec.Struct, frozen=True):
    """All fields of all events."""

    generation: int = 0
    offset: int = 0
    tokens: tuple[str, ...] = ()
    attached: bool = False
    addresses: tuple[str, ...] = ()
    code: int = 0
    reason: str = ""
    retry_after: float | None = None
    result: msgspec.Raw = msgspec.Raw(b"")
    summary: AnswerSummary | None = None


class _Problem(msgspec.Struct, frozen=True):
    code: int
    title: str = ""
    detail: str = ""
    outcome: str = ""
    retry_after: float | None = None


class ListedHost(msgspec.Struct, frozen=True):
    """One address of the entry list."""

    address: str
    failure_domain: str = ""


class ListedHosts(msgspec.Struct, frozen=True):
    """The entry list with the seconds that it may be kept."""

    hosts: tuple[ListedHost, ...]
    ttl: float


async def read_events(lines: AsyncIterator[str]) -> AsyncGenerator[StreamItem, None]:
    """Decode server-sent events.

    Raises:
        FrameError: a line is malformed or too long.
    """
    name = ""
    async for line in lines:
        if len(line) > MAX_LINE_CHARS:
            raise FrameError("a line is too long")
        field, _, value = line.partition(":")
        if field == "event":
            name = value.strip()
        elif field == "data":
            item = _decode_event(name, value.strip())
            if item is not None:
                yield item


def _decode_event(name: str, data: str) -> StreamItem | None:
    try:
        frame = msgspec.json.decode(data, type=_Frame)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameError(str(error)) from error
    make = _MAKERS.get(name)
    return make(frame) if make else None  # None: an event of a newer release


def _make_end(frame: _Frame) -> EndedEvent:
    return EndedEvent(
        code=read_code(frame.code),
        reason=frame.reason,
        retry_after=frame.retry_after,
        body=bytes(frame.result).decode(),
        summary=frame.summary or AnswerSummary(),
    )


_MAKERS: dict[str, Callable[[_Frame], StreamItem]] = {
    "accepted": lambda f: AcceptedEvent(Generation(f.generation), f.attached),
    "tokens": lambda f: TokensEvent(Generation(f.generation), f.offset, f.tokens),
    "restart": lambda f: RestartEvent(Generation(f.generation)),
    "moved": lambda f: MovedEvent(f.addresses),
    "heartbeat": lambda f: HeartbeatEvent(),
    "end": _make_end,
}


def read_code(number: int) -> ResultCode:
    """Return the code of a number; a newer release's unknown one is INTERNAL."""
    try:
        return ResultCode(number)
    except ValueError:
        return ResultCode.INTERNAL


@dataclass(frozen=True, slots=True)
class Rejection:
    """An error answer.

    Attributes:
        is_not_run: whether the host promises that the request was not run. It
            may leave open what its code by itself would promise.
    """

    failure: Failure
    is_not_run: bool


def decode_problem(content: bytes, status: int, header: str | None) -> Rejection:
    """Decode an error answer; anything else than a problem is INTERNAL."""
    try:
        problem = msgspec.json.decode(content, type=_Problem)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        reason = f"the host answered {status} without a problem document"
        failure = Failure(ResultCode.INTERNAL, reason, _read_seconds(header))
        return Rejection(failure, False)
    seconds = problem.retry_after
    if seconds is None:
        seconds = _read_seconds(header)
    reason = problem.detail or problem.title
    failure = Failure(read_code(problem.code), reason, seconds)
    return Rejection(failure, problem.outcome == Outcome.NOT_RUN.value)


def _read_seconds(header: str | None) -> float | None:
    if header is None or not header.isascii() or not header.isdigit():
        return None
    return float(header[:9])


def decode_result(body: str) -> Any:
    """Decode a plain service's answer."""
    return msgspec.json.decode(body) if body else None
