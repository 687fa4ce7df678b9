"""Tests of the memory that callers of the own interface can make a host hold."""

from contextlib import suppress

import httpx
import trio

from dewridge.codes import ResultCode
from dewridge.policy.memorybudget import MemoryBudget
from dewridge.tests.frontend.fakes import (
    AUDITOR,
    FakeRequests,
    authorize,
    make_body,
    make_key,
    run_frontend,
    wait_until,
)
from dewridge.tests.frontend.server_tests import make_script

LIMIT = 4_000_000
LENGTH = 300_000
HEAD = (
    "POST /v1/services/findings/requests HTTP/1.1\r\nHost: a\r\n"
    f"Authorization: Bearer {AUDITOR}\r\nContent-Length: {LENGTH}\r\n\r\n"
).encode()


async def connect(address: str) -> trio.SocketStream:
    """Open a connection as a caller."""
    host, port = address.split(":")
    return await trio.open_tcp_stream(host, int(port))


async def test_a_body_beyond_the_memory_is_refused() -> None:
    """Guards against bodies that each fit and together end the process."""
    memory = MemoryBudget(LIMIT)
    requests = FakeRequests([])
    async with run_frontend(requests, memory=memory) as frontend:
        streams = [await connect(frontend.address) for _ in range(4)]
        for stream in streams:
            await stream.send_all(HEAD + bytes(LENGTH // 2))
        await wait_until(lambda: memory.refused > 0)
        assert memory.used <= LIMIT
        for stream in streams:
            await stream.aclose()
        await wait_until(lambda: memory.used == 0)
    assert not requests.submissions


async def test_a_stalled_body_is_closed_for_another() -> None:
    """Guards against callers that stop short and keep the memory from others."""
    memory = MemoryBudget(LIMIT)
    async with run_frontend(FakeRequests([]), memory=memory) as frontend:
        stalled = await connect(frontend.address)
        await stalled.send_all(HEAD + bytes(LENGTH - 1))
        await wait_until(lambda: memory.used > LENGTH)
        await trio.sleep(0.7)
        other = await connect(frontend.address)
        await other.send_all(HEAD + bytes(LENGTH - 1))
        await wait_until(lambda: memory.closed == 1)
        answer = bytes(await stalled.receive_some(65_536))
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert str(int(ResultCode.HOST_OVERLOADED)).encode() in answer
        await other.aclose()
        await stalled.aclose()
        await wait_until(lambda: memory.used == 0)


async def test_memory_is_given_back_between_requests() -> None:
    """Guards against a kept connection that is refused after many requests."""
    memory = MemoryBudget(LIMIT)
    async with run_frontend(FakeRequests([]), memory=memory) as frontend:
        async with httpx.AsyncClient(base_url=f"http://{frontend.address}") as client:
            for _ in range(20):
                await client.post(
                    "/v1/services/findings/requests",
                    json=make_body(input="x" * 100_000, operation="unknown"),
                    headers=authorize(AUDITOR),
                )
        await wait_until(lambda: memory.used == 0)
    assert memory.refused == 0


async def test_a_refused_request_does_not_keep_its_connection() -> None:
    """Guards against connections that stay forever since their body was not read."""
    memory = MemoryBudget(20 * LIMIT)
    async with run_frontend(FakeRequests([]), memory=memory) as frontend:
        for _ in range(3):
            stream = await connect(frontend.address)
            head = HEAD.replace(AUDITOR.encode(), b"wrong")
            head = head.replace(str(LENGTH).encode(), b"3000000")
            with trio.fail_after(5.0):
                try:
                    await stream.send_all(head + bytes(2_900_000))
                    while await stream.receive_some(65_536):
                        pass
                except trio.BrokenResourceError:
                    pass
            await stream.aclose()
        await wait_until(lambda: memory.used == 0)


async def test_a_followed_answer_is_not_closed_for_others() -> None:
    """Guards against streams that are cut, or get a refusal in their middle."""
    memory = MemoryBudget(LIMIT)
    requests = FakeRequests([1.0, *make_script(2, 0.2)])
    async with run_frontend(requests, memory=memory, heartbeat=0.1) as frontend:
        received = bytearray()

        async def follow() -> None:
            async with await connect(frontend.address) as stream:
                key = make_key()
                head = f"GET /v1/requests/{key}?stream=1 HTTP/1.1\r\nHost: a\r\n"
                token = f"Authorization: Bearer {AUDITOR}\r\nConnection: close\r\n\r\n"
                await stream.send_all((head + token).encode())
                while data := await stream.receive_some(65_536):
                    received.extend(data)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(follow)
            await trio.sleep(0.7)
            for _ in range(3):
                stalled = await connect(frontend.address)
                with suppress(trio.BrokenResourceError):
                    await stalled.send_all(HEAD + bytes(LENGTH - 1))
        assert memory.refused + memory.closed > 0
    assert b" 503 " not in received
    assert received.count(b"HTTP/1.1 ") == 1
