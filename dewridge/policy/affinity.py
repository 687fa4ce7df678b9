"""Prefix affinity: sends requests with the same prompt prefix to the same server."""

UINT64_MASK = (1 << 64) - 1
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
"""2**64 divided by the golden ratio, as in Fibonacci hashing."""


def score_prefix(prefix: int, server_hash: int) -> int:
    """Return the rendezvous score of a server for a prefix.

    The server with the highest score is the prefix's cache holder. Callers salt the
    prefix with the client account, so that no account can find out from response times
    what the prompts of another account begin with.
    """
    mixed = ((prefix & UINT64_MASK) ^ server_hash) * HASH_MULTIPLIER & UINT64_MASK
    mixed = (mixed ^ (mixed >> 32)) * HASH_MULTIPLIER & UINT64_MASK
    return mixed ^ (mixed >> 29)


def is_within_load_bound(in_flight: int, mean: float, load_bound: float) -> bool:
    """Return whether the load of a server is low enough for prefix affinity.

    Consistent hashing with bounded loads. When most requests share one prefix, such as
    a document template, the bound keeps its server from getting nearly all the work
    while the other servers are idle: the overflow goes to the next server by score.

    Args:
        in_flight: requests in flight to the server.
        mean: mean number of requests in flight over all servers.
        load_bound: bound of the load, as a multiple of the mean.
    """
    return in_flight + 1 <= load_bound * (mean + 1)
