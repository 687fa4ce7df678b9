"""Streams on servers that leave: moved with their memory, never begun anew."""

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

LAST = 8
"""Events of a whole stream."""
EVENT_SECONDS = 0.05


class Engine:
    """An engine that streams, stops a run when asked, and goes on from memory.

    Attributes:
        id: the server's name.
        refuses_moves: status of the answer to a move; 0 to carry it out.
        refuses_runs: whether runs are refused as not executed.
        is_mute_when_stopped: whether a stopped stream's connection stays open.
        began: (first event, memory named) of each run.
    """

    def __init__(self, name: str) -> None:
        self.id = BackendServerId(name)
        self.refuses_moves = 0
        self.refuses_runs = False
        self.is_mute_when_stopped = False
        self.began: list[tuple[int, bytes]] = []
        self.moves: list[dict[str, object]] = []
        self.has_begun = trio.Event()
        self._is_stopped = trio.Event()

    async def answer(self, exchange: ServerExchange) -> None:
        """Answer a run or a move."""
        if exchange.target == b"/-/kv-move":
            await self._answer_move(exchange)
        elif self.refuses_runs:
            await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")
        else:
            await self._run(exchange)

    async def _answer_move(self, exchange: ServerExchange) -> None:
        self.moves.append(json.loads(exchange.body))
        if self.refuses_moves:
            await exchange.answer(b"{}", self.refuses_moves)
            return
        self._is_stopped.set()
        await exchange.answer(b'{"handle":"h-1","created":3}')

    async def _run(self, exchange: ServerExchange) -> None:
        first = int(exchange.headers.get(b"last-event-id", b"0")) + 1
        self.began.append((first, exchange.headers.get(b"kv-from", b"")))
        stopped = self._is_stopped
        if stopped.is_set():
            stopped = self._is_stopped = trio.Event()
        self.has_begun.set()
        await exchange.begin_stream()
        for number in range(first, LAST + 1):
            with trio.move_on_after(EVENT_SECONDS):
                await stopped.wait()
                if self.is_mute_when_stopped:
                    await trio.sleep(30)
                exchange.reset()
                return
            await exchange.send_events(number, number)
        await exchange.end_stream()


class Stage:
    """A gateway with two engines, the first of which gets the stream."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.engines = {name: Engine(name) for name in ("s-1", "s-2")}
        self._answers, self._answer = trio.open_memory_channel[CallerAnswer](1)

    async def start(self, path: str) -> Engine:
        """Begin a stream and return the engine that runs it."""
        servers: list[ScriptedServer] = [
            await self.world.add_server(name, engine.answer, ENGINE)
            for name, engine in self.engines.items()
        ]
        self.world.nursery.start_soon(self._ask, path)
        assert len(servers) == 2
        async with trio.open_nursery() as nursery:
            for engine in self.engines.values():
                nursery.start_soon(self._wait_for_run, engine, nursery.cancel_scope)
        return next(one for one in self.engines.values() if one.began)

    async def _wait_for_run(self, engine: Engine, scope: trio.CancelScope) -> None:
        await engine.has_begun.wait()
        scope.cancel()

    def find_other(self, engine: Engine) -> Engine:
        """Return the other engine."""
        return next(one for one in self.engines.values() if one is not engine)

    async def _ask(self, path: str) -> None:
        await self._answers.send(await self.world.request(path, deadline_ms=4000))

    def reclaim(self, engine: Engine, notice: float) -> None:
        """Tell the gateway that a server goes."""
        now = trio.current_time()
        self.world.state.servers.drop(engine.id, now, "it drains", notice)

    async def wait(self) -> CallerAnswer:
        """Wait for the caller's answer."""
        return await self._answer.receive()


def wire(world: World) -> None:
    """Let the streams know of servers that leave, as the composition root does."""

    def note(record: object, gone_at: float, is_told: bool) -> None:
        world.state.streams.schedule_moves(record.id, gone_at)  # type: ignore[attr-defined]

    world.state.servers.on_left = note


def join_events(first: int, last: int) -> bytes:
    """Return the bytes of events as engines send them."""
    return b"".join(make_event(number) for number in range(first, last + 1))


async def test_a_draft_goes_on_elsewhere_when_its_server_is_reclaimed() -> None:
    """A failure domain is reclaimed on a second's notice while drafts are written.

    A draft may not be begun twice. Cut off, an auditor's review of a day is lost.
    """
    async with open_world() as world:
        wire(world)
        stage = Stage(world)
        source = await stage.start("/draft/a")
        stage.reclaim(source, notice=streams.MOVE_LEAD_TIME + 0.1)
        answer = await stage.wait()
        target = stage.find_other(source)
    assert answer.is_complete
    assert answer.body == join_events(1, LAST)
    assert len(source.began) == len(target.began) == 1
    first, memory = target.began[0]
    assert first > 1
    assert memory.endswith(b"/h-1")
    assert source.moves[0]["last"] is True


async def test_a_stream_that_ends_before_its_server_goes_stays() -> None:
    async with open_world() as world:
        wire(world)
        stage = Stage(world)
        source = await stage.start("/draft/a")
        stage.reclaim(source, notice=streams.MOVE_LEAD_TIME + 2.0)
        answer = await stage.wait()
        other = stage.find_other(source)
    assert answer.body == join_events(1, LAST)
    assert not other.began
    assert not source.moves


async def test_a_stream_that_can_not_be_moved_goes_on_where_it_is() -> None:
    """The engine says that it has no such run; the stream may still end in time."""
    async with open_world() as world:
        wire(world)
        stage = Stage(world)
        for engine in stage.engines.values():
            engine.refuses_moves = 404
        source = await stage.start("/draft/a")
        stage.reclaim(source, notice=streams.MOVE_LEAD_TIME + 0.1)
        answer = await stage.wait()
        other = stage.find_other(source)
    assert answer.body == join_events(1, LAST)
    assert source.moves
    assert not other.began


async def test_a_full_target_leaves_the_stopped_stream_to_its_source() -> None:
    """The target got full meanwhile and refuses the stream that was moved there.

    Begun anew at a third server the draft would run twice; given up it is lost. The
    source still has its memory.
    """
    async with open_world() as world:
        wire(world)
        stage = Stage(world)
        source = await stage.start("/draft/a")
        stage.find_other(source).refuses_runs = True
        stage.reclaim(source, notice=streams.MOVE_LEAD_TIME + 0.1)
        answer = await stage.wait()
    assert answer.body == join_events(1, LAST)
    assert [memory for _, memory in source.began][1].endswith(b"/h-1")


async def test_a_source_that_falls_silent_after_its_stop_holds_nothing_up() -> None:
    """The stopped stream's connection is never closed: its host went dark."""
    async with open_world() as world:
        wire(world)
        stage = Stage(world)
        for engine in stage.engines.values():
            engine.is_mute_when_stopped = True
        source = await stage.start("/draft/a")
        stage.reclaim(source, notice=streams.MOVE_LEAD_TIME + 0.1)
        with trio.fail_after(2.5):
            answer = await stage.wait()
    assert answer.body == join_events(1, LAST)
