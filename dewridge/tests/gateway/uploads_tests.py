"""Tests of servers that answer an upload, and end, before they have read it."""

import re
import socket
import struct
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import pytest
import trio

from dewridge.gateway.model import ServerRecord
from dewridge.http1.calls import CallFailure, ServiceClient
from dewridge.ids import BackendServerId, ServerName
from dewridge.tests.gateway.partition_tests import open_linked_fleet, partition
from dewridge.tests.gateway.partitions import CuttableLink
from dewridge.tests.gateway.world import (
    DOMAIN,
    PLAIN,
    CallerAnswer,
    World,
    answer_ok,
    open_world,
)

BODY = b"w" * 100
LINGER_RESET = struct.pack("ii", 1, 0)
SIZES = (900_000, 3_900_000)
DRAINED_PIECES = 10
TOGETHER = 4
ROUNDS = 9
"""With 72 uploads, a client that takes the end of input for the end of the answer had
29 to 60 parts look whole."""

Answer = Callable[[socket.socket, bytes], None]


def make_answer(framing: bytes, body: bytes, *, is_reset: bool) -> Answer:
    """Return a script that answers an upload at once.

    Args:
        framing: header lines that say how the answer ends.
        body: the body, or a part of it.
        is_reset: whether the connection is then reset; else it ends in order, and the
            rest of the upload is not read.
    """

    def answer(connection: socket.socket, head: bytes) -> None:
        connection.sendall(head + framing + b"\r\n" + body)
        if is_reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        else:
            connection.shutdown(socket.SHUT_WR)

    return answer


def close_at_once(connection: socket.socket, head: bytes) -> None:
    """Send a part without a length, and close without reading the upload."""
    connection.sendall(head + b"\r\npart")


def drain_and_close(connection: socket.socket, head: bytes) -> None:
    """Send a part without a length, and close once some of the upload is read.

    The kernel then ends the connection in order, and resets it when more arrives.
    """
    connection.setblocking(False)
    with suppress(BlockingIOError):
        for _ in range(DRAINED_PIECES):
            connection.recv(4_096)
    connection.setblocking(True)
    connection.sendall(head + b"\r\npart")


WITH_LENGTH = b"Content-Length: 100\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
PARTS = {
    "unframed": make_answer(b"", b"part", is_reset=True),
    "empty": make_answer(b"", b"", is_reset=True),
    "length": make_answer(WITH_LENGTH, b"part", is_reset=True),
    "chunks": make_answer(CHUNKED, b"4\r\npart\r\n", is_reset=True),
    "unframed-in-order": make_answer(b"", b"part", is_reset=False),
    "unframed-closed": close_at_once,
    "unframed-drained": drain_and_close,
    "length-in-order": make_answer(WITH_LENGTH, b"part", is_reset=False),
    "chunks-in-order": make_answer(CHUNKED, b"4\r\npart\r\n", is_reset=False),
}
"""Parts of answers that must not count as whole."""
UNFRAMED_IN_ORDER = {"unframed-in-order", "unframed-closed", "unframed-drained"}
WHOLES = {
    "length": make_answer(WITH_LENGTH, BODY, is_reset=False),
    "chunks": make_answer(CHUNKED, b"64\r\n%s\r\n0\r\n\r\n" % BODY, is_reset=False),
}
"""Whole answers of servers that read no more of the upload. Only their framing shows
that they are whole."""


class BlockingServer:
    """A server in threads of its own; it reads no more of an upload than the head.

    Attributes:
        address: `a.b.c.d:port`.
        received: connections on which a request began.
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.received = 0

    def serve(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._handle, args=(connection,)).start()

    def _handle(self, connection: socket.socket) -> None:
        with connection:
            connection.settimeout(5.0)
            data = b""
            while b"\r\n\r\n" not in data:
                piece = connection.recv(1_024)
                if not piece:
                    return
                data += piece
            self.received += 1
            found = re.search(rb"(?i)\r\nx-attempt-id: ([^\r]*)", data)
            request_id = b"" if found is None else found[1]
            head = (
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-s\r\n"
                % request_id
            )
            self._answer(connection, head)

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


@contextmanager
def run_server(answer: Answer) -> Iterator[BlockingServer]:
    """Run a blocking server."""
    server = BlockingServer(answer)
    thread = threading.Thread(target=server.serve)
    thread.start()
    try:
        yield server
    finally:
        server.close()
        thread.join()


def add_record(world: World, name: str, address: str) -> None:
    """Add a server of the plain service to a gateway's table."""
    record = ServerRecord(
        BackendServerId(name),
        ServerName(name),
        PLAIN,
        address,
        DOMAIN,
        8,
        is_draining=False,
    )
    world.state.servers.update(record, trio.current_time())


