"""Failures on their way between peers."""

from dewridge.codes import ResultCode
from dewridge.peers.model import Message
from dewridge.peers.wire import ttypes
from dewridge.sentinels import Failure


def unreachable(reason: str) -> Failure:
    """Return the failure of a message that provably never left."""
    return Failure(ResultCode.PEER_UNREACHABLE, reason)


def make_refusal(failure: Failure) -> Message:
    """Return the message that carries a failure."""
    return ttypes.Refusal(
        code=int(failure.code), reason=failure.reason, retry_after=failure.retry_after
    )


def read_refusal(refusal: Message) -> Failure:
    """Return the failure that a message carries."""
    try:
        code = ResultCode(refusal.code)
    except ValueError:  # a newer release has codes that this one does not know
        code = ResultCode.PEER_REFUSED
    return Failure(code, refusal.reason or "", refusal.retry_after)


def read_reply(message: Message | None) -> Message | Failure:
    """Return what a reply says."""
    if message is None:
        return Failure(ResultCode.PEER_REFUSED, "reply of an unknown kind")
    return read_refusal(message) if isinstance(message, ttypes.Refusal) else message


def hide_code(failure: Failure) -> Failure:
    """Return why this host won't listen to a peer, as the result of a call to it.

    FENCED as a call's result means that the peer fenced this host, which then
    starts anew; that this host holds the peer for fenced must not read so.
    """
    if failure.code is ResultCode.FENCED:
        return Failure(ResultCode.PEER_REFUSED, f"the peer: {failure.reason}")
    return failure
