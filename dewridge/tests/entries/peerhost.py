"""A host that gets the messages of its peers from a test, in one process."""

import math
import random
from collections import deque
from dataclasses import dataclass, field
from functools import partial

import msgspec
import trio

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.composition import fan_out
from dewridge.gateway.contention.accounts import connect_reports
from dewridge.gateway.datagrams import PeerAddress, Urgency
from dewridge.gateway.departures import (
    apply_left_report,
    apply_peer_update,
    apply_store_calls,
    apply_suspect_report,
    handle_server_left,
)
from dewridge.gateway.echoes import SentReportTimes
from dewridge.gateway.hosts import HOSTS_PREFIX, HostEntry
from dewridge.gateway.limitsharing import list_limit_updates
from dewridge.gateway.measures import update_gauges
from dewridge.gateway.model import ServerRecord, ServerVersion
from dewridge.gateway.operations import describe_state
from dewridge.gateway.placement.loads import open_loads
from dewridge.gateway.reports import REPORTED_WINDOWS, RolloutProgress
from dewridge.gateway.sharinglink import ReportLink
from dewridge.gateway.state import GatewayState
from dewridge.gateway.suspects import make_update_lister, make_urgent_lister
from dewridge.gateway.usagetelling import UsageReporter
from dewridge.gateway.versions.link import VersionLink
from dewridge.gateway.versions.origins import find_only_release
from dewridge.gateway.versions.releaseexchange import ReleaseExchange
from dewridge.gateway.versions.serversearch import ServerSearch
from dewridge.gateway.watching import StoreWatcher
from dewridge.ids import BackendServerId, FailureDomain, HostId, ServerName
from dewridge.platform.store import Item, Listing
from dewridge.policy.rollouts import Stage
from dewridge.tests.gateway.memorystore import MemoryStore
from dewridge.tests.gateway.world import DOMAIN, PLAIN, make_configuration, make_state

PEERS = 20
"""Registered hosts: enough for more than one cell."""
PEER_ADDRESS: PeerAddress = ("127.0.0.1", 9)
SERVERS = ("s-1@5", "s-2@5")
ROLLOUT_ORDER = 5
ROUND_SECONDS = 1.2
"""Seconds in which a host sends two rounds of reports."""


class InputEndError(Exception):
    """All datagrams of a test were received."""


@dataclass
class ScriptedSocket:
    """Stands in for the paced socket; delivers the datagrams of a test.

    Attributes:
        incoming: datagrams that arrive.
        sent: datagrams that the host sent.
        rate: maximum bytes sent per second.
    """

    incoming: deque[bytes] = field(default_factory=deque)
    sent: list[bytes] = field(default_factory=list)
    rate: float = 1e6

    def receive_batch(self) -> list[tuple[bytes, PeerAddress]]:
        """Return the next datagram alone."""
        return [(self.incoming.popleft(), PEER_ADDRESS)] if self.incoming else []

    async def wait_for_input(self) -> None:
        """End the receiving.

        Raises:
            InputEndError: always; all datagrams were received.
        """
        raise InputEndError

    def begin_round(self) -> None:
        """Drop nothing."""

    def enqueue(self, address: PeerAddress, data: bytes, urgency: Urgency) -> None:
        """Record a datagram."""
        self.sent.append(data)


@dataclass
class PeerHost:
    """A host with the tables and links that messages of peers reach."""

    state: GatewayState
    link: ReportLink
    socket: ScriptedSocket

    async def receive(self, *datagrams: bytes) -> None:
        """Receive datagrams as a running host does."""
        self.socket.incoming.extend(datagrams)
        try:
            await self.link.receive()
        except InputEndError:
            return

    async def work(self) -> list[bytes]:
        """Do what follows from messages; return the datagrams that were sent.

        The host reports, describes its state, and judges the servers for requests.
        """
        self.socket.sent.clear()
        state, now = self.state, trio.current_time()
        self._judge_servers(now)
        with trio.move_on_after(ROUND_SECONDS):
            await self.link.send()
        msgspec.json.encode(describe_state(state), enc_hook=str)
        update_gauges(state)
        state.drop_expired()
        return self.socket.sent.copy()

    def _judge_servers(self, now: float) -> None:
        """Read what decides on requests, as long as the figures of peers count."""
        state = self.state
        loads = open_loads(state, now)
        for record in state.servers.list_all():
            assert math.isfinite(loads.read_load(record).unprocessed_tokens)
            loads.is_usable(record, 0.0)
            load = state.measure_load(record.id)
            assert load is not None
            assert load.unreported >= 0
            state.pushback.find_send_time(record.id, now)
        servers = state.servers.list_service(PLAIN)
        state.rollouts.choose_servers(
            PLAIN, servers, is_first=True, draw_random=lambda: 0.0
        )
        assert math.isfinite(state.demand[PLAIN].compute_peak_rate(now))
        for rate in state.contention.demand.compute_rates(PLAIN, now).values():
            assert math.isfinite(rate)
        state.make_fleet_view()


