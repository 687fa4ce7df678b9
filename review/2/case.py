"""Streams of two software versions, taken up at a host without the store."""

import asyncio
import random
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from client import AddressList, Call, Reply, resolve
from deployment import (
    Deployment,
    Gateway,
    Record,
    make_route,
    make_service,
    run_case,
)

HOSTS = 4
EVENTS = 24
PAUSE = 0.15
STREAMS = 160
SETTLE_SECONDS = 7.0
RELEASE_AFTER = 0.2
"""Seconds from the start of the cut until workers of the second version start."""
SEND_AFTER = 1.6
RESET_AFTER = 2.6
CUT_SECONDS = 5.5
RESET_SHARE = 0.5
LONG_KEEPERS = 0.33
"""Share of the clients that keep a list three times as long."""
ALLOWED = 2
BUDGET_MS = 12_000


@dataclass
class Stream:
    """A stream over a client's tries.

    Attributes:
        replies: what each try got.
        addresses: the host of each try.
        is_reset: whether the channel of the first try is reset.
    """

    number: int
    keeps_long: bool
    replies: list[Reply] = field(default_factory=list)
    addresses: list[str] = field(default_factory=list)
    is_reset: bool = False

    @property
    def versions(self) -> set[str]:
        """The versions whose events the client has."""
        return {
            event.split(b" ")[3].decode()
            for reply in self.replies
            for event in reply.events
        }


def make_headers(number: int) -> dict[str, str]:
    """Return the headers of a prompt with a shared part and one of its own."""
    return {
        "X-Model": "m",
        "X-Token-Count": f"826,{EVENTS * 6}",
        "X-Prefix-Hash": f"5c1e07a2:198,{number:08x}:628",
    }


class Clients:
    """Clients with a list of addresses each, as long as they may keep it."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._record = record
        self._registry = deployment.gateways[0]
        self._kept = AddressList()
        self.streams: list[Stream] = []
        self._calls: dict[str, tuple[Call, Stream]] = {}

    async def ask(self) -> None:
        """Have all clients ask for addresses."""
        self._kept = await resolve(self._registry)
        self._record.add(f"clients resolve: {sorted(self._kept.addresses)}")

    async def choose(self, stream: Stream, excluded: set[str]) -> str:
        """Return an address for a new channel of a client."""
        kept = self._kept
        lifetime = kept.ttl * (3.0 if stream.keeps_long else 1.0)
        if time.monotonic() - kept.asked_at > lifetime:
            kept = await resolve(self._registry)
        usable = [address for address in kept.addresses if address not in excluded]
        return random.choice(usable or kept.addresses)

    async def run_stream(self, number: int, first: str) -> None:
        """Send a stream, and take it up once if its channel breaks."""
        stream = Stream(number, keeps_long=random.random() < LONG_KEEPERS)
        self.streams.append(stream)
        reply = await self._try(stream, first, {})
        if reply.is_complete or not reply.events:
            return
        address = await self.choose(stream, {first})
        resumption = {
            "Last-Event-Id": str(len(reply.events)),
            "Resumes": reply.attempt,
        }
        await self._try(stream, address, resumption)

    async def _try(
        self, stream: Stream, address: str, headers: dict[str, str]
    ) -> Reply:
        call = Call(address, "/chat/1", budget_ms=BUDGET_MS)
        stream.replies.append(call.reply)
        stream.addresses.append(address)
        self._calls[call.reply.attempt] = (call, stream)
        self._record.add(f"sent {call.reply.attempt} to {address} {headers}")
        reply = await call.run({**make_headers(stream.number), **headers}, b"{}")
        del self._calls[reply.attempt]
        self._record.add(
            f"answered {reply.attempt}: status {reply.status}, "
            f"{len(reply.events)} events, complete {reply.is_complete}"
        )
        return reply

    def reset_channels(self, address: str) -> None:
        """Reset a share of the channels to one host."""
        for call, stream in list(self._calls.values()):
            if stream.addresses[-1] == address and random.random() < RESET_SHARE:
                stream.is_reset = True
                call.abort()
        self._record.add(f"channels to {address} are reset")


def find_breaks(streams: list[Stream]) -> list[str]:
    """Return the streams with events of two versions, if they are too many."""
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    if len(mixed) <= ALLOWED:
        return []
    return [
        f"ORDER: stream of {stream.replies[0].attempt} holds events of "
        f"{sorted(stream.versions)}, taken up at {stream.addresses[-1]}"
        for stream in mixed
    ]


async def cut_off(gateway: Gateway, record: Record) -> None:
    """Partition a host from the store for a while."""
    record.add(f"{gateway.name} is partitioned from the store")
    gateway.proxy.cut()
    await asyncio.sleep(CUT_SECONDS)
    gateway.proxy.heal()
    record.add(f"{gateway.name} reaches the store again")


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Play the case and return what broke the rule."""
    async with Deployment(record) as deployment:
        route = make_route(
            "chat", "streaming", stream_resume=True, max_attempts=2, timeout_ms=12_000
        )
        deployment.write_config(1, [make_service(is_engine=True)], [route])
        for _ in range(2):
            await deployment.add_worker(version="v1", pause=PAUSE)
        await deployment.add_gateways(HOSTS)
        for gateway in deployment.gateways:
            record.add(f"{gateway.name} takes requests at {gateway.frontend}")
        await asyncio.sleep(SETTLE_SECONDS)
        clients = Clients(deployment, record)
        if has_trouble:
            deployment.start_task(cut_off(deployment.gateways[-1], record))
        began = time.monotonic()
        await asyncio.sleep(RELEASE_AFTER)
        await clients.ask()
        for _ in range(2):
            await deployment.add_worker(version="v2", pause=PAUSE)
        await asyncio.sleep(began + SEND_AFTER - time.monotonic())
        first = deployment.gateways[0].frontend
        async with asyncio.TaskGroup() as group:
            for number in range(STREAMS):
                group.create_task(clients.run_stream(number, first))
                await asyncio.sleep(0.004)
            await asyncio.sleep(began + RESET_AFTER - time.monotonic())
            clients.reset_channels(first)
        resumed = [stream for stream in clients.streams if len(stream.replies) > 1]
        went_on = [stream for stream in resumed if stream.replies[1].events]
        mixed = [stream for stream in resumed if len(stream.versions) > 1]
        record.add(
            f"{len(clients.streams)} streams, {len(resumed)} taken up, "
            f"{len(went_on)} went on, {len(mixed)} hold two versions"
        )
        return find_breaks(clients.streams)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).with_name("record.txt"), play, 60.0))
