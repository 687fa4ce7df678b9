"""Load probes: asks two candidate engines for their load before a long prompt is sent.

A probe is no request: it takes no slot, does not count against the server's limits, and
its failure has no effect on the server's health.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

import trio

from dewridge.gateway.jobs import Job
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.placement.expected import make_prompt
from dewridge.gateway.placement.loads import compute_staleness, read_speed
from dewridge.gateway.pool import ConnectionPool
from dewridge.gateway.reach.reports import ReportFailure, fetch_report
from dewridge.gateway.state import GatewayState
from dewridge.platform.engines import EngineReport
from dewridge.policy.expectedtime import ExpectedPlacement, ServerLoad, choose_soonest
from dewridge.policy.loadprobes import (
    ProbedLoad,
    SentPrompt,
    apply_answer,
    choose_probed,
    compute_timeout,
    should_probe,
)
from dewridge.policy.reachability import ServerPath


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The choice after probes.

    Attributes:
        chosen: the server, with the expected times by its answer if it gave one.
        asked: servers that were asked, or whose last answer is still fresh.
        answers: valid answers of these.
    """

    chosen: ExpectedPlacement
    asked: int
    answers: int


async def probe_candidates(
    state: GatewayState,
    job: Job,
    placements: Sequence[ExpectedPlacement],
    now: float,
    *,
    can_copy: bool,
) -> ProbeResult | None:
    """Ask two candidates for their load, and choose the one that is sooner.

    Args:
        state: the state of this host.
        job: the request.
        placements: the candidates by reports, the chosen one first.
        now: monotonic time.
        can_copy: whether servers can copy the shared prefix from a cache holder.

    Returns:
        None if none was asked: the prompt is short, the reports are fresh, or there is
        no choice.
    """
    if state.settings.decisions.load_probes == "off" or len(placements) < 2:
        return None
    speed = read_speed(state, job.service)
    staleness = compute_staleness(state, now)
    if not should_probe(placements[0].tokens, speed, staleness):
        return None
    second = choose_soonest(placements[1:], staleness, state.rng)
    assert second is not None
    pair = [placements[0], second]
    records = [find_probed_server(state, placement, now) for placement in pair]
    asked = sum(record is not None for record in records)
    if not asked:
        return None
    answers: list[ProbedLoad | None] = [None, None]

    async def ask(index: int, record: ServerRecord) -> None:
        timeout = compute_timeout(job.route.latency_target)
        answers[index] = await probe_server_load(state, record, timeout)

    async with trio.open_nursery() as nursery:
        for index, record in enumerate(records):
            if record is not None:
                nursery.start_soon(ask, index, record)
    # Before the first placement, the other prompts are taken to be like this one.
    figures = state.placement.get_figures(job.service)
    prompt_tokens = figures.prompt_tokens or placements[0].tokens
    loads = [
        read_probed_load(state, placement, answer, prompt_tokens)
        for placement, answer in zip(pair, answers, strict=True)
    ]
    chosen = choose_probed(pair, loads, make_prompt(job, can_copy=can_copy), speed)
    return ProbeResult(chosen, asked, sum(answer is not None for answer in answers))


def find_probed_server(
    state: GatewayState, placement: ExpectedPlacement, now: float
) -> ServerRecord | None:
    """Return the server of a candidate if it may be asked for its load."""
    server = placement.load.id
    record = state.servers.find(server)
    if record is None or record.is_draining:
        return None
    if state.servers.find_departure(server) is not None:
        return None
    if state.pushback.is_withheld(server, now):
        return None
    if state.links.find_path(record.service) is not ServerPath.DIRECT:
        return None
    return None if state.placement.get_probes(server).is_paused(now) else record


def read_probed_load(
    state: GatewayState,
    placement: ExpectedPlacement,
    answer: ProbedLoad | None,
    prompt_tokens: float,
) -> ServerLoad | None:
    """Return the load of a candidate by its answer; None without one."""
    if answer is None:
        return None
    unseen = state.placement.get_probes(placement.load.id).list_unseen(answer)
    return apply_answer(placement.load, answer, unseen, prompt_tokens)


def record_sent_prompt(
    state: GatewayState, job: Job, expected: ExpectedPlacement
) -> None:
    """Record a prompt that is sent to a server now and that no answer contains yet."""
    state.placement.get_figures(job.service).add_prompt(expected.tokens)
    sent = SentPrompt(job.request.id, expected.tokens, trio.current_time())
    state.placement.get_probes(expected.load.id).record_sent(sent)


async def probe_server_load(
    state: GatewayState, server: ServerRecord, timeout: float
) -> ProbedLoad | None:
    """Return the load of an engine by its own answer; None without a valid one."""
    record = state.placement.get_probes(server.id)
    count = partial(state.metrics.add, "load_probes_total")
    fresh = record.find_fresh(trio.current_time())
    if fresh is not None:
        count(outcome="reused")
        return fresh
    result: EngineReport | str = "timeout"
    with trio.move_on_after(timeout):
        result = await request_report(state.pool, server)
    now = trio.current_time()
    if isinstance(result, str):
        count(outcome=result)
        record.record_failure(now)
        return None
    count(outcome="answered")
    answer = ProbedLoad(
        requests=result.running + result.waiting,
        prompts=result.prefilling + result.waiting,
        run_ids=result.run_ids,
        received_at=now,
    )
    record.record_answer(answer)
    return answer


async def request_report(
    pool: ConnectionPool, server: ServerRecord
) -> EngineReport | str:
    """Return the load report of an engine, or the outcome without one."""
    reply = await fetch_report(pool, server)
    if isinstance(reply, ReportFailure):
        return reply.value
    return ReportFailure.INVALID.value if reply.report is None else reply.report
