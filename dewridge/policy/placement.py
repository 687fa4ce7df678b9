"""Placement: chooses the backend server for a request."""

import random
from collections.abc import Callable, Mapping, Sequence

from dewridge.configuration.model import LatencyTargets
from dewridge.ids import BackendServerId
from dewridge.policy.affinity import is_within_load_bound, score_prefix
from dewridge.policy.cost import compute_slot_price
from dewridge.policy.credits import MAX_PAUSE, Health, ServerCredits
from dewridge.policy.model import Work, WorkClass
from dewridge.policy.servers import Servers

PRICE_DITHER = 0.15
"""Random surcharge on a price, as a share of it. Entry hosts with the same prices would
otherwise all fill the same server first; prices within this range are chosen at
random."""

AFFINITY_FACTOR = 0.8
"""Factor on the price of the server that has the prefix cached. It outweighs the dither
but not a real difference in price: a saved prefill is worth tenths of a second, but not
a machine of another class."""

RISK_PERIOD_SECONDS = 60.0
"""Seconds that the policy parameter `reclaim_risk` refers to."""

PROBE_SLACK_FACTOR = 5.0
"""A request is sent as a probe only if the time until its deadline is at least this
multiple of its expected duration, so that it can be repeated at another server if the
probed one is still slow."""

ChooseServer = Callable[
    [Work, Servers, BackendServerId | None, float], ServerCredits | None
]
"""Chooses a server for work, given a server to avoid and the time; None to wait."""

PlacementMaker = Callable[
    [Mapping[str, float], LatencyTargets, random.Random], ChooseServer
]


def make_cost_aware(
    parameters: Mapping[str, float], targets: LatencyTargets, rng: random.Random
) -> ChooseServer:
    """Make the policy that chooses the cheapest server within the latency target."""
    reserve = parameters["interactive_reserve"]
    target_share = parameters["latency_share"]
    load_bound = parameters["affinity_load"]
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
        # Among servers that meet the latency target, a faster one has no benefit, so
        # that the price decides. If none meets it, the answer is late anyway and the
        # fastest server is chosen at any price.
        fitting = [record for record in free if meets_target(work, record, now)]
        if not fitting:
            return min(
                free,
                key=lambda record: estimate_loaded_duration(work, servers, record, now),
            )
        cached = find_cached(work, servers, fitting)
        return min(
            fitting,
            key=lambda record: compute_price(work, servers, record, cached, now),
        )

    def meets_target(work: Work, record: ServerCredits, now: float) -> bool:
        if record.token_time > target_share * targets.between_tokens:
            return False
        if work.work_class is WorkClass.BACKGROUND:
            return True
        time_left = work.arrival + targets.first_token - now
        return record.estimate_late_first_token(now) <= target_share * time_left

    def find_cached(
        work: Work, servers: Servers, fitting: Sequence[ServerCredits]
    ) -> ServerCredits | None:
        mean = servers.mean_in_flight
        below_bound = [
            record
            for record in fitting
            if is_within_load_bound(record.in_flight, mean, load_bound)
        ]
        if work.prefix == 0 or not below_bound:
            return None
        return max(
            below_bound, key=lambda record: score_prefix(work.prefix, record.id_hash)
        )

    def compute_price(
        work: Work,
        servers: Servers,
        record: ServerCredits,
        cached: ServerCredits | None,
        now: float,
    ) -> float:
        duration = servers.latency_model.predict_duration(work, record)
        price = compute_slot_price(record.view) * duration
        view = record.view
        if view.reclaimable and servers.is_under_notice(view.failure_domain, now):
            # Reclaims come in waves: a long request in a failure domain where a
            # server was just reclaimed is likely to be moved, and to be paid twice.
            price *= 1 + min(1.0, risk * duration / RISK_PERIOD_SECONDS)
        if record is cached:
            price *= AFFINITY_FACTOR
        return price * (1 + PRICE_DITHER * rng.random())

    return choose


