"""Caller connections: reads requests within limits and answers them in order."""

import os
import random
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import h11
import trio
from loguru import logger as log

from dewridge.codes import CODE_TABLE, ResultCode
from dewridge.gateway.intake.listeners import (
    RECEIVE_SIZE_BYTES,
    Endpoint,
    compute_head_bytes,
    compute_parts_bytes,
    wait_for_room,
)
from dewridge.gateway.model import AccountKey, AttemptKey, CallerRequest, Limits
from dewridge.gateway.responder import CallerDisconnectedError, Responder
from dewridge.http1.headers import find_framing_fault
from dewridge.http1.sockets import (
    RECEIVE_BUFFER_BYTES,
    has_input,
    receive_some,
    send_all,
)
from dewridge.intakelog import IntakeLog
from dewridge.platform.headers import parse_request_headers
from dewridge.policy.memorybudget import (
    ConnectionPlaces,
    ConnectionStage,
    ConnectionUse,
    MemoryBudget,
    Room,
)
from dewridge.sentinels import Failure

RequestHandler = Callable[[CallerRequest, Responder], Awaitable[None]]

MAX_PIPELINED_BYTES = 32_768
"""Bytes that a caller may pipeline while it waits for an answer. Beyond this its
connection is not read, so that it can't fill the host's memory."""
DEFAULT_MEMORY_BYTES = 160_000_000
"""Bytes that connections may make the process hold if no settings say so."""
CONNECTION_BYTES = 24_576
"""Memory of an open connection: its socket, its tasks and its protocol state."""
EVENTS_PER_TURN = 64
"""Parts of a body, or lines of a head, that are parsed before others have their turn.
They take less than a millisecond."""
DEFAULT_DEADLINE_SECONDS = 60.0
"""Seconds until the deadline of a request that does not state one."""
LINGER_SECONDS = 0.5
"""Seconds for a caller to read an early answer while it may still be sending."""
MAX_LINGERING = 64
"""Connections that linger at once. More would use up the descriptors of others."""
OVERLOAD_RETRY_AFTER = 1.0
"""Mean seconds after which a refused caller may return: connections that make no
progress are closed within that time."""
MAX_REASON_CHARS = 200
"""Characters of a parser's message, which quotes what the caller sent."""


@dataclass
class IngressState:
    """State shared by all caller connections.

    Attributes:
        limits: size and time limits in force.
        connection_limit: maximum number of open connections; bounded by the file
            descriptors of the process.
        idle_timeout: seconds after which an idle connection is closed: the longer of
            the last two configuration versions, as a caller may still rely on the
            previous one.
        is_leaving: whether answers ask callers to close their connections.
        closes_idle: whether connections are closed as soon as they are idle. New ones
            still get an answer to their first request.
        connections: number of open connections.
        requests: number of requests being read or answered.
        memory: what all connections of the process may make it hold.
        parsing: is passed on from one connection with much to parse to the next, so
            that others run in between.
        log: reports refusals and closed connections.
        lingering: number of connections that wait for callers to read an early answer.
        endpoint: the listener of connections for which no other one is given.
    """

    limits: Limits
    connection_limit: int
    idle_timeout: float = 15.0
    is_leaving: bool = False
    closes_idle: bool = False
    connections: int = 0
    requests: int = 0
    memory: MemoryBudget = field(
        default_factory=lambda: MemoryBudget(DEFAULT_MEMORY_BYTES)
    )
    parsing: trio.Lock = field(default_factory=trio.Lock)
    log: IntakeLog = field(default_factory=IntakeLog)
    lingering: int = 0
    endpoint: Endpoint = field(init=False)
    _idle_scopes: set[trio.CancelScope] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Create the endpoint of connections for which no other one is given."""
        self.endpoint = Endpoint(ConnectionPlaces("callers", self.connection_limit))

    @property
    def buffer_bytes(self) -> int:
        """Bytes of one connection's input that is not parsed, here and in the kernel.

        Reserved for each request, since the process may be too busy to read.
        """
        return RECEIVE_BUFFER_BYTES + max(MAX_PIPELINED_BYTES, self.limits.head_bytes)

    def close_idle_connections(self) -> None:
        """Close all idle connections, including those that become idle later.

        Connections without a request yet stay open: their callers may be sending it,
        and would not learn that it was not run.
        """
        self.closes_idle = True
        for scope in self._idle_scopes:
            scope.cancel()

    @contextmanager
    def limit_idle_wait(self, seconds: float, *, is_new: bool) -> Iterator[None]:
        """Limit the wait of the `with` body by time and by `close_idle_connections`."""
        with trio.move_on_after(seconds) as scope:
            if not is_new:
                self._idle_scopes.add(scope)
            try:
                yield
            finally:
                self._idle_scopes.discard(scope)


WAITING_STAGES = (ConnectionStage.NEW, ConnectionStage.IDLE)


class _ConnectionEndedError(Exception):
    """The caller's connection has ended."""


