"""Tests the expected time to the first event, its inputs, and the choice by it."""

import math
import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dewridge.ids import BackendServerId
from dewridge.policy.expectedtime import (
    Prompt,
    ServerLoad,
    ServiceSpeed,
    choose_soonest,
    compute_uncertainty,
    estimate_placement,
)
from dewridge.policy.prefixdemand import MAX_PREFIXES, MIN_HOLDERS, PrefixDemand
from dewridge.policy.serverpace import (
    MAX_PACE,
    MAX_RATIO,
    MIN_PACE,
    PaceMeter,
    ReportedPace,
    combine_pace,
)
from dewridge.policy.servicespeed import (
    MAX_PREFILL_RATE,
    MIN_PREFILL_RATE,
    SpeedMeter,
)
from dewridge.tests.policy.placementreplay import (
    KIOSKS,
    SCANS,
    Fleet,
    Rules,
    Scene,
    find_late,
)

SPEED = ServiceSpeed(prefill_rate=100_000.0, fixed_time=0.01, run_time=2.0)
BY_LOAD = Rules(uses_expected_time=False)
BY_TIME = Rules()


def make_load(
    name: str = "s-1", tokens: float = 0.0, requests: int = 0, **fields: object
) -> ServerLoad:
    load = ServerLoad(BackendServerId(name), requests, tokens, slots=8)
    return replace(load, **fields)  # type: ignore[arg-type]


def estimate(load: ServerLoad, prompt: Prompt, speed: ServiceSpeed = SPEED) -> float:
    return estimate_placement(load, prompt, speed).seconds


def test_the_expected_time_counts_the_queue_the_prompt_and_the_pace() -> None:
    prompt = Prompt(tokens=6_000, shared_tokens=5_000)
    holder = make_load(tokens=4_000.0, is_holder=True)
    assert estimate(holder, prompt) == pytest.approx(0.01 + 0.05)
    slow = replace(holder, pace=2.0)
    assert estimate(slow, prompt) == pytest.approx(0.01 + 0.1)
    assert estimate_placement(slow, prompt, SPEED).usual_seconds == pytest.approx(0.06)
    other = replace(holder, is_holder=False)
    assert estimate(other, prompt) == pytest.approx(0.01 + 0.1)
    copying = replace(prompt, can_copy=True)
    assert estimate(other, copying) == pytest.approx(0.01 + 0.055)


def test_a_request_beyond_the_slots_waits_for_its_share_of_a_run() -> None:
    prompt = Prompt(tokens=0)
    last = estimate_placement(make_load(requests=7), prompt, SPEED)
    full = estimate_placement(make_load(requests=8), prompt, SPEED)
    crowded = estimate_placement(make_load(requests=15), prompt, SPEED)
    assert last.slot_wait == 0
    assert full.slot_wait == pytest.approx(2.0 / 8)
    assert crowded.slot_wait == pytest.approx(2.0)


def test_a_prompt_that_does_not_fit_into_memory_waits_for_a_run() -> None:
    """Guards against sending long prompts to an engine that has slots but no memory."""
    speed = replace(SPEED, memory_tokens=50_000, request_tokens=10_000.0)
    fitting = Prompt(tokens=9_000, output_tokens=1_000)
    load = make_load(requests=4)
    assert estimate_placement(load, fitting, speed).slot_wait == 0
    longer = replace(fitting, output_tokens=1_001)
    assert estimate_placement(load, longer, speed).slot_wait == speed.run_time


@given(
    st.builds(
        ServerLoad,
        st.just(BackendServerId("s-1")),
        st.integers(0, 200),
        st.floats(-1e6, 1e7),
        st.integers(0, 64),
        st.floats(MIN_PACE, MAX_PACE),
        st.booleans(),
    ),
    st.integers(0, 10**7),
    st.integers(0, 10**7),
)
def test_expected_times_are_finite_and_grow_with_the_load(
    load: ServerLoad, tokens: int, shared: int
) -> None:
    """Holds also for reported figures that can't be true, such as negative tokens."""
    prompt = Prompt(tokens, shared, can_copy=True)
    seconds = estimate(load, prompt)
    assert math.isfinite(seconds)
    assert seconds >= SPEED.fixed_time
    assert estimate(replace(load, requests=load.requests + 1), prompt) >= seconds
    more = max(0.0, load.unprocessed_tokens) + 1
    assert estimate(replace(load, unprocessed_tokens=more), prompt) >= seconds


