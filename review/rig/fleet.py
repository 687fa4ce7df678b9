"""A small deployment: gateways as processes, and the stand-ins around them."""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rig.store import Store
from rig.web import Request, Response, call, make_json, open_server

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Statuses of a script: the rule held, was broken, or the case could not run."""
COMMAND = ("python3", "-S", "-m", "dewridge.gateway")
HEARTBEAT_SECONDS = 1.2
MAX_SECONDS = 105.0
MAX_CHECKS = 300
CHECK_SECONDS = 0.05
EXPIRY = 3 * HEARTBEAT_SECONDS - 0.1
"""Seconds of silence after which the store drops a worker's entry."""
BOUNDS = {
    "fails_closed": True,
    "revocation_ms": 5000,
    "grace": 8,
    "answer_ttl": 5,
    "retry_ratio": 0.2,
    "retry_slack": 54,
    "retry_window": 10,
    "quota_window": 8,
    "quota_overrun": 0.1,
    "quota_slack": 140000,
    "lease_ms": 3000,
    "usage_window": 5,
    "usage_due": 10,
}
"""The bounds of sello-verde under the names of `deploy/settings.json`."""


class Record:
    """Writes what was sent, answered and run to a file, with seconds."""

    def __init__(self, record_path: Path) -> None:
        self._file = record_path.open("w", buffering=1)
        self._started_at = time.time()

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.time() - self._started_at:8.3f} {text}\n")

    def find_seconds(self, unix_time: float) -> float:
        """Return a time as the lines show it."""
        return unix_time - self._started_at

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def find_port(host: str, kinds: tuple[int, ...] = (socket.SOCK_STREAM,)) -> int:
    """Return a port that is free now for all given kinds of sockets."""
    while True:
        with socket.socket(socket.AF_INET, kinds[0]) as first:
            first.bind((host, 0))
            port: int = first.getsockname()[1]
            try:
                for kind in kinds[1:]:
                    with socket.socket(socket.AF_INET, kind) as other:
                        other.bind((host, port))
            except OSError:
                continue
            return port


@dataclass
class Host:
    """An entry host: its addresses, its settings file and its process."""

    name: str
    ip: str
    zone: str
    settings_path: Path
    settings: dict[str, Any]
    callers: tuple[str, int]
    directory: tuple[str, int]
    readiness: tuple[str, int]
    process: asyncio.subprocess.Process | None = None
    is_removed: bool = False
    ends: int = 0

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


