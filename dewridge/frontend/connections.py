"""Connections of callers: how many, and how long one may stall."""

import msgspec
import trio

from dewridge.codes import Outcome, ResultCode
from dewridge.frontend.problems import PROBLEM_TYPE, make_problem
from dewridge.http1.sockets import has_input
from dewridge.metrics.registry import Metrics
from dewridge.sentinels import Failure

REJECTION_TIMEOUT = 0.5
"""Seconds for telling a caller that there is no room; it costs a task meanwhile."""
MAX_CONCURRENT_REJECTIONS = 128
"""Callers told so at once; beyond it a flood's connections are closed unanswered."""
RETRY_AFTER = 1
INPUT_POLL_INTERVAL = 0.005
"""Seconds between two looks whether input that has come was read; reading it takes a
turn of the process, and it is looked for at a connection's end only."""
CHECKS_PER_TIMEOUT = 4
"""How often stalled writes are looked for; one lasts a quarter too long at most."""


class TimedStream:
    """A connection whose writes must get on.

    A caller that stops reading, or that a hop has lost track of, raises no
    error: the kernel's buffer fills and the write waits for ever, and with it
    the answer's buffers. The gate closes a connection whose write lasts too
    long; the caller may resume from the place that it has reached.

    Attributes:
        write_started: when the write under way began; None without one.
        is_reading: whether input has come that its reader has not been given yet.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.socket = stream.socket
        self.write_started: float | None = None
        self.is_reading = False

    async def send_all(self, data: bytes) -> None:
        """Send all."""
        # One look at all connections now and then, in place of a timeout about
        # each write: every token of every stream is written here.
        self.write_started = trio.current_time()
        try:
            await self._stream.send_all(data)
        finally:
            self.write_started = None

    async def receive_some(self, limit: int) -> bytes:
        """Receive what there is."""
        # Between taking input from the kernel and handing it on, other tasks run. One
        # that closes connections without a request must see that there is input.
        if self.socket.fileno() < 0:
            raise trio.ClosedResourceError("the connection is closed")
        await trio.lowlevel.wait_readable(self.socket)
        self.is_reading = True
        try:
            return bytes(await self._stream.receive_some(limit))
        finally:
            self.is_reading = False

    async def wait_input_delivered(self) -> None:
        """Wait until all that has come was given to its reader."""
        while True:
            if not self.is_reading and not has_input(self.socket):
                return
            await trio.sleep(INPUT_POLL_INTERVAL)

    async def send_eof(self) -> None:
        """Say that nothing more will be sent."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def close_immediately(self) -> None:
        """Close the connection; whoever reads or writes it is told."""
        self._stream.socket.close()


class ConnectionLimiter:
    """Bounds the connections open at once.

    Made for a flood of connections. Each costs memory before its token is
    known, so without a bound a flood would end the process and every answer in
    flight with it. At the bound the connection that has been without a request
    the longest makes room: callers who keep one open come back at no loss, and
    connections that are only held can't shut out those that work. If all work,
    a new one is told when to come back.
    """

    def __init__(self, limit: int, metrics: Metrics) -> None:
        self._limit = limit
        self._metrics = metrics
        self._open: set[TimedStream] = set()
        self._idle: dict[TimedStream, None] = {}  # the longest idle first
        self._fresh: set[TimedStream] = set()
        self._turning_away = 0
        self._refusal = _write_refusal()

    def register(self, stream: TimedStream) -> bool:
        """Take in one more connection; False if there is no room."""
        if len(self._open) >= self._limit and not self._close_longest_idle():
            self._metrics.add("frontend_refused_connections")
            return False
        self._open.add(stream)
        self._idle[stream] = None
        self._fresh.add(stream)
        self._note_count()
        return True

    def unregister(self, stream: TimedStream) -> None:
        """Take out a connection."""
        self._open.discard(stream)
        self._fresh.discard(stream)
        self._idle.pop(stream, None)
        self._note_count()

    def record_idle(self, stream: TimedStream, idle: bool) -> None:
        """Record that a connection is without a request, or has one now."""
        self._idle.pop(stream, None)
        if idle and stream in self._open:
            self._idle[stream] = None
        if not idle:
            self._fresh.discard(stream)

    def has_active_request(self, stream: TimedStream) -> bool:
        """Whether a request of a connection has begun and is not answered."""
        return stream in self._open and stream not in self._idle

    def count_unused(self) -> int:
        """Return how many connections have not had a request yet."""
        return len(self._fresh)

    def count_open(self) -> int:
        """Return how many connections there are."""
        return len(self._open)

    async def close_stalled(self, timeout: float) -> None:
        """Close connections whose callers take nothing for so long; runs on."""
        while True:
            await trio.sleep(timeout / CHECKS_PER_TIMEOUT)
            latest = trio.current_time() - timeout
            for stream in list(self._open):
                if stream.write_started is not None and stream.write_started < latest:
                    self._metrics.add("frontend_stalled_connections")
                    self.unregister(stream)
                    stream.close_immediately()

    def _close_longest_idle(self) -> bool:
        if not self._idle:
            return False
        stream = next(iter(self._idle))
        self.unregister(stream)
        stream.close_immediately()
        self._metrics.add("frontend_evicted_connections")
        return True

    def _note_count(self) -> None:
        self._metrics.set_gauge("frontend_connections", len(self._open))

    async def reject(self, stream: trio.SocketStream) -> None:
        """Tell a caller that there is no room, and close."""
        if self._turning_away < MAX_CONCURRENT_REJECTIONS:
            self._turning_away += 1
            try:
                await self._send_refusal(stream)
            finally:
                self._turning_away -= 1
        await trio.aclose_forcefully(stream)

    async def _send_refusal(self, stream: trio.SocketStream) -> None:
        with trio.move_on_after(REJECTION_TIMEOUT):
            try:
                await stream.send_all(self._refusal)
                await stream.send_eof()
                await _drop_input(stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass


async def _drop_input(stream: trio.SocketStream) -> None:
    # Closing with input unread resets the connection, and the caller would see
    # an error in place of the refusal.
    while await stream.receive_some(4096):
        pass


def _write_refusal() -> bytes:
    reason = "this host serves as many connections as it may"
    failure = Failure(ResultCode.TOO_MANY_CONNECTIONS, reason, RETRY_AFTER)
    # What the caller asked was not read, so nothing is known of its request.
    body = msgspec.json.encode(make_problem(failure, outcome=Outcome.UNKNOWN))
    head = (
        f"HTTP/1.1 429 Too Many Requests\r\nContent-Type: {PROBLEM_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\nRetry-After: {RETRY_AFTER}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body
