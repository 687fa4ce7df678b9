"""Tests of server orders by the holder of the duties."""

from dataclasses import replace

import msgspec
import pytest
import trio
import trio.testing

from dewridge.gateway.duties import HolderElection
from dewridge.gateway.model import Scaling, ServerRecord
from dewridge.gateway.scaling import (
    NEEDED_SERVERS_KEY,
    POLL_INTERVAL,
    SHRINK_DELAY,
    ScalingDuty,
)
from dewridge.ids import BackendServerId, FailureDomain, ServerName
from dewridge.platform.cloud import CallOutcome, Cloud, DutyTerm, Order
from dewridge.platform.store import Write
from dewridge.tests.gateway.duties_tests import AlwaysHolder
from dewridge.tests.gateway.memorystore import MemoryStore
from dewridge.tests.gateway.world import ENGINE, make_configuration, make_state

DOMAINS = [FailureDomain(name) for name in ("a", "b", "c")]
FOUR_SERVER_RATE = 100_000.0
"""Prompt tokens per second for which four servers are needed at the default prefill
rate, with the headroom that the plan leaves."""


class OrderRecordingCloud(Cloud):
    """Records the newest order of each server pool.

    Attributes:
        ordered: number of ordered servers by failure domain and whether reclaimable.
        is_dry: whether no further reclaimable servers are available.
        latency: seconds until an order is answered.
        on_demand_ordered: set at the first order of on-demand servers.
        log: failure domain and kind of each order, in the order of arrival.
        loses_answers: whether orders are carried out but answered as failed.
    """

    def __init__(self) -> None:
        self.ordered: dict[tuple[FailureDomain, bool], int] = {}
        self.is_dry = False
        self.latency = 0.0
        self.on_demand_ordered = trio.Event()
        self.log: list[tuple[FailureDomain, bool]] = []
        self.loses_answers = False

    async def order_servers(self, term: DutyTerm, order: Order) -> CallOutcome:
        """Record an order."""
        await trio.sleep(self.latency)
        pool = order.failure_domain, order.is_reclaimable
        self.log.append(pool)
        grows = order.count > self.ordered.get(pool, 0)
        if self.is_dry and order.is_reclaimable and grows:
            return CallOutcome.NONE_AVAILABLE
        self.ordered[pool] = order.count
        if order.count and not order.is_reclaimable:
            self.on_demand_ordered.set()
        return CallOutcome.UNKNOWN if self.loses_answers else CallOutcome.ACCEPTED

    def count(self, *, is_reclaimable: bool) -> int:
        """Return the number of ordered servers of a kind."""
        return sum(n for (_, kind), n in self.ordered.items() if kind is is_reclaimable)


class LateHolder(AlwaysHolder):
    """An election that this host wins only after `has_won` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.has_won = False

    def find_active_term(self) -> DutyTerm | None:
        """Return the term; None before the election."""
        return super().find_active_term() if self.has_won else None


class Fleet:
    """A holder of the duties and three reclaimable servers in each failure domain."""

    def __init__(
        self, store: MemoryStore, election: HolderElection | None = None
    ) -> None:
        configuration = make_configuration()
        scaling = Scaling(1, 8, 4.0, 0.2, dict.fromkeys(DOMAINS, 1.0))
        engine = replace(configuration.services[ENGINE], scaling=scaling)
        services = {**configuration.services, ENGINE: engine}
        self.state = make_state(replace(configuration, services=services))
        self.cloud = OrderRecordingCloud()
        self.duty = ScalingDuty(
            self.state, election or AlwaysHolder(), store, self.cloud
        )
        for domain in DOMAINS:
            for number in range(3):
                self.list_server(domain, number)

    def list_server(
        self, domain: FailureDomain, number: int, *, is_draining: bool = False
    ) -> None:
        """List a reclaimable server as ready or as draining."""
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
        """Reclaim all servers of a domain; no more reclaimable ones are available."""
        self.cloud.is_dry = True
        for number in range(3):
            self.list_server(domain, number, is_draining=True)

    async def add_demand(self, rate: float) -> None:
        """Record a constant demand in prompt tokens per second, indefinitely."""
        while True:
            self.state.record_remote_demand(ENGINE, rate / 10, trio.current_time())
            await trio.sleep(0.1)


async def test_after_a_reclaim_on_demand_servers_are_ordered_for_the_next_one(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against ordering on-demand servers only at the second of two reclaims.

    A domain is reclaimed with no replacement available, and another one may follow six
    seconds later. If on-demand servers were ordered only then, half of the answers
    during four seconds would be late. They are released some time after the last
    reclaim.
    """
    fleet = Fleet(MemoryStore())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.add_demand, FOUR_SERVER_RATE)
        nursery.start_soon(fleet.duty.run)
        await trio.sleep(20.0)
        assert fleet.cloud.count(is_reclaimable=False) == 0
        fleet.reclaim(DOMAINS[0])
        await trio.sleep(1.5)
        assert fleet.cloud.count(is_reclaimable=False) >= 1
        await trio.sleep(20.0)
        assert fleet.cloud.count(is_reclaimable=False) == 0
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("wanted", [1, 3, 5])
@pytest.mark.parametrize("lost", [1, 3, 5])
async def test_an_order_of_unknown_outcome_does_not_stay_in_force(
    autojump_clock: trio.testing.MockClock, lost: int, wanted: int
) -> None:
    """Guards against servers that nobody needs and that are paid for all day.

    An order is carried out but its answer is lost, and the plan returns to the number
    that was accepted before it. Orders can't be read back, so that number has to be
    ordered again.
    """
    fleet = Fleet(MemoryStore())
    pool = DOMAINS[0], True

    async def order(count: int, seconds: float) -> None:
        with trio.move_on_after(seconds):
            while True:
                due = Order(ENGINE, DOMAINS[0], True, count)
                if fleet.duty._is_due(due, boot_time=4.0):
                    await fleet.duty._send_order(due)
                await trio.sleep(POLL_INTERVAL)

    await order(wanted, 1.5)
    assert fleet.cloud.ordered[pool] == wanted
    fleet.cloud.loses_answers = True
    await order(lost, SHRINK_DELAY + 2.5)
    assert fleet.cloud.ordered[pool] == lost
    fleet.cloud.loses_answers = False
    await order(wanted, SHRINK_DELAY + 2.5)
    assert fleet.cloud.ordered[pool] == wanted
    calls = len(fleet.cloud.log)
    fleet.duty._accepted_at[ENGINE, *pool] = trio.current_time()
    await order(wanted, 3.0)
    assert len(fleet.cloud.log) == calls


