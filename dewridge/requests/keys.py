"""Checks of a caller's idempotency key by its own time."""

import uuid

from dewridge.codes import ResultCode
from dewridge.ids import RequestId, RequestKey, split_request_id
from dewridge.sentinels import Failure

UUID_VERSION = 7
MILLISECONDS_SHIFT = 80


def read_key_time(key: RequestKey) -> float | None:
    """Return the seconds since 1970 in a UUIDv7; None if it is not one."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION or str(parsed) != key:
        return None
    return (parsed.int >> MILLISECONDS_SHIFT) / 1000


def read_request_time(request: RequestId) -> float:
    """Return the time in a request's key; 0 if it has none."""
    return read_key_time(split_request_id(request)[1]) or 0.0


def check_key(
    key: RequestKey, number: int, now: float, retention: float, skew: float
) -> Failure | None:
    """Refuse a key that could not be told apart from a forgotten one.

    Without this a call whose claim was deleted with its window could run again
    under the same key: a caller would see two serial numbers for one letter.
    For a repeat the answer is "unknown", since the first sending may have run.
    """
    at = read_key_time(key)
    if at is None:
        return Failure(ResultCode.MALFORMED_KEY, "the key is not a canonical UUIDv7")
    if at > now + skew:
        return Failure(
            ResultCode.KEY_IN_FUTURE, f"the key is {at - now:.1f} s ahead of this host"
        )
    if at < now - retention:
        if number > 1:
            return Failure(
                ResultCode.OUTCOME_UNKNOWN,
                "the key is older than the retention; an earlier sending may have run",
            )
        return Failure(ResultCode.KEY_TOO_OLD, f"the key is older than {retention:g} s")
    return None
