"""Tests of hosts as processes whose ports for peers get what no peer sends."""

import json
import random
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import pytest
import trio

from dewridge.gateway.datagrams import MAX_DATAGRAM_BYTES
from dewridge.gateway.hosts import HOSTS_PREFIX
from dewridge.gateway.reports import CellReport, Report
from dewridge.tests.crowds.clients import ask_patiently
from dewridge.tests.entries.peers_tests import (
    MESSAGES,
    list_altered,
    list_basic,
    list_odd_datagrams,
    number_report,
)
from dewridge.tests.entries.processes_tests import (
    add_server,
    check_followed,
    check_running,
)
from dewridge.tests.entries.values import ODD_BYTES, ODD_TEXTS
from dewridge.tests.soak.stage import Gateway, SoakEnvironment

pytestmark = pytest.mark.timeout(120)

HOSTS = 2
EVERY = 7
"""Of the altered messages, one in so many is sent; other tests decode them all."""
BATCH = 20
BATCH_SECONDS = 0.03
"""Seconds until the next datagrams are sent: hosts read some thousand a second, and the
kernel drops what it has no room for."""
REPEATS = 8
"""Times that odd datagrams are sent: a task that ends is started again some times."""
ANSWER_SECONDS = 1.0
"""Seconds that a client waits for the end of what it is answered."""


@asynccontextmanager
async def open_hosts(folder: Path) -> AsyncIterator[SoakEnvironment]:
    """Run hosts with a server."""
    async with trio.open_nursery() as nursery:
        environment = SoakEnvironment(random.Random(1), folder, nursery)
        try:
            await environment.start(hosts=HOSTS, servers=0)
            await add_server(environment, "plain")
            for gateway in environment.gateways:
                await gateway.has_process.wait()
                gateway.should_restart = False
            yield environment
        finally:
            await environment.close()
            nursery.cancel_scope.cancel()


def list_datagrams() -> Iterator[bytes]:
    """Yield what is no message, and messages with one odd part."""
    for _ in range(REPEATS):
        yield from list_odd_datagrams()
    for message in MESSAGES:
        for number, altered in enumerate(list_altered(list_basic(message))):
            if number % EVERY:
                continue
            if isinstance(message, Report | CellReport) and isinstance(altered, list):
                odd, before = number_report(altered, message, number)
                yield before
                yield odd
            else:
                yield msgspec.msgpack.encode(altered)


async def send_datagrams(gateway: Gateway) -> None:
    """Send odd datagrams to a host."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number, data in enumerate(list_datagrams()):
            if len(data) > MAX_DATAGRAM_BYTES:
                continue
            sender.sendto(data, ("127.0.0.1", gateway.ports[4]))
            if number % BATCH == 0:
                await trio.sleep(BATCH_SECONDS)


def list_requests(key: bytes) -> Iterator[bytes]:
    """Yield odd requests; some have the key of the host."""
    yield from ODD_BYTES
    names = [text.encode() for text in ODD_TEXTS if text.isprintable()]
    names += [b"x" * 2_000, b",".join(b"s-%d" % n for n in range(5_000)), b"\xff\xfe"]
    numbers = (b"-1", b"9" * 19, b"9" * 400, b"1e9", b"\xb2", b"")
    for given in (key, b"other", b"\xff"):
        yield make_request(b"/configuration", given, [])
        for number in numbers:
            for name in (b"dewridge-base", b"dewridge-newer-than"):
                yield make_request(b"/configuration", given, [(name, number)])
        for call in (b"probe", b"request", b"single request", b"control", b"\xff"):
            for name in names:
                headers = [
                    (b"dewridge-call", call),
                    (b"dewridge-sender", name[:2_000]),
                    (b"dewridge-server", name),
                ]
                yield make_request(b"/probe", given, headers)


def make_request(path: bytes, key: bytes, headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the bytes of a request to the port for peers."""
    lines = [b"GET %s HTTP/1.1" % path, b"host: a", b"dewridge-key: " + key]
    lines += [b"%s: %s" % header for header in headers]
    return b"\r\n".join([*lines, b"connection: close", b"", b""])


async def send_requests(environment: SoakEnvironment, gateway: Gateway) -> None:
    """Send odd requests to a host, each on a connection of its own."""
    key = find_key(environment, gateway)
    for data in list_requests(key):
        with trio.move_on_after(ANSWER_SECONDS):
            stream = await trio.open_tcp_stream("127.0.0.1", gateway.ports[4])
            async with stream:
                try:
                    await stream.send_all(data)
                    await stream.send_eof()
                    while await stream.receive_some():
                        pass
                except trio.BrokenResourceError:
                    continue


def find_key(environment: SoakEnvironment, gateway: Gateway) -> bytes:
    """Return the key by which hosts ask a host."""
    items = environment.store.memory_store.data.items
    entries = [
        json.loads(item.value) for key, item in items.items() if HOSTS_PREFIX in key
    ]
    return str(
        next(entry["relay_key"] for entry in entries if entry["id"] == gateway.name)
    ).encode()


def find_errors(gateway: Gateway) -> list[str]:
    """Return the lines of a host's log about tasks that ended by an exception."""
    path = gateway.settings_path.with_suffix(".log")
    return [line for line in path.read_text().splitlines() if "Error" in line]


async def test_hosts_outlast_what_no_peer_sends_and_follow_changes(
    tmp_path: Path,
) -> None:
    """Guards against a datagram or a request that ends a host, or what it follows."""
    async with open_hosts(tmp_path) as environment:
        for gateway in environment.gateways:
            await ask_patiently(gateway.caller_address, "/read/x")
        await check_followed(environment, 1)
        async with trio.open_nursery() as nursery:
            for gateway in environment.gateways:
                nursery.start_soon(send_datagrams, gateway)
                nursery.start_soon(send_requests, environment, gateway)
        await check_followed(environment, 2)
        await check_running(environment)
        for gateway in environment.gateways:
            assert not find_errors(gateway)
