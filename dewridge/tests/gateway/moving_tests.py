"""Tests of moving streams, with their KV-cache memory, away from departing servers."""

import json

import trio

from dewridge.gateway import streams
from dewridge.ids import BackendServerId
from dewridge.tests.gateway.world import (
    ENGINE,
    CallerAnswer,
    ScriptedServer,
    ServerExchange,
    World,
    make_event,
    open_world,
)

LAST_EVENT = 8
"""Number of the last event of a complete stream; the first one has number 1."""
EVENT_SECONDS = 0.05
MOVE_TARGET = b"/-/kv-move"
"""Target of a request that stops a stream and moves its memory."""


class ScriptedEngine:
    """A scripted engine that can stop a run and continue one from copied memory.

    Attributes:
        id: the server's id.
        move_error_status: status of the answer to a move; 0 to execute it.
        rejects_runs: whether runs are rejected as not executed.
        hangs_when_stopped: whether the connection of a stopped stream stays open.
        runs: number of the first event and memory handle of each run.
        moves: bodies of the move requests.
        has_started: set when the first run has started.
    """

    def __init__(self, name: str) -> None:
        self.id = BackendServerId(name)
        self.move_error_status = 0
        self.rejects_runs = False
        self.hangs_when_stopped = False
        self.runs: list[tuple[int, bytes]] = []
        self.moves: list[dict[str, object]] = []
        self.has_started = trio.Event()
        self._is_stopped = trio.Event()

    async def answer(self, exchange: ServerExchange) -> None:
        """Answer a run or a move."""
        if exchange.target == MOVE_TARGET:
            await self._answer_move(exchange)
        elif self.rejects_runs:
            await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")
        else:
            await self._run(exchange)

    async def _answer_move(self, exchange: ServerExchange) -> None:
        self.moves.append(json.loads(exchange.body))
        if self.move_error_status:
            await exchange.answer(b"{}", self.move_error_status)
            return
        self._is_stopped.set()
        await exchange.answer(b'{"handle":"h-1","created":3}')

    async def _run(self, exchange: ServerExchange) -> None:
        first = int(exchange.headers.get(b"last-event-id", b"0")) + 1
        self.runs.append((first, exchange.headers.get(b"kv-from", b"")))
        stopped = self._is_stopped
        if stopped.is_set():
            stopped = self._is_stopped = trio.Event()
        self.has_started.set()
        await exchange.begin_stream()
        for number in range(first, LAST_EVENT + 1):
            with trio.move_on_after(EVENT_SECONDS):
                await stopped.wait()
                if self.hangs_when_stopped:
                    await trio.sleep(30)
                exchange.reset()
                return
            await exchange.send_events(number, number)
        await exchange.end_stream()


class MoveScenario:
    """A gateway with two engines, one of which receives a stream."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.engines = {name: ScriptedEngine(name) for name in ("s-1", "s-2")}
        self.servers: list[ScriptedServer] = []
        self._answers, self._answer = trio.open_memory_channel[CallerAnswer](1)

    async def start(self, path: str) -> ScriptedEngine:
        """Start a stream and return the engine that runs it."""
        self.servers = [
            await self.world.add_server(name, engine.answer, ENGINE)
            for name, engine in self.engines.items()
        ]
        self.world.nursery.start_soon(self._send_request, path)
        async with trio.open_nursery() as nursery:
            for engine in self.engines.values():
                nursery.start_soon(self._wait_for_run, engine, nursery.cancel_scope)
        return next(candidate for candidate in self.engines.values() if candidate.runs)

    async def _wait_for_run(
        self, engine: ScriptedEngine, scope: trio.CancelScope
    ) -> None:
        await engine.has_started.wait()
        scope.cancel()

    def count_arrivals(self) -> int:
        """Return how often the stream reached an engine."""
        return sum(
            exchange.target != MOVE_TARGET
            for server in self.servers
            for exchange in server.received
        )

    def find_other(self, engine: ScriptedEngine) -> ScriptedEngine:
        """Return the other engine."""
        return next(other for other in self.engines.values() if other is not engine)

    async def _send_request(self, path: str) -> None:
        await self._answers.send(await self.world.request(path, deadline_ms=4000))

    def announce_reclaim(self, engine: ScriptedEngine, notice: float) -> None:
        """Report to the gateway that a server will stop after the notice period."""
        now = trio.current_time()
        self.world.state.servers.drop(engine.id, now, "it drains", notice)

    async def wait(self) -> CallerAnswer:
        """Wait for the caller's answer."""
        return await self._answer.receive()


