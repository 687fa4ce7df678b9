"""Runs members in one process over an in-memory network with injected faults."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import trio
import trio.testing

from dewridge.codes import ResultCode
from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.membership.model import Member, MemberState
from dewridge.membership.service import MembershipService
from dewridge.metrics.registry import Metrics
from dewridge.peers.frames import FrameContent, decode_payload, encode_frame
from dewridge.peers.model import Handler, Message, PeerIdentity
from dewridge.sentinels import Failure
from dewridge.settings.schema import MembershipSettings

LATENCY = 0.002
"""Seconds that a message takes in one direction."""
MAX_FRAME_BYTES = 1_000_000
"""Maximum bytes of an encoded message."""
_NO_REPLY = Failure(ResultCode.PEER_TIMEOUT, "no reply")


def transcode(message: Message) -> Message:
    """Return the message as decoded by the receiver."""
    frame = encode_frame(FrameContent(1, 0, message), MAX_FRAME_BYTES)
    assert isinstance(frame, bytes), frame
    content = decode_payload(frame[4:])
    assert isinstance(content, FrameContent)
    return content.message


class Network:
    """Delivers calls between members over the links that `is_link_up` allows.

    Attributes:
        is_link_up: returns whether messages from one address to another get through.
        paused: addresses of paused processes.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.peers: dict[str, MemoryPeers] = {}
        self.is_link_up: Callable[[str, str], bool] = lambda source, target: True
        self.paused: set[str] = set()
        self.messages = 0

    def is_deliverable(self, source: str, target: str) -> bool:
        """Return whether a message would now be delivered."""
        is_paused = source in self.paused or target in self.paused
        return (
            target in self.peers and not is_paused and self.is_link_up(source, target)
        )


class MemoryPeers:
    """Implements `Peers` over a `Network`."""

    def __init__(self, network: Network, identity: PeerIdentity, address: str) -> None:
        self.identity = identity
        self.address = address
        self.check_peer: Callable[[PeerIdentity], Failure | None] = lambda peer: None
        self._network = network
        self._handlers: dict[type, Handler] = {}
        network.peers[address] = self

    def handle(self, kind: type, handler: Handler) -> None:
        self._handlers[kind] = handler

    def send(self, address: str, message: Message) -> Failure | None:
        self._network.nursery.start_soon(self.call, address, message, 1.0)
        return None

    async def call(
        self, address: str, message: Message, timeout: float
    ) -> Message | Failure:
        network = self._network
        with trio.move_on_after(timeout):
            network.messages += 1
            await trio.sleep(LATENCY)
            if not network.is_deliverable(self.address, address):
                await trio.sleep_forever()
            reply = await network.peers[address].answer(
                self.identity, transcode(message)
            )
            await trio.sleep(LATENCY)
            if not network.is_deliverable(address, self.address):
                await trio.sleep_forever()
            return reply
        return _NO_REPLY

    async def answer(self, peer: PeerIdentity, message: Message) -> Message | Failure:
        rejection = self.check_peer(peer)
        if rejection is not None:
            return rejection
        reply = await self._handlers[type(message)](peer, message)
        if reply is None:
            await trio.sleep_forever()
        return reply if isinstance(reply, Failure) else transcode(reply)


@dataclass
class Group:
    """Members that run in one process.

    Attributes:
        network: connects the members.
        settings: settings of all members.
        services: running members by host.
        metrics: metrics by host.
        fenced: hosts whose incarnation was terminated.
        changes: member changes reported on each host.
    """

    network: Network
    settings: MembershipSettings
    services: dict[str, MembershipService] = field(default_factory=dict)
    metrics: dict[str, Metrics] = field(default_factory=dict)
    fenced: list[str] = field(default_factory=list)
    changes: dict[str, list[Member]] = field(default_factory=dict)
    _scopes: dict[str, trio.CancelScope] = field(default_factory=dict)

    def start(self, number: int, incarnation: int = 1) -> MembershipService:
        """Start host `number`; hosts 0 and 1 are the seeds."""
        host, address = f"host-{number}", f"10.0.0.{number}:1"
        domain = FailureDomain(f"domain-{number % 4}")
        identity = PeerIdentity(HostId(host), Incarnation(incarnation), domain)
        peers = MemoryPeers(self.network, identity, address)
        member = Member(
            identity.host, identity.incarnation, domain, address, f"10.0.0.{number}:2"
        )

        async def find_seeds() -> list[str]:
            return ["10.0.0.0:1", "10.0.0.1:1"]

        metrics = self.metrics[host] = Metrics()
        service = MembershipService(
            settings=self.settings,
            peers=peers,
            local_member=member,
            find_seeds=find_seeds,
            metrics=metrics,
            seed=number * 1_000 + incarnation,
            on_fenced=partial(self.fenced.append, host),
        )
        peers.check_peer = service.check_peer
        changes = self.changes[host] = []
        service.subscribe(changes.append)
        scope = self._scopes[host] = trio.CancelScope()
        self.services[host] = service
        self.network.nursery.start_soon(self._run, service, scope)
        return service

    def crash(self, number: int) -> None:
        """Crash a host."""
        host = f"host-{number}"
        del self.services[host]
        del self.network.peers[f"10.0.0.{number}:1"]
        self._scopes[host].cancel()

    async def _run(self, service: MembershipService, scope: trio.CancelScope) -> None:
        with scope:
            await service.run()

    def has_converged(self, alive: set[int]) -> bool:
        """Return whether every running host has exactly these hosts as alive."""
        expected = {f"host-{number}" for number in alive}
        return all(
            {m.host for m in service.members() if m.state is MemberState.ALIVE}
            == expected
            for service in self.services.values()
        )

    async def wait(self, condition: Callable[[], bool], timeout: float) -> float:
        """Wait for a condition; return the seconds it took."""
        started_at = trio.current_time()
        while not condition():
            assert trio.current_time() - started_at < timeout, "timed out"
            await trio.sleep(0.05)
        return trio.current_time() - started_at


def run_group(
    count: int,
    scenario: Callable[[Group], Awaitable[None]],
    settings: MembershipSettings | None = None,
) -> None:
    """Run members in virtual time until their views agree, then run the scenario."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            group = Group(Network(nursery), settings or MembershipSettings())
            for number in range(count):
                group.start(number)
            await group.wait(lambda: group.has_converged(set(range(count))), 60)
            await scenario(group)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def shuffle_numbers(count: int, seed: int) -> list[int]:
    """Return the numbers below `count` in a random order for the seed."""
    numbers = list(range(count))
    Random(seed).shuffle(numbers)
    return numbers
