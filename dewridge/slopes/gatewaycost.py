"""Measures the processor time of one gateway in a fleet, and of its start.

One real gateway process runs against stand-ins in this process, which also sends the
reports of all other hosts of the fleet. Prints one JSON line per size of fleet:

    python -m dewridge.slopes.gatewaycost --hosts 73 --hosts 195 --seconds 20

The callers wait for each answer, so that the number of requests varies with the load
of the machine; compare the time per 1,000 requests.
"""

import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec
import trio
import typer

from dewridge.gateway.datagrams import PeerAddress, read_address
from dewridge.gateway.hosts import HOSTS_PREFIX, HostEntry
from dewridge.gateway.reports import CellReport, Report, ServerTotals, Totals
from dewridge.gateway.sharing import CELL_REPORTS_PER_SECOND, REPORTS_PER_SECOND
from dewridge.gateway.sharinglink import Round, plan_round
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    FailureDomain,
    HostId,
    ServiceName,
)
from dewridge.platform.directory import READY_PATH
from dewridge.testbed.processes import choose_ports
from dewridge.tests.soak.callers import Caller, resolve_addresses
from dewridge.tests.soak.stage import SoakEnvironment

LOCAL_HOST = HostId("host-0")
FAILURE_DOMAINS = 4
SERVERS = 8
REPORTED_SERVERS = 30
"""Servers in the reports of the other hosts, as many as the largest deployment runs."""
REPORTED_ACCOUNTS = 16
WARM_UP_SECONDS = 6.0
"""Seconds until the process has read the store and knows all hosts."""
READY_REQUEST = f"GET {READY_PATH} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
START_RUNS = 5
START_TIMEOUT = 30.0
POLL_PERIOD = 0.005
"""Seconds between two readiness checks during a start."""


class DirectCaller(Caller):
    """Looks up addresses like a caller, but always uses the real gateway."""

    async def _refresh_addresses(self) -> None:
        await resolve_addresses(self.list_directory_addresses()[0])
        self._addresses = [self.gateway_address]
        self._resolved_at = time.monotonic()

    gateway_address: str = ""


@dataclass
class SimulatedPeer:
    """Another host of the fleet, of which only the reports to the gateway exist."""

    entry: HostEntry
    number: int = 0
    totals: Totals = field(default_factory=Totals)
    requests_per_round: int = 2

    def make_message(
        self, plan: Round, members: list[HostId], age: float
    ) -> Report | CellReport | None:
        """Return this round's report to the gateway; None if it gets none."""
        self.number += 1
        if any(peer.id == LOCAL_HOST for peer in plan.cell_peers):
            return Report(
                host=self.entry.id,
                boot=self.entry.boot,
                number=self.number,
                is_ready=True,
                age=age,
                totals=self.totals,
                last_received=dict.fromkeys(members, (self.entry.boot, self.number)),
            )
        if any(peer.id == LOCAL_HOST for peer in plan.receivers):
            return CellReport(
                host=self.entry.id,
                boot=self.entry.boot,
                number=self.number,
                cell=plan.cell,
                members=members,
                unready=[],
                totals=self.totals,
            )
        return None

    def grow(self, rng: random.Random) -> None:
        """Change a part of the totals, as the requests of one round do."""
        usage = dict(self.totals.quota_usage)
        for _ in range(self.requests_per_round):
            account = ClientAccount(f"account-{rng.randrange(REPORTED_ACCOUNTS)}")
            usage[account] = usage.get(account, 0) + 600
        servers = {
            BackendServerId(f"reported-{number}"): ServerTotals(
                rng.randrange(3), rng.randrange(3) * 500, 10, 0
            )
            for number in range(REPORTED_SERVERS)
        }
        demand = {ServiceName("engine"): self.number * 600}
        self.totals = Totals(usage, usage, demand, servers)


