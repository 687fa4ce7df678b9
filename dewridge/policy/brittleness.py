"""Keeps requests off servers that fall over if they have to reject many.

A brittle server states how many requests it can reject in a second. The number is for
all hosts together, and each host knows the requests of the others only by their last
reports, which lag behind a burst. The room of a server is therefore divided among the
hosts. Only a host without a share at any server of a service, in a fleet with more
hosts than room, goes by the reports.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

NOTICE_LIFETIME = 10.0
"""Seconds after the last answer of a server for which it counts as brittle."""
PAUSE_AFTER_REJECTION = 1.0
"""Seconds for which a server that rejected a request gets none: the time over which it
counts its rejections."""
SHARE_ONLY_TIME = 5.0
"""Seconds after a rejection for which only hosts with a share send to the server."""
ROOM_GROWTH = 1.0
"""Requests per second by which the assumed room grows again after a rejection."""
MIN_RECHECK_TIME = 0.05
"""Minimum seconds until a request looks for room again."""
MARGIN_DEVIATIONS = 3.0
"""Standard deviations by which the requests in no report yet may exceed their mean."""
CAPACITY_SHARE = 0.75
"""Share of an engine's memory that requests of the mean size may fill: a few large
ones fill the rest."""


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load of a server as one host knows it.

    Attributes:
        requests: requests in flight from all hosts, as far as is known.
        own_requests: those of this host among them.
        room: requests that it runs at once.
        arrival_rate: requests per second that the other hosts send to it.
        staleness: seconds by which their reports may lag behind.
    """

    requests: int
    own_requests: int
    room: float
    arrival_rate: float
    staleness: float

    @property
    def unreported(self) -> float:
        """Requests of other hosts that no report contains yet, with a margin."""
        mean = self.arrival_rate * self.staleness
        return mean + MARGIN_DEVIATIONS * math.sqrt(mean)


def compute_room(slots: int, capacity_tokens: float, mean_tokens: float) -> float:
    """Return the number of requests that an engine runs at once.

    Args:
        slots: requests that it batches.
        capacity_tokens: tokens in its memory; 0 if it is no engine.
        mean_tokens: mean tokens of a request; 0 if unknown.
    """
    if capacity_tokens <= 0 or mean_tokens <= 0:
        return float(slots)
    return max(1.0, min(slots, CAPACITY_SHARE * capacity_tokens / mean_tokens))


def compute_host_share(room: float, rank: int | None, host_count: int) -> int:
    """Return the requests that one host may have at a server whatever others do.

    Args:
        room: requests that the server runs at once.
        rank: rank of the host among all hosts for this server; None if unknown.
        host_count: number of hosts.
    """
    if rank is None or host_count <= 0:
        return 0
    base, rest = divmod(int(room), host_count)
    return base + (rank < rest)


@dataclass
class BrittleServer:
    """What is known of a server's tolerance for rejections.

    Attributes:
        tolerance: rejections in a second that it stands; None if its last answer did
            not say that it is brittle.
        observed_at: monotonic time of that answer.
        rejected_at: monotonic time of the last rejection that any host reported.
        learned_room: room that the last rejection showed; infinite before one.
    """

    tolerance: float | None = None
    observed_at: float = -math.inf
    rejected_at: float = -math.inf
    learned_room: float = math.inf

    def is_brittle(self, now: float) -> bool:
        """Whether the server said recently that it is brittle."""
        return self.tolerance is not None and now - self.observed_at < NOTICE_LIFETIME

    def has_answered(self, now: float) -> bool:
        """Whether the server said recently whether it is brittle."""
        return now - self.observed_at < NOTICE_LIFETIME

    def record_rejection(self, at: float, requests: int | None) -> None:
        """Record that the server rejected a request for want of room.

        Args:
            at: monotonic time.
            requests: requests at the server, the rejected one included; None if another
                host was rejected.
        """
        self.rejected_at = max(self.rejected_at, at)
        if requests is not None:
            self.learned_room = max(1.0, min(self.compute_limit(at), requests - 1.0))

    def compute_limit(self, now: float) -> float:
        """Return the room that rejections of the past leave."""
        if math.isinf(self.learned_room):
            return math.inf
        elapsed = max(0.0, now - self.rejected_at)
        return self.learned_room + ROOM_GROWTH * elapsed

    def compute_share(
        self, room: float, rank: int | None, host_count: int, now: float
    ) -> int:
        """Return the requests that this host may have at the server.

        Args:
            room: requests that the server runs at once.
            rank: rank of this host among all hosts for the server.
            host_count: number of hosts.
            now: monotonic time.
        """
        return compute_host_share(min(room, self.compute_limit(now)), rank, host_count)

    def find_send_time(
        self, load: ServerLoad, share: int, now: float, *, has_other_share: bool
    ) -> float:
        """Return the earliest time at which one more request may be sent.

        Args:
            load: the load without that request.
            share: requests that this host may have at the server.
            now: monotonic time.
            has_other_share: whether the host has a share at another server.
        """
        paused_until = self.rejected_at + PAUSE_AFTER_REJECTION
        if now < paused_until:
            return paused_until
        if load.own_requests < share:
            return now
        is_admitted = not has_other_share and share == 0
        is_calm = now - self.rejected_at >= SHARE_ONLY_TIME
        room = min(load.room, self.compute_limit(now))
        if is_admitted and is_calm and load.requests + 1 + load.unreported <= room:
            return now
        # An answer, or the next reports, may show room.
        return now + max(load.staleness, MIN_RECHECK_TIME)


def find_tolerance(servers: Iterable[BrittleServer], now: float) -> float | None:
    """Return the least tolerance of the brittle servers; None if none is brittle."""
    known = (server.tolerance for server in servers if server.is_brittle(now))
    return min((value for value in known if value is not None), default=None)
