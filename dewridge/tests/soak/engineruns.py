"""Runs of engines that can be stopped, and their memory, which others go on from."""

import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import trio

from dewridge.tests.gateway.stoppableengines import (
    HANDLE_TARGET,
    MOVE_TARGET,
    STOPPING_FAULTS,
    Reply,
)
from dewridge.tests.gateway.world import ServerExchange
from dewridge.tests.soak.records import (
    Continuation,
    EngineMemory,
    History,
    StopRecord,
)

REPLY_WEIGHTS = {
    Reply.MOVED: 8,
    Reply.LOST: 2,
    Reply.LATE: 2,
    Reply.FAILURE: 1,
    Reply.UNREADABLE: 1,
    Reply.WITHOUT_HANDLE: 1,
    Reply.TARGET_FULL: 2,
    Reply.NOT_REACHED: 2,
    Reply.FINISHES: 2,
}
"""How often each reply to an order is drawn."""
USABLE_REPLIES = frozenset({Reply.MOVED, Reply.TARGET_FULL})
MIN_LATE, MAX_LATE = 0.6, 1.0
"""Range of the seconds until a late reply; hosts wait for 0.6 seconds."""
MAX_COPY_SECONDS = 0.08
"""Maximum seconds that a good reply takes: the memory is copied first."""
SAME_REPLY_PROBABILITY = 0.25
"""Share of the runs whose orders all get the same kind of reply."""
WITHIN_EVENT_PROBABILITY = 0.4
"""Share of the stopped streams that end in the middle of an event."""
STOP_SECONDS = 5.0
"""Seconds within which a run that is ordered to stop has ended."""
LOSS_WEIGHTS = {Reply.NO_RUN: 3, Reply.FINISHED: 1, Reply.RESTARTED: 1}
"""How often an engine that is ordered to stop a run has forgotten it afterwards, has
ended it before, or starts again."""
MAX_REFUSALS = 2
"""Maximum orders refused with status 409 before an engine says that it has no run."""


@dataclass
class EndDraws:
    """Draws how answers end, with a random generator of its own.

    Attributes:
        rng: the generator.
        unframed_share: share of the answers without a length or chunks.
        losing_share: share of the runs that their engine does not have after an order.
        losing_rng: generator of what becomes of these.
        closing_share: share of the uploads that servers answer in part and close on.
        closing_rng: generator of how they close.
    """

    rng: random.Random = field(default_factory=partial(random.Random, 1))
    unframed_share: float = 0.0
    losing_share: float = 0.0
    losing_rng: random.Random = field(default_factory=partial(random.Random, 1))
    closing_share: float = 0.0
    closing_rng: random.Random = field(default_factory=partial(random.Random, 1))

    def draw(self, probability: float) -> bool:
        """Return whether something of this probability happens."""
        return probability > 0 and self.rng.random() < probability

    def draw_reply(self) -> Reply:
        """Return how an engine replies to an order."""
        weights = list(REPLY_WEIGHTS.values())
        return self.rng.choices(list(REPLY_WEIGHTS), weights)[0]

    def draw_loss(self) -> Reply | None:
        """Return why an engine does not have a run after an order; None if it does."""
        if not self.losing_share or self.losing_rng.random() >= self.losing_share:
            return None
        weights = list(LOSS_WEIGHTS.values())
        return self.losing_rng.choices(list(LOSS_WEIGHTS), weights)[0]


@dataclass
class StreamRun:
    """A stream that an engine runs, or one that an order has stopped.

    Attributes:
        created: number of the last event that was made.
        stop: set to stop it.
        finish: set to let it make its other events at once.
        ended: set when its connection was closed or reset.
        is_finished: whether it has made its last event.
        memory: its memory once it was stopped.
        reply: the reply that all its orders get; None to draw each.
        is_ordered: whether an order is in progress.
        loss: why its engine does not have it after the first order; None if it does.
        refusals: further orders that are refused with status 409 after a loss.
    """

    created: int = 0
    stop: trio.Event = field(default_factory=trio.Event)
    finish: trio.Event = field(default_factory=trio.Event)
    ended: trio.Event = field(default_factory=trio.Event)
    is_stopped: bool = False
    is_finished: bool = False
    memory: EngineMemory | None = None
    reply: Reply | None = None
    is_ordered: bool = False
    loss: Reply | None = None
    refusals: int = 0

    async def wait_to_stop(self, seconds: float) -> bool:
        """Wait until the next event is due; return whether the run stops before it."""
        with trio.move_on_after(0.0 if self.finish.is_set() else seconds):
            await self.stop.wait()
        return self.stop.is_set()


