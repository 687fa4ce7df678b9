"""Gateways and requests for tests of servers that ask for fewer requests."""

from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from types import MappingProxyType

import msgspec
import trio

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.composition import fan_out
from dewridge.gateway.departures import apply_reported_rejections
from dewridge.gateway.hosts import HOSTS_PREFIX, HostEntry
from dewridge.gateway.ingress import serve_connection
from dewridge.gateway.limitsharing import (
    apply_reported_limits,
    list_limit_updates,
)
from dewridge.gateway.reach.relay import Relay
from dewridge.gateway.reports import PeriodicReport
from dewridge.gateway.state import GatewayState
from dewridge.gateway.upkeep import UPKEEP_PERIOD
from dewridge.gateway.versions.freshness import ConfirmedBy
from dewridge.ids import FailureDomain, HostId, ServiceName
from dewridge.platform.store import Item, Listing
from dewridge.tests.gateway.versionlinks import (
    MessageNetwork,
    connect_link,
    list_others,
)
from dewridge.tests.gateway.world import (
    DOMAIN,
    PLAIN,
    CallerAnswer,
    Script,
    ScriptedServer,
    ServerExchange,
    World,
    open_world,
)

WINDOW = 4.0
"""Seconds over which the requests at a server are counted."""

TOLD_AFTER = 0.5
"""Seconds after a host's first answer with a limit from which its requests count."""

REPORT_PERIOD = 0.1


@dataclass
class Arrivals:
    """Times at which requests reached a server, by the host that sent them."""

    times: list[tuple[float, HostId]] = field(default_factory=list)
    told_at: dict[HostId, float] = field(default_factory=dict)

    def record(self, exchange: ServerExchange) -> HostId:
        """Record a request; its id begins with the name of the host that sent it."""
        host = HostId(exchange.headers[b"x-attempt-id"].decode().split("/")[0])
        self.times.append((trio.current_time(), host))
        return host

    def count_max(self, after: float = 0.0) -> int:
        """Return the most requests of informed hosts in any window."""
        counted = sorted(
            at
            for at, host in self.times
            if at >= max(after, self.told_at.get(host, at) + TOLD_AFTER)
        )
        return max(
            (sum(begin <= at < begin + WINDOW for at in counted) for begin in counted),
            default=0,
        )


@dataclass
class Fleet:
    """Gateways that know each other and the same servers."""

    worlds: list[World]
    network: MessageNetwork
    silent: set[HostId] = field(default_factory=set)
    """Hosts that their peers know to be silent."""
    without_store: set[HostId] = field(default_factory=set)
    """Hosts that do not reach the store; peers confirm the configuration to them."""
    _number: int = 0

    async def add_server(
        self,
        name: str,
        script: Script,
        service: ServiceName = PLAIN,
        version: str = "",
    ) -> ScriptedServer:
        """Start a server that all gateways know which reach the store."""
        server = await self.worlds[0].add_server(name, script, service, version)
        record = self.worlds[0].state.servers.find(server.id)
        assert record is not None
        for world in self.worlds[1:]:
            if world.state.host not in self.without_store:
                world.state.servers.update(record, trio.current_time())
        return server

    async def exchange_reports(self) -> None:
        """Deliver the reports of all gateways to each other forever.

        The configuration and the versions are confirmed as well, as by reads of the
        store.
        """
        number = 0
        while True:
            number += 1
            now = read_boot_clock()
            for world in self.worlds:
                world.state.configuration.confirm(now)
                if world.state.host not in self.without_store:
                    world.state.versions.view.confirm(now, ConfirmedBy.STORE)
            reports = [world.state.make_report(number) for world in self.worlds]
            for world in self.worlds:
                exchange = self.network.exchanges.get(world.state.host)
                for report in reports:
                    copy = msgspec.convert(msgspec.to_builtins(report), type(report))
                    world.state.sharing.apply_report(copy, trio.current_time())
                    if exchange is not None and report.host != world.state.host:
                        exchange.confirm(copy, now)
            await trio.sleep(REPORT_PERIOD)

    async def send(self, world: World, seconds: float, rate: float) -> list[int]:
        """Send requests to one gateway; return the status codes of the answers."""
        statuses: list[int] = []

        async def send_one(request_id: str) -> None:
            answer = await world.request("/read/a", request_id=request_id)
            statuses.append(answer.status)

        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                self._number += 1
                nursery.start_soon(send_one, f"{world.state.host}/{self._number}")
                await trio.sleep(1 / rate)
        return statuses


