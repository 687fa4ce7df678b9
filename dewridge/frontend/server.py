"""The HTTP server: connections with limits, and a shutdown that cuts off nothing."""

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio
from hypercorn.config import Config
from hypercorn.events import Event, Updated
from hypercorn.trio.lifespan import Lifespan
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState, LifespanState
from hypercorn.utils import wrap_app
from loguru import logger as log
from quart_trio import QuartTrio

from dewridge.frontend.connections import ConnectionLimiter, TimedStream
from dewridge.metrics.registry import Metrics
from dewridge.settings.schema import FrontendSettings

ACCEPT_BACKLOG = 512
"""Connections that may wait to be accepted: a reclaim sends the callers of a
whole failure domain to the other hosts within the same second."""
HEAD_QUIET_TIME = 0.5
"""Seconds at a shutdown without the head of a first request on any connection, after
which those without a request are closed."""

HEAD_POLL_INTERVAL = 0.05
"""Seconds between two looks for heads at a shutdown. A look that comes a tick late
shows that the process stood still, and its callers on the same host likely did."""
MAX_QUIET_POLLS = round(HEAD_QUIET_TIME / HEAD_POLL_INTERVAL)


async def serve(
    app: QuartTrio,
    settings: FrontendSettings,
    shutdown: trio.Event,
    on_listening: Callable[[str], None],
    metrics: Metrics | None = None,
) -> None:
    """Serve until `shutdown` is set and every answer in flight has ended.

    Args:
        app: the application.
        settings: limits and the address to listen on.
        shutdown: set it to refuse new connections and let answers end.
        on_listening: called with the address once connections are accepted.
        metrics: counts connections, and those refused or cut off.
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
        on_listening(_name_address(listener))
        context = WorkerContext(None)
        gate = ConnectionLimiter(settings.connection_limit, metrics)
        nursery.start_soon(gate.close_stalled, settings.write_timeout)
        handle = _make_handler(wrapped, settings, context, gate)
        await _serve_connections(handle, listener, shutdown, context, settings, gate)
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

    def __init__(
        self,
        app: AppWrapper,
        config: Config,
        context: WorkerContext,
        stream: TimedStream,
        gate: ConnectionLimiter,
    ) -> None:
        state = ConnectionState({})
        super().__init__(app, config, context, state, stream)  # type: ignore[arg-type]
        self._gate = gate
        self._caller = stream

    async def protocol_send(self, event: Event) -> None:
        """Send an event, and let nothing cut off the note that a caller is idle.

        The library notes it from within the request's task, which is cancelled
        as soon as its answer is complete. The note was lost half way; then idle
        connections had no timeout, and a shutdown waited for each of them until
        its limit.
        """
        if not isinstance(event, Updated):
            await super().protocol_send(event)
            return
        self._gate.record_idle(self._caller, event.idle)
        with trio.CancelScope(shield=True):
            await super().protocol_send(event)

    async def _idle_timeout(self) -> None:
        """Close the connection once it was idle for too long, or at a shutdown.

        The library closes it even if a request has begun at that very moment: the
        request is known before this timer is stopped, and a timer that has run out
        can't be. A process that stood still reads the heads of all its callers and
        shuts down in one turn; 123 of 131 callers were cut off so. Nothing runs
        between the last look for input and the close.
        """
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
        with trio.move_on_after(HEAD_QUIET_TIME):
            await self._caller.wait_input_delivered()
        if not self._gate.has_active_request(self._caller):
            with trio.CancelScope(shield=True):
                await self._initiate_server_close()

    async def _read_data(self) -> None:
        # The library keeps a connection that its caller has closed until its
        # idle time is over; a flood of short ones would fill the limit so.
        await super()._read_data()
        await self.idle_task.stop()


async def _listen(settings: FrontendSettings) -> trio.SocketListener:
    try:
        listeners = await trio.open_tcp_listeners(
            settings.port, host=settings.address, backlog=ACCEPT_BACKLOG
        )
    except OSError as error:
        place = f"{settings.address}:{settings.port}"
        raise OSError(error.errno, f"{place}: {error.strerror}") from error
    return listeners[0]


def _name_address(listener: trio.SocketListener) -> str:
    host, port = listener.socket.getsockname()[:2]
    is_v6 = listener.socket.family == socket.AF_INET6
    return f"[{host}]:{port}" if is_v6 else f"{host}:{port}"


ConnectionHandler = Callable[[trio.SocketStream], Awaitable[None]]


def _make_handler(
    app: AppWrapper,
    settings: FrontendSettings,
    context: WorkerContext,
    gate: ConnectionLimiter,
) -> ConnectionHandler:
    # The library's own loop accepts without a limit and lets a write wait for
    # ever on a caller that takes nothing; this one differs in these two.
    config = make_config(settings)

    async def handle(stream: trio.SocketStream) -> None:
        bounded = TimedStream(stream)
        if not gate.register(bounded):
            await gate.reject(stream)
            return
        try:
            connection = CallerConnection(app, config, context, bounded, gate)
            await connection.run()
        finally:
            gate.unregister(bounded)

    return handle


async def _serve_connections(
    handle: ConnectionHandler,
    listener: trio.SocketListener,
    shutdown: trio.Event,
    context: WorkerContext,
    settings: FrontendSettings,
    gate: ConnectionLimiter,
) -> None:
    # Accepting closes its socket when it is cancelled; this one goes on listening.
    bound = listener.socket
    spare = socket.fromfd(bound.fileno(), bound.family, socket.SOCK_STREAM)
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(_accept, listener, handle, connections)
            await shutdown.wait()
            accepting.cancel_scope.cancel()
        for stream in _take_waiting(spare):
            connections.start_soon(handle, stream)
        with trio.move_on_after(settings.drain_seconds):
            await _wait_for_heads(gate)
        log.info(
            "closing the connections without a request; {} of {} have had none",
            gate.count_unused(),
            gate.count_open(),
        )
        await context.terminated.set()
        drain = settings.drain_seconds
        connections.cancel_scope.deadline = trio.current_time() + drain
    if connections.cancel_scope.cancelled_caught:
        log.warning("the drain's {:.1f} s are over; answers were cut off", drain)


async def _wait_for_heads(gate: ConnectionLimiter) -> None:
    """Wait while first requests go on coming in.

    Made for a shutdown of a busy process. Its callers connected before, and their
    heads are read one after the other; closed after a fixed time, those that were not
    read in time looked to their callers like answers cut off. Time in which the
    process stood still does not count: nothing could be sent or read in it.
    """
    fresh = gate.count_unused()
    ticks_left = MAX_QUIET_POLLS
    while ticks_left:
        due = trio.current_time() + HEAD_POLL_INTERVAL
        await trio.sleep_until(due)
        was_late = trio.current_time() > due + HEAD_POLL_INTERVAL
        before, fresh = fresh, gate.count_unused()
        if was_late or fresh != before:
            ticks_left = MAX_QUIET_POLLS
        else:
            ticks_left -= 1


def _take_waiting(listening: socket.socket) -> list[trio.SocketStream]:
    """Stop listening and return the connections not accepted until now.

    The kernel completes connections before the process accepts them, and
    resets those that wait when listening ends; to their callers that looks
    like an answer cut off. Nothing runs between the last one taken and the
    close.
    """
    waiting = []
    with listening:
        listening.setblocking(False)
        with suppress(BlockingIOError):
            while True:
                connection, _ = listening.accept()
                waiting.append(trio.socket.from_stdlib_socket(connection))
    return [trio.SocketStream(each) for each in waiting]


async def _accept(
    listener: trio.SocketListener, handle: ConnectionHandler, connections: trio.Nursery
) -> None:
    await trio.serve_listeners(handle, [listener], handler_nursery=connections)
