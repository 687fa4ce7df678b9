"""Admission: decides which requests are queued and which are refused at once."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from dewridge.codes import ResultCode
from dewridge.configuration.model import LatencyTargets
from dewridge.policy.model import Work, WorkClass
from dewridge.sentinels import Failure

MIN_RETRY_AFTER = 0.2
"""Shortest retry-after of a refusal, in seconds: a few round trips, so that callers
that follow it don't add load by retrying."""

MAX_RETRY_AFTER = 60.0
"""Longest retry-after of a refusal, in seconds. It is estimated from the current load;
with a longer one, callers would stay away after the load has dropped."""

MIN_TARGET_SHARE = 0.25
"""Share of an interactive latency target that a request may wait in the queue even if
the servers are too slow to meet the target."""


@dataclass(frozen=True, slots=True)
class AdmissionView:
    """State of the queue, the servers and the cost limits that admission uses.

    Costs of work are in units of generated tokens. The work class is that of the
    offered request.

    Attributes:
        cost: cost of the offered request.
        first_token: expected seconds from dispatch to the first token.
        duration: expected seconds of an attempt; 0 if unknown.
        class_cost: queued cost of the work class.
        account_cost: queued cost of the work class for the request's account.
        account_share: the account's share of the dispatch rate of the class, 0 to 1.
        class_rate: cost of the class dispatched per second while the class has a
            backlog.
        total_cost: queued cost of all classes.
        total_rate: cost of all classes dispatched per second while there is a
            backlog.
        has_servers: whether the service has any backend server.
        budget_wait: seconds until the hourly cost limit allows the request to start.
        exceeds_answer_limit: whether the request would cost more than the limit for
            one answer.
    """

    cost: float
    first_token: float
    duration: float
    class_cost: float
    account_cost: float
    account_share: float
    class_rate: float
    total_cost: float
    total_rate: float
    has_servers: bool
    budget_wait: float
    exceeds_answer_limit: bool


Admit = Callable[[Work, AdmissionView, float], Failure | None]
"""Returns None to admit work, or a failure with a retry-after time."""


AdmissionMaker = Callable[[Mapping[str, float], LatencyTargets, random.Random], Admit]


def make_fifo(
    parameters: Mapping[str, float], targets: LatencyTargets, rng: random.Random
) -> Admit:
    """Make the baseline policy, which admits everything."""

    def admit(work: Work, view: AdmissionView, now: float) -> Failure | None:
        return None

    return admit


def make_fair(
    parameters: Mapping[str, float], targets: LatencyTargets, rng: random.Random
) -> Admit:
    """Make the policy that checks deadlines, fair shares, queue bounds and costs."""
    queue_seconds = parameters["queue_seconds"]
    margin = parameters["deadline_margin"]
    spread = parameters["retry_spread"]

    def refuse(code: ResultCode, reason: str, wait: float) -> Failure:
        # Adds jitter, because callers refused in one burst would otherwise retry in
        # one burst. The jitter grows with the wait, so that a longer queue spreads
        # the retries over a longer time.
        base = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
        retry_after = base * rng.uniform(1.0, 1.5) + rng.uniform(0.0, spread)
        return Failure(code, reason, round(retry_after, 3))

    def admit(work: Work, view: AdmissionView, now: float) -> Failure | None:
        if not view.has_servers:
            return refuse(ResultCode.NO_BACKEND_SERVER, "no backend server", 1.0)
        if view.exceeds_answer_limit:
            return refuse(
                ResultCode.COST_LIMIT_REACHED, "above the cost limit an answer", 30.0
            )
        if view.budget_wait > max(0.0, work.deadline - now - view.duration):
            return refuse(
                ResultCode.COST_LIMIT_REACHED,
                "the cost limit an hour is reached",
                view.budget_wait,
            )
        # Refuses requests that are unlikely to meet their deadline: a caller that is
        # refused at once has time to go elsewhere, while a request that expires in
        # the queue has cost its caller the whole wait.
        wait = estimate_wait(view)
        lateness = estimate_lateness(work, view, wait * margin, now)
        if lateness > 0:
            return refuse(
                ResultCode.DEADLINE_UNREACHABLE,
                "the deadline can't be met at the present load",
                lateness,
            )
        return check_bounds(view)

    def estimate_lateness(
        work: Work, view: AdmissionView, wait: float, now: float
    ) -> float:
        # Answers take up to half as long again as expected. The margin applies only
        # when there is a queue: on an idle server, trying delays nobody else.
        needed = view.duration * (margin if wait > 0 else 1.0)
        lateness = now + wait + needed - work.deadline
        if work.work_class is WorkClass.BACKGROUND:
            return lateness
        # Interactive work also has to meet the profile's latency target: a queue
        # longer than that would make every request in it late. A share of the target
        # is always allowed for the queue, because servers that can't meet the target
        # at all would otherwise cause every request to be refused.
        if work.expected_tokens > 1:
            target, expected = targets.first_token, view.first_token
        else:
            target, expected = targets.whole_answer, view.duration
        return max(lateness, wait - max(MIN_TARGET_SHARE * target, target - expected))

    def check_bounds(view: AdmissionView) -> Failure | None:
        # Bounds the queue by cost and not by count: a hundred short requests take a
        # second, a hundred long ones keep the service busy for minutes.
        bound = max(view.total_rate * queue_seconds, view.cost)
        free = bound - view.total_cost
        drain_rate = max(view.total_rate, 1e-9)
        if free < view.cost:
            wait = (view.cost - free) / drain_rate
            return refuse(ResultCode.QUEUE_FULL, "the queue is full", wait)
        # Dynamic threshold: an account may queue as much as is left free. A single
        # large account gets half of the queue, so that a small one that sends later
        # always finds room.
        if view.account_cost > free:
            wait = (view.account_cost - free) / 2 / drain_rate
            return refuse(
                ResultCode.SHARE_EXCEEDED, "the account's share is used up", wait
            )
        return None

    return admit


def estimate_wait(view: AdmissionView) -> float:
    """Return the expected seconds in the queue.

    Uses the backlog of the account at the account's share of the dispatch rate, because
    fair queueing serves accounts with a smaller backlog first.
    """
    rate = max(view.class_rate, 1e-9)
    return view.account_cost / (rate * max(view.account_share, 1e-9))


MAKERS: dict[str, AdmissionMaker] = {
    "fair": make_fair,
    "fifo": make_fifo,
}
"""Admission policies by their name in a profile."""
