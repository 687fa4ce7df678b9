"""Outcomes of simulated requests, and summary figures."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from dewridge.configuration.model import LatencyTargets
from dewridge.policy.model import Work, WorkClass


class Outcome(Enum):
    """Outcome of a request as its caller sees it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    EXPIRED = "expired"
    FAILED = "failed"
    """The outcome is unknown, or the request failed after an attempt ran."""
    UNANSWERED = "unanswered"
    """Still incomplete when the run was stopped."""


@dataclass(slots=True, eq=False)
class Record:
    """A request from its arrival to its completion or failure.

    Attributes:
        answer_tokens: tokens of the full answer.
        tokens: tokens that the caller received.
        cost: price of the slots that it occupied, lost attempts included.
    """

    service: str
    work: Work
    answer_tokens: int
    targets: LatencyTargets
    outcome: Outcome | None = None
    first_token: float | None = None
    latency: float = 0.0
    tokens: int = 0
    recomputed_tokens: int = 0
    cost: float = 0.0

    def record_first_token(self, now: float) -> None:
        """Record the time of the first token, unless there was one before."""
        if self.first_token is None:
            self.first_token = now - self.work.arrival

    def complete(self, outcome: Outcome, now: float) -> None:
        """Record the outcome and the latency."""
        self.outcome = outcome
        self.latency = now - self.work.arrival

    @property
    def completed_at(self) -> float:
        """Return the time of completion or failure."""
        return self.work.arrival + self.latency

    @property
    def is_in_target(self) -> bool:
        """Whether the request was answered within its deadline and target.

        Background work only has to meet its deadline. Interactive work also has to
        meet the profile's latency target: to the first token for a streamed answer,
        else to the complete answer.
        """
        if self.outcome is not Outcome.ANSWERED:
            return False
        if self.completed_at > self.work.deadline:
            return False
        if self.work.work_class is WorkClass.BACKGROUND:
            return True
        if self.answer_tokens <= 1:
            return self.latency <= self.targets.whole_answer
        return (self.first_token or 0.0) <= self.targets.first_token


@dataclass(frozen=True, slots=True)
class Summary:
    """Figures over the records of a run.

    Attributes:
        in_target: share of the arrivals answered within target.
        work_in_target: generated tokens of those answers.
        cost: price per answer within target.
        recomputed_tokens: tokens computed more than once.
        first_token: 95th percentile in seconds, by work class.
        latency: 95th percentile in seconds, by work class.
        refused: share of the arrivals that were rejected or expired.
        time_to_rejection: 95th percentile of the seconds until their callers got that
            result.
        failed: share of the arrivals that failed.
    """

    arrivals: int
    in_target: float
    work_in_target: float
    cost: float
    recomputed_tokens: float
    first_token: dict[str, float]
    latency: dict[str, float]
    refused: float
    time_to_rejection: float
    failed: float


def compute_percentile(values: Iterable[float], quantile: float = 0.95) -> float:
    """Return a percentile by rank, or 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def summarize(records: Sequence[Record]) -> Summary:
    """Compute the figures of a run."""
    records_in_target = [record for record in records if record.is_in_target]
    rejection_times = [
        record.latency
        for record in records
        if record.outcome in (Outcome.REFUSED, Outcome.EXPIRED)
    ]
    first_tokens: dict[str, list[float]] = defaultdict(list)
    latencies: dict[str, list[float]] = defaultdict(list)
    for record in records:
        if record.first_token is not None:
            first_tokens[record.work.work_class.value].append(record.first_token)
        if record.outcome is Outcome.ANSWERED:
            latencies[record.work.work_class.value].append(record.latency)
    total = max(1, len(records))
    return Summary(
        arrivals=len(records),
        in_target=len(records_in_target) / total,
        work_in_target=sum(record.tokens for record in records_in_target),
        cost=sum(record.cost for record in records) / max(1, len(records_in_target)),
        recomputed_tokens=sum(record.recomputed_tokens for record in records),
        first_token={name: compute_percentile(v) for name, v in first_tokens.items()},
        latency={name: compute_percentile(v) for name, v in latencies.items()},
        refused=len(rejection_times) / total,
        time_to_rejection=compute_percentile(rejection_times),
        failed=sum(r.outcome is Outcome.FAILED for r in records) / total,
    )
