"""Measures what a process holds: memory, input that it has not read, descriptors."""

from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

import trio

SAMPLE_PERIOD = 0.05
MEGABYTE = 1_000_000
ESTABLISHED = "01"


@dataclass
class Footprint:
    """The most that a process has held.

    Attributes:
        memory: resident bytes, and bytes in the kernel's buffers of its connections.
        descriptors: open descriptors.
    """

    memory: int = 0
    descriptors: int = 0


async def watch_footprint(
    pid: int, ports: Collection[int], footprint: Footprint
) -> None:
    """Record the footprint of a process until it ends or the task is cancelled."""
    while True:
        try:
            record_footprint(pid, ports, footprint)
        except (FileNotFoundError, ProcessLookupError):
            return
        await trio.sleep(SAMPLE_PERIOD)


def record_footprint(pid: int, ports: Collection[int], footprint: Footprint) -> None:
    """Record what a process holds now, and the peak of its resident memory.

    Raises:
        FileNotFoundError: the process has ended.
    """
    status = read_status(pid)
    now = status["VmRSS"] + count_buffered_bytes(ports)
    footprint.memory = max(footprint.memory, now, status["VmHWM"])
    descriptors = sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
    footprint.descriptors = max(footprint.descriptors, descriptors)


def read_status(pid: int) -> dict[str, int]:
    """Return the sizes in a process's status, in bytes.

    Raises:
        FileNotFoundError: the process has ended.
    """
    sizes = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if value.endswith(" kB"):
            sizes[name] = int(value.split()[0]) * 1024
    if "VmRSS" not in sizes:
        raise FileNotFoundError
    return sizes


def count_buffered_bytes(ports: Collection[int]) -> int:
    """Return the bytes in the kernel's buffers of connections accepted at ports."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split()
        if state == ESTABLISHED and int(local.partition(":")[2], 16) in ports:
            sent, _, received = queues.partition(":")
            total += int(sent, 16) + int(received, 16)
    return total
