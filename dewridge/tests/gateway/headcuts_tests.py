"""Tests of servers that stop within the head of an answer, or within its body."""

from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from dataclasses import dataclass, field, replace
from itertools import product
from typing import Any

import trio

from dewridge.gateway.clock import read_boot_clock
from dewridge.policy.reachability import ServerPath
from dewridge.tests.gateway.partition_tests import partition
from dewridge.tests.gateway.partitions import LinkedFleet
from dewridge.tests.gateway.pushback import open_fleet
from dewridge.tests.gateway.world import (
    ENGINE,
    PLAIN,
    CallerAnswer,
    ScriptedServer,
    ServerExchange,
    World,
    make_event,
    open_world,
)

BODY = b"whole body"
LAST_EVENT = 3
WORKERS = 6
"""Cases that run at the same time, each in a world of its own."""
MAX_SECONDS = 4.0
"""Seconds until the answer to a case."""
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
ROUTES = ("read", "write", "draft", "chat")
REPEATABLE_ROUTES = {"read", "chat"}
STREAM_ROUTES = {"draft", "chat"}


@dataclass(frozen=True)
class Case:
    """A first answer that its server does not complete.

    Attributes:
        route: name of the route.
        cut: where the answer ends.
        is_reset: whether the connection is reset, or else closed in order.
        is_kept: whether the connection has carried another answer before.
        newline: end of the lines of the head.
        interim: interim responses before the answer.
        is_split: whether the part arrives in two reads.
    """

    route: str
    cut: "Cut"
    is_reset: bool = False
    is_kept: bool = False
    newline: bytes = b"\r\n"
    interim: bytes = b""
    is_split: bool = False


@dataclass(frozen=True)
class Cut:
    """Where an answer ends.

    Attributes:
        name: names the place in failures.
        find: returns the number of bytes that are sent of the head and the body.
    """

    name: str
    find: Callable[[bytes, bytes], int]

    def __repr__(self) -> str:
        """Return the name."""
        return self.name


def cut_at(position: int) -> Cut:
    """Return a cut after some bytes."""
    return Cut(f"byte {position}", lambda head, body: position)


def cut_after(text: bytes) -> Cut:
    """Return a cut after some text of the head."""
    return Cut(f"after {text!r}", lambda head, body: head.index(text) + len(text))


def cut_after_lines(count: int) -> Cut:
    """Return a cut after some complete lines of the head."""

    def find(head: bytes, body: bytes) -> int:
        return len(b"\n".join(head.split(b"\n")[:count]) + b"\n")

    return Cut(f"after {count} lines", find)


