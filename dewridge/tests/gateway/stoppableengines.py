"""Scripted engines whose runs can be stopped and moved, and whose replies may fail."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

import trio

from dewridge.gateway import streams
from dewridge.ids import BackendServerId
from dewridge.tests.gateway.world import (
    ENGINE,
    REPORT,
    REPORT_TARGET,
    CallerAnswer,
    ScriptedServer,
    ServerExchange,
    World,
    make_event,
)

AddServer = Callable[..., Awaitable[ScriptedServer]]

LAST_EVENT = 12
"""Number of the last event of a complete stream; the first one has number 1."""
EVENT_SECONDS = 0.05
LATE_SECONDS = 0.9
"""Seconds until a late reply, for which no gateway waits."""
DELAYED_SECONDS = 0.3
"""Seconds until a delayed order is carried out: after its repetition, which has a
reply."""
MOVE_TARGET = b"/-/kv-move"
FIRST_START, SECOND_START = 1_700_000_000_000, 1_700_000_005_000
"""Start times of the processes of an engine, in milliseconds since 1970."""
HANDLE_TARGET = b"/-/kv-handle/"


class Framing(Enum):
    """How the body of a stream is delimited."""

    UNFRAMED = "unframed"
    CHUNKED = "chunked"


class Reply(Enum):
    """How an engine replies to an order to stop a run and move its memory."""

    MOVED = "moved"
    LOST = "lost"
    """The run is stopped, and the connection of the order ends without a reply."""
    LATE = "late"
    FAILURE = "failure"
    """The run is stopped, and the reply has the status 500."""
    UNREADABLE = "unreadable"
    """The run is stopped, and the reply is no JSON."""
    WITHOUT_HANDLE = "without handle"
    TARGET_FULL = "target full"
    """The run is stopped, and the reply names the memory that the source keeps."""
    NOT_REACHED = "not reached"
    """The connection of the order is reset before the engine has read it."""
    FINISHES = "finishes"
    """The run ends by itself as the order comes; the reply to the order is lost."""
    DELAYED = "delayed"
    """The reply is lost; the run that the engine has later is stopped then."""
    REJECTED = "rejected"
    """The engine says that it has not carried the order out."""
    IN_PROGRESS = "in progress"
    """The reply says that an earlier order is being carried out."""
    OTHER_SERVER = "other server"
    """Another server has the address by now; it has no such run."""
    NO_RUN = "no run"
    """The engine says that it has no such run, whatever it has stopped."""
    FINISHED = "finished"
    """The run ends by itself before the engine reads the order, and it says so."""
    RESTARTED = "restarted"
    """The engine has started again under its name; it has no such run."""


STOPPING_FAULTS = (
    Reply.LOST,
    Reply.LATE,
    Reply.FAILURE,
    Reply.UNREADABLE,
    Reply.WITHOUT_HANDLE,
)
"""Replies after which a run has stopped although no handle was received."""


@dataclass
class EngineRun:
    """A run of a stream, or what is left of it.

    Attributes:
        first: number of its first event.
        memory: the copied memory that it goes on from; empty if it was begun anew.
        created: events made so far.
        stop: set to stop it.
        is_stopped: whether an order has stopped it.
        is_finished: whether it has ended by itself.
        began_at: monotonic time at which it began.
        stopped_at: monotonic time at which an order has stopped it.
    """

    first: int
    memory: bytes
    created: int = 0
    stop: trio.Event = field(default_factory=trio.Event)
    finish: trio.Event = field(default_factory=trio.Event)
    is_stopped: bool = False
    is_finished: bool = False
    began_at: float = field(default_factory=trio.current_time)
    stopped_at: float = 0.0


class StoppableEngine:
    """An engine that stops runs and continues them from copied memory.

    Attributes:
        id: the server's id.
        server: the server; None until it has started.
        framing: how its streams are delimited.
        replies: how it replies to orders, in turn; the last one repeats.
        stops_within_event: whether a stopped stream ends in the middle of an event.
        ends_when_stopped: whether the server ends together with a stopped stream.
        hangs_when_stopped: whether the connection of a stopped stream stays open.
        rejects_continuations: whether runs from copied memory are not executed.
        loses_continuations: whether runs from copied memory are executed, and their
            connection is reset before the answer begins.
        runs: the runs, by order of their start.
        orders: bodies of the orders to stop.
        released: handles whose memory was freed.
        used: handles from which runs have gone on here.
        started_at_ms: start time of the process, as its reports say.
    """

    def __init__(self, name: str, framing: Framing, replies: list[Reply]) -> None:
        self.id = BackendServerId(name)
        self.framing = framing
        self.replies = list(replies)
        self.stops_within_event = False
        self.ends_when_stopped = False
        self.server: ScriptedServer | None = None
        self.hangs_when_stopped = False
        self.rejects_continuations = False
        self.loses_continuations = False
        self.runs: list[EngineRun] = []
        self.orders: list[dict[str, object]] = []
        self.released: list[bytes] = []
        self.used: list[bytes] = []
        self.started_at_ms = FIRST_START
        self.has_started = trio.Event()

    async def answer(self, exchange: ServerExchange) -> None:
        """Answer a run, an order, or a call that frees memory."""
        if exchange.target == MOVE_TARGET:
            await self._answer_order(exchange)
        elif exchange.target == REPORT_TARGET:
            await exchange.answer(REPORT % self.started_at_ms)
        elif exchange.target.startswith(HANDLE_TARGET):
            self.released.append(exchange.target.removeprefix(HANDLE_TARGET))
            await exchange.answer(b"{}")
        elif self.rejects_continuations and b"kv-from" in exchange.headers:
            await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")
        elif self.loses_continuations and b"kv-from" in exchange.headers:
            first = int(exchange.headers[b"last-event-id"]) + 1
            self.runs.append(EngineRun(first, exchange.headers[b"kv-from"]))
            exchange.reset()
        else:
            await self._run(exchange)

    async def _answer_order(self, exchange: ServerExchange) -> None:
        self.orders.append(json.loads(exchange.body))
        reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        run = self.runs[-1]
        if reply is Reply.OTHER_SERVER:
            is_refused = b"x-expect-instance" in exchange.headers
            await exchange.answer(b"{}", 421 if is_refused else 404)
            return
        if reply is Reply.RESTARTED:
            self.started_at_ms = SECOND_START
        if reply is Reply.FINISHED:
            run.finish.set()
            while not run.is_finished:  # noqa: ASYNC110
                await trio.sleep(0.001)
        if run.is_finished or reply in {Reply.NO_RUN, Reply.RESTARTED}:
            await exchange.answer(b"{}", 404)
            return
        if reply is Reply.FINISHES:
            run.finish.set()
        if reply in {Reply.NOT_REACHED, Reply.FINISHES, Reply.DELAYED}:
            exchange.reset()
            if reply is Reply.DELAYED:
                await trio.sleep(DELAYED_SECONDS)
                self.runs[-1].stop.set()
            return
        if reply is Reply.REJECTED:
            await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")
            return
        run.stop.set()
        while not run.is_stopped:  # noqa: ASYNC110
            await trio.sleep(0.001)
        await self._reply(exchange, reply, run)

    async def _reply(
        self, exchange: ServerExchange, reply: Reply, run: EngineRun
    ) -> None:
        handle = b'{"handle":"h-1","created":%d}' % run.created
        match reply:
            case Reply.LOST:
                exchange.reset()
            case Reply.LATE:
                await trio.sleep(LATE_SECONDS)
                await exchange.answer(handle)
            case Reply.FAILURE:
                await exchange.answer(b"failed", 500)
            case Reply.UNREADABLE:
                await exchange.answer(b"{")
            case Reply.WITHOUT_HANDLE:
                await exchange.answer(b"{}")
            case Reply.IN_PROGRESS:
                await exchange.answer(b"{}", 409)
            case Reply.TARGET_FULL:
                await exchange.answer(handle, 503)
            case _:
                await exchange.answer(handle)

    async def _run(self, exchange: ServerExchange) -> None:
        first = int(exchange.headers.get(b"last-event-id", b"0")) + 1
        memory = exchange.headers.get(b"kv-from", b"")
        run = EngineRun(first, memory, created=first - 1)
        self.runs.append(run)
        if memory:
            self.used.append(memory)
        self.has_started.set()
        await self._begin(exchange)
        for number in range(first, LAST_EVENT + 1):
            with trio.move_on_after(0.0 if run.finish.is_set() else EVENT_SECONDS):
                await run.stop.wait()
                await self._stop(exchange, run, number)
                return
            await self._send(exchange, make_event(number))
            run.created = number
        run.is_finished = True
        if self.framing is Framing.CHUNKED:
            await exchange.end_stream()
        else:
            await exchange.stream.aclose()

    async def _stop(
        self, exchange: ServerExchange, run: EngineRun, number: int
    ) -> None:
        if self.stops_within_event:
            await self._send(exchange, make_event(number)[:-4])
        run.is_stopped, run.stopped_at = True, trio.current_time()
        if self.ends_when_stopped and self.server is not None:
            self.server.end()
        if self.hangs_when_stopped:
            await trio.sleep(30)
        await exchange.stream.aclose()

    async def _begin(self, exchange: ServerExchange) -> None:
        if self.framing is Framing.CHUNKED:
            await exchange.begin_stream()
        else:
            await exchange.send(exchange.make_head(200))

    async def _send(self, exchange: ServerExchange, data: bytes) -> None:
        if self.framing is Framing.CHUNKED:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        await exchange.send(data)


class StopScenario:
    """A gateway with two engines, one of which runs a stream that has to move."""

    def __init__(
        self,
        world: World,
        framing: Framing,
        replies: list[Reply],
        add_server: AddServer | None = None,
        **faults: object,
    ) -> None:
        """Prepare two engines that fail alike.

        Args:
            world: the gateway.
            framing: how streams are delimited.
            replies: how the engines reply to orders, in turn.
            add_server: makes a server known to the gateway; by itself if None.
            faults: attributes of both engines.
        """
        self.world = world
        self._add_server = add_server or world.add_server
        self.engines = [
            StoppableEngine(name, framing, replies) for name in ("s-1", "s-2")
        ]
        for engine in self.engines:
            for name, value in faults.items():
                setattr(engine, name, value)

    async def run(
        self, path: str, *, deadline_ms: int = 4000, notice: float = 0.2
    ) -> CallerAnswer:
        """Send a request, announce the end of its server, and return the answer.

        Args:
            path: path of the request.
            deadline_ms: how long the caller waits, in milliseconds.
            notice: seconds until the stream is to be moved.
        """
        await self.start_engines()
        answers: list[CallerAnswer] = []

        async def ask() -> None:
            answers.append(
                await self.world.request(path, method="POST", deadline_ms=deadline_ms)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await self.wait_for_run()
            self.announce_reclaim(notice)
        return answers[0]

    async def start_engines(self) -> None:
        """Start the engines and make them known to the gateway."""
        for engine in self.engines:
            engine.server = await self._add_server(
                engine.id, engine.answer, ENGINE, started_at_ms=FIRST_START
            )
            engine.server.answers_reports = False

    async def wait_for_run(self) -> None:
        """Wait until an engine runs the stream."""
        async with trio.open_nursery() as nursery:

            async def wait(engine: StoppableEngine) -> None:
                await engine.has_started.wait()
                nursery.cancel_scope.cancel()

            for engine in self.engines:
                nursery.start_soon(wait, engine)

    @property
    def source(self) -> StoppableEngine:
        """The engine that began the stream."""
        return next(
            engine
            for engine in self.engines
            if engine.runs and engine.runs[0].first == 1
        )

    @property
    def target(self) -> StoppableEngine:
        """The other engine."""
        return next(engine for engine in self.engines if engine is not self.source)

    def announce_reclaim(self, notice: float) -> None:
        """Tell the gateway that the source stops soon."""
        now = trio.current_time()
        state = self.world.state
        stops_at = now + streams.MOVE_LEAD_TIME + notice
        state.servers.drop(self.source.id, now, "it drains", stops_at - now)
        state.streams.schedule_moves(self.source.id, stops_at)

    def find_pause(self) -> tuple[float, float]:
        """Return when the first run was stopped and the second one began."""
        runs = [run for engine in self.engines for run in engine.runs]
        first, second, *_ = sorted(runs, key=lambda run: run.began_at)
        return first.stopped_at, second.began_at

    def count_arrivals(self) -> int:
        """Return how often the stream reached an engine."""
        return sum(len(engine.runs) for engine in self.engines)


def join_events(first: int = 1, last: int = LAST_EVENT) -> bytes:
    """Return the bytes of events as engines send them."""
    return b"".join(make_event(number) for number in range(first, last + 1))
