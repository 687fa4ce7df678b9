"""Prefill rate of the model engines of a service, measured from their answers."""

import math
from collections import deque
from dataclasses import dataclass, field

MAX_SAMPLES = 200
"""Number of most recent samples that are stored: half a minute of one host's requests
in a small fleet, so that the rate follows a change of prompts or of engine speed within
that time."""
DEFAULT_PREFILL_RATE = 65_000.0
"""Prompt tokens per second that an engine is assumed to read before it is measured:
about what is measured for engines that read 40,000 to 57,000 tokens per second with two
fifths of the prompt tokens cached."""
DEFAULT_WEIGHT = 60.0
"""Weight of the default rate, as a number of samples. Without it, estimates from
fifteen samples varied between 42,000 and 155,000 within a day, and half of the servers
were released and ordered again."""
TRIMMED_SHARE = 0.4
"""Share of the samples, the slowest, that are left out: they include the time that the
engine spent on prompts which other hosts sent at the same moment. With a tenth left
out, a crowded service seemed to read at half of its rate, so that servers were ordered
until the service was no longer crowded."""
FIXED_TIME_QUANTILE = 0.05
"""Quantile of the response times that is taken as the fixed time of a request: the
network round trip and the first engine step, which is spent on other prompts. With the
fixed time counted as reading, a service with short prompts seemed to read at two thirds
of its rate."""


@dataclass
class PrefillRateMeter:
    """Estimates how many prompt tokens per second an otherwise idle engine reads.

    Tokens found in the prefix cache count as read, as they do in the demand: a service
    whose prompts share long prefixes needs fewer engines for the same tokens. The rate
    is measured per service, because with one rate for all services a lightly loaded
    fleet ordered three times the engines that it needed, and a service with slow
    engines ordered too few.
    """

    _samples: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )

    def add_sample(self, tokens: int, seconds: float) -> None:
        """Add a prompt and the seconds from sending it to the start of its answer."""
        if tokens > 0 and seconds > 0:
            self._samples.append((seconds, tokens))

    def estimate(self) -> float:
        """Return tokens per second, close to the default rate while samples are few."""
        count = len(self._samples)
        if not count:
            return DEFAULT_PREFILL_RATE
        fixed_time = sorted(seconds for seconds, _ in self._samples)[
            int(FIXED_TIME_QUANTILE * count)
        ]
        by_time_per_token = sorted(
            (max(0.0, seconds - fixed_time) / tokens, tokens)
            for seconds, tokens in self._samples
        )
        fastest = by_time_per_token[: max(1, int(count * (1 - TRIMMED_SHARE)))]
        processing_time = sum(
            time_per_token * tokens for time_per_token, tokens in fastest
        )
        if processing_time <= 0:
            return DEFAULT_PREFILL_RATE
        measured = sum(tokens for _, tokens in fastest) / processing_time
        weight = count / (count + DEFAULT_WEIGHT)
        return DEFAULT_PREFILL_RATE * math.pow(measured / DEFAULT_PREFILL_RATE, weight)