def test_a_burst_at_hosts_with_equal_figures_does_not_go_to_one_server() -> None:
    prompt = Prompt(tokens=500)
    placements = [
        estimate_placement(make_load(f"s-{n}", tokens=100.0 * n), prompt, SPEED)
        for n in range(4)
    ]
    chosen = Counter(
        choice.load.id
        for seed in range(200)
        if (choice := choose_soonest(placements, 0.1, random.Random(seed)))
    )
    assert min(chosen.values()) > 20
    assert len(chosen) == 4
    assert choose_soonest([], 0.1, random.Random(1)) is None


def test_holders_are_preferred_within_the_uncertainty_only() -> None:
    prompt = Prompt(tokens=500)
    holder = make_load("holder", tokens=1_500.0, is_holder=True)
    placements = [
        estimate_placement(load, prompt, SPEED) for load in (holder, make_load("other"))
    ]
    near = choose_soonest(placements, 0.1, random.Random(1))
    assert near is not None
    assert near.load.id == "holder"
    busy = replace(holder, unprocessed_tokens=9_000.0)
    placements[0] = estimate_placement(busy, prompt, SPEED)
    far = choose_soonest(placements, 0.1, random.Random(1))
    assert far is not None
    assert far.load.id == "other"


def test_the_uncertainty_grows_with_the_age_of_the_reports() -> None:
    """Guards against trusting small differences while no reports arrive."""
    assert compute_uncertainty(0.1) < compute_uncertainty(1.0) < compute_uncertainty(3)
    assert compute_uncertainty(-1.0) == compute_uncertainty(0.0)


def test_a_slow_server_is_noticed_and_forgotten() -> None:
    meter = PaceMeter()
    for number in range(20):
        assert meter.add(0.25, 0.1, number * 0.1)
    assert combine_pace(meter, ReportedPace(), 0.1, 2.0) > 2.0
    assert combine_pace(meter, ReportedPace(), 0.1, 6.0) == 1.0
    assert combine_pace(None, ReportedPace(), 0.1, 6.0) == 1.0


def test_a_host_without_reports_uses_its_own_samples_only() -> None:
    """Guards against using the last paces that a host heard before it was cut off."""
    meter = PaceMeter()
    meter.add(0.1, 0.1, 1.0)
    others = ReportedPace(20.0, 60.0)
    assert combine_pace(meter, others, 0.1, 1.0) > 2.0
    assert combine_pace(meter, others, 1.0, 1.0) == 1.0


def test_a_suspended_host_drops_its_samples() -> None:
    meter = PaceMeter()
    for _ in range(1_000):
        meter.add(2.0, 0.1, 1.0)
    assert meter.read(3.9)[0] > 0
    assert meter.read(4.1) == (0.0, 0.0)


def test_a_clock_that_seems_to_go_back_does_not_amplify_samples() -> None:
    meter = PaceMeter()
    meter.add(0.2, 0.1, 10.0)
    assert meter.read(9.0) == (1.0, 2.0)
    meter.add(0.2, 0.1, 9.0)
    assert meter.read(10.0) == (2.0, 4.0)


@pytest.mark.parametrize(
    ("seconds", "expected"),
    [(0.0, 0.1), (-1.0, 0.1), (2.1, 0.1), (0.1, 0.0), (math.nan, 0.1), (math.inf, 1)],
)
def test_ratios_that_no_server_can_have_are_ignored(
    seconds: float, expected: float
) -> None:
    meter = PaceMeter()
    assert not meter.add(seconds, expected, 1.0)
    assert meter.read(1.0) == (0.0, 0.0)


@given(st.integers(-(10**12), 10**12), st.integers(-(10**12), 10**12))
def test_a_pace_is_bounded_whatever_is_reported(samples: int, ratio_sum: int) -> None:
    pace = combine_pace(None, ReportedPace(samples, ratio_sum), 0.1, 1.0)
    assert MIN_PACE <= pace <= MAX_PACE
    if samples <= 0 or ratio_sum <= 0 or ratio_sum > MAX_RATIO * samples:
        assert pace == 1.0


def test_the_speed_of_a_service_is_learned() -> None:
    rng = random.Random(1)
    meter = SpeedMeter()
    assert not meter.is_known
    for _ in range(200):
        tokens = rng.uniform(500, 12_000)
        meter.add_first_event(tokens, 0.008 + tokens / 157_000)
        meter.add_run(3.0, 1_000)
    rate, fixed_time = meter.estimate()
    assert meter.is_known
    assert rate == pytest.approx(157_000, rel=0.1)
    assert fixed_time == pytest.approx(0.008, abs=0.004)
    assert meter.run_time == pytest.approx(3.0, rel=0.05)
    assert meter.request_tokens == 1_000


