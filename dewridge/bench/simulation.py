"""A whole run: arrivals against a deployment, with its faults."""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

from dewridge.bench.deployments import Arrival, Deployment
from dewridge.bench.outcomes import Outcome, Record
from dewridge.bench.services import ServiceRun
from dewridge.bench.timeline import Timeline
from dewridge.configuration.model import Profile

DRAIN = 130.0
"""Seconds after the last arrival until the run is cut."""


@dataclass(frozen=True, slots=True)
class Reclaim:
    """Servers that are taken back at a time.

    Attributes:
        domains: failure domains that lose all reclaimable servers; empty: the
            first half of the fleet.
    """

    at: float
    domains: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Slowdown:
    """One server of each service that gets slower at a time."""

    at: float
    factor: float = 10.0


class Simulation:
    """Runs arrivals against a deployment under one profile a service."""

    def __init__(
        self,
        deployment: Deployment,
        arrivals: Sequence[Arrival],
        profile: Profile,
        *,
        scale: int = 1,
        seed: int = 0,
        slowdown: Slowdown | None = None,
        reclaims: Sequence[Reclaim] = (),
    ) -> None:
        self._timeline = Timeline(deployment.delay)
        hosts = deployment.hosts * scale
        self.runs = {
            shape.name: ServiceRun(
                self._timeline,
                shape=shape,
                profile=profile,
                servers=shape.make_servers(scale),
                hosts=hosts,
                seed=seed,
            )
            for shape in deployment.services
        }
        self.records: list[Record] = []
        for arrival in arrivals:
            self._add_arrival(arrival, profile)
        for run in self.runs.values():
            self._timeline.schedule(0.0, run.publish_loads)
            if slowdown is not None:
                self._timeline.schedule(
                    slowdown.at, partial(run.slow_down, slowdown.factor)
                )
            for reclaim in reclaims:
                self._timeline.schedule(
                    reclaim.at, partial(run.reclaim, reclaim.domains)
                )
        last = arrivals[-1].work.arrival if arrivals else 0.0
        self._end_at = last + DRAIN

    def _add_arrival(self, arrival: Arrival, profile: Profile) -> None:
        record = Record(arrival.service, arrival.work, arrival.tokens, profile.targets)
        self.records.append(record)
        run = self.runs[arrival.service]
        self._timeline.schedule(
            arrival.work.arrival, lambda: run.arrive(arrival, record)
        )

    @property
    def now(self) -> float:
        """Return the time."""
        return self._timeline.now

    def run(self) -> list[Record]:
        """Run until all requests have ended, and return their records."""
        check_at = 0.0
        while self._timeline.step(self._end_at):
            if self.now >= check_at:
                check_at = self.now + 1.0
                if all(record.outcome is not None for record in self.records):
                    break
        for record in self.records:
            if record.outcome is None:
                record.end(Outcome.UNANSWERED, self._end_at)
        return self.records
