"""Small fakes at the interfaces: a network, a key-value service, workers."""

import random
import sys
import uuid
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

import trio
import trio.testing

from dewridge.codes import ResultCode
from dewridge.configuration.model import (
    Configuration,
    Operation,
    PolicyChoice,
    Profile,
    Service,
)
from dewridge.fleet.model import (
    AttemptEnd,
    AttemptEvent,
    AttemptOrder,
    AttemptTokens,
    BackendServer,
    ServerState,
)
from dewridge.fleet.orders import Cancellation
from dewridge.ids import (
    AttemptId,
    BackendServerId,
    ClientAccount,
    FailureDomain,
    HostId,
    Incarnation,
    OperationName,
    ProfileName,
    RequestKey,
    ServiceName,
)
from dewridge.membership.model import Member, MemberState, Rumor
from dewridge.metrics.registry import Metrics
from dewridge.peers.model import Handler, PeerIdentity
from dewridge.policy.losses import ConnectResult
from dewridge.providers.model import Entry, HostState, ListedServer, ServerKind
from dewridge.requests.model import (
    EndedEvent,
    MovedEvent,
    RestartEvent,
    Submission,
    TokensEvent,
)
from dewridge.requests.service import RequestService
from dewridge.sentinels import Failure
from dewridge.settings.schema import RequestSettings

START = 1_800_000_000.0
DOMAINS = ("zona-a", "zona-b", "mixco", "villa-nueva")
ACCOUNT = ClientAccount("cooperative")
FINDINGS = ServiceName("findings")
REGISTRY = ServiceName("registry")
TOKENS = 20


def read_clock() -> float:
    return START + trio.current_time()


def make_key(rng: random.Random) -> RequestKey:
    value = int(read_clock() * 1000) << 80 | rng.getrandbits(80)
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(0x3 << 62) | (2 << 62)
    return RequestKey(str(uuid.UUID(int=value)))


def make_tokens(key: str, count: int = TOKENS) -> list[str]:
    return [f"{key[-6:]}.{place} " for place in range(count)]


@dataclass
class Node:
    """One entry host of the fake deployment."""

    member: Member
    handlers: dict[type, Handler] = field(default_factory=dict)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    resumed: trio.Event = field(default_factory=trio.Event)
    service: Any = None
    metrics: Metrics = field(default_factory=Metrics)
    is_dead: bool = False

    async def gate(self) -> None:
        """Wait while the host is paused or dead."""
        await self.resumed.wait()
        if self.is_dead:
            await trio.sleep_forever()


class FakeKeyValue:
    """A key-value service whose answers can be lost or late."""

    def __init__(self) -> None:
        self.values: dict[str, tuple[bytes, int]] = {}
        self.is_down = False
        self.lose_answers = 0
        self.lose_ends = 0
        self.delay = 0.002
        self.calls: list[str] = []

    async def _enter(self, kind: str, node: Node) -> None:
        await node.gate()
        self.calls.append(kind)
        await trio.sleep(self.delay)
        await node.gate()

    def bind(self, node: Node) -> "BoundKeyValue":
        return BoundKeyValue(self, node)


class BoundKeyValue:
    """The service as one host sees it; a paused host's calls are paused too."""

    def __init__(self, store: FakeKeyValue, node: Node) -> None:
        self._store = store
        self._node = node

    async def get(self, key: str) -> Entry | Failure:
        await self._store._enter("get", self._node)
        if self._store.is_down:
            return Failure(ResultCode.KEY_VALUE_DOWN)
        value, revision = self._store.values.get(key, (b"", 0))
        return Entry(key, value, revision)

    async def list_entries(self, prefix: str) -> list[Entry] | Failure:
        raise NotImplementedError

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int
    ) -> Entry | Failure:
        await self._store._enter("swap", self._node)
        if self._store.is_down:
            return Failure(ResultCode.KEY_VALUE_DOWN)
        _, revision = self._store.values.get(key, (b"", 0))
        if revision != expected_revision:
            return Failure(ResultCode.KEY_VALUE_CONFLICT)
        self._store.values[key] = value, revision + 1
        if self._store.lose_answers:
            self._store.lose_answers -= 1
            return Failure(ResultCode.KEY_VALUE_UNKNOWN)
        return Entry(key, value, revision + 1)

    async def delete(self, key: str, expected_revision: int) -> Entry | Failure:
        await self._store._enter("delete", self._node)
        self._store.values.pop(key, None)
        return Entry(key, b"", 0)

    async def watch(
        self, key: str, after_revision: int, timeout: float
    ) -> Entry | Failure:
        raise NotImplementedError


