"""A small deployment: gateways and workers as processes, stand-ins beside them."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, TextIO

from proxy import Proxy
from store import Store, serve
from worker import Options

ROOT = Path(__file__).resolve().parents[1]
SERVICE = "pool"
TENANT = "tenant-a"
KEY = "key-a"
HOSTNAME = "review.example"
START_SECONDS = 20.0
PORTS = (18_000, 30_000)
"""Below those that the kernel gives to clients."""
ENTRY_SECONDS = 3.6
"""Three liveness reports, after which the entry of a silent worker is removed."""
BOUNDS = {
    "revocation_ms": 5000,
    "grace": 8,
    "answer_ttl": 5,
    "retry_ratio": 0.2,
    "retry_slack": 58,
    "retry_window": 10,
    "quota_window": 8,
    "quota_overrun": 0.1,
    "quota_slack": 140_000,
    "lease_ms": 3000,
    "usage_window": 5,
    "usage_due": 10,
}


class Record:
    """The record of what was sent, answered and run in a case."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="ascii")
        self._began = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


@dataclass
class Gateway:
    """An entry host."""

    name: str
    frontend: str
    readiness: str
    directory: str
    proxy: Proxy
    settings: Path
    process: asyncio.subprocess.Process | None = None


@dataclass
class RunningWorker:
    """A worker's process and what it has said.

    Attributes:
        begun: the requests that it began to run, with the first event.
    """

    options: Options
    address: str
    process: asyncio.subprocess.Process
    begun: list[tuple[str, int]] = field(default_factory=list)


Play = Callable[[Record, bool], Coroutine[Any, Any, list[str]]]
"""Plays a case with or without its disruption; returns what broke the rule."""


class UnableError(Exception):
    """The case can't be run here."""


def choose_port(used: set[int]) -> int:
    """Return a port that is free for TCP and UDP, and that no client is given."""
    while True:
        port = random.randrange(*PORTS)
        if port in used:
            continue
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        used.add(port)
        return port


def make_route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "name": f"r-{name}",
        "hostname": HOSTNAME,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 15_000,
        "target_latency_ms": 1_200,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 1,
        "anonymous": False,
        "session_affinity": kind == "streaming",
        "stream_resume": False,
        "gap_target_ms": 800,
        **fields,
    }


def make_service(*, is_engine: bool) -> dict[str, Any]:
    """Return the service as the operator writes it."""
    service: dict[str, Any] = {
        "name": SERVICE,
        "health_path": "/healthz",
        "max_connections": 370,
        "protocol": "h1",
        "tls": False,
    }
    if is_engine:
        service["engine"] = {
            "slots": 64,
            "kv_capacity_tokens": 551_142,
            "kv_bytes": 18_432,
            "link_mbps": 550_000.0,
            "stride": 6,
            "models": [{"name": "m"}],
        }
    return service