async def test_a_reduction_after_an_order_of_unknown_outcome_is_delayed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against servers that are released between two waves of reclaims."""
    fleet = Fleet(MemoryStore())
    pool = DOMAINS[0], True
    fleet.cloud.loses_answers = True
    await fleet.duty._send_order(Order(ENGINE, *pool, 5))
    fleet.cloud.loses_answers = False
    lower = Order(ENGINE, *pool, 3)
    assert not fleet.duty._is_due(lower, boot_time=4.0)
    await trio.sleep(SHRINK_DELAY - 0.1)
    assert not fleet.duty._is_due(lower, boot_time=4.0)
    await trio.sleep(0.2)
    assert fleet.duty._is_due(lower, boot_time=4.0)


async def test_orders_after_a_reclaim_do_not_wait_for_each_other(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against late on-demand servers while the cloud API answers slowly.

    An order for each failure domain and kind is due after a reclaim. Sent one after the
    other at 0.4 s each, the last on-demand servers were ordered seconds late, when the
    next domain was already being reclaimed.
    """
    fleet = Fleet(MemoryStore())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.add_demand, 2 * FOUR_SERVER_RATE)
        nursery.start_soon(fleet.duty.run)
        await trio.sleep(20.0)
        fleet.cloud.latency = 0.4
        for domain in DOMAINS:
            fleet.reclaim(domain)
        await fleet.cloud.on_demand_ordered.wait()
        await trio.sleep(0.1)
        ordered_at_once = fleet.cloud.count(is_reclaimable=False)
        await trio.sleep(4.0)
        assert ordered_at_once == fleet.cloud.count(is_reclaimable=False) > 3
        nursery.cancel_scope.cancel()


async def test_reclaimable_servers_of_a_domain_are_ordered_before_on_demand_ones(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against paying for on-demand servers that nobody needs.

    The cloud keeps the minimum of a domain, which counts both kinds. If the order for
    no on-demand servers arrives first, one of those found at the start stays all day.
    """
    for _ in range(5):
        fleet = Fleet(MemoryStore())
        fleet.cloud.latency = 0.1
        with trio.move_on_after(10.0):
            await fleet.duty.run()
        for domain in DOMAINS:
            kinds = [kind for place, kind in fleet.cloud.log if place == domain]
            assert kinds[:2] == [True, False]


async def test_a_holder_elected_during_reclaims_orders_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against seconds without orders when the holder is lost during reclaims.

    The holder fails just as a domain is reclaimed. Its successor must not begin to
    observe servers and demand only then: it ordered nothing for three seconds, and with
    the demand's peak forgotten too little, while half of the requests were refused.
    """
    election = LateHolder()
    fleet = Fleet(MemoryStore(), election)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.add_demand, FOUR_SERVER_RATE)
        nursery.start_soon(fleet.duty.run)
        with trio.move_on_after(9.0):
            await fleet.add_demand(FOUR_SERVER_RATE)
        await trio.sleep(9.0)
        fleet.reclaim(DOMAINS[0])
        await trio.sleep(1.0)
        election.has_won = True
        await trio.sleep(POLL_INTERVAL + 0.1)
        # Twice the rate needs eight servers; three are left if a domain is lost next.
        assert fleet.cloud.count(is_reclaimable=False) >= 4
        nursery.cancel_scope.cancel()


