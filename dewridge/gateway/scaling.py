"""The duty to order backend servers from the cloud."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Annotated

import msgspec
import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.decoding import Name, decode_json
from dewridge.gateway.duties import HolderElection
from dewridge.gateway.model import Scaling, ServerRecord, Service
from dewridge.gateway.state import GatewayState
from dewridge.ids import FailureDomain, ServiceName
from dewridge.platform.cloud import CallOutcome, Cloud, Order
from dewridge.platform.store import Store, Write
from dewridge.policy.scaling import (
    DomainBounds,
    Load,
    WantedServers,
    count_needed_servers,
    count_reclaimable_servers,
    estimate_initial_need,
    plan_servers,
)
from dewridge.sentinels import Failure

POLL_INTERVAL = 1.0
"""Seconds between two updates of the plan."""
NONE_AVAILABLE_RETRY_DELAY = 2.0
"""Seconds after which an order that found no server available is repeated. Reclaims
come in waves of about ten seconds, and each attempt costs a call."""
SHRINK_DELAY = 4.0
ON_DEMAND_SHRINK_DELAY = 2.0
"""Seconds for which fewer servers must have been enough before an order is reduced:
about a boot time, and less for on-demand servers, which cost 4 to 5 times as much."""
RECLAIM_WAVE_BOOT_TIMES = 2.0
"""Boot times after a reclaim during which another one is expected. Waves come within
that time; later, newly ordered reclaimable servers have replaced the reclaimed ones."""
BOOT_SLACK = 2.0
"""Seconds beyond their boot time within which ordered servers must be listed."""
LISTING_TIME = 1.5
"""Seconds from the first server in the list until all running ones are listed: one
heartbeat and the delay of the updates."""
RECLAIM_DETECTION_PERIOD = 3.0
"""Seconds after the last server of a domain began to leave by which all its servers
have left if the domain was reclaimed: two polls and the delay of the updates."""
NEEDED_SERVERS_KEY = "dewridge-needed"
"""Store key of the number of servers that each service needs. It is outside the prefix
of the entry hosts, whose watches would otherwise wake at each change."""
MAX_NEEDED = 100_000
"""Servers of one service that an entry may say are needed."""
NeededServers = Annotated[int, msgspec.Meta(ge=0, le=MAX_NEEDED)]
ServerPool = tuple[ServiceName, FailureDomain, bool]
"""Service, failure domain and whether the servers are reclaimable."""


class ScalingDuty:
    """Plans servers and sends the orders of the plan that are not accepted yet."""

    def __init__(
        self, state: GatewayState, election: HolderElection, store: Store, cloud: Cloud
    ) -> None:
        self._state = state
        self._election = election
        self._store = store
        self._cloud = cloud
        self._accepted: dict[ServerPool, int] = {}
        self._unknown: dict[ServerPool, int] = {}
        """Highest counts of orders of unknown outcome since the last accepted one."""
        self._accepted_at: dict[ServerPool, float] = {}
        self._not_before: dict[ServerPool, float] = {}
        self._totals: dict[ServiceName, int] = {}
        self._listed_since: dict[ServiceName, float] = {}
        self._found_at_start: dict[ServiceName, int] = {}
        self._reclaimed_at: dict[ServiceName, float] = {}
        self._needed: dict[ServiceName, int] = {}
        self._previous_needed: dict[ServiceName, int] = {}
        self._written_needed: dict[ServiceName, int] = {}
        self._needed_revision = 0
        self._lower_since: dict[ServerPool, float] = {}
        self._fencing_token = 0
        self._term_began_at = float("-inf")

    def handle_restore(self) -> None:
        """Write the needed servers again, since the restored store may lack them."""
        self._written_needed.clear()

    async def run(self) -> None:
        """Plan and order servers indefinitely while this host holds the duties."""
        while True:
            self._observe_services()
            await self._order_servers()
            await trio.sleep(POLL_INTERVAL)

    def _observe_services(self) -> None:
        """Record what a plan is based on, also while another host holds the duties.

        A holder may be lost in the middle of reclaims. If its successor began to
        observe only then, it would order nothing for three seconds, and then too little
        for lack of the peak of the demand.
        """
        configuration = self._state.configuration.current
        if configuration is None:
            return
        now = trio.current_time()
        is_holder = self._election.find_active_term() is not None
        for service in configuration.services.values():
            if service.scaling is None:
                continue
            self._try_count_initial_servers(service.name, now)
            self._state.demand[service.name].compute_peak_rate(now)
            if not is_holder:
                domains = service.scaling.prices
                listed = self._count_reclaimable(service.name, domains)
                self._detect_reclaims(service.name, listed, now, is_holder=False)

    def _count_reclaimable(
        self, service: ServiceName, domains: Iterable[FailureDomain]
    ) -> dict[FailureDomain, int]:
        return {
            domain: self._count_servers((service, domain, True)) for domain in domains
        }

    async def _order_servers(self) -> None:
        term = self._election.find_active_term()
        configuration = self._state.configuration.current
        if term is None or configuration is None:
            return
        if term.fencing_token != self._fencing_token:
            # Another holder may have sent other orders meanwhile, and orders cannot be
            # read back, so send all orders again.
            self._accepted.clear()
            self._unknown.clear()
            self._not_before.clear()
            self._lower_since.clear()
            self._term_began_at = trio.current_time()
            self._previous_needed = await self._read_needed()
            self._written_needed = dict(self._previous_needed)
            self._fencing_token = term.fencing_token
        for service in configuration.services.values():
            if service.scaling is None:
                continue
            if self._try_count_initial_servers(service.name, trio.current_time()):
                await self._order_service(service, service.scaling)
        await self._write_needed()

    async def _order_service(self, service: Service, scaling: Scaling) -> None:
        domains = {
            domain: DomainBounds(scaling.min_servers, scaling.max_servers, price)
            for domain, price in scaling.prices.items()
        }
        wanted = self._plan(service, scaling, domains)
        due: dict[FailureDomain, list[Order]] = defaultdict(list)
        for order in list_orders(service.name, wanted):
            if self._is_due(order, scaling.boot_time):
                due[order.failure_domain].append(order)
        # One domain after the other, the orders after a reclaim take seconds while the
        # cloud API is slow, and the servers start that much later.
        async with trio.open_nursery() as nursery:
            for orders in due.values():
                nursery.start_soon(self._send_orders, orders)

    async def _send_orders(self, orders: list[Order]) -> None:
        """Send the orders of one domain, reclaimable servers first.

        The minimum of a domain counts both kinds: an order for no on-demand servers
        keeps some of them if it arrives before the reclaimable ones are ordered.
        """
        for order in orders:
            await self._send_order(order)

    def _plan(
        self,
        service: Service,
        scaling: Scaling,
        domains: dict[FailureDomain, DomainBounds],
    ) -> dict[FailureDomain, WantedServers]:
        now = trio.current_time()
        name = service.name
        load = self._compute_load(service, now)
        needed = max(count_needed_servers(load), self._estimate_initial_need(name, now))
        previous_total = self._totals.get(name, 0)
        total = count_reclaimable_servers(needed, previous_total, len(domains))
        if total != previous_total or needed != self._needed.get(name):
            log.bind(
                service=name,
                total=total,
                needed=needed,
                tokens_per_second=round(load.rate),
                pace=round(load.prefill_rate),
                in_flight=load.in_flight,
                found_at_start=self._found_at_start[name],
                quotas=round(self._sum_quotas()),
            ).info("servers planned")
        self._totals[name] = total
        self._needed[name] = needed
        listed = self._count_reclaimable(name, domains)
        serving = {
            domain: count
            - self._count_withheld((name, domain, True), now + scaling.boot_time)
            for domain, count in listed.items()
        }
        self._detect_reclaims(name, listed, now, is_holder=True)
        reclaimed_at = self._reclaimed_at.get(name, float("-inf"))
        return plan_servers(
            domains,
            serving,
            total,
            needed if load.rate > 0 else 0,
            is_reclaiming=now - reclaimed_at
            < RECLAIM_WAVE_BOOT_TIMES * scaling.boot_time,
        )

    def _detect_reclaims(
        self,
        service: ServiceName,
        serving: dict[FailureDomain, int],
        now: float,
        *,
        is_holder: bool,
    ) -> None:
        """Record a reclaim if all servers of a domain left but are still ordered.

        A server that leaves because an order was reduced reports the same. In that case
        some servers of the domain remain, or none are ordered there. Only the holder
        knows the orders; other hosts take a domain without servers as reclaimed.
        """
        for domain, count in serving.items():
            is_ordered = (
                not is_holder or self._accepted.get((service, domain, True), 0) > 0
            )
            drained_at = self._state.servers.drained_at.get((service, domain))
            if count or not is_ordered or drained_at is None:
                continue
            if now - drained_at < RECLAIM_DETECTION_PERIOD:
                self._reclaimed_at[service] = now

    def _compute_load(self, service: Service, now: float) -> Load:
        return Load(
            rate=self._state.demand[service.name].compute_peak_rate(now),
            prefill_rate=self._state.prefill_rate_meters[service.name].estimate(),
            in_flight=self._state.count_in_flight(
                self._state.servers.list_service(service.name)
            ),
            slots=service.engine.slots if service.engine else 1,
        )

    async def _read_needed(self) -> dict[ServiceName, int]:
        """Return the needed servers that the previous holder wrote; empty if unknown.

        After a power loss of all hosts, no host has a record of the demand. Plans based
        on quotas alone ordered servers for twice the demand of an ordinary day.
        """
        item = await self._store.read(NEEDED_SERVERS_KEY)
        if isinstance(item, Failure):
            log.bind(reason=item.reason).warning("needed servers are not known")
            return {}
        self._needed_revision = item.revision if item is not None else 0
        if item is None:
            return {}
        needed = decode_json(item.value, dict[Name, NeededServers])
        if isinstance(needed, Failure):
            log.bind(reason=needed.reason).error("needed servers can't be read")
            return {}
        return {ServiceName(name): count for name, count in needed.items()}

    async def _write_needed(self) -> None:
        """Store the needed servers for the next holder if they changed."""
        needed = {name: count for name, count in self._needed.items() if count > 0}
        if needed == self._written_needed or self._election.find_active_term() is None:
            return
        write = Write(NEEDED_SERVERS_KEY, msgspec.json.encode(needed))
        # Without the condition, a write without an answer could replace a later one.
        written = await self._store.change(
            expected={NEEDED_SERVERS_KEY: self._needed_revision}, writes=(write,)
        )
        if isinstance(written, Failure):
            # Retried at the next poll. Until then a new holder would read old numbers.
            log.bind(reason=written.reason).info("needed servers not written")
            if written.code in {
                ResultCode.KEY_VALUE_UNKNOWN,
                ResultCode.KEY_VALUE_CONFLICT,
            }:
                await self._read_needed()
                self._written_needed.clear()
            return
        self._written_needed, self._needed_revision = needed, written

    def _try_count_initial_servers(self, service: ServiceName, now: float) -> bool:
        """Return whether the servers that run at the start have been counted.

        Servers write their records one by one within the first second. Orders sent
        earlier would remove most of these servers.
        """
        if service in self._found_at_start:
            return True
        listed = len(self._state.list_serving(service))
        if not listed:
            return False
        if now - self._listed_since.setdefault(service, now) < LISTING_TIME:
            return False
        self._found_at_start[service] = listed
        return True

    def _estimate_initial_need(self, service: ServiceName, now: float) -> int:
        since = self._state.demand[service].first_arrival_at
        work_age = 0.0 if since is None else now - since
        previous_need = self._previous_needed.get(service)
        if previous_need is not None:
            # Each host measures the pace of the servers by its own requests only. Right
            # after a change of the holder, the plan must not drop by that difference.
            work_age = min(work_age, now - self._term_began_at)
        return estimate_initial_need(
            self._found_at_start[service], self._sum_quotas(), work_age, previous_need
        )

    def _sum_quotas(self) -> float:
        configuration = self._state.configuration.current
        accounts = configuration.accounts.values() if configuration else ()
        rates = {
            account.name: account.rate for account in accounts if account.counts_tokens
        }
        return sum(rates.values())

    def _is_due(self, order: Order, boot_time: float) -> bool:
        pool = get_server_pool(order)
        now = trio.current_time()
        if now < self._not_before.get(pool, 0.0):
            return False
        accepted = self._accepted.get(pool)
        unknown = self._unknown.get(pool)
        in_force = [count for count in (accepted, unknown) if count is not None]
        if in_force and order.count < max(in_force):
            return self._has_stayed_lower(
                pool, now, is_on_demand=not order.is_reclaimable
            )
        self._lower_since.pop(pool, None)
        # Orders can't be read back: the last count is only known once it is accepted.
        if accepted != order.count or unknown is not None:
            return True
        # The cloud does not always replace servers that were reclaimed or crashed.
        is_settled = now > self._accepted_at[pool] + boot_time + BOOT_SLACK
        return is_settled and self._count_servers(pool) < order.count

    def _has_stayed_lower(
        self, pool: ServerPool, now: float, *, is_on_demand: bool
    ) -> bool:
        """Return whether fewer servers have been enough for some time.

        Waves of reclaims follow each other within seconds. Servers released between two
        waves would have to be ordered and booted again while requests wait.
        """
        since = self._lower_since.setdefault(pool, now)
        return now - since > (ON_DEMAND_SHRINK_DELAY if is_on_demand else SHRINK_DELAY)

    def _list_servers(self, pool: ServerPool) -> list[ServerRecord]:
        """Return the serving servers of a pool."""
        service, domain, is_reclaimable = pool
        return [
            record
            for record in self._state.list_serving(service)
            if record.failure_domain == domain
            and record.is_reclaimable == is_reclaimable
        ]

    def _count_servers(self, pool: ServerPool) -> int:
        return len(self._list_servers(pool))

    def _count_withheld(self, pool: ServerPool, at: float) -> int:
        """Return the servers that will still ask for fewer requests at a later time.

        A server ordered now could take their place then. One that rests for less than
        the boot time of another is not replaced.
        """
        return sum(
            self._state.pushback.is_withheld(record.id, at)
            for record in self._list_servers(pool)
        )

    async def _send_order(self, order: Order) -> None:
        pool = get_server_pool(order)
        now = trio.current_time()
        term = self._election.find_active_term()
        if term is None:
            return
        outcome = await self._cloud.order_servers(term, order)
        log.bind(
            service=order.service,
            failure_domain=order.failure_domain,
            reclaimable=order.is_reclaimable,
            count=order.count,
            outcome=outcome.name,
        ).info("servers ordered")
        if outcome is CallOutcome.ACCEPTED:
            self._accepted[pool] = order.count
            self._accepted_at[pool] = now
            self._unknown.pop(pool, None)
            self._lower_since.pop(pool, None)
        elif outcome is CallOutcome.UNKNOWN:
            self._unknown[pool] = max(order.count, self._unknown.get(pool, 0))
        elif outcome is CallOutcome.NONE_AVAILABLE:
            self._not_before[pool] = now + NONE_AVAILABLE_RETRY_DELAY
            # This is how a new holder of the duties learns of a reclaim that happened
            # before its term.
            self._reclaimed_at.setdefault(order.service, now)


def get_server_pool(order: Order) -> ServerPool:
    """Return the pool of servers that an order is for."""
    return order.service, order.failure_domain, order.is_reclaimable


def list_orders(
    service: ServiceName, wanted: dict[FailureDomain, WantedServers]
) -> list[Order]:
    """Return the orders for a plan: in each domain, reclaimable servers first."""
    orders = []
    for domain, counts in wanted.items():
        orders.append(Order(service, domain, True, counts.reclaimable))
        orders.append(Order(service, domain, False, counts.on_demand))
    return orders
