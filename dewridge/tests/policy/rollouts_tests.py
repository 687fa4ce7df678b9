"""Tests the rollout policy by simulation against randomly generated versions."""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import pytest

from dewridge.ids import BackendServerId
from dewridge.policy.rollouts import (
    FINAL,
    Evidence,
    RolloutState,
    RouteLabel,
    Stage,
    Tally,
    VersionVerdict,
    choose_trial_servers,
    compute_next_stage,
    compute_trial_share,
    is_worse,
    judge_version,
)

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
STEP = 0.25
"""Seconds of one step of the simulation."""
PROPAGATION_DELAY = 1.5
"""Seconds until answers have reached all hosts, and the same for decisions."""
BOOT_TIME = 1.0
"""Seconds until the servers of the target version have started."""
STREAM_TIME = 2.0
"""Seconds that a request runs."""
RATES = {"draft": 41.0, "chat": 90.0, "check": 65.0}
"""Requests per second by route."""
SERVERS = 45


class Fault(Enum):
    """Kind of fault of a version."""

    NONE = "sound"
    AT_ONCE = "at once"
    LATER = "later"
    UNDER_LOAD = "under load"
    ONE_ROUTE = "on one route"


@dataclass(frozen=True)
class SimulatedVersion:
    """A randomly generated version.

    Attributes:
        fault: kind of its fault.
        share: share of its answers that are bad while the fault is active.
        begins_at: seconds after the order at which a fault of kind `LATER` begins.
        route: the route of a fault of kind `ONE_ROUTE`.
        baseline_bad_share: share of bad answers of the old version.
        duration: seconds after the order by which the rollout must have ended.
    """

    fault: Fault
    share: float
    begins_at: float
    route: str
    baseline_bad_share: float
    duration: float

    def find_bad_share(self, route: str, at: float, load: float) -> float:
        """Return the share of bad answers, including those of the old version."""
        is_bad = {
            Fault.NONE: False,
            Fault.AT_ONCE: True,
            Fault.LATER: at >= self.begins_at,
            Fault.UNDER_LOAD: load >= 0.7,
            Fault.ONE_ROUTE: route == self.route,
        }[self.fault]
        return (
            max(self.baseline_bad_share, self.share)
            if is_bad
            else self.baseline_bad_share
        )


def draw_version(fault: Fault, rng: random.Random) -> SimulatedVersion:
    """Return a random version with a given kind of fault."""
    duration = rng.uniform(12.0, 40.0)
    return SimulatedVersion(
        fault,
        share=rng.uniform(0.3, 1.0),
        begins_at=rng.uniform(0.1, 0.4) * duration,
        route=rng.choice(list(RATES)),
        baseline_bad_share=rng.uniform(0.0, 0.08),
        duration=duration,
    )


@dataclass
class Outcome:
    """Result of a simulation.

    Attributes:
        stage: the final stage.
        closed_at: seconds after the order at which the rollout ended.
        exposed: requests sent to the target version.
        allowed: requests that may be sent to it if it is bad.
    """

    stage: Stage
    closed_at: float
    exposed: int
    allowed: float


def choose_all(
    order: int, servers: list[BackendServerId], baseline_servers: int, share: float
) -> frozenset[BackendServerId]:
    """Spread a trial over all servers, for the comparison in `main`."""
    return frozenset(servers)


ServerChooser = Callable[
    [int, list[BackendServerId], int, float], frozenset[BackendServerId]
]


def replay(
    version: SimulatedVersion,
    rng: random.Random,
    choose: ServerChooser = choose_trial_servers,
) -> Outcome:
    """Simulate a rollout from the order to its end."""
    servers = [BackendServerId(f"n-{n}") for n in range(SERVERS)]
    share = compute_trial_share(EXPOSURE_SHARE, version.duration)
    chosen = choose(7, servers, SERVERS, share)
    load = share * SERVERS / len(chosen)
    arrivals: dict[tuple[bool, str], list[tuple[float, bool]]] = defaultdict(list)
    stage, since, at, exposed, total = Stage.WAITING, 0.0, 0.0, 0, 0
    stages: list[tuple[float, Stage]] = [(0.0, stage)]
    while stage not in FINAL and at < version.duration + 10:
        at += STEP
        known = [
            sent_stage
            for changed_at, sent_stage in stages
            if changed_at <= at - PROPAGATION_DELAY
        ][-1:]
        known_stage = known[0] if known else Stage.WAITING
        part = {Stage.TRIAL: share, Stage.MOVING: 1.0}.get(known_stage, 0.0)
        for route, rate in RATES.items():
            for _ in range(round(rate * STEP)):
                total += 1
                is_new = at > BOOT_TIME and rng.random() < part
                exposed += is_new
                busy = 1.0 if known_stage is Stage.MOVING else load
                bad = (
                    version.find_bad_share(route, at, busy)
                    if is_new
                    else version.baseline_bad_share
                )
                arrivals[is_new, route].append((at, rng.random() < bad))
        evidence = collect_evidence(arrivals, at - PROPAGATION_DELAY - STREAM_TIME / 2)
        rollout = RolloutState(
            stage=stage,
            elapsed=at,
            stage_age=at - since,
            duration=version.duration,
            verdict=judge_version(evidence),
            target_answers=sum(tally.answers for tally in evidence.target.values()),
            target_servers=SERVERS,
            baseline_servers=SERVERS,
            baseline_in_flight=0 if at - since > PROPAGATION_DELAY + STREAM_TIME else 1,
        )
        following = compute_next_stage(rollout)
        if following is not stage:
            stage, since = following, at
            stages.append((at, stage))
    last = (
        {Stage.MOVING: 1.0}.get(known_stage, share) if stage is Stage.REVERTED else 0.0
    )
    exposed += round(last * sum(RATES.values()) * PROPAGATION_DELAY)
    total_requests = sum(RATES.values()) * version.duration
    return Outcome(stage, at, exposed, EXPOSURE_SHARE * total_requests + EXPOSURE_SLACK)


