"""Tests of load probes in a gateway with scripted engines."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import pytest
import trio
from loguru import logger as log

from dewridge.gateway.model import PromptPart
from dewridge.gateway.operations import describe_state
from dewridge.gateway.placement import probing
from dewridge.gateway.placement.expected import place_by_expected_time
from dewridge.gateway.reach.reports import MAX_REPORT_BYTES
from dewridge.gateway.reports import Report, Totals
from dewridge.ids import HostId
from dewridge.policy import loadprobes
from dewridge.policy.loadprobes import MAX_FAILURES, REUSE_TIME, compute_timeout
from dewridge.policy.requestlimits import LimitNotice
from dewridge.settings.gateway import GatewayDecisions
from dewridge.tests.gateway.placement_tests import make_job, with_memory
from dewridge.tests.gateway.world import (
    ENGINE,
    HOST,
    CallerAnswer,
    ScriptedServer,
    ServerExchange,
    World,
    open_world,
)

LONG, SHORT = 8_000, 100
"""Prompt tokens: 0.2 s and 2.5 ms of prefill at 40,000 per second, the default."""
STALENESS = 0.9
TIMEOUT_FACTOR = 30
ProbeScript = Callable[[ServerExchange], Awaitable[None]]


def make_report(prompts: int = 0) -> bytes:
    """Return a load report with prompts that are still being prefilled."""
    runs = [[f"other-{n}", 8_000, 0, 1] for n in range(prompts)]
    report = {"waiting": 0, "running": prompts, "kv_used": 0, "kv_total": 500_000}
    return json.dumps({**report, "next_token": 0, "runs": runs}).encode()


def answer_report(body: bytes, status: int = 200) -> ProbeScript:
    """Return a script that answers a probe as engines do, without a request id."""

    async def answer(exchange: ServerExchange) -> None:
        await exchange.send(
            b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)
        )

    return answer


async def never_answer(exchange: ServerExchange) -> None:
    """Leave a probe unanswered until the gateway closes the connection."""
    await exchange.stream.receive_some(1)


async def reset_connection(exchange: ServerExchange) -> None:
    """Close the connection with a reset."""
    exchange.reset()


@dataclass
class Engine:
    """A scripted engine.

    Attributes:
        server: the server, with all exchanges that it received.
        probe: how it answers probes.
    """

    probe: ProbeScript
    server: ScriptedServer = field(init=False)

    async def serve(self, exchange: ServerExchange) -> None:
        """Answer a probe or a request."""
        if exchange.target == b"/-/report":
            await self.probe(exchange)
            return
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        await exchange.end_stream()

    @property
    def probes(self) -> int:
        """Number of probes received."""
        return sum(each.target == b"/-/report" for each in self.server.received)

    @property
    def requests(self) -> int:
        """Number of requests received."""
        return len(self.server.received) - self.probes


@pytest.fixture(autouse=True)
def long_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Multiply the timeout of 10 ms, by which a busy machine can delay any step."""
    monkeypatch.setattr(
        probing,
        "compute_timeout",
        lambda target: TIMEOUT_FACTOR * compute_timeout(target),
    )


@asynccontextmanager
async def open_engines(
    *scripts: ProbeScript, staleness: float = STALENESS, load_probes: str = "auto"
) -> AsyncIterator[tuple[World, list[Engine]]]:
    """Run a gateway with engines and reports of another host that are stale."""
    async with open_world(with_memory(500_000)) as world:
        state = world.state
        state.settings = replace(
            state.settings,
            decisions=GatewayDecisions("expected_time", load_probes=load_probes),
        )
        engines = []
        for number, script in enumerate(scripts):
            engine = Engine(script)
            engine.server = await world.add_server(f"s-{number}", engine.serve, ENGINE)
            engine.server.answers_reports = False
            engines.append(engine)
        if staleness:
            report = Report(HostId("host-2"), 1, 1, True, 1.0, Totals())
            state.sharing.apply_report(report, trio.current_time() - staleness)
        yield world, engines


