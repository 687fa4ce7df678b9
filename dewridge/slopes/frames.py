"""Measures how many frames per second peers encode, decode and exchange on one core.

Run as `python -m dewridge.slopes.frames`. Caller and callee are in one process, so
the rate of calls includes the processor time of both.
"""

import time
from collections.abc import Callable

import trio
from loguru import logger as log

from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.metrics.registry import Metrics
from dewridge.peers.frames import (
    LENGTH_BYTES,
    FrameContent,
    decode_payload,
    encode_frame,
)
from dewridge.peers.model import Message, PeerIdentity
from dewridge.peers.transport import PeerTransport
from dewridge.peers.wire import ttypes
from dewridge.settings.schema import PeerSettings

FRAME_LIMIT_BYTES = 8_000_000
REPETITIONS = 5_000
MEASURE_SECONDS = 3.0
STREAMS = 20
TOKENS_PER_STREAM = 4
"""A frame carries `STREAMS` streams with this many tokens each."""


def make_message() -> Message:
    """Return a message such as an owner sends to a replica about every 10 ms."""
    runs = [
        ttypes.TokenRun(
            request=f"plant-cooperative/0190f2a4-7c11-7000-8000-{n:012}",
            generation=1,
            offset=40,
            tokens=["token "] * TOKENS_PER_STREAM,
            epoch=1,
        )
        for n in range(STREAMS)
    ]
    return ttypes.ReplicateTokens(runs=runs)


def time_operation(name: str, operation: Callable[[], object]) -> None:
    """Print the processor time of an operation and the resulting rate."""
    started_at = time.process_time()
    for _ in range(REPETITIONS):
        operation()
    seconds_per_call = (time.process_time() - started_at) / REPETITIONS
    print(
        f"{name}: {seconds_per_call * 1e6:.1f} us, {1 / seconds_per_call:,.0f} a second"
    )


def make_transport(host: str) -> PeerTransport:
    """Return a transport that listens on an ephemeral port."""
    return PeerTransport(
        settings=PeerSettings(port=0),
        deployment="slopes",
        local_identity=PeerIdentity(HostId(host), Incarnation(1), FailureDomain("a")),
        metrics=Metrics(),
    )


async def time_calls(callers: int) -> None:
    """Print the rate of calls over one connection with concurrent callers."""
    caller, callee = make_transport("one"), make_transport("two")

    async def handle_message(peer: PeerIdentity, message: Message) -> Message:
        return ttypes.ReplicateTokensReply(unknown=[], superseded=[])

    callee.handle(ttypes.ReplicateTokens, handle_message)
    message = make_message()
    count = 0

    async def repeat_calls() -> None:
        nonlocal count
        while True:
            reply = await caller.call(callee.address, message, 5)
            assert isinstance(reply, ttypes.ReplicateTokensReply)
            count += 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.run)
        nursery.start_soon(callee.run)
        await caller.wait_started()
        await callee.wait_started()
        started_at = time.process_time()
        for _ in range(callers):
            nursery.start_soon(repeat_calls)
        await trio.sleep(MEASURE_SECONDS)
        cpu_seconds = time.process_time() - started_at
        nursery.cancel_scope.cancel()
    rate = count / cpu_seconds
    print(f"calls, {callers} at once: {rate:,.0f} a second of a core, both ends")


def main() -> None:
    """Measure encoding, decoding and calls, and print the rates."""
    log.remove()
    message = make_message()
    frame = encode_frame(FrameContent(1, 0, message), FRAME_LIMIT_BYTES)
    assert isinstance(frame, bytes)
    print(
        f"a frame of {STREAMS} streams, {TOKENS_PER_STREAM} tokens each: "
        f"{len(frame)} bytes"
    )
    time_operation(
        "encode", lambda: encode_frame(FrameContent(1, 0, message), FRAME_LIMIT_BYTES)
    )
    time_operation("decode", lambda: decode_payload(frame[LENGTH_BYTES:]))
    for callers in (1, 16, 64):
        trio.run(time_calls, callers)


if __name__ == "__main__":
    main()
