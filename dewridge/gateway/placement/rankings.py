"""Order of the cache holders of each prefix, cached between requests."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import xxhash

from dewridge.ids import BackendServerId
from dewridge.policy.affinity import score_prefix

MAX_RANKINGS = 500
"""Cached rankings of a service; each takes up to 1 kB."""
SPARE_HOLDERS = 4
"""Servers ranked beyond the holders, in place of holders that may not be used."""
MAX_HASHES = 2_000
"""Cached hashes of server ids; all are dropped beyond that."""


@dataclass(frozen=True, slots=True)
class _Ranking:
    version: int
    count: int
    servers: tuple[BackendServerId, ...]


@dataclass
class HolderRankings:
    """The first servers by rendezvous score for the recently requested prefixes.

    All hosts rank the servers alike (`dewridge.policy.choice`), and a larger set of
    holders contains each smaller one.
    """

    _rankings: dict[str, _Ranking] = field(default_factory=dict)
    _hashes: dict[BackendServerId, int] = field(default_factory=dict)

    def rank(
        self,
        prefix: str,
        list_servers: Callable[[], Iterable[BackendServerId]],
        version: int,
        count: int,
    ) -> tuple[BackendServerId, ...]:
        """Return at least the first holders of a prefix, best first.

        Args:
            prefix: the prefix.
            list_servers: returns all servers of the service.
            version: number of changes to the table of servers; a ranking is used until
                it changes.
            count: number of holders wanted.
        """
        known = self._rankings.pop(prefix, None)
        if known is None or known.version != version or known.count < count:
            ranked = self.rank_all(prefix, list_servers(), count + SPARE_HOLDERS)
            known = _Ranking(version, count, ranked)
        # Reinserting the ranking keeps the least recently used one in front.
        self._rankings[prefix] = known
        if len(self._rankings) > MAX_RANKINGS:
            del self._rankings[next(iter(self._rankings))]
        return known.servers

    def rank_all(
        self, prefix: str, servers: Iterable[BackendServerId], count: int
    ) -> tuple[BackendServerId, ...]:
        """Return the first servers by score, without the cache of rankings."""
        seed = xxhash.xxh3_64_intdigest(prefix.encode())
        return tuple(
            heapq.nlargest(
                count,
                servers,
                key=lambda server: score_prefix(seed, self._hash(server)),
            )
        )

    def _hash(self, server: BackendServerId) -> int:
        digest = self._hashes.get(server)
        if digest is None:
            if len(self._hashes) >= MAX_HASHES:
                self._hashes.clear()
            digest = xxhash.xxh3_64_intdigest(server.encode())
            self._hashes[server] = digest
        return digest
