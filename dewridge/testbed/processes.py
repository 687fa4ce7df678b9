"""Processes of a testbed: started, watched, and ended by id."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import trio

START_TIMEOUT = 30.0
"""Seconds for a process to say that it listens; an import takes about one."""

EXIT_TIMEOUT = 40.0
"""Seconds for a process to end by itself before it is killed."""


PORT_RANGE = (11_000, 31_000)


class StartError(Exception):
    """A process of the testbed did not come up."""


@dataclass
class Process:
    """One process with the signals that a fault sends it.

    Attributes:
        announcement: what it printed when it listened; empty for an entry host.
    """

    name: str
    handle: trio.Process
    log_path: Path
    announcement: dict[str, Any]

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.handle.poll() is None

    def kill(self) -> None:
        """End it at once, as a host that loses power."""
        self._signal(signal.SIGKILL)

    def suspend(self) -> None:
        """Stop it without ending it, as a host that swaps or is migrated."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a stopped process go on."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask it to leave gracefully."""
        self._signal(signal.SIGTERM)

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            os.kill(self.handle.pid, number)

    async def wait_for_exit(self, limit: float = EXIT_TIMEOUT) -> bool:
        """Wait for its end; False, and it is killed, after `limit` seconds."""
        with trio.move_on_after(limit):
            await self.handle.wait()
            return True
        self.kill()
        await self.handle.wait()
        return False

    def read_resident_memory(self) -> int:
        """Return its resident memory in bytes; 0 once it has ended."""
        try:
            pages = Path(f"/proc/{self.handle.pid}/statm").read_text().split()[1]
        except OSError:
            return 0
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    def read_processor_time(self) -> float:
        """Return the seconds of processor time that it has used."""
        try:
            stat = Path(f"/proc/{self.handle.pid}/stat").read_text()
        except OSError:
            return 0.0
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def start_process(
    name: str, arguments: list[str], folder: Path, *, waits_for_line: bool
) -> Process:
    """Start `python -m dewridge` with arguments.

    Args:
        name: for logs and errors.
        arguments: of the command line.
        folder: where its log goes.
        waits_for_line: whether it prints one JSON line once it listens.

    Raises:
        StartError: it ended, or said nothing in time.
    """
    log_path = folder / f"{name}.log"
    with log_path.open("ab") as log_file:
        handle = await trio.lowlevel.open_process(
            [sys.executable, "-m", "dewridge", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE if waits_for_line else log_file,
            stderr=log_file,
        )
    ready: dict[str, Any] = {}
    if waits_for_line:
        with trio.move_on_after(START_TIMEOUT):
            ready = await _read_line(handle)
        if not ready:
            handle.kill()
            await handle.wait()
            raise StartError(f"{name} did not start:\n{log_path.read_text()[-800:]}")
    return Process(name, handle, log_path, ready)


async def _read_line(handle: trio.Process) -> dict[str, Any]:
    assert handle.stdout is not None
    line = b""
    while not line.endswith(b"\n"):
        chunk = await handle.stdout.receive_some(4096)
        if not chunk:
            return {}
        line += chunk
    answer: dict[str, Any] = json.loads(line)
    return answer


async def stop_processes(processes: list[Process]) -> None:
    """End all processes: ask first, then kill; shielded, so none is left."""
    with trio.CancelScope(shield=True):
        for process in processes:
            process.resume()
            process.terminate()
        async with trio.open_nursery() as nursery:
            for process in processes:
                nursery.start_soon(process.wait_for_exit, 3.0)


def choose_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that were free a moment ago.

    They lie below those that the kernel gives to outgoing connections; one of
    these might take the port before the process that it was chosen for does.
    """
    chosen: list[int] = []
    while len(chosen) < count:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        with socket.socket() as trial:
            try:
                trial.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in chosen:
            chosen.append(port)
    return chosen
