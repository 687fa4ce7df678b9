"""What this entry host has learned of one backend server, and its credits."""

from dataclasses import dataclass, field
from enum import Enum
from math import ceil

from dewridge.ids import RequestId
from dewridge.policy.model import ServerView, WorkClass

SMOOTHING = 0.2
"""Weight of a new sample. Five samples move a figure two thirds of the way: a
server that turns slow is seen after a handful of answers, one outlier is not."""

GROWTH = 0.25
"""Credits gained over one round of good answers, shared by all in flight. Each
entry host grows on its own; a faster pace would have several of them overrun a
shared server between two of its refusals."""

REGROWTH = 1.0
"""The same below the host's even part of the capacity, which nobody else counts
on: what one bad moment took comes back within a few answers."""

CUT = 0.7
"""Factor on the credits after a sign of overload. Half would leave capacity idle
after each probe of the limit, nine tenths would take many refusals to back off."""

FIRST_PAUSE = 0.5
LAST_PAUSE = 30.0
"""Seconds that a failing server gets nothing, doubling from the first to the
last. A server that restarts is back within seconds; one that stays broken costs
two requests a minute at most."""

FORGIVING = 0.9
"""Factor on the pause for each good answer. A server that fails again soon after
its probe went well keeps its long pause; a score of good answers clears it."""

FAILURE_LIMIT = 2
"""Failures in a row that suspend a server. One may be the request's own fault."""


SPREADS = 2.0
"""Mean distances above the mean within which about 95 in 100 samples lie."""

MIN_LIMIT = 0.25
"""Credits at least. Fractions count in the sum over the host's servers; with none
left on a server, nothing would tell that it got better."""


class Health(Enum):
    """Whether a server gets work."""

    GOOD = "good"
    SUSPENDED = "suspended"
    """Gets none until its pause is over."""
    PROBING = "probing"
    """Gets one request, whose outcome decides."""


