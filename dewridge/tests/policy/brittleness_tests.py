"""Tests of the room that hosts take at servers that fall over if they reject many."""

import math

import pytest

from dewridge.policy.brittleness import (
    NOTICE_LIFETIME,
    PAUSE_AFTER_REJECTION,
    BrittleServer,
    ServerLoad,
    compute_host_share,
    compute_room,
    find_tolerance,
)

NOW = 100.0


def make_load(requests: int, own: int = 0, room: float = 6.0) -> ServerLoad:
    return ServerLoad(requests, own, room, arrival_rate=2.0, staleness=0.15)


@pytest.mark.parametrize("room", [0.5, 1.0, 6.0, 64.0])
@pytest.mark.parametrize("host_count", [1, 2, 9, 60, 195, 440])
def test_shares_of_all_hosts_together_fill_the_room(
    room: float, host_count: int
) -> None:
    """Guards against hosts that each stay below a bound that their sum exceeds."""
    shares = [compute_host_share(room, rank, host_count) for rank in range(host_count)]
    assert sum(shares) == int(room)
    assert max(shares) - min(shares) <= 1


def test_unlisted_host_has_no_share() -> None:
    assert compute_host_share(64.0, None, 9) == 0


def send_at(server: BrittleServer, load: ServerLoad, share: int = 2) -> float:
    return server.find_send_time(load, share, NOW, has_other_share=False)


def test_host_keeps_to_its_share_though_the_server_looks_idle() -> None:
    """Guards against a burst of all hosts that no report contains yet."""
    server = BrittleServer(3.0, NOW)
    assert send_at(server, make_load(requests=1, own=1)) == NOW
    assert send_at(server, make_load(requests=2, own=2)) > NOW


def test_host_without_any_share_uses_room_that_reports_show() -> None:
    """Guards against refusals by most hosts of a fleet with more hosts than room."""
    server = BrittleServer(3.0, NOW)
    assert send_at(server, make_load(requests=1), share=0) == NOW
    assert send_at(server, make_load(requests=5), share=0) > NOW
    at = server.find_send_time(make_load(requests=1), 0, NOW, has_other_share=True)
    assert at > NOW


def test_rejection_pauses_the_server_and_lowers_its_room() -> None:
    """Guards against a server that rejects on and on until it falls over."""
    server = BrittleServer(3.0, NOW)
    server.record_rejection(NOW, requests=5)
    assert send_at(server, make_load(0)) == NOW + PAUSE_AFTER_REJECTION
    assert server.compute_share(6.0, rank=4, host_count=6, now=NOW) == 0
    assert server.compute_limit(NOW + 2.0) == 6.0
    server.record_rejection(NOW - 5.0, requests=None)
    assert server.rejected_at == NOW


def test_answers_say_when_servers_are_brittle() -> None:
    """Guards against a server that counts as brittle for good."""
    brittle = BrittleServer(3.0, NOW)
    assert brittle.is_brittle(NOW)
    assert not brittle.is_brittle(NOW + NOTICE_LIFETIME)
    assert find_tolerance([brittle, BrittleServer(None, NOW)], NOW) == 3.0
    assert find_tolerance([BrittleServer(None, NOW)], NOW) is None
    assert BrittleServer().compute_limit(NOW) == math.inf


@pytest.mark.parametrize(
    ("capacity", "mean", "room"),
    [
        (0.0, 0.0, 64.0),
        (550_000.0, 0.0, 64.0),
        (100_000.0, 7_500.0, 10.0),
        (10.0, 1e6, 1.0),
    ],
)
def test_room_of_an_engine_is_bounded_by_its_memory(
    capacity: float, mean: float, room: float
) -> None:
    assert compute_room(64, capacity, mean) == room
