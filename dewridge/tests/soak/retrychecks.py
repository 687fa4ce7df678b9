"""Check that servers get few arrivals beyond the first of each request."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Sequence

from dewridge.tests.soak.records import History

RETRY_RATIO = 0.2
"""Arrivals beyond the first that operators allow for each request."""
RETRY_WINDOW = 10.0
"""Seconds of a window."""


def check_retries(history: History) -> list[str]:
    """Check the arrivals of all hosts' requests at each service."""
    requests: dict[str, list[float]] = defaultdict(list)
    for request in history.requests.values():
        requests[request.kind.service].append(request.sent_at)
    violations = []
    for service, repeats in list_repeats(history).items():
        excess = find_excess(
            sorted(requests[service]),
            sorted(repeats),
            ratio=RETRY_RATIO,
            slack=history.retry_slack,
            window=RETRY_WINDOW,
        )
        if excess is not None:
            violations.append(f"{service}: {excess}")
    return violations


def list_repeats(history: History) -> dict[str, list[float]]:
    """Return the times of the arrivals beyond the first of each request, by service."""
    arrivals: dict[str, list[float]] = defaultdict(list)
    for arrival in [*history.all_arrivals, *history.continuation_arrivals]:
        if arrival.id in history.requests:
            arrivals[arrival.id].append(arrival.at)
    repeats: dict[str, list[float]] = defaultdict(list)
    for request_id, times in arrivals.items():
        service = history.requests[request_id].kind.service
        repeats[service] += sorted(times)[1:]
    return repeats


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
