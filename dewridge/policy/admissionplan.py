"""Plan of the share of requests to admit while the engines of a service are contended.

All hosts compute the plan from the same reports, each for the requests that it gets.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from dewridge.ids import ClientAccount
from dewridge.policy.fairshares import compute_served_shares

CONTENDED_LOAD = 0.8
"""Requests in flight per slot above which a service is contended. The engines still
have free slots then, and the reports of all hosts take up to a second."""
PLANNED_LOAD = 0.9
"""Part of the servers' time that is planned for: the rest is for requests that were
admitted before the load was known."""
DRAIN_SECONDS = 1.0
"""Seconds over which the work that waits in the engines is worked off."""
MIN_CLASS_SHARE = 0.3
"""Part of the overall served share that each urgency gets at least, so that callers of
the least urgent one are not starved by a long burst of the others."""


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of a service over all hosts.

    Attributes:
        in_flight: requests in flight at its serving servers.
        slots: requests that these run concurrently.
        servers: number of serving servers.
        mean_work: mean work of a request, in seconds of one server.
        demand: work per second that arrives, by urgency class.
        accounts: units per second that each account asks for.
        weights: weight of each account.
    """

    in_flight: float
    slots: float
    servers: float
    mean_work: float
    demand: Mapping[int, float]
    accounts: Mapping[ClientAccount, float] = field(default_factory=dict)
    weights: Mapping[ClientAccount, float] = field(default_factory=dict)

    @property
    def is_contended(self) -> bool:
        """Whether requests compete for the servers."""
        return self.in_flight > CONTENDED_LOAD * self.slots

    @property
    def waiting_work(self) -> float:
        """Work of the requests beyond the slots, in seconds of one server."""
        return max(0.0, self.in_flight - self.slots) * self.mean_work


@dataclass(frozen=True, slots=True)
class AdmissionPlan:
    """Shares of the arriving requests to admit.

    Attributes:
        is_contended: whether requests are refused at all.
        capacity: work per second that may be admitted.
        waiting_work: work that waits in the engines, in seconds of one server.
        class_shares: share of the work to admit, by urgency class.
        account_shares: share of each account's work to admit, by urgency class; only
            for classes that are not admitted completely.
    """

    is_contended: bool
    capacity: float = 0.0
    waiting_work: float = 0.0
    class_shares: Mapping[int, float] = field(default_factory=dict)
    account_shares: Mapping[int, Mapping[ClientAccount, float]] = field(
        default_factory=dict
    )

    def get_share(self, urgency: int, account: ClientAccount | None) -> float:
        """Return the share of an account's requests of an urgency class to admit."""
        share = self.class_shares.get(urgency, 1.0)
        if account is None:
            return share
        return self.account_shares.get(urgency, {}).get(account, share)


def make_plan(load: ServiceLoad) -> AdmissionPlan:
    """Return the plan for a load; it admits everything without contention."""
    if not load.is_contended:
        return AdmissionPlan(is_contended=False)
    capacity = max(0.0, load.servers * PLANNED_LOAD - load.waiting_work / DRAIN_SECONDS)
    class_shares = compute_class_shares(load.demand, capacity)
    total = sum(load.accounts.values())
    account_shares = {
        urgency: compute_served_shares(load.accounts, load.weights, share * total)
        for urgency, share in class_shares.items()
        if share < 1
    }
    return AdmissionPlan(
        is_contended=True,
        capacity=capacity,
        waiting_work=load.waiting_work,
        class_shares=class_shares,
        account_shares=account_shares,
    )


def compute_class_shares(
    demand: Mapping[int, float], capacity: float
) -> dict[int, float]:
    """Return the share of each urgency class that a capacity suffices for.

    Each class gets a minimum, and the most urgent ones as much as possible of the rest.

    Args:
        demand: work per second by urgency class; 0 is the most urgent.
        capacity: work per second that may be admitted.
    """
    total = sum(demand.values())
    if total <= capacity:
        return dict.fromkeys(demand, 1.0)
    floor = MIN_CLASS_SHARE * max(0.0, capacity) / total
    left = max(0.0, capacity) - floor * total
    shares = {}
    for urgency in sorted(demand):
        work = demand[urgency]
        extra = min(work * (1 - floor), left)
        shares[urgency] = min(1.0, floor + extra / work) if work > 0 else 1.0
        left -= extra
    return shares