class Deployment:
    """Starts and ends all parts; use it with `async with`."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.workers: list[RunningWorker] = []
        self._cloud = ""
        self._stack = ExitStack()
        self._folder = Path()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._processes: list[asyncio.subprocess.Process] = []
        self._worker_count = 0
        self._ports: set[int] = set()

    async def __aenter__(self) -> "Deployment":
        """Start the store and the cloud API."""
        if not (ROOT / "target" / "deps").is_dir():
            raise UnableError("target/deps is missing: run the deploy file's build")
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._stack.callback(shutil.rmtree, self._folder, ignore_errors=True)
        self._cloud = await serve(self.store.answer_cloud, self._find_era)
        self.start_task(self.store.sweep())
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes that were started."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
        for process in self._processes:
            await process.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._stack.close()

    def _find_era(self) -> int:
        return self.store.era

    def start_task(self, task: Any) -> None:
        """Run a coroutine until the deployment ends."""
        self._tasks.add(asyncio.ensure_future(task))

    def write_config(
        self,
        version: int,
        services: list[Any],
        routes: list[Any],
        keys: tuple[str, ...] = (KEY,),
    ) -> None:
        """Write a config as the operator does."""
        config = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [
                {
                    "name": TENANT,
                    "api_keys": list(keys),
                    "priority": 1,
                    "unit": "tokens",
                    "plain_tokens": 200,
                    "rate_per_s": 0,
                    "burst": 0,
                }
            ],
        }
        self.store.write("op/config", config)
        self.record.add(f"operator writes config {version}")

    async def add_worker(self, **fields: Any) -> RunningWorker:
        """Start a worker and write its entry."""
        self._worker_count += 1
        options = Options(f"i-{self._worker_count:04x}", SERVICE, **fields)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "worker",
            json.dumps(asdict(options)),
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT / "review")},
        )
        self._processes.append(process)
        assert process.stdout is not None
        address = (await process.stdout.readline()).decode().strip()
        worker = RunningWorker(options, address, process)
        self.start_task(self._follow(worker, process.stdout))
        self.workers.append(worker)
        self.write_entry(worker, "ready")
        self.record.add(f"worker {options.name} {options.version} starts at {address}")
        return worker

    def write_entry(self, worker: RunningWorker, state: str) -> None:
        """Write a worker's entry, as the worker does."""
        entry = {
            "service": SERVICE,
            "address": worker.address,
            "zone": "zone-a",
            "version": worker.options.version,
            "slots": 64,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        self.store.write(f"servers/{worker.options.name}", entry)

    async def _follow(
        self, worker: RunningWorker, output: asyncio.StreamReader
    ) -> None:
        while line := (await output.readline()).decode().strip():
            word, attempt, *rest = line.split(" ")
            if word == "begin":
                worker.begun.append((attempt, int(rest[0])))
            self.record.add(f"worker {worker.options.name}: {line}")

    async def crash_worker(self, worker: RunningWorker) -> None:
        """Kill a worker; its entry is removed after its silence."""
        self.record.add(f"worker {worker.options.name} crashes (SIGKILL)")
        worker.process.kill()
        await worker.process.wait()
        self.workers.remove(worker)
        self.start_task(self._expire(worker))

    async def _expire(self, worker: RunningWorker) -> None:
        await asyncio.sleep(ENTRY_SECONDS)
        self.store.remove(f"servers/{worker.options.name}")

    async def add_gateways(self, count: int) -> None:
        """Start entry hosts, as the whole system starts for the first time."""
        for number in range(count):
            await self._prepare_gateway(f"edge-{number + 1}", number)
        for gateway in self.gateways:
            await self.start_gateway(gateway)
        await self.wait_until_ready(self.gateways)

    async def _prepare_gateway(self, name: str, number: int) -> None:
        proxy = Proxy(await serve(self.store.answer, self._find_era))
        await proxy.start()
        frontend, readiness, directory, operations, peers = (
            choose_port(self._ports) for _ in range(5)
        )
        settings = {
            "host": {
                "id": name,
                "region": "region-a",
                "failure_domain": f"zone-{'abc'[number % 3]}",
                "address": "127.0.0.1",
                "is_first_start": True,
                "descriptors": 4100,
                "link_mbps": 1000.0,
            },
            "listen": {
                "callers": f"127.0.0.1:{frontend}",
                "readiness": f"127.0.0.1:{readiness}",
                "directory": f"127.0.0.1:{directory}",
                "operations": f"127.0.0.1:{operations}",
                "peer_ports": [peers, peers],
            },
            "services": {
                "store": proxy.address,
                "store_reads": 2000,
                "store_writes": 400,
                "cloud": self._cloud,
            },
            "bounds": {"fails_closed": True, **BOUNDS},
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="ascii")
        listen = [f"127.0.0.1:{port}" for port in (frontend, readiness, directory)]
        self.gateways.append(Gateway(name, *listen, proxy, path))

    async def start_gateway(self, gateway: Gateway) -> None:
        """Start an entry host's process with the command of the deploy file."""
        log = (self._folder / f"{gateway.name}.log").open("ab")
        self._stack.callback(log.close)
        gateway.process = await asyncio.create_subprocess_exec(
            "python3",
            "-S",
            "-m",
            "dewridge.gateway",
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "DEWRIDGE_NODE_FILE": str(gateway.settings),
            },
        )
        self._processes.append(gateway.process)
        self.record.add(f"gateway {gateway.name} starts")
        settings = json.loads(gateway.settings.read_text(encoding="ascii"))
        await asyncio.sleep(0.3)
        settings["host"]["is_first_start"] = False
        gateway.settings.write_text(json.dumps(settings), encoding="ascii")

    def keep_logs(self, folder: Path) -> None:
        """Copy the gateways' logs for a closer look."""
        for path in self._folder.glob("*.log"):
            shutil.copy(path, folder / path.name)

    def signal_gateway(self, gateway: Gateway, number: signal.Signals) -> None:
        """Send a signal to an entry host."""
        assert gateway.process is not None
        gateway.process.send_signal(number)
        self.record.add(f"gateway {gateway.name} gets {number.name}")

    async def wait_until_ready(self, gateways: list[Gateway]) -> None:
        """Wait until hosts are ready, as the platform asks them."""
        end = time.monotonic() + START_SECONDS
        for gateway in gateways:
            while not await is_ready(gateway):
                if time.monotonic() > end:
                    raise UnableError(f"{gateway.name} did not become ready")
                await asyncio.sleep(0.1)
        self.record.add("all gateways are ready")


async def is_ready(gateway: Gateway) -> bool:
    """Return whether a host says that it is ready."""
    host, port = gateway.readiness.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    try:
        writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: platform\r\n\r\n")
        return (await reader.readline()).startswith(b"HTTP/1.1 200")
    except ConnectionError:
        return False
    finally:
        writer.close()


async def play_until_signal(play: Coroutine[Any, Any, list[str]]) -> list[str]:
    """Play a case; SIGTERM ends it with all its processes."""
    task = asyncio.ensure_future(play)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def run_case(path: Path, play: Play, seconds: float) -> int:
    """Run a case and return its exit code.

    Args:
        path: file of the record of what was sent, answered and run.
        play: plays the case; returns what broke the rule, a line each.
        seconds: time limit.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(path)
    record.add(f"TROUBLE={int(has_trouble)}")
    played = asyncio.wait_for(play(record, has_trouble), seconds)
    try:
        broken = asyncio.run(play_until_signal(played))
    except (Exception, asyncio.CancelledError) as error:
        record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    for line in broken:
        record.add(f"BROKEN {line}")
    record.add(f"result: {len(broken)} breaks of the rule")
    print(f"{len(broken)} breaks of the rule; see record.txt")
    return 1 if broken else 0
