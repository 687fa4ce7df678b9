"""Test fixtures: a gateway without platform services, scripted servers and a caller."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import h11
import trio

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.endings.releasing import release_memory
from dewridge.gateway.hosts import HostTable
from dewridge.gateway.ingress import IngressState, serve_connection
from dewridge.gateway.model import (
    Account,
    AccountKey,
    Configuration,
    Engine,
    Limits,
    Route,
    RouteKind,
    RouteName,
    ServerRecord,
    ServerVersion,
    Service,
    Share,
    index_routes,
)
from dewridge.gateway.pool import ConnectionPool
from dewridge.gateway.servers import ServerTable
from dewridge.gateway.serving import RequestProcessor
from dewridge.gateway.sharing import SharedReports
from dewridge.gateway.state import GatewayState
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    FailureDomain,
    HostId,
    ServerName,
    ServiceName,
)
from dewridge.platform.store import Listing
from dewridge.policy.quota import QuotaLedger
from dewridge.settings.gateway import (
    GatewayBounds,
    GatewayHost,
    GatewayListen,
    GatewayServices,
    GatewaySettings,
)

HOST = HostId("host-1")
ENGINE = ServiceName("engine")
PLAIN = ServiceName("plain")
KEY = AccountKey("key-1")
ACCOUNT = ClientAccount("account-1")
DOMAIN = FailureDomain("domain-a")

REPORT_TARGET = b"/-/report"
REPORT = b'{"waiting":0,"running":0,"runs":[],"born":%d}'
"""Load report of an idle engine, by the start of its process."""

Headers = list[tuple[bytes, bytes]]
Script = Callable[["ServerExchange"], Awaitable[None]]


def make_settings(**bounds: float) -> GatewaySettings:
    """Return minimal settings of a gateway."""
    return GatewaySettings(
        host=GatewayHost(id=HOST, failure_domain=DOMAIN, address="127.0.0.1"),
        listen=GatewayListen(
            callers="127.0.0.1:1", readiness="127.0.0.1:2", peer_ports=(3, 4)
        ),
        services=GatewayServices(store="127.0.0.1:5"),
        bounds=replace(GatewayBounds(), **bounds),  # type: ignore[arg-type]
    )


def make_route(
    name: str, kind: RouteKind, service: ServiceName, **fields: object
) -> Route:
    """Return a route below `/name/`."""
    route = Route(
        name=RouteName(name),
        hostname="example.test",
        path_prefix=f"/{name}/",
        kind=kind,
        timeout=2.0,
        latency_target=0.2,
        gap_target=0.5,
        attempts_limit=2,
        priority=1,
        shares=(Share(service, 1.0),),
        is_anonymous=False,
        has_prefixes=False,
        is_resumable=False,
    )
    return replace(route, **fields)  # type: ignore[arg-type]


ROUTES = (
    make_route("read", RouteKind.IDEMPOTENT, PLAIN),
    make_route("write", RouteKind.NON_IDEMPOTENT, PLAIN, attempts_limit=1),
    make_route("draft", RouteKind.STREAM, ENGINE, attempts_limit=1),
    make_route("chat", RouteKind.STREAM, ENGINE, is_resumable=True),
)


def make_configuration(
    version: int = 1,
    *,
    routes: tuple[Route, ...] = ROUTES,
    keys: tuple[AccountKey, ...] = (KEY,),
    rate: float = 0.0,
    limits: Limits | None = None,
) -> Configuration:
    """Return a configuration with one account and two services."""
    account = Account(ACCOUNT, 1, rate, rate, counts_tokens=True, plain_tokens=100)
    return Configuration(
        version=version,
        routes=routes,
        services={
            ENGINE: Service(ENGINE, 100, Engine(8, 10_000, True, True), None),
            PLAIN: Service(PLAIN, 100, None, None),
        },
        accounts=dict.fromkeys(keys, account),
        limits=limits or Limits(),
        has_accounts=True,
        by_hostname=index_routes(routes),
    )


def make_state(
    configuration: Configuration | None,
    *,
    host: HostId = HOST,
    started_at: float = 0.0,
    **bounds: float,
) -> GatewayState:
    """Return the state of a gateway that has just confirmed a configuration.

    It knows that it is the only host. Without a configuration it knows no hosts either.
    """
    ledger = QuotaLedger(host)
    state = GatewayState(
        settings=make_settings(**bounds),
        host=host,
        boot=1,
        configuration=ConfigurationState(trust_period=4.0),
        servers=ServerTable(),
        hosts=HostTable(host),
        sharing=SharedReports(host, ledger.record, started_at=started_at),
        ledger=ledger,
        pool=ConnectionPool(),
        ingress=IngressState(Limits(), connection_limit=100),
        rng=random.Random(1),
    )
    if configuration is not None:
        state.hosts.replace(Listing((), revision=0))
        state.configuration.apply(configuration)
        state.configuration.confirm(read_boot_clock())
        state.ingress.limits = configuration.limits
    return state


@dataclass
class ServerExchange:
    """A request received by a scripted server, with methods to answer it."""

    stream: trio.SocketStream
    server: BackendServerId
    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    signals: bytes = b""
    """Header lines that are added to each answer."""

    async def send(self, data: bytes) -> None:
        """Send raw bytes."""
        await self.stream.send_all(data)

    def reset(self) -> None:
        """Close the connection with a reset."""
        reset(self.stream)

    def make_head(self, status: int = 200, extra: bytes = b"") -> bytes:
        """Return an answer's head with the headers that identify request and server."""
        request = self.headers.get(b"x-attempt-id", b"")
        return (
            b"HTTP/1.1 %d x\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\n%s%s\r\n"
            % (status, request, self.server.encode(), self.signals, extra)
        )

    async def answer(
        self, body: bytes = b"done", status: int = 200, extra: bytes = b""
    ) -> None:
        """Send a complete answer."""
        length = b"Content-Length: %d\r\n" % len(body)
        await self.send(self.make_head(status, length + extra) + body)

    async def begin_stream(self) -> None:
        """Send the head of a chunked stream of events."""
        await self.send(self.make_head(200, b"Transfer-Encoding: chunked\r\n"))

    async def send_events(self, first: int, last: int) -> None:
        """Send numbered events, each in a chunk of its own."""
        for number in range(first, last + 1):
            event = make_event(number)
            await self.send(b"%x\r\n%s\r\n" % (len(event), event))

    async def end_stream(self) -> None:
        """Send the end of a chunked stream."""
        await self.send(b"0\r\n\r\n")


