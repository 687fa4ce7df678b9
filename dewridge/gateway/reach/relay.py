"""Relays requests of peers that are partitioned from the servers.

The peer has admitted the request, chosen the server and counts the attempt. This host
only sends it, over its own links and never by a further host, and respects what servers
asked of it.
"""

import hmac
from functools import partial

import msgspec
import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.gateway.forwarding import (
    IncomingAnswer,
    LostAttempt,
    ServerRequest,
    send_request,
)
from dewridge.gateway.ingress import send_failure
from dewridge.gateway.model import CallerRequest, ServerRecord
from dewridge.gateway.reach.probes import SharedProbes
from dewridge.gateway.reach.protocol import (
    ANSWERED,
    LEAVING,
    LOST_STATUS,
    UNFRAMED,
    UNUSABLE_STATUS,
    RelayCall,
    RelayOrder,
    decode_order,
    encode_loss,
    remove_relay_headers,
)
from dewridge.gateway.reach.sending import make_hooks
from dewridge.gateway.responder import Responder
from dewridge.gateway.state import GatewayState
from dewridge.http1.client import (
    ClientConnection,
    ConnectFailure,
    ConnectionBrokenError,
    Headers,
)
from dewridge.http1.headers import remove_hop_by_hop_headers
from dewridge.ids import BackendServerId
from dewridge.platform import names
from dewridge.policy.losses import INTERRUPTED_REASONS, ConnectResult, LossReason
from dewridge.policy.reachability import ServerPath
from dewridge.sentinels import Failure

MAX_RELAYED = 128
"""Requests of peers in flight, so that they do not crowd out this host's callers."""
MAX_CONTROL_TIME = 1.0
"""Seconds that a control call takes at most; peers wait for 0.6 s."""
PROBE_LIFETIME = 0.25
"""Seconds for which the result of a probe is used for peers that look for a path."""
MAX_PROBED = 4
"""Servers that one peer may have probed in one call."""