@dataclass
class Worker:
    """A worker of a plain service, which answers each request with its id."""

    name: str
    service: str
    zone: str
    record: Record
    seconds: float = 0.02
    version: str = "v1"
    slots: int = 6
    is_cut_off: bool = False
    address: str = ""
    runs: list[str] = field(default_factory=list)

    async def start(self) -> None:
        """Listen for requests."""
        _, port = await open_server(self._serve)
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, request: Request) -> Response:
        if request.path == "/healthz":
            return Response(200, {"X-Instance": self.name})
        if request.headers.get("x-expect-instance") != self.name:
            return Response(421, {"X-Instance": self.name})
        attempt = request.headers["x-attempt-id"]
        tenant = request.headers.get("x-tenant", "")
        self.runs.append(attempt)
        self.record.add(f"worker {self.name} runs {attempt} for {tenant}")
        await asyncio.sleep(self.seconds)
        headers = {"X-Attempt-Id": attempt, "X-Server-Seal": f"{self.name}.{attempt}"}
        return Response(200, headers, attempt.encode())

    def encode_entry(self, sequence: int) -> bytes:
        """Return the entry of the worker in the store."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": sequence,
        }
        return json.dumps(entry).encode()


@dataclass
class DutyCall:
    """A call of the cloud API that was accepted."""

    at: float
    path: str
    holder: str
    token: int
    body: dict[str, Any]


class Fleet:
    """The deployment of one run."""

    def __init__(self, record_path: Path) -> None:
        self.record = Record(record_path)
        self.store = Store()
        self.hosts: list[Host] = []
        self.workers: list[Worker] = []
        self.duty_calls: list[DutyCall] = []
        self.on_duty_call: Callable[[DutyCall], None] = lambda made: None
        self._folder = tempfile.TemporaryDirectory(prefix="dewridge-review-")
        self._tasks: list[asyncio.Task[None]] = []
        self._cloud_port = 0
        self._sequence = 0

    def start_task(self, task: Any) -> None:
        """Run a coroutine until the end of the run."""
        self._tasks.append(asyncio.create_task(task))

    def make_workers(self, service: str, count: int, first: int = 0) -> list[Worker]:
        """Return workers of a plain service in two zones."""
        return [
            Worker(
                f"i-{number}f3a91c2", service, f"zona-{'ab'[number % 2]}", self.record
            )
            for number in range(first, first + count)
        ]

    async def start(
        self, config: dict[str, Any], hosts: int, workers: Sequence[Worker]
    ) -> None:
        """Start the stand-ins, then the hosts."""
        self.start_task(self.store.run())
        _, self._cloud_port = await open_server(self._serve_cloud)
        self.write_config(config)
        for worker in workers:
            await self.add_worker(worker)
        self.start_task(self._write_entries())
        for number in range(hosts):
            await self.add_host(number, is_first_start=True)

    async def add_worker(self, worker: Worker) -> None:
        """Start a worker, which registers itself in the store."""
        await worker.start()
        self.workers.append(worker)
        self.store.write(f"servers/{worker.name}", worker.encode_entry(0))

    def write_config(self, config: dict[str, Any]) -> None:
        """Write a version of the config, as the operator does."""
        self.store.write("op/config", json.dumps(config).encode())
        self.record.add(f"operator: config version {config['version']} acknowledged")

    async def _write_entries(self) -> None:
        """Write the workers' entries; the store drops those of silent workers."""
        heard_at: dict[str, float] = {}
        while True:
            self._sequence += 1
            now = time.monotonic()
            for worker in self.workers:
                key = f"servers/{worker.name}"
                if not (worker.is_cut_off or self.store.is_down):
                    heard_at[key] = now
                    self.store.write(key, worker.encode_entry(self._sequence))
            for key in [each for each, at in heard_at.items() if now - at > EXPIRY]:
                del heard_at[key]
                self.store.remove(key)
                self.record.add(f"store: {key} removed after its silence")
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve_cloud(self, request: Request) -> Response:
        made = DutyCall(
            time.time(),
            request.path,
            request.headers["x-duty-holder"],
            int(request.headers["x-fencing-token"]),
            request.read_json(),
        )
        self.duty_calls.append(made)
        body = json.dumps(made.body, sort_keys=True)
        self.record.add(
            f"cloud: {made.path} from {made.holder} fence {made.token}: {body}, 200"
        )
        self.on_duty_call(made)
        return make_json({})

    async def add_host(self, number: int, *, is_first_start: bool) -> Host:
        """Start a host at an address of its own."""
        ip, zone = f"127.0.0.{11 + number}", f"zona-{'ab'[number % 2]}"
        name = f"edge-{zone}-{number + 1}"
        peer_kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        ports = [find_port(ip) for _ in range(4)]
        peers = find_port(ip, peer_kinds)
        settings = {
            "host": {
                "id": name,
                "region": "gt-central",
                "failure_domain": zone,
                "address": ip,
                "is_first_start": is_first_start,
                "descriptors": 4100,
                "memory_mb": 300,
                "link_mbps": 1000.0,
            },
            "listen": {
                "callers": f"{ip}:{ports[0]}",
                "readiness": f"{ip}:{ports[1]}",
                "directory": f"{ip}:{ports[2]}",
                "operations": f"{ip}:{ports[3]}",
                "peer_ports": [peers, peers],
            },
            "services": {
                "store": f"127.0.0.1:{await self.store.listen(name)}",
                "store_reads": 2000,
                "store_writes": 400,
                "server_heartbeat_ms": 1200,
                "cloud": f"127.0.0.1:{self._cloud_port}",
            },
            "bounds": BOUNDS,
        }
        path = Path(self._folder.name) / f"{name}.json"
        host = Host(
            name,
            ip,
            zone,
            path,
            settings,
            (ip, ports[0]),
            (ip, ports[2]),
            (ip, ports[1]),
        )
        self.hosts.append(host)
        self.start_task(self._supervise(host))
        return host

    async def _supervise(self, host: Host) -> None:
        """Run a host's process, and start it again a moment after it ends."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "DEWRIDGE_NODE_FILE": str(host.settings_path),
        }
        while not host.is_removed:
            host.settings_path.write_text(json.dumps(host.settings))
            log_path = Path(self._folder.name) / f"{host.name}.log"
            with log_path.open("ab") as log:
                host.process = await asyncio.create_subprocess_exec(
                    *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
                )
            self.record.add(f"{host.name}: started")
            status = await host.process.wait()
            host.ends += not host.is_removed
            self.record.add(f"{host.name}: ended with status {status}")
            host.settings["host"]["is_first_start"] = False
            await asyncio.sleep(0.5)

    async def is_ready(self, host: Host) -> bool:
        """Whether a host says that it is ready."""
        try:
            answer = await asyncio.wait_for(
                call(host.readiness, "GET", "/-/readyz"), 1.0
            )
        except Exception:
            return False
        return answer.status == 200

    async def wait_until_ready(self, host: Host, seconds: float) -> bool:
        """Wait for a host to be ready; return whether it is in time."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if await self.is_ready(host):
                return True
            await asyncio.sleep(0.1)
        return False

    async def wait_until_restarted(self, host: Host, process: Any) -> None:
        """Wait until a host has another process than the given one."""
        for _ in range(MAX_CHECKS):
            if host.process is not process:
                return
            await asyncio.sleep(CHECK_SECONDS)

    def read_log(self, host: Host) -> str:
        """Return what a host has logged."""
        path = Path(self._folder.name) / f"{host.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def stop(self) -> None:
        """End all processes and tasks of the run."""
        for host in self.hosts:
            host.is_removed = True
            host.send_signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process is not None:
                await host.process.wait()
        pending = {task for task in self._tasks if not task.done()}
        for _ in range(MAX_CHECKS):
            if not pending:
                break
            # A task that was just woken may miss the first cancellation.
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=CHECK_SECONDS)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for host in self.hosts:
                (Path(keep) / f"{host.name}.log").write_text(self.read_log(host))
        self._folder.cleanup()
        self.record.close()


async def _play(record_path: Path, play: Callable[[Fleet], Awaitable[int]]) -> int:
    fleet = Fleet(record_path)
    try:
        return await asyncio.wait_for(play(fleet), MAX_SECONDS)
    except TimeoutError:
        fleet.record.add("the case took too long")
        return NOT_RUN
    finally:
        await fleet.stop()


def run_case(record_path: Path, play: Callable[[Fleet], Awaitable[int]]) -> None:
    """Play a case, end all its processes, and exit with its status."""
    status = asyncio.run(_play(record_path, play))
    sys.stdout.flush()
    os._exit(status)
