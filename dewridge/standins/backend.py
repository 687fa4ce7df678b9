"""Simulated backend servers of a process: listeners, registration and control."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
import trio
from quart import Response
from quart_trio import QuartTrio

from dewridge.standins.engine import Engine, EngineOptions, Execution
from dewridge.standins.enginehttp import build_engine_app
from dewridge.standins.hostlist import HostRecord
from dewridge.standins.misbehaviour import CRASH_DELAY, Misbehaviour, MisbehaviourMode
from dewridge.standins.plain import PlainOptions, PlainService, build_plain_app
from dewridge.standins.serving import Listener, make_app, read_body, reply

REGISTER_RETRY_INTERVAL = 0.2
"""Seconds between two attempts to register the servers in the host list."""
REGISTER_TIMEOUT = 2.0
"""Seconds for one HTTP request to the host list."""


class BackendPlan(msgspec.Struct, frozen=True):
    """The backend servers to run in this process.

    Attributes:
        platform: URL of the host list to register at; empty: do not register.
        failure_domains: assigned to the servers in round-robin order.
        prices: assigned to the servers in round-robin order.
        first_port: port of the first server; the others use the following ports,
            and the control endpoint the one after them. 0: chosen by the kernel.
    """

    name: str
    count: int
    services: tuple[str, ...]
    failure_domains: tuple[str, ...]
    platform: str = ""
    prices: tuple[float, ...] = (1.0,)
    machine_class: str = "standard"
    reclaimable: bool = True
    first_port: int = 0


class LeavingOrder(msgspec.Struct):
    """Sets or clears a server's leaving state; it stops after `dies_in` seconds."""

    server: str = ""
    leaving: bool = True
    dies_in: float = math.inf


@dataclass
class Backend:
    """One backend server with its listener and its simulated misbehaviour."""

    worker: Engine | PlainService
    misbehaviour: Misbehaviour
    listener: Listener


class BackendGroup:
    """The backend servers of one process and their shared control endpoint."""

    def __init__(
        self, plan: BackendPlan, options: EngineOptions | PlainOptions
    ) -> None:
        self._plan = plan
        self._options = options
        self._backends = [self._make_backend(index) for index in range(plan.count)]
        port = plan.first_port + plan.count if plan.first_port else 0
        self._control = Listener(build_control_app(self), port)
        self._nursery: trio.Nursery | None = None

    def _make_backend(self, index: int) -> Backend:
        plan = self._plan
        name = f"{plan.name}-{index + 1}" if plan.count > 1 else plan.name
        misbehaviour = Misbehaviour()
        port = plan.first_port + index if plan.first_port else 0
        worker: Engine | PlainService
        if isinstance(self._options, EngineOptions):
            worker = Engine(name, plan.services, self._options)
            app = build_engine_app(
                worker,
                misbehaviour,
                lambda: self._backends[index].listener.address,
                lambda: self._schedule_crash(self._backends[index]),
            )
        else:
            worker = PlainService(name, self._options)
            app = build_plain_app(worker, misbehaviour)
        return Backend(worker, misbehaviour, Listener(app, port))

    async def start(self, nursery: trio.Nursery) -> dict[str, Any]:
        """Start all listeners, register the servers, and return their addresses."""
        self._nursery = nursery
        await nursery.start(self._control.run)
        for backend in self._backends:
            await nursery.start(backend.listener.run)
            if isinstance(backend.worker, Engine):
                nursery.start_soon(backend.worker.run)
        if self._plan.platform:
            await register(self._plan.platform, self._list_records())
        return {
            "standin": "engine" if self._is_engine else "plain",
            "control": self._control.url,
            "servers": {b.worker.name: b.listener.address for b in self._backends},
        }

    @property
    def _is_engine(self) -> bool:
        return isinstance(self._options, EngineOptions)

    def _list_records(self) -> list[HostRecord]:
        plan = self._plan
        domains = plan.failure_domains
        checks_fencing = getattr(self._options, "checks_fencing", True)
        return [
            HostRecord(
                backend.worker.name,
                backend.listener.address,
                domains[index % len(domains)],
                "engine" if self._is_engine else "plain",
                plan.services,
                plan.machine_class,
                plan.prices[index % len(plan.prices)],
                plan.reclaimable,
                self._options.capacity,
                checks_fencing,
            )
            for index, backend in enumerate(self._backends)
        ]

    def find_backends(self, server: str) -> list[Backend]:
        """Return the servers with this name, or all servers if it is empty."""
        return [b for b in self._backends if server in ("", b.worker.name)]

    def set_misbehaviour(self, order: Misbehaviour) -> bool:
        """Apply a misbehaviour; False if there is no such server."""
        found = self.find_backends(order.server)
        for backend in found:
            for name in ("mode", "factor", "seconds", "events"):
                setattr(backend.misbehaviour, name, getattr(order, name))
            is_slow = order.mode is MisbehaviourMode.SLOW
            backend.worker.slowdown = order.factor if is_slow else 1.0
            if order.mode is MisbehaviourMode.DOWN:
                self._stop(backend)
            else:
                backend.listener.bring_up()
        return bool(found)

    def set_leaving(self, order: LeavingOrder) -> bool:
        """Set or clear the leaving state of servers; False if there is none."""
        found = self.find_backends(order.server)
        for backend in found:
            backend.worker.leaving = order.leaving
            if math.isfinite(order.dies_in) and self._nursery is not None:
                self._nursery.start_soon(self._stop_after, backend, order.dies_in)
        return bool(found)

    async def _stop_after(self, backend: Backend, seconds: float) -> None:
        await trio.sleep(seconds)
        self._stop(backend)

    def _schedule_crash(self, backend: Backend) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._crash_and_restart, backend)

    async def _crash_and_restart(self, backend: Backend) -> None:
        await trio.sleep(CRASH_DELAY)
        self._stop(backend)
        await trio.sleep(backend.misbehaviour.seconds)
        backend.listener.bring_up()

    def _stop(self, backend: Backend) -> None:
        backend.listener.take_down()
        if isinstance(backend.worker, Engine):
            backend.worker.abort_all()

    def read_log(self) -> list[Execution]:
        """Return the executions of all servers, ordered by time."""
        executions = [e for backend in self._backends for e in backend.worker.log]
        return sorted(executions, key=lambda execution: execution.at)


def build_control_app(group: BackendGroup) -> QuartTrio:
    """Return the HTTP application through which tests control the servers."""
    app = make_app("backend-control")

    @app.post("/control/fault")
    async def set_fault() -> Response:
        known = group.set_misbehaviour(await read_body(Misbehaviour))
        return reply({}, 200 if known else 404)

    @app.post("/control/leaving")
    async def set_leaving() -> Response:
        known = group.set_leaving(await read_body(LeavingOrder))
        return reply({}, 200 if known else 404)

    @app.get("/control/log")
    async def read_log() -> Response:
        return reply(group.read_log())

    return app


async def register(platform: str, records: Sequence[HostRecord]) -> None:
    """Register servers in the host list, retrying until it answers."""
    import httpx  # noqa: PLC0415 - slow to import, used only here

    async with httpx.AsyncClient(timeout=REGISTER_TIMEOUT) as client:
        for record in records:
            body = msgspec.json.encode(record)
            while True:
                try:
                    await client.post(f"{platform}/v1/hosts", content=body)
                    break
                except httpx.HTTPError:
                    await trio.sleep(REGISTER_RETRY_INTERVAL)
