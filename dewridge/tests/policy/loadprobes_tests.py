"""Tests of load probes: when engines are asked, and the choice by their answers."""

import random
from collections.abc import Sequence

import pytest

from dewridge.ids import BackendServerId
from dewridge.policy.expectedtime import (
    RANDOM_CANDIDATES_WITHOUT_PREFIX,
    ExpectedPlacement,
    Prompt,
    ServerLoad,
    ServiceSpeed,
    choose_soonest,
    estimate_placement,
)
from dewridge.policy.loadprobes import (
    FAILURE_PAUSE,
    MAX_FAILURES,
    REPORT_AGE,
    REUSE_TIME,
    ProbedLoad,
    ProbeRecord,
    SentPrompt,
    apply_answer,
    choose_probed,
    compute_timeout,
    should_probe,
)

SPEED = ServiceSpeed(prefill_rate=68_200.0, fixed_time=0.01, run_time=1.0)
PROMPT = Prompt(tokens=8_866)
"""Prefilled in 0.13 s."""


def make_load(name: str, tokens: float = 0.0, requests: int = 0) -> ServerLoad:
    """Return an engine by reports."""
    return ServerLoad(BackendServerId(name), requests, tokens, 16)


def place(*loads: ServerLoad) -> list[ExpectedPlacement]:
    """Return the placements of the prompt at these engines."""
    return [estimate_placement(load, PROMPT, SPEED) for load in loads]


def make_answer(prompts: int, at: float = 0.0, *ids: str) -> ProbedLoad:
    """Return an answer with prompts that are not prefilled yet."""
    return ProbedLoad(prompts, prompts, frozenset(ids), at)


@pytest.mark.parametrize(
    ("tokens", "staleness", "is_probed"),
    [
        (8_866, 0.9, True),
        (2_046, 0.9, True),
        (2_045, 0.9, False),
        (8_866, 0.3, False),
        (8_866, 0.31, True),
        (0, 3.0, False),
    ],
)
def test_long_prompts_are_probed_if_reports_are_stale(
    tokens: float, staleness: float, *, is_probed: bool
) -> None:
    assert should_probe(tokens, SPEED, staleness) is is_probed


def test_the_timeout_is_a_part_of_the_latency_target() -> None:
    assert compute_timeout(0.4) == pytest.approx(0.02)
    assert compute_timeout(1.045) == 0.05


def test_the_answers_decide_against_the_reports() -> None:
    first, second = place(make_load("a"), make_load("b", 20_000))
    loads = [
        apply_answer(first.load, make_answer(2), [], 8_866),
        apply_answer(second.load, make_answer(0), [], 8_866),
    ]
    chosen = choose_probed([first, second], loads, PROMPT, SPEED)
    assert chosen.load.id == "b"
    assert chosen.load.unprocessed_tokens == 0


def test_equal_answers_leave_the_choice_as_it_is() -> None:
    """Guards against giving up a cache holder where both engines are idle."""
    placements = place(make_load("a"), make_load("b"))
    loads = [apply_answer(p.load, make_answer(0), [], 8_866) for p in placements]
    assert choose_probed(placements, loads, PROMPT, SPEED).load.id == "a"


def test_without_an_answer_the_choice_stands() -> None:
    """Guards against a choice by lowest time that ignores the order of holders."""
    placements = place(make_load("a", 500), make_load("b"))
    assert choose_probed(placements, [None, None], PROMPT, SPEED) is placements[0]


def test_with_one_answer_the_other_engine_keeps_its_estimate() -> None:
    placements = place(make_load("a"), make_load("b", 10_000))
    for prompts, expected in ((1, "a"), (2, "b")):
        load = apply_answer(placements[0].load, make_answer(prompts), [], 8_866)
        chosen = choose_probed(placements, [load, None], PROMPT, SPEED)
        assert chosen.load.id == expected


def test_own_prompts_count_that_the_answer_cannot_contain() -> None:
    """Guards against two prompts of one host that meet between two answers."""
    record = ProbeRecord()
    for name, at in (("old", 9.8), ("recent", 9.95), ("listed", 9.96), ("new", 10.05)):
        record.record_sent(SentPrompt(name, 1_000.0, at))
    answer = make_answer(1, 10.0, "listed")
    unseen = record.list_unseen(answer)
    assert [sent.attempt for sent in unseen] == ["recent", "new"]
    load = apply_answer(make_load("a", 99_999, 9), answer, unseen, 8_866)
    assert load.unprocessed_tokens == 8_866 + 2_000
    assert load.requests == 3


