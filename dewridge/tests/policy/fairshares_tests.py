"""Properties of fair shares, of plans and of the credits that apply them."""

import random
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dewridge.ids import ClientAccount, ServiceName
from dewridge.policy.admissioncredits import MAX_KEYS, AdmissionCredits
from dewridge.policy.admissionplan import (
    MIN_CAPACITY_SHARE,
    MIN_CLASS_SHARE,
    PLANNED_LOAD,
    ServiceLoad,
    compute_class_shares,
    make_plan,
)
from dewridge.policy.fairshares import compute_fair_amounts, compute_served_shares
from dewridge.policy.returntimes import compute_wait, compute_wait_until
from dewridge.policy.workdemand import (
    MAX_URGENCY,
    OutputTimeMeter,
    WorkDemand,
    compute_work,
    make_demand_key,
    parse_demand_key,
)

ENGINE = ServiceName("engine")
NAMES = st.sampled_from([ClientAccount(f"a-{number}") for number in range(16)])
AMOUNTS = st.integers(0, 10**6).map(float)
"""Reports count whole units."""
DEMANDS = st.dictionaries(NAMES, AMOUNTS, min_size=1)
WEIGHTS = st.dictionaries(NAMES, st.floats(0.01, 1e6))
CLASS_DEMANDS = st.dictionaries(
    st.integers(0, MAX_URGENCY), st.floats(0.0, 1e3), min_size=1
)
CAPACITIES = st.floats(0.0, 1e6).map(lambda capacity: round(capacity, 6))
"""Without capacities that are too small for floating-point divisions."""


@given(DEMANDS, WEIGHTS, CAPACITIES)
def test_fair_amounts_use_the_capacity_and_no_more(
    demands: dict[ClientAccount, float],
    weights: dict[ClientAccount, float],
    capacity: float,
) -> None:
    amounts = compute_fair_amounts(demands, weights, capacity)
    total = sum(demands.values())
    assert sum(amounts.values()) == pytest.approx(min(total, capacity), abs=1e-6)
    for name, amount in amounts.items():
        assert 0 <= amount <= demands[name] * (1 + 1e-9)


@given(DEMANDS, WEIGHTS, CAPACITIES)
def test_accounts_that_lack_something_get_the_same_per_weight(
    demands: dict[ClientAccount, float],
    weights: dict[ClientAccount, float],
    capacity: float,
) -> None:
    """An account that asks for more than its share must not reduce the others'."""
    amounts = compute_fair_amounts(demands, weights, capacity)
    levels = {name: amounts[name] / weights.get(name, 1.0) for name in demands}
    lacking = [name for name in demands if amounts[name] < demands[name] * (1 - 1e-6)]
    for name in lacking:
        assert levels[name] >= max(levels.values()) * (1 - 1e-6)


def test_invalid_demands_and_weights_are_harmless() -> None:
    name, other = ClientAccount("a"), ClientAccount("b")
    assert compute_fair_amounts({}, {}, 5.0) == {}
    assert compute_served_shares({name: 0.0}, {}, 0.0) == {name: 1.0}
    amounts = compute_fair_amounts({name: -3.0, other: 4.0}, {other: 0.0}, 2.0)
    assert amounts[name] == 0.0
    assert amounts[other] == pytest.approx(2.0)
    assert compute_fair_amounts({name: 4.0}, {}, -1.0) == {name: 0.0}


@given(CLASS_DEMANDS, st.floats(0.0, 1e4))
def test_class_shares_prefer_the_urgent_and_starve_none(
    demand: dict[int, float], capacity: float
) -> None:
    shares = compute_class_shares(demand, capacity)
    total = sum(demand.values())
    admitted = sum(shares[urgency] * demand[urgency] for urgency in demand)
    assert admitted == pytest.approx(min(total, capacity), rel=1e-6, abs=1e-6)
    floor = MIN_CLASS_SHARE * min(1.0, capacity / total) if total else 0.0
    by_urgency = [shares[at] for at in sorted(demand) if demand[at] > 1e-3]
    assert all(share >= floor - 1e-9 for share in by_urgency)
    for earlier, later in pairwise(by_urgency):
        assert later <= earlier + 1e-6


