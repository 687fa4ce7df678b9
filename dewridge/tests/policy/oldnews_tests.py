"""Tests the placement of prompts by many hosts with stale reports of each other."""

import math
import random
from dataclasses import dataclass

import pytest

from dewridge.ids import BackendServerId, FailureDomain
from dewridge.policy.choice import Candidate, place_prompt

DOMAIN = FailureDomain("domain-a")
PACE = 41_000.0
"""Prefill rate of a server in prompt tokens per second."""
HOSTS = 60
SERVERS = 45
CACHE_LIFETIME = 10.0
"""Seconds for which a server caches a shared prefix after its last use."""
COPY_COST_SHARE = 0.1
"""Time to copy a shared prefix from another server, as a share of its prefill time."""
BURST = 6
"""Mean number of prompts in a burst, all to one host."""


@dataclass(frozen=True, slots=True)
class PromptKind:
    """A kind of prompts.

    Attributes:
        part: share of all prompts.
        own: mean size of a prompt in tokens without the shared prefix.
        shared: size of the shared prefix in tokens.
        target: seconds after which the prompt is late.
        subjects: number of different shared prefixes.
    """

    part: float
    own: float
    shared: int
    target: float
    subjects: int

    @property
    def is_copied(self) -> bool:
        """Whether the shared prefix can be copied from a server that caches it."""
        return self.shared > 1_500

    @property
    def cost_elsewhere(self) -> float:
        """Cost of the prefix where it is not cached, as a share of its prefill time."""
        return COPY_COST_SHARE if self.is_copied else 1.0


KINDS = (
    PromptKind(0.3, 2_890, 6_300, 0.64, 40 * SERVERS),
    PromptKind(0.25, 1_800, 568, 0.48, 12 * SERVERS),
    PromptKind(0.45, 543, 172, 0.4, 11 * SERVERS),
)
MEAN = sum(kind.part * (kind.own + 0.3 * kind.shared) for kind in KINDS)


@dataclass(frozen=True, slots=True)
class SentPrompt:
    """A prompt that a host sent to a server.

    Attributes:
        at: when it was sent.
        server: index of the server.
        tokens: tokens that the host expects the server to process.
        host: index of the host.
        read_at: when the server has processed it.
    """

    at: float
    server: int
    tokens: int
    host: int
    read_at: float


def list_candidates(
    sent: list[SentPrompt], host: int, now: float, age: float
) -> list[Candidate]:
    """Return the servers as a host sees them: its own prompts, and stale reports."""
    requests = [0] * SERVERS
    unread = [0.0] * SERVERS
    for prompt in sent:
        is_own = prompt.host == host
        known_until = now if is_own else now - age
        if prompt.read_at > known_until and (is_own or prompt.at < known_until):
            requests[prompt.server] += 1
            unread[prompt.server] += prompt.tokens
    return [
        Candidate(BackendServerId(f"s-{n}"), DOMAIN, requests[n], unread[n], 32, True)
        for n in range(SERVERS)
    ]


def replay(load: float, age: float, assumed_age: float, seed: int) -> float:
    """Simulate ten seconds of bursts at many hosts; return the share of late prompts.

    Args:
        load: expected load as a share of what the servers can process.
        age: seconds by which the hosts' reports lag.
        assumed_age: lag that the placement assumes.
        seed: seed of the random numbers.
    """
    rng = random.Random(seed)
    free_at = [0.0] * SERVERS
    last_read: dict[tuple[int, str], float] = {}
    sent: list[SentPrompt] = []
    now, late, total = 0.0, 0, 0
    while now < 10.0:
        now += rng.expovariate(load * SERVERS * PACE / (BURST * MEAN))
        host = rng.randrange(HOSTS)
        for _ in range(1 + int(rng.expovariate(1 / (BURST - 0.5)))):
            (kind,) = rng.choices(KINDS, [kind.part for kind in KINDS])
            own = min(6 * kind.own, kind.own * math.exp(rng.gauss(-0.5, 1.0)))
            prefix = f"{kind.shared}/{rng.randrange(kind.subjects)}"
            candidates = list_candidates(sent, host, now, age)
            size = int(own) + kind.shared
            placement = place_prompt(
                candidates,
                prefix,
                kind.shared,
                size,
                rng,
                can_copy=kind.is_copied,
                staleness=assumed_age,
            )
            assert placement is not None
            server = int(placement.server.removeprefix("s-"))
            is_cached = (
                last_read.get((server, prefix), -CACHE_LIFETIME) > now - CACHE_LIFETIME
            )
            last_read[server, prefix] = now
            prefix_tokens = 0.0 if is_cached else kind.shared * kind.cost_elsewhere
            begins_at = max(now, free_at[server])
            free_at[server] = begins_at + (own + prefix_tokens) / PACE
            late += free_at[server] - now > kind.target
            total += 1
            sent.append(
                SentPrompt(now, server, placement.tokens, host, free_at[server])
            )
        sent = [prompt for prompt in sent if prompt.read_at > now - age]
    return late / total


@pytest.mark.parametrize("age", [0.5, 0.9])
def test_many_hosts_with_stale_reports_do_not_choose_the_same_servers(
    age: float,
) -> None:
    """Guards against all hosts choosing the servers that stale reports show as idle.

    With bursts at sixty hosts, forty-five servers and reports half a second old, all
    hosts chose the same servers: prompts waited there while other servers were idle.
    """
    seeds = (1, 2)
    before = sum(replay(0.7, age, 0.0, seed) for seed in seeds)
    after = sum(replay(0.7, age, age, seed) for seed in seeds)
    assert after < 0.6 * before


def test_fresh_reports_are_used_for_all_servers() -> None:
    """Reports 0.15 s old are fresh enough to choose the least busy server."""
    known = list_candidates([], host=0, now=1.0, age=0.1)
    busy = [
        Candidate(server.id, DOMAIN, 9, 90_000.0, 32, True)
        for server in known
        if server.id != "s-7"
    ]
    idle = [server for server in known if server.id == "s-7"]
    placement = place_prompt(
        [*busy, *idle], "p", 0, 500, random.Random(1), staleness=0.15
    )
    assert placement is not None
    assert placement.server == "s-7"


def test_stale_reports_still_exclude_servers_in_cooldown() -> None:
    """Guards against prompts sent to a prefix's cache holders during their cooldown."""
    known = list_candidates([], host=0, now=1.0, age=0.1)
    placements = {
        place_prompt(known, "p", 0, 500, random.Random(n), staleness=1.0)
        for n in range(20)
    }
    in_cooldown = {chosen.server for chosen in placements if chosen is not None}
    candidates = [
        Candidate(server.id, DOMAIN, 0, 0.0, 32, server.id not in in_cooldown)
        for server in known
    ]
    placement = place_prompt(candidates, "p", 0, 500, random.Random(1), staleness=1.0)
    assert placement is not None
    assert placement.server not in in_cooldown
