"""Choosing a backend server for one request."""

import heapq
import random
from collections.abc import Container, Sequence
from dataclasses import dataclass

import xxhash

from dewridge.ids import BackendServerId, FailureDomain
from dewridge.policy.affinity import score_prefix

REQUEST_TOKENS = 200.0
"""Prompt tokens whose reading delays a newcomer about as much as one more answer that
is written beside it: a step of an engine takes some hundredths longer."""
QUEUED_TOKENS = 4_000.0
"""The same for each request beyond a server's slots: it waits for one to end."""
EQUAL_LOAD_TOKENS = 1_000.0
"""Prompt tokens up to which two servers count as equally busy: some 25 ms of reading,
less than other hosts' news is old. Always taking the best one, all hosts would send a
burst to one server before they hear of each other."""

HOMES = 2
"""Servers that keep a prefix: with one, what it has no time for is read again at any
other server, each time another one."""
SHARED_WEIGHT = 2.0
"""How much longer than the reading of its shared part a prompt waits for its home: read
again elsewhere, it delays what comes after it there as well. In a replay of bursts at
seven tenths of the servers' pace 2.3% were late at 1, 0.5% at 2."""
COPIED_WEIGHT = 0.75
"""The same where the shared part can be copied from a server that keeps it: a copy
takes a tenth of the time, and its price is that of some milliseconds."""
BUSY_WEIGHT = 1.0
"""How much longer than at the least busy server, as a part of the wait there: the
busier all are, the less can be read twice. In the same replay at nine tenths 14% were
late at 0, 7% at 1."""

OLD_NEWS = 0.4
"""Seconds by which the other hosts' news may lag until it is too old to tell the least
busy server by: in that time a busy server reads all that it had waiting."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may take the request.

    Attributes:
        id: the server.
        failure_domain: where it runs.
        requests: in flight there from all hosts.
        unread_tokens: of their prompts, as far as is known, that it has yet to read.
        slots: requests that it works on at once.
        is_usable: whether it should get work while others can take it.
    """

    id: BackendServerId
    failure_domain: FailureDomain
    requests: int
    unread_tokens: float
    slots: int
    is_usable: bool

    @property
    def delay_tokens(self) -> float:
        """What a newcomer waits for, in prompt tokens to be read before its own."""
        queued = max(0, self.requests + 1 - self.slots)
        return (
            self.unread_tokens + self.requests * REQUEST_TOKENS + queued * QUEUED_TOKENS
        )


@dataclass(frozen=True, slots=True)
class Placement:
    """A server chosen.

    Attributes:
        server: where to send the prompt.
        tokens: of it that the server likely has to read.
        is_idle: whether nothing is known to be read there before it.
    """

    server: BackendServerId
    tokens: int
    is_idle: bool = False


def place_prompt(
    candidates: Sequence[Candidate],
    prefix: str,
    shared_tokens: int,
    prompt_tokens: int,
    rng: random.Random,
    *,
    can_copy: bool = False,
    staleness: float = 0.0,
) -> Placement | None:
    """Choose the server at which a prompt is read soonest.

    All hosts rank the servers alike for a prefix, so that its shared part is read by
    its homes alone, without a word between hosts. Elsewhere it has to be read again, so
    that a home may be busier by that; beyond it, the least busy server begins sooner.
    Made for bursts of long prompts beside short questions:
    kept to their homes until these had three requests more than the mean, seven
    requests stood at one server while eight were idle, and one answer in ten of a calm
    day was late.

    A large fleet's news is old, and its servers are many: some are always told to be
    idle, all hosts take these for the least busy ones, and bursts of all of them meet
    there. Sent by chance the prompts would be read sooner. So with old news only a
    prompt's two homes are compared, other ones for each prefix.

    Args:
        candidates: the service's servers.
        prefix: names the shared part.
        shared_tokens: its size.
        prompt_tokens: of the whole prompt.
        rng: draws among servers that are about equally busy.
        can_copy: whether another server can copy the shared part from a home.
        staleness: seconds by which the other hosts' news may lag.
    """
    usable = [one for one in candidates if one.is_usable] or list(candidates)
    if not usable:
        return None
    if staleness > OLD_NEWS:
        usable = list_cache_holders(usable, prefix)
    least = min(one.delay_tokens for one in usable)
    weight = COPIED_WEIGHT if can_copy else SHARED_WEIGHT
    bound = least * (1 + BUSY_WEIGHT) + shared_tokens * weight + EQUAL_LOAD_TOKENS
    for home in list_cache_holders(usable, prefix):
        if home.delay_tokens <= bound:
            own_tokens = max(0, prompt_tokens - shared_tokens)
            return Placement(home.id, own_tokens, home.unread_tokens <= 0)
    near = [one for one in usable if one.delay_tokens <= least + EQUAL_LOAD_TOKENS]
    chosen = rng.choice(near)
    tokens = prompt_tokens - shared_tokens if can_copy else prompt_tokens
    return Placement(chosen.id, max(0, tokens), chosen.unread_tokens <= 0)


def list_cache_holders(candidates: Sequence[Candidate], prefix: str) -> list[Candidate]:
    """Return the servers that keep a prefix, the first one first; all hosts agree."""
    return heapq.nlargest(
        HOMES, candidates, key=lambda one: score_cache_holder(prefix, one.id)
    )


def find_cache_holder(
    settled: Sequence[BackendServerId], prefix: str, chosen: BackendServerId
) -> BackendServerId | None:
    """Return the server that likely keeps what the chosen one has not read yet.

    Made for the seconds after a reclaim: each prefix of the servers that left, and its
    part of those that came, has a new home with an empty cache, and all of them are
    read anew just when there are fewest servers. Copied from the home before, also from
    one that is leaving, a shared part of 6,000 tokens is there in a tenth of the time.

    Args:
        settled: the servers that have been there for long enough to have read their
            prefixes, the leaving ones included.
        prefix: names the shared part.
        chosen: where the prompt goes.
    """
    keeper = max(settled, key=lambda one: score_cache_holder(prefix, one), default=None)
    return None if keeper == chosen else keeper


def score_cache_holder(prefix: str, server: BackendServerId) -> int:
    """Return how well a server ranks as the home of a prefix."""
    seed = xxhash.xxh3_64_intdigest(prefix.encode())
    return score_prefix(seed, xxhash.xxh3_64_intdigest(server.encode()))


def choose_fewest_requests(
    candidates: Sequence[Candidate],
    avoided: Container[BackendServerId],
    rng: random.Random,
) -> Candidate | None:
    """Choose the server with the fewest requests, drawing among equals.

    Args:
        candidates: the service's servers.
        avoided: servers that are chosen only where all usable ones are among them.
        rng: draws among equals.
    """
    usable = [one for one in candidates if one.is_usable] or list(candidates)
    apart = [one for one in usable if one.id not in avoided] or usable
    if not apart:
        return None
    return min(apart, key=lambda one: (one.requests, rng.random()))


def choose_least_loaded(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Choose the server with the most free slots, drawing among equals.

    Hosts that all know the same loads and choose alike would send a burst to one
    server; the draw among equals spreads it.
    """
    usable = [one for one in candidates if one.is_usable] or list(candidates)
    if not usable:
        return None
    return min(usable, key=lambda one: (one.requests / max(1, one.slots), rng.random()))
