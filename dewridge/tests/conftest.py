"""Shared test setup: runs trio tests and tolerates failures that are known.

The known failures are listed in KNOWN-RED.txt.
"""

import inspect
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

KNOWN_RED_FILE = Path(__file__).parents[2] / "KNOWN-RED.txt"


def read_known_red() -> dict[str, str]:
    """Return the lines (`TEST | COMMAND | SEEN | CAUSE | ISSUE`) by test id."""
    if not KNOWN_RED_FILE.exists():
        return {}
    lines = [line for line in KNOWN_RED_FILE.read_text().splitlines() if line.strip()]
    return {line.split("|")[0].strip(): line for line in lines}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests listed in KNOWN-RED.txt as expected failures; they still run."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))


def pytest_collection_finish() -> None:
    """Make hypothesis build its tables before the first timed test.

    In a fresh clone, drawing the first text takes one or two seconds, since hypothesis
    builds its character table and collects the literals of all loaded modules. Within
    a test this would count as slow data generation and fail the health check of
    whichever test runs first.
    """

    @settings(max_examples=1, database=None, suppress_health_check=list(HealthCheck))
    @given(st.text() | st.integers() | st.floats())
    def draw(value: object) -> None:
        pass

    draw()


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a test that is a coroutine function under trio."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    arguments: dict[str, Any] = {name: pyfuncitem.funcargs[name] for name in names}

    async def call() -> None:
        await pyfuncitem.obj(**arguments)

    clock = arguments.get("autojump_clock") or arguments.get("paused_clock")
    trio.run(call, clock=clock)
    return True


@pytest.fixture
def autojump_clock() -> trio.testing.MockClock:
    """Return a clock that skips waiting times in a test."""
    return trio.testing.MockClock(autojump_threshold=0)


@pytest.fixture
def paused_clock() -> trio.testing.MockClock:
    """Return a clock that stands still, so that no timeout of a test elapses.

    For tests with real sockets whose checks must not depend on how long the process
    waits for the CPU. Timeouts of the test itself don't elapse either.
    """
    return trio.testing.MockClock()


@pytest.fixture
def signal_handlers() -> Iterator[None]:
    """Restore the signal handlers, which a gateway keeps until its process ends."""
    numbers = (signal.SIGTERM, signal.SIGHUP)
    handlers = [signal.getsignal(number) for number in numbers]
    yield
    for number, handler in zip(numbers, handlers, strict=True):
        signal.signal(number, handler)
