"""Pure functions that determine the final results of requests."""

from dewridge.codes import CODE_TABLE, Outcome, ResultCode
from dewridge.policy.model import AttemptOutcome
from dewridge.requests.model import AnswerSummary, EndedEvent
from dewridge.requests.records import Record
from dewridge.sentinels import Failure

UNKNOWN_RETRY_AFTER = 2.0
"""Seconds after which a caller may retry. By then a resumed claim holder has delivered
its answer, or its host is considered dead."""

NOT_STARTED_CODES = (ResultCode.NOT_STARTED, ResultCode.BACKEND_SERVER_LEAVING)
"""Failures that prove that an attempt did not start, unless tokens were received."""

FINAL_REJECTION_CODES = (
    ResultCode.BACKEND_SERVER_REJECTED,
    ResultCode.REQUEST_SET_ASIDE,
)
"""Failures after which no further attempt is made, unless tokens were received."""

_RUNNING_CODES = {
    ResultCode.DEADLINE_PASSED: ResultCode.DEADLINE_PASSED_RUNNING,
    ResultCode.DEADLINE_UNREACHABLE: ResultCode.DEADLINE_PASSED_RUNNING,
    ResultCode.CANCELLED: ResultCode.CANCELLED_RUNNING,
}


def classify_failure(failure: Failure, has_tokens: bool) -> AttemptOutcome:
    """Return the outcome of a failed attempt.

    A code that reports "not started" is ignored if tokens were received.
    """
    if failure.code in FINAL_REJECTION_CODES and not has_tokens:
        return AttemptOutcome.REJECTED
    if failure.code in NOT_STARTED_CODES and not has_tokens:
        return AttemptOutcome.NOT_STARTED
    if failure.code is ResultCode.BACKEND_SERVER_LEAVING:
        return AttemptOutcome.LEAVING
    return AttemptOutcome.LOST


def make_end_event(record: Record, failure: Failure) -> EndedEvent:
    """Return the end of a failed request; its code reflects what may have run."""
    code = failure.code
    outcome = CODE_TABLE[code].outcome
    if record.maybe_run and outcome in (Outcome.NOT_RUN, Outcome.NOT_APPLICABLE):
        code = _choose_running_code(record, code)
    elif outcome in (Outcome.UNKNOWN, Outcome.NOT_APPLICABLE):
        code = _choose_unknown_code(record, code)
    retry_after = failure.retry_after
    if CODE_TABLE[code].outcome is Outcome.UNKNOWN and retry_after is None:
        retry_after = UNKNOWN_RETRY_AFTER
    return EndedEvent(code, failure.reason, retry_after, summary=summarize(record))


def _choose_running_code(record: Record, code: ResultCode) -> ResultCode:
    if not record.idempotent:
        return ResultCode.OUTCOME_UNKNOWN
    return _RUNNING_CODES.get(code, ResultCode.ATTEMPTS_EXHAUSTED)


def _choose_unknown_code(record: Record, code: ResultCode) -> ResultCode:
    if code in (ResultCode.HOLDER_LOST, ResultCode.OUTCOME_UNKNOWN):
        return code
    if record.idempotent:
        return ResultCode.ATTEMPTS_EXHAUSTED
    return ResultCode.OUTCOME_UNKNOWN


def summarize(
    record: Record, backend_server: str = "", failure_domain: str = ""
) -> AnswerSummary:
    """Return the summary that is sent with the end of an answer."""
    return AnswerSummary(
        tokens=len(record.tokens),
        attempts=record.attempts,
        recomputed=record.recomputed,
        cost=record.cost,
        backend_server=backend_server,
        failure_domain=failure_domain,
        profile=record.profile,
    )
