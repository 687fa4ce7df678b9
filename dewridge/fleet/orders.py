"""Control calls to backend servers: cancel, cache export, load, state and orders."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import msgspec
import trio

from dewridge.bodies import IDENTITY_HEADERS, read_bounded
from dewridge.codes import ResultCode
from dewridge.decoding import MAX_COUNT, Amount, Count, Name, decode_json
from dewridge.fleet.model import BackendServer
from dewridge.fleet.refusals import STATUS_OK, read_error_type
from dewridge.ids import AttemptId
from dewridge.metrics.registry import Metrics
from dewridge.providers.model import KeyValue
from dewridge.sentinels import Failure

if TYPE_CHECKING:
    import httpx

FENCE_KEY = "fence"
MAX_FENCE_ATTEMPTS = 20
"""Attempts to allocate a fencing number while other hosts write the same key."""
MAX_ANSWER_BYTES = 1_000_000
"""Bytes of an answer, which is held in memory. An engine's state takes hundreds."""
STALE_FENCE_TYPE = "stale_fence"

T = TypeVar("T")


class Cancellation(Enum):
    """An engine's reply to the cancellation of an attempt."""

    CANCELLED = "cancelled"
    """The attempt was running and is stopped; no more events follow."""
    ABORTED = "aborted"
    """The attempt had been stopped earlier because its connection closed."""
    DONE = "done"
    """The attempt had ended with a complete answer."""
    UNKNOWN = "unknown"
    """The engine knows no such attempt, and rejects it if it arrives later. Its process
    may have started again since it ran the attempt."""


class OrderKind(Enum):
    """Kind of an order to an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to load or unload a model, or to change the engine's role.

    Attributes:
        subject: model, adapter or version, or the new role.
        fence: fencing number; an order with a lower one than the latest is stale.
    """

    kind: OrderKind
    subject: str
    fence: int


class EngineState(msgspec.Struct, frozen=True):
    """State that an engine reports: loaded services, role, latest fencing number."""

    services: tuple[Name, ...]
    role: Name
    fence: Count = 0
    leaving: bool = False


class LoadReport(msgspec.Struct, frozen=True):
    """Load of a server at a past time.

    Attributes:
        at: Unix time in seconds of the measurement.
        queued: queued requests.
        running: running requests.
    """

    at: Amount
    queued: Count
    running: Count


class _CancelReply(msgspec.Struct):
    state: Cancellation


class _ExportReply(msgspec.Struct):
    cache_handle: Name


