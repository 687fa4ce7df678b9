"""TCP relay that can stop forwarding without closing anything."""

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
        connections: numbers of connections; empty: all that are open.
        target: only connections to this target; empty: to any.
        new: whether connections made from now on are stalled too.
        towards_target: whether to stall the bytes that go to the target.
        towards_caller: whether to stall the bytes that come back.
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
    """Forwards connections to targets, one listener for each."""

    def __init__(self, targets: tuple[str, ...], control_port: int = 0) -> None:
        self._targets = targets
        self._connections: dict[int, Connection] = {}
        self._count = 0
        self._stall_new: StallOrder | None = None
        self._resumed = trio.Event()
        self._control = Listener(build_control_app(self), control_port)

    async def start(self, nursery: trio.Nursery) -> dict[str, Any]:
        """Listen, and return the addresses."""
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
        """Stop forwarding; returns how many connections it struck."""
        struck = 0
        for connection in self._connections.values():
            if order.connections and connection.number not in order.connections:
                continue
            if order.target in ("", connection.target):
                apply_stall(connection, order)
                struck += 1
        if order.new:
            self._stall_new = order
        return struck

    def resume(self) -> None:
        """Forward again, what was held back included."""
        self._stall_new = None
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
        self._count += 1
        connection = Connection(self._count, target)
        if self._stall_new and self._stall_new.target in ("", target):
            apply_stall(connection, self._stall_new)
        self._connections[connection.number] = connection
        try:
            async with stream, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, caller, stream, connection, True)
                nursery.start_soon(self._pump, stream, caller, connection, False)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            del self._connections[connection.number]

    async def _pump(
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
    """Stall the directions that an order names."""
    connection.stalled_towards_target |= order.towards_target
    connection.stalled_towards_caller |= order.towards_caller


def is_stalled(connection: Connection, towards_target: bool) -> bool:
    """Whether a direction of a connection is stalled."""
    if towards_target:
        return connection.stalled_towards_target
    return connection.stalled_towards_caller


def build_control_app(relay: Relay) -> QuartTrio:
    """Return the application by which tests steer the relay."""
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