def reset(stream: trio.SocketStream) -> None:
    """Close a connection with a reset."""
    linger = (1).to_bytes(4, "little") + bytes(4)
    try:
        stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
    except OSError:
        return
    stream.socket.close()


def make_event(number: int) -> bytes:
    """Return an event as engines send it."""
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


@dataclass
class ScriptedServer:
    """A backend server whose answers are scripted by a test.

    Attributes:
        id: the server's id.
        script: answers a request.
        received: all requests received so far.
        closed_connections: number of connections that have ended.
        has_crashed: whether `crash` was called.
        is_early: returns whether a request is answered before its body is read.
        started_at_ms: start of its process, as its reports say.
        answers_reports: whether it answers calls for a report by itself, which are not
            among the received requests; otherwise the script does.
    """

    id: BackendServerId
    script: Script
    is_early: Callable[[h11.Request], bool] = lambda head: False
    started_at_ms: int = 1
    answers_reports: bool = False
    received: list[ServerExchange] = field(default_factory=list)
    closed_connections: int = 0
    has_crashed: bool = False
    _streams: set[trio.SocketStream] = field(default_factory=set)
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def serve(self, listeners: list[trio.SocketListener]) -> None:
        """Accept connections until the server crashes."""
        with self._scope:
            await trio.serve_listeners(self.handle, listeners)

    def end(self) -> None:
        """End in order: refuse new connections and leave the open ones alone."""
        self.has_crashed = True
        self._scope.cancel()

    def crash(self) -> None:
        """Simulate a process crash: reset all connections and refuse new ones."""
        self.has_crashed = True
        for stream in self._streams:
            reset(stream)
        self._scope.cancel()

    def close_connections(self) -> None:
        """Close all connections in order, and go on accepting others."""
        for stream in self._streams:
            stream.socket.close()

    async def handle(self, stream: trio.SocketStream) -> None:
        """Answer the requests on a connection until it ends."""
        state = h11.Connection(h11.SERVER)
        self._streams.add(stream)
        try:
            while True:
                exchange = await self._read(stream, state)
                if exchange is None:
                    break
                if self.answers_reports and exchange.target == REPORT_TARGET:
                    await exchange.answer(REPORT % self.started_at_ms)
                else:
                    self.received.append(exchange)
                    await self.script(exchange)
                state = h11.Connection(h11.SERVER)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        finally:
            self.closed_connections += 1
            self._streams.discard(stream)
            stream.socket.close()

    async def _read(
        self, stream: trio.SocketStream, state: h11.Connection
    ) -> ServerExchange | None:
        head: h11.Request | None = None
        body = b""
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(65536)
                if not data:
                    return None
                state.receive_data(bytes(data))
            elif isinstance(event, h11.Request):
                head = event
                if self.is_early(head):
                    break
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            else:
                break
        if head is None:
            return None
        return ServerExchange(
            stream, self.id, head.method, head.target, dict(head.headers), body
        )


