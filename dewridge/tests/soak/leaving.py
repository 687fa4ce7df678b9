"""Hosts that leave while callers use them until their processes have ended."""

import random
import signal
from dataclasses import dataclass

import h11
import trio

from dewridge.testbed.processes import Process
from dewridge.tests.soak.callers import PLAIN_TOKENS, STREAM_TOKENS, send_request
from dewridge.tests.soak.faults import SHUTDOWN_GRACE, stop_gateway
from dewridge.tests.soak.partitions import partition_some
from dewridge.tests.soak.records import RequestKind, SentRequest
from dewridge.tests.soak.stage import Gateway, SoakEnvironment

LEAD_SECONDS = 3.0
"""Seconds before the first SIGTERM in which callers already use a host."""
MAX_GAP = 3.0
"""Maximum seconds between two hosts that leave one after the other."""
MIN_STREAM_SECONDS, MAX_STREAM_SECONDS = 0.5, 12.0
"""Range of the length of streams, which may outlast their hosts."""
MIN_STREAM_BUDGET, MAX_STREAM_BUDGET = 3.0, 15.0
"""Range of the time that callers give streams."""
MIN_PLAIN_BUDGET, MAX_PLAIN_BUDGET = 1.0, 6.0
"""Range of the time that callers give other requests."""
MAX_FIRST_EVENT_SECONDS = 9.0
"""Maximum seconds until the first event of a late stream."""
PATIENCE = 1.0
"""Seconds after its deadline for which a caller still waits for an answer."""
MAX_EVENT_BYTES = 40_000
READ_PAUSE = 0.05
RECEIVE_BUFFER_BYTES = 4_096
"""Buffer of the callers that read slowly: what they have not read fills the buffers of
the host."""
MAX_REQUESTS = 4
"""Maximum requests that a caller sends on one connection."""
MAX_RATE = 10.0
"""Maximum connections per second, summed over the hosts that leave together."""
QUIET_SECONDS = 3.0
"""Seconds after SIGTERM from which signals may come until the process has ended. That
is soon after them if nobody uses it."""
MIN_SIGNAL_GAP, MAX_SIGNAL_GAP = 0.005, 0.03
"""Range of the seconds between these signals: less than a process takes to end."""
LOAD_SHARE = 0.4
"""Share of the servers' capacity that the requests on them use."""
PARTITION_PROBABILITY = 0.4


@dataclass
class PersistentCallers:
    """Callers that use one process of a host until it has ended.

    Attributes:
        environment: the run.
        gateway: the host.
        process: the process.
        name: prefix of the ids of the requests.
        rate: connections per second.
        rng: random generator of their choices.
        ends_at: when they open no more connections, even if the process goes on.
    """

    environment: SoakEnvironment
    gateway: Gateway
    process: Process
    name: str
    rate: float
    rng: random.Random
    ends_at: float = float("inf")
    _count: int = 0

    async def run(self) -> None:
        """Open one connection after the other, and use each until it ends."""
        async with trio.open_nursery() as nursery:
            while self._goes_on():
                nursery.start_soon(self._use_connection, fork(self.rng))
                await trio.sleep(self.rng.expovariate(self.rate))

    def _goes_on(self) -> bool:
        return self.process.is_running and trio.current_time() < self.ends_at

    async def _use_connection(self, rng: random.Random) -> None:
        is_slow = rng.random() < 0.15
        try:
            stream = await connect(self.gateway.caller_address, is_slow=is_slow)
        except OSError:
            return
        state = h11.Connection(h11.CLIENT)
        async with stream:
            for number in range(rng.randint(1, MAX_REQUESTS)):
                await trio.sleep(rng.choice([0.0, 0.1, rng.uniform(0, 4)]))
                request = self._make_request(rng, is_slow=is_slow)
                request.is_kept = number > 0
                timeout = request.timeout + PATIENCE
                history = self.environment.history
                is_open = await send_request(stream, state, request, history, timeout)
                if not is_open or not self._goes_on():
                    return
                state.start_next_cycle()

    def _make_request(self, rng: random.Random, *, is_slow: bool) -> SentRequest:
        self._count += 1
        kind = rng.choices(list(RequestKind), [2, 1, 3, 4])[0]
        tokens = STREAM_TOKENS if kind.is_stream else PLAIN_TOKENS
        keys = [keys[0] for keys in self.environment.keys.values()]
        request_id = f"{self.name}-{self._count}"
        request = SentRequest(
            request_id, kind, self.gateway.name, rng.choice(keys), tokens, 0.0
        )
        request.content = request_id
        is_late = rng.random() < 0.3
        if not kind.is_stream:
            request.timeout = rng.uniform(MIN_PLAIN_BUDGET, MAX_PLAIN_BUDGET)
            request.first_event_seconds = rng.uniform(0, 5) if is_late else 0.0
            return request
        request.timeout = rng.uniform(MIN_STREAM_BUDGET, MAX_STREAM_BUDGET)
        request.stream_seconds = rng.uniform(MIN_STREAM_SECONDS, MAX_STREAM_SECONDS)
        if is_late:
            request.first_event_seconds = rng.uniform(0.5, MAX_FIRST_EVENT_SECONDS)
        if is_slow:
            request.event_bytes = rng.randint(1, MAX_EVENT_BYTES)
            request.read_pause = READ_PAUSE
        return request