class FakeMembership:
    """One host's view; the deployment tells it what its probes would find."""

    def __init__(self, me: Member) -> None:
        self.local_member = me
        self.known: dict[HostId, Member] = {me.host: me}
        self.listeners: list[Callable[[Member], None]] = []
        self.rumor_listeners: dict[str, list[Callable[[Rumor], None]]] = {}
        self.heard: dict[tuple[str, str], int] = {}
        self.others: dict[str, FakeMembership] = {}

    def members(self) -> list[Member]:
        return [m for m in self.known.values() if m.state is not MemberState.DEAD]

    def find(self, host: HostId) -> Member | None:
        return self.known.get(host)

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        self.listeners.append(listener)

    def note(self, member: Member) -> None:
        if self.known.get(member.host) == member:
            return
        self.known[member.host] = member
        if member.host == self.local_member.host:
            self.local_member = member
        for listener in self.listeners:
            listener(member)

    def spread(self, rumor: Rumor) -> None:
        for view in self.others.values():
            view.hear(rumor)

    def hear(self, rumor: Rumor) -> None:
        place = rumor.kind, rumor.subject
        if self.heard.get(place, -1) >= rumor.version:
            return
        self.heard[place] = rumor.version
        for listener in self.rumor_listeners.get(rumor.kind, []):
            listener(rumor)

    def subscribe_rumors(self, kind: str, listener: Callable[[Rumor], None]) -> None:
        self.rumor_listeners.setdefault(kind, []).append(listener)


class FakePeers:
    """One host's connections through the fake network."""

    def __init__(self, cluster: "Cluster", node: Node) -> None:
        self._cluster = cluster
        self._node = node

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        with trio.move_on_after(timeout):
            await self._node.gate()
            return await self._cluster.carry(self._node, address, message)
        return Failure(ResultCode.PEER_TIMEOUT)

    def send(self, address: str, message: Any) -> Failure | None:
        async def carry() -> None:
            with trio.move_on_after(5):
                await self._node.gate()
                await self._cluster.carry(self._node, address, message)

        self._cluster.nursery.start_soon(carry)
        return None

    def handle(self, kind: type, handler: Handler) -> None:
        self._node.handlers[kind] = handler


class FakeServers:
    """The table of backend servers, shared by all hosts."""

    def __init__(self) -> None:
        self.table: dict[BackendServerId, BackendServer] = {}
        self.listeners: list[Callable[[BackendServer], None]] = []

    def add(self, name: str, service: ServiceName, kind: ServerKind) -> None:
        id = BackendServerId(name)
        listed = ListedServer(
            backend_server=id,
            address=name,
            failure_domain=FailureDomain(DOMAINS[len(self.table) % 4]),
            kind=kind,
            services=(service,),
            machine_class="small",
            price=1.0,
            reclaimable=True,
            capacity=16,
            checks_fencing=False,
            state=HostState.LIVE,
        )
        self.table[id] = BackendServer(listed, ServerState.LIVE)
        for listener in self.listeners:
            listener(self.table[id])

    def servers(self, service: ServiceName) -> list[BackendServer]:
        return [s for s in self.table.values() if service in s.listed.services]

    def find(self, id: BackendServerId) -> BackendServer | None:
        return self.table.get(id)

    def subscribe(self, listener: Callable[[BackendServer], None]) -> None:
        self.listeners.append(listener)

    def handle_leaving(
        self, id: BackendServerId, at: float | None, source: str
    ) -> None:
        changed = replace(self.table[id], state=ServerState.LEAVING, leaving_at=at)
        self.table[id] = changed
        for listener in self.listeners:
            listener(changed)


