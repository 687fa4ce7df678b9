"""A loopback proxy whose connections can be delayed, held, cut one way or reset."""

from dataclasses import dataclass, field
from enum import Enum

import trio

from dewridge.tests.gateway.world import reset

CHUNK = 65_536


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


SLOW_SECONDS = 0.3
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
    _lost: set[int] = field(default_factory=set)
    _open: dict[int, tuple[trio.SocketStream, trio.SocketStream]] = field(
        default_factory=dict
    )
    _number: int = 0
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

    def end(self) -> None:
        """Reset all connections and refuse new ones, as when a process ends."""
        for ends in self._open.values():
            for stream in ends:
                reset(stream)
        self._scope.cancel()

    def change(self, mode: Mode) -> None:
        """Behave otherwise from now on."""
        self.mode = mode
        self._changed.set()
        self._changed = trio.Event()
        if mode is Mode.LOST_OPEN:
            self._lost.update(self._open)
            self.mode = Mode.PASS
        if mode is Mode.RESET:
            for ends in self._open.values():
                for stream in ends:
                    reset(stream)

    async def _forward(self, caller: trio.SocketStream) -> None:
        if self.mode is Mode.RESET:
            reset(caller)
            return
        host, _, port = self.target.rpartition(":")
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            reset(caller)
            return
        self._number += 1
        number = self._number
        self._open[number] = (caller, server)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, number, caller, server, True)
                nursery.start_soon(self._pump, number, server, caller, False)
        finally:
            del self._open[number]
            self._lost.discard(number)
            reset(server)
            reset(caller)

    async def _pump(
        self,
        number: int,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        goes_out: bool,
    ) -> None:
        try:
            while True:
                data = await source.receive_some(CHUNK)
                await self._hold(number, goes_out)
                if not data:
                    await sink.send_eof()
                    return
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            reset(sink)
            reset(source)

    async def _hold(self, number: int, goes_out: bool) -> None:
        if self.mode is Mode.SLOW:
            await trio.sleep(SLOW_SECONDS)
        while number in self._lost or self._is_held(goes_out):
            await self._changed.wait()

    def _is_held(self, goes_out: bool) -> bool:
        if self.mode is Mode.SILENT:
            return True
        return self.mode is Mode.ONE_WAY and not goes_out
