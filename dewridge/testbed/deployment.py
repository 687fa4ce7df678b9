"""Starts and controls a deployment: platform, backend servers and entry hosts."""

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
"""Seconds for the entry hosts to find each other and accept requests."""

OPERATOR_NAME = "testbed"

ProgressReporter = Callable[[str], None]
"""Prints a line of progress."""


@dataclass(frozen=True)
class DeploymentOptions:
    """Options of a deployment.

    Attributes:
        hosts: number of entry hosts, assigned to failure domains in round-robin order.
        host_domains: number of failure domains that get entry hosts.
        counts: backend servers per failure domain, by service; services that are not
            listed have the counts of the deployment's spec.
        step: milliseconds of an engine's step.
        capacity: largest number of streams in an engine's batch.
        work: milliseconds of one call to a plain service.
        overrides: settings by section that replace the testbed's settings.
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
    """An entry host of the deployment.

    Attributes:
        frontend: address for callers and operators.
        peers: address for other entry hosts.
        settings_path: file with its settings.
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
    """A process that runs the backend servers of a pool in one failure domain."""

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
    """A running deployment, with methods to control and inspect its processes."""

    def __init__(
        self,
        spec: DeploymentSpec,
        options: DeploymentOptions,
        folder: Path,
        report_progress: ProgressReporter,
    ) -> None:
        self.spec = spec
        self.options = options
        self.folder = folder
        self.report_progress = report_progress
        self.hosts: list[EntryHost] = []
        self.backends: list[BackendProcess] = []
        self.platform: Process | None = None
        self.tokens = {name: secrets.token_hex(16) for name in spec.accounts}
        self.operator_token = secrets.token_hex(16)
        self.http = httpx.AsyncClient(timeout=5.0)
        self._processes: list[Process] = []
        self._start_count = 0

    # ---- starting -------------------------------------------------------------

    async def start(self) -> None:
        """Start all processes and publish the spec's profiles and services.

        Raises:
            StartError: a process did not start, or a host did not join in time.
        """
        self.report_progress("starting the platform's stand-ins")
        self.platform = await self._start_process("platform", ["standin", "platform"])
        self.report_progress("starting backend servers and entry hosts")
        async with trio.open_nursery() as nursery:
            for pool in self.spec.server_pools:
                for index, domain in enumerate(self.spec.failure_domains):
                    count = self._count_servers(pool, index)
                    if count:
                        nursery.start_soon(self.start_backend, pool, domain, count)
            domains = self.spec.failure_domains[: self.options.host_domains]
            peer_ports = choose_ports(self.options.hosts)
            seeds = [f"127.0.0.1:{port}" for port in peer_ports]
            for index in range(self.options.hosts):
                domain = domains[index % len(domains)]
                nursery.start_soon(self.start_host, domain, peer_ports[index], seeds)
        await self._wait_until_all_joined()
        await self.publish_all()

    def _count_servers(self, pool: ServerPoolSpec, index: int) -> int:
        counts = self.options.counts.get(pool.service, pool.counts)
        return counts[index]

    async def _start_process(self, name: str, arguments: list[str]) -> Process:
        process = await start_process(
            name,
            [*arguments, "--die-with-parent"],
            self.folder,
            expects_announcement=True,
        )
        self._processes.append(process)
        return process

    async def start_backend(
        self, pool: ServerPoolSpec, domain: str, count: int
    ) -> BackendProcess:
        """Start a process with `count` servers of a pool in a failure domain."""
        self._start_count += 1
        assert self.platform is not None
        price = pool.prices[self.spec.failure_domains.index(domain)]
        kind = "engine" if pool.is_model else "plain"
        name = f"{pool.service}-{domain}-{self._start_count}"
        arguments = [
            *("standin", kind, "--service", pool.service),
            *("--failure-domain", domain, "--name", name, "--count", str(count)),
            *("--price", str(price), "--machine-class", pool.machine_class),
            *("--platform", str(self.platform.announcement["host_list"])),
        ]
        if pool.is_model:
            arguments += ["--step", str(self.options.step)]
            arguments += ["--capacity", str(self.options.capacity)]
        else:
            arguments += ["--work", str(self.options.work)]
        process = await self._start_process(name, arguments)
        backend = BackendProcess(pool, domain, process)
        self.backends.append(backend)
        return backend

    async def start_host(
        self, domain: str, peer_port: int = 0, seeds: list[str] | None = None
    ) -> EntryHost:
        """Start an entry host; without seeds it gets peers from the key-value service.

        Seeds are peer addresses of other entry hosts.
        """
        self._start_count += 1
        name = f"entry-{self._start_count}"
        frontend_port = choose_ports(1)[0]
        peer_port = peer_port or choose_ports(1)[0]
        settings = self._make_settings(
            name, domain, frontend_port, peer_port, seeds or []
        )
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        process = await start_process(
            name,
            ["serve", "--settings", str(path)],
            self.folder,
            expects_announcement=False,
        )
        self._processes.append(process)
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
                {"name": account, "token_sha256": _hash_token(token)}
                for account, token in self.tokens.items()
            ],
            "operators": [
                {
                    "name": OPERATOR_NAME,
                    "token_sha256": _hash_token(self.operator_token),
                }
            ],
        }
        for section, values in self.options.overrides.items():
            settings[section] = {**settings.get(section, {}), **values}
        return settings

    async def _wait_until_all_joined(self) -> None:
        self.report_progress("waiting for the entry hosts to find each other")
        for host in self.hosts:
            await self.wait_until_joined(host)

    async def wait_until_joined(self, host: EntryHost) -> None:
        """Wait until an entry host answers and sees all running entry hosts.

        Raises:
            StartError: it has exited, or did not join in time.
        """
        deadline = trio.current_time() + READY_TIMEOUT
        while not await self._is_joined(host):
            has_exited = not host.process.is_running
            if has_exited or trio.current_time() > deadline:
                log_tail = host.process.log_path.read_text()[-1500:]
                raise StartError(f"{host.name} did not join:\n{log_tail}")
            await trio.sleep(0.05)

    async def _is_joined(self, host: EntryHost) -> bool:
        """Whether an entry host answers and sees as many members as are running."""
        dump = await self.read_dump(host)
        members = dump.get("parts", {}).get("membership", {}).get("members", [])
        live = [member for member in members if member.get("state") == "ALIVE"]
        running = [h for h in self.hosts if h.process.is_running]
        return len(live) + 1 >= len(running)

    # ---- operator API ---------------------------------------------------------

    async def publish_all(self) -> None:
        """Publish the spec's profiles and services; wait until all hosts apply them."""
        for profile in self.spec.profiles:
            await self.put(f"/v1/profiles/{profile['name']}", profile)
        for service in self.spec.services:
            await self.put(f"/v1/services/{service['name']}", service)
        names = {str(service["name"]) for service in self.spec.services}
        for host in self.hosts:
            with trio.fail_after(READY_TIMEOUT):
                await self._wait_until_applied(host, names)

    async def _wait_until_applied(self, host: EntryHost, names: set[str]) -> None:
        while True:
            if names <= await self._list_services(host):
                return
            await trio.sleep(0.05)

    async def _list_services(self, host: EntryHost) -> set[str]:
        """Return the services in the current configuration of a host."""
        configuration = (await self.read_dump(host)).get("parts", {})
        return set(configuration.get("configuration", {}).get("services", {}))

    async def put(
        self, path: str, content: Any, etag: str | None = None
    ) -> httpx.Response:
        """Change an object as an operator, or create it if no etag is given.

        Raises:
            StartError: no entry host accepted the change.
        """
        precondition = {"If-Match": etag} if etag else {"If-None-Match": "*"}
        response = None
        for _ in range(20):
            for host in self.hosts:
                if not host.process.is_running:
                    continue
                try:
                    response = await self.http.put(
                        f"{host.url}{path}",
                        json=content,
                        headers={**self.operator_headers, **precondition},
                    )
                except httpx.HTTPError:
                    continue
                if response.status_code < 300:
                    return response
            await trio.sleep(0.3)
        detail = response.text if response is not None else "no answer"
        raise StartError(f"PUT {path}: {detail}")

    async def read_etag(self, path: str) -> str:
        """Return the etag of an object, which identifies its revision."""
        response = await self.http.get(
            f"{self.hosts[0].url}{path}", headers=self.operator_headers
        )
        response.raise_for_status()
        return str(response.headers["ETag"])

    @property
    def operator_headers(self) -> dict[str, str]:
        """Headers that authenticate the operator."""
        return {"Authorization": f"Bearer {self.operator_token}"}

    async def read_dump(self, host: EntryHost) -> dict[str, Any]:
        """Return an entry host's state dump; empty if it does not answer."""
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

    async def announce_reclaim(self, subject: str, notice_seconds: float) -> float:
        """Let the cloud announce a reclaim after `notice_seconds`.

        Returns:
            The time of the reclaim in seconds since 1970.
        """
        await self.post_order(
            f"{self.control}/control/notice",
            {"subject": subject, "in_seconds": notice_seconds},
        )
        return time.time() + notice_seconds

    async def set_platform_fault(self, target: str, mode: str, **more: Any) -> None:
        """Activate a fault of a platform service; mode `none` ends it."""
        order = {"target": target, "mode": mode, **more}
        await self.post_order(f"{self.control}/control/fault", order)

    async def read_execution_logs(self) -> list[dict[str, Any]]:
        """Return the execution logs of all backend servers that were ever started."""
        executions: list[dict[str, Any]] = []
        for backend in self.backends:
            response = await self.http.get(f"{backend.control}/control/log")
            executions += response.json()
        return executions

    async def read_platform_calls(self) -> dict[str, int]:
        """Return the number of platform calls by service and kind."""
        response = await self.http.get(f"{self.control}/control/calls")
        return dict(response.json()["calls"])

    def list_frontends(self) -> list[str]:
        """Return the frontend addresses of the running entry hosts."""
        return [host.frontend for host in self.hosts if host.process.is_running]

    async def close(self) -> None:
        """Stop all processes that were started."""
        await stop_processes(self._processes)
        with trio.CancelScope(shield=True):
            await self.http.aclose()


def _hash_token(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


@asynccontextmanager
async def open_deployment(
    spec: DeploymentSpec,
    options: DeploymentOptions,
    report_progress: ProgressReporter = lambda line: None,
) -> AsyncIterator[Deployment]:
    """Start a deployment, and stop all its processes on exit."""
    async with AsyncExitStack() as stack:
        folder = Path(
            stack.enter_context(tempfile.TemporaryDirectory(prefix="dewridge-"))
        )
        deployment = Deployment(spec, options, folder, report_progress)
        stack.push_async_callback(deployment.close)
        await deployment.start()
        yield deployment