async def connect(address: str, *, is_slow: bool) -> trio.SocketStream:
    """Connect to `a.b.c.d:port`, with a small receive buffer for slow callers.

    Raises:
        OSError: the connection was refused.
    """
    host, _, port = address.rpartition(":")
    socket = trio.socket.socket()
    if is_slow:
        socket.setsockopt(
            trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
    try:
        await socket.connect((host, int(port)))
    except BaseException:
        socket.close()
        raise
    return trio.SocketStream(socket)


def fork(rng: random.Random) -> random.Random:
    """Return a generator for a task that runs beside others."""
    return random.Random(rng.random())


async def make_hosts_leave(
    environment: SoakEnvironment, at: float, name: str, rng: random.Random
) -> None:
    """Let some or all hosts leave while callers use them, in `at` seconds.

    Args:
        environment: the run.
        at: seconds until callers begin to use the hosts.
        name: prefix of the ids of their requests.
        rng: generator from which everything is drawn.
    """
    await trio.sleep(at)
    for gateway in environment.gateways:
        await gateway.has_process.wait()
    total = len(environment.gateways)
    count = rng.choice([1, 1, min(2, total), (total + 1) // 2, total])
    gateways = rng.sample(environment.gateways, count)
    gap = rng.choice([0.0, 0.0, rng.uniform(0.2, MAX_GAP)])
    others = [each for each in environment.gateways if each not in gateways]
    rate = _compute_rate(environment) / len(gateways)
    environment.history.leavings += 1
    async with trio.open_nursery() as nursery:
        for number, gateway in enumerate(gateways):
            callers = _make_callers(environment, gateway, name, rate, rng)
            delay = LEAD_SECONDS + number * gap
            nursery.start_soon(_leave, environment, gateway, callers, delay, fork(rng))
        if others and rng.random() < PARTITION_PROBABILITY:
            partitioned = rng.sample(others, min(len(others), rng.randint(1, 2)))
            for gateway in partitioned:
                callers = _make_callers(environment, gateway, name, rate, rng)
                callers.ends_at = trio.current_time() + LEAD_SECONDS + SHUTDOWN_GRACE
                nursery.start_soon(callers.run)
            await trio.sleep(rng.uniform(0, LEAD_SECONDS))
            nursery.start_soon(partition_some, environment, partitioned, fork(rng))
        for _ in range(rng.randint(0, 3)):
            await trio.sleep(rng.uniform(0.1, 4.0))
            environment.write_configuration(rng)


def _compute_rate(environment: SoakEnvironment) -> float:
    """Return the connections per second that the servers of streams have room for."""
    engines = [each for each in environment.servers if each.service == "engine"]
    mean_seconds = (MIN_STREAM_SECONDS + MAX_STREAM_SECONDS) / 2
    capacity = environment.slots * len(engines) / mean_seconds
    return min(MAX_RATE, LOAD_SHARE * max(1.0, capacity))


def _make_callers(
    environment: SoakEnvironment,
    gateway: Gateway,
    name: str,
    rate: float,
    rng: random.Random,
) -> PersistentCallers:
    process = gateway.process
    assert process is not None
    return PersistentCallers(
        environment,
        gateway,
        process,
        f"{name}-{gateway.name}",
        rate,
        fork(rng),
    )


async def _leave(
    environment: SoakEnvironment,
    gateway: Gateway,
    callers: PersistentCallers,
    delay: float,
    rng: random.Random,
) -> None:
    """Send SIGTERM after a delay, and further signals before and after it."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run)
        for _ in range(rng.randint(0, 4)):
            number = rng.choice([signal.SIGHUP, signal.SIGTERM])
            at = delay + rng.choice(
                [
                    rng.uniform(-2.0, 0.0),
                    rng.uniform(0.0, SHUTDOWN_GRACE),
                    rng.uniform(SHUTDOWN_GRACE / 2, SHUTDOWN_GRACE),
                    rng.uniform(SHUTDOWN_GRACE - 1.0, SHUTDOWN_GRACE),
                ]
            )
            count, gap = rng.choice([1, 1, 3, 20]), rng.uniform(0.001, 0.05)
            nursery.start_soon(
                _send_series, environment, callers, number, at, count, gap
            )
        if rng.random() < 0.5:
            at = delay + rng.uniform(QUIET_SECONDS, SHUTDOWN_GRACE - 1.0)
            nursery.start_soon(_send_until_exit, environment, callers, at, fork(rng))
        await trio.sleep(delay)
        await stop_gateway(environment, gateway)


async def _send_series(
    environment: SoakEnvironment,
    callers: PersistentCallers,
    number: signal.Signals,
    at: float,
    count: int,
    gap: float,
) -> None:
    """Send a signal several times; SIGTERM only to the process that callers use."""
    await trio.sleep(at)
    gateway = callers.gateway
    for _ in range(count):
        if number == signal.SIGHUP or gateway.process is callers.process:
            environment.send_signal(gateway, number)
        await trio.sleep(gap)


async def _send_until_exit(
    environment: SoakEnvironment,
    callers: PersistentCallers,
    at: float,
    rng: random.Random,
) -> None:
    """Send signals to the process that callers use until it has ended."""
    number = rng.choice([signal.SIGHUP, signal.SIGTERM])
    gap = rng.uniform(MIN_SIGNAL_GAP, MAX_SIGNAL_GAP)
    await trio.sleep(at)
    gateway = callers.gateway
    while gateway.process is callers.process and callers.process.is_running:
        environment.send_signal(gateway, number)
        await trio.sleep(gap)
