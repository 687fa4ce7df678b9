"""Tests of a gateway one of whose tasks fails again and again."""

import os
import signal
from contextlib import suppress
from pathlib import Path

import pytest
import trio
import trio.testing

from dewridge.gateway import composition
from dewridge.gateway.__main__ import load_gateway_settings
from dewridge.supervision.tree import RestartLimitError

SETTINGS = """{
  "host": {"id": "host-1", "failure_domain": "a", "address": "127.0.0.1"},
  "listen": {"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
    "peer_ports": [3, 4]},
  "services": {"store": "127.0.0.1:5"},
}
"""
ANSWER_SECONDS = 3.0
"""Seconds of an answer that is running when the task fails for the last time."""


pytestmark = pytest.mark.usefixtures("signal_handlers")


def make_gateway(tmp_path: Path) -> composition._Gateway:
    """Return a gateway whose tasks are replaced by the test."""
    path = tmp_path / "settings.json"
    path.write_text(SETTINGS)
    settings = load_gateway_settings(path).settings
    assert settings is not None
    return composition._Gateway(settings, path, load_gateway_settings)


async def test_a_task_that_keeps_failing_cuts_no_answer(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against one failing task that ends the answers of all callers at once."""
    gateway = make_gateway(tmp_path)
    has_failed, is_answered = trio.Event(), trio.Event()
    failures = 0

    async def fail() -> None:
        nonlocal failures
        failures += 1
        if failures > gateway._settings.supervision.restarts:
            has_failed.set()
        raise ValueError("for good")

    async def answer() -> None:
        gateway._state.ingress.requests += 1
        await has_failed.wait()
        await trio.sleep(ANSWER_SECONDS)
        gateway._state.ingress.requests -= 1
        is_answered.set()

    tasks = [("broken", fail), ("answer", answer)]
    monkeypatch.setattr(gateway, "_list_tasks", lambda: tasks)
    with trio.fail_after(60.0), pytest.raises((RestartLimitError, BaseExceptionGroup)):
        await gateway.run()
    assert is_answered.is_set()


async def test_an_error_while_leaving_cuts_no_answer(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an error of the last calls that ends all answers at once."""
    gateway = make_gateway(tmp_path)
    is_answered = trio.Event()

    async def answer() -> None:
        gateway._state.ingress.requests += 1
        os.kill(os.getpid(), signal.SIGTERM)
        await trio.sleep(ANSWER_SECONDS)
        gateway._state.ingress.requests -= 1
        is_answered.set()

    async def fail() -> None:
        raise ValueError("unregister")

    monkeypatch.setattr(gateway, "_list_tasks", lambda: [("answer", answer)])
    monkeypatch.setattr(gateway._registration, "unregister", fail)
    with trio.fail_after(60.0), suppress(ExceptionGroup):
        await gateway.run()
    assert is_answered.is_set()
