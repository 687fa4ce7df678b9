"""Measures how the membership's costs grow with the number of hosts.

Runs members in separate processes over loopback, several in each above a limit of
processes, and writes a CSV file and a plot. `make slopes` runs it.
"""

import math
import os
import statistics
import sys
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Annotated

import trio
import typer

from dewridge.slopes.figures import Row, print_table, write_plot, write_rows
from dewridge.slopes.orders import (
    Changed,
    Costs,
    Heard,
    Measure,
    Order,
    Report,
    Spread,
    Start,
    Started,
    decode_report,
    encode,
)

SETTLE_SECONDS = 5.0
"""Pause after all members have joined, before the first measurement."""
QUIET_SECONDS = 10.0
"""Length of the quiet part, in which no rumors are spread."""
BUSY_SECONDS = 12.0
"""Length of the busy part, in which rumors are spread."""
URGENT_RATE = 0.5
"""Urgent rumors per second in the busy part: at the planned size, 21,000 configuration
changes a day and as many notices of backend servers, twice 21,000 in total."""
ROUTINE_RATE = 0.75
"""Routine rumors per second: confirmations and heartbeats."""
PAYLOAD_BYTES = 100
"""Size of an urgent rumor."""
TIMED_RUMORS = 4
"""Rumors whose propagation is timed in each run."""
RUMOR_PAUSE_SECONDS = 2.0
MAX_WAIT_SECONDS = 40.0
MAX_JOIN_SECONDS = 300.0
SEGMENT_HEADER_BYTES = 52
"""IP and TCP headers, with TCP timestamps, for each frame sent."""
CONNECTION_HEADER_BYTES = 220
"""Headers of the segments that open, acknowledge and close a connection, each way."""


class ProcessHandle:
    """The driver's handle of a process that runs members.

    Attributes:
        first: number of its first member.
        count: number of its members.
    """

    def __init__(self, process: trio.Process, first: int, count: int) -> None:
        self.process = process
        self.first = first
        self.count = count
        self.started: Started | None = None
        self.costs: list[Costs] = []

    async def send_order(self, order: Order) -> None:
        """Send an order to the process."""
        assert self.process.stdin is not None
        await self.process.stdin.send_all(encode(order))


