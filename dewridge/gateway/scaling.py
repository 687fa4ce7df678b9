"""The duty to order backend servers."""

import msgspec
import trio
from loguru import logger as log

from dewridge.gateway.duties import Tenancy
from dewridge.gateway.model import Scaling, Service
from dewridge.gateway.state import GatewayState
from dewridge.ids import FailureDomain, ServiceName
from dewridge.platform.cloud import CallOutcome, Cloud, Order
from dewridge.platform.store import Store, Write
from dewridge.policy.scaling import (
    DomainBounds,
    Load,
    Wanted,
    find_needed,
    find_start_need,
    find_total,
    plan_servers,
)
from dewridge.sentinels import Failure

LOOK_PERIOD = 1.0
"""Seconds between two looks at what is wanted."""
RETRY_NONE = 2.0
"""Seconds after which an order that found none available is given again: reclaims
come in waves of some ten seconds, and each try costs a call."""
SHRINK_AFTER = 4.0
LASTING_SHRINK_AFTER = 2.0
"""Seconds for which fewer servers must have been enough: about a boot time, and less
for lasting ones, of which each second costs four to five times as much."""
WAVE_BOOTS = 2.0
"""Boot times after a reclaim in which the next one is expected: waves come in that
time, and later reclaimable servers ordered anew have taken the place of the first."""
BOOT_SLACK = 2.0
"""Seconds beyond their boot time that ordered servers have to appear in the list."""
LISTING_TIME = 1.5
"""Seconds from the first server in the list until all that run are there: a heartbeat,
and the way of the news."""
RECLAIM_SEEN_FOR = 3.0
"""Seconds after the last server of a domain began to leave in which the others of that
domain have left as well: two looks, and the way of the news."""
NEEDED_KEY = "dewridge-needed"
"""Key of the servers that each service needs. Not below the prefix of the hosts: their
watches would wake with each change."""
Place = tuple[ServiceName, FailureDomain, bool]


