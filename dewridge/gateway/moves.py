"""Moves of running streams, with their engine memory, away from leaving servers."""

from functools import partial

import trio
from loguru import logger as log

from dewridge.effects import Effect
from dewridge.gateway.forwarding import LostAttempt
from dewridge.gateway.jobs import Continuation, Job
from dewridge.gateway.limits.retries import RetryCause
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reach.control import post_to_engine
from dewridge.gateway.state import GatewayState
from dewridge.gateway.streams import RunningStream
from dewridge.gateway.weighing import choose_move_target
from dewridge.platform.engines import StopReply, stop_and_move
from dewridge.policy.losses import ARRIVED_REASONS
from dewridge.policy.streamversions import MAX_NAME_LENGTH

MAX_RETURN_OVERDRAFT = 1.0
"""Retries by which streams that return to their source may overdraw a budget."""


async def move_stream(
    state: GatewayState, job: Job, server: ServerRecord, stream: RunningStream
) -> None:
    """Stop a stream on a leaving server and have its memory copied to another.

    A whole failure domain may be reclaimed on one second's notice. Without the move, a
    stream that may not be retried would be lost, and the prompt of any other would be
    processed again. The connection of the stopped stream closes without an end marker;
    events still in transit are forwarded first.
    """
    now = trio.current_time()
    target = choose_move_target(state, server, now)
    if target is None or not _acquire_move(state, job, now):
        stream.moves_at = float("inf")
        return
    reply = await _order_stop(state, job, server, target)
    moved = reply.memory
    if moved is None:
        state.metrics.add("streams_not_moved_total")
        stream.postpone_move(trio.current_time())
        return
    state.metrics.add("streams_moved_total")
    stream.await_remaining_events(trio.current_time())
    job.was_moved = True
    # If the target has no room, the source keeps the memory and continues itself.
    job.fallback = Continuation(server, moved)
    job.continuation = Continuation(target, moved) if moved.is_at_target else None
    if job.continuation is None:
        job.continuation, job.fallback = job.fallback, None


def _acquire_move(state: GatewayState, job: Job, now: float) -> bool:
    """Use the retry of a move; returns False if none is left.

    If the target rejects the stream, its return to the source is one more arrival. A
    stream that was moved before moves again only if that would not overdraw the budget.
    """
    remainder = 1.0 if job.was_moved else 0.0
    return state.retries.acquire(job.service, RetryCause.MOVED, now, remainder)


def acquire_return(state: GatewayState, job: Job, lost: LostAttempt) -> bool:
    """Use the retry with which a rejected stream returns to its source.

    The stream would be lost otherwise, while the source still has its memory.
    """
    if lost.loss not in ARRIVED_REASONS:
        # The retry of the move is left, since the stream never reached the target.
        return True
    now = trio.current_time()
    return state.retries.acquire(
        job.service, RetryCause.RETURNED, now, -MAX_RETURN_OVERDRAFT
    )


async def _order_stop(
    state: GatewayState, job: Job, server: ServerRecord, target: ServerRecord
) -> StopReply:
    now = trio.current_time()
    if state.pushback.acquire(server.id, now, is_essential=True):
        reply = await stop_and_move(
            server.address,
            job.request.id,
            target.address,
            partial(post_to_engine, state, server),
            lambda status, headers: state.pushback.record_answer(
                server.id, status, headers, is_current=False
            ),
        )
    else:
        detail = state.pushback.describe(server.id, now)
        reply = StopReply(Effect.REFUSED, detail)
    state.metrics.add("stop_orders_total", effect=reply.effect.value)
    log.bind(
        id=job.request.id,
        server=server.id,
        target=target.id,
        server_version=server.version[:MAX_NAME_LENGTH],
        outcome=reply.detail,
        effect=reply.effect.value,
        ms=round((trio.current_time() - now) * 1000, 1),
    ).info("stream moves")
    return reply
