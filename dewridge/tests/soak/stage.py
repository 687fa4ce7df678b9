"""Environment of a run: stand-ins, servers, gateway processes and records."""

import json
import os
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import trio

from dewridge.standins.serving import Listener
from dewridge.testbed.processes import Process, choose_ports
from dewridge.tests.soak.engineruns import EndDraws
from dewridge.tests.soak.links import Link
from dewridge.tests.soak.partitions import ServerPaths
from dewridge.tests.soak.records import (
    PLAIN_ROUTE_TIMEOUT,
    STREAM_ROUTE_TIMEOUT,
    Disturbance,
    History,
    HostBoot,
    HostSignal,
    Restart,
    ServerPeriod,
)
from dewridge.tests.soak.servers import Mood, SoakServer
from dewridge.tests.soak.standins import (
    StoreStandIn,
    build_cloud_app,
    build_store_app,
)

RESTART_DELAY = 0.3
"""Seconds until a gateway process that ended is restarted."""
RECORD_CHECK_PERIOD = 1.2
"""Seconds between two checks that restore missing records of servers."""
CALL_RETRY_SECONDS = 1.0
"""Seconds after a stall in which calls that timed out are retried."""
STALL_CHECK_PERIOD = 0.1
"""Seconds between two checks for a stall of this process."""
MIN_STALL_SECONDS = 0.5
"""Seconds by which a check may be late before it counts as a stall. The store stand-in
runs in this process, and its clients time out after longer delays."""
CRASH_RESTART_DELAY = 2.0
"""Seconds until a crashed server is replaced by a new incarnation."""
RECORD_EXPIRY_SECONDS = 3.6
"""Seconds until the record of a crashed server expires."""
CRASH_IMPACT_SECONDS = 1.0
"""Seconds after the restart in which the crash may still interrupt requests or leave
too few servers for them."""
MAX_RECORD_DELAY = 0.6
"""Maximum seconds until the record of an engine that started again says so."""
DEPARTURE_SECONDS = 3.0
"""Seconds that a departing server still serves."""
QUOTA_RATE = 3_000.0
"""Tokens per second of each account."""
QUOTA_BURST = 6_000.0
"""Tokens that an account may use at once."""
QUOTA_SLACK = 4_000.0
"""Tokens beyond the quota that the gateways may admit in a window."""
QUOTA_OVERRUN = 0.1
"""Share of the quota by which the gateways may exceed it."""
ACCOUNTS = ("account-a", "account-b")
QUOTAS = dict.fromkeys(
    ACCOUNTS, (QUOTA_RATE * 8 + QUOTA_BURST) * (1 + QUOTA_OVERRUN) + QUOTA_SLACK
)
"""Maximum tokens of each account in any eight seconds."""


@dataclass
class Gateway:
    """An entry host: its settings file, ports, link to the store, and process."""

    name: str
    settings_path: Path
    ports: list[int]
    link: Link
    process: Process | None = None
    should_restart: bool = True
    paths: "ServerPaths | None" = None
    boot: HostBoot | None = None
    has_process: trio.Event = field(default_factory=trio.Event)

    @property
    def caller_address(self) -> str:
        """Address that accepts requests of callers."""
        return f"127.0.0.1:{self.ports[0]}"

    @property
    def directory_address(self) -> str:
        """Address that resolves the addresses of the hosts."""
        return f"127.0.0.1:{self.ports[2]}"


