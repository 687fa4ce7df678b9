"""Concurrency credits and measurements of one backend server at this entry host."""

from dataclasses import dataclass, field
from enum import Enum
from math import ceil

from dewridge.ids import RequestId
from dewridge.policy.model import ServerView, WorkClass
from dewridge.policy.rests import MAX_REST

SMOOTHING_WEIGHT = 0.2
"""Weight of a new sample in an exponential average. Five samples move the average two
thirds of the way: a server that becomes slow is detected after a few answers, while a
single outlier has little effect."""

CREDIT_GAIN = 0.25
"""Credits gained per round of good answers, one answer for each credit. Entry hosts
gain credits independently; with a higher gain several of them would overload a shared
server between two of its refusals."""

CREDIT_REGAIN = 1.0
"""As CREDIT_GAIN, while the host has less than its equal share of the server's
capacity, which no other host counts on. Credits lost in a single event return within a
few answers."""

REDUCTION_FACTOR = 0.7
"""Factor on the credits after a sign of overload. With 0.5, capacity would be idle each
time that the limit is exceeded; with 0.9, backing off would take many refusals."""

MIN_PAUSE = 0.5
MAX_PAUSE = 30.0
"""Seconds for which a failing server gets no requests, doubled from the minimum to the
maximum. A server that restarts is used again within seconds; one that stays broken
costs at most two requests per minute."""

PAUSE_DECAY = 0.9
"""Factor on the pause for each good answer. A server that fails again soon after a good
probe keeps its long pause; twenty good answers shorten it to about an eighth."""

FAILURE_LIMIT = 2
"""Consecutive failures that suspend a server. A single one may be caused by the request
itself."""

SPREAD_MULTIPLE = 2.0
"""Multiple of the mean deviation above the mean within which about 95% of the samples
lie."""

MIN_LIMIT = 0.25
"""Lower bound of the credits for a server. Fractions count in the sum over the host's
servers; without any credit, the host would not notice that the server has recovered."""


class Health(Enum):
    """Whether a server gets work."""

    GOOD = "good"
    SUSPENDED = "suspended"
    """Gets no requests until its pause has passed."""
    PROBING = "probing"
    """Gets one request, whose outcome decides whether the server gets more."""