class Fleet:
    """Sends the reports of all other hosts of the fleet to the gateway."""

    def __init__(self, size: int, gateway: PeerAddress, sink: str) -> None:
        self._gateway = gateway
        self._rng = random.Random(size)
        self.peers = {
            HostId(f"host-{number}"): SimulatedPeer(
                HostEntry(
                    id=HostId(f"host-{number}"),
                    boot=1,
                    frontend=f"127.0.0.1:{number}",
                    peers=sink,
                    failure_domain=FailureDomain(f"domain-{number % FAILURE_DOMAINS}"),
                    is_ready=True,
                )
            )
            for number in range(1, size)
        }
        local = HostEntry(
            LOCAL_HOST, 1, "", sink, FailureDomain("domain-0"), is_ready=True
        )
        self._entries = {LOCAL_HOST: local} | {
            host: peer.entry for host, peer in self.peers.items()
        }

    async def run(self, socket: trio.socket.SocketType) -> None:
        """Send reports until cancelled."""
        async with trio.open_nursery() as nursery:
            for peer in self.peers.values():
                nursery.start_soon(self._run_peer, peer, socket)

    async def _run_peer(
        self, peer: SimulatedPeer, socket: trio.socket.SocketType
    ) -> None:
        host, domain = peer.entry.id, peer.entry.failure_domain
        # The plans of even and of odd rounds.
        plans = [plan_round(self._entries, host, domain, number) for number in (0, 1)]
        members = [host, *(other.id for other in plans[0].cell_peers)]
        is_cell_peer = any(other.id == LOCAL_HOST for other in plans[0].cell_peers)
        if not is_cell_peer:
            peer.requests_per_round *= len(members)
        started_at = trio.current_time()
        await trio.sleep(self._rng.random())
        while True:
            plan = plans[peer.number % 2]
            peer.grow(self._rng)
            age = trio.current_time() - started_at
            message = peer.make_message(plan, members, age)
            if message is not None:
                data = msgspec.msgpack.encode(message)
                await socket.sendto(data, self._gateway)
            rate = CELL_REPORTS_PER_SECOND if plan.receivers else REPORTS_PER_SECOND
            await trio.sleep(max(0.1, plan.message_count / rate))


def read_processor_time(process: int) -> float:
    """Return the seconds of processor time that a process has used."""
    return int(Path(f"/proc/{process}/schedstat").read_text().split()[0]) / 1e9


def write_settings(path: Path, ports: list[int], store: str) -> None:
    """Write the settings of the gateway.

    Without the address of a cloud API it does not become the holder of the duties,
    which only one host of a fleet is.
    """
    settings = {
        "host": {
            "id": LOCAL_HOST,
            "failure_domain": "domain-0",
            "address": "127.0.0.1",
            "is_first_start": True,
            "link_mbps": 10,
        },
        "listen": {
            "callers": f"127.0.0.1:{ports[0]}",
            "readiness": f"127.0.0.1:{ports[1]}",
            "directory": f"127.0.0.1:{ports[2]}",
            "operations": f"127.0.0.1:{ports[3]}",
            "peer_ports": [ports[4], ports[4]],
        },
        "services": {"store": store},
        "bounds": {"quota_slack": 1e9, "retry_slack": 50},
    }
    path.write_text(json.dumps(settings))


def make_environment(settings: Path) -> dict[str, str]:
    """Return the environment of a gateway process without the `site` module."""
    packages = [folder for folder in sys.path if folder.endswith("site-packages")]
    search_path = os.pathsep.join([str(Path.cwd()), *packages])
    return {
        **os.environ,
        "PYTHONPATH": search_path,
        "DEWRIDGE_NODE_FILE": str(settings),
    }


async def wait_until_ready(address: str) -> None:
    """Wait until the readiness check of a gateway is answered with success."""
    host, _, port = address.rpartition(":")
    while True:
        try:
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(READY_REQUEST)
            answer = await stream.receive_some(1000)
            await stream.aclose()
        except (OSError, trio.BrokenResourceError):
            answer = b""
        if answer.startswith(b"HTTP/1.1 200"):
            return
        await trio.sleep(POLL_PERIOD)


