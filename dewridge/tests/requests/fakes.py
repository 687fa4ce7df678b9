"""Fakes of the interfaces of a request service: network, key-value service, servers."""

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

START_TIME = 1_800_000_000.0
"""Seconds since 1970 at which each test starts."""
DOMAINS = ("zona-a", "zona-b", "mixco", "villa-nueva")
ACCOUNT = ClientAccount("cooperative")
FINDINGS = ServiceName("findings")
REGISTRY = ServiceName("registry")
ANSWER_TOKENS = 20


def read_clock() -> float:
    return START_TIME + trio.current_time()


def make_key(rng: random.Random) -> RequestKey:
    value = int(read_clock() * 1000) << 80 | rng.getrandbits(80)
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(0x3 << 62) | (2 << 62)
    return RequestKey(str(uuid.UUID(int=value)))


def make_tokens(key: str, count: int = ANSWER_TOKENS) -> list[str]:
    return [f"{key[-6:]}.{index} " for index in range(count)]


@dataclass
class Node:
    """One entry host of the fake cluster.

    Attributes:
        handlers: its handlers of peer messages, by message type.
        scope: cancelled when the host crashes.
        resumed: set unless the host is paused.
        service: its RequestService.
    """

    member: Member
    handlers: dict[type, Handler] = field(default_factory=dict)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    resumed: trio.Event = field(default_factory=trio.Event)
    service: Any = None
    metrics: Metrics = field(default_factory=Metrics)
    is_crashed: bool = False

    async def wait_until_running(self) -> None:
        """Wait while the host is paused, and forever once it has crashed."""
        await self.resumed.wait()
        if self.is_crashed:
            await trio.sleep_forever()


class FakeKeyValue:
    """A key-value service with faults, shared by all hosts.

    Attributes:
        values: value and revision of each key.
        is_down: whether reads and writes fail.
        lose_answers: number of successful writes still to answer with
            KEY_VALUE_UNKNOWN.
        delay: seconds that each call takes.
        calls: the kind of each call so far.
    """

    def __init__(self) -> None:
        self.values: dict[str, tuple[bytes, int]] = {}
        self.is_down = False
        self.lose_answers = 0
        self.lose_ends = 0
        self.delay = 0.002
        self.calls: list[str] = []

    async def _simulate_call(self, kind: str, node: Node) -> None:
        await node.wait_until_running()
        self.calls.append(kind)
        await trio.sleep(self.delay)
        await node.wait_until_running()

    def bind(self, node: Node) -> "BoundKeyValue":
        return BoundKeyValue(self, node)


class BoundKeyValue:
    """The key-value client of one host; its calls wait while the host is paused."""

    def __init__(self, store: FakeKeyValue, node: Node) -> None:
        self._store = store
        self._node = node

    async def get(self, key: str) -> Entry | Failure:
        await self._store._simulate_call("get", self._node)
        if self._store.is_down:
            return Failure(ResultCode.KEY_VALUE_DOWN)
        value, revision = self._store.values.get(key, (b"", 0))
        return Entry(key, value, revision)

    async def list_entries(self, prefix: str) -> list[Entry] | Failure:
        raise NotImplementedError

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int
    ) -> Entry | Failure:
        await self._store._simulate_call("swap", self._node)
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
        await self._store._simulate_call("delete", self._node)
        self._store.values.pop(key, None)
        return Entry(key, b"", 0)

    async def watch(
        self, key: str, after_revision: int, timeout: float
    ) -> Entry | Failure:
        raise NotImplementedError


class FakeMembership:
    """One host's view of the members; the cluster sets what probes would detect.

    Attributes:
        all_views: the views of all hosts; a rumor spreads to each at once.
    """

    def __init__(self, me: Member) -> None:
        self.local_member = me
        self.members_by_host: dict[HostId, Member] = {me.host: me}
        self.listeners: list[Callable[[Member], None]] = []
        self.rumor_listeners: dict[str, list[Callable[[Rumor], None]]] = {}
        self.rumor_versions: dict[tuple[str, str], int] = {}
        self.all_views: dict[str, FakeMembership] = {}

    def members(self) -> list[Member]:
        return [
            m for m in self.members_by_host.values() if m.state is not MemberState.DEAD
        ]

    def find(self, host: HostId) -> Member | None:
        return self.members_by_host.get(host)

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        self.listeners.append(listener)

    def update_member(self, member: Member) -> None:
        if self.members_by_host.get(member.host) == member:
            return
        self.members_by_host[member.host] = member
        if member.host == self.local_member.host:
            self.local_member = member
        for listener in self.listeners:
            listener(member)

    def spread(self, rumor: Rumor) -> None:
        for view in self.all_views.values():
            view.receive_rumor(rumor)

    def receive_rumor(self, rumor: Rumor) -> None:
        topic = rumor.kind, rumor.subject
        if self.rumor_versions.get(topic, -1) >= rumor.version:
            return
        self.rumor_versions[topic] = rumor.version
        for listener in self.rumor_listeners.get(rumor.kind, []):
            listener(rumor)

    def subscribe_rumors(self, kind: str, listener: Callable[[Rumor], None]) -> None:
        self.rumor_listeners.setdefault(kind, []).append(listener)


