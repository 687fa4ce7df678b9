"""Tests of the state of a call under events and rejections, without sockets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dewridge.client.progress import UNCONFIRMED_REJECTIONS, Progress, Step
from dewridge.codes import ResultCode
from dewridge.ids import Generation
from dewridge.requests.model import (
    AnswerEvent,
    AnswerSummary,
    EndedEvent,
    RestartEvent,
    TokensEvent,
)
from dewridge.sentinels import Failure

FULL_TOKENS = {1: ["a", "b", "c", "d"], 2: ["w", "x", "y", "z"]}


def make_tokens(generation: int, offset: int, end: int) -> TokensEvent:
    tokens = tuple(FULL_TOKENS[generation][offset:end])
    return TokensEvent(Generation(generation), offset, tokens)


token_ranges = st.tuples(st.integers(0, 3), st.integers(1, 4))
events = st.one_of(
    st.builds(
        lambda generation, token_range: make_tokens(
            generation, token_range[0], sum(token_range)
        ),
        st.sampled_from([1, 2]),
        token_ranges,
    ),
    st.builds(lambda: RestartEvent(Generation(2))),
)


@given(st.lists(events, max_size=20))
def test_no_order_of_events_corrupts_the_answer(received: list[AnswerEvent]) -> None:
    # Events arrive late, duplicated, with gaps or from an abandoned generation. The
    # client's tokens must always be a prefix of a single generation.
    progress = Progress()
    progress.record_accepted(1)
    for event in received:
        progress.handle_event(event)
        full_tokens = FULL_TOKENS[progress.generation]
        assert progress.tokens == full_tokens[: len(progress.tokens)]


def test_end_with_missing_tokens_causes_a_reconnect() -> None:
    # The end event arrives although tokens were lost on the way. If the client
    # accepted it, the caller would get an answer without its last lines.
    progress = Progress()
    progress.record_accepted(1)
    progress.handle_event(make_tokens(1, 0, 2))
    end = EndedEvent(ResultCode.OK, summary=AnswerSummary(tokens=4))
    assert progress.handle_event(end) is Step.RECONNECT
    progress.handle_event(make_tokens(1, 2, 4))
    assert progress.handle_event(end) is Step.FINISH


def test_rejection_as_not_run_settles_earlier_submissions() -> None:
    # The connection of the first submission broke, so it may have been accepted. A
    # later rejection that reports "not run" covers all submissions up to its own.
    progress = Progress()
    progress.begin_submission()
    assert progress.is_outcome_uncertain
    progress.begin_submission()
    rejection = Failure(ResultCode.QUEUE_FULL, retry_after=1.0)
    assert progress.handle_rejection(rejection, True) is Step.RESUBMIT
    assert not progress.is_outcome_uncertain


def test_rejection_at_the_connection_limit_leaves_the_outcome_uncertain() -> None:
    # A host over its connection limit does not look up the key. The request may be
    # running at the host that received the first submission.
    progress = Progress()
    progress.begin_submission()
    progress.begin_submission()
    progress.handle_rejection(Failure(ResultCode.TOO_MANY_CONNECTIONS), False)
    assert progress.is_outcome_uncertain


def test_unknown_outcome_is_queried_again() -> None:
    # The host that runs a request goes silent but may still deliver. A client that
    # abandoned the call, or used a new key, could run the operation twice.
    progress = Progress()
    progress.record_accepted(1)
    end = EndedEvent(ResultCode.OUTCOME_UNKNOWN, retry_after=0.5)
    assert progress.handle_event(end) is Step.RECONNECT
    assert progress.retry_after == 0.5
    progress.handle_event(make_tokens(1, 0, 4))
    assert progress.handle_event(EndedEvent(ResultCode.OK)) is Step.FINISH


def test_repeated_unknown_outcome_causes_a_resubmission() -> None:
    # A request was accepted and its host reclaimed before it ran. No host stores it,
    # so queries returned "unknown" every two seconds until the deadline. Submitted
    # again under its key, it runs once.
    progress = Progress()
    progress.begin_submission()
    progress.record_accepted(1)
    end = EndedEvent(ResultCode.HOLDER_LOST, retry_after=0.5)
    assert progress.handle_event(end) is Step.RECONNECT
    assert progress.handle_event(end) is Step.RESUBMIT
    assert progress.retry_after == 0.5
    assert not progress.accepted
    assert progress.is_outcome_uncertain


def test_single_submission_limit_keeps_querying() -> None:
    # A caller may limit the submissions of its key. The client must not stop at the
    # second unknown outcome: a suspended holder may deliver the answer later.
    progress = Progress(max_submissions=1)
    progress.begin_submission()
    progress.record_accepted(1)
    end = EndedEvent(ResultCode.OUTCOME_UNKNOWN, retry_after=0.5)
    steps = [progress.handle_event(end) for _ in range(4)]
    assert steps == [Step.RECONNECT] * 4


@pytest.mark.parametrize("code", sorted(UNCONFIRMED_REJECTIONS))
def test_rejection_that_ignores_the_key_settles_no_earlier_submission(
    code: ResultCode,
) -> None:
    """Guards against "not run" for a call whose first submission may be running."""
    progress = Progress()
    progress.begin_submission()
    progress.begin_submission()
    progress.handle_rejection(Failure(code), is_not_run=True)
    assert progress.is_outcome_uncertain
    first = Progress()
    first.begin_submission()
    first.handle_rejection(Failure(code), is_not_run=True)
    assert not first.is_outcome_uncertain
