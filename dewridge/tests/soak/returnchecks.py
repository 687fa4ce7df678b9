"""Checks that servers that registered again get requests of all hosts."""

from collections import Counter

from dewridge.tests.soak.records import History, SentRequest, ServerReturn

RETURN_WITHIN = 2.0
"""Seconds after its return from which a server has to get requests."""
CONTACT_SECONDS = 3.0
"""Seconds without a disturbance after which a host counts."""
REQUESTS_PER_SERVER = 8
"""Served requests for a service, for each of its servers, of which at least one has to
reach each server. Drawn at random, none would in one of 3,000 cases."""
SERVED = 200


def check_returns(history: History) -> list[str]:
    """Return all servers that a host sent no request to after they had returned."""
    violations = []
    for returned in history.returns:
        if _is_withheld(history, returned):
            continue
        requests = _list_requests(history, returned)
        needed = REQUESTS_PER_SERVER * _count_servers(history, returned.service)
        counts = Counter(request.host for request in requests)
        reached = {
            history.requests[arrival.id].host
            for arrival in history.all_arrivals
            if arrival.server == returned.server
            and arrival.at >= returned.at
            and arrival.id in history.requests
        }
        violations += [
            f"{returned.server}: none of {count} requests of {host}"
            " after it had registered again"
            for host, count in counts.items()
            if count >= needed and host not in reached
        ]
    return violations


def _is_withheld(history: History, returned: ServerReturn) -> bool:
    """Whether signals of the server may have kept requests from it."""
    return (
        any(answer.server == returned.server for answer in history.signal_answers)
        or any(fall.server == returned.server for fall in history.falls)
        or any(crash.server == returned.server for crash in history.crashes)
        or any(period.service == returned.service for period in history.brittle_periods)
    )


def _count_servers(history: History, service: str) -> int:
    return len(
        {
            arrival.server
            for arrival in history.all_arrivals
            if arrival.server.startswith(f"{service}-")
        }
    )


def _list_requests(history: History, returned: ServerReturn) -> list[SentRequest]:
    """Return the served requests for the service that hosts in touch got by then."""
    end = min(returned.until, history.end)
    begin_by_host: dict[str, float] = {}
    requests = []
    for request in history.requests.values():
        host = request.host
        if host not in begin_by_host:
            begin_by_host[host] = _find_begin(history, returned, host, end)
        if (
            request.kind.service == returned.service
            and request.status == SERVED
            and not request.first_attempt
            and begin_by_host[host] <= request.sent_at <= end
        ):
            requests.append(request)
    return requests


def _find_begin(
    history: History, returned: ServerReturn, host: str, end: float
) -> float:
    """Return from when on a host has to use a server, or after the end if never."""
    begin = returned.at + RETURN_WITHIN
    for disturbance in history.disturbances:
        concerns = disturbance.host in {"", host} and disturbance.begin <= end
        if concerns and not disturbance.affects_servers_only:
            begin = max(begin, disturbance.end + CONTACT_SECONDS)
    for partition in history.partitions:
        if partition.begin <= end:
            begin = max(begin, partition.end + CONTACT_SECONDS)
    return begin
