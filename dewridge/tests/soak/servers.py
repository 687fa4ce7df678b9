"""Backend servers that record the requests they execute and can misbehave."""

import json
import os
import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

import h11
import trio

from dewridge.ids import BackendServerId
from dewridge.platform.engines import REPORT_PATH
from dewridge.tests.gateway.memorystore import MemoryStore
from dewridge.tests.gateway.world import ScriptedServer, ServerExchange
from dewridge.tests.soak.engineruns import (
    WITHIN_EVENT_PROBABILITY,
    EndDraws,
    EngineRuns,
    StreamRun,
)
from dewridge.tests.soak.links import Link, limit_receive_buffer
from dewridge.tests.soak.records import (
    Crash,
    Execution,
    Fall,
    History,
    Restart,
    SentRequest,
    ServerRun,
    Signal,
    SignalAnswer,
)

BAD_PART_PREFIX = b"crash-"
"""Prefix of a prompt part that crashes each server that begins to execute it."""
CRASH_BODY_PREFIX = b"crash "
"""Prefix of a request body that crashes each server that begins to execute it."""
CRASH_DELAY = 0.05
"""Seconds from the start of such a request to the crash of the server."""
PLAIN_RESPONSE_SECONDS = 0.015
"""Seconds until a server responds to a request without a stream."""
EVENTS_PER_STREAM = 12
"""Events of a stream, which usually takes half a second, so that faults hit many."""
REJECTED_SHARE = 0.8
"""Share of the requests that a server rejects while its service rejects most."""
EARLY_RESET_PROBABILITY, EARLY_ANSWER_PROBABILITY = 0.35, 0.3
"""Shares of the uploads that a server answers in part and resets, or answers in full,
before it reads them."""
MAX_RESET_DELAY = 0.03
"""Maximum seconds from the part of an early answer to the reset."""
UPLOAD_BUFFER_BYTES = 16_384
"""Receive buffers of servers that don't read uploads: the kernel would take them."""
UPLOAD_DRAIN_SECONDS = 3.0
"""Seconds for which a server reads an upload that it has answered."""

SIGNAL_HEADERS = {
    Signal.LIMIT: b"Server-Limit: %.2f\r\n",
    Signal.REST: b"Retry-After: %.2f\r\n",
    Signal.LEAVING: b"Server-Leaving: %d\r\n",
}
"""Header line of each signal."""


class Mood(Enum):
    """How a server responds."""

    GOOD = "good"
    FAILING = "failing"
    HANGING = "hanging"
    CUTTING = "cutting"
    """Resets the connection in the middle of the response."""
    REPEATING = "repeating"
    """Sends a plain response again where the next response is expected."""
    FULL = "full"
    """Rejects requests with status 503 and does not execute them."""


class UploadEnd(Enum):
    """How a server closes the connection of an upload that it has answered in part."""

    UNREAD = "unread"
    READ = "read"
    """After it has read what has come: the kernel closes the connection in order."""
    IN_ORDER = "in order"
    """It ends its side first."""


