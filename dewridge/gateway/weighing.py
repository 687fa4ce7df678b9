"""Choice of the server for a request by the loads and outcomes known to this host."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import trio

from dewridge.gateway.jobs import Job, make_prefix_name
from dewridge.gateway.model import ServerRecord, ServerVersion
from dewridge.gateway.placement.activation import is_chosen
from dewridge.gateway.placement.expected import place_by_expected_time
from dewridge.gateway.placement.failures import compute_fleet_failure_share
from dewridge.gateway.reports import ZERO_SERVER_TOTALS
from dewridge.gateway.state import GatewayState
from dewridge.gateway.versions.eligibility import (
    list_bound_servers,
    list_eligible_servers,
    list_same_version,
    prefer_known_versions,
)
from dewridge.ids import BackendServerId
from dewridge.policy.choice import (
    Candidate,
    Placement,
    choose_fewest_requests,
    choose_least_loaded,
    find_cache_holder,
    place_prompt,
)
from dewridge.policy.expectedtime import ExpectedPlacement
from dewridge.policy.serverhealth import compute_median
from dewridge.policy.shedding import should_shed

MIN_COPIED_TOKENS = 1_500
"""Size in tokens from which a shared prompt prefix is copied between servers. A shorter
one is computed anew in some 30 ms, which does not outweigh the cost of a copy."""
MAX_TARGET_LOAD = 0.8
"""Share of a server's slots that may be in use for it to be preferred as the target of
a moved stream."""


@dataclass(frozen=True, slots=True)
class ServerChoice:
    """The server chosen for a job's next attempt.

    Attributes:
        server: the server to send the request to.
        unprocessed_tokens: prompt tokens that the server probably has to process.
        is_idle: whether no earlier prompt is known to be waiting there.
        cache_holder: `a.b.c.d:port` of a server that probably has the shared prefix
            cached, if the chosen one does not.
        is_suspect: whether a server crashed while it ran this request before.
        expected: expected times by which it was chosen; None if it was chosen by load.
        others: the other servers that were compared by expected time.
        copy_sources: servers that the shared prefix may be copied from.
        probed: how many of the servers that were asked for their load answered; empty
            if none was asked.
    """

    server: ServerRecord
    unprocessed_tokens: int
    is_idle: bool = False
    cache_holder: str | None = None
    is_suspect: bool = False
    expected: ExpectedPlacement | None = None
    others: tuple[ExpectedPlacement, ...] = ()
    copy_sources: Mapping[BackendServerId, ServerRecord] = field(default_factory=dict)
    probed: str = ""


@dataclass(frozen=True, slots=True)
class WithheldServers:
    """The servers of a service if none of them may get one more request now.

    Attributes:
        servers: the servers.
        reason: what withholds requests from the first of them.
    """

    servers: list[BackendServerId]
    reason: str


def choose_server(
    state: GatewayState, job: Job, now: float
) -> ServerChoice | WithheldServers | None:
    """Return the server for a job's next attempt; None if the service has none."""
    chosen, serving = list_allowed_servers(state, job, now)
    records = list_open(state, chosen, now) or list_open(state, serving, now)
    if not records and chosen:
        return WithheldServers(
            [record.id for record in chosen],
            state.pushback.describe(chosen[0].id, now),
        )
    if len(records) < len(chosen):
        state.metrics.add(
            "requests_withheld_total", service=job.service, outcome="elsewhere"
        )
    untried = [
        record for record in records if record.id not in job.tried_servers
    ] or records
    if is_suspect(state, job, now):
        return choose_isolated_server(state, job, untried, now)
    holders = list_copy_sources(state, job, {record.version for record in records}, now)
    if job.is_engine and is_chosen(state, job.service, count_servers(state, job)):
        return choose_by_expected_time(state, job, untried, holders, now)
    placement = choose_placement(
        job,
        list_candidates(state, untried, now),
        state.rng,
        can_copy=bool(holders),
        staleness=state.sharing.staleness,
    )
    if placement is None:
        return None
    return make_choice(state, job, placement, holders, now)


