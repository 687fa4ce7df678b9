"""Choice of the backend server for one request."""

import heapq
import random
from collections.abc import Container, Sequence
from dataclasses import dataclass
from functools import lru_cache

import xxhash

from dewridge.ids import BackendServerId, FailureDomain
from dewridge.policy.affinity import score_prefix

RUNNING_REQUEST_TOKENS = 200.0
"""Load of a running request, in prompt tokens to read: a request that generates tokens
delays a new prompt about as much as this many tokens, because each engine step takes a
few percent longer."""
QUEUED_REQUEST_TOKENS = 4_000.0
"""Additional load of each request beyond a server's slots, in prompt tokens to read: a
new prompt has to wait for another request to complete."""
EQUAL_LOAD_TOKENS = 1_000.0
"""Difference in load, in prompt tokens, up to which two servers count as equally
loaded: about 25 ms of reading, less than the staleness of other hosts' reports. If
every host chose the single best server, a burst would go to one server before the hosts
receive each other's reports."""

HOLDERS_PER_PREFIX = 2
"""Number of cache holders of a prefix. With a single one, prompts that exceed its
capacity would be read completely at other servers, each time at a different one."""
EXTRA_LOAD_PER_SHARED_TOKEN = 2.0
"""Load that a cache holder may have above the least loaded server, as a multiple of the
prompt's shared tokens. It is more than 1 because reading the shared tokens again at
another server also delays the prompts that follow there: in a replay of bursts at 70%
of the servers' capacity, 2.3% of the answers were late with 1 and 0.5% with 2."""
EXTRA_LOAD_PER_COPYABLE_TOKEN = 0.75
"""As EXTRA_LOAD_PER_SHARED_TOKEN, if the shared tokens can be copied from another cache
holder. A copy takes a tenth of the time of reading them, and costs some milliseconds of
work."""
EXTRA_LOAD_SHARE = 1.0
"""Load that a cache holder may have above the least loaded server, as a multiple of the
load of that server: the busier all servers are, the fewer tokens can be read
twice. In the same replay at 90% of the capacity, 14% of the answers were late with 0
and 7% with 1."""

MAX_STALENESS = 0.4
"""Staleness of the other hosts' reports, in seconds, above which they don't show which
server is least loaded: a busy server reads its whole backlog in that time."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that the request may be sent to.

    Attributes:
        id: id of the server.
        failure_domain: failure domain of the server.
        requests: requests in flight to the server from all hosts.
        unprocessed_tokens: prompt tokens of these requests that the server has not read
            yet, as far as is known.
        slots: requests that the server runs concurrently.
        is_usable: whether to send work to the server while there are other usable
            ones.
    """

    id: BackendServerId
    failure_domain: FailureDomain
    requests: int
    unprocessed_tokens: float
    slots: int
    is_usable: bool

    @property
    def delay_tokens(self) -> float:
        """Load that delays a new prompt, in prompt tokens to read before it."""
        queued = max(0, self.requests + 1 - self.slots)
        return (
            self.unprocessed_tokens
            + self.requests * RUNNING_REQUEST_TOKENS
            + queued * QUEUED_REQUEST_TOKENS
        )


