"""The server over real connections: long streams, shutdown, floods."""

import socket
import time
from collections import Counter
from contextlib import AsyncExitStack

import httpx
import pytest
import trio
import trio.lowlevel

from dewridge.codes import ResultCode
from dewridge.frontend.server import HEAD_QUIET_TIME, serve
from dewridge.ids import Generation
from dewridge.requests.model import AnswerEvent, EndedEvent, TokensEvent
from dewridge.tests.frontend.fakes import (
    AUDITOR,
    RIVAL,
    FakeRequests,
    authorize,
    make_app,
    make_body,
    make_settings,
    run_frontend,
    wait_until,
)

FINDINGS = "/v1/services/findings/requests"


def make_script(count: int, pause: float) -> list[AnswerEvent | float]:
    script: list[AnswerEvent | float] = []
    for offset in range(count):
        script += [TokensEvent(Generation(1), offset, (f" {offset}",)), pause]
    return [*script, EndedEvent(ResultCode.OK)]


def make_client() -> httpx.AsyncClient:
    # No keep-alive: each stream has a connection of its own.
    limits = httpx.Limits(max_keepalive_connections=0)
    return httpx.AsyncClient(timeout=10, verify=False, limits=limits)


async def read_stream(
    address: str, token: str = AUDITOR, client: httpx.AsyncClient | None = None
) -> list[str]:
    async with AsyncExitStack() as stack:
        if client is None:
            client = await stack.enter_async_context(make_client())
        answer = await stack.enter_async_context(
            client.stream(
                "POST",
                f"http://{address}{FINDINGS}",
                json=make_body(stream=True),
                headers=authorize(token),
            )
        )
        lines = [line async for line in answer.aiter_lines()]
    return [line[7:] for line in lines if line.startswith("event: ")]


async def test_a_stream_outlives_every_limit_on_connections() -> None:
    # A long draft streams for longer than any timeout of the server or of its
    # libraries. Each of them, left alone, would cut the draft off midway. Here
    # the limits are a fraction of the stream's length.
    limits = {"keep_alive": 0.1, "body_timeout": 0.1, "write_timeout": 0.1}
    requests = FakeRequests([0.7, *make_script(3, 0.4)])
    async with run_frontend(requests, heartbeat=0.1, **limits) as frontend:
        names = await read_stream(frontend.address)
    assert names[0] == "accepted"
    assert names[-1] == "end"
    assert names.count("tokens") == 3
    assert names.count("heartbeat") >= 5


async def test_a_shutdown_cuts_off_no_answer() -> None:
    # The host is told to stop while answers stream. Every caller still gets
    # its end, and new connections are refused at once so that callers go on to
    # another host.
    requests = FakeRequests(make_script(5, 0.1))
    found: list[list[str]] = []
    async with run_frontend(requests) as frontend:

        async def read() -> None:
            found.append(await read_stream(frontend.address))

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(read)
            await wait_until(lambda: requests.open_streams == 5)
            frontend.shutdown.set()
            await trio.sleep(0.05)
            host, port = frontend.address.split(":")
            try:
                stream = await trio.open_tcp_stream(host, int(port))
                await stream.aclose()
                raise AssertionError("a new connection was accepted")
            except OSError:
                pass
        with trio.fail_after(2):
            await frontend.ended.wait()
    assert [names[-1] for names in found] == ["end"] * 5


async def test_a_caller_that_goes_away_ends_only_its_follower() -> None:
    # A caller's connection breaks. The request itself must go on, and what
    # followed it on this host must not stay behind.
    requests = FakeRequests(make_script(100, 0.05))
    async with run_frontend(requests) as frontend:
        with trio.move_on_after(0.3):
            await read_stream(frontend.address)
        await wait_until(lambda: not requests.open_streams)
    assert len(requests.submissions) == 1


