"""Sends and receives messages of other entry hosts over TCP."""

from collections import Counter, deque
from functools import partial
from typing import Any

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.decoding import is_address
from dewridge.http1.sockets import limit_receive_buffers
from dewridge.metrics.registry import Metrics
from dewridge.peers.connection import Connection
from dewridge.peers.frames import FrameContent
from dewridge.peers.greetings import DEFAULT_MEMORY_BYTES, ConnectionOptions
from dewridge.peers.hello import HelloInfo, PeerCheck
from dewridge.peers.model import Handler, Message, PeerIdentity
from dewridge.policy.memorybudget import MemoryBudget
from dewridge.sentinels import Failure
from dewridge.settings.schema import PeerSettings

MAX_CALLS_PER_TYPE = 256
"""Maximum number of concurrent calls of one message type. The limit is per type, so
that claims waiting for a slow key-value service can't block probes and make this host
look dead. It is sized for 440 hosts that each have one or two calls in flight here.
Calls beyond it are rejected at once, so that the caller can react; queued calls would
occupy memory."""
MAX_QUEUED_MESSAGES = 4_096
"""Maximum number of one-way messages per connection that wait for their handler.
Messages beyond it are dropped and counted, so that a slow handler can't exhaust the
memory."""
MAX_ACCEPTED_CONNECTIONS = 2_048
"""Maximum number of accepted connections open at once: twice what 440 hosts open to
one host, counting old and new connections while all reconnect. The limit keeps a
faulty client from using up the file descriptors of the process, which connections of
callers need as well."""


class OneWayQueue:
    """Handles the one-way messages of a connection in the order of arrival."""

    def __init__(self, transport: "PeerTransport", peer: PeerIdentity) -> None:
        self._transport = transport
        self._peer = peer
        self._messages: deque[Message] = deque()
        self._is_running = False

    def post(self, message: Message, nursery: trio.Nursery) -> bool:
        """Add a message; return False if the queue is full."""
        if len(self._messages) >= MAX_QUEUED_MESSAGES:
            return False
        self._messages.append(message)
        if not self._is_running:
            self._is_running = True
            nursery.start_soon(self._run)
        return True

    async def _run(self) -> None:
        try:
            while self._messages:
                await self._transport.run_handler(self._peer, self._messages.popleft())
        finally:
            self._is_running = False


