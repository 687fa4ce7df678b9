"""Pace of each server: how its recent first events compare with the expected times."""

from dataclasses import dataclass

HALF_LIFE = 0.6
"""Seconds after which a sample counts half: the time for which servers slow down."""
PRIOR_SAMPLES = 2.0
"""Samples of ratio 1 that are assumed for each server, so that a single slow answer
does not exclude it."""
MIN_PACE = 0.5
"""Lower bound of a pace: a server that seems to be faster had a shorter queue than was
known."""
MAX_PACE = 4.0
"""Upper bound of a pace, so that a server that stalled once is still tried."""
MAX_RATIO = 20.0
"""Largest credible ratio; above it, the request waited for something else."""

FULL_WEIGHT_TIME = 0.1
"""Expected seconds from which a sample counts in full, and proportionally below. A
short prompt that waits for one unknown prompt has a ratio of 10 at a server of usual
pace."""
MAX_STALENESS = HALF_LIFE
"""Staleness in seconds above which paces reported by other hosts are not used. In
replays with slow periods of 0.6 s and reports 0.9 s old, using them made 13% to 19% of
the answers late instead of 10% to 12%."""

MAX_AGE = 3.0
"""Seconds after which a host drops its samples of a server: a process that was
suspended knows nothing of the paces since then."""


def is_credible(samples: float, ratio_sum: float) -> bool:
    """Return whether the mean of reported ratios is one that a server can have."""
    return samples > 0 and 0 < ratio_sum <= MAX_RATIO * samples


def compute_pace(samples: float, ratio_sum: float) -> float:
    """Return the factor by which a server takes longer than expected.

    Args:
        samples: number of recent samples.
        ratio_sum: sum of their ratios of actual to expected seconds.
    """
    pace = (ratio_sum + PRIOR_SAMPLES) / (samples + PRIOR_SAMPLES)
    return min(MAX_PACE, max(MIN_PACE, pace))


@dataclass(slots=True)
class PaceMeter:
    """Decaying sums of one host's samples of one server."""

    samples: float = 0.0
    ratio_sum: float = 0.0
    updated_at: float = 0.0

    def add(self, seconds: float, expected: float, now: float) -> bool:
        """Add a sample; return whether its ratio is credible.

        Args:
            seconds: actual seconds to the first event.
            expected: seconds that were expected at pace 1.
            now: monotonic time.
        """
        if expected <= 0 or not is_credible(1.0, seconds / expected):
            return False
        weight = min(1.0, expected / FULL_WEIGHT_TIME)
        samples, ratio_sum = self.read(now)
        self.samples = samples + weight
        self.ratio_sum = ratio_sum + seconds / expected * weight
        self.updated_at = max(self.updated_at, now)
        return True

    def read(self, now: float) -> tuple[float, float]:
        """Return the samples and the sum of their ratios, decayed up to now."""
        if now - self.updated_at > MAX_AGE:
            return 0.0, 0.0
        decay = compute_decay(now - self.updated_at)
        return self.samples * decay, self.ratio_sum * decay


def compute_decay(age: float) -> float:
    """Return the weight of a sample of this age in seconds."""
    decay: float = 0.5 ** (max(0.0, age) / HALF_LIFE)
    return decay


@dataclass(frozen=True, slots=True)
class ReportedPace:
    """Sums of the samples of other hosts, as reported."""

    samples: float = 0.0
    ratio_sum: float = 0.0


def combine_pace(
    own: PaceMeter | None,
    reported: ReportedPace,
    staleness: float,
    now: float,
) -> float:
    """Return the pace of a server from the samples of this host and of the others.

    Args:
        own: this host's samples; None if there are none.
        reported: sums of the other hosts.
        staleness: seconds by which these lag; they decay by it as the own ones do.
        now: monotonic time.
    """
    samples, ratio_sum = own.read(now) if own is not None else (0.0, 0.0)
    if staleness <= MAX_STALENESS and is_credible(reported.samples, reported.ratio_sum):
        decay = compute_decay(staleness)
        samples += reported.samples * decay
        ratio_sum += reported.ratio_sum * decay
    return compute_pace(samples, ratio_sum)
