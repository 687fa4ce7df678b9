"""Selects the backend servers that one entry host sends work to."""

from collections import defaultdict
from collections.abc import Sequence

import xxhash

from dewridge.ids import FailureDomain
from dewridge.policy.model import ServerView

MIN_HOSTS_PER_SERVER = 3
"""Entry hosts that share a server, at least. With one, a server's capacity would be
unused whenever its only host is idle or down; each further host per server adds a set
of connections, and a set of learned credits on every host."""

MIN_SUBSET_SIZE = 3
"""Servers per entry host, at least, so that the loss of one leaves more than half."""


def order_servers(servers: Sequence[ServerView]) -> list[ServerView]:
    """Order servers so that any run of neighbours spans all failure domains.

    All hosts get the same order. Within a failure domain it is by hash, so that servers
    that were started together are not neighbours.
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


def compute_subset_size(
    servers: Sequence[ServerView], host_count: int, target_size: int
) -> int:
    """Return how many servers each entry host uses, about `target_size`.

    Fewer if a host's even share of a server's capacity would be less than one request:
    hosts would leave some servers of their subsets unused, always the most expensive or
    the slowest ones, which would be idle under full load while others are overloaded.
    More if servers would otherwise have fewer hosts than `MIN_HOSTS_PER_SERVER`.
    """
    hosts = max(1, host_count)
    capacity = sum(server.capacity for server in servers)
    wanted = max(MIN_SUBSET_SIZE, min(target_size, capacity // hosts))
    required = -(-MIN_HOSTS_PER_SERVER * len(servers) // hosts)
    return min(len(servers), max(wanted, required))


def choose_subset(
    servers: Sequence[ServerView], host_index: int, host_count: int, target_size: int
) -> list[ServerView]:
    """Choose the servers of one entry host; the subsets of all hosts overlap evenly.

    Connections from every host to every server would cost more than the work itself in
    a large fleet, such as 440 hosts and 4,900 servers. The subsets begin at equal
    distances on a ring of the ordered servers, so that the numbers of hosts per server
    differ by at most one; random subsets would leave some servers with no host and
    others with many.
    """
    ordered = order_servers(servers)
    if not ordered:
        return []
    size = compute_subset_size(ordered, host_count, target_size)
    start = (host_index % max(1, host_count)) * len(ordered) // max(1, host_count)
    doubled = ordered + ordered[:size]
    return doubled[start : start + size]


def compute_hosts_per_server(
    servers: Sequence[ServerView], host_count: int, target_size: int
) -> float:
    """Return how many entry hosts use one server on average; at least 1."""
    if not servers:
        return 1.0
    size = compute_subset_size(servers, host_count, target_size)
    return max(1.0, host_count * size / len(servers))
