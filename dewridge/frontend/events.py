"""Answers as server-sent events and as whole documents."""

from collections.abc import Sequence
from typing import Any

import msgspec

from dewridge.codes import CODE_TABLE, ResultCode
from dewridge.requests.model import (
    Accepted,
    AnswerEvent,
    AnswerSummary,
    EndedEvent,
    HeartbeatEvent,
    MovedEvent,
    RestartEvent,
    TokensEvent,
)


class AcceptedFrame(msgspec.Struct, frozen=True):
    """First event: the request is kept by more than one host."""

    key: str
    generation: int
    attached: bool


class TokensFrame(msgspec.Struct, frozen=True):
    """Tokens from an offset of a generation on."""

    generation: int
    offset: int
    tokens: Sequence[str]


class RestartFrame(msgspec.Struct, frozen=True):
    """Earlier tokens are void; a new generation begins at offset 0."""

    generation: int


class MovedFrame(msgspec.Struct, frozen=True):
    """Continue at one of these addresses."""

    addresses: Sequence[str]


class HeartbeatFrame(msgspec.Struct, frozen=True):
    """The connection is alive."""


class EndFrame(msgspec.Struct, frozen=True, omit_defaults=True):
    """The final word on a request."""

    code: int
    outcome: str
    reason: str = ""
    retry_after: float | None = None
    result: msgspec.Raw | None = None
    summary: AnswerSummary | None = None


def encode_accepted(key: str, accepted: Accepted) -> bytes:
    """Return the first event of a stream."""
    frame = AcceptedFrame(key, accepted.generation, accepted.attached)
    return _encode("accepted", frame)


def encode_events(events: Sequence[AnswerEvent]) -> bytes:
    """Return server-sent events, with neighbouring tokens in one."""
    return b"".join(_encode(*_make_frame(event)) for event in merge_tokens(events))


def merge_tokens(events: Sequence[AnswerEvent]) -> list[AnswerEvent]:
    """Join token events that follow each other without a gap.

    A write costs a process about as much as ten tokens do, so what has
    gathered while the last write went out is sent as one.
    """
    merged: list[AnswerEvent] = []
    for event in events:
        last = merged[-1] if merged else None
        if _continues(last, event):
            assert isinstance(last, TokensEvent) and isinstance(event, TokensEvent)
            tokens = last.tokens + event.tokens
            merged[-1] = TokensEvent(last.generation, last.offset, tokens)
        else:
            merged.append(event)
    return merged


def _continues(last: AnswerEvent | None, event: AnswerEvent) -> bool:
    return (
        isinstance(last, TokensEvent)
        and isinstance(event, TokensEvent)
        and last.generation == event.generation
        and last.offset + len(last.tokens) == event.offset
    )


def _make_frame(event: AnswerEvent) -> tuple[str, msgspec.Struct]:
    match event:
        case TokensEvent():
            frame = TokensFrame(event.generation, event.offset, event.tokens)
            return "tokens", frame
        case RestartEvent():
            return "restart", RestartFrame(event.generation)
        case MovedEvent():
            return "moved", MovedFrame(event.addresses)
        case HeartbeatEvent():
            return "heartbeat", HeartbeatFrame()
        case EndedEvent():
            return "end", make_end(event)


def make_end(event: EndedEvent) -> EndFrame:
    """Describe an end towards a caller."""
    return EndFrame(
        code=int(event.code),
        outcome=CODE_TABLE[event.code].outcome.value,
        reason=event.reason,
        retry_after=event.retry_after,
        result=read_result(event.body),
        summary=event.summary if event.code is ResultCode.OK else None,
    )


def read_result(body: str) -> msgspec.Raw | None:
    """Return a plain service's answer for embedding, as a string if not JSON."""
    if not body:
        return None
    raw = body.encode(errors="replace")
    try:
        msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError):
        raw = msgspec.json.encode(body)
    return msgspec.Raw(raw)


def _encode(name: str, frame: Any) -> bytes:
    return b"event: %b\ndata: %b\n\n" % (name.encode(), msgspec.json.encode(frame))
