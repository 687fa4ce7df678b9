"""Cancel, export, load reports and fenced orders of backend servers."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import msgspec

from dewridge.codes import ResultCode
from dewridge.fleet.model import BackendServer
from dewridge.fleet.refusals import STATUS_OK, read_type
from dewridge.ids import AttemptId
from dewridge.metrics.registry import Metrics
from dewridge.providers.model import KeyValue
from dewridge.sentinels import Failure

if TYPE_CHECKING:
    import httpx

FENCE_KEY = "fence"
FENCE_TRIES = 20
STALE_FENCE_TYPE = "stale_fence"

T = TypeVar("T")


class Cancellation(Enum):
    """What an engine says of an attempt that it was told to cancel."""

    CANCELLED = "cancelled"
    """It ran and was stopped; nothing more comes of it."""
    ABORTED = "aborted"
    """It had been stopped before, as its connection closed."""
    DONE = "done"
    """It had ended with a whole answer."""
    UNKNOWN = "unknown"
    """It never came; the engine will refuse it if it still does."""


class OrderKind(Enum):
    """What an engine can be ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine.

    Attributes:
        subject: model, adapter or version, or the new role.
        fence: fencing number; an older one must not overrule a newer one.
    """

    kind: OrderKind
    subject: str
    fence: int


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says of itself."""

    services: tuple[str, ...]
    role: str
    fence: int = 0
    leaving: bool = False


class LoadReport(msgspec.Struct, frozen=True):
    """Load that an engine reports, as it was at a time in the past."""

    at: float
    queued: int
    running: int


class _Cancelled(msgspec.Struct):
    state: Cancellation


class _Exported(msgspec.Struct):
    cache_handle: str


class ControlClient:
    """Calls to backend servers other than attempts."""

    def __init__(self, client: "httpx.AsyncClient", metrics: Metrics) -> None:
        self._client = client
        self._metrics = metrics

    async def cancel(
        self, server: BackendServer, attempt: AttemptId
    ) -> Cancellation | Failure:
        """Cancel an attempt; every answer but DONE proves that it has ended.

        A failure proves nothing: the attempt may go on.
        """
        path = f"/v1/attempts/{quote(attempt)}/cancel"
        answer = await self._call(server, "cancel", "POST", path, reply=_Cancelled)
        return answer if isinstance(answer, Failure) else answer.state

    async def export_cache(
        self, server: BackendServer, attempt: AttemptId
    ) -> str | Failure:
        """Export the KV cache of a running attempt and return its handle."""
        path = f"/v1/attempts/{quote(attempt)}/export"
        answer = await self._call(server, "export", "POST", path, reply=_Exported)
        return answer if isinstance(answer, Failure) else answer.cache_handle

    async def read_load(self, server: BackendServer) -> LoadReport | Failure:
        """Read a server's load, which it reports with a lag."""
        return await self._call(server, "load", "GET", "/v1/load", reply=LoadReport)

    async def read_state(self, server: BackendServer) -> EngineState | Failure:
        """Read what an engine has loaded, and its role."""
        return await self._call(server, "state", "GET", "/v1/state", reply=EngineState)

    async def send(
        self, server: BackendServer, order: EngineOrder
    ) -> EngineState | Failure:
        """Give an engine an order.

        An engine that does not check fencing numbers obeys an order that was
        held up on its way and overruled since. Its state is read afterwards,
        and an order whose effect it does not show has failed.

        Returns:
            The engine's state after it, or FENCED if a newer order came first.
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
        if isinstance(state, Failure) or shows_effect(state, order):
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
        import httpx  # noqa: PLC0415 - heavy

        self._metrics.add("backend_server_calls_total", kind=kind)
        url = f"http://{server.listed.address}{path}"
        try:
            answer = await self._client.request(method, url, content=content)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return Failure(ResultCode.NOT_STARTED, "no connection")
        except httpx.TimeoutException:
            return Failure(ResultCode.BACKEND_SERVER_SILENT, "no answer")
        except httpx.HTTPError as error:
            return Failure(ResultCode.CONNECTION_LOST, type(error).__name__)
        if answer.status_code != STATUS_OK:
            return read_order_refusal(answer.status_code, answer.content)
        try:
            return msgspec.json.decode(answer.content, type=reply)
        except msgspec.DecodeError:
            reason = "the answer is malformed"
            return Failure(ResultCode.BACKEND_SERVER_FAILED, reason)


def read_order_refusal(status: int, content: bytes) -> Failure:
    """Return the failure that a refused call stands for."""
    kind = read_type(content)
    if kind == STALE_FENCE_TYPE:
        return Failure(ResultCode.FENCED, "a newer order came first")
    reason = f"status {status} {kind[:40]}".strip()
    return Failure(ResultCode.BACKEND_SERVER_FAILED, reason)


def shows_effect(state: EngineState, order: EngineOrder) -> bool:
    """Whether an engine's state is what an order asked for."""
    match order.kind:
        case OrderKind.LOAD:
            return order.subject in state.services
        case OrderKind.UNLOAD:
            return order.subject not in state.services
        case OrderKind.ROLE:
            return state.role == order.subject


async def take_fence(key_value: KeyValue, prefix: str) -> int | Failure:
    """Draw the next fencing number of the deployment.

    A write whose answer is lost may have drawn a number that nobody uses,
    which harms nothing: the next one is higher all the same.
    """
    key = f"{prefix}{FENCE_KEY}"
    for _ in range(FENCE_TRIES):
        entry = await key_value.get(key)
        if isinstance(entry, Failure):
            return entry
        if entry.value and not entry.value.isdigit():
            return Failure(ResultCode.PLATFORM_MALFORMED, f"{key} is not a number")
        number = int(entry.value or b"0") + 1
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
    """Open what gives orders to backend servers."""
    import httpx  # noqa: PLC0415 - heavy

    async with httpx.AsyncClient(
        timeout=timeout, trust_env=False, verify=False
    ) as client:
        yield ControlClient(client, metrics)
