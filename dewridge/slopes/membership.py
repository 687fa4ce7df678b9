"""How the membership's costs grow with the number of hosts.

Runs members as real processes over loopback, up to a limit of processes and beyond it
several members in each, and writes a table and a plot. `make slopes` calls it.
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

SETTLE = 5.0
QUIET = 10.0
BUSY = 12.0
URGENT_RATE = 0.5
"""Urgent rumors a second in the busy part: 21,000 changes of configuration a day at
the aim, twice that with as many notices of backend servers."""
ROUTINE_RATE = 0.75
"""Routine rumors a second: confirmations and heartbeats."""
PAYLOAD = 100
RUMORS = 4
RUMOR_PAUSE = 2.0
LONGEST_WAIT = 40.0
LONGEST_SETTLING = 300.0
SEGMENT_BYTES = 52
"""Headers of IP and TCP with timestamps, for each frame sent."""
CONNECTION_BYTES = 220
"""Headers of the segments that open, acknowledge and close a connection, each way."""


class Member:
    """A process of members, as the driver sees it."""

    def __init__(self, process: trio.Process, first: int, count: int) -> None:
        self.process = process
        self.first = first
        self.count = count
        self.started: Started | None = None
        self.costs: list[Costs] = []

    async def tell(self, order: Order) -> None:
        """Send an order."""
        assert self.process.stdin is not None
        await self.process.stdin.send_all(encode(order))


class Driver:
    """Starts processes, gives orders and gathers reports."""

    def __init__(self, nursery: trio.Nursery, stack: AsyncExitStack) -> None:
        self._nursery = nursery
        self._stack = stack
        self.processes: list[Member] = []
        self.heard: dict[str, list[float]] = {}
        self.changes: list[Changed] = []

    async def start(self, members: int, processes: int, seed: int) -> None:
        """Start all processes, the first one as the seed of the others."""
        counts = [
            members // processes + (number < members % processes)
            for number in range(processes)
        ]
        first, seeds = 0, list[str]()
        for count in counts:
            process = await self._open(first, count)
            await process.tell(Start(first, count, seeds, seed))
            if not seeds:
                seeds = await self._read_seeds(process)
            first += count

    async def _read_seeds(self, process: Member) -> list[str]:
        await wait_until(lambda: process.started is not None)
        assert process.started is not None
        return process.started.addresses[:1]

    async def _open(self, first: int, count: int) -> Member:
        command = [sys.executable, "-m", "dewridge.slopes.members"]
        process = await trio.lowlevel.open_process(command, stdin=-1, stdout=-1)
        self._stack.callback(_end, process)
        member = Member(process, first, count)
        self.processes.append(member)
        self._nursery.start_soon(self._read, member)
        return member

    async def _read(self, member: Member) -> None:
        assert member.process.stdout is not None
        rest = b""
        async for data in member.process.stdout:
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self._note(member, decode_report(line))

    def _note(self, member: Member, report: Report) -> None:
        match report:
            case Started():
                member.started = report
            case Heard():
                self.heard.setdefault(report.subject, []).append(report.at)
            case Changed():
                self.changes.append(report)
            case Costs():
                member.costs.append(report)

    async def measure(self) -> list[Costs]:
        """Ask all processes for their costs so far."""
        before = [len(member.costs) for member in self.processes]
        for member in self.processes:
            await member.tell(Measure())
        asked = list(zip(self.processes, before, strict=True))
        await wait_until(lambda: all(len(m.costs) > count for m, count in asked))
        return [member.costs[-1] for member in self.processes]

    async def wait_complete(self, members: int) -> None:
        """Wait until each member knows all others, and told the last of it."""
        with trio.fail_after(LONGEST_SETTLING):
            while True:
                costs = await self.measure()
                is_told = max(cost.news for cost in costs) == 0
                if is_told and min(cost.knows for cost in costs) == members:
                    return
                await trio.sleep(1.0)

    async def spread(self, subject: str, members: int) -> tuple[float, float]:
        """Spread a rumor; seconds until half and until all members have it."""
        began = time.monotonic()
        await self.processes[-1].tell(Spread(subject, PAYLOAD, routine=False))
        await wait_until(lambda: len(self.heard.get(subject, [])) == members)
        times = sorted(at - began for at in self.heard[subject])
        return times[len(times) // 2], times[-1]

    async def kill_one(self, members: int) -> tuple[float, float, float]:
        """Kill a process; seconds to the first suspicion, and to half and all deaths.

        The one killed is neither the seed nor the one that spreads rumors.
        """
        victim = self.processes.pop(len(self.processes) // 2)
        host = f"entry-host-{victim.first:04}"
        began = time.monotonic()
        victim.process.kill()
        expected = members - victim.count
        try:
            await wait_until(lambda: len(self.find_times(host, "DEAD")) >= expected)
        except trio.TooSlowError:
            return math.nan, math.nan, math.nan
        dead = [at - began for at in self.find_times(host, "DEAD")]
        suspect = self.find_times(host, "SUSPECT")
        return suspect[0] - began, dead[expected // 2], dead[expected - 1]

    def find_times(self, host: str, state: str) -> list[float]:
        """Return when members came to hold a host for something, in order."""
        return sorted(c.at for c in self.changes if (c.host, c.state) == (host, state))


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; the measurement fails if that takes too long."""
    with trio.fail_after(LONGEST_WAIT):
        while True:
            if condition():
                return
            await trio.sleep(0.05)


