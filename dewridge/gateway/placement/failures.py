"""Failure shares of servers over the attempts of all hosts."""

from dewridge.gateway.reports import TENTHS_PER_ATTEMPT, ZERO_SERVER_TOTALS
from dewridge.gateway.sharing import FleetSummary
from dewridge.ids import BackendServerId
from dewridge.policy.serverhealth import ServerHealth, compute_failure_share


def compute_fleet_failure_share(
    server: BackendServerId, health: ServerHealth, others: FleetSummary, now: float
) -> float | None:
    """Return the share of all hosts' recent attempts at a server that failed.

    Returns:
        None if there were too few attempts to tell.
    """
    elsewhere = others.server_totals.get(server, ZERO_SERVER_TOTALS)
    attempts, failures = health.recent.read(now)
    return compute_failure_share(
        elsewhere.attempts / TENTHS_PER_ATTEMPT + attempts,
        elsewhere.failures / TENTHS_PER_ATTEMPT + failures,
    )
