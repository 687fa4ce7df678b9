"""HTTP listeners and process lifecycle of a stand-in."""

import os
import signal
import socket
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from typing import Any, TypeVar

import msgspec
import trio
from hypercorn.config import Config, Sockets
from hypercorn.trio.run import worker_serve
from hypercorn.utils import wrap_app
from quart import Response, request
from quart_trio import QuartTrio

LISTEN_IP = "127.0.0.1"
BACKLOG = 512
IDLE_TIMEOUT_SECONDS = 600.0
MAX_REQUESTS_PER_CONNECTION = 1_000_000_000

T = TypeVar("T")


class Listener:
    """HTTP listener that can be taken down and brought up again on the same port.

    A second socket, bound but never listening, reserves the port while the listener
    is down. Otherwise the kernel could give the port to another process, and callers
    would reach that process instead of getting a refused connection.
    """

    def __init__(self, app: QuartTrio, port: int = 0) -> None:
        self._app = app
        self._port_reservation = make_socket(port)
        self._port = int(self._port_reservation.getsockname()[1])
        self._up = trio.Event()
        self._up.set()
        self._down = trio.Event()

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{LISTEN_IP}:{self._port}"

    @property
    def url(self) -> str:
        """Base URL of the listener."""
        return f"http://{self.address}"

    def take_down(self) -> None:
        """Close all connections and refuse new ones."""
        if self._up.is_set():
            self._up = trio.Event()
            self._down.set()

    def bring_up(self) -> None:
        """Accept connections again."""
        if not self._up.is_set():
            self._down = trio.Event()
            self._up.set()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve connections while the listener is up, forever."""
        with ExitStack() as stack:
            stack.callback(self._port_reservation.close)
            started: trio.TaskStatus[Any] = task_status
            while True:
                await self._up.wait()
                await self._serve_once(started)
                started = trio.TASK_STATUS_IGNORED

    async def _serve_once(self, task_status: trio.TaskStatus[Any]) -> None:
        listening = make_socket(self._port)
        listening.listen(BACKLOG)
        config = make_config()
        await worker_serve(
            wrap_app(self._app, config.wsgi_max_body_size, "asgi"),
            config,
            sockets=Sockets([], [listening], []),
            shutdown_trigger=self._down.wait,
            task_status=task_status,
        )


def make_socket(port: int) -> socket.socket:
    """Bind a TCP socket to a port; 0 lets the kernel choose."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    bound.bind((LISTEN_IP, port))
    bound.setblocking(False)
    return bound


def make_config() -> Config:
    """Return the HTTP server's configuration."""
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0
    config.keep_alive_timeout = IDLE_TIMEOUT_SECONDS
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    return config


def make_app(name: str) -> QuartTrio:
    """Return an application that answers a malformed body with status 400."""
    app = QuartTrio(name)
    app.config["RESPONSE_TIMEOUT"] = None

    async def reject_malformed(error: Exception) -> Response:
        return reply({"error": {"type": "malformed", "message": str(error)}}, 400)

    app.register_error_handler(msgspec.DecodeError, reject_malformed)
    return app


def reply(value: Any, status: int = 200) -> Response:
    """Return a response with a value as JSON."""
    return Response(
        msgspec.json.encode(value), status=status, content_type="application/json"
    )


async def read_body(body_type: type[T]) -> T:
    """Decode the JSON body of the current request; an empty body counts as `{}`."""
    body = await request.get_data(as_text=False)
    return msgspec.json.decode(body or b"{}", type=body_type)


StartFunction = Callable[[trio.Nursery], Awaitable[dict[str, Any]]]
"""Starts a stand-in's tasks and returns its announcement, such as its URLs."""


def run_process(start: StartFunction, die_with_parent: bool) -> None:
    """Run a stand-in until SIGTERM or SIGINT.

    Args:
        start: starts its tasks; the result is printed as one line of JSON.
        die_with_parent: whether it also exits at the end of its standard input.
    """
    trio.run(_run_until_exit, start, die_with_parent)


async def _run_until_exit(start: StartFunction, die_with_parent: bool) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_exit_on_signal)
        if die_with_parent:
            nursery.start_soon(_exit_on_stdin_eof)
        announcement = await start(nursery)
        print(msgspec.json.encode(announcement).decode(), flush=True)


async def _exit_on_signal() -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            os._exit(0)


async def _exit_on_stdin_eof() -> None:
    # A killed parent cannot stop its stand-ins, but the pipe to their standard
    # input is always closed when it exits.
    def read_until_eof() -> None:
        while os.read(0, 4096):
            pass

    await trio.to_thread.run_sync(read_until_eof, abandon_on_cancel=True)
    os._exit(0)
