"""Reads an engine's events: checks each against the attempt and restores order."""

from enum import Enum

import msgspec

from dewridge.codes import ResultCode
from dewridge.fleet.model import AttemptEnd, AttemptEvent, AttemptTokens
from dewridge.ids import AttemptId
from dewridge.sentinels import Failure

LINE_LIMIT = 1_000_000
"""Bytes of one event; a server that sends no line end must not fill the memory."""
HELD_EVENTS = 32
"""Events that may wait for one that was overtaken. More than a few are a gap that
will not close, and a caller waits for its tokens meanwhile."""
PREFIX = b"data:"
LAST = b"[DONE]"


class Drop(Enum):
    """Why an event was dropped."""

    MALFORMED = "malformed"
    OTHER_ATTEMPT = "other_attempt"
    DUPLICATE = "duplicate"


class _Choice(msgspec.Struct):
    text: str = ""
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
    recomputed_tokens: int = 0


class _Error(msgspec.Struct):
    type: str = ""


class _Event(msgspec.Struct):
    attempt: str = ""
    sequence: int = -1
    tokens: list[str] | None = None
    choices: list[_Choice] = []
    usage: _Usage | None = None
    error: _Error | None = None


class LineBuffer:
    """Cuts a stream of bytes into lines of bounded length."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, chunk: bytes) -> list[bytes] | None:
        """Return the lines that are whole now; None if one is too long."""
        *lines, self._rest = (self._rest + chunk).split(b"\n")
        return None if len(self._rest) > LINE_LIMIT else lines


class EventReader:
    """Turns the lines of one attempt into its events.

    Events of another attempt and ones that came before are dropped and
    counted; one that overtook others waits for them. Without these checks a
    caller could receive another caller's tokens, or its own twice or out of
    order, with nothing to show it.
    """

    def __init__(self, attempt: AttemptId, first_sequence: int) -> None:
        self._attempt = attempt
        self._next = first_sequence
        self._held: dict[int, list[str]] = {}
        self._end: _Event | None = None
        self._decoder = msgspec.json.Decoder(_Event)
        self.dropped: dict[Drop, int] = {}

    def read(self, lines: list[bytes]) -> list[AttemptEvent]:
        """Return the events that follow from some lines, tokens joined.

        The last one is an AttemptEnd or a Failure if the attempt is over.
        """
        first = self._next
        tokens: list[str] = []
        for line in lines:
            if not line.startswith(PREFIX):
                continue
            failure = self._take(line[len(PREFIX) :].strip(), tokens)
            if failure is not None:
                return [*make_tokens(first, tokens), failure]
        events = make_tokens(first, tokens)
        if self._end is not None and self._end.sequence == self._next:
            return [*events, make_end(self._end)]
        if len(self._held) > HELD_EVENTS:
            return [*events, self._make_gap()]
        return events

    def finish(self) -> Failure:
        """Say what it means that the stream ended before the attempt's end."""
        if self._held or self._end is not None:
            return self._make_gap()
        reason = "the stream ended before the answer's end"
        return Failure(ResultCode.CONNECTION_LOST, reason)

    def _take(self, data: bytes, tokens: list[str]) -> Failure | None:
        if data == LAST:
            return None
        try:
            event = self._decoder.decode(data)
        except msgspec.DecodeError:
            self._drop(Drop.MALFORMED)
            return None
        if event.error is not None:
            reason = f"the engine says: {event.error.type[:40]}"
            return Failure(ResultCode.BACKEND_SERVER_FAILED, reason)
        if event.attempt != self._attempt:
            self._drop(Drop.OTHER_ATTEMPT)
        elif any(choice.finish_reason for choice in event.choices):
            self._end = event
        else:
            self._add(event, tokens)
        return None

    def _add(self, event: _Event, tokens: list[str]) -> None:
        run = event.tokens
        if run is None:
            run = [choice.text for choice in event.choices[:1]]
        if event.sequence + len(run) <= self._next:
            self._drop(Drop.DUPLICATE)
            return
        self._held[event.sequence] = run
        while self._next in self._held:
            ready = self._held.pop(self._next)
            tokens.extend(ready)
            self._next += len(ready)

    def _drop(self, reason: Drop) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def _make_gap(self) -> Failure:
        reason = f"tokens are missing from number {self._next} on"
        return Failure(ResultCode.ANSWER_MISMATCHED, reason)


def make_tokens(first: int, tokens: list[str]) -> list[AttemptEvent]:
    """Return tokens as one event, if there are any."""
    return [AttemptTokens(first, tuple(tokens))] if tokens else []


def make_end(event: _Event) -> AttemptEnd:
    """Return the end of a whole answer."""
    usage = event.usage or _Usage()
    return AttemptEnd(
        recomputed=usage.recomputed_tokens,
        cached=usage.cached_tokens,
        usage={
            "prompt_tokens": usage.prompt_tokens,
            "completion_tokens": usage.completion_tokens,
        },
    )
