"""Tests of the expected duration by which servers are compared."""

import random

import pytest

from dewridge.configuration.model import LatencyTargets
from dewridge.ids import RequestId
from dewridge.policy.credits import ServerCredits
from dewridge.policy.placement import estimate_loaded_duration
from dewridge.policy.servers import Servers
from dewridge.tests.policy.builders import make_server, make_work

NOW = 100.0


def make_servers(is_plain_service: bool = False) -> Servers:
    """Return servers with a usual first token of 0.4 s and 0.05 s between tokens."""
    servers = Servers(LatencyTargets(), is_plain_service, random.Random(1))
    servers.latency_model.first_token = 0.4
    servers.latency_model.token_time = 0.05
    return servers


def make_record(**measured: float) -> ServerCredits:
    """Return a server with measured values."""
    record = ServerCredits(make_server(1), limit=4.0, share=4.0, id_hash=1)
    for name, value in measured.items():
        setattr(record, name, value)
    return record


@pytest.mark.parametrize(
    ("record", "is_plain_service", "seconds"),
    [
        (make_record(), False, 0.4 + 9 * 0.05),
        (make_record(first_token=0.2, token_time=0.1), False, 0.2 + 9 * 0.1),
        (make_record(first_token=1.0, token_time=0.01), False, 1.0 + 9 * 0.01),
        (make_record(first_token=0.2), True, 0.2),
        (make_record(first_token=0.2, in_flight=2), True, 0.2 * 1.5),
    ],
)
def test_the_first_token_is_counted_once(
    record: ServerCredits, is_plain_service: bool, seconds: float
) -> None:
    """Guards against counting the time to the first token twice.

    For short answers, a server that is quick to begin would be preferred over one that
    completes the answer sooner.
    """
    servers = make_servers(is_plain_service)
    estimate = estimate_loaded_duration(make_work(1, tokens=10), servers, record, NOW)
    assert estimate == pytest.approx(seconds)


def test_a_server_that_completes_sooner_is_preferred() -> None:
    """Guards against preferring a quick beginning over a quick completion."""
    servers = make_servers()
    quick_start = make_record(first_token=0.1, token_time=0.1)
    quick_end = make_record(first_token=0.8, token_time=0.01)
    work = make_work(1, tokens=10)
    assert estimate_loaded_duration(
        work, servers, quick_end, NOW
    ) < estimate_loaded_duration(work, servers, quick_start, NOW)


def test_silence_replaces_the_expected_first_token() -> None:
    """Guards against sending to a server that hangs until the first timeout."""
    servers = make_servers()
    record = make_record(first_token=0.2, token_time=0.1, last_response_at=NOW - 9.0)
    record.awaiting_first_token[RequestId("one/2")] = NOW - 3.0
    estimate = estimate_loaded_duration(make_work(1, tokens=10), servers, record, NOW)
    assert estimate == pytest.approx(3.0 + 9 * 0.1)
