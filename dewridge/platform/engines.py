"""Control calls to model engines: moving the KV cache of a running stream."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from dewridge.codes import ResultCode
from dewridge.gateway.model import AttemptKey
from dewridge.http1.calls import Response, ServiceClient
from dewridge.http1.client import Headers
from dewridge.sentinels import Failure

MOVE_TIMEOUT = 0.6
"""Seconds for a move: a leaving server is removed before a longer one completes."""
STATUS_MOVED = 200
STATUS_TARGET_FULL = 503


class _MoveReply(msgspec.Struct, frozen=True):
    handle: str | int = ""


@dataclass(frozen=True, slots=True)
class CacheCopy:
    """The KV cache of a stopped run, which a single request may continue from.

    Attributes:
        source: `a.b.c.d:port` of the engine that ran it.
        handle: identifier of the cache at that engine.
        is_at_target: whether the target holds the copy; if not, the source retains
            the cache.
    """

    source: str
    handle: str
    is_at_target: bool


async def stop_and_move(
    source: str,
    attempt: AttemptKey,
    target: str,
    on_answer: Callable[[int, Headers], None] = lambda status, headers: None,
) -> CacheCopy | Failure:
    """Stop a run and copy its KV cache to another engine.

    Args:
        source: `a.b.c.d:port` of the engine that runs it.
        attempt: the caller's id of the attempt that is running.
        target: `a.b.c.d:port` of the engine that is to continue the run.
        on_answer: called with the status and headers of the source's answer.
    """
    body = msgspec.json.encode({"id": attempt, "target": target, "last": True})
    client = ServiceClient(f"engine {source}", source, MOVE_TIMEOUT)
    response = await client.call("POST", "/-/kv-move", body=body)
    client.close_idle()
    if not isinstance(response, Response):
        return Failure(ResultCode.MOVE_FAILED, response.value)
    on_answer(response.status, response.headers)
    try:
        moved = msgspec.json.decode(response.body or b"{}", type=_MoveReply)
    except msgspec.DecodeError as error:
        return Failure(ResultCode.MOVE_FAILED, f"malformed answer: {error}")
    is_stopped = (
        response.status in {STATUS_MOVED, STATUS_TARGET_FULL} and moved.handle != ""
    )
    if not is_stopped:
        return Failure(ResultCode.MOVE_FAILED, f"status {response.status}")
    return CacheCopy(source, str(moved.handle), response.status == STATUS_MOVED)
