"""Scenarios: a deployment, a load, faults at seeded times, promises to hold."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Protocol

import trio

from dewridge.proofs.copies import CopySenders
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

Strike = Callable[["Run"], Awaitable[None]]
"""Injects the faults of a scenario while the load runs."""

NOTICE = (2.0, 5.0)
"""Seconds of notice before an announced reclaim; the brief's range."""

OUTAGE = 10.0
"""Seconds of an outage of the key-value service."""

LEASE_LONG = 8.0
"""Seconds of a freeze: longer than suspicion, claims and every timeout."""

BUSY_LIMIT = 5.0
"""Seconds to wait for work in flight before a fault lands."""

EIGHT_HOSTS = DeploymentOptions(hosts=8)


@dataclass
class Run:
    """One run of a scenario."""

    deployment: Deployment
    history: History
    random: Random
    reclaimed: set[str] = field(default_factory=set)

    async def inject(self, fault: str, subject: str) -> None:
        """Record a fault that lands now, once somebody waits for an answer."""
        with trio.move_on_after(BUSY_LIMIT):
            await self.history.wait_busy()
        self.history.inject(fault, subject)

    def choose_host(self) -> EntryHost:
        """Return an entry host that runs."""
        running = [h for h in self.deployment.hosts if h.process.is_running]
        return self.random.choice(running)

    def choose_backends(self, domain: str) -> list[BackendProcess]:
        """Return the backend processes of a failure domain that run."""
        return [
            backend
            for backend in self.deployment.backends
            if backend.failure_domain == domain
            and backend.control not in self.reclaimed
        ]

    async def reclaim_backend(
        self, backend: BackendProcess, *, is_announced_by_cloud: bool = True
    ) -> None:
        """Announce the reclaim of a process's servers, then take them away.

        The process itself stays, so that its log of what ran can be read.
        """
        notice = self.random.uniform(*NOTICE)
        leaving = {"leaving": not is_announced_by_cloud, "dies_in": notice}
        for server in backend.servers:
            gone_at = time.time() + notice
            if is_announced_by_cloud:
                gone_at = await self.deployment.announce_reclaim(server, notice)
            self.history.add(Leaving(time.time(), server, gone_at))
            await self.inject("reclaim of a backend server", server)
        await self.deployment.post_order(f"{backend.control}/control/leaving", leaving)
        self.reclaimed.add(backend.control)
        await trio.sleep(notice)

    async def reclaim_host(self, host: EntryHost) -> None:
        """Announce the reclaim of an entry host, then take it away."""
        notice = self.random.uniform(*NOTICE)
        await self.deployment.announce_reclaim(host.name, notice)
        await self.inject("reclaim of an entry host", host.name)
        await trio.sleep(notice)
        host.process.kill()

    async def reclaim_domain(self, domain: str) -> None:
        """Take a whole failure domain: its backend servers and its entry hosts."""
        hosts = [
            h
            for h in self.deployment.hosts
            if h.failure_domain == domain and h.process.is_running
        ]
        async with trio.open_nursery() as nursery:
            for backend in self.choose_backends(domain):
                nursery.start_soon(self.reclaim_backend, backend)
            for host in hosts:
                nursery.start_soon(self.reclaim_host, host)


class Actor(Protocol):
    """Somebody who acts on a deployment and records what they see."""

    async def run(self) -> None:
        """Act until stopped, then wait for the last word."""

    def stop(self) -> None:
        """Begin nothing more."""


MakeActor = Callable[[Deployment, History, int], Actor]
"""Makes an actor for a seed."""


def call_at(
    rate: float,
    mix: tuple[CallKind, ...] = MIX,
    deadline: float = 30.0,
    submissions: int = 0,
) -> MakeActor:
    """Return callers with a mix of calls, so many a second.

    Those with one submission never send a key again: what the system has
    accepted, it must bring to its end by itself.
    """

    def make(deployment: Deployment, history: History, seed: int) -> Actor:
        return Workload(
            deployment,
            history,
            seed=seed,
            rate=rate,
            mix=mix,
            deadline=deadline,
            submissions=submissions,
        )

    return make


def copy_at(rate: float) -> MakeActor:
    """Return callers whose submissions are copied, so many a second."""

    def make(deployment: Deployment, history: History, seed: int) -> Actor:
        return CopySenders(deployment, history, seed=seed, rate=rate)

    return make


def crash_each(pause: float) -> MakeActor:
    """Return a caller whose request ends servers, sent so many seconds apart."""

    def make(deployment: Deployment, history: History, seed: int) -> Actor:
        return CrashingCaller(deployment, history, seed=seed, pause=pause)

    return make


def operate(deployment: Deployment, history: History, seed: int) -> Actor:
    """Return operators who race for a profile."""
    return Operators(deployment, history, seed=seed, profile="prompt-answers")