async def ask(world: World, tokens: int = LONG, number: int = 1) -> CallerAnswer:
    """Send a prompt as a caller."""
    answer = await world.request(
        "/chat/a",
        method="POST",
        body=b"x",
        request_id=f"r-{number}",
        extra=f"X-Token-Count: {tokens},10\r\n",
    )
    assert answer.is_complete
    assert answer.status == 200
    return answer


def read_outcomes(world: World) -> dict[str, float]:
    """Return the counted outcomes of probes."""
    names = ("answered", "reused", "timeout", "refused", "broken", "invalid")
    counted = {
        name: world.state.metrics.read("load_probes_total", outcome=name)
        for name in names
    }
    return {name: count for name, count in counted.items() if count}


def count_probes(engines: Sequence[Engine]) -> int:
    """Return the probes that the engines received."""
    return sum(engine.probes for engine in engines)


async def test_the_prompt_goes_to_the_engine_that_answers_the_lower_load() -> None:
    """Guards against probes whose answers do not decide."""
    async with open_engines(
        answer_report(make_report(3)), answer_report(make_report(0))
    ) as (world, engines):
        for number in range(4):
            await ask(world, number=number)
            await trio.sleep(REUSE_TIME * 1.2)
        assert [engine.requests for engine in engines] == [0, 4]
        assert [engine.probes for engine in engines] == [4, 4]
        assert read_outcomes(world) == {"answered": 8}


async def test_a_released_connection_serves_the_next_request() -> None:
    """Guards against bytes of a probe's answer that a later request would read."""
    script = answer_report(make_report(0))
    async with open_engines(script, script) as (world, engines):
        for number in range(6):
            await ask(world, number=number)
            await trio.sleep(REUSE_TIME * 1.2)
        assert sum(engine.requests for engine in engines) == 6
        assert world.state.pool.opened == 2
        assert all(engine.server.closed_connections == 0 for engine in engines)


async def test_the_request_goes_out_after_the_timeout_of_a_silent_engine() -> None:
    ended = trio.Semaphore(0)

    async def stay_silent(exchange: ServerExchange) -> None:
        await never_answer(exchange)
        ended.release()

    async with open_engines(stay_silent, stay_silent) as (world, engines):
        started_at = trio.current_time()
        await ask(world)
        # A twentieth of the route's latency target of 0.2 s, multiplied.
        timeout = TIMEOUT_FACTOR * 0.2 / 20
        assert timeout <= trio.current_time() - started_at < 3 * timeout
        assert read_outcomes(world) == {"timeout": 2}
        assert sum(engine.requests for engine in engines) == 1
        with trio.fail_after(2):
            # A connection with an outstanding answer must be closed.
            for _ in engines:
                await ended.acquire()


async def test_an_engine_that_never_answers_is_not_asked_at_every_prompt() -> None:
    """Guards against a timeout in each prompt while an engine is silent."""
    async with open_engines(never_answer, never_answer) as (world, engines):
        for number in range(MAX_FAILURES + 3):
            await ask(world, number=number)
        assert [engine.probes for engine in engines] == [MAX_FAILURES] * 2
        health = [world.state.get_health(e.server.id) for e in engines]
        assert all(each.is_usable(trio.current_time(), None, 0.0) for each in health)


@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        (answer_report(b"garbage"), "invalid"),
        (
            answer_report(make_report().replace(b'"running": 0', b'"running": -1')),
            "invalid",
        ),
        (answer_report(make_report(), status=404), "invalid"),
        (answer_report(b"x" * (MAX_REPORT_BYTES + 10)), "invalid"),
        (lambda exchange: exchange.send(b"no http\r\n\r\n"), "invalid"),
        (lambda exchange: exchange.answer(make_report()), "answered"),
        (reset_connection, "broken"),
    ],
)
async def test_other_answers_are_ignored_and_counted(
    script: ProbeScript, outcome: str
) -> None:
    """Guards against a request that fails or waits because of a faulty engine."""
    async with open_engines(script, script) as (world, engines):
        await ask(world)
        assert read_outcomes(world) == {outcome: 2}
        assert sum(engine.requests for engine in engines) == 1


