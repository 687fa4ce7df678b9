"""What a backend server's status says about whether an attempt ran."""

import msgspec

from dewridge.codes import ResultCode
from dewridge.sentinels import Failure

STATUS_OK = 200
REJECTIONS = (400, 413, 422)
"""The input is at fault; nothing ran and no other server would take it."""

NOT_STARTED_TYPES = ("overloaded", "cancelled", "model_not_loaded")
LEAVING_TYPE = "leaving"


class _Error(msgspec.Struct):
    type: str = ""


class _Body(msgspec.Struct):
    error: _Error


def read_refusal(status: int, content: bytes) -> Failure:
    """Return the failure that an answer other than 200 stands for.

    Only an error type that the server gives for work it did not begin proves
    that nothing ran. A bare status may come from something between, after the
    work was done: to send a call that may not be repeated again on its word
    would put two letters into circulation.
    """
    kind = read_type(content)
    if kind == LEAVING_TYPE:
        return Failure(ResultCode.BACKEND_SERVER_LEAVING, "the server is leaving")
    if kind in NOT_STARTED_TYPES:
        return Failure(ResultCode.NOT_STARTED, f"the server says: {kind}")
    if status in REJECTIONS:
        return Failure(ResultCode.BACKEND_SERVER_REJECTED, f"status {status}")
    return Failure(ResultCode.BACKEND_SERVER_FAILED, f"status {status}")


def read_type(content: bytes) -> str:
    """Return the error type of a refusal; empty if it has none."""
    try:
        return msgspec.json.decode(content, type=_Body).error.type
    except msgspec.DecodeError:
        return ""
