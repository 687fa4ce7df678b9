"""Sends attempts to backend servers and streams their events back."""

import time
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import AbstractAsyncContextManager, aclosing, asynccontextmanager
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec
import trio

from dewridge.bodies import read_bounded
from dewridge.codes import ResultCode
from dewridge.decoding import decode_json, is_finite
from dewridge.fleet.clients import ClientTable, open_clients
from dewridge.fleet.events import EventReader, LineBuffer
from dewridge.fleet.model import (
    AttemptEnd,
    AttemptEvent,
    AttemptOrder,
    AttemptTokens,
    BackendServer,
    Dispatch,
)
from dewridge.fleet.refusals import STATUS_OK, read_refusal
from dewridge.http1.headers import parse_retry_after
from dewridge.metrics.registry import Metrics
from dewridge.providers.model import ServerKind
from dewridge.sentinels import Failure

if TYPE_CHECKING:
    import httpx

MAX_BODY_BYTES = 8_000_000
"""Longest accepted answer of a plain service. A host that buffers a hundred longer
ones would run out of memory."""
MAX_REFUSAL_BYTES = 10_000
"""Longest body that is read of an answer with an error status."""
DRAIN_SECONDS = 0.01
"""Longest wait for the end of the HTTP body after an attempt's last event."""
BATCH_DELAY_SECONDS = 0.02
"""Time between two reads of a stream after its first tokens: half of the 41 ms allowed
between two tokens. The other half is left for the engine's step and the transfer to
the caller. The first token is never delayed."""


class CompletionBody(msgspec.Struct, omit_defaults=True):
    """Request body of an attempt on an engine."""

    prompt: str
    max_tokens: int
    attempt: str
    key: str
    account: str
    model: str
    operation: str
    priority: int
    cache_salt: str
    stream: bool = True
    tokens_done: tuple[str, ...] = ()
    cache_handle: str | None = None


class OperationBody(msgspec.Struct):
    """Request body of an attempt on a plain service."""

    input: str
    attempt: str
    key: str
    account: str


class OperationAnswer(msgspec.Struct):
    """Response body of a plain service."""

    attempt: str
    body: msgspec.Raw


@asynccontextmanager
async def make_dispatch(
    *, metrics: Metrics, connect_timeout: float
) -> AsyncIterator[Dispatch]:
    """Yield a function that sends attempts; close its connections on exit."""
    async with open_clients() as clients:
        yield AttemptSender(clients, metrics, connect_timeout).dispatch