@dataclass
class SoakServer:
    """One incarnation of a backend server behind its own link.

    Attributes:
        id: new at each start.
        service: name of the service.
        history: records the requests that it executes.
        version: version of its software, which its events name; empty for none.
        mood: how it currently responds.
        is_draining: whether its record says that it departs.
        is_registered: whether it has a record in the store.
        link: proxy in front of it.
        on_crash: called when it crashes under a request.
        on_restart: called when it has started again under its name.
        signals: signals in its answers, with their values.
        has_signalled: whether it ever had signals.
        slots: requests that it runs at once, as its record says.
        tolerance: rejections in a second beyond which it falls over; None if it takes
            any number.
        has_room: whether it runs more requests than `slots` at once.
        is_rejecting: returns whether it rejects most requests now.
        draws: draws how its answers end.
        find_server: returns the id of the server at an address; empty if unknown.
        leaves_in: seconds until it stops, as its record says; None if it doesn't say.
        started_at_ms: start of its process in milliseconds since 1970, as its reports
            say.
    """

    id: str
    service: str
    history: History
    version: str = ""
    mood: Mood = Mood.GOOD
    is_draining: bool = False
    is_registered: bool = True
    link: Link = field(default_factory=lambda: Link(""))
    on_crash: Callable[["SoakServer"], None] = lambda server: None
    on_restart: Callable[["SoakServer", Restart], None] = lambda server, restart: None
    signals: dict[Signal, float] = field(default_factory=dict)
    has_signalled: bool = False
    slots: int = 16
    tolerance: int | None = None
    has_room: bool = True
    is_rejecting: Callable[[], bool] = lambda: False
    rng: random.Random = field(default_factory=partial(random.Random, 1))
    draws: EndDraws = field(default_factory=EndDraws)
    find_server: Callable[[str], str] = lambda address: ""
    leaves_in: float | None = None
    started_at_ms: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    _engine_runs: EngineRuns | None = None
    _server: ScriptedServer | None = None
    _nursery: trio.Nursery | None = None
    _running: int = 0
    _upload_ends: dict[str, UploadEnd] = field(default_factory=dict)
    _rejections: list[float] = field(default_factory=list)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the server and its link."""
        self._nursery = nursery
        server = ScriptedServer(BackendServerId(self.id), self._handle_request)
        server.is_early = self._is_answered_early
        self._server = server
        self._engine_runs = EngineRuns(
            self.id, self.history, self.draws, self.find_server, self.restart
        )
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        if self.draws.closing_share:
            limit_receive_buffer(listeners[0], UPLOAD_BUFFER_BYTES)
        port = listeners[0].socket.getsockname()[1]
        self.link.target = f"127.0.0.1:{port}"
        nursery.start_soon(trio.serve_listeners, server.handle, listeners)
        await self.link.start(nursery)

    def write_record(self, store: MemoryStore) -> None:
        """Write this server's current record to the store, or remove it."""
        key = f"servers/{self.id}"
        if not self.is_registered:
            store.remove(key)
            return
        record: dict[str, str | int] = {
            "service": self.service,
            "address": self.link.address,
            "zone": "domain-a",
            "slots": self.slots,
            "state": "draining" if self.is_draining else "ready",
            "version": self.version,
            "born": self.started_at_ms,
        }
        if self.leaves_in is not None:
            record["leaves_ms"] = round(self.leaves_in * 1000)
        store.write(key, json.dumps(record).encode())

    @property
    def runs(self) -> EngineRuns:
        """Its runs and the memory of those that were stopped."""
        assert self._engine_runs is not None
        return self._engine_runs

    def end_in_order(self) -> None:
        """End without a crash: reset all connections and refuse new ones."""
        now = time.monotonic()
        self.history.server_ended_at[self.id] = now
        self._break_runs_off()
        self.link.close()

    def restart(self) -> None:
        """End, with all connections in order, and start again under the same name.

        The next connection is accepted at once.
        """
        assert self._server is not None
        restart = Restart(self.id, time.monotonic())
        self.history.restarts.append(restart)
        self.history.record_fault()
        self._break_runs_off()
        self.started_at_ms = max(self.started_at_ms + 1, time.time_ns() // 1_000_000)
        self.runs.forget_all()
        self._server.close_connections()
        self.on_restart(self, restart)

    def _break_runs_off(self) -> None:
        for run in self.history.runs:
            if run.server == self.id and run.ended_at is None and not run.has_finished:
                run.has_broken_off = True

    def _is_answered_early(self, head: h11.Request) -> bool:
        """Draw whether an upload is answered before it is read."""
        request_id = dict(head.headers).get(b"x-attempt-id", b"").decode()
        request = self.history.requests.get(request_id)
        if request is None or not request.upload_bytes:
            return False
        draws = self.draws
        if draws.closing_share and draws.closing_rng.random() < draws.closing_share:
            self._upload_ends[request_id] = draws.closing_rng.choice(list(UploadEnd))
            return True
        return draws.draw(EARLY_RESET_PROBABILITY + EARLY_ANSWER_PROBABILITY)

    def _has_unread_upload(self, exchange: ServerExchange) -> bool:
        length = int(exchange.headers.get(b"content-length", b"0"))
        return length > len(exchange.body)

    async def _handle_request(self, exchange: ServerExchange) -> None:
        await self._answer_request(exchange)
        if self._has_unread_upload(exchange):
            await self._close_after_reading(exchange.stream)

    async def _close_after_reading(self, stream: trio.SocketStream) -> None:
        """End a connection in order whose upload has not been read.

        A socket that is closed with unread input is reset.
        """
        await stream.send_eof()
        with trio.move_on_after(UPLOAD_DRAIN_SECONDS):
            while await stream.receive_some(65_536):
                pass
        await stream.aclose()

    async def _answer_request(self, exchange: ServerExchange) -> None:
        if exchange.target == REPORT_PATH:
            await self._report(exchange)
            return
        if await self.runs.answer_call(exchange):
            return
        request_id = exchange.headers.get(b"x-attempt-id", b"").decode()
        arrival = Execution(request_id, self.id, "", time.monotonic())
        if b"kv-from" in exchange.headers:
            self.history.continuation_arrivals.append(arrival)
        else:
            self.history.all_arrivals.append(arrival)
        expected = exchange.headers.get(b"x-expect-instance", b"").decode()
        if expected != self.id:
            await exchange.answer(b"", 421)
            return
        if self.tolerance is not None:
            exchange.signals += b"Server-Brittle: %d\r\n" % self.tolerance
            if not self.has_room and self._running >= self.slots:
                await self._reject_for_room(exchange, self.tolerance)
                return
        self._running += 1
        try:
            await self._serve(exchange)
        finally:
            self._running -= 1

    async def _report(self, exchange: ServerExchange) -> None:
        """Answer the call for a report, which only engines know."""
        if self.service != "engine":
            await exchange.answer(b"", 404)
            return
        runs = self.runs.list_running()
        report = {
            "waiting": 0,
            "running": len(runs),
            "runs": [[request_id, 0, run.created] for request_id, run in runs],
            "born": self.started_at_ms,
        }
        await exchange.answer(json.dumps(report).encode())

    async def _reject_for_room(self, exchange: ServerExchange, tolerance: int) -> None:
        """Reject a request, and fall over if there were too many in a second."""
        now = time.monotonic()
        self._rejections = [at for at in self._rejections if now - at < 1.0] + [now]
        self.history.rejections_for_room += 1
        if len(self._rejections) > tolerance:
            self.history.falls.append(Fall(self.id, self.service, now))
            self._end()
            return
        await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")

    def _end(self) -> None:
        self.link.close()
        self.on_crash(self)

    async def _serve(self, exchange: ServerExchange) -> None:
        if self.has_signalled and self._add_signals(exchange):
            await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")
            return
        is_rejected = self.is_rejecting() and self.rng.random() < REJECTED_SHARE
        if self.mood is Mood.FULL or is_rejected:
            await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")
            return
        request_id = exchange.headers.get(b"x-attempt-id", b"").decode()
        account = exchange.headers.get(b"x-tenant", b"").decode()
        execution = Execution(request_id, self.id, account, time.monotonic())
        source = exchange.headers.get(b"kv-from", b"").decode()
        if not source:
            self.history.executions.append(execution)
        elif not self.runs.take_memory(request_id, source.partition("/")[2]):
            await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")
            return
        run = ServerRun(request_id, self.id, execution.at)
        self.history.runs.append(run)
        watch = trio.CancelScope()
        assert self._nursery is not None
        if not self._has_unread_upload(exchange):
            self._nursery.start_soon(_record_close, exchange.stream, run, watch)
        try:
            await self._execute(exchange, execution, run)
        finally:
            run.end()
            watch.cancel()

    async def _execute(
        self, exchange: ServerExchange, execution: Execution, run: ServerRun
    ) -> None:
        request_id = execution.id
        prompt = exchange.headers.get(b"x-prefix-hash", b"")
        if exchange.body.startswith(CRASH_BODY_PREFIX) or BAD_PART_PREFIX in prompt:
            self.history.arrivals.append(execution)
            run.has_broken_off = True
            await self._crash(request_id)
            return
        if self.mood is Mood.HANGING:
            await trio.sleep(20)
        if self.mood is Mood.FAILING:
            await exchange.answer(b"failed", 500)
        elif exchange.target.startswith((b"/chat/", b"/draft/")):
            await self._send_stream(exchange, run)
        else:
            await self._send_plain_response(exchange, run)

    def _add_signals(self, exchange: ServerExchange) -> bool:
        """Add the signals to the answer; return whether the request is rejected."""
        request_id = exchange.headers.get(b"x-attempt-id", b"").decode()
        request = self.history.requests.get(request_id)
        if request is None:
            return False
        now = time.monotonic()
        self.history.server_arrivals.append(Execution(request_id, self.id, "", now))
        for signal, value in self.signals.items():
            exchange.signals += SIGNAL_HEADERS[signal] % value
            self.history.signal_answers.append(
                SignalAnswer(signal, self.id, request.host, value, now)
            )
        return Signal.REST in self.signals

    async def _crash(self, request_id: str) -> None:
        await trio.sleep(CRASH_DELAY)
        content = self.history.requests[request_id].content
        self.history.crashes.append(Crash(content, self.id, time.monotonic()))
        self._end()

    async def _send_plain_response(
        self, exchange: ServerExchange, run: ServerRun
    ) -> None:
        body = run.id.encode()
        request = self.history.requests[run.id]
        run.is_unframed = self.draws.draw(self.draws.unframed_share)
        if self._has_unread_upload(exchange):
            await self._answer_upload_early(exchange, run, body)
            return
        await trio.sleep(request.first_event_seconds + PLAIN_RESPONSE_SECONDS)
        if self.mood is Mood.CUTTING:
            length = b"Content-Length: %d\r\n" % (len(body) + 5)
            if run.is_unframed:
                length, body = b"", body[:-1]
            await exchange.send(exchange.make_head(200, length) + body)
            run.has_broken_off = True
            exchange.reset()
            return
        await self._answer(exchange, run, body)
        if self.mood is Mood.REPEATING and not run.is_unframed:
            await trio.sleep(0.02)
            await exchange.answer(body)

    async def _answer_upload_early(
        self, exchange: ServerExchange, run: ServerRun, body: bytes
    ) -> None:
        """Answer before the upload is read: in part, or in full.

        Without a length, nothing shows that an answer in full is whole.
        """
        rng = self.draws.rng
        end = self._upload_ends.pop(run.id, None)
        if end is not None:
            run.is_unframed = run.has_broken_off = True
            await self._close_early(exchange, end, body[: len(body) // 2])
            return
        total = EARLY_RESET_PROBABILITY + EARLY_ANSWER_PROBABILITY
        if rng.random() < EARLY_RESET_PROBABILITY / total:
            run.is_unframed = run.has_broken_off = True
            await exchange.send(exchange.make_head(200) + body[: len(body) // 2])
            await trio.sleep(rng.choice([0.0, rng.uniform(0, MAX_RESET_DELAY)]))
            exchange.reset()
            return
        length = b"" if run.is_unframed else b"Content-Length: %d\r\n" % len(body)
        await exchange.send(exchange.make_head(200, length) + body)
        run.has_finished = not run.is_unframed

    async def _close_early(
        self, exchange: ServerExchange, end: UploadEnd, part: bytes
    ) -> None:
        """Send a part of an answer without a length, and close the connection."""
        connection = exchange.stream.socket
        if end is UploadEnd.READ:
            with suppress(BlockingIOError):
                while os.read(connection.fileno(), 65_536):
                    pass
        await exchange.send(exchange.make_head(200) + part)
        if end is UploadEnd.IN_ORDER:
            await exchange.stream.send_eof()
            await trio.sleep(self.draws.closing_rng.uniform(0, MAX_RESET_DELAY))
        connection.close()

    async def _answer(
        self, exchange: ServerExchange, run: ServerRun, body: bytes
    ) -> None:
        """Send a whole answer; one without a length ends with its connection."""
        if run.is_unframed:
            await exchange.send(exchange.make_head(200) + body)
            run.has_finished = True
            await exchange.stream.aclose()
        else:
            await exchange.answer(body)
            run.has_finished = True

    async def _send_stream(self, exchange: ServerExchange, run: ServerRun) -> None:
        request = self.history.requests[run.id]
        last_received = int(exchange.headers.get(b"last-event-id", b"0"))
        run.is_unframed = self.draws.draw(self.draws.unframed_share)
        await trio.sleep(request.first_event_seconds)
        stream_run = self.runs.begin(run.id, last_received)
        try:
            await self._send_events(exchange, run, stream_run)
        finally:
            self.runs.end(run.id, stream_run)

    async def _send_events(
        self, exchange: ServerExchange, run: ServerRun, stream_run: StreamRun
    ) -> None:
        request = self.history.requests[run.id]
        if run.is_unframed:
            await exchange.send(exchange.make_head(200))
        else:
            await exchange.begin_stream()
        for number in range(stream_run.created + 1, EVENTS_PER_STREAM + 1):
            seconds = request.stream_seconds / EVENTS_PER_STREAM
            is_stopped = await stream_run.wait_to_stop(seconds)
            event = self._make_event(request, number)
            if is_stopped:
                if self.draws.draw(WITHIN_EVENT_PROBABILITY):
                    await _send_piece(exchange, run, event[: len(event) // 2])
                stream_run.is_stopped = True
                await exchange.stream.aclose()
                return
            if self.mood is Mood.CUTTING and number == EVENTS_PER_STREAM // 2:
                if not (run.is_unframed and self.draws.draw(0.5)):
                    await _send_piece(exchange, run, event[: len(event) // 2])
                run.has_broken_off = True
                exchange.reset()
                return
            await _send_piece(exchange, run, event)
            stream_run.created = number
        stream_run.is_finished = run.has_finished = True
        if run.is_unframed:
            await exchange.stream.aclose()
        else:
            await exchange.end_stream()

    def _make_event(self, request: SentRequest, number: int) -> bytes:
        last_marker = " last" if number == EVENTS_PER_STREAM else ""
        owner = f"{request.id}#{self.version}" if self.version else request.id
        padding = f"\n:{'.' * request.event_bytes}" if request.event_bytes else ""
        return f"id: {number}\ndata: {owner}{last_marker}{padding}\n\n".encode()


async def _send_piece(exchange: ServerExchange, run: ServerRun, data: bytes) -> None:
    """Send bytes of a stream, in a chunk if it has chunks."""
    if not run.is_unframed:
        data = b"%x\r\n%s\r\n" % (len(data), data)
    await exchange.send(data)


async def _record_close(
    stream: trio.SocketStream, run: ServerRun, scope: trio.CancelScope
) -> None:
    """Record the end of a run once the host has closed the connection."""
    with scope:
        try:
            if await stream.socket.recv(1, trio.socket.MSG_PEEK):
                return
        except (OSError, trio.ClosedResourceError):
            pass
        run.end()
