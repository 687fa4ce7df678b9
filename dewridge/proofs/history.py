"""Events recorded by clients, simulated servers, operators and the fault injector.

A history holds only what was observed from outside the system under test, never what
the system reports about itself. Times are seconds since 1970.
"""

import time
from pathlib import Path
from typing import Literal

import msgspec
import trio

Verdict = Literal["done", "not_run", "unknown", "failed"]


class Submitted(msgspec.Struct, frozen=True, tag="submitted"):
    """A client sends a request, for the first time or as a retry.

    Attributes:
        number: submission number; it grows with each new submission of a key.
        expected: number of tokens requested; 0 for a plain service.
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
    """A client learns that its request was accepted."""

    at: float
    key: str
    number: int


class Concluded(msgspec.Struct, frozen=True, tag="concluded"):
    """A client has the final outcome of a submission.

    Attributes:
        code: the numbered result code; -1 if the client stopped waiting.
        text: the tokens as the client assembled them, or a plain service's answer.
        deadline: when the answer was due.
        retry_after: seconds until a retry is worthwhile, if the answer says so.
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
    """A client lost its connection or continued at another host.

    Attributes:
        reason: why, as free text.
    """

    at: float
    key: str
    host: str
    reason: str


class Executed(msgspec.Struct, frozen=True, tag="executed"):
    """A backend server started to run a call.

    Attributes:
        tokens_done: tokens made by earlier attempts, from which it continued.
        tokens: tokens that it generated.
        state: how the execution ended; `done` if it completed.
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
    """The departure of a backend server is announced.

    Attributes:
        at: when the first of cloud, host list or server itself announces it.
        gone_at: from when on the server rejects everything.
    """

    at: float
    server: str
    gone_at: float


class Injected(msgspec.Struct, frozen=True, tag="injected"):
    """A fault is injected.

    Attributes:
        in_flight: number of requests and changes without an outcome at that time.
    """

    at: float
    fault: str
    subject: str
    in_flight: int


class ChangeAsked(msgspec.Struct, frozen=True, tag="change_asked"):
    """An operator requests a change of an object.

    Attributes:
        expected: revision of the object that the change is based on.
    """

    at: float
    change: str
    name: str
    expected: int
    value: float


class ChangeAnswered(msgspec.Struct, frozen=True, tag="change_answered"):
    """An operator gets the answer to a change.

    Attributes:
        revision: the new revision; 0 if the change was not accepted.
        code: result code if it was not accepted; -1 if there is none.
        in_doubt: whether the change may have taken effect without an answer.
    """

    at: float
    change: str
    name: str
    revision: int
    code: int
    in_doubt: bool = False


class Observed(msgspec.Struct, frozen=True, tag="observed"):
    """An observer reads an object at a host.

    Attributes:
        admits: whether the host admitted work, that is, had a fresh configuration.
    """

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
    """The events of one run in the order of recording; also counts work in flight."""

    def __init__(self, events: list[Event] | None = None) -> None:
        self.events: list[Event] = events or []
        self._pending: set[str] = set()
        self._has_pending = trio.Event()

    def add(self, event: Event) -> None:
        """Record an event."""
        self.events.append(event)
        match event:
            case Submitted():
                self._pending.add(event.key)
            case Concluded():
                self._pending.discard(event.key)
            case ChangeAsked():
                self._pending.add(event.change)
            case ChangeAnswered():
                self._pending.discard(event.change)

        if self._pending:
            self._has_pending.set()
        elif self._has_pending.is_set():
            self._has_pending = trio.Event()

    async def wait_for_pending(self) -> None:
        """Wait until a request or change is in flight."""
        await self._has_pending.wait()

    @property
    def in_flight(self) -> int:
        """Number of requests and changes that have no outcome yet."""
        return len(self._pending)

    def record_fault(self, fault: str, subject: str) -> None:
        """Record that a fault is injected now."""
        self.add(Injected(time.time(), fault, subject, self.in_flight))

    def write(self, path: Path) -> None:
        """Write all events as JSON lines, ordered by time."""
        ordered = sorted(self.events, key=lambda event: event.at)
        lines = [msgspec.json.encode(event) for event in ordered]
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(b"\n".join(lines) + b"\n")


def read_history(path: Path) -> History:
    """Read a history from a file that `History.write` wrote."""
    lines = path.read_bytes().splitlines()
    return History([msgspec.json.decode(line, type=Event) for line in lines if line])
