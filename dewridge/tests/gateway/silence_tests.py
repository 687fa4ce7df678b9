"""Tests of sound servers that do nothing for a second and then go on."""

import trio

from dewridge.policy.serverhealth import MIN_COOLDOWN, ServerHealth
from dewridge.tests.gateway.pushback import send_together
from dewridge.tests.gateway.world import (
    ENGINE,
    ServerExchange,
    answer_ok,
    make_event,
    open_world,
)

SILENCE_SECONDS = 1.0


def test_silence_that_ends_many_attempts_counts_once() -> None:
    """Guards against a server that gets no work for seconds after it stood still."""
    health = ServerHealth()
    for number in range(6):
        health.record_silence(10.0 + number / 100, sent_at=9.4, is_hard=True)
    assert health.cooldown_until <= 10.0 + MIN_COOLDOWN
    assert health.recent.failures == 1
    health.record_silence(11.0, sent_at=10.6, is_hard=True)
    assert health.consecutive_failures == 2


async def test_server_that_stood_still_is_used_again_at_once() -> None:
    """Guards against a sound server that is avoided after a second of silence."""
    silent_until = 0.0

    async def answer(exchange: ServerExchange) -> None:
        await trio.sleep_until(silent_until)
        await exchange.answer()

    async with open_world(retry_slack=100.0) as world:
        server = await world.add_server("s-1", answer)
        await world.add_server("s-2", answer_ok)
        await send_together(world, 8, "/read/a")
        silent_until = trio.current_time() + SILENCE_SECONDS
        statuses = [
            answer.status for answer in await send_together(world, 8, "/read/a")
        ]
        await trio.sleep_until(silent_until + 0.3)
        before = len(server.received)
        await send_together(world, 8, "/read/a")
        assert len(server.received) > before
    assert set(statuses) == {200}


async def test_stream_goes_on_after_a_second_of_silence() -> None:
    """Guards against streams that are ended or sent again for a short silence."""

    async def answer(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        await trio.sleep(SILENCE_SECONDS)
        await exchange.send_events(3, 4)
        await exchange.end_stream()

    async with open_world() as world:
        servers = [await world.add_server(f"s-{n}", answer, ENGINE) for n in range(2)]
        for path in ("/chat/a", "/draft/a"):
            received = await world.request(path, deadline_ms=5000)
            assert received.body == b"".join(make_event(n) for n in range(1, 5))
        assert sum(len(server.received) for server in servers) == 2