class AttemptSender:
    """Sends attempts with the HTTP clients of a `ClientTable`."""

    def __init__(
        self, clients: ClientTable, metrics: Metrics, connect_timeout: float
    ) -> None:
        self._clients = clients
        self._metrics = metrics
        self._connect_timeout = connect_timeout

    def dispatch(
        self, server: BackendServer, order: AttemptOrder
    ) -> AbstractAsyncContextManager[AsyncIterator[AttemptEvent]]:
        """Send one attempt; exiting the context early closes the connection."""
        return aclosing(self._run(server, order))

    async def _run(
        self, server: BackendServer, order: AttemptOrder
    ) -> AsyncGenerator[AttemptEvent, None]:
        import httpx  # noqa: PLC0415 - heavy

        from dewridge.fleet.transport import set_batch_delay  # noqa: PLC0415

        self._metrics.add("attempts_total", service=order.service)
        await self._clients.trim()
        try:
            async with self._open(server, order) as response:
                if response.status_code != STATUS_OK:
                    content = (
                        await read_bounded(response.aiter_raw(), MAX_REFUSAL_BYTES)
                        or b""
                    )
                    value = response.headers.get("retry-after", "").encode()
                    rest = parse_retry_after(value, time.time())
                    if rest is not None and not is_finite(rest):
                        rest = None
                    refusal = read_refusal(response.status_code, content, rest)
                    yield self._record_failure(order, refusal)
                elif server.listed.kind is ServerKind.ENGINE:
                    chunks = response.aiter_raw()
                    async for event in self._read_stream(chunks, order):
                        if isinstance(event, AttemptTokens):
                            set_batch_delay(response, BATCH_DELAY_SECONDS)
                        elif isinstance(event, AttemptEnd):
                            set_batch_delay(response, 0.0)
                            await drain(chunks)
                        yield event
                else:
                    yield await self._read_answer(response, order)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            # No connection was made, so no byte of the attempt was sent.
            yield self._record_failure(
                order, Failure(ResultCode.NOT_STARTED, "no connection")
            )
        except httpx.TimeoutException:
            # A device on the network path may have dropped the connection's state:
            # it stays open, but no data arrives. Without this timeout the caller
            # would wait until its deadline.
            reason = f"nothing came for {order.timeout:g} s"
            yield self._record_failure(
                order, Failure(ResultCode.BACKEND_SERVER_SILENT, reason)
            )
        except httpx.HTTPError as error:
            reason = type(error).__name__
            yield self._record_failure(
                order, Failure(ResultCode.CONNECTION_LOST, reason)
            )

    @asynccontextmanager
    async def _open(
        self, server: BackendServer, order: AttemptOrder
    ) -> "AsyncIterator[httpx.Response]":
        import httpx  # noqa: PLC0415 - heavy

        path, content = encode_order(server, order)
        timeout = httpx.Timeout(order.timeout, connect=self._connect_timeout)
        with self._clients.use(server.listed.address) as client:
            async with client.stream(
                "POST", path, content=content, timeout=timeout
            ) as response:
                yield response

    async def _read_stream(
        self, chunks: AsyncIterator[bytes], order: AttemptOrder
    ) -> AsyncIterator[AttemptEvent]:
        lines = LineBuffer()
        reader = EventReader(order.attempt, order.first_sequence)
        async for chunk in chunks:
            complete = lines.feed(chunk)
            if complete is None:
                reason = "an event is too long"
                yield self._record_failure(
                    order, Failure(ResultCode.ANSWER_MISMATCHED, reason)
                )
                return
            for event in reader.read(complete):
                is_last = not isinstance(event, AttemptTokens)
                if is_last:
                    self._record_dropped_events(order, reader)
                if isinstance(event, Failure):
                    self._record_failure(order, event)
                yield event
                if is_last:
                    return
        self._record_dropped_events(order, reader)
        yield self._record_failure(order, reader.finish())

    async def _read_answer(
        self, response: "httpx.Response", order: AttemptOrder
    ) -> AttemptEvent:
        content = await read_bounded(response.aiter_raw(), MAX_BODY_BYTES)
        if content is None:
            reason = "the answer is too long"
            return self._record_failure(
                order, Failure(ResultCode.BACKEND_SERVER_FAILED, reason)
            )
        answer = decode_json(content, OperationAnswer)
        body = None if isinstance(answer, Failure) else decode_text(bytes(answer.body))
        if isinstance(answer, Failure) or body is None:
            reason = "the answer is malformed"
            return self._record_failure(
                order, Failure(ResultCode.BACKEND_SERVER_FAILED, reason)
            )
        if answer.attempt != order.attempt:
            self._metrics.add("attempt_events_dropped_total", reason="other_attempt")
            reason = "the answer is another attempt's"
            return self._record_failure(
                order, Failure(ResultCode.ANSWER_MISMATCHED, reason)
            )
        return AttemptEnd(body=body)

    def _record_failure(self, order: AttemptOrder, failure: Failure) -> Failure:
        self._metrics.add(
            "attempt_failures_total", service=order.service, code=failure.code.name
        )
        return failure

    def _record_dropped_events(self, order: AttemptOrder, reader: EventReader) -> None:
        for reason, count in reader.dropped.items():
            self._metrics.add(
                "attempt_events_dropped_total", count, reason=reason.value
            )


def encode_order(server: BackendServer, order: AttemptOrder) -> tuple[str, bytes]:
    """Return the URL path and the body of the call for an attempt."""
    if server.listed.kind is ServerKind.PLAIN:
        call = OperationBody(order.input, order.attempt, order.key, order.account)
        return f"/v1/operations/{quote(order.operation)}", msgspec.json.encode(call)
    completion = CompletionBody(
        prompt=order.input,
        max_tokens=order.max_tokens,
        attempt=order.attempt,
        key=order.key,
        account=order.account,
        model=order.service,
        operation=order.operation,
        priority=order.priority.value,
        cache_salt=order.cache_salt,
        tokens_done=order.tokens_done,
        cache_handle=order.cache_handle,
    )
    return "/v1/completions", msgspec.json.encode(completion)


def decode_text(content: bytes) -> str | None:
    """Decode UTF-8, which is not checked in a raw value; None if it is not."""
    try:
        return content.decode()
    except UnicodeDecodeError:
        return None


async def drain(chunks: AsyncIterator[bytes]) -> None:
    """Read the rest of the body after the last event, to reuse the connection.

    It usually arrives with the last event or right after it; a server that delays
    it delays the caller by `DRAIN_SECONDS` at most.
    """
    with trio.move_on_after(DRAIN_SECONDS):
        async for _ in chunks:
            pass
