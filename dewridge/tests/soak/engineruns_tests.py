"""Tests of the stand-in of engines whose runs are stopped, against its protocol."""

import json
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import h11
import pytest
import trio

from dewridge.platform.engines import REPORT_PATH
from dewridge.tests.gateway.stoppableengines import HANDLE_TARGET, MOVE_TARGET, Reply
from dewridge.tests.soak.engineruns import LOSS_WEIGHTS, EndDraws
from dewridge.tests.soak.records import History, RequestKind, SentRequest
from dewridge.tests.soak.servers import EVENTS_PER_STREAM, SoakServer

STREAM = "d-1"
TARGET = "127.0.0.1:9"


class FixedDraws(EndDraws):
    """Draws that always give the same reply, and nothing that is not certain."""

    def __init__(self, reply: Reply, *, unframed_share: float) -> None:
        super().__init__(random.Random(1), unframed_share)
        self.reply = reply

    def draw(self, probability: float) -> bool:
        """Return whether something is certain."""
        return probability >= 1

    def draw_reply(self) -> Reply:
        """Return the reply."""
        return self.reply

    def draw_loss(self) -> Reply | None:
        """Return the reply if the engine does not have the run after it."""
        return self.reply if self.reply in LOSS_WEIGHTS else None


@dataclass
class Answer:
    """An answer of a server, or what came of it."""

    status: int = 0
    body: bytes = b""
    is_complete: bool = False