@dataclass(slots=True)
class ServerCredits:
    """A backend server as this entry host knows it from its own responses.

    Reported load lags and every entry host sees the same report; deciding by it
    sends all hosts' work to one server until the next report. Credits are
    private to the host: it may have `limit` requests in flight there, grown by
    good answers and cut by refusals and slowness.

    Attributes:
        share: this host's even part of the server's capacity.
        id_hash: of its id, for prefix affinity.
        first_token: smoothed seconds from dispatch to the first token; 0: none.
        interactive_first_token: the same for interactive work only, which engines
            run first.
        interactive_spread: smoothed distance of the samples from
            `interactive_first_token`.
        token_time: smoothed seconds between tokens; 0: none yet.
        last_response_at: when anything came from it last.
        awaiting_first_token: dispatch times of the requests without a first token,
            oldest first.
        retry_at: when a suspended server may be probed.
        probe: the request that probes it now.
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
    pause: float = FIRST_PAUSE
    retry_at: float = 0.0
    cut_at: float = 0.0
    probe: RequestId | None = None

    def has_room(self, work_class: WorkClass, kept: float, now: float) -> bool:
        """Whether a credit is free for work of a class.

        Args:
            work_class: background work may not use the credits kept free.
            kept: part of the credits that interactive work finds free.
            now: the time, for servers that may be probed.
        """
        if self.view.leaving_at is not None:
            return False
        if self.health is not Health.GOOD:
            return self.is_probe_due(now)
        allowed = ceil(self.limit)
        if work_class is WorkClass.BACKGROUND:
            most = ceil(self.limit * (1 - kept))
            return self.in_flight < allowed and self.background < most
        return self.in_flight < allowed + min(1, self.background)

    def is_probe_due(self, now: float) -> bool:
        """Whether a suspended server may get the one request that probes it."""
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
        """Free the credit of a request that ended."""
        self.in_flight = max(0, self.in_flight - 1)
        if work_class is WorkClass.BACKGROUND:
            self.background = max(0, self.background - 1)
        self.awaiting_first_token.pop(request, None)

    def find_first_token(self, now: float) -> float:
        """Return the expected time to a first token; 0 if nothing is known.

        A server that stopped answering sends no samples, so its silence counts
        as one. Its work would otherwise go on flowing there until the first
        timeout.
        """
        return max(self.first_token, self.find_silence(now))

    def find_silence(self, now: float) -> float:
        """Return how long nothing came though a request waits for its first token.

        Tokens of other requests break it: a server that is merely full still
        streams, one that hangs does not.
        """
        oldest = next(iter(self.awaiting_first_token.values()), now)
        return now - max(oldest, self.last_response_at)

    def find_late_first_token(self, now: float) -> float:
        """Return the time that nearly all interactive first tokens come within.

        The target speaks of 95 in 100 answers; a mean that just meets it would
        have a third of them late.
        """
        usual = self.interactive_first_token + SPREADS * self.interactive_spread
        return max(usual, self.find_silence(now))

    def record_first_token(
        self, request: RequestId, work_class: WorkClass, now: float
    ) -> float | None:
        """Learn from a first token; returns the time that it took."""
        sent_at = self.awaiting_first_token.pop(request, None)
        if sent_at is None:
            return None
        sample = max(0.0, now - sent_at)
        self.last_response_at = now
        self.first_token = _smooth(self.first_token, sample)
        if work_class is WorkClass.INTERACTIVE:
            self.interactive_first_token = _smooth(self.interactive_first_token, sample)
            distance = abs(sample - self.interactive_first_token)
            self.interactive_spread += SMOOTHING * (distance - self.interactive_spread)
        return sample

    def record_token_time(self, sample: float, now: float) -> None:
        """Learn from the time between two tokens."""
        self.last_response_at = now
        self.token_time = _smooth(self.token_time, sample)

    def set_share(self, share: float) -> None:
        """Take over another even part, as hosts or servers came or went.

        Hosts that start one after the other each think to be alone at first;
        credits for the whole capacity, kept by all of them, would overrun it.
        """
        if share != self.share:
            self.limit = max(MIN_LIMIT, self.limit * share / self.share)
            self.share = share

    def grow(self) -> None:
        """Gain a part of a credit after a good answer, if credits were short."""
        if self.health is Health.GOOD and self.in_flight + 1 >= self.limit:
            pace = REGROWTH if self.limit < self.share else GROWTH
            ceiling = float(max(1, self.view.capacity))
            self.limit = min(ceiling, self.limit + pace / max(1.0, self.limit))

    def cut(self, now: float, floor: float = MIN_LIMIT) -> None:
        """Lose credits after a sign of overload, once a round trip.

        One moment of overload is seen by every request in flight; cutting for
        each of them would take all credits for a single event.
        """
        if now - self.cut_at < max(0.05, self.first_token):
            return
        self.cut_at = now
        self.limit = max(min(floor, self.limit), self.limit * CUT, MIN_LIMIT)

    def yield_borrowed(self, now: float) -> None:
        """Lose credits above the even part: other hosts want theirs."""
        self.cut(now, self.share)

    def record_success(self) -> None:
        """Record a good answer; a long run of them shortens the next pause."""
        self.failures = 0
        self.pause = max(FIRST_PAUSE, self.pause * FORGIVING)

    def recover(self, sample: float) -> None:
        """Return after a good probe, with one credit and nothing else known.

        One credit, not those it had: a server that comes back cold would get
        the load that broke it at one moment from every entry host. What was
        learned while it was slow would have it suspended again at once.
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
        """Record an attempt that the server refused to start: it is full."""
        self.cut(now)
        if self.probe == request:
            self.suspend(now, jitter)

    def record_failure(self, now: float, jitter: float) -> None:
        """Record a failed attempt; `jitter` is a random number within 0 to 1."""
        self.failures += 1
        self.limit = max(MIN_LIMIT, self.limit * CUT)
        if self.failures >= FAILURE_LIMIT or self.health is Health.PROBING:
            self.suspend(now, jitter)

    def drop_probe(self, request: RequestId) -> None:
        """Forget a probe that ended without telling anything."""
        if self.probe == request:
            self.probe = None
            self.health = Health.SUSPENDED

    def suspend(self, now: float, jitter: float) -> None:
        """Give it nothing for a while, longer each time."""
        self.health = Health.SUSPENDED
        self.probe = None
        self.retry_at = now + self.pause * (0.5 + jitter)
        self.pause = min(LAST_PAUSE, self.pause * 2)
        self.limit = min(1.0, self.share)


def _smooth(known: float, sample: float) -> float:
    if known == 0.0:
        return sample
    return known + SMOOTHING * (sample - known)
