"""Handshake of a connection: both sides exchange hellos before any other message."""

from dataclasses import dataclass, field

import trio

from dewridge.metrics.registry import Metrics
from dewridge.peers.frames import FrameContent, FrameReader, encode_frame
from dewridge.peers.hello import (
    HandshakeResult,
    HelloInfo,
    PeerCheck,
    check_hello,
    make_hello,
)
from dewridge.peers.model import Message
from dewridge.peers.refusals import (
    make_refusal,
    make_unreachable,
    mask_fenced_code,
    read_refusal,
)
from dewridge.peers.wire import ttypes
from dewridge.policy.memorybudget import MemoryBudget
from dewridge.sentinels import Failure

HEARTBEATS_PER_IDLE_TIMEOUT = 3
"""Heartbeats sent per idle timeout, so that two may be late or lost."""
MAX_RECEIVE_BYTES = 65_536
DEFAULT_MEMORY_BYTES = 160_000_000
"""Bytes that connections may make the process hold if no settings say so."""


@dataclass(frozen=True, slots=True)
class ConnectionOptions:
    """Options shared by all connections of a host: sizes in bytes, times in seconds."""

    hello_info: HelloInfo
    frame_limit: int
    connect_timeout: float
    idle_timeout: float
    metrics: Metrics
    check_peer: PeerCheck
    memory: MemoryBudget = field(
        default_factory=lambda: MemoryBudget(DEFAULT_MEMORY_BYTES)
    )

    @property
    def heartbeat_interval(self) -> float:
        """Seconds after the last frame sent until a heartbeat is sent."""
        return self.idle_timeout / HEARTBEATS_PER_IDLE_TIMEOUT


async def exchange_hellos(
    stream: trio.SocketStream,
    reader: FrameReader,
    options: ConnectionOptions,
    is_dialled: bool,
) -> HandshakeResult | Failure:
    """Exchange hellos; the side that dialled sends first.

    Messages on a dialled connection wait for the peer's hello. The kernel of a frozen
    host still accepts connections, and a call to such a host can be reported as never
    sent only if nothing was written before the hello arrived.
    """
    hello = FrameContent(0, 0, make_hello(options.hello_info))
    try:
        if is_dialled:
            await _send_frame(stream, hello, options)
        first_frame = await _receive_hello(stream, reader, options.metrics)
        if isinstance(first_frame, Failure):
            return first_frame
        result = _check_first_message(first_frame.message, options, is_dialled)
        if is_dialled:
            return result
        if isinstance(result, HandshakeResult):
            await _send_frame(stream, hello, options)
        elif isinstance(first_frame.message, ttypes.Hello):
            await _send_frame(stream, FrameContent(0, 0, make_refusal(result)), options)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return make_unreachable("broken while greeting")
    return result


def _check_first_message(
    message: Message | None, options: ConnectionOptions, is_dialled: bool
) -> HandshakeResult | Failure:
    if is_dialled and isinstance(message, ttypes.Refusal):
        return read_refusal(message)
    result = check_hello(message, options.hello_info, options.check_peer)
    return (
        mask_fenced_code(result)
        if is_dialled and isinstance(result, Failure)
        else result
    )


async def _receive_hello(
    stream: trio.SocketStream, reader: FrameReader, metrics: Metrics
) -> FrameContent | Failure:
    while (first_frame := reader.next_frame()) is None:
        data = await stream.receive_some(MAX_RECEIVE_BYTES)
        if not data:
            return make_unreachable("closed while greeting")
        metrics.add("peer_bytes_received", len(data))
        reader.feed(data)
    return first_frame


async def _send_frame(
    stream: trio.SocketStream, content: FrameContent, options: ConnectionOptions
) -> None:
    frame = encode_frame(content, options.frame_limit)
    if isinstance(frame, bytes):
        options.metrics.add("peer_frames_sent")
        options.metrics.add("peer_bytes_sent", len(frame))
        await stream.send_all(frame)