class Driver:
    """Starts processes of members, sends them orders and collects their reports."""

    def __init__(self, nursery: trio.Nursery, stack: AsyncExitStack) -> None:
        self._nursery = nursery
        self._stack = stack
        self.processes: list[ProcessHandle] = []
        self.rumor_times: dict[str, list[float]] = {}
        self.changes: list[Changed] = []

    async def start(self, members: int, processes: int, seed: int) -> None:
        """Start all processes; the first member is the seed of the others."""
        counts = [
            members // processes + (number < members % processes)
            for number in range(processes)
        ]
        first, seeds = 0, list[str]()
        for count in counts:
            process = await self._open_process(first, count)
            await process.send_order(Start(first, count, seeds, seed))
            if not seeds:
                seeds = await self._read_seeds(process)
            first += count

    async def _read_seeds(self, process: ProcessHandle) -> list[str]:
        await wait_until(lambda: process.started is not None)
        assert process.started is not None
        return process.started.addresses[:1]

    async def _open_process(self, first: int, count: int) -> ProcessHandle:
        command = [sys.executable, "-m", "dewridge.slopes.members"]
        process = await trio.lowlevel.open_process(command, stdin=-1, stdout=-1)
        self._stack.callback(_kill_process, process)
        handle = ProcessHandle(process, first, count)
        self.processes.append(handle)
        self._nursery.start_soon(self._read_reports, handle)
        return handle

    async def _read_reports(self, handle: ProcessHandle) -> None:
        assert handle.process.stdout is not None
        incomplete = b""
        async for data in handle.process.stdout:
            *lines, incomplete = (incomplete + data).split(b"\n")
            for line in lines:
                self._record_report(handle, decode_report(line))

    def _record_report(self, handle: ProcessHandle, report: Report) -> None:
        match report:
            case Started():
                handle.started = report
            case Heard():
                self.rumor_times.setdefault(report.subject, []).append(report.at)
            case Changed():
                self.changes.append(report)
            case Costs():
                handle.costs.append(report)

    async def measure(self) -> list[Costs]:
        """Request and return the costs of all processes so far."""
        before = [len(handle.costs) for handle in self.processes]
        for handle in self.processes:
            await handle.send_order(Measure())
        previous_counts = list(zip(self.processes, before, strict=True))
        await wait_until(
            lambda: all(len(handle.costs) > count for handle, count in previous_counts)
        )
        return [handle.costs[-1] for handle in self.processes]

    async def wait_complete(self, members: int) -> None:
        """Wait until each member knows all others and has no update left to send."""
        with trio.fail_after(MAX_JOIN_SECONDS):
            while True:
                costs = await self.measure()
                has_no_updates = max(cost.news for cost in costs) == 0
                if has_no_updates and min(cost.knows for cost in costs) == members:
                    return
                await trio.sleep(1.0)

    async def spread(self, subject: str, members: int) -> tuple[float, float]:
        """Broadcast a rumor; return seconds until half and all members have it."""
        started_at = time.monotonic()
        await self.processes[-1].send_order(
            Spread(subject, PAYLOAD_BYTES, routine=False)
        )
        await wait_until(lambda: len(self.rumor_times.get(subject, [])) == members)
        times = sorted(at - started_at for at in self.rumor_times[subject])
        return times[len(times) // 2], times[-1]

    async def kill_process(self, members: int) -> tuple[float, float, float]:
        """Kill a process, and time how members detect the failure.

        The process is neither the seed's nor the one that sends the timed rumors.

        Returns:
            Seconds until the first member suspects the killed process's first host,
            and until half and all of the other members hold it dead; NaN if they do
            not within `MAX_WAIT_SECONDS`.
        """
        victim = self.processes.pop(len(self.processes) // 2)
        host = f"entry-host-{victim.first:04}"
        started_at = time.monotonic()
        victim.process.kill()
        expected = members - victim.count
        try:
            await wait_until(
                lambda: len(self.find_change_times(host, "DEAD")) >= expected
            )
        except trio.TooSlowError:
            return math.nan, math.nan, math.nan
        dead = [at - started_at for at in self.find_change_times(host, "DEAD")]
        suspect = self.find_change_times(host, "SUSPECT")
        return suspect[0] - started_at, dead[expected // 2], dead[expected - 1]

    def find_change_times(self, host: str, state: str) -> list[float]:
        """Return the sorted times at which members set a host to a state."""
        return sorted(
            change.at
            for change in self.changes
            if (change.host, change.state) == (host, state)
        )


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; raise `trio.TooSlowError` after `MAX_WAIT_SECONDS`."""
    with trio.fail_after(MAX_WAIT_SECONDS):
        while True:
            if condition():
                return
            await trio.sleep(0.05)


def _kill_process(process: trio.Process) -> None:
    if process.returncode is None:
        process.kill()


async def measure_once(members: int, max_processes: int, run: int) -> Row:
    """Run and measure one group of members."""
    processes = min(members, max_processes)
    async with AsyncExitStack() as stack, trio.open_nursery() as nursery:
        driver = Driver(nursery, stack)
        await driver.start(members, processes, run + 1)
        await driver.wait_complete(members)
        await trio.sleep(SETTLE_SECONDS)
        costs = [await driver.measure()]
        await trio.sleep(QUIET_SECONDS)
        costs.append(await driver.measure())
        await keep_busy(driver)
        costs.append(await driver.measure())
        spreads = []
        for number in range(TIMED_RUMORS):
            await trio.sleep(RUMOR_PAUSE_SECONDS)
            spreads.append(await driver.spread(f"timed-{number}", members))
        false_deaths = sum(1 for change in driver.changes if change.state == "DEAD")
        deaths = await driver.kill_process(members)
        started = [handle.started for handle in driver.processes]
        base = statistics.mean(s.base_bytes for s in started if s is not None)
        nursery.cancel_scope.cancel()
    return make_row(members, processes, run, costs, base, spreads, deaths, false_deaths)


async def keep_busy(driver: Driver) -> None:
    """Broadcast rumors at `URGENT_RATE` and `ROUTINE_RATE` for the busy part."""
    started_at = trio.current_time()
    schedule = [
        (n / URGENT_RATE, False) for n in range(int(BUSY_SECONDS * URGENT_RATE))
    ]
    schedule += [
        (n / ROUTINE_RATE, True) for n in range(int(BUSY_SECONDS * ROUTINE_RATE))
    ]
    for number, (at, routine) in enumerate(sorted(schedule)):
        await trio.sleep_until(started_at + at)
        subject = "routine" if routine else f"busy-{number}"
        size = 8 if routine else PAYLOAD_BYTES
        process = driver.processes[number % len(driver.processes)]
        await process.send_order(Spread(subject, size, routine))
    await trio.sleep_until(started_at + BUSY_SECONDS)


def make_row(
    members: int,
    processes: int,
    run: int,
    costs: list[list[Costs]],
    base: float,
    spreads: list[tuple[float, float]],
    deaths: tuple[float, float, float],
    false_deaths: int,
) -> Row:
    """Compute the costs per member and second."""
    quiet, busy = (Rates(members, *costs[n : n + 2]) for n in range(2))
    member_bytes = sum(cost.resident_bytes - base for cost in costs[2]) / members
    return Row(
        members=members,
        processes=processes,
        run=run,
        quiet_sent=quiet.read("peer_bytes_sent"),
        quiet_received=quiet.read("peer_bytes_received"),
        quiet_wire_sent=quiet.wire_sent,
        quiet_messages=quiet.read("peer_frames_sent"),
        quiet_connections=quiet.read("dialled"),
        quiet_cpu_percent=quiet.cpu_percent,
        busy_sent=busy.read("peer_bytes_sent"),
        busy_wire_sent=busy.wire_sent,
        busy_messages=busy.read("peer_frames_sent"),
        busy_cpu_percent=busy.cpu_percent,
        resident_mb=(base + member_bytes) / 1e6,
        member_mb=member_bytes / 1e6,
        rumor_half=statistics.median(half for half, _ in spreads),
        rumor_all=max(last for _, last in spreads),
        suspect_first=deaths[0],
        dead_half=deaths[1],
        dead_all=deaths[2],
        false_deaths=false_deaths,
        machine_load=os.getloadavg()[0],
    )


class Rates:
    """Costs between two measurements, per member and second."""

    def __init__(self, members: int, before: list[Costs], after: list[Costs]) -> None:
        self._pairs = list(zip(before, after, strict=True))
        durations = [later.at - earlier.at for earlier, later in self._pairs]
        self._share = 1 / (members * statistics.mean(durations))

    def read(self, counter: str) -> float:
        """Return the rate of a counter."""
        return self._share * sum(
            later.counters[counter] - earlier.counters[counter]
            for earlier, later in self._pairs
        )

    @property
    def cpu_percent(self) -> float:
        """Return the processor time as a percentage of one core."""
        seconds = sum(
            later.cpu_seconds - earlier.cpu_seconds for earlier, later in self._pairs
        )
        return 100 * self._share * seconds

    @property
    def wire_sent(self) -> float:
        """Return the bytes sent, with an estimate of the IP and TCP headers."""
        connections = self.read("dialled") + self.read("accepted")
        headers = SEGMENT_HEADER_BYTES * self.read("peer_frames_sent")
        return (
            self.read("peer_bytes_sent")
            + headers
            + CONNECTION_HEADER_BYTES * connections
        )


def main(
    sizes: Annotated[str, typer.Option(help="Members, by commas.")] = "8,24,48,100,200",
    runs: Annotated[int, typer.Option(help="Runs at each size.")] = 3,
    processes: Annotated[int, typer.Option(help="Most processes at once.")] = 40,
    out: Annotated[Path, typer.Option(help="Folder.")] = Path("docs/figures"),
) -> None:
    """Measure the membership at several sizes; write membership.csv and .png."""
    rows: list[Row] = []
    out.mkdir(parents=True, exist_ok=True)
    for run in range(runs):
        for size in [int(text) for text in sizes.split(",")]:
            row = trio.run(measure_once, size, processes, run)
            rows.append(row)
            print(row, flush=True)
            write_rows(rows, out / "membership.csv")
    print_table(rows)
    write_plot(rows, out / "membership.png")


if __name__ == "__main__":
    typer.run(main)
