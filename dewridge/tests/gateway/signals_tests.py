"""Tests of a gateway that notices the signals of the platform late."""

import os
import signal
import time
from pathlib import Path

import pytest
import trio

from dewridge.gateway import composition
from dewridge.gateway.__main__ import load_gateway_settings
from dewridge.tests.gateway.failing_tests import SETTINGS

GRACE = 2.0
STALL = 0.9
"""Seconds for which the process stands still, with a signal that it has not seen."""


@pytest.mark.parametrize("stalled_before", [0.0, 0.4])
async def test_a_signal_to_a_process_that_stands_still_counts_from_when_it_was_sent(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    signal_handlers: None,
    stalled_before: float,
) -> None:
    """Guards against a host that plans to end after it is killed."""
    path = tmp_path / "settings.json"
    bounds = f'"bounds": {{"grace": {GRACE}}}'
    path.write_text(SETTINGS.replace("\n}", f"\n  {bounds}\n}}"))
    settings = load_gateway_settings(path).settings
    assert settings is not None
    gateway = composition._Gateway(settings, path, load_gateway_settings)
    sent_at = 0.0

    def stand_still() -> None:
        nonlocal sent_at
        gateway._state.stalls.check()
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
        time.sleep(stalled_before)
        sent_at = trio.current_time()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(STALL - stalled_before)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM})

    async def stall() -> None:
        stand_still()
        await trio.sleep_forever()

    monkeypatch.setattr(gateway, "_list_tasks", lambda: [("stall", stall)])
    with trio.fail_after(10.0):
        await gateway.run()
    schedule = gateway._state.shutdown
    assert schedule is not None
    assert schedule.exits_at < sent_at + GRACE
    # It does not end before the time in which running streams may be cut, either.
    assert schedule.exits_at > sent_at - stalled_before + GRACE * 5 / 6
