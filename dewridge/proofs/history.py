"""What clients, stand-ins, operators and the fault injector did and saw.

The system's own word is not in a history: only what somebody outside it saw.
"""

import time
from pathlib import Path
from typing import Literal

import msgspec
import trio

Verdict = Literal["done", "not_run", "unknown", "failed"]


class Submitted(msgspec.Struct, frozen=True, tag="submitted"):
    """A client sends a request, or sends it again.

    Attributes:
        expected: count of tokens asked for; 0 for a plain service.
    """

    at: float
    client: str
    account: str
    key: str
    number: int
    operation: str
    prompt: str
    expected: int
    idempotent: bool
    host: str = ""


class Acknowledged(msgspec.Struct, frozen=True, tag="acknowledged"):
    """A client hears that its request was accepted."""

    at: float
    key: str
    number: int


class Concluded(msgspec.Struct, frozen=True, tag="concluded"):
    """A client has the final word on a submission.

    Attributes:
        code: the numbered result code; -1 if the client gave up waiting.
        text: the tokens as it assembled them, or a plain service's answer.
        deadline: when the answer was due.
    """

    at: float
    key: str
    number: int
    verdict: Verdict
    code: int
    text: str
    deadline: float
    retry_after: float | None = None


class Interrupted(msgspec.Struct, frozen=True, tag="interrupted"):
    """A client lost its connection, or went on at another host, and why."""

    at: float
    key: str
    host: str
    reason: str


class Executed(msgspec.Struct, frozen=True, tag="executed"):
    """A backend server began a call.

    Attributes:
        tokens_done: tokens that it was given to go on from.
        tokens: tokens that it made.
        state: how the execution ended, `done` when whole.
    """

    at: float
    server: str
    key: str
    attempt: str
    operation: str
    tokens_done: int
    tokens: int
    state: str
    serial: str = ""


class Leaving(msgspec.Struct, frozen=True, tag="leaving"):
    """A backend server is announced to leave.

    Attributes:
        at: when the first of cloud, host list or server itself says so.
        gone_at: when it refuses everything.
    """

    at: float
    server: str
    gone_at: float


class Injected(msgspec.Struct, frozen=True, tag="injected"):
    """A fault lands.

    Attributes:
        in_flight: requests and changes that somebody was waiting for just then.
    """

    at: float
    fault: str
    subject: str
    in_flight: int


class ChangeAsked(msgspec.Struct, frozen=True, tag="change_asked"):
    """An operator asks for a change made from an object's revision."""

    at: float
    change: str
    name: str
    expected: int
    value: float


class ChangeAnswered(msgspec.Struct, frozen=True, tag="change_answered"):
    """An operator is answered: a revision, or 0 and a result code."""

    at: float
    change: str
    name: str
    revision: int
    code: int
    in_doubt: bool = False


class Observed(msgspec.Struct, frozen=True, tag="observed"):
    """Somebody reads an object at a host: its revision and its value."""

    at: float
    host: str
    name: str
    revision: int
    value: float
    admits: bool = True


Event = (
    Submitted
    | Acknowledged
    | Concluded
    | Interrupted
    | Executed
    | Leaving
    | Injected
    | ChangeAsked
    | ChangeAnswered
    | Observed
)


class History:
    """The events of one run, in the order in which they were recorded."""

    def __init__(self, events: list[Event] | None = None) -> None:
        self.events: list[Event] = events or []
        self._open: set[str] = set()
        self._busy = trio.Event()

    def add(self, event: Event) -> None:
        """Record an event."""
        self.events.append(event)
        match event:
            case Submitted():
                self._open.add(event.key)
            case Concluded():
                self._open.discard(event.key)
            case ChangeAsked():
                self._open.add(event.change)
            case ChangeAnswered():
                self._open.discard(event.change)

        if self._open:
            self._busy.set()
        elif self._busy.is_set():
            self._busy = trio.Event()

    async def wait_busy(self) -> None:
        """Wait until somebody waits for an answer."""
        await self._busy.wait()

    @property
    def in_flight(self) -> int:
        """Requests and changes whose answers somebody waits for now."""
        return len(self._open)

    def inject(self, fault: str, subject: str) -> None:
        """Record that a fault lands now."""
        self.add(Injected(time.time(), fault, subject, self.in_flight))

    def write(self, path: Path) -> None:
        """Write all events as JSON lines, by time."""
        ordered = sorted(self.events, key=lambda event: event.at)
        lines = [msgspec.json.encode(event) for event in ordered]
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(b"\n".join(lines) + b"\n")


def read_history(path: Path) -> History:
    """Read what `History.write` wrote."""
    lines = path.read_bytes().splitlines()
    return History([msgspec.json.decode(line, type=Event) for line in lines if line])
