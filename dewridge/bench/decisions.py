"""Measures the time of a scheduling decision by the number of backend servers."""

import random
import time
from dataclasses import dataclass
from statistics import quantiles

from dewridge.bench.cases import Contender
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
from dewridge.policy.model import AttemptOutcome, ServerView, Work, WorkClass
from dewridge.policy.scheduler import Scheduler

FLEET_SIZES = ((10, 8), (90, 80), (490, 44), (1600, 145), (4900, 440))
"""Numbers of backend servers and entry hosts: today's, ten times today's, and up to
the planned maximum."""

DECISION_COUNT = 4000
MAX_IN_FLIGHT = 8
"""Requests in flight on the entry host during the measurement."""


@dataclass(frozen=True, slots=True)
class DecisionTime:
    """Time to admit, queue and place one request, in microseconds.

    Attributes:
        list_update: time to apply a new list of all backend servers.
    """

    contender: str
    servers: int
    median: float
    percentile_99: float
    list_update: float


def time_decisions(contender: Contender, servers: int, hosts: int) -> DecisionTime:
    """Measure the decisions of one entry host for a fleet of backend servers."""
    operation = Operation(name=OperationName("draft"), expected_tokens=100)
    service = Service(
        name=ServiceName("bench"),
        kind="model",
        profile=ProfileName("bench"),
        operations=(operation,),
    )
    scheduler = Scheduler(
        service, contender.make_profile(), seed=1, host_index=1, host_count=hosts
    )
    views = [_make_view(number) for number in range(servers)]
    scheduler.update_servers(views, 0.0)
    started = time.perf_counter()
    scheduler.update_servers(list(views), 0.0)
    list_update = (time.perf_counter() - started) * 1e6
    samples = _time_scheduler(scheduler)
    percentiles = quantiles(samples, n=100)
    return DecisionTime(
        contender.name, servers, percentiles[49], percentiles[98], list_update
    )


def _time_scheduler(scheduler: Scheduler) -> list[float]:
    rng = random.Random(1)
    samples = []
    running: list[tuple[RequestId, BackendServerId]] = []
    now = 0.0
    for number in range(DECISION_COUNT):
        now += 0.01
        work = _make_work(number, now, rng)
        started = time.perf_counter()
        scheduler.offer(work, now)
        assignment = scheduler.pick(now)
        samples.append((time.perf_counter() - started) * 1e6)
        if assignment is not None:
            running.append((assignment.work.request, assignment.server))
            scheduler.record_first_token(*running[-1], now + 0.005)
        while len(running) > MAX_IN_FLIGHT:
            request, server = running.pop(0)
            scheduler.record_attempt_end(request, server, AttemptOutcome.DONE, 100, now)
    return samples


def _make_view(number: int) -> ServerView:
    return ServerView(
        id=BackendServerId(f"server-{number}"),
        failure_domain=FailureDomain(f"domain-{number % 7}"),
        machine_class="standard",
        price=1.0 + number % 4,
        reclaimable=number % 4 > 0,
        capacity=8,
        load=number % 5,
    )


def _make_work(number: int, now: float, rng: random.Random) -> Work:
    is_interactive = rng.random() < 0.5
    return Work(
        request=RequestId(f"a/{number}"),
        account=ClientAccount(f"account-{rng.randrange(40)}"),
        operation=OperationName("draft"),
        work_class=WorkClass.INTERACTIVE if is_interactive else WorkClass.BACKGROUND,
        arrival=now,
        deadline=now + 30.0,
        prompt_tokens=500,
        expected_tokens=100,
        prefix=rng.randrange(1, 50),
    )