async def upload_repeatedly(
    world: World, path: str, rounds: int = ROUNDS
) -> list[CallerAnswer]:
    """Send uploads of different sizes, a few at a time."""
    answers: list[CallerAnswer] = []

    async def upload(number: int) -> None:
        for round_ in range(rounds):
            for size in SIZES:
                answer = await world.request(
                    path,
                    method="POST",
                    body=bytes(size),
                    request_id=f"r-{number}-{round_}-{size}",
                )
                answers.append(answer)

    async with trio.open_nursery() as nursery:
        for number in range(TOGETHER):
            nursery.start_soon(upload, number)
    return answers


def count_whole(answers: list[CallerAnswer]) -> int:
    """Return how many answers look like a success."""
    return sum(answer.status == 200 and answer.is_complete for answer in answers)


@pytest.mark.parametrize("path", ["/write/a", "/read/a"])
@pytest.mark.parametrize("part", PARTS)
async def test_a_part_of_an_answer_to_an_upload_is_not_taken_for_the_whole(
    path: str, part: str
) -> None:
    """Guards against a part that looks whole as the upload met the server's reset."""
    with run_server(PARTS[part]) as server:
        async with open_world() as world:
            add_record(world, "s-1", server.address)
            answers = await upload_repeatedly(world, path)
    assert server.received >= len(answers) / 2
    assert count_whole(answers) == 0
    assert {answer.status for answer in answers} <= {502, 503}


@pytest.mark.parametrize("part", PARTS)
async def test_an_upload_is_repeated_if_its_answer_is_reset(part: str) -> None:
    """Guards against a failure, or a part of an answer, although a server works."""
    with run_server(PARTS[part]) as server:
        async with open_world(retry_slack=1_000) as world:
            add_record(world, "s-1", server.address)
            await world.add_server("s-2", answer_ok)
            answers = await upload_repeatedly(world, "/read/a", rounds=2)
    assert [answer.body for answer in answers] == [b"done"] * len(answers)


@pytest.mark.parametrize("whole", WHOLES)
async def test_an_answer_that_ends_in_order_within_an_upload_is_whole(
    whole: str,
) -> None:
    """Guards against an early answer that is lost as its server reads no further."""
    with run_server(WHOLES[whole]) as server:
        async with open_world() as world:
            add_record(world, "s-1", server.address)
            answers = await upload_repeatedly(world, "/write/a")
    assert [answer.body for answer in answers] == [BODY] * len(answers)
    assert count_whole(answers) == len(answers)


async def upload_by_relay(answer: Answer, path: str) -> list[CallerAnswer]:
    """Send uploads to a server that a relay reaches over a connection of its own."""
    with run_server(answer) as server:
        async with open_linked_fleet(2) as linked:
            world, relay = linked.fleet.worlds
            link = CuttableLink(server.address)
            link.open()
            world.nursery.start_soon(link.run)
            linked.links[0, BackendServerId("s-1")] = link
            add_record(world, "s-1", link.address)
            add_record(relay, "s-1", server.address)
            partition(linked, [0])
            answers = await upload_repeatedly(world, path, rounds=4)
            relayed = relay.state.metrics.read("requests_relayed_for_peers_total")
    assert relayed >= len(answers) / 2
    return answers


@pytest.mark.parametrize("path", ["/write/a", "/read/a"])
@pytest.mark.parametrize("part", PARTS)
async def test_a_relay_passes_on_no_part_of_an_answer_to_an_upload_as_whole(
    path: str, part: str
) -> None:
    """Guards against a relay that takes a reset for the end of an answer."""
    answers = await upload_by_relay(PARTS[part], path)
    assert count_whole(answers) == 0
    assert {answer.status for answer in answers} <= {502, 503}


@pytest.mark.parametrize("whole", WHOLES)
async def test_a_relay_passes_on_an_answer_that_ends_in_order_within_an_upload(
    whole: str,
) -> None:
    """Guards against a relay that loses an early answer."""
    answers = await upload_by_relay(WHOLES[whole], "/write/a")
    assert [answer.body for answer in answers] == [BODY] * len(answers)


@pytest.mark.parametrize("part", PARTS)
async def test_a_call_takes_no_part_of_an_answer_to_an_upload_for_the_whole(
    part: str,
) -> None:
    """Guards against a part of the store's answer that counts as its response."""
    # A small request is written whole before an answer that ends in order.
    sizes = SIZES if part in UNFRAMED_IN_ORDER else (1_000, *SIZES)
    with run_server(PARTS[part]) as server:
        client = ServiceClient("store", server.address, 2.0)
        results = [
            await client.call("POST", "/", body=bytes(size))
            for _ in range(ROUNDS)
            for size in sizes
        ]
    assert set(results) == {CallFailure.LOST}
