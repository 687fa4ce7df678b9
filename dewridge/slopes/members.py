"""A process that runs several members, as ordered by a driver over pipes."""

import os
import sys
import time
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path

import trio
from loguru import logger as log

from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.membership.model import Member, MemberState, Rumor
from dewridge.membership.service import MembershipService
from dewridge.metrics.registry import Metrics
from dewridge.peers.model import PeerIdentity
from dewridge.peers.transport import PeerTransport
from dewridge.settings.schema import MembershipSettings, PeerSettings
from dewridge.slopes.orders import (
    Changed,
    Costs,
    Heard,
    Measure,
    Report,
    Spread,
    Start,
    Started,
    decode_order,
    encode,
)

RUMOR_KIND = "slope"
COUNTERS = (
    "peer_bytes_sent",
    "peer_bytes_received",
    "peer_frames_sent",
    "membership_probes",
    "membership_urgent_contacts",
    "membership_probes_failed",
    "membership_refutations",
)


class MemberProcess:
    """Runs the members of this process, and reports to the driver."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._metrics = Metrics()
        self._services: list[MembershipService] = []
        self._output = trio.lowlevel.FdStream(os.dup(sys.stdout.fileno()))
        self._reports, self._pending_reports = trio.open_memory_channel[Report](100_000)

    async def write_reports(self) -> None:
        """Write queued reports to standard output."""
        async for report in self._pending_reports:
            await self._output.send_all(encode(report))

    async def start_members(self, order: Start) -> None:
        """Start the ordered members one after the other, and report their addresses."""
        base_bytes = read_resident_bytes()
        addresses: list[str] = []
        for number in range(order.first, order.first + order.count):
            seeds = order.seeds or addresses[:1]
            addresses.append(await self._start_member(number, seeds, order.seed))
        self._reports.send_nowait(Started(addresses, base_bytes))

    async def _start_member(self, number: int, seeds: list[str], seed: int) -> str:
        host = HostId(f"entry-host-{number:04}")
        identity = PeerIdentity(
            host, Incarnation(time.time_ns() // 1000), FailureDomain(f"d{number % 7}")
        )
        transport = PeerTransport(
            settings=PeerSettings(port=0),
            deployment="slopes",
            local_identity=identity,
            metrics=self._metrics,
        )
        self._nursery.start_soon(transport.run)
        await transport.wait_started()

        async def find_seeds() -> list[str]:
            return seeds

        service = MembershipService(
            settings=MembershipSettings(),
            peers=transport,
            local_member=Member(
                host,
                identity.incarnation,
                identity.failure_domain,
                transport.address,
                transport.address,
            ),
            find_seeds=find_seeds,
            metrics=self._metrics,
            seed=seed * 10_000 + number,
        )
        transport.check_peer = service.check_peer
        service.subscribe(partial(self._report_change, number))
        service.subscribe_rumors(RUMOR_KIND, partial(self._report_rumor, number))
        self._services.append(service)
        self._nursery.start_soon(service.run)
        return transport.address

    def _report_change(self, number: int, member: Member) -> None:
        if member.state is not MemberState.ALIVE:
            at = time.monotonic()
            report = Changed(number, member.host, member.state.name, at)
            self._reports.send_nowait(report)

    def _report_rumor(self, number: int, rumor: Rumor) -> None:
        self._reports.send_nowait(Heard(number, rumor.subject, time.monotonic()))

    def spread(self, order: Spread) -> None:
        """Broadcast a rumor from the first member."""
        version = time.time_ns()
        payload = bytes(order.size)
        rumor = Rumor(RUMOR_KIND, order.subject, version, payload, order.routine)
        self._services[0].spread(rumor)

    async def report_costs(self) -> None:
        """Report the costs so far."""
        counters = {name: self._metrics.read(name) for name in COUNTERS}
        for direction in ("dialled", "accepted"):
            name = "peer_connections_opened"
            counters[direction] = self._metrics.read(name, direction=direction)
        min_known_alive = min(
            sum(1 for member in service.members() if member.state is MemberState.ALIVE)
            for service in self._services
        )
        pending_updates = [
            (await service.describe())["news"] for service in self._services
        ]
        self._reports.send_nowait(
            Costs(
                time.monotonic(),
                time.process_time(),
                read_resident_bytes(),
                counters,
                min_known_alive,
                max(pending_updates),
            )
        )


def read_resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


async def read_lines(fd: int) -> AsyncIterator[bytes]:
    """Yield the lines that arrive over a pipe."""
    stream = trio.lowlevel.FdStream(os.dup(fd))
    incomplete = b""
    async for data in stream:
        *lines, incomplete = (incomplete + data).split(b"\n")
        for line in lines:
            yield line


async def run() -> None:
    """Execute orders until the driver closes the pipe."""
    async with trio.open_nursery() as nursery:
        process = MemberProcess(nursery)
        nursery.start_soon(process.write_reports)
        async for line in read_lines(sys.stdin.fileno()):
            match decode_order(line):
                case Start() as order:
                    await process.start_members(order)
                case Spread() as order:
                    process.spread(order)
                case Measure():
                    await process.report_costs()
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    log.remove()
    trio.run(run)
