"""What a host records of arriving requests and answers to admit under contention."""

from collections import defaultdict
from collections.abc import Callable, Container, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from dewridge.gateway.model import Account, Configuration, RouteName
from dewridge.ids import ClientAccount, ServiceName
from dewridge.policy.admissioncredits import AdmissionCredits
from dewridge.policy.admissionplan import AdmissionPlan
from dewridge.policy.ratemeter import RateMeter
from dewridge.policy.workdemand import OutputTimeMeter, WorkDemand

ACCOUNT_WINDOW = 2.0
"""Seconds over which an account's rate is averaged. A small account sends about one
long prompt in that time; over more, an account that begins to send many times its usual
rate is found late."""
WORK_SMOOTHING = 0.05
"""Weight of one request in the mean work of a service's requests."""

Name = TypeVar("Name", bound=str)
CreditKey = tuple[ServiceName, int]
"""Service and urgency class whose requests share an admission credit."""


def _make_account_meter() -> RateMeter:
    return RateMeter(ACCOUNT_WINDOW)


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """The plan of a service that is in force at this host.

    Attributes:
        plan: the plan.
        planned_at: monotonic time at which it was computed.
        servers: number of serving servers that the plan is for.
        in_flight: requests in flight at them.
        slots: requests that they run concurrently.
    """

    plan: AdmissionPlan
    planned_at: float
    servers: float
    in_flight: float
    slots: float


@dataclass
class PlannedServices:
    """The services that are planned by one version of the configuration."""

    version: int = -1
    names: frozenset[ServiceName] = frozenset()


@dataclass
class AccountWeights:
    """Weights of the accounts of one version of the configuration."""

    version: int = -1
    weights: Mapping[ClientAccount, float] = field(default_factory=dict)
    unlimited: frozenset[ClientAccount] = frozenset()

    def get(self, configuration: Configuration) -> Mapping[ClientAccount, float]:
        """Return the weight of each account: its rate, else the mean rate."""
        self._update(configuration)
        return self.weights

    def get_unlimited(self, configuration: Configuration) -> frozenset[ClientAccount]:
        """Return the accounts without a quota."""
        self._update(configuration)
        return self.unlimited

    def _update(self, configuration: Configuration) -> None:
        if configuration.version == self.version:
            return
        self.version = configuration.version
        accounts = configuration.accounts.values()
        self.weights = compute_weights(accounts)
        self.unlimited = frozenset(
            account.name for account in accounts if account.rate <= 0
        )


def compute_weights(accounts: Iterable[Account]) -> dict[ClientAccount, float]:
    """Return the rate of each account; the mean rate for those without a quota."""
    rates = {account.name: account.rate for account in accounts}
    known = [rate for rate in rates.values() if rate > 0]
    mean = sum(known) / len(known) if known else 1.0
    return {name: rate if rate > 0 else mean for name, rate in rates.items()}


@dataclass
class ContentionRecords:
    """Records of one host.

    Attributes:
        draw_random: returns a random number from 0 up to 1.
        demand: work that arrives at all hosts.
        accounts: units of quota that each account is granted at all hosts.
        output_times: time from the first event to the end, by route.
        mean_work: mean work of a request, by service, in seconds of one server.
        credits: credits of the classes that are not admitted completely.
        plans: the plans in force.
        weights: weights of the accounts.
        planned_services: the services to which the setting `auto` applies plans.
        prefill_rates: prefill rate of each service, and when it was estimated.
        last_served_at: time of the last request for each service while it had servers.
    """

    draw_random: Callable[[], float]
    demand: WorkDemand = field(default_factory=WorkDemand)
    accounts: dict[ClientAccount, RateMeter] = field(
        default_factory=lambda: defaultdict(_make_account_meter)
    )
    output_times: dict[RouteName, OutputTimeMeter] = field(
        default_factory=lambda: defaultdict(OutputTimeMeter)
    )
    mean_work: dict[ServiceName, float] = field(default_factory=dict)
    credits: AdmissionCredits[CreditKey] = field(init=False)
    plans: dict[ServiceName, ServicePlan] = field(default_factory=dict)
    weights: AccountWeights = field(default_factory=AccountWeights)
    planned_services: PlannedServices = field(default_factory=PlannedServices)
    prefill_rates: dict[ServiceName, tuple[float, float]] = field(default_factory=dict)
    last_served_at: dict[ServiceName, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the credits, which start at random."""
        self.credits = AdmissionCredits(self.draw_random)

    def record_account_usage(
        self, account: ClientAccount, amount: float, now: float
    ) -> None:
        """Count units that an account was granted at this host or at another one."""
        self.accounts[account].add(amount, now)

    def record_work(self, service: ServiceName, work: float) -> None:
        """Include a request in the mean work of its service."""
        mean = self.mean_work.setdefault(service, work)
        self.mean_work[service] = mean + WORK_SMOOTHING * (work - mean)

    def compute_account_rates(self, now: float) -> dict[ClientAccount, float]:
        """Return the units per second that each account is granted at all hosts."""
        return {name: meter.compute_rate(now) for name, meter in self.accounts.items()}

    def drop_unknown(self, configuration: Configuration) -> None:
        """Drop the records of services, routes and accounts that were removed."""
        routes = {route.name for route in configuration.routes}
        names = {account.name for account in configuration.accounts.values()}
        self.demand.retain(configuration.services)
        _drop_others(self.accounts, names)
        _drop_others(self.output_times, routes)
        _drop_others(self.prefill_rates, configuration.services)
        _drop_others(self.last_served_at, configuration.services)
        _drop_others(self.mean_work, configuration.services)
        _drop_others(self.plans, configuration.services)


def _drop_others(table: dict[Name, Any], known: Container[Name]) -> None:
    for name in [at for at in table if at not in known]:
        del table[name]
