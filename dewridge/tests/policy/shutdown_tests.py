"""Tests of what a leaving host accepts, by the bounds that operators count on."""

from hypothesis import given
from hypothesis import strategies as st

from dewridge.policy.shutdown import schedule_shutdown

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
    for is_stream in (True, False):
        if schedule.accepts(now, now + duration, is_stream=is_stream):
            assert now + duration <= schedule.exits_at or now <= SENT_EXCUSED


@given(grace=st.floats(1.0, 60.0))
def test_the_exit_lies_in_the_last_sixth_of_the_grace_period(grace: float) -> None:
    """Guards against streams that are cut earlier than operators allow."""
    schedule = schedule_shutdown(0.0, grace)
    assert grace * 5 / 6 <= schedule.exits_at < grace


@given(arrival=st.floats(0.0, 10.0))
def test_a_closed_host_accepts_nothing(arrival: float) -> None:
    """Guards against requests that are accepted while the process ends."""
    schedule = schedule_shutdown(0.0, 8.0).close(arrival)
    assert not schedule.accepts(arrival, arrival + 0.1, is_stream=True)
