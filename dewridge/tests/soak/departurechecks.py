"""Checks that no request reaches a server too late after it has left."""

from dewridge.tests.soak.records import Execution, History

MAX_DEPARTURE_DELAY = 2.0
"""Seconds after the store has acknowledged a departure within which requests may
arrive."""
CONTACT_SECONDS = 3.0
"""Seconds without a disturbance after which a host, or the store, counts again."""


def check_late_arrivals(history: History) -> list[str]:
    """Return all requests that reached a server too late after it had left.

    The departure counts if the store was undisturbed when it acknowledged it, and the
    request if its host was undisturbed from `CONTACT_SECONDS` before it was sent until
    it arrived. A disturbance between the two excuses nothing.
    """
    violations = []
    for arrival in history.all_arrivals:
        left_at = history.server_departing_at.get(arrival.server)
        if left_at is None or arrival.at <= left_at + MAX_DEPARTURE_DELAY:
            continue
        if not _is_excused(history, arrival, left_at):
            violations.append(
                f"{arrival.id}: reached {arrival.server}"
                f" {arrival.at - left_at:.2f} s after it had left"
            )
    return violations


def _is_excused(history: History, arrival: Execution, left_at: float) -> bool:
    request = history.requests.get(arrival.id)
    if request is None:
        return True
    was_store_unstable = any(
        disturbance.host == ""
        and not disturbance.affects_servers_only
        and not disturbance.is_planned
        and disturbance.begin <= left_at
        and disturbance.end >= left_at - CONTACT_SECONDS
        for disturbance in history.disturbances
    )
    return was_store_unstable or any(
        disturbance.host in {"", request.host}
        and not disturbance.affects_servers_only
        and disturbance.begin <= arrival.at
        and disturbance.end >= request.sent_at - CONTACT_SECONDS
        for disturbance in history.disturbances
    )
