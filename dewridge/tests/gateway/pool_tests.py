"""Tests of idle connections to backend servers: which are reused and which are not."""

import errno
import random

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from dewridge.gateway.measures import update_gauges
from dewridge.http1.client import ConnectFailure, open_connection
from dewridge.policy.idletime import MIN_LIMIT, IdleLimitEstimator
from dewridge.tests.gateway.world import (
    ServerExchange,
    World,
    answer_ok,
    open_world,
)


def use_connections(closes_after: float, announced: float | None) -> tuple[int, int]:
    """Simulate one host's requests to one server over some twenty minutes.

    Args:
        closes_after: seconds after which the server closes idle connections.
        announced: seconds that it announces; None if it announces nothing.

    Returns:
        Connections that were reused, and those of them that the server had closed.
    """
    rng = random.Random(1)
    times = IdleLimitEstimator()
    reused = lost = 0
    for _ in range(600):
        age = rng.expovariate(0.5)
        if age <= times.compute_limit(announced, is_non_retryable=True):
            reused += 1
            lost += age > closes_after
        if age > closes_after:
            times.record_closed(age)
        else:
            times.record_open(age)
    return reused, lost


def test_connections_are_reused_as_long_as_servers_keep_them_open() -> None:
    """Guards against a new connection for nearly every request.

    Each host sends a request to a server every two seconds, while an idle connection is
    at first reused for 0.6 s only.
    """
    reused, lost = use_connections(closes_after=60.0, announced=10.0)
    assert reused > 450
    assert lost == 0


def test_a_server_that_closes_sooner_than_announced_loses_few_requests() -> None:
    """A server announces ten seconds and closes connections after one and a half.

    A request that may not be retried is lost if it is sent on a closed connection.
    """
    reused, lost = use_connections(closes_after=1.5, announced=10.0)
    assert reused > 60
    assert lost <= 6


@given(st.lists(st.tuples(st.booleans(), st.floats(0, 1e4)), max_size=50))
def test_the_limit_stays_within_bounds(events: list[tuple[bool, float]]) -> None:
    times = IdleLimitEstimator()
    for is_open, age in events:
        if is_open:
            times.record_open(age)
        else:
            times.record_closed(age)
        limit = times.compute_limit(10.0, is_non_retryable=False)
        assert MIN_LIMIT <= limit <= 5.0
        assert times.compute_limit(None, is_non_retryable=True) < max(limit, 5.0)


async def test_requests_on_a_path_that_went_silent_lose_one_connection() -> None:
    """Guards against losing a request on each idle connection to a dead server.

    A server's host loses power, and its connections stay open. The first request that
    is sent on one of them is lost; further requests must not use the other
    connections.
    """
    answered = 0

    async def answer_three(exchange: ServerExchange) -> None:
        nonlocal answered
        answered += 1
        if answered <= 3:
            await trio.sleep(0.05)
            await exchange.answer()
            return
        exchange.reset()

    async with open_world() as world:
        server = await world.add_server("s-1", answer_three)
        async with trio.open_nursery() as nursery:
            for number in range(3):
                nursery.start_soon(send_one_request, world, f"r-{number}")
        record = world.state.servers.find(server.id)
        assert record is not None
        answer = await world.request(
            "/write/a", method="POST", body=b"x", request_id="w"
        )
        assert answer.status >= 500
        assert world.state.pool.acquire_idle(record, is_non_retryable=False) is None
        assert world.state.pool.reused == 1


async def send_one_request(world: World, request_id: str) -> None:
    """Send a request and ignore its answer."""
    await world.request("/read/a", request_id=request_id)


async def test_a_request_that_may_not_be_retried_reuses_a_recent_connection() -> None:
    async with open_world() as world:
        await world.add_server("s-1", answer_ok)
        for number in range(4):
            answer = await world.request(
                "/write/a", method="POST", body=b"x", request_id=f"w-{number}"
            )
            assert answer.status == 200
        assert world.state.pool.opened == 1


async def test_metrics_say_how_connections_failed() -> None:
    """Guards against partitions that can't be told from servers that have ended."""
    async with open_world() as world:
        server = await world.add_server("s-1", answer_ok)
        server.crash()
        await trio.sleep(0.01)
        record = world.state.servers.find(server.id)
        assert record is not None
        assert await world.state.pool.open(record) is ConnectFailure.REFUSED
        update_gauges(world.state)
        gauges = world.state.metrics.list_gauges()
    assert ("server_connects_failed", (("result", "refused"),), 1) in gauges


async def test_no_free_descriptor_is_a_failed_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an exception that ends the task that checks paths to servers."""

    def fail(*_: object) -> None:
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(trio.socket, "socket", fail)
    assert await open_connection("127.0.0.1:1", 0.1) is ConnectFailure.SILENT
