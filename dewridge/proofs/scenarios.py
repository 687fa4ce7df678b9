"""Scenarios: a deployment, a load, seeded faults and the promises to check."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Protocol

import trio

from dewridge.proofs.copies import DuplicateSender
from dewridge.proofs.crashing import CrashingCaller
from dewridge.proofs.history import History, Leaving
from dewridge.proofs.operators import Operators
from dewridge.proofs.workload import (
    DRAFT,
    LETTER,
    LONG_DRAFT,
    MIX,
    STATUS,
    CallKind,
    Workload,
)
from dewridge.testbed.deployment import (
    BackendProcess,
    Deployment,
    DeploymentOptions,
    EntryHost,
)

FaultScript = Callable[["Run"], Awaitable[None]]
"""Function that injects the faults of a scenario while the load runs."""

RECLAIM_NOTICE = (2.0, 5.0)
"""Shortest and longest notice of a reclaim in seconds; the required range."""

OUTAGE_DURATION = 10.0
"""Seconds for which a fault of the key-value service lasts."""

FREEZE_DURATION = 8.0
"""Seconds of a freeze; longer than the suspicion period and all timeouts, also those
of claims."""

MAX_PENDING_WAIT = 5.0
"""Seconds to wait for work in flight before a fault is injected anyway."""

EIGHT_HOSTS = DeploymentOptions(hosts=8)


@dataclass
class Run:
    """One run of a scenario.

    Attributes:
        random: seeded source of all random choices of the faults.
        reclaimed: control addresses of the backend processes already reclaimed.
    """

    deployment: Deployment
    history: History
    random: Random
    reclaimed: set[str] = field(default_factory=set)

    async def record_fault(self, fault: str, subject: str) -> None:
        """Wait for work in flight, at most `MAX_PENDING_WAIT`, and record a fault."""
        with trio.move_on_after(MAX_PENDING_WAIT):
            await self.history.wait_for_pending()
        self.history.record_fault(fault, subject)

    def choose_host(self) -> EntryHost:
        """Return a randomly chosen running entry host."""
        running = [h for h in self.deployment.hosts if h.process.is_running]
        return self.random.choice(running)

    def list_running_backends(self, domain: str) -> list[BackendProcess]:
        """Return the backend processes of a failure domain that are not reclaimed."""
        return [
            backend
            for backend in self.deployment.backends
            if backend.failure_domain == domain
            and backend.control not in self.reclaimed
        ]

    async def reclaim_backend(
        self, backend: BackendProcess, *, is_announced_by_cloud: bool = True
    ) -> None:
        """Announce the reclaim of a process's servers, then stop them.

        The process itself keeps running, so that its execution log can be read.

        Args:
            backend: the process.
            is_announced_by_cloud: if false, only the servers announce the reclaim.
        """
        notice = self.random.uniform(*RECLAIM_NOTICE)
        leaving_order = {"leaving": not is_announced_by_cloud, "dies_in": notice}
        for server in backend.servers:
            gone_at = time.time() + notice
            if is_announced_by_cloud:
                gone_at = await self.deployment.announce_reclaim(server, notice)
            self.history.add(Leaving(time.time(), server, gone_at))
            await self.record_fault("reclaim of a backend server", server)
        await self.deployment.post_order(
            f"{backend.control}/control/leaving", leaving_order
        )
        self.reclaimed.add(backend.control)
        await trio.sleep(notice)

    async def reclaim_host(self, host: EntryHost) -> None:
        """Announce the reclaim of an entry host, then kill it."""
        notice = self.random.uniform(*RECLAIM_NOTICE)
        await self.deployment.announce_reclaim(host.name, notice)
        await self.record_fault("reclaim of an entry host", host.name)
        await trio.sleep(notice)
        host.process.kill()

    async def reclaim_domain(self, domain: str) -> None:
        """Reclaim all backend servers and entry hosts of a failure domain."""
        hosts = [
            h
            for h in self.deployment.hosts
            if h.failure_domain == domain and h.process.is_running
        ]
        async with trio.open_nursery() as nursery:
            for backend in self.list_running_backends(domain):
                nursery.start_soon(self.reclaim_backend, backend)
            for host in hosts:
                nursery.start_soon(self.reclaim_host, host)


class Actor(Protocol):
    """A client or operator that acts on a deployment and records what it observes."""

    async def run(self) -> None:
        """Act until stopped, then wait for all outcomes."""

    def stop(self) -> None:
        """Start nothing new."""


ActorFactory = Callable[[Deployment, History, int], Actor]
"""Function that makes an actor for a seed."""


def build_workload_factory(
    rate: float,
    mix: tuple[CallKind, ...] = MIX,
    deadline: float = 30.0,
    submissions: int = 0,
) -> ActorFactory:
    """Return a factory of callers that send a mix of calls.

    Args:
        rate: mean number of calls per second.
        mix: kinds of calls to choose from.
        deadline: deadline of each call in seconds.
        submissions: maximum submissions of one key; 0 sets no limit. With 1 callers
            never retry, so the system must complete what it accepted by itself.
    """

    def make_actor(deployment: Deployment, history: History, seed: int) -> Actor:
        return Workload(
            deployment,
            history,
            seed=seed,
            rate=rate,
            mix=mix,
            deadline=deadline,
            submissions=submissions,
        )

    return make_actor


def build_duplicate_factory(rate: float) -> ActorFactory:
    """Return a factory of callers that send duplicates, `rate` keys per second."""

    def make_actor(deployment: Deployment, history: History, seed: int) -> Actor:
        return DuplicateSender(deployment, history, seed=seed, rate=rate)

    return make_actor


def build_crashing_factory(mean_pause: float) -> ActorFactory:
    """Return a factory of callers whose request crashes servers.

    Args:
        mean_pause: mean seconds between two requests.
    """

    def make_actor(deployment: Deployment, history: History, seed: int) -> Actor:
        return CrashingCaller(deployment, history, seed=seed, mean_pause=mean_pause)

    return make_actor


def make_operators(deployment: Deployment, history: History, seed: int) -> Actor:
    """Return operators who change one profile concurrently."""
    return Operators(deployment, history, seed=seed, profile="prompt-answers")


ORDINARY_CALLS = (build_workload_factory(20.0),)
LETTER_CALLS = (build_workload_factory(40.0, (LETTER,), 15.0),)
SINGLE_SUBMISSION_CALLS = (
    build_workload_factory(6.0, (LONG_DRAFT, LETTER), 60.0, submissions=1),
)
RACING_OPERATORS = (build_workload_factory(5.0, (STATUS,)), make_operators)


@dataclass(frozen=True)
class Scenario:
    """A named test: a load, faults and the promises to check.

    Attributes:
        fault: description for the table of results.
        promises: numbers of the promises to check, in the order of the requirements;
            the universal ones are always checked too.
        inject_faults: injects the faults.
        before: seconds of load before the first fault.
        after: seconds of load after the last one.
    """

    name: str
    fault: str
    promises: tuple[int, ...]
    inject_faults: FaultScript
    actors: tuple[ActorFactory, ...] = ORDINARY_CALLS
    options: DeploymentOptions = EIGHT_HOSTS
    before: float = 2.0
    after: float = 3.0


async def reclaim_servers(run: Run) -> None:
    """Reclaim the backend servers of one failure domain."""
    domain = run.random.choice(run.deployment.spec.failure_domains)
    async with trio.open_nursery() as nursery:
        for backend in run.list_running_backends(domain):
            nursery.start_soon(run.reclaim_backend, backend)


async def reclaim_entry_host(run: Run) -> None:
    """Reclaim one entry host."""
    await run.reclaim_host(run.choose_host())


async def reclaim_failure_domain(run: Run) -> None:
    """Reclaim the backend servers and entry hosts of one failure domain."""
    await run.reclaim_domain(run.random.choice(run.deployment.spec.failure_domains))


async def reclaim_two_domains(run: Run) -> None:
    """Reclaim a second failure domain during the notice period of the first."""
    first, second = run.random.sample(run.deployment.spec.failure_domains, 2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run.reclaim_domain, first)
        await trio.sleep(1.0)
        nursery.start_soon(run.reclaim_domain, second)


async def reclaim_with_lagging_list(run: Run) -> None:
    """Reclaim servers while the host list lags by a minute."""
    await run.deployment.post_order(
        f"{run.deployment.control}/control/lag", {"seconds": 60}
    )
    await reclaim_servers(run)


async def reclaim_without_key_value(run: Run) -> None:
    """Reclaim servers while the key-value service is down."""
    await run.record_fault("outage of the key-value service", "key_value")
    await run.deployment.set_platform_fault("key_value", "down")
    await trio.sleep(1.0)
    await reclaim_servers(run)
    await run.deployment.set_platform_fault("key_value", "none")


async def reclaim_without_cloud(run: Run) -> None:
    """Reclaim servers while the cloud is down, so that only they announce it."""
    await run.deployment.set_platform_fault("cloud", "down")
    domain = run.random.choice(run.deployment.spec.failure_domains)
    async with trio.open_nursery() as nursery:
        for backend in run.list_running_backends(domain):
            nursery.start_soon(
                partial(run.reclaim_backend, backend, is_announced_by_cloud=False)
            )
    await run.deployment.set_platform_fault("cloud", "none")


async def kill_hosts(run: Run) -> None:
    """Kill two entry hosts, one after the other."""
    for _ in range(2):
        host = run.choose_host()
        await run.record_fault("kill -9 of an entry host", host.name)
        host.process.kill()
        await trio.sleep(run.random.uniform(1.0, 3.0))


async def freeze_host(run: Run) -> None:
    """Freeze an entry host for longer than every lease, then resume it."""
    host = run.choose_host()
    await run.record_fault("freeze of an entry host", host.name)
    host.process.suspend()
    await trio.sleep(FREEZE_DURATION)
    host.process.resume()


async def shut_down_two_hosts(run: Run) -> None:
    """Shut two entry hosts down gracefully at the same time."""
    running = [h for h in run.deployment.hosts if h.process.is_running]
    chosen = run.random.sample(running, 2)
    for host in chosen:
        await run.record_fault("graceful shutdown", host.name)
        host.process.terminate()
    for host in chosen:
        await host.process.wait_for_exit()


async def restart_hosts_in_turn(run: Run) -> None:
    """Replace every entry host in turn under load, each shut down gracefully."""
    for host in list(run.deployment.hosts):
        await run.record_fault("graceful shutdown", host.name)
        replacement = await run.deployment.start_host(host.failure_domain)
        await run.deployment.wait_until_joined(replacement)
        host.process.terminate()
        await host.process.wait_for_exit()


async def stop_key_value(run: Run) -> None:
    """Take the key-value service down for `OUTAGE_DURATION`."""
    await run.record_fault("outage of the key-value service", "key_value")
    await run.deployment.set_platform_fault("key_value", "down")
    await trio.sleep(OUTAGE_DURATION)
    await run.deployment.set_platform_fault("key_value", "none")


async def slow_key_value(run: Run) -> None:
    """Delay each call of the key-value service by a second."""
    await run.record_fault("key-value service slow", "key_value")
    await run.deployment.set_platform_fault("key_value", "slow", seconds=1.0)
    await trio.sleep(OUTAGE_DURATION)
    await run.deployment.set_platform_fault("key_value", "none")


async def lose_key_value_answers(run: Run) -> None:
    """Lose the answers to half of the writes, which take effect nevertheless."""
    await run.record_fault("answers of the key-value service lost", "key_value")
    await run.deployment.set_platform_fault(
        "key_value", "lose_answers", share=0.5, kinds=["swap"]
    )
    await trio.sleep(OUTAGE_DURATION)
    await run.deployment.set_platform_fault("key_value", "none")


def build_answer_fault(mode: str) -> FaultScript:
    """Return a fault script that corrupts the answers of one domain's servers."""

    async def inject_faults(run: Run) -> None:
        domain = run.random.choice(run.deployment.spec.failure_domains)
        for backend in run.list_running_backends(domain):
            await run.record_fault(f"answers {mode}", backend.servers[0])
            order = {"mode": mode, "seconds": 0.3}
            await run.deployment.post_order(f"{backend.control}/control/fault", order)
        await trio.sleep(6.0)
        for backend in run.list_running_backends(domain):
            await run.deployment.post_order(
                f"{backend.control}/control/fault", {"mode": "none"}
            )

    return inject_faults


