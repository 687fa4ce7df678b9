"""TCP relay that can stop forwarding without closing connections."""

from typing import Any

import msgspec
import trio
from quart import Response
from quart_trio import QuartTrio

from dewridge.standins.serving import LISTEN_IP, Listener, make_app, read_body, reply

CHUNK_BYTES = 65_536


class StallOrder(msgspec.Struct):
    """Stops forwarding.

    Attributes:
        connections: numbers of the connections to stall; empty: all open ones.
        target: only connections to this target are stalled; empty: to any target.
        new: whether connections opened from now on are stalled too.
        towards_target: whether bytes sent to the target are stalled.
        towards_caller: whether bytes sent to the caller are stalled.
    """

    connections: tuple[int, ...] = ()
    target: str = ""
    new: bool = False
    towards_target: bool = True
    towards_caller: bool = True


class Connection(msgspec.Struct):
    """One connection through the relay."""

    number: int
    target: str
    stalled_towards_target: bool = False
    stalled_towards_caller: bool = False
    bytes_towards_target: int = 0
    bytes_towards_caller: int = 0


class Relay:
    """Forwards connections to targets, with one listener for each target."""

    def __init__(self, targets: tuple[str, ...], control_port: int = 0) -> None:
        self._targets = targets
        self._connections: dict[int, Connection] = {}
        self._connection_count = 0
        self._new_connection_stall: StallOrder | None = None
        self._resumed = trio.Event()
        self._control = Listener(build_control_app(self), control_port)

    async def start(self, nursery: trio.Nursery) -> dict[str, Any]:
        """Start all listeners and return their addresses."""
        await nursery.start(self._control.run)
        addresses = {}
        for target in self._targets:
            listeners = await trio.open_tcp_listeners(0, host=LISTEN_IP)
            port = listeners[0].socket.getsockname()[1]
            addresses[target] = f"{LISTEN_IP}:{port}"

            async def forward(caller: trio.SocketStream, target: str = target) -> None:
                await self._forward(caller, target)

            nursery.start_soon(trio.serve_listeners, forward, listeners)
        return {
            "standin": "relay",
            "control": self._control.url,
            "addresses": addresses,
        }

    def list_connections(self) -> list[Connection]:
        """Return the open connections."""
        return list(self._connections.values())

    def stall(self, order: StallOrder) -> int:
        """Stall connections and return how many were affected."""
        stalled = 0
        for connection in self._connections.values():
            if order.connections and connection.number not in order.connections:
                continue
            if order.target in ("", connection.target):
                apply_stall(connection, order)
                stalled += 1
        if order.new:
            self._new_connection_stall = order
        return stalled

    def resume(self) -> None:
        """Continue to forward, beginning with the bytes that were stalled."""
        self._new_connection_stall = None
        for connection in self._connections.values():
            connection.stalled_towards_target = False
            connection.stalled_towards_caller = False
        self._resumed.set()
        self._resumed = trio.Event()

    async def _forward(self, caller: trio.SocketStream, target: str) -> None:
        host, _, port = target.rpartition(":")
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            return
        self._connection_count += 1
        connection = Connection(self._connection_count, target)
        if self._new_connection_stall and self._new_connection_stall.target in (
            "",
            target,
        ):
            apply_stall(connection, self._new_connection_stall)
        self._connections[connection.number] = connection
        try:
            async with stream, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy_bytes, caller, stream, connection, True)
                nursery.start_soon(self._copy_bytes, stream, caller, connection, False)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            del self._connections[connection.number]

    async def _copy_bytes(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        connection: Connection,
        towards_target: bool,
    ) -> None:
        while True:
            chunk = await source.receive_some(CHUNK_BYTES)
            while is_stalled(connection, towards_target):
                await self._resumed.wait()
            if not chunk:
                await sink.send_eof()
                return
            await sink.send_all(chunk)
            if towards_target:
                connection.bytes_towards_target += len(chunk)
            else:
                connection.bytes_towards_caller += len(chunk)


def apply_stall(connection: Connection, order: StallOrder) -> None:
    """Stall a connection in the directions given by an order."""
    connection.stalled_towards_target |= order.towards_target
    connection.stalled_towards_caller |= order.towards_caller


def is_stalled(connection: Connection, towards_target: bool) -> bool:
    """Whether a connection is stalled in a direction."""
    if towards_target:
        return connection.stalled_towards_target
    return connection.stalled_towards_caller


def build_control_app(relay: Relay) -> QuartTrio:
    """Return the HTTP application through which tests control the relay."""
    app = make_app("relay-control")

    @app.get("/control/connections")
    async def list_connections() -> Response:
        return reply(relay.list_connections())

    @app.post("/control/stall")
    async def stall() -> Response:
        return reply({"struck": relay.stall(await read_body(StallOrder))})

    @app.post("/control/resume")
    async def resume() -> Response:
        relay.resume()
        return reply({})

    return app