ORDINARY = (call_at(20.0),)
LETTERS = (call_at(40.0, (LETTER,), 15.0),)
ONCE = (call_at(6.0, (LONG_DRAFT, LETTER), 60.0, submissions=1),)
RACING = (call_at(5.0, (STATUS,)), operate)


@dataclass(frozen=True)
class Scenario:
    """A named proof.

    Attributes:
        promises: by their numbers in the brief's order; those that always hold
            are checked besides.
        before: seconds of load before the first fault.
        after: seconds of load after the last one.
    """

    name: str
    fault: str
    promises: tuple[int, ...]
    strike: Strike
    actors: tuple[MakeActor, ...] = ORDINARY
    options: DeploymentOptions = EIGHT_HOSTS
    before: float = 2.0
    after: float = 3.0


async def reclaim_servers(run: Run) -> None:
    """Reclaim the backend servers of one failure domain."""
    domain = run.random.choice(run.deployment.spec.failure_domains)
    async with trio.open_nursery() as nursery:
        for backend in run.choose_backends(domain):
            nursery.start_soon(run.reclaim_backend, backend)


async def reclaim_entry_host(run: Run) -> None:
    """Reclaim one entry host."""
    await run.reclaim_host(run.choose_host())


async def reclaim_failure_domain(run: Run) -> None:
    """Reclaim a failure domain with all that is in it."""
    await run.reclaim_domain(run.random.choice(run.deployment.spec.failure_domains))


async def reclaim_two_domains(run: Run) -> None:
    """Reclaim a second failure domain while the first is still going."""
    first, second = run.random.sample(run.deployment.spec.failure_domains, 2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run.reclaim_domain, first)
        await trio.sleep(1.0)
        nursery.start_soon(run.reclaim_domain, second)


async def lag_host_list(run: Run) -> None:
    """Let the host list lag by a minute while servers leave."""
    await run.deployment.post_order(
        f"{run.deployment.control}/control/lag", {"seconds": 60}
    )
    await reclaim_servers(run)


async def reclaim_without_key_value(run: Run) -> None:
    """Reclaim servers while the key-value service is down."""
    await run.inject("outage of the key-value service", "key_value")
    await run.deployment.set_platform_fault("key_value", "down")
    await trio.sleep(1.0)
    await reclaim_servers(run)
    await run.deployment.set_platform_fault("key_value", "none")


async def leave_by_own_word(run: Run) -> None:
    """Let servers leave that only say so themselves; the cloud is down."""
    await run.deployment.set_platform_fault("cloud", "down")
    domain = run.random.choice(run.deployment.spec.failure_domains)
    async with trio.open_nursery() as nursery:
        for backend in run.choose_backends(domain):
            nursery.start_soon(
                partial(run.reclaim_backend, backend, is_announced_by_cloud=False)
            )
    await run.deployment.set_platform_fault("cloud", "none")


async def kill_hosts(run: Run) -> None:
    """Kill two entry hosts, one after the other."""
    for _ in range(2):
        host = run.choose_host()
        await run.inject("kill -9 of an entry host", host.name)
        host.process.kill()
        await trio.sleep(run.random.uniform(1.0, 3.0))


async def freeze_host(run: Run) -> None:
    """Freeze an entry host for longer than every lease, then wake it."""
    host = run.choose_host()
    await run.inject("freeze of an entry host", host.name)
    host.process.suspend()
    await trio.sleep(LEASE_LONG)
    host.process.resume()


async def stop_gracefully(run: Run) -> None:
    """Shut two entry hosts down together."""
    running = [h for h in run.deployment.hosts if h.process.is_running]
    chosen = run.random.sample(running, 2)
    for host in chosen:
        await run.inject("graceful shutdown", host.name)
        host.process.terminate()
    for host in chosen:
        await host.process.wait_for_exit()


async def restart_in_turn(run: Run) -> None:
    """Restart every entry host, one after the other, under load."""
    for host in list(run.deployment.hosts):
        await run.inject("graceful shutdown", host.name)
        replacement = await run.deployment.start_host(host.failure_domain)
        await run.deployment.wait_until_joined(replacement)
        host.process.terminate()
        await host.process.wait_for_exit()


async def lose_key_value(run: Run) -> None:
    """Take the key-value service down for a while."""
    await run.inject("outage of the key-value service", "key_value")
    await run.deployment.set_platform_fault("key_value", "down")
    await trio.sleep(OUTAGE)
    await run.deployment.set_platform_fault("key_value", "none")


async def slow_key_value(run: Run) -> None:
    """Let each call of the key-value service take a second longer."""
    await run.inject("key-value service slow", "key_value")
    await run.deployment.set_platform_fault("key_value", "slow", seconds=1.0)
    await trio.sleep(OUTAGE)
    await run.deployment.set_platform_fault("key_value", "none")


