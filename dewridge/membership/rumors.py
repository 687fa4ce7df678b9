"""Table of the rumors that this host knows, each in its newest version."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from dewridge.membership.buckets import BucketHashes, find_bucket
from dewridge.membership.model import Rumor

MAX_PAYLOAD_BYTES = 16_384
"""Maximum size of a payload. Rumors are sent with probes, of which a node sends a few
a second within 3 KB/s; receivers of a rumor pull longer content separately."""
MAX_RUMORS = 20_000
MAX_TOTAL_BYTES = 4_000_000
"""Bounds of the table: four rumors for each of 4,900 workers, in a sixteenth of the
64 MB for control. Without them, a component that sends rumors without end would fill
the memory of all hosts at once."""
LIFETIMES = {"server_leaving": 3_600.0, "host_reclaim": 3_600.0, "fenced": 172_800.0}
"""Seconds after which all members drop rumors of a kind, unless the rumor has its own
lifetime. A backend server that announced its departure is removed within minutes, and
the host list lags by less than an hour. A fenced host that resumes after two days has
no requests left to interfere with. Without lifetimes, a year of replaced servers would
be sent to each new host and reach MAX_RUMORS, and rumors about new servers would be
dropped."""

RUMOR_OVERHEAD = 40
"""Bytes that a rumor takes on the wire, excluding its strings and payload."""


class MergeResult(Enum):
    """Result of merging a received rumor."""

    NEW = "new"
    KNOWN = "known"
    EXPIRED = "expired"
    OVER_LIMIT = "over_limit"


@dataclass(slots=True)
class _StoredRumor:
    rumor: Rumor
    spread_at: float


class RumorTable:
    """Rumors by kind and subject; bounded in count and bytes."""

    def __init__(self, buckets: BucketHashes) -> None:
        self._buckets = buckets
        self._rumors: dict[tuple[str, str], _StoredRumor] = {}
        self._bytes = 0

    def merge(self, rumor: Rumor, age: float, now: float) -> MergeResult:
        """Store a rumor if it is newer than the known version.

        Args:
            rumor: the rumor.
            age: seconds since it was first spread.
            now: the time.
        """
        key = rumor.kind, rumor.subject
        known = self._rumors.get(key)
        if known is not None and known.rumor.version >= rumor.version:
            return MergeResult.KNOWN
        if age > get_lifetime(rumor):
            return MergeResult.EXPIRED
        size = measure_rumor(rumor)
        if len(rumor.payload) > MAX_PAYLOAD_BYTES or not self._has_room(size, known):
            return MergeResult.OVER_LIMIT
        if known is not None:
            self._drop(key)
        self._rumors[key] = _StoredRumor(rumor, now - age)
        self._bytes += size
        self._toggle(rumor)
        return MergeResult.NEW

    def find(self, kind: str, subject: str) -> Rumor | None:
        """Return a rumor in its newest version, if it is known."""
        stored = self._rumors.get((kind, subject))
        return stored.rumor if stored else None

    def find_age(self, rumor: Rumor, now: float) -> float:
        """Return the seconds since a stored rumor was first spread."""
        return now - self._rumors[rumor.kind, rumor.subject].spread_at

    def list_kind(self, kind: str) -> list[Rumor]:
        """Return all rumors of a kind."""
        return [rumor for rumor in self if rumor.kind == kind]

    def list_buckets(self, buckets: set[int]) -> list[Rumor]:
        """Return the rumors in the given hash buckets."""
        return [
            rumor for rumor in self if find_bucket(_make_hash_key(rumor)) in buckets
        ]

    def expire(self, now: float) -> int:
        """Drop rumors that are older than their lifetime; return how many."""
        expired = [
            key
            for key, stored in self._rumors.items()
            if now - stored.spread_at > get_lifetime(stored.rumor)
        ]
        for key in expired:
            self._drop(key)
        return len(expired)

    def _has_room(self, size: int, known: _StoredRumor | None) -> bool:
        if known is not None:
            size -= measure_rumor(known.rumor)
        is_count_ok = known is not None or len(self._rumors) < MAX_RUMORS
        return is_count_ok and self._bytes + size <= MAX_TOTAL_BYTES

    def _drop(self, key: tuple[str, str]) -> None:
        stored = self._rumors.pop(key)
        self._bytes -= measure_rumor(stored.rumor)
        self._toggle(stored.rumor)

    def _toggle(self, rumor: Rumor) -> None:
        self._buckets.toggle(_make_hash_key(rumor), str(rumor.version))

    def __iter__(self) -> Iterator[Rumor]:
        return (stored.rumor for stored in self._rumors.values())

    def __len__(self) -> int:
        return len(self._rumors)


def measure_rumor(rumor: Rumor) -> int:
    """Return the approximate size of a rumor in a message, in bytes."""
    content = len(rumor.kind) + len(rumor.subject) + len(rumor.payload)
    return RUMOR_OVERHEAD + content


def get_lifetime(rumor: Rumor) -> float:
    """Return the seconds after which a rumor is dropped."""
    if rumor.lifetime is not None:
        return rumor.lifetime
    return LIFETIMES.get(rumor.kind, float("inf"))


def _make_hash_key(rumor: Rumor) -> str:
    return f"r|{rumor.kind}|{rumor.subject}"
