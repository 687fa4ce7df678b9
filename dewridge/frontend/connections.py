"""Limits on caller connections: their number and how long a write may stall."""

import msgspec
import trio

from dewridge.codes import Outcome, ResultCode
from dewridge.frontend.problems import PROBLEM_TYPE, make_problem
from dewridge.http1.sockets import has_input
from dewridge.metrics.registry import Metrics
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


class TimedStream:
    """A connection that records how long its current write has lasted.

    No error occurs when a caller stops reading or a network hop loses the
    connection: the kernel's buffer fills, and the write waits forever while the
    answer's buffers stay allocated. `ConnectionLimiter` closes a connection whose
    write takes too long; the caller can resume from the position it has reached.

    Attributes:
        write_started: when the current write began; None without one.
        is_reading: whether received input has not been delivered to the reader yet.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.socket = stream.socket
        self.write_started: float | None = None
        self.is_reading = False

    async def send_all(self, data: bytes) -> None:
        """Send all data and record when the write started."""
        # Every token of every stream is written here, so stalled writes are found
        # by a periodic check of all connections instead of a timeout per write.
        self.write_started = trio.current_time()
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
            return bytes(await self._stream.receive_some(limit))
        finally:
            self.is_reading = False

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

    def __init__(self, limit: int, metrics: Metrics) -> None:
        self._limit = limit
        self._metrics = metrics
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
        self._update_gauge()

    def record_idle(self, stream: TimedStream, is_idle: bool) -> None:
        """Record whether a connection is idle, that is without a request."""
        self._idle.pop(stream, None)
        if is_idle and stream in self._open:
            self._idle[stream] = None
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
    body = msgspec.json.encode(make_problem(failure, outcome=Outcome.UNKNOWN))
    head = (
        f"HTTP/1.1 429 Too Many Requests\r\nContent-Type: {PROBLEM_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\nRetry-After: {RETRY_AFTER}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body
