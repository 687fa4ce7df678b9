"""Expected time to the first event of a prompt at a server, and the choice by it."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from dewridge.ids import BackendServerId

COPIED_TOKEN_COST = 0.1
"""Time to copy a token from a cache holder, relative to prefilling it."""
RUNNING_REQUEST_TOKENS = 200.0
"""Prompt tokens that a server could prefill in the time by which a running request
delays a new prompt: each engine step takes a few percent longer."""
ORDERED_HOLDERS = 2
"""Number of cache holders up to which the first of equal ones is taken instead of a
random one: a prefix that is not hot is then cached at one server only. In replays, as
many answers were late, and a third fewer shared tokens were prefilled repeatedly; with
the same order for hot prefixes, 23% of the answers were late instead of 9%."""
BASE_UNCERTAINTY = 0.02
"""Seconds by which the expected times of two servers may differ by chance: a few engine
steps."""
UNCERTAINTY_PER_STALENESS = 0.1
"""Additional uncertainty in seconds for each second by which reports lag."""

MAX_COMPARED_HOLDERS = 3
"""Cache holders that are compared for one prompt, drawn at random if there are more. In
replays with a hot prefix, as many answers were late as with all of them (8% to 9%), and
the cost of a choice does not grow with the number of servers."""
RANDOM_CANDIDATES = 1
"""Random servers that are compared with the cache holders. In replays with reports
0.9 s old, two made 12% of the answers late where one made 10%: servers were chosen that
had been idle a second ago, and prefilled prefixes again."""
RANDOM_CANDIDATES_WITHOUT_PREFIX = 3
"""Random servers that are compared for a prompt without a shared prefix: as many as
candidates in all for a prefix with two cache holders."""


@dataclass(frozen=True, slots=True)
class ServiceSpeed:
    """Speed of the engines of a service, at pace 1.

    Attributes:
        prefill_rate: prompt tokens that an engine prefills per second.
        fixed_time: seconds for the network and the first step.
        run_time: mean seconds for which a request occupies a slot.
        memory_tokens: tokens that fit into an engine's memory; 0 if not limited.
        request_tokens: mean tokens of a request, prompt and output together.
    """

    prefill_rate: float
    fixed_time: float
    run_time: float
    memory_tokens: int = 0
    request_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class Prompt:
    """Sizes of a prompt in tokens.

    Attributes:
        tokens: the whole prompt.
        shared_tokens: its shared part.
        output_tokens: tokens to generate at most.
        can_copy: whether a server can copy the shared part from a cache holder.
    """

    tokens: int
    shared_tokens: int = 0
    output_tokens: int = 0
    can_copy: bool = False

    def compute_prefill_tokens(self, *, is_holder: bool) -> float:
        """Return the tokens to prefill, or the equivalent of the copied ones."""
        own = max(0, self.tokens - self.shared_tokens)
        if is_holder:
            return own
        return own + self.shared_tokens * (COPIED_TOKEN_COST if self.can_copy else 1.0)


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """A server as one host knows it.

    Attributes:
        id: id of the server.
        requests: requests in flight to it from all hosts.
        unprocessed_tokens: prompt tokens that it has yet to prefill.
        slots: requests that it runs concurrently.
        pace: factor by which it takes longer than usual.
        is_holder: whether it is a cache holder of the prompt's prefix.
    """

    id: BackendServerId
    requests: int
    unprocessed_tokens: float
    slots: int
    pace: float = 1.0
    is_holder: bool = False


@dataclass(frozen=True, slots=True)
class ExpectedPlacement:
    """A server and the seconds to the first event that are expected there.

    Attributes:
        load: the server.
        tokens: tokens of this prompt that it has to prefill.
        queued_tokens: all tokens that it has to prefill until the first event.
        slot_wait: expected seconds until it has a slot and memory.
        seconds: expected seconds to the first event.
        usual_seconds: the same at pace 1, for measuring the pace.
    """

    load: ServerLoad
    tokens: float
    queued_tokens: float
    slot_wait: float
    seconds: float
    usual_seconds: float


def estimate_placement(
    load: ServerLoad, prompt: Prompt, speed: ServiceSpeed
) -> ExpectedPlacement:
    """Return the expected time to the first event of a prompt at a server."""
    own = prompt.compute_prefill_tokens(is_holder=load.is_holder)
    waiting = max(0.0, load.unprocessed_tokens)
    running = min(load.requests, load.slots) * RUNNING_REQUEST_TOKENS
    queued = waiting + running + own
    prefill = queued / speed.prefill_rate
    slot_wait = compute_slot_wait(load, prompt, speed)
    wait = speed.fixed_time + slot_wait
    return ExpectedPlacement(
        load, own, queued, slot_wait, wait + prefill * load.pace, wait + prefill
    )


def compute_slot_wait(load: ServerLoad, prompt: Prompt, speed: ServiceSpeed) -> float:
    """Return the expected seconds until a server has a slot and memory for a prompt."""
    slots = max(1, load.slots)
    wait = 0.0
    if load.requests >= slots:
        wait = (load.requests - slots + 1) / slots * speed.run_time
    if speed.memory_tokens > 0:
        in_use = load.requests * speed.request_tokens
        if in_use + prompt.tokens + prompt.output_tokens > speed.memory_tokens:
            wait = max(wait, speed.run_time)
    return wait


def draw_holders(
    holders: Sequence[BackendServerId], rng: random.Random
) -> Sequence[BackendServerId]:
    """Return the cache holders of a prefix that are compared for one prompt."""
    if len(holders) <= MAX_COMPARED_HOLDERS:
        return holders
    return rng.sample(holders, MAX_COMPARED_HOLDERS)


def choose_soonest(
    placements: Sequence[ExpectedPlacement], staleness: float, rng: random.Random
) -> ExpectedPlacement | None:
    """Return the placement with the earliest first event, at random among equals.

    Placements within the uncertainty of the reports count as equal: hosts with the same
    figures would otherwise send a burst to the same server. Holders are preferred among
    equals, so that prefixes are not prefilled repeatedly.

    Args:
        placements: the candidates, with the cache holders in their order.
        staleness: seconds by which the reports of other hosts may lag.
        rng: draws among equals.
    """
    if not placements:
        return None
    lowest = min(placement.seconds for placement in placements)
    bound = lowest + compute_uncertainty(staleness)
    equal = [placement for placement in placements if placement.seconds <= bound]
    holders = [placement for placement in equal if placement.load.is_holder]
    if holders and sum(p.load.is_holder for p in placements) <= ORDERED_HOLDERS:
        return holders[0]
    return rng.choice(holders or equal)


def compute_uncertainty(staleness: float) -> float:
    """Return the seconds by which expected times may be wrong."""
    return BASE_UNCERTAINTY + UNCERTAINTY_PER_STALENESS * max(0.0, staleness)
