"""Messages to and from other entry hosts over TCP."""

from collections import Counter, deque
from functools import partial
from typing import Any

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.metrics.registry import Metrics
from dewridge.peers.connection import Connection
from dewridge.peers.frames import FrameContent
from dewridge.peers.greetings import ConnectionOptions
from dewridge.peers.hello import Greeting, RefusalCheck
from dewridge.peers.model import Handler, Message, PeerIdentity
from dewridge.sentinels import Failure
from dewridge.settings.schema import PeerSettings

HANDLERS_PER_KIND = 256
"""Calls of one kind handled at once. Counted by kind, so that claims which wait for
a slow key-value service can't take the place of probes and make this host look dead.
Made for 440 hosts that each have a call or two in flight here; one more is refused at
once, which the caller can act on, where a longer wait would hold its memory."""
LANE_LIMIT = 4_096
"""Messages without reply that wait for their handler, for each connection; a slow
handler loses the ones beyond, counted, in place of filling the memory."""
ACCEPTED_LIMIT = 2_048
"""Connections accepted at once: twice what 440 hosts open to one, old and new ones
together while all reconnect. It keeps a faulty client from using up the process's
descriptors, which callers need as well."""


class Lane:
    """Handles messages without reply of one connection in the order they came."""

    def __init__(self, transport: "PeerTransport", peer: PeerIdentity) -> None:
        self._transport = transport
        self._peer = peer
        self._waiting: deque[Message] = deque()
        self._is_running = False

    def post(self, message: Message, nursery: trio.Nursery) -> bool:
        """Leave a message; False when too many wait."""
        if len(self._waiting) >= LANE_LIMIT:
            return False
        self._waiting.append(message)
        if not self._is_running:
            self._is_running = True
            nursery.start_soon(self._run)
        return True

    async def _run(self) -> None:
        try:
            while self._waiting:
                await self._transport.answer(self._peer, self._waiting.popleft())
        finally:
            self._is_running = False


