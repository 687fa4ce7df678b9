"""How long an idle connection to the servers of a service may be reused."""

from dataclasses import dataclass

INITIAL_LIMIT = 0.6
"""Limit in seconds before anything is learned: no server has been observed to close an
idle connection this early."""
MIN_LIMIT = 0.3
"""Lower bound of the limit in seconds. A server that crashes closes its connections at
any age, which says nothing about the idle timeout of the other servers."""
ANNOUNCED_SHARE = 0.5
"""Share of an announced keep-alive time that is relied on at most: some servers close
connections earlier than they announce."""
MAX_UNANNOUNCED = 5.0
"""Upper bound in seconds for servers that announce no keep-alive time."""
GROWTH_FACTOR = 1.25
"""Largest factor by which the limit grows with each connection found open after a
longer idle time: a few of them double it."""
CLOSED_SHARE = 0.5
"""New limit, as a share of the idle time of a connection that was found closed: the
server may have closed it at any earlier time."""
NON_RETRYABLE_SHARE = 0.7
"""Share of the limit that is used for requests that can't be sent again. Requests that
can be repeated use the whole limit and so find out where it lies."""


@dataclass
class IdleLimitEstimator:
    """Learns how long the servers of a service leave idle connections open.

    Requests are spread over many servers, so that a connection is idle for seconds
    before its next request. A new connection for each request would cost server time
    and a round trip; a request that is sent on a connection which the server has just
    closed is lost. The idle timeout of servers differs by service, and not all servers
    announce it correctly.

    Attributes:
        limit: seconds for which an idle connection is considered usable.
    """

    limit: float = INITIAL_LIMIT

    def record_open(self, age: float) -> None:
        """Record that a connection was still open after `age` idle seconds."""
        if age > self.limit:
            self.limit = min(age, self.limit * GROWTH_FACTOR)

    def record_closed(self, age: float) -> None:
        """Record that a connection was found closed after `age` idle seconds."""
        self.limit = max(MIN_LIMIT, min(self.limit, age * CLOSED_SHARE))

    def compute_limit(
        self, announced: float | None, *, is_non_retryable: bool
    ) -> float:
        """Return the idle seconds up to which a connection may be reused.

        Args:
            announced: keep-alive seconds that the server announces; None if it
                announces none.
            is_non_retryable: whether the request can't be sent again.
        """
        max_limit = MAX_UNANNOUNCED
        if announced is not None:
            max_limit = announced * ANNOUNCED_SHARE
        limit = min(self.limit, max_limit)
        return limit * NON_RETRYABLE_SHARE if is_non_retryable else limit
