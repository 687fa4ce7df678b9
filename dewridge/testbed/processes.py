"""Starts, signals, inspects and stops the processes of a deployment."""

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
"""Seconds for a process to announce that it listens; its imports take about 1 s."""

EXIT_TIMEOUT = 40.0
"""Seconds for a process to exit before it is killed."""


PORT_RANGE = (11_000, 31_000)
"""Below the ephemeral ports; see `choose_ports`."""


class StartError(Exception):
    """A process of the deployment did not start."""


@dataclass
class Process:
    """A running process, with methods to signal and inspect it.

    Attributes:
        announcement: the JSON that it printed once it listened, such as its URLs;
            empty for an entry host.
    """

    name: str
    handle: trio.Process
    log_path: Path
    announcement: dict[str, Any]

    @property
    def is_running(self) -> bool:
        """Whether it has not exited."""
        return self.handle.poll() is None

    def kill(self) -> None:
        """Kill it at once, like a host that loses power."""
        self._signal(signal.SIGKILL)

    def suspend(self) -> None:
        """Suspend it, like a host that swaps or is being migrated."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume it after `suspend`."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask it to shut down gracefully."""
        self._signal(signal.SIGTERM)

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            os.kill(self.handle.pid, number)

    async def wait_for_exit(self, timeout: float = EXIT_TIMEOUT) -> bool:
        """Wait for it to exit; after `timeout` seconds, kill it and return False."""
        with trio.move_on_after(timeout):
            await self.handle.wait()
            return True
        self.kill()
        await self.handle.wait()
        return False

    def read_resident_memory(self) -> int:
        """Return its resident memory in bytes; 0 if it no longer exists."""
        try:
            pages = Path(f"/proc/{self.handle.pid}/statm").read_text().split()[1]
        except OSError:
            return 0
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    def read_processor_time(self) -> float:
        """Return its CPU time in seconds; 0 if it no longer exists."""
        try:
            stat = Path(f"/proc/{self.handle.pid}/stat").read_text()
        except OSError:
            return 0.0
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def start_process(
    name: str, arguments: list[str], folder: Path, *, expects_announcement: bool
) -> Process:
    """Start `python -m dewridge` with arguments.

    Args:
        name: name used for its log file and in errors.
        arguments: command-line arguments.
        folder: folder for its log file.
        expects_announcement: whether it prints one JSON line once it listens.

    Raises:
        StartError: it exited, or did not print the line in time.
    """
    log_path = folder / f"{name}.log"
    with log_path.open("ab") as log_file:
        handle = await trio.lowlevel.open_process(
            [sys.executable, "-m", "dewridge", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE if expects_announcement else log_file,
            stderr=log_file,
        )
    announcement: dict[str, Any] = {}
    if expects_announcement:
        with trio.move_on_after(START_TIMEOUT):
            announcement = await _read_line(handle)
        if not announcement:
            handle.kill()
            await handle.wait()
            raise StartError(f"{name} did not start:\n{log_path.read_text()[-800:]}")
    return Process(name, handle, log_path, announcement)


async def _read_line(handle: trio.Process) -> dict[str, Any]:
    assert handle.stdout is not None
    line = b""
    while not line.endswith(b"\n"):
        chunk = await handle.stdout.receive_some(4096)
        if not chunk:
            return {}
        line += chunk
    announcement: dict[str, Any] = json.loads(line)
    return announcement


async def stop_processes(processes: list[Process]) -> None:
    """Terminate all processes, and kill those that have not exited after 3 s.

    It is shielded from cancellation, so that no process is left running.
    """
    with trio.CancelScope(shield=True):
        for process in processes:
            process.resume()
            process.terminate()
        async with trio.open_nursery() as nursery:
            for process in processes:
                nursery.start_soon(process.wait_for_exit, 3.0)


def choose_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that were just free.

    They are below the ephemeral ports, because the kernel could give an ephemeral
    port to an outgoing connection before the intended process binds it.
    """
    chosen: list[int] = []
    while len(chosen) < count:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in chosen:
            chosen.append(port)
    return chosen
