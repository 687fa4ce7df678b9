"""Load probes: whether engines are asked for their load, and the choice by answers."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from dewridge.policy.expectedtime import (
    ExpectedPlacement,
    Prompt,
    ServerLoad,
    ServiceSpeed,
    estimate_placement,
)

MIN_PREFILL_TIME = 0.03
"""Expected seconds of prefill from which a prompt is worth two probes. Shorter ones
delay the streams of an engine by less than a few steps."""
MIN_STALENESS = 0.3
"""Seconds by which reports lag from which probes are worth their cost. In small fleets,
reports are fresher, and two prompts rarely meet unnoticed."""
TIMEOUT_SHARE = 0.05
"""Share of a route's latency target for which a prompt waits for the answers."""
MAX_TIMEOUT = 0.05
"""Upper bound of that wait in seconds. It is many round trips between domains."""
REUSE_TIME = 0.1
"""Seconds for which an answer is used for further prompts of this host."""
REPORT_AGE = 0.1
"""Seconds by which the figures of an engine's answer may lag."""
MAX_FAILURES = 3
"""Failed probes in a row after which an engine is not probed for a while."""
FAILURE_PAUSE = 2.0
"""Seconds for which it is not probed then."""


@dataclass(frozen=True, slots=True)
class ProbedLoad:
    """Load of an engine by its own answer.

    Attributes:
        requests: requests that run or wait there.
        prompts: those of them whose prompt is not prefilled yet.
        run_ids: ids of the attempts that run there.
        received_at: monotonic time of the answer.
    """

    requests: int
    prompts: int
    run_ids: frozenset[str]
    received_at: float


@dataclass(frozen=True, slots=True)
class SentPrompt:
    """A prompt that this host sent to an engine."""

    attempt: str
    tokens: float
    sent_at: float


@dataclass(slots=True)
class ProbeRecord:
    """What one host knows of one engine from probes.

    Attributes:
        answer: the last valid answer.
        failures: failed probes since then.
        paused_until: time until which the engine is not probed.
        sent: prompts that this host sent to it recently.
    """

    answer: ProbedLoad | None = None
    failures: int = 0
    paused_until: float = float("-inf")
    sent: deque[SentPrompt] = field(default_factory=deque)

    def find_fresh(self, now: float) -> ProbedLoad | None:
        """Return the last answer if it is fresh enough to be used again."""
        if self.answer is None or now - self.answer.received_at > REUSE_TIME:
            return None
        return self.answer

    def is_paused(self, now: float) -> bool:
        """Whether the engine is not probed, as recent probes failed."""
        return now < self.paused_until

    def record_answer(self, answer: ProbedLoad) -> None:
        """Record a valid answer."""
        self.answer = answer
        self.failures = 0

    def record_failure(self, now: float) -> None:
        """Record a probe without a valid answer."""
        self.failures += 1
        if self.failures >= MAX_FAILURES:
            self.failures = 0
            self.paused_until = now + FAILURE_PAUSE

    def record_sent(self, prompt: SentPrompt) -> None:
        """Record that a prompt is sent to the engine, and drop earlier ones."""
        horizon = prompt.sent_at - REUSE_TIME - REPORT_AGE
        while self.sent and self.sent[0].sent_at < horizon:
            self.sent.popleft()
        self.sent.append(prompt)

    def list_unseen(self, answer: ProbedLoad) -> list[SentPrompt]:
        """Return the prompts of this host that an answer cannot contain yet."""
        since = answer.received_at - REPORT_AGE
        return [
            prompt
            for prompt in self.sent
            if prompt.sent_at >= since and prompt.attempt not in answer.run_ids
        ]


def should_probe(tokens: float, speed: ServiceSpeed, staleness: float) -> bool:
    """Return whether engines are probed before a prompt is sent.

    Args:
        tokens: tokens of the prompt that have to be prefilled.
        speed: speed of the engines.
        staleness: seconds by which the reports of other hosts may lag.
    """
    is_long = tokens >= MIN_PREFILL_TIME * speed.prefill_rate
    return is_long and staleness > MIN_STALENESS


def compute_timeout(latency_target: float) -> float:
    """Return the seconds to wait for answers, for a route's latency target."""
    return min(MAX_TIMEOUT, TIMEOUT_SHARE * latency_target)


def apply_answer(
    load: ServerLoad,
    answer: ProbedLoad,
    unseen: Sequence[SentPrompt],
    prompt_tokens: float,
) -> ServerLoad:
    """Return the load of an engine by its answer instead of by reports.

    Args:
        load: the engine by reports.
        answer: its answer.
        unseen: prompts of this host that the answer cannot contain yet.
        prompt_tokens: mean tokens that a prompt of the service has to prefill.
    """
    backlog = answer.prompts * prompt_tokens + sum(sent.tokens for sent in unseen)
    requests = answer.requests + len(unseen)
    return replace(load, requests=requests, unprocessed_tokens=backlog)


def choose_probed(
    placements: Sequence[ExpectedPlacement],
    loads: Sequence[ServerLoad | None],
    prompt: Prompt,
    speed: ServiceSpeed,
) -> ExpectedPlacement:
    """Return the placement with the earliest first event, by the answers to probes.

    Args:
        placements: the candidates by reports, the preferred one first.
        loads: their loads by their answers; None for one without a valid answer, which
            keeps its estimate.
        prompt: the prompt.
        speed: speed of the engines.
    """
    if all(load is None for load in loads):
        return placements[0]
    estimates = [
        placement if load is None else estimate_placement(load, prompt, speed)
        for placement, load in zip(placements, loads, strict=True)
    ]
    return min(estimates, key=lambda placement: placement.seconds)
