"""Check that servers get few arrivals beyond the first of each request."""

from bisect import bisect_left
from collections.abc import Sequence


def find_excess(
    requests: Sequence[float],
    repeats: Sequence[float],
    *,
    ratio: float,
    slack: float,
    window: float,
) -> str | None:
    """Return the first window with more repeats than allowed; None if there is none.

    A window allows `ratio` times the requests and `slack` besides. The requests are
    counted in it, in the window before it, and in the one that begins half a window
    earlier; the largest count applies.

    Args:
        requests: sorted times in seconds at which callers sent a request.
        repeats: sorted times of the arrivals beyond the first of their request.
        ratio: repeats allowed for each request.
        slack: repeats allowed besides.
        window: length of a window in seconds.
    """

    def count(times: Sequence[float], begin: float) -> int:
        return bisect_left(times, begin + window) - bisect_left(times, begin)

    for begin in repeats:
        sent = max(count(requests, begin - shift * window) for shift in (0, 0.5, 1))
        allowed = ratio * sent + slack
        found = count(repeats, begin)
        if found > allowed:
            return (
                f"{found} repeats from {begin:.2f} for {sent} ({allowed:.0f} allowed)"
            )
    return None
