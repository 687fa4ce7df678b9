"""Tests of probes whose results are shared."""

import trio

from dewridge.gateway.reach.probes import SharedProbes
from dewridge.policy.losses import ConnectResult


class Server:
    """A server that is probed; each probe shows its state at the end.

    Attributes:
        result: what probes show.
        probes: number of probes so far.
        seconds: seconds that a probe takes.
    """

    def __init__(self, seconds: float = 0.02) -> None:
        self.result = ConnectResult.ACCEPTED
        self.probes = 0
        self.seconds = seconds

    async def connect(self) -> ConnectResult:
        """Probe the server."""
        self.probes += 1
        result = self.result
        await trio.sleep(self.seconds)
        return result


async def test_a_result_from_before_the_call_is_not_used() -> None:
    """Guards against a server that counts as running although it has ended."""
    server = Server()
    probes: SharedProbes[ConnectResult] = SharedProbes()
    assert await probes.probe("s", server.connect) is ConnectResult.ACCEPTED
    server.result = ConnectResult.REFUSED
    assert await probes.probe("s", server.connect, max_age=1.0) is (
        ConnectResult.ACCEPTED
    )
    assert await probes.probe("s", server.connect) is ConnectResult.REFUSED
    assert server.probes == 2


async def test_a_probe_that_began_before_the_call_is_not_used() -> None:
    """Guards against a connection that was accepted just before the server ended."""
    server = Server()
    probes: SharedProbes[ConnectResult] = SharedProbes()
    results: list[ConnectResult] = []

    async def ask() -> None:
        results.append(await probes.probe("s", server.connect))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.01)
        server.result = ConnectResult.REFUSED
        for _ in range(10):
            nursery.start_soon(ask)
    assert results == [ConnectResult.ACCEPTED] + 10 * [ConnectResult.REFUSED]
    assert server.probes == 2


async def test_a_cancelled_probe_is_run_by_another_task() -> None:
    """Guards against a task that waits for a probe whose task was cancelled."""
    server = Server()
    probes: SharedProbes[ConnectResult] = SharedProbes()
    results: list[ConnectResult] = []

    async def ask() -> None:
        results.append(await probes.probe("s", server.connect))

    async with trio.open_nursery() as staying, trio.open_nursery() as leaving:
        leaving.start_soon(ask)
        await trio.sleep(0.01)
        for _ in range(3):
            staying.start_soon(ask)
        leaving.cancel_scope.cancel()
    assert results == [ConnectResult.ACCEPTED] * 3
    assert server.probes == 2
