"""Rate at which queued work is dispatched, measured while there is a backlog."""

import math

AVERAGING_SECONDS = 10.0
"""Time constant of the average. An entry host may dispatch as little as one long
request per second; with a shorter time, a single one of them would make admission
alternate between refusing everything and admitting too much."""


class DispatchRateMeter:
    """Averages the cost dispatched per second and credit while there is a backlog.

    The rate is per credit and not a total, so that the estimate changes immediately
    when servers are reclaimed or suspended. With a total, requests would be admitted
    for departed servers until the average had adapted.
    """

    def __init__(self) -> None:
        self._dispatched_cost = 0.0
        self._credit_seconds = 0.0
        self._observed_time = 0.0
        self._credits = 0.0
        self._backlog_since: float | None = None

    def record_backlog(self, has_backlog: bool, credits: float, now: float) -> None:
        """Record whether there is a backlog from now on, and the number of credits."""
        if self._backlog_since is not None:
            self._advance(now - self._backlog_since)
        self._backlog_since = now if has_backlog else None
        self._credits = credits

    def record_dispatch(self, cost: float) -> None:
        """Record the cost of dispatched work; counts only while there is a backlog."""
        if self._backlog_since is not None:
            self._dispatched_cost += cost

    def estimate_rate(self, credits: float, prior_rate: float) -> float:
        """Return the cost dispatched per second with a number of credits.

        Args:
            credits: the number of credits.
            prior_rate: expected cost per second and credit, which replaces the
                measurement for the time that has not been observed yet.
        """
        prior_weight = (
            max(0.0, AVERAGING_SECONDS - self._observed_time) / AVERAGING_SECONDS
        )
        observed = (
            self._dispatched_cost / self._credit_seconds
            if self._credit_seconds
            else 0.0
        )
        return credits * (prior_rate * prior_weight + observed * (1 - prior_weight))

    def _advance(self, elapsed: float) -> None:
        if elapsed <= 0:
            return
        decay = math.exp(-elapsed / AVERAGING_SECONDS)
        self._dispatched_cost *= decay
        self._credit_seconds *= decay
        self._credit_seconds += elapsed * max(self._credits, 1e-6)
        self._observed_time = self._observed_time * decay + elapsed
