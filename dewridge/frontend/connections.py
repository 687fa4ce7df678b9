"""Limits on caller connections: their number and how long a write may stall."""

import os
from contextlib import suppress

import msgspec
import trio

from dewridge.codes import Outcome, ResultCode
from dewridge.frontend.problems import PROBLEM_TYPE, make_problem
from dewridge.http1.sockets import has_input
from dewridge.intakelog import IntakeLog
from dewridge.metrics.registry import Metrics
from dewridge.policy.memorybudget import (
    ConnectionStage,
    ConnectionUse,
    MemoryBudget,
)
from dewridge.sentinels import Failure

REJECTION_TIMEOUT = 0.5
"""Seconds for sending a rejection; it occupies a task meanwhile."""
MAX_CONCURRENT_REJECTIONS = 128
"""Rejections sent concurrently; further connections are closed without a response."""
RETRY_AFTER = 1
"""Seconds after which a rejected caller may reconnect."""
INPUT_POLL_INTERVAL = 0.005
"""Seconds between two checks of whether received input was delivered. Delivery takes
one iteration of the event loop; the check runs only before a connection is closed."""
CHECKS_PER_TIMEOUT = 4
"""Checks for stalled writes per write timeout. With 4, a write can exceed the timeout
by up to a quarter before its connection is closed."""
DEFAULT_MEMORY_BYTES = 160_000_000
"""Bytes that connections may make the process hold if no settings say so."""
CONNECTION_BYTES = 40_960
"""Memory of an open connection: its socket, its tasks and its protocol state."""
HELD_COPIES = 4
"""Memory of a body for each byte received: what has arrived, the whole body, the
decoded input, and its form for other hosts."""
HEADER_BYTES = 800
"""Memory of a header beside its text, in the forms that the HTTP libraries keep."""
MAX_RECEIVE_BYTES = 16_384
"""Bytes that are read at once; memory for them is reserved before."""
MAX_HEAD_BYTES = 65_536
"""Received bytes up to which lines count as headers."""


