"""What a gateway imports and does before its first answer.

A gateway starts on half a core, and after the loss of all hosts callers wait for it.
"""

import subprocess
import sys

NOT_IMPORTED = {
    "cryptography",
    "dewridge.frontend",
    "dewridge.gateway.operations",
    "dewridge.metrics.exposition",
    "dewridge.settings.schema",
    "httpx",
    "hypercorn",
    "json5",
    "matplotlib",
    "numpy",
    "prometheus_client",
    "quart",
    "thrift",
    "typer",
    "uuid6",
}
IMPORT = """
import subprocess, sys

def fail(*arguments, **options):
    raise AssertionError("a process was started")

subprocess.Popen.__init__ = fail
from dewridge.gateway import __main__ as gateway
gateway._import_trio()
import dewridge.gateway.composition, dewridge.gateway.logs
print(*sys.modules)
"""


def test_start_imports_nothing_that_is_needed_later_and_starts_no_process() -> None:
    # One import of the metrics page at the top of a module delayed each start by a
    # tenth of a second, and trio's search for the thread library by as much.
    result = subprocess.run(
        [sys.executable, "-c", IMPORT], capture_output=True, text=True, check=False
    )
    assert result.returncode == 0, result.stderr
    assert NOT_IMPORTED.isdisjoint(result.stdout.split())


def test_a_reload_does_not_end_a_process_that_starts() -> None:
    """Guards against SIGHUP before the process has read its settings."""
    script = """
import os, signal
from dewridge.gateway import __main__ as gateway

def send_signal(*arguments):
    os.kill(os.getpid(), signal.SIGHUP)
    raise SystemExit(0)

gateway.load_gateway_settings = send_signal
gateway.run()
"""
    result = subprocess.run([sys.executable, "-c", script], check=False)
    assert result.returncode == 0
