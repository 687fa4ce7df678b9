"""What a gateway imports and does before its first answer.

A gateway starts on half a core, and after the loss of all hosts callers wait for it.
"""

import subprocess
import sys

import pytest

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


@pytest.mark.parametrize("name", ["SIGTERM", "SIGHUP"])
def test_signals_do_not_end_a_process_that_exits(name: str) -> None:
    """Guards against signals after the interpreter has reset their handlers."""
    script = f"""
import os, signal, sys
from types import SimpleNamespace as Namespace
from dewridge.gateway import __main__ as gateway
from dewridge.settings.loading import LoadedSettings
gateway._import_trio()
import trio

class LastObject:
    def __del__(self, write=os.write, kill=os.kill, pid=os.getpid()):
        write(1, b"sent")
        kill(pid, signal.{name})

def handle_signals(*arguments):
    signal.signal(signal.{name}, lambda number, frame: None)

trio.run = handle_signals
settings = Namespace(log=Namespace(level="info"), host=Namespace(id="a"))
gateway.load_gateway_settings = lambda path: LoadedSettings(settings)
module = type(sys)("module_that_is_removed_last")
module.last = LastObject()
sys.modules[module.__name__] = module
sys.exit(gateway.run())
"""
    result = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=False
    )
    assert (result.returncode, result.stdout) == (0, "sent"), result.stderr
