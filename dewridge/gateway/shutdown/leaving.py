"""Graceful shutdown: leave the lists of hosts first, exit once no caller is left."""

from enum import Enum

import trio
from loguru import logger as log

from dewridge.gateway.directory import compute_address_ttl
from dewridge.gateway.duties import HolderElection
from dewridge.gateway.hosts import Registration
from dewridge.gateway.state import GatewayState
from dewridge.gateway.upkeep import UPKEEP_PERIOD, update_readiness
from dewridge.policy.shutdown import (
    ShutdownSchedule,
    estimate_signal_time,
    schedule_shutdown,
)

ANSWER_TTL_MULTIPLE = 3.0
"""Multiple of its time to live for which some callers keep a list of addresses."""
QUIET_PERIOD = 0.6
"""Seconds without a request after which no caller is assumed to be left."""
UNREGISTER_TIME = 1.0
"""Seconds until the registration is removed, and time limit for the removal."""
POLL_INTERVAL = 0.1
"""Seconds between two checks whether the host is still needed."""
CLOSING_TIME = 0.1
"""Seconds at the end in which requests are refused that callers have just sent."""
CLOSING_POLL_INTERVAL = 0.01
"""Seconds between two checks whether all of them have been refused."""


class ExitReason(Enum):
    """Why a leaving host ends."""

    QUIET = "quiet"
    """No caller is left."""
    DEADLINE = "deadline"
    """It would be killed soon."""


async def leave_fleet(
    state: GatewayState, registration: Registration, election: HolderElection
) -> None:
    """Leave the fleet within the grace period; serve while callers may still connect.

    Callers use lists of addresses that are seconds old. If the host closed its
    listeners at once, the requests of all callers with such a list would fail. If it
    only stopped accepting, requests on open connections would get no answer.

    No other task runs between the last check for requests and the return. The caller
    has to end all tasks before it waits for anything.
    """
    started_at = trio.current_time()
    grace = state.settings.bounds.grace
    signal_at = started_at
    if state.checked_before_signal is not None:
        signal_at = estimate_signal_time(
            started_at, state.checked_before_signal, UPKEEP_PERIOD, grace
        )
    schedule = schedule_shutdown(signal_at, grace)
    exit_in = round(schedule.exits_at - started_at, 3)
    log.bind(**describe_requests(state), exit_in=exit_in).info("leaving")
    state.ingress.is_leaving = True
    state.shutdown = schedule
    update_readiness(state, registration)
    await election.step_down()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_unregister, registration)
        reason = await _wait_until_unneeded(state, schedule)
        nursery.cancel_scope.cancel()
    await _refuse_last_requests(state, schedule)
    log.bind(
        **describe_requests(state),
        reason=reason.value,
        after=round(trio.current_time() - started_at, 3),
    ).info("left")


def describe_requests(state: GatewayState) -> dict[str, int]:
    """Return the requests that are read or served, as log fields."""
    return {
        "requests": state.ingress.requests,
        "relayed": state.relay_ingress.requests,
        **state.served.count_stages(),
    }


async def _unregister(registration: Registration) -> None:
    # The entry was set to not ready before. The delay gives the hosts that read the
    # store time to see this, so that they need not be informed of the removal.
    await trio.sleep(UNREGISTER_TIME)
    with trio.move_on_after(UNREGISTER_TIME):
        await registration.unregister()


async def _wait_until_unneeded(
    state: GatewayState, schedule: ShutdownSchedule
) -> ExitReason:
    serves_until = min(
        schedule.exits_at,
        schedule.started_at
        + ANSWER_TTL_MULTIPLE * compute_address_ttl(state)
        + QUIET_PERIOD,
    )
    closes_at = schedule.exits_at - CLOSING_TIME
    quiet_since = trio.current_time()
    while (now := trio.current_time()) < closes_at:
        if state.ingress.requests + state.relay_ingress.requests > 0:
            quiet_since = now
        # Requests that are refused take less time than is between two checks.
        quiet_since = max(quiet_since, state.served.last_at)
        if now >= schedule.answers_by:
            state.served.prepare_exit()
        if now >= serves_until:
            state.ingress.close_idle_connections()
            is_quiet = now - quiet_since > QUIET_PERIOD
            if is_quiet and not state.left_memories.unfinished:
                return ExitReason.QUIET
        await trio.sleep_until(min(now + POLL_INTERVAL, closes_at))
    return ExitReason.DEADLINE


async def _refuse_last_requests(
    state: GatewayState, schedule: ShutdownSchedule
) -> None:
    """Refuse the requests that still arrive, and wait until all are answered.

    Engine memory of ended streams is freed as well. Streams that run beyond the end of
    the schedule are not waited for.
    """
    now = trio.current_time()
    state.shutdown = schedule.close(now)
    state.ingress.close_idle_connections()
    closes_at = now + CLOSING_TIME
    while True:
        is_closing = trio.current_time() < closes_at
        if not is_closing and not _has_work_left(state, schedule):
            return
        if trio.current_time() >= schedule.answers_by:
            state.served.prepare_exit()
        await trio.sleep(CLOSING_POLL_INTERVAL)


def _has_work_left(state: GatewayState, schedule: ShutdownSchedule) -> bool:
    # With a short grace period, the process is killed soon after its planned exit.
    if trio.current_time() >= schedule.exits_at:
        return False
    requests = state.ingress.requests + state.relay_ingress.requests
    return requests + state.left_memories.unfinished > 0
