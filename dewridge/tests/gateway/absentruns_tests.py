"""Tests of engines that say that they have no such run: what that proves, and of whom.

An engine answers so whether the run has ended by itself, was stopped and forgotten, or
belonged to an earlier process of the same name.
"""

from dataclasses import dataclass, field

import pytest
import trio

from dewridge.gateway import moves
from dewridge.gateway.endings.left import LeftMemory
from dewridge.gateway.jobs import StopOrder
from dewridge.gateway.model import AttemptKey, ServerRecord
from dewridge.gateway.moves import free_left_memory
from dewridge.http1.calls import CallFailure
from dewridge.http1.client import ConnectFailure
from dewridge.platform.engines import CacheCopy
from dewridge.tests.gateway.partition_tests import open_linked_fleet, partition
from dewridge.tests.gateway.stoporders_tests import (
    MAX_PAUSE,
    any_framing,
    any_route,
    is_whole,
)
from dewridge.tests.gateway.stoppableengines import (
    DELAYED_SECONDS,
    FIRST_START,
    SECOND_START,
    STOPPING_FAULTS,
    Framing,
    Reply,
    StoppableEngine,
    StopScenario,
    join_events,
)
from dewridge.tests.gateway.world import (
    ENGINE,
    REPORT,
    REPORT_TARGET,
    CallerAnswer,
    Script,
    ScriptedServer,
    ServerExchange,
    World,
    make_event,
    open_world,
)

REPLIES_AFTER_LOSS = {
    "no run": [Reply.NO_RUN],
    "in progress, then no run": [Reply.IN_PROGRESS, Reply.NO_RUN],
    "restarted": [Reply.RESTARTED],
    "another server": [Reply.OTHER_SERVER],
    "another server, then no run": [Reply.OTHER_SERVER, Reply.NO_RUN],
    "no reply": [Reply.LOST],
}
"""Replies to the repeated order, none of which shows that the run ended by itself."""

any_later_reply = pytest.mark.parametrize("later", list(REPLIES_AFTER_LOSS))


def check_part(answer: CallerAnswer, path: str) -> None:
    """Check that a stopped stream went on if it may, and else does not look whole."""
    if path == "/chat/a":
        assert is_whole(answer)
    else:
        assert not answer.is_complete
    assert join_events().startswith(answer.body)


@any_framing
@any_later_reply
@pytest.mark.parametrize("first", STOPPING_FAULTS)
@any_route
async def test_a_source_without_the_run_does_not_make_a_stopped_stream_whole(
    path: str, first: Reply, later: str, framing: Framing
) -> None:
    """Guards against a part that looks whole as its engine forgot the stopped run."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, framing, [first, *REPLIES_AFTER_LOSS[later]])
        answer = await scenario.run(path)
    check_part(answer, path)
    assert scenario.count_arrivals() <= 2


@pytest.mark.parametrize("later", ["no run", "in progress, then no run", "restarted"])
async def test_a_resumable_stream_waits_for_no_source_that_does_not_have_the_run(
    later: str,
) -> None:
    """Guards against callers that leave while nothing more can be learned."""
    async with open_world(retry_slack=100) as world:
        replies = [Reply.LOST, *REPLIES_AFTER_LOSS[later]]
        scenario = StopScenario(world, Framing.UNFRAMED, replies)
        answer = await scenario.run("/chat/a")
        stopped_at, resumed_at = scenario.find_pause()
    assert is_whole(answer)
    assert resumed_at - stopped_at < MAX_PAUSE / 2


@any_later_reply
@any_route
async def test_a_relayed_order_is_not_disproved_by_a_source_without_the_run(
    path: str, later: str
) -> None:
    """Guards against a part that looks whole as a relay passes such a reply on."""
    async with open_linked_fleet(2) as linked:
        world = linked.fleet.worlds[0]
        scenario = StopScenario(
            world,
            Framing.UNFRAMED,
            [Reply.LOST, *REPLIES_AFTER_LOSS[later]],
            linked.add_server,
        )
        partition(linked, [0])
        answer = await scenario.run(path)
    check_part(answer, path)


@any_framing
@any_route
async def test_a_run_that_ended_before_the_only_order_is_whole(
    path: str, framing: Framing
) -> None:
    """Guards against a whole answer that is lost although its order found no run."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, framing, [Reply.FINISHED])
        answer = await scenario.run(path)
    assert scenario.source.orders
    assert is_whole(answer)
    assert scenario.count_arrivals() == 1