@dataclass
class SoakEnvironment:
    """All parts of a run, which faults act on.

    Attributes:
        rng: generator from which faults and callers are drawn.
        folder: folder for settings and logs.
        nursery: runs all background tasks.
        history: records of the run.
        store: stand-in of the platform's store.
        gateways: entry hosts.
        servers: backend servers that have neither crashed nor departed.
        keys: account keys that are not revoked, by account.
        written_version: version of the last configuration written.
        stalls: seconds of each stall of this process.
        slots: requests that a server runs at once.
        versions: software versions of the servers of streams, in turn.
        make_routes: returns further routes, given the versions written so far.
        store_rate: bytes per second of each host's link to the store; 0: no limit.
        rejecting: number of troubles in which servers of a service reject now.
        outdated_hosts: hosts that may not know a new version, at which callers then
            resume streams.
        draws: draws how answers end.
        has_moves: whether the configuration lets engines move their runs.
        lapsed_servers: ids of the servers whose records may not be written again now.
    """

    rng: random.Random
    folder: Path
    nursery: trio.Nursery
    history: History = field(default_factory=History)
    store: StoreStandIn = field(default_factory=StoreStandIn)
    gateways: list[Gateway] = field(default_factory=list)
    servers: list[SoakServer] = field(default_factory=list)
    keys: dict[str, list[str]] = field(default_factory=dict)
    written_version: int = 0
    stalls: list[float] = field(default_factory=list)
    slots: int = 16
    versions: tuple[str, ...] = ("",)
    make_routes: Callable[[list[int]], list[dict[str, str | int]]] = lambda versions: []
    store_rate: float = 0.0
    outdated_hosts: set[str] = field(default_factory=set)
    rejecting: Counter[str] = field(default_factory=Counter)
    draws: EndDraws = field(default_factory=EndDraws)
    has_moves: bool = False
    lapsed_servers: set[str] = field(default_factory=set)
    _last_document: bytes = b""
    _written_versions: list[int] = field(default_factory=list)
    _server_count: int = 0

    async def start(self, hosts: int, servers: int) -> None:
        """Start the stand-ins, the servers and the gateways."""
        self.nursery.start_soon(self.store.record_snapshots)
        cloud = Listener(build_cloud_app(self.history))
        await self.nursery.start(self.store.listener.run)
        await self.nursery.start(cloud.run)
        for number in range(12):
            account = ACCOUNTS[number % len(ACCOUNTS)]
            self.keys.setdefault(account, []).append(f"key-{number}")
        self.write_configuration()
        for number in range(servers):
            await self.add_server("engine" if number % 2 else "plain")
        self.nursery.start_soon(self._restore_records)
        self.nursery.start_soon(self._record_stalls)
        for number in range(hosts):
            await self._add_gateway(f"host-{number}", cloud.address)
        for gateway in self.gateways:
            self.nursery.start_soon(self._supervise_gateway, gateway)

    async def _add_gateway(self, name: str, cloud_address: str) -> None:
        paths = ServerPaths(self.nursery)
        store = Listener(build_store_app(self.store, paths.rewrite))
        await self.nursery.start(store.run)
        link = Link(store.address, rate=self.store_rate)
        await link.start(self.nursery)
        ports = choose_ports(5)
        path = self.folder / f"{name}.json"
        gateway = Gateway(name, path, ports, link, paths=paths)
        settings = {
            "host": {
                "id": name,
                "failure_domain": f"domain-{'ab'[len(self.gateways) % 2]}",
                "address": "127.0.0.1",
                "is_first_start": True,
                "descriptors": 1024,
            },
            "listen": {
                "callers": gateway.caller_address,
                "readiness": f"127.0.0.1:{ports[1]}",
                "directory": gateway.directory_address,
                "operations": f"127.0.0.1:{ports[3]}",
                "peer_ports": [ports[4], ports[4]],
            },
            "services": {"store": link.address, "cloud": cloud_address},
            "bounds": {
                "quota_slack": QUOTA_SLACK,
                "quota_overrun": QUOTA_OVERRUN,
                "retry_slack": self.history.retry_slack,
            },
        }
        path.write_text(json.dumps(settings))
        self.gateways.append(gateway)

    async def _supervise_gateway(self, gateway: Gateway) -> None:
        while True:
            if gateway.should_restart:
                gateway.process = await start_gateway(gateway, self.folder)
                boot = gateway.boot = HostBoot(gateway.name, time.monotonic())
                self.history.boots.append(boot)
                gateway.has_process.set()
                self._clear_first_start(gateway)
                boot.status = await gateway.process.handle.wait()
                boot.exited_at = time.monotonic()
            await trio.sleep(RESTART_DELAY)

    def _clear_first_start(self, gateway: Gateway) -> None:
        # Later starts must not claim to be the first start of the host.
        settings = json.loads(gateway.settings_path.read_text())
        settings["host"]["is_first_start"] = False
        # The process that has just started may read the file now.
        replacement = gateway.settings_path.with_suffix(".new")
        replacement.write_text(json.dumps(settings))
        replacement.replace(gateway.settings_path)

    def write_configuration(self, rng: random.Random | None = None) -> None:
        """Write the next configuration version to the store, as the operator does.

        Args:
            rng: generator from which the version is drawn; `self.rng` if None.
        """
        self.written_version += (rng or self.rng).randint(1, 3)
        self._written_versions.append(self.written_version)
        routes = [
            make_route("read", "idempotent", "plain", 2),
            make_route("write", "non_idempotent", "plain", 1),
            {**make_route("chat", "streaming", "engine", 2), "stream_resume": True},
            make_route("draft", "streaming", "engine", 1),
            *self.make_routes(self._written_versions),
        ]
        engine: dict[str, int | bool] = {"slots": 16, "kv_capacity_tokens": 100_000}
        if self.has_moves:
            engine["moves"] = True
        document = {
            "version": self.written_version,
            "routes": routes,
            "services": [
                {"name": "plain", "max_connections": 200},
                {
                    "name": "engine",
                    "max_connections": 200,
                    "engine": engine,
                    "scaling": {
                        "min": 1,
                        "max": 8,
                        "boot_time_s": 2.0,
                        "spot_price": 0.3,
                        "zone_prices": {"domain-a": 1.0},
                    },
                },
            ],
            "tenants": [
                {
                    "name": account,
                    "api_keys": keys,
                    "unit": "tokens",
                    "plain_tokens": 10,
                    "rate_per_s": QUOTA_RATE,
                    "burst": QUOTA_BURST,
                }
                for account, keys in self.keys.items()
            ],
            "limits": {},
        }
        self._last_document = json.dumps(document).encode()
        self.store.memory_store.write("op/config", self._last_document)
        self.history.configurations_written_at.append(time.monotonic())

    def rewrite_configuration(self) -> None:
        """Write the newest configuration again, which a restore may have lost."""
        self.store.memory_store.write("op/config", self._last_document)

    def remove_expired_records(self) -> None:
        """Remove the records of servers that have left."""
        names = {f"servers/{server.id}" for server in self.servers}
        store = self.store.memory_store
        for key in list(store.data.items):
            if key.startswith("servers/") and key not in names:
                store.remove(key)

    def revoke_key(self) -> None:
        """Revoke a key of a random account if the account has more than two.

        It counts as revoked as soon as the store has acknowledged the change.
        """
        account = self.rng.choice(ACCOUNTS)
        if len(self.keys[account]) > 2:
            key = self.keys[account].pop()
            self.write_configuration()
            self.history.key_revoked_at[key] = time.monotonic()

    async def add_server(self, service: str, version: str = "") -> None:
        """Start a server and write its record.

        Args:
            service: the service.
            version: version of its software; the next one in turn if empty.
        """
        self._server_count += 1
        server = SoakServer(f"{service}-{self._server_count}", service, self.history)
        server.slots = self.slots
        server.draws = self.draws
        server.find_server = self.find_server
        server.is_rejecting = lambda: self.rejecting[service] > 0
        if service == "engine":
            turn = self._server_count // 2 % len(self.versions)
            server.version = version or self.versions[turn]
        server.on_crash = self._handle_crash
        server.on_restart = lambda server, restart: self.nursery.start_soon(
            self._record_restart, server, restart
        )
        await server.start(self.nursery)
        server.write_record(self.store.memory_store)
        self.servers.append(server)
        if server.version:
            period = ServerPeriod(server.version, time.monotonic())
            self.history.server_periods[server.id] = period

    def find_server(self, address: str) -> str:
        """Return the id of the server at an address that a host has; empty if none."""
        targets = {
            gateway.paths.find_target(address)
            for gateway in self.gateways
            if gateway.paths is not None
        }
        return next(
            (server.id for server in self.servers if server.link.address in targets),
            "",
        )

    async def _record_restart(self, server: SoakServer, restart: Restart) -> None:
        await trio.sleep(self.draws.losing_rng.uniform(0, MAX_RECORD_DELAY))
        server.write_record(self.store.memory_store)
        restart.recorded_at = time.monotonic()

    def _handle_crash(self, server: SoakServer) -> None:
        for gateway in self.gateways:
            if gateway.paths is not None:
                gateway.paths.end(server.link.address)
        self.nursery.start_soon(self._replace_crashed_server, server)

    async def _replace_crashed_server(self, server: SoakServer) -> None:
        """Start a new incarnation of a crashed server; its old record expires later."""
        if server not in self.servers:
            return
        self.servers.remove(server)
        self._end_period(server)
        self.record_disturbance(
            "", CRASH_RESTART_DELAY + CRASH_IMPACT_SECONDS, affects_servers_only=True
        )
        await trio.sleep(CRASH_RESTART_DELAY)
        await self.add_server(server.service, server.version)
        await trio.sleep(RECORD_EXPIRY_SECONDS - CRASH_RESTART_DELAY)
        server.is_registered = False
        server.write_record(self.store.memory_store)

    async def replace_server(
        self, server: SoakServer, *, says_so: bool = True, version: str = ""
    ) -> None:
        """Start a replacement of a server, then drain and deregister the server.

        Args:
            server: the server that leaves.
            says_so: whether its record says that it drains; it is removed otherwise.
            version: version of the replacement; the next one in turn if empty.
        """
        await self.add_server(server.service, version)
        await trio.sleep(0.5)
        if server not in self.servers:
            return
        server.is_draining = True
        if not says_so:
            self.servers.remove(server)
            server.is_registered = False
        server.write_record(self.store.memory_store)
        self._end_period(server)
        self.history.server_departing_at[server.id] = time.monotonic()
        await trio.sleep(DEPARTURE_SECONDS)
        server.is_registered = False
        server.write_record(self.store.memory_store)
        if server in self.servers:
            self.servers.remove(server)

    def end_server(self, server: SoakServer) -> None:
        """End a server that has left; hosts are refused from now on."""
        self.record_disturbance("", CRASH_IMPACT_SECONDS, affects_servers_only=True)
        server.end_in_order()
        for gateway in self.gateways:
            if gateway.paths is not None:
                gateway.paths.end(server.link.address)

    def _end_period(self, server: SoakServer) -> None:
        self.history.end_returns(server.id)
        period = self.history.server_periods.get(server.id)
        if period is not None:
            period.end = time.monotonic()

    async def _restore_records(self) -> None:
        while True:
            await trio.sleep(RECORD_CHECK_PERIOD)
            for server in self.servers:
                if server.id in self.lapsed_servers:
                    continue
                if f"servers/{server.id}" not in self.store.memory_store.data.items:
                    server.write_record(self.store.memory_store)

    async def _record_stalls(self) -> None:
        """Record stalls of this process as faults that affect all hosts.

        On a busy machine this process can stall for seconds, and all its stand-ins
        with it. All gateways then lose the store at once without any drawn fault.
        """
        while True:
            begin = time.monotonic()
            await trio.sleep(STALL_CHECK_PERIOD)
            delay = time.monotonic() - begin - STALL_CHECK_PERIOD
            if delay > MIN_STALL_SECONDS:
                self.history.disturbances.append(
                    Disturbance("", begin, time.monotonic() + CALL_RETRY_SECONDS)
                )
                self.history.last_fault_end = time.monotonic()
                self.stalls.append(round(delay, 2))

    def list_servers(self, mood: Mood = Mood.GOOD) -> list[SoakServer]:
        """Return the servers with a mood that are not draining."""
        return [
            server
            for server in self.servers
            if server.mood is mood and not server.is_draining
        ]

    def record_disturbance(
        self,
        host: str,
        seconds: float,
        *,
        is_planned: bool = False,
        affects_servers_only: bool = False,
        affects_store_only: bool = False,
    ) -> Disturbance:
        """Record that a fault is active from now on, for `seconds`."""
        now = time.monotonic()
        disturbance = Disturbance(
            host,
            now,
            now + seconds,
            is_planned,
            affects_servers_only,
            affects_store_only,
        )
        self.history.disturbances.append(disturbance)
        self.history.last_fault_end = max(self.history.last_fault_end, disturbance.end)
        return disturbance

    def send_signal(self, gateway: Gateway, number: signal.Signals) -> None:
        """Send a signal to a gateway's process, if it runs, and record it."""
        process, boot = gateway.process, gateway.boot
        if process is None or boot is None or not process.is_running:
            return
        pid = process.handle.pid
        is_handled = has_handler(pid, number)
        boot.signals.append(HostSignal(number, time.monotonic(), is_handled))
        os.kill(pid, number)

    async def close(self) -> None:
        """Kill the gateways by process id; they are not restarted."""
        with trio.CancelScope(shield=True):
            for gateway in self.gateways:
                gateway.should_restart = False
                if gateway.process is not None and gateway.process.is_running:
                    gateway.process.resume()
                    gateway.process.kill()
                    await gateway.process.handle.wait()