def collect_evidence(
    arrivals: dict[tuple[bool, str], list[tuple[float, bool]]], until: float
) -> Evidence:
    """Return the evidence from requests sent up to a given time."""
    sides: dict[bool, dict[RouteLabel, Tally]] = {True: {}, False: {}}
    for (is_new, route), sent in arrivals.items():
        known = [is_bad for at, is_bad in sent if at <= until]
        sides[is_new][RouteLabel(route)] = Tally(len(known), sum(known))
    return Evidence(target=sides[True], baseline=sides[False])


def run_many(
    fault: Fault, count: int, seed: int, choose: ServerChooser = choose_trial_servers
) -> list[Outcome]:
    """Simulate rollouts of many versions with a given kind of fault."""
    rng = random.Random(seed)
    return [replay(draw_version(fault, rng), rng, choose) for _ in range(count)]


@pytest.mark.parametrize("fault", [kind for kind in Fault if kind is not Fault.NONE])
def test_a_bad_version_is_reverted_within_the_permitted_exposure(fault: Fault) -> None:
    """Guards against missing a fault that is late, rare or occurs only under load."""
    outcomes = run_many(fault, 20, seed=1)
    assert {outcome.stage for outcome in outcomes} == {Stage.REVERTED}
    assert all(outcome.exposed <= outcome.allowed for outcome in outcomes)


def test_a_sound_version_is_completed_in_time() -> None:
    """Guards against attributing background failures to the target version."""
    outcomes = run_many(Fault.NONE, 40, seed=2)
    assert sum(outcome.stage is Stage.COMPLETED for outcome in outcomes) >= 39
    assert all(outcome.closed_at <= 40.0 for outcome in outcomes)


def test_failures_common_to_both_versions_do_not_count_against_the_target() -> None:
    """Guards against reverting on a burst or the loss of a failure domain."""
    route = RouteLabel("chat")
    evidence = Evidence(
        target={route: Tally(60, 24)}, baseline={route: Tally(600, 240)}
    )
    assert judge_version(evidence) is VersionVerdict.GOOD


def test_a_fault_on_one_route_is_not_hidden_by_the_others() -> None:
    """Guards against missing a fault on a route with few requests."""
    rare, busy = RouteLabel("rare"), RouteLabel("busy")
    evidence = Evidence(
        target={rare: Tally(12, 6), busy: Tally(800, 8)},
        baseline={rare: Tally(120, 1), busy: Tally(8000, 80)},
    )
    assert judge_version(evidence) is VersionVerdict.BAD


def test_a_route_without_enough_answers_leaves_a_version_undecided() -> None:
    """Guards against moving before a busy route has enough answers."""
    seen, unseen = RouteLabel("seen"), RouteLabel("unseen")
    evidence = Evidence(
        target={seen: Tally(60, 0)},
        baseline={seen: Tally(600, 0), unseen: Tally(600, 0)},
    )
    assert judge_version(evidence) is VersionVerdict.UNDECIDED


def test_a_version_without_answers_is_reverted() -> None:
    """Guards against moving to servers that did not start."""
    rollout = make_rollout_state(Stage.TRIAL, elapsed=39.0, servers=0, answers=0)
    assert compute_next_stage(rollout) is Stage.REVERTED


def test_a_move_waits_until_the_old_version_is_idle() -> None:
    """Guards against cutting off requests when servers of the old version stop."""
    busy = make_rollout_state(Stage.MOVING, elapsed=30.0, baseline_in_flight=1)
    idle = make_rollout_state(Stage.MOVING, elapsed=30.0)
    assert compute_next_stage(busy) is Stage.MOVING
    assert compute_next_stage(idle) is Stage.COMPLETED


@pytest.mark.parametrize("stage", list(FINAL))
def test_a_final_stage_does_not_change(stage: Stage) -> None:
    """Guards against late answers overturning a decision."""
    rollout = make_rollout_state(stage, verdict=VersionVerdict.BAD)
    assert compute_next_stage(rollout) is stage


def test_a_few_bad_answers_do_not_make_a_version_worse() -> None:
    """Guards against reverting on the crash of one server."""
    assert not is_worse(Tally(10, 2), Tally(100, 0))


def make_rollout_state(
    stage: Stage,
    *,
    elapsed: float = 20.0,
    servers: int = 4,
    answers: int = 50,
    baseline_in_flight: int = 0,
    verdict: VersionVerdict = VersionVerdict.UNDECIDED,
) -> RolloutState:
    """Return the state of a rollout of 40 s."""
    return RolloutState(
        stage, elapsed, 10.0, 40.0, verdict, answers, servers, 4, baseline_in_flight
    )


def main() -> None:
    """Print the final stages and exposure for both choices of trial servers."""
    for choose in (choose_trial_servers, choose_all):
        for fault in Fault:
            outcomes = run_many(fault, 200, 1, choose)
            ends = {s: sum(o.stage is s for o in outcomes) for s in FINAL}
            over = sum(o.exposed > o.allowed for o in outcomes)
            worst = max(o.exposed / o.allowed for o in outcomes)
            print(choose.__name__, fault.value, ends, "over", over, round(worst, 2))


if __name__ == "__main__":
    main()
