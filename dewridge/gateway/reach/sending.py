"""Sends requests to servers by this host's own links, or by a peer."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial

import trio

from dewridge.gateway.forwarding import (
    CompleteAnswer,
    IncomingAnswer,
    LostAttempt,
    SendingHooks,
    ServerRequest,
    SilenceLimit,
    check_head,
    read_complete_answer,
    send_request,
)
from dewridge.gateway.hosts import HostEntry
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reach.peers import (
    RelayedCall,
    RelayFailure,
    call_by_relay,
    open_relay,
)
from dewridge.gateway.reach.protocol import LEAVING, RelayCall
from dewridge.gateway.state import GatewayState
from dewridge.http1.client import ClientConnection, ConnectionBrokenError
from dewridge.http1.headers import parse_decimal
from dewridge.ids import BackendServerId, HostId, ServiceName
from dewridge.platform.headers import is_misdirected, shorten_deadline
from dewridge.policy.losses import LossReason
from dewridge.policy.reachability import ServerPath

MAX_RELAYS_TRIED = 3
"""Relays that are tried for one attempt. Each found no path before it sent anything."""


async def send_by_path(
    state: GatewayState,
    request: ServerRequest,
    server: ServerRecord,
    *,
    is_non_retryable: bool,
    is_essential: bool,
    limit: SilenceLimit | None,
) -> IncomingAnswer | LostAttempt:
    """Send a request to a server and wait for the head of its answer.

    A request that could not be sent directly is sent by a peer if this host turns out
    to be partitioned from the servers.

    Args:
        state: the state of this host.
        request: the request.
        server: the server to send it to.
        is_non_retryable: whether the request can't be retried if it is lost.
        is_essential: whether a running stream would be lost without the request.
        limit: gives the attempt up if the server is silent or the connection hangs;
            None if it may not be sent again.
    """
    path = state.links.find_path(server.service)
    if path is ServerPath.DIRECT:
        started_at = trio.current_time()
        give_up = None if limit is None else limit.give_up
        with state.links.give_up_when_hanging(server.service, give_up):
            answer = await _send_directly(
                state,
                request,
                server,
                is_non_retryable,
                is_essential,
                limit,
                may_open=True,
            )
        if not _is_not_connected(answer):
            return answer
        path = await state.links.check(server, started_at)
        if path is ServerPath.DIRECT:
            return answer
        headers = shorten_deadline(request.headers, trio.current_time() - started_at)
        request = replace(request, headers=headers)
    if path is ServerPath.BY_PEER:
        call = RelayedCall(
            RelayCall.SINGLE_REQUEST if is_non_retryable else RelayCall.REQUEST,
            server,
            request.method,
            request.target,
            request.headers,
            request.body,
        )
        return await _send_by_peer(state, request, call, is_essential, limit)
    if state.links.has_live_connections(server.service):
        return await _send_directly(
            state,
            request,
            server,
            is_non_retryable,
            is_essential,
            limit,
            may_open=False,
        )
    return LostAttempt(LossReason.NO_PATH, "no peer reaches the servers either")


def make_hooks(
    state: GatewayState,
    server: ServerRecord,
    acquire: Callable[[BackendServerId, float], bool],
) -> SendingHooks:
    """Return the callbacks used while this host sends a request to a server.

    Args:
        state: the state of this host.
        server: the server.
        acquire: returns whether the server may get a request now, and counts it.
    """
    return SendingHooks(
        lambda: acquire(server.id, trio.current_time()),
        state.pushback.record_head,
        lambda: state.links.record_received(server.service),
    )


async def read_answer(
    state: GatewayState,
    server: ServerRecord,
    answer: IncomingAnswer,
    *,
    can_follow: Callable[[], bool] | None,
) -> CompleteAnswer | LostAttempt:
    """Read an answer to its end, or until it hangs and another attempt can follow.

    Args:
        state: the state of this host.
        server: the server.
        answer: the answer.
        can_follow: returns whether another attempt can follow, and reserves it; None if
            the request may not be sent again.
    """
    with trio.CancelScope() as scope:
        give_up = None
        if can_follow is not None and answer.relay is None:
            give_up = SilenceLimit(scope, can_follow).give_up
        with state.links.give_up_when_hanging(server.service, give_up):
            return await read_complete_answer(answer, state.answer_buffers)
    return LostAttempt(LossReason.CUT_OFF, "the connection hangs", is_silent=True)


def _is_not_connected(answer: IncomingAnswer | LostAttempt) -> bool:
    return isinstance(answer, LostAttempt) and answer.loss is LossReason.NOT_CONNECTED


async def _send_directly(
    state: GatewayState,
    request: ServerRequest,
    server: ServerRecord,
    is_non_retryable: bool,
    is_essential: bool,
    limit: SilenceLimit | None,
    *,
    may_open: bool,
) -> IncomingAnswer | LostAttempt:
    acquire = partial(state.pushback.acquire, is_essential=is_essential)
    hooks = make_hooks(state, server, acquire)
    return await send_request(
        request,
        server,
        state.pool,
        hooks,
        is_non_retryable=is_non_retryable,
        may_open=may_open,
        limit=limit,
    )


async def _send_by_peer(
    state: GatewayState,
    request: ServerRequest,
    call: RelayedCall,
    is_essential: bool,
    limit: SilenceLimit | None,
) -> IncomingAnswer | LostAttempt:
    service = call.server.service
    excluded: set[HostId] = set()
    leaving: HostEntry | None = None
    lost = LostAttempt(LossReason.NO_PATH, "no peer relays")
    for _ in range(MAX_RELAYS_TRIED):
        peer = await _find_relay(state, service, excluded)
        if peer is None:
            peer, leaving = leaving, None
        if peer is None:
            return lost
        # Hosts that may leave are chosen only if no other reaches the servers.
        is_last_resort = peer.id in excluded | state.links.list_fallback_relays()
        call = replace(call, is_last_resort=is_last_resort)
        answer = await _try_relay(state, request, call, peer, is_essential, limit)
        is_unusable = (
            isinstance(answer, LostAttempt) and answer.loss is LossReason.NO_PATH
        )
        state.metrics.add(
            "requests_relayed_total", outcome="unusable" if is_unusable else "sent"
        )
        if not isinstance(answer, LostAttempt) or not is_unusable:
            return answer
        lost = answer
        if lost.reason.endswith(f": {LEAVING}") and not call.is_last_resort:
            leaving = peer
        excluded.add(peer.id)
        state.links.drop_relay(service, peer.id)
    return lost


async def _find_relay(
    state: GatewayState, service: ServiceName, excluded: set[HostId]
) -> HostEntry | None:
    """Return a relay that is not excluded; ask further peers if none is known."""

    def choose() -> HostEntry | None:
        return state.links.choose_relay(
            service, excluded, state.failure_domain, state.count_domain_hosts()
        )

    peer = choose()
    if peer is None:
        await state.links.find_relays(service)
        peer = choose()
    return peer


async def _try_relay(
    state: GatewayState,
    request: ServerRequest,
    call: RelayedCall,
    peer: HostEntry,
    is_essential: bool,
    limit: SilenceLimit | None,
) -> IncomingAnswer | LostAttempt:
    opened = await open_relay(peer)
    if isinstance(opened, RelayFailure):
        return LostAttempt(opened.loss, opened.detail)

    def release(connection: ClientConnection) -> None:
        state.links.in_flight[peer.id] -= 1
        connection.close()

    state.links.in_flight[peer.id] += 1
    is_answer_open = False
    try:
        now = trio.current_time()
        if not state.pushback.acquire(call.server.id, now, is_essential=is_essential):
            return LostAttempt(LossReason.WITHHELD)
        head = await call_by_relay(opened, state.host, peer, call, limit)
        if isinstance(head, RelayFailure):
            return _convert_failure(state, call.server, head, peer)
        lost = check_head(head, request.id, is_reused=False)
        if not is_misdirected(head):
            is_current = lost is None or lost.loss is not LossReason.MISMATCHED
            state.pushback.record_head(call.server.id, head, is_current)
        if lost is not None:
            return LostAttempt(lost.loss, lost.reason, lost.status, peer.id)
        is_answer_open = True
        is_unframed = opened.is_close_delimited
        return IncomingAnswer(head, opened, release, peer.id, is_unframed=is_unframed)
    except ConnectionBrokenError as error:
        return LostAttempt(LossReason.CUT_OFF, f"{peer.id}: {error}", relay=peer.id)
    finally:
        if not is_answer_open:
            release(opened)


def _convert_failure(
    state: GatewayState, server: ServerRecord, failure: RelayFailure, peer: HostEntry
) -> LostAttempt:
    """Return what a relay's failure means here.

    A server that asked the relay for rest is left alone by this host as well: another
    relay would only be turned away in its turn.
    """
    if failure.loss is not LossReason.WITHHELD:
        return LostAttempt(
            failure.loss, failure.detail, relay=peer.id, reach=failure.reach
        )
    seconds = parse_decimal(failure.detail.rpartition(" ")[2].encode())
    if not seconds:
        return LostAttempt(LossReason.REJECTED, failure.detail, relay=peer.id)
    state.pushback.apply_rest(server.id, seconds, trio.current_time())
    return LostAttempt(LossReason.WITHHELD, failure.detail, relay=peer.id)