@any_route
async def test_a_relayed_order_that_found_no_run_leaves_the_answer_whole(
    path: str,
) -> None:
    """Guards against a whole answer that is lost as a relay sent its order."""
    async with open_linked_fleet(2) as linked:
        world = linked.fleet.worlds[0]
        scenario = StopScenario(
            world, Framing.UNFRAMED, [Reply.FINISHED], linked.add_server
        )
        partition(linked, [0])
        answer = await scenario.run(path)
    assert scenario.source.orders
    assert is_whole(answer)
    assert scenario.count_arrivals() == 1


@any_framing
@any_route
@pytest.mark.parametrize("reply", [Reply.REJECTED, Reply.NO_RUN, Reply.OTHER_SERVER])
async def test_a_run_that_no_order_has_stopped_is_whole(
    path: str, reply: Reply, framing: Framing
) -> None:
    """Guards against a whole answer that is lost as its orders were refused."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, framing, [reply])
        answer = await scenario.run(path)
    assert scenario.source.orders
    assert is_whole(answer)
    assert scenario.count_arrivals() == 1


@any_framing
@any_route
async def test_a_run_that_no_order_was_sent_to_is_whole(
    path: str, framing: Framing, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a whole answer that is lost as no order could be sent."""
    calls: list[str] = []

    async def fail_to_send(*arguments: object) -> CallFailure:
        calls.append(str(arguments[2]))
        return CallFailure.NOT_SENT

    monkeypatch.setattr(moves, "call_engine", fail_to_send)
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, framing, [Reply.MOVED])
        answer = await scenario.run(path)
    assert calls
    assert is_whole(answer)
    assert scenario.count_arrivals() == 1


@pytest.mark.parametrize("reply", [Reply.FINISHES, Reply.NOT_REACHED])
@any_route
async def test_an_end_is_not_guessed_from_an_order_without_a_reply(
    path: str, reply: Reply
) -> None:
    """Guards against taking a run that may have been stopped for one that ended."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, Framing.UNFRAMED, [reply])
        answer = await scenario.run(path)
    check_part(answer, path)
    assert scenario.count_arrivals() == (2 if path == "/chat/a" else 1)


class RestartingServer:
    """A server that ends within an answer and starts again under its name at once.

    Its connections are closed in order, and its port accepts the next connection.
    """

    def __init__(self, last_event: int) -> None:
        self.last_event = last_event
        self.started_at_ms = FIRST_START
        self.has_begun = trio.Event()

    async def answer(self, exchange: ServerExchange) -> None:
        """Answer a report, or a part of a request."""
        if exchange.target == REPORT_TARGET:
            await exchange.answer(REPORT % self.started_at_ms)
            return
        self.has_begun.set()
        await exchange.send(exchange.make_head(200))
        after = int(exchange.headers.get(b"last-event-id", b"0"))
        if self.started_at_ms == FIRST_START:
            for number in range(1, self.last_event + 1):
                await exchange.send(make_event(number))
            await trio.sleep(0.02)
            self.started_at_ms = SECOND_START
        else:
            for number in range(after + 1, 13):
                await exchange.send(make_event(number))
        await exchange.stream.aclose()


@pytest.mark.parametrize("events", [1, 3])
async def test_a_connection_that_the_next_process_accepts_proves_nothing(
    events: int,
) -> None:
    """Guards against a part that looks whole as its server started again at once."""
    restarting = RestartingServer(events)
    async with open_world(retry_slack=100) as world:
        server = await world.add_server(
            "s-1", restarting.answer, ENGINE, started_at_ms=FIRST_START
        )
        server.answers_reports = False
        answer = await world.request("/draft/a", method="POST")
    assert not answer.is_complete


async def test_a_resumable_stream_goes_on_after_its_server_started_again() -> None:
    """Guards against a stream that ends early as its server started again at once."""
    restarting = RestartingServer(3)
    sound = StoppableEngine("s-2", Framing.UNFRAMED, [Reply.MOVED])
    answers: list[CallerAnswer] = []
    async with open_world(retry_slack=100) as world:

        async def ask() -> None:
            answers.append(await world.request("/chat/a", method="POST"))

        server = await world.add_server(
            "s-1", restarting.answer, ENGINE, started_at_ms=FIRST_START
        )
        server.answers_reports = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await restarting.has_begun.wait()
            await world.add_server(
                "s-2", sound.answer, ENGINE, started_at_ms=FIRST_START
            )
    assert is_whole(answers[0])


class OutlivingEngine(StoppableEngine):
    """An engine whose run outlasts the connections of its stream and of its order.

    The first order arrives after the second one has stopped the run.
    """

    async def _run(self, exchange: ServerExchange) -> None:
        self.stream_exchange = exchange
        await super()._run(exchange)

    async def _answer_order(self, exchange: ServerExchange) -> None:
        self.orders.append({})
        run = self.runs[-1]
        if len(self.orders) == 1:
            exchange.reset()
            self.stream_exchange.reset()
            await trio.sleep(DELAYED_SECONDS)
            self.runs[-1].stop.set()
        elif len(self.orders) == 2:
            run.is_stopped = True
            await exchange.answer(b'{"handle":"h-2","created":%d}' % run.created, 503)
        else:
            await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")


@any_route
async def test_a_broken_connection_does_not_show_which_order_stopped_a_run(
    path: str,
) -> None:
    """Guards against a late order that stops the run which returned to its source."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, Framing.UNFRAMED, [Reply.MOVED])
        scenario.engines = [
            OutlivingEngine(name, Framing.UNFRAMED, [Reply.MOVED])
            for name in ("s-1", "s-2")
        ]
        answer = await scenario.run(path)
    assert answer.body == join_events() or not answer.is_complete