class PeerTransport:
    """Connections to all peers; implements `Peers`.

    Each host dials its own connection to a peer for the messages that it sends, and
    receives the replies on it. One-way messages of a sender are handled in order,
    calls concurrently.

    Attributes:
        check_peer: returns why a peer must be rejected, or None; set by the membership
            service.
    """

    def __init__(
        self,
        *,
        settings: PeerSettings,
        deployment: str,
        local_identity: PeerIdentity,
        metrics: Metrics,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.check_peer: PeerCheck = lambda peer: None
        self._settings = settings
        self._metrics = metrics
        self._options = ConnectionOptions(
            hello_info=HelloInfo(deployment, local_identity),
            frame_limit=settings.frame_limit,
            connect_timeout=settings.connect_timeout,
            idle_timeout=settings.idle_timeout,
            metrics=metrics,
            check_peer=self._run_peer_check,
            memory=memory or MemoryBudget(DEFAULT_MEMORY_BYTES),
        )
        self._handlers: dict[type, Handler] = {}
        self._dialled_connections: dict[str, Connection] = {}
        self._accepted_connections: dict[Connection, OneWayQueue | None] = {}
        self._running_calls: Counter[type] = Counter()
        self._nursery: trio.Nursery | None = None
        self._started = trio.Event()
        self._address = ""

    @property
    def address(self) -> str:
        """IP address and port that peers connect to; available once started."""
        return self._address

    async def run(self) -> None:
        """Listen for peers and run all connections until cancelled."""
        listeners = await trio.open_tcp_listeners(
            self._settings.port, host=self._settings.address
        )
        for listener in listeners:
            limit_receive_buffers(listener)
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
        reply, was_established = await self._try_call(address, message, timeout)
        if was_established and _was_never_sent(reply):
            # The connection was closed, by the peer or as unused, just when the
            # message was queued on it. It was never sent, so a retry is safe.
            remaining = max(0.0, deadline - trio.current_time())
            reply, _ = await self._try_call(address, message, remaining)
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
        return reply, connection.was_established

    def send(self, address: str, message: Message) -> Failure | None:
        """Queue a message that needs no reply.

        It is dropped, and counted, if the connection can't be opened.
        """
        connection = self._find_connection(address)
        if isinstance(connection, Failure):
            return connection
        return connection.send(message)

    def handle(self, kind: type, handler: Handler) -> None:
        """Register the handler of a message type."""
        self._handlers[kind] = handler

    async def describe(self) -> dict[str, Any]:
        """Return the state of the connections for a dump."""
        connections = [*self._dialled_connections.values(), *self._accepted_connections]
        return {
            "address": self._address,
            "connections": [connection.describe() for connection in connections],
            "handlers_busy": {
                message_type.__name__: count
                for message_type, count in self._running_calls.items()
                if count
            },
        }

    def _run_peer_check(self, peer: PeerIdentity) -> Failure | None:
        return self.check_peer(peer)

    def _find_connection(self, address: str) -> Connection | Failure:
        connection = self._dialled_connections.get(address)
        if connection is not None and connection.is_usable:
            return connection
        if self._nursery is None:
            return Failure(ResultCode.PEER_UNREACHABLE, "not running")
        connection = Connection(
            self._options, self._dispatch, address=address, is_dialled=True
        )
        self._dialled_connections[address] = connection
        self._nursery.start_soon(self._run_dialled, connection)
        return connection

    async def _run_dialled(self, connection: Connection) -> None:
        try:
            await connection.run(partial(_open_stream, connection.address))
        finally:
            if self._dialled_connections.get(connection.address) is connection:
                del self._dialled_connections[connection.address]

    async def _run_accepted(self, stream: trio.SocketStream) -> None:
        if len(self._accepted_connections) >= MAX_ACCEPTED_CONNECTIONS:
            self._metrics.add("peer_connections_ended", reason="too_many")
            await trio.aclose_forcefully(stream)
            return
        address = str(stream.socket.getpeername()[0])
        connection = Connection(
            self._options, self._dispatch, address=address, is_dialled=False
        )
        self._accepted_connections[connection] = None

        async def get_stream() -> trio.SocketStream:
            return stream

        try:
            await connection.run(get_stream)
        finally:
            del self._accepted_connections[connection]

    def _dispatch(self, connection: Connection, content: FrameContent) -> None:
        message_type = type(content.message)
        if self._nursery is None or connection.peer is None:
            return
        if message_type not in self._handlers:
            self._metrics.add("peer_messages_unknown")
            self._reject_call(connection, content, "message of an unknown kind")
        elif not content.call:
            self._enqueue_one_way(connection, connection.peer, content.message)
        elif self._running_calls[message_type] >= MAX_CALLS_PER_TYPE:
            self._metrics.add("peer_messages_dropped", kind=message_type.__name__)
            self._reject_call(connection, content, "too many calls at once")
        else:
            self._running_calls[message_type] += 1
            self._nursery.start_soon(
                self._handle_call, connection, connection.peer, content
            )

    def _enqueue_one_way(
        self, connection: Connection, peer: PeerIdentity, message: Message
    ) -> None:
        queue = self._accepted_connections.get(connection) or OneWayQueue(self, peer)
        if connection in self._accepted_connections:
            self._accepted_connections[connection] = queue
        assert self._nursery is not None
        if not queue.post(message, self._nursery):
            type_name = type(message).__name__
            self._metrics.add("peer_messages_dropped", kind=type_name)

    def _reject_call(
        self, connection: Connection, content: FrameContent, reason: str
    ) -> None:
        if content.call:
            connection.reply(content.call, Failure(ResultCode.PEER_REFUSED, reason))

    async def _handle_call(
        self, connection: Connection, peer: PeerIdentity, content: FrameContent
    ) -> None:
        try:
            result = await self.run_handler(peer, content.message)
        finally:
            self._running_calls[type(content.message)] -= 1
        if result is not None:
            connection.reply(content.call, result)

    async def run_handler(
        self, peer: PeerIdentity, message: Message
    ) -> Message | Failure | None:
        """Run the handler of a message; return its result, or INTERNAL if it raises."""
        message_type = type(message)
        try:
            return await self._handlers[message_type](peer, message)
        except Exception as error:  # a failing handler must not stop the transport
            self._metrics.add("peer_handler_faults", kind=message_type.__name__)
            log.opt(exception=error).error(
                "handler of {} failed", message_type.__name__
            )
            return Failure(ResultCode.INTERNAL, "the peer's handler failed")


def _was_never_sent(reply: Message | Failure) -> bool:
    return isinstance(reply, Failure) and reply.code is ResultCode.PEER_UNREACHABLE


async def _open_stream(address: str) -> trio.SocketStream:
    if not is_address(address):
        raise ValueError("not an IP number and port")
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))
