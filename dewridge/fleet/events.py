"""Parser of an engine's event stream: checks and reorders an attempt's events."""

from enum import Enum
from typing import Annotated

import msgspec

from dewridge.codes import ResultCode
from dewridge.decoding import MAX_COUNT, decode_json
from dewridge.fleet.model import AttemptEnd, AttemptEvent, AttemptTokens
from dewridge.ids import AttemptId
from dewridge.sentinels import Failure

MAX_LINE_BYTES = 1_000_000
"""Longest unfinished line that is buffered. Without a limit, a server that never sends
a line break would fill the memory."""
MAX_OUT_OF_ORDER_EVENTS = 32
"""Events that may wait for an earlier one. More than a few mean that the missing event
was lost, and the caller gets no tokens meanwhile."""
MAX_DROPPED_EVENTS = 1_000
"""Events of an attempt that are dropped until it counts as failed. A server that sends
nothing else would keep it open until its deadline."""
MAX_TOKEN_COUNT = 100_000_000
"""Largest count of tokens that an engine may report. Messages between hosts carry the
sum of twenty such counts."""
DATA_PREFIX = b"data:"
END_MARKER = b"[DONE]"


TokenCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKEN_COUNT)]


class DropReason(Enum):
    """Reason for which an event was dropped."""

    MALFORMED = "malformed"
    OTHER_ATTEMPT = "other_attempt"
    DUPLICATE = "duplicate"


class _Choice(msgspec.Struct):
    text: str = ""
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: TokenCount = 0
    completion_tokens: TokenCount = 0
    cached_tokens: TokenCount = 0
    recomputed_tokens: TokenCount = 0


class _Error(msgspec.Struct):
    type: str = ""


class _Event(msgspec.Struct):
    attempt: str = ""
    sequence: Annotated[int, msgspec.Meta(ge=-1, le=MAX_COUNT)] = -1
    tokens: list[str] | None = None
    choices: list[_Choice] = []
    usage: _Usage | None = None
    error: _Error | None = None


class LineBuffer:
    """Splits a byte stream into lines of bounded length."""

    def __init__(self) -> None:
        self._partial_line = b""

    def feed(self, chunk: bytes) -> list[bytes] | None:
        """Add bytes; return the lines they complete, None if the rest is too long."""
        *lines, self._partial_line = (self._partial_line + chunk).split(b"\n")
        return None if len(self._partial_line) > MAX_LINE_BYTES else lines


class EventReader:
    """Turns the lines of one attempt into its events.

    Events of another attempt and duplicates are dropped and counted; an event that
    arrives early waits for those before it. Without these checks a caller could,
    unnoticed, receive another caller's tokens, or its own twice or out of order.

    Attributes:
        dropped: number of dropped events by reason.
    """

    def __init__(self, attempt: AttemptId, first_sequence: int) -> None:
        self._attempt = attempt
        self._next_sequence = first_sequence
        self._out_of_order: dict[int, list[str]] = {}
        self._dropped_in_a_row = 0
        self._end: _Event | None = None
        self.dropped: dict[DropReason, int] = {}

    def read(self, lines: list[bytes]) -> list[AttemptEvent]:
        """Parse lines and return their events, with all tokens in one event.

        The last one is an AttemptEnd or a Failure if the attempt has ended.
        """
        first_sequence = self._next_sequence
        tokens: list[str] = []
        for line in lines:
            if not line.startswith(DATA_PREFIX):
                self._dropped_in_a_row += bool(line)
                continue
            failure = self._process_event(line[len(DATA_PREFIX) :].strip(), tokens)
            if failure is not None:
                return [*make_token_events(first_sequence, tokens), failure]
        events = make_token_events(first_sequence, tokens)
        if self._end is not None and self._end.sequence == self._next_sequence:
            return [*events, make_end_event(self._end)]
        if len(self._out_of_order) > MAX_OUT_OF_ORDER_EVENTS:
            return [*events, self._make_gap_failure()]
        if events:
            self._dropped_in_a_row = 0
        if self._dropped_in_a_row > MAX_DROPPED_EVENTS:
            reason = "the server sends no event of the attempt"
            return [*events, Failure(ResultCode.ANSWER_MISMATCHED, reason)]
        return events

    def finish(self) -> Failure:
        """Return the failure of a stream that closed before the attempt's end."""
        if self._out_of_order or self._end is not None:
            return self._make_gap_failure()
        reason = "the stream ended before the answer's end"
        return Failure(ResultCode.CONNECTION_LOST, reason)

    def _process_event(self, data: bytes, tokens: list[str]) -> Failure | None:
        if data == END_MARKER:
            return None
        event = decode_json(data, _Event)
        if isinstance(event, Failure):
            self._count_drop(DropReason.MALFORMED)
            return None
        if event.error is not None:
            reason = f"the engine says: {event.error.type[:40]}"
            return Failure(ResultCode.BACKEND_SERVER_FAILED, reason)
        if event.attempt != self._attempt:
            self._count_drop(DropReason.OTHER_ATTEMPT)
        elif any(choice.finish_reason for choice in event.choices):
            self._end = event
        else:
            self._add_tokens(event, tokens)
        return None

    def _add_tokens(self, event: _Event, tokens: list[str]) -> None:
        token_run = event.tokens
        if token_run is None:
            token_run = [choice.text for choice in event.choices[:1]]
        if event.sequence + len(token_run) <= self._next_sequence:
            self._count_drop(DropReason.DUPLICATE)
            return
        self._out_of_order[event.sequence] = token_run
        while self._next_sequence in self._out_of_order:
            ready_run = self._out_of_order.pop(self._next_sequence)
            tokens.extend(ready_run)
            self._next_sequence += len(ready_run)

    def _count_drop(self, reason: DropReason) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
        self._dropped_in_a_row += 1

    def _make_gap_failure(self) -> Failure:
        reason = f"tokens are missing from number {self._next_sequence} on"
        return Failure(ResultCode.ANSWER_MISMATCHED, reason)


def make_token_events(first_sequence: int, tokens: list[str]) -> list[AttemptEvent]:
    """Return a list of one event with the tokens, empty if there are none."""
    return [AttemptTokens(first_sequence, tuple(tokens))] if tokens else []


def make_end_event(event: _Event) -> AttemptEnd:
    """Return the end event of a complete answer."""
    usage = event.usage or _Usage()
    return AttemptEnd(
        recomputed=usage.recomputed_tokens,
        cached=usage.cached_tokens,
        usage={
            "prompt_tokens": usage.prompt_tokens,
            "completion_tokens": usage.completion_tokens,
        },
    )
