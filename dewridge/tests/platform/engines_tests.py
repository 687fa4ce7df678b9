"""Tests of decoding the load reports of engines."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dewridge.platform.engines import decode_report


def make_report(**changes: Any) -> bytes:
    """Return a load report as engines send it, with some fields changed."""
    report = {
        "waiting": 2,
        "running": 3,
        "kv_used": 30_000,
        "kv_total": 478_628,
        "next_token": 12_000,
        "runs": [["a", 12_000, 4, 2], ["b", 500, 0, 1], ["c", 0, 0, None]],
    }
    return json.dumps({**report, **changes}).encode()


def test_runs_without_events_are_still_being_prefilled() -> None:
    report = decode_report(make_report())
    assert report is not None
    assert (report.waiting, report.running, report.prefilling) == (2, 3, 2)
    assert report.run_ids == {"a", "b", "c"}


def test_an_idle_engine_and_unknown_fields() -> None:
    """Guards against refusing the reports of a newer or an idle engine."""
    body = make_report(
        waiting=0, running=0, runs=[], next_token=None, kv_used=0, added={"x": 1}
    )
    report = decode_report(body)
    assert report is not None
    assert (report.waiting, report.running, report.prefilling) == (0, 0, 0)
    longer = decode_report(make_report(runs=[["a", 1, 0, 2, "added"]]))
    assert longer is not None
    assert longer.prefilling == 1


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"garbage",
        b"\xff\xfe",
        b"[]",
        b"null",
        b"{}",
        b'{"waiting": 1, "running": NaN, "runs": []}',
        b"[" * 100_000,
        make_report(waiting=-1),
        make_report(running=-1),
        make_report(waiting=10_001),
        make_report(running=10_001),
        make_report(running=1.5),
        make_report(running="3"),
        make_report(running=None),
        make_report(running=10**30),
        make_report(kv_used=-1),
        make_report(kv_total=-1),
        make_report(next_token=-1),
        make_report(runs=3),
        make_report(runs={"a": 1}),
        make_report(runs=None),
        make_report(runs=["a"]),
        make_report(runs=[["a", 1]]),
        make_report(runs=[["a", -1, 0, 1]]),
        make_report(runs=[["a", 1, -1, 1]]),
        make_report(runs=[["a", 1, "0", 1]]),
        make_report(runs=[[["a"], 1, 0, 1]]),
        make_report(runs=[["a", 1, 0, 1]] * 10_001),
        b'{"waiting": 1, "running": 1}',
    ],
)
def test_malformed_and_impossible_reports_are_refused(body: bytes) -> None:
    """Guards against a faulty engine that draws or repels all prompts."""
    assert decode_report(body) is None


@given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
def test_no_input_raises(body: bytes) -> None:
    decode_report(body)
