"""Messages between peers, over connections that break, go silent or carry garbage."""

import threading
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio
import trio.testing

from dewridge.codes import ResultCode
from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.metrics.registry import Metrics
from dewridge.peers.frames import FrameContent, encode_frame
from dewridge.peers.hello import HelloInfo, make_hello
from dewridge.peers.model import Message, PeerIdentity
from dewridge.peers.transport import PeerTransport
from dewridge.peers.wire import ttypes
from dewridge.sentinels import Failure
from dewridge.settings.schema import PeerSettings
from dewridge.tests.peers.relays import Relay

SETTINGS = PeerSettings(
    port=0, idle_timeout=0.6, connect_timeout=0.4, frame_limit=50_000
)
FIND = ttypes.Find(request="account/key")


def make_identity(host: str, incarnation: int = 1) -> PeerIdentity:
    return PeerIdentity(HostId(host), Incarnation(incarnation), FailureDomain("a"))


def make_transport(
    host: str, deployment: str = "test"
) -> tuple[PeerTransport, Metrics]:
    metrics = Metrics()
    transport = PeerTransport(
        settings=SETTINGS,
        deployment=deployment,
        local_identity=make_identity(host),
        metrics=metrics,
    )
    return transport, metrics


async def answer_find(peer: PeerIdentity, message: Message) -> Message:
    return ttypes.FindReply(found=True, tokens=len(message.request))


@asynccontextmanager
async def run_pair() -> AsyncIterator[
    tuple[PeerTransport, PeerTransport, Metrics, Metrics]
]:
    caller, caller_metrics = make_transport("one")
    callee, callee_metrics = make_transport("two")
    callee.handle(ttypes.Find, answer_find)
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.run)
            nursery.start_soon(callee.run)
            await caller.wait_started()
            await callee.wait_started()
            yield caller, callee, caller_metrics, callee_metrics
            nursery.cancel_scope.cancel()


@asynccontextmanager
async def limit_real_time(seconds: float) -> AsyncIterator[None]:
    """Fail the block after some seconds of real time, whatever clock the test uses."""
    has_ended = threading.Event()

    async def watch() -> None:
        if not await trio.to_thread.run_sync(
            has_ended.wait, seconds, abandon_on_cancel=True
        ):
            raise TimeoutError

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        try:
            yield
        finally:
            has_ended.set()
        nursery.cancel_scope.cancel()


async def can_find(transport: PeerTransport, address: str) -> bool:
    reply = await transport.call(address, FIND, 1)
    return isinstance(reply, ttypes.FindReply) and reply.found


def get_code(reply: object) -> ResultCode:
    assert isinstance(reply, Failure), reply
    return reply.code


async def test_many_calls_share_one_connection_and_each_gets_its_own_reply() -> None:
    async with run_pair() as (caller, callee, metrics, _):
        replies: dict[int, Message] = {}

        async def call_find(length: int) -> None:
            message = ttypes.Find(request="x" * length)
            replies[length] = await caller.call(callee.address, message, 5)

        async with trio.open_nursery() as nursery:
            for length in range(200):
                nursery.start_soon(call_find, length)
        assert all(replies[n].tokens == n for n in range(200))
        assert metrics.read("peer_connections_opened", direction="dialled") == 1


async def test_messages_without_reply_are_handled_in_order() -> None:
    async with run_pair() as (caller, callee, _, _):
        received: list[int] = []
        done = trio.Event()

        async def record_stream(peer: PeerIdentity, message: Message) -> None:
            await trio.lowlevel.checkpoint()
            received.append(message.stream)
            if len(received) == 500:
                done.set()

        callee.handle(ttypes.StopFollow, record_stream)
        for n in range(500):
            assert caller.send(callee.address, ttypes.StopFollow(stream=n)) is None
        await done.wait()
        assert received == list(range(500))


async def test_a_silent_connection_is_replaced_by_a_new_one() -> None:
    # A device between two hosts drops the state of their connection: it looks open at
    # both ends, nothing gets through, and new connections work. A request that uses
    # the connection must be delayed by one late reply at most.
    async with run_pair() as (caller, callee, metrics, callee_metrics):
        relay = Relay(callee.address)
        async with trio.open_nursery() as nursery:
            await nursery.start(relay.run)
            for _ in range(20):  # in use for a while, so that it stays open
                assert await can_find(caller, relay.address)
                await trio.sleep(0.03)
            assert relay.connection_count == 1
            relay.silence()
            assert get_code(await caller.call(relay.address, FIND, 0.1)) is (
                ResultCode.PEER_TIMEOUT
            )
            assert await can_find(caller, relay.address)
            assert relay.connection_count == 2
            await trio.sleep(1.2)
            ended_metric = "peer_connections_ended"
            assert (
                metrics.read(ended_metric, reason="silent")
                + (metrics.read(ended_metric, reason="unused"))
                >= 1
            )
            assert callee_metrics.read(ended_metric, reason="silent") == 1
            nursery.cancel_scope.cancel()


