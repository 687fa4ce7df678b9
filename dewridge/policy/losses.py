"""Classification of lost attempts: caused by the server, the link or the request."""

from dataclasses import dataclass
from enum import Enum

CRASH_BLAME_SECONDS = 0.5
"""Seconds from an attempt's first event within which a server crash is attributed to
its request. A request that crashes servers does so as it starts to run; a busy process
may notice the crash some tenths of a second late."""


class LossReason(Enum):
    """Why an attempt has no answer that can be returned to the caller."""

    NOT_CONNECTED = "not connected"
    REJECTED = "rejected"
    """The server reports that it did not run the request."""
    OTHER_SERVER = "another server has the address"
    FAILED = "failed"
    """The server returned an error."""
    CUT_OFF = "cut off"
    MISMATCHED = "the answer belongs to another request"
    MALFORMED = "malformed answer"
    WITHHELD = "withheld"
    """The gateway did not send it, because the server asks for fewer requests."""
    NO_PATH = "no path to the servers"
    """Neither this host nor a peer that it can use reaches the server."""
    MOVED = "moved to another server"
    """The gateway itself stopped the attempt to move it."""


NOT_RUN_REASONS = frozenset(
    {
        LossReason.NOT_CONNECTED,
        LossReason.REJECTED,
        LossReason.OTHER_SERVER,
        LossReason.WITHHELD,
        LossReason.NO_PATH,
    }
)
ARRIVED_REASONS = frozenset({LossReason.REJECTED, LossReason.OTHER_SERVER})
"""Those of the reasons above with which a server has answered."""
INTERRUPTED_REASONS = frozenset({LossReason.CUT_OFF, LossReason.MALFORMED})
"""Reasons that don't show whether the server is still running."""


class ConnectResult(Enum):
    """Result of opening a new connection to a server."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """The server's host refused the connection: the server process has ended."""
    RESET = "reset"
    """Each connection was reset: the server has too many, or is ending."""
    SILENT = "silent"


class ServerVerdict(Enum):
    """What a lost attempt shows about its server."""

    NO_EVIDENCE = "nothing"
    REPLACED = "replaced"
    """Another server has its address now."""
    FULL = "full"
    FAILED = "failed"
    ENDED_OR_UNREACHABLE = "gone"
    """Its process has ended, or it can't be connected to."""


@dataclass(frozen=True, slots=True)
class LossVerdict:
    """What a lost attempt shows about its server and its request.

    Attributes:
        server: what the loss shows about the server.
        is_request_suspect: whether the request may have crashed the server.
    """

    server: ServerVerdict
    is_request_suspect: bool = False


def classify_loss(
    loss: LossReason,
    connect_result: ConnectResult | None,
    *,
    is_leaving: bool,
    seconds_since_first_event: float | None,
) -> LossVerdict:
    """Return what a lost attempt shows about its server and its request.

    A request may crash each server that starts to run it. If its losses were treated as
    server failures, the request would be retried at one server after the other. A crash
    also ends all other requests at the server, so that only requests that have just
    started are suspects, and none are if the server had announced that it leaves. A
    server that still accepts connections lost a single answer, and one that does not
    respond may be partitioned: neither case says anything about the request.

    Args:
        loss: why the attempt was lost.
        connect_result: result of a new connection to the server; None if none was
            tried.
        is_leaving: whether the server is known to be leaving.
        seconds_since_first_event: time since the first event of this attempt; None
            if there was none.
    """
    match loss:
        case LossReason.MOVED | LossReason.WITHHELD | LossReason.NO_PATH:
            return LossVerdict(ServerVerdict.NO_EVIDENCE)
        case LossReason.OTHER_SERVER:
            return LossVerdict(ServerVerdict.REPLACED)
        case LossReason.REJECTED:
            return LossVerdict(ServerVerdict.FULL)
        case LossReason.NOT_CONNECTED:
            return LossVerdict(ServerVerdict.ENDED_OR_UNREACHABLE)
    if connect_result is not ConnectResult.REFUSED:
        return LossVerdict(ServerVerdict.FAILED)
    is_recent = (
        seconds_since_first_event is None
        or seconds_since_first_event < CRASH_BLAME_SECONDS
    )
    return LossVerdict(ServerVerdict.ENDED_OR_UNREACHABLE, is_recent and not is_leaving)
