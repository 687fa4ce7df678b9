"""Tests of a graceful shutdown with a real process and callers that never let go."""

import random
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path

import h11
import pytest
import trio

from dewridge.tests.soak.callers import resolve_addresses, send_request
from dewridge.tests.soak.records import History, RequestKind, SentRequest
from dewridge.tests.soak.stage import Gateway, SoakEnvironment

MAX_START_SECONDS = 40.0
"""Seconds until all hosts are ready."""
GRACE = 8.0
"""Seconds from SIGTERM to SIGKILL."""
EXCUSED_SECONDS = 3.0
"""Seconds from SIGTERM for which requests may be sent that the exit may cut."""
CROSSING_SECONDS = 0.5
"""Seconds before the end of the process in which a request may cross its close."""
REPEATED_SIGNALS = (
    (1.0, signal.SIGHUP),
    (1.5, signal.SIGTERM),
    (5.0, signal.SIGHUP),
    (7.0, signal.SIGTERM),
    (7.0, signal.SIGHUP),
)
"""Signals after the first SIGTERM, with the seconds since then."""
BUDGET = 15.0
"""Seconds that callers of streams wait."""


@dataclass
class Shutdown:
    """What a shutdown looked like from outside.

    Attributes:
        terminated_at: monotonic time of SIGTERM.
        exited_at: monotonic time at which the process had ended.
        status: exit status of the process.
    """

    history: History
    terminated_at: float = 0.0
    exited_at: float = 0.0
    status: int | None = None
    refused_connections: list[float] = field(default_factory=list)

    def list_sent(self, prefix: str) -> list[SentRequest]:
        """Return the requests of one group that were sent."""
        return [
            request
            for request in self.history.requests.values()
            if request.id.startswith(prefix)
        ]

    def get_age(self, at: float) -> float:
        """Return the seconds from SIGTERM to a monotonic time."""
        return at - self.terminated_at


@dataclass
class Player:
    """Sends requests to the leaving host at times counted from SIGTERM."""

    environment: SoakEnvironment
    gateway: Gateway
    shutdown: Shutdown
    begin: float

    async def send(
        self,
        name: str,
        at: float,
        kind: RequestKind,
        *,
        seconds: float = 0.48,
        first_event: float = 0.0,
        pause: float = 0.0,
    ) -> None:
        """Connect at a time and send one request after a pause."""
        await trio.sleep_until(self.begin + at)
        host, _, port = self.gateway.caller_address.rpartition(":")
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            self.shutdown.refused_connections.append(time.monotonic())
            return
        async with stream:
            await trio.sleep(pause)
            request = SentRequest(name, kind, self.gateway.name, "key-0", 10, 0.0)
            request.content = name
            request.stream_seconds = seconds
            request.first_event_seconds = first_event
            request.timeout = BUDGET if kind.is_stream else 0.0
            state = h11.Connection(h11.CLIENT)
            history = self.shutdown.history
            await send_request(stream, state, request, history, BUDGET)


async def play_shutdown(folder: Path) -> Shutdown:
    """Stop one of two hosts while callers send to it until it has ended."""
    async with trio.open_nursery() as nursery:
        environment = SoakEnvironment(random.Random(1), folder, nursery)
        try:
            await environment.start(hosts=2, servers=8)
            gateway = environment.gateways[0]
            await _wait_until_listed(environment.gateways)
            gateway.should_restart = False
            shutdown = Shutdown(environment.history)
            with trio.move_on_after(GRACE):
                await _play(environment, gateway, shutdown)
        finally:
            await environment.close()
            nursery.cancel_scope.cancel()
    return shutdown


async def _wait_until_listed(gateways: list[Gateway]) -> None:
    """Wait until each host lists all of them."""
    expected = {gateway.caller_address for gateway in gateways}
    with trio.fail_after(MAX_START_SECONDS):
        for gateway in gateways:
            listed: set[str] = set()
            while listed != expected:
                await trio.sleep(0.1)
                listed = set(await resolve_addresses(gateway.directory_address))


