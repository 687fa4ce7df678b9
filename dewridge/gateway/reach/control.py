"""Control calls to engines, by this host's own links or by a peer."""

import trio

from dewridge.gateway.hosts import HostEntry
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reach.peers import (
    RelayedCall,
    RelayFailure,
    call_by_relay,
    open_relay,
)
from dewridge.gateway.reach.protocol import RelayCall
from dewridge.gateway.state import GatewayState
from dewridge.http1.calls import CallFailure, Response, ServiceClient
from dewridge.http1.client import ClientConnection, ConnectionBrokenError
from dewridge.ids import HostId
from dewridge.platform import names
from dewridge.platform.engines import REPORT_PATH, ReportReply, read_report
from dewridge.policy.reachability import ServerPath

MAX_REPORT_RELAYS = 2
"""Relays that are asked for one report. One may be leaving, or partitioned too."""
MAX_ENGINE_ANSWER_BYTES = 65_536
"""Bytes of an engine's answer to a control call, which takes some hundred."""


async def call_engine(
    state: GatewayState,
    server: ServerRecord,
    method: str,
    path: str,
    body: bytes,
    timeout: float,
) -> Response | CallFailure:
    """Make one control call.

    Args:
        state: the state of this host.
        server: the engine.
        method: HTTP method.
        path: path of the call.
        body: JSON body; empty for none.
        timeout: seconds for the call.
    """
    if state.links.find_path(server.service) is ServerPath.DIRECT:
        client = ServiceClient(
            f"engine {server.address}",
            server.address,
            timeout,
            max_response_bytes=MAX_ENGINE_ANSWER_BYTES,
        )
        response: Response | CallFailure = CallFailure.LOST
        with trio.move_on_after(timeout):
            response = await client.call(
                method, path, body=body, headers=[_make_address_check(server)]
            )
        client.close_idle()
        return response
    with trio.move_on_after(timeout):
        return await _call_by_relay(state, server, method, path, body)
    return CallFailure.LOST


def _make_address_check(server: ServerRecord) -> tuple[bytes, bytes]:
    """Return the header by which another server that has the address by now refuses."""
    return (names.EXPECTED_SERVER, server.name.encode())


async def call_relay_for_report(
    state: GatewayState, server: ServerRecord, timeout: float
) -> ReportReply | None:
    """Have a relay call an engine for its report; ask another one if it can't.

    By the report, this host judges an answer: relays that are busy or leave pass the
    call on as well.

    Args:
        state: the state of this host.
        server: the engine.
        timeout: seconds for the call of each relay.
    """
    excluded: set[HostId] = set()
    for _ in range(MAX_REPORT_RELAYS):
        peer = _choose_relay(state, server, excluded)
        if peer is None:
            return None
        with trio.move_on_after(timeout):
            path = REPORT_PATH.decode()
            reply = await _call_peer(state, peer, server, "GET", path, is_fresh=True)
            if isinstance(reply, Response):
                return read_report(reply.status, reply.body)
        excluded.add(peer.id)
    return None


def _choose_relay(
    state: GatewayState, server: ServerRecord, excluded: set[HostId]
) -> HostEntry | None:
    return state.links.choose_relay(
        server.service, excluded, state.failure_domain, state.count_domain_hosts()
    )


async def _call_by_relay(
    state: GatewayState, server: ServerRecord, method: str, path: str, body: bytes
) -> Response | CallFailure:
    peer = _choose_relay(state, server, set())
    if peer is None:
        return CallFailure.NOT_SENT
    return await _call_peer(state, peer, server, method, path, body)


async def _call_peer(
    state: GatewayState,
    peer: HostEntry,
    server: ServerRecord,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    is_fresh: bool = False,
) -> Response | CallFailure:
    connection = await open_relay(peer)
    if isinstance(connection, RelayFailure):
        return CallFailure.NOT_SENT
    headers = [
        (b"host", server.address.encode()),
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        _make_address_check(server),
    ]
    call = RelayedCall(
        RelayCall.CONTROL,
        server,
        method.encode(),
        path.encode(),
        headers,
        body,
        is_fresh=is_fresh,
    )
    try:
        head = await call_by_relay(connection, state.host, peer, call)
        if isinstance(head, RelayFailure):
            return CallFailure.NOT_SENT if head.is_not_run else CallFailure.LOST
        content = await _read_body(connection)
        if content is None:
            return CallFailure.TOO_LARGE
        return Response(head.status, content, head.headers)
    except ConnectionBrokenError:
        return CallFailure.LOST
    finally:
        connection.close()


async def _read_body(connection: ClientConnection) -> bytes | None:
    """Return an engine's answer; None if it is too large."""
    body = bytearray()
    while (part := await connection.receive_body()) is not None:
        body += part
        if len(body) > MAX_ENGINE_ANSWER_BYTES:
            return None
    return bytes(body)
