"""How long an idle connection to a service's servers may be used again."""

from dataclasses import dataclass

FIRST_LIMIT = 0.6
"""Seconds at first: no server has been seen to close a connection so soon."""
MIN_LIMIT = 0.3
"""Seconds at the least: a server that crashes closes its connections at any age, and
what others keep has nothing to do with it."""
ANNOUNCED_SHARE = 0.5
"""Part of the time that a server announces which is believed at the most: some close
connections sooner than they say."""
LONGEST_UNANNOUNCED = 5.0
"""Seconds at the most where a server announces nothing."""
GROWTH = 1.25
"""Growth with each connection that was seen open for longer than the limit: a handful
of them double it."""
CLOSED_SHARE = 0.5
"""Part of the age at which a connection was found closed that is still trusted: the
server may have closed it at any time before."""
SURE_SHARE = 0.7
"""Part of the limit for a request that can't be sent again: the others bear the risk
of finding out where the limit lies."""


@dataclass
class IdleLimitEstimator:
    """Learns for how long a service's servers leave idle connections open.

    Made for callers whose requests are spread over many servers: a connection is idle
    for seconds before its next request, and a new one for each costs the server's time
    and the caller a round trip. Sent on a connection that the server has just closed, a
    request is lost; how long servers keep them differs by service, and not all announce
    it truly.

    Attributes:
        limit: seconds for which an idle connection is trusted.
    """

    limit: float = FIRST_LIMIT

    def record_open(self, age: float) -> None:
        """Learn that a connection idle for so long was open."""
        if age > self.limit:
            self.limit = min(age, self.limit * GROWTH)

    def record_closed(self, age: float) -> None:
        """Learn that the server had closed a connection idle for so long."""
        self.limit = max(MIN_LIMIT, min(self.limit, age * CLOSED_SHARE))

    def find_limit(self, announced: float | None, *, must_arrive: bool) -> float:
        """Return the seconds for which a connection may be used again.

        Args:
            announced: seconds that the server says it keeps it; None if it does not.
            must_arrive: whether what is sent on it can't be sent again.
        """
        most = LONGEST_UNANNOUNCED
        if announced is not None:
            most = announced * ANNOUNCED_SHARE
        limit = min(self.limit, most)
        return limit * SURE_SHARE if must_arrive else limit
