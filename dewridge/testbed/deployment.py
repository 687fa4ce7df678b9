"""One deployment as separate processes: platform, backend servers, entry hosts."""

import hashlib
import json
import secrets
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx
import trio

from dewridge.testbed.places import DeploymentSpec, ServerPoolSpec
from dewridge.testbed.processes import (
    Process,
    StartError,
    choose_ports,
    start_process,
    stop_processes,
)

READY_TIMEOUT = 40.0
"""Seconds for the entry hosts to find each other and take work."""

OPERATOR = "testbed"

ProgressReporter = Callable[[str], None]
"""Says on the terminal how far a start has come."""


@dataclass(frozen=True)
class DeploymentOptions:
    """What a testbed starts.

    Attributes:
        hosts: entry hosts, spread over the failure domains in turn.
        counts: backend servers per failure domain, by service; the place's own
            for a service that is not named.
        step: milliseconds of an engine's step.
        overrides: settings by section that replace the testbed's own.
    """

    hosts: int = 3
    host_domains: int = 4
    counts: dict[str, tuple[int, ...]] = field(default_factory=dict)
    step: float = 5.0
    capacity: int = 8
    work: float = 5.0
    overrides: dict[str, dict[str, Any]] = field(default_factory=dict)


@dataclass
class EntryHost:
    """An entry host of the testbed.

    Attributes:
        settings: its settings, as in its file.
    """

    name: str
    failure_domain: str
    frontend: str
    peers: str
    settings_path: Path
    process: Process

    @property
    def url(self) -> str:
        """URL for callers and operators."""
        return f"http://{self.frontend}"


@dataclass
class BackendProcess:
    """A process that holds the backend servers of a plan in a failure domain."""

    pool: ServerPoolSpec
    failure_domain: str
    process: Process

    @property
    def control(self) -> str:
        """URL of its control endpoint."""
        return str(self.process.announcement["control"])

    @property
    def servers(self) -> list[str]:
        """Ids of its backend servers."""
        return list(self.process.announcement["servers"])


