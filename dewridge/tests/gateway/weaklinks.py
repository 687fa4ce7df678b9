"""Simulated links with a small queue, which drops the datagrams that do not fit."""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
import trio

from dewridge.gateway import datagrams

Address = tuple[str, int]

DELAY = 0.001
"""Seconds of latency between two hosts."""


@dataclass
class WeakNetwork:
    """Carries the datagrams of all hosts, each over its own link.

    Attributes:
        rate: bytes per second of each host's link.
        queue: maximum bytes queued for each link.
        dropped: number of datagrams dropped because the queue was full, by sender.
        sockets: the bound sockets, by address.
    """

    rate: float
    queue: int
    dropped: dict[Address, int] = field(default_factory=dict)
    sockets: dict[Address, "WeakSocket"] = field(default_factory=dict)
    _in_transit: list[tuple[float, int, Address, bytes, Address]] = field(
        default_factory=list
    )
    _free_at: dict[Address, float] = field(default_factory=dict)
    _number: int = 0
    _sent: trio.Event = field(default_factory=trio.Event)

    def send(self, source: Address, target: Address, data: bytes) -> None:
        """Queue a datagram for the sender's link, or drop it."""
        now = trio.current_time()
        free_at = max(now, self._free_at.get(source, now))
        if (free_at - now) * self.rate + len(data) > self.queue:
            self.dropped[source] = self.dropped.get(source, 0) + 1
            return
        self._free_at[source] = free_at + len(data) / self.rate
        self._number += 1
        arrives_at = self._free_at[source] + DELAY
        entry = (arrives_at, self._number, target, data, source)
        heapq.heappush(self._in_transit, entry)
        self._sent.set()

    async def run(self) -> None:
        """Deliver datagrams forever."""
        while True:
            if not self._in_transit:
                self._sent = trio.Event()
                await self._sent.wait()
            arrives_at = self._in_transit[0][0]
            await trio.sleep_until(arrives_at)
            _, _, target, data, source = heapq.heappop(self._in_transit)
            if target in self.sockets:
                self.sockets[target].deliver(data, source)


class WeakSocket:
    """The methods of a datagram socket that gateways use."""

    def __init__(self, network: WeakNetwork) -> None:
        self._network = network
        self._address: Address = ("", 0)
        self._inbox: deque[tuple[bytes, Address]] = deque()
        self._arrived = trio.Event()

    def bind(self, address: Address) -> None:
        """Bind the socket to an address."""
        self._address = address
        self._network.sockets[address] = self

    def close(self) -> None:
        """Release the address."""
        self._network.sockets.pop(self._address, None)

    def sendto(self, data: bytes, address: Address) -> None:
        """Send a datagram."""
        self._network.send(self._address, address, data)

    def deliver(self, data: bytes, source: Address) -> None:
        """Add a datagram that has arrived."""
        self._inbox.append((data, source))
        self._arrived.set()

    def recvfrom(self, limit: int) -> tuple[bytes, Address]:
        """Receive a datagram; raises BlockingIOError if none has arrived."""
        if not self._inbox:
            self._arrived = trio.Event()
            raise BlockingIOError
        data, source = self._inbox.popleft()
        return data[:limit], source

    async def wait_readable(self) -> None:
        """Wait until a datagram can be received."""
        await self._arrived.wait()

    async def wait_writable(self) -> None:
        """Wait until a datagram can be sent, which is always the case."""
        await trio.lowlevel.checkpoint()


def use_weak_links(
    monkeypatch: pytest.MonkeyPatch, rate: float, queue: int
) -> WeakNetwork:
    """Make all sockets created from now on use one simulated network of weak links."""
    network = WeakNetwork(rate, queue)
    make_socket: Callable[..., WeakSocket] = lambda *_: WeakSocket(network)  # noqa: E731
    monkeypatch.setattr(datagrams, "DatagramSocket", make_socket)
    return network