@pytest.mark.parametrize("second", [Reply.IN_PROGRESS, Reply.FAILURE])
async def test_an_order_that_had_a_reply_does_not_come_late(second: Reply) -> None:
    """Guards against a whole answer that is lost although each order was answered."""
    async with open_world(retry_slack=100) as world:
        replies = [Reply.LOST, second, Reply.TARGET_FULL, Reply.REJECTED]
        scenario = StopScenario(world, Framing.UNFRAMED, replies)
        answer = await scenario.run("/draft/a")
    assert is_whole(answer)


async def test_an_empty_answer_does_not_complete_a_stream_that_broke_off() -> None:
    """Guards against a part that looks whole as the next server sends nothing."""

    async def answer(exchange: ServerExchange) -> None:
        await exchange.send(exchange.make_head(200))
        if b"last-event-id" not in exchange.headers:
            for number in (1, 2, 3):
                await exchange.send(make_event(number))
            await trio.sleep(0.02)
            exchange.reset()
            return
        await exchange.stream.aclose()

    async with open_world(retry_slack=100) as world:
        for name in ("s-1", "s-2"):
            await world.add_server(name, answer, ENGINE)
        result = await world.request("/chat/a", method="POST")
    assert not (result.status == 200 and result.is_complete)


async def test_the_memory_at_a_target_is_freed_if_its_source_has_forgotten_it() -> None:
    """Guards against a copy that takes a slot as its source says it has none."""
    calls: dict[str, int] = {"s-1": 0, "s-2": 0}

    def make_answer(name: str, status: int) -> Script:
        async def answer(exchange: ServerExchange) -> None:
            calls[name] += 1
            await exchange.answer(b"{}", status)

        return answer

    async with open_world() as world:
        for name, status in (("s-1", 404), ("s-2", 200)):
            await world.add_server(name, make_answer(name, status), ENGINE)
        source, target = world.state.servers.list_service(ENGINE)
        if source.name != "s-1":
            source, target = target, source
        memory = CacheCopy(source.address, "h-1", is_at_target=True)
        order = StopOrder(source, target)
        left = LeftMemory(AttemptKey("r-1"), order, memory)
        await free_left_memory(world.state, left)
    assert calls == {"s-1": 1, "s-2": 1}


@dataclass
class ReportingEngine:
    """An engine that ends a stream without a length, and answers reports by a script.

    Attributes:
        report: answers the calls for a report.
        reports: number of these calls.
    """

    report: Script
    reports: int = 0
    has_begun: trio.Event = field(default_factory=trio.Event)

    async def answer(self, exchange: ServerExchange) -> None:
        """Answer a report, or a request."""
        if exchange.target == REPORT_TARGET:
            self.reports += 1
            await self.report(exchange)
        elif exchange.headers[b"x-attempt-id"].startswith(b"framed"):
            await exchange.begin_stream()
            await exchange.send_events(1, 2)
            await trio.sleep(0.05)
            await exchange.end_stream()
        else:
            await exchange.send(exchange.make_head(200))
            await exchange.send(make_event(1))
            self.has_begun.set()
            await trio.sleep(0.1)
            await exchange.stream.aclose()

    async def start(self, world: World) -> ScriptedServer:
        """Start the engine."""
        server = await world.add_server(
            "s-1", self.answer, ENGINE, started_at_ms=FIRST_START
        )
        server.answers_reports = False
        return server


