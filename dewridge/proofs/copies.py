"""Callers whose submissions are copied: several hosts at once, or late."""

import time
from collections.abc import Awaitable, Callable
from itertools import count
from random import Random
from typing import Any

import httpx
import msgspec
import trio
from uuid6 import uuid7

from dewridge.codes import Outcome
from dewridge.proofs.history import Acknowledged, Concluded, History, Submitted
from dewridge.proofs.workload import LETTER, STATUS, VERDICTS, CallKind
from dewridge.testbed.deployment import Deployment

HOSTS_AT_ONCE = 3
LATE = 0.5
"""Seconds by which a copy of a refused submission comes late."""

TOO_SHORT = 0.001
"""Seconds of a deadline that cannot be met, so that a submission is refused."""

GOOD_DEADLINE = 20.0
LOOK_PAUSE = 0.2
LOOK_TIMEOUT = 3.0


class CopySenders:
    """Sends copies of submissions, each to a host of its own choice."""

    def __init__(
        self, deployment: Deployment, history: History, *, seed: int, rate: float
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._random = Random(f"copies/{seed}")
        self._rate = rate
        self._numbers = count(1)
        self._stop = trio.Event()
        self._http = httpx.AsyncClient(timeout=LOOK_TIMEOUT, trust_env=False)

    def stop(self) -> None:
        """Send no more; copies under way go on to their end."""
        self._stop.set()

    async def run(self) -> None:
        """Send until stopped, then wait for the last word."""
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._send_at_once,
            self._send_late_copy,
            self._send_next_number,
        ]
        async with self._http, trio.open_nursery() as nursery:
            while not self._stop.is_set():
                nursery.start_soon(self._random.choice(kinds))
                with trio.move_on_after(self._random.expovariate(self._rate)):
                    await self._stop.wait()

    async def _send_at_once(self) -> None:
        key, prompt = self._name(), self._write()
        async with trio.open_nursery() as nursery:
            for host in self._choose_hosts(HOSTS_AT_ONCE):
                nursery.start_soon(
                    self._submit, host, LETTER, key, 1, prompt, GOOD_DEADLINE
                )

    async def _send_late_copy(self) -> None:
        kind = self._random.choice([LETTER, STATUS])
        key, prompt = self._name(), self._write()
        first, second = self._choose_hosts(2)
        await self._submit(first, kind, key, 1, prompt, TOO_SHORT)
        await trio.sleep(LATE)
        await self._submit(second, kind, key, 1, prompt, GOOD_DEADLINE)

    async def _send_next_number(self) -> None:
        key, prompt = self._name(), self._write()
        first, second = self._choose_hosts(2)
        await self._submit(first, LETTER, key, 1, prompt, TOO_SHORT)
        await self._submit(second, LETTER, key, 2, prompt, GOOD_DEADLINE)

    def _name(self) -> str:
        return str(uuid7())

    def _write(self) -> str:
        return f"copied letter {next(self._numbers)}"

    def _choose_hosts(self, number: int) -> list[str]:
        running = [h.url for h in self._deployment.hosts if h.process.is_running]
        return self._random.sample(running, min(number, len(running)))

    @property
    def _account(self) -> str:
        return self._deployment.spec.accounts[0]

    @property
    def _headers(self) -> dict[str, str]:
        token = self._deployment.tokens[self._account]
        return {"Authorization": f"Bearer {token}"}

    async def _submit(
        self,
        host: str,
        kind: CallKind,
        key: str,
        number: int,
        prompt: str,
        deadline: float,
    ) -> None:
        """Send one submission to one host and record the final word on it."""
        due = time.time() + GOOD_DEADLINE
        text = msgspec.json.encode(prompt).decode()
        self._history.add(
            Submitted(
                time.time(),
                "copies",
                self._account,
                key,
                number,
                kind.operation,
                text,
                0,
                kind.idempotent,
                host,
            )
        )
        body = {
            "key": key,
            "submission": number,
            "operation": kind.operation,
            "input": prompt,
            "deadline_seconds": deadline,
        }
        url = f"{host}/v1/services/{kind.service}/requests"
        content = await self._ask("POST", url, body, GOOD_DEADLINE)
        while not _is_final(content) and time.time() < due:
            await trio.sleep(LOOK_PAUSE)
            asked = f"{self._choose_hosts(1)[0]}/v1/requests/{key}"
            content = await self._ask("GET", asked, None, LOOK_TIMEOUT)
        self._conclude(content, key, number, due)

    async def _ask(
        self, method: str, url: str, body: dict[str, Any] | None, timeout: float
    ) -> dict[str, Any]:
        try:
            response = await self._http.request(
                method, url, json=body, headers=self._headers, timeout=timeout
            )
            content = response.json()
        except (httpx.HTTPError, ValueError):
            return {}
        return dict(content)

    def _conclude(
        self, content: dict[str, Any], key: str, number: int, due: float
    ) -> None:
        now = time.time()
        outcome = Outcome(content.get("outcome", "unknown"))
        verdict = VERDICTS.get(outcome, "unknown")
        if verdict == "done":
            self._history.add(Acknowledged(now, key, number))
        self._history.add(
            Concluded(
                now,
                key,
                number,
                verdict,
                int(content.get("code", -1)),
                msgspec.json.encode(content.get("result")).decode(),
                due,
                content.get("retry_after"),
            )
        )


def _is_final(content: dict[str, Any]) -> bool:
    """Whether an answer is the last word; a lost connection or 202 is not."""
    return content.get("outcome") in ("done", "not_run", "failed") or (
        content.get("outcome") == "unknown" and content.get("code") in (300, 301)
    )