def list_allowed_servers(
    state: GatewayState, job: Job, now: float
) -> tuple[list[ServerRecord], list[ServerRecord]]:
    """Return the servers for a job's next attempt, and those that may replace them.

    The others are used while none of the first ones may get one more request.
    """
    if job.release is not None:
        bound = list_bound_servers(state, job)
        return bound, bound
    listed = state.servers.list_service(job.service)
    drawn = state.rollouts.choose_servers(
        job.service,
        listed,
        is_first=not job.tried_servers,
        draw_random=state.rng.random,
    )
    serving = state.rollouts.list_serving(job.service, listed)
    return prefer_known_versions(state, job, drawn, now), serving


def count_servers(state: GatewayState, job: Job) -> int:
    """Return how many servers a job is placed among, before limits and rollouts."""
    if job.release is not None:
        return len(list_bound_servers(state, job))
    return len(state.servers.list_service(job.service))


def choose_by_expected_time(
    state: GatewayState,
    job: Job,
    records: list[ServerRecord],
    holders: Mapping[BackendServerId, ServerRecord],
    now: float,
) -> ServerChoice | None:
    """Return the server with the earliest expected first event, and the candidates."""
    placements = place_by_expected_time(
        state, job, records, now, can_copy=bool(holders)
    )
    if not placements:
        return None
    expected, *others = placements
    choice = make_choice(state, job, make_placement(expected), holders, now)
    if choice is None:
        return None
    return replace(
        choice, expected=expected, others=tuple(others), copy_sources=holders
    )


def list_copy_sources(
    state: GatewayState, job: Job, versions: set[ServerVersion], now: float
) -> dict[BackendServerId, ServerRecord]:
    """Return the servers that a prompt's shared prefix may be copied from."""
    if not is_worth_copying(job):
        return {}
    return {
        record.id: record
        for record in state.servers.list_cache_warm(job.service, now)
        if record.version in versions
    }


def make_choice(
    state: GatewayState,
    job: Job,
    placement: Placement,
    holders: Mapping[BackendServerId, ServerRecord],
    now: float,
) -> ServerChoice | None:
    """Return the choice of a server with the source to copy the shared prefix from.

    Args:
        state: the state of this host.
        job: the request.
        placement: where it is placed.
        holders: servers that the prefix may be copied from.
        now: monotonic time.

    Returns:
        None if the server has left.
    """
    server = state.servers.find(placement.server)
    if server is None:
        return None
    # The caches of another version can't be used.
    sources = [id for id, record in holders.items() if record.version == server.version]
    holder = find_cache_holder(sources, make_prefix_name(job), server.id)
    if holder is not None and not can_copy_from(state, holder, now):
        holder = None
    address = None if holder is None else holders[holder].address
    return ServerChoice(server, placement.tokens, placement.is_idle, address)


def change_choice(
    state: GatewayState, job: Job, choice: ServerChoice, expected: ExpectedPlacement
) -> ServerChoice:
    """Return a choice by expected time with newer figures, or of another candidate.

    The first choice is returned if the other server has left.
    """
    changed = make_choice(
        state,
        job,
        make_placement(expected),
        choice.copy_sources,
        trio.current_time(),
    )
    return choice if changed is None else replace(changed, expected=expected)


def list_open(
    state: GatewayState, records: list[ServerRecord], now: float
) -> list[ServerRecord]:
    """Return the servers that may get one more request from this host now."""
    if state.pushback.is_empty:
        return records
    return [
        record
        for record in records
        if state.pushback.find_send_time(record.id, now) <= now
    ]


def has_open_server(state: GatewayState, job: Job, now: float) -> bool:
    """Return whether some server of a job's service may get one more request now."""
    chosen, serving = list_allowed_servers(state, job, now)
    return bool(list_open(state, chosen, now) or list_open(state, serving, now))


def can_copy_from(state: GatewayState, server: BackendServerId, now: float) -> bool:
    """Return whether another server may copy a cached prefix from a server."""
    is_cooling_down = now < state.get_health(server).cooldown_until
    return not is_cooling_down and not state.pushback.is_withheld(server, now)


def is_suspect(state: GatewayState, job: Job, now: float) -> bool:
    """Return whether a server crashed while it ran this request."""
    return (
        not state.suspects.is_empty
        and state.suspects.count_crashes(job.digest, now) > 0
    )


