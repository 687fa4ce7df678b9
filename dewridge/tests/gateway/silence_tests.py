"""Tests of sound servers that do nothing for a second and then go on."""

from dataclasses import replace

import trio

from dewridge.ids import BackendServerId
from dewridge.policy.serverhealth import MIN_COOLDOWN, ServerHealth
from dewridge.tests.gateway.pushback import send_together
from dewridge.tests.gateway.world import (
    ENGINE,
    PLAIN,
    ROUTES,
    CallerAnswer,
    ServerExchange,
    World,
    answer_ok,
    make_configuration,
    make_event,
    make_settings,
    open_world,
)

SILENCE_SECONDS = 1.0
LONG_SILENCE_SECONDS = 3.0
"""Seconds of silence after which another server is tried if that is possible."""
PATIENT_ROUTES = tuple(replace(route, timeout=8.0) for route in ROUTES)
WHOLE = sorted([b"done", b"".join(make_event(number) for number in range(1, 5))])


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


async def pause(exchange: ServerExchange) -> None:
    """Answer with a silence: within a stream, before any other answer."""
    if exchange.target.startswith(b"/chat"):
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        await trio.sleep(LONG_SILENCE_SECONDS)
        await exchange.send_events(3, 4)
        await exchange.end_stream()
    else:
        await trio.sleep(LONG_SILENCE_SECONDS)
        await exchange.answer()


async def send_in_silence(world: World) -> list[CallerAnswer]:
    """Send one request of each kind that may be repeated."""
    answers = []

    async def send(path: str) -> None:
        answers.append(await world.request(path, deadline_ms=8000, request_id=path))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, "/chat/a")
        nursery.start_soon(send, "/read/a")
    return answers


def list_whole(answers: list[CallerAnswer]) -> list[bytes]:
    """Return the bodies of complete successes."""
    return sorted(
        answer.body for answer in answers if answer.status == 200 and answer.is_complete
    )


async def test_silence_ends_no_answer_without_a_retry() -> None:
    """Guards against answers that are given up when no other server may be tried."""
    configuration = make_configuration(routes=PATIENT_ROUTES)
    async with open_world(configuration, retry_ratio=0.0, retry_slack=0.0) as world:
        for service in (ENGINE, PLAIN):
            for number in range(2):
                await world.add_server(f"{service}-{number}", pause, service)
        answers = await send_in_silence(world)
    assert list_whole(answers) == WHOLE


async def test_silence_ends_no_answer_while_other_servers_rest() -> None:
    """Guards against answers that are given up when no other server takes requests."""
    configuration = make_configuration(routes=PATIENT_ROUTES)
    async with open_world(configuration, retry_slack=100.0) as world:
        for service in (ENGINE, PLAIN):
            await world.add_server(f"{service}-0", pause, service)
        async with trio.open_nursery() as nursery:
            answers: list[CallerAnswer] = []

            async def send() -> None:
                answers.extend(await send_in_silence(world))

            nursery.start_soon(send)
            await trio.sleep(0.2)
            for service in (ENGINE, PLAIN):
                for number in range(2):
                    server = BackendServerId(f"{service}-{number}")
                    now = trio.current_time()
                    world.state.pushback.apply_rest(server, 8.0, now)
    assert list_whole(answers) == WHOLE


async def test_a_retry_that_comes_free_replaces_a_silent_server() -> None:
    """Guards against a server that is waited for although another may be tried."""
    configuration = make_configuration(routes=PATIENT_ROUTES)
    async with open_world(configuration, retry_ratio=0.0, retry_slack=0.0) as world:
        await world.add_server("s-0", pause)
        begin = trio.current_time()
        async with trio.open_nursery() as nursery:
            answers: list[CallerAnswer] = []

            async def send() -> None:
                answers.append(await world.request("/read/a", deadline_ms=8000))

            nursery.start_soon(send)
            await trio.sleep(0.2)
            await world.add_server("s-1", answer_ok)
            await trio.sleep(1.0)
            assert not answers
            world.state.apply_settings(make_settings(retry_slack=1000.0))
        assert trio.current_time() - begin < LONG_SILENCE_SECONDS
    assert answers[0].status == 200
