"""What one model engine of a service carries, learned from its own answers."""

import math
from collections import deque
from dataclasses import dataclass, field

KEPT = 200
"""Samples kept: half a minute of one host's requests in a small fleet, so that other
prompts or slower engines show within that."""
DEFAULT_PREFILL_RATE = 65_000.0
"""Prompt tokens a second that an engine is taken to read until its pace is known: about
what is learned of engines that read 40,000 to 57,000 with two fifths of them cached."""
USUAL_WEIGHT = 60.0
"""Samples that the usual pace counts as: learned from fifteen alone the pace moved
between 42,000 and 155,000 within one day, and half of the servers came and went."""
TRIMMED = 0.4
"""Part of the samples, the slowest, that are left out: what other hosts sent in the
same moment was read before them. With a tenth, a crowded service seemed to read at half
of its pace, and servers were ordered until it was not crowded any more."""
FIXED_PART = 0.05
"""Part of the samples, the quickest, whose time is taken for the way there and back and
the first step, which an engine spends on other prompts. With it counted as reading, a
service of short questions seemed to read at two thirds of its pace."""


@dataclass
class PrefillRateMeter:
    """How many prompt tokens a second an engine without other work reads.

    Tokens that it has in its cache already count as read, as they do in the demand: a
    service whose prompts share much needs fewer engines for the same tokens. Made in
    place of one figure for all services, with which a calm fleet ordered three times
    the engines that its work needed, and a service that reads slowly too few.
    """

    _samples: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=KEPT)
    )

    def add_sample(self, tokens: int, seconds: float) -> None:
        """Count a prompt whose answer began so long after it was sent."""
        if tokens > 0 and seconds > 0:
            self._samples.append((seconds, tokens))

    def estimate(self) -> float:
        """Return tokens a second, near the usual pace while few samples are known."""
        count = len(self._samples)
        if not count:
            return DEFAULT_PREFILL_RATE
        fixed = sorted(seconds for seconds, _ in self._samples)[int(FIXED_PART * count)]
        by_slowness = sorted(
            (max(0.0, seconds - fixed) / tokens, tokens)
            for seconds, tokens in self._samples
        )
        kept = by_slowness[: max(1, int(count * (1 - TRIMMED)))]
        busy = sum(slowness * tokens for slowness, tokens in kept)
        if busy <= 0:
            return DEFAULT_PREFILL_RATE
        learned = sum(tokens for _, tokens in kept) / busy
        weight = count / (count + USUAL_WEIGHT)
        return DEFAULT_PREFILL_RATE * math.pow(learned / DEFAULT_PREFILL_RATE, weight)
