"""How many backend servers to order in each failure domain, and of which kind."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from dewridge.ids import FailureDomain
from dewridge.policy.capacity import DEFAULT_PREFILL_RATE

TARGET_LOAD = 0.42
"""Part of its time that a server is to read prompts at the highest rate of the last
half minute. Prompts come in bursts, and what comes while one is read waits: with three
servers at two thirds one answer in six was late, with four at a half one in twenty."""
SPARE_LOAD = 0.75
"""Part of that load that reclaimable servers are to have: they are cheap, and beside
the burst that is measured there is the one that is not."""
SLOT_LOAD = 0.6
"""Part of the slots that are to be taken: beyond, answers slow each other down and a
burst finds none free."""
BORNE_SHARE = 0.1
"""Part of the needed servers that may be missing without a replacement: what one of
them takes on beside its own work. Counted from the plan in place of the need, a small
fleet replaced servers that it had to spare, for 0.05 of a day's benefit; with a whole
domain borne, a large one on a day of four waves served 0.75 of its worth."""
QUOTA_SHARE = 0.33
"""Part of all accounts' quotas that counts as demand until it is known: quotas leave
an account about twice its usual, and more for small ones. At a half 90 servers were
ordered where the measured demand then asked for some 60."""
START_SHARE = 0.8
"""Part of the servers found at the start that are kept if accounts have no quotas."""
DEMAND_KNOWN_AFTER = 12.0
"""Seconds of work after which the measured demand counts alone: the span of the rate,
and half a span for traffic that has just begun to rise."""
SHRINK_STEP = 2
SHRINK_PART = 0.1
"""Servers, and part of them, that must be too many before any are given up: a server
given up ends what it runs, and is ordered again with the next wave."""


@dataclass(frozen=True, slots=True)
class DomainBounds:
    """What may be ordered in one failure domain; both kinds together.

    Attributes:
        least: servers at least.
        most: servers at most.
        price: price of a lasting server's second.
    """

    least: int
    most: int
    price: float


@dataclass(frozen=True, slots=True)
class Wanted:
    """Servers wanted in one failure domain: lasting ones and reclaimable ones."""

    lasting: int
    reclaimable: int


@dataclass(frozen=True, slots=True)
class Load:
    """What a service's servers have to carry.

    Attributes:
        rate: prompt tokens a second that come in.
        pace: prompt tokens a second that a server reads.
        in_flight: requests at all its servers.
        slots: requests that one of them works on at once.
    """

    rate: float
    pace: float = DEFAULT_PREFILL_RATE
    in_flight: int = 0
    slots: int = 1


def find_needed(load: Load) -> int:
    """Return how many servers a load needs, by what they read and by their slots."""
    by_reading = load.rate / (load.pace * TARGET_LOAD)
    by_slots = load.in_flight / (max(1, load.slots) * SLOT_LOAD)
    return math.ceil(max(by_reading, by_slots))


def find_start_need(
    found: int, quotas: float, working_for: float, needed_before: int | None
) -> int:
    """Return how many servers to count as needed while the demand is not known.

    Made for a start, and for a restart of all hosts: a rate is measured over eight
    seconds, and a server takes four to start. Planned from the first requests on,
    callers got half of their answers in time for the first twenty seconds.

    Args:
        found: servers of all kinds that were there at the start.
        quotas: tokens a second that all accounts together may use; 0 for no limit.
        working_for: seconds since the first request; 0 before it.
        needed_before: what the last holder of the duties found; None at a first start.
    """
    if working_for > DEMAND_KNOWN_AFTER:
        return 0
    if needed_before is not None:
        return needed_before
    if quotas > 0:
        return find_needed(Load(QUOTA_SHARE * quotas))
    return math.ceil(START_SHARE * found)


def find_total(needed: int, before: int, domains: int) -> int:
    """Return how many reclaimable servers to want over all failure domains.

    So many that what is needed is left when one domain is reclaimed: a lasting server
    in its place costs four to five times as much, and comes seconds later. At least
    one in each domain stands, so that none is empty when the others go.

    Args:
        needed: servers that the demand, or the start, needs.
        before: what was wanted before; 0 at the start.
        domains: failure domains.
    """
    spread = math.ceil(needed / SPARE_LOAD * domains / max(1, domains - 1))
    total = max(domains, spread)
    step = max(SHRINK_STEP, math.ceil(SHRINK_PART * before))
    return before if before - step < total < before else total


def plan_servers(
    domains: Mapping[FailureDomain, DomainBounds],
    serving: Mapping[FailureDomain, int],
    total: int,
    needed: int,
    *,
    is_reclaiming: bool = False,
) -> dict[FailureDomain, Wanted]:
    """Want reclaimable servers everywhere, and lasting ones while some are missing.

    Made for reclaims that come in waves, domain after domain, with no reclaimable
    servers to be had for ten seconds and more: four waves take the whole fleet.
    A lasting server costs four to five times as much, so that it is ordered only for
    what the demand lacks, where it is cheapest, and given up when the others are back.
    It takes seconds to start, and the next domain goes seconds after the first, so that
    what that one would leave missing is ordered as soon as the first is gone. Where
    reclaimable servers are not to be had, lasting ones still are.

    Args:
        domains: what may be ordered where.
        serving: reclaimable servers that serve now.
        total: reclaimable servers wanted over all failure domains.
        needed: servers that the demand needs; 0 before there is work.
        is_reclaiming: whether a domain was reclaimed just now.
    """
    cheapest = sorted(domains, key=lambda domain: (domains[domain].price, domain))
    spread = _spread(total, cheapest)
    lasting = _spread(count_lasting(serving, needed, is_reclaiming), cheapest)
    return {
        domain: Wanted(
            lasting=min(lasting[domain], bounds.most),
            reclaimable=max(0, min(spread[domain], bounds.most - lasting[domain])),
        )
        for domain, bounds in domains.items()
    }


def count_lasting(
    serving: Mapping[FailureDomain, int], needed: int, is_reclaiming: bool
) -> int:
    """Return how many lasting servers the demand needs beside the reclaimable ones."""
    left = sum(serving.values())
    if is_reclaiming:
        left -= max(serving.values(), default=0)
    return max(0, math.ceil(needed - left - BORNE_SHARE * needed))


def _spread(count: int, domains: Sequence[FailureDomain]) -> dict[FailureDomain, int]:
    """Spread servers evenly, the odd ones over the first domains."""
    each, odd = divmod(count, max(1, len(domains)))
    return {domain: each + (n < odd) for n, domain in enumerate(domains)}
