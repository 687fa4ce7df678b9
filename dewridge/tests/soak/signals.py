"""Servers that ask in their answers for fewer requests, or say that they leave."""

import random
import time

import trio

from dewridge.tests.soak.records import BrittlePeriod, Signal
from dewridge.tests.soak.servers import SoakServer
from dewridge.tests.soak.stage import SoakEnvironment

BRITTLE_SLOTS = 6
TOLERANCE = 3
"""Rejections in a second beyond which brittle servers fall over."""
BRITTLE_NOTICE_SECONDS = 3.0
"""Seconds for which they say so before they have less room."""
BRITTLE_SECONDS = 7.0
MIN_LIMIT, MAX_LIMIT = 0.3, 6.0
"""Range of the limits that servers name, in requests per second."""
LIMIT_SECONDS = 9.0
"""Seconds for which a server names a limit: longer than a window of the check."""
REST_SECONDS = 4.0
"""Seconds for which a server turns all requests away."""
EARLY_GOODBYE_SECONDS = 1.0
"""Seconds for which only the answers of a server say that it leaves."""


async def send_signals(
    environment: SoakEnvironment, at: float, rng: random.Random
) -> None:
    """Make one or more servers ask for fewer requests, some seconds from now."""
    await trio.sleep(at)
    # One period for each server: the check takes all its answers for one.
    servers = [
        server for server in environment.list_servers() if not server.has_signalled
    ]
    if not servers:
        return
    signal = rng.choice(list(Signal))
    affected = rng.sample(servers, rng.choice([1, 1, 2]) if len(servers) > 1 else 1)
    async with trio.open_nursery() as nursery:
        for server in affected:
            server.has_signalled = True
            nursery.start_soon(_send_signal, environment, server, signal, rng.random())


async def make_brittle(
    environment: SoakEnvironment, at: float, rng: random.Random
) -> None:
    """Make all servers of a service brittle for a time, some seconds from now."""
    await trio.sleep(at)
    service = rng.choice(["plain", "engine"])
    servers = [each for each in environment.list_servers() if each.service == service]
    for server in servers:
        server.tolerance = TOLERANCE
    await trio.sleep(BRITTLE_NOTICE_SECONDS)
    begin = time.monotonic()
    for server in servers:
        server.has_room = False
    await trio.sleep(BRITTLE_SECONDS)
    period = BrittlePeriod(service, len(servers), begin, time.monotonic())
    environment.history.brittle_periods.append(period)
    for server in servers:
        server.tolerance, server.has_room = None, True


async def _send_signal(
    environment: SoakEnvironment, server: SoakServer, signal: Signal, size: float
) -> None:
    match signal:
        case Signal.LIMIT:
            limit = round(MIN_LIMIT + (MAX_LIMIT - MIN_LIMIT) * size, 2)
            server.signals[signal] = limit
            await trio.sleep(LIMIT_SECONDS)
        case Signal.REST:
            server.signals[signal] = round(0.5 + 3 * size, 2)
            await trio.sleep(REST_SECONDS)
        case Signal.LEAVING:
            server.signals[signal] = 1
            await trio.sleep(EARLY_GOODBYE_SECONDS)
            await environment.replace_server(server)
            return
    server.signals.pop(signal, None)
