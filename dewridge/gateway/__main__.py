"""Entry point of `python3 -m dewridge.gateway`, which runs an entry host.

Imports only what is needed to read the settings; `run` imports the rest.
"""

import ctypes.util
import gc
import os
import signal
import sys
from pathlib import Path

from dewridge.settings.gateway import GatewaySettings
from dewridge.settings.loading import LoadedSettings, load_file
from dewridge.settings.problems import Problem

SETTINGS_VARIABLE = "DEWRIDGE_NODE_FILE"
INVALID_SETTINGS_STATUS = 2
MIN_INTAKE_MB = 32
"""Megabytes in which a request of some megabytes still fits beside small ones."""
COLLECTION_THRESHOLD = 5_000
"""Net allocations between two runs of the garbage collector, in place of 700: most
objects of a request are freed without the collector."""


def check_gateway_settings(
    settings: GatewaySettings,
) -> tuple[list[Problem], list[Problem]]:
    """Return errors and warnings for settings that conform to the schema."""
    errors = []
    if not settings.listen.peer_ports:
        errors.append(Problem("listen.peer_ports", "names no port"))
    warnings = []
    memory = settings.host.memory_mb * settings.intake.memory_share
    if memory < MIN_INTAKE_MB:
        text = f"leaves {memory:.0f} MB for requests, less than {MIN_INTAKE_MB}"
        warnings.append(Problem("intake.memory_share", text))
    return errors, warnings


def load_gateway_settings(path: Path) -> LoadedSettings[GatewaySettings]:
    """Read and check the settings of a gateway."""
    return load_file(path, GatewaySettings, check_gateway_settings)


def run() -> int:
    """Run a gateway and return the exit status of the process."""
    # The settings are read below, so a change that is signalled until then is not lost.
    # The default effect of the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    loaded = load_gateway_settings(path)
    for problem in (*loaded.errors, *loaded.warnings):
        print(f"{problem.path}: {problem.text}", file=sys.stderr)
    if loaded.settings is None:
        return INVALID_SETTINGS_STATUS
    # The collector would search all modules again and again for garbage while they are
    # imported, and later with each full collection.
    gc.disable()
    _import_trio()
    import trio  # noqa: PLC0415

    from dewridge.gateway.composition import run_gateway  # noqa: PLC0415
    from dewridge.gateway.logs import set_up_logs  # noqa: PLC0415

    gc.freeze()
    gc.set_threshold(COLLECTION_THRESHOLD)
    gc.enable()
    set_up_logs(loaded.settings.log.level, loaded.settings.host.id)
    trio.run(run_gateway, loaded.settings, path, load_gateway_settings)
    for number in (signal.SIGTERM, signal.SIGHUP):
        # The interpreter removes handlers before it ends, but keeps ignored signals.
        signal.signal(number, signal.SIG_IGN)
    return 0


def _import_trio() -> None:
    """Import trio without its search for the thread library.

    The search starts `ldconfig` as a process at each start. Its result only names the
    threads of trio in the system's tools.
    """
    find_library = ctypes.util.find_library
    ctypes.util.find_library = lambda name: None
    try:
        import trio  # noqa: F401, PLC0415
    finally:
        ctypes.util.find_library = find_library


if __name__ == "__main__":
    sys.exit(run())
