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

LEAST_SIZE = 3
"""Servers at least, so that the loss of one leaves more than half."""


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


def find_subset_size(servers: Sequence[ServerView], host_count: int, most: int) -> int:
    """Return how many servers each entry host uses, about `most`.

    Fewer where a host's even part of a server's capacity would be less than one
    request. Hosts would have to leave some servers of their subsets unused, all
    of them the dearest or slowest ones, which would stand idle under full load
    while the others are overrun. More where servers would else lack hosts.
    """
    hosts = max(1, host_count)
    capacity = sum(server.capacity for server in servers)
    wanted = max(LEAST_SIZE, min(most, capacity // hosts))
    shared = -(-OVERLAP * len(servers) // hosts)
    return min(len(servers), max(wanted, shared))


def choose_subset(
    servers: Sequence[ServerView], host_index: int, host_count: int, most: int
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
    size = find_subset_size(ordered, host_count, most)
    start = (host_index % max(1, host_count)) * len(ordered) // max(1, host_count)
    doubled = ordered + ordered[:size]
    return doubled[start : start + size]


def find_sharers(servers: Sequence[ServerView], host_count: int, most: int) -> float:
    """Return how many entry hosts use one server, on average."""
    if not servers:
        return 1.0
    size = find_subset_size(servers, host_count, most)
    return max(1.0, host_count * size / len(servers))
