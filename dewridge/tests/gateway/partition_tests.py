"""Tests of gateways that are partitioned from the backend servers."""

from contextlib import AsyncExitStack

import pytest
import trio

from dewridge.tests.gateway.partitions import (
    LinkedFleet,
    NewConnections,
    OpenConnections,
)
from dewridge.tests.gateway.pushback import open_fleet
from dewridge.tests.gateway.world import World, answer_ok

CONTACT_SECONDS = 3.0
"""Seconds after the start of a partition from which callers must be served."""
MIN_RELATIVE_SHARE = 2 / 3
"""Share served by partitioned hosts, relative to the share of the others."""


@pytest.mark.parametrize("opened", list(OpenConnections))
@pytest.mark.parametrize("new", list(NewConnections))
async def test_callers_of_partitioned_hosts_are_served(
    new: NewConnections, opened: OpenConnections
) -> None:
    """Guards against hosts that refuse callers while their peers reach the servers."""
    host_count, cut_count = 9, 5
    statuses: dict[int, list[int]] = {number: [] for number in range(host_count)}
    async with AsyncExitStack() as stack:
        fleet = await open_fleet(stack, host_count)
        linked = LinkedFleet(fleet)
        for number in range(4):
            await linked.add_server(f"s-{number}", answer_ok)

        async def send(number: int, world: World, seconds: float) -> None:
            statuses[number] += await fleet.send(world, seconds, rate=5.0)

        async def send_to_all(seconds: float) -> None:
            async with trio.open_nursery() as nursery:
                for number, world in enumerate(fleet.worlds):
                    nursery.start_soon(send, number, world, seconds)

        await send_to_all(0.5)
        linked.cut(range(cut_count), new, opened)
        await send_to_all(CONTACT_SECONDS)
        for known in statuses.values():
            known.clear()
        await send_to_all(2.0)
    shares = [known.count(200) / len(known) for known in statuses.values()]
    elsewhere = sum(shares[cut_count:]) / (host_count - cut_count)
    assert elsewhere > 0.98
    assert sum(shares[:cut_count]) / cut_count >= MIN_RELATIVE_SHARE * elsewhere
