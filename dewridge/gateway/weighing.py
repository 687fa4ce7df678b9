"""Which server gets a request, from the loads and outcomes that this host knows."""

import random
from dataclasses import dataclass

from dewridge.gateway.jobs import Job
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reports import TENTHS_PER_ATTEMPT, ZERO_SERVER_TOTALS
from dewridge.gateway.sharing import FleetSummary
from dewridge.gateway.state import GatewayState
from dewridge.ids import BackendServerId
from dewridge.policy.choice import (
    Candidate,
    Placement,
    choose_fewest,
    choose_least_loaded,
    find_keeper,
    place_prompt,
)
from dewridge.policy.serverhealth import (
    ServerHealth,
    find_failure_share,
    find_median,
)
from dewridge.policy.shedding import must_shed

LEAST_COPIED = 1_500
"""Tokens of a shared part from which it is copied: less is read in some 30 ms, and a
copy has its price."""
ROOM_SHARE = 0.8
"""Part of a server's slots up to which it is a good place for a moved stream."""


@dataclass(frozen=True, slots=True)
class Choice:
    """A server for a job's next sending.

    Attributes:
        server: where to send it.
        tokens: of the prompt that the server likely has to read.
        is_idle: whether nothing is known to be read there before it.
        keeper: `a.b.c.d:port` of a server that likely keeps the shared part, if this
            one does not.
        is_suspect: whether a server ended under the request before.
    """

    server: ServerRecord
    tokens: int
    is_idle: bool = False
    keeper: str | None = None
    is_suspect: bool = False


def choose_server(state: GatewayState, job: Job, now: float) -> Choice | None:
    """Return the server for a job's next sending; None if the service has none."""
    records = state.rollouts.choose_servers(
        job.service,
        state.servers.list_service(job.service),
        is_first=not job.tried,
        draw=state.rng.random,
    )
    untried = [one for one in records if one.id not in job.tried] or records
    if is_suspect(state, job, now):
        return choose_apart(state, job, untried, now)
    candidates = weigh(state, untried, now)
    versions = {one.version for one in records}
    settled = {
        one.id: one
        for one in state.servers.list_settled(job.service, now)
        if one.version in versions
    }
    keepers = list(settled) if is_worth_copying(job) else []
    placement = place(
        job,
        candidates,
        state.rng,
        can_copy=bool(keepers),
        news_age=state.sharing.staleness,
    )
    if placement is None:
        return None
    server = state.servers.find(placement.server)
    if server is None:
        return None
    keeper = find_keeper(keepers, name_prefix(job), server.id)
    if keeper is not None and now < state.find_health(keeper).rests_until:
        keeper = None
    address = None if keeper is None else settled[keeper].address
    return Choice(server, placement.tokens, placement.is_idle, address)


def is_suspect(state: GatewayState, job: Job, now: float) -> bool:
    """Whether a server ended under this request."""
    return (
        not state.suspects.is_empty and state.suspects.count_ends(job.digest, now) > 0
    )


def choose_apart(
    state: GatewayState, job: Job, records: list[ServerRecord], now: float
) -> Choice | None:
    """Return a server where a request under which servers ended harms least.

    If it ends that one too, the fewest others go with it; and no second suspect is
    beside it, so that an innocent one is not blamed for the same end again.
    """
    candidates = weigh(state, records, now)
    chosen = choose_fewest(candidates, state.work.suspects, state.rng)
    server = None if chosen is None else state.servers.find(chosen.id)
    if server is None:
        return None
    return Choice(server, job.request.sizes.prompt_tokens, is_suspect=True)


def is_worth_copying(job: Job) -> bool:
    """Return whether a prompt's shared part is long enough to be copied."""
    shared = job.request.sizes.parts[:-1]
    return job.is_engine and sum(part.tokens for part in shared) >= LEAST_COPIED


def name_prefix(job: Job) -> str:
    """Return the name of what a prompt shares with others, for its home.

    A prompt that shares nothing has any server for its home.
    """
    sizes = job.request.sizes
    shared = sizes.parts[:-1]
    return f"{sizes.model}/{shared[-1].id if shared else job.request.id}"


def place(
    job: Job,
    candidates: list[Candidate],
    rng: random.Random,
    *,
    can_copy: bool,
    news_age: float,
) -> Placement | None:
    """Choose by what is known of the prompt, or by free slots for a plain service."""
    sizes = job.request.sizes
    if job.is_engine:
        return place_prompt(
            candidates,
            name_prefix(job),
            sum(part.tokens for part in sizes.parts[:-1]),
            sizes.prompt_tokens,
            rng,
            can_copy=can_copy,
            news_age=news_age,
        )
    chosen = choose_least_loaded(candidates, rng)
    return None if chosen is None else Placement(chosen.id, 0)


def is_shed(state: GatewayState, job: Job) -> bool:
    """Return whether a job's engines have too much for work of its urgency."""
    records = state.list_serving(job.service)
    in_flight = state.count_in_flight(records)
    slots = sum(one.slots for one in records)
    return must_shed(in_flight, slots, job.route.priority, state.rng.random())


def choose_target(
    state: GatewayState, job: Job, source: BackendServerId, now: float
) -> ServerRecord | None:
    """Return the server that a stream moves to: the one with the most free slots."""
    records = [one for one in state.list_serving(job.service) if one.id != source]
    candidates = weigh(state, records, now)
    with_room = [
        one
        for one in candidates
        if one.is_usable and one.requests < one.slots * ROOM_SHARE
    ]
    chosen = choose_least_loaded(with_room or candidates, state.rng)
    return None if chosen is None else state.servers.find(chosen.id)


def weigh(
    state: GatewayState, records: list[ServerRecord], now: float
) -> list[Candidate]:
    """Return what all hosts together have at each server, and whether it is usable."""
    others = state.sharing.find_summary(now)
    healths = [state.find_health(one.id) for one in records]
    shares = [
        find_fleet_share(one.id, health, others, now)
        for one, health in zip(records, healths, strict=True)
    ]
    median = find_median(
        health.failure_share if share is None else share
        for share, health in zip(shares, healths, strict=True)
    )
    candidates = []
    for record, health, share in zip(records, healths, shares, strict=True):
        elsewhere = others.server_totals.get(record.id, ZERO_SERVER_TOTALS)
        requests = elsewhere.requests + state.work.requests.get(record.id, 0)
        tokens = elsewhere.tokens + state.work.tokens.get(record.id, 0)
        candidates.append(
            Candidate(
                id=record.id,
                failure_domain=record.failure_domain,
                requests=requests,
                unread_tokens=tokens,
                slots=record.slots,
                is_usable=health.is_usable(now, share, median),
            )
        )
    return candidates


def find_fleet_share(
    server: BackendServerId, health: ServerHealth, others: FleetSummary, now: float
) -> float | None:
    """Return the share of all hosts' recent attempts at a server that failed."""
    elsewhere = others.server_totals.get(server, ZERO_SERVER_TOTALS)
    attempts, failures = health.recent.read(now)
    return find_failure_share(
        elsewhere.attempts / TENTHS_PER_ATTEMPT + attempts,
        elsewhere.failures / TENTHS_PER_ATTEMPT + failures,
    )
