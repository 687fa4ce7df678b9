"""Recovery: retries of what failed, and moves off servers that are reclaimed."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from dewridge.codes import ResultCode
from dewridge.ids import BackendServerId, RequestId
from dewridge.policy.model import Abandoned, AttemptOutcome, Move, Retry
from dewridge.policy.queueing import QueueEntry
from dewridge.sentinels import Failure

BUDGET_START = 10.0
"""Retries that may be made before any first attempt paid for them: what one
server that dies with its work in flight takes."""

ASK_AGAIN = 2.0
"""Seconds after which a caller whose outcome is unknown asks again: by then the
answer of a connection that merely broke has been looked up, or it never will."""

LEAST_WAIT = 0.2
MOST_WAIT = 60.0
RETURN_SPREAD = 2.0
"""Seconds until a caller whose deadline passed comes back: at least, at most, and
the longest random part besides."""

RESCUE_SPREAD = 0.2
"""Seconds over which the work of a slow server is moved."""

RISKY_FINISH = 0.8
"""Part of the notice that an answer may be expected to need and still be left to
finish where it is; the rest is for the error of the expectation."""


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """A request in flight.

    Attributes:
        price: money a second that it is reckoned to cost there.
        first_token_at: when its first token came.
        last_token_at: when its last token so far came.
        tokens: tokens that came in this attempt.
        moves_at: when it is to be stopped, if that was decided.
    """

    entry: QueueEntry
    server: BackendServerId
    sent_at: float
    price: float
    first_token_at: float | None = None
    last_token_at: float | None = None
    tokens: int = 0
    moves_at: float | None = None

    @property
    def request(self) -> RequestId:
        """Return the request's id."""
        return self.entry.work.request

    @property
    def context_tokens(self) -> int:
        """Return the tokens whose KV cache would be lost with the server."""
        work = self.entry.work
        return work.prompt_tokens + work.tokens_done + self.tokens


