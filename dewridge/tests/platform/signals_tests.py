"""Tests of decoding the signals in answers of backend servers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dewridge.platform.signals import NO_SIGNALS, decode_signals

NOW = 1_700_000_000.0
NAMES = (b"server-limit", b"retry-after", b"server-leaving")


def test_an_answer_without_signals_has_none() -> None:
    assert decode_signals(200, [(b"content-length", b"3")], NOW) is NO_SIGNALS


@pytest.mark.parametrize(
    ("value", "limit"),
    [(b"1.7", 1.7), (b" 12 ", 12.0), (b"0", 0.0), (b"3.", 3.0), (b"9" * 15, 1e15 - 1)],
)
def test_limit_is_a_decimal_number(value: bytes, limit: float) -> None:
    signals = decode_signals(200, [(b"server-limit", value)], NOW)
    assert signals.limit == limit
    assert signals.faults == ()


@pytest.mark.parametrize(
    "value",
    [b"", b"-1", b"+1", b"nan", b"inf", b"1e3", b"1,7", b"two", b"9" * 400, b"\xff"],
)
def test_unreadable_limit_is_reported_and_not_taken_for_none(value: bytes) -> None:
    signals = decode_signals(200, [(b"server-limit", value)], NOW)
    assert signals.limit is None
    assert signals.has_limit_header
    assert len(signals.faults) == 1


def test_lowest_of_several_limits_counts() -> None:
    headers = [(b"server-limit", value) for value in (b"4", b"x", b"2.5")]
    signals = decode_signals(200, headers, NOW)
    assert signals.limit == 2.5
    assert len(signals.faults) == 1


@given(st.lists(st.binary(max_size=30), max_size=3))
def test_any_value_is_decoded(values: list[bytes]) -> None:
    signals = decode_signals(
        503, [(name, value) for name in NAMES for value in values], NOW
    )
    assert signals.limit is None or 0 <= signals.limit < 1e16
    assert signals.rest is None or signals.rest >= 0


@pytest.mark.parametrize(
    ("value", "rest"),
    [
        (b"3", 3.0),
        (b" 0.25 ", 0.25),
        (b"0", 0.0),
        (b"3600", 3600.0),
        (b"Tue, 14 Nov 2023 22:13:50 GMT", 30.0),
        (b"Tue, 14 Nov 2023 22:00:00 GMT", 0.0),
    ],
)
def test_rest_is_a_number_of_seconds_or_a_date(value: bytes, rest: float) -> None:
    assert decode_signals(503, [(b"retry-after", value)], NOW).rest == rest


@pytest.mark.parametrize("value", [b"", b"-3", b"soon", b"nan", b"Tue, 45 Foo 1"])
def test_unreadable_rest_is_reported(value: bytes) -> None:
    signals = decode_signals(503, [(b"retry-after", value)], NOW)
    assert signals.rest is None
    assert len(signals.faults) == 1


def test_rest_is_asked_for_by_rejections_only() -> None:
    assert decode_signals(200, [(b"retry-after", b"3")], NOW) is NO_SIGNALS


def test_longest_of_several_rests_counts() -> None:
    headers = [(b"retry-after", value) for value in (b"1", b"4", b"x")]
    assert decode_signals(503, headers, NOW).rest == 4.0


@pytest.mark.parametrize(("value", "is_leaving"), [(b"1", True), (b"0", False)])
def test_leaving_is_said_by_one(value: bytes, is_leaving: bool) -> None:
    signals = decode_signals(200, [(b"server-leaving", value)], NOW)
    assert signals.is_leaving is is_leaving
    assert signals.faults == ()


def test_unreadable_leaving_is_reported() -> None:
    signals = decode_signals(200, [(b"server-leaving", b"soon")], NOW)
    assert not signals.is_leaving
    assert len(signals.faults) == 1


@pytest.mark.parametrize(
    ("value", "tolerance"),
    [(b"3", 3.0), (b" 0 ", 0.0), (b"999999999999", 999999999999.0)],
)
def test_tolerance_of_rejections_is_decoded(value: bytes, tolerance: float) -> None:
    signals = decode_signals(200, [(b"server-brittle", value)], NOW)
    assert signals.tolerance == tolerance
    assert signals.has_tolerance_header


@pytest.mark.parametrize("value", [b"", b"-1", b"many", b"nan", b"inf", b"1e3"])
def test_unreadable_tolerance_is_a_fault_and_changes_nothing(value: bytes) -> None:
    """Guards against a header that can't be read and seems to end brittleness."""
    signals = decode_signals(200, [(b"server-brittle", value)], NOW)
    assert signals.tolerance is None
    assert signals.has_tolerance_header
    assert signals.faults


def test_least_of_several_tolerances_counts() -> None:
    headers = [(b"server-brittle", value) for value in (b"4", b"x", b"2")]
    assert decode_signals(200, headers, NOW).tolerance == 2.0
