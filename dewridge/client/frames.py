"""Decoding of host responses: event streams, problem documents and entry lists."""

from collections.abc import AsyncGenerator, AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from dewridge.bodies import split_lines
from dewridge.codes import Outcome, ResultCode
from dewridge.decoding import Amount, Count, Name, decode_json, is_address
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

MAX_LINE_BYTES = 16_000_000
"""Maximum bytes of one line; a longer one is a protocol error."""


@dataclass(frozen=True, slots=True)
class AcceptedEvent:
    """First event of a stream: the host has accepted the submission.

    Attributes:
        attached: whether the submission joined a request that already existed.
    """

    generation: Generation
    attached: bool


StreamItem = AnswerEvent | AcceptedEvent


class FrameError(Exception):
    """A host violated the stream protocol."""


class _Frame(msgspec.Struct, frozen=True):
    """Union of the fields of all events."""

    generation: Count = 0
    offset: Count = 0
    tokens: tuple[str, ...] = ()
    attached: bool = False
    addresses: tuple[str, ...] = ()
    code: int = 0
    reason: str = ""
    retry_after: Amount | None = None
    result: msgspec.Raw = msgspec.Raw(b"")
    summary: AnswerSummary | None = None


class _Problem(msgspec.Struct, frozen=True):
    code: int
    title: str = ""
    detail: str = ""
    outcome: str = ""
    retry_after: Amount | None = None


class ListedHost(msgspec.Struct, frozen=True):
    """One address of the entry list."""

    address: Name
    failure_domain: Name = ""


class ListedHosts(msgspec.Struct, frozen=True):
    """The entry list and the seconds for which it may be cached."""

    hosts: tuple[ListedHost, ...]
    ttl: float


class _ListedHosts(msgspec.Struct, frozen=True):
    hosts: tuple[msgspec.Raw, ...]
    ttl: Amount


async def read_events(
    chunks: AsyncIterator[bytes],
) -> AsyncGenerator[StreamItem, None]:
    """Decode the server-sent events of a body.

    Raises:
        FrameError: a line is malformed or too long.
    """
    name = ""
    async for line in split_lines(chunks, MAX_LINE_BYTES):
        if line is None:
            raise FrameError("a line exceeds the maximum length")
        field, _, value = line.decode("utf-8", "replace").partition(":")
        if field == "event":
            name = value.strip()
        elif field == "data":
            item = _decode_event(name, value.strip())
            if item is not None:
                yield item


def _decode_event(name: str, data: str) -> StreamItem | None:
    frame = decode_json(data.encode(), _Frame)
    if isinstance(frame, Failure):
        raise FrameError(frame.reason)
    build = _EVENT_BUILDERS.get(name)
    return build(frame) if build else None  # ignores events of newer releases


def _build_end(frame: _Frame) -> EndedEvent:
    return EndedEvent(
        code=read_code(frame.code),
        reason=frame.reason,
        retry_after=frame.retry_after,
        body=bytes(frame.result).decode(),
        summary=frame.summary or AnswerSummary(),
    )


_EVENT_BUILDERS: dict[str, Callable[[_Frame], StreamItem]] = {
    "accepted": lambda f: AcceptedEvent(Generation(f.generation), f.attached),
    "tokens": lambda f: TokensEvent(Generation(f.generation), f.offset, f.tokens),
    "restart": lambda f: RestartEvent(Generation(f.generation)),
    "moved": lambda f: MovedEvent(tuple(filter(is_address, f.addresses))),
    "heartbeat": lambda f: HeartbeatEvent(),
    "end": _build_end,
}


def read_code(number: int) -> ResultCode:
    """Return a number's result code; INTERNAL for one that only newer releases know."""
    try:
        return ResultCode(number)
    except ValueError:
        return ResultCode.INTERNAL


@dataclass(frozen=True, slots=True)
class Rejection:
    """A decoded error response.

    Attributes:
        is_not_run: whether the host guarantees that the request was not run.
            False if the host leaves this open, even for a code that usually
            implies it.
    """

    failure: Failure
    is_not_run: bool


def decode_problem(content: bytes, status: int, header: str | None) -> Rejection:
    """Decode an error response; INTERNAL if it is not a problem document."""
    problem = decode_json(content, _Problem)
    if isinstance(problem, Failure):
        reason = f"the host answered {status} without a problem document"
        failure = Failure(ResultCode.INTERNAL, reason, _parse_retry_after(header))
        return Rejection(failure, False)
    seconds = problem.retry_after
    if seconds is None:
        seconds = _parse_retry_after(header)
    reason = problem.detail or problem.title
    failure = Failure(read_code(problem.code), reason, seconds)
    return Rejection(failure, problem.outcome == Outcome.NOT_RUN.value)


def _parse_retry_after(header: str | None) -> float | None:
    if header is None or not header.isascii() or not header.isdigit():
        return None
    return float(header[:9])


def decode_result(body: str) -> Any:
    """Decode the JSON answer of a plain service; None if it is empty.

    The text itself stands for a result that can't be decoded, such as one nested more
    deeply than the decoder goes: the call has run, and its caller may parse it.
    """
    if not body:
        return None
    result = decode_json(body.encode(errors="replace"), object)
    return body if isinstance(result, Failure) else result


def decode_entry_list(content: bytes) -> ListedHosts | Failure:
    """Decode an entry list, without the hosts whose address can't be used."""
    listed = decode_json(content, _ListedHosts, ResultCode.INTERNAL)
    if isinstance(listed, Failure):
        return listed
    hosts = [decode_json(host, ListedHost) for host in listed.hosts]
    usable = [
        host
        for host in hosts
        if not isinstance(host, Failure) and is_address(host.address)
    ]
    if hosts and not usable:
        return Failure(ResultCode.INTERNAL, "the entry list has no usable address")
    return ListedHosts(tuple(usable), listed.ttl)
