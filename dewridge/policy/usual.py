"""Typical latencies of a service's servers, and detection of slow servers by them."""

from collections.abc import Sequence
from math import inf
from statistics import median

from dewridge.configuration.model import LatencyTargets
from dewridge.policy.credits import Health, ServerCredits
from dewridge.policy.model import Work, WorkClass

SLOW_FACTOR = 4.0
"""Multiple of the median at which a server counts as slow. A factor of two occurs by
chance and with long prompts; a factor of ten must be detected in the first answers."""

QUEUEING_FACTOR = 1.5
"""Multiple of an idle server's time to first token above which requests must be waiting
in the server's own queue, where neither deadlines nor fair shares apply."""

BASE_GROWTH_FACTOR = 1.0005
"""Factor by which the estimate for an idle server grows at each update: it doubles in
about two minutes."""

MIN_SLOW_LATENCY_SHARE = 0.5
"""Share of the latency target below which no answer counts as slow, however fast other
servers are: suspending a server that meets the target would only cost capacity."""

SILENCE_FACTOR = 2.0
"""Multiple of the target time to first token after which a silent engine counts as
hung. In a full batch, a slot may take a second to become free while no other request of
this host receives tokens from there."""

PRIOR_SHARE = 0.25
"""Share of the latency targets that is assumed before any answer was measured. It is
low on purpose: a high one would refuse the very requests that provide measurements."""


MAX_SAMPLE_AGE = 10.0
"""Seconds since the last answer for which the latencies are used. Used forever,
latencies of a bad moment could cause every request with a short deadline to be refused,
and with nothing sent no answer would ever correct them."""


class LatencyModel:
    """Typical latencies over the servers of a subset, and checks against them.

    Attributes:
        first_token: median seconds from a dispatch to the first token.
        base_first_token: the same on an idle server.
        token_time: median seconds between two tokens.
    """

    def __init__(self, targets: LatencyTargets, is_plain_service: bool) -> None:
        self._targets = targets
        self._is_plain_service = is_plain_service
        self.first_token = PRIOR_SHARE * self._first_target
        self.base_first_token = inf
        self._sampled_at = -inf
        self.token_time = PRIOR_SHARE * targets.between_tokens

    def set_targets(self, targets: LatencyTargets) -> None:
        """Apply a profile's latency targets."""
        self._targets = targets

    def record_sample(self, now: float) -> None:
        """Record that an answer began."""
        self._sampled_at = now

    def estimate_duration(self, work: Work, now: float) -> float:
        """Return the expected seconds of an attempt, or 0 without recent answers."""
        if now - self._sampled_at > MAX_SAMPLE_AGE:
            return 0.0
        return self.predict_duration(work)

    def update(self, records: Sequence[ServerCredits]) -> None:
        """Update the latencies from the servers in good health."""
        firsts = [r.first_token for r in records if r.first_token]
        betweens = [r.token_time for r in records if r.token_time]
        if firsts:
            self.first_token = median(firsts)
            self._update_base(min(firsts))
        if betweens:
            self.token_time = median(betweens)

    def _update_base(self, shortest: float) -> None:
        # The shortest recent time is taken as that of an idle server. The estimate
        # rises slowly, so that it follows longer prompts within minutes, while a queue
        # that builds up in seconds is not taken as normal.
        if shortest < self.base_first_token:
            self.base_first_token = shortest
        else:
            self.base_first_token = min(
                shortest, self.base_first_token * BASE_GROWTH_FACTOR
            )

    def predict_duration(
        self, work: Work, record: ServerCredits | None = None
    ) -> float:
        """Return the expected seconds of an attempt, at a given server or at any."""
        first = self.first_token
        between = self.token_time
        if record is not None:
            first = record.first_token or first
            between = record.token_time or between
        if self._is_plain_service:
            return first
        return first + between * max(0, work.expected_tokens - work.tokens_done - 1)

    def is_slow(self, record: ServerCredits, now: float) -> bool:
        """Whether a server is much slower than the other servers, or silent."""
        if record.health is Health.PROBING:
            sent_at = (
                record.awaiting_first_token.get(record.probe, now)
                if record.probe
                else now
            )
            return not self.is_good(now - sent_at)
        if record.token_time > SLOW_FACTOR * self.token_time:
            return True
        if self._is_plain_service:
            return not self.is_good(record.estimate_first_token(now))
        # A full engine lets new requests wait but still streams tokens, and it loses
        # credits for that. Only an engine that sends nothing at all is suspended.
        limit = max(
            SILENCE_FACTOR * self._targets.first_token, SLOW_FACTOR * self.first_token
        )
        return record.compute_silence(now) > limit

    def is_good(self, sample: float) -> bool:
        """Whether a time to first token gives no sign of a slow server."""
        return sample <= max(self._slow_floor, SLOW_FACTOR * self.first_token)

    def adjust_credits(
        self, record: ServerCredits, sample: float, work_class: WorkClass, now: float
    ) -> None:
        """Adjust a server's credits to the time that a first token took."""
        # Up to its even share of the capacity, a host gives up credits only on strong
        # evidence: an interactive request that waited for half of the target.
        # Background requests may wait, and do so behind other hosts' interactive ones.
        # Above its share, a host uses credits that other hosts do not need at the
        # moment; answers that take longer than on an idle server show that they need
        # them again.
        max_wait = max(self._slow_floor, QUEUEING_FACTOR * self.base_first_token)
        is_late = work_class is WorkClass.INTERACTIVE and sample > max_wait
        if is_late or record.token_time > self._targets.between_tokens:
            record.reduce_limit(now)
        elif record.first_token > QUEUEING_FACTOR * self.base_first_token:
            record.reduce_to_share(now)
        else:
            record.record_success()
            record.increase_limit()

    @property
    def _first_target(self) -> float:
        if self._is_plain_service:
            return self._targets.whole_answer
        return self._targets.first_token

    @property
    def _slow_floor(self) -> float:
        return MIN_SLOW_LATENCY_SHARE * self._first_target
