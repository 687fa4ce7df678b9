"""Composition root of a gateway: creates its components and runs their tasks."""

import random
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path
from typing import ParamSpec

import trio
from loguru import logger as log

from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.contention.accounts import connect_reports
from dewridge.gateway.datagrams import PacedSocket
from dewridge.gateway.departures import (
    apply_left_report,
    apply_peer_update,
    apply_store_calls,
    apply_suspect_report,
    handle_server_left,
    handle_server_returned,
)
from dewridge.gateway.directory import Directory
from dewridge.gateway.documents.fetching import DocumentPeers
from dewridge.gateway.documents.following import WATCH_WAIT
from dewridge.gateway.documents.parts import DocumentParts
from dewridge.gateway.documents.passing import DocumentLibrary, serve_peers
from dewridge.gateway.documents.startcheck import StartCheck
from dewridge.gateway.duties import HolderElection
from dewridge.gateway.echoes import SentReportTimes
from dewridge.gateway.endings.releasing import release_memory
from dewridge.gateway.hosts import HostEntry, HostTable, HostWatcher, Registration
from dewridge.gateway.ingress import IngressState, RequestHandler, serve_connection
from dewridge.gateway.intake.listeners import (
    Endpoint,
    ListenerName,
    accept_any_head,
    compute_intake_bytes,
    list_connection_limits,
    make_endpoint,
    wait_for_room,
)
from dewridge.gateway.limitsharing import list_limit_updates
from dewridge.gateway.measures import (
    count_received_bytes,
    count_store_call,
    observe_dependency_call,
)
from dewridge.gateway.model import CallerRequest, Limits
from dewridge.gateway.pool import ConnectionPool
from dewridge.gateway.reach.protocol import make_key_check
from dewridge.gateway.reach.relay import Relay
from dewridge.gateway.reloading import (
    SettingsLoader,
    SettingsReloader,
    compute_trust_period,
)
from dewridge.gateway.reports import REPORTED_WINDOWS
from dewridge.gateway.responder import Responder
from dewridge.gateway.rolloutduty import RolloutDuty
from dewridge.gateway.scaling import ScalingDuty
from dewridge.gateway.servers import ServerTable
from dewridge.gateway.serving import RequestProcessor
from dewridge.gateway.sharing import SharedReports
from dewridge.gateway.sharinglink import Recipients, ReportLink
from dewridge.gateway.shutdown.leaving import leave_fleet
from dewridge.gateway.shutdown.signals import handle_signals
from dewridge.gateway.state import GatewayState
from dewridge.gateway.suspectkeeping import SuspectPersistence
from dewridge.gateway.suspects import make_update_lister, make_urgent_lister
from dewridge.gateway.upkeep import run_upkeep
from dewridge.gateway.usage import UsageDuty
from dewridge.gateway.usagetelling import UsageReporter
from dewridge.gateway.versions.copies import StreamCopies
from dewridge.gateway.versions.copies import make_key as make_copy_key
from dewridge.gateway.versions.link import VersionLink
from dewridge.gateway.versions.origins import find_only_release
from dewridge.gateway.versions.releaseexchange import ReleaseExchange
from dewridge.gateway.versions.serversearch import ServerSearch
from dewridge.gateway.watching import StoreWatcher
from dewridge.http1.calls import ServiceClient
from dewridge.http1.sockets import limit_receive_buffers
from dewridge.ids import FailureDomain, HostId
from dewridge.metrics.registry import Metrics
from dewridge.platform.cloud import Cloud
from dewridge.platform.eras import StoreEra
from dewridge.platform.store import Store
from dewridge.policy.documentsources import LARGE_DOCUMENT_BYTES
from dewridge.policy.memorybudget import ConnectionPlaces, MemoryBudget
from dewridge.policy.pacing import DatagramPacer, compute_datagram_rate
from dewridge.policy.quota import QuotaLedger
from dewridge.policy.storeoutages import StoreOutages
from dewridge.settings.gateway import GatewaySettings
from dewridge.supervision.tree import Supervisor

ACCEPT_BACKLOG = 256
"""Connections that may wait to be accepted: allows bursts while the process is busy."""
ACCEPT_RETRY_DELAY = 0.1
"""Seconds after a failed accept; a lack of file descriptors lasts at least as long."""

