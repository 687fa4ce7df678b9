"""Members in one process, over a network in memory whose faults a test orders."""

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
from dewridge.peers.frames import Parcel, decode_payload, encode_frame
from dewridge.peers.model import Handler, Message, PeerIdentity
from dewridge.sentinels import Failure
from dewridge.settings.schema import MembershipSettings

LATENCY = 0.002
FRAME_LIMIT = 1_000_000
_SILENCE = Failure(ResultCode.PEER_TIMEOUT, "no reply")


def pack(message: Message) -> Message:
    """Return the message as it comes out at the other end."""
    frame = encode_frame(Parcel(1, 0, message), FRAME_LIMIT)
    assert isinstance(frame, bytes), frame
    parcel = decode_payload(frame[4:])
    assert isinstance(parcel, Parcel)
    return parcel.message


class Network:
    """Carries calls between members, unless `passes` says no.

    Attributes:
        passes: whether a message goes from one address to another.
        stopped: addresses whose process stands still.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.peers: dict[str, MemoryPeers] = {}
        self.passes: Callable[[str, str], bool] = lambda source, target: True
        self.stopped: set[str] = set()
        self.messages = 0

    def is_open(self, source: str, target: str) -> bool:
        """Whether a message gets through now."""
        is_stopped = source in self.stopped or target in self.stopped
        return target in self.peers and not is_stopped and self.passes(source, target)


class MemoryPeers:
    """Implements `Peers` over a `Network`."""

    def __init__(self, network: Network, me: PeerIdentity, address: str) -> None:
        self.me = me
        self.address = address
        self.is_refused: Callable[[PeerIdentity], Failure | None] = lambda peer: None
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
            if not network.is_open(self.address, address):
                await trio.sleep_forever()
            reply = await network.peers[address].answer(self.me, pack(message))
            await trio.sleep(LATENCY)
            if not network.is_open(address, self.address):
                await trio.sleep_forever()
            return reply
        return _SILENCE

    async def answer(self, peer: PeerIdentity, message: Message) -> Message | Failure:
        refusal = self.is_refused(peer)
        if refusal is not None:
            return refusal
        reply = await self._handlers[type(message)](peer, message)
        if reply is None:
            await trio.sleep_forever()
        return reply if isinstance(reply, Failure) else pack(reply)


@dataclass
class Group:
    """Members that run in one process.

    Attributes:
        fenced: hosts whose incarnation was told to end.
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
        peers.is_refused = service.check_peer
        changes = self.changes[host] = []
        service.subscribe(changes.append)
        scope = self._scopes[host] = trio.CancelScope()
        self.services[host] = service
        self.network.nursery.start_soon(self._run, service, scope)
        return service

    def kill(self, number: int) -> None:
        """End a host at once."""
        host = f"host-{number}"
        del self.services[host]
        del self.network.peers[f"10.0.0.{number}:1"]
        self._scopes[host].cancel()

    async def _run(self, service: MembershipService, scope: trio.CancelScope) -> None:
        with scope:
            await service.run()

    def agrees(self, alive: set[int]) -> bool:
        """Whether every running host holds exactly these for alive."""
        expected = {f"host-{number}" for number in alive}
        return all(
            {m.host for m in service.members() if m.state is MemberState.ALIVE}
            == expected
            for service in self.services.values()
        )

    async def wait(self, condition: Callable[[], bool], timeout: float) -> float:
        """Wait for a condition; returns the seconds it took."""
        began = trio.current_time()
        while not condition():
            assert trio.current_time() - began < timeout, "waited too long"
            await trio.sleep(0.05)
        return trio.current_time() - began


def run_group(
    count: int,
    scenario: Callable[[Group], Awaitable[None]],
    settings: MembershipSettings | None = None,
) -> None:
    """Run members in virtual time until they agree, then the scenario."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            group = Group(Network(nursery), settings or MembershipSettings())
            for number in range(count):
                group.start(number)
            await group.wait(lambda: group.agrees(set(range(count))), 60)
            await scenario(group)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def shuffled(count: int, seed: int) -> list[int]:
    """Return the numbers below `count` in a seeded order."""
    numbers = list(range(count))
    Random(seed).shuffle(numbers)
    return numbers
