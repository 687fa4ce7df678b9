"""Tests of decoding the signals in answers of backend servers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dewridge.platform.signals import NO_SIGNALS, decode_signals


def test_an_answer_without_signals_has_none() -> None:
    assert decode_signals([(b"content-length", b"3")]) is NO_SIGNALS


@pytest.mark.parametrize(
    ("value", "limit"),
    [(b"1.7", 1.7), (b" 12 ", 12.0), (b"0", 0.0), (b"3.", 3.0), (b"9" * 15, 1e15 - 1)],
)
def test_limit_is_a_decimal_number(value: bytes, limit: float) -> None:
    signals = decode_signals([(b"server-limit", value)])
    assert signals.limit == limit
    assert signals.faults == ()


@pytest.mark.parametrize(
    "value",
    [b"", b"-1", b"+1", b"nan", b"inf", b"1e3", b"1,7", b"two", b"9" * 400, b"\xff"],
)
def test_unreadable_limit_is_reported_and_not_taken_for_none(value: bytes) -> None:
    signals = decode_signals([(b"server-limit", value)])
    assert signals.limit is None
    assert signals.has_limit_header
    assert len(signals.faults) == 1


def test_lowest_of_several_limits_counts() -> None:
    headers = [(b"server-limit", value) for value in (b"4", b"x", b"2.5")]
    signals = decode_signals(headers)
    assert signals.limit == 2.5
    assert len(signals.faults) == 1


@given(st.lists(st.binary(max_size=30), max_size=3))
def test_any_value_is_decoded(values: list[bytes]) -> None:
    signals = decode_signals([(b"server-limit", value) for value in values])
    assert signals.limit is None or 0 <= signals.limit < 1e16