CRASH_PHASE_DURATION = 12.0
"""Seconds for which a request that crashes servers is sent repeatedly."""

CRASH_RESTART_DELAY = 2.0
"""Seconds until a crashed server is available again."""


async def crash_engines(run: Run) -> None:
    """Let engines crash when they start to run an input marked with `CRASH_PREFIX`."""
    order = {"mode": "crash", "seconds": CRASH_RESTART_DELAY}
    for backend in run.deployment.backends:
        await run.deployment.post_order(f"{backend.control}/control/fault", order)
    await run.record_fault("requests that end servers", "engines")
    await trio.sleep(CRASH_PHASE_DURATION)


SCENARIOS: tuple[Scenario, ...] = (
    Scenario("reclaim-servers", "backend servers reclaimed", (1, 5), reclaim_servers),
    Scenario("reclaim-host", "entry host reclaimed", (1, 6), reclaim_entry_host),
    Scenario(
        "reclaim-domain", "failure domain reclaimed", (1, 5), reclaim_failure_domain
    ),
    Scenario("reclaim-two", "two failure domains", (1, 5), reclaim_two_domains),
    Scenario(
        "once-host",
        "host reclaimed, sent once",
        (1, 6),
        reclaim_entry_host,
        SINGLE_SUBMISSION_CALLS,
    ),
    Scenario(
        "once-domain",
        "domain reclaimed, sent once",
        (1,),
        reclaim_failure_domain,
        SINGLE_SUBMISSION_CALLS,
    ),
    Scenario(
        "once-two",
        "two domains, sent once",
        (1,),
        reclaim_two_domains,
        SINGLE_SUBMISSION_CALLS,
    ),
    Scenario(
        "once-stop",
        "two hosts shut down, sent once",
        (6,),
        shut_down_two_hosts,
        SINGLE_SUBMISSION_CALLS,
    ),
    Scenario("kill-hosts", "entry hosts killed", (), kill_hosts),
    Scenario("freeze-host", "entry host frozen and woken", (), freeze_host),
    Scenario("stop-two", "two hosts shut down together", (6,), shut_down_two_hosts),
    Scenario("rolling", "rolling restart", (6,), restart_hosts_in_turn),
    Scenario(
        "lagging-list", "host list lags a minute", (1, 5), reclaim_with_lagging_list
    ),
    Scenario(
        "reclaim-kv-down",
        "servers reclaimed, key-value service down",
        (5,),
        reclaim_without_key_value,
        (build_workload_factory(20.0, (DRAFT, STATUS)),),
    ),
    Scenario("own-word", "servers leave, cloud down", (1, 5), reclaim_without_cloud),
    Scenario(
        "copies-kill",
        "copies, hosts killed",
        (),
        kill_hosts,
        (build_duplicate_factory(15.0),),
    ),
    Scenario(
        "copies-freeze",
        "copies, host frozen",
        (),
        freeze_host,
        (build_duplicate_factory(15.0),),
    ),
    Scenario("letters-kill", "letters, hosts killed", (), kill_hosts, LETTER_CALLS),
    Scenario("letters-freeze", "letters, host frozen", (), freeze_host, LETTER_CALLS),
    Scenario(
        "letters-kv-lost",
        "letters, answers lost",
        (),
        lose_key_value_answers,
        LETTER_CALLS,
    ),
    Scenario(
        "operators",
        "racing operators, answers lost",
        (7,),
        lose_key_value_answers,
        RACING_OPERATORS,
    ),
    Scenario(
        "operators-kv-down",
        "racing, key-value down",
        (7,),
        stop_key_value,
        RACING_OPERATORS,
    ),
    Scenario(
        "operators-kv-slow",
        "racing, key-value slow",
        (7,),
        slow_key_value,
        RACING_OPERATORS,
    ),
    Scenario(
        "operators-freeze", "racing, host frozen", (7,), freeze_host, RACING_OPERATORS
    ),
    Scenario(
        "operators-kill", "racing, hosts killed", (7,), kill_hosts, RACING_OPERATORS
    ),
    Scenario(
        "crashing-request",
        "a request ends each server that runs it",
        (8,),
        crash_engines,
        (build_workload_factory(10.0, (DRAFT, STATUS)), build_crashing_factory(0.4)),
    ),
    Scenario("kv-down", "key-value service down", (), stop_key_value),
    Scenario("kv-slow", "key-value service slow", (), slow_key_value),
    Scenario("kv-lost", "answers of writes lost", (), lose_key_value_answers),
    *(
        Scenario(f"answers-{mode}", f"answers {mode}", (), build_answer_fault(mode))
        for mode in (
            "slow",
            "late",
            "duplicate",
            "reorder",
            "truncate",
            "misdirect",
            "silent",
            "rest",
        )
    ),
)
