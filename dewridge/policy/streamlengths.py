"""How long streams of a route take, as measured on this host.

Made for servers that are slow or overloaded while hosts are restarted: streams that
are accepted shortly before the exit would all be cut, though other hosts could serve
them.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

SAMPLE_LIFETIME = 60.0
"""Seconds after its end for which a stream counts."""
MAX_SAMPLES = 100
"""Streams of a route that are remembered."""
MAX_ROUTES = 100
"""Routes that are remembered, those of the latest streams."""
QUANTILE = 0.95
"""Share of the streams that take no longer than what is reported."""


@dataclass
class StreamLengths:
    """The recent streams of each route that ended completely."""

    _samples: OrderedDict[str, deque[tuple[float, float]]] = field(
        default_factory=OrderedDict
    )

    def record(self, route: str, seconds: float, now: float) -> None:
        """Record a stream that has ended."""
        samples = self._samples.setdefault(route, deque(maxlen=MAX_SAMPLES))
        samples.append((now, seconds))
        self._samples.move_to_end(route)
        if len(self._samples) > MAX_ROUTES:
            self._samples.popitem(last=False)

    def estimate(self, route: str, now: float) -> float:
        """Return the seconds that nearly all recent streams took; 0 without any."""
        lengths = sorted(
            seconds
            for ended_at, seconds in self._samples.get(route, ())
            if now - ended_at < SAMPLE_LIFETIME
        )
        if not lengths:
            return 0.0
        return lengths[min(len(lengths) - 1, int(QUANTILE * len(lengths)))]