class TimedStream:
    """A connection that records how long its current write has lasted.

    No error occurs when a caller stops reading or a network hop loses the
    connection: the kernel's buffer fills, and the write waits forever while the
    answer's buffers stay allocated. `ConnectionLimiter` closes a connection whose
    write takes too long; the caller can resume from the position it has reached.

    What is received counts in the memory of the process until its request is answered.

    Attributes:
        write_started: when the current write began; None without one.
        is_reading: whether received input has not been delivered to the reader yet.
        use: what the connection makes the process hold.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        memory: MemoryBudget | None = None,
        log: IntakeLog | None = None,
    ) -> None:
        """Wrap an accepted connection.

        Args:
            stream: the connection.
            memory: what all connections of the process may make it hold.
            log: reports requests that are refused for want of memory.
        """
        self._stream = stream
        self._memory = memory or MemoryBudget(DEFAULT_MEMORY_BYTES)
        self._log = log or IntakeLog()
        self._received = 0
        self.socket = stream.socket
        self.write_started: float | None = None
        self.is_reading = False
        self.use = ConnectionUse(self._give_up, advanced_at=trio.current_time())

    async def send_all(self, data: bytes) -> None:
        """Send all data and record when the write started."""
        # Every token of every stream is written here, so stalled writes are found
        # by a periodic check of all connections instead of a timeout per write.
        self.write_started = trio.current_time()
        if self.use.stage is ConnectionStage.READING:
            # An answer has begun, also if the rest of the request was not needed.
            self.begin_request()
        try:
            await self._stream.send_all(data)
        finally:
            self.write_started = None

    async def receive_some(self, limit: int) -> bytes:
        """Receive up to `limit` bytes."""
        # Other tasks run between the read from the kernel and the delivery to the
        # reader. A task that closes idle connections must see that there is input.
        if self.socket.fileno() < 0:
            raise trio.ClosedResourceError("the connection is closed")
        await trio.lowlevel.wait_readable(self.socket)
        self.is_reading = True
        try:
            now = trio.current_time()
            limit = min(limit, MAX_RECEIVE_BYTES)
            self._reserve(limit * HELD_COPIES, now)
            data = bytes(await self._stream.receive_some(limit))
            self._count_received(data, limit, now)
            return data
        finally:
            self.is_reading = False

    def _reserve(self, size: int, now: float) -> None:
        """Count bytes that the connection will make the process hold.

        Raises:
            trio.ClosedResourceError: there is no room; the request was refused.
        """
        if not self._memory.reserve(self.use, size, now):
            self._refuse()
            raise trio.ClosedResourceError("no memory for more input")

    def _count_received(self, data: bytes, limit: int, now: float) -> None:
        """Count what was received in place of what was reserved for it."""
        if self.use.stage is not ConnectionStage.SERVING:
            if not self._received:
                self.use.enter(ConnectionStage.READING, now)
            self.use.advance(len(data), now)
        headers = 0
        if self._received < MAX_HEAD_BYTES:
            headers = data.count(b"\n")
        self._received += len(data)
        size = len(data) * HELD_COPIES + headers * HEADER_BYTES
        reserved = limit * HELD_COPIES
        if size <= reserved:
            self._memory.release(self.use, reserved - size)
        else:
            self._reserve(size - reserved, now)

    def begin_request(self) -> None:
        """Record that a request has been received and is served."""
        self.use.enter(ConnectionStage.SERVING, trio.current_time())

    def end_request(self) -> None:
        """Record that a request was answered, and nothing of it is held."""
        self._received = 0
        self.use.enter(ConnectionStage.IDLE, trio.current_time())
        self._memory.release(self.use, max(0, self.use.size - CONNECTION_BYTES))

    def _give_up(self) -> bool:
        """Close the connection for others, while its request has not been received."""
        if self.use.stage is not ConnectionStage.READING:
            return False
        self._refuse()
        self.close_immediately()
        return True

    def _refuse(self) -> None:
        """Answer a request that was not received as a whole, if the kernel takes it."""
        if self.use.stage is not ConnectionStage.READING or self.socket.fileno() < 0:
            return
        self._log.record("refused", "frontend", "memory")
        with suppress(OSError):
            os.write(self.socket.fileno(), OVERLOAD_ANSWER)

    async def wait_input_delivered(self) -> None:
        """Wait until all received input was delivered to the reader."""
        while True:
            if not self.is_reading and not has_input(self.socket):
                return
            await trio.sleep(INPUT_POLL_INTERVAL)

    async def send_eof(self) -> None:
        """Shut down the sending side."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def close_immediately(self) -> None:
        """Close the socket; pending reads and writes raise `ClosedResourceError`."""
        self._stream.socket.close()


