"""What a look at a server tells."""

import trio

from dewridge.http1.reach import probe_server
from dewridge.policy.losses import Reach
from dewridge.tests.gateway.world import reset


async def open_port() -> tuple[list[trio.SocketListener], str]:
    """Listen on a port of this machine."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    return listeners, f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


async def test_a_port_that_closes_some_moments_late_counts_as_closed() -> None:
    """Guards against taking a process that is just ending for one that lives."""
    listeners, address = await open_port()

    async def accept_one_and_end() -> None:
        reset(await listeners[0].accept())
        await listeners[0].aclose()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(accept_one_and_end)
        reach = await probe_server(address)
    assert reach is Reach.REFUSED


async def test_a_server_that_resets_connections_beyond_its_bound_lives() -> None:
    """Guards against blaming requests for a server that has too many connections."""
    listeners, address = await open_port()

    async def reset_all(stream: trio.SocketStream) -> None:
        reset(stream)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, reset_all, listeners)
        reach = await probe_server(address)
        nursery.cancel_scope.cancel()
    assert reach is Reach.ACCEPTED


async def test_a_server_that_waits_for_requests_lives() -> None:
    listeners, address = await open_port()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, _wait, listeners)
        reach = await probe_server(address)
        nursery.cancel_scope.cancel()
    assert reach is Reach.ACCEPTED


async def _wait(stream: trio.SocketStream) -> None:
    await trio.sleep_forever()