class FakePeers:
    """One host's connections to other hosts in the fake network."""

    def __init__(self, cluster: "Cluster", node: Node) -> None:
        self._cluster = cluster
        self._node = node

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        with trio.move_on_after(timeout):
            await self._node.wait_until_running()
            return await self._cluster.deliver(self._node, address, message)
        return Failure(ResultCode.PEER_TIMEOUT)

    def send(self, address: str, message: Any) -> Failure | None:
        async def deliver() -> None:
            with trio.move_on_after(5):
                await self._node.wait_until_running()
                await self._cluster.deliver(self._node, address, message)

        self._cluster.nursery.start_soon(deliver)
        return None

    def handle(self, kind: type, handler: Handler) -> None:
        self._node.handlers[kind] = handler


class FakeServers:
    """The table of backend servers, shared by all hosts."""

    def __init__(self) -> None:
        self.table: dict[BackendServerId, BackendServer] = {}
        self.listeners: list[Callable[[BackendServer], None]] = []

    def add(
        self, name: str, service: ServiceName, kind: ServerKind, version: str = ""
    ) -> None:
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
            version=version,
        )
        self.table[id] = BackendServer(listed, ServerState.LIVE)
        for listener in self.listeners:
            listener(self.table[id])

    def set_version(self, name: str, version: str) -> None:
        """Change the software version of a server in the list."""
        server = self.table[BackendServerId(name)]
        listed = replace(server.listed, version=version)
        self.table[server.id] = replace(server, listed=listed)
        for listener in self.listeners:
            listener(self.table[server.id])

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
    """An attempt that a backend server started to run."""

    key: RequestKey
    operation: str
    at: float


