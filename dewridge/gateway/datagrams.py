"""The datagram socket between hosts: urgent words first, at a pace that links bear."""

import errno
from collections import deque
from dataclasses import dataclass
from enum import IntEnum

import trio
from loguru import logger as log

from dewridge.metrics.registry import Metrics
from dewridge.policy.pacing import Pace

MAX_DATAGRAM_BYTES = 60_000
PeerAddress = tuple[str, int]


class Urgency(IntEnum):
    """Which datagrams go first."""

    AT_ONCE = 0
    """Servers that leave: streams there have seconds to move."""
    MUST_ARRIVE = 1
    """What is sent again until it is confirmed."""
    ROUND = 2
    """What the next round tells anew."""


@dataclass(frozen=True, slots=True)
class Datagram:
    """What waits to be sent."""

    address: PeerAddress
    data: bytes


def read_address(text: str) -> PeerAddress:
    """Return the parts of `a.b.c.d:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class PacedSocket:
    """Owns the socket; what is posted goes out in the order of its urgency."""

    def __init__(
        self, address: str, port: int, pace: Pace, metrics: Metrics | None = None
    ) -> None:
        self._address = address
        self._port = port
        self._pace = pace
        self._metrics = metrics or Metrics()
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        self._queues: dict[Urgency, deque[Datagram]] = {
            urgency: deque() for urgency in Urgency
        }
        self._has_queued = trio.Event()

    @property
    def rate(self) -> float:
        """Bytes a second that may be sent."""
        return self._pace.rate

    async def bind(self) -> None:
        """Open the port."""
        await self._socket.bind((self._address, self._port))

    def close(self) -> None:
        """Close the port."""
        self._socket.close()

    async def receive(self) -> tuple[bytes, PeerAddress]:
        """Wait for a datagram; returns it with its sender's address."""
        data, address = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        return data, address

    def enqueue(self, address: PeerAddress, data: bytes, urgency: Urgency) -> None:
        """Send a datagram when it is its turn."""
        self._queues[urgency].append(Datagram(address, data))
        self._has_queued.set()

    def begin_round(self) -> None:
        """Drop what is left of the round before: the new one tells it better.

        A link that is too weak for a round then loses the last part of each, and not
        ever more time behind what goes on.
        """
        left = self._queues[Urgency.ROUND]
        self._metrics.add("datagrams_outdated", len(left))
        left.clear()

    async def run(self) -> None:
        """Send what is posted, for ever."""
        while True:
            await self._has_queued.wait()
            wait = self._pace.find_wait(trio.current_time())
            if wait > 0:
                await trio.sleep(wait)
            datagram = self._pop_next()
            if datagram is None:
                self._has_queued = trio.Event()
            else:
                await self._send(datagram)

    def _pop_next(self) -> Datagram | None:
        for waiting in self._queues.values():
            if waiting:
                return waiting.popleft()
        return None

    async def _send(self, datagram: Datagram) -> None:
        size = len(datagram.data)
        self._pace.note_sent(size, trio.current_time())
        self._metrics.add("datagrams_sent")
        self._metrics.add("datagram_bytes_sent", size)
        try:
            await self._socket.sendto(datagram.data, datagram.address)
        except OSError as error:
            # What matters is sent again; only odd errors are worth a line.
            if error.errno not in {errno.ECONNREFUSED, errno.EHOSTUNREACH}:
                log.bind(peer=datagram.address[0], reason=str(error)).warning(
                    "datagram not sent"
                )