async def test_a_reader_that_stops_is_cut_off() -> None:
    # A caller stops reading, or a hop has lost track of the connection. Its
    # answer must not stay in memory for good; the caller may resume.
    tokens = tuple("x" * 100 for _ in range(500))
    events = [TokensEvent(Generation(1), 500 * n, tokens) for n in range(1000)]
    requests = FakeRequests(events)
    async with run_frontend(requests, write_timeout=0.2) as frontend:
        host, port = frontend.address.split(":")
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            body = httpx.Request(
                "POST",
                f"http://{frontend.address}{FINDINGS}",
                json=make_body(stream=True),
                headers=authorize(AUDITOR),
            )
            head = "".join(f"{k}: {v}\r\n" for k, v in body.headers.items())
            text = f"POST {FINDINGS} HTTP/1.1\r\n{head}\r\n".encode()
            await stream.send_all(text + body.content)
            await wait_until(lambda: requests.open_streams == 1)
            await wait_until(lambda: requests.open_streams == 0)


async def test_a_body_that_never_comes_is_given_up() -> None:
    # A caller, by a fault or on purpose, sends a head and then a byte now and
    # then. Each such connection would hold a handler for good.
    async with run_frontend(FakeRequests(), body_timeout=0.2) as frontend:
        host, port = frontend.address.split(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            head = f"POST {FINDINGS} HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n"
            token = f"Authorization: Bearer {AUDITOR}\r\n\r\n"
            await stream.send_all((head + token).encode())
            with trio.fail_after(3):
                answer = await stream.receive_some(4096)
    assert answer.startswith(b"HTTP/1.1 408")


async def test_a_head_that_never_ends_is_given_up() -> None:
    # The same with the head; no handler has it yet, so only the server can act.
    async with run_frontend(FakeRequests(), keep_alive=0.2) as frontend:
        host, port = frontend.address.split(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            with trio.fail_after(3):
                await stream.send_all(b"GET /v1/entry-hosts HTTP/1.1\r\nA: b")
                while await stream.receive_some(4096):
                    pass


async def test_connections_over_the_limit_are_told_to_come_back() -> None:
    # More callers at work than the host may serve. It must stay up for the
    # answers in flight, and the ones turned away must hear why.
    requests = FakeRequests([30.0])
    async with (
        run_frontend(requests, connection_limit=8) as frontend,
        trio.open_nursery() as nursery,
        make_client() as client,
    ):
        url = f"http://{frontend.address}/v1/entry-hosts"
        for _ in range(8):
            nursery.start_soon(read_stream, frontend.address)
        await wait_until(lambda: requests.open_streams == 8)
        refused = await client.get(url, headers=authorize(AUDITOR))
        assert requests.open_streams == 8
        nursery.cancel_scope.cancel()
    assert (refused.status_code, refused.json()["outcome"]) == (429, "unknown")
    assert refused.headers["Retry-After"] == "1"


async def test_connections_that_are_only_held_make_room() -> None:
    # A flood of connections that send nothing, or keep a host's attention after
    # one answer. Callers with work would find no room until their time is over.
    requests = FakeRequests([EndedEvent(ResultCode.OK)])
    async with run_frontend(requests, connection_limit=8) as frontend:
        host, port = frontend.address.split(":")
        held = [await trio.open_tcp_stream(host, int(port)) for _ in range(20)]
        for _ in range(3):
            with trio.fail_after(2):
                assert await read_stream(frontend.address) == ["accepted", "end"]
        for stream in held:
            await stream.aclose()


async def test_an_account_at_its_limit_does_not_shut_out_another() -> None:
    # One account opens streams without end. Its rival, on the same host, must
    # not notice.
    requests = FakeRequests([30.0])
    async with (
        run_frontend(requests, account_stream_limit=2) as frontend,
        trio.open_nursery() as nursery,
    ):
        for _ in range(2):
            nursery.start_soon(read_stream, frontend.address)
        await wait_until(lambda: requests.open_streams == 2)
        requests.script = [EndedEvent(ResultCode.OK)]
        assert await read_stream(frontend.address) == []
        assert await read_stream(frontend.address, RIVAL) == ["accepted", "end"]
        nursery.cancel_scope.cancel()
    assert len(requests.submissions) == 3


async def test_callers_that_connect_during_a_shutdown_are_served_or_refused() -> None:
    # Callers connect at the very moment at which the host stops listening. A
    # connection that the kernel took and the process dropped looks to its
    # caller like an answer cut off.
    found: Counter[str] = Counter()
    requests = FakeRequests([EndedEvent(ResultCode.OK)])
    async with run_frontend(requests) as frontend, make_client() as client:

        async def call() -> None:
            try:
                names = await read_stream(frontend.address, AUDITOR, client)
                found[names[-1]] += 1
            except httpx.TransportError as error:
                found[type(error).__name__] += 1

        async with trio.open_nursery() as nursery:
            for place in range(200):
                nursery.start_soon(call)
                if place == 100:
                    frontend.shutdown.set()
                if place % 10 == 0:
                    await trio.lowlevel.checkpoint()
    assert set(found) <= {"end", "ConnectError"}, found
    assert found["end"] and found["ConnectError"]


async def test_heads_that_are_read_one_after_the_other_are_all_answered() -> None:
    # Callers connected before a shutdown, and a busy process reads their heads
    # one by one. Closed half a second after it, the later ones look to their
    # callers like answers cut off.
    async with run_frontend(FakeRequests([])) as frontend:
        host, _, port = frontend.address.rpartition(":")
        streams = [await trio.open_tcp_stream(host, int(port)) for _ in range(4)]
        await trio.sleep(0.1)
        frontend.shutdown.set()
        for stream in streams:
            await trio.sleep(0.3)
            await stream.send_all(b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n")
            with trio.fail_after(2):
                assert (await stream.receive_some(9)).startswith(b"HTTP/1.1 ")
            await stream.aclose()


async def test_heads_that_came_while_the_process_stood_still_are_answered() -> None:
    # A process that shuts down stands still for longer than it waits for heads, as one
    # that is paused or gets no processor. Then it reads all heads that came meanwhile
    # in one turn, and its wait is over in the same turn. Each request counted as begun
    # before the timer that closes idle connections was stopped, and that timer closed
    # them: callers see connections that end without a word. The log showed it: of 131
    # connections none was without a request when the idle ones were closed, and 123
    # callers were cut off.
    async with run_frontend(FakeRequests([])) as frontend, AsyncExitStack() as stack:
        host, _, port = frontend.address.rpartition(":")
        callers = [
            stack.enter_context(socket.create_connection((host, int(port))))
            for _ in range(20)
        ]
        await trio.sleep(0.1)
        frontend.shutdown.set()
        await trio.sleep(0.1)
        for caller in callers:
            # Without a checkpoint, so that nothing is read before the standstill.
            caller.sendall(b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n")
        stand_still(2 * HEAD_QUIET_TIME)
        for caller in callers:
            caller.settimeout(2)
            answer = await trio.to_thread.run_sync(caller.recv, 9)
            assert answer.startswith(b"HTTP/1.1 ")


async def test_callers_of_a_process_that_runs_by_turns_are_answered() -> None:
    # Callers and the process that shuts down share a processor with much else, so
    # each turn of its loop takes a part of a second. In half a second hardly any
    # head is read, though all are on their way; the callers whose heads come later
    # find their connections closed without a word.
    found: Counter[str] = Counter()
    requests = FakeRequests([EndedEvent(ResultCode.OK)])
    async with run_frontend(requests) as frontend, make_client() as client:

        async def call() -> None:
            try:
                names = await read_stream(frontend.address, AUDITOR, client)
                found[names[-1]] += 1
            except httpx.TransportError as error:
                found[type(error).__name__] += 1

        async def take_turns() -> None:
            while True:
                stand_still(0.3)
                for _ in range(3):
                    await trio.lowlevel.checkpoint()

        async with trio.open_nursery() as turns:
            async with trio.open_nursery() as nursery:
                for _ in range(10):
                    nursery.start_soon(call)
                await trio.sleep(0.01)
                turns.start_soon(take_turns)
                frontend.shutdown.set()
            turns.cancel_scope.cancel()
    assert set(found) <= {"end", "ConnectError"}, found
    assert found["end"]


def stand_still(seconds: float) -> None:
    """Let the whole process stand still, as one that is paused does."""
    time.sleep(seconds)


async def test_a_port_that_is_taken_is_named() -> None:
    # Two hosts on one machine got the same port. The operator must see at once
    # which address it is, in place of a group of exceptions.
    async with run_frontend(FakeRequests([])) as frontend:
        port = int(frontend.address.split(":")[1])
        settings = make_settings(port=port)
        app = make_app(FakeRequests([]), settings)
        with pytest.raises(OSError, match=frontend.address):
            await serve(app, settings.frontend, trio.Event(), print)
