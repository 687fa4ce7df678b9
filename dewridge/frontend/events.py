"""Encoding of answers as server-sent events."""

from collections.abc import Sequence
from typing import Any

import msgspec

from dewridge.codes import CODE_TABLE, ResultCode
from dewridge.decoding import decode_json
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
from dewridge.sentinels import Failure


class AcceptedFrame(msgspec.Struct, frozen=True):
    """First event: the request is accepted and stored by more than one host.

    Attributes:
        attached: whether the submission joined a request that already existed.
    """

    key: str
    generation: int
    attached: bool


class TokensFrame(msgspec.Struct, frozen=True):
    """Tokens of a generation, starting at an offset."""

    generation: int
    offset: int
    tokens: Sequence[str]


class RestartFrame(msgspec.Struct, frozen=True):
    """Earlier tokens are invalid; a new generation starts at offset 0."""

    generation: int


class MovedFrame(msgspec.Struct, frozen=True):
    """The answer continues at one of these addresses."""

    addresses: Sequence[str]


class HeartbeatFrame(msgspec.Struct, frozen=True):
    """Sent while there are no other events, to show that the connection is alive."""


class EndFrame(msgspec.Struct, frozen=True, omit_defaults=True):
    """The final result of a request."""

    code: int
    outcome: str
    reason: str = ""
    retry_after: float | None = None
    result: msgspec.Raw | None = None
    summary: AnswerSummary | None = None


def encode_accepted(key: str, accepted: Accepted) -> bytes:
    """Return the first event of a stream."""
    frame = AcceptedFrame(key, accepted.generation, accepted.attached)
    return _encode_event("accepted", frame)


def encode_events(events: Sequence[AnswerEvent]) -> bytes:
    """Return server-sent events, with contiguous tokens merged into one event."""
    return b"".join(
        _encode_event(*_make_frame(event)) for event in merge_tokens(events)
    )


def merge_tokens(events: Sequence[AnswerEvent]) -> list[AnswerEvent]:
    """Merge contiguous token events.

    One write costs about as much processing as ten tokens, so tokens that arrived
    during the previous write are sent together.
    """
    merged: list[AnswerEvent] = []
    for event in events:
        last = merged[-1] if merged else None
        if _is_contiguous(last, event):
            assert isinstance(last, TokensEvent) and isinstance(event, TokensEvent)
            tokens = last.tokens + event.tokens
            merged[-1] = TokensEvent(last.generation, last.offset, tokens)
        else:
            merged.append(event)
    return merged


def _is_contiguous(last: AnswerEvent | None, event: AnswerEvent) -> bool:
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
            return "end", make_end_frame(event)


def make_end_frame(event: EndedEvent) -> EndFrame:
    """Return the frame that reports the end of an answer to a caller."""
    return EndFrame(
        code=int(event.code),
        outcome=CODE_TABLE[event.code].outcome.value,
        reason=event.reason,
        retry_after=event.retry_after,
        result=embed_result(event.body),
        summary=event.summary if event.code is ResultCode.OK else None,
    )


def embed_result(body: str) -> msgspec.Raw | None:
    """Return a plain service's answer as raw JSON; other text becomes a JSON string."""
    if not body:
        return None
    raw = body.encode(errors="replace")
    if isinstance(decode_json(raw, object), Failure):
        raw = msgspec.json.encode(body)
    return msgspec.Raw(raw)


def _encode_event(name: str, frame: Any) -> bytes:
    return b"event: %b\ndata: %b\n\n" % (name.encode(), msgspec.json.encode(frame))
