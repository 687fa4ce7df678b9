"""Benchmark cases: the policies compared, the loads and the faults injected."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from dewridge.bench.deployments import (
    DEPLOYMENTS,
    PLAIN_CALL_SECONDS,
    Deployment,
    compute_slot_seconds,
    draw_arrivals,
    filter_accounts,
)
from dewridge.bench.outcomes import Record, Summary, compute_percentile, summarize
from dewridge.bench.simulation import Reclaim, Simulation, Slowdown
from dewridge.configuration.model import PolicyChoice, Profile
from dewridge.ids import ProfileName

WARM_UP_SECONDS = 20.0
"""Start of a run, not counted, while queues fill and credits are learned."""
LONG_WARM_UP_SECONDS = 60.0
"""Warm-up near and above capacity, where queues fill up to the longest deadline."""

FAULT_AT_SECONDS = 25.0
"""Time in a run at which a fault is injected."""

NORMAL_LOAD = 0.6
"""Load as a multiple of capacity in an ordinary hour."""
SATURATED_LOAD = 2.0
"""Load as a multiple of capacity under overload."""
MAX_SMALL_ACCOUNT_SHARE = 0.06
"""Largest share of the arrivals with which an account counts as small."""
BURST_FACTOR = 2.5
"""Factor on the arrival rate in bursts."""
TODAY_SCALE = 1
"""Fleet size as a multiple of today's."""
TENFOLD_SCALE = 10
"""Fleet size as a multiple of today's."""


@dataclass(frozen=True, slots=True)
class Contender:
    """A named set of policies that the benchmark compares with others."""

    name: str
    placement: str
    admission: str
    recovery: str
    drops_expired: bool = True

    def make_profile(self) -> Profile:
        """Return a profile that selects these policies."""
        parameters = {} if self.drops_expired else {"drops_expired": 0.0}
        return Profile(
            name=ProfileName("bench"),
            placement=PolicyChoice(self.placement),
            admission=PolicyChoice(self.admission, parameters),
            recovery=PolicyChoice(self.recovery),
        )


COST_AWARE = Contender("cost_aware", "cost_aware", "fair", "resume")
BALANCED = Contender("balanced", "balanced", "fair", "resume")
RANDOM = Contender("random", "random", "fifo", "restart", False)
ROUND_ROBIN = Contender("round_robin", "round_robin", "fifo", "restart", False)
LEAST_LOADED = Contender("least_loaded", "least_loaded", "fifo", "restart", False)
BASELINES = (RANDOM, ROUND_ROBIN, LEAST_LOADED)
CONTENDERS = (COST_AWARE, BALANCED, *BASELINES)
RESTARTING = Contender("cost_aware, restart", "cost_aware", "fair", "restart")


@dataclass(frozen=True, slots=True)
class Case:
    """Parameters of one simulation run.

    Attributes:
        load: arrival rate as a multiple of capacity.
        scale: fleet size as a multiple of today's.
        seconds: duration of the arrivals.
        warm_up: seconds at the start that are excluded from the figures.
        burst: factor on the arrival rate in every fifth second.
        accounts: accounts whose arrivals are simulated; empty for all.
        is_model_only: whether the plain service is left out, to save time.
    """

    kind: str
    deployment: Deployment
    contender: Contender
    load: float
    seed: int
    scale: int = 1
    seconds: float = 60.0
    warm_up: float = WARM_UP_SECONDS
    burst: float = 1.0
    slowdown: Slowdown | None = None
    reclaims: tuple[Reclaim, ...] = ()
    accounts: frozenset[str] = frozenset()
    is_model_only: bool = False


@dataclass(frozen=True, slots=True)
class Result:
    """Figures measured in one run.

    Attributes:
        services: figures by service.
        overall: figures over all services.
        work_share: by service, the work of answers within target as a share of
            what all machines can do after the warm-up.
        accounts: 95th percentile of the latency in seconds, by account and operation.
        fairness: smallest fraction of its max-min fair share that an account got.
    """

    case: Case
    services: dict[str, Summary]
    overall: Summary
    work_share: dict[str, float]
    accounts: dict[tuple[str, str], float]
    fairness: float


def run_case(case: Case) -> Result:
    """Simulate one case and return its figures."""
    arrivals = draw_arrivals(
        case.deployment,
        scale=case.scale,
        load=case.load,
        seconds=case.seconds,
        seed=case.seed,
        burst=case.burst,
    )
    if case.accounts:
        arrivals = filter_accounts(arrivals, set(case.accounts))
    if case.is_model_only:
        name = case.deployment.services[0].name
        arrivals = [arrival for arrival in arrivals if arrival.service == name]
    simulation = Simulation(
        case.deployment,
        arrivals,
        case.contender.make_profile(),
        scale=case.scale,
        seed=case.seed,
        slowdown=case.slowdown,
        reclaims=case.reclaims,
    )
    return _make_result(case, simulation.run())


