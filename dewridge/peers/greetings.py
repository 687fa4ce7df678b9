"""Opening a connection: both sides greet before any message goes."""

from dataclasses import dataclass

import trio

from dewridge.metrics.registry import Metrics
from dewridge.peers.frames import FrameContent, FrameReader, encode_frame
from dewridge.peers.hello import (
    Greeted,
    Greeting,
    RefusalCheck,
    check_hello,
    make_hello,
)
from dewridge.peers.model import Message
from dewridge.peers.refusals import hide_code, make_refusal, read_refusal, unreachable
from dewridge.peers.wire import ttypes
from dewridge.sentinels import Failure

HEARTBEATS_IN_TIMEOUT = 3
"""Heartbeats that fit into the idle timeout: two may be late or lost."""
RECEIVE_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class ConnectionOptions:
    """What all connections of a host have in common."""

    greeting: Greeting
    frame_limit: int
    connect_timeout: float
    idle_timeout: float
    metrics: Metrics
    is_refused: RefusalCheck

    @property
    def heartbeat(self) -> float:
        """Seconds without a frame sent after which a heartbeat goes out."""
        return self.idle_timeout / HEARTBEATS_IN_TIMEOUT


async def greet(
    stream: trio.SocketStream,
    reader: FrameReader,
    options: ConnectionOptions,
    dialled: bool,
) -> Greeted | Failure:
    """Exchange hellos; the side that dialled speaks first.

    A dialled connection's messages wait for the peer's hello: only so can a call
    to a frozen host, whose kernel still takes connections, be told as never sent.
    """
    hello = FrameContent(0, 0, make_hello(options.greeting))
    try:
        if dialled:
            await _send(stream, hello, options)
        first = await _receive(stream, reader, options.metrics)
        if isinstance(first, Failure):
            return first
        greeted = _check(first.message, options, dialled)
        if dialled:
            return greeted
        if isinstance(greeted, Greeted):
            await _send(stream, hello, options)
        elif isinstance(first.message, ttypes.Hello):
            await _send(stream, FrameContent(0, 0, make_refusal(greeted)), options)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return unreachable("broken while greeting")
    return greeted


def _check(
    message: Message | None, options: ConnectionOptions, dialled: bool
) -> Greeted | Failure:
    if dialled and isinstance(message, ttypes.Refusal):
        return read_refusal(message)
    checked = check_hello(message, options.greeting, options.is_refused)
    return hide_code(checked) if dialled and isinstance(checked, Failure) else checked


async def _receive(
    stream: trio.SocketStream, reader: FrameReader, metrics: Metrics
) -> FrameContent | Failure:
    while (first := reader.take()) is None:
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            return unreachable("closed while greeting")
        metrics.add("peer_bytes_received", len(data))
        reader.feed(data)
    return first


async def _send(
    stream: trio.SocketStream, parcel: FrameContent, options: ConnectionOptions
) -> None:
    frame = encode_frame(parcel, options.frame_limit)
    if isinstance(frame, bytes):
        options.metrics.add("peer_frames_sent")
        options.metrics.add("peer_bytes_sent", len(frame))
        await stream.send_all(frame)
