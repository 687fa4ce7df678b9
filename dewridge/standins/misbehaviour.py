"""How a backend server misbehaves towards its callers, by control endpoint."""

from collections.abc import AsyncIterator
from enum import Enum

import msgspec
import trio

DEFAULT_SLOWDOWN = 10.0
CRASH_PREFIX = "crash: "
CRASH_DELAY = 0.05
"""Seconds from the begin of a call that ends its server to that end."""


class MisbehaviourMode(Enum):
    """What is wrong with a server's answers."""

    NONE = "none"
    DOWN = "down"
    """Connections are refused."""
    SLOW = "slow"
    """Work takes `factor` times as long."""
    LATE = "late"
    """Each event leaves `seconds` late."""
    DUPLICATE = "duplicate"
    """Each event comes twice."""
    REORDER = "reorder"
    """Events change places in pairs."""
    TRUNCATE = "truncate"
    """The answer ends in good form after `events` events, without its end."""
    MISDIRECT = "misdirect"
    """Events of another attempt come first, under that attempt's name."""
    SILENT = "silent"
    """Work goes on and nothing more is sent."""
    ERROR = "error"
    """New calls get status 500 after they ran, streams an error event."""
    CRASH = "crash"
    """A call whose input begins with `CRASH_PREFIX` ends the server as it begins; it is
    back after `seconds`."""


class Misbehaviour(msgspec.Struct):
    """A misbehaviour of one server; an empty name means all of the process."""

    mode: MisbehaviourMode = MisbehaviourMode.NONE
    server: str = ""
    factor: float = DEFAULT_SLOWDOWN
    seconds: float = 0.5
    events: int = 3


async def apply_misbehaviour(
    events: AsyncIterator[bytes], wrong: Misbehaviour, stranger: bytes, error: bytes
) -> AsyncIterator[bytes]:
    """Pass a stream's events on as the misbehaviour in force has it.

    Args:
        events: the stream as it should be.
        wrong: read anew for each event, so that it strikes running streams.
        stranger: an event of another attempt.
        error: an event that says the server failed.
    """
    held: bytes | None = None
    count = 0
    async for event in events:
        count += 1
        match wrong.mode:
            case MisbehaviourMode.LATE:
                await trio.sleep(wrong.seconds)
            case MisbehaviourMode.DUPLICATE:
                yield event
            case MisbehaviourMode.MISDIRECT:
                yield stranger
            case MisbehaviourMode.TRUNCATE if count > wrong.events:
                return
            case MisbehaviourMode.SILENT:
                await trio.sleep_forever()
            case MisbehaviourMode.ERROR:
                yield error
                return
            case MisbehaviourMode.REORDER if held is None:
                held = event
                continue
        yield event
        if held is not None:
            yield held
            held = None
    if held is not None:
        yield held
