"""Demand for each prompt prefix at one host, and the cache holders that it needs."""

import math
from dataclasses import dataclass, field

MEMORY_TIME = 10.0
"""Seconds after which a request counts 1/e: long enough for a host of a large fleet to
see a hot prefix several times, short enough to follow a new one."""
MIN_HOLDERS = 2
"""Holders of a prefix that is not hot; with a single one, prompts that exceed its
capacity would be read at a different server each time."""
HOLDERS_PER_SHARE = 1.5
"""Holders of a prefix as a multiple of its share of the servers' work, so that its
holders are not loaded more than others."""
MIN_REQUESTS = 3
"""Requests with a prefix from which it may get more holders: the share of one or two
requests among few is no evidence."""
MAX_PREFIXES = 2_000
"""Prefixes that are remembered; the least recently requested one is forgotten. At 100
bytes for each, this takes 0.2 MB."""


@dataclass(slots=True)
class _DecayingCount:
    """Number of requests, and their number weighted by age."""

    requests: int = 0
    weight: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float) -> None:
        self.weight = self.read(now) + 1
        self.requests += 1
        self.updated_at = now

    def read(self, now: float) -> float:
        return self.weight * math.exp(-max(0.0, now - self.updated_at) / MEMORY_TIME)


@dataclass
class PrefixDemand:
    """Recent requests of one service at one host, by prefix."""

    _total: _DecayingCount = field(default_factory=_DecayingCount)
    _prefixes: dict[str, _DecayingCount] = field(default_factory=dict)

    def record(self, prefix: str, now: float) -> None:
        """Record a request; without a shared prefix, `prefix` is empty."""
        self._total.add(now)
        if not prefix:
            return
        # Reinserting the prefix keeps the least recently requested one in front.
        count = self._prefixes.pop(prefix, None) or _DecayingCount()
        count.add(now)
        self._prefixes[prefix] = count
        if len(self._prefixes) > MAX_PREFIXES:
            del self._prefixes[next(iter(self._prefixes))]

    def count_holders(self, prefix: str, servers: int, now: float) -> int:
        """Return the number of servers that should cache a prefix.

        Args:
            prefix: the prefix.
            servers: number of servers of the service.
            now: monotonic time.
        """
        count = self._prefixes.get(prefix)
        if count is None or count.requests < MIN_REQUESTS:
            return min(servers, MIN_HOLDERS)
        share = count.read(now) / max(1.0, self._total.read(now))
        wanted = math.ceil(share * servers * HOLDERS_PER_SHARE)
        return min(servers, max(MIN_HOLDERS, wanted))
