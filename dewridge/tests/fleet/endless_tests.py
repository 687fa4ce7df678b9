"""Tests of servers and services that send bytes without end to the own interface."""

import gzip
import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
import trio

from dewridge import bodies
from dewridge.client import frames, operators
from dewridge.client.client import Client
from dewridge.client.frames import FrameError, read_events
from dewridge.client.model import Call
from dewridge.client.operators import OperatorClient
from dewridge.codes import ResultCode
from dewridge.fleet.dispatch import make_dispatch
from dewridge.fleet.model import AttemptEvent, BackendServer, ServerState
from dewridge.fleet.orders import make_control_client
from dewridge.ids import AttemptId, BackendServerId, FailureDomain, ServiceName
from dewridge.metrics.registry import Metrics
from dewridge.providers import channel
from dewridge.providers.channel import Answer, CallFailure, open_channel
from dewridge.providers.keyvalue import decode_entry
from dewridge.providers.model import HostState, ListedServer, ServerKind
from dewridge.sentinels import Failure
from dewridge.tests.fleet.dispatch_tests import ORDER, PLAIN_ORDER

PIECE = b"x" * 16_384
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
MAX_SECONDS = 8.0
ENCODED = gzip.compress(gzip.compress(bytes(60_000_000)))

Send = Callable[[trio.SocketStream], Awaitable[None]]


def make_chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def flood_head(stream: trio.SocketStream) -> None:
    """Send a header without end."""
    await stream.send_all(b"HTTP/1.1 200 OK\r\nX-Field: ")
    while True:
        await stream.send_all(PIECE)


async def flood_chunks(stream: trio.SocketStream) -> None:
    """Send a chunked body without end."""
    await stream.send_all(CHUNKED)
    while True:
        await stream.send_all(make_chunk(PIECE))


async def flood_unframed(stream: trio.SocketStream) -> None:
    """Send a body without end that has neither a length nor chunks."""
    await stream.send_all(UNFRAMED)
    while True:
        await stream.send_all(PIECE)


async def flood_events(stream: trio.SocketStream) -> None:
    """Send events without end that belong to no attempt."""
    await stream.send_all(CHUNKED)
    while True:
        await stream.send_all(make_chunk(b'data: {"attempt":"other"}\n\n' * 100))


async def flood_comments(stream: trio.SocketStream) -> None:
    """Send lines without end that are no events."""
    await stream.send_all(CHUNKED)
    while True:
        await stream.send_all(make_chunk(b": x\n\n" * 100))


async def flood_interim(stream: trio.SocketStream) -> None:
    """Send interim responses without end."""
    while True:
        await stream.send_all(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1_000)


async def flood_extension(stream: trio.SocketStream) -> None:
    """Send the extension of a chunk without end."""
    await stream.send_all(CHUNKED + b"5;")
    while True:
        await stream.send_all(PIECE)


async def flood_trailers(stream: trio.SocketStream) -> None:
    """Send trailer fields without end."""
    await stream.send_all(CHUNKED + b"0\r\n")
    while True:
        await stream.send_all(b"X-Field: value\r\n" * 1_000)


async def flood_length(stream: trio.SocketStream) -> None:
    """Send a body with a length beyond all limits."""
    await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % 10**15)
    while True:
        await stream.send_all(PIECE)


async def flood_refusal(stream: trio.SocketStream) -> None:
    """Send the body of a refusal without end."""
    await stream.send_all(b"HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\n")
    while True:
        await stream.send_all(make_chunk(PIECE))


FLOODS = [
    flood_head,
    flood_interim,
    flood_chunks,
    flood_extension,
    flood_trailers,
    flood_length,
    flood_unframed,
    flood_events,
    flood_comments,
    flood_refusal,
]