@given(st.floats(0, 1e5), st.floats(0, 1e4), st.floats(0, 100), CLASS_DEMANDS)
def test_a_plan_admits_its_capacity(
    in_flight: float, slots: float, servers: float, demand: dict[int, float]
) -> None:
    plan = make_plan(ServiceLoad(in_flight, slots, servers, 0.05, demand))
    if not plan.is_contended:
        assert plan.get_share(0, None) == 1.0
        return
    assert plan.capacity >= servers * PLANNED_LOAD * MIN_CAPACITY_SHARE
    total = sum(demand.values())
    expected = min(total, plan.capacity)
    assert plan.compute_admitted(demand) == pytest.approx(expected, rel=1e-6, abs=1e-6)


@given(st.floats(0.0, 1.0), st.integers(0, 1000))
def test_credits_admit_the_share(share: float, seed: int) -> None:
    """Without random draws, a host is at most one request off the share."""
    admissions = AdmissionCredits[str](random.Random(seed).random)
    admitted = sum(admissions.admit("key", share) for _ in range(200))
    assert abs(admitted - 200 * share) <= 1 + 1e-6


def test_requests_of_different_shares_use_one_credit_fairly() -> None:
    rng = random.Random(5)
    admissions = AdmissionCredits[str](rng.random)
    counts = {0.1: 0, 0.6: 0}
    for _ in range(20_000):
        share = rng.choice([0.1, 0.6])
        counts[share] += admissions.admit("key", share)
    assert counts[0.1] / 10_000 == pytest.approx(0.1, abs=0.02)
    assert counts[0.6] / 10_000 == pytest.approx(0.6, abs=0.02)


def test_credits_are_bounded_in_number() -> None:
    admissions = AdmissionCredits[int](lambda: 0.5)
    for key in range(MAX_KEYS + 10):
        admissions.admit(key, 0.1)
    assert len(admissions._credits) <= MAX_KEYS


@given(st.floats(-5.0, 100.0), st.floats(0.0, 1.0), st.floats(0.0, 100.0))
def test_callers_are_asked_to_wait_no_longer_than_they_do(
    time_left: float, random_number: float, ready_in: float
) -> None:
    """Callers ignore a Retry-After of more than a third of their time left."""
    longest = max(0.0, time_left) / 3
    assert 0 <= compute_wait(time_left, random_number) <= longest
    assert 0 <= compute_wait_until(ready_in, time_left, random_number) <= longest


@pytest.mark.parametrize(
    "key", ["", "engine", "/1", "engine/", "engine/-1", "e/4", "e/x"]
)
def test_malformed_demand_keys_are_recognised(key: str) -> None:
    assert parse_demand_key(key) is None
    assert not WorkDemand().record_remote(key, 5.0, 1.0)


def test_demand_is_counted_by_class_and_forgotten() -> None:
    demand = WorkDemand()
    demand.record_local(ENGINE, 7, 0.5, 1.0)
    assert demand.record_remote(make_demand_key(ENGINE, 0), 250.0, 1.2)
    assert demand.compute_rates(ENGINE, 1.5) == {0: 0.25, MAX_URGENCY: 0.5}
    assert demand.list_totals_ms() == {f"engine/{MAX_URGENCY}": 500}
    assert demand.compute_rates(ENGINE, 9.0) == {0: 0.0, MAX_URGENCY: 0.0}
    demand.retain({})
    assert demand.compute_rates(ENGINE, 9.0) == {}
    assert demand.list_totals_ms() == {}


def test_output_time_moves_from_the_prior_to_what_is_measured() -> None:
    meter = OutputTimeMeter()
    assert meter.estimate(500) == 2.0
    for _ in range(200):
        meter.add_sample(0.4, 41)
    assert meter.estimate(500) == pytest.approx(0.4 + 1.6 * 5 / 65, abs=0.01)
    meter.add_sample(-1.0, 5)
    meter.add_sample(1.0, 1)
    assert meter.estimate(500) == pytest.approx(0.4 + 1.6 * 5 / 65, abs=0.01)


def test_work_of_a_service_without_figures_is_finite() -> None:
    assert compute_work(100, 0.0, 1.0, 0) == 101.0
