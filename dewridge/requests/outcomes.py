"""What a caller is told at the end, given what may have happened. Pure."""

from dewridge.codes import TABLE, Outcome, ResultCode
from dewridge.policy.model import AttemptOutcome
from dewridge.requests.model import AnswerSummary, EndedEvent
from dewridge.requests.records import Record
from dewridge.sentinels import Failure

UNKNOWN_RETRY_AFTER = 2.0
"""Seconds until asking again makes sense: a holder that woke up has delivered by
then, or its host counts as dead."""

NOT_STARTED_CODES = (ResultCode.NOT_STARTED, ResultCode.BACKEND_SERVER_LEAVING)

REFUSES_FOR_GOOD = (
    ResultCode.BACKEND_SERVER_REJECTED,
    ResultCode.REQUEST_SET_ASIDE,
)

_RUNNING_CODES = {
    ResultCode.DEADLINE_PASSED: ResultCode.DEADLINE_PASSED_RUNNING,
    ResultCode.DEADLINE_UNREACHABLE: ResultCode.DEADLINE_PASSED_RUNNING,
    ResultCode.CANCELLED: ResultCode.CANCELLED_RUNNING,
}


def classify_failure(failure: Failure, tokens_came: bool) -> AttemptOutcome:
    """Say what an attempt's failure proves.

    A code that promises "nothing ran" is not believed once tokens came.
    """
    if failure.code in REFUSES_FOR_GOOD and not tokens_came:
        return AttemptOutcome.REJECTED
    if failure.code in NOT_STARTED_CODES and not tokens_came:
        return AttemptOutcome.NOT_STARTED
    if failure.code is ResultCode.BACKEND_SERVER_LEAVING:
        return AttemptOutcome.LEAVING
    return AttemptOutcome.LOST


def make_end_event(record: Record, failure: Failure) -> EndedEvent:
    """Turn the reason for giving a request up into words that are true."""
    code = failure.code
    outcome = TABLE[code].outcome
    if record.maybe_run and outcome in (Outcome.NOT_RUN, Outcome.NOT_APPLICABLE):
        code = _choose_running_code(record, code)
    elif outcome in (Outcome.UNKNOWN, Outcome.NOT_APPLICABLE):
        code = _choose_lost_code(record, code)
    retry_after = failure.retry_after
    if TABLE[code].outcome is Outcome.UNKNOWN and retry_after is None:
        retry_after = UNKNOWN_RETRY_AFTER
    return EndedEvent(code, failure.reason, retry_after, summary=summarize(record))


def _choose_running_code(record: Record, code: ResultCode) -> ResultCode:
    if not record.idempotent:
        return ResultCode.OUTCOME_UNKNOWN
    return _RUNNING_CODES.get(code, ResultCode.ATTEMPTS_EXHAUSTED)


def _choose_lost_code(record: Record, code: ResultCode) -> ResultCode:
    if code in (ResultCode.HOLDER_LOST, ResultCode.OUTCOME_UNKNOWN):
        return code
    if record.idempotent:
        return ResultCode.ATTEMPTS_EXHAUSTED
    return ResultCode.OUTCOME_UNKNOWN


def summarize(
    record: Record, backend_server: str = "", failure_domain: str = ""
) -> AnswerSummary:
    """Return what is told with the end of an answer."""
    return AnswerSummary(
        tokens=len(record.tokens),
        attempts=record.attempts,
        recomputed=record.recomputed,
        cost=record.cost,
        backend_server=backend_server,
        failure_domain=failure_domain,
        profile=record.profile,
    )