async def test_a_call_on_a_silent_connection_fails_after_the_idle_timeout() -> None:
    # As above, with a call that has a long timeout. Without heartbeats it would wait
    # the full timeout for a reply that can't arrive.
    async with run_pair() as (caller, callee, _, _):
        relay = Relay(callee.address)

        async def wait_forever(peer: PeerIdentity, message: Message) -> None:
            await trio.sleep_forever()

        callee.handle(ttypes.Cancel, wait_forever)
        async with trio.open_nursery() as nursery:
            await nursery.start(relay.run)
            with trio.move_on_after(1.5) as open_period:  # heartbeats keep it open
                await caller.call(relay.address, ttypes.Cancel(request="r"), 30)
            assert open_period.cancelled_caught
            relay.silence()
            start_time = trio.current_time()
            reply = await caller.call(relay.address, ttypes.Cancel(request="r"), 30)
            assert get_code(reply) is ResultCode.PEER_TIMEOUT
            assert trio.current_time() - start_time < 2 * SETTINGS.idle_timeout
            nursery.cancel_scope.cancel()


async def test_only_messages_never_sent_fail_as_unreachable() -> None:
    # A host is down, or it is frozen so that its kernel accepts connections but no
    # hello arrives, or its reply is lost. Only in the first two cases may the caller
    # be told that nothing was run.
    async with run_pair() as (caller, callee, _, _):
        frozen_listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = frozen_listeners[0].socket.getsockname()[1]
        unreachable = ResultCode.PEER_UNREACHABLE
        assert get_code(await caller.call("127.0.0.1:1", FIND, 1)) is unreachable
        assert get_code(await caller.call(f"127.0.0.1:{port}", FIND, 9)) is unreachable
        assert get_code(await caller.call("not an address", FIND, 1)) is unreachable

        async def drop_reply(peer: PeerIdentity, message: Message) -> None:
            return None

        callee.handle(ttypes.Find, drop_reply)
        unanswered = await caller.call(callee.address, FIND, 0.1)
        assert get_code(unanswered) is ResultCode.PEER_TIMEOUT
        await frozen_listeners[0].aclose()


async def test_a_foreign_or_garbled_connection_does_not_affect_others(
    paused_clock: trio.testing.MockClock,
) -> None:
    # A port scanner, a faulty peer, a peer that sends an oversized frame and a host of
    # another deployment connect. Calls of a valid peer continue on its connection. The
    # clock stands still: after a single call, the connection would be closed as unused
    # if the rest took more than half a heartbeat interval, 0.1 s.
    async with (
        limit_real_time(20),
        run_pair() as (caller, callee, metrics, callee_metrics),
    ):
        assert await can_find(caller, callee.address)
        hello = encode_frame(
            FrameContent(0, 0, make_hello(HelloInfo("test", make_identity("three")))),
            5_000,
        )
        assert isinstance(hello, bytes)
        oversized = (SETTINGS.frame_limit + 1).to_bytes(4, "big")
        host, port = callee.address.split(":")
        for garbage in (
            b"GET / HTTP/1.1\r\n\r\n",
            hello + oversized,
            hello + b"\0\0\0\1x",
        ):
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(garbage)
            while await stream.receive_some():
                pass
            await stream.aclose()
        assert callee_metrics.read("peer_frames_malformed") == 3
        foreign_transport, _ = make_transport("stranger", deployment="other")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(foreign_transport.run)
            await foreign_transport.wait_started()
            rejected = await foreign_transport.call(callee.address, FIND, 1)
            assert get_code(rejected) is ResultCode.PEER_REFUSED
            nursery.cancel_scope.cancel()
        assert await can_find(caller, callee.address)
        assert metrics.read("peer_connections_opened", direction="dialled") == 1


