"""Caller connections: reads requests within limits and answers them in order."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import h11
import trio
from loguru import logger as log

from dewridge.codes import CODE_TABLE, ResultCode
from dewridge.gateway.model import AccountKey, AttemptKey, CallerRequest, Limits
from dewridge.gateway.responder import CallerDisconnectedError, Responder
from dewridge.http1.headers import find_framing_fault
from dewridge.http1.sockets import has_input, receive_some, send_all
from dewridge.platform.headers import parse_request_headers
from dewridge.sentinels import Failure

RequestHandler = Callable[[CallerRequest, Responder], Awaitable[None]]

RECEIVE_SIZE_BYTES = 32_768
MAX_PIPELINED_BYTES = 65_536
"""Bytes that a caller may pipeline while it waits for an answer. Beyond this its
connection is not read, so that it can't fill the host's memory."""
DEFAULT_DEADLINE_SECONDS = 60.0
"""Seconds until the deadline of a request that does not state one."""
LINGER_SECONDS = 0.5
"""Seconds for a caller to read an early answer while it may still be sending."""


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
    """

    limits: Limits
    connection_limit: int
    idle_timeout: float = 15.0
    is_leaving: bool = False
    closes_idle: bool = False
    connections: int = 0
    requests: int = 0
    _idle_scopes: set[trio.CancelScope] = field(default_factory=set)

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


class _ConnectionEndedError(Exception):
    """The caller's connection has ended."""


class CallerConnection:
    """Serves one accepted connection until it ends."""

    def __init__(
        self, stream: trio.SocketStream, ingress: IngressState, handler: RequestHandler
    ) -> None:
        self._stream = stream
        self._ingress = ingress
        self._handler = handler
        self._state = self._make_protocol_state()
        self._is_new = True

    def _make_protocol_state(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._ingress.limits.head_bytes
        )

    async def run(self) -> None:
        """Answer requests until the connection ends."""
        try:
            while await self._serve_next_request():
                self._state.start_next_cycle()
        except (_ConnectionEndedError, CallerDisconnectedError):
            return

    async def _serve_next_request(self) -> bool:
        await self._wait_for_first_byte()
        self._is_new = False
        self._ingress.requests += 1
        try:
            return await self._read_and_answer()
        finally:
            self._ingress.requests -= 1

    async def _read_and_answer(self) -> bool:
        arrived_at = trio.current_time()
        request = await self._read_request(arrived_at)
        is_invalid = isinstance(request, Failure)
        responder = Responder(
            self._stream, self._state, lambda: is_invalid or self._asks_close()
        )
        if isinstance(request, Failure):
            log.bind(code=request.code.name, reason=request.reason).info(
                "invalid request rejected"
            )
            await send_failure(responder, request)
            await self._linger()
            return False
        await self._serve_until_disconnect(request, responder)
        return (
            responder.is_finished
            and self._state.our_state is h11.DONE
            and self._state.their_state is h11.DONE
        )

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

    async def _receive(self) -> None:
        try:
            data = await receive_some(self._stream, RECEIVE_SIZE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise _ConnectionEndedError from error
        if not data:
            raise _ConnectionEndedError
        self._state.receive_data(data)

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._state.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if self._state.they_are_waiting_for_100_continue:
                head = h11.InformationalResponse(status_code=100, headers=[])
                await send_all(self._stream, self._state.send(head) or b"")
            await self._receive()

    async def _read_request(self, arrived_at: float) -> CallerRequest | Failure:
        limits = self._ingress.limits
        event = None
        try:
            with trio.move_on_after(limits.head_timeout):
                event = await self._next_event()
            if event is None:
                return Failure(ResultCode.HEAD_TOO_SLOW, "the head is not complete")
            if not isinstance(event, h11.Request):
                raise _ConnectionEndedError
            headers = list(event.headers)
            failure = find_head_failure(event, limits)
            if failure is not None:
                return failure
            body: bytes | Failure
            body = Failure(ResultCode.HEAD_TOO_SLOW, "the body is not complete")
            with trio.move_on_after(limits.idle_timeout):
                body = await self._read_body()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == 431:
                return Failure(ResultCode.HEAD_TOO_LARGE, str(error))
            return Failure(ResultCode.MALFORMED_REQUEST, str(error))
        if isinstance(body, Failure):
            return body
        return _make_request(event, headers, body, arrived_at)

    async def _read_body(self) -> bytes | Failure:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise _ConnectionEndedError
            size += len(event.data)
            if size > self._ingress.limits.body_bytes:
                return Failure(ResultCode.BODY_TOO_LARGE, "the body is too large")
            parts.append(bytes(event.data))

    async def _linger(self) -> None:
        # Closing with unread input resets the connection, and the caller may lose the
        # answer that reports the error.
        with trio.move_on_after(LINGER_SECONDS):
            try:
                await self._stream.send_eof()
                while await self._stream.receive_some(RECEIVE_SIZE_BYTES):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

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
                data = await receive_some(self._stream, RECEIVE_SIZE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                scope.cancel()
                return
            pipelined_bytes += len(data)
            self._state.receive_data(data)


def find_head_failure(head: h11.Request, limits: Limits) -> Failure | None:
    """Return why a request's head is rejected; None if it is valid."""
    if compute_head_size(head) > limits.head_bytes:
        return Failure(ResultCode.HEAD_TOO_LARGE, "the head is too large")
    fault = find_framing_fault(list(head.headers))
    return Failure(ResultCode.MALFORMED_REQUEST, fault) if fault else None


def compute_head_size(head: h11.Request) -> int:
    """Return the size in bytes of a request's head on the wire.

    The h11 library limits only incomplete heads; a head that arrives in a single read
    may be as large as the read buffer.
    """
    size = len(head.method) + len(head.target) + len(b"  HTTP/1.1\r\n\r\n")
    for name, value in head.headers:
        size += len(name) + len(value) + len(b": \r\n")
    return size


def _make_request(
    head: h11.Request,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    arrived_at: float,
) -> CallerRequest | Failure:
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
        headers=tuple(headers),
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


async def serve_connection(
    stream: trio.SocketStream, ingress: IngressState, handler: RequestHandler
) -> None:
    """Serve one accepted connection; an exception ends only this connection."""
    if ingress.connections >= ingress.connection_limit:
        stream.socket.close()
        log.bind(open=ingress.connections).warning(
            "connection rejected: too many open connections"
        )
        return
    ingress.connections += 1
    try:
        await CallerConnection(stream, ingress, handler).run()
    except Exception as error:
        # Otherwise an error in one connection would end the process and all others.
        log.opt(exception=error).error("connection failed")
    finally:
        ingress.connections -= 1
        stream.socket.close()
