"""Which backend servers one entry host sends work to."""

from collections import defaultdict
from collections.abc import Sequence

import xxhash

from dewridge.ids import FailureDomain
from dewridge.policy.model import ServerView

OVERLAP = 3
"""Entry hosts that share a server, at least. With one, a server's capacity would
stand idle whenever its only host is idle or gone; each further one costs another
set of connections and learned credits on every host."""


def order_servers(servers: Sequence[ServerView]) -> list[ServerView]:
    """Order servers so that any run of neighbours spans all failure domains.

    The order is the same on every host. Within a failure domain it is by hash,
    so that servers which were started together do not stand together.
    """
    domains: dict[FailureDomain, list[tuple[int, ServerView]]] = defaultdict(list)
    for server in servers:
        digest = xxhash.xxh3_64_intdigest(server.id.encode())
        domains[server.failure_domain].append((digest, server))
    placed = []
    for domain in sorted(domains):
        ranked = sorted(domains[domain], key=lambda item: (item[0], item[1].id))
        size = len(ranked)
        for rank, (_, server) in enumerate(ranked):
            placed.append(((rank + 0.5) / size, domain, server))
    placed.sort(key=lambda item: item[:2])
    return [server for _, _, server in placed]


def find_subset_size(server_count: int, host_count: int, least: int) -> int:
    """Return how many servers each entry host uses."""
    shared = -(-OVERLAP * server_count // max(1, host_count))
    return min(server_count, max(least, shared))


def choose_subset(
    servers: Sequence[ServerView], host_index: int, host_count: int, least: int
) -> list[ServerView]:
    """Choose the servers of one entry host; subsets of all hosts overlap evenly.

    Made for a fleet in which each host talking to each server would need more
    connections than the work: 440 hosts before 4,900 servers. The hosts' arcs
    start at even distances on a circle of the ordered servers, so the number of
    hosts that use a server differs by one at most between servers; drawing the
    subsets at random would leave some servers with none and others with many.
    """
    ordered = order_servers(servers)
    if not ordered:
        return []
    size = find_subset_size(len(ordered), host_count, least)
    start = (host_index % max(1, host_count)) * len(ordered) // max(1, host_count)
    doubled = ordered + ordered[:size]
    return doubled[start : start + size]


def find_sharers(server_count: int, host_count: int, least: int) -> float:
    """Return how many entry hosts use one server, on average."""
    if server_count == 0:
        return 1.0
    size = find_subset_size(server_count, host_count, least)
    return max(1.0, host_count * size / server_count)
