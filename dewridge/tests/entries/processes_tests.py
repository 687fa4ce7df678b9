"""Tests of hosts as processes whose store holds entries of another writer."""

import json
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import trio

from dewridge.tests.crowds.clients import ask_patiently
from dewridge.tests.crowds.stage import serve_requests
from dewridge.tests.entries.values import (
    COUNTS_ENTRY,
    HOST_ENTRY,
    NEEDED_ENTRY,
    PROGRESS_ENTRY,
    ROLLOUT_ENTRY,
    SERVER_ENTRY,
    STREAMS_ENTRY,
    SUSPECT_ENTRY,
    make_odd_values,
)
from dewridge.tests.soak.stage import Gateway, SoakEnvironment, make_route

pytestmark = pytest.mark.timeout(120)

HOSTS = 2
SETTLE_SECONDS = 2.0
"""Seconds in which hosts read what was written, and retry what failed."""
FOLLOW_SECONDS = 15.0
"""Seconds within which hosts follow a change in any case."""
PREFIXES: dict[str, tuple[tuple[str, dict[str, Any]], ...]] = {
    "hosts": (("dewridge/hosts/", HOST_ENTRY),),
    "suspects": (("dewridge/suspects/", SUSPECT_ENTRY),),
    "rollouts": (
        ("dewridge/rollouts/", PROGRESS_ENTRY),
        ("op/rollout/", ROLLOUT_ENTRY),
    ),
    "servers": (("servers/", SERVER_ENTRY),),
    "others": (
        ("dewridge/usage/", COUNTS_ENTRY),
        ("dewridge/", HOST_ENTRY),
        ("streams/", STREAMS_ENTRY),
    ),
}
"""Keys under which odd values are left, and a sound value there."""
SINGLE_KEYS: tuple[tuple[str, dict[str, Any]], ...] = (
    ("dewridge-needed", NEEDED_ENTRY),
    ("dewridge/holder", {"host": "odd"}),
)
"""Keys that the hosts themselves write."""


def leave_entries(environment: SoakEnvironment, group: str) -> None:
    """Write odd values under the prefixes of a group."""
    store = environment.store.memory_store
    for prefix, entry in PREFIXES[group]:
        for number, value in enumerate(make_odd_values(entry)):
            store.write(f"{prefix}odd-{number}", value)
    if group == "others":
        for key, entry in SINGLE_KEYS:
            for value in make_odd_values(entry):
                store.write(key, value)


@asynccontextmanager
async def open_hosts(folder: Path, group: str) -> AsyncIterator[SoakEnvironment]:
    """Run hosts that find odd entries when they start."""
    async with trio.open_nursery() as nursery:
        environment = SoakEnvironment(random.Random(1), folder, nursery)
        try:
            leave_entries(environment, group)
            await environment.start(hosts=HOSTS, servers=0)
            await add_server(environment, "plain")
            for gateway in environment.gateways:
                await gateway.has_process.wait()
                gateway.should_restart = False
            yield environment
        finally:
            await environment.close()
            nursery.cancel_scope.cancel()


async def check_followed(environment: SoakEnvironment, number: int) -> None:
    """Check that all hosts follow a new configuration, a new server and a new host."""
    name = f"added-{number}"
    await add_server(environment, name)
    add_service(environment, name)
    frontend = f"127.0.0.1:{9_000 + number}"
    entry = {**HOST_ENTRY, "id": name, "frontend": frontend, "is_ready": True}
    environment.store.memory_store.write(
        f"dewridge/hosts/{name}/1", json.dumps(entry).encode()
    )
    async with trio.open_nursery() as nursery:
        for gateway in environment.gateways:
            nursery.start_soon(ask_patiently, gateway.caller_address, f"/{name}/x")
            nursery.start_soon(wait_for_listed, gateway, name)


async def add_server(environment: SoakEnvironment, service: str) -> None:
    """Start a server that answers all requests, and write its record."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    environment.nursery.start_soon(trio.serve_listeners, serve_requests, listeners)
    record = {
        **SERVER_ENTRY,
        "service": service,
        "address": f"127.0.0.1:{listeners[0].socket.getsockname()[1]}",
    }
    environment.store.memory_store.write(
        f"servers/{service}", json.dumps(record).encode()
    )


def add_service(environment: SoakEnvironment, name: str) -> None:
    """Write a configuration with a further service and its route."""
    store = environment.store.memory_store
    document = json.loads(store.data.items["op/config"].value)
    document["services"].append({"name": name, "max_connections": 200})
    document["routes"].append(make_route(name, "idempotent", name, 1))
    environment.written_version += 1
    document["version"] = environment.written_version
    store.write("op/config", json.dumps(document).encode())


async def read_state(gateway: Gateway) -> dict[str, Any]:
    """Return the dump of a host's state."""
    address = f"127.0.0.1:{gateway.ports[3]}"
    answer = await ask_patiently(address, "/dump", b"")
    state: dict[str, Any] = json.loads(answer.body)
    return state


async def wait_for_listed(gateway: Gateway, host: str) -> None:
    """Wait until a host has another one in its table."""
    with trio.fail_after(FOLLOW_SECONDS):
        while True:
            state = await read_state(gateway)
            if host in {entry["id"] for entry in state["hosts"]}:
                return
            await trio.sleep(0.2)


async def check_running(environment: SoakEnvironment) -> None:
    """Check that no process has ended, or is about to."""
    for gateway in environment.gateways:
        assert gateway.process is not None
        assert gateway.process.is_running, gateway.name
        state = await read_state(gateway)
        assert not state["host"]["is_leaving"], gateway.name


@pytest.mark.parametrize("group", PREFIXES)
async def test_hosts_outlast_odd_entries_and_follow_the_others(
    group: str, tmp_path: Path
) -> None:
    """Guards against one entry in the store that ends all hosts, or stops them."""
    async with open_hosts(tmp_path, group) as environment:
        for gateway in environment.gateways:
            await ask_patiently(gateway.caller_address, "/read/x")
        await check_followed(environment, 1)
        leave_entries(environment, group)
        await trio.sleep(SETTLE_SECONDS)
        await check_followed(environment, 2)
        await check_running(environment)
