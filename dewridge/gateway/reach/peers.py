"""Calls to peers that relay requests to servers."""

from collections.abc import Sequence
from dataclasses import dataclass

import trio

from dewridge.decoding import decode_json
from dewridge.gateway.forwarding import SilenceLimit, wait_for_head
from dewridge.gateway.hosts import HostEntry
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reach.protocol import (
    PROBE_PATH,
    UNFRAMED,
    RelayCall,
    RelayOrder,
    decode_loss,
    decode_reach,
    encode_order,
    remove_relay_headers,
)
from dewridge.http1.client import (
    ClientConnection,
    ConnectFailure,
    ConnectionBrokenError,
    Headers,
    ResponseHead,
    open_connection,
)
from dewridge.ids import HostId
from dewridge.policy.losses import NOT_RUN_REASONS, ConnectResult, LossReason
from dewridge.sentinels import Failure

CONNECT_TIMEOUT = 0.2
"""Seconds for a connection to a peer, which may have ended just now."""
PROBE_TIMEOUT = 0.4
"""Seconds for a peer's answer about servers that may not respond to it either."""
STATUS_OK = 200
MAX_PROBE_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class RelayedCall:
    """A call that a peer relays to a server.

    Attributes:
        call: kind of the call.
        server: the server.
        method: HTTP method.
        target: path and query.
        headers: headers for the server.
        body: the body.
        is_last_resort: whether no other relay is known.
        is_fresh: whether the sender judges an answer by the reply.
    """

    call: RelayCall
    server: ServerRecord
    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    is_last_resort: bool = False
    is_fresh: bool = False


@dataclass(frozen=True, slots=True)
class RelayFailure:
    """Why a relay passes on no answer.

    Attributes:
        loss: why; NO_PATH if another relay may do better.
        detail: details for the log.
        reach: whether the server of a lost request accepts connections of the relay;
            None if the relay did not try.
    """

    loss: LossReason
    detail: str
    reach: ConnectResult | None = None

    @property
    def is_not_run(self) -> bool:
        """Whether the server provably did not get the call."""
        return self.loss in NOT_RUN_REASONS


async def open_relay(peer: HostEntry) -> ClientConnection | RelayFailure:
    """Open a connection to a relay."""
    connection = await open_connection(peer.peers, CONNECT_TIMEOUT)
    if isinstance(connection, ConnectFailure):
        return RelayFailure(LossReason.NO_PATH, f"{peer.id}: {connection.value}")
    return connection


async def call_by_relay(
    connection: ClientConnection,
    sender: HostId,
    peer: HostEntry,
    call: RelayedCall,
    limit: SilenceLimit | None = None,
) -> ResponseHead | RelayFailure:
    """Send a call to a relay and wait for the head of the answer.

    The caller closes the connection.

    Args:
        connection: connection to the relay.
        sender: this host.
        peer: the relay.
        call: the call.
        limit: ends the wait for a silent server; None if no other attempt may follow.

    Raises:
        ConnectionBrokenError: the connection to the relay ended, or the relay's to the
            server after the head of the answer.
    """
    servers = (call.server.id,)
    order = RelayOrder(
        peer.relay_key,
        sender,
        call.call,
        servers,
        is_fresh=call.is_fresh,
        is_last_resort=call.is_last_resort,
    )
    headers = [*call.headers, *encode_order(order)]
    await connection.send(call.method, call.target, headers, call.body)
    head = await wait_for_head(connection, limit)
    lost = decode_loss(head.status, head.headers)
    if lost is not None:
        reach = decode_reach(head.headers)
        return RelayFailure(lost[0], f"{peer.id}: {lost[1]}", reach)
    connection.is_close_delimited = head.find_header(UNFRAMED) is not None
    return ResponseHead(head.status, remove_relay_headers(head.headers))


async def ask_peer(
    sender: HostId,
    peer: HostEntry,
    servers: Sequence[ServerRecord],
    *,
    is_fresh: bool = False,
) -> Sequence[ConnectResult]:
    """Return whether servers accept a peer's connections; empty without an answer.

    Args:
        sender: this host.
        peer: the peer.
        servers: the servers.
        is_fresh: whether the peer may use no results from before this call.
    """
    results: Sequence[ConnectResult] = ()
    with trio.move_on_after(PROBE_TIMEOUT):
        connection = await open_relay(peer)
        if isinstance(connection, RelayFailure):
            return ()
        try:
            names = tuple(server.id for server in servers)
            order = RelayOrder(peer.relay_key, sender, RelayCall.PROBE, names, is_fresh)
            results = await _exchange_probe(connection, peer, order)
        except ConnectionBrokenError:
            return ()
        finally:
            connection.close()
    return results


async def _exchange_probe(
    connection: ClientConnection, peer: HostEntry, order: RelayOrder
) -> Sequence[ConnectResult]:
    headers = [(b"host", peer.peers.encode()), *encode_order(order)]
    await connection.send(b"GET", PROBE_PATH, headers, b"")
    head = await connection.receive_head()
    if head.status != STATUS_OK:
        return ()
    body = bytearray()
    while (part := await connection.receive_body()) is not None:
        body += part
        if len(body) > MAX_PROBE_BYTES:
            return ()
    results = decode_json(body, list[ConnectResult])
    return () if isinstance(results, Failure) else results