def connect_departures(world: World) -> None:
    """Schedule moves of streams on departing servers, as the composition root does."""

    def handle_left(record: object, stops_at: float, is_reported: bool) -> None:
        world.state.streams.schedule_moves(record.id, stops_at)  # type: ignore[attr-defined]

    world.state.servers.on_left = handle_left


def join_events(first: int, last: int) -> bytes:
    """Return the bytes of events as engines send them."""
    return b"".join(make_event(number) for number in range(first, last + 1))


async def test_a_stream_is_moved_when_its_server_is_reclaimed() -> None:
    """Guards against losing streams when a failure domain is reclaimed.

    The notice is about one second, and a stream on this route may not be run twice. If
    it were interrupted, the work of a whole day could be lost.
    """
    async with open_world() as world:
        connect_departures(world)
        scenario = MoveScenario(world)
        source = await scenario.start("/draft/a")
        scenario.announce_reclaim(source, notice=streams.MOVE_LEAD_TIME + 0.1)
        answer = await scenario.wait()
        target = scenario.find_other(source)
    assert answer.is_complete
    assert answer.body == join_events(1, LAST_EVENT)
    assert len(source.runs) == len(target.runs) == 1
    first, memory = target.runs[0]
    assert first > 1
    assert memory.endswith(b"/h-1")
    assert source.moves[0]["last"] is True


async def test_a_stream_that_completes_in_time_is_not_moved() -> None:
    async with open_world() as world:
        connect_departures(world)
        scenario = MoveScenario(world)
        source = await scenario.start("/draft/a")
        scenario.announce_reclaim(source, notice=streams.MOVE_LEAD_TIME + 2.0)
        answer = await scenario.wait()
        other = scenario.find_other(source)
    assert answer.body == join_events(1, LAST_EVENT)
    assert not other.runs
    assert not source.moves


async def test_a_stream_continues_on_its_server_if_the_move_fails() -> None:
    """Guards against interrupting a stream because its move failed.

    The engine reports that it has no such run; the stream may still complete in time.
    """
    async with open_world() as world:
        connect_departures(world)
        scenario = MoveScenario(world)
        for engine in scenario.engines.values():
            engine.move_error_status = 404
        source = await scenario.start("/draft/a")
        scenario.announce_reclaim(source, notice=streams.MOVE_LEAD_TIME + 0.1)
        answer = await scenario.wait()
        other = scenario.find_other(source)
    assert answer.body == join_events(1, LAST_EVENT)
    assert source.moves
    assert not other.runs


async def test_a_stopped_stream_resumes_on_its_source_if_the_target_is_full() -> None:
    """Guards against losing or repeating a stream that the move target rejects as full.

    Restarted at a third server it would run twice, and abandoned it would be lost. The
    source still has its memory.
    """
    async with open_world() as world:
        connect_departures(world)
        scenario = MoveScenario(world)
        source = await scenario.start("/draft/a")
        scenario.find_other(source).rejects_runs = True
        scenario.announce_reclaim(source, notice=streams.MOVE_LEAD_TIME + 0.1)
        answer = await scenario.wait()
    assert answer.body == join_events(1, LAST_EVENT)
    assert [memory for _, memory in source.runs][1].endswith(b"/h-1")


async def test_each_arrival_of_a_moved_stream_uses_a_retry() -> None:
    """Guards against streams that go back and forth with no budget counting it."""
    async with open_world() as world:
        connect_departures(world)
        scenario = MoveScenario(world)
        source = await scenario.start("/draft/a")
        scenario.find_other(source).rejects_runs = True
        scenario.announce_reclaim(source, notice=streams.MOVE_LEAD_TIME + 0.1)
        await scenario.wait()
        budgets = world.state.retries.describe(trio.current_time())
    assert scenario.count_arrivals() > 2
    assert budgets[ENGINE]["retries"] == scenario.count_arrivals() - 1


async def test_a_source_that_hangs_after_stopping_delays_nothing() -> None:
    """Guards against waiting for a source whose host stops responding.

    The connection of the stopped stream is never closed.
    """
    async with open_world() as world:
        connect_departures(world)
        scenario = MoveScenario(world)
        for engine in scenario.engines.values():
            engine.hangs_when_stopped = True
        source = await scenario.start("/draft/a")
        scenario.announce_reclaim(source, notice=streams.MOVE_LEAD_TIME + 0.1)
        with trio.fail_after(2.5):
            answer = await scenario.wait()
    assert answer.body == join_events(1, LAST_EVENT)
