"""Splitting of a server-sent event stream into events with their ids."""

from dataclasses import dataclass

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 262_144
"""Bytes of an event. A server in trouble may send bytes that never end one."""
MAX_ID_DIGITS = 18
"""Digits of an event's id, which is a 64-bit number."""


class EventTooLongError(Exception):
    """An event has no end within `MAX_EVENT_BYTES`."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """A complete event.

    Attributes:
        raw: its bytes, including the empty line at its end.
        id: its id; None without a numeric one.
    """

    raw: bytes
    id: int | None


class EventSplitter:
    """Splits a body into complete events and buffers an incomplete one.

    A server may fail in the middle of an event. If the incomplete event were forwarded,
    the caller would read it and the first event of the server that continues the stream
    as a single event.
    """

    def __init__(self) -> None:
        self._remainder = b""

    def push(self, data: bytes) -> list[StreamEvent]:
        """Add a piece of the body; return the events that it completes.

        Raises:
            EventTooLongError: the incomplete event is too long.
        """
        *complete, self._remainder = (self._remainder + data).split(EVENT_END)
        if len(self._remainder) > MAX_EVENT_BYTES:
            self._remainder = b""
            raise EventTooLongError
        return [StreamEvent(raw + EVENT_END, parse_event_id(raw)) for raw in complete]

    @property
    def remainder(self) -> bytes:
        """Bytes of the incomplete event at the end."""
        return self._remainder


def parse_event_id(raw: bytes) -> int | None:
    """Return the numeric id of an event; None without one."""
    for line in raw.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            is_number = value.isdigit() and len(value) <= MAX_ID_DIGITS
            return int(value) if is_number else None
    return None