@dataclass(frozen=True, slots=True)
class Placement:
    """The server chosen for a prompt.

    Attributes:
        server: id of the server.
        tokens: tokens of the prompt that the server probably has to read.
        is_idle: whether the server has no other prompts to read, as far as is known.
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
    """Choose the server that is expected to read a prompt soonest.

    All hosts rank the servers alike for a prefix, so that the shared tokens of a prompt
    are read at the cache holders of the prefix only, without communication between
    hosts. Any other server has to read the shared tokens again. A cache holder is
    therefore preferred until its load exceeds that of the least loaded server by a
    bound that depends on the shared tokens.

    The bound is on load and not on the number of requests, for bursts of long prompts
    that arrive beside short ones. When cache holders were used until they had three
    requests more than the mean, seven requests waited at one server while eight
    servers were idle, and a tenth of the answers were late under light load.

    In a large fleet the reports of other hosts are stale, and some servers are always
    reported as idle. If all hosts chose these, their bursts would go to the same
    servers, which is worse than a random choice. With stale reports, only the cache
    holders are compared, which differ by prefix.

    Args:
        candidates: the service's servers.
        prefix: names the shared part of the prompt.
        shared_tokens: number of tokens of the shared part.
        prompt_tokens: number of tokens of the whole prompt.
        rng: draws among servers that are about equally loaded.
        can_copy: whether another server can copy the shared part from a cache holder.
        staleness: seconds by which the reports of other hosts may lag behind.

    Returns:
        The server; None if there are no candidates.
    """
    usable = [server for server in candidates if server.is_usable] or list(candidates)
    if not usable:
        return None
    if staleness > MAX_STALENESS:
        usable = list_cache_holders(usable, prefix)
    lowest = min(server.delay_tokens for server in usable)
    weight = EXTRA_LOAD_PER_COPYABLE_TOKEN if can_copy else EXTRA_LOAD_PER_SHARED_TOKEN
    bound = lowest * (1 + EXTRA_LOAD_SHARE) + shared_tokens * weight + EQUAL_LOAD_TOKENS
    for holder in list_cache_holders(usable, prefix):
        if holder.delay_tokens <= bound:
            uncached_tokens = max(0, prompt_tokens - shared_tokens)
            return Placement(holder.id, uncached_tokens, holder.unprocessed_tokens <= 0)
    least_loaded = [
        server for server in usable if server.delay_tokens <= lowest + EQUAL_LOAD_TOKENS
    ]
    chosen = rng.choice(least_loaded)
    tokens = prompt_tokens - shared_tokens if can_copy else prompt_tokens
    return Placement(chosen.id, max(0, tokens), chosen.unprocessed_tokens <= 0)


def list_cache_holders(candidates: Sequence[Candidate], prefix: str) -> list[Candidate]:
    """Return the cache holders of a prefix, best first; the same on all hosts."""
    return heapq.nlargest(
        HOLDERS_PER_PREFIX,
        candidates,
        key=lambda server: score_cache_holder(prefix, server.id),
    )


def find_cache_holder(
    warm_servers: Sequence[BackendServerId], prefix: str, chosen: BackendServerId
) -> BackendServerId | None:
    """Return the server that probably has a prefix cached, if the chosen one has not.

    After a reclaim, the prefixes of the servers that left have new cache holders with
    empty caches. Once new servers join, the same is true of a share of the other
    prefixes. All of these would be read again just when there are the fewest servers.
    Copying a shared part of 6,000 tokens from the previous cache holder, which may be a
    leaving server, takes a tenth of the time.

    Args:
        warm_servers: servers that have been running long enough to have read their
            prefixes, including leaving ones.
        prefix: names the shared part of the prompt.
        chosen: the server that the prompt is sent to.

    Returns:
        The server to copy from; None if it is the chosen one or there is none.
    """
    holder = max(
        warm_servers,
        key=lambda server: score_cache_holder(prefix, server),
        default=None,
    )
    return None if holder == chosen else holder


def score_cache_holder(prefix: str, server: BackendServerId) -> int:
    """Return the rendezvous score of a server as cache holder of a prefix."""
    return score_prefix(_hash_name(prefix), _hash_name(server))


@lru_cache(maxsize=4096)
def _hash_name(name: str) -> int:
    """Return the hash of a prefix or a server.

    Cached, since each placement hashes its prefix once for each server of the service,
    and the same servers again.
    """
    return xxhash.xxh3_64_intdigest(name.encode())


def choose_fewest_requests(
    candidates: Sequence[Candidate],
    avoided: Container[BackendServerId],
    rng: random.Random,
) -> Candidate | None:
    """Choose the server with the fewest requests, at random among equals.

    Args:
        candidates: the service's servers.
        avoided: servers that are chosen only if all usable servers are among them.
        rng: draws among equals.
    """
    usable = [server for server in candidates if server.is_usable] or list(candidates)
    preferred = [server for server in usable if server.id not in avoided] or usable
    if not preferred:
        return None
    return min(preferred, key=lambda server: (server.requests, rng.random()))


def choose_least_loaded(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Choose the server with the lowest share of used slots, at random among equals.

    Hosts that know the same loads and choose in the same way would send a burst to one
    server; the random choice among equals spreads it.
    """
    usable = [server for server in candidates if server.is_usable] or list(candidates)
    if not usable:
        return None
    return min(
        usable,
        key=lambda server: (server.requests / max(1, server.slots), rng.random()),
    )