class ScriptedPeer:
    """A server whose answers have no end.

    Attributes:
        address: `a.b.c.d:port`.
        open: connections that are open.
        accepted: connections that were accepted.
    """

    def __init__(self, send: Send) -> None:
        self._send = send
        self.address = ""
        self.open = 0
        self.accepted = 0

    async def handle(self, stream: trio.SocketStream) -> None:
        """Answer a request until the connection is closed."""
        self.open += 1
        self.accepted += 1
        try:
            await stream.receive_some(65536)
            await self._send(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            self.open -= 1


@asynccontextmanager
async def run_peer(send: Send) -> AsyncIterator[ScriptedPeer]:
    """Run a scripted server."""
    peer = ScriptedPeer(send)
    with trio.fail_after(MAX_SECONDS):
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, peer.handle, listeners)
            port = listeners[0].socket.getsockname()[1]
            peer.address = f"127.0.0.1:{port}"
            yield peer
            nursery.cancel_scope.cancel()


def make_server(address: str, kind: ServerKind) -> BackendServer:
    """Return a listed server."""
    listed = ListedServer(
        backend_server=BackendServerId("server-0"),
        address=address,
        failure_domain=FailureDomain("zona-a"),
        kind=kind,
        services=(ServiceName("findings"),),
        machine_class="m",
        price=1.0,
        reclaimable=False,
        state=HostState.LIVE,
        capacity=8,
        checks_fencing=True,
    )
    return BackendServer(listed=listed, state=ServerState.LIVE)


@pytest.mark.parametrize("send", FLOODS)
@pytest.mark.parametrize("kind", [ServerKind.ENGINE, ServerKind.PLAIN])
async def test_an_attempt_ends_if_its_server_sends_without_end(
    send: Send, kind: ServerKind
) -> None:
    """Guards against an attempt that stays open, and buffers, while bytes arrive."""
    order = ORDER if kind is ServerKind.ENGINE else PLAIN_ORDER
    events: list[AttemptEvent] = []
    async with (
        run_peer(send) as peer,
        make_dispatch(metrics=Metrics(), connect_timeout=1.0) as dispatch,
    ):
        async with dispatch(make_server(peer.address, kind), order) as attempt:
            events += [event async for event in attempt]
        await trio.sleep(0.2)
        still_open = peer.open
    assert len(events) == 1
    assert isinstance(events[0], Failure)
    assert events[0].code in {
        ResultCode.ANSWER_MISMATCHED,
        ResultCode.BACKEND_SERVER_FAILED,
        ResultCode.CONNECTION_LOST,
    }
    assert still_open == 0