@pytest.mark.parametrize("accepts", [False, True])
@pytest.mark.parametrize("name", ["garbage", "hello", "frame", "unanswered", "empty"])
async def test_a_connection_with_bytes_without_end_keeps_none(
    name: str, accepts: bool
) -> None:
    """Guards against a peer, or a stranger, whose bytes fill the memory of a host."""
    hello = encode_frame(
        FrameContent(0, 0, make_hello(HelloInfo("test", make_identity("three")))),
        5_000,
    )
    reply = encode_frame(FrameContent(0, 7, ttypes.FindReply(found=True)), 5_000)
    assert isinstance(hello, bytes)
    assert isinstance(reply, bytes)
    begin, rest = {
        "garbage": (b"", b"x" * 16_384),
        "hello": (b"\0\0\x03\xe8", b"x" * 16_384),
        "frame": (hello + SETTINGS.frame_limit.to_bytes(4, "big"), b"x" * 16_384),
        "unanswered": (hello, reply * 1_000),
        "empty": (hello, bytes(16_384)),
    }[name]
    has_ended = False

    async def flood(stream: trio.SocketStream) -> None:
        nonlocal has_ended
        try:
            await stream.send_all(begin)
            while True:
                await stream.send_all(rest)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            has_ended = True
        await stream.aclose()

    async with run_pair() as (caller, callee, _, _), trio.open_nursery() as nursery:
        tracemalloc.start()
        with trio.move_on_after(2.0):
            if accepts:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, flood, listeners)
                port = listeners[0].socket.getsockname()[1]
                for _ in range(2):
                    await caller.call(f"127.0.0.1:{port}", FIND, 0.5)
            else:
                host, _, port = callee.address.rpartition(":")
                await flood(await trio.open_tcp_stream(host, int(port)))
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        nursery.cancel_scope.cancel()
    # Valid replies that nobody waits for are dropped one by one.
    assert has_ended or name == "unanswered"
    assert peak < 8_000_000


async def test_a_fenced_peer_is_rejected_on_an_open_connection() -> None:
    # A host is paused, others take over its work, and it resumes on its open
    # connections. It must be told that it is fenced, and its calls must not be run.
    async with run_pair() as (caller, callee, _, _):
        assert await can_find(caller, callee.address)
        callee.check_peer = lambda peer: Failure(ResultCode.FENCED, "taken over")
        interrupted = await caller.call(callee.address, FIND, 1)
        assert get_code(interrupted) is ResultCode.PEER_TIMEOUT
        rejected = await caller.call(callee.address, FIND, 1)
        assert get_code(rejected) is ResultCode.FENCED


async def test_an_exception_in_a_handler_is_returned_as_internal() -> None:
    # A handler raises on a message that it does not understand. The peer must get an
    # error at once, and later messages must be answered.
    async with run_pair() as (caller, callee, _, _):

        async def raise_error(peer: PeerIdentity, message: Message) -> None:
            raise ValueError("a fault")

        callee.handle(ttypes.Cancel, raise_error)
        reply = await caller.call(callee.address, ttypes.Cancel(request="r"), 5)
        assert get_code(reply) is ResultCode.INTERNAL
        unhandled = await caller.call(callee.address, ttypes.ReadUsage(profile="p"), 5)
        assert get_code(unhandled) is ResultCode.PEER_REFUSED
        assert await can_find(caller, callee.address)


async def test_a_blocked_write_closes_the_connection() -> None:
    # A peer sends its hello and then stops reading, so that its buffers fill up.
    # Messages to it must not pile up here for the minutes that the kernel retries.
    async with run_pair() as (caller, _, metrics, _):

        async def send_hello_only(stream: trio.SocketStream) -> None:
            hello = make_hello(HelloInfo("test", make_identity("stuck")))
            frame = encode_frame(FrameContent(0, 0, hello), 5_000)
            assert isinstance(frame, bytes)
            await stream.send_all(frame)
            while True:  # heartbeats, so that the peer seems live
                await trio.sleep(0.1)
                await stream.send_all(b"\0\0\0\x17" + _HEARTBEAT_PAYLOAD)

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                partial(trio.serve_listeners, send_hello_only, listeners)
            )
            large_message = ttypes.Find(request="x" * 40_000)
            while not metrics.read("peer_connections_ended", reason="write_blocked"):
                caller.send(address, large_message)
                await trio.sleep(0.002)
            nursery.cancel_scope.cancel()


_HEARTBEAT_PAYLOAD = b"\n\0\1" + bytes(8) + b"\n\0\2" + bytes(8) + b"\0"