def make_route(
    name: str, kind: str, service: str, attempts: int
) -> dict[str, str | int]:
    """Return a route in the format that the operator writes."""
    timeout = STREAM_ROUTE_TIMEOUT if kind == "streaming" else PLAIN_ROUTE_TIMEOUT
    return {
        "name": name,
        "hostname": "example.test",
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "service": service,
        "timeout_ms": round(timeout * 1000),
        "target_latency_ms": 300,
        "gap_target_ms": 500,
        "max_attempts": attempts,
        "priority": 1,
    }


async def start_gateway(gateway: Gateway, folder: Path) -> Process:
    """Start a gateway's process; it appends to the gateway's log file."""
    log_path = folder / f"{gateway.name}.log"
    with log_path.open("ab") as log_file:
        handle = await trio.lowlevel.open_process(
            [sys.executable, "-m", "dewridge.gateway"],
            env={**os.environ, "DEWRIDGE_NODE_FILE": str(gateway.settings_path)},
            stdout=log_file,
            stderr=log_file,
        )
    return Process(gateway.name, handle, log_path, {})


def has_handler(pid: int, number: signal.Signals) -> bool:
    """Return whether a process has a handler for a signal."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    caught = next(line for line in lines if line.startswith("SigCgt:"))
    return bool(int(caught.split()[1], 16) >> (number - 1) & 1)
