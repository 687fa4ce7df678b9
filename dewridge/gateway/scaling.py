"""The duty to order backend servers."""

import trio
from loguru import logger as log

from dewridge.gateway.duties import Tenancy
from dewridge.gateway.model import Scaling, Service
from dewridge.gateway.state import GatewayState
from dewridge.ids import FailureDomain, ServiceName
from dewridge.platform.cloud import CallOutcome, Cloud, Order
from dewridge.policy.scaling import (
    DomainBounds,
    Wanted,
    find_needed,
    find_start_total,
    find_total,
    plan_servers,
)

LOOK_PERIOD = 1.0
"""Seconds between two looks at what is wanted."""
RETRY_NONE = 2.0
"""Seconds after which an order that found none available is given again: reclaims
come in waves of some ten seconds, and each try costs a call."""
SHRINK_AFTER = 4.0
"""Seconds for which fewer servers must have been enough: about a boot time."""
BOOT_SLACK = 2.0
"""Seconds beyond their boot time that ordered servers have to appear in the list."""
LISTING_TIME = 1.5
"""Seconds from the first server in the list until all that run are there: a heartbeat,
and the way of the news."""
Place = tuple[ServiceName, FailureDomain, bool]


class ScalingDuty:
    """Gives the orders that the plan wants and that were not accepted yet."""

    def __init__(self, state: GatewayState, tenancy: Tenancy, cloud: Cloud) -> None:
        self._state = state
        self._tenancy = tenancy
        self._cloud = cloud
        self._accepted: dict[Place, int] = {}
        self._accepted_at: dict[Place, float] = {}
        self._not_before: dict[Place, float] = {}
        self._totals: dict[ServiceName, int] = {}
        self._listed_since: dict[ServiceName, float] = {}
        self._found: dict[ServiceName, int] = {}
        self._works_since: dict[ServiceName, float] = {}
        self._lower_since: dict[Place, float] = {}
        self._fence = 0

    async def run(self) -> None:
        """Keep the orders at what is wanted, for ever."""
        while True:
            await self._step()
            await trio.sleep(LOOK_PERIOD)

    async def _step(self) -> None:
        tenure = self._tenancy.find_tenure()
        configuration = self._state.configuration.current
        if tenure is None or configuration is None:
            return
        if tenure.fencing_token != self._fence:
            # Another holder may have ordered otherwise meanwhile, and nothing can be
            # read back: all orders are given anew.
            self._accepted.clear()
            self._not_before.clear()
            self._lower_since.clear()
            self._fence = tenure.fencing_token
        for service in configuration.services.values():
            if service.scaling is None:
                continue
            if self._knows_start(service.name, trio.current_time()):
                await self._order_service(service, service.scaling)

    async def _order_service(self, service: Service, scaling: Scaling) -> None:
        domains = {
            domain: DomainBounds(scaling.least, scaling.most, price)
            for domain, price in scaling.prices.items()
        }
        serving = {
            domain: self._count_servers((service.name, domain, True))
            for domain in domains
        }
        wanted = self._plan(service.name, domains, serving)
        for order in list_orders(service.name, wanted):
            if self._is_due(order, scaling.boot_time):
                await self._give(order)

    def _plan(
        self,
        service: ServiceName,
        domains: dict[FailureDomain, DomainBounds],
        serving: dict[FailureDomain, int],
    ) -> dict[FailureDomain, Wanted]:
        now = trio.current_time()
        rate = self._state.demand[service].find_rate(now)
        needed = max(find_needed(rate), self._find_start_total(service, rate, now))
        before = self._totals.get(service, 0)
        total = find_total(needed, before, len(domains))
        if total != before:
            log.bind(
                service=service,
                total=total,
                tokens_per_second=round(rate),
                found_at_start=self._found[service],
                quotas=round(self._sum_quotas()),
            ).info("servers planned")
        self._totals[service] = total
        return plan_servers(domains, serving, total, needed if rate > 0 else 0)

    def _knows_start(self, service: ServiceName, now: float) -> bool:
        """Whether the servers that were there at the start have been counted.

        Servers write their records one by one in the first second. Orders given before
        would send most of them away.
        """
        if service in self._found:
            return True
        listed = len(self._state.servers.list_service(service))
        if not listed:
            return False
        if now - self._listed_since.setdefault(service, now) < LISTING_TIME:
            return False
        self._found[service] = listed
        return True

    def _find_start_total(self, service: ServiceName, rate: float, now: float) -> int:
        working_for = 0.0
        if rate > 0:
            working_for = now - self._works_since.setdefault(service, now)
        return find_start_total(self._found[service], self._sum_quotas(), working_for)

    def _sum_quotas(self) -> float:
        configuration = self._state.configuration.current
        accounts = configuration.accounts.values() if configuration else ()
        rates = {one.name: one.rate for one in accounts if one.counts_tokens}
        return sum(rates.values())

    def _is_due(self, order: Order, boot_time: float) -> bool:
        place = find_place(order)
        now = trio.current_time()
        if now < self._not_before.get(place, 0.0):
            return False
        accepted = self._accepted.get(place)
        if accepted is not None and order.count < accepted:
            return self._is_lower_for_long(place, now)
        self._lower_since.pop(place, None)
        if accepted != order.count:
            return True
        # Servers that were reclaimed or died are not always replaced by themselves.
        is_settled = now > self._accepted_at[place] + boot_time + BOOT_SLACK
        return is_settled and self._count_servers(place) < order.count

    def _is_lower_for_long(self, place: Place, now: float) -> bool:
        """Whether fewer servers have been enough for some time.

        Waves of reclaims follow each other within seconds. Servers given up between
        two waves would have to be ordered again, and boot again, while work waits.
        """
        since = self._lower_since.setdefault(place, now)
        return now - since > SHRINK_AFTER

    def _count_servers(self, place: Place) -> int:
        service, domain, is_reclaimable = place
        return sum(
            record.failure_domain == domain and record.is_reclaimable == is_reclaimable
            for record in self._state.servers.list_service(service)
        )

    async def _give(self, order: Order) -> None:
        place = find_place(order)
        now = trio.current_time()
        tenure = self._tenancy.find_tenure()
        if tenure is None:
            return
        outcome = await self._cloud.order_servers(tenure, order)
        log.bind(
            service=order.service,
            failure_domain=order.failure_domain,
            reclaimable=order.is_reclaimable,
            count=order.count,
            outcome=outcome.name,
        ).info("servers ordered")
        if outcome is CallOutcome.ACCEPTED:
            self._accepted[place] = order.count
            self._accepted_at[place] = now
            self._lower_since.pop(place, None)
        elif outcome is CallOutcome.NONE_AVAILABLE:
            self._not_before[place] = now + RETRY_NONE


def find_place(order: Order) -> Place:
    """Return what an order is about, without its count."""
    return order.service, order.failure_domain, order.is_reclaimable


def list_orders(
    service: ServiceName, wanted: dict[FailureDomain, Wanted]
) -> list[Order]:
    """Return the orders that a plan means; growth comes before shrinking."""
    orders = []
    for domain, counts in wanted.items():
        orders.append(Order(service, domain, True, counts.reclaimable))
        orders.append(Order(service, domain, False, counts.lasting))
    return orders