@dataclass(frozen=True)
class Execution:
    """An attempt as the worker saw it."""

    key: RequestKey
    operation: str
    at: float


class FakeWorkers:
    """Backend servers that answer by the key and remember what they ran."""

    def __init__(self) -> None:
        self.executions: list[Execution] = []
        self.step = 0.01
        self.plain_time = 0.02
        self.failures: list[ResultCode] = []
        self.lose_answers = 0
        self.lose_ends = 0
        self.computed = 0
        self.is_salted = False
        self.whole: dict[RequestKey, list[list[str]]] = {}
        self.confirms = True
        self.cancelled: set[AttemptId] = set()
        self.done: set[AttemptId] = set()
        self.crashing_inputs: set[str] = set()
        self.ended: set[BackendServerId] = set()

    def bind(self, node: Node) -> Any:
        @asynccontextmanager
        async def dispatch(
            server: BackendServer, order: AttemptOrder
        ) -> AsyncIterator[AsyncIterator[AttemptEvent]]:
            await node.gate()
            server_id = server.listed.backend_server
            if server_id in self.ended:
                yield self._fail(ResultCode.NOT_STARTED)
            elif order.input in self.crashing_inputs:
                await trio.sleep(self.step)
                self.ended.add(server_id)
                yield self._fail(ResultCode.CONNECTION_LOST)
            else:
                yield self._answer(node, order)

        return dispatch

    async def _fail(self, code: ResultCode) -> AsyncIterator[AttemptEvent]:
        yield Failure(code)

    async def _answer(
        self, node: Node, order: AttemptOrder
    ) -> AsyncIterator[AttemptEvent]:
        if self.failures:
            yield Failure(self.failures.pop(0))
            return
        run = Execution(order.key, order.operation, read_clock())
        self.executions.append(run)
        if order.service == REGISTRY:
            await trio.sleep(self.plain_time)
            await node.gate()
            if self.lose_answers:
                self.lose_answers -= 1
                yield Failure(ResultCode.CONNECTION_LOST)
                return
            yield AttemptEnd(body=f'"{order.key}"')
            return
        tokens = make_tokens(order.key, order.max_tokens)
        if self.is_salted:
            tokens = [f"{token}{order.attempt} " for token in tokens]
        tokens[: order.first_sequence] = order.tokens_done
        for place in range(order.first_sequence, len(tokens)):
            await trio.sleep(self.step)
            await node.gate()
            if order.attempt in self.cancelled:
                yield Failure(ResultCode.BACKEND_SERVER_FAILED)
                return
            self.computed += 1
            yield AttemptTokens(place, (tokens[place],))
        if self.lose_ends:
            self.lose_ends -= 1
            yield Failure(ResultCode.CONNECTION_LOST)
            return
        self.done.add(order.attempt)
        self.whole.setdefault(order.key, []).append(tokens)
        yield AttemptEnd()

    async def cancel(
        self, server: BackendServer, attempt: AttemptId, /
    ) -> Cancellation | Failure:
        await trio.sleep(0.002)
        if not self.confirms:
            return Failure(ResultCode.BACKEND_SERVER_SILENT)
        if attempt in self.done:
            return Cancellation.DONE
        self.cancelled.add(attempt)
        return Cancellation.CANCELLED

    async def export_cache(
        self, server: BackendServer, attempt: AttemptId, /
    ) -> str | Failure:
        return Failure(ResultCode.BACKEND_SERVER_FAILED)

    def count(self, key: RequestKey) -> int:
        return sum(1 for run in self.executions if run.key == key)