class FakeWorkers:
    """Backend servers that derive answers from the request key and record executions.

    Attributes:
        executions: all attempts that were started.
        step: seconds for each token of a draft.
        plain_time: seconds that a plain service takes to answer.
        failures: results of the next attempts, which then are not executed.
        lose_answers: number of plain answers still to lose with the connection.
        lose_ends: number of drafts still to interrupt after their last token.
        interruptions: number of drafts still to interrupt in their middle.
        computed_tokens: tokens computed in all attempts.
        is_salted: whether each attempt computes different tokens.
        complete_answers: all answers computed to the end, by key.
        confirms: whether engines answer to cancellations.
        loses_confirmations: whether engines cancel, and their answers are lost.
        forgets_attempts: whether engines know no attempt, as after a restart.
        crashing_inputs: inputs that crash the backend server that gets them.
        crashed_servers: backend servers that have crashed.
    """

    def __init__(self) -> None:
        self.executions: list[Execution] = []
        self.step = 0.01
        self.plain_time = 0.02
        self.failures: list[ResultCode] = []
        self.lose_answers = 0
        self.lose_ends = 0
        self.interruptions = 0
        self.computed_tokens = 0
        self.is_salted = False
        self.complete_answers: dict[RequestKey, list[list[str]]] = {}
        self.confirms = True
        self.loses_confirmations = False
        self.forgets_attempts = False
        self.cancelled_attempts: set[AttemptId] = set()
        self.finished_attempts: set[AttemptId] = set()
        self.crashing_inputs: set[str] = set()
        self.crashed_servers: set[BackendServerId] = set()

    def bind(self, node: Node) -> Any:
        @asynccontextmanager
        async def dispatch(
            server: BackendServer, order: AttemptOrder
        ) -> AsyncIterator[AsyncIterator[AttemptEvent]]:
            await node.wait_until_running()
            server_id = server.listed.backend_server
            if server_id in self.crashed_servers:
                yield self._fail(ResultCode.NOT_STARTED)
            elif order.input in self.crashing_inputs:
                await trio.sleep(self.step)
                self.crashed_servers.add(server_id)
                yield self._fail(ResultCode.CONNECTION_LOST)
            else:
                yield self._stream_answer(node, order, server.listed.version)

        return dispatch

    async def _fail(self, code: ResultCode) -> AsyncIterator[AttemptEvent]:
        yield Failure(code)

    async def _stream_answer(
        self, node: Node, order: AttemptOrder, version: str
    ) -> AsyncIterator[AttemptEvent]:
        if self.failures:
            yield Failure(self.failures.pop(0))
            return
        execution = Execution(order.key, order.operation, read_clock())
        self.executions.append(execution)
        if order.service == REGISTRY:
            await trio.sleep(self.plain_time)
            await node.wait_until_running()
            if self.lose_answers:
                self.lose_answers -= 1
                yield Failure(ResultCode.CONNECTION_LOST)
                return
            yield AttemptEnd(body=f'"{order.key}"')
            return
        tokens = make_tokens(order.key, order.max_tokens)
        if self.is_salted:
            tokens = [f"{token}{order.attempt} " for token in tokens]
        if version:
            tokens = [f"{token}{version} " for token in tokens]
        tokens[: order.first_sequence] = order.tokens_done
        for index in range(order.first_sequence, len(tokens)):
            await trio.sleep(self.step)
            await node.wait_until_running()
            if self.interruptions and index == len(tokens) // 2:
                self.interruptions -= 1
                yield Failure(ResultCode.CONNECTION_LOST)
                return
            if order.attempt in self.cancelled_attempts:
                yield Failure(ResultCode.BACKEND_SERVER_FAILED)
                return
            self.computed_tokens += 1
            yield AttemptTokens(index, (tokens[index],))
        if self.lose_ends:
            self.lose_ends -= 1
            yield Failure(ResultCode.CONNECTION_LOST)
            return
        self.finished_attempts.add(order.attempt)
        self.complete_answers.setdefault(order.key, []).append(tokens)
        yield AttemptEnd()

    async def cancel(
        self, server: BackendServer, attempt: AttemptId, /
    ) -> Cancellation | Failure:
        await trio.sleep(0.002)
        if not self.confirms:
            return Failure(ResultCode.BACKEND_SERVER_SILENT)
        if self.forgets_attempts:
            return Cancellation.UNKNOWN
        if attempt in self.finished_attempts:
            return Cancellation.DONE
        self.cancelled_attempts.add(attempt)
        if self.loses_confirmations:
            return Failure(ResultCode.BACKEND_SERVER_SILENT)
        return Cancellation.CANCELLED

    async def export_cache(
        self, server: BackendServer, attempt: AttemptId, /
    ) -> str | Failure:
        return Failure(ResultCode.BACKEND_SERVER_FAILED)

    def count(self, key: RequestKey) -> int:
        return sum(1 for execution in self.executions if execution.key == key)


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
                    expected_tokens=ANSWER_TOKENS,
                ),
                Operation(
                    name=OperationName("draft_certificate"),
                    idempotent=False,
                    expected_tokens=ANSWER_TOKENS,
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
class ReceivedAnswer:
    """What a caller has received of an answer.

    Attributes:
        moved: addresses where the caller is to reconnect, if it was redirected.
        restarts: number of times that the answer started again.
    """

    tokens: list[str] = field(default_factory=list)
    generation: int = 0
    ended: EndedEvent | None = None
    moved: tuple[str, ...] = ()
    restarts: int = 0

    def apply_event(self, event: Any) -> None:
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
    """Entry hosts with real request services on top of fakes, in one event loop.

    Attributes:
        blocked_links: (source, target) host pairs whose messages are lost.
        loss_probability: probability that any other message or reply is lost.
        delay: mean seconds for a message or a reply.
        on_message: called with source, target and message before each delivery.
    """

    def __init__(
        self, nursery: trio.Nursery, size: int = 4, seed: int = 0, **settings: Any
    ) -> None:
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.key_value = FakeKeyValue()
        self.servers = FakeServers()
        self.workers = FakeWorkers()
        self.is_partitioned_from_servers = False
        self.nodes: dict[str, Node] = {}
        self.views: dict[str, FakeMembership] = {}
        self.blocked_links: set[tuple[str, str]] = set()
        self.loss_probability = 0.0
        self.delay = 0.001
        self.on_message: Callable[[Node, Node, Any], None] = lambda *_: None
        self.settings = RequestSettings(**settings)
        self.configuration = make_configuration()
        for index in range(4):
            self.servers.add(f"engine-{index}", FINDINGS, ServerKind.ENGINE)
            self.servers.add(f"worker-{index}", REGISTRY, ServerKind.PLAIN)
        for index in range(size):
            self.start_host(f"host-{index}", DOMAINS[index % 4])

    def start_host(self, name: str, domain: str) -> Node:
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
        view.all_views = self.views
        for other in self.views.values():
            if (
                other.local_member.host != name
                and not self.nodes[other.local_member.host].is_crashed
            ):
                view.members_by_host[other.local_member.host] = other.local_member
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
            probe_server=self.probe_server,
        )
        self.nursery.start_soon(self._run, node)
        self.publish_member(member)
        return node

    async def probe_server(self, address: str) -> ConnectResult:
        """Return the result of a connection to a server, whose address is its id."""
        if self.is_partitioned_from_servers:
            return ConnectResult.REFUSED
        is_crashed = BackendServerId(address) in self.workers.crashed_servers
        return ConnectResult.REFUSED if is_crashed else ConnectResult.ACCEPTED

    async def _run(self, node: Node) -> None:
        with node.scope:
            async with trio.open_nursery() as nursery:
                for _, run in node.service.list_tasks():
                    nursery.start_soon(run)

    async def deliver(self, source: Node, address: str, message: Any) -> Any:
        target = self.nodes[address.removeprefix("peer:")]
        link = (source.member.host, target.member.host)
        if target.is_crashed:
            return Failure(ResultCode.PEER_UNREACHABLE)
        if link in self.blocked_links or self.rng.random() < self.loss_probability:
            await trio.sleep_forever()
        self.on_message(source, target, message)
        await trio.sleep(self.delay * self.rng.uniform(0.5, 1.5))
        await target.wait_until_running()
        sender = source.member
        identity = PeerIdentity(sender.host, sender.incarnation, sender.failure_domain)
        reply = await target.handlers[type(message)](identity, message)
        await trio.sleep(self.delay * self.rng.uniform(0.5, 1.5))
        if (
            link[1],
            link[0],
        ) in self.blocked_links or self.rng.random() < self.loss_probability:
            await trio.sleep_forever()
        await source.wait_until_running()
        return reply

    def publish_member(self, member: Member, *excluded: str) -> None:
        """Update a member in the view of each running host, except for some."""
        for name, view in self.views.items():
            if name not in excluded and not self.nodes[name].is_crashed:
                view.update_member(member)

    def kill(self, name: str) -> None:
        node = self.nodes[name]
        node.is_crashed = True
        node.scope.cancel()
        self.nursery.start_soon(self._detect_failure, node)

    def announce_leaving(self, name: str) -> None:
        self.publish_member(replace(self.nodes[name].member, state=MemberState.LEAVING))

    def pause(self, name: str) -> None:
        node = self.nodes[name]
        node.resumed = trio.Event()
        self.nursery.start_soon(self._detect_failure, node)

    def resume(self, name: str) -> None:
        node = self.nodes[name]
        node.resumed.set()
        self.publish_member(replace(node.member, refutation=1))

    async def _detect_failure(self, node: Node) -> None:
        await trio.sleep(0.5)
        for state in (MemberState.SUSPECT, MemberState.DEAD):
            if node.resumed.is_set() and not node.is_crashed:
                return
            self.publish_member(replace(node.member, state=state), node.member.host)
            await trio.sleep(1.0)

    def partition_host(self, name: str) -> None:
        for other in self.nodes:
            self.blocked_links |= {(name, other), (other, name)}

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
            max_tokens=ANSWER_TOKENS if is_model else 0,
        )

    async def follow(
        self, name: str, key: RequestKey, received: ReceivedAnswer | None = None
    ) -> ReceivedAnswer:
        received = received or ReceivedAnswer()
        service = self.nodes[name].service
        received.moved = ()
        position = received.generation, len(received.tokens)
        async with service.follow(ACCOUNT, key, *position) as events:
            async for event in events:
                received.apply_event(event)
        return received


def run_cluster(
    scenario: Callable[[Cluster], Any], size: int = 4, seed: int = 0, **settings: Any
) -> None:
    """Run a scenario on a mock clock that skips idle time, for an hour at most."""

    async def main() -> None:
        with trio.fail_after(3600):
            async with trio.open_nursery() as nursery:
                cluster = Cluster(nursery, size, seed, **settings)
                await trio.sleep(0.01)
                await scenario(cluster)
                nursery.cancel_scope.cancel()

    # trio runs tasks in random order; seeding its generator makes a run repeatable.
    trio_run = sys.modules["trio._core._run"]
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[attr-defined]
    trio_run._r.seed(seed)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
