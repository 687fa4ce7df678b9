"""Frames survive a round trip, and garbled ones are only ever a Failure."""

import tracemalloc

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from dewridge.codes import ResultCode
from dewridge.peers.frames import (
    HEARTBEAT,
    FrameContent,
    FrameReader,
    decode_payload,
    encode_frame,
)
from dewridge.peers.wire import ttypes
from dewridge.sentinels import Failure

LIMIT = 100_000


def make_frame() -> bytes:
    runs = [
        ttypes.TokenRun(request="a/b", generation=1, offset=n, tokens=["é", ""])
        for n in range(3)
    ]
    message = ttypes.ReplicateTokens(runs=runs)
    frame = encode_frame(FrameContent(7, 0, message), LIMIT)
    assert isinstance(frame, bytes)
    return frame


def read_all(data: bytes) -> list[FrameContent | Failure]:
    reader = FrameReader(LIMIT)
    reader.feed(data)
    found: list[FrameContent | Failure] = []
    while (item := reader.take()) is not None:
        found.append(item)
        if isinstance(item, Failure):
            break
    return found


@seed(1)
@settings(database=None, max_examples=50, deadline=None)
@given(st.lists(st.integers(1, 40), max_size=20))
def test_frames_come_through_however_the_stream_is_cut(cuts: list[int]) -> None:
    beat = encode_frame(HEARTBEAT, LIMIT)
    assert isinstance(beat, bytes)
    data = make_frame() + beat + make_frame()
    reader = FrameReader(LIMIT)
    found = []
    for size in [*cuts, len(data)]:
        reader.feed(data[:size])
        data = data[size:]
        while (item := reader.take()) is not None:
            found.append(item)
    assert [type(item) for item in found] == [FrameContent] * 3
    first = found[0]
    assert isinstance(first, FrameContent) and first.message is not None
    assert first.message.runs[2].offset == 2
    assert found[1] == HEARTBEAT


@seed(2)
@settings(database=None, max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.data())
def test_garbled_bytes_are_a_failure_and_no_exception(
    noise: bytes, data: st.DataObject
) -> None:
    # A faulty network card, a port scanner or a release with a fault sends bytes
    # that are no frame. An exception would end tasks that serve other peers.
    result = decode_payload(noise)
    assert isinstance(result, FrameContent) or result.code is ResultCode.FRAME_MALFORMED
    read_all(noise)
    frame = bytearray(make_frame())
    place = data.draw(st.integers(4, len(frame) - 1))
    frame[place] = data.draw(st.integers(0, 255))
    assert len(read_all(bytes(frame))) == 1


def test_a_garbled_length_takes_no_memory() -> None:
    # Four flipped bytes claim a frame, a list or a text of two thousand million
    # places. Whoever allocates first and looks later is killed for want of memory.
    huge = b"\x7f\xff\xff\xff"
    tokens_run = b"\x0c\x00\x20\x0f\x00\x01\x0c"
    too_deep = b"\x0c\x00\x63" * 10_000
    tracemalloc.start()
    for garbled in (huge, b"\x0b\x00\x63" + huge, tokens_run + huge, too_deep):
        assert isinstance(decode_payload(garbled), Failure)
    assert isinstance(read_all(huge + b"x")[0], Failure)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < 1_000_000


def test_a_message_that_no_frame_can_carry_is_a_failure() -> None:
    # A part hands over a wrong type or an answer larger than a frame may be; it
    # must hear so, and the connection goes on.
    big = ttypes.Find(request="x" * LIMIT)
    for message in (big, ttypes.Find(request=5), object()):
        failure = encode_frame(FrameContent(1, 0, message), LIMIT)
        assert isinstance(failure, Failure)
        assert failure.code is ResultCode.FRAME_MALFORMED
