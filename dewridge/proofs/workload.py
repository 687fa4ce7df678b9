"""Callers that send requests and record what they observe in a history."""

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

VERDICT_BY_OUTCOME: dict[Outcome, Verdict] = {
    Outcome.DONE: "done",
    Outcome.NOT_RUN: "not_run",
    Outcome.UNKNOWN: "unknown",
    Outcome.FAILED: "failed",
}

CLIENT_LIMITS = ClientLimits(silence_timeout=4.0, accept_timeout=5.0)


@dataclass(frozen=True)
class CallKind:
    """A kind of call in a mix.

    Attributes:
        weight: relative frequency in the mix.
        tokens: lengths of answers to choose from; empty for a plain service.
    """

    service: str
    operation: str
    idempotent: bool
    weight: float
    tokens: tuple[int, ...] = ()


DRAFT = CallKind("findings", "draft_finding", True, 4, (60, 150, 400))
LONG_DRAFT = CallKind("findings", "draft_finding", True, 4, (1200, 2000))
"""Drafts that take longer than the longest notice of a reclaim."""

STATUS = CallKind("registry", "check_status", True, 3)
LETTER = CallKind("registry", "issue_letter", False, 3)
MIX = (DRAFT, STATUS, LETTER)


class Workload:
    """Open-loop callers of several accounts that record each call in a history.

    Args:
        rate: mean number of calls per second.
        deadline: deadline of each call in seconds.
        submissions: maximum submissions of one key; 0 sets no limit.
    """

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
        self._limits = replace(CLIENT_LIMITS, max_submissions=submissions)
        self._deployment = deployment
        self._history = history
        self._random = Random(f"workload/{seed}")
        self._rate = rate
        self._mix = mix
        self._deadline = deadline
        self._counter = count(1)
        self._clients: list[tuple[str, Client]] = []
        self._stop = trio.Event()

    def stop(self) -> None:
        """Start no new calls; those in flight are completed."""
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
        for pause in self._generate_pauses():
            with trio.move_on_after(pause):
                await self._stop.wait()
                return
            nursery.start_soon(self._call, self._choose_kind())

    def _generate_pauses(self) -> Iterator[float]:
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
            f"dossier {next(self._counter)}: plant records of line two, cold room",
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
    """Make one call and record it from submission to outcome."""
    from uuid6 import uuid7  # noqa: PLC0415 - only callers generate keys

    key = key or str(uuid7())
    due_at = time.time() + deadline
    history.add(
        Submitted(
            time.time(),
            f"client-{account}",
            account,
            key,
            1,
            kind.operation,
            # A plain service receives its input as JSON text.
            prompt if tokens else msgspec.json.encode(prompt).decode(),
            tokens,
            kind.idempotent,
        )
    )
    is_acknowledged = False

    def record_acknowledgement(event: AnswerEvent) -> None:
        nonlocal is_acknowledged
        if not is_acknowledged:
            is_acknowledged = True
            history.add(Acknowledged(time.time(), key, 1))

    call = Call(kind.service, kind.operation, prompt, deadline, tokens, key)
    answer = await client.request(call, record_acknowledgement)
    for host in answer.hosts[1:]:
        history.add(Interrupted(time.time(), key, host, "went on here"))
    history.add(_make_conclusion(answer, key, due_at))
    return answer


def _make_conclusion(answer: Answer, key: str, due_at: float) -> Concluded:
    text = answer.text
    if answer.is_complete and not text:
        text = msgspec.json.encode(answer.result).decode()
    return Concluded(
        time.time(),
        key,
        1,
        VERDICT_BY_OUTCOME.get(answer.outcome, "unknown"),
        int(answer.code),
        text,
        due_at,
        answer.retry_after,
    )
