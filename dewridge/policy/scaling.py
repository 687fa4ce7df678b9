"""Plans how many backend servers to order in each failure domain, and of which kind."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from dewridge.ids import FailureDomain
from dewridge.policy.capacity import DEFAULT_PREFILL_RATE

TARGET_LOAD = 0.42
"""Share of its time that a server should spend on reading prompts, at the highest rate
of the last half minute. Prompts arrive in bursts, and wait while another one is read:
with three servers at a load of two thirds, one answer in six was late; with four at one
half, one in twenty."""
RECLAIMABLE_LOAD_SHARE = 0.75
"""Share of `TARGET_LOAD` that reclaimable servers are planned for. They are cheap, and
the spare capacity serves bursts that exceed the measured ones."""
TARGET_SLOT_LOAD = 0.6
"""Share of the slots that should be in use. Above it answers slow each other down, and
a burst finds no free slots."""
TOLERATED_DEFICIT_SHARE = 0.1
"""Share of the needed servers that may be missing without a replacement: what each of
the other servers can take on beside its own work. When it was computed from the
planned servers instead of the needed ones, a small fleet replaced servers that it could
spare, which cost 0.05 of a day's benefit. When the loss of a whole domain was
tolerated, a large fleet served only 0.75 of the value of a day with four waves of
reclaims."""
INITIAL_QUOTA_SHARE = 0.33
"""Share of all accounts' quotas that is taken as the demand until it has been measured.
Quotas allow an account about twice its usual demand, and small accounts more. At one
half, 90 servers were ordered where the measured demand then needed about 60."""
INITIAL_SERVER_SHARE = 0.8
"""Share of the servers found at startup that is retained if accounts have no
quotas."""
DEMAND_WARM_UP = 12.0
"""Seconds since the first request after which only the measured demand counts: the time
over which the rate is measured, and half of that for traffic that only begins to
rise."""
MIN_SHRINK_COUNT = 2
MIN_SHRINK_SHARE = 0.1
"""Number of servers, and share of them, that must be surplus before any is removed:
removing a server ends the requests that it runs, and with the next wave of demand it is
ordered again."""


MIN_REMAINING_SHARE = 0.6
"""Share of the needed servers that remains after all losses that are expected. Planned
loads leave headroom: with this share, about as many requests run as there are slots,
and none has to be refused until further servers have started."""
MAX_EXPECTED_LOSSES = 2
"""Failure domains that are expected to be lost within the start of a server, while one
after the other is reclaimed."""


@dataclass(frozen=True, slots=True)
class DomainBounds:
    """Limits on the servers ordered in one failure domain, for both kinds together.

    Attributes:
        min_servers: servers at least.
        max_servers: servers at most; applies if the minimum exceeds it.
        price: price of an on-demand server per second.
    """

    min_servers: int
    max_servers: int
    price: float


@dataclass(frozen=True, slots=True)
class WantedServers:
    """Number of servers of each kind wanted in one failure domain."""

    on_demand: int
    reclaimable: int


@dataclass(frozen=True, slots=True)
class Load:
    """Load on a service's servers.

    Attributes:
        rate: prompt tokens that arrive per second.
        prefill_rate: prompt tokens that one server reads per second.
        in_flight: requests at all servers.
        slots: requests that one server runs at once.
    """

    rate: float
    prefill_rate: float = DEFAULT_PREFILL_RATE
    in_flight: int = 0
    slots: int = 1


def count_needed_servers(load: Load) -> int:
    """Return how many servers a load needs, by prompt tokens and by slots."""
    by_prefill_rate = load.rate / (load.prefill_rate * TARGET_LOAD)
    by_slots = load.in_flight / (max(1, load.slots) * TARGET_SLOT_LOAD)
    return math.ceil(max(by_prefill_rate, by_slots))


def estimate_initial_need(
    found_servers: int, quota_rate: float, work_age: float, previous_need: int | None
) -> int:
    """Return how many servers are assumed to be needed while the demand is unknown.

    This applies at startup, and at a restart of all hosts: a rate is measured over
    eight seconds, and a server takes four to start. When servers were planned by the
    measured rate from the first requests on, callers got half of their answers in time
    in the first twenty seconds.

    Args:
        found_servers: servers of all kinds that existed at startup.
        quota_rate: tokens per second that all accounts together may use; 0 for no
            limit.
        work_age: seconds since the first request; 0 before it.
        previous_need: servers needed according to the previous duty holder; None at a
            first start.

    Returns:
        Number of servers; 0 once the measured demand counts alone.
    """
    if work_age > DEMAND_WARM_UP:
        return 0
    if previous_need is not None:
        return previous_need
    if quota_rate > 0:
        return count_needed_servers(Load(INITIAL_QUOTA_SHARE * quota_rate))
    return math.ceil(INITIAL_SERVER_SHARE * found_servers)


def count_reclaimable_servers(needed: int, previous: int, domains: int) -> int:
    """Return how many reclaimable servers are wanted over all failure domains.

    They are enough for the need when one domain is reclaimed: an on-demand server in
    their place costs four to five times as much, and starts seconds later. Each domain
    gets at least one, so that it is not empty when the other domains are reclaimed.

    Args:
        needed: servers needed for the demand, or at startup.
        previous: result of the previous plan; 0 at startup.
        domains: number of failure domains.
    """
    spread = math.ceil(needed / RECLAIMABLE_LOAD_SHARE * domains / max(1, domains - 1))
    total = max(domains, spread)
    step = max(MIN_SHRINK_COUNT, math.ceil(MIN_SHRINK_SHARE * previous))
    return previous if previous - step < total < previous else total


def plan_servers(
    domains: Mapping[FailureDomain, DomainBounds],
    serving: Mapping[FailureDomain, int],
    total: int,
    needed: int,
    *,
    is_reclaiming: bool = False,
) -> dict[FailureDomain, WantedServers]:
    """Spread reclaimable servers over all domains, and add on-demand ones if needed.

    Reclaims come in waves, domain after domain, and no reclaimable servers are
    available for ten seconds or more: four waves remove the whole fleet. On-demand
    servers, which are still available then, cost four to five times as much. They are
    ordered only for the part of the demand that the serving reclaimable ones can't
    take, where they are cheapest, and are removed when the reclaimable ones are back.
    They take seconds to start, and the next domain is reclaimed seconds after the
    first. The servers that its loss would leave missing are therefore ordered as soon
    as the first is lost.

    Args:
        domains: limits of each failure domain.
        serving: reclaimable servers that serve now, by domain.
        total: reclaimable servers wanted over all domains.
        needed: servers needed for the demand; 0 before the first request.
        is_reclaiming: whether a domain was reclaimed recently.
    """
    cheapest = sorted(domains, key=lambda domain: (domains[domain].price, domain))
    reclaimable = _spread(total, cheapest)
    # On-demand servers in a domain that is full would displace its reclaimable ones.
    room = {
        domain: max(0, domains[domain].max_servers - serving.get(domain, 0))
        for domain in cheapest
    }
    on_demand = _spread_within_room(
        count_on_demand_servers(serving, needed, is_reclaiming), room
    )
    return {
        domain: _apply_bounds(bounds, on_demand[domain], reclaimable[domain])
        for domain, bounds in domains.items()
    }


def _apply_bounds(
    bounds: DomainBounds, on_demand: int, reclaimable: int
) -> WantedServers:
    """Limit the servers of a domain; reclaimable ones are added up to the minimum."""
    on_demand = min(on_demand, bounds.max_servers)
    missing = bounds.min_servers - on_demand
    return WantedServers(
        on_demand, min(max(reclaimable, missing, 0), bounds.max_servers - on_demand)
    )


def count_on_demand_servers(
    serving: Mapping[FailureDomain, int], needed: int, is_reclaiming: bool
) -> int:
    """Return how many on-demand servers are needed beside the reclaimable ones.

    During reclaims, the domain with the most servers counts as lost already. Besides,
    a minimum for the ordinary demand has to remain after the loss of all domains that
    may be lost before a server ordered now has started.
    """
    left = sum(serving.values())
    if not is_reclaiming:
        return _count_missing(needed - TOLERATED_DEFICIT_SHARE * needed, left)
    largest = sorted(serving.values(), reverse=True)
    after_next = left - sum(largest[:1])
    after_all = left - sum(largest[: count_expected_losses(len(serving))])
    return max(
        _count_missing(needed - TOLERATED_DEFICIT_SHARE * needed, after_next),
        _count_missing(MIN_REMAINING_SHARE * needed, after_all),
    )


def _count_missing(wanted: float, left: int) -> int:
    return max(0, math.ceil(wanted - left))


def count_expected_losses(domains: int) -> int:
    """Return how many domains may be lost until a server ordered now has started.

    Waves follow each other within three to six seconds, a server starts in four, and a
    change of the duty holder takes two or three more: two domains in a fleet of four.
    At least one is expected, and at most half of all, since orders for more would pay
    for servers that mostly are not needed.
    """
    return max(1, min(MAX_EXPECTED_LOSSES, domains // 2))


def _spread(count: int, domains: Sequence[FailureDomain]) -> dict[FailureDomain, int]:
    """Spread servers evenly; the first domains get the remainder."""
    each, remainder = divmod(count, max(1, len(domains)))
    return {domain: each + (n < remainder) for n, domain in enumerate(domains)}


def _spread_within_room(
    count: int, room: Mapping[FailureDomain, int]
) -> dict[FailureDomain, int]:
    """Spread servers evenly as far as there is room in each domain."""
    spread = dict.fromkeys(room, 0)
    left = min(count, sum(room.values()))
    while left > 0:
        open_domains = [domain for domain in room if spread[domain] < room[domain]]
        for domain, share in _spread(left, open_domains).items():
            added = min(share, room[domain] - spread[domain])
            spread[domain] += added
            left -= added
    return spread
