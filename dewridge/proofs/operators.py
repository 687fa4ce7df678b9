"""Operators who change a profile concurrently, and an observer that polls all hosts."""

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
"""Seconds to wait for the answer to a change."""

OBSERVATION_INTERVAL = 0.2
"""Seconds between two polls of a host; the resolution of the measured delays."""

OPERATOR_COUNT = 3
"""Operators who change the same profile."""

CHANGE_INTERVAL = 1.0
"""Mean pause in seconds between two changes by one operator. Together the operators
make far more changes than the target of 21,000 a day, so that they conflict."""


class Operators:
    """Operators who change one profile concurrently, and an observer of all hosts."""

    def __init__(
        self, deployment: Deployment, history: History, *, seed: int, profile: str
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._random = Random(f"operators/{seed}")
        self._profile_path = f"/v1/profiles/{profile}"
        self._object_name = f"profile/{profile}"
        self._base_profile = next(
            p for p in deployment.spec.profiles if p["name"] == profile
        )
        self._change_numbers = count(1)
        self._stop = trio.Event()

    def stop(self) -> None:
        """Stop requesting changes and polling."""
        self._stop.set()

    async def run(self) -> None:
        """Change the profile and poll all hosts until stopped."""
        async with trio.open_nursery() as nursery:
            for _ in range(OPERATOR_COUNT):
                nursery.start_soon(
                    self._run_periodically, self._revise_profile, CHANGE_INTERVAL
                )
            nursery.start_soon(
                self._run_periodically, self._observe_all_hosts, OBSERVATION_INTERVAL
            )

    async def _run_periodically(
        self, action: Callable[[], Awaitable[None]], pause: float
    ) -> None:
        while not self._stop.is_set():
            await action()
            with trio.move_on_after(self._random.uniform(0.5, 1.5) * pause):
                await self._stop.wait()

    async def _observe_all_hosts(self) -> None:
        async with trio.open_nursery() as nursery:
            for host in self._deployment.hosts:
                if host.process.is_running:
                    nursery.start_soon(self._observe_host, host)

    async def _observe_host(self, host: EntryHost) -> None:
        requested_at = time.time()
        response = await self._get(f"{host.url}{self._profile_path}")
        if response is None or response.status_code != httpx.codes.OK:
            return
        admits = await self._is_admitting(host)
        self._history.add(
            Observed(
                requested_at,
                host.name,
                self._object_name,
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

    async def _revise_profile(self) -> None:
        """Read the profile at one host and change it at a randomly chosen one."""
        running = [h for h in self._deployment.hosts if h.process.is_running]
        current = await self._get(
            f"{self._random.choice(running).url}{self._profile_path}"
        )
        if current is None or current.status_code != httpx.codes.OK:
            return
        change = f"change-{next(self._change_numbers)}"
        value = round(self._random.uniform(0.1, 0.9), 6)
        expected = read_revision(current)
        self._history.add(
            ChangeAsked(time.time(), change, self._object_name, expected, value)
        )
        content = {**self._base_profile, "targets": {"first_token": value}}
        host = self._random.choice(running)
        revision, code = await self._put(host, content, current.headers["ETag"])
        self._history.add(
            ChangeAnswered(
                time.time(),
                change,
                self._object_name,
                revision,
                code,
                in_doubt=code < 0,
            )
        )

    async def _put(
        self, host: EntryHost, content: dict[str, Any], etag: str
    ) -> tuple[int, int]:
        try:
            response = await self._deployment.http.put(
                f"{host.url}{self._profile_path}",
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
