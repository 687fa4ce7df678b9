"""Choice of the engine for a prompt by the expected time to its first event."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from dewridge.gateway.jobs import Job, make_prefix_name
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.placement.activation import is_enabled
from dewridge.gateway.placement.loads import (
    LoadReader,
    open_loads,
    read_speed,
)
from dewridge.gateway.placement.table import ServiceFigures
from dewridge.gateway.state import GatewayState
from dewridge.ids import BackendServerId
from dewridge.policy.expectedtime import (
    MAX_COMPARED_HOLDERS,
    RANDOM_CANDIDATES,
    RANDOM_CANDIDATES_WITHOUT_PREFIX,
    ExpectedPlacement,
    Prompt,
    choose_soonest,
    draw_holders,
    estimate_placement,
)
from dewridge.policy.prefixdemand import MIN_HOLDERS

MAX_DRAWS = 4
"""Draws for one random candidate. Draws that hit a cache holder or an unusable server
are repeated a few times; with few servers there may be no other one."""


@dataclass(frozen=True, slots=True)
class _Scene:
    """What is the same for all candidates of one request."""

    state: GatewayState
    loads: LoadReader
    figures: ServiceFigures
    records: dict[BackendServerId, ServerRecord]
    median_share: float

    def is_usable(self, server: BackendServerId) -> bool:
        record = self.records.get(server)
        return record is not None and self.loads.is_usable(record, self.median_share)


def place_by_expected_time(
    state: GatewayState,
    job: Job,
    records: list[ServerRecord],
    now: float,
    *,
    can_copy: bool,
) -> list[ExpectedPlacement]:
    """Choose the server with the earliest expected first event.

    Args:
        state: the state of this host.
        job: the request.
        records: servers that the request may be sent to.
        now: monotonic time.
        can_copy: whether servers can copy the shared prefix from a cache holder.

    Returns:
        The chosen server and the other candidates with their expected times; empty if
        there are no servers.
    """
    scene = _make_scene(state, job, records, now)
    scene.figures.demand.record(_name_shared_prefix(job), now)
    placements = _estimate_candidates(scene, job, can_copy=can_copy)
    chosen = choose_soonest(placements, scene.loads.staleness, state.rng)
    if chosen is None:
        return []
    return [chosen, *(other for other in placements if other is not chosen)]


def estimate_first_event(state: GatewayState, job: Job, now: float) -> float | None:
    """Return the lowest expected seconds to the first event over the usable servers.

    If the cache holders and the random candidates promise an answer on time, only these
    are considered, so that the cost is constant unless the service is busy.

    Returns:
        None if it is not known: the service is not placed by expected time, it has no
        servers, or too few of its answers have been measured here.
    """
    if not is_enabled(state, job.service):
        return None
    records = state.list_serving(job.service)
    scene = _make_scene(state, job, records, now)
    if not records or not scene.figures.speed.is_known:
        return None
    placements = _estimate_candidates(scene, job, can_copy=False)
    lowest = min(placement.seconds for placement in placements)
    if lowest <= job.route.latency_target:
        return lowest
    prompt, speed = make_prompt(job, can_copy=False), read_speed(state, job.service)
    others = [
        estimate_placement(scene.loads.read_load(record), prompt, speed).seconds
        for record in records
        if scene.is_usable(record.id)
    ]
    return min([lowest, *others])


def _make_scene(
    state: GatewayState, job: Job, records: list[ServerRecord], now: float
) -> _Scene:
    figures = state.placement.get_figures(job.service)
    loads = open_loads(state, now)
    median = loads.find_median_share(figures, records)
    by_id = {record.id: record for record in records}
    return _Scene(state, loads, figures, by_id, median)


def _estimate_candidates(
    scene: _Scene, job: Job, *, can_copy: bool
) -> list[ExpectedPlacement]:
    state = scene.state
    holders = _list_holders(scene, job)
    prompt, speed = make_prompt(job, can_copy=can_copy), read_speed(state, job.service)
    count = RANDOM_CANDIDATES if holders else RANDOM_CANDIDATES_WITHOUT_PREFIX
    others = list(_draw_others(scene, holders, count))
    if not holders and not others:
        # The draws missed the few usable servers; if there are none, any server is
        # better than none.
        others = list(filter(scene.is_usable, scene.records)) or list(scene.records)
    return [
        estimate_placement(
            scene.loads.read_load(scene.records[server], is_holder=server in holders),
            prompt,
            speed,
        )
        for server in [*holders, *others]
    ]


def _list_holders(scene: _Scene, job: Job) -> list[BackendServerId]:
    """Return the usable cache holders of a prompt's prefix, best first."""
    prefix = _name_shared_prefix(job)
    if not prefix:
        return []
    state, figures = scene.state, scene.figures
    count = figures.demand.count_holders(prefix, len(scene.records), scene.loads.now)
    ranked = figures.rankings.rank(
        prefix,
        lambda: [record.id for record in state.servers.list_service(job.service)],
        state.servers.version,
        count,
    )
    drawn = draw_holders(ranked[:count], state.rng)
    holders = list(filter(scene.is_usable, drawn))
    if len(holders) < min(count, MIN_HOLDERS):
        wanted = min(count, MAX_COMPARED_HOLDERS)
        holders = list(islice(filter(scene.is_usable, ranked), wanted))
    if len(holders) < min(count, MIN_HOLDERS):
        # Nearly all of the first ones are excluded, as during a rollout or a retry.
        usable = [server for server in scene.records if scene.is_usable(server)]
        return list(figures.rankings.rank_all(prefix, usable, MIN_HOLDERS))
    return holders


def _draw_others(
    scene: _Scene, holders: list[BackendServerId], count: int
) -> Iterator[BackendServerId]:
    """Yield random usable servers other than the cache holders."""
    servers = list(scene.records)
    drawn = set(holders)
    for _ in range(count):
        for _ in range(MAX_DRAWS):
            if len(drawn) >= len(servers):
                return
            server = scene.state.rng.choice(servers)
            if server not in drawn and scene.is_usable(server):
                drawn.add(server)
                yield server
                break


def make_prompt(job: Job, *, can_copy: bool) -> Prompt:
    """Return the sizes of a request's prompt."""
    sizes = job.request.sizes
    return Prompt(
        tokens=sizes.prompt_tokens,
        shared_tokens=sum(part.tokens for part in sizes.parts[:-1]),
        output_tokens=sizes.output_tokens,
        can_copy=can_copy,
    )


def _name_shared_prefix(job: Job) -> str:
    """Return the name of the prompt's shared prefix; empty if it has none."""
    return make_prefix_name(job) if len(job.request.sizes.parts) > 1 else ""
