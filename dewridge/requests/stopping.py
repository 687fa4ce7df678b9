"""Attempts under way, and stopping them so that it is certain that they ended."""

from dataclasses import dataclass, field
from typing import Protocol

import trio

from dewridge.codes import ResultCode
from dewridge.fleet.model import BackendServer
from dewridge.fleet.orders import Cancellation
from dewridge.ids import AttemptId, BackendServerId
from dewridge.requests.answers import Answer
from dewridge.requests.records import Record
from dewridge.requests.scheduling import Servers, ServiceScheduler
from dewridge.requests.shared import Shared
from dewridge.sentinels import Failure
from dewridge.supervision.mailbox import Promise

STOP_TIMEOUT = 1.0
"""Seconds for an engine to confirm a stop or to export a cache; a reclaim's notice
is 2 to 5 s, and the request has to start elsewhere within it."""


class EngineOrders(Protocol):
    """What engines are asked besides attempts."""

    async def cancel(
        self, server: BackendServer, attempt: AttemptId, /
    ) -> Cancellation | Failure:
        """Cancel an attempt; every answer but DONE proves that it has ended."""

    async def export_cache(
        self, server: BackendServer, attempt: AttemptId, /
    ) -> str | Failure:
        """Export the KV cache of a running attempt and return its handle."""


class StopCause:
    """Why an attempt was stopped from outside."""

    NONE = ""
    LEAVING = "leaving"
    CANCELLED = "cancelled"
    HANDED_OFF = "handed_off"
    LOST = "lost"


@dataclass
class Attempt:
    """One assignment being carried out.

    Attributes:
        dispatched: the order may have left this host.
        tokens: tokens that came in this attempt.
        first_token_at: when the first of them came, in seconds since 1970.
        stopping: whether its engine confirmed that it was stopped.
    """

    record: Record
    answer: Answer
    service_scheduler: ServiceScheduler
    server: BackendServerId
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    stop_cause: str = StopCause.NONE
    id: AttemptId | None = None
    dispatched: bool = False
    tokens: int = 0
    first_token_at: float | None = None
    started: float = 0.0
    finished: trio.Event = field(default_factory=trio.Event)
    stopping: Promise[bool] | None = None

    def stop(self, cause: str) -> None:
        """Stop it from outside."""
        if not self.stop_cause:
            self.stop_cause = cause
            self.scope.cancel()


class AttemptStopper:
    """Asks engines to stop attempts."""

    def __init__(
        self, shared: Shared, servers: Servers, orders: EngineOrders | None
    ) -> None:
        self._shared = shared
        self._servers = servers
        self._orders = orders

    async def stop_with_confirmation(self, attempt: Attempt) -> bool:
        """Stop a call that may not be repeated; whether its engine confirmed it.

        A reclaimed engine would take a long certificate draft with it. Once it
        has confirmed that the attempt is over, and that no whole answer came
        of it, the call can go on elsewhere from the tokens kept. Plain services
        can't confirm that, so their calls stay where they are.
        """
        server = self._servers.find(attempt.server)
        if self._orders is None or attempt.service_scheduler.service.kind != "model":
            return False
        if attempt.id is None or server is None:
            return False
        if attempt.stopping is None:
            attempt.stopping = Promise()
            self._shared.jobs.start(
                self._order_stop, self._orders, server, attempt.id, attempt.stopping
            )
        late = Failure(ResultCode.BACKEND_SERVER_SILENT, "no confirmation")
        return await attempt.stopping.wait(STOP_TIMEOUT, late) is True

    async def _order_stop(
        self,
        orders: EngineOrders,
        server: BackendServer,
        attempt: AttemptId,
        confirmed: Promise[bool],
    ) -> None:
        said: Cancellation | Failure | None = None
        with trio.move_on_after(STOP_TIMEOUT):
            said = await orders.cancel(server, attempt)
        is_over = isinstance(said, Cancellation) and said is not Cancellation.DONE
        self._shared.metrics.add("attempts_stopped", confirmed=str(is_over).lower())
        confirmed.fulfil(is_over)

    async def export_cache(self, attempt: Attempt) -> None:
        """Keep the engine's KV cache, so that the next one need not prefill."""
        server = self._servers.find(attempt.server)
        if self._orders is None or server is None or attempt.id is None:
            return
        with trio.move_on_after(STOP_TIMEOUT):
            handle = await self._orders.export_cache(server, attempt.id)
            if not isinstance(handle, Failure):
                attempt.record.cache_handle = handle
                self._shared.metrics.add("caches_exported")
