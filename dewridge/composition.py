"""Composition root of an entry host: builds its components and runs them."""

import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from random import Random
from typing import Any

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.configuration.service import ConfigurationService
from dewridge.fleet.dispatch import make_dispatch
from dewridge.fleet.model import Dispatch
from dewridge.fleet.orders import ControlClient, make_control_client
from dewridge.fleet.table import ServerTable
from dewridge.fleet.watcher import FleetWatcher
from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.lifecycle import ExitReason, Lifecycle
from dewridge.membership.model import Member
from dewridge.membership.registration import Registration
from dewridge.membership.service import MembershipService
from dewridge.metrics.registry import Metrics
from dewridge.peers.model import PeerIdentity
from dewridge.peers.transport import PeerTransport
from dewridge.policy.memorybudget import MemoryBudget
from dewridge.providers.cloud import make_cloud
from dewridge.providers.hostlist import make_host_list
from dewridge.providers.keyvalue import make_key_value
from dewridge.providers.model import Cloud, HostList, KeyValue
from dewridge.requests.service import RequestService
from dewridge.sentinels import Failure
from dewridge.settings.schema import Settings
from dewridge.supervision.dumps import DumpCollector
from dewridge.supervision.tree import RestartLimitError, Supervisor


async def run_host(settings: Settings) -> ExitReason:
    """Run an entry host until it shuts down.

    A fenced host starts again as a new incarnation.

    Returns:
        LEFT after a graceful shutdown, FAILED if a task reached its restart limit.
    """
    while True:
        exit_reason = await _run_incarnation(settings)
        if exit_reason is not ExitReason.FENCED:
            return exit_reason
        log.warning("starting as a new incarnation")


async def _run_incarnation(settings: Settings) -> ExitReason:
    lifecycle = Lifecycle()
    async with AsyncExitStack() as stack:
        external = await _open_external_services(settings, stack)
        host = _build_host(settings, lifecycle, external)
        exit_reason = ExitReason.LEFT
        try:
            await _run_components(host)
        except* RestartLimitError as group:
            log.error("restart limit reached: {}", group.exceptions[0])
            exit_reason = ExitReason.FAILED
    return ExitReason.FENCED if lifecycle.fenced.is_set() else exit_reason


