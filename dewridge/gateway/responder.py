"""The answer to one request of a caller, written onto the caller's connection."""

import h11
import trio

from dewridge.http1.client import Headers

REASONS = {421: b"Misdirected Request", 431: b"Request Header Fields Too Large"}


class CallerDisconnectedError(Exception):
    """The caller's connection ended; nobody waits for the answer."""


class Responder:
    """Writes one answer; says what of it has been sent."""

    def __init__(
        self, stream: trio.SocketStream, state: h11.Connection, *, closes: bool
    ) -> None:
        self._stream = stream
        self._state = state
        self._closes = closes
        self.status = 0
        self.has_started = False
        self.is_finished = False

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        data = self._begin(status, headers)
        if body and self._state.our_state is h11.SEND_BODY:
            data += self._state.send(h11.Data(data=body)) or b""
        data += self._state.send(h11.EndOfMessage()) or b""
        await self._write(data)
        self.is_finished = True

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in pieces."""
        await self._write(self._begin(status, headers))

    async def send_body_part(self, piece: bytes) -> None:
        """Send a part of the body."""
        await self._write(self._state.send(h11.Data(data=piece)) or b"")

    async def finish(self) -> None:
        """End the answer as complete."""
        await self._write(self._state.send(h11.EndOfMessage()) or b"")
        self.is_finished = True

    def _begin(self, status: int, headers: Headers) -> bytes:
        if self._closes:
            headers = [*headers, (b"connection", b"close")]
        self.has_started = True
        self.status = status
        reason = REASONS.get(status, b"")
        head = h11.Response(status_code=status, headers=headers, reason=reason)
        return self._state.send(head) or b""

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerDisconnectedError from error