async def lose_key_value_answers(run: Run) -> None:
    """Lose the answers to half the writes, which take effect all the same."""
    await run.inject("answers of the key-value service lost", "key_value")
    await run.deployment.set_platform_fault(
        "key_value", "lose_answers", share=0.5, kinds=["swap"]
    )
    await trio.sleep(OUTAGE)
    await run.deployment.set_platform_fault("key_value", "none")


def spoil_answers(mode: str) -> Strike:
    """Return a strike that spoils the answers of one failure domain's servers."""

    async def strike(run: Run) -> None:
        domain = run.random.choice(run.deployment.spec.failure_domains)
        for backend in run.choose_backends(domain):
            await run.inject(f"answers {mode}", backend.servers[0])
            order = {"mode": mode, "seconds": 0.3}
            await run.deployment.post_order(f"{backend.control}/control/fault", order)
        await trio.sleep(6.0)
        for backend in run.choose_backends(domain):
            await run.deployment.post_order(
                f"{backend.control}/control/fault", {"mode": "none"}
            )

    return strike


CRASH_SECONDS = 12.0
"""Seconds for which a request that ends servers is sent again and again."""
CRASH_RESTART = 2.0
"""Seconds until a server that ended is back."""


async def end_under_requests(run: Run) -> None:
    """Let engines end when they begin to run a marked request."""
    order = {"mode": "crash", "seconds": CRASH_RESTART}
    for backend in run.deployment.backends:
        await run.deployment.post_order(f"{backend.control}/control/fault", order)
    await run.inject("requests that end servers", "engines")
    await trio.sleep(CRASH_SECONDS)


SCENARIOS: tuple[Scenario, ...] = (
    Scenario("reclaim-servers", "backend servers reclaimed", (1, 5), reclaim_servers),
    Scenario("reclaim-host", "entry host reclaimed", (1, 6), reclaim_entry_host),
    Scenario(
        "reclaim-domain", "failure domain reclaimed", (1, 5), reclaim_failure_domain
    ),
    Scenario("reclaim-two", "two failure domains", (1, 5), reclaim_two_domains),
    Scenario(
        "once-host", "host reclaimed, sent once", (1, 6), reclaim_entry_host, ONCE
    ),
    Scenario(
        "once-domain", "domain reclaimed, sent once", (1,), reclaim_failure_domain, ONCE
    ),
    Scenario("once-two", "two domains, sent once", (1,), reclaim_two_domains, ONCE),
    Scenario(
        "once-stop", "two hosts shut down, sent once", (6,), stop_gracefully, ONCE
    ),
    Scenario("kill-hosts", "entry hosts killed", (), kill_hosts),
    Scenario("freeze-host", "entry host frozen and woken", (), freeze_host),
    Scenario("stop-two", "two hosts shut down together", (6,), stop_gracefully),
    Scenario("rolling", "rolling restart", (6,), restart_in_turn),
    Scenario("lagging-list", "host list lags a minute", (1, 5), lag_host_list),
    Scenario(
        "reclaim-kv-down",
        "servers reclaimed, key-value service down",
        (5,),
        reclaim_without_key_value,
        (call_at(20.0, (DRAFT, STATUS)),),
    ),
    Scenario("own-word", "servers leave, cloud down", (1, 5), leave_by_own_word),
    Scenario("copies-kill", "copies, hosts killed", (), kill_hosts, (copy_at(15.0),)),
    Scenario("copies-freeze", "copies, host frozen", (), freeze_host, (copy_at(15.0),)),
    Scenario("letters-kill", "letters, hosts killed", (), kill_hosts, LETTERS),
    Scenario("letters-freeze", "letters, host frozen", (), freeze_host, LETTERS),
    Scenario(
        "letters-kv-lost", "letters, answers lost", (), lose_key_value_answers, LETTERS
    ),
    Scenario(
        "operators",
        "racing operators, answers lost",
        (7,),
        lose_key_value_answers,
        RACING,
    ),
    Scenario(
        "operators-kv-down", "racing, key-value down", (7,), lose_key_value, RACING
    ),
    Scenario(
        "operators-kv-slow", "racing, key-value slow", (7,), slow_key_value, RACING
    ),
    Scenario("operators-freeze", "racing, host frozen", (7,), freeze_host, RACING),
    Scenario("operators-kill", "racing, hosts killed", (7,), kill_hosts, RACING),
    Scenario(
        "crashing-request",
        "a request ends each server that runs it",
        (8,),
        end_under_requests,
        (call_at(10.0, (DRAFT, STATUS)), crash_each(0.4)),
    ),
    Scenario("kv-down", "key-value service down", (), lose_key_value),
    Scenario("kv-slow", "key-value service slow", (), slow_key_value),
    Scenario("kv-lost", "answers of writes lost", (), lose_key_value_answers),
    *(
        Scenario(f"answers-{mode}", f"answers {mode}", (), spoil_answers(mode))
        for mode in (
            "slow",
            "late",
            "duplicate",
            "reorder",
            "truncate",
            "misdirect",
            "silent",
        )
    ),
)
