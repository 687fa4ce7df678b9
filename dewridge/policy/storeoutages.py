"""Decides whether records that the store lacks may belong to servers that still run.

Servers renew their records with heartbeats. If no heartbeat arrives for several
intervals, the record expires, also while the store was out of reach for all servers. A
host can't see that directly. It goes by the calls of all hosts: the store was away for
as long as none of them was answered. A call that fails at one host, or fails once, is
no outage: servers that leave meanwhile must not be kept.
"""

from dataclasses import dataclass, field

EXPIRY_HEARTBEATS = 3
"""Heartbeats that a server misses before its record expires."""
MIN_MISSED_HEARTBEATS = 2
"""Heartbeats within the time of an outage, at least, if a record expired in it: the
last one may have arrived just before the next was due."""
MIN_OUTAGE_HEARTBEATS = 0.75
"""Time without answers, in heartbeats, from which it counts as an outage. Most servers
get a heartbeat through between shorter ones."""
REREGISTRATION_TIME = 2.2
"""Seconds after an outage during which missing records may reappear: servers take up to
2 s to write them again, and the rest covers one call."""
SLOT_SECONDS = 0.1
"""Resolution of the recorded times."""
DEFAULT_HEARTBEAT = 1.2
"""Seconds between two heartbeats of a server if nothing else is configured."""


@dataclass
class StoreOutages:
    """When the store answered this host and its peers, and when their calls failed.

    All times are monotonic times of this host.

    Attributes:
        heartbeat: seconds between two heartbeats of a server.
        own_answer_at: when the store last answered this host.
        own_failure_at: when a call of this host last failed.
    """

    heartbeat: float = DEFAULT_HEARTBEAT
    own_answer_at: float = float("-inf")
    own_failure_at: float = float("-inf")
    _answered: set[int] = field(default_factory=set)
    _failed: set[int] = field(default_factory=set)
    _begin: int | None = None
    _restored_at: float = float("-inf")

    def record_call(self, now: float, *, is_answered: bool) -> None:
        """Record whether the store answered a call of this host."""
        if is_answered:
            self.own_answer_at = now
            self._record(self._answered, now, now)
        else:
            self.own_failure_at = now
            self._record(self._failed, now, now)

    def record_peer_calls(
        self, answer_at: float | None, failure_at: float | None, now: float
    ) -> None:
        """Record when the store last answered a peer, and when a call of it failed."""
        if answer_at is not None:
            self._record(self._answered, answer_at, now)
        if failure_at is not None:
            self._record(self._failed, failure_at, now)

    def record_restore(self, now: float) -> None:
        """Record that the store was restored from a copy, which may lack records."""
        self._restored_at = now

    def _record(self, slots: set[int], at: float, now: float) -> None:
        oldest, newest = _find_slot(now - self._history_seconds), _find_slot(now)
        slot = min(_find_slot(at), newest)
        if slot < oldest:
            return
        if self._begin is None:
            self._begin = slot
        slots.add(slot)
        if len(slots) > 2 * (newest - oldest):
            slots.intersection_update(range(oldest, newest + 1))

    @property
    def _expiry(self) -> float:
        return EXPIRY_HEARTBEATS * self.heartbeat

    @property
    def _history_seconds(self) -> float:
        """Seconds before now of which outages matter, and of those before them."""
        return self._expiry * 2 + REREGISTRATION_TIME

    def __len__(self) -> int:
        return len(self._answered) + len(self._failed)

    def find_grace_end(self, now: float) -> float:
        """Return the end of the grace period in which a missing record is no departure.

        Several outages in a row count together: a server that misses a heartbeat in
        each of them loses its record as in a single one.
        """
        grace_end = self._restored_at + REREGISTRATION_TIME
        outages = self._list_outages(now)
        for end, _ in outages:
            missed = sum(
                seconds
                for other_end, seconds in outages
                if end - self._expiry < other_end <= end
            )
            if missed >= MIN_MISSED_HEARTBEATS * self.heartbeat - SLOT_SECONDS:
                grace_end = max(grace_end, end + REREGISTRATION_TIME)
        return grace_end

    def _list_outages(self, now: float) -> list[tuple[float, float]]:
        """Return end and length in seconds of each time without answers that failed."""
        if self._begin is None:
            return []
        last = _find_slot(now)
        first = max(self._begin, _find_slot(now - self._history_seconds))
        outages = []
        silent_from = first
        for slot in range(first, last + 1):
            if slot not in self._answered and slot < last:
                continue
            seconds = (slot - silent_from) * SLOT_SECONDS
            is_long = seconds >= MIN_OUTAGE_HEARTBEATS * self.heartbeat
            if is_long and not self._failed.isdisjoint(range(silent_from, slot + 1)):
                outages.append((min(now, slot * SLOT_SECONDS + SLOT_SECONDS), seconds))
            silent_from = slot
        return outages


def _find_slot(at: float) -> int:
    return int(at // SLOT_SECONDS)
