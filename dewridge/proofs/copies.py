"""Callers that send duplicate submissions, simultaneously or with a delay."""

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
from dewridge.proofs.workload import LETTER, STATUS, VERDICT_BY_OUTCOME, CallKind
from dewridge.testbed.deployment import Deployment

SIMULTANEOUS_HOSTS = 3
"""Hosts that get the same submission at the same time."""

DUPLICATE_DELAY = 0.5
"""Seconds between the rejection of a submission and its duplicate."""

UNMEETABLE_DEADLINE = 0.001
"""Deadline in seconds that cannot be met, so that the submission is rejected."""

SUFFICIENT_DEADLINE = 20.0
"""Deadline in seconds that can be met; also the time to wait for the outcome."""

POLL_INTERVAL = 0.2
"""Seconds between two polls of the status of a request."""

POLL_TIMEOUT = 3.0
"""Seconds to wait for the response to a poll."""


class DuplicateSender:
    """Sends duplicates of submissions to randomly chosen hosts.

    Args:
        rate: mean number of keys sent per second.
    """

    def __init__(
        self, deployment: Deployment, history: History, *, seed: int, rate: float
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._random = Random(f"copies/{seed}")
        self._rate = rate
        self._prompt_numbers = count(1)
        self._stop = trio.Event()
        self._http = httpx.AsyncClient(timeout=POLL_TIMEOUT, trust_env=False)

    def stop(self) -> None:
        """Start no new submissions; those in flight are completed."""
        self._stop.set()

    async def run(self) -> None:
        """Send until stopped, then wait for all outcomes."""
        patterns: list[Callable[[], Awaitable[None]]] = [
            self._send_simultaneously,
            self._send_late_duplicate,
            self._send_next_submission,
        ]
        async with self._http, trio.open_nursery() as nursery:
            while not self._stop.is_set():
                nursery.start_soon(self._random.choice(patterns))
                with trio.move_on_after(self._random.expovariate(self._rate)):
                    await self._stop.wait()

    async def _send_simultaneously(self) -> None:
        key, prompt = self._make_key(), self._make_prompt()
        async with trio.open_nursery() as nursery:
            for host in self._choose_hosts(SIMULTANEOUS_HOSTS):
                nursery.start_soon(
                    self._submit, host, LETTER, key, 1, prompt, SUFFICIENT_DEADLINE
                )

    async def _send_late_duplicate(self) -> None:
        kind = self._random.choice([LETTER, STATUS])
        key, prompt = self._make_key(), self._make_prompt()
        first, second = self._choose_hosts(2)
        await self._submit(first, kind, key, 1, prompt, UNMEETABLE_DEADLINE)
        await trio.sleep(DUPLICATE_DELAY)
        await self._submit(second, kind, key, 1, prompt, SUFFICIENT_DEADLINE)

    async def _send_next_submission(self) -> None:
        key, prompt = self._make_key(), self._make_prompt()
        first, second = self._choose_hosts(2)
        await self._submit(first, LETTER, key, 1, prompt, UNMEETABLE_DEADLINE)
        await self._submit(second, LETTER, key, 2, prompt, SUFFICIENT_DEADLINE)

    def _make_key(self) -> str:
        return str(uuid7())

    def _make_prompt(self) -> str:
        return f"copied letter {next(self._prompt_numbers)}"

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
        """Send one submission to one host and record its outcome.

        If the response is not final, running hosts are polled for the outcome.
        """
        due_at = time.time() + SUFFICIENT_DEADLINE
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
        content = await self._send_request("POST", url, body, SUFFICIENT_DEADLINE)
        while not _is_final(content) and time.time() < due_at:
            await trio.sleep(POLL_INTERVAL)
            status_url = f"{self._choose_hosts(1)[0]}/v1/requests/{key}"
            content = await self._send_request("GET", status_url, None, POLL_TIMEOUT)
        self._record_outcome(content, key, number, due_at)

    async def _send_request(
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

    def _record_outcome(
        self, content: dict[str, Any], key: str, number: int, due_at: float
    ) -> None:
        now = time.time()
        outcome = Outcome(content.get("outcome", "unknown"))
        verdict = VERDICT_BY_OUTCOME.get(outcome, "unknown")
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
                due_at,
                content.get("retry_after"),
            )
        )


def _is_final(content: dict[str, Any]) -> bool:
    """Whether an answer is final; a lost connection or status 202 is not."""
    return content.get("outcome") in ("done", "not_run", "failed") or (
        content.get("outcome") == "unknown" and content.get("code") in (300, 301)
    )
