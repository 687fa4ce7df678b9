"""Retries of requests at servers: the budget of each service, and what used it."""

import math
from collections.abc import Callable
from enum import Enum
from typing import Any

from loguru import logger as log

from dewridge.ids import ServiceName
from dewridge.metrics.registry import Metrics
from dewridge.policy.retrybudget import RetryBudget
from dewridge.settings.gateway import GatewayBounds

RETRIES_METRIC = "retries_total"
REFUSED_RETRIES_METRIC = "retries_refused_total"
LOG_PERIOD = 1.0
"""Seconds between two lines about a service. While servers reject, a budget is used up
again with nearly every retry that it earns."""


class RetryCause(Enum):
    """Why a request is sent to a server once more; the value is a metric's label."""

    REJECTED = "rejected"
    """The server did not run it."""
    LOST = "lost"
    """The attempt failed, or its answer was interrupted."""
    MOVED = "moved"
    """A running stream was stopped to continue at another server."""
    RETURNED = "returned"
    """The server that a stream was moved to rejected it."""


class RetryBudgets:
    """The retry budgets of this host, by service."""

    def __init__(
        self,
        bounds: GatewayBounds,
        count_hosts: Callable[[float], int | None],
        metrics: Metrics,
        started_at: float,
    ) -> None:
        """Create budgets without use.

        Args:
            bounds: the operators' bounds.
            count_hosts: returns the number of hosts that share a budget at a monotonic
                time; None while they are not known.
            metrics: counts the retries.
            started_at: monotonic time at which this process started.
        """
        self._bounds = bounds
        self._count_hosts = count_hosts
        self._metrics = metrics
        self._started_at = started_at
        self._by_service: dict[ServiceName, RetryBudget] = {}
        self._logged_at: dict[ServiceName, float] = {}

    def apply_bounds(self, bounds: GatewayBounds) -> None:
        """Apply changed bounds; what was used stays used."""
        self._bounds = bounds
        for budget in self._by_service.values():
            budget.ratio = bounds.retry_ratio
            budget.slack = bounds.retry_slack
            budget.window = bounds.retry_window

    def record_first_attempt(self, service: ServiceName, now: float) -> None:
        """Count a request that is sent for the first time."""
        self._get(service).record_first_attempt(now, self._count_hosts(now))

    def acquire(
        self,
        service: ServiceName,
        cause: RetryCause,
        now: float,
        remainder: float = 0.0,
    ) -> bool:
        """Use one retry of a service's budget; returns False if none is left.

        See `RetryBudget.acquire` for `remainder`.
        """
        hosts = self._count_hosts(now)
        is_granted = self._get(service).acquire(now, hosts, remainder)
        if is_granted:
            self._metrics.add(RETRIES_METRIC, service=service, cause=cause.value)
        else:
            self._metrics.add(REFUSED_RETRIES_METRIC, service=service)
            self._log_refusal(service, hosts, now)
        return is_granted

    def describe(self, now: float) -> dict[str, dict[str, Any]]:
        """Return each service's budget, for a dump of the state."""
        hosts = self._count_hosts(now)
        return {
            service: self._describe(service, hosts, now) for service in self._by_service
        }

    def _get(self, service: ServiceName) -> RetryBudget:
        if service not in self._by_service:
            bounds = self._bounds
            self._by_service[service] = RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
                filled_at=self._started_at,
            )
        return self._by_service[service]

    def _describe(
        self, service: ServiceName, hosts: int | None, now: float
    ) -> dict[str, float | None]:
        budget = self._get(service)
        return {
            "retries": budget.count_retries(now),
            "left": round(budget.level, 2),
            "first_attempts": budget.count_first_attempts(now),
            "hosts": hosts,
            "running_seconds": round(now - self._started_at, 2),
        }

    def _log_refusal(self, service: ServiceName, hosts: int | None, now: float) -> None:
        if now - self._logged_at.get(service, -math.inf) < LOG_PERIOD:
            return
        self._logged_at[service] = now
        details = self._describe(service, hosts, now)
        log.bind(service=service, **details).info("retry budget used up")
