"""Messages between peers, over connections that break, garble and go silent."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import trio

from dewridge.codes import ResultCode
from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.metrics.registry import Metrics
from dewridge.peers.frames import Parcel, encode_frame
from dewridge.peers.hello import Greeting, make_hello
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


def identify(host: str, incarnation: int = 1) -> PeerIdentity:
    return PeerIdentity(HostId(host), Incarnation(incarnation), FailureDomain("a"))


def make_transport(
    host: str, deployment: str = "test"
) -> tuple[PeerTransport, Metrics]:
    metrics = Metrics()
    transport = PeerTransport(
        settings=SETTINGS, deployment=deployment, me=identify(host), metrics=metrics
    )
    return transport, metrics


async def answer_find(peer: PeerIdentity, message: Message) -> Message:
    return ttypes.FindReply(found=True, tokens=len(message.request))


@asynccontextmanager
async def run_pair() -> AsyncIterator[
    tuple[PeerTransport, PeerTransport, Metrics, Metrics]
]:
    one, one_metrics = make_transport("one")
    two, two_metrics = make_transport("two")
    two.handle(ttypes.Find, answer_find)
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(one.run)
            nursery.start_soon(two.run)
            await one.wait_started()
            await two.wait_started()
            yield one, two, one_metrics, two_metrics
            nursery.cancel_scope.cancel()


async def can_find(transport: PeerTransport, address: str) -> bool:
    reply = await transport.call(address, FIND, 1)
    return isinstance(reply, ttypes.FindReply) and reply.found


def code_of(reply: object) -> ResultCode:
    assert isinstance(reply, Failure), reply
    return reply.code


async def test_many_calls_share_one_connection_and_each_gets_its_own_reply() -> None:
    async with run_pair() as (one, two, metrics, _):
        replies: dict[int, Message] = {}

        async def ask(length: int) -> None:
            message = ttypes.Find(request="x" * length)
            replies[length] = await one.call(two.address, message, 5)

        async with trio.open_nursery() as nursery:
            for length in range(200):
                nursery.start_soon(ask, length)
        assert all(replies[n].tokens == n for n in range(200))
        assert metrics.read("peer_connections_opened", direction="dialled") == 1


async def test_messages_without_reply_are_handled_in_order() -> None:
    async with run_pair() as (one, two, _, _):
        seen: list[int] = []
        done = trio.Event()

        async def note(peer: PeerIdentity, message: Message) -> None:
            await trio.lowlevel.checkpoint()
            seen.append(message.stream)
            if len(seen) == 500:
                done.set()

        two.handle(ttypes.StopFollow, note)
        for n in range(500):
            assert one.send(two.address, ttypes.StopFollow(stream=n)) is None
        await done.wait()
        assert seen == list(range(500))


async def test_a_silent_connection_is_abandoned_while_new_ones_work() -> None:
    # Something between two hosts forgets their open connection: both ends look
    # open, nothing comes through, new connections work. A caller whose request
    # hangs on it must only notice one late reply.
    async with run_pair() as (one, two, metrics, two_metrics):
        relay = Relay(two.address)
        async with trio.open_nursery() as nursery:
            await nursery.start(relay.run)
            for _ in range(20):  # in use for a while, so that it is kept
                assert await can_find(one, relay.address)
                await trio.sleep(0.03)
            assert relay.opened == 1
            relay.silence()
            assert code_of(await one.call(relay.address, FIND, 0.1)) is (
                ResultCode.PEER_TIMEOUT
            )
            assert await can_find(one, relay.address)
            assert relay.opened == 2
            await trio.sleep(1.2)
            ended = "peer_connections_ended"
            assert (
                metrics.read(ended, reason="silent")
                + (metrics.read(ended, reason="unused"))
                >= 1
            )
            assert two_metrics.read(ended, reason="silent") == 1
            nursery.cancel_scope.cancel()


async def test_a_call_that_hangs_on_a_silent_connection_fails_by_the_idle_timeout() -> (
    None
):
    # The same, and the caller allowed a long time for its reply. Without the
    # heartbeats it would wait all of it for an answer that can't come.
    async with run_pair() as (one, two, _, _):
        relay = Relay(two.address)

        async def wait_long(peer: PeerIdentity, message: Message) -> None:
            await trio.sleep_forever()

        two.handle(ttypes.Cancel, wait_long)
        async with trio.open_nursery() as nursery:
            await nursery.start(relay.run)
            with trio.move_on_after(1.5) as alive:  # heartbeats keep it open
                await one.call(relay.address, ttypes.Cancel(request="r"), 30)
            assert alive.cancelled_caught
            relay.silence()
            began = trio.current_time()
            reply = await one.call(relay.address, ttypes.Cancel(request="r"), 30)
            assert code_of(reply) is ResultCode.PEER_TIMEOUT
            assert trio.current_time() - began < 2 * SETTINGS.idle_timeout
            nursery.cancel_scope.cancel()


async def test_only_what_never_left_is_called_unreachable() -> None:
    # A host is gone, or frozen so that its kernel takes connections and nobody
    # greets, or it loses the reply. Only in the first two may the caller be told
    # that nothing was run.
    async with run_pair() as (one, two, _, _):
        frozen = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = frozen[0].socket.getsockname()[1]
        unreachable = ResultCode.PEER_UNREACHABLE
        assert code_of(await one.call("127.0.0.1:1", FIND, 1)) is unreachable
        assert code_of(await one.call(f"127.0.0.1:{port}", FIND, 9)) is unreachable
        assert code_of(await one.call("not an address", FIND, 1)) is unreachable

        async def lose(peer: PeerIdentity, message: Message) -> None:
            return None

        two.handle(ttypes.Find, lose)
        lost = await one.call(two.address, FIND, 0.1)
        assert code_of(lost) is ResultCode.PEER_TIMEOUT
        await frozen[0].aclose()


async def test_a_foreign_or_garbled_connection_harms_no_other() -> None:
    # A port scanner, a peer with a fault, an oversized frame and a host of another
    # deployment all connect. Calls of a proper peer go on over its connection.
    async with run_pair() as (one, two, metrics, two_metrics):
        assert await can_find(one, two.address)
        hello = encode_frame(
            Parcel(0, 0, make_hello(Greeting("test", identify("three")))), 5_000
        )
        assert isinstance(hello, bytes)
        oversized = (SETTINGS.frame_limit + 1).to_bytes(4, "big")
        host, port = two.address.split(":")
        for noise in (
            b"GET / HTTP/1.1\r\n\r\n",
            hello + oversized,
            hello + b"\0\0\0\1x",
        ):
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(noise)
            while await stream.receive_some():
                pass
            await stream.aclose()
        assert two_metrics.read("peer_frames_malformed") == 3
        stranger, _ = make_transport("stranger", deployment="other")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stranger.run)
            await stranger.wait_started()
            refused = await stranger.call(two.address, FIND, 1)
            assert code_of(refused) is ResultCode.PEER_REFUSED
            nursery.cancel_scope.cancel()
        assert await can_find(one, two.address)
        assert metrics.read("peer_connections_opened", direction="dialled") == 1


async def test_a_fenced_peer_is_refused_also_on_a_connection_it_has() -> None:
    # A host was paused, others took over its work, it wakes and goes on over its
    # open connections. It must hear that it is fenced, and do nothing more.
    async with run_pair() as (one, two, _, _):
        assert await can_find(one, two.address)
        two.is_refused = lambda peer: Failure(ResultCode.FENCED, "taken over")
        cut_off = await one.call(two.address, FIND, 1)
        assert code_of(cut_off) is ResultCode.PEER_TIMEOUT
        refused = await one.call(two.address, FIND, 1)
        assert code_of(refused) is ResultCode.FENCED


async def test_a_handler_fault_is_refused_as_internal() -> None:
    # A handler meets a message that it does not understand. The peer must hear so
    # at once, and later messages be answered.
    async with run_pair() as (one, two, _, _):

        async def fail(peer: PeerIdentity, message: Message) -> None:
            raise ValueError("a fault")

        two.handle(ttypes.Cancel, fail)
        reply = await one.call(two.address, ttypes.Cancel(request="r"), 5)
        assert code_of(reply) is ResultCode.INTERNAL
        unknown = await one.call(two.address, ttypes.ReadUsage(profile="p"), 5)
        assert code_of(unknown) is ResultCode.PEER_REFUSED
        assert await can_find(one, two.address)


async def test_a_blocked_write_ends_the_connection() -> None:
    # A peer greets and then reads nothing more, so that its buffers fill up. What
    # is sent to it must not gather here for the minutes that a kernel retries.
    async with run_pair() as (one, _, metrics, _):

        async def greet_only(stream: trio.SocketStream) -> None:
            hello = make_hello(Greeting("test", identify("stuck")))
            frame = encode_frame(Parcel(0, 0, hello), 5_000)
            assert isinstance(frame, bytes)
            await stream.send_all(frame)
            while True:  # heartbeats, so that it looks alive
                await trio.sleep(0.1)
                await stream.send_all(b"\0\0\0\x17" + _BEAT)

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(trio.serve_listeners, greet_only, listeners))
            big = ttypes.Find(request="x" * 40_000)
            while not metrics.read("peer_connections_ended", reason="write_blocked"):
                one.send(address, big)
                await trio.sleep(0.002)
            nursery.cancel_scope.cancel()


_BEAT = b"\n\0\1" + bytes(8) + b"\n\0\2" + bytes(8) + b"\0"