class _NoRoomError(Exception):
    """The process holds as much as it may."""


class CallerConnection:
    """Serves one accepted connection until it ends.

    Attributes:
        use: what it makes the process hold.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        ingress: IngressState,
        handler: RequestHandler,
        endpoint: Endpoint,
    ) -> None:
        self._stream = stream
        self._ingress = ingress
        self._handler = handler
        self._endpoint = endpoint
        self._memory = endpoint.memory or ingress.memory
        self._state = self._make_protocol_state()
        self._body = bytearray()
        self._body_reserved = 0
        self._is_new = True
        self._is_given_up = False
        self._input_scope: trio.CancelScope | None = None
        self.use = ConnectionUse(self._give_up, advanced_at=trio.current_time())

    def _make_protocol_state(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._ingress.limits.head_bytes
        )

    def _give_up(self) -> bool:
        """Give the connection up for others, unless input has come meanwhile."""
        stage = self.use.stage
        if stage in WAITING_STAGES and has_input(self._stream.socket):
            return False
        self._is_given_up = True
        self._body.clear()
        self._ingress.log.record("closed", self._endpoint.name, stage.value)
        if self._input_scope is None:
            # An answer that its caller does not read can only be cut.
            self._stream.socket.close()
        else:
            self._input_scope.cancel()
        return True

    async def run(self) -> None:
        """Answer requests until the connection ends."""
        try:
            while await self._serve_next_request():
                self._state.start_next_cycle()
                self._settle(ConnectionStage.IDLE, CONNECTION_BYTES)
        except (_ConnectionEndedError, CallerDisconnectedError):
            return

    def _settle(self, stage: ConnectionStage, size: int) -> None:
        """Enter a stage in which the connection holds no more than some bytes."""
        self.use.enter(stage, trio.current_time())
        self._memory.release(self.use, max(0, self.use.size - size))

    async def _serve_next_request(self) -> bool:
        with trio.CancelScope() as self._input_scope:
            await self._wait_for_first_byte()
        if self._is_given_up:
            return False
        self._is_new = False
        self._ingress.requests += 1
        try:
            return await self._read_and_answer()
        finally:
            self._ingress.requests -= 1

    async def _read_and_answer(self) -> bool:
        arrived_at = trio.current_time()
        self.use.enter(ConnectionStage.READING, arrived_at)
        request: CallerRequest | Failure = make_overload_failure()
        with trio.CancelScope() as self._input_scope:
            request = await self._read_request(arrived_at)
        self._input_scope = None
        if self._is_given_up:
            request = make_overload_failure()
        is_invalid = isinstance(request, Failure)
        responder = Responder(
            self._stream,
            self._state,
            lambda: is_invalid or self._asks_close(),
            self.use,
        )
        if isinstance(request, Failure):
            await self._refuse(request, responder)
            return False
        self.use.enter(ConnectionStage.SERVING, trio.current_time())
        await self._serve_until_disconnect(request, responder)
        return (
            responder.is_finished
            and not self._is_given_up
            and self._state.our_state is h11.DONE
            and self._state.their_state is h11.DONE
        )

    async def _refuse(self, failure: Failure, responder: Responder) -> None:
        """Answer a request that is not served, and end the connection."""
        if failure.code is ResultCode.HOST_OVERLOADED:
            self._ingress.log.record("refused", self._endpoint.name, failure.reason)
        else:
            log.bind(code=failure.code.name, reason=failure.reason).info(
                "invalid request rejected"
            )
        self._body.clear()
        self._body_reserved = 0
        self._settle(ConnectionStage.SERVING, CONNECTION_BYTES)
        await send_failure(responder, failure)
        await linger(self._stream, self._ingress)

    def _asks_close(self) -> bool:
        """Return whether the next answer is the last one on the connection.

        A pipelined request that was read already is answered first.
        """
        return self._ingress.is_leaving and not self._state.trailing_data[0]

    async def _wait_for_first_byte(self) -> None:
        if self._state.trailing_data[0]:
            return
        if not await self._wait_for_input():
            # A request that arrived while the process was busy or suspended may still
            # be in the kernel's buffer. Closing now would reset the connection, and the
            # caller would get no answer and the log no line for the request.
            if not has_input(self._stream.socket):
                raise _ConnectionEndedError
            await self._receive()

    async def _wait_for_input(self) -> bool:
        """Wait for input up to the idle timeout; return whether any arrived."""
        if self._closes_idle():
            return False
        # A new configuration version may raise the timeout during the wait.
        started_at = trio.current_time()
        while (
            time_left := started_at + self._ingress.idle_timeout - trio.current_time()
        ) > 0:
            with self._ingress.limit_idle_wait(time_left, is_new=self._is_new):
                await self._receive()
                return True
            if self._closes_idle():
                break
        return False

    def _closes_idle(self) -> bool:
        return self._ingress.closes_idle and not self._is_new

    async def _receive(self) -> int:
        """Receive input; return how many lines it has."""
        try:
            data = await receive_some(self._stream, RECEIVE_SIZE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise _ConnectionEndedError from error
        if not data:
            raise _ConnectionEndedError
        self.use.advance(len(data), trio.current_time())
        self._state.receive_data(data)
        return data.count(b"\n")

    def _reserve(self, size: int) -> None:
        """Count bytes that the request will hold.

        Raises:
            _NoRoomError: the process holds as much as it may.
        """
        if not self._memory.reserve(self.use, size, trio.current_time()):
            raise _NoRoomError

    async def _take_turn(self) -> None:
        """Let others run, and of those with much to parse only one."""
        async with self._ingress.parsing:
            pass

    async def _read_head(self) -> h11.Request:
        lines = self._state.trailing_data[0].count(b"\n")
        while True:
            if lines > EVENTS_PER_TURN:
                await self._take_turn()
            event = self._state.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                raise _ConnectionEndedError
            lines += await self._receive()

    async def _read_request(self, arrived_at: float) -> CallerRequest | Failure:
        try:
            self._reserve(self._ingress.buffer_bytes)
            head = await self._read_valid_head()
            if isinstance(head, Failure):
                return head
            body: bytes | Failure
            body = Failure(ResultCode.HEAD_TOO_SLOW, "the body is not complete")
            with trio.move_on_after(self._ingress.limits.idle_timeout):
                body = await self._read_body()
            if isinstance(body, Failure):
                return body
            request = _make_request(head, body, arrived_at)
            if isinstance(request, CallerRequest):
                self._reserve(compute_parts_bytes(request.sizes))
            return request
        except h11.RemoteProtocolError as error:
            reason = str(error)[:MAX_REASON_CHARS]
            if error.error_status_hint == 431:
                return Failure(ResultCode.HEAD_TOO_LARGE, reason)
            return Failure(ResultCode.MALFORMED_REQUEST, reason)
        except _NoRoomError:
            return make_overload_failure()

    async def _read_valid_head(self) -> "RequestHead | Failure":
        """Read a head; refuse the request at once if it says that it can't be served.

        Raises:
            _NoRoomError: the process holds as much as it may.
        """
        limits = self._ingress.limits
        event = None
        with trio.move_on_after(limits.head_timeout):
            event = await self._read_head()
        if event is None:
            return Failure(ResultCode.HEAD_TOO_SLOW, "the head is not complete")
        head = RequestHead(event.method, event.target, tuple(event.headers))
        # The parser's form of the headers takes as much again.
        del event
        self._reserve(compute_head_bytes(head.headers))
        failure = find_head_failure(head, limits) or self._endpoint.check_head(
            head.headers
        )
        if failure is not None:
            return failure
        length = find_body_length(head.headers)
        if length > limits.body_bytes:
            return Failure(ResultCode.BODY_TOO_LARGE, "the body is too large")
        has_room = self._memory.has_room
        if self._endpoint.keeps_bodies and not has_room(
            self.use, length, trio.current_time()
        ):
            raise _NoRoomError
        return head

    async def _read_body(self) -> bytes | Failure:
        size = 0
        parts = 0
        while True:
            event = self._state.next_event()
            if event is h11.NEED_DATA:
                await self._receive_body()
                parts = 0
                continue
            if isinstance(event, h11.EndOfMessage):
                return self._take_body()
            if not isinstance(event, h11.Data):
                raise _ConnectionEndedError
            size += len(event.data)
            if size > self._ingress.limits.body_bytes:
                return Failure(ResultCode.BODY_TOO_LARGE, "the body is too large")
            if self._endpoint.keeps_bodies:
                self._body += event.data
            parts += 1
            if parts % EVENTS_PER_TURN == 0:
                await self._take_turn()

    async def _receive_body(self) -> None:
        """Receive a part of a body, which is counted before it is read."""
        if self._state.they_are_waiting_for_100_continue:
            head = h11.InformationalResponse(status_code=100, headers=[])
            await send_all(self._stream, self._state.send(head) or b"")
        self._reserve_body(len(self._body) + RECEIVE_SIZE_BYTES)
        await self._receive()

    def _reserve_body(self, size: int) -> None:
        if not self._endpoint.keeps_bodies:
            return
        if size > self._body_reserved:
            self._reserve(size - self._body_reserved)
        else:
            self._memory.release(self.use, self._body_reserved - size)
        self._body_reserved = size

    def _take_body(self) -> bytes:
        body = bytes(self._body)
        self._body = bytearray()
        self._reserve_body(len(body))
        self._body_reserved = 0
        return body

    async def _serve_until_disconnect(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        # Only a read shows that the caller has disconnected. The request is cancelled
        # then, so that no backend server keeps working on an answer nobody reads.
        is_disconnected = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._detect_disconnect, nursery.cancel_scope)
            try:
                await self._handler(request, responder)
            except CallerDisconnectedError:
                is_disconnected = True
            nursery.cancel_scope.cancel()
        if is_disconnected:
            raise _ConnectionEndedError

    async def _detect_disconnect(self, scope: trio.CancelScope) -> None:
        pipelined_bytes = 0
        while pipelined_bytes < MAX_PIPELINED_BYTES:
            try:
                data = await receive_some(
                    self._stream, MAX_PIPELINED_BYTES - pipelined_bytes
                )
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                scope.cancel()
                return
            pipelined_bytes += len(data)
            self._state.receive_data(data)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]


def find_head_failure(head: RequestHead, limits: Limits) -> Failure | None:
    """Return why a request's head is rejected; None if it is valid."""
    if compute_head_size(head) > limits.head_bytes:
        return Failure(ResultCode.HEAD_TOO_LARGE, "the head is too large")
    fault = find_framing_fault(list(head.headers))
    return Failure(ResultCode.MALFORMED_REQUEST, fault) if fault else None


