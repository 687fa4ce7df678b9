"""Work of requests for the engines of a service, and the rate at which it arrives."""

from collections import defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from dewridge.ids import ServiceName
from dewridge.policy.ratemeter import RateMeter

PRIOR_TOKENS_PER_SECOND = 250.0
"""Output tokens per second of one request, assumed before answers were measured: the
rate of an engine that generates a token in 4 ms."""
PRIOR_SAMPLES = 5.0
"""Weight of that assumption, as a number of answers: a host of a large fleet gets as
many answers of a route within a few seconds."""
MAX_SAMPLES = 60
"""Number of most recent answers that are stored: about a minute of a route at a host of
a large fleet, so that the estimate follows a change of the engines."""
FAST_QUANTILE = 0.2
"""Quantile of the times per event that counts as that of an engine without other
prompts. Engines interrupt the output for the prompts of other requests; with the mean,
this time counted twice, and the work of a busy service seemed up to 1.4 times as
large."""
MAX_URGENCY = 3
"""Urgencies from this one on are counted as one class, which bounds the size of
reports."""
DEMAND_WINDOW = 1.0
"""Seconds over which the arriving work is averaged. Reports lag by as much in a large
fleet, and a burst of a few seconds has to show while it lasts."""
MAX_GROWTH_MS = 1_000_000
"""Work in ms that a report may add. A fleet of 100 servers does a hundred times less
between two reports; more can only come from a damaged report."""


@dataclass(slots=True)
class OutputTimeMeter:
    """Seconds that an engine takes for the output of a request, on one route."""

    _samples: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    _measured: float | None = None

    def add_sample(self, seconds: float, events: int) -> None:
        """Add an answer: the time from its first to its last event, and its events."""
        if seconds > 0 and events > 1:
            self._samples.append((seconds / (events - 1), events - 1))
            self._measured = None

    def estimate(self, output_tokens: int) -> float:
        """Return the time, close to the prior for this size while samples are few."""
        count = len(self._samples)
        prior = output_tokens / PRIOR_TOKENS_PER_SECOND
        if not count:
            return prior
        if self._measured is None:
            self._measured = self._measure()
        weight = count / (count + PRIOR_SAMPLES)
        return prior + weight * (self._measured - prior)

    def _measure(self) -> float:
        by_time = sorted(time_per_event for time_per_event, _ in self._samples)
        mean_events = sum(events for _, events in self._samples) / len(by_time)
        return by_time[int(FAST_QUANTILE * len(by_time))] * mean_events


def compute_work(
    prompt_tokens: int, prefill_rate: float, output_seconds: float, slots: int
) -> float:
    """Return the work of a request, in seconds of one server.

    Args:
        prompt_tokens: tokens of the prompt, including cached ones: the prefill rate
            is measured with them too.
        prefill_rate: prompt tokens per second of an otherwise idle engine.
        output_seconds: seconds from the first event to the end.
        slots: requests that an engine runs concurrently.
    """
    return prompt_tokens / max(1.0, prefill_rate) + output_seconds / max(1, slots)


def get_urgency_class(urgency: int) -> int:
    """Return the class in which the work of a route is counted."""
    return min(max(urgency, 0), MAX_URGENCY)


def make_demand_key(service: ServiceName, urgency: int) -> str:
    """Return the key `SERVICE/URGENCY` of a class in reports."""
    return f"{service}/{get_urgency_class(urgency)}"


def parse_demand_key(key: str) -> tuple[ServiceName, int] | None:
    """Return service and urgency class of a key; None if it is malformed."""
    service, _, urgency = key.rpartition("/")
    if not service or urgency not in {str(at) for at in range(MAX_URGENCY + 1)}:
        return None
    return ServiceName(service), int(urgency)


@dataclass
class WorkDemand:
    """Rate of the work that arrives at all hosts, by service and urgency class.

    Attributes:
        local_totals: work in seconds that arrived at this host since its start, by key.
    """

    local_totals: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    _meters: dict[ServiceName, dict[int, RateMeter]] = field(
        default_factory=lambda: defaultdict(dict)
    )

    def record_local(
        self, service: ServiceName, urgency: int, work: float, now: float
    ) -> None:
        """Count the work of a request that arrived at this host."""
        self.local_totals[make_demand_key(service, urgency)] += work
        self._add(service, get_urgency_class(urgency), work, now)

    def record_remote(self, key: str, milliseconds: float, now: float) -> bool:
        """Count work that arrived at other hosts; False if the key is malformed."""
        parsed = parse_demand_key(key)
        if parsed is None:
            return False
        self._add(*parsed, milliseconds / 1000, now)
        return True

    def compute_rates(self, service: ServiceName, now: float) -> dict[int, float]:
        """Return the work per second that arrives for a service, by urgency class."""
        meters = self._meters.get(service, {})
        return {
            urgency: meter.compute_rate(now)
            for urgency, meter in sorted(meters.items())
        }

    def list_totals_ms(self) -> dict[str, int]:
        """Return this host's totals in ms, for reports."""
        return {key: round(total * 1000) for key, total in self.local_totals.items()}

    def retain(self, services: Mapping[ServiceName, object]) -> None:
        """Forget services that are no longer configured."""
        for service in [known for known in self._meters if known not in services]:
            del self._meters[service]
        self.local_totals = defaultdict(
            float,
            {
                key: total
                for key, total in self.local_totals.items()
                if key.rpartition("/")[0] in services
            },
        )

    def _add(self, service: ServiceName, urgency: int, work: float, now: float) -> None:
        meters = self._meters[service]
        if urgency not in meters:
            meters[urgency] = RateMeter(DEMAND_WINDOW)
        meters[urgency].add(work, now)
