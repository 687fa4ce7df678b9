"""Hosts that are partitioned from all servers, but not from anything else."""

import random
import time
from typing import TYPE_CHECKING

import msgspec
import trio

from dewridge.platform.names import SERVERS_PREFIX
from dewridge.platform.servers import decode_server
from dewridge.platform.store import Item
from dewridge.sentinels import Failure
from dewridge.tests.gateway.partitions import (
    CuttableLink,
    NewConnections,
    OpenConnections,
)
from dewridge.tests.soak.records import Partition

if TYPE_CHECKING:
    from dewridge.tests.soak.stage import Gateway, SoakEnvironment

MIN_SECONDS, MAX_SECONDS = 5.0, 9.0
"""Range of the duration of a partition: longer than the time in which hosts must find
out."""


START_SECONDS = 0.3
"""Seconds in which the start of a partition may interrupt requests."""


class ServerPaths:
    """The links of one gateway to all servers."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._links: dict[str, CuttableLink] = {}
        self._cut: tuple[NewConnections, OpenConnections] | None = None

    def rewrite(self, item: Item) -> Item:
        """Return a server's record with the address of this gateway's link to it.

        Entries that name no server stay as they are.
        """
        if not item.key.startswith(SERVERS_PREFIX) or item.removed:
            return item
        if isinstance(decode_server(item), Failure):
            return item
        record = msgspec.json.decode(item.value)
        record["address"] = self._find_link(record["address"]).address
        return msgspec.structs.replace(item, value=msgspec.json.encode(record))

    def _find_link(self, target: str) -> CuttableLink:
        link = self._links.get(target)
        if link is None:
            link = self._links[target] = CuttableLink(target)
            link.open()
            self._nursery.start_soon(link.run)
            if self._cut is not None:
                link.cut(*self._cut)
        return link

    def find_target(self, address: str) -> str:
        """Return the address of the server behind a link; empty if there is none."""
        return next(
            (target for target, link in self._links.items() if link.address == address),
            "",
        )

    def cut(self, new: NewConnections, opened: OpenConnections) -> None:
        """Cut all links."""
        self._cut = (new, opened)
        for link in self._links.values():
            link.cut(new, opened)

    def end(self, target: str) -> None:
        """Refuse connections to a server that has ended.

        The link to it would accept them first, so that the server seemed to run.
        """
        if target in self._links:
            self._links[target].end()

    def heal(self) -> None:
        """End the cut."""
        self._cut = None
        for link in self._links.values():
            link.heal()


async def partition_hosts(
    environment: "SoakEnvironment", at: float, rng: random.Random
) -> None:
    """Partition some hosts from all servers for a time, some seconds from now."""
    await trio.sleep(at)
    count = rng.randint(1, len(environment.gateways) - 1)
    await partition_some(environment, rng.sample(environment.gateways, count), rng)


async def partition_some(
    environment: "SoakEnvironment", hosts: list["Gateway"], rng: random.Random
) -> None:
    """Partition certain hosts from all servers for a time, from now on."""
    new, opened = rng.choice(list(NewConnections)), rng.choice(list(OpenConnections))
    begin = time.monotonic()
    for gateway in hosts:
        _get_paths(gateway).cut(new, opened)
        # Requests that were in flight may be lost with their connections.
        environment.record_disturbance(gateway.name, START_SECONDS)
    await trio.sleep(rng.uniform(MIN_SECONDS, MAX_SECONDS))
    for gateway in hosts:
        _get_paths(gateway).heal()
    names = frozenset(gateway.name for gateway in hosts)
    partition = Partition(names, begin, time.monotonic())
    environment.history.partitions.append(partition)


def _get_paths(gateway: "Gateway") -> ServerPaths:
    assert gateway.paths is not None
    return gateway.paths
