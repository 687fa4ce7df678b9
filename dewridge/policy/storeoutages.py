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
MIN_OUTAGE_HEARTBEATS = 0.5
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
    """

    heartbeat: float = DEFAULT_HEARTBEAT
    _answered: set[int] = field(default_factory=set)
    _failed: set[int] = field(default_factory=set)
    _begin: int | None = None
    _restored_at: float = float("-inf")

    def record_answer(self, at: float, now: float) -> None:
        """Record that the store answered a call of some host."""
        self._record(self._answered, at, now)

    def record_failure(self, at: float, now: float) -> None:
        """Record that a call of some host to the store failed."""
        self._record(self._failed, at, now)

    def record_restore(self, now: float) -> None:
        """Record that the store was restored from a copy, which may lack records."""
        self._restored_at = now

    def _record(self, slots: set[int], at: float, now: float) -> None:
        slot = _find_slot(min(at, now))
        if self._begin is None:
            self._begin = slot
        slots.add(slot)
        oldest = _find_slot(now - self._history_seconds)
        if len(slots) > 2 * (self._history_seconds / SLOT_SECONDS):
            slots.intersection_update(range(oldest, slot + 1))

    @property
    def _expiry(self) -> float:
        return EXPIRY_HEARTBEATS * self.heartbeat

    @property
    def _history_seconds(self) -> float:
        """Seconds before now of which outages matter, and of those before them."""
        return self._expiry * 2 + REREGISTRATION_TIME

    def __len__(self) -> int:
        return len(self._answered) + len(self._failed)

    def find_doubt_end(self, now: float) -> float:
        """Return until when a missing record does not show that its server has left.

        Several outages in a row count together: a server that misses a heartbeat in
        each of them loses its record as in a single one.
        """
        doubt_end = self._restored_at + REREGISTRATION_TIME
        outages = self._list_outages(now)
        for end, _ in outages:
            missed = sum(
                seconds
                for other_end, seconds in outages
                if end - self._expiry < other_end <= end
            )
            if missed >= MIN_MISSED_HEARTBEATS * self.heartbeat - SLOT_SECONDS:
                doubt_end = max(doubt_end, end + REREGISTRATION_TIME)
        return doubt_end

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