async def _run_components(host: "Host") -> None:
    """Run an incarnation's components until it has shut down or was fenced."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, host.lifecycle)
        nursery.start_soon(host.supervisor.run)
        await host.lifecycle.wait()
        if not host.lifecycle.fenced.is_set():
            await host.leave()
        nursery.cancel_scope.cancel()


async def _handle_signals(lifecycle: Lifecycle) -> None:
    # A closed terminal sends SIGHUP, whose default effect would cut all answers.
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*numbers) as signals:
        async for _ in signals:
            lifecycle.start_leaving()


@dataclass(frozen=True)
class ExternalServices:
    """Clients of the services that an incarnation uses, and its metrics."""

    metrics: Metrics
    key_value: KeyValue
    host_list: HostList
    cloud: Cloud
    dispatch: Dispatch
    orders: ControlClient


async def _open_external_services(
    settings: Settings, stack: AsyncExitStack
) -> ExternalServices:
    metrics = Metrics()
    enter = stack.enter_async_context
    platform = settings.platform
    timeout = platform.call_timeout
    connect_timeout = settings.peers.connect_timeout
    return ExternalServices(
        metrics,
        await enter(
            make_key_value(platform.key_value, timeout=timeout, metrics=metrics)
        ),
        await enter(
            make_host_list(platform.host_list, timeout=timeout, metrics=metrics)
        ),
        await enter(make_cloud(platform.cloud, timeout=timeout, metrics=metrics)),
        await enter(make_dispatch(metrics=metrics, connect_timeout=connect_timeout)),
        await enter(make_control_client(metrics=metrics, timeout=timeout)),
    )


@dataclass(frozen=True)
class Host:
    """The connected components of one incarnation."""

    settings: Settings
    lifecycle: Lifecycle
    external: ExternalServices
    peers: PeerTransport
    membership: MembershipService
    registration: Registration
    configuration: ConfigurationService
    watcher: FleetWatcher
    requests: RequestService
    memory: MemoryBudget
    supervisor: Supervisor
    dumps: DumpCollector
    close_frontend: trio.Event = field(default_factory=trio.Event)
    frontend_closed: trio.Event = field(default_factory=trio.Event)

    async def leave(self) -> None:
        """Shut down without losing a request: hand off all requests, then close.

        New requests are already rejected. The handoff runs concurrently with
        informing the peers and the platform: on a slow host these took 1.3 s of
        the 2 s that a reclaim may leave. The frontend closes last so that callers
        can read their answers to the end.
        """
        max_seconds = self.settings.frontend.drain_seconds
        drain_time = self.lifecycle.compute_drain_time(max_seconds)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.membership.leave)
            nursery.start_soon(self.registration.remove)
            await self.requests.drain(drain_time, self.lifecycle.get_answer_grace())
        self.close_frontend.set()
        with trio.move_on_after(self.lifecycle.compute_drain_time(max_seconds)):
            await self.frontend_closed.wait()
        log.info("left")

    async def run_frontend(self) -> None:
        """Run the HTTP interface for callers and operators."""
        # quart and hypercorn are slow to import. Imported here, they do not delay the
        # components that peers need.
        from dewridge.frontend.app import build_app  # noqa: PLC0415
        from dewridge.frontend.server import serve  # noqa: PLC0415

        app = build_app(
            settings=self.settings,
            requests=self.requests,
            configuration=self.configuration,
            membership=self.membership,
            usage=self.requests.read_usage_everywhere,
            dumps=self.dumps,
            metrics=self.external.metrics,
            is_leaving=self.lifecycle.leaving.is_set,
        )
        name = self.settings.host.id
        await serve(
            app,
            self.settings.frontend,
            self.close_frontend,
            lambda address: log.info("host {} serves at {}", name, address),
            self.external.metrics,
            self.memory,
        )
        self.frontend_closed.set()


def make_member(settings: Settings, incarnation: Incarnation) -> Member:
    """Return the membership entry of this host, from its settings."""
    peers, frontend = settings.peers, settings.frontend
    return Member(
        HostId(settings.host.id),
        incarnation,
        FailureDomain(settings.host.failure_domain),
        peers.advertised or f"{peers.address}:{peers.port}",
        frontend.advertised or f"{frontend.address}:{frontend.port}",
    )


def _build_host(
    settings: Settings, lifecycle: Lifecycle, external: ExternalServices
) -> Host:
    """Build and connect all components of one incarnation."""
    local_member = make_member(settings, Incarnation(time.time_ns() // 1000))
    seed = Random(f"{local_member.host}/{local_member.incarnation}").randrange(2**32)
    metrics, platform = external.metrics, settings.platform
    memory = MemoryBudget(
        round(settings.host.memory_mb * 1_000_000 * settings.host.intake_share)
    )
    peers = PeerTransport(
        settings=settings.peers,
        deployment=settings.host.deployment,
        local_identity=PeerIdentity(
            local_member.host, local_member.incarnation, local_member.failure_domain
        ),
        metrics=metrics,
        memory=memory,
    )
    registration = Registration(
        external.key_value, platform.prefix, settings.peers.seeds, local_member
    )
    membership = MembershipService(
        settings=settings.membership,
        peers=peers,
        local_member=local_member,
        find_seeds=registration.find_seeds,
        metrics=metrics,
        seed=seed,
        on_fenced=lifecycle.fenced.set,
    )
    peers.check_peer = membership.check_peer
    configuration = ConfigurationService(
        settings=platform,
        key_value=external.key_value,
        peers=peers,
        membership=membership,
        rumors=membership,
        metrics=metrics,
        seed=seed,
    )
    servers = ServerTable()
    watcher = FleetWatcher(
        settings=platform,
        table=servers,
        host_list=external.host_list,
        cloud=external.cloud,
        membership=membership,
        rumors=membership,
        metrics=metrics,
        on_local_reclaim=lifecycle.start_leaving,
    )
    requests = RequestService(
        settings=settings.requests,
        peers=peers,
        membership=membership,
        rumors=membership,
        key_value=external.key_value,
        key_prefix=platform.prefix,
        writes_per_second=platform.writes_per_second,
        configuration=configuration.current,
        servers=servers,
        dispatch=external.dispatch,
        admission_gate=_make_admission_gate(lifecycle, configuration),
        metrics=metrics,
        seed=seed,
        orders=external.orders,
    )
    supervision = settings.supervision
    host = Host(
        settings,
        lifecycle,
        external,
        peers,
        membership,
        registration,
        configuration,
        watcher,
        requests,
        memory,
        Supervisor("host", supervision.restarts, supervision.window),
        DumpCollector(supervision.dump_timeout),
    )
    _add_tasks(host)
    _add_dumps(host)
    return host


def _make_admission_gate(
    lifecycle: Lifecycle, configuration: ConfigurationService
) -> Callable[[], Failure | None]:
    def check_admission() -> Failure | None:
        if lifecycle.leaving.is_set():
            return Failure(ResultCode.HOST_LEAVING, "use another entry host", 0.0)
        return configuration.check_fresh()

    return check_admission


def _add_tasks(host: Host) -> None:
    add = host.supervisor.add
    add("peers", host.peers.run)
    add("membership", host.membership.run)
    add("registration", host.registration.run)
    add("configuration", host.configuration.run)
    add("fleet", host.watcher.run)
    for name, run in host.requests.list_tasks():
        add(f"requests/{name}", run)
    add("frontend", host.run_frontend)


def _add_dumps(host: Host) -> None:
    add = host.dumps.add
    add("peers", host.peers.describe)
    add("membership", host.membership.describe)
    add("configuration", host.configuration.describe)
    add("fleet", host.watcher.describe)
    add("requests", host.requests.describe)
    add("tasks", _make_async(host.supervisor.describe))


def _make_async(
    describe: Callable[[], dict[str, object]],
) -> Callable[[], Awaitable[Any]]:
    async def describe_async() -> Any:
        return describe()

    return describe_async