@dataclass(frozen=True, slots=True)
class Recovery:
    """A recovery policy.

    Attributes:
        retains_tokens: whether an attempt goes on from the tokens kept.
        retry: decides what follows an attempt that did not answer.
        plan_moves: decides which attempts leave a reclaimed server; takes them
            with the seconds that each is expected to need, when the server
            goes, and the time now.
        plan_slow_server_moves: decides which attempts leave a server that turned slow.
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
    """Make the recovery that keeps tokens and bounds retries."""
    share = parameters["retry_share"]
    attempts = parameters["attempts"]
    first_pause = parameters["backoff"]
    last_pause = parameters["backoff_limit"]
    export_tokens = parameters["export_tokens"]
    margin = parameters["move_margin"]
    budget = BUDGET_START

    def note_first_attempt() -> None:
        nonlocal budget
        budget = min(budget + share, BUDGET_START + 100 * share)

    def retry(
        entry: QueueEntry, outcome: AttemptOutcome, now: float
    ) -> Retry | Abandoned:
        nonlocal budget
        final = find_final(entry, outcome)
        if final is not None:
            return final
        if outcome is AttemptOutcome.LEAVING:
            # Moved by us: neither the request's fault nor a sign of overload.
            return check_deadline(entry, 0.0, now, rng)
        if outcome is AttemptOutcome.NOT_STARTED:
            # The first refusal goes elsewhere at once. Further ones mean that
            # most servers are full, and hammering them would slow them more.
            pause = find_pause(entry.refused - 1) if entry.refused > 1 else 0.0
            return check_deadline(entry, pause, now, rng)
        if entry.lost >= attempts:
            # A request that breaks each server which takes it must end before
            # it has been through all of them.
            return abandon(entry, ResultCode.ATTEMPTS_EXHAUSTED, "attempts used up")
        # Past the budget a retry still comes, since the request was accepted,
        # but after the longest pause: when a whole failure domain is lost, the
        # retries must not double the load on what is left.
        pause = find_pause(entry.lost)
        if budget >= 1:
            budget -= 1
        else:
            pause = last_pause * rng.uniform(0.5, 1.0)
        return check_deadline(entry, pause, now, rng)

    def find_pause(failures: int) -> float:
        # Random, because requests that failed together would be sent again
        # together, and meet the same full server.
        pause = min(last_pause, first_pause * 2.0 ** min(30, failures - 1))
        return pause * rng.uniform(0.5, 1.5)

    def plan_moves(
        running: Sequence[tuple[RunningAttempt, float]], leaving_at: float, now: float
    ) -> list[Move]:
        # What would lose most goes first: if the host goes earlier than said,
        # the least is lost, and a long context needs the time for its export.
        # What is expected to finish is left, with a move at the last moment in
        # case it does not.
        last = max(now, leaving_at - margin)
        safe = (last - now) * RISKY_FINISH
        ranked = sorted(running, key=lambda item: item[0].context_tokens, reverse=True)
        moved = [attempt for attempt, needed in ranked if needed > safe]
        kept = [attempt for attempt, needed in ranked if needed <= safe]
        moves = []
        for place, attempt in enumerate(moved):
            # One after the other over the notice: a whole failure domain's work
            # arriving at one moment would crush the next one.
            at = now + (last - now) * (place + rng.random() * 0.5) / len(moved) * 0.5
            exports = attempt.context_tokens >= export_tokens
            moves.append(Move(attempt.request, at, exports))
        moves += [Move(attempt.request, last, False) for attempt in kept]
        return moves

    def plan_rescue(running: Sequence[RunningAttempt], now: float) -> list[Move]:
        # Made for one server that turns ten times slower: what runs there would
        # miss its deadline while the others have room. It spends the retries'
        # budget, so that a fleet which is slow as a whole does not move its work
        # around in place of doing it. A call that may not be repeated stays.
        nonlocal budget
        moves = []
        for attempt in running:
            if budget < 1 or not attempt.entry.work.idempotent:
                continue
            budget -= 1
            at = now + rng.uniform(0.0, RESCUE_SPREAD)
            exports = attempt.context_tokens >= export_tokens
            moves.append(Move(attempt.request, at, exports))
        return moves

    return Recovery(True, retry, plan_moves, plan_rescue, note_first_attempt)


def make_restart(parameters: Mapping[str, float], rng: random.Random) -> Recovery:
    """Make the plain baseline, which starts again from the first token."""

    def retry(
        entry: QueueEntry, outcome: AttemptOutcome, now: float
    ) -> Retry | Abandoned:
        return find_final(entry, outcome) or check_deadline(entry, 0.0, now, rng)

    def plan_moves(
        running: Sequence[tuple[RunningAttempt, float]], leaving_at: float, now: float
    ) -> list[Move]:
        return [Move(attempt.request, now, False) for attempt, _ in running]

    return Recovery(False, retry, plan_moves, lambda running, now: [], lambda: None)


def find_final(entry: QueueEntry, outcome: AttemptOutcome) -> Abandoned | None:
    """Return the end that no policy may change, if this is one."""
    if outcome is AttemptOutcome.REJECTED:
        reason = "the backend server rejected the input"
        return abandon(entry, ResultCode.BACKEND_SERVER_REJECTED, reason)
    if outcome is AttemptOutcome.LOST and not entry.work.idempotent:
        # It may have run, and a second letter would put two serial numbers into
        # circulation: saying that nobody knows is the lesser harm.
        return abandon(
            entry, ResultCode.OUTCOME_UNKNOWN, "the attempt was lost", ASK_AGAIN
        )
    return None


def check_deadline(
    entry: QueueEntry, pause: float, now: float, rng: random.Random
) -> Retry | Abandoned:
    """Retry after a pause, or give up at once if the deadline is before it."""
    if now + pause < entry.work.deadline:
        return Retry(pause)
    return abandon_late(entry, pause, rng)


def abandon_late(entry: QueueEntry, wait: float, rng: random.Random) -> Abandoned:
    """End a request whose deadline can't be met any more.

    Its caller comes back once the present backlog is through; the random part
    keeps those that expired together from coming back together.
    """
    retry_after = min(MOST_WAIT, max(LEAST_WAIT, wait)) * rng.uniform(1.0, 1.5)
    retry_after = round(retry_after + rng.uniform(0.0, RETURN_SPREAD), 3)
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
    """End a request with its final answer."""
    return Abandoned(entry.work.request, Failure(code, reason, retry_after))


MAKERS: dict[str, Callable[[Mapping[str, float], random.Random], Recovery]] = {
    "resume": make_resume,
    "restart": make_restart,
}
