"""The plan in force for a service, from the figures that all hosts share."""

from dewridge.gateway.contention.records import ServicePlan
from dewridge.gateway.state import GatewayState
from dewridge.ids import ServiceName
from dewridge.policy.admissionplan import ServiceLoad, make_plan

PLAN_PERIOD = 0.1
"""Seconds for which a plan is kept: the shortest period of the reports that it is
computed from. A plan for each request would take as long as serving it."""
RATE_PERIOD = 2.0
"""Seconds for which the prefill rate is kept; estimating it sorts 200 samples, and it
changes by a few parts in a hundred within that time."""
MIN_MEAN_WORK = 1e-3
"""Work of a request in seconds of one server that is assumed before any arrived."""


def get_service_plan(
    state: GatewayState, service: ServiceName, now: float
) -> ServicePlan:
    """Return the plan in force, computed anew at most once per `PLAN_PERIOD`."""
    known = state.contention.plans.get(service)
    if known is not None and 0 <= now - known.planned_at < PLAN_PERIOD:
        return known
    load = measure_load(state, service, now)
    plan = ServicePlan(make_plan(load), now, load.servers, load.in_flight, load.slots)
    state.contention.plans[service] = plan
    return plan


def measure_load(state: GatewayState, service: ServiceName, now: float) -> ServiceLoad:
    """Return the load of a service over the hosts that this one hears from.

    A host that is partitioned from others counts their part of the servers as theirs:
    they send requests to all servers as well. The work and the requests in flight of
    hosts that are not heard are not counted either.
    """
    records = [
        record
        for record in state.list_serving(service)
        if not state.pushback.is_withheld(record.id, now)
    ]
    part = state.make_fleet_view().live_share
    contention = state.contention
    configuration = state.configuration.current
    return ServiceLoad(
        in_flight=state.count_in_flight(records),
        slots=sum(record.slots for record in records) * part,
        servers=len(records) * part,
        mean_work=contention.mean_work.get(service, MIN_MEAN_WORK),
        demand=contention.demand.compute_rates(service, now),
        accounts=contention.compute_account_rates(now),
        weights=contention.weights.get(configuration) if configuration else {},
    )


def get_prefill_rate(state: GatewayState, service: ServiceName, now: float) -> float:
    """Return the prefill rate of a service, estimated once per `RATE_PERIOD`."""
    rates = state.contention.prefill_rates
    known = rates.get(service)
    if known is not None and 0 <= now - known[1] < RATE_PERIOD:
        return known[0]
    rate = state.prefill_rate_meters[service].estimate()
    rates[service] = rate, now
    return rate


def estimate_return_of_servers(
    state: GatewayState, service: ServiceName, now: float
) -> float | None:
    """Return the seconds until ordered servers serve, for a service that has none.

    Returns:
        None if this host has not known any server of the service yet: it may only have
        started, and will know them in a moment.
    """
    lost_at = state.contention.last_served_at.get(service)
    if lost_at is None:
        return None
    configuration = state.configuration.current
    known = configuration.services.get(service) if configuration else None
    boot_time = known.scaling.boot_time if known and known.scaling else 0.0
    return max(0.0, lost_at + boot_time - now)
