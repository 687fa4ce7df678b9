"""Recovery: retries failed attempts and moves requests off reclaimed servers."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from dewridge.codes import ResultCode
from dewridge.ids import BackendServerId, RequestId
from dewridge.policy.model import Abandoned, AttemptOutcome, Move, Retry
from dewridge.policy.queueing import QueueEntry
from dewridge.sentinels import Failure

INITIAL_RETRY_BUDGET = 10.0
"""Initial retry budget, before first attempts add to it: enough for the requests in
flight to one server that crashes."""

UNKNOWN_OUTCOME_RETRY_AFTER = 2.0
"""Retry-after in seconds for an unknown outcome. If only the connection broke, the
answer has been looked up by then or can't be found any more."""

MIN_RETRY_AFTER = 0.2
MAX_RETRY_AFTER = 60.0
RETRY_AFTER_SPREAD = 2.0
"""Retry-after in seconds for an expired request: minimum, maximum and the longest
random part that is added."""

SLOW_SERVER_MOVE_SPREAD = 0.2
"""Seconds over which the requests at a slow server are moved."""

FINISH_SHARE = 0.8
"""Share of the remaining time at a reclaimed server within which an answer must be
expected to complete to stay there; the rest allows for errors of the estimate."""


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """An attempt in flight.

    Attributes:
        price: price per second of the server's slot.
        first_token_at: when the first token was received.
        last_token_at: when the latest token was received.
        tokens: tokens received in this attempt.
        moves_at: when the attempt is to be stopped for a planned move.
        version: software version of the server.
    """

    entry: QueueEntry
    server: BackendServerId
    sent_at: float
    price: float
    first_token_at: float | None = None
    last_token_at: float | None = None
    tokens: int = 0
    moves_at: float | None = None
    version: str = ""

    @property
    def request(self) -> RequestId:
        """Id of the request."""
        return self.entry.work.request

    @property
    def context_tokens(self) -> int:
        """Number of tokens whose KV cache would be lost with the server."""
        work = self.entry.work
        return work.prompt_tokens + work.tokens_done + self.tokens


@dataclass(frozen=True, slots=True)
class Recovery:
    """A recovery policy.

    Attributes:
        retains_tokens: whether a retry continues after the tokens already received.
        retry: decides what follows an attempt that did not complete.
        plan_moves: decides which attempts leave a reclaimed server, and when. Takes the
            attempts with the seconds that each is expected to need, the time at which
            the server ends, and the current time.
        plan_slow_server_moves: decides which attempts leave a server that has become
            slow. Takes the attempts and the current time.
        record_first_attempt: records a dispatch that is not a retry.
    """

    retains_tokens: bool
    retry: Callable[[QueueEntry, AttemptOutcome, float], Retry | Abandoned]
    plan_moves: Callable[
        [Sequence[tuple[RunningAttempt, float]], float, float], list[Move]
    ]
    plan_slow_server_moves: Callable[[Sequence[RunningAttempt], float], list[Move]]
    record_first_attempt: Callable[[], None]