def make_configuration() -> Configuration:
    choice = PolicyChoice("cost_aware")
    profile = Profile(
        name=ProfileName("standard"),
        placement=choice,
        admission=PolicyChoice("fair"),
        recovery=PolicyChoice("resume"),
    )
    services = (
        Service(
            name=FINDINGS,
            kind="model",
            profile=profile.name,
            operations=(
                Operation(
                    name=OperationName("draft_finding"),
                    work_class="background",
                    expected_tokens=TOKENS,
                ),
                Operation(
                    name=OperationName("draft_certificate"),
                    idempotent=False,
                    expected_tokens=TOKENS,
                ),
            ),
        ),
        Service(
            name=REGISTRY,
            kind="plain",
            profile=profile.name,
            operations=(
                Operation(name=OperationName("check_status")),
                Operation(name=OperationName("issue_letter"), idempotent=False),
            ),
        ),
    )
    return Configuration(
        revision=1,
        profiles={profile.name: profile},
        services={service.name: service for service in services},
    )


@dataclass
class Seen:
    """What a caller has of an answer."""

    tokens: list[str] = field(default_factory=list)
    generation: int = 0
    ended: EndedEvent | None = None
    moved: tuple[str, ...] = ()
    restarts: int = 0

    def take(self, event: Any) -> None:
        if isinstance(event, TokensEvent):
            assert event.generation == self.generation or not self.generation
            assert event.offset == len(self.tokens), "a gap or an overlap"
            self.generation = event.generation
            self.tokens.extend(event.tokens)
        elif isinstance(event, RestartEvent):
            self.generation = event.generation
            self.tokens = []
            self.restarts += 1
        elif isinstance(event, MovedEvent):
            self.moved = event.addresses
        elif isinstance(event, EndedEvent):
            self.ended = event


