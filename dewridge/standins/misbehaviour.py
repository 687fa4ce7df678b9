"""Simulated misbehaviour of a backend server towards its callers."""

from collections.abc import AsyncIterator
from enum import Enum

import msgspec
import trio
from quart import Response

from dewridge.standins.serving import reply

DEFAULT_SLOWDOWN = 10.0
CRASH_PREFIX = "crash: "
"""An input with this prefix crashes a server in mode `CRASH`."""
CRASH_DELAY = 0.05
"""Seconds from the start of a request that crashes its server to the crash."""


class MisbehaviourMode(Enum):
    """Kind of misbehaviour of a server."""

    NONE = "none"
    DOWN = "down"
    """Connections are refused."""
    SLOW = "slow"
    """Work takes `factor` times as long."""
    LATE = "late"
    """Each event is sent `seconds` late."""
    DUPLICATE = "duplicate"
    """Each event is sent twice."""
    REORDER = "reorder"
    """Pairs of successive events are swapped."""
    TRUNCATE = "truncate"
    """The stream is closed cleanly after `events` events, before the final event."""
    MISDIRECT = "misdirect"
    """Each event follows one that belongs to another attempt."""
    SILENT = "silent"
    """Work continues, but nothing more is sent."""
    ERROR = "error"
    """A call is answered with status 500 after it ran, a stream with an error event."""
    REST = "rest"
    """Work is rejected as overloaded, with `seconds` as its `Retry-After`."""
    CRASH = "crash"
    """A request whose input begins with `CRASH_PREFIX` crashes the server, which
    restarts after `seconds`."""


class Misbehaviour(msgspec.Struct):
    """Misbehaviour of a server; an empty name means all servers of the process."""

    mode: MisbehaviourMode = MisbehaviourMode.NONE
    server: str = ""
    factor: float = DEFAULT_SLOWDOWN
    seconds: float = 0.5
    events: int = 3


def reject_for_rest(misbehaviour: Misbehaviour) -> Response | None:
    """Return the rejection of a server that asks for rest; None if it does not."""
    if misbehaviour.mode is not MisbehaviourMode.REST:
        return None
    rejection = reply({"error": {"type": "overloaded"}}, 503)
    rejection.headers["Retry-After"] = f"{misbehaviour.seconds:g}"
    return rejection


async def apply_misbehaviour(
    events: AsyncIterator[bytes],
    misbehaviour: Misbehaviour,
    foreign_event: bytes,
    error_event: bytes,
) -> AsyncIterator[bytes]:
    """Yield a stream's events, altered according to the active misbehaviour.

    Args:
        events: the correct stream.
        misbehaviour: read again for each event, so that a change affects running
            streams.
        foreign_event: an event that belongs to another attempt.
        error_event: an event that reports a failure of the server.
    """
    delayed_event: bytes | None = None
    count = 0
    async for event in events:
        count += 1
        match misbehaviour.mode:
            case MisbehaviourMode.LATE:
                await trio.sleep(misbehaviour.seconds)
            case MisbehaviourMode.DUPLICATE:
                yield event
            case MisbehaviourMode.MISDIRECT:
                yield foreign_event
            case MisbehaviourMode.TRUNCATE if count > misbehaviour.events:
                return
            case MisbehaviourMode.SILENT:
                await trio.sleep_forever()
            case MisbehaviourMode.ERROR:
                yield error_event
                return
            case MisbehaviourMode.REORDER if delayed_event is None:
                delayed_event = event
                continue
        yield event
        if delayed_event is not None:
            yield delayed_event
            delayed_event = None
    if delayed_event is not None:
        yield delayed_event
