"""What a client makes of events and refusals, without sockets."""

from hypothesis import given
from hypothesis import strategies as st

from dewridge.client.progress import Progress, Step
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

WHOLE = {1: ["a", "b", "c", "d"], 2: ["w", "x", "y", "z"]}


def make_tokens(generation: int, offset: int, end: int) -> TokensEvent:
    tokens = tuple(WHOLE[generation][offset:end])
    return TokensEvent(Generation(generation), offset, tokens)


places = st.tuples(st.integers(0, 3), st.integers(1, 4))
events = st.one_of(
    st.builds(
        lambda generation, place: make_tokens(generation, place[0], sum(place)),
        st.sampled_from([1, 2]),
        places,
    ),
    st.builds(lambda: RestartEvent(Generation(2))),
)


@given(st.lists(events, max_size=20))
def test_no_order_of_events_garbles_the_answer(arrived: list[AnswerEvent]) -> None:
    # Events come late, twice, with gaps, or from a generation that was given
    # up. What the client holds is always the beginning of one generation.
    progress = Progress()
    progress.record_accepted(1)
    for event in arrived:
        progress.handle_event(event)
        whole = WHOLE[progress.generation]
        assert progress.tokens == whole[: len(progress.tokens)]


def test_an_end_that_overtook_tokens_is_not_the_end() -> None:
    # The end of an answer arrives though a part of its tokens got lost on the
    # way. Taken as it is the caller would hold a finding without its last lines.
    progress = Progress()
    progress.record_accepted(1)
    progress.handle_event(make_tokens(1, 0, 2))
    end = EndedEvent(ResultCode.OK, summary=AnswerSummary(tokens=4))
    assert progress.handle_event(end) is Step.RECONNECT
    progress.handle_event(make_tokens(1, 2, 4))
    assert progress.handle_event(end) is Step.FINISH


def test_a_refusal_ends_the_doubt_about_earlier_submissions() -> None:
    # The first submission's connection broke; nobody knows whether it was
    # accepted. A later refusal holds for all submissions up to its own.
    progress = Progress()
    progress.begin_submission()
    assert progress.is_outcome_uncertain
    progress.begin_submission()
    refusal = Failure(ResultCode.QUEUE_FULL, retry_after=1.0)
    assert progress.handle_rejection(refusal, True) is Step.RESUBMIT
    assert not progress.is_outcome_uncertain


def test_a_refusal_for_want_of_room_leaves_the_doubt() -> None:
    # A host without room asked nobody about the key. The request may be running
    # at the host that the first submission reached.
    progress = Progress()
    progress.begin_submission()
    progress.begin_submission()
    progress.handle_rejection(Failure(ResultCode.TOO_MANY_CONNECTIONS), False)
    assert progress.is_outcome_uncertain


def test_an_unknown_outcome_is_asked_for_again() -> None:
    # The host that held a call went silent. It may yet deliver; a client that
    # gave up now, or sent a new key, might get two letters.
    progress = Progress()
    progress.record_accepted(1)
    end = EndedEvent(ResultCode.OUTCOME_UNKNOWN, retry_after=0.5)
    assert progress.handle_event(end) is Step.RECONNECT
    assert progress.retry_after == 0.5
    progress.handle_event(make_tokens(1, 0, 4))
    assert progress.handle_event(EndedEvent(ResultCode.OK)) is Step.FINISH


def test_an_outcome_that_stays_unknown_is_sent_again() -> None:
    # A letter was accepted and its host was reclaimed before it was sent. No host
    # has it, so asking for it never helps: the caller heard "unknown" each two
    # seconds until its deadline. Sent again under its key it is issued once.
    progress = Progress()
    progress.begin_submission()
    progress.record_accepted(1)
    end = EndedEvent(ResultCode.HOLDER_LOST, retry_after=0.5)
    assert progress.handle_event(end) is Step.RECONNECT
    assert progress.handle_event(end) is Step.RESUBMIT
    assert progress.retry_after == 0.5
    assert not progress.accepted
    assert progress.is_outcome_uncertain


def test_a_caller_that_sends_once_goes_on_asking() -> None:
    # A caller may bound how often its key is sent. It must not stop at the second
    # "unknown": a holder that was asleep may bring the answer after it.
    progress = Progress(max_submissions=1)
    progress.begin_submission()
    progress.record_accepted(1)
    end = EndedEvent(ResultCode.OUTCOME_UNKNOWN, retry_after=0.5)
    steps = [progress.handle_event(end) for _ in range(4)]
    assert steps == [Step.RECONNECT] * 4
