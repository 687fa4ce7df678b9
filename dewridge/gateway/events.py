"""Events of a stream: cut at their ends, with their ids."""

from dataclasses import dataclass

END = b"\n\n"
ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event with the bytes it came in; `id` is None without one."""

    raw: bytes
    id: int | None


class EventSplitter:
    """Cuts a body into events; the start of the next one is held back.

    A server may stop in the middle of an event. Passed on, half an event would stand
    before the events of the server that goes on, and the caller would read both as
    one.
    """

    def __init__(self) -> None:
        self._rest = b""

    def push(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete with this piece."""
        *complete, self._rest = (self._rest + data).split(END)
        return [StreamEvent(raw + END, find_event_id(raw)) for raw in complete]

    @property
    def remainder(self) -> bytes:
        """Bytes of an event that is not complete."""
        return self._rest


def find_event_id(raw: bytes) -> int | None:
    """Return the id of an event."""
    for line in raw.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