async def measure_gateway(
    hosts: int, seconds: float, callers: int, folder: Path, profile: Path | None
) -> dict[str, float]:
    """Return the processor time of a gateway that is idle and under load."""
    rng = random.Random(hosts)
    async with trio.open_nursery() as nursery:
        environment = SoakEnvironment(rng, folder, nursery)
        await environment.start(hosts=0, servers=SERVERS)
        ports = choose_ports(5)
        socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await socket.bind(("127.0.0.1", 0))
        sink = f"127.0.0.1:{socket.getsockname()[1]}"
        fleet = Fleet(hosts, read_address(f"127.0.0.1:{ports[4]}"), sink)
        store = environment.store.memory_store
        for peer in fleet.peers.values():
            key = f"{HOSTS_PREFIX}{peer.entry.id}/1"
            store.write(key, msgspec.json.encode(peer.entry))
        path = folder / "gateway.json"
        write_settings(path, ports, environment.store.listener.address)
        tracer = ["-m", "cProfile", "-o", str(profile)] if profile else []
        with (folder / "gateway.log").open("wb") as log_file:
            process = await trio.lowlevel.open_process(
                [sys.executable, "-S", *tracer, "-m", "dewridge.gateway"],
                env=make_environment(path),
                stdout=log_file,
            )
        try:
            nursery.start_soon(fleet.run, socket)
            with trio.fail_after(START_TIMEOUT):
                await wait_until_ready(f"127.0.0.1:{ports[1]}")
            await trio.sleep(WARM_UP_SECONDS)
            idle = read_processor_time(process.pid)
            await trio.sleep(seconds)
            idle = read_processor_time(process.pid) - idle
            keys = [key for known in environment.keys.values() for key in known]
            for number in range(callers):
                caller = DirectCaller(
                    name=f"c{number}",
                    history=environment.history,
                    list_directory_addresses=lambda: [f"127.0.0.1:{ports[2]}"],
                    get_host_name=lambda address: LOCAL_HOST,
                    rng=random.Random(number),
                    keys=keys,
                    mean_pause=0.5,
                )
                caller.gateway_address = f"127.0.0.1:{ports[0]}"
                nursery.start_soon(caller.run)
            await trio.sleep(1.0)
            earlier = len(environment.history.requests)
            loaded = read_processor_time(process.pid)
            await trio.sleep(seconds)
            loaded = read_processor_time(process.pid) - loaded
            requests = len(environment.history.requests) - earlier
            statuses = sum(
                request.status == 200
                for request in environment.history.requests.values()
            )
            process.terminate()
            with trio.move_on_after(START_TIMEOUT):
                await process.wait()
        finally:
            if process.poll() is None:
                process.kill()
        nursery.cancel_scope.cancel()
    return {
        "hosts": hosts,
        "idle_seconds_per_minute": round(idle / seconds * 60, 3),
        "loaded_seconds_per_minute": round(loaded / seconds * 60, 3),
        "requests": requests,
        "successes": statuses,
        "seconds_per_1000_requests": round(
            (loaded - idle) / max(1, requests) * 1000, 3
        ),
    }


async def measure_start(folder: Path) -> dict[str, float]:
    """Return processor and running time from process start to the first answer."""
    processor, running = [], []
    async with trio.open_nursery() as nursery:
        environment = SoakEnvironment(random.Random(0), folder, nursery)
        await environment.start(hosts=0, servers=SERVERS)
        path = folder / "start.json"
        for _ in range(START_RUNS):
            ports = choose_ports(5)
            write_settings(path, ports, environment.store.listener.address)
            began_at = time.monotonic()
            process = await trio.lowlevel.open_process(
                [sys.executable, "-S", "-m", "dewridge.gateway"],
                env=make_environment(path),
                stdout=subprocess.DEVNULL,
            )
            try:
                with trio.fail_after(START_TIMEOUT):
                    await wait_until_ready(f"127.0.0.1:{ports[1]}")
                processor.append(read_processor_time(process.pid))
                running.append(time.monotonic() - began_at)
            finally:
                process.kill()
                await process.wait()
        nursery.cancel_scope.cancel()
    return {
        "starts": START_RUNS,
        "processor_seconds": round(statistics.median(processor), 3),
        "processor_seconds_min": round(min(processor), 3),
        "running_seconds": round(statistics.median(running), 3),
    }


def measure(
    hosts: Annotated[list[int] | None, typer.Option(help="Sizes of fleets.")] = None,
    seconds: Annotated[float, typer.Option(help="Length of each phase.")] = 20.0,
    callers: Annotated[int, typer.Option(help="Concurrent callers.")] = 6,
    profile: Annotated[
        Path | None, typer.Option(help="File for a cProfile of the last gateway.")
    ] = None,
    start: Annotated[bool, typer.Option(help="Whether to measure starts.")] = True,
) -> None:
    """Print the processor time of a start and of a gateway in fleets of some sizes."""
    with tempfile.TemporaryDirectory() as folder:
        if start:
            print(json.dumps(trio.run(measure_start, Path(folder))))
        for size in hosts or []:
            figures = trio.run(
                measure_gateway, size, seconds, callers, Path(folder), profile
            )
            print(json.dumps(figures))


if __name__ == "__main__":
    typer.run(measure)
