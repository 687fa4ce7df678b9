"""Links from single gateways to servers, which a test can cut."""

import socket
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

import trio

from dewridge.http1.sockets import send_all
from dewridge.ids import BackendServerId, ServiceName
from dewridge.tests.gateway.pushback import Fleet
from dewridge.tests.gateway.world import PLAIN, Script, ScriptedServer, reset

BACKLOG = 128
FILLER_CONNECTIONS = 4
"""Connections that fill the accept queue of a listener that accepts none, so that the
kernel drops the first packets of all later ones."""
CHUNK_BYTES = 65_536
BUFFER_BYTES = 65_536
"""Kernel buffers of a link on the way to its target. With larger ones, the link would
acknowledge uploads that the target has not read."""


class NewConnections(Enum):
    """What a cut link does with new connections."""

    SILENT = "silent"
    REFUSED = "refused"
    RESET = "reset"


class OpenConnections(Enum):
    """What a cut link does with connections that are open."""

    HANG = "hang"
    """Nothing is forwarded any more, also after the cut has ended."""
    RESET = "reset"
    LIVE = "live"


@dataclass
class CuttableLink:
    """Forwards connections of one gateway to one server.

    Attributes:
        target: `a.b.c.d:port` of the server.
        address: address that the gateway connects to.
        accepted: connections that were forwarded.
    """

    target: str
    address: str = ""
    accepted: int = 0
    _holder: socket.socket | None = None
    """Keeps the port for this link while nothing listens on it."""
    _listener: socket.socket | None = None
    _has_target_ended: bool = False
    _fillers: list[socket.socket] = field(default_factory=list)
    _pairs: list[tuple[trio.SocketStream, trio.SocketStream]] = field(
        default_factory=list
    )
    _hung: set[trio.SocketStream] = field(default_factory=set)
    _mode: NewConnections | None = None
    _changed: trio.Event = field(default_factory=trio.Event)
    _waiting: trio.CancelScope = field(default_factory=trio.CancelScope)

    def open(self) -> None:
        """Listen on a free port."""
        self._holder = _bind(0)
        self._listener = _bind(self._port)
        self._listener.listen(BACKLOG)
        self.address = f"127.0.0.1:{self._port}"

    @property
    def _port(self) -> int:
        assert self._holder is not None
        port: int = self._holder.getsockname()[1]
        return port

    async def run(self) -> None:
        """Forward connections until cancelled."""
        async with trio.open_nursery() as nursery:
            try:
                while True:
                    await self._accept(nursery)
            finally:
                self._close_listener()
                self._drop_fillers()
                if self._holder is not None:
                    self._holder.close()

    async def _accept(self, nursery: trio.Nursery) -> None:
        changed = self._changed
        if self._listener is None or self._mode is NewConnections.SILENT:
            await changed.wait()
            return
        with trio.CancelScope() as scope:
            self._waiting = scope
            await trio.lowlevel.wait_readable(self._listener)
        if self._changed is not changed or self._listener is None:
            return
        try:
            accepted, _ = self._listener.accept()
        except BlockingIOError:
            return
        accepted.setblocking(False)
        client = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
        if self._mode is NewConnections.RESET:
            reset(client)
            return
        nursery.start_soon(self._forward, client)

    async def _forward(self, client: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            reset(client)
            self.end()
            return
        limit_send_buffer(server)
        self.accepted += 1
        pair = (client, server)
        self._pairs.append(pair)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, server)
                nursery.start_soon(self._copy, server, client)
        finally:
            self._pairs.remove(pair)
            reset(client)
            reset(server)

    async def _copy(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                if source in self._hung:
                    await trio.sleep_forever()
                # With trio's, the other task could pass on an end before its error.
                await send_all(sink, data)
            if source in self._hung:
                await trio.sleep_forever()
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            if source not in self._hung:
                reset(sink)
                reset(source)

    def cut(self, new: NewConnections, opened: OpenConnections) -> None:
        """Cut the link."""
        for pair in list(self._pairs):
            if opened is OpenConnections.HANG:
                self._hung.update(pair)
            elif opened is OpenConnections.RESET:
                for stream in pair:
                    reset(stream)
        self._set_mode(new)

    def end(self) -> None:
        """Reset all connections and refuse new ones: the server has ended."""
        self._has_target_ended = True
        for pair in list(self._pairs):
            for stream in pair:
                reset(stream)
        self._set_mode(NewConnections.REFUSED)

    def heal(self) -> None:
        """Forward new connections again."""
        self._set_mode(None)

    def _set_mode(self, mode: NewConnections | None) -> None:
        if self._has_target_ended:
            mode = NewConnections.REFUSED
        self._mode = mode
        self._waiting.cancel()
        self._drop_fillers()
        if mode is NewConnections.REFUSED:
            self._close_listener()
        elif self._listener is None:
            self._listener = _bind(self._port)
        if mode is NewConnections.SILENT:
            assert self._listener is not None
            self._listener.listen(0)
            self._fillers = [
                _start_connecting(self._port) for _ in range(FILLER_CONNECTIONS)
            ]
        elif self._listener is not None:
            self._listener.listen(BACKLOG)
        self._changed.set()
        self._changed = trio.Event()

    def _close_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _drop_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()


def limit_send_buffer(stream: trio.SocketStream) -> None:
    """Limit the kernel's send buffer of a link's connection to its target."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)


def _bind(port: int) -> socket.socket:
    """Return a socket on a port that may be bound more than once."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    bound.setblocking(False)
    bound.bind(("127.0.0.1", port))
    return bound


def _start_connecting(port: int) -> socket.socket:
    filler = socket.socket()
    filler.setblocking(False)
    filler.connect_ex(("127.0.0.1", port))
    return filler


@dataclass
class LinkedFleet:
    """A fleet whose gateways reach each server over links of their own."""

    fleet: Fleet
    links: dict[tuple[int, BackendServerId], CuttableLink] = field(default_factory=dict)

    async def add_server(
        self,
        name: str,
        script: Script,
        service: ServiceName = PLAIN,
        started_at_ms: int = 0,
    ) -> ScriptedServer:
        """Start a server that all gateways reach."""
        first = self.fleet.worlds[0]
        server = await first.add_server(
            name, script, service, started_at_ms=started_at_ms
        )
        record = first.state.servers.find(server.id)
        assert record is not None
        for number, world in enumerate(self.fleet.worlds):
            link = CuttableLink(record.address)
            link.open()
            first.nursery.start_soon(link.run)
            self.links[number, server.id] = link
            linked = replace(record, address=link.address)
            world.state.servers.update(linked, trio.current_time())
        return server

    def cut(
        self,
        hosts: Iterable[int],
        new: NewConnections,
        opened: OpenConnections,
        servers: Iterable[ScriptedServer] | None = None,
    ) -> None:
        """Cut hosts from all or some servers."""
        for link in self._select(hosts, servers):
            link.cut(new, opened)

    def heal(self, hosts: Iterable[int]) -> None:
        """End the cuts of hosts."""
        for link in self._select(hosts, None):
            link.heal()

    def _select(
        self, hosts: Iterable[int], servers: Iterable[ScriptedServer] | None
    ) -> list[CuttableLink]:
        numbers = set(hosts)
        ids = None if servers is None else {server.id for server in servers}
        return [
            link
            for (number, server), link in self.links.items()
            if number in numbers and (ids is None or server in ids)
        ]