def apply_signals(state: GatewayState, report: PeriodicReport) -> None:
    """Apply what a report says that servers asked for."""
    apply_reported_limits(state, report)
    apply_reported_rejections(state, report)


def apply_reported_servers(state: GatewayState, report: PeriodicReport) -> None:
    """Apply what a report shows of servers and of their versions."""
    state.compare_releases(report)
    servers = report.totals.servers
    state.unknown_servers.record(servers, report.host, trio.current_time())


async def open_relay(world: World) -> str:
    """Relay requests of peers at a gateway; return its address for them."""
    state = world.state
    relay = Relay(state)

    async def accept(stream: trio.SocketStream) -> None:
        await serve_connection(stream, state.relay_ingress, relay.serve)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    world.nursery.start_soon(trio.serve_listeners, accept, listeners)
    world.nursery.start_soon(state.links.run)
    port = listeners[0].socket.getsockname()[1]
    return f"127.0.0.1:{port}"


def register_hosts(
    worlds: list[World],
    relays: Mapping[HostId, str] = MappingProxyType({}),
    domains: Mapping[HostId, FailureDomain] = MappingProxyType({}),
) -> None:
    """Enter all gateways in the table of hosts of each.

    Args:
        worlds: the gateways.
        relays: addresses for peers, of gateways that relay requests.
        domains: failure domains of the gateways that are not in the usual one.
    """
    items = []
    for world in worlds:
        host = world.state.host
        entry = HostEntry(
            host,
            1,
            world.address,
            relays.get(host, "127.0.0.1:2"),
            domains.get(host, DOMAIN),
            is_ready=True,
            relay_key=world.state.relay_key if host in relays else "",
        )
        items.append(Item(f"{HOSTS_PREFIX}{host}/1", msgspec.json.encode(entry), 1))
    for world in worlds:
        world.state.hosts.replace(Listing(tuple(items), revision=1))


async def open_fleet(stack: AsyncExitStack, count: int, **bounds: float) -> Fleet:
    """Start gateways that exchange reports."""
    worlds = [
        await stack.enter_async_context(
            open_world(None, host=HostId(f"host-{number}"), **bounds)
        )
        for number in range(count)
    ]
    relays = {world.state.host: await open_relay(world) for world in worlds}
    register_hosts(worlds, relays)
    for world in worlds:
        world.state.is_ready = True
        world.nursery.start_soon(check_silence, world)
        world.state.list_limits = partial(list_limit_updates, world.state)
        world.state.sharing.on_report = fan_out(
            partial(apply_signals, world.state),
            partial(apply_reported_servers, world.state),
        )
    fleet = Fleet(worlds, MessageNetwork(worlds[0].nursery))
    for world in worlds:
        list_live = partial(list_others, world.state, fleet.silent)
        address = relays[world.state.host]
        list_hosts = world.state.hosts.list_peers
        connect_link(world.state, fleet.network, address, list_hosts, list_live)
    worlds[0].nursery.start_soon(fleet.exchange_reports)
    return fleet


async def check_silence(world: World) -> None:
    """Check services that are silent forever, as the upkeep of a gateway does."""
    while True:
        world.state.check_silent_services()
        await trio.sleep(UPKEEP_PERIOD)


async def send_together(world: World, count: int, path: str) -> list[CallerAnswer]:
    """Send requests at the same time and return the answers."""
    answers: list[CallerAnswer] = []

    async def send(number: int) -> None:
        answers.append(await world.request(path, request_id=f"r-{number}"))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(send, number)
    return answers


@asynccontextmanager
async def open_single_host(retry_slack: float = 0.0) -> AsyncIterator[World]:
    """Start a gateway that knows that it is the only one."""
    async with open_world(host=HostId("host-0"), retry_slack=retry_slack) as world:
        register_hosts([world])
        yield world
