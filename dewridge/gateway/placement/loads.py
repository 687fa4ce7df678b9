"""Loads of single servers as known to this host, read in constant time."""

from dewridge.gateway.model import ServerRecord
from dewridge.gateway.placement.failures import compute_fleet_failure_share
from dewridge.gateway.placement.table import ServiceFigures
from dewridge.gateway.reports import TENTHS_PER_ATTEMPT, ZERO_SERVER_TOTALS
from dewridge.gateway.state import GatewayState
from dewridge.ids import BackendServerId, ServiceName
from dewridge.policy.expectedtime import ServerLoad, ServiceSpeed
from dewridge.policy.serverhealth import compute_median
from dewridge.policy.serverpace import ReportedPace, combine_pace

MEDIAN_CACHE_TIME = 1.0
"""Seconds for which the median failure share of a service is reused: half of the time
in which the weight of an outcome halves."""
MAX_STALENESS = 3.0
"""Largest staleness in seconds that is told apart; older figures say nothing."""


def read_load(
    state: GatewayState, record: ServerRecord, now: float, *, is_holder: bool = False
) -> ServerLoad:
    """Return the load of a server from all hosts, and its pace."""
    elsewhere = state.sharing.get_summary(now).server_totals.get(
        record.id, ZERO_SERVER_TOTALS
    )
    work = state.work_in_flight
    return ServerLoad(
        id=record.id,
        requests=max(0, elsewhere.requests + work.requests.get(record.id, 0)),
        unprocessed_tokens=elsewhere.tokens + work.tokens.get(record.id, 0),
        slots=record.slots,
        pace=read_pace(state, record.id, now),
        is_holder=is_holder,
    )


def read_pace(state: GatewayState, server: BackendServerId, now: float) -> float:
    """Return the pace of a server from the samples of all hosts."""
    elsewhere = state.sharing.get_summary(now).server_totals.get(
        server, ZERO_SERVER_TOTALS
    )
    return combine_pace(
        state.placement.paces.get(server),
        ReportedPace(
            elsewhere.pace_samples / TENTHS_PER_ATTEMPT,
            elsewhere.pace_sum / TENTHS_PER_ATTEMPT,
        ),
        compute_staleness(state, now),
        now,
    )


def compute_staleness(state: GatewayState, now: float) -> float:
    """Return the seconds by which the figures of other hosts may lag.

    It grows with the age of the newest report, so that without reports the expected
    times of the servers are told apart by larger differences only.
    """
    sharing = state.sharing
    if not sharing.cell_peers and not sharing.cells:
        return sharing.staleness
    age = max(0.0, now - sharing.last_report_at)
    return max(sharing.staleness, min(MAX_STALENESS, age))


def read_speed(state: GatewayState, service: ServiceName) -> ServiceSpeed:
    """Return the speed of a service's engines as learned from this host's answers."""
    meter = state.placement.get_figures(service).speed
    rate, fixed_time = meter.estimate()
    configuration = state.configuration.current
    known = configuration.services.get(service) if configuration else None
    engine = known.engine if known else None
    return ServiceSpeed(
        prefill_rate=rate,
        fixed_time=fixed_time,
        run_time=meter.run_time,
        memory_tokens=engine.memory_tokens if engine else 0,
        request_tokens=meter.request_tokens,
    )


def is_usable(
    state: GatewayState, record: ServerRecord, median_share: float, now: float
) -> bool:
    """Whether the server may get work while other servers can take it too."""
    health = state.get_health(record.id)
    others = state.sharing.get_summary(now)
    share = compute_fleet_failure_share(record.id, health, others, now)
    return health.is_usable(now, share, median_share)


def find_median_share(
    state: GatewayState,
    figures: ServiceFigures,
    records: list[ServerRecord],
    now: float,
) -> float:
    """Return the median failure share of a service's servers, cached for a second."""
    if 0 <= now - figures.median_computed_at < MEDIAN_CACHE_TIME:
        return figures.median_share
    others = state.sharing.get_summary(now)
    shares = []
    for record in records:
        health = state.get_health(record.id)
        share = compute_fleet_failure_share(record.id, health, others, now)
        shares.append(health.failure_share if share is None else share)
    figures.median_share = compute_median(shares)
    figures.median_computed_at = now
    return figures.median_share
