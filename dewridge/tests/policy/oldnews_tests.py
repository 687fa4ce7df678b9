"""Prompts placed by many hosts whose news of each other is old."""

import math
import random
from dataclasses import dataclass

import pytest

from dewridge.ids import BackendServerId, FailureDomain
from dewridge.policy.choice import Candidate, place_prompt

DOMAIN = FailureDomain("domain-a")
PACE = 41_000.0
"""Prompt tokens a second that a server reads."""
HOSTS = 60
SERVERS = 45
KEPT_FOR = 10.0
"""Seconds for which a server keeps a shared part after its last use."""
COPY_COST = 0.1
"""What a copy of a shared part takes, as a part of its reading."""
BURST = 6
"""Prompts of a burst on average, all to one host."""


@dataclass(frozen=True, slots=True)
class Kind:
    """Prompts of one kind: sizes in tokens, seconds to be on time, subjects."""

    part: float
    own: float
    shared: int
    target: float
    subjects: int

    @property
    def is_copied(self) -> bool:
        """Whether its shared part is copied from a server that keeps it."""
        return self.shared > 1_500

    @property
    def cost_elsewhere(self) -> float:
        """What its shared part costs where it is not kept, as a part of its reading."""
        return COPY_COST if self.is_copied else 1.0


KINDS = (
    Kind(0.3, 2_890, 6_300, 0.64, 40 * SERVERS),
    Kind(0.25, 1_800, 568, 0.48, 12 * SERVERS),
    Kind(0.45, 543, 172, 0.4, 11 * SERVERS),
)
MEAN = sum(kind.part * (kind.own + 0.3 * kind.shared) for kind in KINDS)


@dataclass(frozen=True, slots=True)
class Sent:
    """A prompt that was sent: when, where, by whom, and when it will be read."""

    at: float
    server: int
    tokens: int
    host: int
    read_at: float


def list_known(sent: list[Sent], host: int, now: float, age: float) -> list[Candidate]:
    """Return the servers as a host knows them: its own prompts, and older news."""
    requests = [0] * SERVERS
    unread = [0.0] * SERVERS
    for one in sent:
        is_own = one.host == host
        told_at = now if is_own else now - age
        if one.read_at > told_at and (is_own or one.at < told_at):
            requests[one.server] += 1
            unread[one.server] += one.tokens
    return [
        Candidate(BackendServerId(f"s-{n}"), DOMAIN, requests[n], unread[n], 32, True)
        for n in range(SERVERS)
    ]


def replay(load: float, age: float, told_age: float, seed: int) -> float:
    """Replay ten seconds of bursts at many hosts; return the late part.

    Args:
        load: of the servers' pace, as far as it is known beforehand.
        age: seconds by which the hosts' news lags.
        told_age: what the placement is told of that.
        seed: of the draw.
    """
    rng = random.Random(seed)
    free_at = [0.0] * SERVERS
    last_read: dict[tuple[int, str], float] = {}
    sent: list[Sent] = []
    now, late, total = 0.0, 0, 0
    while now < 10.0:
        now += rng.expovariate(load * SERVERS * PACE / (BURST * MEAN))
        host = rng.randrange(HOSTS)
        for _ in range(1 + int(rng.expovariate(1 / (BURST - 0.5)))):
            (kind,) = rng.choices(KINDS, [kind.part for kind in KINDS])
            own = min(6 * kind.own, kind.own * math.exp(rng.gauss(-0.5, 1.0)))
            prefix = f"{kind.shared}/{rng.randrange(kind.subjects)}"
            known = list_known(sent, host, now, age)
            size = int(own) + kind.shared
            placement = place_prompt(
                known,
                prefix,
                kind.shared,
                size,
                rng,
                can_copy=kind.is_copied,
                staleness=told_age,
            )
            assert placement is not None
            server = int(placement.server.removeprefix("s-"))
            is_kept = last_read.get((server, prefix), -KEPT_FOR) > now - KEPT_FOR
            last_read[server, prefix] = now
            again = 0.0 if is_kept else kind.shared * kind.cost_elsewhere
            begins_at = max(now, free_at[server])
            free_at[server] = begins_at + (own + again) / PACE
            late += free_at[server] - now > kind.target
            total += 1
            sent.append(Sent(now, server, placement.tokens, host, free_at[server]))
        sent = [one for one in sent if one.read_at > now - age]
    return late / total


@pytest.mark.parametrize("age", [0.5, 0.9])
def test_many_hosts_with_old_news_do_not_meet_at_the_same_servers(age: float) -> None:
    """Bursts come to sixty hosts before forty-five servers; news is half a second old.

    Each host took the servers for the least busy that it knew nothing of, all the same
    ones: prompts waited there while other servers were idle.
    """
    seeds = (1, 2)
    before = sum(replay(0.7, age, 0.0, seed) for seed in seeds)
    after = sum(replay(0.7, age, age, seed) for seed in seeds)
    assert after < 0.6 * before


def test_fresh_news_is_used_for_all_servers() -> None:
    """With news of a tenth of a second the least busy server is known."""
    known = list_known([], host=0, now=1.0, age=0.1)
    busy = [
        Candidate(one.id, DOMAIN, 9, 90_000.0, 32, True)
        for one in known
        if one.id != "s-7"
    ]
    idle = [one for one in known if one.id == "s-7"]
    placement = place_prompt(
        [*busy, *idle], "p", 0, 500, random.Random(1), staleness=0.15
    )
    assert placement is not None
    assert placement.server == "s-7"


def test_old_news_still_tells_the_servers_that_fail() -> None:
    """Both homes of a prefix rest after failures; the prompt goes to others."""
    known = list_known([], host=0, now=1.0, age=0.1)
    homes = {
        place_prompt(known, "p", 0, 500, random.Random(n), staleness=1.0)
        for n in range(20)
    }
    resting = {one.server for one in homes if one is not None}
    candidates = [
        Candidate(one.id, DOMAIN, 0, 0.0, 32, one.id not in resting) for one in known
    ]
    placement = place_prompt(candidates, "p", 0, 500, random.Random(1), staleness=1.0)
    assert placement is not None
    assert placement.server not in resting
