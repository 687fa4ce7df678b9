"""Backend servers that record the requests they execute and can misbehave."""

import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

import trio

from dewridge.ids import BackendServerId
from dewridge.platform.engines import REPORT_PATH
from dewridge.tests.gateway.memorystore import MemoryStore
from dewridge.tests.gateway.world import ScriptedServer, ServerExchange
from dewridge.tests.soak.links import Link
from dewridge.tests.soak.records import (
    Crash,
    Execution,
    Fall,
    History,
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
        signals: signals in its answers, with their values.
        has_signalled: whether it ever had signals.
        slots: requests that it runs at once, as its record says.
        tolerance: rejections in a second beyond which it falls over; None if it takes
            any number.
        has_room: whether it runs more requests than `slots` at once.
        is_rejecting: returns whether it rejects most requests now.
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
    signals: dict[Signal, float] = field(default_factory=dict)
    has_signalled: bool = False
    slots: int = 16
    tolerance: int | None = None
    has_room: bool = True
    is_rejecting: Callable[[], bool] = lambda: False
    rng: random.Random = field(default_factory=partial(random.Random, 1))
    _nursery: trio.Nursery | None = None
    _running: int = 0
    _rejections: list[float] = field(default_factory=list)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the server and its link."""
        self._nursery = nursery
        server = ScriptedServer(BackendServerId(self.id), self._handle_request)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
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
        record = {
            "service": self.service,
            "address": self.link.address,
            "zone": "domain-a",
            "slots": self.slots,
            "state": "draining" if self.is_draining else "ready",
            "version": self.version,
        }
        store.write(key, json.dumps(record).encode())

    async def _handle_request(self, exchange: ServerExchange) -> None:
        if exchange.target == REPORT_PATH:
            await exchange.answer(b"", 404)
            return
        request_id = exchange.headers.get(b"x-attempt-id", b"").decode()
        arrival = Execution(request_id, self.id, "", time.monotonic())
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
        self.history.executions.append(execution)
        run = ServerRun(request_id, self.id, execution.at)
        self.history.runs.append(run)
        watch = trio.CancelScope()
        assert self._nursery is not None
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
        wait = self.history.requests[run.id].first_event_seconds
        await trio.sleep(wait + PLAIN_RESPONSE_SECONDS)
        if self.mood is Mood.CUTTING:
            length = b"Content-Length: %d\r\n" % (len(body) + 5)
            await exchange.send(exchange.make_head(200, length) + body)
            run.has_broken_off = True
            exchange.reset()
            return
        await exchange.answer(body)
        if self.mood is Mood.REPEATING:
            await trio.sleep(0.02)
            await exchange.answer(body)

    async def _send_stream(self, exchange: ServerExchange, run: ServerRun) -> None:
        request_id = run.id
        last_received = int(exchange.headers.get(b"last-event-id", b"0"))
        request = self.history.requests[request_id]
        await trio.sleep(request.first_event_seconds)
        await exchange.begin_stream()
        for number in range(last_received + 1, EVENTS_PER_STREAM + 1):
            await trio.sleep(request.stream_seconds / EVENTS_PER_STREAM)
            last_marker = " last" if number == EVENTS_PER_STREAM else ""
            owner = f"{request_id}#{self.version}" if self.version else request_id
            padding = f"\n:{'.' * request.event_bytes}" if request.event_bytes else ""
            event = f"id: {number}\ndata: {owner}{last_marker}{padding}\n\n".encode()
            if self.mood is Mood.CUTTING and number == EVENTS_PER_STREAM // 2:
                event = event[: len(event) // 2]
                await exchange.send(b"%x\r\n%s\r\n" % (len(event), event))
                run.has_broken_off = True
                exchange.reset()
                return
            await exchange.send(b"%x\r\n%s\r\n" % (len(event), event))
        await exchange.end_stream()


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
