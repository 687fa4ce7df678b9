"""Decides whether the rollout of a server version is completed or reverted.

Covers versions that fail or slow down at once, after some time, under full load or on
one route only. A trial sends a small share of the requests to a few servers of the
target version, so that these are as loaded as the servers of the old version. Their
answers are compared with those of the old version over the same time and routes, so
that causes common to both, such as a burst, the loss of a failure domain or a request
that crashes servers, do not count against the target.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

import xxhash

from dewridge.ids import BackendServerId

RouteLabel = NewType("RouteLabel", str)
"""Name of a route."""

PLANNED_EXPOSURE = 0.5
"""Part of the permitted exposure that a trial is planned to use; the permitted exposure
is the share of all requests until the deadline that a bad target version may get. The
other part covers load that falls during the trial and requests sent before a verdict
reaches all hosts."""
MAX_TRIAL_SHARE = 0.25
"""Upper bound on the share of a service's requests that a trial takes."""
TRIAL_END_MARGIN = 6.0
"""Seconds before the deadline at which a trial ends: all hosts learn of the move within
two and a half seconds, and most streams end within four."""
MIN_TRIAL_TIME_SHARE = 0.4
"""Lower bound on the part of the permitted time that a trial takes."""
MIN_TRIAL_END_MARGIN = 4.0
"""Seconds before the deadline at which a trial that is still undecided is ended on the
answers so far."""
PROPAGATION_TIME = 2.5
"""Seconds until every reachable host knows that the move has begun."""
DEADLINE_MARGIN = 0.5
"""Seconds before the deadline at which a move is completed; leaves time for the write
to the store."""
ANSWERS_NEEDED = 20
"""Answers needed in total and on each busy route; enough to detect a version that fails
a third of them."""
MIN_ANSWERS = 10
"""Answers over all routes below which a rollout does not proceed."""
MIN_BAD_ANSWERS = 3
"""Bad answers below which a version is never judged bad."""
MIN_BAD_RATE = 0.02
"""Lower bound on the expected share of bad answers."""
BAD_RATE_MARGIN = 1.3
"""Factor on the old version's share of bad answers, as the requests sent to the two
versions differ."""
SIGNIFICANCE = 1e-3
"""Significance level of the binomial test below which a version is judged bad."""
LARGE_SAMPLE = 400
"""Answers above which the normal approximation of the binomial tail is used."""


class Stage(Enum):
    """Stage of a rollout; stages only advance."""

    WAITING = "waiting"
    """Ordered but not yet begun by the duty holder."""
    TRIAL = "trial"
    """A share of the requests goes to some servers of the target version."""
    MOVING = "moving"
    """All new requests go to the target version."""
    COMPLETED = "completed"
    REVERTED = "reverted"


RANKS = {stage: rank for rank, stage in enumerate(Stage)}
FINAL = frozenset({Stage.COMPLETED, Stage.REVERTED})


class VersionVerdict(Enum):
    """Judgement of a version by its answers."""

    UNDECIDED = "undecided"
    GOOD = "sound"
    BAD = "bad"


@dataclass(frozen=True, slots=True)
class Tally:
    """Count of answers and of those that failed or were slow."""

    answers: int = 0
    bad: int = 0

    def __add__(self, other: "Tally") -> "Tally":
        """Return the sum of both."""
        return Tally(self.answers + other.answers, self.bad + other.bad)


@dataclass(frozen=True, slots=True)
class Evidence:
    """Answers by route, of the target version and of the old one."""

    target: Mapping[RouteLabel, Tally] = field(default_factory=dict)
    baseline: Mapping[RouteLabel, Tally] = field(default_factory=dict)


def judge_version(evidence: Evidence) -> VersionVerdict:
    """Return the verdict over all routes and on each of them."""
    target = sum(evidence.target.values(), Tally())
    baseline = sum(evidence.baseline.values(), Tally())
    if is_worse(target, baseline):
        return VersionVerdict.BAD
    for route, tally in evidence.target.items():
        if is_worse(tally, evidence.baseline.get(route, Tally())):
            return VersionVerdict.BAD
    if target.answers < MIN_ANSWERS:
        return VersionVerdict.UNDECIDED
    for route, tally in evidence.baseline.items():
        seen = evidence.target.get(route, Tally()).answers
        # Other hosts may report bad answers without the answers that they are among.
        expected = target.answers * tally.answers / max(1, baseline.answers)
        if expected >= ANSWERS_NEEDED > seen:
            return VersionVerdict.UNDECIDED
    is_enough = target.answers >= ANSWERS_NEEDED
    return VersionVerdict.GOOD if is_enough else VersionVerdict.UNDECIDED


