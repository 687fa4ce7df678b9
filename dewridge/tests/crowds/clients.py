"""Crowds of clients that send what they like and keep their connections open."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import trio

from dewridge.tests.gateway.world import (
    CallerAnswer,
    make_request,
    read_answer,
)

CONNECT_TIMEOUT = 20.0
SETTLE_SECONDS = 1.0
"""Seconds that a crowd stays after it has sent all it could."""
MAX_SENDING_SECONDS = 10.0
"""Seconds after which a crowd counts as stuck: the process does not read any more."""
ANSWER_SECONDS = 30.0
"""Seconds after which a request counts as not answered, however often it is sent."""
RETRY_PAUSE = 0.2
PIECE = bytes(65_536)

Script = Callable[[int], Iterator[bytes]]
"""Returns what a client sends, piece by piece, given its number."""


@dataclass
class Crowd:
    """Clients that send by a script, and read nothing.

    Attributes:
        address: where they connect.
        script: what each of them sends.
        size: number of clients.
        comes_back: whether they connect again when their connections are closed.
        pause: seconds between the starts of two of them.
    """

    address: str
    script: Script
    size: int
    comes_back: bool = False
    pause: float = 0.0
    _sent: set[int] = field(default_factory=set)
    _settled: trio.Event = field(default_factory=trio.Event)

    async def run(self) -> None:
        """Connect and send until cancelled."""
        async with trio.open_nursery() as nursery:
            for number in range(self.size):
                nursery.start_soon(self._run_client, number)

    async def wait_settled(self) -> None:
        """Wait until the clients have sent all that they could."""
        with trio.move_on_after(MAX_SENDING_SECONDS):
            await self._settled.wait()
        await trio.sleep(SETTLE_SECONDS)

    async def _run_client(self, number: int) -> None:
        await trio.sleep(number * self.pause)
        await self._send(number)
        while self.comes_back:
            await trio.sleep(RETRY_PAUSE)
            await self._send(number)
        await trio.sleep_forever()

    async def _send(self, number: int) -> None:
        """Connect, send, and keep the connection until the other side ends it."""
        try:
            async with await open_stream(self.address) as stream:
                for piece in self.script(number):
                    await stream.send_all(piece)
                self._record_sent(number)
                await wait_for_end(stream, reads=self.comes_back)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            self._record_sent(number)

    def _record_sent(self, number: int) -> None:
        self._sent.add(number)
        if len(self._sent) == self.size:
            self._settled.set()


async def wait_for_end(stream: trio.SocketStream, *, reads: bool) -> None:
    """Wait until the other side closes a connection; forever without reading."""
    if not reads:
        await trio.sleep_forever()
    while await stream.receive_some(65_536):
        pass


async def open_stream(address: str) -> trio.SocketStream:
    """Connect to `a.b.c.d:port`.

    Raises:
        OSError: the connection was refused, or not opened in time.
    """
    host, _, port = address.rpartition(":")
    stream = trio.SocketStream(trio.socket.socket())
    try:
        with trio.fail_after(CONNECT_TIMEOUT):
            await stream.socket.connect((host, int(port)))
    except trio.TooSlowError as error:
        stream.socket.close()
        raise OSError("not connected in time") from error
    return stream


def make_pieces(size: int) -> Iterator[bytes]:
    """Yield `size` bytes in pieces."""
    for _ in range(size // len(PIECE)):
        yield PIECE
    yield bytes(size % len(PIECE))


def make_chunks(size: int, chunk_bytes: int) -> Iterator[bytes]:
    """Yield `size` bytes in chunks of a given size, without the last chunk."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
    chunks_per_piece = max(1, len(PIECE) // len(chunk))
    for _ in range(size // (chunk_bytes * chunks_per_piece)):
        yield chunk * chunks_per_piece


def make_head(path: str, number: int, *fields: str) -> bytes:
    """Return a request's head."""
    extra = "".join(f"{line}\r\n" for line in fields)
    return make_request(
        path,
        method="POST",
        request_id=f"crowd-{number}",
        deadline_ms=60_000,
        extra=extra,
    )


async def ask_patiently(
    address: str,
    path: str,
    body: bytes = b"x",
    is_answered: Callable[[CallerAnswer], bool] = lambda answer: answer.status == 200,
) -> CallerAnswer:
    """Send an ordinary request, on new connections until it is answered as expected.

    Raises:
        trio.TooSlowError: it was not.
    """
    number = 0
    with trio.fail_after(ANSWER_SECONDS):
        while True:
            number += 1
            answer = await ask_once(address, path, body, f"ordinary-{number}")
            if answer is not None and is_answered(answer):
                return answer
            await trio.sleep(RETRY_PAUSE)


async def ask_in_turn(address: str, path: str, count: int) -> None:
    """Send ordinary requests one after the other, each once; all must be answered."""
    for number in range(count):
        answer = await ask_once(address, path, b"x", f"turn-{number}")
        assert answer is not None, number
        assert answer.status == 200, (number, answer)


async def ask_once(
    address: str, path: str, body: bytes, request_id: str, deadline_ms: int = 10_000
) -> CallerAnswer | None:
    """Send a request on a new connection; return None if it could not be sent."""
    method = "POST" if body else "GET"
    request = make_request(
        path, method=method, body=body, request_id=request_id, deadline_ms=deadline_ms
    )
    try:
        async with await open_stream(address) as stream:
            await stream.send_all(request)
            return await read_answer(stream)
    except (OSError, trio.BrokenResourceError):
        return None
