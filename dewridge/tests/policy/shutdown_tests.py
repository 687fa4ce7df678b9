"""Tests of what a leaving host accepts, by the bounds that operators count on."""

from hypothesis import given
from hypothesis import strategies as st

from dewridge.policy.shutdown import estimate_signal_time, schedule_shutdown
from dewridge.policy.streamlengths import MAX_ROUTES, StreamLengths

SENT_EXCUSED = 3.0
"""Seconds from the signal by which a request was sent that the exit may cut."""


@given(
    grace=st.floats(1.0, 60.0),
    delay=st.floats(0.0, 0.3),
    arrival=st.floats(0.0, 60.0),
    duration=st.floats(0.0, 60.0),
)
def test_no_request_that_is_sent_late_outlasts_the_process(
    grace: float, delay: float, arrival: float, duration: float
) -> None:
    """Guards against any request that the exit cuts and operators do not excuse."""
    schedule = schedule_shutdown(delay, grace)
    now = delay + arrival
    for stream_seconds in (None, 0.0, duration):
        if schedule.accepts(now, now + duration, stream_seconds):
            assert now + duration <= schedule.exits_at or now <= SENT_EXCUSED


@given(grace=st.floats(1.0, 60.0))
def test_the_exit_lies_in_the_last_sixth_of_the_grace_period(grace: float) -> None:
    """Guards against streams that are cut earlier than operators allow."""
    schedule = schedule_shutdown(0.0, grace)
    assert grace * 5 / 6 <= schedule.exits_at < grace


@given(arrival=st.floats(0.0, 2.69), grace=st.floats(8.0, 60.0))
def test_streams_are_accepted_in_the_first_seconds(
    arrival: float, grace: float
) -> None:
    """Guards against callers that are refused by all hosts of a rolling restart."""
    schedule = schedule_shutdown(0.0, grace)
    assert schedule.accepts(arrival, arrival + 15.0, 2.0)
    assert schedule.accepts(arrival, arrival + 15.0, 0.0)


@given(share=st.floats(0.0, 1.0), grace=st.floats(1.0, 30.0))
def test_streams_that_may_be_cut_have_half_of_the_grace_period(
    share: float, grace: float
) -> None:
    """Guards against short grace periods in which streams are begun at the end."""
    schedule = schedule_shutdown(0.0, grace)
    arrival = share * grace
    if schedule.accepts(arrival, arrival + 600.0, 0.0):
        assert schedule.exits_at - arrival > grace / 2


@given(
    grace=st.floats(1.0, 30.0), stall=st.floats(0.0, 60.0), share=st.floats(0.0, 1.0)
)
def test_a_signal_to_a_process_that_stands_still_counts_from_when_it_was_sent(
    grace: float, stall: float, share: float
) -> None:
    """Guards against a host that plans to end after it is killed."""
    sent_at = share * stall
    started_at = estimate_signal_time(stall, 0.0, 0.25, grace)
    schedule = schedule_shutdown(started_at, grace)
    assert schedule.started_at >= stall - grace / 2
    if stall > 0.55 and stall - sent_at <= grace / 2:
        assert schedule.open_until <= sent_at + SENT_EXCUSED
    if 0.55 < stall <= grace / 2:
        assert schedule.exits_at < sent_at + grace


@given(arrival=st.floats(0.0, 10.0))
def test_a_closed_host_accepts_nothing(arrival: float) -> None:
    """Guards against requests that are accepted while the process ends."""
    schedule = schedule_shutdown(0.0, 8.0).close(arrival)
    assert not schedule.accepts(arrival, arrival + 0.1, 0.0)


@given(arrival=st.floats(0.0, 10.0), seconds=st.floats(0.0, 10.0))
def test_streams_that_usually_outlast_the_process_are_refused(
    arrival: float, seconds: float
) -> None:
    """Guards against long streams that are all cut, though other hosts serve them."""
    schedule = schedule_shutdown(0.0, 8.0)
    if schedule.accepts(arrival, arrival + 15.0, seconds):
        assert arrival + seconds <= schedule.exits_at
    elif arrival < schedule.open_until:
        assert arrival + seconds > schedule.exits_at


def test_the_length_of_streams_follows_the_recent_ones() -> None:
    """Guards against lengths from before a slow-down, and against single outliers."""
    lengths = StreamLengths()
    assert lengths.estimate("chat", 0.0) == 0.0
    for number in range(50):
        lengths.record("chat", 1.0 if number else 9.0, float(number))
    assert lengths.estimate("chat", 49.0) == 1.0
    for number in range(20):
        lengths.record("chat", 6.0, 100.0 + number)
    assert lengths.estimate("chat", 120.0) == 6.0
    assert lengths.estimate("chat", 200.0) == 0.0
    assert lengths.estimate("draft", 120.0) == 0.0


def test_the_lengths_of_many_routes_stay_small() -> None:
    """Guards against memory that grows with each route that ever had a stream."""
    lengths = StreamLengths()
    for number in range(10 * MAX_ROUTES):
        lengths.record(f"route-{number}", 1.0, 0.0)
        lengths.record("busy", 2.0, 0.0)
    assert len(lengths._samples) == MAX_ROUTES
    assert lengths.estimate("busy", 1.0) == 2.0