def is_worse(target: Tally, baseline: Tally) -> bool:
    """Whether the target has significantly more bad answers than the baseline."""
    if target.bad < MIN_BAD_ANSWERS:
        return False
    baseline_rate = (baseline.bad + 1) / (baseline.answers + 1 / MIN_BAD_RATE)
    rate = min(1.0, max(MIN_BAD_RATE, baseline_rate * BAD_RATE_MARGIN))
    answers = max(target.answers, target.bad)
    return compute_tail_probability(answers, target.bad, rate) < SIGNIFICANCE


def compute_tail_probability(answers: int, bad: int, rate: float) -> float:
    """Return the probability of at least `bad` bad answers at a given rate."""
    if bad <= answers * rate:
        return 1.0
    if answers > LARGE_SAMPLE:
        deviation = math.sqrt(answers * rate * (1 - rate)) or 1.0
        return 0.5 * math.erfc((bad - 0.5 - answers * rate) / deviation / math.sqrt(2))
    return sum(
        math.comb(answers, count) * rate**count * (1 - rate) ** (answers - count)
        for count in range(bad, answers + 1)
    )


def compute_trial_end(duration: float) -> float:
    """Return the seconds after the order at which its trial ends."""
    return max(duration * MIN_TRIAL_TIME_SHARE, duration - TRIAL_END_MARGIN)


def compute_trial_share(exposure_share: float, duration: float) -> float:
    """Return the share of requests that a trial sends to the target version.

    The permitted exposure is a share of all requests until the deadline. All of the
    planned part is spent during the trial, to collect the most answers before the
    decision.
    """
    planned = PLANNED_EXPOSURE * exposure_share * duration / compute_trial_end(duration)
    return min(MAX_TRIAL_SHARE, planned)


def choose_trial_servers(
    order: int, servers: Sequence[BackendServerId], baseline_servers: int, share: float
) -> frozenset[BackendServerId]:
    """Return the servers of the target version that a trial uses.

    They are few enough that each is as loaded as a server of the old version, so that a
    version that fails only under load is detected. The choice is deterministic, so that
    all hosts agree on it without coordination.

    Args:
        order: revision of the rollout order in the store.
        servers: servers of the target version.
        baseline_servers: number of servers of the old version.
        share: share of the requests that the trial takes.
    """
    count = max(1, math.ceil(share * baseline_servers))
    ranked = sorted(
        servers,
        key=lambda server: xxhash.xxh3_64_intdigest(f"{order}/{server}".encode()),
    )
    return frozenset(ranked[:count])


@dataclass(frozen=True, slots=True)
class RolloutState:
    """State of a rollout, as known to the duty holder.

    Attributes:
        stage: the current stage.
        elapsed: seconds since the order.
        stage_age: seconds since this stage was first seen on this host.
        duration: seconds after the order by which the rollout must have ended.
        verdict: judgement of the target version.
        target_answers: answers of the target version.
        target_servers: number of servers of the target version.
        baseline_servers: number of servers of the old version.
        baseline_in_flight: requests at servers of the old version, over all hosts.
    """

    stage: Stage
    elapsed: float
    stage_age: float
    duration: float
    verdict: VersionVerdict
    target_answers: int
    target_servers: int
    baseline_servers: int
    baseline_in_flight: int


def compute_next_stage(rollout: RolloutState) -> Stage:
    """Return the next stage, or the current one if it does not change."""
    if rollout.stage in FINAL:
        return rollout.stage
    if rollout.verdict is VersionVerdict.BAD:
        return Stage.REVERTED
    if rollout.stage is Stage.TRIAL:
        return _compute_stage_after_trial(rollout)
    if rollout.stage is Stage.MOVING:
        return _compute_stage_after_move(rollout)
    return Stage.TRIAL


def _compute_stage_after_trial(rollout: RolloutState) -> Stage:
    if rollout.elapsed < compute_trial_end(rollout.duration):
        return Stage.TRIAL
    # With fewer servers the target could not carry the load of the old version.
    has_capacity = rollout.target_servers >= rollout.baseline_servers
    if rollout.verdict is VersionVerdict.GOOD and has_capacity:
        return Stage.MOVING
    if rollout.elapsed < rollout.duration - MIN_TRIAL_END_MARGIN:
        return Stage.TRIAL
    has_evidence = (
        rollout.verdict is VersionVerdict.GOOD or rollout.target_answers >= MIN_ANSWERS
    )
    return Stage.MOVING if has_evidence and rollout.target_servers else Stage.REVERTED


def _compute_stage_after_move(rollout: RolloutState) -> Stage:
    if rollout.stage_age < PROPAGATION_TIME:
        return Stage.MOVING
    # Completion stops the servers of the old version and their requests at once.
    is_due = rollout.elapsed >= rollout.duration - DEADLINE_MARGIN
    return (
        Stage.COMPLETED if is_due or rollout.baseline_in_flight == 0 else Stage.MOVING
    )