def _end(process: trio.Process) -> None:
    if process.returncode is None:
        process.kill()


async def measure_once(members: int, limit: int, run: int) -> Row:
    """Measure one group from its start to its end."""
    processes = min(members, limit)
    async with AsyncExitStack() as stack, trio.open_nursery() as nursery:
        driver = Driver(nursery, stack)
        await driver.start(members, processes, run + 1)
        await driver.wait_complete(members)
        await trio.sleep(SETTLE)
        costs = [await driver.measure()]
        await trio.sleep(QUIET)
        costs.append(await driver.measure())
        await keep_busy(driver)
        costs.append(await driver.measure())
        spreads = []
        for number in range(RUMORS):
            await trio.sleep(RUMOR_PAUSE)
            spreads.append(await driver.spread(f"timed-{number}", members))
        false_deaths = sum(1 for change in driver.changes if change.state == "DEAD")
        deaths = await driver.kill_one(members)
        started = [member.started for member in driver.processes]
        base = statistics.mean(s.base_bytes for s in started if s is not None)
        nursery.cancel_scope.cancel()
    return make_row(members, processes, run, costs, base, spreads, deaths, false_deaths)


async def keep_busy(driver: Driver) -> None:
    """Spread rumors at the rates of the aim."""
    began = trio.current_time()
    due = [(n / URGENT_RATE, False) for n in range(int(BUSY * URGENT_RATE))]
    due += [(n / ROUTINE_RATE, True) for n in range(int(BUSY * ROUTINE_RATE))]
    for number, (at, routine) in enumerate(sorted(due)):
        await trio.sleep_until(began + at)
        subject = "routine" if routine else f"busy-{number}"
        size = 8 if routine else PAYLOAD
        process = driver.processes[number % len(driver.processes)]
        await process.tell(Spread(subject, size, routine))
    await trio.sleep_until(began + BUSY)


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
    """Work out the costs for one member and second."""
    quiet, busy = (Rates(members, *costs[n : n + 2]) for n in range(2))
    own = sum(cost.resident_bytes - base for cost in costs[2]) / members
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
        resident_mb=(base + own) / 1e6,
        member_mb=own / 1e6,
        rumor_half=statistics.median(half for half, _ in spreads),
        rumor_all=max(last for _, last in spreads),
        suspect_first=deaths[0],
        dead_half=deaths[1],
        dead_all=deaths[2],
        false_deaths=false_deaths,
        machine_load=os.getloadavg()[0],
    )


class Rates:
    """Costs between two measurements, for one member and second."""

    def __init__(self, members: int, before: list[Costs], after: list[Costs]) -> None:
        self._pairs = list(zip(before, after, strict=True))
        spans = [late.at - early.at for early, late in self._pairs]
        self._share = 1 / (members * statistics.mean(spans))

    def read(self, counter: str) -> float:
        """Return a counter's rate."""
        return self._share * sum(
            late.counters[counter] - early.counters[counter]
            for early, late in self._pairs
        )

    @property
    def cpu_percent(self) -> float:
        """Return the share of one core."""
        seconds = sum(
            late.cpu_seconds - early.cpu_seconds for early, late in self._pairs
        )
        return 100 * self._share * seconds

    @property
    def wire_sent(self) -> float:
        """Return the bytes sent with the headers of IP and TCP, reckoned."""
        connections = self.read("dialled") + self.read("accepted")
        headers = SEGMENT_BYTES * self.read("peer_frames_sent")
        return self.read("peer_bytes_sent") + headers + CONNECTION_BYTES * connections


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
