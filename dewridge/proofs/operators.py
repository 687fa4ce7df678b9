"""Operators of a proof: they race for profiles, and watch every host for them."""

import time
from collections.abc import Awaitable, Callable
from itertools import count
from random import Random
from typing import Any

import httpx
import trio

from dewridge.proofs.history import ChangeAnswered, ChangeAsked, History, Observed
from dewridge.testbed.deployment import Deployment, EntryHost

CHANGE_TIMEOUT = 12.0
WATCH_PERIOD = 0.2
"""Seconds between two looks at a host; the measure's own grain."""

OPERATORS = 3
CHANGE_PAUSE = 1.0
"""Operators who revise one profile, and seconds between two changes of one: far
more than the 21,000 a day of the aim, so that they race."""


class Operators:
    """Operators who revise one profile at once, and one who watches all hosts."""

    def __init__(
        self, deployment: Deployment, history: History, *, seed: int, profile: str
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._random = Random(f"operators/{seed}")
        self._path = f"/v1/profiles/{profile}"
        self._name = f"profile/{profile}"
        self._base = next(p for p in deployment.spec.profiles if p["name"] == profile)
        self._numbers = count(1)
        self._stop = trio.Event()

    def stop(self) -> None:
        """Ask for no more changes and stop watching."""
        self._stop.set()

    async def run(self) -> None:
        """Revise the profile and watch all hosts until stopped."""
        async with trio.open_nursery() as nursery:
            for _ in range(OPERATORS):
                nursery.start_soon(self._repeat, self._revise, CHANGE_PAUSE)
            nursery.start_soon(self._repeat, self._look_at_all, WATCH_PERIOD)

    async def _repeat(self, act: Callable[[], Awaitable[None]], pause: float) -> None:
        while not self._stop.is_set():
            await act()
            with trio.move_on_after(self._random.uniform(0.5, 1.5) * pause):
                await self._stop.wait()

    async def _look_at_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for host in self._deployment.hosts:
                if host.process.is_running:
                    nursery.start_soon(self._look, host)

    async def _look(self, host: EntryHost) -> None:
        asked = time.time()
        response = await self._get(f"{host.url}{self._path}")
        if response is None or response.status_code != httpx.codes.OK:
            return
        admits = await self._is_admitting(host)
        self._history.add(
            Observed(
                asked,
                host.name,
                self._name,
                read_revision(response),
                response.json()["value"]["targets"]["first_token"],
                admits,
            )
        )

    async def _is_admitting(self, host: EntryHost) -> bool:
        dump = await self._deployment.read_dump(host)
        return bool(dump.get("parts", {}).get("configuration", {}).get("fresh", False))

    async def _get(self, url: str) -> httpx.Response | None:
        try:
            return await self._deployment.http.get(
                url, headers=self._deployment.operator_headers
            )
        except httpx.HTTPError:
            return None

    async def _revise(self) -> None:
        """Read the profile at one host and revise it there or at another."""
        running = [h for h in self._deployment.hosts if h.process.is_running]
        read = await self._get(f"{self._random.choice(running).url}{self._path}")
        if read is None or read.status_code != httpx.codes.OK:
            return
        change = f"change-{next(self._numbers)}"
        value = round(self._random.uniform(0.1, 0.9), 6)
        expected = read_revision(read)
        self._history.add(ChangeAsked(time.time(), change, self._name, expected, value))
        content = {**self._base, "targets": {"first_token": value}}
        host = self._random.choice(running)
        revision, code = await self._put(host, content, read.headers["ETag"])
        self._history.add(
            ChangeAnswered(
                time.time(), change, self._name, revision, code, in_doubt=code < 0
            )
        )

    async def _put(
        self, host: EntryHost, content: dict[str, Any], etag: str
    ) -> tuple[int, int]:
        try:
            response = await self._deployment.http.put(
                f"{host.url}{self._path}",
                json=content,
                headers={**self._deployment.operator_headers, "If-Match": etag},
                timeout=CHANGE_TIMEOUT,
            )
        except httpx.HTTPError:
            return 0, -1
        if response.is_success:
            return read_revision(response), 0
        return 0, int(response.json().get("code", -1))


def read_revision(response: httpx.Response) -> int:
    """Return the revision in a response's ETag."""
    return int(response.headers["ETag"].strip('"'))