async def report_start(exchange: ServerExchange) -> None:
    """Send a report of the first process."""
    await exchange.answer(REPORT % FIRST_START)


async def test_an_engine_that_resets_new_connections_reports_on_an_idle_one() -> None:
    """Guards against whole answers that are cut as an engine has many connections."""
    engine = ReportingEngine(report_start)
    answers: list[CallerAnswer] = []
    async with open_world() as world:
        await engine.start(world)

        async def ask(name: str) -> None:
            answers.append(
                await world.request("/draft/a", method="POST", request_id=name)
            )

        async def fail_to_open(server: ServerRecord) -> ConnectFailure:
            return ConnectFailure.RESET

        async with trio.open_nursery() as nursery:
            for number in range(2):
                nursery.start_soon(ask, f"framed-{number}")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "unframed")
            await engine.has_begun.wait()
            world.state.pool.open = fail_to_open  # type: ignore[method-assign]
    assert answers[-1].is_complete
    assert engine.reports == 1


async def test_an_engine_that_asks_for_rest_is_not_asked_again() -> None:
    """Guards against calls for reports to an engine that wants none."""

    async def reject(exchange: ServerExchange) -> None:
        await exchange.answer(b"", 503, b"Retry-After: 2\r\n")

    engine = ReportingEngine(reject)
    async with open_world() as world:
        await engine.start(world)
        answer = await world.request("/draft/a", method="POST")
    assert not answer.is_complete
    assert engine.reports == 1


async def test_an_engine_that_pauses_after_its_answer_is_waited_for() -> None:
    """Guards against a whole answer that is cut as its engine falls silent."""
    resumes_at = trio.current_time() + 1.3

    async def report_late(exchange: ServerExchange) -> None:
        await trio.sleep_until(resumes_at)
        await report_start(exchange)

    engine = ReportingEngine(report_late)
    async with open_world() as world:
        await engine.start(world)
        answer = await world.request("/draft/a", method="POST")
    assert answer.is_complete


async def test_a_request_is_not_blamed_for_a_start_before_it() -> None:
    """Guards against a sound request that is set aside as a record was outdated."""

    async def report_second(exchange: ServerExchange) -> None:
        await exchange.answer(REPORT % SECOND_START)

    engine = ReportingEngine(report_second)
    async with open_world() as world:
        server = await engine.start(world)
        answer = await world.request("/draft/a", method="POST")
        assert not world.state.suspects.list_all()
        assert world.state.servers.find(server.id) is None
    assert not answer.is_complete


async def test_a_report_without_a_start_is_no_proof() -> None:
    """Guards against a part that looks whole as a report does not name its process."""

    async def report_nothing(exchange: ServerExchange) -> None:
        await exchange.answer(b'{"waiting":0,"running":0,"runs":[]}')

    engine = ReportingEngine(report_nothing)
    async with open_world() as world:
        await engine.start(world)
        answer = await world.request("/draft/a", method="POST")
    assert not answer.is_complete


async def test_a_request_that_crashes_an_engine_which_starts_again_is_blamed() -> None:
    """Guards against crashes that do not count as the next process accepts."""

    async def crash(exchange: ServerExchange) -> None:
        exchange.reset()

    async with open_world() as world:
        server = await world.add_server("s-1", crash, ENGINE, started_at_ms=FIRST_START)
        server.started_at_ms = FIRST_START + 1
        await world.request("/draft/a", method="POST")
        suspects = world.state.suspects.list_all()
    assert len(suspects) == 1


async def test_memory_is_freed_although_the_first_call_is_lost() -> None:
    """Guards against a slot that is taken until the memory of a run expires."""
    calls: list[bytes] = []

    async def lose_first(exchange: ServerExchange) -> None:
        calls.append(exchange.target)
        if len(calls) == 1:
            exchange.reset()
        else:
            await exchange.answer(b"{}")

    async with open_world() as world:
        server = await world.add_server("s-1", lose_first, ENGINE)
        record = world.state.servers.find(server.id)
        assert record is not None
        memory = CacheCopy(record.address, "h-1", is_at_target=False)
        left = LeftMemory(AttemptKey("r-1"), StopOrder(record, record), memory)
        await free_left_memory(world.state, left)
    assert len(calls) == 2
