"""Speed of the engines of a service, learned from this host's own answers."""

from dataclasses import dataclass

from dewridge.policy.capacity import DEFAULT_PREFILL_RATE

DEFAULT_FIXED_TIME = 0.02
"""Seconds assumed for the network and the first engine step."""
DEFAULT_RUN_TIME = 1.0
"""Seconds for which a request is assumed to occupy a slot."""
PRIOR_TOKENS = 8_000.0
"""Size in tokens of the prompt that stands for the default rate."""
PRIOR_WEIGHT = 5.0
"""Weight of each of the two assumed samples; ten real ones weigh as much as both."""
RETENTION = 0.99
"""Factor by which each new sample reduces the weight of the earlier ones: the last 100
samples count, half a minute of one host's requests in a large fleet."""
MAX_EXCESS = 4.0
"""Multiple of the expected seconds to which a sample is cut. Longer times show prompts
of other hosts that were not known yet, and not the speed."""
MIN_PREFILL_RATE, MAX_PREFILL_RATE = 2_000.0, 2_000_000.0
"""Credible prompt tokens per second of an engine."""
MIN_FIXED_TIME, MAX_FIXED_TIME = 0.001, 1.0
"""Credible seconds for the network and the first step."""
MIN_SAMPLES = 10
"""Samples from which the speed counts as known."""
MEAN_WEIGHT = 0.02
"""Weight of the newest value in a running mean: about the last fifty count."""


@dataclass(slots=True)
class SpeedMeter:
    """Fits the seconds to the first event as fixed time + tokens / rate.

    A decaying least-squares fit, because the two parts can't be observed separately.
    The fit averages over fast and slow periods of the servers, so that the pace of a
    server is relative to the mean of the service.

    Attributes:
        samples: number of samples so far.
        run_time: mean seconds for which a request occupies a slot.
        request_tokens: mean tokens of a request, prompt and output together; 0 before
            the first one.
    """

    samples: int = 0
    run_time: float = DEFAULT_RUN_TIME
    request_tokens: float = 0.0
    _weight: float = 2 * PRIOR_WEIGHT
    _x: float = PRIOR_WEIGHT * PRIOR_TOKENS
    _y: float = PRIOR_WEIGHT * (
        2 * DEFAULT_FIXED_TIME + PRIOR_TOKENS / DEFAULT_PREFILL_RATE
    )
    _xx: float = PRIOR_WEIGHT * PRIOR_TOKENS**2
    _xy: float = (
        PRIOR_WEIGHT
        * PRIOR_TOKENS
        * (DEFAULT_FIXED_TIME + PRIOR_TOKENS / DEFAULT_PREFILL_RATE)
    )

    @property
    def is_known(self) -> bool:
        """Whether there are enough samples to rely on the speed."""
        return self.samples >= MIN_SAMPLES

    def add_first_event(self, tokens: float, seconds: float) -> None:
        """Add the seconds to a first event.

        Args:
            tokens: tokens that the server had to prefill before it.
            seconds: seconds since the request was sent.
        """
        if tokens < 0 or seconds <= 0:
            return
        rate, fixed_time = self.estimate()
        seconds = min(seconds, MAX_EXCESS * (fixed_time + tokens / rate))
        self.samples += 1
        self._weight = self._weight * RETENTION + 1
        self._x = self._x * RETENTION + tokens
        self._y = self._y * RETENTION + seconds
        self._xx = self._xx * RETENTION + tokens * tokens
        self._xy = self._xy * RETENTION + tokens * seconds

    def add_run(self, seconds: float, tokens: int) -> None:
        """Add a complete request.

        Args:
            seconds: seconds for which it occupied a slot.
            tokens: tokens of its prompt and output.
        """
        if seconds <= 0:
            return
        self.run_time += (seconds - self.run_time) * MEAN_WEIGHT
        if self.request_tokens == 0:
            self.request_tokens = tokens
        self.request_tokens += (tokens - self.request_tokens) * MEAN_WEIGHT

    def estimate(self) -> tuple[float, float]:
        """Return tokens per second and the fixed time in seconds."""
        spread = self._weight * self._xx - self._x**2
        if spread <= 0:
            return DEFAULT_PREFILL_RATE, DEFAULT_FIXED_TIME
        slope = (self._weight * self._xy - self._x * self._y) / spread
        slope = min(1 / MIN_PREFILL_RATE, max(1 / MAX_PREFILL_RATE, slope))
        fixed_time = (self._y - slope * self._x) / self._weight
        return 1 / slope, min(MAX_FIXED_TIME, max(MIN_FIXED_TIME, fixed_time))
