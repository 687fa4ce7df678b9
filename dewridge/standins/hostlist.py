"""Simulated host list with a configurable lag, and the cloud's reclaim notices."""

import time
from collections import deque

import msgspec
from quart import Response
from quart_trio import QuartTrio

from dewridge.standins.faults import (
    FaultInjector,
    inject_after_call,
    inject_before_call,
)
from dewridge.standins.serving import make_app, read_body, reply

MAX_CHANGES = 100_000


class HostRecord(msgspec.Struct, frozen=True):
    """A registered backend server."""

    backend_server: str
    address: str
    failure_domain: str
    kind: str
    services: tuple[str, ...]
    machine_class: str = "standard"
    price: float = 1.0
    reclaimable: bool = True
    capacity: int = 8
    checks_fencing: bool = True
    state: str = "live"


class Notice(msgspec.Struct, frozen=True):
    """The cloud's notice that it reclaims a host at a time (seconds since 1970)."""

    subject: str
    at: float


class HostDirectory:
    """History of registrations: the current list and that of `lag` seconds ago."""

    def __init__(self) -> None:
        self.lag = 0.0
        self.notices: dict[str, Notice] = {}
        self._changes: deque[tuple[float, HostRecord]] = deque(maxlen=MAX_CHANGES)

    def register(self, record: HostRecord) -> None:
        """Add or replace a backend server."""
        self._changes.append((time.time(), record))

    def set_state(self, backend_server: str, state: str) -> bool:
        """Set the state of a backend server; False if it is not registered."""
        found = self._list_as_of(time.time()).get(backend_server)
        if found is None:
            return False
        self.register(msgspec.structs.replace(found, state=state))
        return True

    def list_lagged(self) -> list[HostRecord]:
        """Return the list that callers see, which is `lag` seconds old."""
        records = self._list_as_of(time.time() - self.lag)
        return [record for record in records.values() if record.state != "gone"]

    def list_current(self) -> list[HostRecord]:
        """Return the latest record of each server, also of removed servers."""
        return list(self._list_as_of(time.time()).values())

    def _list_as_of(self, until: float) -> dict[str, HostRecord]:
        records: dict[str, HostRecord] = {}
        for at, record in self._changes:
            if at <= until:
                records[record.backend_server] = record
        return records


def build_host_list_app(directory: HostDirectory, faults: FaultInjector) -> QuartTrio:
    """Return the host list's HTTP application."""
    app = make_app("host-list")

    @app.get("/v1/hosts")
    async def list_hosts() -> Response:
        fault = faults.intercept("host_list", "list")
        early_response = await inject_before_call(fault)
        body = {"hosts": directory.list_lagged()}
        return early_response or await inject_after_call(fault, reply(body))

    @app.post("/v1/hosts")
    async def register() -> Response:
        directory.register(await read_body(HostRecord))
        return reply({})

    return app


def build_cloud_app(directory: HostDirectory, faults: FaultInjector) -> QuartTrio:
    """Return the cloud's HTTP application."""
    app = make_app("cloud")

    @app.get("/v1/notices")
    async def list_notices() -> Response:
        fault = faults.intercept("cloud", "list")
        early_response = await inject_before_call(fault)
        body = {"notices": list(directory.notices.values())}
        return early_response or await inject_after_call(fault, reply(body))

    return app