Task = Callable[[], Awaitable[None]]
Arguments = ParamSpec("Arguments")


async def run_gateway(
    settings: GatewaySettings, path: Path, load: SettingsLoader
) -> None:
    """Run a gateway until it receives SIGTERM and has left the fleet.

    Args:
        settings: the initial settings.
        path: the file that they were read from.
        load: reads the file again after a change.
    """
    async with AsyncExitStack() as stack:
        gateway = _Gateway(settings, path, load)
        await gateway.open(stack)
        await gateway.run()


class _Gateway:
    """Holds the components of a running gateway."""

    def __init__(
        self, settings: GatewaySettings, path: Path, load: SettingsLoader
    ) -> None:
        self._settings = settings
        services = settings.services
        metrics = Metrics()
        observe_call = partial(observe_dependency_call, metrics)
        store = ServiceClient(
            "store", services.store, services.store_timeout, observe_call
        )
        watches = ServiceClient("store watches", services.store, services.store_timeout)
        cloud = ServiceClient(
            "cloud", services.cloud, services.cloud_timeout, observe_call
        )
        count_call = partial(count_store_call, metrics)
        self._era = StoreEra()
        count_bytes = partial(count_received_bytes, metrics)
        self._store = Store(store, count_call, self._era, count_bytes)
        self._watch_store = Store(watches, count_call, self._era, count_bytes)
        self._cloud = Cloud(cloud)
        self._state = self._make_state(metrics)
        self._state.dependencies += [store, watches, cloud]
        self._settings_reloader = SettingsReloader(
            path,
            load,
            self._state.configuration,
            self._state.apply_settings,
            settings,
        )
        self._registration = Registration(
            self._store, self._make_entry(), self._state.rng
        )
        self._election = HolderElection(
            self._state.host,
            self._state.boot,
            self._store,
            self._registration,
            self._state.hosts,
            0.0 if settings.host.is_first_start else settings.bounds.lease_ms / 1000,
            lambda: self._state.sharing.is_reader,
            self._state.sharing.record_holder,
        )
        self._state.describe_duties = self._election.describe
        self._suspect_persistence = SuspectPersistence(
            self._state,
            self._store,
            lambda: self._election.find_active_term() is not None,
        )
        self._socket = PacedSocket(
            settings.host.address,
            settings.listen.peer_ports[0],
            DatagramPacer(compute_datagram_rate(settings.host.link_mbps)),
            metrics,
        )
        self._usage_reporter = UsageReporter(
            self._state.sharing,
            self._state.hosts,
            self._socket,
            lambda: self._state.compute_window(time.time()),
            lambda: self._state.list_usage(REPORTED_WINDOWS),
            self._state.rng,
        )
        self._link = ReportLink(
            self._socket,
            self._state.sharing,
            self._state.hosts,
            FailureDomain(settings.host.failure_domain),
            self._state.make_report,
            SentReportTimes(self._state.host, self._state.boot),
            self._usage_reporter,
            self._state.configuration.confirm_by_peer,
        )
        self._link.link_mbps = settings.host.link_mbps
        self._documents = DocumentLibrary()
        self._version_link = VersionLink(
            self._socket,
            self._state.versions,
            self._state.host,
            self._state.failure_domain,
            self._state.list_member_entries,
            self._state.list_live_entries,
            partial(find_only_release, self._state),
        )
        self._state.ask_peers_for_origin = self._version_link.ask
        self._state.versions.on_due = self._version_link.request_report
        self._state.versions.check_replicas = self._version_link.check_replicas
        self._stream_copies = StreamCopies(
            self._state.versions,
            self._store,
            make_copy_key(self._state.host, self._state.boot),
            self._state.hosts.count,
            settings.services.store_writes,
        )
        self._state.find_stored_origin = self._stream_copies.find
        self._state.versions.on_mixed = self._stream_copies.handle_mixed
        exchange = ReleaseExchange(
            self._state.versions,
            self._state.host,
            self._state.list_member_entries,
            self._version_link.send,
        )
        self._link.check_stall = self._state.stalls.check
        self._state.compare_releases = exchange.compare
        self._state.versions.on_new = self._link.schedule_round
        self._link.on_dated_report = fan_out(
            exchange.confirm, partial(apply_store_calls, self._state)
        )
        self._server_search = ServerSearch(
            self._state.host,
            self._state.servers,
            self._state.unknown_servers,
            self._state.rank_informed_peers,
            self._version_link.send,
            self._state.rng,
        )
        self._state.find_release_servers = self._server_search.find_release
        self._state.find_service_servers = self._server_search.find_service
        self._link.on_stream_message = fan_out(
            self._version_link.receive, exchange.receive, self._server_search.receive
        )
        self._era.on_restored += [
            self._state.handle_restore,
            self._registration.handle_restore,
            self._election.handle_restore,
            self._suspect_persistence.handle_restore,
            self._stream_copies.handle_restore,
        ]
        self._listeners: list[
            tuple[trio.SocketListener, IngressState, Endpoint, RequestHandler]
        ] = []

    def _make_state(self, metrics: Metrics) -> GatewayState:
        settings = self._settings
        host = HostId(settings.host.id)
        ledger = QuotaLedger(
            host,
            starts_full=settings.host.is_first_start,
            started_at=trio.current_time(),
        )
        self._connection_limits = list_connection_limits(settings)
        boot = time.time_ns() // 1000
        heartbeat = settings.services.server_heartbeat_ms / 1000
        return GatewayState(
            settings=settings,
            host=host,
            boot=boot,
            configuration=ConfigurationState(compute_trust_period(settings)),
            servers=ServerTable(StoreOutages(heartbeat)),
            hosts=HostTable(host),
            sharing=SharedReports(
                host,
                ledger.record,
                ledger.record_remote_demand,
                started_at=trio.current_time(),
                boot=boot,
            ),
            ledger=ledger,
            pool=ConnectionPool(),
            ingress=IngressState(
                Limits(),
                connection_limit=self._connection_limits[ListenerName.CALLERS],
                memory=MemoryBudget(compute_intake_bytes(settings)),
            ),
            rng=random.Random(),
            metrics=metrics,
        )

    def _make_entry(self) -> HostEntry:
        settings = self._settings
        return HostEntry(
            id=self._state.host,
            boot=self._state.boot,
            frontend=settings.listen.callers,
            peers=f"{settings.host.address}:{settings.listen.peer_ports[0]}",
            failure_domain=FailureDomain(settings.host.failure_domain),
            is_ready=False,
            relay_key=self._state.relay_key,
            link_mbps=settings.host.link_mbps,
        )

    async def open(self, stack: AsyncExitStack) -> None:
        """Open the socket and the listeners; the stack closes them."""
        processor = RequestProcessor(self._state)
        directory = Directory(self._state)
        listen = self._settings.listen
        await self._socket.bind()
        stack.callback(self._socket.close)
        # Requests of peers use the port number of the datagrams.
        peers = self._registration.entry.peers
        relay = Relay(self._state)
        key = self._state.relay_key
        serve = serve_peers(self._documents, key, relay.serve)
        served: list[tuple[ListenerName, str, RequestHandler]] = [
            (ListenerName.CALLERS, listen.callers, processor.serve),
            (ListenerName.READINESS, listen.readiness, directory.serve),
            (ListenerName.OPERATIONS, listen.operations, self._serve_operations),
            (ListenerName.DIRECTORY, listen.directory, directory.serve),
            (ListenerName.PEERS, peers, serve),
        ]
        for name, address, handler in served:
            if address:
                await self._listen(stack, name, address, handler)

    async def _listen(
        self,
        stack: AsyncExitStack,
        name: ListenerName,
        address: str,
        handler: RequestHandler,
    ) -> None:
        listener = await open_listener(address)
        stack.push_async_callback(listener.aclose)
        is_peers = name is ListenerName.PEERS
        check_head = make_key_check(self._state.relay_key)
        endpoint = make_endpoint(
            name,
            self._connection_limits[name],
            check_head if is_peers else accept_any_head,
        )
        self._state.endpoints.append(endpoint)
        ingress = self._state.relay_ingress if is_peers else self._state.ingress
        self._listeners.append((listener, ingress, endpoint, handler))

    async def _serve_operations(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        # Imported on first use: no caller waits for it, but all wait for the start.
        from dewridge.gateway.operations import Operations  # noqa: PLC0415

        await Operations(self._state).serve(request, responder)

    async def run(self) -> None:
        """Run all tasks until the host has left the fleet.

        Raises:
            RestartLimitError: a task failed too often, for which the host has left.
        """
        bounds = self._settings.supervision
        leaving = handle_signals(
            self._settings_reloader.poll_now, self._record_termination
        )
        supervisor = Supervisor(
            "gateway", bounds.restarts, bounds.window, on_limit=leaving.set
        )
        for name, task in self._list_tasks():
            supervisor.add(name, task)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervisor.run)
            log.bind(host=self._state.host, boot=self._state.boot).info("started")
            await leaving.wait()
            # The grace period may have changed since the file was last polled.
            self._settings_reloader.reload_if_changed()
            try:
                await leave_fleet(self._state, self._registration, self._election)
            except Exception as error:
                log.opt(exception=error).error("error while leaving")
                await self._serve_until_exit()
            self._state.served.is_exiting = True
            nursery.cancel_scope.cancel()
        log.info("stopped")
        if supervisor.limit_error is not None:
            raise supervisor.limit_error

    def _record_termination(self) -> None:
        """Record since when the process may not have noticed SIGTERM."""
        if self._state.checked_before_signal is None:
            seconds = self._state.stalls.seconds_since_check
            self._state.checked_before_signal = trio.current_time() - seconds

    async def _serve_until_exit(self) -> None:
        """Serve until the scheduled exit, for callers whose requests were accepted."""
        schedule = self._state.shutdown
        if schedule is None:
            return
        await trio.sleep_until(schedule.answers_by)
        self._state.served.prepare_exit()
        await trio.sleep_until(schedule.exits_at)

    def _list_tasks(self) -> list[tuple[str, Task]]:
        state = self._state
        start_check = StartCheck(
            self._store,
            state.hosts,
            self._settings.bounds.usage_window,
            state.rng,
        )
        watcher = StoreWatcher(
            self._store,
            self._watch_store,
            state.configuration,
            state.servers,
            state.hosts.count,
            self._settings.services.store_reads,
            state.rng,
            state.get_store_role,
            state.count_live_peers,
            lambda: state.sharing.reader_count,
            state.rollouts.apply_order,
            DocumentPeers(
                self._documents,
                state.find_relay,
                state.watches_document,
                self._announce_document,
            ),
            state.versions.view,
            None if self._settings.host.is_first_start else start_check.run,
        )
        start_check.ask = self._link.ask_version
        self._link.get_version = lambda: state.configuration.version

        def receive_version(host: HostId, version: int) -> None:
            watcher.configuration.receive_version(version, host)
            start_check.record_answer(host)

        self._link.on_version = receive_version
        self._server_search.on_added = watcher.request_current_list
        state.stalls.on_stall = partial(self._handle_stall, watcher)
        rollouts = RolloutDuty(state, self._election, self._store)
        self._era.on_restored.append(rollouts.handle_restore)
        state.sharing.on_outcomes = state.rollouts.add_remote_count
        state.sharing.is_outcome_open = state.rollouts.is_outcome_open
        state.sharing.on_token_demand = state.record_remote_demand
        connect_reports(state)
        state.servers.on_left = partial(handle_server_left, state, self._link)
        state.servers.on_returned = partial(handle_server_returned, state, self._link)
        state.sharing.on_report = partial(apply_peer_update, state, watcher, self._link)
        self._link.on_departures = partial(apply_left_report, state, self._link)
        self._link.list_departing = lambda: state.servers.list_recently_left(
            trio.current_time()
        )
        self._link.list_registrations = lambda: state.servers.list_registrations(
            trio.current_time()
        )
        self._link.on_suspects = partial(apply_suspect_report, state, self._link)
        self._link.list_suspects = make_urgent_lister(state)
        state.list_suspects = make_update_lister(state)
        state.list_limits = partial(list_limit_updates, state)
        state.on_suspects_changed = partial(
            self._link.schedule_urgent_send, Recipients.ALL
        )
        state.hosts.on_item = fan_out(
            self._suspect_persistence.apply_item, rollouts.apply_item
        )
        hosts = HostWatcher(
            self._store,
            self._watch_store,
            state.hosts,
            WATCH_WAIT,
            state.rng,
            lambda: state.sharing.is_reader,
            lambda: state.sharing.reader_count,
        )
        tasks: list[tuple[str, Task]] = [
            ("configuration", watcher.configuration.poll),
            ("configuration-watch", watcher.configuration.watch),
            ("configuration-peers", watcher.configuration.fetcher.run),
            ("servers", watcher.poll_servers),
            ("servers-watch", watcher.watch_servers),
            ("hosts", hosts.poll),
            ("hosts-watch", hosts.watch),
            ("registration", self._registration.run),
            ("suspects", self._suspect_persistence.run),
            ("sharing-in", self._link.receive),
            ("sharing-out", self._link.send),
            ("stream-versions", self._version_link.run),
            ("stream-copies", self._stream_copies.run),
            ("server-search", self._server_search.run),
            ("usage-out", self._usage_reporter.run),
            ("datagrams-out", self._socket.run),
            ("settings", self._settings_reloader.run),
            ("links", state.links.run),
            ("memory-releases", partial(release_memory, state)),
            ("upkeep", partial(run_upkeep, state, self._registration)),
            *self._list_duty_tasks(rollouts),
        ]
        for listener, ingress, endpoint, handler in self._listeners:
            serve_stream = partial(
                serve_connection, ingress=ingress, handler=handler, endpoint=endpoint
            )
            accept = partial(
                accept_connections, listener, serve_stream, endpoint.places
            )
            tasks.append((f"listener-{endpoint.name}", accept))
        return tasks

    def _handle_stall(self, watcher: StoreWatcher, suspended: float) -> None:
        log.bind(suspended=round(suspended, 2)).warning("process has stalled")
        self._state.sharing.handle_suspension(suspended)
        self._link.handle_stall()
        watcher.wake_servers()

    def _announce_document(self, parts: DocumentParts) -> None:
        # Hosts of a small fleet read small documents from the store themselves.
        if self._state.sharing.has_cells or parts.size >= LARGE_DOCUMENT_BYTES:
            self._link.announce_version(parts.version)

    def _list_duty_tasks(self, rollouts: RolloutDuty) -> list[tuple[str, Task]]:
        if not self._settings.services.cloud:
            return []
        usage = UsageDuty(
            self._state,
            self._election,
            self._store,
            self._cloud,
            self._usage_reporter.request_usage,
        )
        scaling = ScalingDuty(self._state, self._election, self._store, self._cloud)
        self._era.on_restored.append(scaling.handle_restore)
        # Depends on whether this host held the duties, so it comes before the election.
        self._era.on_restored.insert(0, usage.handle_restore)
        return [
            ("tenancy", self._election.run),
            ("usage", usage.run),
            ("scaling", scaling.run),
            ("rollouts", rollouts.run),
        ]


