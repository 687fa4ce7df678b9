"""Short calls to one service over a few kept connections."""

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

IDLE_LIMIT = 4.0
"""Seconds that a connection is kept idle: shorter than servers commonly keep one."""
IDLE_CONNECTIONS = 3
"""Idle connections kept: two polls and the renewal of a lease run side by side."""
CONNECT_SHARE = 0.5
"""Share of a call's time for connecting, so that a second address of the service's
machine or a second try still fits."""


class Trouble(Enum):
    """Why a call has no answer."""

    NOT_SENT = "not sent"
    """It provably never left."""
    LOST = "lost"
    """It may have been carried out."""


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer of any status."""

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
        on_answer: Callable[[str, float], None] | None = None,
    ) -> None:
        """Prepare calls.

        Args:
            name: of the service, for logs and metrics.
            address: `a.b.c.d:port`.
            timeout: seconds for one call, without the service's own waiting.
            on_answer: told the service's name and the seconds of each answered call
                that the service did not hold itself.
        """
        self.name = name
        self._on_answer = on_answer
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
    ) -> Answer | Trouble:
        """Make one call; `wait` is how long the service itself may hold it."""
        self.calls += 1
        result: Answer | Trouble = Trouble.LOST
        progress = _Progress()
        began = trio.current_time()
        with trio.move_on_after(self._timeout + wait):
            result = await self._try(method, path, body, headers or [], progress)
        if result is Trouble.LOST and not progress.is_sent:
            result = Trouble.NOT_SENT
        self._note(result)
        if isinstance(result, Answer) and self._on_answer is not None and not wait:
            self._on_answer(self.name, trio.current_time() - began)
        return result

    async def _try(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Headers,
        progress: "_Progress",
    ) -> Answer | Trouble:
        connection = self._take_idle()
        if connection is None:
            opened = await open_connection(self._address, self._timeout * CONNECT_SHARE)
            if isinstance(opened, ConnectFailure):
                return Trouble.NOT_SENT
            connection = opened
        is_reusable = False
        try:
            progress.is_sent = True
            await connection.send(
                method.encode(), path.encode(), self._complete(headers, body), body
            )
            answer = await _receive(connection)
            is_reusable = connection.finish_exchange(trio.current_time())
            return answer
        except ConnectionBrokenError:
            return Trouble.LOST
        finally:
            if is_reusable and len(self._idle) < IDLE_CONNECTIONS:
                self._idle.append(connection)
            else:
                connection.close()

    def _complete(self, headers: Headers, body: bytes) -> Headers:
        complete = [(b"host", self._address.encode()), *headers]
        if body:
            complete.append((b"content-type", b"application/json"))
            complete.append((b"content-length", str(len(body)).encode()))
        return complete

    def _take_idle(self) -> ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            limit = IDLE_LIMIT
            if connection.keep_alive_timeout is not None:
                limit = min(limit, connection.keep_alive_timeout * 0.5)
            age = trio.current_time() - connection.idle_since
            if age < limit and connection.is_open_and_idle():
                return connection
            connection.close()
        return None

    def _note(self, result: Answer | Trouble) -> None:
        is_up = isinstance(result, Answer) and result.status < 500
        if not is_up:
            self.failures += 1
            self.drop_idle()
        if is_up != self.is_up:
            self.is_up = is_up
            reason = result.value if isinstance(result, Trouble) else "status"
            log.bind(dependency=self.name, up=is_up, reason=reason).info("dependency")

    def drop_idle(self) -> None:
        """Close the kept connections: they may share what broke the last one."""
        while self._idle:
            self._idle.pop().close()


@dataclass
class _Progress:
    is_sent: bool = False


async def _receive(connection: ClientConnection) -> Answer:
    head = await connection.receive_head()
    pieces = []
    while (piece := await connection.receive_body()) is not None:
        pieces.append(piece)
    return Answer(head.status, b"".join(pieces), head.headers)
