"""Attempts: sends a request to a backend server and checks the answer."""

from dataclasses import dataclass

import trio

from dewridge.gateway.model import CallerRequest, ServerRecord
from dewridge.gateway.pool import ConnectionPool
from dewridge.gateway.pushback import PushbackTable
from dewridge.http1.client import (
    ClientConnection,
    ConnectFailure,
    ConnectionBrokenError,
    ResponseHead,
)
from dewridge.platform.headers import (
    Dispatch,
    has_signature,
    is_misdirected,
    is_not_executed,
    make_dispatch_headers,
    read_request_id,
)
from dewridge.policy.losses import NOT_RUN_REASONS, LossReason

MAX_INLINE_BODY_BYTES = 4_096
"""Size of a body up to which it is sent before the answer is read. A longer one is sent
concurrently, as a server may answer before it has read all of it."""
MAX_ANSWER_BYTES = 8_000_000
"""Maximum size of an answer that is buffered completely."""


@dataclass(frozen=True, slots=True)
class LostAttempt:
    """An attempt without a usable answer.

    Attributes:
        loss: why there is none.
        reason: details for the log.
        status: status of the server's answer; 0 if there was none or it was not used.
    """

    loss: LossReason
    reason: str = ""
    status: int = 0

    @property
    def is_not_run(self) -> bool:
        """Whether the server provably did not run the request."""
        return self.loss in NOT_RUN_REASONS


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """A complete answer of a backend server."""

    head: ResponseHead
    body: bytes


class IncomingAnswer:
    """An answer whose body is still being received; must be closed with `close`."""

    def __init__(
        self,
        head: ResponseHead,
        connection: ClientConnection,
        server: ServerRecord,
        pool: ConnectionPool,
    ) -> None:
        self.head = head
        self._connection: ClientConnection | None = connection
        self._server = server
        self._pool = pool

    async def receive(self) -> bytes | None:
        """Wait for the next part of the body; return None after its end.

        Raises:
            ConnectionBrokenError: the answer was interrupted.
        """
        assert self._connection is not None
        return await self._connection.receive_body()

    def close(self) -> None:
        """Release the connection to the pool after a complete answer, else close it."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if connection.finish_exchange(trio.current_time()):
            self._pool.release(self._server, connection)
        else:
            connection.close()


async def send_request(
    request: CallerRequest,
    dispatch: Dispatch,
    server: ServerRecord,
    pool: ConnectionPool,
    pushback: PushbackTable,
    *,
    is_non_retryable: bool,
) -> IncomingAnswer | LostAttempt:
    """Send a request to a server and wait for the head of its answer.

    Args:
        request: the caller's request.
        dispatch: additional information that is sent to the server in headers.
        server: the server to send it to.
        pool: connections to servers.
        pushback: what the servers ask for; decides whether the request may be sent, and
            learns from the answer.
        is_non_retryable: whether the request can't be retried if it is lost.
    """
    connection = pool.acquire_idle(server, is_non_retryable=is_non_retryable)
    is_reused = connection is not None
    if connection is None:
        opened = await pool.open(server)
        if isinstance(opened, ConnectFailure):
            return LostAttempt(LossReason.NOT_CONNECTED, opened.value)
        connection = opened
    is_answer_open = False
    try:
        if not pushback.acquire(
            server.id,
            trio.current_time(),
            is_essential=dispatch.cache_copy is not None,
        ):
            return LostAttempt(LossReason.WITHHELD)
        head = await _exchange(connection, request, dispatch)
        lost = check_head(head, request, is_reused=connection.exchange_count > 1)
        # The address may belong to another server by now, which answers with 421.
        if not is_misdirected(head):
            is_current = lost is None or lost.loss is not LossReason.MISMATCHED
            pushback.record_answer(
                server.id, head.status, head.headers, is_current=is_current
            )
        if lost is not None:
            return lost
        is_answer_open = True
        return IncomingAnswer(head, connection, server, pool)
    except ConnectionBrokenError as error:
        if is_reused:
            pool.handle_broken(server)
        loss = LossReason.MALFORMED if error.is_framing_fault else LossReason.CUT_OFF
        return LostAttempt(loss, str(error))
    finally:
        if not is_answer_open:
            connection.close()


async def _exchange(
    connection: ClientConnection, request: CallerRequest, dispatch: Dispatch
) -> ResponseHead:
    headers = make_dispatch_headers(request, dispatch)
    if len(request.body) <= MAX_INLINE_BODY_BYTES:
        await connection.send(request.method, request.target, headers, request.body)
        return await connection.receive_head()
    result: ResponseHead | ConnectionBrokenError
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_ignoring_errors, connection, request, headers)
        try:
            result = await connection.receive_head()
        except ConnectionBrokenError as error:
            result = error
        nursery.cancel_scope.cancel()
    if isinstance(result, ConnectionBrokenError):
        raise result
    return result


async def _send_ignoring_errors(
    connection: ClientConnection,
    request: CallerRequest,
    headers: list[tuple[bytes, bytes]],
) -> None:
    try:
        await connection.send(request.method, request.target, headers, request.body)
    except ConnectionBrokenError:
        # The server may have answered early. The concurrent read returns that answer,
        # or reports that the connection is broken.
        return


def check_head(
    head: ResponseHead, request: CallerRequest, *, is_reused: bool
) -> LostAttempt | None:
    """Return why an answer can't be forwarded to the caller; None if it can.

    A server may send a second answer to an earlier request of the connection. If it
    were read as the answer to this request and forwarded, a caller would get another
    caller's answer. An answer without a request id is accepted only on a new
    connection.
    """
    answered = read_request_id(head)
    if answered is not None and answered != request.id:
        return LostAttempt(LossReason.MISMATCHED, f"names {answered[:40]}")
    if answered is None and is_reused:
        return LostAttempt(LossReason.MISMATCHED, "names no request")
    if is_misdirected(head):
        return LostAttempt(LossReason.OTHER_SERVER, status=head.status)
    if is_not_executed(head):
        return LostAttempt(LossReason.REJECTED, status=head.status)
    if 200 <= head.status < 300:
        return _check_success(head, is_named=answered is not None)
    return None


def _check_success(head: ResponseHead, *, is_named: bool) -> LostAttempt | None:
    if not (is_named and has_signature(head)):
        return LostAttempt(LossReason.MALFORMED, "a success without its marks")
    if head.find_header(b"content-encoding") is not None:
        return LostAttempt(LossReason.MALFORMED, "an encoded body")
    return None


async def read_complete_answer(answer: IncomingAnswer) -> CompleteAnswer | LostAttempt:
    """Read an answer to its end and release its connection."""
    parts: list[bytes] = []
    size = 0
    try:
        while (part := await answer.receive()) is not None:
            parts.append(part)
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                return LostAttempt(LossReason.MALFORMED, "the answer is too large")
        return CompleteAnswer(answer.head, b"".join(parts))
    except ConnectionBrokenError as error:
        loss = LossReason.MALFORMED if error.is_framing_fault else LossReason.CUT_OFF
        return LostAttempt(loss, str(error))
    finally:
        answer.close()
