"""Tests of probing whether a server accepts connections."""

import trio

from dewridge.http1.reach import probe_server
from dewridge.policy.losses import ConnectResult, LossReason, classify_loss
from dewridge.tests.gateway.world import reset


async def open_port() -> tuple[list[trio.SocketListener], str]:
    """Listen on a free local port; return the listeners and the address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    return listeners, f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


async def test_port_closed_shortly_after_its_connections_is_refused() -> None:
    """A process that is exiting must not be treated as running.

    It resets its connections first and closes its listening port a moment later.
    """
    listeners, address = await open_port()

    async def reset_one_and_close() -> None:
        reset(await listeners[0].accept())
        await listeners[0].aclose()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(reset_one_and_close)
        reach = await probe_server(address)
    assert reach is ConnectResult.REFUSED


async def test_server_that_resets_excess_connections_makes_no_suspect() -> None:
    """A server with too many connections must not make a request a crash suspect."""
    listeners, address = await open_port()

    async def reset_all(stream: trio.SocketStream) -> None:
        reset(stream)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, reset_all, listeners)
        reach = await probe_server(address)
        nursery.cancel_scope.cancel()
    assert reach is ConnectResult.RESET
    verdict = classify_loss(
        LossReason.CUT_OFF, reach, is_leaving=False, seconds_since_first_event=None
    )
    assert not verdict.is_request_suspect


async def test_server_that_waits_for_requests_is_accepting() -> None:
    listeners, address = await open_port()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, _hold_open, listeners)
        reach = await probe_server(address)
        nursery.cancel_scope.cancel()
    assert reach is ConnectResult.ACCEPTED


async def _hold_open(stream: trio.SocketStream) -> None:
    await trio.sleep_forever()