@dataclass
class World:
    """A running gateway and its scripted backend servers, on the loopback interface."""

    state: GatewayState
    nursery: trio.Nursery
    address: str = ""

    async def add_server(
        self,
        name: str,
        script: Script,
        service: ServiceName = PLAIN,
        version: str = "",
        started_at_ms: int = 0,
    ) -> ScriptedServer:
        """Start a server and add it to the gateway's server table."""
        server = ScriptedServer(
            BackendServerId(name),
            script,
            started_at_ms=started_at_ms or 1,
            answers_reports=service == ENGINE,
        )
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.nursery.start_soon(server.serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        record = ServerRecord(
            server.id,
            ServerName(name),
            service,
            f"127.0.0.1:{port}",
            DOMAIN,
            8,
            is_draining=False,
            version=ServerVersion(version),
            started_at_ms=started_at_ms,
        )
        self.state.servers.update(record, trio.current_time())
        return server

    async def connect(self) -> trio.SocketStream:
        """Open a connection as a caller."""
        host, _, port = self.address.rpartition(":")
        return await trio.open_tcp_stream(host, int(port))

    async def request(self, path: str, **options: object) -> "CallerAnswer":
        """Send a request on a new connection and read the complete answer."""
        stream = await self.connect()
        async with stream:
            await stream.send_all(make_request(path, **options))  # type: ignore[arg-type]
            return await read_answer(stream)


def make_request(
    path: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    request_id: str = "r-1",
    key: str = KEY,
    deadline_ms: int = 2000,
    extra: str = "",
) -> bytes:
    """Return a caller's request as bytes."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: example.test\r\n"
        f"X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        f"X-Api-Key: {key}\r\n{length}{extra}\r\n"
    )
    return head.encode() + body


@dataclass
class CallerAnswer:
    """An answer received by a caller; incomplete if its connection ended early."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    is_complete: bool


async def read_answer(
    stream: trio.SocketStream, state: h11.Connection | None = None
) -> CallerAnswer:
    """Read one answer; its status is 0 if no head was received."""
    if state is None:
        state = h11.Connection(h11.CLIENT)
        state.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        state.send(h11.EndOfMessage())
    answer = CallerAnswer(0, {}, b"", is_complete=False)
    while True:
        try:
            event = state.next_event()
            if event is h11.NEED_DATA:
                state.receive_data(bytes(await stream.receive_some(65536)))
                continue
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            return answer
        if isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = dict(event.headers)
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            answer.is_complete = True
            return answer
        else:
            return answer


@asynccontextmanager
async def open_world(
    configuration: Configuration | None = None,
    *,
    host: HostId = HOST,
    started_at: float = 0.0,
    **bounds: float,
) -> AsyncIterator[World]:
    """Run the request path of a gateway on the loopback interface."""
    state = make_state(
        configuration or make_configuration(),
        host=host,
        started_at=started_at,
        **bounds,
    )
    processor = RequestProcessor(state)

    async def accept(stream: trio.SocketStream) -> None:
        await serve_connection(stream, state.ingress, processor.serve)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, accept, listeners)
        nursery.start_soon(release_memory, state)
        port = listeners[0].socket.getsockname()[1]
        yield World(state, nursery, f"127.0.0.1:{port}")
        nursery.cancel_scope.cancel()


async def answer_ok(exchange: ServerExchange) -> None:
    """Answer successfully, as a healthy server of a plain service does."""
    await exchange.answer()