class ControlClient:
    """Sends all calls to backend servers that are not attempts."""

    def __init__(
        self, client: "httpx.AsyncClient", metrics: Metrics, max_seconds: float
    ) -> None:
        self._client = client
        self._metrics = metrics
        self._max_seconds = max_seconds

    async def cancel(
        self, server: BackendServer, attempt: AttemptId
    ) -> Cancellation | Failure:
        """Cancel an attempt.

        CANCELLED and ABORTED prove that the attempt is not running and gives no answer.
        After UNKNOWN it may have given one; after a failure it may still be running.
        """
        path = f"/v1/attempts/{quote(attempt)}/cancel"
        answer = await self._call(server, "cancel", "POST", path, reply=_CancelReply)
        return answer if isinstance(answer, Failure) else answer.state

    async def export_cache(
        self, server: BackendServer, attempt: AttemptId
    ) -> str | Failure:
        """Export the KV cache of a running attempt and return its handle."""
        path = f"/v1/attempts/{quote(attempt)}/export"
        answer = await self._call(server, "export", "POST", path, reply=_ExportReply)
        return answer if isinstance(answer, Failure) else answer.cache_handle

    async def read_load(self, server: BackendServer) -> LoadReport | Failure:
        """Read a server's load, which it reports with a delay."""
        return await self._call(server, "load", "GET", "/v1/load", reply=LoadReport)

    async def read_state(self, server: BackendServer) -> EngineState | Failure:
        """Read an engine's loaded services and its role."""
        return await self._call(server, "state", "GET", "/v1/state", reply=EngineState)

    async def send(
        self, server: BackendServer, order: EngineOrder
    ) -> EngineState | Failure:
        """Send an order to an engine.

        An engine that does not check fencing numbers also carries out a delayed
        order that a newer one has superseded. Therefore its state is read after
        the order, which fails if the state does not show its effect.

        Returns:
            The engine's state after the order, or FENCED if a newer order
            superseded it.
        """
        body = {
            "kind": order.kind.value,
            "subject": order.subject,
            "fence": order.fence,
        }
        content = msgspec.json.encode(body)
        state = await self._call(
            server, "order", "POST", "/v1/orders", reply=EngineState, content=content
        )
        if isinstance(state, Failure) or server.listed.checks_fencing:
            return state
        state = await self.read_state(server)
        if isinstance(state, Failure) or has_taken_effect(state, order):
            return state
        return Failure(ResultCode.FENCED, "another order overruled this one")

    async def _call(
        self,
        server: BackendServer,
        kind: str,
        method: str,
        path: str,
        *,
        reply: type[T],
        content: bytes | None = None,
    ) -> T | Failure:
        self._metrics.add("backend_server_calls_total", kind=kind)
        url = f"http://{server.listed.address}{path}"
        body = await self._send(method, url, content)
        if isinstance(body, Failure):
            return body
        answer = decode_json(body, reply)
        if isinstance(answer, Failure):
            reason = "the answer is malformed"
            return Failure(ResultCode.BACKEND_SERVER_FAILED, reason)
        return answer

    async def _send(
        self, method: str, url: str, content: bytes | None
    ) -> bytes | Failure:
        """Return the body of a successful answer."""
        import httpx  # noqa: PLC0415 - heavy

        body: bytes | None = None
        try:
            with trio.fail_after(self._max_seconds):
                async with self._client.stream(method, url, content=content) as answer:
                    body = await read_bounded(answer.aiter_raw(), MAX_ANSWER_BYTES)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return Failure(ResultCode.NOT_STARTED, "no connection")
        except (httpx.TimeoutException, trio.TooSlowError):
            return Failure(ResultCode.BACKEND_SERVER_SILENT, "no answer")
        except httpx.HTTPError as error:
            return Failure(ResultCode.CONNECTION_LOST, type(error).__name__)
        if body is None:
            reason = "the answer is too long"
            return Failure(ResultCode.BACKEND_SERVER_FAILED, reason)
        if answer.status_code != STATUS_OK:
            return read_order_refusal(answer.status_code, body)
        return body


def read_order_refusal(status: int, content: bytes) -> Failure:
    """Return the failure for a control call answered with an error status."""
    kind = read_error_type(content)
    if kind == STALE_FENCE_TYPE:
        return Failure(ResultCode.FENCED, "a newer order came first")
    reason = f"status {status} {kind[:40]}".strip()
    return Failure(ResultCode.BACKEND_SERVER_FAILED, reason)


def has_taken_effect(state: EngineState, order: EngineOrder) -> bool:
    """Whether an engine's state shows the effect of an order."""
    match order.kind:
        case OrderKind.LOAD:
            return order.subject in state.services
        case OrderKind.UNLOAD:
            return order.subject not in state.services
        case OrderKind.ROLE:
            return state.role == order.subject


async def allocate_fencing_number(key_value: KeyValue, prefix: str) -> int | Failure:
    """Allocate the next fencing number of the deployment.

    A write whose answer is lost may leave a number unused. That is harmless: the
    next one is higher still.
    """
    key = f"{prefix}{FENCE_KEY}"
    for _ in range(MAX_FENCE_ATTEMPTS):
        entry = await key_value.get(key)
        if isinstance(entry, Failure):
            return entry
        stored = decode_json(entry.value or b"0", int)
        if isinstance(stored, Failure) or not 0 <= stored < MAX_COUNT:
            return Failure(ResultCode.PLATFORM_MALFORMED, f"{key} is not a number")
        number = stored + 1
        written = await key_value.compare_and_swap(
            key, str(number).encode(), entry.revision
        )
        if not isinstance(written, Failure):
            return number
        if written.code is ResultCode.KEY_VALUE_DOWN:
            return written
    return Failure(ResultCode.KEY_VALUE_CONFLICT, "too many others draw numbers")


@asynccontextmanager
async def make_control_client(
    *, metrics: Metrics, timeout: float
) -> AsyncIterator[ControlClient]:
    """Open a client for control calls to backend servers.

    Args:
        metrics: counts the calls.
        timeout: seconds for connecting, and without a byte of the answer; a call takes
            twice as long at most.
    """
    import httpx  # noqa: PLC0415 - heavy

    async with httpx.AsyncClient(
        headers=IDENTITY_HEADERS, timeout=timeout, trust_env=False, verify=False
    ) as client:
        yield ControlClient(client, metrics, 2 * timeout)
