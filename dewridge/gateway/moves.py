"""Moves of running streams, with their engine memory, away from leaving servers."""

from collections.abc import Callable
from functools import partial

import trio
from loguru import logger as log

from dewridge.effects import Effect
from dewridge.gateway.endings.left import LeftMemory
from dewridge.gateway.forwarding import LostAttempt
from dewridge.gateway.jobs import Continuation, HeldMemory, Job, StopOrder
from dewridge.gateway.limits.retries import RetryCause
from dewridge.gateway.model import AttemptKey, ServerRecord
from dewridge.gateway.reach.control import call_engine
from dewridge.gateway.state import GatewayState
from dewridge.gateway.streams import RunningStream
from dewridge.gateway.weighing import choose_move_target
from dewridge.ids import BackendServerId
from dewridge.platform.engines import (
    CacheCopy,
    StopReply,
    free_memory,
    stop_and_move,
)
from dewridge.policy.answerends import AnswerRecord
from dewridge.policy.losses import ARRIVED_REASONS
from dewridge.policy.streamversions import MAX_NAME_LENGTH

Acquire = Callable[[BackendServerId, float], bool]
"""Returns whether a server may get a call now, and counts it."""

FREE_TRIES = 3
"""Calls that free the memory of one run. Memory that no call frees takes a slot until
it expires."""
FREE_RETRY_DELAY = 0.2
"""Seconds until the second call; twice as long until the third."""
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
    order = _prepare_order(state, job, server)
    if order is None:
        stream.moves_at = float("inf")
        return
    await send_order(state, job, order, stream.record)
    if job.continuation is None:
        state.metrics.add("streams_not_moved_total")
        stream.postpone_move(trio.current_time())
        return
    stream.await_remaining_events(trio.current_time())


def _prepare_order(
    state: GatewayState, job: Job, server: ServerRecord
) -> StopOrder | None:
    """Return an order whose retry is used; None without a target or a retry.

    An earlier order without a reply is repeated. Its retry may have been used by the
    run that this one would stop.
    """
    now = trio.current_time()
    earlier = job.find_order(server.id)
    target = None if earlier is None else state.servers.find(earlier.target.id)
    target = target or choose_move_target(state, server, now)
    if target is None and earlier is not None:
        target = earlier.target
    if target is None:
        return None
    if earlier is None or not earlier.has_retry:
        if not (job.has_retry or _acquire_move(state, job, now)):
            return None
        job.has_retry = False
    return StopOrder(server, target)


async def send_order(
    state: GatewayState,
    job: Job,
    order: StopOrder,
    record: AnswerRecord,
    *,
    has_ended: bool = False,
) -> StopReply:
    """Order a source to stop a run, or ask it for the outcome of an earlier order.

    The source returns the memory of a run that it has stopped already. The retry of the
    move was used by the first order.

    Args:
        state: the state of this host.
        job: the request.
        order: the order.
        record: what is known of the answer.
        has_ended: whether the answer has ended, so that the order stops nothing.
    """
    # The order has been sent if this task is cancelled while it waits for the reply.
    job.drop_orders(order.source.id)
    job.unknown_orders.append(order)
    acquire = state.pushback.acquire_control if has_ended else _acquire_order(state)
    unanswered = job.unanswered_orders[order.source.id]
    unanswered.append(order)
    reply = await _order_stop(state, job.request.id, order, acquire)
    record.record_order(reply.effect, reply.detail)
    if not reply.may_come_late:
        unanswered.remove(order)
    has_ended_in_order = has_ended and record.is_close_delimited and not record.fault
    if has_ended_in_order and reply.effect is Effect.DONE:
        job.record_carried_out(order.source.id)
    if record.stop is not Effect.UNKNOWN:
        job.drop_orders(order.source.id)
    if record.stop is Effect.REFUSED:
        # The run goes on, so that the retry is left for another order or attempt.
        job.has_retry = job.has_retry or order.has_retry
    if reply.memory is not None:
        job.was_moved = True
        job.held_memory.append(HeldMemory(order, reply.memory))
        if order.has_retry or _acquire_last_retry(state, job):
            _continue_elsewhere(job, order, reply.memory)
            state.metrics.add("streams_moved_total")
        else:
            record.record_stopped_for_good()
    return reply


def _continue_elsewhere(job: Job, order: StopOrder, memory: CacheCopy) -> None:
    """Have a stopped stream go on from its memory."""
    at_source = Continuation(order.source, memory)
    if memory.is_at_target:
        # If the target has no room, the source keeps the memory and continues itself.
        job.continuation = Continuation(order.target, memory)
        job.fallback = at_source
    else:
        job.continuation, job.fallback = at_source, None


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
    return _acquire_last_retry(state, job)


def _acquire_last_retry(state: GatewayState, job: Job) -> bool:
    """Use a retry without which a stream would be lost; it may overdraw the budget."""
    now = trio.current_time()
    return state.retries.acquire(
        job.service, RetryCause.RETURNED, now, -MAX_RETURN_OVERDRAFT
    )


async def free_left_memory(state: GatewayState, left: LeftMemory) -> None:
    """Have engines free the memory of a run that will not go on.

    A server that rests frees it by itself after a time: its rest has room for what
    streams can't go on without.
    """
    memory = left.memory
    if memory is None:
        acquire = partial(state.pushback.acquire_control, is_essential=False)
        memory = (await _order_stop(state, left.attempt, left.order, acquire)).memory
    if memory is None:
        return
    effect = await _free_memory(state, left.order.source, memory)
    if effect is not Effect.DONE and memory.is_at_target:
        # The source frees both copies; without it, the target can free its own.
        effect = await _free_memory(state, left.order.target, memory)
    state.metrics.add("memory_releases_total", effect=effect.value)
    log.bind(id=left.attempt, server=left.order.source.id, effect=effect.value).info(
        "memory freed"
    )


async def _free_memory(
    state: GatewayState, server: ServerRecord, memory: CacheCopy
) -> Effect:
    effect = Effect.UNKNOWN
    for number in range(FREE_TRIES):
        await trio.sleep(number * FREE_RETRY_DELAY)
        now = trio.current_time()
        if not state.pushback.acquire_control(server.id, now, is_essential=False):
            return Effect.REFUSED
        effect = await free_memory(memory, partial(call_engine, state, server))
        if effect is not Effect.UNKNOWN:
            break
    return effect


def _acquire_order(state: GatewayState) -> Acquire:
    return partial(state.pushback.acquire, is_essential=True)


async def _order_stop(
    state: GatewayState, attempt: AttemptKey, order: StopOrder, acquire: Acquire
) -> StopReply:
    server, target = order.source, order.target
    now = trio.current_time()
    if acquire(server.id, now):
        reply = await stop_and_move(
            server.address,
            attempt,
            target.address,
            partial(call_engine, state, server),
            lambda status, headers: state.pushback.record_answer(
                server.id, status, headers, is_current=False
            ),
        )
    else:
        detail = state.pushback.describe(server.id, now)
        reply = StopReply(Effect.REFUSED, detail)
    state.metrics.add("stop_orders_total", effect=reply.effect.value)
    log.bind(
        id=attempt,
        server=server.id,
        target=target.id,
        server_version=server.version[:MAX_NAME_LENGTH],
        outcome=reply.detail,
        effect=reply.effect.value,
        ms=round((trio.current_time() - now) * 1000, 1),
    ).info("stream moves")
    return reply