@pytest.mark.parametrize("send", FLOODS)
async def test_a_call_ends_if_the_service_sends_without_end(
    send: Send, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that buffers a service's answer until it ends."""
    monkeypatch.setattr(channel, "MAX_ANSWER_BYTES", 100_000)
    async with run_peer(send) as peer:
        url = f"http://{peer.address}"
        # Interim responses take no memory, and end with the call's time.
        timeout = 2.0 if send is flood_interim else 5.0
        async with open_channel("service", url, timeout, Metrics()) as calls:
            started_at = trio.current_time()
            answer = await calls.call("read", "GET", "/entries")
            seconds = trio.current_time() - started_at
        await trio.sleep(0.2)
        still_open = peer.open
    assert answer is CallFailure.LOST
    assert seconds < 4.0
    assert still_open == 0


@pytest.mark.parametrize("send", FLOODS)
async def test_a_control_call_ends_if_its_server_sends_without_end(send: Send) -> None:
    """Guards against a control call that buffers an answer until memory is used up."""
    async with run_peer(send) as peer:
        server = make_server(peer.address, ServerKind.ENGINE)
        async with make_control_client(metrics=Metrics(), timeout=0.5) as control:
            tracemalloc.start()
            started_at = trio.current_time()
            results = [
                await control.read_load(server),
                await control.cancel(server, AttemptId("attempt-1")),
            ]
            seconds = trio.current_time() - started_at
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
        await trio.sleep(0.2)
        still_open = peer.open
    assert {result.code for result in results if isinstance(result, Failure)} <= {
        ResultCode.BACKEND_SERVER_FAILED,
        ResultCode.BACKEND_SERVER_SILENT,
        ResultCode.CONNECTION_LOST,
    }
    assert all(isinstance(result, Failure) for result in results)
    assert seconds < 3.0
    assert peak < 10_000_000
    assert still_open == 0


@pytest.mark.parametrize("send", FLOODS)
async def test_an_operators_call_ends_if_the_host_sends_without_end(
    send: Send, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a command that buffers an answer until memory is used up."""
    monkeypatch.setattr(operators, "MAX_CALL_SECONDS", 1.0, raising=False)
    monkeypatch.setattr(operators, "MAX_ANSWER_BYTES", 100_000, raising=False)
    async with (
        run_peer(send) as peer,
        OperatorClient([peer.address], "token") as client,
    ):
        started_at = trio.current_time()
        read = await client.read("/v1/x")
        changed = await client.change("PUT", "/v1/x", 1, {})
        seconds = trio.current_time() - started_at
        await trio.sleep(0.2)
        still_open = peer.open
    assert isinstance(read, Failure)
    assert isinstance(changed, Failure)
    assert seconds < 4.0
    assert still_open == 0


async def send_encoded(stream: trio.SocketStream) -> None:
    """Send some hundred bytes that an encoding makes 60 MB of."""
    await stream.send_all(
        b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip, gzip\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (len(ENCODED), ENCODED)
    )


async def call_service(address: str) -> bool:
    """Call a service of the platform; return whether the answer was usable."""
    url = f"http://{address}"
    async with open_channel("service", url, 2.0, Metrics()) as calls:
        answer = await calls.call("read", "GET", "/v1/keys")
    return isinstance(answer, Answer) and decode_entry(answer) is not None


async def call_control(address: str) -> bool:
    """Make a control call; return whether the answer was usable."""
    server = make_server(address, ServerKind.ENGINE)
    async with make_control_client(metrics=Metrics(), timeout=2.0) as control:
        return not isinstance(await control.read_load(server), Failure)


async def call_operator(address: str) -> bool:
    """Read as an operator; return whether the answer was usable."""
    async with OperatorClient([address], "token") as client:
        return not isinstance(await client.read("/v1/x"), Failure)


async def call_host(address: str) -> bool:
    """Send a call to a host; return whether it was answered."""
    call = Call("findings", "draft_finding", "Dossier", 1.0)
    async with Client([address], "token", seed=1) as client:
        answer = await client.request(call)
    return answer.code is ResultCode.OK


@pytest.mark.parametrize("call", [call_service, call_control, call_operator, call_host])
async def test_an_encoded_answer_is_not_decoded(
    call: Callable[[str], Awaitable[bool]],
) -> None:
    """Guards against memory for what a few bytes of an encoding stand for."""
    async with run_peer(send_encoded) as peer:
        tracemalloc.start()
        is_usable = await call(peer.address)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    assert peer.accepted
    assert not is_usable
    assert peak < 10_000_000


async def test_a_line_without_end_is_a_protocol_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a client that buffers a line of a host's stream until it ends."""
    monkeypatch.setattr(frames, "MAX_LINE_BYTES", 100_000)
    taken = 0

    async def send_pieces() -> AsyncIterator[bytes]:
        nonlocal taken
        yield b"event: accepted\ndata: {}\n\n"
        while True:
            taken += 1
            yield PIECE

    items = []
    with pytest.raises(FrameError):
        async for item in read_events(send_pieces()):
            items.append(item)
    assert len(items) == 1
    assert taken < 10


async def test_lines_are_split_across_chunks() -> None:
    async def send_pieces() -> AsyncIterator[bytes]:
        for piece in (b"on", b"e\r\ntw", b"o\n", b"\nrest"):
            yield piece

    lines = [line async for line in bodies.split_lines(send_pieces(), 10)]
    assert lines == [b"one", b"two", b""]
