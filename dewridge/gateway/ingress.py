"""Connections of callers: requests are read within bounds and answered in order."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import h11
import trio
from loguru import logger as log

from dewridge.codes import CODE_TABLE, ResultCode
from dewridge.gateway.model import AccountKey, AttemptKey, CallerRequest, Limits
from dewridge.gateway.responder import CallerGoneError, Responder
from dewridge.http1.headers import find_framing_fault
from dewridge.http1.sockets import has_input
from dewridge.platform.headers import parse_request_headers
from dewridge.sentinels import Failure

Serve = Callable[[CallerRequest, Responder], Awaitable[None]]

RECEIVE_BYTES = 32_768
PIPELINED_BYTES = 65_536
"""Bytes that a caller may send ahead while it waits for an answer; past this its
connection is not read on, so that it can't fill the host's memory."""
LONGEST_PATIENCE = 60.0
"""Seconds that a caller counts as waiting when it does not say how long."""
LINGER = 0.5
"""Seconds for a caller to take an early answer while it may still be sending."""


@dataclass
class IngressState:
    """What all connections of callers share.

    Attributes:
        limits: bounds in force.
        idle_timeout: seconds an idle connection is kept: the longest of the last
            two versions, since a caller may still act on the one before.
        is_leaving: answers ask callers to close their connections.
        closes_idle: idle connections are closed at once.
        connections: open connections.
        requests: requests being read or answered.
        connection_limit: connections at once; bounded by descriptors.
    """

    limits: Limits
    connection_limit: int
    idle_timeout: float = 15.0
    is_leaving: bool = False
    closes_idle: bool = False
    connections: int = 0
    requests: int = 0
    _waiting: set[trio.CancelScope] = field(default_factory=set)

    def close_idle(self) -> None:
        """Close all connections that wait for a request, now and from now on."""
        self.closes_idle = True
        for scope in self._waiting:
            scope.cancel()

    @contextmanager
    def wait_idle(self, seconds: float) -> Iterator[None]:
        """Wait for a request's first byte at most so long, or until idle ones end."""
        with trio.move_on_after(seconds) as scope:
            self._waiting.add(scope)
            try:
                yield
            finally:
                self._waiting.discard(scope)


class _EndedError(Exception):
    """The connection has nothing more to give."""


class CallerConnection:
    """Owns one connection from its acceptance to its end."""

    def __init__(
        self, stream: trio.SocketStream, shared: IngressState, serve: Serve
    ) -> None:
        self._stream = stream
        self._shared = shared
        self._serve = serve
        self._state = self._make_state()

    def _make_state(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._shared.limits.head_bytes
        )

    async def run(self) -> None:
        """Answer requests until the connection ends."""
        try:
            while await self._answer_one():
                self._state.start_next_cycle()
        except (_EndedError, CallerGoneError):
            return

    async def _answer_one(self) -> bool:
        await self._wait_for_first_byte()
        self._shared.requests += 1
        try:
            return await self._read_and_answer()
        finally:
            self._shared.requests -= 1

    async def _read_and_answer(self) -> bool:
        arrived_at = trio.current_time()
        request = await self._read_request(arrived_at)
        closes = self._shared.is_leaving or isinstance(request, Failure)
        responder = Responder(self._stream, self._state, closes=closes)
        if isinstance(request, Failure):
            log.bind(code=request.code.name, reason=request.reason).info("unreadable")
            await send_failure(responder, request)
            await self._linger()
            return False
        await self._serve_watched(request, responder)
        return (
            responder.is_finished
            and self._state.our_state is h11.DONE
            and self._state.their_state is h11.DONE
        )

    async def _wait_for_first_byte(self) -> None:
        if self._state.trailing_data[0]:
            return
        if not await self._wait_idle():
            # A request that came while the process was busy or stood still lies in
            # the kernel. Closed now, the connection would be reset, and its caller
            # cut off without a line in the log.
            if not has_input(self._stream.socket):
                raise _EndedError
            await self._receive()

    async def _wait_idle(self) -> bool:
        """Wait for input while the connection may be idle; whether any came."""
        if self._shared.closes_idle:
            return False
        # The timeout may grow meanwhile with a new version of the configuration.
        began = trio.current_time()
        while (left := began + self._shared.idle_timeout - trio.current_time()) > 0:
            with self._shared.wait_idle(left):
                await self._receive()
                return True
            if self._shared.closes_idle:
                break
        return False

    async def _receive(self) -> None:
        try:
            data = await self._stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise _EndedError from error
        if not data:
            raise _EndedError
        self._state.receive_data(bytes(data))

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._state.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if self._state.they_are_waiting_for_100_continue:
                head = h11.InformationalResponse(status_code=100, headers=[])
                await self._stream.send_all(self._state.send(head) or b"")
            await self._receive()

    async def _read_request(self, arrived_at: float) -> CallerRequest | Failure:
        limits = self._shared.limits
        event = None
        try:
            with trio.move_on_after(limits.head_timeout):
                event = await self._next_event()
            if event is None:
                return Failure(ResultCode.HEAD_TOO_SLOW, "the head is not complete")
            if not isinstance(event, h11.Request):
                raise _EndedError
            headers = list(event.headers)
            fault = find_head_fault(event, limits)
            if fault is not None:
                return fault
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
        pieces: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(pieces)
            if not isinstance(event, h11.Data):
                raise _EndedError
            size += len(event.data)
            if size > self._shared.limits.body_bytes:
                return Failure(ResultCode.BODY_TOO_LARGE, "the body is too large")
            pieces.append(bytes(event.data))

    async def _linger(self) -> None:
        # A close with unread bytes resets the connection, and the caller may lose
        # the answer that tells it what was wrong.
        with trio.move_on_after(LINGER):
            try:
                await self._stream.send_eof()
                while await self._stream.receive_some(RECEIVE_BYTES):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    async def _serve_watched(self, request: CallerRequest, out: Responder) -> None:
        # A caller that has gone shows only on a read. Unless its request is stopped
        # then, a backend server works on for nobody.
        is_gone = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_caller, nursery.cancel_scope)
            try:
                await self._serve(request, out)
            except CallerGoneError:
                is_gone = True
            nursery.cancel_scope.cancel()
        if is_gone:
            raise _EndedError

    async def _watch_caller(self, scope: trio.CancelScope) -> None:
        sent_ahead = 0
        while sent_ahead < PIPELINED_BYTES:
            try:
                data = await self._stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                scope.cancel()
                return
            sent_ahead += len(data)
            self._state.receive_data(bytes(data))


