"""Callers of a proof: they send requests, and record what they saw."""

import time
from collections.abc import Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from itertools import count
from random import Random

import msgspec
import trio

from dewridge.client.client import Client
from dewridge.client.model import Answer, Call, ClientLimits
from dewridge.codes import Outcome
from dewridge.proofs.history import (
    Acknowledged,
    Concluded,
    History,
    Interrupted,
    Submitted,
    Verdict,
)
from dewridge.requests.model import AnswerEvent
from dewridge.testbed.deployment import Deployment

VERDICTS: dict[Outcome, Verdict] = {
    Outcome.DONE: "done",
    Outcome.NOT_RUN: "not_run",
    Outcome.UNKNOWN: "unknown",
    Outcome.FAILED: "failed",
}

LIMITS = ClientLimits(silence_timeout=4.0, accept_timeout=5.0)


@dataclass(frozen=True)
class CallKind:
    """A kind of call in a mix.

    Attributes:
        tokens: lengths of answers to choose from; empty for a plain service.
    """

    service: str
    operation: str
    idempotent: bool
    weight: float
    tokens: tuple[int, ...] = ()


DRAFT = CallKind("findings", "draft_finding", True, 4, (60, 150, 400))
LONG_DRAFT = CallKind("findings", "draft_finding", True, 4, (1200, 2000))
"""Drafts that outlast every notice of a reclaim."""

STATUS = CallKind("registry", "check_status", True, 3)
LETTER = CallKind("registry", "issue_letter", False, 3)
MIX = (DRAFT, STATUS, LETTER)


class Workload:
    """Open-loop callers of several accounts, each call recorded in a history."""

    def __init__(
        self,
        deployment: Deployment,
        history: History,
        *,
        seed: int,
        rate: float,
        mix: tuple[CallKind, ...] = MIX,
        deadline: float = 30.0,
        submissions: int = 0,
    ) -> None:
        self._limits = replace(LIMITS, max_submissions=submissions)
        self._deployment = deployment
        self._history = history
        self._random = Random(f"workload/{seed}")
        self._rate = rate
        self._mix = mix
        self._deadline = deadline
        self._numbers = count(1)
        self._clients: list[tuple[str, Client]] = []
        self._stop = trio.Event()

    def stop(self) -> None:
        """Send no more calls; those under way go on to their end."""
        self._stop.set()

    async def run(self) -> None:
        """Send calls until stopped, then wait for the last answer."""
        async with AsyncExitStack() as stack:
            for account, token in self._deployment.tokens.items():
                client = Client(
                    self._deployment.list_frontends(),
                    token,
                    limits=self._limits,
                    seed=self._random.randrange(2**32),
                )
                await stack.enter_async_context(client)
                self._clients.append((account, client))
            async with trio.open_nursery() as nursery:
                await self._send_calls(nursery)

    async def _send_calls(self, nursery: trio.Nursery) -> None:
        for pause in self._list_pauses():
            with trio.move_on_after(pause):
                await self._stop.wait()
                return
            nursery.start_soon(self._call, self._choose_kind())

    def _list_pauses(self) -> Iterator[float]:
        while True:
            yield self._random.expovariate(self._rate)

    def _choose_kind(self) -> CallKind:
        weights = [kind.weight for kind in self._mix]
        return self._random.choices(self._mix, weights)[0]

    async def _call(self, kind: CallKind) -> None:
        account, client = self._random.choice(self._clients)
        await record_call(
            self._history,
            client,
            account,
            kind,
            f"dossier {next(self._numbers)}: plant records of line two, cold room",
            self._random.choice(kind.tokens) if kind.tokens else 0,
            self._deadline,
        )


async def record_call(
    history: History,
    client: Client,
    account: str,
    kind: CallKind,
    prompt: str,
    tokens: int,
    deadline: float,
    key: str = "",
) -> Answer:
    """Make one call and record it from sending to final word."""
    from uuid6 import uuid7  # noqa: PLC0415 - only callers make keys

    key = key or str(uuid7())
    due = time.time() + deadline
    history.add(
        Submitted(
            time.time(),
            f"client-{account}",
            account,
            key,
            1,
            kind.operation,
            # A plain service is given the JSON text of its input.
            prompt if tokens else msgspec.json.encode(prompt).decode(),
            tokens,
            kind.idempotent,
        )
    )
    heard = False

    def note(event: AnswerEvent) -> None:
        nonlocal heard
        if not heard:
            heard = True
            history.add(Acknowledged(time.time(), key, 1))

    call = Call(kind.service, kind.operation, prompt, deadline, tokens, key)
    answer = await client.request(call, note)
    for host in answer.hosts[1:]:
        history.add(Interrupted(time.time(), key, host, "went on here"))
    history.add(_conclude(answer, key, due))
    return answer


def _conclude(answer: Answer, key: str, due: float) -> Concluded:
    text = answer.text
    if answer.is_complete and not text:
        text = msgspec.json.encode(answer.result).decode()
    return Concluded(
        time.time(),
        key,
        1,
        VERDICTS.get(answer.outcome, "unknown"),
        int(answer.code),
        text,
        due,
        answer.retry_after,
    )