def test_sent_prompts_are_not_kept_for_long() -> None:
    """Guards against a list that grows with the number of requests."""
    record = ProbeRecord()
    for number in range(1_000):
        record.record_sent(SentPrompt("x", 1.0, number * 0.01))
    assert len(record.sent) <= (REUSE_TIME + REPORT_AGE) / 0.01 + 2


def test_an_answer_is_reused_for_a_short_time() -> None:
    record = ProbeRecord()
    assert record.find_fresh(10.0) is None
    record.record_answer(make_answer(1, 10.0))
    assert record.find_fresh(10.09) is not None
    assert record.find_fresh(10.11) is None


def test_an_engine_that_fails_is_not_probed_for_a_while() -> None:
    """Guards against a wait for an engine that never answers, at every prompt."""
    record = ProbeRecord()
    for _ in range(MAX_FAILURES - 1):
        record.record_failure(10.0)
    record.record_answer(make_answer(0, 10.0))
    for _ in range(MAX_FAILURES - 1):
        record.record_failure(10.0)
        assert not record.is_paused(10.0)
    record.record_failure(10.0)
    assert record.is_paused(10.0 + FAILURE_PAUSE - 0.01)
    assert not record.is_paused(10.0 + FAILURE_PAUSE)


ENGINES = 45
PROMPTS_PER_SECOND = 62.0
PREFILL_TIME = PROMPT.tokens / SPEED.prefill_rate
REPLAY_SECONDS = 60.0
SLOW_SHARE, SLOWDOWN, SLOW_PERIOD = 0.15, 2.5, 0.6
TOKENS = float(PROMPT.tokens)


class PrefillReplay:
    """Long prompts at engines that prefill in order of arrival; no clock is used."""

    def __init__(self, age: float, *, has_probes: bool, seed: int) -> None:
        self._age = age
        self._has_probes = has_probes
        self._rng = random.Random(seed)
        self._periods: dict[int, set[int]] = {}
        self._ends: list[list[tuple[float, float]]] = [[] for _ in range(ENGINES)]

    def run(self) -> float:
        """Return the share of prompts that met another one at their engine."""
        now, prompts, met = 0.0, 0, 0
        while now < REPLAY_SECONDS:
            now += self._rng.expovariate(PROMPTS_PER_SECOND)
            engine = self._choose(now)
            begin = max([now, *(end for _, end in self._ends[engine][-1:])])
            prompts += 1
            met += begin > now
            factor = SLOWDOWN if engine in self._find_slow(now) else 1.0
            self._ends[engine].append((now, begin + PREFILL_TIME * factor))
        return met / prompts

    def _find_slow(self, now: float) -> set[int]:
        period = int(now / SLOW_PERIOD)
        if period not in self._periods:
            count = round(SLOW_SHARE * ENGINES)
            self._periods[period] = set(self._rng.sample(range(ENGINES), count))
        return self._periods[period]

    def _count(self, engine: int, at: float) -> int:
        """Return the prompts that the engine had not prefilled at a time."""
        return sum(sent <= at < end for sent, end in self._ends[engine][-20:])

    def _choose(self, now: float) -> int:
        drawn = self._rng.sample(range(ENGINES), RANDOM_CANDIDATES_WITHOUT_PREFIX)
        placements: Sequence[ExpectedPlacement] = place(
            *(
                make_load(str(n), self._count(n, now - self._age) * TOKENS)
                for n in drawn
            )
        )
        best = choose_soonest(placements, self._age, self._rng)
        assert best is not None
        if not self._has_probes:
            return int(best.load.id)
        others = [placement for placement in placements if placement is not best]
        other = choose_soonest(others, self._age, self._rng)
        assert other is not None
        probed = [
            apply_answer(
                p.load,
                make_answer(self._count(int(p.load.id), now - REPORT_AGE), now),
                [],
                TOKENS,
            )
            for p in (best, other)
        ]
        return int(choose_probed([best, other], probed, PROMPT, SPEED).load.id)


@pytest.mark.parametrize("seed", range(3))
def test_two_probes_make_fewer_prompts_meet_than_stale_reports(seed: int) -> None:
    """Guards against probes that gain nothing: 45 engines, 62 prompts per second."""
    by_reports = PrefillReplay(0.9, has_probes=False, seed=seed).run()
    by_probes = PrefillReplay(0.9, has_probes=True, seed=seed).run()
    print(f"prompts that meet: {by_reports:.3f} by reports, {by_probes:.3f} by probes")
    assert by_probes < 0.85 * by_reports