def _make_result(case: Case, all_records: Sequence[Record]) -> Result:
    records = [r for r in all_records if r.work.arrival >= case.warm_up]
    # The machines' work after the warm-up, including requests that arrived before.
    completed_records = [
        r for r in all_records if case.warm_up <= r.completed_at < case.seconds
    ]
    services = {}
    work_share = {}
    fairness = 1.0
    for spec in case.deployment.services:
        service_records = [record for record in records if record.service == spec.name]
        if not service_records:
            continue
        services[spec.name] = summarize(service_records)
        available = spec.count_slots(case.scale) * (case.seconds - case.warm_up)
        records_in_target = [
            r for r in completed_records if r.service == spec.name and r.is_in_target
        ]
        answered_work = sum(_compute_work(record) for record in records_in_target)
        work_share[spec.name] = answered_work / available
        fairness = min(fairness, _compute_fairness(service_records, available))
    accounts: dict[tuple[str, str], list[float]] = {}
    for record in records:
        key = (record.work.account, record.work.operation)
        if record.is_in_target:
            accounts.setdefault(key, []).append(record.latency)
    return Result(
        case,
        services,
        summarize(records),
        work_share,
        {key: compute_percentile(values) for key, values in accounts.items()},
        fairness,
    )


def _compute_work(record: Record) -> float:
    if record.work.prompt_tokens == 0:
        return PLAIN_CALL_SECONDS
    return compute_slot_seconds(record.answer_tokens, record.work.prompt_tokens)


def _compute_fairness(records: Sequence[Record], available: float) -> float:
    """Return the smallest fraction of its max-min fair share that an account got."""
    demand: dict[str, float] = {}
    answered_by_account: dict[str, float] = {}
    for record in records:
        work = _compute_work(record)
        account = record.work.account
        demand[account] = demand.get(account, 0.0) + work
        answered_by_account[account] = (
            answered_by_account.get(account, 0.0) + work * record.is_in_target
        )
    shares = compute_fair_shares(demand, available)
    return min(
        (answered_by_account[name] / shares[name] for name in shares), default=1.0
    )


def compute_fair_shares(demand: dict[str, float], available: float) -> dict[str, float]:
    """Divide the available work max-min fairly among accounts by their demand."""
    shares = {}
    remaining = available
    for index, name in enumerate(sorted(demand, key=lambda name: demand[name])):
        shares[name] = min(demand[name], remaining / (len(demand) - index))
        remaining -= shares[name]
    return shares


def list_cases(seeds: Sequence[int]) -> list[Case]:
    """Return all cases of the benchmark."""
    cases: list[Case] = []
    for deployment in DEPLOYMENTS:
        for seed in seeds:
            cases += _list_today_cases(deployment, seed)
        cases += _list_tenfold_cases(deployment, seeds[0])
    return cases


def _list_today_cases(deployment: Deployment, seed: int) -> list[Case]:
    cases = []
    first_domain = deployment.services[0].pools[0].failure_domain
    domain_reclaim = (Reclaim(FAULT_AT_SECONDS, (first_domain,)),)
    for contender in CONTENDERS:
        normal = Case("normal", deployment, contender, NORMAL_LOAD, seed)
        slow = Slowdown(FAULT_AT_SECONDS)
        cases += [
            normal,
            change_load(normal, "saturated", SATURATED_LOAD),
            replace(normal, kind="slow", slowdown=slow, is_model_only=True),
            replace(normal, kind="burst", burst=BURST_FACTOR, is_model_only=True),
            replace(
                normal, kind="reclaim", reclaims=domain_reclaim, is_model_only=True
            ),
            replace(
                normal,
                kind="half",
                reclaims=(Reclaim(FAULT_AT_SECONDS),),
                is_model_only=True,
            ),
        ]
        cases += [
            replace(change_load(normal, "sweep", load), is_model_only=True)
            for load in (0.9, 1.2, 1.6)
            if seed == 1
        ]
    base = Case(
        "reclaim", deployment, RESTARTING, NORMAL_LOAD, seed, reclaims=domain_reclaim
    )
    cases.append(replace(base, is_model_only=True))
    small = frozenset(
        name for name, share in deployment.accounts if share <= MAX_SMALL_ACCOUNT_SHARE
    )
    alone = Case("alone", deployment, COST_AWARE, SATURATED_LOAD, seed, accounts=small)
    cases.append(change_load(alone, "alone", SATURATED_LOAD))
    return cases


def change_load(case: Case, kind: str, load: float) -> Case:
    """Return a case at another load, with a longer warm-up until queues are steady."""
    return replace(
        case,
        kind=kind,
        load=load,
        seconds=LONG_WARM_UP_SECONDS + 50,
        warm_up=LONG_WARM_UP_SECONDS,
    )


def _list_tenfold_cases(deployment: Deployment, seed: int) -> list[Case]:
    cases = []
    for contender in CONTENDERS:
        normal = Case(
            "normal",
            deployment,
            contender,
            NORMAL_LOAD,
            seed,
            scale=TENFOLD_SCALE,
            seconds=45.0,
            is_model_only=True,
        )
        cases += [normal, change_load(normal, "saturated", SATURATED_LOAD)]
    return cases
