"""Tests of reloading the settings of a running gateway."""

import os
import signal
from pathlib import Path

import pytest
import trio
import trio.testing

from dewridge.gateway.__main__ import load_gateway_settings
from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.reloading import SettingsReloader, compute_trust_period
from dewridge.settings.gateway import GatewaySettings
from dewridge.tests.gateway.failing_tests import SETTINGS as GATEWAY_SETTINGS
from dewridge.tests.gateway.failing_tests import make_gateway

TEXT = """// a comment
{
  "host": {"id": "host-1", "failure_domain": "a", "address": "127.0.0.1"},
  "listen": {"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
    "peer_ports": [3, 4]},
  "services": {"store": "127.0.0.1:5"},
  "bounds": {"revocation_ms": %s},
}
"""


async def test_new_bounds_are_applied_without_a_signal(
    tmp_path: Path, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against missing a change without a signal and applying a partial file."""
    path = tmp_path / "settings.json"
    path.write_text(TEXT % 5000)
    first = load_gateway_settings(path).settings
    assert first is not None
    configuration = ConfigurationState(compute_trust_period(first))
    applied_settings: list[GatewaySettings] = []
    reloader = SettingsReloader(
        path, load_gateway_settings, configuration, applied_settings.append, first
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reloader.run)
        await trio.sleep(1.5)
        assert applied_settings == []
        path.write_text(TEXT % 3000)
        await trio.sleep(1.5)
        assert [applied.bounds.revocation_ms for applied in applied_settings] == [3000]
        path.write_text(TEXT[:40])
        await trio.sleep(1.5)
        assert len(applied_settings) == 1
        nursery.cancel_scope.cancel()


async def test_a_change_while_the_process_starts_is_applied(
    tmp_path: Path, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a change between the first read and the first poll."""
    path = tmp_path / "settings.json"
    path.write_text(TEXT % 5000)
    first = load_gateway_settings(path).settings
    assert first is not None
    path.write_text(TEXT % 3000)
    applied_settings: list[GatewaySettings] = []
    reloader = SettingsReloader(
        path,
        load_gateway_settings,
        ConfigurationState(compute_trust_period(first)),
        applied_settings.append,
        first,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reloader.run)
        await trio.sleep(3.5)
        nursery.cancel_scope.cancel()
    assert [applied.bounds.revocation_ms for applied in applied_settings] == [3000]


def test_all_errors_are_reported_at_once(tmp_path: Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text('{"host": {"id": 5}, "listne": {}}')
    errors = [str(problem) for problem in load_gateway_settings(path).errors]
    assert any("listne" in error and "listen" in error for error in errors)
    assert any("host.id" in error for error in errors)
    assert len(errors) >= 4


@pytest.mark.parametrize("grace", [3.0, 30.0])
@pytest.mark.parametrize(
    "signals", [(signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM)]
)
async def test_a_grace_period_that_has_just_changed_counts(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    signal_handlers: None,
    signals: tuple[signal.Signals, ...],
    grace: float,
) -> None:
    """Guards against a host that is killed while it counts on old settings."""
    gateway = make_gateway(tmp_path)

    async def change_and_stop() -> None:
        await trio.sleep(1.5)
        bounds = f'"bounds": {{"grace": {grace}}}'
        changed = GATEWAY_SETTINGS.replace("\n}", f"\n  {bounds}\n}}")
        (tmp_path / "settings.json").write_text(changed)
        for number in signals:
            os.kill(os.getpid(), number)
        await trio.sleep_forever()

    tasks = [("settings", gateway._settings_reloader.run), ("stop", change_and_stop)]
    monkeypatch.setattr(gateway, "_list_tasks", lambda: tasks)
    with trio.fail_after(60.0):
        await gateway.run()
    schedule = gateway._state.shutdown
    assert schedule is not None
    assert grace * 5 / 6 < schedule.exits_at - schedule.started_at < grace
