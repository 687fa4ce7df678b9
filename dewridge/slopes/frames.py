"""How many frames a second peers encode, decode and exchange on one core.

Run as `python -m dewridge.slopes.frames`. Both ends are in this one process, so a
call's figure is for the work of both.
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

LIMIT = 8_000_000
REPEATS = 5_000
SECONDS = 3.0
RUNS = 20
TOKENS = 4
"""One frame for a pair of hosts: twenty streams with four tokens each."""


def make_message() -> Message:
    """Return what an owner sends a replica every ten milliseconds or so."""
    runs = [
        ttypes.TokenRun(
            request=f"plant-cooperative/0190f2a4-7c11-7000-8000-{n:012}",
            generation=1,
            offset=40,
            tokens=["token "] * TOKENS,
            epoch=1,
        )
        for n in range(RUNS)
    ]
    return ttypes.ReplicateTokens(runs=runs)


def time_one(name: str, work: Callable[[], object]) -> None:
    """Print how often a piece of work can be done in a second."""
    began = time.process_time()
    for _ in range(REPEATS):
        work()
    each = (time.process_time() - began) / REPEATS
    print(f"{name}: {each * 1e6:.1f} us, {1 / each:,.0f} a second")


def make_transport(host: str) -> PeerTransport:
    """Return a transport that listens on a port of the kernel's choice."""
    return PeerTransport(
        settings=PeerSettings(port=0),
        deployment="slopes",
        local_identity=PeerIdentity(HostId(host), Incarnation(1), FailureDomain("a")),
        metrics=Metrics(),
    )


async def time_calls(callers: int) -> None:
    """Print how many calls a second go through one connection."""
    one, two = make_transport("one"), make_transport("two")

    async def answer(peer: PeerIdentity, message: Message) -> Message:
        return ttypes.ReplicateTokensReply(unknown=[], superseded=[])

    two.handle(ttypes.ReplicateTokens, answer)
    message = make_message()
    count = 0

    async def keep_calling() -> None:
        nonlocal count
        while True:
            reply = await one.call(two.address, message, 5)
            assert isinstance(reply, ttypes.ReplicateTokensReply)
            count += 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(one.run)
        nursery.start_soon(two.run)
        await one.wait_started()
        await two.wait_started()
        began = time.process_time()
        for _ in range(callers):
            nursery.start_soon(keep_calling)
        await trio.sleep(SECONDS)
        spent = time.process_time() - began
        nursery.cancel_scope.cancel()
    rate = count / spent
    print(f"calls, {callers} at once: {rate:,.0f} a second of a core, both ends")


def main() -> None:
    """Print the figures."""
    log.remove()
    message = make_message()
    frame = encode_frame(FrameContent(1, 0, message), LIMIT)
    assert isinstance(frame, bytes)
    print(f"a frame of {RUNS} streams, {TOKENS} tokens each: {len(frame)} bytes")
    time_one("encode", lambda: encode_frame(FrameContent(1, 0, message), LIMIT))
    time_one("decode", lambda: decode_payload(frame[LENGTH_BYTES:]))
    for callers in (1, 16, 64):
        trio.run(time_calls, callers)


if __name__ == "__main__":
    main()
