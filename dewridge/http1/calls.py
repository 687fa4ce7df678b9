"""A client for short calls to one HTTP service, with a small pool of connections."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio
from loguru import logger as log

from dewridge.http1.client import (
    ClientConnection,
    ConnectFailure,
    ConnectionBrokenError,
    Headers,
    open_connection,
)

MAX_IDLE_SECONDS = 4.0
"""Seconds for which an idle connection is reused: servers commonly keep theirs open
for longer."""
MAX_IDLE_CONNECTIONS = 3
"""Idle connections retained: two polls and a lease renewal run concurrently."""
CONNECT_TIMEOUT_SHARE = 0.5
"""Share of the call timeout allowed for connecting. The rest leaves time for a second
address of the service or a second attempt."""

MIN_PROGRESS_BYTES = 4_096
"""Bytes of a response's body that have to arrive within each call timeout. The whole of
a large body may take longer: on a slow link, cut off and started again, it would never
arrive."""
MAX_TRANSFER_SECONDS = 120.0
"""Seconds for a response's body: `MAX_RESPONSE_BYTES` at 0.1 MB/s. A body without end
that keeps arriving slowly ends then."""
MIN_UPLOAD_RATE = 100_000.0
"""Bytes per second by which a request's body extends the time until its response."""
MAX_RESPONSE_BYTES = 12 * 1024 * 1024
"""Maximum bytes of a response's body, which is held in memory as a whole."""
MAX_LOGGED_PATH = 120
"""Characters of a path in a log line."""


class CallFailure(Enum):
    """Why a call has no response."""

    NOT_SENT = "not sent"
    """The request was certainly not sent."""
    LOST = "lost"
    """The request may have been carried out."""
    TOO_LARGE = "too large"
    """The request was carried out, but the response exceeds `MAX_RESPONSE_BYTES`."""


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response of any status."""

    status: int
    body: bytes
    headers: Headers = field(default_factory=list)

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, named in lower case; None if absent."""
        return next((value for key, value in self.headers if key == name), None)


class ServiceClient:
    """Calls one service at one address."""

    def __init__(
        self,
        name: str,
        address: str,
        timeout: float,
        on_response: Callable[[str, float], None] | None = None,
        max_response_bytes: int | None = None,
    ) -> None:
        """Create a client; it connects with the first call.

        Args:
            name: of the service, for logs and metrics.
            address: `a.b.c.d:port`.
            timeout: seconds until the response to a call begins, on top of its
                long-poll time, and for each further `MIN_PROGRESS_BYTES`.
            on_response: called with the service's name and the duration in seconds of
                each answered call that is not a long poll.
            max_response_bytes: maximum bytes of a response's body;
                `MAX_RESPONSE_BYTES` if None.
        """
        self.name = name
        self._on_response = on_response
        self._max_response_bytes = max_response_bytes
        self._address = address
        self._timeout = timeout
        self._idle: deque[ClientConnection] = deque()
        self.is_up = True
        self.calls = 0
        self.failures = 0

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Headers | None = None,
        wait: float = 0.0,
        on_begin: Callable[[int | None], None] | None = None,
    ) -> Response | CallFailure:
        """Make one call.

        Args:
            method: HTTP method.
            path: path and query.
            body: JSON body; empty for none.
            headers: additional headers.
            wait: seconds for which the service may delay its response (long poll).
            on_begin: called with the length of the response's body, None if unknown,
                when its head has arrived.
        """
        self.calls += 1
        result: Response | CallFailure = CallFailure.LOST
        started_at = trio.current_time()
        allowed = self._timeout + wait + len(body) / MIN_UPLOAD_RATE
        with trio.move_on_after(allowed) as scope:
            limit = self._max_response_bytes or MAX_RESPONSE_BYTES
            progress = _Progress(scope, self._timeout, on_begin, limit)
            result = await self._exchange(method, path, body, headers or [], progress)
        if result is CallFailure.LOST and not progress.is_sent:
            result = CallFailure.NOT_SENT
        if isinstance(result, CallFailure) and progress.received:
            self._log_lost_transfer(path, progress, trio.current_time() - started_at)
        self._record_result(result)
        if isinstance(result, Response) and self._on_response is not None and not wait:
            self._on_response(self.name, trio.current_time() - started_at)
        return result

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Headers,
        progress: "_Progress",
    ) -> Response | CallFailure:
        connection = self._acquire_idle()
        if connection is None:
            opened = await open_connection(
                self._address, self._timeout * CONNECT_TIMEOUT_SHARE
            )
            if isinstance(opened, ConnectFailure):
                return CallFailure.NOT_SENT
            connection = opened
        is_reusable = False
        try:
            progress.is_sent = True
            await connection.send(
                method.encode(), path.encode(), self._add_headers(headers, body), body
            )
            response = await _receive(connection, progress)
            is_reusable = connection.finish_exchange(trio.current_time())
            return response
        except ConnectionBrokenError:
            return CallFailure.LOST
        except _TooLargeError:
            return CallFailure.TOO_LARGE
        finally:
            if is_reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
            else:
                connection.close()

    def _add_headers(self, headers: Headers, body: bytes) -> Headers:
        complete = [(b"host", self._address.encode()), *headers]
        if body:
            complete.append((b"content-type", b"application/json"))
            complete.append((b"content-length", str(len(body)).encode()))
        return complete

    def _acquire_idle(self) -> ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            limit = MAX_IDLE_SECONDS
            if connection.keep_alive_timeout is not None:
                limit = min(limit, connection.keep_alive_timeout * 0.5)
            age = trio.current_time() - connection.idle_since
            if age < limit and connection.is_open_and_idle():
                return connection
            connection.close()
        return None

    def _record_result(self, result: Response | CallFailure) -> None:
        is_up = result is CallFailure.TOO_LARGE or (
            isinstance(result, Response) and result.status < 500
        )
        if not is_up:
            self.failures += 1
            self.close_idle()
        if is_up != self.is_up:
            self.is_up = is_up
            reason = result.value if isinstance(result, CallFailure) else "status"
            log.bind(dependency=self.name, up=is_up, reason=reason).info("dependency")

    def _log_lost_transfer(
        self, path: str, progress: "_Progress", seconds: float
    ) -> None:
        log.bind(
            dependency=self.name,
            path=path[:MAX_LOGGED_PATH],
            bytes=progress.received,
            expected=progress.expected,
            seconds=round(seconds, 2),
        ).warning("transfer given up")

    def close_idle(self) -> None:
        """Close the idle connections: what broke the last one may affect them too."""
        while self._idle:
            self._idle.pop().close()