def make_balanced(
    parameters: Mapping[str, float], targets: LatencyTargets, rng: random.Random
) -> ChooseServer:
    """Make the policy that chooses the best of a few random servers."""
    reserve = parameters["interactive_reserve"]
    choices = int(parameters["choices"])

    def choose(
        work: Work, servers: Servers, avoid: BackendServerId | None, now: float
    ) -> ServerCredits | None:
        probe = find_probe(work, servers, now)
        if probe is not None:
            return probe
        free = list_free(work, servers, reserve, avoid, now)
        # Compares a few random servers only: hosts that all choose the best of all
        # servers choose the same one. Two random choices already balance the load.
        sampled = rng.sample(free, min(choices, len(free)))
        return min(
            sampled,
            key=lambda record: estimate_loaded_duration(work, servers, record, now),
            default=None,
        )

    return choose


def list_free(
    work: Work,
    servers: Servers,
    reserve: float,
    avoid: BackendServerId | None,
    now: float,
) -> list[ServerCredits]:
    """Return the healthy servers with a free credit, without the one to avoid.

    The server to avoid is returned if it is the only one. The subset is bounded, so
    that the cost does not depend on the size of the fleet.
    """
    if not servers.has_total_credit(work.work_class, reserve):
        return []
    reserved_share = servers.compute_reserved_share(reserve)
    free = [
        record
        for record in servers.subset
        if record.health is Health.GOOD
        and record.has_room(work.work_class, reserved_share, now)
    ]
    if avoid is not None and len(free) > 1:
        free = [record for record in free if record.view.id != avoid]
    if work.tokens_done == 0 or work.version is None:
        return free
    # A server of another version would have to generate the whole answer again.
    return [record for record in free if record.view.version == work.version] or free


def find_probe(work: Work, servers: Servers, now: float) -> ServerCredits | None:
    """Return a suspended server that may be probed with this work, if there is one.

    Only work with enough time left is used, because a lost probe is repeated at
    another server. A lost request that is not idempotent would fail with an unknown
    outcome, so that it only probes servers whose probe has been due for MAX_PAUSE.
    """
    if not servers.has_suspended:
        return None
    slack = work.deadline - now
    if slack < PROBE_SLACK_FACTOR * servers.latency_model.predict_duration(work):
        return None
    min_overdue = 0.0 if work.idempotent else MAX_PAUSE
    for record in servers.subset:
        if record.is_probe_due(now - min_overdue):
            return record
    return None


def estimate_loaded_duration(
    work: Work, servers: Servers, record: ServerCredits, now: float
) -> float:
    """Return the expected seconds of an attempt, weighted by the credits in use.

    A silence that is longer than the expected first token counts in its place.
    """
    model = servers.latency_model
    first_token = record.first_token or model.first_token
    delay = max(0.0, record.compute_silence(now) - first_token)
    duration = model.predict_duration(work, record) + delay
    return duration * (1 + record.in_flight / record.limit)


def make_random(
    parameters: Mapping[str, float], targets: LatencyTargets, rng: random.Random
) -> ChooseServer:
    """Make the baseline policy that chooses a random server."""
    limit = parameters["in_flight_limit"]

    def choose(
        work: Work, servers: Servers, avoid: BackendServerId | None, now: float
    ) -> ServerCredits | None:
        if not servers.fleet:
            return None
        return _find_below_limit(servers, rng.choice(servers.fleet).id, limit)

    return choose


def make_round_robin(
    parameters: Mapping[str, float], targets: LatencyTargets, rng: random.Random
) -> ChooseServer:
    """Make the baseline policy that chooses the servers in turn."""
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
        return _find_below_limit(servers, view.id, limit)

    return choose


def make_least_loaded(
    parameters: Mapping[str, float], targets: LatencyTargets, rng: random.Random
) -> ChooseServer:
    """Make the baseline policy that chooses the lowest reported load."""
    limit = parameters["in_flight_limit"]

    def choose(
        work: Work, servers: Servers, avoid: BackendServerId | None, now: float
    ) -> ServerCredits | None:
        if not servers.fleet:
            return None
        view = min(
            servers.fleet,
            key=lambda view: (view.load / max(1, view.capacity), rng.random()),
        )
        return _find_below_limit(servers, view.id, limit)

    return choose


def _find_below_limit(
    servers: Servers, server: BackendServerId, limit: float
) -> ServerCredits | None:
    record = servers.find(server)
    if record is None or 0 < limit <= record.in_flight:
        return None
    return record


MAKERS: dict[str, PlacementMaker] = {
    "cost_aware": make_cost_aware,
    "balanced": make_balanced,
    "random": make_random,
    "round_robin": make_round_robin,
    "least_loaded": make_least_loaded,
}
"""Placement policies by their name in a profile."""
