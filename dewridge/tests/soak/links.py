"""A loopback proxy that can delay, block (also one way only) or reset connections."""

from dataclasses import dataclass, field
from enum import Enum

import trio

from dewridge.http1.sockets import send_all
from dewridge.tests.gateway.partitions import BUFFER_BYTES, limit_send_buffer
from dewridge.tests.gateway.world import reset

CHUNK_BYTES = 65_536
"""Maximum bytes forwarded at once."""
PACED_CHUNK_BYTES = 4_096
"""Maximum bytes forwarded at once by a link with a rate: connections take turns."""

MAX_PACING_LAG = 0.05
"""Seconds of late wake-ups that a link with a rate makes up for."""


class Mode(Enum):
    """How a link forwards bytes."""

    PASS = "pass"
    SLOW = "slow"
    SILENT = "silent"
    """Nothing is forwarded until the mode changes."""
    ONE_WAY = "one way"
    """Bytes from the client are forwarded; bytes from the target are blocked."""
    RESET = "reset"
    """Open connections are reset when the mode is set, and new ones when accepted."""
    LOST_OPEN = "lost open"
    """Connections open when the mode is set are blocked for good; new ones work."""


SLOW_LINK_DELAY = 0.3
"""Seconds by which a slow link delays each chunk: a hundred times the usual response
time of a store."""


@dataclass
class Link:
    """Forwards connections to one target.

    Attributes:
        target: `a.b.c.d:port`.
        address: address that it listens on; empty until `start`.
        mode: current mode.
        rate: bytes per second from the target that all connections share; 0 for no
            limit.
        forwarded: bytes from the target that were forwarded.
    """

    target: str
    address: str = ""
    mode: Mode = Mode.PASS
    rate: float = 0.0
    forwarded: int = 0
    _free_at: float = 0.0
    _stalled: set[int] = field(default_factory=set)
    _connections: dict[int, tuple[trio.SocketStream, trio.SocketStream]] = field(
        default_factory=dict
    )
    _last_connection_id: int = 0
    _changed: trio.Event = field(default_factory=trio.Event)
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to listen on a free port."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        limit_receive_buffer(listeners[0], BUFFER_BYTES)
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        nursery.start_soon(self._serve, listeners)

    async def _serve(self, listeners: list[trio.SocketListener]) -> None:
        with self._scope:
            await trio.serve_listeners(self._forward, listeners)

    def close(self) -> None:
        """Reset all connections and reject new ones, as if the target had crashed."""
        for streams in self._connections.values():
            for stream in streams:
                reset(stream)
        self._scope.cancel()

    def set_mode(self, mode: Mode) -> None:
        """Change the mode, also for open connections."""
        self.mode = mode
        self._changed.set()
        self._changed = trio.Event()
        if mode is Mode.LOST_OPEN:
            self._stalled.update(self._connections)
            self.mode = Mode.PASS
        if mode is Mode.RESET:
            for streams in self._connections.values():
                for stream in streams:
                    reset(stream)

    async def _forward(self, client: trio.SocketStream) -> None:
        if self.mode is Mode.RESET:
            reset(client)
            return
        host, _, port = self.target.rpartition(":")
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            reset(client)
            return
        limit_send_buffer(server)
        self._last_connection_id += 1
        connection_id = self._last_connection_id
        self._connections[connection_id] = (client, server)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._copy_bytes, connection_id, client, server, True
                )
                nursery.start_soon(
                    self._copy_bytes, connection_id, server, client, False
                )
        finally:
            del self._connections[connection_id]
            self._stalled.discard(connection_id)
            reset(server)
            reset(client)

    async def _copy_bytes(
        self,
        connection_id: int,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_outbound: bool,
    ) -> None:
        try:
            while True:
                size = PACED_CHUNK_BYTES if self.rate else CHUNK_BYTES
                data = await source.receive_some(size)
                await self._delay(connection_id, is_outbound)
                if not is_outbound:
                    await self._pace(len(data))
                if not data:
                    await sink.send_eof()
                    return
                # With trio's, the other task could pass on an end before its error.
                await send_all(sink, data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            reset(sink)
            reset(source)

    async def _delay(self, connection_id: int, is_outbound: bool) -> None:
        if self.mode is Mode.SLOW:
            await trio.sleep(SLOW_LINK_DELAY)
        while connection_id in self._stalled or self._is_blocked(is_outbound):
            await self._changed.wait()

    async def _pace(self, size: int) -> None:
        """Wait until the link has room for bytes from the target."""
        self.forwarded += size
        if not self.rate:
            return
        earliest = trio.current_time() - MAX_PACING_LAG
        self._free_at = max(self._free_at, earliest) + size / self.rate
        await trio.sleep_until(self._free_at)

    def _is_blocked(self, is_outbound: bool) -> bool:
        if self.mode is Mode.SILENT:
            return True
        return self.mode is Mode.ONE_WAY and not is_outbound


def limit_receive_buffer(listener: trio.SocketListener, size: int) -> None:
    """Limit the kernel's receive buffers of the connections of a listener."""
    listener.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, size)
