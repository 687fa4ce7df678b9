"""Periodic maintenance of a gateway's state."""

from dataclasses import replace

import trio

from dewridge.gateway.hosts import Registration
from dewridge.gateway.state import MAX_RELAYED_HEAD_BYTES, GatewayState

UPKEEP_PERIOD = 0.25
"""Seconds between two updates of readiness, which is queried each second."""
STARTUP_PERIOD = 0.02
"""Seconds between two updates until the host is ready for the first time. After a power
loss of all hosts, callers have no host until then, so each 0.1 s counts."""
UNREADY_AFTER = 1.5
"""Seconds without an answer of the store after which callers are sent to other hosts,
since two consecutive renewals have failed. If the host stayed ready until it refuses
keys, callers would still be sent here for the seconds that they keep their lists."""
PERIODS_PER_CLEANUP = 8
"""Periods between two removals of expired data."""


async def run_upkeep(state: GatewayState, registration: Registration) -> None:
    """Update readiness and limits, and remove expired data, indefinitely."""
    rounds = 0
    while not state.is_ready:
        state.stalls.check()
        update_readiness(state, registration)
        update_limits(state)
        await trio.sleep(STARTUP_PERIOD)
    while True:
        update_readiness(state, registration)
        update_limits(state)
        state.stalls.check()
        state.check_silent_services()
        state.versions.check_replicas()
        now = trio.current_time()
        state.unknown_servers.drop_known(now)
        state.unknown_servers.log_overdue(now, state.versions.view.age)
        rounds += 1
        if rounds % PERIODS_PER_CLEANUP == 0:
            state.drop_expired()
        await trio.sleep(UPKEEP_PERIOD)


def update_readiness(state: GatewayState, registration: Registration) -> None:
    """Mark this host as ready while it can check requests and is not leaving."""
    is_ready = (
        state.configuration.is_trusted
        and not state.ingress.is_leaving
        and registration.seconds_since_answer < UNREADY_AFTER
    )
    state.is_ready = is_ready
    registration.set_ready(is_ready)


def update_limits(state: GatewayState) -> None:
    """Apply the limits of the configuration in force to callers."""
    configuration = state.configuration.current
    if configuration is not None:
        state.ingress.limits = configuration.limits
        state.relay_ingress.limits = replace(
            configuration.limits, head_bytes=MAX_RELAYED_HEAD_BYTES
        )
        state.ingress.idle_timeout = state.configuration.idle_timeout