@dataclass
class Stage:
    """An engine with a record of a stream that takes a second."""

    engine: SoakServer
    draws: FixedDraws
    history: History

    async def call(
        self,
        target: bytes,
        body: bytes = b"",
        *,
        method: str = "POST",
        memory: str = "",
        last: int = 0,
    ) -> Answer:
        """Send a request and read the answer to its end."""
        headers = [
            ("Host", "example.test"),
            ("X-Attempt-Id", STREAM),
            ("X-Expect-Instance", self.engine.id),
            ("Content-Length", str(len(body))),
        ]
        if memory:
            headers += [("Kv-From", f"{TARGET}/{memory}"), ("Last-Event-Id", str(last))]
        state = h11.Connection(h11.CLIENT)
        data = state.send(h11.Request(method=method, target=target, headers=headers))
        data = (data or b"") + (state.send(h11.Data(data=body)) or b"")
        host, _, port = self.engine.link.address.rpartition(":")
        answer = Answer()
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            try:
                await stream.send_all(data + (state.send(h11.EndOfMessage()) or b""))
                while True:
                    event = state.next_event()
                    if event is h11.NEED_DATA:
                        state.receive_data(bytes(await stream.receive_some(65_536)))
                    elif isinstance(event, h11.Response):
                        answer.status = event.status_code
                    elif isinstance(event, h11.Data):
                        answer.body += bytes(event.data)
                    else:
                        answer.is_complete = isinstance(event, h11.EndOfMessage)
                        return answer
            except (h11.RemoteProtocolError, trio.BrokenResourceError):
                return answer

    async def order_stop(self) -> Answer:
        """Order the engine to stop the stream."""
        body = {"id": STREAM, "target": TARGET, "last": True}
        return await self.call(MOVE_TARGET, json.dumps(body).encode())

    async def stop_running(self) -> tuple[Answer, Answer]:
        """Run the stream, and order to stop it; return both answers."""
        answers: list[Answer] = []

        async def run() -> None:
            answers.append(await self.call(b"/draft/x"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            await trio.sleep(0.4)
            order = await self.order_stop()
        return answers[0], order


@asynccontextmanager
async def open_stage(
    reply: Reply, *, unframed_share: float = 1.0
) -> AsyncIterator[Stage]:
    """Run an engine that gives one reply to all orders."""
    history = History()
    history.requests[STREAM] = SentRequest(
        STREAM, RequestKind.DRAFT, "host-1", "key-1", 10, time.monotonic()
    )
    history.requests[STREAM].stream_seconds = 1.0
    draws = FixedDraws(reply, unframed_share=unframed_share)
    engine = SoakServer("s-1", "engine", history)
    engine.draws = draws
    engine.find_server = lambda address: "s-2" if address == TARGET else ""
    async with trio.open_nursery() as nursery:
        await engine.start(nursery)
        yield Stage(engine, draws, history)
        nursery.cancel_scope.cancel()


def find_handle(answer: Answer) -> str:
    """Return the handle in the reply to an order."""
    handle: str = json.loads(answer.body)["handle"]
    return handle


@pytest.mark.parametrize("unframed_share", [0.0, 1.0])
async def test_a_stopped_run_goes_on_once_from_its_memory(
    unframed_share: float,
) -> None:
    async with open_stage(Reply.MOVED, unframed_share=unframed_share) as stage:
        part, order = await stage.stop_running()
        repeated = await stage.order_stop()
        handle = find_handle(order)
        created = json.loads(order.body)["created"]
        rest = await stage.call(b"/draft/x", memory=handle, last=created)
        again = await stage.call(b"/draft/x", memory=handle, last=created)
        used = await stage.order_stop()
        freed = await stage.call(HANDLE_TARGET + handle.encode(), method="DELETE")
    assert part.body.count(b"\n\n") == created < EVENTS_PER_STREAM
    assert part.is_complete is bool(unframed_share)
    assert (order.status, repeated.status, find_handle(repeated)) == (200, 200, handle)
    assert rest.is_complete
    assert rest.body.count(b"\n\n") == EVENTS_PER_STREAM - created
    assert rest.body.endswith(b" last\n\n")
    assert (again.status, used.status, freed.status) == (503, 404, 404)
    assert len(stage.history.executions) == 1


@pytest.mark.parametrize(
    ("reply", "status"),
    [
        (Reply.LOST, 0),
        (Reply.FAILURE, 500),
        (Reply.UNREADABLE, 200),
        (Reply.WITHOUT_HANDLE, 200),
        (Reply.TARGET_FULL, 503),
    ],
)
async def test_a_run_is_stopped_whatever_the_reply(reply: Reply, status: int) -> None:
    async with open_stage(reply) as stage:
        part, order = await stage.stop_running()
        (memory,) = stage.history.memories.values()
        stage.draws.reply = Reply.MOVED
        repeated = await stage.order_stop()
        freed = await stage.call(
            HANDLE_TARGET + memory.handle.encode(), method="DELETE"
        )
    assert order.status == status
    assert part.body.count(b"\n\n") < EVENTS_PER_STREAM
    assert find_handle(repeated) == memory.handle
    assert freed.status == 200
    assert memory.freed_at is not None
    assert (memory.target == "") is (reply is Reply.TARGET_FULL)


async def test_an_order_is_refused_while_another_is_in_progress() -> None:
    async with open_stage(Reply.LATE) as stage:
        replies: list[Answer] = []

        async def order() -> None:
            replies.append(await stage.order_stop())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stage.call, b"/draft/x")
            await trio.sleep(0.4)
            nursery.start_soon(order)
            await trio.sleep(0.2)
            second = await stage.order_stop()
    assert second.status == 409
    assert replies[0].status == 200


@pytest.mark.parametrize("reply", [Reply.FINISHES, Reply.NOT_REACHED])
async def test_a_run_that_is_not_stopped_is_whole(reply: Reply) -> None:
    async with open_stage(reply) as stage:
        whole, order = await stage.stop_running()
        stage.draws.reply = Reply.MOVED
        ended = await stage.order_stop()
    assert order.status == 0
    assert whole.is_complete
    assert whole.body.count(b"\n\n") == EVENTS_PER_STREAM
    assert ended.status == 404
    assert stage.history.memories == {}


async def ask_until_answered(stage: Stage) -> list[int]:
    """Order to stop the stream until the engine says that it has no run."""
    statuses: list[int] = []
    while 404 not in statuses and len(statuses) < 4:
        statuses.append((await stage.order_stop()).status)
    return statuses


@pytest.mark.parametrize("seed", range(4))
async def test_an_engine_has_forgotten_a_run_that_it_has_stopped(seed: int) -> None:
    async with open_stage(Reply.NO_RUN) as stage:
        stage.draws.losing_rng = random.Random(seed)
        part, _ = await stage.stop_running()
        statuses = await ask_until_answered(stage)
        (memory,) = stage.history.memories.values()
        rest = await stage.call(b"/draft/x", memory=memory.handle, last=1)
    assert part.is_complete
    assert part.body.count(b"\n\n") < EVENTS_PER_STREAM
    assert set(statuses[:-1]) <= {409}
    assert statuses[-1] == 404
    assert rest.status == 503
    assert not any(record.is_usable for record in stage.history.stop_records)


async def test_a_run_that_ends_before_its_only_order_is_whole() -> None:
    async with open_stage(Reply.FINISHED) as stage:
        whole, order = await stage.stop_running()
    assert whole.body.count(b"\n\n") == EVENTS_PER_STREAM
    assert order.status == 404
    assert [record.is_usable for record in stage.history.stop_records] == [True]


async def read_start(stage: Stage) -> int:
    """Return the start of the process by the engine's report."""
    report = await stage.call(REPORT_PATH, method="GET")
    started_at: int = json.loads(report.body)["born"]
    return started_at


async def test_an_engine_that_started_again_has_no_run_and_a_later_start() -> None:
    async with open_stage(Reply.RESTARTED) as stage:
        before = await read_start(stage)
        part, order = await stage.stop_running()
        repeated = await stage.order_stop()
        after = await read_start(stage)
        (restart,) = stage.history.restarts
    assert part.is_complete
    assert part.body.count(b"\n\n") < EVENTS_PER_STREAM
    assert (order.status, repeated.status) == (0, 404)
    assert before < after == stage.engine.started_at_ms
    assert restart.affects(stage.history.runs[0])
    assert stage.history.runs[0].has_broken_off
