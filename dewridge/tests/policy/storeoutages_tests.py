"""Tests of telling an outage of the store from calls that fail at some hosts."""

import random

import pytest

from dewridge.policy.storeoutages import REREGISTRATION_TIME, StoreOutages

HEARTBEAT = 1.2
LONGEST_HARMLESS = 2.0
"""Seconds of an outage in which no record can expire."""
CALLS_PER_PERIOD = 3
"""Calls of each host in one poll period: configuration, servers and hosts."""
MAX_CELL_HOSTS = 12
"""Hosts whose reports a host receives directly in a large fleet."""
RECONNECTED_AFTER = 3.0
"""Seconds after the end of a disruption from which departures bind a host again."""


def replay(outages: StoreOutages, answers: list[float], failures: list[float]) -> None:
    """Record calls at the times at which they ended."""
    events = [(at, True) for at in answers] + [(at, False) for at in failures]
    for at, is_answered in sorted(events):
        outages.record_call(at, is_answered=is_answered)


def test_a_single_failed_call_is_no_outage() -> None:
    """Guards against keeping servers that left, because one call failed."""
    outages = StoreOutages(HEARTBEAT)
    replay(outages, [0.0, 1.5, 3.15], [3.0])
    assert outages.find_grace_end(3.2) < 3.2


def test_calls_that_fail_here_are_no_outage_while_peers_are_answered() -> None:
    """Guards against keeping servers that left, because this host is rejected."""
    outages = StoreOutages(HEARTBEAT)
    for step in range(20):
        outages.record_peer_calls(1.0 + 0.5 * step, None, 1.1 + 0.5 * step)
        outages.record_call(1.2 + 0.5 * step, is_answered=False)
    assert outages.find_grace_end(10.6) < 10.6


@pytest.mark.parametrize("seconds", [2.4, 3.3, 6.0, 20.0])
def test_records_may_have_expired_in_a_long_outage(seconds: float) -> None:
    """Guards against dropping live servers after an outage of the store."""
    outages = StoreOutages(HEARTBEAT)
    end = 5.0 + seconds
    failures = [5.2 + 0.5 * step for step in range(int(2 * seconds))]
    replay(outages, [4.0, 4.9, end], failures)
    assert end + 2.0 <= outages.find_grace_end(end) <= end + REREGISTRATION_TIME + 0.2


def test_short_outages_in_a_row_count_together() -> None:
    """Guards against dropping servers that missed a heartbeat in each outage."""
    outages = StoreOutages(HEARTBEAT)
    replay(outages, [4.9, 6.6, 6.8, 8.5], [5.5, 6.0, 7.2, 7.9])
    assert outages.find_grace_end(8.5) >= 10.5


def test_an_outage_that_only_peers_saw_counts() -> None:
    """Guards against dropping servers at a host that made no call meanwhile."""
    outages = StoreOutages(HEARTBEAT)
    outages.record_call(10.0, is_answered=True)
    outages.record_peer_calls(10.1, 11.0, 11.2)
    outages.record_peer_calls(10.1, 12.5, 12.6)
    outages.record_call(13.4, is_answered=True)
    assert outages.find_grace_end(13.4) >= 15.4


def test_a_restore_counts_as_an_outage() -> None:
    outages = StoreOutages(HEARTBEAT)
    outages.record_call(1.0, is_answered=True)
    outages.record_restore(2.0)
    assert outages.find_grace_end(2.1) == 2.0 + REREGISTRATION_TIME


@pytest.mark.parametrize("hosts", [1, 2, 9, 60, 195, 440])
@pytest.mark.parametrize("seconds", [0.3, 0.5, 1.0, 3.0, 8.0])
def test_the_grace_period_ends_before_removals_count_again(
    hosts: int, seconds: float
) -> None:
    """Guards against keeping servers too long in fleets of any size."""
    rng = random.Random(hosts * 100 + seconds)
    end = 20.0 + seconds
    visible = min(hosts, MAX_CELL_HOSTS)
    period = min(3.5, 1.5 * (1 + (visible - 1) / 6))
    answers, failures = [], []
    for _ in range(CALLS_PER_PERIOD * visible):
        at = rng.uniform(0.0, period)
        while at < end + 3.0:
            if 20.0 <= at < end:
                failures.append(at)
                at += rng.uniform(0.1, 0.6)
            else:
                answers.append(at)
                at += period * rng.uniform(0.9, 1.1)
    outages = StoreOutages(HEARTBEAT)
    replay(outages, answers, failures)
    assert outages.find_grace_end(end + 3.0) < end + RECONNECTED_AFTER
    if seconds < LONGEST_HARMLESS and hosts > 2:
        assert outages.find_grace_end(end + 0.7) < end + 0.7
    if seconds > LONGEST_HARMLESS:
        assert outages.find_grace_end(end + 0.7) > end + 2.0


def test_memory_is_bounded() -> None:
    outages = StoreOutages(HEARTBEAT)
    for step in range(20_000):
        outages.record_call(step * 0.1, is_answered=True)
        outages.record_call(step * 0.1, is_answered=False)
    assert len(outages) < 1_000
