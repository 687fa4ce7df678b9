"""Clients that follow the addresses that the hosts give them."""

import asyncio
import json
import random
import time
from collections import Counter
from contextlib import suppress
from itertools import count

from rig.fleet import Fleet, Host
from rig.web import DroppedError, call

NUMBERS = count(1)


class Client:
    """Sends requests at a steady rate, each on a new connection.

    Attributes:
        path: path of its requests.
        statuses: number of answers by status; 0 for none.
        sent_at: time at which each attempt was sent, in seconds since 1970.
        served: attempts that were answered with success and the worker's body.
    """

    def __init__(
        self, fleet: Fleet, key: str, rate: float, path: str, seed: int
    ) -> None:
        """Create a client; each third one keeps lists three times as long."""
        self._fleet = fleet
        self._key = key
        self._rate = rate
        self.path = path
        self._addresses: list[tuple[str, int]] = []
        self._rng = random.Random(seed)
        self._patience = 3 if seed % 3 == 0 else 1
        self.statuses: Counter[int] = Counter()
        self.sent_at: dict[str, float] = {}
        self.served: set[str] = set()

    def count_since(self, since: float) -> tuple[int, int]:
        """Return the requests sent and served, from a time in seconds since 1970."""
        sent = [attempt for attempt, at in self.sent_at.items() if at >= since]
        return len(sent), sum(attempt in self.served for attempt in sent)

    async def run(self) -> None:
        """Send requests until cancelled."""
        self._fleet.start_task(self._follow_addresses())
        while True:
            if self._addresses:
                self._fleet.start_task(self._send())
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) / self._rate)

    async def _follow_addresses(self) -> None:
        while True:
            seconds = 0.2
            hosts = self._fleet.hosts
            for host in self._rng.sample(hosts, min(3, len(hosts))):
                found, ttl = await self._resolve(host)
                if found:
                    self._addresses, seconds = found, min(5.0, ttl) * self._patience
                    break
            await asyncio.sleep(seconds)

    async def _resolve(self, host: Host) -> tuple[list[tuple[str, int]], float]:
        target = "/-/resolve?name=registro.example&region=gt-central&zone=zona-a"
        with suppress(OSError, DroppedError, TimeoutError, KeyError, ValueError):
            answer = await asyncio.wait_for(call(host.directory, "GET", target), 1.0)
            fields = json.loads(answer.body)
            pairs = [text.rpartition(":") for text in fields["addresses"]]
            return [(ip, int(port)) for ip, _, port in pairs], fields["ttl_s"]
        return [], 0.0

    async def _send(self) -> None:
        attempt = f"{next(NUMBERS):016x}"
        address = self._rng.choice(self._addresses)
        headers = {
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "600",
            "X-Api-Key": self._key,
        }
        record = self._fleet.record
        record.add(f"client sends {attempt} with key {self._key} to {address[0]}")
        status, began_at = 0, time.monotonic()
        self.sent_at[attempt] = time.time()
        with suppress(OSError, DroppedError, TimeoutError):
            sent = call(address, "GET", f"{self.path}{attempt}", headers)
            answer = await asyncio.wait_for(sent, 1.0)
            status = answer.status
            if status == 200 and answer.body == attempt.encode():
                self.served.add(attempt)
        self.statuses[status] += 1
        ms = (time.monotonic() - began_at) * 1000
        record.add(f"client gets {status} for {attempt} after {ms:.0f} ms")
