"""Orders of servers by the holder of the duties, against a cloud that records them."""

from dataclasses import replace

import msgspec
import trio
import trio.testing

from dewridge.gateway.model import Scaling, ServerRecord
from dewridge.gateway.scaling import NEEDED_KEY, ScalingDuty
from dewridge.ids import BackendServerId, FailureDomain, ServerName
from dewridge.platform.cloud import CallOutcome, Cloud, DutyTerm, Order
from dewridge.tests.gateway.duties_tests import AlwaysHolder
from dewridge.tests.gateway.memorystore import MemoryStore
from dewridge.tests.gateway.world import ENGINE, make_configuration, make_state

DOMAINS = [FailureDomain(name) for name in ("a", "b", "c")]
BUSY = 100_000.0
"""Prompt tokens a second that four servers carry at the usual pace."""


class OrderedCloud(Cloud):
    """Keeps the newest order of each place; reclaimable servers may be nowhere."""

    def __init__(self) -> None:
        self.wanted: dict[tuple[FailureDomain, bool], int] = {}
        self.is_dry = False

    async def order_servers(self, tenure: DutyTerm, order: Order) -> CallOutcome:
        """Keep an order."""
        place = order.failure_domain, order.is_reclaimable
        grows = order.count > self.wanted.get(place, 0)
        if self.is_dry and order.is_reclaimable and grows:
            return CallOutcome.NONE_AVAILABLE
        self.wanted[place] = order.count
        return CallOutcome.ACCEPTED

    def count(self, *, is_reclaimable: bool) -> int:
        """Return how many servers of a kind are ordered."""
        return sum(n for (_, kind), n in self.wanted.items() if kind is is_reclaimable)


class Fleet:
    """A holder of the duties with three reclaimable servers in each domain."""

    def __init__(self, store: MemoryStore) -> None:
        configuration = make_configuration()
        scaling = Scaling(1, 8, 4.0, 0.2, dict.fromkeys(DOMAINS, 1.0))
        engine = replace(configuration.services[ENGINE], scaling=scaling)
        services = {**configuration.services, ENGINE: engine}
        self.state = make_state(replace(configuration, services=services))
        self.cloud = OrderedCloud()
        self.duty = ScalingDuty(self.state, AlwaysHolder(), store, self.cloud)
        for domain in DOMAINS:
            for number in range(3):
                self.list_server(domain, number)

    def list_server(
        self, domain: FailureDomain, number: int, *, is_draining: bool = False
    ) -> None:
        """List a reclaimable server, or that it leaves."""
        name = ServerName(f"s-{domain}{number}")
        record = ServerRecord(
            BackendServerId(name),
            name,
            ENGINE,
            "127.0.0.1:9",
            domain,
            8,
            is_draining,
            is_reclaimable=True,
        )
        self.state.servers.update(record, trio.current_time())

    def reclaim(self, domain: FailureDomain) -> None:
        """Take all servers of a domain away."""
        self.cloud.is_dry = True
        for number in range(3):
            self.list_server(domain, number, is_draining=True)

    async def bring_work(self, rate: float) -> None:
        """Count so much work all the time."""
        while True:
            self.state.note_demand(ENGINE, rate / 10, trio.current_time())
            await trio.sleep(0.1)


async def test_a_reclaim_orders_what_the_next_would_leave_missing(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A domain is reclaimed with none to be had, and another goes six seconds later.

    Ordered only when the second goes, lasting servers come when half of the answers of
    four seconds are late. Some time after the last reclaim they are given up again.
    """
    fleet = Fleet(MemoryStore())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.bring_work, BUSY)
        nursery.start_soon(fleet.duty.run)
        await trio.sleep(20.0)
        assert fleet.cloud.count(is_reclaimable=False) == 0
        fleet.reclaim(DOMAINS[0])
        await trio.sleep(1.5)
        assert fleet.cloud.count(is_reclaimable=False) >= 1
        await trio.sleep(20.0)
        assert fleet.cloud.count(is_reclaimable=False) == 0
        nursery.cancel_scope.cancel()


async def test_servers_that_an_order_gives_up_are_no_reclaim(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The fleet shrinks to what is needed; the servers given up say that they leave.

    Taken for a reclaim, lasting servers would be ordered for them.
    """
    fleet = Fleet(MemoryStore())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.bring_work, 0.75 * BUSY)
        nursery.start_soon(fleet.duty.run)
        await trio.sleep(20.0)
        for domain in DOMAINS:
            for number in range(2):
                fleet.list_server(domain, number, is_draining=True)
        await trio.sleep(2.0)
        assert fleet.cloud.count(is_reclaimable=False) == 0
        nursery.cancel_scope.cancel()


async def test_the_next_holder_knows_the_need_after_a_loss_of_power(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """All hosts lose power under a small load, and nobody remembers it.

    Planned for most of what was found, servers would be ordered that nobody needs.
    """
    store = MemoryStore()
    first = Fleet(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.bring_work, BUSY / 4)
        nursery.start_soon(first.duty.run)
        await trio.sleep(25.0)
        nursery.cancel_scope.cancel()
    item = await store.read(NEEDED_KEY)
    assert item is not None
    assert not hasattr(item, "reason")
    assert msgspec.json.decode(item.value) == {ENGINE: 1}
    second = Fleet(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(second.duty.run)
        await trio.sleep(4.0)
        nursery.cancel_scope.cancel()
    assert second.cloud.count(is_reclaimable=True) == len(DOMAINS)


async def test_an_unreadable_need_is_none(
    autojump_clock: trio.testing.MockClock,
) -> None:
    store = MemoryStore()
    store.write(NEEDED_KEY, b"\xff not a document")
    fleet = Fleet(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.duty.run)
        await trio.sleep(4.0)
        nursery.cancel_scope.cancel()
    assert fleet.cloud.count(is_reclaimable=True) > len(DOMAINS)
