"""Stand-ins as processes of their own: they announce, serve and end."""

import json
import subprocess
import sys
from typing import Any

import httpx
import pytest
import trio

from dewridge.standins.relay import Relay, StallOrder


def start(*arguments: str) -> tuple[subprocess.Popen[bytes], dict[str, Any]]:
    process = subprocess.Popen(
        [sys.executable, "-m", "dewridge", "standin", *arguments, "--die-with-parent"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdout is not None
    return process, json.loads(process.stdout.readline())


def test_a_process_ends_with_its_parent_and_by_signal() -> None:
    # A demo is killed and can't stop its stand-ins. They must not stay behind
    # and hold ports and memory.
    orphan, line = start("platform")
    stopped, _ = start("platform")
    assert httpx.get(f"{line['host_list']}/v1/hosts").json() == {"hosts": []}
    assert orphan.stdin is not None
    orphan.stdin.close()
    stopped.terminate()
    assert orphan.wait(5) == 0
    assert stopped.wait(5) == 0


def test_a_service_that_is_down_refuses_and_comes_back_on_its_port() -> None:
    process, line = start("platform")
    try:
        fault = {"target": "key_value", "mode": "down"}
        httpx.post(f"{line['control']}/control/fault", json=fault)
        with pytest.raises(httpx.ConnectError):
            httpx.get(f"{line['key_value']}/v1/keys/k")
        httpx.get(f"{line['host_list']}/v1/hosts").raise_for_status()
        fault["mode"] = "none"
        httpx.post(f"{line['control']}/control/fault", json=fault)
        assert httpx.get(f"{line['key_value']}/v1/keys/k").json()["revision"] == 0
    finally:
        process.kill()


async def test_a_relay_stops_forwarding_without_closing() -> None:
    # Something between two ends loses track of a connection: it stays open
    # and silent for good, while a new one works.
    async def echo(stream: trio.SocketStream) -> None:
        async for chunk in stream:
            await stream.send_all(chunk)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, echo, listeners)
        relay = Relay((f"127.0.0.1:{port}",))
        line = await relay.start(nursery)
        host, _, through = line["addresses"][f"127.0.0.1:{port}"].partition(":")
        old = await trio.open_tcp_stream(host, int(through))
        await old.send_all(b"a")
        assert await old.receive_some() == b"a"
        assert relay.stall(StallOrder()) == 1
        await old.send_all(b"b")
        new = await trio.open_tcp_stream(host, int(through))
        await new.send_all(b"c")
        assert await new.receive_some() == b"c"
        with trio.move_on_after(0.1) as silent:
            await old.receive_some()
        assert silent.cancelled_caught
        nursery.cancel_scope.cancel()
