"""Loads of single servers as known to this host, each read in constant time."""

from dataclasses import dataclass

from dewridge.gateway.model import ServerRecord
from dewridge.gateway.placement.failures import compute_fleet_failure_share
from dewridge.gateway.placement.table import ServiceFigures
from dewridge.gateway.reports import TENTHS_PER_ATTEMPT, ZERO_SERVER_TOTALS
from dewridge.gateway.sharing import FleetSummary
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


@dataclass(frozen=True, slots=True)
class LoadReader:
    """Reads the loads of servers at one moment.

    Attributes:
        state: the state of this host.
        others: sums over the other hosts.
        staleness: seconds by which these may lag.
        now: monotonic time.
    """

    state: GatewayState
    others: FleetSummary
    staleness: float
    now: float

    def read_load(self, record: ServerRecord, *, is_holder: bool = False) -> ServerLoad:
        """Return the load of a server from all hosts, and its pace."""
        elsewhere = self.others.server_totals.get(record.id, ZERO_SERVER_TOTALS)
        work = self.state.work_in_flight
        return ServerLoad(
            id=record.id,
            requests=max(0, elsewhere.requests + work.requests.get(record.id, 0)),
            unprocessed_tokens=elsewhere.tokens + work.tokens.get(record.id, 0),
            slots=record.slots,
            pace=self.read_pace(record.id),
            is_holder=is_holder,
        )

    def read_pace(self, server: BackendServerId) -> float:
        """Return the pace of a server from the samples of all hosts."""
        elsewhere = self.others.server_totals.get(server, ZERO_SERVER_TOTALS)
        reported = ReportedPace(
            elsewhere.pace_samples / TENTHS_PER_ATTEMPT,
            elsewhere.pace_sum / TENTHS_PER_ATTEMPT,
        )
        own = self.state.placement.paces.get(server)
        return combine_pace(own, reported, self.staleness, self.now)

    def is_usable(self, record: ServerRecord, median_share: float) -> bool:
        """Whether the server may get work while other servers can take it too."""
        health = self.state.get_health(record.id)
        share = compute_fleet_failure_share(record.id, health, self.others, self.now)
        return health.is_usable(self.now, share, median_share)

    def find_median_share(
        self, figures: ServiceFigures, records: list[ServerRecord]
    ) -> float:
        """Return the median failure share of a service's servers, cached for 1 s."""
        if 0 <= self.now - figures.median_computed_at < MEDIAN_CACHE_TIME:
            return figures.median_share
        shares = []
        for record in records:
            health = self.state.get_health(record.id)
            share = compute_fleet_failure_share(
                record.id, health, self.others, self.now
            )
            shares.append(health.failure_share if share is None else share)
        figures.median_share = compute_median(shares)
        figures.median_computed_at = self.now
        return figures.median_share


def open_loads(state: GatewayState, now: float) -> LoadReader:
    """Return a reader of the loads at this moment."""
    others = state.sharing.get_summary(now)
    return LoadReader(state, others, compute_staleness(state, now), now)


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
