"""Checks of the recorded history; each returns a text for every violation."""

from collections import Counter, defaultdict

from dewridge.codes import ResultCode
from dewridge.tests.soak.departurechecks import check_late_arrivals
from dewridge.tests.soak.documentchecks import check_documents, list_checked
from dewridge.tests.soak.endchecks import check_ends, count_ends
from dewridge.tests.soak.finishchecks import check_finished
from dewridge.tests.soak.lostchecks import (
    Loss,
    check_exits,
    check_lost,
    check_own_ends,
    check_unanswered,
    count_leaving,
    group_runs,
    was_cut_by_exit,
)
from dewridge.tests.soak.partchecks import check_bad_parts
from dewridge.tests.soak.partitionchecks import check_partitions
from dewridge.tests.soak.records import Execution, History, SentRequest
from dewridge.tests.soak.retrychecks import check_retries, list_repeats
from dewridge.tests.soak.returnchecks import check_returns
from dewridge.tests.soak.signalchecks import check_brittle_servers, check_signals
from dewridge.tests.soak.versionchecks import check_versions, count_resumptions

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Status codes that guarantee that the request was not executed."""
MAX_REVOCATION_DELAY = 5.0
"""Seconds after which every host must reject a revoked key."""
MAX_DEPARTURE_DELAY = 2.0
"""Seconds after which up-to-date hosts send no new work to a departing server."""
HOST_SYNC_SECONDS = 3.0
"""Seconds without a fault after which a host counts as up to date."""
LEASE_SECONDS = 3.0
"""Minimum seconds between two calls by one duty holder if another holder made a call
in between."""
RECOVERY_SECONDS = 12.0
"""Seconds after the last fault by which most requests must succeed again."""
MIN_SERVED_SHARE = 0.8
"""Share of the requests that must succeed after recovery."""
CRASH_THRESHOLD = 3
"""Server crashes under a request after which hosts must quarantine it."""
MAX_LATE_ARRIVALS = 3
"""Attempts in flight that may reach servers after hosts must quarantine a request."""
QUOTA_WINDOW_SECONDS = 8.0
"""Length of the sliding window in which the usage of an account is summed up."""
FIRST_EVENT_NUMBER = 1
QUARANTINED_CODE = ResultCode.REQUEST_SET_ASIDE.name.encode()


def check_all(history: History, quotas: dict[str, float]) -> list[str]:
    """Return all violations.

    Args:
        history: the records of the run.
        quotas: maximum tokens of each account in any `QUOTA_WINDOW_SECONDS`.
    """
    return [
        *check_responses(history),
        *check_executions(history),
        *check_keys(history),
        *check_departing_servers(history),
        *check_late_arrivals(history),
        *check_interruptions(history),
        *check_lost(history),
        *check_unanswered(history),
        *check_exits(history),
        *check_own_ends(history),
        *check_duties(history),
        *check_quotas(history, quotas),
        *check_recovery(history),
        *check_crashing_requests(history),
        *check_signals(history),
        *check_partitions(history),
        *check_brittle_servers(history),
        *check_versions(history),
        *check_documents(history),
        *check_bad_parts(history),
        *check_retries(history),
        *check_ends(history),
        *check_finished(history),
        *check_returns(history),
    ]


def check_responses(history: History) -> list[str]:
    """Check that successful responses are signed, correct and complete.

    A response that does not look complete to the caller may be truncated.
    """
    violations = []
    for request in history.requests.values():
        if request.status == 200 and not request.is_signed:
            violations.append(f"{request.id}: a success without a server's signature")
        if request.status != 200 or request.kind.is_stream:
            continue
        if request.is_complete and request.body != request.id.encode():
            violations.append(f"{request.id}: got {request.body[:60]!r}")
    return violations + [
        violation
        for request in history.requests.values()
        for violation in _check_events(request)
    ]


def _check_events(request: SentRequest) -> list[str]:
    numbers = [number for number, _, _ in request.events]
    first = request.resumes_after + FIRST_EVENT_NUMBER
    expected = list(range(first, first + len(numbers)))
    violations = []
    if numbers != expected:
        violations.append(f"{request.id}: events {numbers}")
    if any(owner != request.id for _, owner, _ in request.events):
        violations.append(f"{request.id}: another request's events")
    looks_complete = (
        request.kind.is_stream and request.status == 200 and request.is_complete
    )
    if looks_complete and not (request.events and request.events[-1][2]):
        violations.append(f"{request.id}: complete after {len(numbers)} events")
    return violations


def check_executions(history: History) -> list[str]:
    """Check that requests that are not retryable are executed at most once.

    They must not be executed at all if the status says so, and no request may be
    executed that no caller sent.
    """
    counts = Counter(execution.id for execution in history.executions)
    violations = [
        f"{request_id}: nobody sent it"
        for request_id in counts
        if request_id not in history.requests
    ]
    for request in history.requests.values():
        count = counts[request.id]
        if request.kind.is_retryable:
            continue
        if count > 1:
            violations.append(f"{request.id}: ran {count} times")
        if request.status in NOT_EXECUTED_STATUSES and count:
            violations.append(f"{request.id}: told {request.status}, and ran")
    return violations


def _list_executions(history: History) -> list[tuple[Execution, SentRequest]]:
    return [
        (execution, history.requests[execution.id])
        for execution in history.executions
        if execution.id in history.requests
    ]


def check_keys(history: History) -> list[str]:
    """Check that no host accepts a revoked key after `MAX_REVOCATION_DELAY`."""
    violations = []
    for execution, request in _list_executions(history):
        revoked_at = history.key_revoked_at.get(request.key)
        if (
            revoked_at is not None
            and request.sent_at > revoked_at + MAX_REVOCATION_DELAY
        ):
            delay = request.sent_at - revoked_at
            violations.append(
                f"{execution.id}: ran {delay:.1f} s after its key was taken away"
            )
    return violations


def check_departing_servers(history: History) -> list[str]:
    """Check that up-to-date hosts send no new work to a departing server."""
    violations = []
    for execution, request in _list_executions(history):
        departing_at = history.server_departing_at.get(execution.server)
        if (
            departing_at is None
            or request.sent_at <= departing_at + MAX_DEPARTURE_DELAY
        ):
            continue
        if not history.is_disturbed(
            request.host, departing_at - HOST_SYNC_SECONDS, execution.at
        ):
            lag = execution.at - departing_at
            violations.append(
                f"{execution.id}: reached {execution.server} {lag:.1f} s after it left"
            )
    return violations


def check_interruptions(history: History) -> list[str]:
    """Check that requests are interrupted by unplanned faults only.

    A graceful stop, a reload or a change of the configuration must not interrupt any,
    except what still runs at the end of its time or of the grace period.
    """
    runs = group_runs(history)
    server_by_request = {
        execution.id: execution.server for execution in history.executions
    }
    violations = []
    for request in history.requests.values():
        if request.is_complete or request.is_abandoned or request.ended_at is None:
            continue
        if request.ended_at > history.end:
            continue
        if history.is_disturbed(
            "", request.sent_at - HOST_SYNC_SECONDS, request.ended_at
        ):
            continue
        if history.is_disturbed(
            request.host, request.sent_at - HOST_SYNC_SECONDS, request.ended_at
        ):
            continue
        loss = Loss(request, request.ended_at)
        if history.is_cut_by_order(request):
            continue
        if history.is_restarted(runs[request.id]):
            # `check_finished` has streams that must go on elsewhere.
            continue
        if loss.used_share >= 1 or was_cut_by_exit(history, loss, runs[request.id]):
            continue
        if request.id in server_by_request:
            violations.append(
                f"{request.id}: cut off at {request.host} in calm or planned work"
            )
    return violations


def check_duties(history: History) -> list[str]:
    """Check the calls of duty holders to the cloud API.

    Each fencing token belongs to one holder, tokens never decrease, holders don't
    alternate within `LEASE_SECONDS`, and all reports of a usage window are equal.
    """
    violations = []
    by_subject = defaultdict(list)
    for call in history.duty_calls:
        by_subject[call.subject].append(call)
    for subject, calls in by_subject.items():
        counts = {call.counts for call in calls}
        if subject.startswith("usage ") and len(counts) > 1:
            violations.append(f"{subject}: told {len(counts)} different sums")
    holder_by_token: dict[int, str] = {}
    highest_token = 0
    for call in history.duty_calls:
        first_holder = holder_by_token.setdefault(call.fencing_token, call.holder)
        if first_holder != call.holder:
            violations.append(
                f"number {call.fencing_token}: used by {first_holder} and {call.holder}"
            )
        if call.fencing_token < highest_token:
            violations.append(
                f"{call.subject}: number {call.fencing_token} after {highest_token}"
            )
        highest_token = max(highest_token, call.fencing_token)
    return violations + _check_holder_alternation(history)


def _check_holder_alternation(history: History) -> list[str]:
    violations = []
    holder_changes = [history.duty_calls[0]] if history.duty_calls else []
    last_call_at: dict[str, float] = {}
    for call in history.duty_calls:
        if holder_changes[-1].holder != call.holder:
            previous_at = last_call_at.get(call.holder)
            if previous_at is not None and call.at - previous_at < LEASE_SECONDS:
                violations.append(
                    f"{call.holder} acted again {call.at - previous_at:.1f} s on"
                )
            holder_changes.append(call)
        last_call_at[call.holder] = call.at
    return violations


def check_quotas(history: History, quotas: dict[str, float]) -> list[str]:
    """Check that no account exceeds its quota in any window, summed over all hosts."""
    usage = defaultdict(list)
    for execution, request in _list_executions(history):
        usage[execution.account].append((execution.at, request.tokens))
    violations = []
    for account, limit in quotas.items():
        times = sorted(usage[account])
        for begin, _ in times:
            total = sum(
                n for at, n in times if begin <= at <= begin + QUOTA_WINDOW_SECONDS
            )
            if total > limit:
                violations.append(f"{account}: {total} of {limit:.0f} from {begin:.1f}")
                break
    return violations


def check_recovery(history: History) -> list[str]:
    """Check that most requests succeed some time after the last fault."""
    begin = history.last_fault_end + RECOVERY_SECONDS
    late_requests = [
        request
        for request in history.requests.values()
        if begin < request.sent_at < history.end - 2.0
        and request.key not in history.key_revoked_at
        and request.status != 429
        and not request.crashes_servers
        and not request.breaks_off
        and not request.upload_bytes
    ]
    served = sum(
        request.status == 200 and request.is_complete for request in late_requests
    )
    if len(late_requests) >= 20 and served < MIN_SERVED_SHARE * len(late_requests):
        return [f"{served} of {len(late_requests)} served after recovery"]
    return []


def check_crashing_requests(history: History) -> list[str]:
    """Check that a request that crashed three servers hardly reaches another one."""
    crash_times = defaultdict(list)
    for crash in history.crashes:
        crash_times[crash.content].append(crash.at)
    violations = []
    for content, times in crash_times.items():
        if len(times) < CRASH_THRESHOLD:
            continue
        quarantined_by = sorted(times)[CRASH_THRESHOLD - 1] + HOST_SYNC_SECONDS
        late_arrivals = [
            execution
            for execution, request in _list_arrivals(history)
            if request.content == content
            and execution.at > quarantined_by
            and not history.is_disturbed(
                request.host,
                execution.at - HOST_SYNC_SECONDS,
                execution.at,
                include_server_faults=False,
            )
        ]
        if len(late_arrivals) > MAX_LATE_ARRIVALS:
            violations.append(
                f"{content}: sent {len(late_arrivals)} times, {len(times)} ended"
            )
    return violations


def _list_arrivals(history: History) -> list[tuple[Execution, SentRequest]]:
    return [
        (execution, history.requests[execution.id]) for execution in history.arrivals
    ]


def count_outcomes(history: History) -> dict[str, int]:
    """Return the number of requests by outcome, which the run prints in its line."""
    counts: Counter[str] = Counter()
    for request in history.requests.values():
        suffix = "" if request.is_complete else " cut"
        counts[f"{request.status}{suffix}"] += 1
        if request.body.startswith(QUARANTINED_CODE):
            counts["set aside" if request.crashes_servers else "set aside wrongly"] += 1
    for answer in history.signal_answers:
        counts[f"answers with {answer.signal.value}"] += 1
    if history.crashes:
        counts["servers ended"] = len(history.crashes)
    extras = {
        "partitions": len(history.partitions),
        "brittle periods": len(history.brittle_periods),
        "servers left": len(history.server_departing_at),
        "repeats": sum(map(len, list_repeats(history).values())),
        "rejections for room": history.rejections_for_room,
        "falls": len(history.falls),
        "odd entries": history.odd_entries,
        "servers returned": len(history.returns),
        "restores": history.restores,
        **count_resumptions(history),
        **count_leaving(history),
        **count_ends(history),
        "versions probed in touch": len(list_checked(history)),
    }
    counts.update({name: count for name, count in extras.items() if count})
    return dict(sorted(counts.items()))
