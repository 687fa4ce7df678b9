"""Attempts at backend servers, and stopping them with the engine's confirmation."""

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
"""Seconds for an engine to confirm a stop or to export a cache. A reclaim gives 2 to
5 s of notice, within which the request must also start on another server."""


CONFIRMED_STOPS = (Cancellation.CANCELLED, Cancellation.ABORTED)
"""Replies by which an engine shows that it knows the attempt, and that it stopped. One
that has started again, or has forgotten the attempt, replies UNKNOWN although the
attempt may have run to its end."""


class EngineOrders(Protocol):
    """Calls to engines that control attempts: cancellation and cache export."""

    async def cancel(
        self, server: BackendServer, attempt: AttemptId, /
    ) -> Cancellation | Failure:
        """Cancel an attempt.

        CANCELLED and ABORTED prove that the attempt has ended without a complete
        answer. UNKNOWN, DONE and a Failure don't.
        """

    async def export_cache(
        self, server: BackendServer, attempt: AttemptId, /
    ) -> str | Failure:
        """Export the KV cache of a running attempt and return a handle to it."""


class StopCause:
    """Reasons for which an attempt is stopped before it ends."""

    NONE = ""
    LEAVING = "leaving"
    CANCELLED = "cancelled"
    HANDED_OFF = "handed_off"
    LOST = "lost"


@dataclass
class Attempt:
    """One try to run a request on the backend server that it was assigned to.

    Attributes:
        id: set when the order for the backend server is made.
        dispatched: whether the order may have left this host.
        tokens: number of tokens received in this attempt.
        first_token_at: when the first of them was received, in seconds since 1970.
        dispatched_at: when the order was sent, in trio's clock.
        stop_confirmed: set once a cancellation was requested; resolves to whether the
            engine confirmed the stop.
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
    dispatched_at: float = 0.0
    finished: trio.Event = field(default_factory=trio.Event)
    stop_confirmed: Promise[bool] | None = None

    def stop(self, cause: str) -> None:
        """Cancel the attempt, unless it is being stopped already."""
        if not self.stop_cause:
            self.stop_cause = cause
            self.scope.cancel()


class AttemptStopper:
    """Asks engines to stop attempts or to export the KV caches of attempts."""

    def __init__(
        self, shared: Shared, servers: Servers, orders: EngineOrders | None
    ) -> None:
        self._shared = shared
        self._servers = servers
        self._orders = orders

    async def stop_with_confirmation(self, attempt: Attempt) -> bool:
        """Stop a non-idempotent call; returns whether its engine confirmed the stop.

        A long partial answer would otherwise be lost with a reclaimed engine. Once
        the engine confirms that the attempt has ended without a complete answer, the
        call can continue on another server from the stored tokens. Plain services
        cannot confirm that, so their calls are not moved.
        """
        server = self._servers.find(attempt.server)
        if self._orders is None or attempt.service_scheduler.service.kind != "model":
            return False
        if attempt.id is None or server is None:
            return False
        if attempt.stop_confirmed is None:
            attempt.stop_confirmed = Promise()
            self._shared.jobs.start(
                self._request_cancellation,
                self._orders,
                server,
                attempt.id,
                attempt.stop_confirmed,
            )
        timed_out = Failure(ResultCode.BACKEND_SERVER_SILENT, "no confirmation")
        return await attempt.stop_confirmed.wait(STOP_TIMEOUT, timed_out) is True

    async def _request_cancellation(
        self,
        orders: EngineOrders,
        server: BackendServer,
        attempt: AttemptId,
        stop_confirmed: Promise[bool],
    ) -> None:
        reply: Cancellation | Failure | None = None
        with trio.move_on_after(STOP_TIMEOUT):
            reply = await orders.cancel(server, attempt)
        is_stopped = reply in CONFIRMED_STOPS
        self._shared.metrics.add("attempts_stopped", confirmed=str(is_stopped).lower())
        stop_confirmed.fulfil(is_stopped)

    async def export_cache(self, attempt: Attempt) -> None:
        """Export an attempt's KV cache, which spares the next engine the prefill."""
        server = self._servers.find(attempt.server)
        if self._orders is None or server is None or attempt.id is None:
            return
        with trio.move_on_after(STOP_TIMEOUT):
            handle = await self._orders.export_cache(server, attempt.id)
            if not isinstance(handle, Failure):
                attempt.record.cache_handle = handle
                self._shared.metrics.add("caches_exported")