class ConnectionLimiter:
    """Limits the number of open connections.

    Each connection uses memory before its token is known, so an unlimited flood
    would crash the process and interrupt all answers in flight. At the limit, the
    connection that has been idle the longest is closed for a new one: callers with
    keep-alive connections reconnect without loss, and connections without requests
    cannot exclude active ones. If all are active, a new connection is rejected with
    a retry time.
    """

    def __init__(
        self, limit: int, metrics: Metrics, memory: MemoryBudget | None = None
    ) -> None:
        self._limit = limit
        self._metrics = metrics
        self.memory = memory or MemoryBudget(DEFAULT_MEMORY_BYTES)
        self.log = IntakeLog()
        self._open: set[TimedStream] = set()
        self._idle: dict[TimedStream, None] = {}  # ordered by the start of idleness
        self._unused: set[TimedStream] = set()
        self._active_rejections = 0
        self._rejection = _encode_rejection()

    def register(self, stream: TimedStream) -> bool:
        """Add a connection; False if the limit is reached and none is idle."""
        if len(self._open) >= self._limit and not self._evict_longest_idle():
            self._metrics.add("frontend_refused_connections")
            return False
        now = trio.current_time()
        if not self.memory.reserve(stream.use, CONNECTION_BYTES, now):
            self._metrics.add("frontend_refused_connections")
            return False
        self._open.add(stream)
        self._idle[stream] = None
        self._unused.add(stream)
        self._update_gauge()
        return True

    def unregister(self, stream: TimedStream) -> None:
        """Remove a connection."""
        self._open.discard(stream)
        self._unused.discard(stream)
        self._idle.pop(stream, None)
        self.memory.remove(stream.use)
        self._update_gauge()

    def record_idle(self, stream: TimedStream, is_idle: bool) -> None:
        """Record whether a connection is idle, that is without a request."""
        self._idle.pop(stream, None)
        if is_idle and stream in self._open:
            self._idle[stream] = None
            stream.end_request()
        if not is_idle:
            self._unused.discard(stream)

    def has_active_request(self, stream: TimedStream) -> bool:
        """Whether a connection has a request that is not fully answered."""
        return stream in self._open and stream not in self._idle

    def count_unused(self) -> int:
        """Return the number of connections without any request so far."""
        return len(self._unused)

    def count_open(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    async def close_stalled(self, timeout: float) -> None:
        """Close connections whose write exceeds `timeout` seconds; never returns."""
        while True:
            await trio.sleep(timeout / CHECKS_PER_TIMEOUT)
            oldest_allowed = trio.current_time() - timeout
            for stream in list(self._open):
                if (
                    stream.write_started is not None
                    and stream.write_started < oldest_allowed
                ):
                    self._metrics.add("frontend_stalled_connections")
                    self.unregister(stream)
                    stream.close_immediately()

    def _evict_longest_idle(self) -> bool:
        if not self._idle:
            return False
        stream = next(iter(self._idle))
        self.unregister(stream)
        stream.close_immediately()
        self._metrics.add("frontend_evicted_connections")
        return True

    def _update_gauge(self) -> None:
        self._metrics.set_gauge("frontend_connections", len(self._open))
        self._metrics.set_gauge("intake_bytes", self.memory.used)
        self._metrics.set_gauge("intake_limit_bytes", self.memory.limit)
        self._metrics.set_gauge("intake_refused", self.memory.refused)
        self._metrics.set_gauge("intake_closed", self.memory.closed)

    async def reject(self, stream: trio.SocketStream) -> None:
        """Send a rejection, unless too many are in progress, and close."""
        if self._active_rejections < MAX_CONCURRENT_REJECTIONS:
            self._active_rejections += 1
            try:
                await self._send_rejection(stream)
            finally:
                self._active_rejections -= 1
        await trio.aclose_forcefully(stream)

    async def _send_rejection(self, stream: trio.SocketStream) -> None:
        with trio.move_on_after(REJECTION_TIMEOUT):
            try:
                await stream.send_all(self._rejection)
                await stream.send_eof()
                await _discard_input(stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass


async def _discard_input(stream: trio.SocketStream) -> None:
    # Closing a socket with unread input resets the connection, and the caller
    # would see an error instead of the rejection.
    while await stream.receive_some(4096):
        pass


def _encode_rejection() -> bytes:
    reason = "this host serves as many connections as it may"
    failure = Failure(ResultCode.TOO_MANY_CONNECTIONS, reason, RETRY_AFTER)
    # The request was not read, so its outcome is unknown.
    return _encode_answer("429 Too Many Requests", failure, Outcome.UNKNOWN)


def _encode_overload() -> bytes:
    failure = Failure(ResultCode.HOST_OVERLOADED, "no memory left", RETRY_AFTER)
    # An earlier submission of the key may be running on another host.
    return _encode_answer("503 Service Unavailable", failure, Outcome.UNKNOWN)


def _encode_answer(status: str, failure: Failure, outcome: Outcome) -> bytes:
    body = msgspec.json.encode(make_problem(failure, outcome=outcome))
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: {PROBLEM_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\nRetry-After: {RETRY_AFTER}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


OVERLOAD_ANSWER = _encode_overload()