async def test_the_late_answer_to_an_earlier_request_does_not_stay_unread() -> None:
    """Guards against a request that reads the report after a stray answer."""
    report_sent = trio.Semaphore(0)

    async def answer_twice(exchange: ServerExchange) -> None:
        head = b"HTTP/1.1 200 x\r\nX-Attempt-Id: r-0\r\nContent-Length: %d\r\n\r\n%s"
        await exchange.send(head % (len(make_report()), make_report()))
        await report_sent.acquire()
        await answer_report(make_report())(exchange)

    async with open_engines(answer_twice, answer_twice) as (world, engines):
        state = world.state
        record = state.servers.find(engines[0].server.id)
        assert record is not None
        assert await probing.request_report(state.pool, record) == "invalid"
        assert state.pool.acquire_idle(record, is_non_retryable=False) is None
        report_sent.release()
        await ask(world)
        assert sum(engine.requests for engine in engines) == 1


@pytest.mark.parametrize("script", [answer_report(b"{}"), answer_report(b"", 503)])
async def test_a_connection_is_not_released_after_an_invalid_answer(
    script: ProbeScript,
) -> None:
    """Guards against the reuse of a connection whose last answer is not known."""
    async with open_engines(script) as (world, engines):
        state = world.state
        record = state.servers.find(engines[0].server.id)
        assert record is not None
        assert await probing.request_report(state.pool, record) == "invalid"
        assert state.pool.acquire_idle(record, is_non_retryable=False) is None


