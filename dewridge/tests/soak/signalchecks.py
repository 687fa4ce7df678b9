"""Checks that hosts heed servers that ask for fewer requests."""

from collections import defaultdict

from dewridge.tests.soak.records import Execution, History, Signal, SignalAnswer

WINDOW = 4.0
"""Seconds over which requests at a server with a limit are counted."""
LIMIT_TOLERANCE = 1.5
LIMIT_SLACK = 5
"""Requests in a window beyond `LIMIT_TOLERANCE` times what the limit allows."""
LEARNING_SECONDS = 0.5
"""Seconds after an answer from which a host must heed its signal."""
LIMIT_GRACE = 3.0
"""Seconds after the first answer with a limit from which the limit holds."""
MAX_ARRIVALS_DURING_REST = 2
DRAIN_SECONDS = 2.0
"""Seconds after an answer that says that a server leaves in which a host may still take
requests for it."""
EXCUSE_SECONDS = 3.0
"""Seconds after a fault of a host in which it need not heed a signal from before."""

MAX_FALLS = 2
MAX_FALL_SHARE = 0.1
"""Falls of brittle servers beyond `MAX_FALLS`, as a share of their number."""

Arrivals = dict[str, list[Execution]]


def check_signals(history: History) -> list[str]:
    """Return all violations of limits, rests and departures in answers."""
    arrivals: Arrivals = defaultdict(list)
    for arrival in sorted(history.server_arrivals, key=lambda arrival: arrival.at):
        arrivals[arrival.server].append(arrival)
    by_server: dict[tuple[Signal, str], list[SignalAnswer]] = defaultdict(list)
    for answer in history.signal_answers:
        by_server[answer.signal, answer.server].append(answer)
    checks = {
        Signal.LIMIT: _check_limit,
        Signal.REST: _check_rest,
        Signal.LEAVING: _check_leaving,
    }
    violations = []
    for (signal, server), answers in by_server.items():
        violations += checks[signal](history, answers, arrivals[server])
    return violations


def check_brittle_servers(history: History) -> list[str]:
    """Return the periods in which brittle servers fell over too often."""
    violations = []
    for period in history.brittle_periods:
        falls = sum(
            fall.service == period.service and period.begin <= fall.at <= period.end
            for fall in history.falls
        )
        if falls > MAX_FALLS + MAX_FALL_SHARE * period.server_count:
            violations.append(f"{period.service}: brittle servers fell {falls} times")
    return violations


def _get_host(history: History, arrival: Execution) -> str:
    return history.requests[arrival.id].host


def _is_excused(history: History, host: str, begin: float, end: float) -> bool:
    """Whether the host was restarted, paused or cut off, or links were disturbed."""
    return any(
        disturbance.host in {"", host}
        and not disturbance.affects_store_only
        and disturbance.begin <= end
        and disturbance.end >= begin - EXCUSE_SECONDS
        for disturbance in history.disturbances
    )


def _check_limit(
    history: History, answers: list[SignalAnswer], arrivals: list[Execution]
) -> list[str]:
    first, last = answers[0].at, answers[-1].at
    highest = max(answer.value for answer in answers)
    told_at: dict[str, float] = {}
    for answer in answers:
        told_at.setdefault(answer.host, answer.at)
    times = []
    for arrival in arrivals:
        host = _get_host(history, arrival)
        is_told = told_at.get(host, float("inf")) + LEARNING_SECONDS <= arrival.at
        if not is_told or arrival.at > last:
            continue
        if not _is_excused(history, host, told_at[host], arrival.at):
            times.append(arrival.at)
    allowed = LIMIT_TOLERANCE * highest * WINDOW + LIMIT_SLACK
    for begin in times:
        count = sum(begin <= at < begin + WINDOW for at in times)
        if begin >= first + LIMIT_GRACE and count > allowed:
            return [f"{answers[0].server}: {count} of {allowed:.1f} from {begin:.1f}"]
    return []


def _check_rest(
    history: History, answers: list[SignalAnswer], arrivals: list[Execution]
) -> list[str]:
    for answer in answers:
        end = answer.at + answer.value
        during = [
            arrival
            for arrival in arrivals
            if answer.at + LEARNING_SECONDS <= arrival.at < end
            and _get_host(history, arrival) == answer.host
        ]
        if len(during) <= MAX_ARRIVALS_DURING_REST:
            continue
        if not _is_excused(history, answer.host, answer.at, end):
            return [
                f"{answer.server}: {len(during)} from {answer.host} in"
                f" {answer.value} s of rest"
            ]
    return []


def _check_leaving(
    history: History, answers: list[SignalAnswer], arrivals: list[Execution]
) -> list[str]:
    told_at: dict[str, float] = {}
    for answer in answers:
        told_at.setdefault(answer.host, answer.at)
    violations = []
    for arrival in arrivals:
        request = history.requests[arrival.id]
        left_at = told_at.get(request.host)
        if left_at is None or request.sent_at <= left_at + DRAIN_SECONDS:
            continue
        if not _is_excused(history, request.host, left_at, arrival.at):
            violations.append(f"{arrival.id}: sent to {arrival.server} after goodbye")
    return violations
