"""A client connection that carries one HTTP exchange after another."""

import errno
import socket
from dataclasses import dataclass
from enum import Enum

import h11
import trio
from loguru import logger as log

from dewridge.http1.sockets import (
    count_unacknowledged,
    has_input,
    receive_some,
    send_all,
)

Headers = list[tuple[bytes, bytes]]

RECEIVE_BYTES = 16_384
"""Bytes of one read: several events of a stream, or a complete short response."""

MAX_HEAD_BYTES = 65_536
"""Bytes of a response's head; a larger one is treated as malformed."""

MAX_INTERIM_HEADS = 16
"""Interim responses (1xx) before a response. Without a limit they could go on without
end, each of them valid."""

MAX_JOINED_BYTES = 16_384
"""Size of a body up to which it is sent together with its head. A copy of a larger one
would be held until the server has read it."""

MAX_STATUS = 599
"""Statuses from 600 on are invalid (RFC 9110, 15), and a caller's own client may refuse
them. The parser takes any three digits from 100 on."""

BODYLESS_STATUSES = frozenset({204, 304})
"""Statuses of responses that have no body, whatever their headers say."""

SEND_ACK_TIMEOUT_MS = 2_000
"""Milliseconds until the kernel closes a connection with unacknowledged data. On a
path that stopped responding without a reset, a write seems to succeed, and the
connection would stay open for the kernel's default of a quarter of an hour."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; None if absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ConnectionBrokenError(Exception):
    """The connection ended, or the data received is not a valid response.

    Attributes:
        is_framing_fault: whether data was received that HTTP does not allow here.
    """

    def __init__(self, reason: str, *, is_framing_fault: bool = False) -> None:
        super().__init__(reason)
        self.is_framing_fault = is_framing_fault


class ClientConnection:
    """A connection for one exchange at a time; its owner decides when to reuse it.

    Attributes:
        exchange_count: exchanges begun so far.
        idle_since: monotonic time of the end of the last exchange.
        keep_alive_timeout: seconds for which the server keeps an idle connection open;
            None if it does not say.
        is_close_delimited: whether the body of the response ends with the connection.
    """

    def __init__(self, stream: trio.SocketStream, name: str) -> None:
        self._stream = stream
        self._name = name
        self._state = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.exchange_count = 0
        self.idle_since = 0.0
        self.keep_alive_timeout: float | None = None
        self._is_body_sent = True
        self._has_write_met_reset = False
        self._method = b""
        self.is_close_delimited = False

    async def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Send a request.

        Raises:
            ConnectionBrokenError: the connection ended before all was sent; part of
                the request may have arrived.
        """
        self.exchange_count += 1
        self._is_body_sent = False
        self._method = method
        head = h11.Request(method=method, target=target, headers=headers)
        data = self._state.send(head) or b""
        if body:
            self._state.send_with_data_passthrough(h11.Data(data=body))
        self._state.send(h11.EndOfMessage())
        try:
            if len(body) <= MAX_JOINED_BYTES:
                await send_all(self._stream, data + body)
            else:
                await send_all(self._stream, data)
                await send_all(self._stream, body)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._has_write_met_reset = not _is_end_in_order(error.__cause__)
            raise ConnectionBrokenError("ended while sending") from error
        self._is_body_sent = True

    async def receive_head(self) -> ResponseHead:
        """Wait for the head of a response.

        Raises:
            ConnectionBrokenError: no valid head was received.
        """
        for _ in range(MAX_INTERIM_HEADS + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    reason = f"malformed: status {event.status_code}"
                    raise ConnectionBrokenError(reason, is_framing_fault=True)
                return self._process_head(event)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBrokenError("ended before an answer")
        reason = "too many interim responses"
        raise ConnectionBrokenError(reason, is_framing_fault=True)

    def _process_head(self, event: h11.Response) -> ResponseHead:
        head = ResponseHead(event.status_code, list(event.headers))
        self.keep_alive_timeout = parse_keep_alive_timeout(
            head.find_header(b"keep-alive")
        )
        length = head.find_header(b"content-length")
        coding = head.find_header(b"transfer-encoding")
        has_body = self._method != b"HEAD" and head.status not in BODYLESS_STATUSES
        self.is_close_delimited = has_body and length is None and coding is None
        return head

    async def receive_body(self) -> bytes | None:
        """Return the next chunk of the body; None after its end.

        Raises:
            ConnectionBrokenError: the body was interrupted.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionBrokenError("ended within an answer")

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            try:
                event = self._state.next_event()
            except h11.RemoteProtocolError as error:
                reason = f"malformed: {error}"
                raise ConnectionBrokenError(reason, is_framing_fault=True) from error
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            try:
                data = await receive_some(self._stream, RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise ConnectionBrokenError("reset") from error
            if not data and self._has_write_met_reset:
                raise ConnectionBrokenError("reset while sending")
            if not data and self.is_close_delimited and not self._is_request_read():
                # A server that closes early ends its answer and its input alike.
                raise ConnectionBrokenError("ended before the request was written")
            try:
                self._state.receive_data(data)
            except h11.RemoteProtocolError as error:
                raise ConnectionBrokenError("bytes after the end") from error

    def _is_request_read(self) -> bool:
        """Return whether all of the request has reached the server's kernel.

        An answer acknowledges all that its server has read before.
        """
        return self._is_body_sent and not count_unacknowledged(self._stream.socket)

    def finish_exchange(self, now: float) -> bool:
        """Prepare for the next exchange; False if the connection can't be reused."""
        is_received = self._state.their_state is h11.DONE
        if not (
            is_received and self._is_body_sent and self._state.our_state is h11.DONE
        ):
            return False
        if self._state.trailing_data != (b"", False):
            return False
        self._state.start_next_cycle()
        self.idle_since = now
        return True

    def is_open_and_idle(self) -> bool:
        """Whether the connection is open and has no unread input.

        Input means that the server closed the connection or sent unsolicited data. A
        request sent anyway would be lost, or answered with that data.
        """
        connection = self._stream.socket
        return connection.fileno() >= 0 and not has_input(connection)

    def close(self) -> None:
        """Close at once; unsent data is discarded."""
        self._stream.socket.close()


def _is_end_in_order(error: BaseException | None) -> bool:
    """Whether all that the server sent has arrived although a write failed.

    The kernel reports a reset, or a time limit, to one system call alone. If that is a
    write, the next read gets an end of input, like that of a connection which ended in
    order. The error of the write tells the two apart: after the server's end was
    received, a reset is reported as a broken pipe.
    """
    return isinstance(error, OSError) and error.errno == errno.EPIPE


def parse_keep_alive_timeout(value: bytes | None) -> float | None:
    """Return the timeout of a `Keep-Alive` header in seconds; None without one."""
    if value is None:
        return None
    for parameter in value.split(b","):
        name, _, number = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


class ConnectFailure(Enum):
    """Why a connection could not be opened."""

    REFUSED = "refused"
    """The host responds that nothing listens on the port."""
    RESET = "reset"
    """The server reset it: it has too many connections, or is closing its port."""
    SILENT = "silent"
    """No response in time, or no route to the host."""


CONNECT_FAILURES = {
    errno.ECONNREFUSED: ConnectFailure.REFUSED,
    errno.ECONNRESET: ConnectFailure.RESET,
}


async def open_connection(
    address: str, timeout: float
) -> ClientConnection | ConnectFailure:
    """Connect to `a.b.c.d:port`; fail after `timeout` seconds."""
    host, _, port = address.rpartition(":")
    try:
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        log.bind(address=address, reason=str(error)).warning("no socket to connect")
        return ConnectFailure.SILENT
    with trio.move_on_after(timeout):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_ACK_TIMEOUT_MS
            )
            await sock.connect((host, int(port)))
        except OSError as error:
            sock.close()
            return CONNECT_FAILURES.get(error.errno or 0, ConnectFailure.SILENT)
        return ClientConnection(trio.SocketStream(sock), address)
    sock.close()
    return ConnectFailure.SILENT
