"""What answers usually take, and which servers fall behind it."""

from collections.abc import Sequence
from math import inf
from statistics import median

from dewridge.configuration.model import LatencyTargets
from dewridge.policy.credits import Health, ServerCredits
from dewridge.policy.model import Work, WorkClass

SLOW_FACTOR = 4.0
"""Multiple of the median at which a server counts as slow. Twice happens from
chance and from long prompts; ten times must be caught in its first answers."""

QUEUED_FACTOR = 1.5
"""Multiple of an idle server's time to a first token from which requests must be
waiting in the server's own queue, where neither deadlines nor shares count."""

BASE_RISE = 1.0005
"""Factor on the idle server's time in each look: doubles it in some two minutes."""

PATIENCE = 0.5
"""Part of the target under which no answer counts as slow, whatever the others
take: suspending a server that meets the target would only cost capacity."""

SILENCE = 2.0
"""Multiple of the first token's target after which a silent engine counts as hung.
A place in a full batch may take a second to come free while nothing of this
host's happens to stream there."""

PRIOR_SHARE = 0.25
"""Part of the targets that an answer is reckoned to take before any came. Low on
purpose: reckoning high would refuse the very work that teaches the truth."""


FRESH = 10.0
"""Seconds since the last answer for which the times are believed. Believed for
ever, times learned in a bad moment could have every short deadline refused, and
with nothing sent no answer would ever correct them."""


class Usual:
    """Times that the servers of a subset have in common, and judgements by them.

    Attributes:
        first_token: median seconds from a dispatch to the first token.
        base_first_token: the same on an idle server.
        token_time: median seconds between two tokens.
    """

    def __init__(self, targets: LatencyTargets, is_plain: bool) -> None:
        self._targets = targets
        self._is_plain = is_plain
        self.first_token = PRIOR_SHARE * self._first_target
        self.base_first_token = inf
        self._sampled_at = -inf
        self.token_time = PRIOR_SHARE * targets.between_tokens

    def set_targets(self, targets: LatencyTargets) -> None:
        """Take over a profile's targets."""
        self._targets = targets

    def note_sample(self, now: float) -> None:
        """Record that an answer began."""
        self._sampled_at = now

    def find_duration(self, work: Work, now: float) -> float:
        """Return the expected seconds of an attempt, or 0 if that is not known."""
        if now - self._sampled_at > FRESH:
            return 0.0
        return self.predict_duration(work)

    def learn(self, records: Sequence[ServerCredits]) -> None:
        """Learn from servers in good health."""
        firsts = [r.first_token for r in records if r.first_token]
        betweens = [r.token_time for r in records if r.token_time]
        if firsts:
            self.first_token = median(firsts)
            self._learn_base(min(firsts))
        if betweens:
            self.token_time = median(betweens)

    def _learn_base(self, least: float) -> None:
        # The least in recent time is what an idle server needs. It rises slowly,
        # so that prompts which grow longer are learned in minutes, while a queue
        # that builds up in seconds does not pass for normal.
        if least < self.base_first_token:
            self.base_first_token = least
        else:
            self.base_first_token = min(least, self.base_first_token * BASE_RISE)

    def predict_duration(
        self, work: Work, record: ServerCredits | None = None
    ) -> float:
        """Return the seconds that an attempt is expected to take."""
        first = self.first_token
        between = self.token_time
        if record is not None:
            first = record.first_token or first
            between = record.token_time or between
        if self._is_plain:
            return first
        return first + between * max(0, work.expected_tokens - work.tokens_done - 1)

    def is_slow(self, record: ServerCredits, now: float) -> bool:
        """Whether a server is far behind the others, or silent."""
        if record.health is Health.PROBING:
            sent_at = (
                record.awaiting_first_token.get(record.probe, now)
                if record.probe
                else now
            )
            return not self.is_good(now - sent_at)
        if record.token_time > SLOW_FACTOR * self.token_time:
            return True
        if self._is_plain:
            return not self.is_good(record.find_first_token(now))
        # An engine that is full makes new requests wait but still streams, and
        # loses credits for it; only one that says nothing at all is suspended.
        limit = max(SILENCE * self._targets.first_token, SLOW_FACTOR * self.first_token)
        return record.find_silence(now) > limit

    def is_good(self, sample: float) -> bool:
        """Whether a time to a first token is no sign of a slow server."""
        return sample <= max(self._patience, SLOW_FACTOR * self.first_token)

    def adjust_credits(
        self, record: ServerCredits, sample: float, work_class: WorkClass, now: float
    ) -> None:
        """Change a server's credits by the time that a first token took."""
        # Up to its even part of the capacity a host needs hard evidence to give
        # credits up: a question that waited for half of the target. A draft may
        # wait, and does behind others' questions. Above its part a host works
        # with credits that others do not use at the moment, and answers that
        # take longer than they do on an idle server say that they do again.
        longest = max(self._patience, QUEUED_FACTOR * self.base_first_token)
        is_late = work_class is WorkClass.INTERACTIVE and sample > longest
        if is_late or record.token_time > self._targets.between_tokens:
            record.reduce_limit(now)
        elif record.first_token > QUEUED_FACTOR * self.base_first_token:
            record.reduce_to_share(now)
        else:
            record.record_success()
            record.increase_limit()

    @property
    def _first_target(self) -> float:
        if self._is_plain:
            return self._targets.whole_answer
        return self._targets.first_token

    @property
    def _patience(self) -> float:
        return PATIENCE * self._first_target
