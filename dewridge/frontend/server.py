"""The HTTP server: connections with limits, and a shutdown that cuts off nothing."""

import socket
from collections.abc import Callable
from functools import partial

import trio
from hypercorn.config import Config
from hypercorn.trio.lifespan import Lifespan
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState, LifespanState
from hypercorn.utils import wrap_app
from quart_trio import QuartTrio

from dewridge.frontend.connections import BoundedStream, ConnectionGate
from dewridge.settings.schema import FrontendSettings

BACKLOG = 512
"""Connections that may wait to be accepted: a reclaim sends the callers of a
whole failure domain to the other hosts within the same second."""


async def serve(
    app: QuartTrio,
    settings: FrontendSettings,
    shutdown: trio.Event,
    on_listening: Callable[[str], None],
) -> None:
    """Serve until `shutdown` is set and every answer in flight has ended.

    Args:
        app: the application.
        settings: limits and the address to listen on.
        shutdown: set it to refuse new connections and let answers end.
        on_listening: called with the address once connections are accepted.
    """
    config = make_config(settings)
    state: LifespanState = {}
    wrapped = wrap_app(app, settings.body_limit, "asgi")
    lifespan = Lifespan(wrapped, config, state)
    async with trio.open_nursery() as nursery:
        await nursery.start(lifespan.handle_lifespan)
        await lifespan.wait_for_startup()
        listener = await _listen(settings)
        on_listening(_name_address(listener))
        await _serve_connections(wrapped, config, settings, listener, shutdown)
        await lifespan.wait_for_shutdown()
        nursery.cancel_scope.cancel()


def make_config(settings: FrontendSettings) -> Config:
    """Return the library's configuration for our limits."""
    config = Config()
    config.errorlog = None
    config.accesslog = None
    config.graceful_timeout = settings.drain_seconds
    config.keep_alive_timeout = settings.keep_alive
    config.h11_max_incomplete_size = settings.header_limit
    config.h2_max_header_list_size = settings.header_limit
    # A host is left by a shutdown, not by a count of requests: the default of
    # a thousand requests a connection would make busy callers reconnect.
    config.keep_alive_max_requests = 1_000_000
    config.include_server_header = False
    return config


class CallerConnection(TCPServer):
    """One connection of a caller."""

    async def _read_data(self) -> None:
        # The library keeps a connection that its caller has closed until its
        # idle time is over; a flood of short ones would fill the limit so.
        await super()._read_data()
        await self.idle_task.stop()


async def _listen(settings: FrontendSettings) -> trio.SocketListener:
    listeners = await trio.open_tcp_listeners(
        settings.port, host=settings.address, backlog=BACKLOG
    )
    return listeners[0]


def _name_address(listener: trio.SocketListener) -> str:
    host, port = listener.socket.getsockname()[:2]
    is_v6 = listener.socket.family == socket.AF_INET6
    return f"[{host}]:{port}" if is_v6 else f"{host}:{port}"


async def _serve_connections(
    app: AppWrapper,
    config: Config,
    settings: FrontendSettings,
    listener: trio.SocketListener,
    shutdown: trio.Event,
) -> None:
    # The library's own loop accepts without a limit and lets a write wait for
    # ever on a caller that takes nothing; this one differs in these two.
    context = WorkerContext(None)
    gate = ConnectionGate(settings.connection_limit)

    async def handle(stream: trio.SocketStream) -> None:
        if not gate.enter():
            await gate.turn_away(stream)
            return
        try:
            bounded = BoundedStream(stream, settings.write_timeout)
            state = ConnectionState({})
            await CallerConnection(app, config, context, state, bounded)  # type: ignore[arg-type]
        finally:
            gate.leave()

    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accept = partial(
                trio.serve_listeners, handle, [listener], handler_nursery=connections
            )
            accepting.start_soon(accept)
            await shutdown.wait()
            accepting.cancel_scope.cancel()
        await context.terminated.set()
        connections.cancel_scope.deadline = trio.current_time() + settings.drain_seconds
