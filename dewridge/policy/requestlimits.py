"""Request limits that backend servers name, divided among the entry hosts.

A server in need names the requests per second that it takes from all hosts together.
No host can ask the others before each request, so the limit is divided: a few hosts,
chosen alike by all, send to the server, each at an even share of the limit. The other
hosts send elsewhere until the limit ends.
"""

import heapq
import math
from collections.abc import Collection
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from dewridge.ids import BackendServerId, HostId
from dewridge.policy.affinity import score_prefix

WINDOW = 4.0
"""Seconds over which operators count the requests that reach a server."""
TOLERANCE = 1.5
"""Multiple of the limit that operators tolerate in a window."""
SLACK = 5.0
"""Requests beyond that multiple that they tolerate in a window."""
USABLE_SHARE = 0.9
"""Share of the limit that the hosts use. Where hosts can't reach each other or the
store, some divide the limit among fewer hosts and together send half as much again."""
BURST_TIME = 0.3
"""Seconds whose share a host may send at once after a pause."""
DIVERGENT_SENDERS = 2
"""Additional senders to leave room for: while a host joins or leaves, the hosts' lists
differ, and some choose other senders."""
MIN_LIMIT = 0.25
"""Requests per second, from all hosts, that a server gets even if it names fewer. Only
its answers show that it has recovered."""
MAX_LIMIT = 100_000.0
"""Requests per second above which a limit has no effect."""
STALE_AFTER = 10.0
"""Seconds after the last answer that named a limit from which any host may send: the
chosen senders may have ended or have no callers."""
STALE_SHARE = 0.1
STALE_RATE = 0.1
"""Share of the limit, and requests per second beside it, that all hosts together send
then, as each draws its own time. They only find out how the server is: any answer
makes the chosen senders the only ones again. Where hosts see only their own answers,
they are sent in addition to the requests of the chosen senders."""
MAX_MISSED_TIME = 1.0
"""Seconds without demand after which a host whose turn came meanwhile draws a new time
in such a period: after a lull of all demand, the hosts would send together."""
RAMP_TIME = 6.0
"""Seconds from the end of a limit until requests are no longer paced. If all hosts
released the server at once, the burst would overload it again."""
RAMP_DOUBLING_TIME = 1.0
"""Seconds in which the rate doubles in that period."""
MIN_RAMP_LIMIT = 1.0
"""Requests per second at the beginning of that period."""


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """What the newest answer of a server shows of its limit.

    Attributes:
        limit: requests per second from all hosts; the last one named if it has ended.
        observed_at: monotonic time at which a host received the answer.
        has_ended: whether the answer named no limit any more.
    """

    limit: float
    observed_at: float
    has_ended: bool = False

    def is_expired(self, now: float) -> bool:
        """Whether the limit has ended and requests are no longer paced."""
        return self.has_ended and now >= self.observed_at + RAMP_TIME

    def is_stale(self, now: float) -> bool:
        """Whether no host has had an answer for some time."""
        return not self.has_ended and now >= self.observed_at + STALE_AFTER

    def compute_rate(self, now: float) -> float:
        """Return the requests per second that the server takes from all hosts."""
        limit = min(MAX_LIMIT, max(MIN_LIMIT, self.limit))
        if not self.has_ended:
            return limit
        doublings = max(0.0, now - self.observed_at) / RAMP_DOUBLING_TIME
        return float(max(MIN_RAMP_LIMIT, limit) * 2.0**doublings)


def select_notice(known: LimitNotice | None, other: LimitNotice) -> LimitNotice:
    """Return the one of two notices that holds.

    The newer one does. Of two that say that a limit has ended, the earlier one does:
    each further answer without a limit would otherwise begin the ramp again.
    """
    if known is None:
        return other
    if known.has_ended and other.has_ended:
        return known if known.observed_at <= other.observed_at else other
    return other if other.observed_at > known.observed_at else known


def count_senders(rate: float, hosts: int) -> int:
    """Return how many hosts send to a server with a limit.

    After a pause, a host sends one request more than its share, so that n hosts send up
    to `USABLE_SHARE * rate * WINDOW + n` in a window. Hosts that see only their own
    answers send up to twice the stale rate beside them: after a pause, the turns that
    were missed are spread over as long a time as the pause was.

    Args:
        rate: requests per second that the server takes from all hosts.
        hosts: number of entry hosts.
    """
    extra = (TOLERANCE - USABLE_SHARE) * rate * WINDOW + SLACK - DIVERGENT_SENDERS
    extra -= 2 * compute_stale_rate(rate) * WINDOW
    return max(1, min(hosts, math.floor(extra)))


def compute_stale_rate(rate: float) -> float:
    """Return the requests per second of all hosts while a limit is stale.

    Args:
        rate: requests per second that the server takes from all hosts.
    """
    return STALE_SHARE * rate + STALE_RATE


