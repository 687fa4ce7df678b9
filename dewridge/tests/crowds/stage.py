"""One gateway as a process, with a store, and a server that a test scripts."""

import json
import random
import re
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import h11
import trio

from dewridge.tests.crowds.clients import ask_patiently
from dewridge.tests.crowds.measures import Footprint, record_footprint, watch_footprint
from dewridge.tests.soak.stage import Gateway, SoakEnvironment

MACHINE_BYTES = 300_000_000
"""Memory of an entry host's machine."""
DESCRIPTORS = 4_100
"""Descriptors of a process on that machine."""
BODY_LIMIT = 4_194_304
"""Largest body that the configuration allows."""
HOLDING_PATH = "/read/hold"
"""Requests that the server does not answer."""
LARGE_PATH = "/read/large"
"""Requests that the server answers with `LARGE_ANSWER_BYTES`."""
LARGE_ANSWER_BYTES = 7_000_000
ORDINARY_PATH = "/read/x"
OTHER_PATHS = {
    "readiness": "/-/readyz",
    "directory": "/-/resolve?name=x",
    "operations": "/metrics",
}
"""What the platform, callers and operators ask at the other listeners."""


@dataclass
class CrowdStage:
    """A running gateway.

    Attributes:
        gateway: its process and addresses.
        footprint: the most that it has held.
        descriptors: the most that its settings allow.
        find_relay_key: returns the key by which peers have requests relayed.
    """

    gateway: Gateway
    footprint: Footprint
    descriptors: int
    find_relay_key: Callable[[], str]

    @property
    def pid(self) -> int:
        """Id of the gateway's process."""
        assert self.gateway.process is not None
        return self.gateway.process.handle.pid

    def get_address(self, listener: str) -> str:
        """Return the address of a listener by its name in the settings."""
        names = ("callers", "readiness", "directory", "operations", "peers")
        return f"127.0.0.1:{self.gateway.ports[names.index(listener)]}"

    def check(self) -> None:
        """Check that the first process lives and has kept within its machine."""
        assert self.gateway.process is not None
        assert self.gateway.process.is_running
        record_footprint(self.pid, self.gateway.ports, self.footprint)
        assert self.footprint.memory < MACHINE_BYTES, self.footprint
        assert self.footprint.descriptors <= self.descriptors, self.footprint

    async def check_other_listeners(self) -> None:
        """Check that the platform, callers and operators reach the host."""
        async with trio.open_nursery() as nursery:
            for listener, path in OTHER_PATHS.items():
                address = self.get_address(listener)
                nursery.start_soon(ask_patiently, address, path, b"")

    async def check_service(self) -> None:
        """Check that an ordinary request is answered."""
        await ask_patiently(self.get_address("callers"), ORDINARY_PATH)


@asynccontextmanager
async def open_stage(
    folder: Path, descriptors: int = DESCRIPTORS
) -> AsyncIterator[CrowdStage]:
    """Run a gateway that is ready; end its process afterwards.

    Args:
        folder: folder for settings and logs.
        descriptors: descriptors that the settings allow.
    """
    async with trio.open_nursery() as nursery:
        environment = SoakEnvironment(random.Random(1), folder, nursery)
        try:
            await environment.start(hosts=1, servers=0)
            gateway = environment.gateways[0]
            # The process has not been started before the next checkpoint.
            settings = json.loads(gateway.settings_path.read_text())
            settings["host"]["descriptors"] = descriptors
            gateway.settings_path.write_text(json.dumps(settings))
            await add_server(environment, nursery)
            await gateway.has_process.wait()
            gateway.should_restart = False
            find_key = partial(find_relay_key, environment)
            stage = CrowdStage(gateway, Footprint(), descriptors, find_key)
            await stage.check_service()
            await stage.check_other_listeners()
            nursery.start_soon(
                watch_footprint, stage.pid, gateway.ports, stage.footprint
            )
            yield stage
        finally:
            await environment.close()
            nursery.cancel_scope.cancel()


def find_relay_key(environment: SoakEnvironment) -> str:
    """Return the relay key that the only host has written to the store."""
    for item in environment.store.memory_store.data.items.values():
        found = re.search(rb'"relay_key":"([^"]+)"', item.value)
        if found is not None:
            return found[1].decode()
    raise LookupError("no host is registered")


async def add_server(environment: SoakEnvironment, nursery: trio.Nursery) -> None:
    """Start a server that takes any number of requests, and write its record."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=1_024)
    nursery.start_soon(trio.serve_listeners, serve_requests, listeners)
    record = {
        "service": "plain",
        "address": f"127.0.0.1:{listeners[0].socket.getsockname()[1]}",
        "zone": "domain-a",
        "slots": 1_000,
        "state": "ready",
        "born": round(time.time() * 1000),
    }
    environment.store.memory_store.write("servers/s-1", json.dumps(record).encode())


async def serve_requests(stream: trio.SocketStream) -> None:
    """Answer the requests on a connection, whose bodies are discarded."""
    try:
        state = h11.Connection(h11.SERVER)
        while True:
            head = await receive_request(stream, state)
            if head is None:
                return
            if head.target == HOLDING_PATH.encode():
                await trio.sleep_forever()
            is_large = head.target == LARGE_PATH.encode()
            await stream.send_all(
                encode_answer(head, LARGE_ANSWER_BYTES if is_large else 4)
            )
            state = h11.Connection(h11.SERVER)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
    finally:
        await trio.aclose_forcefully(stream)


async def receive_request(
    stream: trio.SocketStream, state: h11.Connection
) -> h11.Request | None:
    """Return the head of a request that has arrived; None at the connection's end."""
    head: h11.Request | None = None
    while True:
        event = state.next_event()
        if event is h11.NEED_DATA:
            data = await stream.receive_some(65_536)
            if not data:
                return None
            state.receive_data(bytes(data))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.EndOfMessage):
            return head


def encode_answer(head: h11.Request, size: int) -> bytes:
    """Return a successful answer with a body of a given size."""
    fields = dict(head.headers)
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal\r\n"
        b"Content-Length: %d\r\n\r\n%s"
        % (fields.get(b"x-attempt-id", b""), size, bytes(size))
    )
