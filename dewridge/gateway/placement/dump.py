"""State of the placement by expected time in an operator's dump."""

from typing import Any

from dewridge.gateway.placement.activation import is_chosen
from dewridge.gateway.placement.loads import open_loads, read_speed
from dewridge.gateway.state import GatewayState
from dewridge.ids import BackendServerId


def describe_placement(state: GatewayState) -> list[dict[str, Any]]:
    """Return what has been learned of each service."""
    described = []
    for service, figures in sorted(state.placement.services.items()):
        speed = read_speed(state, service)
        servers = len(state.servers.list_service(service))
        described.append(
            {
                "service": service,
                "is_by_expected_time": is_chosen(state, service, servers),
                "samples": figures.speed.samples,
                "prefill_tokens_per_second": round(speed.prefill_rate),
                "fixed_seconds": round(speed.fixed_time, 4),
                "run_seconds": round(speed.run_time, 3),
                "request_tokens": round(speed.request_tokens),
                "prompt_tokens": round(figures.prompt_tokens),
            }
        )
    return described


def describe_server_pace(
    state: GatewayState, server: BackendServerId, now: float
) -> float:
    """Return the factor by which a server takes longer than usual."""
    return round(open_loads(state, now).read_pace(server), 3)


def describe_load_probe(
    state: GatewayState, server: BackendServerId, now: float
) -> dict[str, Any]:
    """Return the last answer of a server to a load probe, and failures since then."""
    record = state.placement.probes.get(server)
    if record is None:
        return {}
    described: dict[str, Any] = {
        "failures": record.failures,
        "is_paused": record.is_paused(now),
    }
    if record.answer is not None:
        described["requests"] = record.answer.requests
        described["prompts"] = record.answer.prompts
        described["age_seconds"] = round(now - record.answer.received_at, 3)
    return described
