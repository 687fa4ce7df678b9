"""Stand-ins as separate processes: announcement, faults and shutdown."""

import json
import subprocess
import sys
from typing import Any

import httpx
import pytest
import trio

from dewridge.standins.relay import Relay, StallOrder


def start_standin(*arguments: str) -> tuple[subprocess.Popen[bytes], dict[str, Any]]:
    process = subprocess.Popen(
        [sys.executable, "-m", "dewridge", "standin", *arguments, "--die-with-parent"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdout is not None
    return process, json.loads(process.stdout.readline())


def test_a_process_exits_with_its_parent_or_on_sigterm() -> None:
    # A killed demo cannot stop its stand-ins. They must exit on their own instead of
    # holding ports and memory.
    orphan, announcement = start_standin("platform")
    stopped, _ = start_standin("platform")
    assert httpx.get(f"{announcement['host_list']}/v1/hosts").json() == {"hosts": []}
    assert orphan.stdin is not None
    orphan.stdin.close()
    stopped.terminate()
    assert orphan.wait(5) == 0
    assert stopped.wait(5) == 0


def test_a_service_that_is_down_refuses_and_returns_on_the_same_port() -> None:
    process, announcement = start_standin("platform")
    try:
        fault = {"target": "key_value", "mode": "down"}
        httpx.post(f"{announcement['control']}/control/fault", json=fault)
        with pytest.raises(httpx.ConnectError):
            httpx.get(f"{announcement['key_value']}/v1/keys/k")
        httpx.get(f"{announcement['host_list']}/v1/hosts").raise_for_status()
        fault["mode"] = "none"
        httpx.post(f"{announcement['control']}/control/fault", json=fault)
        assert (
            httpx.get(f"{announcement['key_value']}/v1/keys/k").json()["revision"] == 0
        )
    finally:
        process.kill()


async def test_a_relay_stops_forwarding_without_closing() -> None:
    # A middlebox, such as a NAT, drops the state of a connection: the connection
    # stays open but transfers nothing any more, while a new one works.
    async def echo(stream: trio.SocketStream) -> None:
        async for chunk in stream:
            await stream.send_all(chunk)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, echo, listeners)
        relay = Relay((f"127.0.0.1:{port}",))
        announcement = await relay.start(nursery)
        host, _, relay_port = announcement["addresses"][f"127.0.0.1:{port}"].partition(
            ":"
        )
        old = await trio.open_tcp_stream(host, int(relay_port))
        await old.send_all(b"a")
        assert await old.receive_some() == b"a"
        assert relay.stall(StallOrder()) == 1
        await old.send_all(b"b")
        new = await trio.open_tcp_stream(host, int(relay_port))
        await new.send_all(b"c")
        assert await new.receive_some() == b"c"
        with trio.move_on_after(0.1) as receive_scope:
            await old.receive_some()
        assert receive_scope.cancelled_caught
        nursery.cancel_scope.cancel()