async def test_a_holder_takes_over_the_needed_servers_of_its_predecessor(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a plan that drops at a change of the holder.

    Each host measures the pace of the servers by its own requests. A successor that
    measured a faster pace would order a part of the servers that its predecessor
    needed, in the middle of reclaims.
    """
    store = MemoryStore()
    await store.change(
        writes=(Write(NEEDED_SERVERS_KEY, msgspec.json.encode({ENGINE: 7})),)
    )
    election = LateHolder()
    fleet = Fleet(store, election)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.add_demand, FOUR_SERVER_RATE / 4)
        nursery.start_soon(fleet.duty.run)
        await trio.sleep(30.0)
        election.has_won = True
        await trio.sleep(POLL_INTERVAL + 0.1)
        assert fleet.cloud.count(is_reclaimable=True) >= 7
        await trio.sleep(30.0)
        assert fleet.cloud.count(is_reclaimable=True) < 7
        nursery.cancel_scope.cancel()


async def test_a_reduced_order_is_not_treated_as_a_reclaim(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against treating servers that leave after a reduced order as reclaimed.

    On-demand servers would be ordered in their place.
    """
    fleet = Fleet(MemoryStore())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.add_demand, 0.75 * FOUR_SERVER_RATE)
        nursery.start_soon(fleet.duty.run)
        await trio.sleep(20.0)
        for domain in DOMAINS:
            for number in range(2):
                fleet.list_server(domain, number, is_draining=True)
        await trio.sleep(2.0)
        assert fleet.cloud.count(is_reclaimable=False) == 0
        nursery.cancel_scope.cancel()


async def test_the_next_holder_knows_the_needed_servers_after_a_power_loss(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against ordering too many servers after a power loss of all hosts.

    The load was small, but no host has a record of it. A plan based on the servers that
    are found would order servers that are not needed.
    """
    store = MemoryStore()
    first = Fleet(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.add_demand, FOUR_SERVER_RATE / 4)
        nursery.start_soon(first.duty.run)
        await trio.sleep(25.0)
        nursery.cancel_scope.cancel()
    item = await store.read(NEEDED_SERVERS_KEY)
    assert item is not None
    assert not hasattr(item, "reason")
    assert msgspec.json.decode(item.value) == {ENGINE: 1}
    second = Fleet(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(second.duty.run)
        await trio.sleep(4.0)
        nursery.cancel_scope.cancel()
    assert second.cloud.count(is_reclaimable=True) == len(DOMAINS)


async def test_unreadable_needed_servers_are_ignored(
    autojump_clock: trio.testing.MockClock,
) -> None:
    store = MemoryStore()
    store.write(NEEDED_SERVERS_KEY, b"\xff not a document")
    fleet = Fleet(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.duty.run)
        await trio.sleep(4.0)
        nursery.cancel_scope.cancel()
    assert fleet.cloud.count(is_reclaimable=True) > len(DOMAINS)


@pytest.mark.parametrize(
    ("headers", "is_replaced"),
    [
        ([(b"server-limit", b"0.5")], True),
        ([(b"retry-after", b"60")], True),
        ([(b"retry-after", b"3")], False),
        ([], False),
    ],
)
async def test_servers_that_ask_for_fewer_requests_for_long_are_replaced(
    autojump_clock: trio.testing.MockClock,
    headers: list[tuple[bytes, bytes]],
    is_replaced: bool,
) -> None:
    """Guards against counting on servers that take next to nothing."""
    fleet = Fleet(MemoryStore())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.add_demand, 2 * FOUR_SERVER_RATE)
        nursery.start_soon(fleet.duty.run)
        await trio.sleep(20.0)
        assert fleet.cloud.count(is_reclaimable=False) == 0
        for domain in DOMAINS[:2]:
            for number in range(3):
                server = BackendServerId(f"s-{domain}{number}")
                fleet.state.pushback.record_answer(server, 503, headers)
        await trio.sleep(2.0)
        ordered = fleet.cloud.count(is_reclaimable=False)
        nursery.cancel_scope.cancel()
    assert (ordered > 0) is is_replaced