@dataclass
class EngineRuns:
    """The runs of one engine.

    Attributes:
        server: id of the engine.
        history: records orders and memory.
        draws: draws the replies.
        find_server: returns the id of the server at an address; empty if unknown.
        restart: starts the engine again under its name.
    """

    server: str
    history: History
    draws: EndDraws
    find_server: Callable[[str], str]
    restart: Callable[[], None]
    _runs: dict[str, StreamRun] = field(default_factory=dict)

    def begin(self, request_id: str, created: int) -> StreamRun:
        """Register a run that goes on after a number of events."""
        run = self._runs[request_id] = StreamRun(created)
        if self.draws.draw(SAME_REPLY_PROBABILITY):
            run.reply = self.draws.draw_reply()
        run.loss = self.draws.draw_loss()
        return run

    def end(self, request_id: str, run: StreamRun) -> None:
        """Record that a run has ended; a stopped one is kept for further orders."""
        run.ended.set()
        if not run.is_stopped and self._runs.get(request_id) is run:
            del self._runs[request_id]

    def forget_all(self) -> None:
        """Forget all runs and all memory, as a process that ends does."""
        self._runs.clear()
        for memory in self.history.memories.values():
            if self.server in {memory.source, memory.target}:
                memory.forgotten_by.add(self.server)

    def list_running(self) -> list[tuple[str, StreamRun]]:
        """Return the ids and the runs that have not ended."""
        return [item for item in self._runs.items() if not item[1].ended.is_set()]

    def take_memory(self, request_id: str, handle: str) -> bool:
        """Return whether a run may go on from memory here, and record that."""
        memory = self.history.memories.get(handle)
        can_run = (
            memory is not None
            and memory.id == request_id
            and self.server in {memory.source, memory.target}
            and self._is_kept(memory)
        )
        self.history.continuations.append(
            Continuation(handle, request_id, self.server, time.monotonic(), can_run)
        )
        return can_run

    async def answer_call(self, exchange: ServerExchange) -> bool:
        """Answer an order or a call that frees memory; return whether it was one."""
        if exchange.target == MOVE_TARGET:
            await self._answer_order(exchange)
            return True
        if exchange.target.startswith(HANDLE_TARGET):
            handle = exchange.target.removeprefix(HANDLE_TARGET).decode()
            memory = self.history.memories.get(handle)
            if memory is None or not self._is_kept(memory):
                await exchange.answer(b"{}", 404)
                return True
            memory.freed_at = time.monotonic()
            await exchange.answer(b"{}")
            return True
        return False

    def _is_kept(self, memory: EngineMemory) -> bool:
        if self.server in memory.forgotten_by:
            return False
        return memory.freed_at is None and not any(
            each.handle == memory.handle and each.has_run
            for each in self.history.continuations
        )

    async def _answer_order(self, exchange: ServerExchange) -> None:
        order = json.loads(exchange.body)
        request_id = str(order["id"])
        run = self._runs.get(request_id)
        reply = (run.reply if run else None) or self.draws.draw_reply()
        if reply is Reply.NOT_REACHED:
            self._record(request_id, reply.value, is_usable=False)
            exchange.reset()
        elif run is None or run.is_finished:
            await self._answer_no_run(exchange, request_id)
        elif run.is_ordered or run.refusals:
            run.refusals = max(0, run.refusals - 1)
            self._record(request_id, Reply.IN_PROGRESS.value, is_usable=False)
            await exchange.answer(b"{}", 409)
        elif run.loss is not None:
            run.is_ordered = True
            try:
                await self._lose(exchange, request_id, run, run.loss)
            finally:
                run.is_ordered = False
        elif reply is Reply.FINISHES and run.memory is None:
            self._record(request_id, reply.value, is_usable=False)
            run.finish.set()
            exchange.reset()
        else:
            run.is_ordered = True
            try:
                await self._carry_out(exchange, request_id, run, reply, order["target"])
            finally:
                run.is_ordered = False

    async def _lose(
        self, exchange: ServerExchange, request_id: str, run: StreamRun, loss: Reply
    ) -> None:
        """Answer an order after which the engine does not have the run."""
        self.history.record_fault()
        if loss is Reply.RESTARTED:
            self._record(request_id, loss.value, is_usable=False)
            self.restart()
            return
        if run.is_stopped:
            await self._answer_no_run(exchange, request_id)
            return
        (run.finish if loss is Reply.FINISHED else run.stop).set()
        with trio.move_on_after(STOP_SECONDS):
            await run.ended.wait()
        if not run.is_stopped:
            await self._answer_no_run(exchange, request_id)
            return
        run.refusals = self.draws.losing_rng.randint(0, MAX_REFUSALS)
        reply = self.draws.losing_rng.choice(STOPPING_FAULTS)
        self._record(request_id, reply.value, is_usable=False)
        memory = self._keep_memory(request_id, "")
        memory.forgotten_by.add(self.server)
        await self._reply(exchange, reply, memory, run.created)

    async def _carry_out(
        self,
        exchange: ServerExchange,
        request_id: str,
        run: StreamRun,
        reply: Reply,
        target: str,
    ) -> None:
        run.stop.set()
        with trio.move_on_after(STOP_SECONDS):
            await run.ended.wait()
        if not run.is_stopped:
            await self._answer_no_run(exchange, request_id)
            return
        if run.memory is None:
            is_full = reply is Reply.TARGET_FULL
            holder = "" if is_full else self.find_server(target)
            run.memory = self._keep_memory(request_id, holder)
        elif not self._is_kept(run.memory):
            await self._answer_no_run(exchange, request_id)
            return
        if reply is Reply.MOVED and not run.memory.target:
            reply = Reply.TARGET_FULL
        self._record(request_id, reply.value, is_usable=reply in USABLE_REPLIES)
        await self._reply(exchange, reply, run.memory, run.created)

    def _keep_memory(self, request_id: str, holder: str) -> EngineMemory:
        handle = f"{request_id}.{self.server}.{len(self.history.memories)}"
        now = time.monotonic()
        memory = EngineMemory(handle, request_id, self.server, holder, now)
        self.history.memories[handle] = memory
        return memory

    async def _answer_no_run(self, exchange: ServerExchange, request_id: str) -> None:
        # After an order without a usable reply, the run may have been stopped by it.
        has_lost = any(
            not record.is_usable
            for record in self.history.stop_records
            if (record.id, record.server) == (request_id, self.server)
        )
        self._record(request_id, Reply.NO_RUN.value, is_usable=not has_lost)
        await exchange.answer(b"{}", 404)

    async def _reply(
        self,
        exchange: ServerExchange,
        reply: Reply,
        memory: EngineMemory,
        created: int,
    ) -> None:
        handle = json.dumps({"handle": memory.handle, "created": created}).encode()
        match reply:
            case Reply.LOST | Reply.FINISHES:
                if self.draws.draw(0.5):
                    exchange.reset()
                else:
                    await exchange.stream.aclose()
            case Reply.LATE:
                await trio.sleep(self.draws.rng.uniform(MIN_LATE, MAX_LATE))
                await exchange.answer(handle)
            case Reply.FAILURE:
                await exchange.answer(b"failed", 500)
            case Reply.UNREADABLE:
                await exchange.answer(b"{")
            case Reply.WITHOUT_HANDLE:
                await exchange.answer(b"{}")
            case _:
                await trio.sleep(self.draws.rng.uniform(0, MAX_COPY_SECONDS))
                await exchange.answer(
                    handle, 503 if reply is Reply.TARGET_FULL else 200
                )
                memory.announced_at = time.monotonic()

    def _record(self, request_id: str, reply: str, *, is_usable: bool) -> None:
        self.history.stop_records.append(
            StopRecord(request_id, self.server, time.monotonic(), reply, is_usable)
        )
