"""All parts of one soak: stand-ins, servers, gateways as processes, records."""

import json
import os
import random
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import trio

from dewridge.standins.serving import Listener
from dewridge.testbed.processes import Process, choose_ports
from dewridge.tests.soak.links import Link
from dewridge.tests.soak.records import Disturbance, History
from dewridge.tests.soak.servers import Mood, SoakServer
from dewridge.tests.soak.standins import StoreStandIn, build_cloud_app

RESTART_PAUSE = 0.3
"""Seconds until an ended process is started again."""
RECORD_PERIOD = 1.2
"""Seconds between two writes of a server's record."""
RECOVERY_OF_CALLS = 1.0
"""Seconds after a stall in which calls that timed out are made again."""
PACE_PERIOD = 0.1
"""Seconds between two looks at whether this process itself keeps pace."""
STALL = 0.5
"""Seconds by which a look may be late; the store's stand-in runs in this process, and
later than that its callers give their calls up."""
CRASH_RESTART = 2.0
"""Seconds until a server that ended is back as a new start."""
LAPSE = 3.6
"""Seconds until the record of a server that ended lapses."""
CRASH_FELT = 1.0
"""Seconds in which requests may be cut off by a server's end, or find too few."""
LEAVING_SECONDS = 3.0
"""Seconds that a leaving server still serves."""
RATE = 3_000.0
BURST = 6_000.0
SLACK = 4_000.0
OVERRUN = 0.1
ACCOUNTS = ("account-a", "account-b")
QUOTAS = dict.fromkeys(ACCOUNTS, (RATE * 8 + BURST) * (1 + OVERRUN) + SLACK)
"""Most tokens of each account in any eight seconds."""


@dataclass
class Gateway:
    """One entry host: its settings, its way to the store, its process."""

    name: str
    path: Path
    ports: list[int]
    link: Link
    process: Process | None = None
    is_kept_up: bool = True

    @property
    def callers(self) -> str:
        """Address for callers."""
        return f"127.0.0.1:{self.ports[0]}"

    @property
    def directory(self) -> str:
        """Address for questions which hosts to use."""
        return f"127.0.0.1:{self.ports[2]}"