class Deployment:
    """The running processes of a place, with what steers and watches them."""

    def __init__(
        self,
        place: DeploymentSpec,
        options: DeploymentOptions,
        folder: Path,
        tell: ProgressReporter,
    ) -> None:
        self.spec = place
        self.options = options
        self.folder = folder
        self.report_progress = tell
        self.hosts: list[EntryHost] = []
        self.backends: list[BackendProcess] = []
        self.platform: Process | None = None
        self.tokens = {name: secrets.token_hex(16) for name in place.accounts}
        self.operator_token = secrets.token_hex(16)
        self.http = httpx.AsyncClient(timeout=5.0)
        self._past: list[Process] = []
        self._started = 0

    # ---- starting -------------------------------------------------------------

    async def start(self) -> None:
        """Start everything and publish the place's profiles and services.

        Raises:
            StartError: a process did not come up, or the hosts take no work.
        """
        self.report_progress("starting the platform's stand-ins")
        self.platform = await self._start_process("platform", ["standin", "platform"])
        self.report_progress("starting backend servers and entry hosts")
        async with trio.open_nursery() as nursery:
            for plan in self.spec.server_pools:
                for index, domain in enumerate(self.spec.failure_domains):
                    count = self._count_servers(plan, index)
                    if count:
                        nursery.start_soon(self.start_backend, plan, domain, count)
            domains = self.spec.failure_domains[: self.options.host_domains]
            peer_ports = choose_ports(self.options.hosts)
            seeds = [f"127.0.0.1:{port}" for port in peer_ports]
            for index in range(self.options.hosts):
                domain = domains[index % len(domains)]
                nursery.start_soon(self.start_host, domain, peer_ports[index], seeds)
        await self._wait_ready()
        await self.publish_all()

    def _count_servers(self, plan: ServerPoolSpec, index: int) -> int:
        counts = self.options.counts.get(plan.service, plan.counts)
        return counts[index]

    async def _start_process(self, name: str, arguments: list[str]) -> Process:
        process = await start_process(
            name, [*arguments, "--die-with-parent"], self.folder, waits_for_line=True
        )
        self._past.append(process)
        return process

    async def start_backend(
        self, plan: ServerPoolSpec, domain: str, count: int
    ) -> BackendProcess:
        """Start backend servers of a plan in a failure domain."""
        self._started += 1
        assert self.platform is not None
        price = plan.prices[self.spec.failure_domains.index(domain)]
        kind = "engine" if plan.is_model else "plain"
        name = f"{plan.service}-{domain}-{self._started}"
        arguments = [
            *("standin", kind, "--service", plan.service),
            *("--failure-domain", domain, "--name", name, "--count", str(count)),
            *("--price", str(price), "--machine-class", plan.machine_class),
            *("--platform", str(self.platform.announcement["host_list"])),
        ]
        if plan.is_model:
            arguments += ["--step", str(self.options.step)]
            arguments += ["--capacity", str(self.options.capacity)]
        else:
            arguments += ["--work", str(self.options.work)]
        process = await self._start_process(name, arguments)
        backend = BackendProcess(plan, domain, process)
        self.backends.append(backend)
        return backend

    async def start_host(
        self, domain: str, peer_port: int = 0, seeds: list[str] | None = None
    ) -> EntryHost:
        """Start an entry host; without seeds it asks the key-value service."""
        self._started += 1
        name = f"entry-{self._started}"
        frontend_port = choose_ports(1)[0]
        peer_port = peer_port or choose_ports(1)[0]
        settings = self._make_settings(
            name, domain, frontend_port, peer_port, seeds or []
        )
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        process = await start_process(
            name, ["serve", "--settings", str(path)], self.folder, waits_for_line=False
        )
        self._past.append(process)
        host = EntryHost(
            name,
            domain,
            f"127.0.0.1:{frontend_port}",
            f"127.0.0.1:{peer_port}",
            path,
            process,
        )
        self.hosts.append(host)
        return host

    def _make_settings(
        self, name: str, domain: str, frontend: int, peers: int, seeds: list[str]
    ) -> dict[str, Any]:
        assert self.platform is not None
        urls = self.platform.announcement
        settings: dict[str, Any] = {
            "host": {
                "id": name,
                "deployment": self.spec.name,
                "region": self.spec.region,
                "failure_domain": domain,
            },
            "platform": {
                "key_value": urls["key_value"],
                "host_list": urls["host_list"],
                "cloud": urls["cloud"],
            },
            "frontend": {"port": frontend},
            "peers": {"port": peers, "seeds": seeds},
            "accounts": [
                {"name": account, "token_sha256": _digest(token)}
                for account, token in self.tokens.items()
            ],
            "operators": [
                {"name": OPERATOR, "token_sha256": _digest(self.operator_token)}
            ],
        }
        for section, values in self.options.overrides.items():
            settings[section] = {**settings.get(section, {}), **values}
        return settings

    async def _wait_ready(self) -> None:
        self.report_progress("waiting for the entry hosts to find each other")
        for host in self.hosts:
            await self.wait_until_joined(host)

    async def wait_until_joined(self, host: EntryHost) -> None:
        """Wait until an entry host answers and sees all that run.

        Raises:
            StartError: it has ended, or does not in time.
        """
        until = trio.current_time() + READY_TIMEOUT
        while not await self._is_joined(host):
            ended = not host.process.is_running
            if ended or trio.current_time() > until:
                text = host.process.log_path.read_text()[-1500:]
                raise StartError(f"{host.name} did not come up:\n{text}")
            await trio.sleep(0.05)

    async def _is_joined(self, host: EntryHost) -> bool:
        """Whether an entry host answers and sees as many members as run."""
        dump = await self.read_dump(host)
        members = dump.get("parts", {}).get("membership", {}).get("members", [])
        live = [member for member in members if member.get("state") == "ALIVE"]
        running = [h for h in self.hosts if h.process.is_running]
        return len(live) + 1 >= len(running)

    # ---- operators ------------------------------------------------------------

    async def publish_all(self) -> None:
        """Publish the place's profiles and services, and wait for them everywhere."""
        for profile in self.spec.profiles:
            await self.put(f"/v1/profiles/{profile['name']}", profile)
        for service in self.spec.services:
            await self.put(f"/v1/services/{service['name']}", service)
        names = {str(service["name"]) for service in self.spec.services}
        for host in self.hosts:
            with trio.fail_after(READY_TIMEOUT):
                await self._wait_in_force(host, names)

    async def _wait_in_force(self, host: EntryHost, names: set[str]) -> None:
        while True:
            if names <= await self._list_services(host):
                return
            await trio.sleep(0.05)

    async def _list_services(self, host: EntryHost) -> set[str]:
        """Return the services that are in force at a host."""
        configuration = (await self.read_dump(host)).get("parts", {})
        return set(configuration.get("configuration", {}).get("services", {}))

    async def put(
        self, path: str, content: Any, etag: str | None = None
    ) -> httpx.Response:
        """Change something as an operator; new without an etag.

        Raises:
            StartError: no entry host accepted the change.
        """
        condition = {"If-Match": etag} if etag else {"If-None-Match": "*"}
        response = None
        for _ in range(20):
            for host in self.hosts:
                if not host.process.is_running:
                    continue
                try:
                    response = await self.http.put(
                        f"{host.url}{path}",
                        json=content,
                        headers={**self.operator_headers, **condition},
                    )
                except httpx.HTTPError:
                    continue
                if response.status_code < 300:
                    return response
            await trio.sleep(0.3)
        detail = response.text if response is not None else "no answer"
        raise StartError(f"PUT {path}: {detail}")

    async def read_etag(self, path: str) -> str:
        """Return the revision of an object, as an operator reads it."""
        response = await self.http.get(
            f"{self.hosts[0].url}{path}", headers=self.operator_headers
        )
        response.raise_for_status()
        return str(response.headers["ETag"])

    @property
    def operator_headers(self) -> dict[str, str]:
        """Headers that name the operator."""
        return {"Authorization": f"Bearer {self.operator_token}"}

    async def read_dump(self, host: EntryHost) -> dict[str, Any]:
        """Return an entry host's state; empty when it does not answer."""
        try:
            response = await self.http.get(
                f"{host.url}/v1/dump", headers=self.operator_headers
            )
        except httpx.HTTPError:
            return {}
        return dict(response.json()) if response.status_code == 200 else {}

    # ---- faults ----------------------------------------------------------------

    @property
    def control(self) -> str:
        """URL of the platform's control endpoint."""
        assert self.platform is not None
        return str(self.platform.announcement["control"])

    async def post_order(self, url: str, content: dict[str, Any]) -> None:
        """Post an order to a control endpoint."""
        (await self.http.post(url, json=content)).raise_for_status()

    async def announce_reclaim(self, subject: str, notice: float) -> float:
        """Let the cloud announce a reclaim; returns when, in seconds since 1970."""
        await self.post_order(
            f"{self.control}/control/notice", {"subject": subject, "in_seconds": notice}
        )
        return time.time() + notice

    async def set_platform_fault(self, target: str, mode: str, **more: Any) -> None:
        """Put a fault of the platform in force; mode `none` ends it."""
        order = {"target": target, "mode": mode, **more}
        await self.post_order(f"{self.control}/control/fault", order)

    async def read_execution_logs(self) -> list[dict[str, Any]]:
        """Return what ran on all backend servers that were ever started."""
        lines: list[dict[str, Any]] = []
        for backend in self.backends:
            response = await self.http.get(f"{backend.control}/control/log")
            lines += response.json()
        return lines

    async def read_platform_calls(self) -> dict[str, int]:
        """Return how often the platform was called, by service and kind."""
        response = await self.http.get(f"{self.control}/control/calls")
        return dict(response.json()["calls"])

    def list_frontends(self) -> list[str]:
        """Return the frontend addresses of the entry hosts that run."""
        return [host.frontend for host in self.hosts if host.process.is_running]

    async def close(self) -> None:
        """End all processes that were started."""
        await stop_processes(self._past)
        with trio.CancelScope(shield=True):
            await self.http.aclose()


def _digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


@asynccontextmanager
async def open_deployment(
    place: DeploymentSpec,
    options: DeploymentOptions,
    tell: ProgressReporter = lambda line: None,
) -> AsyncIterator[Deployment]:
    """Start a deployment, and end all its processes on the way out."""
    async with AsyncExitStack() as stack:
        folder = Path(
            stack.enter_context(tempfile.TemporaryDirectory(prefix="dewridge-"))
        )
        deployment = Deployment(place, options, folder, tell)
        stack.push_async_callback(deployment.close)
        await deployment.start()
        yield deployment
