"""Tests of gateways whose servers fall over if they have to reject many requests."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import trio

from dewridge.tests.gateway.pushback import Fleet, open_fleet
from dewridge.tests.gateway.world import ScriptedServer, ServerExchange, World

SLOTS = 8
"""As the records of scripted servers say."""
WORK_SECONDS = 0.09
TOLERANCE = 3
"""Rejections in a second beyond which a server falls over."""
GRACE_SECONDS = 3.0
"""Seconds after the first answer that says so from which servers have little room."""
LARGE_QUEUE, SMALL_QUEUE = 24, 1
DOWN_SECONDS = 2.0


@dataclass
class BrittleServer:
    """A server that says that it is brittle, and falls over if it must reject many."""

    queue: int = LARGE_QUEUE
    running: int = 0
    falls: int = 0
    served: int = 0
    busy_seconds: float = 0.0
    """Time that its slots were taken: more than the work takes on a busy machine."""
    down_until: float = 0.0
    rejections: list[float] = field(default_factory=list)
    _slots: trio.Semaphore = field(default_factory=lambda: trio.Semaphore(SLOTS))

    async def answer(self, exchange: ServerExchange) -> None:
        """Run a request, or reject it for want of room."""
        now = trio.current_time()
        header = b"Server-Brittle: %d\r\n" % TOLERANCE
        if now < self.down_until:
            exchange.reset()
        elif self.running >= SLOTS + self.queue:
            self._count_rejection(now)
            await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n" + header)
        else:
            await self._run(exchange, header)

    async def _run(self, exchange: ServerExchange, header: bytes) -> None:
        self.running += 1
        try:
            async with self._slots:
                began_at = trio.current_time()
                await trio.sleep(WORK_SECONDS)
                self.busy_seconds += trio.current_time() - began_at
            self.served += 1
            await exchange.answer(extra=header)
        finally:
            self.running -= 1

    def _count_rejection(self, now: float) -> None:
        self.rejections = [at for at in self.rejections if now - at < 1.0] + [now]
        if len(self.rejections) > TOLERANCE:
            self.falls += 1
            self.rejections.clear()
            self.down_until = now + DOWN_SECONDS


@dataclass
class BrittleFleet:
    """Gateways and brittle servers."""

    fleet: Fleet
    servers: list[BrittleServer]
    scripted: list[ScriptedServer]

    async def load(self, seconds: float, rate: float) -> list[int]:
        """Send a rate of requests to each gateway; return the statuses."""
        statuses: list[int] = []

        async def send(world: World) -> None:
            statuses.extend(await self.fleet.send(world, seconds, rate))

        async with trio.open_nursery() as nursery:
            for world in self.fleet.worlds:
                nursery.start_soon(send, world)
        return statuses

    async def begin(self) -> None:
        """Let all gateways hear that the servers are brittle, then shrink queues."""
        await self.load(GRACE_SECONDS, rate=3.0)
        for server in self.servers:
            server.queue = SMALL_QUEUE
            server.falls = server.served = 0
            server.busy_seconds = 0.0

    def measure_capacity(self) -> float:
        """Return the requests a second that the servers can run on this machine now."""
        served = sum(server.served for server in self.servers)
        busy_seconds = sum(server.busy_seconds for server in self.servers)
        return len(self.servers) * SLOTS * served / busy_seconds


@asynccontextmanager
async def open_brittle_fleet(
    host_count: int, server_count: int
) -> AsyncIterator[BrittleFleet]:
    async with AsyncExitStack() as stack:
        fleet = await open_fleet(stack, host_count)
        servers = [BrittleServer() for _ in range(server_count)]
        scripted = [
            await fleet.add_server(f"s-{number}", server.answer)
            for number, server in enumerate(servers)
        ]
        yield BrittleFleet(fleet, servers, scripted)


async def test_hosts_together_do_not_make_brittle_servers_fall() -> None:
    """Guards against servers that fall over because each host sends what it likes."""
    seconds = 4.0
    async with open_brittle_fleet(host_count=9, server_count=3) as brittle:
        await brittle.begin()
        nominal = len(brittle.servers) * SLOTS / WORK_SECONDS
        statuses = await brittle.load(seconds, rate=1.5 * nominal / 9)
        falls = sum(server.falls for server in brittle.servers)
        served = sum(server.served for server in brittle.servers)
        capacity = brittle.measure_capacity()
    assert falls <= 2 + len(brittle.servers) / 10
    assert set(statuses) <= {200, 503}
    assert served >= 0.5 * min(capacity * seconds, len(statuses))


async def test_brittle_servers_with_room_cost_callers_nothing() -> None:
    """Guards against refusals while brittle servers could take the requests."""
    async with open_brittle_fleet(host_count=9, server_count=3) as brittle:
        await brittle.begin()
        capacity = len(brittle.servers) * SLOTS / WORK_SECONDS
        statuses = await brittle.load(3.0, rate=0.25 * capacity / 9)
        falls = sum(server.falls for server in brittle.servers)
    assert falls == 0
    assert statuses.count(200) >= 0.98 * len(statuses)
