"""When a caller that was refused under contention should return.

Callers retry once. A burst or a lack of servers lasts for seconds, so that a caller who
returns as soon as the waiting work is done is refused again, for good.
"""

MIN_WAIT = 0.1
"""Shortest wait in seconds: the period of the plans."""
MAX_WAIT_SHARE = 1 / 3
"""Part of their time left that callers wait at most; they ignore longer waits."""
SPREAD_SHARE = 0.3
"""Part of a wait over which callers that are refused at the same time return."""


def compute_wait(time_left: float, random_number: float) -> float:
    """Return the seconds after which a refused caller should return.

    They are as long as callers wait at all, and thus shorter the nearer the deadline
    is: callers with different deadlines do not return together.

    Args:
        time_left: seconds until the caller's deadline.
        random_number: a random number from 0 up to 1.
    """
    longest = max(0.0, time_left) * MAX_WAIT_SHARE
    return longest * (1 - SPREAD_SHARE * random_number)


def compute_wait_until(
    ready_in: float, time_left: float, random_number: float
) -> float:
    """Return the seconds after which a caller should return for a known event.

    Args:
        ready_in: seconds until the request can be served, for example by servers that
            were ordered.
        time_left: seconds until the caller's deadline.
        random_number: a random number from 0 up to 1.
    """
    wait = max(MIN_WAIT, ready_in) * (1 + SPREAD_SHARE * random_number)
    return min(wait, compute_wait(time_left, random_number))
