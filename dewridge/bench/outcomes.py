"""What became of each request, and figures over many."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from dewridge.configuration.model import LatencyTargets
from dewridge.policy.model import Work, WorkClass


class Outcome(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    EXPIRED = "expired"
    FAILED = "failed"
    """Outcome unknown, or ended without an answer after an attempt ran."""
    UNANSWERED = "unanswered"
    """Still waiting when the run was cut."""


@dataclass(slots=True, eq=False)
class Record:
    """One request from its arrival to what its caller heard.

    Attributes:
        size: tokens of its answer.
        tokens: tokens that the caller got.
        cost: money for the slots that it held, lost attempts included.
    """

    service: str
    work: Work
    size: int
    targets: LatencyTargets
    outcome: Outcome | None = None
    first_token: float | None = None
    latency: float = 0.0
    tokens: int = 0
    recomputed: int = 0
    cost: float = 0.0

    def note_first_token(self, now: float) -> None:
        """Record when the caller saw something first."""
        if self.first_token is None:
            self.first_token = now - self.work.arrival

    def end(self, outcome: Outcome, now: float) -> None:
        """Record the end."""
        self.outcome = outcome
        self.latency = now - self.work.arrival

    @property
    def ended_at(self) -> float:
        """Return when it ended."""
        return self.work.arrival + self.latency

    @property
    def is_in_target(self) -> bool:
        """Whether the whole answer came in time.

        By its deadline; of interactive work also within the profile's target,
        for a model's answer counted to the first token.
        """
        if self.outcome is not Outcome.ANSWERED:
            return False
        if self.ended_at > self.work.deadline:
            return False
        if self.work.work_class is WorkClass.BACKGROUND:
            return True
        if self.size <= 1:
            return self.latency <= self.targets.whole_answer
        return (self.first_token or 0.0) <= self.targets.first_token


@dataclass(frozen=True, slots=True)
class Summary:
    """Figures over the records of a run.

    Attributes:
        in_target: part of the arrivals answered within target.
        work_in_target: generated tokens of those answers.
        cost: money an answer within target.
        recomputed: tokens computed again.
        first_token: 95th percentile by class, seconds.
        refused: part of the arrivals that were refused or given up.
        told: 95th percentile of the time until those callers were told.
    """

    arrivals: int
    in_target: float
    work_in_target: float
    cost: float
    recomputed: float
    first_token: dict[str, float]
    latency: dict[str, float]
    refused: float
    told: float
    failed: float


def find_percentile(values: Iterable[float], part: float = 0.95) -> float:
    """Return a percentile by rank; 0 of nothing."""
    ranked = sorted(values)
    if not ranked:
        return 0.0
    return ranked[min(len(ranked) - 1, int(part * len(ranked)))]


def summarize(records: Sequence[Record]) -> Summary:
    """Work out the figures of a run."""
    good = [record for record in records if record.is_in_target]
    told = [
        record.latency
        for record in records
        if record.outcome in (Outcome.REFUSED, Outcome.EXPIRED)
    ]
    firsts: dict[str, list[float]] = defaultdict(list)
    latencies: dict[str, list[float]] = defaultdict(list)
    for record in records:
        if record.first_token is not None:
            firsts[record.work.work_class.value].append(record.first_token)
        if record.outcome is Outcome.ANSWERED:
            latencies[record.work.work_class.value].append(record.latency)
    total = max(1, len(records))
    return Summary(
        arrivals=len(records),
        in_target=len(good) / total,
        work_in_target=sum(record.tokens for record in good),
        cost=sum(record.cost for record in records) / max(1, len(good)),
        recomputed=sum(record.recomputed for record in records),
        first_token={name: find_percentile(v) for name, v in firsts.items()},
        latency={name: find_percentile(v) for name, v in latencies.items()},
        refused=len(told) / total,
        told=find_percentile(told),
        failed=sum(r.outcome is Outcome.FAILED for r in records) / total,
    )