@dataclass
class Stage:
    """What a fault may act on."""

    rng: random.Random
    folder: Path
    nursery: trio.Nursery
    history: History = field(default_factory=History)
    store: StoreStandIn = field(default_factory=StoreStandIn)
    gateways: list[Gateway] = field(default_factory=list)
    servers: list[SoakServer] = field(default_factory=list)
    keys: dict[str, list[str]] = field(default_factory=dict)
    version: int = 0
    stalls: list[float] = field(default_factory=list)
    _started: int = 0

    async def open(self, hosts: int, servers: int) -> None:
        """Start all."""
        self.nursery.start_soon(self.store.keep_copies)
        cloud = Listener(build_cloud_app(self.history))
        await self.nursery.start(self.store.listener.run)
        await self.nursery.start(cloud.run)
        for number in range(12):
            account = ACCOUNTS[number % len(ACCOUNTS)]
            self.keys.setdefault(account, []).append(f"key-{number}")
        self.write_configuration()
        for number in range(servers):
            await self.add_server("engine" if number % 2 else "plain")
        self.nursery.start_soon(self._keep_records)
        self.nursery.start_soon(self._watch_pace)
        for number in range(hosts):
            await self._open_gateway(f"host-{number}", cloud.address)
        for gateway in self.gateways:
            self.nursery.start_soon(self._keep_up, gateway)

    async def _open_gateway(self, name: str, cloud: str) -> None:
        link = Link(self.store.listener.address)
        await link.start(self.nursery)
        ports = choose_ports(5)
        path = self.folder / f"{name}.json"
        gateway = Gateway(name, path, ports, link)
        settings = {
            "host": {
                "id": name,
                "failure_domain": f"domain-{'ab'[len(self.gateways) % 2]}",
                "address": "127.0.0.1",
                "is_first_start": True,
                "descriptors": 1024,
            },
            "listen": {
                "callers": gateway.callers,
                "readiness": f"127.0.0.1:{ports[1]}",
                "directory": gateway.directory,
                "operations": f"127.0.0.1:{ports[3]}",
                "peer_ports": [ports[4], ports[4]],
            },
            "services": {"store": link.address, "cloud": cloud},
            "bounds": {
                "quota_slack": SLACK,
                "quota_overrun": OVERRUN,
                "retry_slack": 54,
            },
        }
        path.write_text(json.dumps(settings))
        self.gateways.append(gateway)

    async def _keep_up(self, gateway: Gateway) -> None:
        while True:
            if gateway.is_kept_up:
                gateway.process = await start_gateway(gateway, self.folder)
                self._note_restart(gateway)
                await gateway.process.handle.wait()
            await trio.sleep(RESTART_PAUSE)

    def _note_restart(self, gateway: Gateway) -> None:
        # The settings of a later start say that others ran before.
        settings = json.loads(gateway.path.read_text())
        settings["host"]["is_first_start"] = False
        gateway.path.write_text(json.dumps(settings))

    def write_configuration(self) -> None:
        """Write the next version as the operator does."""
        self.version += self.rng.randint(1, 3)
        routes = [
            make_route("read", "idempotent", "plain", 2),
            make_route("write", "non_idempotent", "plain", 1),
            {**make_route("chat", "streaming", "engine", 2), "stream_resume": True},
            make_route("draft", "streaming", "engine", 1),
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": "plain", "max_connections": 200},
                {
                    "name": "engine",
                    "max_connections": 200,
                    "engine": {"slots": 16, "kv_capacity_tokens": 100_000},
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
                    "rate_per_s": RATE,
                    "burst": BURST,
                }
                for account, keys in self.keys.items()
            ],
            "limits": {},
        }
        self.store.store.write("op/config", json.dumps(document).encode())

    def revoke(self) -> None:
        """Take a key away; the store's word counts from now."""
        account = self.rng.choice(ACCOUNTS)
        if len(self.keys[account]) > 2:
            key = self.keys[account].pop()
            self.write_configuration()
            self.history.revoked[key] = time.monotonic()

    async def add_server(self, service: str) -> None:
        """Start a server and list it."""
        self._started += 1
        server = SoakServer(f"{service}-{self._started}", service, self.history)
        server.on_crash = lambda one: self.nursery.start_soon(self._restart, one)
        await server.start(self.nursery)
        server.write_record(self.store.store)
        self.servers.append(server)

    async def _restart(self, server: SoakServer) -> None:
        """Bring a server that ended back as a new start; its record lapses later."""
        if server not in self.servers:
            return
        self.servers.remove(server)
        self.disturb("", CRASH_RESTART + CRASH_FELT, spares_hosts=True)
        await trio.sleep(CRASH_RESTART)
        await self.add_server(server.service)
        await trio.sleep(LAPSE - CRASH_RESTART)
        server.is_listed = False
        server.write_record(self.store.store)

    async def replace_server(self, server: SoakServer) -> None:
        """Let a server leave as planned, a new one first."""
        await self.add_server(server.service)
        await trio.sleep(0.5)
        server.is_draining = True
        server.write_record(self.store.store)
        self.history.left[server.id] = time.monotonic()
        await trio.sleep(LEAVING_SECONDS)
        server.is_listed = False
        server.write_record(self.store.store)
        if server in self.servers:
            self.servers.remove(server)

    async def _keep_records(self) -> None:
        while True:
            await trio.sleep(RECORD_PERIOD)
            for server in self.servers:
                if f"servers/{server.id}" not in self.store.store.data.items:
                    server.write_record(self.store.store)

    async def _watch_pace(self) -> None:
        """Record stalls of this process: all its stand-ins are away meanwhile.

        On a busy machine the whole soak can stand still for seconds. All gateways then
        lose the store at the same moment, without a fault that was drawn.
        """
        while True:
            begin = time.monotonic()
            await trio.sleep(PACE_PERIOD)
            late = time.monotonic() - begin - PACE_PERIOD
            if late > STALL:
                self.history.disturbances.append(
                    Disturbance("", begin, time.monotonic() + RECOVERY_OF_CALLS)
                )
                self.history.final_fault_end = time.monotonic()
                self.stalls.append(round(late, 2))

    def list_servers(self, mood: Mood = Mood.GOOD) -> list[SoakServer]:
        """Return the servers in a mood that don't leave."""
        return [one for one in self.servers if one.mood is mood and not one.is_draining]

    def disturb(
        self,
        host: str,
        seconds: float,
        *,
        is_planned: bool = False,
        spares_hosts: bool = False,
    ) -> None:
        """Record that a fault is at work from now on."""
        now = time.monotonic()
        one = Disturbance(host, now, now + seconds, is_planned, spares_hosts)
        self.history.disturbances.append(one)
        self.history.final_fault_end = max(self.history.final_fault_end, one.end)

    async def close(self) -> None:
        """End the gateways by their ids."""
        with trio.CancelScope(shield=True):
            for gateway in self.gateways:
                gateway.is_kept_up = False
                if gateway.process is not None and gateway.process.is_running:
                    gateway.process.resume()
                    gateway.process.kill()
                    await gateway.process.handle.wait()


def make_route(
    name: str, kind: str, service: str, attempts: int
) -> dict[str, str | int]:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "hostname": "example.test",
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "service": service,
        "timeout_ms": 6000,
        "target_latency_ms": 300,
        "gap_target_ms": 500,
        "max_attempts": attempts,
        "priority": 1,
    }


async def start_gateway(gateway: Gateway, folder: Path) -> Process:
    """Start a gateway's process; its log goes on in one file."""
    log_path = folder / f"{gateway.name}.log"
    with log_path.open("ab") as log_file:
        handle = await trio.lowlevel.open_process(
            [sys.executable, "-m", "dewridge.gateway"],
            env={**os.environ, "DEWRIDGE_NODE_FILE": str(gateway.path)},
            stdout=log_file,
            stderr=log_file,
        )
    return Process(gateway.name, handle, log_path, {})


def reload(gateway: Gateway) -> None:
    """Tell a gateway that its settings changed."""
    if gateway.process is not None and gateway.process.is_running:
        os.kill(gateway.process.handle.pid, signal.SIGHUP)