@given(
    st.lists(
        st.tuples(st.floats(-1e3, 1e9), st.floats(-1.0, 1e6, allow_nan=False)),
        max_size=50,
    )
)
def test_a_learned_speed_stays_credible(samples: list[tuple[float, float]]) -> None:
    meter = SpeedMeter()
    for tokens, seconds in samples:
        meter.add_first_event(tokens, seconds)
        meter.add_run(seconds, 10)
    rate, fixed_time = meter.estimate()
    assert MIN_PREFILL_RATE * 0.99 <= rate <= MAX_PREFILL_RATE * 1.01
    assert 0 < fixed_time <= 1.0
    assert meter.run_time > 0


def test_a_hot_prefix_gets_its_share_of_the_servers() -> None:
    demand = PrefixDemand()
    for number in range(100):
        demand.record("hot" if number % 4 == 0 else f"p{number}", number * 0.1)
    assert demand.count_holders("hot", 40, 10.0) in range(13, 18)
    assert demand.count_holders("p99", 40, 10.0) == MIN_HOLDERS
    assert demand.count_holders("unknown", 40, 10.0) == MIN_HOLDERS
    assert demand.count_holders("hot", 1, 10.0) == 1
    assert demand.count_holders("hot", 0, 10.0) == 0


def test_two_requests_do_not_make_a_prefix_hot() -> None:
    """Guards against copying a prefix to many servers after a lull.

    The first requests after it are a large share of the few recent ones.
    """
    demand = PrefixDemand()
    demand.record("p", 0.0)
    demand.record("p", 0.1)
    assert demand.count_holders("p", 40, 0.1) == MIN_HOLDERS
    demand.record("p", 0.2)
    assert demand.count_holders("p", 40, 0.2) > MIN_HOLDERS


def test_the_number_of_remembered_prefixes_is_bounded() -> None:
    demand = PrefixDemand()
    for number in range(MAX_PREFIXES * 2):
        demand.record(f"p{number}", 0.0)
    assert len(demand._prefixes) == MAX_PREFIXES


@pytest.mark.parametrize(("fleet", "load"), [(KIOSKS, 0.5), (SCANS, 0.33)])
def test_a_hot_prefix_makes_few_answers_late(fleet: Fleet, load: float) -> None:
    """Guards against sending a third of the requests to two servers.

    With reports 0.9 s old, a quarter to a third of the answers were late for that.
    """
    scene = Scene(fleet, load, 0.9, hot_share=0.3)
    assert find_late(scene, BY_TIME) < 0.5 * find_late(scene, BY_LOAD)


@pytest.mark.parametrize(("fleet", "load"), [(KIOSKS, 0.35), (SCANS, 0.24)])
def test_old_reports_with_all_difficulties_make_fewer_answers_late(
    fleet: Fleet, load: float
) -> None:
    """Slow servers, a hot prefix and a burst together, with reports 1.3 s old."""
    scene = Scene(fleet, load, 1.3, slow_share=0.15, hot_share=0.3, burst=1.5)
    assert find_late(scene, BY_TIME) < 0.6 * find_late(scene, BY_LOAD)


def test_a_burst_with_fresh_reports_makes_fewer_answers_late() -> None:
    """Some 1% to 2% are late, so that the sum of several seeds is compared."""
    scene = Scene(KIOSKS, 0.4, 0.1, burst=1.6)
    seeds = (1, 2, 3, 4)
    before = sum(find_late(replace(scene, seed=seed), BY_LOAD) for seed in seeds)
    after = sum(find_late(replace(scene, seed=seed), BY_TIME) for seed in seeds)
    assert after < 0.9 * before


def test_servers_that_stay_slow_are_avoided() -> None:
    """The pace is of use for slow periods longer than the age of what is known."""
    scene = Scene(KIOSKS, 0.4, 0.1, slow_share=0.15, slow_period=5.0)
    unaware = replace(BY_TIME, has_own_pace=False, has_reported_pace=False)
    seeds = (1, 2, 3, 4)
    before = sum(find_late(replace(scene, seed=seed), unaware) for seed in seeds)
    after = sum(find_late(replace(scene, seed=seed), BY_TIME) for seed in seeds)
    assert after < 0.9 * before


def test_each_half_of_a_partitioned_fleet_balances_what_it_sends() -> None:
    """Hosts that hear only half of the fleet still place better than by load."""
    scene = Scene(KIOSKS, 0.4, 0.1, hot_share=0.3, parts=2)
    whole = replace(scene, parts=1)
    late = find_late(scene, BY_TIME)
    assert late < find_late(scene, BY_LOAD)
    assert late < find_late(whole, BY_TIME) + 0.1