class Cluster:
    """Several request services over fakes, in one event loop."""

    def __init__(
        self, nursery: trio.Nursery, size: int = 4, seed: int = 0, **settings: Any
    ) -> None:
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.key_value = FakeKeyValue()
        self.servers = FakeServers()
        self.workers = FakeWorkers()
        self.nodes: dict[str, Node] = {}
        self.views: dict[str, FakeMembership] = {}
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.delay = 0.001
        self.on_message: Callable[[Node, Node, Any], None] = lambda *_: None
        self.settings = RequestSettings(**settings)
        self.configuration = make_configuration()
        for place in range(4):
            self.servers.add(f"engine-{place}", FINDINGS, ServerKind.ENGINE)
            self.servers.add(f"worker-{place}", REGISTRY, ServerKind.PLAIN)
        for place in range(size):
            self.start(f"host-{place}", DOMAINS[place % 4])

    def start(self, name: str, domain: str) -> Node:
        member = Member(
            HostId(name),
            Incarnation(int(read_clock() * 1e6)),
            FailureDomain(domain),
            address=f"peer:{name}",
            frontend_address=f"front:{name}",
        )
        node = Node(member)
        node.resumed.set()
        view = FakeMembership(member)
        view.others = self.views
        for other in self.views.values():
            if (
                other.local_member.host != name
                and not self.nodes[other.local_member.host].is_dead
            ):
                view.known[other.local_member.host] = other.local_member
        self.nodes[name] = node
        self.views[name] = view
        node.service = RequestService(
            settings=self.settings,
            peers=FakePeers(self, node),
            membership=view,
            rumors=view,
            key_value=self.key_value.bind(node),
            key_prefix="test/",
            writes_per_second=200,
            configuration=lambda: self.configuration,
            servers=self.servers,
            dispatch=self.workers.bind(node),
            orders=self.workers,
            admission_gate=lambda: None,
            metrics=node.metrics,
            clock=read_clock,
            seed=1,
            probe_server=self.look,
        )
        self.nursery.start_soon(self._run, node)
        self.tell(member)
        return node

    async def look(self, address: str) -> ConnectResult:
        """Try a connection to a server; its name stands for its address."""
        is_over = BackendServerId(address) in self.workers.ended
        return ConnectResult.REFUSED if is_over else ConnectResult.ACCEPTED

    async def _run(self, node: Node) -> None:
        with node.scope:
            async with trio.open_nursery() as nursery:
                for _, run in node.service.list_tasks():
                    nursery.start_soon(run)

    async def carry(self, source: Node, address: str, message: Any) -> Any:
        target = self.nodes[address.removeprefix("peer:")]
        pair = (source.member.host, target.member.host)
        if target.is_dead:
            return Failure(ResultCode.PEER_UNREACHABLE)
        if pair in self.cut or self.rng.random() < self.loss:
            await trio.sleep_forever()
        self.on_message(source, target, message)
        await trio.sleep(self.delay * self.rng.uniform(0.5, 1.5))
        await target.gate()
        me = source.member
        identity = PeerIdentity(me.host, me.incarnation, me.failure_domain)
        reply = await target.handlers[type(message)](identity, message)
        await trio.sleep(self.delay * self.rng.uniform(0.5, 1.5))
        if (pair[1], pair[0]) in self.cut or self.rng.random() < self.loss:
            await trio.sleep_forever()
        await source.gate()
        return reply

    def tell(self, member: Member, *but: str) -> None:
        """Let all views learn a member's state."""
        for name, view in self.views.items():
            if name not in but and not self.nodes[name].is_dead:
                view.note(member)

    def kill(self, name: str) -> None:
        node = self.nodes[name]
        node.is_dead = True
        node.scope.cancel()
        self.nursery.start_soon(self._suspect, node)

    def announce_leaving(self, name: str) -> None:
        self.tell(replace(self.nodes[name].member, state=MemberState.LEAVING))

    def pause(self, name: str) -> None:
        node = self.nodes[name]
        node.resumed = trio.Event()
        self.nursery.start_soon(self._suspect, node)

    def resume(self, name: str) -> None:
        node = self.nodes[name]
        node.resumed.set()
        self.tell(replace(node.member, refutation=1))

    async def _suspect(self, node: Node) -> None:
        await trio.sleep(0.5)
        for state in (MemberState.SUSPECT, MemberState.DEAD):
            if node.resumed.is_set() and not node.is_dead:
                return
            self.tell(replace(node.member, state=state), node.member.host)
            await trio.sleep(1.0)

    def cut_off(self, name: str) -> None:
        for other in self.nodes:
            self.cut |= {(name, other), (other, name)}

    def make(
        self,
        operation: str = "draft_finding",
        number: int = 1,
        key: RequestKey | None = None,
        deadline: float = 20.0,
    ) -> Submission:
        is_model = operation.startswith("draft")
        return Submission(
            account=ACCOUNT,
            service=FINDINGS if is_model else REGISTRY,
            operation=OperationName(operation),
            key=key or make_key(self.rng),
            number=number,
            deadline=read_clock() + deadline,
            input='"dossier 17"',
            max_tokens=TOKENS if is_model else 0,
        )

    async def follow(
        self, name: str, key: RequestKey, seen: Seen | None = None
    ) -> Seen:
        seen = seen or Seen()
        service = self.nodes[name].service
        seen.moved = ()
        place = seen.generation, len(seen.tokens)
        async with service.follow(ACCOUNT, key, *place) as events:
            async for event in events:
                seen.take(event)
        return seen


def run_cluster(
    scenario: Callable[[Cluster], Any], size: int = 4, seed: int = 0, **settings: Any
) -> None:
    """Run a scenario under a clock that jumps, with a limit of an hour."""

    async def main() -> None:
        with trio.fail_after(3600):
            async with trio.open_nursery() as nursery:
                cluster = Cluster(nursery, size, seed, **settings)
                await trio.sleep(0.01)
                await scenario(cluster)
                nursery.cancel_scope.cancel()

    # The order in which trio runs tasks is random, by a generator of its own.
    trio_run = sys.modules["trio._core._run"]
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[attr-defined]
    trio_run._r.seed(seed)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