class PeerTransport:
    """Connections to all peers; implements `Peers`.

    Each host dials its own connection to a peer for what it starts, and replies
    come back on it. Messages without reply of one sender are handled in order,
    calls side by side.

    Attributes:
        check_peer: says which peers must not be listened to; the membership sets it.
    """

    def __init__(
        self,
        *,
        settings: PeerSettings,
        deployment: str,
        local_identity: PeerIdentity,
        metrics: Metrics,
    ) -> None:
        self.check_peer: RefusalCheck = lambda peer: None
        self._settings = settings
        self._metrics = metrics
        self._options = ConnectionOptions(
            greeting=Greeting(deployment, local_identity),
            frame_limit=settings.frame_limit,
            connect_timeout=settings.connect_timeout,
            idle_timeout=settings.idle_timeout,
            metrics=metrics,
            is_refused=self._check_peer,
        )
        self._handlers: dict[type, Handler] = {}
        self._dialled: dict[str, Connection] = {}
        self._accepted: dict[Connection, Lane | None] = {}
        self._busy: Counter[type] = Counter()
        self._nursery: trio.Nursery | None = None
        self._started = trio.Event()
        self._address = ""

    @property
    def address(self) -> str:
        """IP number and port that peers connect to; known once started."""
        return self._address

    async def run(self) -> None:
        """Listen for peers and own all connections until cancelled."""
        listeners = await trio.open_tcp_listeners(
            self._settings.port, host=self._settings.address
        )
        port = listeners[0].socket.getsockname()[1]
        self._address = self._settings.advertised or f"{self._settings.address}:{port}"
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self._started.set()
                log.info("listening for peers on {}", self._address)
                await trio.serve_listeners(
                    self._run_accepted, listeners, handler_nursery=nursery
                )
        finally:
            self._nursery = None
            self._started = trio.Event()

    async def wait_started(self) -> None:
        """Wait until `address` is known and peers can connect."""
        await self._started.wait()

    async def call(
        self, address: str, message: Message, timeout: float
    ) -> Message | Failure:
        """Send a message and wait for its reply; see `Peers.call`."""
        deadline = trio.current_time() + timeout
        reply, was_open = await self._try_call(address, message, timeout)
        if was_open and _never_left(reply):
            # The connection ended, by the peer or for want of use, just as the
            # message was queued on it. It never left, so a second try is safe.
            left = max(0.0, deadline - trio.current_time())
            reply, _ = await self._try_call(address, message, left)
        if isinstance(reply, Failure):
            self._metrics.add("peer_calls_failed", code=reply.code.name)
        return reply

    async def _try_call(
        self, address: str, message: Message, timeout: float
    ) -> tuple[Message | Failure, bool]:
        connection = self._find_connection(address)
        if isinstance(connection, Failure):
            return connection, False
        reply = await connection.call(message, timeout)
        return reply, connection.was_open

    def send(self, address: str, message: Message) -> Failure | None:
        """Queue a message that needs no reply.

        It is dropped, and counted, if the connection can't be opened.
        """
        connection = self._find_connection(address)
        if isinstance(connection, Failure):
            return connection
        return connection.send(message)

    def handle(self, kind: type, handler: Handler) -> None:
        """Register what answers messages of a structure."""
        self._handlers[kind] = handler

    async def describe(self) -> dict[str, Any]:
        """Return the connections' state for a dump."""
        connections = [*self._dialled.values(), *self._accepted]
        return {
            "address": self._address,
            "connections": [connection.describe() for connection in connections],
            "handlers_busy": {kind.__name__: n for kind, n in self._busy.items() if n},
        }

    def _check_peer(self, peer: PeerIdentity) -> Failure | None:
        return self.check_peer(peer)

    def _find_connection(self, address: str) -> Connection | Failure:
        connection = self._dialled.get(address)
        if connection is not None and connection.is_usable:
            return connection
        if self._nursery is None:
            return Failure(ResultCode.PEER_UNREACHABLE, "not running")
        connection = Connection(
            self._options, self._deliver, address=address, dialled=True
        )
        self._dialled[address] = connection
        self._nursery.start_soon(self._run_dialled, connection)
        return connection

    async def _run_dialled(self, connection: Connection) -> None:
        try:
            await connection.run(partial(_open_stream, connection.address))
        finally:
            if self._dialled.get(connection.address) is connection:
                del self._dialled[connection.address]

    async def _run_accepted(self, stream: trio.SocketStream) -> None:
        if len(self._accepted) >= ACCEPTED_LIMIT:
            self._metrics.add("peer_connections_ended", reason="too_many")
            await trio.aclose_forcefully(stream)
            return
        address = str(stream.socket.getpeername()[0])
        connection = Connection(
            self._options, self._deliver, address=address, dialled=False
        )
        self._accepted[connection] = None

        async def take() -> trio.SocketStream:
            return stream

        try:
            await connection.run(take)
        finally:
            del self._accepted[connection]

    def _deliver(self, connection: Connection, parcel: FrameContent) -> None:
        kind = type(parcel.message)
        if self._nursery is None or connection.peer is None:
            return
        if kind not in self._handlers:
            self._metrics.add("peer_messages_unknown")
            self._refuse(connection, parcel, "message of an unknown kind")
        elif not parcel.call:
            self._post_to_lane(connection, connection.peer, parcel.message)
        elif self._busy[kind] >= HANDLERS_PER_KIND:
            self._metrics.add("peer_messages_dropped", kind=kind.__name__)
            self._refuse(connection, parcel, "too many calls at once")
        else:
            self._busy[kind] += 1
            self._nursery.start_soon(
                self._answer_call, connection, connection.peer, parcel
            )

    def _post_to_lane(
        self, connection: Connection, peer: PeerIdentity, message: Message
    ) -> None:
        lane = self._accepted.get(connection) or Lane(self, peer)
        if connection in self._accepted:
            self._accepted[connection] = lane
        assert self._nursery is not None
        if not lane.post(message, self._nursery):
            kind = type(message).__name__
            self._metrics.add("peer_messages_dropped", kind=kind)

    def _refuse(
        self, connection: Connection, parcel: FrameContent, reason: str
    ) -> None:
        if parcel.call:
            connection.reply(parcel.call, Failure(ResultCode.PEER_REFUSED, reason))

    async def _answer_call(
        self, connection: Connection, peer: PeerIdentity, parcel: FrameContent
    ) -> None:
        try:
            result = await self.answer(peer, parcel.message)
        finally:
            self._busy[type(parcel.message)] -= 1
        if result is not None:
            connection.reply(parcel.call, result)

    async def answer(
        self, peer: PeerIdentity, message: Message
    ) -> Message | Failure | None:
        """Let the handler of its kind answer a message."""
        kind = type(message)
        try:
            return await self._handlers[kind](peer, message)
        except Exception as error:  # a handler's fault must not end the transport
            self._metrics.add("peer_handler_faults", kind=kind.__name__)
            log.opt(exception=error).error("handler of {} failed", kind.__name__)
            return Failure(ResultCode.INTERNAL, "the peer's handler failed")


def _never_left(reply: Message | Failure) -> bool:
    return isinstance(reply, Failure) and reply.code is ResultCode.PEER_UNREACHABLE


async def _open_stream(address: str) -> trio.SocketStream:
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))
