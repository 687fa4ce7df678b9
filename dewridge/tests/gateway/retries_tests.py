"""Tests of the limit on retries over all hosts while hosts start, leave and reload."""

from collections import defaultdict
from dataclasses import replace

import pytest
import trio
import trio.testing

from dewridge.tests.gateway.retryreplay import (
    RETRY_RATIO,
    RETRY_WINDOW,
    RetryReplay,
)
from dewridge.tests.gateway.world import ServerExchange, open_world
from dewridge.tests.soak.retrychecks import find_excess

START_SECONDS = 0.5
"""Seconds until a host that was killed runs again."""


@pytest.mark.parametrize("host_count", [2, 9, 60, 195])
async def test_retries_stay_within_the_limit_when_all_hosts_start_again(
    host_count: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against hosts that spend a budget anew after each start."""
    replay = RetryReplay(host_count)
    await replay.begin_rejecting()
    await replay.run(4.0)
    for host in replay.hosts:
        replay.kill(host)
    await replay.run(START_SECONDS)
    started_at = trio.current_time()
    for host in replay.hosts:
        replay.start(host)
    await replay.run(12.0)
    assert replay.find_excess() is None
    assert replay.count_repeats(started_at, started_at + 3.0) > 0


@pytest.mark.parametrize("host_count", [9, 60])
async def test_retries_stay_within_the_limit_while_hosts_restart_in_turn(
    host_count: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against hosts that take over the shares of those that restart."""
    replay = RetryReplay(host_count)
    await replay.begin_rejecting()
    await replay.run(1.0)
    group_size = max(2, host_count // 5)
    for first in range(0, host_count, group_size):
        group = replay.hosts[first : first + group_size]
        for host in group:
            replay.leave(host)
        await replay.run(1.5)
        for host in group:
            replay.start(host)
    await replay.run(12.0)
    assert replay.find_excess() is None


async def test_retries_stay_within_the_limit_when_hosts_are_killed_in_series(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a limit that holds for one start in a window only."""
    replay = RetryReplay(9)
    await replay.begin_rejecting()
    await replay.run(2.0)
    for _ in range(5):
        for host in replay.hosts:
            replay.kill(host)
        await replay.run(START_SECONDS)
        for host in replay.hosts:
            replay.start(host)
        await replay.run(1.0)
    await replay.run(10.0)
    assert replay.find_excess() is None


async def test_hosts_without_a_list_of_hosts_do_not_use_the_whole_slack(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against hosts that each count themselves alone while the store is away."""
    replay = RetryReplay(9)
    await replay.begin_rejecting()
    for host in replay.hosts:
        replay.kill(host)
        replay.start(host, is_listed=False)
    await replay.run(8.0)
    assert replay.find_excess() is None


async def test_remaining_hosts_do_not_use_the_shares_of_hosts_that_just_left(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against using the slack twice in a window when most hosts leave."""
    replay = RetryReplay(9)
    await replay.begin_rejecting()
    await replay.run(3.0)
    for host in replay.hosts[:6]:
        replay.leave(host)
    await replay.run(12.0)
    assert replay.find_excess() is None


async def test_a_reload_forgets_no_retries(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a budget that is full again after each change of the settings."""
    replay = RetryReplay(9)
    await replay.begin_rejecting()
    for _ in range(4):
        await replay.run(1.0)
        for state in replay.states.values():
            state.apply_settings(replace(state.settings))
    await replay.run(8.0)
    assert replay.find_excess() is None


async def test_retries_without_restarts_use_most_of_the_limit(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a limit that is kept by hardly retrying at all."""
    replay = RetryReplay(9)
    await replay.begin_rejecting()
    begin = trio.current_time()
    await replay.run(RETRY_WINDOW)
    allowed = RETRY_RATIO * len(replay.requests) / 2 + replay.slack
    assert replay.find_excess() is None
    assert replay.count_repeats(begin, begin + RETRY_WINDOW) > 0.6 * allowed


async def test_a_gateway_that_starts_several_times_retries_no_more_than_once() -> None:
    """Guards against servers that reject and get requests anew from each process."""
    sent: list[float] = []
    arrivals: dict[bytes, list[float]] = defaultdict(list)

    async def reject(exchange: ServerExchange) -> None:
        request = exchange.headers[b"x-attempt-id"]
        arrivals[request].append(trio.current_time())
        await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")

    for start in range(4):
        started_at = trio.current_time() if start else 0.0
        async with open_world(started_at=started_at) as world:
            for name in ("s-1", "s-2", "s-3"):
                await world.add_server(name, reject)
            for number in range(20):
                sent.append(trio.current_time())
                request_id = f"r-{start}-{number}"
                answer = await world.request("/read/a", request_id=request_id)
                assert answer.status == 503
    repeats = sorted(at for times in arrivals.values() for at in times[1:])
    assert find_excess(sent, repeats, ratio=0.2, slack=10, window=10.0) is None