async def _play(
    environment: SoakEnvironment, gateway: Gateway, shutdown: Shutdown
) -> None:
    process = gateway.process
    assert process is not None
    begin = trio.current_time() + 0.2
    player = Player(environment, gateway, shutdown, begin)
    async with trio.open_nursery() as nursery:
        for kind in (RequestKind.CHAT, RequestKind.DRAFT):
            for number in range(50):
                at = 2.5 + 0.1 * number
                seconds = (2.0, 4.5, 6.0)[number % 3]
                name = f"long-{kind.value}-{number}"
                nursery.start_soon(_send_stream, player, name, at, kind, seconds, 0.0)
            for number in range(10):
                at = 0.5 + 0.2 * number
                name = f"silent-{kind.value}-{number}"
                nursery.start_soon(_send_stream, player, name, at, kind, 0.5, 9.0)
        for number in range(32):
            at = 0.1 + 0.2 * number
            nursery.start_soon(_send_late, player, f"late-{number}", at)
        await trio.sleep_until(begin)
        shutdown.terminated_at = time.monotonic()
        process.terminate()
        nursery.start_soon(_repeat_signals, process.handle, begin)
        shutdown.status = await process.handle.wait()
        shutdown.exited_at = time.monotonic()


async def _send_stream(
    player: Player,
    name: str,
    at: float,
    kind: RequestKind,
    seconds: float,
    first_event: float,
) -> None:
    await player.send(name, at, kind, seconds=seconds, first_event=first_event)


async def _send_late(player: Player, name: str, at: float) -> None:
    await player.send(name, at, RequestKind.READ, pause=0.1)


async def _repeat_signals(process: trio.Process, begin: float) -> None:
    for at, number in REPEATED_SIGNALS:
        await trio.sleep_until(begin + at)
        process.send_signal(number)


pytestmark = pytest.mark.timeout(120)


@pytest.fixture(scope="module")
def shutdown(tmp_path_factory: pytest.TempPathFactory) -> Shutdown:
    """Return one shutdown, which the tests look at from several sides."""
    result: Shutdown = trio.run(play_shutdown, tmp_path_factory.mktemp("shutdown"))
    return result


def list_cut(requests: list[SentRequest]) -> list[str]:
    """Return the requests without a whole answer."""
    return [request.id for request in requests if not request.is_complete]


def test_streams_sent_late_to_a_leaving_host_are_not_cut(shutdown: Shutdown) -> None:
    """Guards against streams that are accepted by an assumed length."""
    late = [
        request
        for request in shutdown.list_sent("long-")
        if shutdown.get_age(request.sent_at) > EXCUSED_SECONDS
        and request.sent_at < shutdown.exited_at - CROSSING_SECONDS
    ]
    assert len(late) > 50
    assert list_cut(late) == []


def test_requests_without_an_answer_get_a_status_at_the_exit(
    shutdown: Shutdown,
) -> None:
    """Guards against connections that end without a word when their host exits."""
    silent = shutdown.list_sent("silent-")
    assert len(silent) == 20
    assert list_cut(silent) == []


def test_new_connections_to_a_leaving_host_are_answered(shutdown: Shutdown) -> None:
    """Guards against connections that are closed before their first request."""
    early = [
        request
        for request in shutdown.list_sent("late-")
        if request.sent_at < shutdown.exited_at - CROSSING_SECONDS
    ]
    assert len(early) > 25
    assert list_cut(early) == []


def test_repeated_signals_do_not_end_a_leaving_host(shutdown: Shutdown) -> None:
    """Guards against a reload or a second SIGTERM that ends a host by signal."""
    assert shutdown.status == 0
    assert shutdown.get_age(shutdown.exited_at) > GRACE * 5 / 6


def test_a_leaving_host_exits_before_it_is_killed(shutdown: Shutdown) -> None:
    """Guards against a host that waits for streams until SIGKILL ends it."""
    assert 0 < shutdown.get_age(shutdown.exited_at) < GRACE


def test_short_streams_are_served_in_the_first_seconds(shutdown: Shutdown) -> None:
    """Guards against a leaving host that refuses all streams at once."""
    early = [
        request
        for request in shutdown.list_sent("long-")
        if shutdown.get_age(request.sent_at) < 2.6 and request.stream_seconds == 2.0
    ]
    assert early
    assert {request.status for request in early} == {200}
    assert list_cut(early) == []
