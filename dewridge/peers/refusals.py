"""Conversion between failures and the Refusal messages that carry them."""

from dewridge.codes import ResultCode
from dewridge.decoding import MAX_COUNT, MAX_NAME
from dewridge.peers.model import Message
from dewridge.peers.wire import ttypes
from dewridge.sentinels import Failure


def make_unreachable(reason: str) -> Failure:
    """Return the failure of a message that was certainly never sent."""
    return Failure(ResultCode.PEER_UNREACHABLE, reason)


def make_refusal(failure: Failure) -> Message:
    """Return the Refusal message that carries a failure."""
    return ttypes.Refusal(
        code=int(failure.code), reason=failure.reason, retry_after=failure.retry_after
    )


def read_refusal(refusal: Message) -> Failure:
    """Return the failure that a Refusal message carries."""
    try:
        code = ResultCode(refusal.code)
    except ValueError:  # a code that only newer releases know
        code = ResultCode.PEER_REFUSED
    seconds = refusal.retry_after
    if seconds is not None and not 0 <= seconds <= MAX_COUNT:
        seconds = None
    return Failure(code, (refusal.reason or "")[:MAX_NAME], seconds)


def read_reply(message: Message | None) -> Message | Failure:
    """Return the message of a reply, or the failure that it carries."""
    if message is None:
        return Failure(ResultCode.PEER_REFUSED, "reply of an unknown kind")
    return read_refusal(message) if isinstance(message, ttypes.Refusal) else message


def mask_fenced_code(failure: Failure) -> Failure:
    """Replace FENCED by PEER_REFUSED in the reason for which a peer is rejected.

    The result is returned to callers on this host. To them FENCED means that the
    peer has fenced this host, which then restarts as a new incarnation; it must not
    be returned where this host regards the peer as fenced.
    """
    if failure.code is ResultCode.FENCED:
        return Failure(ResultCode.PEER_REFUSED, f"the peer: {failure.reason}")
    return failure
