"""How a gateway leaves: out of the lists first, gone only when nobody needs it."""

import trio
from loguru import logger as log

from dewridge.gateway.directory import find_answer_ttl
from dewridge.gateway.duties import HolderElection
from dewridge.gateway.hosts import Registration
from dewridge.gateway.state import GatewayState
from dewridge.gateway.upkeep import update_readiness

KEPT_ANSWERS = 3.0
"""Times the time to live that some callers keep a list of addresses."""
EXIT_MARGIN = 0.6
"""Seconds before the kill at which the process ends by itself."""
QUIET = 0.6
"""Seconds without a request after which no caller is left."""
STORE_TIME = 1.0
"""Seconds for taking the registration out of the store."""
LOOK_PERIOD = 0.1


async def leave_fleet(
    state: GatewayState, registration: Registration, tenancy: HolderElection
) -> None:
    """Leave within the grace: serve on while callers may still come.

    Callers act on lists of addresses that are seconds old. A host that closed its
    door at once would fail the requests of all who hold such a list; one that only
    stopped accepting would leave those on open connections without an answer.
    """
    began = trio.current_time()
    last_exit = began + state.settings.bounds.grace - EXIT_MARGIN
    log.bind(requests=state.ingress.requests).info("leaving")
    state.ingress.is_leaving = True
    state.leaves_at = last_exit
    update_readiness(state, registration)
    await tenancy.leave()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_unregister, registration)
        await _wait_until_unneeded(state, began, last_exit)
        nursery.cancel_scope.cancel()
    log.bind(requests=state.ingress.requests).info("left")


async def _unregister(registration: Registration) -> None:
    # The entry goes first as not ready: readers of it need no news of its end.
    await trio.sleep(STORE_TIME)
    with trio.move_on_after(STORE_TIME):
        await registration.leave()


async def _wait_until_unneeded(
    state: GatewayState, began: float, last_exit: float
) -> None:
    serves_until = min(last_exit, began + KEPT_ANSWERS * find_answer_ttl(state) + QUIET)
    quiet_since = trio.current_time()
    while trio.current_time() < last_exit:
        now = trio.current_time()
        if state.ingress.requests > 0:
            quiet_since = now
        if now >= serves_until:
            state.ingress.close_idle()
            if now - quiet_since > QUIET:
                return
        await trio.sleep(LOOK_PERIOD)
