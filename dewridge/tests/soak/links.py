"""A loopback proxy whose connections can be delayed, held, cut one way or reset."""

from dataclasses import dataclass, field
from enum import Enum

import trio

from dewridge.tests.gateway.world import reset

CHUNK_BYTES = 65_536


class Mode(Enum):
    """What a link does with bytes."""

    PASS = "pass"
    SLOW = "slow"
    SILENT = "silent"
    ONE_WAY = "one way"
    """Bytes go out, none come back."""
    RESET = "reset"
    LOST_OPEN = "lost open"
    """Connections open at the change stay silent for good; new ones work."""


SLOW_LINK_DELAY = 0.3
"""Delay of each chunk of a slow link: a hundred times the usual answer of a store."""


@dataclass
class Link:
    """Forwards connections to one target.

    Attributes:
        target: `a.b.c.d:port`.
        address: where it listens; known after `start`.
        mode: what it does now.
    """

    target: str
    address: str = ""
    mode: Mode = Mode.PASS
    _stalled: set[int] = field(default_factory=set)
    _connections: dict[int, tuple[trio.SocketStream, trio.SocketStream]] = field(
        default_factory=dict
    )
    _last_number: int = 0
    _changed: trio.Event = field(default_factory=trio.Event)
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        nursery.start_soon(self._serve, listeners)

    async def _serve(self, listeners: list[trio.SocketListener]) -> None:
        with self._scope:
            await trio.serve_listeners(self._forward, listeners)

    def close(self) -> None:
        """Reset all connections and refuse new ones, as when a process ends."""
        for streams in self._connections.values():
            for stream in streams:
                reset(stream)
        self._scope.cancel()

    def set_mode(self, mode: Mode) -> None:
        """Behave otherwise from now on."""
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
        self._last_number += 1
        number = self._last_number
        self._connections[number] = (client, server)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy_bytes, number, client, server, True)
                nursery.start_soon(self._copy_bytes, number, server, client, False)
        finally:
            del self._connections[number]
            self._stalled.discard(number)
            reset(server)
            reset(client)

    async def _copy_bytes(
        self,
        number: int,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_outbound: bool,
    ) -> None:
        try:
            while True:
                data = await source.receive_some(CHUNK_BYTES)
                await self._delay(number, is_outbound)
                if not data:
                    await sink.send_eof()
                    return
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            reset(sink)
            reset(source)

    async def _delay(self, number: int, is_outbound: bool) -> None:
        if self.mode is Mode.SLOW:
            await trio.sleep(SLOW_LINK_DELAY)
        while number in self._stalled or self._is_blocked(is_outbound):
            await self._changed.wait()

    def _is_blocked(self, is_outbound: bool) -> bool:
        if self.mode is Mode.SILENT:
            return True
        return self.mode is Mode.ONE_WAY and not is_outbound
