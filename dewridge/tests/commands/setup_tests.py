"""Tests of the set-up of the development environment by the Makefile."""

import subprocess
from pathlib import Path

MAKEFILE = Path(__file__).parents[3] / "Makefile"
RUNS = 3

PYTHON = """#!/bin/sh
# Stands in for the system's Python: `-m venv DIR` copies it into the environment, where
# `-m pip install` fails if another installation runs.
case "$2" in
venv) mkdir -p "$3/bin"; sleep 0.2; cp "$0" "$3/bin/python" ;;
pip)
    mkdir installing || exit 1
    sleep 0.2
    echo installed >> installations
    rmdir installing
    ;;
esac
"""


def test_concurrent_setups_do_not_break_the_environment(tmp_path: Path) -> None:
    """Guards against two installations into one environment at the same time.

    Each replaces files while the other reads them, and both may fail or leave packages
    incomplete. Later ones have nothing left to do.
    """
    (tmp_path / "Makefile").write_text(MAKEFILE.read_text())
    (tmp_path / "requirements.lock").write_text("trio\n")
    python = tmp_path / "python"
    python.write_text(PYTHON)
    python.chmod(0o755)
    processes = [
        subprocess.Popen(
            ["make", "setup", f"PYTHON={python}", "VENV=environment"],
            cwd=tmp_path,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        )
        for _ in range(RUNS)
    ]
    errors = [process.communicate(timeout=30)[1] for process in processes]
    assert [process.returncode for process in processes] == [0] * RUNS, errors
    assert (tmp_path / "installations").read_text() == "installed\n"
