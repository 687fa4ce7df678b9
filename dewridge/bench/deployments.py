"""The two simulated deployments, and random arrivals for them."""

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import xxhash

from dewridge.bench.workers import EngineSpec
from dewridge.configuration.model import Operation, Service
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    FailureDomain,
    OperationName,
    ProfileName,
    RequestId,
    ServiceName,
)
from dewridge.policy.model import ServerView, Work, WorkClass

ENGINE_CAPACITY = 8
"""Concurrent streams of one engine."""
PLAIN_CAPACITY = 16
"""Concurrent calls of one plain server."""
PLAIN_CALL_SECONDS = 0.24
"""Mean duration of a call to a plain service."""
PROMPT_TEMPLATES = 12
"""Prompt prefixes per account and operation; half of the requests use the first."""
DEFAULT_ENGINE = EngineSpec()


@dataclass(frozen=True, slots=True)
class MachinePool:
    """Machines of one class in one failure domain.

    Attributes:
        price: relative price of a machine.
        reclaimable: whether the provider may reclaim the machines.
    """

    failure_domain: str
    machine_class: str
    price: float
    reclaimable: bool
    count: int


@dataclass(frozen=True, slots=True)
class CallSpec:
    """One operation in a service's mix of calls.

    Attributes:
        share: share of the service's requests.
        prompt_tokens: mean length of the prompt.
        time_limit: seconds from arrival to deadline.
    """

    operation: Operation
    share: float
    prompt_tokens: int
    time_limit: float


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service with its machines and its mix of calls."""

    name: str
    kind: str
    pools: tuple[MachinePool, ...]
    calls: tuple[CallSpec, ...]

    def make_service(self) -> Service:
        """Return the configuration object of the service."""
        return Service(
            name=ServiceName(self.name),
            kind="plain" if self.kind == "plain" else "model",
            profile=ProfileName("bench"),
            operations=tuple(call.operation for call in self.calls),
        )

    def make_servers(self, scale: int) -> list[ServerView]:
        """Return the backend servers of a fleet `scale` times today's."""
        capacity = PLAIN_CAPACITY if self.kind == "plain" else ENGINE_CAPACITY
        return [
            ServerView(
                id=BackendServerId(f"{self.name}-{index}-{number}"),
                failure_domain=FailureDomain(pool.failure_domain),
                machine_class=pool.machine_class,
                price=pool.price,
                reclaimable=pool.reclaimable,
                capacity=capacity,
            )
            for index, pool in enumerate(self.pools)
            for number in range(pool.count * scale)
        ]

    def compute_capacity(self, scale: int) -> float:
        """Return the requests per second of the mix that all machines can answer."""
        machines = sum(pool.count for pool in self.pools) * scale
        if self.kind == "plain":
            return machines * PLAIN_CAPACITY / PLAIN_CALL_SECONDS
        seconds = sum(
            call.share
            * compute_slot_seconds(call.operation.expected_tokens, call.prompt_tokens)
            for call in self.calls
        )
        return machines * ENGINE_CAPACITY / seconds

    def count_slots(self, scale: int) -> int:
        """Return the number of requests that all machines run concurrently."""
        capacity = PLAIN_CAPACITY if self.kind == "plain" else ENGINE_CAPACITY
        return sum(pool.count for pool in self.pools) * scale * capacity


def compute_slot_seconds(tokens: int, prompt_tokens: int) -> float:
    """Return the seconds for which a request occupies a slot of a full engine."""
    step = DEFAULT_ENGINE.step + DEFAULT_ENGINE.step_stream * ENGINE_CAPACITY
    # Prefilling a prompt slows down all streams of its engine.
    prefill = prompt_tokens * DEFAULT_ENGINE.prefill_token * ENGINE_CAPACITY
    return tokens * step + prefill


@dataclass(frozen=True, slots=True)
class Deployment:
    """A simulated deployment.

    Attributes:
        hosts: number of entry hosts in today's fleet.
        accounts: client accounts with their shares of the requests.
        delay: one-way network delay between an entry host and a backend server, in
            seconds.
    """

    name: str
    hosts: int
    services: tuple[ServiceSpec, ...]
    accounts: tuple[tuple[str, float], ...]
    delay: float


def _make_call(
    name: str,
    share: float,
    time_limit: float,
    *,
    is_interactive: bool,
    tokens: int = 1,
    prompt: int = 0,
    idempotent: bool = True,
) -> CallSpec:
    operation = Operation(
        name=OperationName(name),
        work_class="interactive" if is_interactive else "background",
        idempotent=idempotent,
        expected_tokens=tokens,
    )
    return CallSpec(operation, share, prompt, time_limit)


def _make_pools(
    rows: Sequence[tuple[str, str, float, bool, int]],
) -> tuple[MachinePool, ...]:
    return tuple(MachinePool(*row) for row in rows)


SELLO_VERDE = Deployment(
    "sello-verde",
    8,
    (
        ServiceSpec(
            "findings",
            "model",
            _make_pools(
                [
                    ("zona-a", "reclaimable", 1.0, True, 3),
                    ("zona-b", "reclaimable", 1.4, True, 2),
                    ("mixco", "reclaimable", 2.0, True, 2),
                    ("villa-nueva", "on-demand", 3.2, False, 2),
                ]
            ),
            (
                _make_call(
                    "draft_finding",
                    1.0,
                    15.0,
                    is_interactive=False,
                    tokens=200,
                    prompt=1200,
                ),
            ),
        ),
        ServiceSpec(
            "registry",
            "plain",
            _make_pools(
                [
                    ("zona-a", "small", 0.1, True, 1),
                    ("zona-b", "small", 0.12, True, 1),
                    ("mixco", "small", 0.2, True, 1),
                    ("villa-nueva", "small-on-demand", 0.3, False, 1),
                ]
            ),
            (
                _make_call("check_status", 0.9, 2.0, is_interactive=True),
                _make_call(
                    "issue_letter", 0.1, 5.0, is_interactive=True, idempotent=False
                ),
            ),
        ),
    ),
    (("coop", 0.45), ("gulf", 0.35), ("broker", 0.1), ("port", 0.06), ("farm", 0.04)),
    0.0015,
)