def find_head_fault(head: h11.Request, limits: Limits) -> Failure | None:
    """Return why a request can't be read on, if so."""
    if measure_head(head) > limits.head_bytes:
        return Failure(ResultCode.HEAD_TOO_LARGE, "the head is too large")
    fault = find_framing_fault(list(head.headers))
    return Failure(ResultCode.MALFORMED_REQUEST, fault) if fault else None


def measure_head(head: h11.Request) -> int:
    """Return the bytes of a request's head on the wire.

    The library bounds only heads that are not complete: one that arrives at once may
    be as large as a read.
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
    marks = parse_request_headers(headers)
    if isinstance(marks, str):
        return Failure(ResultCode.MALFORMED_REQUEST, marks)
    if not head.target.startswith(b"/"):
        return Failure(ResultCode.MALFORMED_REQUEST, "the target is no path")
    host = next((value for name, value in headers if name == b"host"), b"")
    patience = (
        LONGEST_PATIENCE if marks.caller_timeout is None else marks.caller_timeout
    )
    return CallerRequest(
        id=AttemptKey(marks.id),
        method=head.method,
        target=head.target,
        hostname=host.partition(b":")[0].decode("latin-1").lower(),
        headers=tuple(headers),
        body=body,
        key=AccountKey(marks.key),
        sizes=marks.sizes,
        last_event=marks.last_event_id,
        arrived_at=arrived_at,
        deadline=arrived_at + patience,
    )


async def send_failure(responder: Responder, failure: Failure) -> None:
    """Answer a request with a failure of this system's own."""
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    if failure.retry_after is not None:
        headers.append((b"retry-after", f"{failure.retry_after:.3f}".encode()))
    text = f"{failure.code.name}: {failure.reason}\n".encode("ascii", "replace")
    await responder.send_whole(CODE_TABLE[failure.code].http_status, headers, text)


async def handle_caller(
    stream: trio.SocketStream, shared: IngressState, serve: Serve
) -> None:
    """Run one accepted connection; a fault ends it alone."""
    if shared.connections >= shared.connection_limit:
        stream.socket.close()
        log.bind(open=shared.connections).warning("connection refused: too many")
        return
    shared.connections += 1
    try:
        await CallerConnection(stream, shared, serve).run()
    except Exception as error:
        # One connection's fault must not end the process: all others would be cut.
        log.opt(exception=error).error("connection failed")
    finally:
        shared.connections -= 1
        stream.socket.close()
