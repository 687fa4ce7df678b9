"""Checks of idempotency keys by the timestamp that they contain."""

import uuid

from dewridge.codes import ResultCode
from dewridge.ids import RequestId, RequestKey, split_request_id
from dewridge.sentinels import Failure

UUID_VERSION = 7
TIMESTAMP_SHIFT = 80
"""Bits below the millisecond timestamp of a UUIDv7."""


def read_key_time(key: RequestKey) -> float | None:
    """Return a UUIDv7's timestamp in seconds since 1970; None if it is malformed."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION or str(parsed) != key:
        return None
    return (parsed.int >> TIMESTAMP_SHIFT) / 1000


def read_request_time(request: RequestId) -> float:
    """Return the timestamp of a request's key in seconds; 0 if it has none."""
    return read_key_time(split_request_id(request)[1]) or 0.0


def check_key(
    key: RequestKey, number: int, now: float, retention: float, skew: float
) -> Failure | None:
    """Refuse a malformed key, or one too old or too far in the future.

    Claims are deleted with their time window. Without this check a non-idempotent
    call whose claim was deleted could run again under the same key, for example draw
    two serial numbers for one letter. A retry of a key that is too old is answered
    with "unknown", since its first submission may have run.
    """
    key_time = read_key_time(key)
    if key_time is None:
        return Failure(ResultCode.MALFORMED_KEY, "the key is not a canonical UUIDv7")
    if key_time > now + skew:
        return Failure(
            ResultCode.KEY_IN_FUTURE,
            f"the key is {key_time - now:.1f} s ahead of this host",
        )
    if key_time < now - retention:
        if number > 1:
            return Failure(
                ResultCode.OUTCOME_UNKNOWN,
                "the key is older than the retention; an earlier sending may have run",
            )
        return Failure(ResultCode.KEY_TOO_OLD, f"the key is older than {retention:g} s")
    return None
