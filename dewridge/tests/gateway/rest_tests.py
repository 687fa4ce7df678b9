"""Tests of gateways whose backend servers ask for rest."""

from contextlib import AsyncExitStack

import trio

from dewridge.tests.gateway.pushback import (
    TOLD_AFTER,
    open_fleet,
    open_single_host,
    send_together,
)
from dewridge.tests.gateway.world import (
    ENGINE,
    CallerAnswer,
    Script,
    ServerExchange,
    answer_ok,
)


def ask_for_rest(value: bytes, arrivals: list[float]) -> Script:
    """Return a script that turns all requests away and asks for rest."""

    async def answer(exchange: ServerExchange) -> None:
        arrivals.append(trio.current_time())
        extra = b"X-Not-Executed: 1\r\nRetry-After: %s\r\n" % value
        await exchange.answer(b"", 503, extra)

    return answer


def count_during_rest(arrivals: list[float], seconds: float) -> int:
    """Return the most requests that came in any rest, but for its first half second."""
    return max(
        sum(begin + TOLD_AFTER <= at < begin + seconds for at in arrivals)
        for begin in arrivals
    )


async def test_a_resting_server_gets_no_requests_while_others_have_room() -> None:
    """Guards against servers that turn requests away, look idle and get still more."""
    resting: list[list[float]] = [[], [], []]
    async with AsyncExitStack() as stack:
        fleet = await open_fleet(stack, 1, retry_slack=100)
        for number, arrivals in enumerate(resting):
            await fleet.add_server(f"s-{number}", ask_for_rest(b"3", arrivals))
        for number in range(3):
            await fleet.add_server(f"s-free-{number}", answer_ok)
        statuses = await fleet.send(fleet.worlds[0], seconds=3.0, rate=20.0)
    assert all(arrivals for arrivals in resting)
    assert max(count_during_rest(arrivals, 3.0) for arrivals in resting) <= 2
    assert set(statuses) == {200}


async def test_callers_of_resting_servers_are_refused_without_trying_each() -> None:
    """Guards against a request that goes round all servers that asked for rest."""
    resting: list[list[float]] = [[], [], []]
    async with open_single_host(retry_slack=100) as world:
        for number, arrivals in enumerate(resting):
            await world.add_server(f"s-{number}", ask_for_rest(b"2", arrivals))
        first = await world.request("/write/a", method="POST", body=b"x")
        begin = trio.current_time()
        answers = await send_together(world, 10, "/read/a")
        seconds = trio.current_time() - begin
    assert first.status == 503
    assert [len(arrivals) for arrivals in resting] == [1, 1, 1]
    assert {answer.status for answer in answers} == {503}
    assert all(b"asked this host for rest" in answer.body for answer in answers)
    waits = [float(answer.headers[b"retry-after"]) for answer in answers]
    assert min(waits) > 1.5
    assert max(waits) - min(waits) > 0.2
    assert seconds < 0.5


async def test_a_server_is_used_again_after_its_rest() -> None:
    """Guards against a server that is given up because it asked for rest."""
    arrivals: list[float] = []
    async with open_single_host() as world:
        server = await world.add_server("s-1", ask_for_rest(b"0.4", arrivals))
        await world.request("/read/a")
        server.script = answer_ok
        await trio.sleep(0.45)
        answer = await world.request("/read/a", request_id="r-2")
        health = world.state.get_health(server.id)
    assert answer.status == 200
    assert health.consecutive_failures == 0


async def test_a_moved_stream_is_not_started_anew_when_its_servers_rest() -> None:
    """Guards against running a stream twice because its source asks for rest."""
    runs: list[bytes] = []
    is_running, is_stopped = trio.Event(), trio.Event()

    async def run_or_reject(exchange: ServerExchange) -> None:
        if exchange.target == b"/-/kv-move":
            is_stopped.set()
            await exchange.answer(b'{"handle":"h-1"}')
            return
        if exchange.target == b"/-/kv-handle/h-1":
            await exchange.answer(b"{}")
            return
        memory = exchange.headers.get(b"kv-from", b"")
        runs.append(memory)
        if memory:
            extra = b"X-Not-Executed: 1\r\nRetry-After: 5\r\n"
            await exchange.answer(b"", 503, extra)
            return
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        is_running.set()
        await is_stopped.wait()
        exchange.reset()

    async with open_single_host(retry_slack=100) as world:
        for name in ("s-1", "s-2", "s-3"):
            await world.add_server(name, run_or_reject, ENGINE)
        answers: list[CallerAnswer] = []

        async def send() -> None:
            answers.append(await world.request("/draft/a", deadline_ms=4000))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await is_running.wait()
            (source,) = world.state.work_in_flight.requests
            state = world.state
            state.servers.drop(source, trio.current_time(), "it drains", 0.6)
            departure = state.servers.find_departure(source)
            assert departure is not None
            state.streams.schedule_moves(source, departure.stops_at)
    assert [memory for memory in runs if not memory] == [b""]
    assert len(runs) <= 3
    assert not answers[0].is_complete
