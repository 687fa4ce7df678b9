"""Placement: which backend server a request is sent to."""

import random
from collections.abc import Callable, Mapping, Sequence

from dewridge.configuration.model import LatencyTargets
from dewridge.ids import BackendServerId
from dewridge.policy.affinity import is_within_load_bound, score_prefix
from dewridge.policy.cost import find_slot_price
from dewridge.policy.credits import MAX_PAUSE, Health, ServerCredits
from dewridge.policy.model import Work, WorkClass
from dewridge.policy.servers import Servers

DITHER = 0.15
"""Random part added to a price. Entry hosts that see the same prices would all
fill the same server first; within this difference they choose at random."""

AFFINITY_FACTOR = 0.8
"""Factor on the price of the server that has the prefix cached. It outweighs the
dither but not a real difference in price: a prefill saved is worth tenths of a
second, not a machine of another class."""

RISK_PERIOD = 60.0
"""Seconds that the parameter `reclaim_risk` speaks of."""

PROBE_SLACK = 5.0
"""A probe is only for work with this many times its usual duration left, so that
it can be tried once more elsewhere when the server turns out to be still slow."""

Choose = Callable[[Work, Servers, BackendServerId | None, float], ServerCredits | None]
"""Chooses a server for work, given the one to avoid and the time, or none yet."""

Maker = Callable[[Mapping[str, float], LatencyTargets, random.Random], Choose]


def make_cost_aware(
    parameters: Mapping[str, float], targets: LatencyTargets, rng: random.Random
) -> Choose:
    """Make the placement by price against the latency target."""
    reserve = parameters["interactive_reserve"]
    share = parameters["latency_share"]
    load = parameters["affinity_load"]
    risk = parameters["reclaim_risk"]

    def choose(
        work: Work, servers: Servers, avoid: BackendServerId | None, now: float
    ) -> ServerCredits | None:
        probe = find_probe(work, servers, now)
        if probe is not None:
            return probe
        free = list_free(work, servers, reserve, avoid, now)
        if len(free) < 2:
            return free[0] if free else None
        # Paying for a faster machine buys nothing once the target is met; where
        # nothing meets it, money is no object for an answer already late.
        fitting = [record for record in free if meets_target(work, record, now)]
        if not fitting:
            return min(free, key=lambda r: predict_end(work, servers, r, now))
        cached = find_cached(work, servers, fitting)
        return min(fitting, key=lambda r: find_price(work, servers, r, cached, now))

    def meets_target(work: Work, record: ServerCredits, now: float) -> bool:
        if record.token_time > share * targets.between_tokens:
            return False
        if work.work_class is WorkClass.BACKGROUND:
            return True
        left = work.arrival + targets.first_token - now
        return record.find_late_first_token(now) <= share * left

    def find_cached(
        work: Work, servers: Servers, fitting: Sequence[ServerCredits]
    ) -> ServerCredits | None:
        mean = servers.mean_in_flight
        near = [r for r in fitting if is_within_load_bound(r.in_flight, mean, load)]
        if work.prefix == 0 or not near:
            return None
        return max(near, key=lambda r: score_prefix(work.prefix, r.id_hash))

    def find_price(
        work: Work,
        servers: Servers,
        record: ServerCredits,
        cached: ServerCredits | None,
        now: float,
    ) -> float:
        duration = servers.usual.predict_duration(work, record)
        price = find_slot_price(record.view) * duration
        view = record.view
        if view.reclaimable and servers.is_under_notice(view.failure_domain, now):
            # Reclaims come in waves: a long draft put beside a server that was
            # just reclaimed is likely to be moved, and to be paid for twice.
            price *= 1 + min(1.0, risk * duration / RISK_PERIOD)
        if record is cached:
            price *= AFFINITY_FACTOR
        return price * (1 + DITHER * rng.random())

    return choose


