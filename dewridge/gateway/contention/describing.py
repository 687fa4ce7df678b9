"""What logs and dumps show of the admission of requests."""

from typing import Any

from dewridge.gateway.jobs import Job
from dewridge.gateway.state import GatewayState


def describe_admission(job: Job | None) -> dict[str, float]:
    """Return the log fields of a request that was subject to a plan."""
    if job is None or job.admission_share is None:
        return {}
    return {"admission_share": round(job.admission_share, 3)}


def describe_plans(state: GatewayState, now: float) -> dict[str, Any]:
    """Return the plan in force for each service, for a dump of the state."""
    contention = state.contention
    return {
        service: {
            "age_seconds": round(now - known.planned_at, 3),
            "is_contended": known.plan.is_contended,
            "in_flight": known.in_flight,
            "slots": round(known.slots, 1),
            "servers": round(known.servers, 1),
            "capacity": round(known.plan.capacity, 2),
            "demand": _round(contention.demand.compute_rates(service, now)),
            "class_shares": _round(known.plan.class_shares),
            "account_shares": {
                str(urgency): _round(shares)
                for urgency, shares in known.plan.account_shares.items()
            },
        }
        for service, known in contention.plans.items()
    }


def _round(figures: Any) -> dict[str, float]:
    return {str(name): round(figure, 3) for name, figure in figures.items()}
