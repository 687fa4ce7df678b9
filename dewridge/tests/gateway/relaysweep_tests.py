"""Tests of calls that a relay gets at each moment of its grace period."""

from contextlib import AsyncExitStack
from itertools import product

import pytest
import trio

from dewridge.gateway.ingress import serve_connection
from dewridge.gateway.reach.relay import Relay
from dewridge.policy.shutdown import schedule_shutdown
from dewridge.tests.gateway.gracesweep import (
    SERVERS,
    Arrival,
    GraceSweep,
    Sweeper,
    list_requests,
    make_routes,
)
from dewridge.tests.gateway.leaving_tests import leave
from dewridge.tests.gateway.partitions import (
    LinkedFleet,
    NewConnections,
    OpenConnections,
)
from dewridge.tests.gateway.pushback import open_fleet, register_hosts
from dewridge.tests.gateway.world import ENGINE, PLAIN, World, make_configuration

GRACE = 2.0
STEP = 0.08
LATE_SHARE = 0.4
"""Share of the grace period after which no stream is begun that may outlast it."""
REFUSAL_SECONDS = 1.0
"""Seconds within which a refused caller has its answer: its host asks three relays."""

pytestmark = pytest.mark.timeout(60)


async def run_relay(
    world: World, task_status: trio.TaskStatus[tuple[trio.CancelScope, str]]
) -> None:
    """Relay calls of peers until cancelled, as a process that ends."""
    relay = Relay(world.state)

    async def accept(stream: trio.SocketStream) -> None:
        await serve_connection(stream, world.state.relay_ingress, relay.serve)

    with trio.CancelScope() as scope:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        task_status.started((scope, f"127.0.0.1:{port}"))
        await trio.serve_listeners(accept, listeners)


async def play_relay_sweep(hosts: int) -> GraceSweep:
    """Have a relay leave while a partitioned host has requests to relay."""
    sweep = GraceSweep(GRACE, schedule_shutdown(0.0, GRACE))
    async with AsyncExitStack() as stack:
        fleet = await open_fleet(stack, hosts, grace=GRACE)
        nursery = await stack.enter_async_context(trio.open_nursery())
        for world in fleet.worlds:
            configuration = make_configuration(2, routes=make_routes())
            world.state.configuration.apply(configuration)
            for ingress in (world.state.ingress, world.state.relay_ingress):
                ingress.endpoint.places.limit = 10_000
        linked = LinkedFleet(fleet)
        sender, leaving = fleet.worlds[:2]
        scope, address = await nursery.start(run_relay, leaving)
        entries = list(sender.state.hosts.list_peers())
        relays = {each.id: each.peers for each in entries}
        register_hosts(fleet.worlds, relays | {leaving.state.host: address})
        signal_at = trio.current_time() + 1.0
        sweeper = Sweeper(sender, sweep, signal_at)
        for service, number in product((PLAIN, ENGINE), range(SERVERS)):
            await linked.add_server(f"{service}-{number}", sweeper.serve, service)
        linked.cut([0], NewConnections.REFUSED, OpenConnections.RESET)
        for path in ("/read/short/first", "/draft/short/first"):
            await sender.request(path)
        sweep.requests.extend(list_requests(sweep, STEP))
        async with trio.open_nursery() as callers:
            for request in sweep.requests:
                request.arrival = Arrival.NEW
                callers.start_soon(sweeper.send, request)
            await trio.sleep_until(signal_at)
            leaving.state.is_ready = False
            await leave(leaving)
            scope.cancel()
            sweep.exited_at = sweeper.get_age()
            # Streams of other relays go on, and are of no interest any more.
            await trio.sleep(1.0)
            callers.cancel_scope.cancel()
        nursery.cancel_scope.cancel()
    return sweep


@pytest.mark.parametrize("hosts", [2, 3])
async def test_calls_at_each_moment_of_a_relays_grace_period(hosts: int) -> None:
    """Guards against calls that a relay passes on late and cuts at its exit."""
    sweep = await play_relay_sweep(hosts)
    ended = [each for each in sweep.requests if each.answered_at < float("inf")]
    passed_on = [each for each in ended if each.id in sweep.runs]
    withheld = [each for each in ended if each.id not in sweep.runs]
    cut = [
        each
        for each in passed_on
        if not each.is_complete and not each.has_reached_deadline
    ]
    latest = LATE_SHARE * GRACE
    if hosts == 2:
        # As a last resort, the relay takes streams for a part of its grace period.
        assert [each for each in cut if each.sent_at > latest] == []
        assert len(withheld) > 50
        late = [each for each in sweep.requests if each.sent_at > latest]
        assert [x for x in late if x.may_outlast_host and x.id in sweep.runs] == []
    else:
        assert cut == []
        assert [each for each in passed_on if each.status in {502, 503}] == []
    assert len(passed_on) > 40
    assert {each.status for each in withheld} <= {503}
    assert [x for x in withheld if x.answered_at - x.sent_at > REFUSAL_SECONDS] == []