def make_balanced(
    parameters: Mapping[str, float], targets: LatencyTargets, rng: random.Random
) -> Choose:
    """Make the placement by the best of a few random servers."""
    reserve = parameters["interactive_reserve"]
    choices = int(parameters["choices"])

    def choose(
        work: Work, servers: Servers, avoid: BackendServerId | None, now: float
    ) -> ServerCredits | None:
        probe = find_probe(work, servers, now)
        if probe is not None:
            return probe
        free = list_free(work, servers, reserve, avoid, now)
        # Few and random, because hosts that all take the best of everything
        # take the same one; two choices already even out the load.
        drawn = rng.sample(free, min(choices, len(free)))
        return min(
            drawn, key=lambda r: predict_end(work, servers, r, now), default=None
        )

    return choose


def list_free(
    work: Work,
    servers: Servers,
    reserve: float,
    avoid: BackendServerId | None,
    now: float,
) -> list[ServerCredits]:
    """List servers in good health with a credit, without the one to avoid.

    The subset is bounded, so this costs the same in a fleet of any size.
    """
    if not servers.has_credit(work.work_class, reserve):
        return []
    kept = servers.find_kept(reserve)
    free = [
        record
        for record in servers.subset
        if record.health is Health.GOOD and record.has_room(work.work_class, kept, now)
    ]
    if avoid is not None and len(free) > 1:
        free = [record for record in free if record.view.id != avoid]
    return free


def find_probe(work: Work, servers: Servers, now: float) -> ServerCredits | None:
    """Return a suspended server that this work may try again.

    Only idempotent work with time to spare: lost on the way, it is repeated
    elsewhere. A call that may not be repeated would end with its outcome
    unknown, so it probes only a server that nothing else has tried for long.
    """
    if not servers.has_suspended:
        return None
    slack = work.deadline - now
    if slack < PROBE_SLACK * servers.usual.predict_duration(work):
        return None
    patience = 0.0 if work.idempotent else MAX_PAUSE
    for record in servers.subset:
        if record.is_probe_due(now - patience):
            return record
    return None


def predict_end(
    work: Work, servers: Servers, record: ServerCredits, now: float
) -> float:
    """Return the expected duration, longer the more credits are in use."""
    first = max(servers.usual.first_token, record.find_first_token(now))
    rest = servers.usual.predict_duration(work, record)
    return (first + rest) * (1 + record.in_flight / record.limit)


def make_random(
    parameters: Mapping[str, float], targets: LatencyTargets, rng: random.Random
) -> Choose:
    """Make the baseline that draws any server."""
    limit = parameters["in_flight_limit"]

    def choose(
        work: Work, servers: Servers, avoid: BackendServerId | None, now: float
    ) -> ServerCredits | None:
        if not servers.fleet:
            return None
        return _check_limit(servers, rng.choice(servers.fleet).id, limit)

    return choose


def make_round_robin(
    parameters: Mapping[str, float], targets: LatencyTargets, rng: random.Random
) -> Choose:
    """Make the baseline that takes each server in its turn."""
    limit = parameters["in_flight_limit"]
    turn = rng.randrange(1_000_000)

    def choose(
        work: Work, servers: Servers, avoid: BackendServerId | None, now: float
    ) -> ServerCredits | None:
        nonlocal turn
        if not servers.fleet:
            return None
        turn += 1
        view = servers.fleet[turn % len(servers.fleet)]
        return _check_limit(servers, view.id, limit)

    return choose


def make_least_loaded(
    parameters: Mapping[str, float], targets: LatencyTargets, rng: random.Random
) -> Choose:
    """Make the baseline that believes the last report of load."""
    limit = parameters["in_flight_limit"]

    def choose(
        work: Work, servers: Servers, avoid: BackendServerId | None, now: float
    ) -> ServerCredits | None:
        if not servers.fleet:
            return None
        view = min(
            servers.fleet, key=lambda v: (v.load / max(1, v.capacity), rng.random())
        )
        return _check_limit(servers, view.id, limit)

    return choose


def _check_limit(
    servers: Servers, server: BackendServerId, limit: float
) -> ServerCredits | None:
    record = servers.find(server)
    if record is None or 0 < limit <= record.in_flight:
        return None
    return record


MAKERS: dict[str, Maker] = {
    "cost_aware": make_cost_aware,
    "balanced": make_balanced,
    "random": make_random,
    "round_robin": make_round_robin,
    "least_loaded": make_least_loaded,
}