def choose_isolated_server(
    state: GatewayState, job: Job, records: list[ServerRecord], now: float
) -> ServerChoice | None:
    """Return the server where a crash caused by a suspect request harms least.

    The server with the fewest requests is chosen, so that the fewest are lost with it.
    Servers that already run a suspect request are avoided, so that a request is not
    counted again for a crash that another one causes.
    """
    candidates = list_candidates(state, records, now)
    chosen = choose_fewest_requests(
        candidates, state.work_in_flight.suspects, state.rng
    )
    server = None if chosen is None else state.servers.find(chosen.id)
    if server is None:
        return None
    return ServerChoice(server, job.request.sizes.prompt_tokens, is_suspect=True)


def is_worth_copying(job: Job) -> bool:
    """Return whether a prompt's shared prefix is long enough to be copied."""
    shared = job.request.sizes.parts[:-1]
    return job.is_engine and sum(part.tokens for part in shared) >= MIN_COPIED_TOKENS


def choose_placement(
    job: Job,
    candidates: list[Candidate],
    rng: random.Random,
    *,
    can_copy: bool,
    staleness: float,
) -> Placement | None:
    """Choose a server by prompt and cache for an engine, else by free slots."""
    sizes = job.request.sizes
    if job.is_engine:
        return place_prompt(
            candidates,
            make_prefix_name(job),
            sum(part.tokens for part in sizes.parts[:-1]),
            sizes.prompt_tokens,
            rng,
            can_copy=can_copy,
            staleness=staleness,
        )
    chosen = choose_least_loaded(candidates, rng)
    return None if chosen is None else Placement(chosen.id, 0)


def make_placement(expected: ExpectedPlacement) -> Placement:
    """Return the placement that a choice by expected time amounts to."""
    load = expected.load
    return Placement(load.id, round(expected.tokens), load.unprocessed_tokens <= 0)


def is_load_shed(state: GatewayState, job: Job) -> bool:
    """Return whether a job is refused because its engines are overloaded."""
    now = trio.current_time()
    # A server in need takes fewer requests than it has slots, so that its slots would
    # make the others look less loaded than they are.
    records = [
        record
        for record in list_eligible_servers(state, job)
        if not state.pushback.is_withheld(record.id, now)
    ]
    in_flight = state.count_in_flight(records)
    slots = sum(record.slots for record in records)
    return should_shed(in_flight, slots, job.route.priority, state.rng.random())


def choose_move_target(
    state: GatewayState, source: ServerRecord, now: float
) -> ServerRecord | None:
    """Return the server that a stream moves to: the one with the most free slots."""
    records = list_same_version(state, source)
    # A stream that is not moved is lost, so that it may exceed a limit.
    records = list_open(state, records, now) or [
        record for record in records if not state.pushback.is_resting(record.id, now)
    ]
    candidates = list_candidates(state, records, now)
    with_free_slots = [
        candidate
        for candidate in candidates
        if candidate.is_usable
        and candidate.requests < candidate.slots * MAX_TARGET_LOAD
    ]
    chosen = choose_least_loaded(with_free_slots or candidates, state.rng)
    return None if chosen is None else state.servers.find(chosen.id)


def list_candidates(
    state: GatewayState, records: list[ServerRecord], now: float
) -> list[Candidate]:
    """Return the servers with their load from all hosts and whether they are usable."""
    others = state.sharing.get_summary(now)
    healths = [state.get_health(server.id) for server in records]
    shares = [
        compute_fleet_failure_share(server.id, health, others, now)
        for server, health in zip(records, healths, strict=True)
    ]
    median = compute_median(
        health.failure_share if share is None else share
        for share, health in zip(shares, healths, strict=True)
    )
    candidates = []
    for record, health, share in zip(records, healths, shares, strict=True):
        elsewhere = others.server_totals.get(record.id, ZERO_SERVER_TOTALS)
        requests = elsewhere.requests + state.work_in_flight.requests.get(record.id, 0)
        tokens = elsewhere.tokens + state.work_in_flight.tokens.get(record.id, 0)
        candidates.append(
            Candidate(
                id=record.id,
                failure_domain=record.failure_domain,
                requests=requests,
                unprocessed_tokens=tokens,
                slots=record.slots,
                is_usable=health.is_usable(now, share, median),
            )
        )
    return candidates