async def test_before_the_first_placement_the_prompts_of_an_answer_count() -> None:
    """Guards against mean tokens of 0 that make a busy engine look idle."""
    async with open_engines(
        answer_report(make_report(1)), answer_report(b"garbage")
    ) as (world, engines):
        state, now = world.state, trio.current_time()
        state.work_in_flight.add(engines[1].server.id, LONG // 2)
        job = make_job(PromptPart("own", LONG))
        placements = place_by_expected_time(
            state, job, state.servers.list_service(ENGINE), now, can_copy=False
        )
        result = await probing.probe_candidates(
            state, job, placements, now, can_copy=False
        )
        assert result is not None
        assert result.chosen.load.id == engines[1].server.id


async def test_an_engine_that_refuses_connections_is_only_counted() -> None:
    script = answer_report(make_report(0))
    async with open_engines(script, script) as (world, engines):
        server = world.state.servers.find(engines[0].server.id)
        assert server is not None
        world.state.servers.update(replace(server, address="127.0.0.1:9"), 0.0)
        record = world.state.servers.find(server.id)
        assert record is not None
        assert await probing.probe_server_load(world.state, record, 0.05) is None
        assert read_outcomes(world) == {"refused": 1}


@pytest.mark.parametrize(
    ("tokens", "staleness", "load_probes"),
    [(SHORT, STALENESS, "auto"), (LONG, 0.0, "auto"), (LONG, STALENESS, "off")],
)
async def test_no_probe_of_short_prompts_with_fresh_reports_or_switched_off(
    tokens: int, staleness: float, load_probes: str
) -> None:
    script = answer_report(make_report(0))
    async with open_engines(
        script, script, staleness=staleness, load_probes=load_probes
    ) as (world, engines):
        await ask(world, tokens)
        assert count_probes(engines) == 0
        assert read_outcomes(world) == {}


async def test_no_probe_without_a_second_engine() -> None:
    async with open_engines(answer_report(make_report(0))) as (world, engines):
        await ask(world)
        assert count_probes(engines) == 0


@pytest.mark.parametrize("reason", ["limit", "rest", "leaving"])
async def test_no_probe_of_a_server_that_leaves_or_asks_for_fewer_requests(
    reason: str,
) -> None:
    """Guards against more calls to a server in need of rest."""
    script = answer_report(make_report(0))
    async with open_engines(script, script) as (world, engines):
        state, now = world.state, trio.current_time()
        job = make_job(PromptPart("own", LONG))
        placements = place_by_expected_time(
            state, job, state.servers.list_service(ENGINE), now, can_copy=False
        )
        server = engines[0].server.id
        if reason == "limit":
            state.pushback.merge_notice(server, LimitNotice(5.0, now), HOST)
        elif reason == "rest":
            state.pushback.record_answer(server, 503, [(b"retry-after", b"1")])
        else:
            state.pushback.record_answer(server, 200, [(b"server-leaving", b"1")])
        result = await probing.probe_candidates(
            state, job, placements, now, can_copy=False
        )
        assert result is not None
        assert (result.asked, result.answers) == (1, 1)
        assert [engine.probes for engine in engines] == [0, 1]


async def test_an_answer_is_reused_and_own_prompts_are_added(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a burst of one host that goes to the engine last found idle."""
    monkeypatch.setattr(loadprobes, "REUSE_TIME", 5.0)
    script = answer_report(make_report(0))
    async with open_engines(script, script) as (world, engines):
        async with trio.open_nursery() as nursery:
            await ask(world)
            for number in range(2, 5):
                nursery.start_soon(ask, world, LONG, number)
        assert read_outcomes(world) == {"answered": 2, "reused": 6}
        assert [engine.requests for engine in engines] == [2, 2]


async def test_with_one_answer_the_other_engine_keeps_its_estimate() -> None:
    """Guards against a faulty engine that counts as idle or as excluded."""
    async with open_engines(answer_report(b""), answer_report(make_report(1))) as (
        world,
        engines,
    ):
        await ask(world)
        assert [engine.requests for engine in engines] == [1, 0]
    async with open_engines(answer_report(b""), answer_report(make_report(0))) as (
        world,
        engines,
    ):
        failing = engines[0].server.id
        world.state.work_in_flight.add(failing, 50_000)
        await ask(world)
        assert [engine.requests for engine in engines] == [0, 1]


@pytest.mark.parametrize(
    ("tokens", "script", "probed"),
    [
        (LONG, answer_report(make_report(0)), "2 of 2"),
        (LONG, answer_report(b"garbage"), "0 of 2"),
        (SHORT, never_answer, None),
    ],
)
async def test_the_request_line_says_how_many_engines_answered(
    tokens: int, script: ProbeScript, probed: str | None
) -> None:
    lines: list[dict[str, object]] = []
    handler = log.add(
        lambda message: lines.append(message.record["extra"]),
        filter=lambda record: record["message"] == "request",
    )
    try:
        async with open_engines(script, script) as (world, _):
            await ask(world, tokens)
    finally:
        log.remove(handler)
    assert [line.get("probed") for line in lines] == [probed]


async def test_the_dump_says_what_engines_answered() -> None:
    async with open_engines(
        answer_report(make_report(2)), answer_report(b"garbage")
    ) as (world, engines):
        await ask(world)
        described = {
            server["id"]: server["load_probe"]
            for server in describe_state(world.state)["servers"]
        }
    answered = described[engines[0].server.id]
    assert (answered["requests"], answered["prompts"]) == (2, 2)
    assert answered["age_seconds"] < 5
    failed = described[engines[1].server.id]
    assert (failed["failures"], failed["is_paused"]) == (1, False)


async def test_what_is_known_of_departed_engines_is_dropped() -> None:
    """Guards against records that accumulate as engines are replaced."""
    script = answer_report(make_report(0))
    async with open_engines(script, script) as (world, engines):
        await ask(world)
        placement = world.state.placement
        kept = engines[0].server.id
        assert len(placement.probes) == 2
        placement.drop_departed({kept})
        assert set(placement.probes) == {kept}
