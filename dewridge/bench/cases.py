"""The runs that are compared: contenders, loads and faults."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from dewridge.bench.deployments import (
    DEPLOYMENTS,
    PLAIN_SECONDS,
    Deployment,
    draw_arrivals,
    find_slot_seconds,
    keep_accounts,
)
from dewridge.bench.outcomes import Record, Summary, find_percentile, summarize
from dewridge.bench.simulation import Reclaim, Simulation, Slowdown
from dewridge.configuration.model import PolicyChoice, Profile
from dewridge.ids import ProfileName

WARM_UP = 20.0
"""Seconds of arrivals that are not counted: queues fill and credits are learned."""
LONG_WARM_UP = 60.0
"""The same above capacity, where queues fill until the longest deadline."""

FAULT_AT = 25.0
NORMAL = 0.6
"""Load as a multiple of capacity in an ordinary hour."""
SATURATED = 2.0
SMALL = 0.06
"""Part of the arrivals up to which an account counts as small."""
BURST = 2.5
TODAY = 1
TENFOLD = 10


@dataclass(frozen=True, slots=True)
class Contender:
    """A choice of policies under a short name."""

    name: str
    placement: str
    admission: str
    recovery: str
    drops_expired: bool = True

    def make_profile(self) -> Profile:
        """Return the profile that an operator would publish."""
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
    """One run.

    Attributes:
        accounts: only their arrivals; empty: of all.
        is_model_only: whether the plain service is left out, to save time.
    """

    kind: str
    deployment: Deployment
    contender: Contender
    load: float
    seed: int
    scale: int = 1
    seconds: float = 60.0
    warm_up: float = WARM_UP
    burst: float = 1.0
    slowdown: Slowdown | None = None
    reclaims: tuple[Reclaim, ...] = ()
    accounts: frozenset[str] = frozenset()
    is_model_only: bool = False


@dataclass(frozen=True, slots=True)
class Result:
    """What a run gave.

    Attributes:
        services: figures by service.
        overall: figures over all services.
        work_share: by service, the work of answers within target as a part of
            what all machines can do in the time counted.
        accounts: 95th percentile of the latency by account and operation.
        fairness: least part of its max-min fair share that an account got.
    """

    case: Case
    services: dict[str, Summary]
    overall: Summary
    work_share: dict[str, float]
    accounts: dict[tuple[str, str], float]
    fairness: float


def run_case(case: Case) -> Result:
    """Run one case to its end."""
    arrivals = draw_arrivals(
        case.deployment,
        scale=case.scale,
        load=case.load,
        seconds=case.seconds,
        seed=case.seed,
        burst=case.burst,
    )
    if case.accounts:
        arrivals = keep_accounts(arrivals, set(case.accounts))
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


def _make_result(case: Case, everything: Sequence[Record]) -> Result:
    records = [r for r in everything if r.work.arrival >= case.warm_up]
    # What ended in the time counted, whenever it came: what the machines did.
    ended = [r for r in everything if case.warm_up <= r.ended_at < case.seconds]
    services = {}
    work_share = {}
    fairness = 1.0
    for shape in case.deployment.services:
        own = [record for record in records if record.service == shape.name]
        if not own:
            continue
        services[shape.name] = summarize(own)
        available = shape.find_slots(case.scale) * (case.seconds - case.warm_up)
        done = [r for r in ended if r.service == shape.name and r.is_in_target]
        answered = sum(_measure_work(record) for record in done)
        work_share[shape.name] = answered / available
        fairness = min(fairness, _find_fairness(own, available))
    accounts: dict[tuple[str, str], list[float]] = {}
    for record in records:
        place = (record.work.account, record.work.operation)
        if record.is_in_target:
            accounts.setdefault(place, []).append(record.latency)
    return Result(
        case,
        services,
        summarize(records),
        work_share,
        {place: find_percentile(values) for place, values in accounts.items()},
        fairness,
    )


def _measure_work(record: Record) -> float:
    if record.work.prompt_tokens == 0:
        return PLAIN_SECONDS
    return find_slot_seconds(record.size, record.work.prompt_tokens)


def _find_fairness(records: Sequence[Record], available: float) -> float:
    """Return the least part of its max-min fair share that an account got."""
    wanted: dict[str, float] = {}
    got: dict[str, float] = {}
    for record in records:
        work = _measure_work(record)
        account = record.work.account
        wanted[account] = wanted.get(account, 0.0) + work
        got[account] = got.get(account, 0.0) + work * record.is_in_target
    shares = find_fair_shares(wanted, available)
    return min((got[name] / shares[name] for name in shares), default=1.0)


def find_fair_shares(wanted: dict[str, float], available: float) -> dict[str, float]:
    """Divide what is available: nobody gets more unless the others have enough."""
    shares = {}
    left = available
    for place, name in enumerate(sorted(wanted, key=lambda name: wanted[name])):
        shares[name] = min(wanted[name], left / (len(wanted) - place))
        left -= shares[name]
    return shares


def list_cases(seeds: Sequence[int]) -> list[Case]:
    """Return all cases of the bench."""
    cases: list[Case] = []
    for deployment in DEPLOYMENTS:
        for seed in seeds:
            cases += _list_today(deployment, seed)
        cases += _list_tenfold(deployment, seeds[0])
    return cases


def _list_today(deployment: Deployment, seed: int) -> list[Case]:
    cases = []
    first_domain = deployment.services[0].pools[0].failure_domain
    wave = (Reclaim(FAULT_AT, (first_domain,)),)
    for contender in CONTENDERS:
        normal = Case("normal", deployment, contender, NORMAL, seed)
        slow = Slowdown(FAULT_AT)
        cases += [
            normal,
            saturate(normal, "saturated", SATURATED),
            replace(normal, kind="slow", slowdown=slow, is_model_only=True),
            replace(normal, kind="burst", burst=BURST, is_model_only=True),
            replace(normal, kind="reclaim", reclaims=wave, is_model_only=True),
            replace(
                normal,
                kind="half",
                reclaims=(Reclaim(FAULT_AT),),
                is_model_only=True,
            ),
        ]
        cases += [
            replace(saturate(normal, "sweep", load), is_model_only=True)
            for load in (0.9, 1.2, 1.6)
            if seed == 1
        ]
    base = Case("reclaim", deployment, RESTARTING, NORMAL, seed, reclaims=wave)
    cases.append(replace(base, is_model_only=True))
    small = frozenset(name for name, share in deployment.accounts if share <= SMALL)
    alone = Case("alone", deployment, COST_AWARE, SATURATED, seed, accounts=small)
    cases.append(saturate(alone, "alone", SATURATED))
    return cases


def saturate(case: Case, kind: str, load: float) -> Case:
    """Return a case at another load, run until its queues are as they stay."""
    return replace(
        case, kind=kind, load=load, seconds=LONG_WARM_UP + 50, warm_up=LONG_WARM_UP
    )


def _list_tenfold(deployment: Deployment, seed: int) -> list[Case]:
    cases = []
    for contender in CONTENDERS:
        normal = Case(
            "normal",
            deployment,
            contender,
            NORMAL,
            seed,
            scale=TENFOLD,
            seconds=45.0,
            is_model_only=True,
        )
        cases += [normal, saturate(normal, "saturated", SATURATED)]
    return cases
