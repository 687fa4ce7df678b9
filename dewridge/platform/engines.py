"""Calls of model engines beside requests: moving the memory of a running stream."""

from dataclasses import dataclass

import msgspec

from dewridge.codes import ResultCode
from dewridge.gateway.model import AttemptKey
from dewridge.http1.calls import Answer, ServiceClient
from dewridge.sentinels import Failure

MOVE_TIMEOUT = 0.6
"""Seconds for a move: longer than its server still lives makes no sense."""
STATUS_MOVED = 200
STATUS_NO_ROOM = 503


class _Moved(msgspec.Struct, frozen=True):
    handle: str | int = ""


@dataclass(frozen=True, slots=True)
class CacheCopy:
    """The memory of a stopped run; good for one request.

    Attributes:
        source: `a.b.c.d:port` of the engine that ran it.
        handle: the engine's name for it.
        is_at_target: whether the target has it; else the source keeps it.
    """

    source: str
    handle: str
    is_at_target: bool


async def stop_and_move(
    source: str, request: AttemptKey, target: str
) -> CacheCopy | Failure:
    """Stop a run and copy its memory to another engine.

    Args:
        source: `a.b.c.d:port` of the engine that runs it.
        request: the caller's name for the sending that runs.
        target: `a.b.c.d:port` of the engine that is to go on.
    """
    body = msgspec.json.encode({"id": request, "target": target, "last": True})
    caller = ServiceClient(f"engine {source}", source, MOVE_TIMEOUT)
    answer = await caller.call("POST", "/-/kv-move", body=body)
    caller.drop_idle()
    if not isinstance(answer, Answer):
        return Failure(ResultCode.MOVE_FAILED, answer.value)
    try:
        moved = msgspec.json.decode(answer.body or b"{}", type=_Moved)
    except msgspec.DecodeError as error:
        return Failure(ResultCode.MOVE_FAILED, f"malformed answer: {error}")
    is_stopped = answer.status in {STATUS_MOVED, STATUS_NO_ROOM} and moved.handle != ""
    if not is_stopped:
        return Failure(ResultCode.MOVE_FAILED, f"status {answer.status}")
    return CacheCopy(source, str(moved.handle), answer.status == STATUS_MOVED)
