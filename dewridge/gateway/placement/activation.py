"""Whether prompts of a service are placed by expected time."""

from dewridge.gateway.state import GatewayState
from dewridge.ids import ServiceName
from dewridge.policy.choice import MAX_STALENESS

MIN_SERVERS = 12
"""Servers from which `auto` places by expected time although reports are fresh. With
fewer, `place_prompt` compares all of them at little cost and is as good or better: in
replays with reports 0.15 s old, 4.7% of the answers were late with three servers, and
9.2% by expected time; with nine servers there was no clear difference, and with fifteen
fewer were late by expected time."""


def is_enabled(state: GatewayState, service: ServiceName) -> bool:
    """Return whether prompts of a service may be placed by expected time.

    `auto` enables it for engines with a memory limit. Nothing else is placed that way:
    a plain service has no prompts.
    """
    setting = state.settings.decisions.placement
    if setting == "token_load":
        return False
    configuration = state.configuration.current
    known = configuration.services.get(service) if configuration else None
    if known is None or known.engine is None:
        return False
    return setting == "expected_time" or known.engine.memory_tokens > 0


def is_chosen(state: GatewayState, service: ServiceName, servers: int) -> bool:
    """Return whether to place a prompt by expected time now.

    Args:
        state: the state of this host.
        service: the service of the prompt.
        servers: number of servers that the service has.
    """
    if not is_enabled(state, service):
        return False
    if state.settings.decisions.placement == "expected_time":
        return True
    return servers >= MIN_SERVERS or state.sharing.staleness > MAX_STALENESS
