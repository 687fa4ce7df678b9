"""How many backend servers to order in each failure domain, and of which kind."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from dewridge.ids import FailureDomain

TOKENS_PER_SERVER = 20_000.0
"""Prompt tokens a second for which one server is wanted. An engine reads 57,000 when it
does nothing else; the answers that it writes beside take about a third of its time,
and with a failure domain gone the rest must still keep to the targets."""
LEAST_EACH = 3
"""Reclaimable servers in each failure domain at least. With two, a wave of reclaims
over two domains left too few: a trouble day served 0.87 of its worth, with three 0.91,
for a twentieth of the benefit that they cost."""
BORNE_SHARE = 0.1
"""Part of the needed servers that may be missing without a replacement: what one of
them takes on beside its own work. Counted from the plan in place of the need, a small
fleet replaced servers that its floor had to spare, for 0.05 of a day's benefit; with a
whole domain borne, a large one on a day of four waves served 0.75 of its worth."""
QUOTA_SHARE = 0.33
"""Part of all accounts' quotas that counts as demand until it is known: quotas leave
an account about twice its usual, and more for small ones. At a half 90 servers were
ordered where the measured demand then asked for some 60."""
START_SHARE = 0.8
"""Part of the servers found at the start that are kept if accounts have no quotas."""
DEMAND_KNOWN_AFTER = 12.0
"""Seconds of work after which the measured demand counts alone: the span of the rate,
and half a span for traffic that has just begun to rise."""
SHRINK_STEP = 3
"""Servers that must be too many before any are given up: a server given up ends what
it runs, and is ordered again with the next wave."""


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


def find_needed(rate: float) -> int:
    """Return how many servers a demand in prompt tokens a second needs."""
    return math.ceil(rate / TOKENS_PER_SERVER)


def find_start_total(found: int, quotas: float, working_for: float) -> int:
    """Return how many servers to want at least while the demand is not known.

    Made for a start, and for a restart of all hosts: a rate is measured over eight
    seconds, and a server takes four to start. Planned from the first requests on,
    callers got half of their answers in time for the first twenty seconds.

    Args:
        found: servers of all kinds that were there at the start.
        quotas: tokens a second that all accounts together may use; 0 for no limit.
        working_for: seconds since the first request; 0 before it.
    """
    if working_for > DEMAND_KNOWN_AFTER:
        return 0
    if quotas > 0:
        return find_needed(QUOTA_SHARE * quotas)
    return math.ceil(START_SHARE * found)


def find_total(needed: int, before: int, domains: int) -> int:
    """Return how many reclaimable servers to want over all failure domains.

    Args:
        needed: servers that the demand, or the start, needs.
        before: what was wanted before; 0 at the start.
        domains: failure domains.
    """
    total = max(LEAST_EACH * domains, needed)
    return before if before - SHRINK_STEP < total < before else total


def plan_servers(
    domains: Mapping[FailureDomain, DomainBounds],
    serving: Mapping[FailureDomain, int],
    total: int,
    needed: int,
) -> dict[FailureDomain, Wanted]:
    """Want reclaimable servers everywhere, and lasting ones while some are missing.

    Made for reclaims that come in waves, domain after domain, with no reclaimable
    servers to be had for ten seconds and more: four waves take the whole fleet.
    A lasting server costs four to five times as much, so that it is ordered only for
    what the demand lacks, where it is cheapest, and given up when the others are back.
    It takes four seconds to start and a second domain goes some six seconds after the
    first, so that it is ordered as soon as the first is gone. Where reclaimable servers
    are not to be had, lasting ones still are.

    Args:
        domains: what may be ordered where.
        serving: reclaimable servers that serve now.
        total: reclaimable servers wanted over all failure domains.
        needed: servers that the demand needs; 0 before there is work.
    """
    cheapest = sorted(domains, key=lambda domain: (domains[domain].price, domain))
    spread = _spread(total, cheapest)
    lasting = _spread(count_lasting(serving, needed), cheapest)
    return {
        domain: Wanted(
            lasting=min(lasting[domain], bounds.most),
            reclaimable=max(0, min(spread[domain], bounds.most - lasting[domain])),
        )
        for domain, bounds in domains.items()
    }


def count_lasting(serving: Mapping[FailureDomain, int], needed: int) -> int:
    """Return how many lasting servers the demand needs beside the reclaimable ones."""
    lacking = needed - sum(serving.values())
    return max(0, math.ceil(lacking - BORNE_SHARE * needed))


def _spread(count: int, domains: Sequence[FailureDomain]) -> dict[FailureDomain, int]:
    """Spread servers evenly, the odd ones over the first domains."""
    each, odd = divmod(count, max(1, len(domains)))
    return {domain: each + (n < odd) for n, domain in enumerate(domains)}
