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
PLANNED_LOAD = 1.1
"""Part of the servers' time that is planned for, in estimated work. Estimates
were too high by 8 to 25 parts in 100 in the replay, the more the busier the engines
were. With 0.9, callers got 0.94 of the value while a third of the engines was lost,
against 0.96."""
DRAIN_SECONDS = 1.0
"""Seconds over which waiting work is to be worked off, and free slots are filled: as
long as reports lag in a large fleet. Over less, the plan overreacts to old reports."""
MIN_CAPACITY_SHARE = 0.8
"""Part of the planned capacity that is admitted whatever waits. The engines serve
urgent requests before those that wait, so that refusing urgent ones until the others
were served gained nothing: with two thirds of the engines lost, half of the urgent
answers were on time, against nine tenths."""
MIN_CLASS_SHARE = 0.2
"""Part of the overall served share that each urgency gets at least, so that callers of
the least urgent one are not starved by a long overload. With 0.3, a tenth of the most
urgent requests was late for it while two thirds of the engines were lost."""


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
    def free_work(self) -> float:
        """Work that the free slots can take; negative if requests wait for slots."""
        return (self.slots - self.in_flight) * self.mean_work


@dataclass(frozen=True, slots=True)
class AdmissionPlan:
    """Shares of the arriving requests to admit.

    Attributes:
        is_contended: whether requests are refused at all.
        capacity: work per second that may be admitted.
        class_shares: share of the work to admit, by urgency class.
        account_shares: share of each account's work to admit, by urgency class; only
            for classes that are not admitted completely.
    """

    is_contended: bool
    capacity: float = 0.0
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

    def compute_admitted(self, demand: Mapping[int, float]) -> float:
        """Return the work per second that is admitted of a demand."""
        return sum(
            work * self.class_shares.get(urgency, 1.0)
            for urgency, work in demand.items()
        )


def make_plan(load: ServiceLoad) -> AdmissionPlan:
    """Return the plan for a load; it admits everything without contention."""
    if not load.is_contended:
        return AdmissionPlan(is_contended=False)
    planned = load.servers * PLANNED_LOAD
    capacity = max(
        planned * MIN_CAPACITY_SHARE, planned + load.free_work / DRAIN_SECONDS
    )
    class_shares = compute_class_shares(load.demand, capacity)
    total = sum(load.accounts.values())
    account_shares = {
        urgency: compute_served_shares(load.accounts, load.weights, share * total)
        for urgency, share in class_shares.items()
        if share < 1
    }
    return AdmissionPlan(True, capacity, class_shares, account_shares)


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
