"""Engines of several software versions, and callers that resume their streams."""

import re
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from dewridge.tests.gateway.world import (
    ENGINE,
    REPORT,
    REPORT_TARGET,
    CallerAnswer,
    ScriptedServer,
    ServerExchange,
    World,
    make_request,
    read_answer,
)

AddServer = Callable[..., Awaitable[ScriptedServer]]

HANDLE_TARGET = b"/-/kv-handle/"
"""Target of calls that free the memory of a run."""
EVENTS = 12
EVENT_SECONDS = 0.04
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (.*)\n\n")


@dataclass
class VersionedEngines:
    """Engines whose events name the software version that wrote them.

    Attributes:
        add_server: starts a server that the gateways know.
        servers: the engines by version.
        moves: versions of the source and of the target of each move.
        copies: versions of the source and of the engine of each copied prefix.
        event_seconds: seconds before each event.
        started_at_ms: start time of the engines by their reports.
        running: number of runs that have begun.
    """

    add_server: AddServer
    servers: dict[str, list[ScriptedServer]] = field(
        default_factory=lambda: defaultdict(list)
    )
    moves: list[tuple[str, str]] = field(default_factory=list)
    copies: list[tuple[str, str]] = field(default_factory=list)
    event_seconds: float = EVENT_SECONDS
    started_at_ms: int = 1
    running: int = 0
    _begun: trio.Event = field(default_factory=trio.Event)
    _stopped: dict[bytes, trio.Event] = field(
        default_factory=lambda: defaultdict(trio.Event)
    )
    _versions: dict[str, str] = field(default_factory=dict)
    """Versions by address."""

    async def add(self, name: str, version: str) -> ScriptedServer:
        """Start an engine."""

        async def answer(exchange: ServerExchange) -> None:
            await self._answer(exchange, version)

        server = await self.add_server(name, answer, ENGINE, version)
        server.answers_reports = False
        self.servers[version].append(server)
        return server

    def record_address(self, address: str, version: str) -> None:
        """Record the version of the engine at an address."""
        self._versions[address] = version

    async def _answer(self, exchange: ServerExchange, version: str) -> None:
        if exchange.target == REPORT_TARGET:
            await exchange.answer(REPORT % self.started_at_ms)
            return
        if exchange.target == b"/-/kv-move":
            await self._move(exchange, version)
            return
        if exchange.target.startswith(HANDLE_TARGET):
            await exchange.answer(b"{}")
            return
        source = exchange.headers.get(b"kv-fetch")
        if source is not None:
            self.copies.append((self._versions[source.decode()], version))
        await self._run(exchange, version)

    async def _move(self, exchange: ServerExchange, version: str) -> None:
        found = re.search(rb'"id": ?"([^"]*)".*"target": ?"([^"]*)"', exchange.body)
        assert found is not None
        request, target = found[1], found[2].decode()
        self.moves.append((version, self._versions[target]))
        self._stopped[request].set()
        await exchange.answer(b'{"handle":"h-1","created":3}')

    async def _run(self, exchange: ServerExchange, version: str) -> None:
        request = exchange.headers[b"x-attempt-id"]
        first = int(exchange.headers.get(b"last-event-id", b"0")) + 1
        if b"kv-from" in exchange.headers:
            self._stopped.pop(request, None)
        stopped = self._stopped[request]
        await exchange.begin_stream()
        self.running += 1
        begun, self._begun = self._begun, trio.Event()
        begun.set()
        for number in range(first, EVENTS + 1):
            with trio.move_on_after(self.event_seconds):
                await stopped.wait()
                exchange.reset()
                return
            event = b"id: %d\ndata: %s\n\n" % (number, version.encode())
            await exchange.send(b"%x\r\n%s\r\n" % (len(event), event))
        await exchange.end_stream()

    async def wait_for_streams(self, count: int) -> None:
        """Wait until engines have begun to run some streams."""
        while self.running < count:
            await self._begun.wait()

    def crash(self, version: str) -> None:
        """Crash one engine of a version."""
        next(
            server for server in self.servers[version] if not server.has_crashed
        ).crash()


@dataclass
class Stream:
    """What a caller received of one stream over its attempts.

    Attributes:
        first_attempt: id of the attempt that brought the first event.
        events: numbers and versions of the events.
        is_complete: whether the last attempt brought a complete answer.
        status: status of the last answer.
        headers: headers of the last answer.
    """

    first_attempt: str
    events: list[tuple[int, str]] = field(default_factory=list)
    is_complete: bool = False
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)

    @property
    def versions(self) -> set[str]:
        """The versions that wrote the events."""
        return {version for _, version in self.events}

    @property
    def is_whole(self) -> bool:
        """Whether all events arrived in order."""
        numbers = [number for number, _ in self.events]
        return self.is_complete and numbers == list(range(1, EVENTS + 1))

    def add(self, answer: CallerAnswer) -> None:
        """Add what an attempt brought."""
        self.status, self.headers = answer.status, answer.headers
        self.is_complete = answer.is_complete and answer.status == 200
        for match in EVENT_PATTERN.finditer(answer.body):
            self.events.append((int(match[1]), match[2].decode()))


async def begin_stream(
    world: World, attempt: str, seconds: float, path: str = "/chat/a"
) -> Stream:
    """Start a stream whose caller's connection breaks some seconds after it began."""
    stream = Stream(attempt)
    connection = await world.connect()
    received = b""
    async with connection:
        await connection.send_all(make_request(path, request_id=attempt))
        while b"\n\n" not in received:
            received += bytes(await connection.receive_some(65536))
        with trio.move_on_after(seconds):
            while data := await connection.receive_some(65536):
                received += bytes(data)
    is_complete = received.endswith(b"0\r\n\r\n")
    stream.add(CallerAnswer(200, {}, received, is_complete))
    return stream


async def resume_stream(
    world: World, stream: Stream, attempt: str, path: str = "/chat/a"
) -> None:
    """Resume a stream after its last event."""
    last = stream.events[-1][0]
    extra = f"Last-Event-Id: {last}\r\nResumes: {stream.first_attempt}\r\n"
    connection = await world.connect()
    async with connection:
        request = make_request(path, request_id=attempt, extra=extra)
        await connection.send_all(request)
        stream.add(await read_answer(connection))