class ScalingDuty:
    """Gives the orders that the plan wants and that were not accepted yet."""

    def __init__(
        self, state: GatewayState, tenancy: Tenancy, store: Store, cloud: Cloud
    ) -> None:
        self._state = state
        self._tenancy = tenancy
        self._store = store
        self._cloud = cloud
        self._accepted: dict[Place, int] = {}
        self._accepted_at: dict[Place, float] = {}
        self._not_before: dict[Place, float] = {}
        self._totals: dict[ServiceName, int] = {}
        self._listed_since: dict[ServiceName, float] = {}
        self._found: dict[ServiceName, int] = {}
        self._reclaimed_at: dict[ServiceName, float] = {}
        self._needed: dict[ServiceName, int] = {}
        self._needed_before: dict[ServiceName, int] = {}
        self._needed_written: dict[ServiceName, int] = {}
        self._lower_since: dict[Place, float] = {}
        self._fence = 0

    def note_restored(self) -> None:
        """Write the needed servers again; the restored store may lack them."""
        self._needed_written.clear()

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
            self._reclaimed_at.clear()
            self._needed_before = await self._read_needed()
            self._needed_written = dict(self._needed_before)
            self._fence = tenure.fencing_token
        for service in configuration.services.values():
            if service.scaling is None:
                continue
            if self._knows_start(service.name, trio.current_time()):
                await self._order_service(service, service.scaling)
        await self._keep_needed()

    async def _order_service(self, service: Service, scaling: Scaling) -> None:
        domains = {
            domain: DomainBounds(scaling.min_servers, scaling.max_servers, price)
            for domain, price in scaling.prices.items()
        }
        serving = {
            domain: self._count_servers((service.name, domain, True))
            for domain in domains
        }
        wanted = self._plan(service, scaling, domains, serving)
        for order in list_orders(service.name, wanted):
            if self._is_due(order, scaling.boot_time):
                await self._give(order)

    def _plan(
        self,
        service: Service,
        scaling: Scaling,
        domains: dict[FailureDomain, DomainBounds],
        serving: dict[FailureDomain, int],
    ) -> dict[FailureDomain, Wanted]:
        now = trio.current_time()
        name = service.name
        load = self._find_load(service, now)
        needed = max(find_needed(load), self._find_start_need(name, now))
        before = self._totals.get(name, 0)
        total = find_total(needed, before, len(domains))
        if total != before or needed != self._needed.get(name):
            log.bind(
                service=name,
                total=total,
                needed=needed,
                tokens_per_second=round(load.rate),
                pace=round(load.pace),
                in_flight=load.in_flight,
                found_at_start=self._found[name],
                quotas=round(self._sum_quotas()),
            ).info("servers planned")
        self._totals[name] = total
        self._needed[name] = needed
        self._note_reclaims(name, serving, now)
        reclaimed_at = self._reclaimed_at.get(name, float("-inf"))
        return plan_servers(
            domains,
            serving,
            total,
            needed if load.rate > 0 else 0,
            is_reclaiming=now - reclaimed_at < WAVE_BOOTS * scaling.boot_time,
        )

    def _note_reclaims(
        self, service: ServiceName, serving: dict[FailureDomain, int], now: float
    ) -> None:
        """Note that a whole domain's servers left though they are still ordered.

        A server that an order gives up says the same when it leaves; then some of the
        domain's servers stay, or none are ordered.
        """
        for domain, count in serving.items():
            is_ordered = self._accepted.get((service, domain, True), 0) > 0
            drained_at = self._state.servers.drained_at.get((service, domain))
            if count or not is_ordered or drained_at is None:
                continue
            if now - drained_at < RECLAIM_SEEN_FOR:
                self._reclaimed_at[service] = now

    def _find_load(self, service: Service, now: float) -> Load:
        return Load(
            rate=self._state.demand[service.name].find_rate(now),
            pace=self._state.paces[service.name].find(),
            in_flight=self._state.count_in_flight(
                self._state.servers.list_service(service.name)
            ),
            slots=service.engine.slots if service.engine else 1,
        )

    async def _read_needed(self) -> dict[ServiceName, int]:
        """Return what the holder before counted as needed; nothing if none is known.

        After a loss of power of all hosts nobody remembers the demand. Planned from the
        quotas alone, servers were ordered for twice the demand of an ordinary day.
        """
        item = await self._store.read(NEEDED_KEY)
        if isinstance(item, Failure):
            log.bind(reason=item.reason).warning("needed servers are not known")
            return {}
        if item is None:
            return {}
        try:
            return msgspec.json.decode(item.value, type=dict[ServiceName, int])
        except msgspec.DecodeError as error:
            log.bind(reason=str(error)).error("needed servers can't be read")
            return {}

    async def _keep_needed(self) -> None:
        """Write down what is needed for the next holder, if that changed."""
        needed = {name: count for name, count in self._needed.items() if count > 0}
        if needed == self._needed_written or self._tenancy.find_tenure() is None:
            return
        write = Write(NEEDED_KEY, msgspec.json.encode(needed))
        written = await self._store.change(writes=(write,))
        if isinstance(written, Failure):
            # Tried again at the next look; until then the next holder knows less.
            log.bind(reason=written.reason).info("needed servers not written")
            return
        self._needed_written = needed

    def _knows_start(self, service: ServiceName, now: float) -> bool:
        """Whether the servers that were there at the start have been counted.

        Servers write their records one by one in the first second. Orders given before
        would send most of them away.
        """
        if service in self._found:
            return True
        listed = len(self._state.list_serving(service))
        if not listed:
            return False
        if now - self._listed_since.setdefault(service, now) < LISTING_TIME:
            return False
        self._found[service] = listed
        return True

    def _find_start_need(self, service: ServiceName, now: float) -> int:
        since = self._state.demand[service].since
        return find_start_need(
            self._found[service],
            self._sum_quotas(),
            0.0 if since is None else now - since,
            self._needed_before.get(service),
        )

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
            return self._is_lower_for_long(
                place, now, is_lasting=not order.is_reclaimable
            )
        self._lower_since.pop(place, None)
        if accepted != order.count:
            return True
        # Servers that were reclaimed or died are not always replaced by themselves.
        is_settled = now > self._accepted_at[place] + boot_time + BOOT_SLACK
        return is_settled and self._count_servers(place) < order.count

    def _is_lower_for_long(self, place: Place, now: float, *, is_lasting: bool) -> bool:
        """Whether fewer servers have been enough for some time.

        Waves of reclaims follow each other within seconds. Servers given up between
        two waves would have to be ordered again, and boot again, while work waits.
        """
        since = self._lower_since.setdefault(place, now)
        return now - since > (LASTING_SHRINK_AFTER if is_lasting else SHRINK_AFTER)

    def _count_servers(self, place: Place) -> int:
        service, domain, is_reclaimable = place
        return sum(
            record.failure_domain == domain and record.is_reclaimable == is_reclaimable
            for record in self._state.list_serving(service)
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
            # A new holder of the duties learns by this that a reclaim came before it.
            self._reclaimed_at.setdefault(order.service, now)


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
