"""The simulated platform services in one process, with fault injection."""

import time
from typing import Any

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from dewridge.standins.faults import Fault, FaultInjector, FaultMode
from dewridge.standins.hostlist import (
    HostDirectory,
    Notice,
    build_cloud_app,
    build_host_list_app,
)
from dewridge.standins.keyvalue import KeyValueStore, build_key_value_app
from dewridge.standins.serving import Listener, make_app, read_body, reply


class NoticeOrder(msgspec.Struct):
    """Announces a reclaim `in_seconds` from now, or withdraws the notice."""

    subject: str
    in_seconds: float = 2.0
    withdrawn: bool = False


class StateOrder(msgspec.Struct):
    """Sets the state of a backend server in the host list."""

    backend_server: str
    state: str


class LagOrder(msgspec.Struct):
    """Sets the lag of the host list."""

    seconds: float


class RestoreOrder(msgspec.Struct):
    """Restores an older version of a key; see `KeyValueStore.restore`."""

    key: str
    revision: int = 0


class Platform:
    """The key-value service, host list, cloud and control, each on its own port."""

    def __init__(self, first_port: int = 0) -> None:
        self.store = KeyValueStore()
        self.directory = HostDirectory()
        self.faults = FaultInjector()
        ports = [first_port + n if first_port else 0 for n in range(4)]
        self.listeners = {
            "key_value": Listener(
                build_key_value_app(self.store, self.faults), ports[0]
            ),
            "host_list": Listener(
                build_host_list_app(self.directory, self.faults), ports[1]
            ),
            "cloud": Listener(build_cloud_app(self.directory, self.faults), ports[2]),
            "control": Listener(build_control_app(self), ports[3]),
        }

    async def start(self, nursery: trio.Nursery) -> dict[str, Any]:
        """Start all listeners and return their URLs."""
        nursery.start_soon(self.store.expire_leases)
        for listener in self.listeners.values():
            await nursery.start(listener.run)
        urls = {name: listener.url for name, listener in self.listeners.items()}
        return {"standin": "platform", **urls}

    def set_fault(self, fault: Fault) -> bool:
        """Activate a fault; False if there is no such service."""
        listener = self.listeners.get(fault.target)
        if listener is None or fault.target == "control":
            return False
        self.faults.set_fault(fault)
        if fault.mode is FaultMode.DOWN:
            listener.take_down()
        else:
            listener.bring_up()
        return True


def build_control_app(platform: Platform) -> QuartTrio:
    """Return the HTTP application through which tests control the services."""
    app = make_app("platform-control")
    directory = platform.directory

    @app.post("/control/fault")
    async def set_fault() -> Response:
        known = platform.set_fault(await read_body(Fault))
        return reply({}, 200 if known else 404)

    @app.get("/control/faults")
    async def list_faults() -> Response:
        return reply(platform.faults.list_faults())

    @app.post("/control/notice")
    async def set_notice() -> Response:
        order = await read_body(NoticeOrder)
        directory.notices.pop(order.subject, None)
        if not order.withdrawn:
            notice = Notice(order.subject, time.time() + order.in_seconds)
            directory.notices[order.subject] = notice
        return reply({})

    @app.post("/control/server")
    async def set_state() -> Response:
        order = await read_body(StateOrder)
        known = directory.set_state(order.backend_server, order.state)
        return reply({}, 200 if known else 404)

    @app.get("/control/servers")
    async def list_servers() -> Response:
        return reply(directory.list_current())

    @app.post("/control/lag")
    async def set_lag() -> Response:
        directory.lag = (await read_body(LagOrder)).seconds
        return reply({})

    @app.post("/control/restore")
    async def restore() -> Response:
        order = await read_body(RestoreOrder)
        restored = platform.store.restore(order.key, order.revision)
        return reply(restored, 200 if restored else 404)

    @app.get("/control/calls")
    async def read_calls() -> Response:
        return reply({"at": time.time(), "calls": dict(platform.faults.calls)})

    @app.get("/control/writes")
    async def read_writes() -> Response:
        prefix = request.args.get("prefix", "")
        return reply([w for w in platform.store.writes if w.key.startswith(prefix)])

    return app