def rank_sender(
    server: BackendServerId, host: HostId, hosts: Collection[HostId]
) -> int | None:
    """Return a host's rank among the senders of a server; None if it is not listed.

    All hosts compute the same order, without communication. It changes by one place
    when a host joins or leaves, and differs between servers.
    """
    if host not in hosts:
        return None
    seed = xxhash.xxh3_64_intdigest(server.encode())
    own_score = _score_host(seed, host)
    return sum((_score_host(seed, other), other) > (own_score, host) for other in hosts)


def _score_host(seed: int, host: HostId) -> int:
    return score_prefix(seed, xxhash.xxh3_64_intdigest(host.encode()))


@dataclass(frozen=True, slots=True)
class SendShare:
    """One host's share of a limit.

    Attributes:
        interval: seconds between two requests; infinite if the host may not send.
        is_stale: whether the host sends because the limit is stale.
    """

    interval: float
    is_stale: bool = False

    @property
    def burst(self) -> int:
        """Requests that may be sent at once after a pause."""
        return max(1, math.floor(BURST_TIME / self.interval))


NO_SHARE = SendShare(math.inf)


def compute_share(
    notice: LimitNotice, rank: int | None, hosts: int, now: float
) -> SendShare:
    """Return the share of a limit that this host may use.

    Args:
        notice: what is known of the limit.
        rank: this host's rank among the senders; None if it does not know the hosts.
        hosts: number of entry hosts.
        now: monotonic time.
    """
    if rank is None:
        return NO_SHARE
    rate = notice.compute_rate(now)
    senders = count_senders(rate, hosts)
    if rank < senders:
        return SendShare(senders / (rate * USABLE_SHARE))
    if notice.is_stale(now):
        return SendShare(hosts / compute_stale_rate(rate), is_stale=True)
    return NO_SHARE


@dataclass
class LimitPacer:
    """Spaces the requests of this host to one server by its share of the limit.

    Attributes:
        share: the share in force.
        full_at: time at which the whole burst may be sent again.
        polled_at: time of the last demand for the server.
        is_redrawn: whether the time of the next request was drawn again.
    """

    share: SendShare = NO_SHARE
    full_at: float = 0.0
    polled_at: float = 0.0
    is_redrawn: bool = False

    def set_share(self, share: SendShare, now: float, random_number: float) -> None:
        """Apply a share.

        A host that may send from now on begins at a random time within one interval.
        Otherwise all hosts that learn of a limit together would send together.

        Args:
            share: the share.
            now: monotonic time.
            random_number: random number from 0 up to 1.
        """
        pause, self.polled_at = now - self.polled_at, now
        if share == self.share:
            self._spread_missed_turn(pause, now, random_number)
            return
        if math.isinf(share.interval):
            self.full_at = math.inf
        elif math.isinf(self.share.interval):
            self.full_at = now + (share.burst - 1 + random_number) * share.interval
        else:
            # What was sent in excess of the share stays the same number of requests.
            debt = max(0.0, self.full_at - now) / self.share.interval
            self.full_at = now + debt * share.interval
        self.share = share

    def _spread_missed_turn(
        self, pause: float, now: float, random_number: float
    ) -> None:
        """Draw a new time, once, for a turn that came in a pause of the demand."""
        if not self.share.is_stale or self.is_redrawn or pause <= MAX_MISSED_TIME:
            return
        if self.find_send_time(now) <= now:
            self.is_redrawn = True
            delay = random_number * min(pause, self.share.interval)
            self.full_at = now + delay + (self.share.burst - 1) * self.share.interval

    def find_send_time(self, now: float) -> float:
        """Return the earliest time for the next request; infinite if there is none."""
        if math.isinf(self.share.interval):
            return math.inf
        return max(now, self.full_at - (self.share.burst - 1) * self.share.interval)

    def record_sent(self, now: float) -> None:
        """Count a request that is sent now."""
        self.full_at = max(now, self.full_at) + self.share.interval
        self.is_redrawn = False


class SendSlot(NamedTuple):
    """When a server may get a request, and the seconds until the next one."""

    send_at: float
    interval: float


def find_later_send_time(slots: list[SendSlot], position: int) -> float:
    """Return when a request can be sent that has others waiting before it.

    Args:
        slots: the next slot of each server that may get it.
        position: number of requests that wait before it.

    Returns:
        The earliest time; infinite if this host may send to none of the servers.
    """
    heap = list(slots)
    heapq.heapify(heap)
    for _ in range(position if heap else 0):
        send_at, interval = heap[0]
        heapq.heapreplace(heap, SendSlot(send_at + interval, interval))
    return heap[0].send_at if heap else math.inf
