"""Tests of the signals that an entry host gets."""

import subprocess
import sys

import pytest

LEAVE = """
import os, signal, trio
from dewridge.composition import _handle_signals
from dewridge.lifecycle import Lifecycle

async def run():
    lifecycle = Lifecycle()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, lifecycle)
        await trio.sleep(0.1)
        for _ in range(3):
            os.kill(os.getpid(), signal.%s)
            await trio.sleep(0.1)
        assert lifecycle.leaving.is_set()
        nursery.cancel_scope.cancel()

trio.run(run)
"""


@pytest.mark.parametrize("name", ["SIGTERM", "SIGINT", "SIGHUP"])
def test_a_signal_makes_a_host_leave_and_ends_no_answer_at_once(name: str) -> None:
    """Guards against answers that are cut by the default effect of a signal."""
    script = [sys.executable, "-c", LEAVE % name]
    result = subprocess.run(script, check=False, capture_output=True, text=True)
    assert result.returncode == 0, result.stderr