def make_resume(parameters: Mapping[str, float], rng: random.Random) -> Recovery:
    """Make the policy that retains tokens and bounds retries."""
    budget_share = parameters["retry_share"]
    attempt_limit = parameters["attempts"]
    min_pause = parameters["backoff"]
    max_pause = parameters["backoff_limit"]
    export_tokens = parameters["export_tokens"]
    margin = parameters["move_margin"]
    budget = INITIAL_RETRY_BUDGET

    def record_first_attempt() -> None:
        nonlocal budget
        budget = min(budget + budget_share, INITIAL_RETRY_BUDGET + 100 * budget_share)

    def retry(
        entry: QueueEntry, outcome: AttemptOutcome, now: float
    ) -> Retry | Abandoned:
        nonlocal budget
        final_failure = find_final_failure(entry, outcome)
        if final_failure is not None:
            return final_failure
        if outcome is AttemptOutcome.LEAVING:
            # Moved by this host: neither caused by the request nor a sign of overload.
            return check_deadline(entry, 0.0, now, rng)
        if outcome is AttemptOutcome.NOT_STARTED:
            # A first refusal is retried at another server at once. Further ones mean
            # that most servers are full, and immediate retries would slow them more.
            pause = (
                compute_pause(entry.unstarted_attempts - 1)
                if entry.unstarted_attempts > 1
                else 0.0
            )
            return check_deadline(entry, pause, now, rng)
        if entry.failed_attempts >= attempt_limit:
            # A request that crashes every server that runs it has to fail before it
            # has crashed all of them.
            return abandon(entry, ResultCode.ATTEMPTS_EXHAUSTED, "attempts used up")
        # Without budget the request is still retried, because it was accepted, but
        # after the longest pause: when a whole failure domain is lost, the retries must
        # not double the load on the remaining servers.
        pause = compute_pause(entry.failed_attempts)
        if budget >= 1:
            budget -= 1
        else:
            pause = max_pause * rng.uniform(0.5, 1.0)
        return check_deadline(entry, pause, now, rng)

    def compute_pause(failures: int) -> float:
        # Adds jitter, because requests that failed together would otherwise be retried
        # together and meet at the same full server.
        pause = min(max_pause, min_pause * 2.0 ** min(30, failures - 1))
        return pause * rng.uniform(0.5, 1.5)

    def plan_moves(
        running: Sequence[tuple[RunningAttempt, float]], leaving_at: float, now: float
    ) -> list[Move]:
        # Attempts with the longest context move first: if the server ends earlier than
        # announced, the least work is lost, and the export of a long context takes
        # time. Attempts that are expected to complete stay, with a move at the last
        # moment in case they don't.
        last = max(now, leaving_at - margin)
        max_duration = (last - now) * FINISH_SHARE
        ranked = sorted(running, key=lambda item: item[0].context_tokens, reverse=True)
        moved = [attempt for attempt, needed in ranked if needed > max_duration]
        staying = [attempt for attempt, needed in ranked if needed <= max_duration]
        moves = []
        for index, attempt in enumerate(moved):
            # Spreads the moves over the first half of the notice, because the work of a
            # whole failure domain would overload the other ones if it arrived at once.
            at = now + (last - now) * (index + rng.random() * 0.5) / len(moved) * 0.5
            exports_cache = attempt.context_tokens >= export_tokens
            moves.append(Move(attempt.request, at, exports_cache))
        moves += [Move(attempt.request, last, False) for attempt in staying]
        return moves

    def plan_slow_server_moves(
        running: Sequence[RunningAttempt], now: float
    ) -> list[Move]:
        # When one server becomes ten times slower, its requests would miss their
        # deadline although other servers have room. Moves use the retry budget, so that
        # a fleet that is slow as a whole does not keep moving its work instead of
        # running it. Requests that are not idempotent stay.
        nonlocal budget
        moves = []
        for attempt in running:
            if budget < 1 or not attempt.entry.work.idempotent:
                continue
            budget -= 1
            at = now + rng.uniform(0.0, SLOW_SERVER_MOVE_SPREAD)
            exports_cache = attempt.context_tokens >= export_tokens
            moves.append(Move(attempt.request, at, exports_cache))
        return moves

    return Recovery(
        True, retry, plan_moves, plan_slow_server_moves, record_first_attempt
    )


def make_restart(parameters: Mapping[str, float], rng: random.Random) -> Recovery:
    """Make the baseline policy, which restarts from the first token."""

    def retry(
        entry: QueueEntry, outcome: AttemptOutcome, now: float
    ) -> Retry | Abandoned:
        return find_final_failure(entry, outcome) or check_deadline(
            entry, 0.0, now, rng
        )

    def plan_moves(
        running: Sequence[tuple[RunningAttempt, float]], leaving_at: float, now: float
    ) -> list[Move]:
        return [Move(attempt.request, now, False) for attempt, _ in running]

    return Recovery(False, retry, plan_moves, lambda running, now: [], lambda: None)


def find_final_failure(entry: QueueEntry, outcome: AttemptOutcome) -> Abandoned | None:
    """Return the failure that ends the request under any policy, if there is one."""
    if outcome is AttemptOutcome.REJECTED:
        reason = "the backend server rejected the input"
        return abandon(entry, ResultCode.BACKEND_SERVER_REJECTED, reason)
    if outcome is AttemptOutcome.LOST and not entry.work.idempotent:
        # The request may have run, and running it again could repeat its effect, such
        # as issuing a second serial number. An unknown outcome is the lesser harm.
        return abandon(
            entry,
            ResultCode.OUTCOME_UNKNOWN,
            "the attempt was lost",
            UNKNOWN_OUTCOME_RETRY_AFTER,
        )
    return None


def check_deadline(
    entry: QueueEntry, pause: float, now: float, rng: random.Random
) -> Retry | Abandoned:
    """Retry after a pause, or fail at once if the deadline passes before it ends."""
    if now + pause < entry.work.deadline:
        return Retry(pause)
    return abandon_expired(entry, pause, rng)


def abandon_expired(entry: QueueEntry, wait: float, rng: random.Random) -> Abandoned:
    """Fail a request whose deadline can't be met any more.

    The retry-after is `wait`, such as the time to dispatch the current backlog, within
    bounds and with jitter: callers whose requests expired together should not retry
    together.
    """
    retry_after = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait)) * rng.uniform(
        1.0, 1.5
    )
    retry_after = round(retry_after + rng.uniform(0.0, RETRY_AFTER_SPREAD), 3)
    if entry.has_started:
        code = ResultCode.DEADLINE_PASSED_RUNNING
        reason = "the deadline passed before another attempt could end"
    else:
        code = ResultCode.DEADLINE_PASSED
        reason = "the deadline can't be met any more"
    return abandon(entry, code, reason, retry_after)


def abandon(
    entry: QueueEntry, code: ResultCode, reason: str, retry_after: float | None = None
) -> Abandoned:
    """End a request with a failure."""
    return Abandoned(entry.work.request, Failure(code, reason, retry_after))


MAKERS: dict[str, Callable[[Mapping[str, float], random.Random], Recovery]] = {
    "resume": make_resume,
    "restart": make_restart,
}
"""Recovery policies by their name in a profile."""
