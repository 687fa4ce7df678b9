"""The HTTP server, with connection limits and a graceful shutdown."""

import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Event, Updated
from hypercorn.trio.lifespan import Lifespan
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState, LifespanState
from hypercorn.utils import wrap_app
from loguru import logger as log
from quart_trio import QuartTrio

from dewridge.frontend.connections import ConnectionLimiter, TimedStream
from dewridge.frontend.model import CONNECTION_KEY
from dewridge.http1.sockets import limit_receive_buffers
from dewridge.metrics.registry import Metrics
from dewridge.policy.memorybudget import MemoryBudget
from dewridge.settings.schema import FrontendSettings

ACCEPT_BACKLOG = 512
"""Connections that may wait to be accepted. When a failure domain is reclaimed, all
of its callers connect to the remaining hosts within the same second."""
HEAD_QUIET_TIME = 0.5
"""During a shutdown, connections without a request are closed once no connection has
received its first request head (request line and headers) for this many seconds."""

HEAD_POLL_INTERVAL = 0.05
"""Seconds between two polls for request heads during a shutdown. A poll that is late
by more than one interval shows that the process was stalled, and likely also callers
on the same host."""
MAX_QUIET_POLLS = round(HEAD_QUIET_TIME / HEAD_POLL_INTERVAL)
"""Consecutive polls without a new head after which the wait for heads ends."""


async def serve(
    app: QuartTrio,
    settings: FrontendSettings,
    shutdown: trio.Event,
    on_listening: Callable[[str], None],
    metrics: Metrics | None = None,
    memory: MemoryBudget | None = None,
) -> None:
    """Serve until `shutdown` is set and all answers in flight are complete.

    Args:
        app: the application.
        settings: limits and the address to listen on.
        shutdown: when set, new connections are refused and running answers complete.
        on_listening: called with the address once connections are accepted.
        metrics: counts open, refused and closed connections.
        memory: what connections may make the process hold.
    """
    metrics = metrics or Metrics()
    config = make_config(settings)
    state: LifespanState = {}
    wrapped = wrap_app(app, settings.body_limit, "asgi")
    lifespan = Lifespan(wrapped, config, state)
    listener = await _listen(settings)
    async with trio.open_nursery() as nursery:
        await nursery.start(lifespan.handle_lifespan)
        await lifespan.wait_for_startup()
        on_listening(_format_address(listener))
        context = WorkerContext(None)
        limiter = ConnectionLimiter(settings.connection_limit, metrics, memory)
        nursery.start_soon(limiter.close_stalled, settings.write_timeout)
        handle = _make_handler(wrapped, settings, context, limiter)
        await _serve_connections(handle, listener, shutdown, context, settings, limiter)
        await lifespan.wait_for_shutdown()
        nursery.cancel_scope.cancel()


def make_config(settings: FrontendSettings) -> Config:
    """Return the HTTP library's configuration with the limits of the settings."""
    config = Config()
    config.errorlog = None
    config.accesslog = None
    config.graceful_timeout = settings.drain_seconds
    config.keep_alive_timeout = settings.keep_alive
    config.h11_max_incomplete_size = settings.header_limit
    config.h2_max_header_list_size = settings.header_limit
    # The default of a thousand requests per connection would force busy callers to
    # reconnect; connections should end only at a shutdown.
    config.keep_alive_max_requests = 1_000_000
    config.include_server_header = False
    # A handler that has answered reads no more. With a limit, the rest of its request's
    # body would fill the queue, and the connection would wait for room forever.
    config.max_app_queue_size = sys.maxsize
    return config


class CallerConnection(TCPServer):
    """One caller connection."""

    def __init__(
        self,
        app: AppWrapper,
        config: Config,
        context: WorkerContext,
        stream: TimedStream,
        limiter: ConnectionLimiter,
    ) -> None:
        # A handler finds its connection here.
        state = ConnectionState({CONNECTION_KEY: stream})
        super().__init__(app, config, context, state, stream)  # type: ignore[arg-type]
        self._limiter = limiter
        self._timed_stream = stream

    async def protocol_send(self, event: Event) -> None:
        """Send an event; idle updates and closes are shielded from cancellation.

        The library sends them from the request's task, which is cancelled as soon as
        the answer is complete. Without the shield, updates were lost: idle connections
        had no timeout, and a shutdown waited for each of them until its own time limit.
        Closes were lost too: a connection stayed open without a timeout if its request
        was answered before its body had arrived.
        """
        if not isinstance(event, Updated | Closed):
            await super().protocol_send(event)
            return
        if isinstance(event, Updated):
            self._limiter.record_idle(self._timed_stream, event.idle)
        with trio.CancelScope(shield=True):
            await super().protocol_send(event)

    async def _idle_timeout(self) -> None:
        """Close the connection after the idle timeout or at a shutdown.

        The library's own method closes it even if a request starts at that moment,
        because a request is registered before this timer is stopped and an expired
        timer cannot be stopped. A stalled process reads the request heads of all
        its callers and shuts down in one iteration of the event loop; 123 of 131
        callers lost their connection this way. So this method first waits until
        input is delivered and checks for a request; no other task runs between the
        last check for input and the close.
        """
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
        with trio.move_on_after(HEAD_QUIET_TIME):
            await self._timed_stream.wait_input_delivered()
        if not self._limiter.has_active_request(self._timed_stream):
            with trio.CancelScope(shield=True):
                await self._initiate_server_close()

    async def _read_data(self) -> None:
        # The library keeps a connection that its caller has closed until the idle
        # timeout; a flood of short connections would exhaust the limit.
        await super()._read_data()
        await self.idle_task.stop()


