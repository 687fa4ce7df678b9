"""Frames survive a round trip; garbled frames give a Failure, never an exception."""

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
    items: list[FrameContent | Failure] = []
    while (item := reader.next_frame()) is not None:
        items.append(item)
        if isinstance(item, Failure):
            break
    return items


@seed(1)
@settings(database=None, max_examples=50, deadline=None)
@given(st.lists(st.integers(1, 40), max_size=20))
def test_frames_are_decoded_however_the_stream_is_split(chunk_sizes: list[int]) -> None:
    heartbeat = encode_frame(HEARTBEAT, LIMIT)
    assert isinstance(heartbeat, bytes)
    data = make_frame() + heartbeat + make_frame()
    reader = FrameReader(LIMIT)
    items = []
    for size in [*chunk_sizes, len(data)]:
        reader.feed(data[:size])
        data = data[size:]
        while (item := reader.next_frame()) is not None:
            items.append(item)
    assert [type(item) for item in items] == [FrameContent] * 3
    first = items[0]
    assert isinstance(first, FrameContent) and first.message is not None
    assert first.message.runs[2].offset == 2
    assert items[1] == HEARTBEAT


@seed(2)
@settings(database=None, max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.data())
def test_garbled_bytes_give_a_failure_and_no_exception(
    garbage: bytes, data: st.DataObject
) -> None:
    # A faulty network card, a port scanner or a faulty release sends bytes that are
    # not a frame. An exception would end tasks that serve other peers.
    result = decode_payload(garbage)
    assert isinstance(result, FrameContent) or result.code is ResultCode.FRAME_MALFORMED
    read_all(garbage)
    frame = bytearray(make_frame())
    position = data.draw(st.integers(4, len(frame) - 1))
    frame[position] = data.draw(st.integers(0, 255))
    assert len(read_all(bytes(frame))) == 1


def test_a_garbled_length_allocates_no_memory() -> None:
    # Four garbled bytes announce a frame, list or string of two billion elements. A
    # process that allocates before it checks the length is killed for lack of memory.
    huge_length = b"\x7f\xff\xff\xff"
    token_run_list = b"\x0c\x00\x20\x0f\x00\x01\x0c"
    deeply_nested = b"\x0c\x00\x63" * 10_000
    tracemalloc.start()
    for garbled in (
        huge_length,
        b"\x0b\x00\x63" + huge_length,
        token_run_list + huge_length,
        deeply_nested,
    ):
        assert isinstance(decode_payload(garbled), Failure)
    assert isinstance(read_all(huge_length + b"x")[0], Failure)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < 1_000_000


def test_a_message_that_cannot_be_encoded_gives_a_failure() -> None:
    # A caller passes a wrong type, or an answer that exceeds the frame limit. It must
    # get a failure, and the connection must continue.
    oversized = ttypes.Find(request="x" * LIMIT)
    for message in (oversized, ttypes.Find(request=5), object()):
        failure = encode_frame(FrameContent(1, 0, message), LIMIT)
        assert isinstance(failure, Failure)
        assert failure.code is ResultCode.FRAME_MALFORMED
