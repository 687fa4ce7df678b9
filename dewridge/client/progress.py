"""How far one call has come; pure state, so that it is tested without sockets."""

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
"""Refusals that another try with the same input and deadline does not change."""

STALE_HOST_REJECTIONS = frozenset(
    {ResultCode.UNKNOWN_SERVICE, ResultCode.UNKNOWN_OPERATION}
)
"""Refusals by a host that may not have heard of a new service yet."""
MAX_STALE_HOST_REJECTIONS = 3
"""Hosts asked before such a refusal is believed; more would hide a wrong name."""


UNKNOWNS_BEFORE_RESUBMIT = 2
"""Times that an outcome is unknown before the key is sent again: what a holder that
woke up delivers is there the second time."""


class Step(Enum):
    """What a client does after an event."""

    CONTINUE = "read_on"
    RECONNECT = "rejoin"
    """Follow the answer on another connection."""
    RESUBMIT = "resubmit"
    """Send the call again, with the next submission number."""
    FINISH = "finish"


class Progress:
    """The answer so far and what is known of the request's fate.

    Attributes:
        accepted: whether a host has accepted it; then it is followed by key.
        is_outcome_uncertain: whether a submission went out whose fate is not known.
    """

    def __init__(self, max_submissions: int = 0) -> None:
        """Begin a call.

        Args:
            max_submissions: sendings of its key at most; 0 sets no bound.
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
        self._doubt_before = False
        self._lagging = 0
        self._most_submissions = max_submissions
        self._times_unknown = 0

    def begin_submission(self) -> int:
        """Number one more submission."""
        self.submissions += 1
        self._doubt_before = self.is_outcome_uncertain
        self.is_outcome_uncertain = True
        self.ended = None
        return self.submissions

    def undo_submission(self) -> None:
        """Take back the last submission, which never left this client."""
        if not self.accepted:
            self.is_outcome_uncertain = self._doubt_before
            self.submissions -= 1

    def record_accepted(self, generation: int) -> None:
        """Record that a host keeps the request now."""
        self.accepted = True
        self._begin(generation)

    def handle_rejection(self, failure: Failure, is_not_run: bool) -> Step:
        """Record an error answer and decide what follows."""
        self.last_failure = failure
        self.retry_after = failure.retry_after or 0.0
        if is_not_run and not self.accepted:
            self.is_outcome_uncertain = False
        if failure.code is ResultCode.UNKNOWN_REQUEST:
            # Accepted once, known nowhere now: its copies are lost. The same
            # key sent again joins it, runs it, or is told what became of it.
            self.accepted = False
            return Step.RESUBMIT
        if failure.code in STALE_HOST_REJECTIONS:
            self._lagging += 1
        if (
            failure.code in FINAL_REJECTIONS
            or self._lagging >= MAX_STALE_HOST_REJECTIONS
        ):
            return Step.FINISH
        return Step.RECONNECT if self.accepted else Step.RESUBMIT

    def handle_event(self, event: AnswerEvent) -> Step:
        """Take in an event and decide what follows."""
        match event:
            case TokensEvent():
                return self._take_tokens(event)
            case RestartEvent():
                self._begin(event.generation)
                return Step.CONTINUE
            case MovedEvent():
                return Step.RECONNECT
            case EndedEvent():
                return self._take_end(event)
        return Step.CONTINUE

    def _begin(self, generation: int) -> None:
        if generation == self.generation:
            return
        if self.tokens:
            self.restarts += 1
        self.generation = generation
        self.tokens.clear()

    def _take_tokens(self, event: TokensEvent) -> Step:
        # A late copy of an earlier generation, or a gap, must not get into the
        # answer: the first is dropped, the second is asked for again.
        if event.generation < self.generation:
            return Step.CONTINUE
        if event.generation > self.generation:
            self._begin(event.generation)
        if event.offset > len(self.tokens):
            return Step.RECONNECT
        known = len(self.tokens) - event.offset
        self.tokens.extend(event.tokens[known:])
        return Step.CONTINUE

    def _take_end(self, event: EndedEvent) -> Step:
        is_short = event.summary.tokens > len(self.tokens) and not event.body
        if event.code is ResultCode.OK and is_short:
            return Step.RECONNECT  # the end overtook tokens
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
        return self._come_back()

    def _come_back(self) -> Step:
        """Ask again for an outcome that is unknown, and then send the key again.

        Its holder may yet deliver, so the first time the answer is asked for. A call
        that was never sent has nobody to deliver it: asked for again and again it
        stayed unknown until its deadline, while the same key sent again joins what
        runs, runs what never did, and never runs anything twice.
        """
        self._times_unknown += 1
        is_last = 0 < self._most_submissions <= self.submissions
        if self._times_unknown < UNKNOWNS_BEFORE_RESUBMIT or is_last:
            return Step.RECONNECT
        self._times_unknown = 0
        self.accepted = False
        return Step.RESUBMIT