PLACES = [
    cut_at(0),
    cut_after(b"HTTP"),
    cut_after(b"HTTP/1.1 200"),
    cut_after(b"HTTP/1.1 200 x"),
    cut_after_lines(1),
    cut_after(b"X-Attempt-Id: c"),
    cut_after(b"X-Server-Seal"),
    cut_after_lines(2),
    cut_after_lines(3),
    Cut("within the framing", lambda head, body: len(head.rstrip()) - 1),
    Cut("after the framing", lambda head, body: len(head.rstrip())),
    Cut("before the blank line's last bytes", lambda head, body: len(head) - 2),
    Cut("within the blank line", lambda head, body: len(head) - 1),
    Cut("after the head", lambda head, body: len(head)),
    Cut("within the body", lambda head, body: len(head) + len(body) // 2),
    Cut("before the last byte", lambda head, body: len(head) + len(body) - 1),
]
"""Places with a meaning. The last two lie in the body."""
MAX_HEAD_BYTES = 110
"""At least the bytes of a head with a line of its framing."""


def list_cases_by_byte() -> list[Case]:
    """Return a cut at each byte of the head for each kind of route."""
    return [
        Case(route, cut_at(position), newline=newline, is_split=newline == b"\n")
        for position in range(MAX_HEAD_BYTES)
        for route in ROUTES
        for newline in (b"\r\n", b"\n")
    ]


def list_cases_by_place() -> list[Case]:
    """Return all ways in which an answer ends at a place with a meaning."""
    ways: tuple[dict[str, Any], ...] = (
        {},
        {"newline": b"\n"},
        {"interim": INTERIM},
        {"is_kept": True},
    )
    return [
        replace(Case(route, cut, is_reset), **way)
        for route, cut, is_reset, way in product(ROUTES, PLACES, (False, True), ways)
    ]


def make_stream(first: int) -> bytes:
    """Return the chunks of a stream's events from one on."""
    events = map(make_event, range(first, LAST_EVENT + 1))
    chunks = [b"%x\r\n%s\r\n" % (len(event), event) for event in events]
    return b"".join(chunks) + b"0\r\n\r\n"


def make_whole(exchange: ServerExchange, case: Case) -> tuple[bytes, bytes]:
    """Return the head and the body of the whole answer."""
    if case.route in STREAM_ROUTES:
        first = int(exchange.headers.get(b"last-event-id", b"0")) + 1
        framing, body = b"Transfer-Encoding: chunked\r\n", make_stream(first)
    else:
        framing, body = b"Content-Length: %d\r\n" % len(BODY), BODY
    head = exchange.make_head(200, framing).replace(b"\r\n", case.newline)
    return head, body


@dataclass
class CuttingServer:
    """Answers requests; of the first answer to a case, only a part is sent."""

    case: Case
    arrivals: list[ServerExchange] = field(default_factory=list)
    was_kept: bool = False
    was_whole: bool = False
    _used: set[trio.SocketStream] = field(default_factory=set)

    async def answer(self, exchange: ServerExchange) -> None:
        """Answer a request."""
        case = self.case
        is_warm_up = exchange.headers[b"x-attempt-id"] == b"warm-up"
        if not is_warm_up:
            self.arrivals.append(exchange)
        head, body = make_whole(exchange, case)
        if is_warm_up or len(self.arrivals) > 1:
            await exchange.send(head + body)
            self._used.add(exchange.stream)
            return
        self.was_kept = exchange.stream in self._used
        size = case.cut.find(head, body)
        self.was_whole = size >= len(head + body)
        part = case.interim + (head + body)[:size]
        if case.is_split:
            await exchange.send(part[: len(part) // 2])
            await trio.sleep(0.002)
            part = part[len(part) // 2 :]
        await exchange.send(part)
        if case.is_reset:
            exchange.reset()
        else:
            await exchange.stream.aclose()


@dataclass
class CaseWorld:
    """A gateway whose servers play one case after the other.

    Attributes:
        world: the gateway.
        sender: the host whose own connections reach the servers.
        servers: the servers.
    """

    world: World
    sender: World
    servers: list[ScriptedServer]

    async def play(self, case: Case, number: int) -> str:
        """Play a case; return what is wrong."""
        playing = CuttingServer(case)
        for server in self.servers:
            server.script = playing.answer
            self.sender.state.pool.close_idle(server.id)
        for service in (PLAIN, ENGINE):
            # Kept connections are used however slowly the test runs.
            self.sender.state.pool._idle_times[service].limit = 10.0
        self.world.state.health.clear()
        self.world.state.configuration.confirm(read_boot_clock())
        if case.is_kept:
            await self._send(case, "warm-up")
        answer = await self._send(case, f"c-{number}")
        fault = judge(case, playing, answer)
        return f"{fault}: {answer}" if fault else ""

    async def _send(self, case: Case, request_id: str) -> CallerAnswer:
        method = "GET" if case.route == "read" else "POST"
        return await self.world.request(
            f"/{case.route}/a", method=method, request_id=request_id
        )


def judge(case: Case, playing: CuttingServer, answer: CallerAnswer) -> str:
    """Return what is wrong with what a caller got; empty if it is allowed."""
    is_stream = case.route in STREAM_ROUTES
    events = b"".join(map(make_event, range(1, LAST_EVENT + 1)))
    whole = events if is_stream else BODY
    runs = len(playing.arrivals)
    is_success = answer.status == 200
    is_whole = is_success and answer.is_complete
    faults = {
        "not played": runs == 0 or playing.was_kept is not case.is_kept,
        "sent again": runs > (2 if case.route in REPEATABLE_ROUTES else 1),
        "whole or not, unlike its server": is_whole != (playing.was_whole or runs > 1),
        "another body": is_whole and answer.body != whole,
        "another part": is_success and not whole.startswith(answer.body),
        "a success without an event": is_success
        and not (is_whole or (is_stream and answer.body)),
        "another status": answer.status not in {200, 502},
    }
    return ", ".join(name for name, is_seen in faults.items() if is_seen)


@asynccontextmanager
async def open_direct() -> AsyncIterator[CaseWorld]:
    """Start a gateway that reaches its servers."""
    async with open_world(retry_slack=10_000) as world:
        servers = [
            await world.add_server("plain", reset_at_once, PLAIN),
            await world.add_server("engine", reset_at_once, ENGINE),
        ]
        yield CaseWorld(world, world, servers)


@asynccontextmanager
async def open_relayed() -> AsyncIterator[CaseWorld]:
    """Start a gateway that reaches its servers by a peer only."""
    async with AsyncExitStack() as stack:
        linked = LinkedFleet(await open_fleet(stack, 2, retry_slack=10_000))
        servers = [
            await linked.add_server("plain", reset_at_once, PLAIN),
            await linked.add_server("engine", reset_at_once, ENGINE),
        ]
        world, peer = linked.fleet.worlds
        partition(linked, [0])
        for path in ("/read/a", "/chat/a"):
            await world.request(path, request_id="first")
        for service in (PLAIN, ENGINE):
            assert world.state.links.find_path(service) is ServerPath.BY_PEER
        yield CaseWorld(world, peer, servers)


async def reset_at_once(exchange: ServerExchange) -> None:
    """Give no answer."""
    exchange.reset()


async def play_all(
    open_case_world: Callable[[], AbstractAsyncContextManager[CaseWorld]],
    cases: Iterable[Case],
) -> list[str]:
    """Play cases in several worlds; return those that go wrong."""
    numbered = iter(enumerate(cases))
    faults: list[str] = []

    async def work() -> None:
        async with open_case_world() as case_world:
            for number, case in numbered:
                fault = "no end"
                with trio.move_on_after(MAX_SECONDS):
                    fault = await case_world.play(case, number)
                if fault:
                    faults.append(f"{case}: {fault}")

    async with trio.open_nursery() as nursery:
        for _ in range(WORKERS):
            nursery.start_soon(work)
    return faults


async def test_an_answer_cut_at_any_byte_of_its_head_is_no_success() -> None:
    """Guards against a part of a head that is taken for a whole answer."""
    assert await play_all(open_direct, list_cases_by_byte()) == []


async def test_an_answer_cut_anywhere_is_no_success() -> None:
    """Guards against a part of an answer that looks whole, however its server ends."""
    assert await play_all(open_direct, list_cases_by_place()) == []


async def test_an_answer_cut_anywhere_at_a_relay_is_no_success() -> None:
    """Guards against a relay that makes a whole answer of a part."""
    assert await play_all(open_relayed, list_cases_by_place()) == []
