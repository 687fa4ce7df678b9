"""Paced datagram socket between hosts, with one queue per urgency."""

import errno
import socket
from collections import deque
from dataclasses import dataclass
from enum import IntEnum

import trio
from loguru import logger as log

from dewridge.metrics.registry import Metrics
from dewridge.policy.pacing import DatagramPacer

MAX_DATAGRAM_BYTES = 60_000
RECEIVE_BUFFER_BYTES = 1_048_576
"""Requested size of the kernel's receive buffer, which limits it to its own maximum. It
has to hold what arrives during a pause of the receiver, such as the answers of all
hosts to a request for their usage."""
MAX_BATCH = 32
"""Datagrams received in succession before other tasks run."""
PeerAddress = tuple[str, int]
"""IP address and port."""


class Urgency(IntEnum):
    """Priority of a datagram; lower values are sent first."""

    URGENT = 0
    """Departing servers, whose streams have seconds to move, and suspect requests."""
    CONFIRMED = 1
    """Messages that are sent again until they are confirmed."""
    PERIODIC = 2
    """Reports that the next round replaces."""


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram that waits to be sent."""

    address: PeerAddress
    data: bytes


def read_address(text: str) -> PeerAddress:
    """Parse an address of the form `a.b.c.d:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class DatagramSocket:
    """A non-blocking datagram socket.

    trio's own socket is not used: it costs one more pass of the event loop for each
    datagram.
    """

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    def bind(self, address: PeerAddress) -> None:
        """Bind the socket to an address."""
        self._socket.bind(address)

    def close(self) -> None:
        """Close the socket."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
        self._socket.close()

    def sendto(self, data: bytes, address: PeerAddress) -> None:
        """Send a datagram; raises BlockingIOError while the kernel's buffer is full."""
        self._socket.sendto(data, address)

    def recvfrom(self, limit: int) -> tuple[bytes, PeerAddress]:
        """Receive a datagram; raises BlockingIOError if none has arrived."""
        data, address = self._socket.recvfrom(limit)
        return data, address

    async def wait_readable(self) -> None:
        """Wait until a datagram can be received."""
        await trio.lowlevel.wait_readable(self._socket)

    async def wait_writable(self) -> None:
        """Wait until a datagram can be sent."""
        await trio.lowlevel.wait_writable(self._socket)


class PacedSocket:
    """Sends queued datagrams in order of urgency, at a limited rate."""

    def __init__(
        self,
        address: str,
        port: int,
        pacer: DatagramPacer,
        metrics: Metrics | None = None,
    ) -> None:
        self._address = address
        self._port = port
        self._pacer = pacer
        self._metrics = metrics or Metrics()
        self._socket = DatagramSocket()
        self._queues: dict[Urgency, deque[Datagram]] = {
            urgency: deque() for urgency in Urgency
        }
        self._datagram_queued = trio.Event()

    @property
    def rate(self) -> float:
        """Maximum bytes sent per second."""
        return self._pacer.rate

    async def bind(self) -> None:
        """Bind the socket to its address and port."""
        self._socket.bind((self._address, self._port))

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def wait_for_input(self) -> None:
        """Wait until a datagram can be received."""
        await self._socket.wait_readable()

    def receive_batch(self) -> list[tuple[bytes, PeerAddress]]:
        """Return the datagrams that have arrived, at most `MAX_BATCH` of them."""
        batch: list[tuple[bytes, PeerAddress]] = []
        try:
            while len(batch) < MAX_BATCH:
                batch.append(self._socket.recvfrom(MAX_DATAGRAM_BYTES))
        except BlockingIOError:
            pass
        return batch

    def enqueue(self, address: PeerAddress, data: bytes, urgency: Urgency) -> None:
        """Queue a datagram to be sent."""
        self._queues[urgency].append(Datagram(address, data))
        self._datagram_queued.set()

    def begin_round(self) -> None:
        """Drop the datagrams left of the previous round, which the new one supersedes.

        On a link too weak for a whole round, the last part of each round is lost, but
        the backlog and its delay do not grow without bound.
        """
        outdated = self._queues[Urgency.PERIODIC]
        self._metrics.add("datagrams_outdated", len(outdated))
        outdated.clear()

    async def run(self) -> None:
        """Send queued datagrams forever."""
        while True:
            await self._datagram_queued.wait()
            self._datagram_queued = trio.Event()
            while True:
                wait = self._pacer.compute_wait(trio.current_time())
                if wait > 0:
                    await trio.sleep(wait)
                datagram = self._pop_next()
                if datagram is None:
                    break
                await self._send(datagram)

    def _pop_next(self) -> Datagram | None:
        for queue in self._queues.values():
            if queue:
                return queue.popleft()
        return None

    async def _send(self, datagram: Datagram) -> None:
        size = len(datagram.data)
        self._pacer.record_sent(size, trio.current_time())
        self._metrics.add("datagrams_sent")
        self._metrics.add("datagram_bytes_sent", size)
        try:
            await self._send_to_kernel(datagram)
        except OSError as error:
            # Important messages are sent again. Refused and unreachable are common
            # while a peer is down, so only other errors are logged.
            if error.errno not in {errno.ECONNREFUSED, errno.EHOSTUNREACH}:
                log.bind(peer=datagram.address[0], reason=str(error)).warning(
                    "datagram not sent"
                )

    async def _send_to_kernel(self, datagram: Datagram) -> None:
        """Send a datagram; a checkpoint only while the kernel's buffer is full."""
        while True:
            try:
                self._socket.sendto(datagram.data, datagram.address)
            except BlockingIOError:
                await self._socket.wait_writable()
            else:
                return
