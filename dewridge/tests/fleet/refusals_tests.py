"""Tests of reading the refusals of backend servers."""

from dewridge.codes import ResultCode
from dewridge.fleet.refusals import read_refusal

OVERLOADED = b'{"error": {"type": "overloaded"}}'


def test_refusal_of_an_overloaded_server_carries_its_rest() -> None:
    refusal = read_refusal(503, OVERLOADED, retry_after=3.0)
    assert refusal.code is ResultCode.NOT_STARTED
    assert refusal.retry_after == 3.0


def test_failure_that_may_have_run_carries_no_rest() -> None:
    refusal = read_refusal(503, b"", retry_after=3.0)
    assert refusal.code is ResultCode.BACKEND_SERVER_FAILED
    assert refusal.retry_after is None