async def _listen(settings: FrontendSettings) -> trio.SocketListener:
    try:
        listeners = await trio.open_tcp_listeners(
            settings.port, host=settings.address, backlog=ACCEPT_BACKLOG
        )
    except OSError as error:
        address = f"{settings.address}:{settings.port}"
        raise OSError(error.errno, f"{address}: {error.strerror}") from error
    limit_receive_buffers(listeners[0])
    return listeners[0]


def _format_address(listener: trio.SocketListener) -> str:
    host, port = listener.socket.getsockname()[:2]
    is_v6 = listener.socket.family == socket.AF_INET6
    return f"[{host}]:{port}" if is_v6 else f"{host}:{port}"


ConnectionHandler = Callable[[trio.SocketStream], Awaitable[None]]


def _make_handler(
    app: AppWrapper,
    settings: FrontendSettings,
    context: WorkerContext,
    limiter: ConnectionLimiter,
) -> ConnectionHandler:
    # Replaces the library's accept loop, which has no connection limit and lets a
    # write to a caller that stops reading wait forever.
    config = make_config(settings)

    async def handle(stream: trio.SocketStream) -> None:
        timed_stream = TimedStream(stream, limiter.memory, limiter.log)
        if not limiter.register(timed_stream):
            await limiter.reject(stream)
            return
        try:
            connection = CallerConnection(app, config, context, timed_stream, limiter)
            await connection.run()
        finally:
            limiter.unregister(timed_stream)

    return handle


async def _serve_connections(
    handle: ConnectionHandler,
    listener: trio.SocketListener,
    shutdown: trio.Event,
    context: WorkerContext,
    settings: FrontendSettings,
    limiter: ConnectionLimiter,
) -> None:
    # Cancelling the accept loop closes its socket; the duplicate keeps listening, so
    # that pending connections can still be accepted.
    listening_socket = listener.socket
    duplicate = socket.fromfd(
        listening_socket.fileno(), listening_socket.family, socket.SOCK_STREAM
    )
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(_accept_connections, listener, handle, connections)
            await shutdown.wait()
            accepting.cancel_scope.cancel()
        for stream in _accept_pending(duplicate):
            connections.start_soon(handle, stream)
        with trio.move_on_after(settings.drain_seconds):
            await _wait_for_heads(limiter)
        log.info(
            "closing the connections without a request; {} of {} have had none",
            limiter.count_unused(),
            limiter.count_open(),
        )
        await context.terminated.set()
        drain = settings.drain_seconds
        connections.cancel_scope.deadline = trio.current_time() + drain
    if connections.cancel_scope.cancelled_caught:
        log.warning(
            "drain period of {:.1f} s exceeded; answers were interrupted", drain
        )


async def _wait_for_heads(limiter: ConnectionLimiter) -> None:
    """Wait until no first request has arrived for `HEAD_QUIET_TIME`.

    A busy process that shuts down reads the request heads of connected callers one
    after the other. When connections were closed after a fixed time instead, callers
    whose heads were not read yet saw interrupted answers. Time in which the process
    was stalled does not count: nothing could be sent or read in it.
    """
    unused = limiter.count_unused()
    polls_left = MAX_QUIET_POLLS
    while polls_left:
        due = trio.current_time() + HEAD_POLL_INTERVAL
        await trio.sleep_until(due)
        was_late = trio.current_time() > due + HEAD_POLL_INTERVAL
        previous, unused = unused, limiter.count_unused()
        if was_late or unused != previous:
            polls_left = MAX_QUIET_POLLS
        else:
            polls_left -= 1


def _accept_pending(listening_socket: socket.socket) -> list[trio.SocketStream]:
    """Accept all pending connections and stop listening.

    The kernel completes connections before the process accepts them and resets
    the pending ones when the socket is closed, which callers see as interrupted
    answers. No other task runs between the last accept and the close.
    """
    pending = []
    with listening_socket:
        listening_socket.setblocking(False)
        with suppress(BlockingIOError):
            while True:
                connection, _ = listening_socket.accept()
                pending.append(trio.socket.from_stdlib_socket(connection))
    return [trio.SocketStream(accepted) for accepted in pending]


async def _accept_connections(
    listener: trio.SocketListener, handle: ConnectionHandler, connections: trio.Nursery
) -> None:
    await trio.serve_listeners(handle, [listener], handler_nursery=connections)
