"""Callers that send requests at an even rate, while workers crash."""

import asyncio
import random
import time
from collections.abc import Callable

from client import Call, Reply, resolve
from deployment import Deployment, Record

DOWN_SECONDS = 2.0
"""Seconds for which a crashed worker is away."""


class Load:
    """Sends requests on one path by the addresses that a host names.

    Attributes:
        replies: what the callers got.
    """

    def __init__(
        self,
        deployment: Deployment,
        record: Record,
        path: str,
        make_headers: Callable[[int], dict[str, str]],
        budget_ms: int,
    ) -> None:
        self._deployment = deployment
        self._record = record
        self._path = path
        self._make_headers = make_headers
        self._budget_ms = budget_ms
        self._addresses: list[str] = []
        self.replies: list[Reply] = []

    async def keep_addresses(self) -> None:
        """Ask for addresses again before their time is over, forever."""
        while True:
            found = await resolve(self._deployment.gateways[0])
            self._addresses = found.addresses or self._addresses
            await asyncio.sleep(0.9 * (found.ttl or 1.0))

    async def send(self, rate: float, seconds: float) -> None:
        """Send requests and wait for their answers.

        Args:
            rate: requests per second.
            seconds: for how long.
        """
        self._deployment.start_task(self.keep_addresses())
        await asyncio.sleep(1.0)
        end = time.monotonic() + seconds
        number = 0
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                number += 1
                group.create_task(self._send_one(number))
                await asyncio.sleep(random.expovariate(rate))
        statuses = [reply.status for reply in self.replies]
        self._record.add(f"{len(statuses)} requests, {statuses.count(200)} with 200")

    async def _send_one(self, number: int) -> None:
        address = random.choice(self._addresses)
        call = Call(address, self._path, budget_ms=self._budget_ms)
        self._record.add(f"sent {call.reply.attempt}")
        reply = await call.run(self._make_headers(number), b"{}")
        self._record.add(
            f"answered {reply.attempt}: status {reply.status}, seal {reply.has_seal}, "
            f"complete {reply.is_complete}, {len(reply.body)} bytes"
        )
        self.replies.append(reply)


async def crash_workers(
    deployment: Deployment, *, count: int, at_once: int, period: float
) -> None:
    """Crash some of the workers with unframed answers; others start in their place.

    Args:
        deployment: the deployment.
        count: number of crashes.
        at_once: workers of one crash.
        period: seconds between two crashes.
    """
    for _ in range(count):
        await asyncio.sleep(period - DOWN_SECONDS)
        garbling = [
            worker for worker in deployment.workers if worker.options.unframed > 0
        ]
        crashed = garbling[:at_once]
        for worker in crashed:
            await deployment.crash_worker(worker)
        await asyncio.sleep(DOWN_SECONDS)
        for worker in crashed:
            options = worker.options
            await deployment.add_worker(
                pause=options.pause, pieces=options.pieces, unframed=options.unframed
            )