KAROO = Deployment(
    "karoo",
    8,
    (
        ServiceSpec(
            "drafting",
            "model",
            _make_pools(
                [
                    ("midrand-a", "reclaimable", 0.9, True, 3),
                    ("midrand-b", "reclaimable", 1.3, True, 2),
                    ("isando-1", "reclaimable", 1.9, True, 2),
                    ("isando-2", "on-demand", 2.8, False, 2),
                ]
            ),
            (
                _make_call(
                    "draft_certificate",
                    0.2,
                    40.0,
                    is_interactive=False,
                    tokens=1200,
                    prompt=1500,
                    idempotent=False,
                ),
                _make_call(
                    "answer_question",
                    0.5,
                    4.0,
                    is_interactive=True,
                    tokens=100,
                    prompt=400,
                ),
                _make_call(
                    "summarize_anomalies",
                    0.3,
                    20.0,
                    is_interactive=False,
                    tokens=150,
                    prompt=800,
                ),
            ),
        ),
        ServiceSpec(
            "portal",
            "plain",
            _make_pools(
                [
                    ("midrand-a", "small", 0.1, True, 1),
                    ("midrand-b", "small", 0.12, True, 1),
                    ("isando-1", "small", 0.2, True, 1),
                    ("isando-2", "small-on-demand", 0.3, False, 1),
                ]
            ),
            (
                _make_call("lookup_tester", 0.8, 2.0, is_interactive=True),
                _make_call(
                    "file_certificate", 0.2, 5.0, is_interactive=True, idempotent=False
                ),
            ),
        ),
    ),
    (("umoya", 0.45), ("vaal", 0.35), ("thaba", 0.1), ("city", 0.06), ("audit", 0.04)),
    0.0009,
)

DEPLOYMENTS = (SELLO_VERDE, KAROO)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a caller sends to an entry host.

    Attributes:
        host: index of the entry host.
        answer_tokens: length of the answer; the scheduler does not know it in advance.
    """

    service: str
    host: int
    work: Work
    answer_tokens: int


def draw_arrivals(
    deployment: Deployment,
    *,
    scale: int,
    load: float,
    seconds: float,
    seed: int,
    burst: float = 1.0,
) -> list[Arrival]:
    """Draw open-loop arrivals: callers do not wait for earlier answers.

    Args:
        deployment: defines the mix of calls and the accounts.
        scale: fleet size as a multiple of today's.
        load: arrival rate as a multiple of capacity.
        seconds: duration of the arrivals.
        seed: seed of the random numbers.
        burst: factor on the rate in every fifth second; the rate of the other
            seconds is lowered to keep the mean.
    """
    arrivals: list[Arrival] = []
    for spec in deployment.services:
        rng = random.Random(f"{seed}/{spec.name}")
        rate = spec.compute_capacity(scale) * load
        for number, at in enumerate(_draw_arrival_times(rng, rate, seconds, burst)):
            work = _draw_work(rng, deployment, spec, number, at)
            host = rng.randrange(deployment.hosts * scale)
            tokens = _draw_token_count(rng, work.expected_tokens)
            arrivals.append(Arrival(spec.name, host, work, tokens))
    arrivals.sort(key=lambda arrival: arrival.work.arrival)
    return arrivals


def _draw_arrival_times(
    rng: random.Random, rate: float, seconds: float, burst: float
) -> Iterator[float]:
    quiet_factor = (5 - burst) / 4
    at = 0.0
    while True:
        factor = burst if int(at) % 5 == 4 else quiet_factor
        at += rng.expovariate(rate * factor)
        if at >= seconds:
            return
        yield at


def _draw_work(
    rng: random.Random,
    deployment: Deployment,
    spec: ServiceSpec,
    number: int,
    at: float,
) -> Work:
    names = [name for name, _ in deployment.accounts]
    weights = [share for _, share in deployment.accounts]
    account = rng.choices(names, weights)[0]
    call = rng.choices(spec.calls, [call.share for call in spec.calls])[0]
    operation = call.operation
    is_plain = spec.kind == "plain"
    template = 0 if rng.random() < 0.5 else rng.randrange(1, PROMPT_TEMPLATES)
    prefix_key = f"{account}/{operation.name}/{template}".encode()
    prefix = 0 if is_plain else xxhash.xxh3_64_intdigest(prefix_key)
    return Work(
        request=RequestId(f"{account}/{spec.name}-{number}"),
        account=ClientAccount(account),
        operation=operation.name,
        work_class=WorkClass(operation.work_class),
        arrival=at,
        deadline=at + call.time_limit,
        prompt_tokens=0 if is_plain else _draw_token_count(rng, call.prompt_tokens),
        expected_tokens=operation.expected_tokens,
        idempotent=operation.idempotent,
        prefix=prefix,
    )


def _draw_token_count(rng: random.Random, mean: int) -> int:
    if mean <= 1:
        return mean
    return max(1, round(mean * rng.uniform(0.5, 1.5)))


def filter_accounts(arrivals: Sequence[Arrival], accounts: set[str]) -> list[Arrival]:
    """Return only the arrivals of the given accounts."""
    return [arrival for arrival in arrivals if arrival.work.account in accounts]
