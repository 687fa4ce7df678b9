"""Writing of an answer to a caller's connection."""

import struct
from collections.abc import Callable, Iterator
from contextlib import suppress

import h11
import trio

from dewridge.http1.client import Headers
from dewridge.http1.sockets import enlarge_send_buffer, send_all
from dewridge.policy.memorybudget import ConnectionStage, ConnectionUse

SLICE_BYTES = 16_384
"""Bytes of a large answer that are written at once. After each of them it is known that
the caller still reads."""
REASON_PHRASES = {421: b"Misdirected Request", 431: b"Request Header Fields Too Large"}


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the answer was complete."""


class Responder:
    """Writes the answer to one request and tracks how much of it was sent.

    Attributes:
        status: status of the answer; 0 before it has started.
        has_started: whether sending of the head has started.
        is_finished: whether the complete answer was sent.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        state: h11.Connection,
        asks_close: Callable[[], bool],
        use: ConnectionUse | None = None,
    ) -> None:
        """Write to a caller's connection.

        Args:
            stream: the connection.
            state: its protocol state, after the request was read.
            asks_close: returns whether the connection ends with this answer; called
                when the head is made.
            use: what the connection makes the process hold.
        """
        self.use = use or ConnectionUse()
        self._stream = stream
        self._state = state
        self._asks_close = asks_close
        self.status = 0
        self.has_started = False
        self.is_finished = False
        self._unsent_head = b""
        self._bytes_in_write = 0

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        data = self._make_head(status, headers)
        if not body or self._state.our_state is not h11.SEND_BODY:
            body = b""
        else:
            self._state.send_with_data_passthrough(h11.Data(data=body))
        self._state.send(h11.EndOfMessage())
        if len(body) <= SLICE_BYTES:
            await self._write(data + body)
        else:
            # Not joined: a copy would be held until the caller has read it all.
            await self._write(data, body)
        self.is_finished = True

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of an answer together with the first part or the end."""
        self._unsent_head = self._make_head(status, headers)
        if self._is_delimited_by_close:
            self._reset_on_close(is_on=True)

    async def send_body_part(self, part: bytes) -> None:
        """Send a part of the body."""
        await self._write(self._state.send(h11.Data(data=part)) or b"")

    async def finish(self) -> None:
        """Send the end of the body."""
        await self._write(self._state.send(h11.EndOfMessage()) or b"")
        self.is_finished = True
        if self._is_delimited_by_close:
            self._reset_on_close(is_on=False)

    def leave_to_kernel(self) -> None:
        """Have the kernel take what the caller has not read, if the process ends soon.

        A write that waits for a slow caller would be cut, although its server has made
        the answer. Must be called again after each write of a stream.
        """
        if self._bytes_in_write:
            enlarge_send_buffer(self._stream.socket, self._bytes_in_write)

    @property
    def _is_delimited_by_close(self) -> bool:
        """Whether the end of the connection is the end of the answer."""
        return (self._state.their_http_version or b"1.0") < b"1.1"

    def _reset_on_close(self, *, is_on: bool) -> None:
        """Have the kernel reset the connection when it is closed, or close it normally.

        Without a length or chunks, only a reset shows that an answer is cut, whatever
        ends it: an error, the time limit or the exit of the process.
        """
        linger = struct.pack("ii", is_on, 0)
        with suppress(OSError):
            self._stream.socket.setsockopt(
                trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger
            )

    def _make_head(self, status: int, headers: Headers) -> bytes:
        if self._asks_close():
            headers = [*headers, (b"connection", b"close")]
        self.has_started = True
        self.status = status
        reason = REASON_PHRASES.get(status, b"")
        head = h11.Response(status_code=status, headers=headers, reason=reason)
        return self._state.send(head) or b""

    async def _write(self, data: bytes, body: bytes = b"") -> None:
        data, self._unsent_head = self._unsent_head + data, b""
        self._bytes_in_write = len(data) + len(body)
        self.use.enter(ConnectionStage.WRITING, trio.current_time())
        try:
            parts: list[bytes | memoryview] = [data, *split_slices(body)]
            for part in parts:
                await send_all(self._stream, part)
                self._bytes_in_write -= len(part)
                self.use.advance(len(part), trio.current_time())
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerDisconnectedError from error
        finally:
            self._bytes_in_write = 0
            self.use.enter(ConnectionStage.SERVING, trio.current_time())


def split_slices(body: bytes) -> Iterator[memoryview]:
    """Yield a body in slices, without copying it."""
    view = memoryview(body)
    for begin in range(0, len(body), SLICE_BYTES):
        yield view[begin : begin + SLICE_BYTES]