def make_server(name: str) -> ServerRecord:
    """Return the record of a server."""
    return ServerRecord(
        id=BackendServerId(f"{name}@5"),
        name=ServerName(name),
        service=PLAIN,
        address="127.0.0.1:9",
        failure_domain=DOMAIN,
        slots=8,
        is_draining=False,
        started_at_ms=5,
        version=ServerVersion("v2"),
    )


def make_host_item(number: int) -> Item:
    """Return the registration of a peer."""
    entry = HostEntry(
        id=HostId(f"peer-{number}"),
        boot=1,
        frontend="127.0.0.1:9",
        peers="127.0.0.1:9",
        failure_domain=FailureDomain(f"domain-{'ab'[number % 2]}"),
        is_ready=True,
        relay_key="key",
    )
    key = f"{HOSTS_PREFIX}{entry.id}/1"
    return Item(key, msgspec.json.encode(entry), revision=1, created_revision=1)


def open_host() -> PeerHost:
    """Return a host with two servers, registered peers and a rollout under trial."""
    state = make_state(make_configuration(), started_at=trio.current_time())
    state.hosts.replace(Listing(tuple(map(make_host_item, range(PEERS))), revision=1))
    for name in ("s-1", "s-2"):
        state.servers.update(make_server(name), trio.current_time())
    socket = ScriptedSocket()
    sent_times = SentReportTimes(state.host, state.boot)
    link = ReportLink(
        socket,  # type: ignore[arg-type]
        state.sharing,
        state.hosts,
        DOMAIN,
        state.make_report,
        sent_times,
        UsageReporter(
            state.sharing,
            state.hosts,
            socket,  # type: ignore[arg-type]
            lambda: 7,
            lambda: state.list_usage(REPORTED_WINDOWS),
            state.rng,
        ),
        state.configuration.confirm_by_peer,
    )
    sent_times.record_sent(1, read_boot_clock())
    versions = VersionLink(
        socket,  # type: ignore[arg-type]
        state.versions,
        state.host,
        state.failure_domain,
        state.list_member_entries,
        state.list_live_entries,
        partial(find_only_release, state),
    )
    exchange = ReleaseExchange(
        state.versions, state.host, state.list_member_entries, versions.send
    )
    search = ServerSearch(
        state.host,
        state.servers,
        state.unknown_servers,
        state.rank_informed_peers,
        versions.send,
        state.rng,
    )
    watcher = StoreWatcher(
        MemoryStore(),
        MemoryStore(),
        state.configuration,
        state.servers,
        state.hosts.count,
        6000.0,
        random.Random(1),
    )
    link.on_version = lambda host, version: watcher.configuration.receive_version(
        version, host
    )
    link.on_dated_report = fan_out(exchange.confirm, partial(apply_store_calls, state))
    link.on_stream_message = fan_out(versions.receive, exchange.receive, search.receive)
    state.compare_releases = exchange.compare
    state.sharing.on_outcomes = state.rollouts.add_remote_count
    state.sharing.is_outcome_open = state.rollouts.is_outcome_open
    state.sharing.on_token_demand = state.record_remote_demand
    connect_reports(state)
    state.servers.on_left = partial(handle_server_left, state, link)
    state.sharing.on_report = partial(apply_peer_update, state, watcher, link)
    link.on_departures = partial(apply_left_report, state, link)
    link.list_departing = lambda: state.servers.list_recently_left(trio.current_time())
    link.on_suspects = partial(apply_suspect_report, state, link)
    link.list_suspects = make_urgent_lister(state)
    state.list_suspects = make_update_lister(state)
    state.list_limits = partial(list_limit_updates, state)
    state.rollouts.apply_progress(
        RolloutProgress(
            service=PLAIN,
            target=ServerVersion("v2"),
            order=ROLLOUT_ORDER,
            stage=Stage.TRIAL,
            share=0.1,
            ordered_at=1.0,
            duration=30.0,
        )
    )
    return PeerHost(state, link, socket)
