"""Maps error answers of backend servers to failures that state whether work began."""

import msgspec

from dewridge.codes import ResultCode
from dewridge.decoding import decode_json
from dewridge.sentinels import Failure

STATUS_OK = 200
REJECTION_STATUSES = (400, 413, 422)
"""Statuses for invalid input: nothing ran, and any other server would reject it too."""

NOT_STARTED_TYPES = ("overloaded", "cancelled", "model_not_loaded")
"""Error types that servers return only for work that they did not begin."""
LEAVING_TYPE = "leaving"


class _Error(msgspec.Struct):
    type: str = ""


class _Body(msgspec.Struct):
    error: _Error


def read_refusal(
    status: int, content: bytes, retry_after: float | None = None
) -> Failure:
    """Return the failure for an answer with a status other than 200.

    Only an error type that the server returns for work it did not begin proves that
    nothing ran. A status without one may come from an intermediary after the work was
    done: a retry of a call that is not idempotent would then run it twice and, for
    example, issue two letters.

    Args:
        status: status of the answer.
        content: its body.
        retry_after: seconds for which the server asks for no further requests.
    """
    kind = read_error_type(content)
    if kind == LEAVING_TYPE:
        return Failure(ResultCode.BACKEND_SERVER_LEAVING, "the server is leaving")
    if kind in NOT_STARTED_TYPES:
        reason = f"the server says: {kind}"
        return Failure(ResultCode.NOT_STARTED, reason, retry_after)
    if status in REJECTION_STATUSES:
        return Failure(ResultCode.BACKEND_SERVER_REJECTED, f"status {status}")
    return Failure(ResultCode.BACKEND_SERVER_FAILED, f"status {status}")


def read_error_type(content: bytes) -> str:
    """Return the error type in an answer's body; empty if there is none."""
    body = decode_json(content, _Body)
    return "" if isinstance(body, Failure) else body.error.type
