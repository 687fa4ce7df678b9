"""Simulates a deployment under a list of arrivals, with faults."""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

from dewridge.bench.deployments import Arrival, Deployment
from dewridge.bench.outcomes import Outcome, Record
from dewridge.bench.services import ServiceSimulation
from dewridge.bench.timeline import Timeline
from dewridge.configuration.model import Profile

DRAIN_SECONDS = 130.0
"""Time after the last arrival at which the run is stopped."""


@dataclass(frozen=True, slots=True)
class Reclaim:
    """Servers that the provider reclaims at a time.

    Attributes:
        domains: failure domains that lose all reclaimable servers; if empty, the
            first half of the fleet is reclaimed.
    """

    at: float
    domains: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Slowdown:
    """Slowdown of one server of each service from a time on."""

    at: float
    factor: float = 10.0


class Simulation:
    """Simulates arrivals at a deployment whose services use one profile."""

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
        self.service_simulations = {
            spec.name: ServiceSimulation(
                self._timeline,
                spec=spec,
                profile=profile,
                servers=spec.make_servers(scale),
                hosts=hosts,
                seed=seed,
            )
            for spec in deployment.services
        }
        self.records: list[Record] = []
        for arrival in arrivals:
            self._add_arrival(arrival, profile)
        for service in self.service_simulations.values():
            self._timeline.schedule(0.0, service.publish_loads)
            if slowdown is not None:
                self._timeline.schedule(
                    slowdown.at, partial(service.slow_down, slowdown.factor)
                )
            for reclaim in reclaims:
                self._timeline.schedule(
                    reclaim.at, partial(service.reclaim, reclaim.domains)
                )
        last_arrival = arrivals[-1].work.arrival if arrivals else 0.0
        self._stop_at = last_arrival + DRAIN_SECONDS

    def _add_arrival(self, arrival: Arrival, profile: Profile) -> None:
        record = Record(
            arrival.service, arrival.work, arrival.answer_tokens, profile.targets
        )
        self.records.append(record)
        service = self.service_simulations[arrival.service]
        self._timeline.schedule(
            arrival.work.arrival, lambda: service.handle_arrival(arrival, record)
        )

    @property
    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self._timeline.now

    def run(self) -> list[Record]:
        """Run until all requests have ended or `DRAIN_SECONDS` after the last arrival.

        Returns:
            The records of all requests.
        """
        check_at = 0.0
        while self._timeline.run_next(self._stop_at):
            if self.now >= check_at:
                check_at = self.now + 1.0
                if all(record.outcome is not None for record in self.records):
                    break
        for record in self.records:
            if record.outcome is None:
                record.complete(Outcome.UNANSWERED, self._stop_at)
        return self.records
