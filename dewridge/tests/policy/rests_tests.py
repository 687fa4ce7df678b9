"""Tests of the rests that backend servers ask for."""

from dewridge.policy.rests import ESSENTIAL_SENDS, MAX_REST, RestTimer


def test_later_answer_with_a_shorter_time_does_not_shorten_a_rest() -> None:
    timer = RestTimer()
    assert timer.extend(3.0, now=10.0)
    assert not timer.extend(0.5, now=11.0)
    assert timer.is_resting(12.9)
    assert not timer.is_resting(13.0)


def test_later_answer_with_a_longer_time_extends_a_rest() -> None:
    timer = RestTimer()
    timer.extend(3.0, now=10.0)
    timer.extend(3.0, now=12.0)
    assert timer.is_resting(14.9)


def test_rest_of_no_time_is_none() -> None:
    timer = RestTimer()
    assert not timer.extend(0.0, now=10.0)
    assert timer.acquire(10.0, is_essential=False)


def test_absurdly_long_rest_is_bounded() -> None:
    timer = RestTimer()
    timer.extend(1e12, now=0.0)
    assert timer.is_resting(MAX_REST - 1)
    assert not timer.is_resting(MAX_REST)


def test_few_essential_requests_are_sent_during_a_rest() -> None:
    """Guards against lost streams, and more requests than operators tolerate."""
    timer = RestTimer()
    timer.extend(3.0, now=10.0)
    assert not timer.acquire(11.0, is_essential=False)
    allowed = [timer.acquire(11.0, is_essential=True) for _ in range(5)]
    assert sum(allowed) == ESSENTIAL_SENDS <= 2
    timer.extend(3.0, now=12.0)
    assert not timer.acquire(12.0, is_essential=True)
    timer.extend(3.0, now=20.0)
    assert timer.acquire(20.0, is_essential=True)