def fan_out(*handlers: Callable[Arguments, None]) -> Callable[Arguments, None]:
    """Return a handler that calls all given handlers."""

    def handle_all(*args: Arguments.args, **kwargs: Arguments.kwargs) -> None:
        for handle in handlers:
            handle(*args, **kwargs)

    return handle_all


async def open_listener(address: str) -> trio.SocketListener:
    """Listen on `a.b.c.d:port`."""
    host, _, port = address.rpartition(":")
    listeners = await trio.open_tcp_listeners(
        int(port), host=host, backlog=ACCEPT_BACKLOG
    )
    limit_receive_buffers(listeners[0])
    return listeners[0]


async def accept_connections(
    listener: trio.SocketListener,
    handler: Callable[[trio.SocketStream], Awaitable[None]],
    places: ConnectionPlaces | None = None,
) -> None:
    """Accept connections forever.

    An error of one accept concerns the connection that could not be accepted, or passes
    by like a lack of file descriptors. It must not end the connections that are served.

    Args:
        listener: the listener.
        handler: serves a connection.
        places: the connections that may be open; without a free one, new connections
            wait until one is closed for them, or are accepted to be refused.
    """
    async with trio.open_nursery() as connections:
        while True:
            if places is not None:
                await wait_for_room(places)
            try:
                stream = await listener.accept()
            except OSError as error:
                log.bind(reason=error.strerror).warning("connection not accepted")
                await trio.sleep(ACCEPT_RETRY_DELAY)
            else:
                connections.start_soon(handler, stream)
