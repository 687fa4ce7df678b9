"""Entry point of `python3 -m dewridge.gateway`, which runs an entry host."""

import os
import sys
from pathlib import Path

import trio

from dewridge.gateway.composition import run_gateway
from dewridge.gateway.logs import set_up_logs
from dewridge.settings.gateway import GatewaySettings
from dewridge.settings.loading import LoadedSettings, load_file
from dewridge.settings.problems import Problem

SETTINGS_VARIABLE = "DEWRIDGE_NODE_FILE"
INVALID_SETTINGS_STATUS = 2


def check_gateway_settings(
    settings: GatewaySettings,
) -> tuple[list[Problem], list[Problem]]:
    """Return errors and warnings for settings that conform to the schema."""
    errors = []
    if not settings.listen.peer_ports:
        errors.append(Problem("listen.peer_ports", "names no port"))
    return errors, []


def load_gateway_settings(path: Path) -> LoadedSettings[GatewaySettings]:
    """Read and check the settings of a gateway."""
    return load_file(path, GatewaySettings, check_gateway_settings)


def run() -> int:
    """Run a gateway and return the exit status of the process."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    loaded = load_gateway_settings(path)
    for problem in (*loaded.errors, *loaded.warnings):
        print(f"{problem.path}: {problem.text}", file=sys.stderr)
    if loaded.settings is None:
        return INVALID_SETTINGS_STATUS
    set_up_logs(loaded.settings.log.level, loaded.settings.host.id)
    trio.run(run_gateway, loaded.settings, path, load_gateway_settings)
    return 0


if __name__ == "__main__":
    sys.exit(run())