class Relay:
    """Serves the calls of peers.

    Attributes:
        in_flight: number of relayed requests in flight.
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._probes: SharedProbes[ConnectResult] = SharedProbes()
        self.in_flight = 0

    async def serve(self, request: CallerRequest, responder: Responder) -> None:
        """Answer a call of a peer; reject any other."""
        order = decode_order(request.headers)
        if order is None or not hmac.compare_digest(
            order.key.encode(), self._state.relay_key.encode()
        ):
            log.bind(reason="no valid key").warning("call to relay rejected")
            failure = Failure(ResultCode.UNAUTHENTICATED, "not a host of this fleet")
            await send_failure(responder, failure)
        elif order.call is RelayCall.PROBE:
            await self._send_probe_results(order, responder)
        else:
            await self._serve_call(order, request, responder)

    async def _send_probe_results(
        self, order: RelayOrder, responder: Responder
    ) -> None:
        results = [ConnectResult.SILENT] * len(order.servers[:MAX_PROBED])
        max_age = 0.0 if order.is_fresh else PROBE_LIFETIME

        async def probe(index: int, server: BackendServerId) -> None:
            record = self._find_record(server)
            now = trio.current_time()
            # A probe by which a peer judges an answer is no request to be relayed.
            obstacle = (
                self._find_path_obstacle(record)
                if order.is_fresh
                else self._find_obstacle(record, ends_by=now)
            )
            if record is not None and not obstacle:
                connect = partial(self._state.pool.probe, record)
                results[index] = await self._probes.probe(server, connect, max_age)

        async with trio.open_nursery() as nursery:
            for index, server in enumerate(order.servers[:MAX_PROBED]):
                nursery.start_soon(probe, index, server)
        await responder.send_complete(200, [], msgspec.json.encode(results))

    def _find_record(self, server: BackendServerId) -> ServerRecord | None:
        """Return a server's record, also if it has left: it may still be answering."""
        departure = self._state.servers.find_departure(server)
        last = None if departure is None else departure.record
        return self._state.servers.find(server) or last

    async def _serve_call(
        self, order: RelayOrder, request: CallerRequest, responder: Responder
    ) -> None:
        server = self._state.servers.find(order.servers[0])
        ends_by = request.deadline
        if order.call is RelayCall.CONTROL:
            server = self._find_record(order.servers[0])
            ends_by = trio.current_time() + MAX_CONTROL_TIME
        if order.call is RelayCall.CONTROL and order.is_fresh:
            unusable = self._find_path_obstacle(server)
        else:
            unusable = self._find_obstacle(
                server, ends_by, is_last_resort=order.is_last_resort
            )
        if server is None or unusable:
            await self._send_loss(responder, LossReason.NO_PATH, unusable)
            return
        self.in_flight += 1
        outcome = "caller left"
        try:
            outcome = await self._forward(order, request, server, responder)
        finally:
            self.in_flight -= 1
            self._state.metrics.add("requests_relayed_for_peers_total")
            log.bind(
                id=request.id, server=server.id, sender=order.sender, outcome=outcome
            ).info("request relayed")

    def _find_obstacle(
        self,
        server: ServerRecord | None,
        ends_by: float,
        *,
        is_last_resort: bool = False,
    ) -> str:
        """Return why this host can't relay a call; empty if it can.

        A leaving host relays what may outlast it as long as it would accept a stream of
        its own callers, and only if no other host can.
        """
        if server is None:
            return "unknown server"
        schedule = self._state.shutdown
        now = trio.current_time()
        stream_seconds = 0.0 if is_last_resort else None
        if schedule is not None and not schedule.accepts(now, ends_by, stream_seconds):
            return LEAVING
        if self.in_flight >= MAX_RELAYED:
            return "full"
        return self._find_path_obstacle(server)

    def _find_path_obstacle(self, server: ServerRecord | None) -> str:
        """Return why this host does not reach a server itself; empty if it may."""
        if server is None:
            return "unknown server"
        path = self._state.links.find_path(server.service)
        return "" if path is ServerPath.DIRECT else "partitioned too"

    async def _forward(
        self,
        order: RelayOrder,
        request: CallerRequest,
        server: ServerRecord,
        responder: Responder,
    ) -> str:
        """Forward a call and its answer; return the outcome for the log."""
        started_at = trio.current_time()
        answer = await self._send(order, make_server_request(request), server)
        if isinstance(answer, LostAttempt):
            loss, detail = await self._classify(answer, server, started_at)
            is_interrupted = loss in INTERRUPTED_REASONS
            reach = await self._state.pool.probe(server) if is_interrupted else None
            await self._send_loss(responder, loss, detail, reach)
            return loss.value
        try:
            await forward_answer(answer, responder)
        except ConnectionBrokenError as error:
            # The end of the connection tells the peer that the answer is incomplete.
            return f"{LossReason.CUT_OFF.value}: {error}"
        finally:
            answer.close()
        return "answered"

    async def _send(
        self, order: RelayOrder, request: ServerRequest, server: ServerRecord
    ) -> IncomingAnswer | LostAttempt:
        if order.call is RelayCall.CONTROL:
            is_essential = not order.is_fresh
            return await self._send_control(request, server, is_essential=is_essential)
        state = self._state
        is_essential = any(name == names.CACHE_COPY for name, _ in request.headers)
        acquire = partial(state.pushback.acquire_relayed, is_essential=is_essential)
        hooks = make_hooks(state, server, acquire)
        return await send_request(
            request,
            server,
            state.pool,
            hooks,
            is_non_retryable=order.call is RelayCall.SINGLE_REQUEST,
            is_relayed=True,
        )

    async def _send_control(
        self, request: ServerRequest, server: ServerRecord, *, is_essential: bool
    ) -> IncomingAnswer | LostAttempt:
        now = trio.current_time()
        may_send = self._state.pushback.acquire_control
        if is_essential and not may_send(server.id, now):
            return LostAttempt(LossReason.WITHHELD)
        opened = await self._state.pool.open(server)
        if isinstance(opened, ConnectFailure):
            return LostAttempt(LossReason.NOT_CONNECTED, opened.value)
        is_open = False
        try:
            await opened.send(
                request.method, request.target, request.headers, request.body
            )
            head = await opened.receive_head()
            is_open = True
            return IncomingAnswer(head, opened, ClientConnection.close)
        except ConnectionBrokenError as error:
            return LostAttempt(LossReason.CUT_OFF, str(error))
        finally:
            if not is_open:
                opened.close()

    async def _classify(
        self, lost: LostAttempt, server: ServerRecord, started_at: float
    ) -> tuple[LossReason, str]:
        """Return the loss to report: whether another relay may reach the server."""
        if lost.loss is LossReason.NOT_CONNECTED:
            path = await self._state.links.check(server, started_at)
            if path is not ServerPath.DIRECT:
                return LossReason.NO_PATH, "partitioned too"
        if lost.loss is LossReason.WITHHELD:
            now = trio.current_time()
            rest = self._state.pushback.list_rests(now).get(server.id, 0.0)
            return LossReason.WITHHELD, f"rests for {rest:.3f}"
        return lost.loss, lost.reason

    async def _send_loss(
        self,
        responder: Responder,
        loss: LossReason,
        detail: str,
        reach: ConnectResult | None = None,
    ) -> None:
        is_unusable = loss is LossReason.NO_PATH
        status = UNUSABLE_STATUS if is_unusable else LOST_STATUS
        await responder.send_complete(status, encode_loss(loss, detail, reach), b"")


def make_server_request(request: CallerRequest) -> ServerRequest:
    """Return a peer's call as it goes to the server."""
    headers = remove_hop_by_hop_headers(remove_relay_headers(request.headers))
    return ServerRequest(
        request.id, request.method, request.target, headers, request.body
    )


async def forward_answer(answer: IncomingAnswer, responder: Responder) -> None:
    """Forward an answer as it arrives.

    Raises:
        ConnectionBrokenError: the answer was interrupted.
    """
    headers: Headers = [
        (name, value)
        for name, value in remove_hop_by_hop_headers(answer.head.headers)
        if name != b"content-length"
    ]
    headers = [*remove_relay_headers(headers), (ANSWERED, b"1")]
    if answer.is_unframed:
        headers.append((UNFRAMED, b"1"))
    await responder.send_head(answer.head.status, headers)
    while (part := await answer.receive()) is not None:
        await responder.send_body_part(part)
    await responder.finish()
