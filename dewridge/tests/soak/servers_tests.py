"""Tests of the stand-in of servers that answer uploads before they have read them."""

import random
import time

import pytest
import trio

from dewridge.tests.soak.engineruns import EndDraws
from dewridge.tests.soak.records import History, RequestKind, SentRequest
from dewridge.tests.soak.servers import Mood, SoakServer, UploadEnd

UPLOAD = "u-1"
UPLOAD_BYTES = 500_000


class FixedRandom(random.Random):
    """A generator that always draws the same number."""

    def __init__(self, number: float) -> None:
        super().__init__(1)
        self.number = number

    def random(self) -> float:
        """Return the number."""
        return self.number


async def upload(
    number: float, mood: Mood = Mood.GOOD, closing_share: float = 0.0
) -> tuple[bytes, bool, History]:
    """Send a part of an upload, and read the answer before the rest is sent.

    Args:
        number: what the server draws.
        mood: how the server responds.
        closing_share: share of the uploads that it answers in part and closes on.

    Returns:
        What was read, whether it ended without a reset, and the records.
    """
    history = History()
    request = SentRequest(
        UPLOAD, RequestKind.WRITE, "host-1", "key-1", 10, time.monotonic()
    )
    request.upload_bytes = UPLOAD_BYTES
    history.requests[UPLOAD] = request
    server = SoakServer("s-1", "plain", history, mood=mood)
    rng = FixedRandom(number)
    server.draws = EndDraws(
        rng, unframed_share=1.0, closing_share=closing_share, closing_rng=rng
    )
    head = (
        f"POST /write/x HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: {UPLOAD}\r\n"
        f"X-Expect-Instance: s-1\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    )
    data = b""
    has_ended = False
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        host, _, port = server.link.address.rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(head.encode())
            try:
                while received := await stream.receive_some(65_536):
                    data += received
                await stream.send_all(b"." * UPLOAD_BYTES)
                has_ended = True
            except trio.BrokenResourceError:
                pass
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    return data, has_ended, history


async def test_a_part_of_an_early_answer_ends_with_a_reset() -> None:
    data, has_ended, history = await upload(0.1)
    assert data.endswith(b"\r\n\r\nu") or data == b""
    assert not has_ended
    assert [(run.has_broken_off, run.has_finished) for run in history.runs] == [
        (True, False)
    ]


async def test_a_whole_early_answer_ends_in_order() -> None:
    data, has_ended, history = await upload(0.6)
    assert b"content-length" not in data.lower()
    assert data.endswith(b"\r\n\r\nu-1")
    assert has_ended
    # Without a length, its end is that of a part, which hosts must not take for whole.
    assert [(run.has_broken_off, run.has_finished) for run in history.runs] == [
        (False, False)
    ]


@pytest.mark.parametrize("end", UploadEnd)
async def test_a_part_without_a_length_ends_before_the_upload_is_read(
    end: UploadEnd,
) -> None:
    number = (list(UploadEnd).index(end) + 0.5) / len(UploadEnd)
    data, can_send_on, history = await upload(number, closing_share=1.0)
    assert b"content-length" not in data.lower()
    assert data.endswith(b"\r\n\r\nu")
    assert not can_send_on
    assert [(run.has_broken_off, run.has_finished) for run in history.runs] == [
        (True, False)
    ]


@pytest.mark.parametrize(
    ("mood", "status"), [(Mood.FAILING, b"500"), (Mood.FULL, b"503")]
)
async def test_the_rest_of_a_refused_upload_is_no_request(
    mood: Mood, status: bytes
) -> None:
    """Guards against a stand-in that reads the bytes of an upload as a request."""
    data, has_ended, _ = await upload(0.1, mood)
    assert data.startswith(b"HTTP/1.1 " + status)
    assert has_ended
