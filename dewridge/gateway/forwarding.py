"""Attempts: sends a request to a backend server and checks the answer."""

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial

import trio

from dewridge.gateway.model import ServerRecord
from dewridge.gateway.pool import ConnectionPool
from dewridge.http1.client import (
    ClientConnection,
    ConnectFailure,
    ConnectionBrokenError,
    Headers,
    ResponseHead,
)
from dewridge.ids import BackendServerId, HostId
from dewridge.platform.headers import (
    has_signature,
    is_misdirected,
    is_not_executed,
    read_request_id,
)
from dewridge.policy.losses import NOT_RUN_REASONS, ConnectResult, LossReason
from dewridge.policy.memorybudget import ConnectionUse

MAX_INLINE_BODY_BYTES = 4_096
"""Size of a body up to which it is sent before the answer is read. A longer one is sent
concurrently, as a server may answer before it has read all of it."""
MAX_ANSWER_BYTES = 8_000_000
"""Maximum size of an answer that is buffered completely."""
MAX_BUFFERED_BYTES = 48_000_000
"""Maximum size of all large answers that are buffered at the same time: a sixth of the
memory of a small host."""
SILENCE_CHECK_PERIOD = 0.25
"""Seconds between two checks whether another attempt can follow that of a silent
server."""
SMALL_ANSWER_BYTES = 65_536
"""Size up to which an answer does not count as large. Answers of sound servers are
received also while servers in trouble use up the limit above."""


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """A request as a backend server gets it.

    Attributes:
        id: the caller's id for its attempt, which the answer names.
        method: HTTP method.
        target: path and query.
        headers: headers for the server.
        body: the body.
    """

    id: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class LostAttempt:
    """An attempt without a usable answer.

    Attributes:
        loss: why there is none.
        reason: details for the log.
        status: status of the server's answer; 0 if there was none or it was not used.
        relay: the peer by which the request was sent; None if it was sent directly.
        is_silent: whether the server did nothing at all until a timeout.
        reach: whether the server accepted a connection of the relay after the loss;
            None if that is not known.
    """

    loss: LossReason
    reason: str = ""
    status: int = 0
    relay: HostId | None = None
    is_silent: bool = False
    reach: ConnectResult | None = None

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
    """An answer whose body is still being received; must be closed with `close`.

    Attributes:
        head: head of the answer.
        relay: the peer that passes it on; None if it comes directly.
        is_unframed: whether the body ends with the server's connection, so that the end
            of the server looks like the end of the answer.
    """

    def __init__(
        self,
        head: ResponseHead,
        connection: ClientConnection,
        release: Callable[[ClientConnection], None],
        relay: HostId | None = None,
        on_received: Callable[[], None] = lambda: None,
        *,
        is_unframed: bool = False,
    ) -> None:
        """Take over an open connection.

        Args:
            head: head of the answer.
            connection: connection on which the body follows.
            release: takes the connection back when the answer is closed.
            relay: the peer that passes the answer on.
            on_received: called with each part of the body.
            is_unframed: whether the body ends with the server's connection.
        """
        self.head = head
        self.relay = relay
        self.is_unframed = is_unframed
        self._connection: ClientConnection | None = connection
        self._release = release
        self._on_received = on_received

    async def receive(self) -> bytes | None:
        """Wait for the next part of the body; return None after its end.

        Raises:
            ConnectionBrokenError: the answer was interrupted.
        """
        assert self._connection is not None
        part = await self._connection.receive_body()
        self._on_received()
        return part

    def close(self) -> None:
        """Release the connection; the rest of the answer is not read."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self._release(connection)


def release_to_pool(
    pool: ConnectionPool, server: ServerRecord, connection: ClientConnection
) -> None:
    """Release a connection to the pool after a complete answer, else close it."""
    if connection.finish_exchange(trio.current_time()):
        pool.release(server, connection)
    else:
        connection.close()


RecordAnswer = Callable[[BackendServerId, ResponseHead, bool], None]
"""Applies the signals of an answer; the last argument says whether it answers the
request that was just sent."""


@dataclass(frozen=True, slots=True)
class SilenceLimit:
    """Gives an attempt up for another one; without another one, the server may go on.

    Attributes:
        scope: is cancelled to give the attempt up; the server counts as silent from its
            deadline on.
        can_follow: returns whether another attempt can follow, and reserves it.
    """

    scope: trio.CancelScope
    can_follow: Callable[[], bool]

    def give_up(self) -> None:
        """Give the attempt up unless no other one can follow."""
        if self.can_follow():
            self.scope.cancel()


@dataclass(frozen=True, slots=True)
class SendingHooks:
    """Callbacks used while a request is sent.

    Attributes:
        may_send: whether the server may get a request now; counts it.
        record_answer: called with the head of each answer of the server.
        record_received: called whenever bytes of an answer arrive.
    """

    may_send: Callable[[], bool]
    record_answer: RecordAnswer
    record_received: Callable[[], None]


async def send_request(
    request: ServerRequest,
    server: ServerRecord,
    pool: ConnectionPool,
    hooks: SendingHooks,
    *,
    is_non_retryable: bool,
    may_open: bool = True,
    is_relayed: bool = False,
    limit: SilenceLimit | None = None,
) -> IncomingAnswer | LostAttempt:
    """Send a request to a server and wait for the head of its answer.

    Args:
        request: the request.
        server: the server to send it to.
        pool: connections to servers.
        hooks: callbacks used meanwhile.
        is_non_retryable: whether the request can't be retried if it is lost.
        may_open: whether a connection may be opened if none is idle.
        is_relayed: whether a peer asked for it and judges the answer; only an answer to
            another request is held back then.
        limit: ends the wait for a silent server; None if no other attempt may follow.
    """
    connection = pool.acquire_idle(server, is_non_retryable=is_non_retryable)
    is_reused = connection is not None
    if connection is None and not may_open:
        return LostAttempt(LossReason.NO_PATH, "no open connection is left")
    if connection is None:
        opened = await pool.open(server)
        if isinstance(opened, ConnectFailure):
            is_silent = opened is ConnectFailure.SILENT
            return LostAttempt(
                LossReason.NOT_CONNECTED, opened.value, is_silent=is_silent
            )
        connection = opened
    is_answer_open = False
    try:
        if not hooks.may_send():
            return LostAttempt(LossReason.WITHHELD)
        head = await _exchange(connection, request, limit)
        hooks.record_received()
        lost = check_head(head, request.id, is_reused=connection.exchange_count > 1)
        is_current = lost is None or lost.loss is not LossReason.MISMATCHED
        # The address may belong to another server by now, which answers with 421.
        if not is_misdirected(head):
            hooks.record_answer(server.id, head, is_current)
        if lost is not None and not (is_relayed and is_current):
            return lost
        is_answer_open = True
        release = partial(release_to_pool, pool, server)
        return IncomingAnswer(
            head,
            connection,
            release,
            on_received=hooks.record_received,
            is_unframed=connection.is_close_delimited,
        )
    except ConnectionBrokenError as error:
        if is_reused:
            pool.handle_broken(server)
        loss = LossReason.MALFORMED if error.is_framing_fault else LossReason.CUT_OFF
        return LostAttempt(loss, str(error))
    finally:
        if not is_answer_open:
            connection.close()


async def _exchange(
    connection: ClientConnection, request: ServerRequest, limit: SilenceLimit | None
) -> ResponseHead:
    if len(request.body) <= MAX_INLINE_BODY_BYTES:
        await connection.send(
            request.method, request.target, request.headers, request.body
        )
        return await wait_for_head(connection, limit)
    result: ResponseHead | ConnectionBrokenError
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_ignoring_errors, connection, request)
        try:
            result = await wait_for_head(connection, limit)
        except ConnectionBrokenError as error:
            result = error
        nursery.cancel_scope.cancel()
    if isinstance(result, ConnectionBrokenError):
        raise result
    return result


async def wait_for_head(
    connection: ClientConnection, limit: SilenceLimit | None
) -> ResponseHead:
    """Wait for the head of an answer; give a silent server up if another may follow.

    Raises:
        ConnectionBrokenError: no valid head was received.
    """
    if limit is None:
        return await connection.receive_head()
    silent_at, limit.scope.deadline = limit.scope.deadline, math.inf
    try:
        while True:
            with trio.move_on_at(silent_at):
                return await connection.receive_head()
            limit.give_up()
            await trio.lowlevel.checkpoint_if_cancelled()
            silent_at = trio.current_time() + SILENCE_CHECK_PERIOD
    finally:
        limit.scope.deadline = silent_at


async def _send_ignoring_errors(
    connection: ClientConnection, request: ServerRequest
) -> None:
    try:
        await connection.send(
            request.method, request.target, request.headers, request.body
        )
    except ConnectionBrokenError:
        # The server may have answered early. The concurrent read returns that answer,
        # or reports that the connection is broken.
        return


def check_head(
    head: ResponseHead, request_id: str, *, is_reused: bool
) -> LostAttempt | None:
    """Return why an answer can't be forwarded to the caller; None if it can.

    A server may send a second answer to an earlier request of the connection. If it
    were read as the answer to this request and forwarded, a caller would get another
    caller's answer. An answer without a request id is accepted only on a new
    connection.
    """
    answered = read_request_id(head)
    if answered is not None and answered != request_id:
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


@dataclass
class AnswerBuffers:
    """Limits the bytes of all large answers that are buffered at the same time.

    An answer counts until its caller has read it.

    Attributes:
        used: bytes of large answers that are buffered now.
        limit: the bytes that they may take.
        unread: the callers that have yet to read such an answer, and its bytes.
        cut: number of answers that were cut for others.
    """

    used: int = 0
    limit: int = MAX_BUFFERED_BYTES
    unread: dict[ConnectionUse, int] = field(default_factory=dict)
    cut: int = 0

    def grow(self, previous: int, size: int) -> bool:
        """Count a buffer that grows; return whether it may, by its and by all bytes.

        If there is no room, the answers are cut whose callers have stopped reading.

        Args:
            previous: bytes of the answer before.
            size: bytes of the answer now.
        """
        self.used += _count_large(size) - _count_large(previous)
        if size <= SMALL_ANSWER_BYTES:
            return True
        if size > MAX_ANSWER_BYTES:
            return False
        if self.used > self.limit and self.unread:
            self._cut_unread(trio.current_time())
        return self.used <= self.limit

    def release(self, size: int) -> None:
        """Record that a buffer of some bytes is not used any more."""
        self.used -= _count_large(size)

    @contextmanager
    def hold(self, use: ConnectionUse, size: int) -> Iterator[None]:
        """Count an answer while its caller reads it."""
        counted = _count_large(size)
        self.used += counted
        self.unread[use] = counted
        try:
            yield
        finally:
            self.used -= self.unread.pop(use, 0)

    def _cut_unread(self, now: float) -> None:
        stalled = [use for use in self.unread if use.is_stalled(now)]
        stalled.sort(key=lambda use: self.unread[use] * (now - use.advanced_at))
        while stalled and self.used > self.limit:
            use = stalled.pop()
            if use.close():
                self.used -= self.unread.pop(use)
                self.cut += 1


def _count_large(size: int) -> int:
    return size if size > SMALL_ANSWER_BYTES else 0


async def read_complete_answer(
    answer: IncomingAnswer, buffers: AnswerBuffers
) -> CompleteAnswer | LostAttempt:
    """Read an answer to its end and release its connection."""
    # Objects for the parts would take many times the bytes that are counted, if each
    # part has a few bytes.
    body = bytearray()
    try:
        while (part := await answer.receive()) is not None:
            body += part
            if not buffers.grow(len(body) - len(part), len(body)):
                return LostAttempt(LossReason.MALFORMED, "the answer is too large")
        return CompleteAnswer(answer.head, bytes(body))
    except ConnectionBrokenError as error:
        loss = LossReason.MALFORMED if error.is_framing_fault else LossReason.CUT_OFF
        return LostAttempt(loss, str(error))
    finally:
        buffers.release(len(body))
        answer.close()