@dataclass(slots=True)
class ServerCredits:
    """What this entry host knows of a backend server from its own requests.

    Reported load is stale and the same for all entry hosts, so that deciding by it
    would send the work of all hosts to one server until the next report. Credits are
    private to a host: it may have up to `limit` requests in flight to the server. Good
    answers increase the limit, refusals and slow answers reduce it.

    Attributes:
        view: properties of the server.
        limit: credits, which may be a fraction.
        share: this host's equal share of the server's capacity.
        id_hash: hash of the server's id, for prefix affinity.
        in_flight: requests of this host in flight to the server.
        background: those of them that are background work.
        first_token: smoothed seconds from dispatch to the first token; 0 before the
            first sample.
        interactive_first_token: the same for interactive work only, which engines
            run first.
        interactive_spread: smoothed mean deviation from `interactive_first_token`.
        token_time: smoothed seconds between tokens; 0 before the first sample.
        last_response_at: when the last token was received.
        awaiting_first_token: dispatch times of the requests without a first token,
            oldest first.
        health: whether the server gets work.
        failures: consecutive failures.
        pause: seconds of the next suspension.
        retry_at: when a suspended server may be probed.
        reduced_at: when the credits were last reduced.
        probe: the request that is probing the server.
    """

    view: ServerView
    limit: float
    share: float
    id_hash: int
    in_flight: int = 0
    background: int = 0
    first_token: float = 0.0
    interactive_first_token: float = 0.0
    interactive_spread: float = 0.0
    token_time: float = 0.0
    last_response_at: float = 0.0
    awaiting_first_token: dict[RequestId, float] = field(default_factory=dict)
    health: Health = Health.GOOD
    failures: int = 0
    pause: float = MIN_PAUSE
    retry_at: float = 0.0
    reduced_at: float = 0.0
    probe: RequestId | None = None

    def has_room(
        self, work_class: WorkClass, reserved_share: float, now: float
    ) -> bool:
        """Return whether a credit is free for work of a class.

        Args:
            work_class: class of the work; background work can't use reserved credits.
            reserved_share: share of the credits reserved for interactive work.
            now: current time, for suspended servers that may be probed.
        """
        if self.view.leaving_at is not None:
            return False
        if self.health is not Health.GOOD:
            return self.is_probe_due(now)
        max_in_flight = ceil(self.limit)
        if work_class is WorkClass.BACKGROUND:
            max_background = ceil(self.limit * (1 - reserved_share))
            return self.in_flight < max_in_flight and self.background < max_background
        return self.in_flight < max_in_flight + min(1, self.background)

    def is_probe_due(self, now: float) -> bool:
        """Return whether the server is suspended and may be probed with a request."""
        is_suspended = self.health is Health.SUSPENDED
        return is_suspended and self.view.leaving_at is None and now >= self.retry_at

    def acquire(self, request: RequestId, work_class: WorkClass, now: float) -> None:
        """Use a credit for a dispatch."""
        self.in_flight += 1
        self.background += work_class is WorkClass.BACKGROUND
        self.awaiting_first_token[request] = now
        if self.health is Health.SUSPENDED:
            self.health = Health.PROBING
            self.probe = request

    def release(self, request: RequestId, work_class: WorkClass) -> None:
        """Free the credit of a request that has ended."""
        self.in_flight = max(0, self.in_flight - 1)
        if work_class is WorkClass.BACKGROUND:
            self.background = max(0, self.background - 1)
        self.awaiting_first_token.pop(request, None)

    def estimate_first_token(self, now: float) -> float:
        """Return the expected seconds to a first token; 0 if unknown.

        A server that has stopped answering yields no samples, so the time since its
        last response counts as one. Otherwise it would get work until the first
        timeout.
        """
        return max(self.first_token, self.compute_silence(now))

    def compute_silence(self, now: float) -> float:
        """Return the seconds without a response while a request awaits its first token.

        Tokens of any request count as a response: a server that is merely full still
        streams, one that hangs does not.
        """
        oldest = next(iter(self.awaiting_first_token.values()), now)
        return now - max(oldest, self.last_response_at)

    def estimate_late_first_token(self, now: float) -> float:
        """Return the seconds within which about 95% of interactive first tokens come.

        The latency target applies to 95% of the answers; if the mean just met the
        target, a third of them would be late.
        """
        typical = (
            self.interactive_first_token + SPREAD_MULTIPLE * self.interactive_spread
        )
        return max(typical, self.compute_silence(now))

    def record_first_token(
        self, request: RequestId, work_class: WorkClass, now: float
    ) -> float | None:
        """Record a first token; returns its seconds, or None if it was not awaited."""
        sent_at = self.awaiting_first_token.pop(request, None)
        if sent_at is None:
            return None
        sample = max(0.0, now - sent_at)
        self.last_response_at = now
        self.first_token = _smooth(self.first_token, sample)
        if work_class is WorkClass.INTERACTIVE:
            self.interactive_first_token = _smooth(self.interactive_first_token, sample)
            distance = abs(sample - self.interactive_first_token)
            self.interactive_spread += SMOOTHING_WEIGHT * (
                distance - self.interactive_spread
            )
        return sample

    def record_token_time(self, sample: float, now: float) -> None:
        """Record the seconds between two tokens."""
        self.last_response_at = now
        self.token_time = _smooth(self.token_time, sample)

    def set_share(self, share: float) -> None:
        """Change the host's share of the capacity and scale its credits accordingly.

        The share changes when hosts or servers join or leave. Hosts that start one
        after the other each know only themselves at first; if all of them retained
        credits for the whole capacity, they would overload the server.
        """
        if share != self.share:
            self.limit = max(MIN_LIMIT, self.limit * share / self.share)
            self.share = share

    def increase_limit(self) -> None:
        """Add a fraction of a credit after a good answer, if nearly all were in use."""
        if self.health is Health.GOOD and self.in_flight + 1 >= self.limit:
            gain = CREDIT_REGAIN if self.limit < self.share else CREDIT_GAIN
            max_limit = float(max(1, self.view.capacity))
            self.limit = min(max_limit, self.limit + gain / max(1.0, self.limit))

    def reduce_limit(self, now: float, floor: float = MIN_LIMIT) -> None:
        """Reduce the credits after a sign of overload, at most once per round trip.

        All requests in flight notice the same overload; reducing the credits for each
        of them would remove all credits for a single event.

        Args:
            now: current time.
            floor: credits that are retained if the host has them.
        """
        if now - self.reduced_at < max(0.05, self.first_token):
            return
        self.reduced_at = now
        self.limit = max(
            min(floor, self.limit), self.limit * REDUCTION_FACTOR, MIN_LIMIT
        )

    def reduce_to_share(self, now: float) -> None:
        """Reduce the credits to the host's share, as other hosts need the rest."""
        self.reduce_limit(now, self.share)

    def record_success(self) -> None:
        """Record a good answer, which shortens the pause after the next failure."""
        self.failures = 0
        self.pause = max(MIN_PAUSE, self.pause * PAUSE_DECAY)

    def recover(self, sample: float) -> None:
        """Use the server again after a good probe, with at most one credit.

        With its previous credits, a server that has just recovered would at once get
        the load that made it fail, from every entry host. Earlier measurements are
        dropped: those taken while it was slow would suspend it again immediately.
        """
        self.health = Health.GOOD
        self.probe = None
        self.failures = 0
        self.limit = min(1.0, self.share)
        self.first_token = sample
        self.interactive_first_token = sample
        self.interactive_spread = 0.0
        self.token_time = 0.0

    def record_refusal(self, request: RequestId, now: float, jitter: float) -> None:
        """Record an attempt that the server refused because it is full."""
        self.reduce_limit(now)
        if self.probe == request:
            self.suspend(now, jitter)

    def rest(self, seconds: float, now: float) -> None:
        """Send no requests for as long as the server asks for, then probe it.

        A later answer with a shorter time does not shorten the rest.
        """
        self.health = Health.SUSPENDED
        self.probe = None
        self.retry_at = max(self.retry_at, now + min(seconds, MAX_REST))
        self.limit = min(1.0, self.share)

    def record_failure(self, now: float, jitter: float) -> None:
        """Record a failed attempt; `jitter` is a random number from 0 to 1."""
        self.failures += 1
        self.limit = max(MIN_LIMIT, self.limit * REDUCTION_FACTOR)
        if self.failures >= FAILURE_LIMIT or self.health is Health.PROBING:
            self.suspend(now, jitter)

    def drop_probe(self, request: RequestId) -> None:
        """End a probe that showed nothing about the server; it stays suspended."""
        if self.probe == request:
            self.probe = None
            self.health = Health.SUSPENDED

    def suspend(self, now: float, jitter: float) -> None:
        """Send no requests for a pause that doubles each time."""
        self.health = Health.SUSPENDED
        self.probe = None
        self.retry_at = now + self.pause * (0.5 + jitter)
        self.pause = min(MAX_PAUSE, self.pause * 2)
        self.limit = min(1.0, self.share)


def _smooth(average: float, sample: float) -> float:
    if average == 0.0:
        return sample
    return average + SMOOTHING_WEIGHT * (sample - average)
