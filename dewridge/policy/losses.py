"""What a lost attempt says: of the server, of the link, of the request itself."""

from dataclasses import dataclass
from enum import Enum

CRASH_BLAME_SECONDS = 0.5
"""Seconds from its first event within which a run counts as one that has just begun. A
request that ends servers does so as it begins; a busy process notices tenths late."""


class LossReason(Enum):
    """Why an attempt has no answer to pass on."""

    NOT_CONNECTED = "not connected"
    REJECTED = "rejected"
    """The server says that it did not run the request."""
    OTHER_SERVER = "another server has the address"
    FAILED = "failed"
    """The server answers with a failure of its own."""
    CUT_OFF = "cut off"
    MISMATCHED = "the answer belongs to another request"
    MALFORMED = "malformed answer"
    MOVED = "moved to another server"


NOT_RUN_REASONS = frozenset(
    {LossReason.NOT_CONNECTED, LossReason.REJECTED, LossReason.OTHER_SERVER}
)
INTERRUPTED_REASONS = frozenset({LossReason.CUT_OFF, LossReason.MALFORMED})
"""Losses after which the server may be there or not."""


class ConnectResult(Enum):
    """What became of a new connection to a server."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """Its host answers that nothing listens there: the process has ended."""
    SILENT = "silent"


class ServerVerdict(Enum):
    """What to think of the server."""

    NOTHING = "nothing"
    REPLACED = "replaced"
    FULL = "full"
    FAILED = "failed"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a lost attempt says.

    Attributes:
        server: what to think of the server.
        is_request_suspect: whether the server may have ended because of this request.
    """

    server: ServerVerdict
    is_request_suspect: bool = False


def classify_loss(
    loss: LossReason,
    reach: ConnectResult | None,
    *,
    is_leaving: bool,
    seconds_since_first_event: float | None,
) -> Verdict:
    """Return what a lost attempt says of its server and of its request.

    Made for a request that ends each server that begins to run it. Taken for failures
    of servers, its losses are repeated at one server after the other. The server's end
    takes everything else along that runs there: what has been answered for some time is
    not its cause, nor is anything when the server had said that it leaves. A server
    that still accepts connections lost an answer, and one that is silent may be cut
    off: neither says anything of the request.

    Args:
        loss: how the attempt was lost.
        reach: what became of a new connection to the server; None if none was tried.
        is_leaving: whether it is known that the server leaves.
        seconds_since_first_event: time since the first event of this attempt; None
            if there was none.
    """
    match loss:
        case LossReason.MOVED:
            return Verdict(ServerVerdict.NOTHING)
        case LossReason.OTHER_SERVER:
            return Verdict(ServerVerdict.REPLACED)
        case LossReason.REJECTED:
            return Verdict(ServerVerdict.FULL)
        case LossReason.NOT_CONNECTED:
            return Verdict(ServerVerdict.GONE)
    if reach is not ConnectResult.REFUSED:
        return Verdict(ServerVerdict.FAILED)
    is_young = (
        seconds_since_first_event is None
        or seconds_since_first_event < CRASH_BLAME_SECONDS
    )
    return Verdict(ServerVerdict.GONE, is_young and not is_leaving)
