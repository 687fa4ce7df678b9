"""Counters of what a profile cost and lost on this host."""

from collections import defaultdict

from dewridge.codes import ResultCode
from dewridge.configuration.model import LatencyTargets
from dewridge.policy.model import AttemptOutcome, ServerView, Usage, WorkClass
from dewridge.policy.recovery import RunningAttempt


class UsageLedger:
    """Counts answers, costs and losses; the counters never decrease."""

    def __init__(self) -> None:
        self._counters: dict[str, float] = defaultdict(float)

    def count(self, name: str, amount: float = 1) -> None:
        """Add to a counter."""
        self._counters[name] += amount

    def count_refusal(self, code: ResultCode) -> None:
        """Count a request that was not admitted."""
        self.count("refused")
        self.count(f"refused.{code.name.lower()}")

    def count_attempt(
        self,
        attempt: RunningAttempt,
        server: ServerView,
        outcome: AttemptOutcome,
        now: float,
    ) -> float:
        """Count an attempt that completed or failed; returns its cost."""
        cost = 0.0
        if outcome is not AttemptOutcome.NOT_STARTED:
            cost = attempt.price * max(0.0, now - attempt.sent_at)
        self.count(f"attempts.{outcome.value}")
        self.count("cost", cost)
        self.count(f"cost.{server.failure_domain}.{server.machine_class}", cost)
        self.count("tokens", attempt.tokens)
        return cost

    def count_answer(
        self, attempt: RunningAttempt, targets: LatencyTargets, now: float
    ) -> None:
        """Count a complete answer as in time or late.

        An answer is late after its deadline; an interactive one also if it takes longer
        than the profile's target.
        """
        work = attempt.entry.work
        is_in_time = now <= work.deadline
        if work.work_class is WorkClass.INTERACTIVE:
            is_in_time = is_in_time and now - work.arrival <= targets.whole_answer
        self.count("answered")
        self.count("answered_in_target" if is_in_time else "answered_late")

    def read(self) -> Usage:
        """Return all counters."""
        return Usage(dict(self._counters))
