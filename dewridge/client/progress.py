"""State of one call, kept free of I/O so that it can be tested without sockets."""

from enum import Enum

from dewridge.codes import Outcome, ResultCode
from dewridge.requests.model import (
    AnswerEvent,
    EndedEvent,
    MovedEvent,
    RestartEvent,
    TokensEvent,
)
from dewridge.sentinels import Failure

FINAL_REJECTIONS = frozenset(
    {
        ResultCode.MALFORMED_REQUEST,
        ResultCode.MALFORMED_KEY,
        ResultCode.KEY_TOO_OLD,
        ResultCode.KEY_IN_FUTURE,
        ResultCode.BODY_TOO_LARGE,
        ResultCode.KEY_REUSED,
        ResultCode.UNAUTHENTICATED,
        ResultCode.FORBIDDEN,
        ResultCode.DEADLINE_PASSED,
        ResultCode.CANCELLED,
    }
)
"""Rejections that a retry with the same input and deadline cannot change."""

UNCONFIRMED_REJECTIONS = frozenset(
    {
        ResultCode.MALFORMED_REQUEST,
        ResultCode.MALFORMED_KEY,
        ResultCode.BODY_TOO_LARGE,
        ResultCode.HEAD_TOO_LARGE,
        ResultCode.HEAD_TOO_SLOW,
        ResultCode.UNAUTHENTICATED,
        ResultCode.FORBIDDEN,
    }
)
"""Rejections by a host that has not looked the key up. They show that this submission
was not run, and nothing about earlier ones: a token may have been revoked meanwhile."""

STALE_HOST_REJECTIONS = frozenset(
    {ResultCode.UNKNOWN_SERVICE, ResultCode.UNKNOWN_OPERATION}
)
"""Rejections by a host whose configuration may not contain a new service yet."""
MAX_STALE_HOST_REJECTIONS = 3
"""Number of `STALE_HOST_REJECTIONS` after which a call fails; more retries would
only delay the error for a wrong name."""


UNKNOWNS_BEFORE_RESUBMIT = 2
"""Number of unknown outcomes after which the key is submitted again. The first leads to
another query, which finds an answer that a resumed holder has delivered meanwhile."""


class Step(Enum):
    """What the client does after an event."""

    CONTINUE = "read_on"
    """Read the next event of the stream."""
    RECONNECT = "rejoin"
    """Follow the answer on a new connection."""
    RESUBMIT = "resubmit"
    """Submit the call again, with the next submission number."""
    FINISH = "finish"
    """Stop: the call has its final result."""


class Progress:
    """The partial answer of a call and what is known about its request.

    Attributes:
        accepted: whether a host has accepted the request; it is followed by its
            key then.
        is_outcome_uncertain: whether a submission was sent and it is not known
            whether the request ran.
    """

    def __init__(self, max_submissions: int = 0) -> None:
        """Start with an empty answer.

        Args:
            max_submissions: maximum submissions of the key; 0 sets no limit.
        """
        self.submissions = 0
        self.restarts = 0
        self.generation = 0
        self.tokens: list[str] = []
        self.accepted = False
        self.is_outcome_uncertain = False
        self.last_failure: Failure | None = None
        self.ended: EndedEvent | None = None
        self.retry_after = 0.0
        self._was_uncertain_before = False
        self._stale_host_rejections = 0
        self._max_submissions = max_submissions
        self._unknown_outcomes = 0

    def begin_submission(self) -> int:
        """Start a submission and return its number."""
        self.submissions += 1
        self._was_uncertain_before = self.is_outcome_uncertain
        self.is_outcome_uncertain = True
        self.ended = None
        return self.submissions

    def undo_submission(self) -> None:
        """Undo the last submission, which was never sent."""
        if not self.accepted:
            self.is_outcome_uncertain = self._was_uncertain_before
            self.submissions -= 1

    def record_accepted(self, generation: int) -> None:
        """Record that a host has accepted the request."""
        self.accepted = True
        self._start_generation(generation)

    def handle_rejection(self, failure: Failure, is_not_run: bool) -> Step:
        """Record an error response and return the next step."""
        self.last_failure = failure
        self.retry_after = failure.retry_after or 0.0
        if is_not_run and not self.accepted:
            is_confirmed = failure.code not in UNCONFIRMED_REJECTIONS
            self.is_outcome_uncertain = not is_confirmed and self._was_uncertain_before
        if failure.code is ResultCode.UNKNOWN_REQUEST:
            # The request may have been accepted and lost with all its replicas.
            # Submitting the key again attaches to it, runs it or returns its
            # outcome.
            self.accepted = False
            return Step.RESUBMIT
        if failure.code in STALE_HOST_REJECTIONS:
            self._stale_host_rejections += 1
        if (
            failure.code in FINAL_REJECTIONS
            or self._stale_host_rejections >= MAX_STALE_HOST_REJECTIONS
        ):
            return Step.FINISH
        return Step.RECONNECT if self.accepted else Step.RESUBMIT

    def handle_event(self, event: AnswerEvent) -> Step:
        """Apply an event to the answer and return the next step."""
        match event:
            case TokensEvent():
                return self._append_tokens(event)
            case RestartEvent():
                self._start_generation(event.generation)
                return Step.CONTINUE
            case MovedEvent():
                return Step.RECONNECT
            case EndedEvent():
                return self._handle_end(event)
        return Step.CONTINUE

    def _start_generation(self, generation: int) -> None:
        if generation == self.generation:
            return
        if self.tokens:
            self.restarts += 1
        self.generation = generation
        self.tokens.clear()

    def _append_tokens(self, event: TokensEvent) -> Step:
        # Late events of an earlier generation are dropped. After a gap, the client
        # reconnects to receive the missing tokens.
        if event.generation < self.generation:
            return Step.CONTINUE
        if event.generation > self.generation:
            self._start_generation(event.generation)
        if event.offset > len(self.tokens):
            return Step.RECONNECT
        known = len(self.tokens) - event.offset
        self.tokens.extend(event.tokens[known:])
        return Step.CONTINUE

    def _handle_end(self, event: EndedEvent) -> Step:
        is_truncated = event.summary.tokens > len(self.tokens) and not event.body
        if event.code is ResultCode.OK and is_truncated:
            return Step.RECONNECT  # tokens are missing before the end
        self.ended = event
        failure = Failure(event.code, event.reason, event.retry_after)
        self.last_failure = failure
        self.retry_after = event.retry_after or 0.0
        if event.code is ResultCode.OK or failure.outcome is Outcome.FAILED:
            return Step.FINISH
        if failure.is_not_run:
            self.accepted = False
            self.is_outcome_uncertain = False
            return Step.FINISH if event.code in FINAL_REJECTIONS else Step.RESUBMIT
        if event.retry_after is None:
            return Step.FINISH
        return self._resolve_unknown_outcome()

    def _resolve_unknown_outcome(self) -> Step:
        """Return how to resolve an unknown outcome: query it once, then resubmit.

        The request's holder may still deliver, so the first step is another query.
        A request that was lost before it ran has no holder: queries alone left its
        outcome unknown until the deadline. A resubmission attaches to a running
        request, runs one that never ran, and never runs a request twice.
        """
        self._unknown_outcomes += 1
        is_last = 0 < self._max_submissions <= self.submissions
        if self._unknown_outcomes < UNKNOWNS_BEFORE_RESUBMIT or is_last:
            return Step.RECONNECT
        self._unknown_outcomes = 0
        self.accepted = False
        return Step.RESUBMIT
