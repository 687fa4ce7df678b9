"""Regular work of a gateway on its own state."""

import trio

from dewridge.gateway.hosts import Registration
from dewridge.gateway.state import GatewayState

PERIOD = 0.25
"""Seconds between two looks: readiness is asked for each second."""
STARTING_PERIOD = 0.02
"""Seconds between two looks until the host is ready for the first time: after a loss of
power each tenth of a second is one without any host."""
UNREADY_AFTER = 1.5
"""Seconds without an answer of the store after which callers are sent elsewhere: two
renewals in a row have failed. Waiting until keys are refused would send callers here
for the seconds that they keep their lists."""
FORGET_EVERY = 8
"""Periods between two clean-ups."""


async def run_upkeep(state: GatewayState, registration: Registration) -> None:
    """Keep readiness, limits in force and memory in order, for ever."""
    rounds = 0
    while not state.is_ready:
        update_readiness(state, registration)
        update_limits(state)
        await trio.sleep(STARTING_PERIOD)
    while True:
        update_readiness(state, registration)
        update_limits(state)
        rounds += 1
        if rounds % FORGET_EVERY == 0:
            state.forget_old()
        await trio.sleep(PERIOD)


def update_readiness(state: GatewayState, registration: Registration) -> None:
    """Count this host as ready while it can judge requests and is to stay."""
    is_ready = (
        state.configuration.is_trusted
        and not state.ingress.is_leaving
        and registration.unanswered_for < UNREADY_AFTER
    )
    state.is_ready = is_ready
    registration.set_ready(is_ready)


def update_limits(state: GatewayState) -> None:
    """Put the bounds of the configuration in force into force for callers."""
    configuration = state.configuration.current
    if configuration is not None:
        state.ingress.limits = configuration.limits
        state.ingress.idle_timeout = state.configuration.idle_timeout