def compute_head_size(head: RequestHead) -> int:
    """Return the size in bytes of a request's head on the wire.

    The h11 library limits only incomplete heads; a head that arrives in a single read
    may be as large as the read buffer.
    """
    size = len(head.method) + len(head.target) + len(b"  HTTP/1.1\r\n\r\n")
    for name, value in head.headers:
        size += len(name) + len(value) + len(b":\r\n")
    return size


def find_body_length(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the length that a head announces for the body; 0 if it announces none."""
    length = next((value for name, value in headers if name == b"content-length"), b"0")
    return int(length) if length.isdigit() else 0


def make_overload_failure() -> Failure:
    """Return the refusal of a request for which the process has no room."""
    wait = OVERLOAD_RETRY_AFTER * random.uniform(0.5, 1.5)
    return Failure(ResultCode.HOST_OVERLOADED, "no room", wait)


def _make_request(
    head: RequestHead, body: bytes, arrived_at: float
) -> CallerRequest | Failure:
    headers = list(head.headers)
    parsed = parse_request_headers(headers)
    if isinstance(parsed, str):
        return Failure(ResultCode.MALFORMED_REQUEST, parsed)
    if not head.target.startswith(b"/"):
        return Failure(ResultCode.MALFORMED_REQUEST, "the target is no path")
    host = next((value for name, value in headers if name == b"host"), b"")
    caller_timeout = (
        DEFAULT_DEADLINE_SECONDS
        if parsed.caller_timeout is None
        else parsed.caller_timeout
    )
    return CallerRequest(
        id=AttemptKey(parsed.id),
        method=head.method,
        target=head.target,
        hostname=host.partition(b":")[0].decode("latin-1").lower(),
        headers=head.headers,
        body=body,
        key=AccountKey(parsed.key),
        sizes=parsed.sizes,
        last_event=parsed.last_event_id,
        arrived_at=arrived_at,
        deadline=arrived_at + caller_timeout,
        resumed_attempt=parsed.resumed_attempt,
    )


async def send_failure(responder: Responder, failure: Failure) -> None:
    """Answer a request with a failure reported by the gateway itself."""
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    if failure.retry_after is not None:
        headers.append((b"retry-after", f"{failure.retry_after:.3f}".encode()))
    text = f"{failure.code.name}: {failure.reason}\n".encode("ascii", "replace")
    await responder.send_complete(CODE_TABLE[failure.code].http_status, headers, text)


async def linger(stream: trio.SocketStream, ingress: IngressState) -> None:
    """Wait until a caller has read an early answer.

    Closing with unread input resets the connection, and the caller may lose the answer
    that reports the error.
    """
    if ingress.lingering >= MAX_LINGERING:
        return
    ingress.lingering += 1
    try:
        with trio.move_on_after(LINGER_SECONDS):
            await stream.send_eof()
            while await stream.receive_some(RECEIVE_SIZE_BYTES):
                pass
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
    finally:
        ingress.lingering -= 1


async def serve_connection(
    stream: trio.SocketStream,
    ingress: IngressState,
    handler: RequestHandler,
    endpoint: Endpoint | None = None,
) -> None:
    """Serve one accepted connection; an exception ends only this connection.

    Args:
        stream: the connection.
        ingress: state shared by all connections.
        handler: answers the requests.
        endpoint: the listener that accepted it; that of `ingress` if None.
    """
    endpoint = endpoint or ingress.endpoint
    memory = endpoint.memory or ingress.memory
    connection = CallerConnection(stream, ingress, handler, endpoint)
    ingress.connections += 1
    try:
        if await _admit(connection.use, memory, endpoint):
            await connection.run()
        else:
            await _refuse_connection(stream, ingress, endpoint)
    except Exception as error:
        # Otherwise an error in one connection would end the process and all others.
        log.opt(exception=error).error("connection failed")
    finally:
        ingress.connections -= 1
        endpoint.places.remove(connection.use)
        memory.remove(connection.use)
        stream.socket.close()


async def _admit(use: ConnectionUse, memory: MemoryBudget, endpoint: Endpoint) -> bool:
    """Return whether there is room for a new connection, and count it."""
    if await wait_for_room(endpoint.places) is not Room.FREE:
        return False
    now = trio.current_time()
    use.enter(ConnectionStage.NEW, now)
    if not memory.reserve(use, CONNECTION_BYTES, now):
        return False
    endpoint.places.add(use)
    return True


async def _refuse_connection(
    stream: trio.SocketStream, ingress: IngressState, endpoint: Endpoint
) -> None:
    endpoint.places.refused += 1
    ingress.log.record("refused", endpoint.name, "connection")
    try:
        os.write(stream.socket.fileno(), encode_refusal(make_overload_failure()))
    except OSError:
        return
    await linger(stream, ingress)


def encode_refusal(failure: Failure) -> bytes:
    """Return an answer to a request that was not read, which ends the connection."""
    return (
        f"HTTP/1.1 {CODE_TABLE[failure.code].http_status} \r\n"
        f"retry-after: {failure.retry_after:.3f}\r\n"
        "content-length: 0\r\nconnection: close\r\n\r\n"
    ).encode()
