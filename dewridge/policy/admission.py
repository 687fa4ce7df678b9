"""Admission: what is taken into the queue, and what is refused at once."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from dewridge.codes import ResultCode
from dewridge.configuration.model import LatencyTargets
from dewridge.policy.model import Work, WorkClass
from dewridge.sentinels import Failure

LEAST_WAIT = 0.2
"""Seconds at least until a refused caller comes back: a few round trips, so that
a caller that obeys can't turn refusals into load of their own."""

MOST_WAIT = 60.0
"""Seconds at most. The estimate behind it is of the present load; a caller sent
away for longer would stay away after the load is gone."""


LEAST_PART = 0.25
"""Part of an interactive target that may be waited even where servers are slow."""


@dataclass(frozen=True, slots=True)
class AdmissionView:
    """What an admission decision looks at.

    Attributes:
        cost: work offered, in units of generated tokens.
        first_token: seconds that an attempt takes to its first token.
        duration: seconds that its attempt is expected to take; 0: unknown.
        class_cost: work of the class that waits.
        account_cost: work of the class that waits for this account.
        account_share: the account's part of the class's pace, within 0 to 1.
        class_rate: work of the class dispatched a second while some waits.
        total_cost: all work that waits.
        total_rate: all work dispatched a second while some waits.
        has_servers: whether any backend server is there.
        budget_wait: seconds until the cost limit lets it start.
        exceeds_answer_limit: whether its own cost is above the limit.
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
"""Admits work, or says why not and when to come back."""


Maker = Callable[[Mapping[str, float], LatencyTargets, random.Random], Admit]


def make_fifo(
    parameters: Mapping[str, float], targets: LatencyTargets, rng: random.Random
) -> Admit:
    """Make the plain baseline, which takes everything."""

    def admit(work: Work, view: AdmissionView, now: float) -> Failure | None:
        return None

    return admit


def make_fair(
    parameters: Mapping[str, float], targets: LatencyTargets, rng: random.Random
) -> Admit:
    """Make the admission by deadlines, shares, bounds and cost limits."""
    queue_seconds = parameters["queue_seconds"]
    margin = parameters["deadline_margin"]
    spread = parameters["retry_spread"]

    def refuse(code: ResultCode, reason: str, wait: float) -> Failure:
        # Callers refused in one burst would come back as one burst. The random
        # part grows with the wait, so that a longer queue spreads them wider.
        base = min(MOST_WAIT, max(LEAST_WAIT, wait))
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
        # An accepted request whose deadline passes in the queue cost its caller
        # the whole wait for nothing. Refused at once, the caller still has the
        # time to go elsewhere, and what is accepted keeps its promise.
        wait = find_wait(view)
        late = find_lateness(work, view, wait * margin, now)
        if late > 0:
            return refuse(
                ResultCode.DEADLINE_UNREACHABLE,
                "the deadline can't be met at the present load",
                late,
            )
        return check_bounds(view)

    def find_lateness(
        work: Work, view: AdmissionView, wait: float, now: float
    ) -> float:
        # Answers are up to half as long again as expected; that counts only when
        # there is a queue, since on an idle server trying costs nobody anything.
        needed = view.duration * (margin if wait > 0 else 1.0)
        late = now + wait + needed - work.deadline
        if work.work_class is WorkClass.BACKGROUND:
            return late
        # Somebody waits: what is accepted is to meet the profile's target too,
        # and a queue longer than that would make everyone in it late. A part of
        # the target may always be waited, since servers which can't meet it at
        # all would otherwise have everything refused.
        if work.expected_tokens > 1:
            target, least = targets.first_token, view.first_token
        else:
            target, least = targets.whole_answer, view.duration
        return max(late, wait - max(LEAST_PART * target, target - least))

    def check_bounds(view: AdmissionView) -> Failure | None:
        # Work, not count: a hundred status checks are gone in a second, a
        # hundred drafts keep the service busy for minutes.
        bound = max(view.total_rate * queue_seconds, view.cost)
        free = bound - view.total_cost
        drain = max(view.total_rate, 1e-9)
        if free < view.cost:
            wait = (view.cost - free) / drain
            return refuse(ResultCode.QUEUE_FULL, "the queue is full", wait)
        # The room that one account may take shrinks with the room that is left
        # (a dynamic threshold). One large account alone gets half of the queue,
        # and a small one that comes later always finds a place.
        if view.account_cost > free:
            wait = (view.account_cost - free) / 2 / drain
            return refuse(
                ResultCode.SHARE_EXCEEDED, "the account's share is used up", wait
            )
        return None

    return admit


def find_wait(view: AdmissionView) -> float:
    """Return the seconds that offered work would wait for a server.

    The account's own backlog at its share of the pace, and not the whole
    backlog at the whole pace: requests of accounts that wait less overtake it.
    """
    pace = max(view.class_rate, 1e-9)
    return view.account_cost / (pace * max(view.account_share, 1e-9))


MAKERS: dict[str, Maker] = {
    "fair": make_fair,
    "fifo": make_fifo,
}
