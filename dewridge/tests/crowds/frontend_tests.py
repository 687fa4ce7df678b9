"""Tests of the own interface's entry hosts beside crowds of clients and peers."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager

import httpx
import msgspec
import pytest
import trio
from uuid6 import uuid7

from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.peers.frames import FrameContent, encode_frame
from dewridge.peers.hello import HelloInfo, make_hello
from dewridge.peers.model import PeerIdentity
from dewridge.testbed.deployment import (
    Deployment,
    DeploymentOptions,
    EntryHost,
    open_deployment,
)
from dewridge.testbed.places import SELLO_VERDE
from dewridge.tests.crowds.clients import (
    ANSWER_SECONDS,
    RETRY_PAUSE,
    Crowd,
    Script,
    make_chunks,
    make_pieces,
)
from dewridge.tests.crowds.measures import Footprint, record_footprint, watch_footprint
from dewridge.tests.crowds.stage import MACHINE_BYTES

pytestmark = pytest.mark.timeout(180)

BODY_LIMIT = 4_000_000
"""Largest body that an entry host takes without a setting for it."""
FRAME_LIMIT = 8_000_000
"""The same for frames of peers."""
DESCRIPTORS = 4_100
HOSTS = 3
ACCOUNT = SELLO_VERDE.accounts[0]


def make_frontend_head(token: str, *fields: str) -> bytes:
    """Return the head of a submission."""
    lines = (
        "POST /v1/services/registry/requests HTTP/1.1",
        "Host: x",
        f"Authorization: Bearer {token}",
        *fields,
    )
    return "\r\n".join((*lines, "", "")).encode()


def make_stopping_short(token: str) -> Script:
    """Return a script that sends a body of the limit but for its last byte."""
    head = make_frontend_head(token, f"Content-Length: {BODY_LIMIT}")

    def send(number: int) -> Iterator[bytes]:
        yield head
        yield from make_pieces(BODY_LIMIT - 1)

    return send


def make_stopping_short_in_chunks(token: str) -> Script:
    """Return the same in large chunks."""
    head = make_frontend_head(token, "Transfer-Encoding: chunked")

    def send(number: int) -> Iterator[bytes]:
        yield head
        yield from make_chunks(BODY_LIMIT - 1, 60_000)

    return send


def make_tiny_chunks(token: str) -> Script:
    """Return a script that sends a body in chunks of two bytes."""
    head = make_frontend_head(token, "Transfer-Encoding: chunked")

    def send(number: int) -> Iterator[bytes]:
        yield head
        yield from make_chunks(BODY_LIMIT, 2)

    return send


def make_submissions(token: str) -> Script:
    """Return a script that sends whole submissions of almost the limit."""

    def send(number: int) -> Iterator[bytes]:
        body = msgspec.json.encode(
            {
                "key": str(uuid7()),
                "operation": "check_status",
                "input": "x" * (BODY_LIMIT - 1_000),
                "deadline_seconds": 60,
            }
        )
        yield make_frontend_head(token, f"Content-Length: {len(body)}")
        yield body

    return send


def send_unfinished_frame(number: int) -> Iterator[bytes]:
    """Greet as a peer, and send a frame of the limit but for its last byte."""
    identity = PeerIdentity(
        HostId(f"stranger-{number}"), Incarnation(number + 1), FailureDomain("x")
    )
    hello = make_hello(HelloInfo(SELLO_VERDE.name, identity))
    greeting = encode_frame(FrameContent(0, 0, hello), FRAME_LIMIT)
    assert isinstance(greeting, bytes)
    yield greeting
    yield FRAME_LIMIT.to_bytes(4, "big")
    yield from make_pieces(FRAME_LIMIT - 1)


@asynccontextmanager
async def open_hosts(work: float = 5.0) -> AsyncIterator[Deployment]:
    """Run entry hosts with one plain server in each failure domain.

    Args:
        work: milliseconds of one call to a server.
    """
    counts: dict[str, tuple[int, ...]] = {
        "findings": (1, 0, 0, 0),
        "registry": (1, 1, 1, 1),
    }
    options = DeploymentOptions(hosts=HOSTS, counts=counts, work=work)
    async with open_deployment(SELLO_VERDE, options) as deployment:
        yield deployment


async def face_crowd(deployment: Deployment, address: str, crowd: Crowd) -> None:
    """Check the first host while a crowd is there, and after it has left."""
    host = deployment.hosts[0]
    footprint = Footprint()
    ports = [int(part.rpartition(":")[2]) for part in (host.frontend, host.peers)]
    pid = host.process.handle.pid
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch_footprint, pid, ports, footprint)
        nursery.start_soon(crowd.run)
        await crowd.wait_settled()
        await submit_patiently(deployment, host)
        nursery.cancel_scope.cancel()
    await submit_patiently(deployment, host)
    assert all(other.process.is_running for other in deployment.hosts)
    record_footprint(pid, ports, footprint)
    assert footprint.memory < MACHINE_BYTES, footprint
    assert footprint.descriptors <= DESCRIPTORS, footprint


async def submit_patiently(deployment: Deployment, host: EntryHost) -> None:
    """Send an ordinary request until a host answers it.

    Raises:
        trio.TooSlowError: it did not.
    """
    token = deployment.tokens[SELLO_VERDE.accounts[1]]
    with trio.fail_after(ANSWER_SECONDS):
        while True:
            body = {
                "key": str(uuid7()),
                "operation": "check_status",
                "input": "{}",
                "deadline_seconds": 10,
            }
            try:
                async with httpx.AsyncClient(timeout=15.0) as client:
                    answer = await client.post(
                        f"{host.url}/v1/services/registry/requests",
                        json=body,
                        headers={"Authorization": f"Bearer {token}"},
                    )
                if answer.status_code == 200:
                    return
            except httpx.HTTPError:
                pass
            await trio.sleep(RETRY_PAUSE)


@pytest.mark.parametrize(
    "make_script", [make_stopping_short, make_stopping_short_in_chunks]
)
async def test_submissions_without_an_end_end_no_host(make_script: object) -> None:
    """Guards against memory for many bodies that stop just short of their end."""
    assert callable(make_script)
    async with open_hosts() as deployment:
        address = deployment.hosts[0].frontend
        script = make_script(deployment.tokens[ACCOUNT])
        await face_crowd(deployment, address, Crowd(address, script, 120))


async def test_whole_submissions_that_wait_end_no_host() -> None:
    """Guards against memory for many submissions inside the limit at once."""
    async with open_hosts(work=20_000.0) as deployment:
        address = deployment.hosts[0].frontend
        script = make_submissions(deployment.tokens[ACCOUNT])
        crowd = Crowd(address, script, 120)
        await check_memory_only(deployment, crowd)


async def check_memory_only(deployment: Deployment, crowd: Crowd) -> None:
    """Check the hosts while a crowd occupies the servers too."""
    hosts = deployment.hosts
    footprints = [Footprint() for _ in hosts]
    async with trio.open_nursery() as nursery:
        for host, footprint in zip(hosts, footprints, strict=True):
            pid = host.process.handle.pid
            nursery.start_soon(watch_footprint, pid, [], footprint)
        nursery.start_soon(crowd.run)
        await crowd.wait_settled()
        nursery.cancel_scope.cancel()
    for host, footprint in zip(hosts, footprints, strict=True):
        assert host.process.is_running
        record_footprint(host.process.handle.pid, [], footprint)
        assert footprint.memory < MACHINE_BYTES, footprint
        assert footprint.descriptors <= DESCRIPTORS, footprint


async def test_tiny_chunks_keep_nobody_waiting() -> None:
    """Guards against a process that only parses chunks of two bytes."""
    async with open_hosts() as deployment:
        address = deployment.hosts[0].frontend
        script = make_tiny_chunks(deployment.tokens[ACCOUNT])
        crowd = Crowd(address, script, 40, comes_back=True)
        await face_crowd(deployment, address, crowd)


async def test_frames_without_an_end_end_no_host() -> None:
    """Guards against memory for many frames that stop just short of their end."""
    async with open_hosts() as deployment:
        address = deployment.hosts[0].peers
        await face_crowd(deployment, address, Crowd(address, send_unfinished_frame, 60))