class _TooLargeError(Exception):
    """The response exceeds `MAX_RESPONSE_BYTES`."""


@dataclass
class _Progress:
    """How far a call came; extends its deadline while its response arrives.

    Attributes:
        scope: ends the call at its deadline.
        timeout: seconds allowed for each `MIN_PROGRESS_BYTES`.
        on_begin: called with the length of the response's body, None if unknown, when
            its head has arrived.
        max_bytes: maximum bytes of the body.
        is_sent: whether any of the request was sent.
        received: bytes of the response's body received so far.
        begun_at: monotonic time at which the body began.
        expected: length of that body; None if the response does not state it.
    """

    scope: trio.CancelScope
    timeout: float
    on_begin: Callable[[int | None], None] | None
    max_bytes: int
    is_sent: bool = False
    received: int = 0
    begun_at: float = 0.0
    expected: int | None = None
    _extended_at: int = 0

    def begin_body(self, expected: int | None) -> None:
        """Record the response's head."""
        self.expected = expected
        if expected is not None and expected > self.max_bytes:
            raise _TooLargeError
        self.begun_at = trio.current_time()
        self.scope.deadline = trio.current_time() + self.timeout
        if self.on_begin is not None:
            self.on_begin(expected)

    def add(self, size: int) -> None:
        """Record bytes of the response's body."""
        self.received += size
        if self.received > self.max_bytes:
            raise _TooLargeError
        if self.received - self._extended_at >= MIN_PROGRESS_BYTES:
            self._extended_at = self.received
            ends_at = self.begun_at + MAX_TRANSFER_SECONDS
            self.scope.deadline = min(ends_at, trio.current_time() + self.timeout)


async def _receive(connection: ClientConnection, progress: _Progress) -> Response:
    head = await connection.receive_head()
    length = head.find_header(b"content-length")
    progress.begin_body(int(length) if length and length.isdigit() else None)
    body = await _receive_body(connection, progress)
    return Response(head.status, body, head.headers)


async def _receive_body(connection: ClientConnection, progress: _Progress) -> bytes:
    # Objects for the parts would take many times the bytes that are counted, if each
    # part has a few bytes.
    body = bytearray()
    while (part := await connection.receive_body()) is not None:
        body += part
        progress.add(len(part))
    return bytes(body)
