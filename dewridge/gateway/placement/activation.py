"""Whether prompts of a service are placed by expected time."""

from dewridge.gateway.state import GatewayState
from dewridge.ids import ServiceName


def is_enabled(state: GatewayState, service: ServiceName) -> bool:
    """Return whether prompts of a service are placed by expected time.

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
