"""The rumors that this host has heard, each in its newest version."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from dewridge.membership.buckets import BucketHashes, find_bucket
from dewridge.membership.model import Rumor

PAYLOAD_LIMIT = 16_384
"""Bytes of one payload. Rumors ride on probes, of which a node sends a few a second
within 3 KB; longer content is fetched by those who hear of it."""
MAX_RUMORS = 20_000
BYTES_LIMIT = 4_000_000
"""Bounds on what is kept: four rumors for each of 4,900 workers in a sixteenth of the
64 MB for control. A part that spreads without end would otherwise fill every host's
memory at once."""
LIFETIMES = {"server_leaving": 3_600.0, "host_reclaim": 3_600.0, "fenced": 172_800.0}
"""Seconds after which rumors of a kind are forgotten everywhere, unless they bring a
lifetime of their own. A backend server that was seen leaving is gone within minutes
and the host list lags by less than an hour; a host that woke up after two days has no
work left to harm. Without it a year of replaced servers would be told to each new host
and fill MAX_RUMORS, and then new servers would not be heard of."""

ITEM_OVERHEAD = 40
"""Bytes that a rumor takes on the wire besides its texts."""


class MergeResult(Enum):
    """What became of a rumor that was heard."""

    NEW = "new"
    KNOWN = "known"
    EXPIRED = "expired"
    OVER_LIMIT = "over_limit"


@dataclass(slots=True)
class _Kept:
    rumor: Rumor
    born: float


class RumorTable:
    """Rumors by kind and subject."""

    def __init__(self, buckets: BucketHashes) -> None:
        self._buckets = buckets
        self._kept: dict[tuple[str, str], _Kept] = {}
        self._bytes = 0

    def merge(self, rumor: Rumor, age: float, now: float) -> MergeResult:
        """Keep a rumor if it is newer than what is known."""
        place = rumor.kind, rumor.subject
        known = self._kept.get(place)
        if known is not None and known.rumor.version >= rumor.version:
            return MergeResult.KNOWN
        if age > find_lifetime(rumor):
            return MergeResult.EXPIRED
        size = measure_rumor(rumor)
        if len(rumor.payload) > PAYLOAD_LIMIT or not self._has_room(size, known):
            return MergeResult.OVER_LIMIT
        if known is not None:
            self._drop(place)
        self._kept[place] = _Kept(rumor, now - age)
        self._bytes += size
        self._toggle(rumor)
        return MergeResult.NEW

    def find(self, kind: str, subject: str) -> Rumor | None:
        """Look up a rumor."""
        kept = self._kept.get((kind, subject))
        return kept.rumor if kept else None

    def find_age(self, rumor: Rumor, now: float) -> float:
        """Return the seconds since a kept rumor was first spread."""
        return now - self._kept[rumor.kind, rumor.subject].born

    def list_kind(self, kind: str) -> list[Rumor]:
        """Return all rumors of a kind."""
        return [rumor for rumor in self if rumor.kind == kind]

    def list_buckets(self, buckets: set[int]) -> list[Rumor]:
        """Return the rumors that fall into some buckets."""
        return [rumor for rumor in self if find_bucket(_name(rumor)) in buckets]

    def expire(self, now: float) -> int:
        """Forget what outlived its kind's lifetime; returns how many."""
        old = [
            place
            for place, kept in self._kept.items()
            if now - kept.born > find_lifetime(kept.rumor)
        ]
        for place in old:
            self._drop(place)
        return len(old)

    def _has_room(self, size: int, known: _Kept | None) -> bool:
        if known is not None:
            size -= measure_rumor(known.rumor)
        has_place = known is not None or len(self._kept) < MAX_RUMORS
        return has_place and self._bytes + size <= BYTES_LIMIT

    def _drop(self, place: tuple[str, str]) -> None:
        kept = self._kept.pop(place)
        self._bytes -= measure_rumor(kept.rumor)
        self._toggle(kept.rumor)

    def _toggle(self, rumor: Rumor) -> None:
        self._buckets.toggle(_name(rumor), str(rumor.version))

    def __iter__(self) -> Iterator[Rumor]:
        return (kept.rumor for kept in self._kept.values())

    def __len__(self) -> int:
        return len(self._kept)


def measure_rumor(rumor: Rumor) -> int:
    """Return about how many bytes a rumor takes in a message."""
    texts = len(rumor.kind) + len(rumor.subject) + len(rumor.payload)
    return ITEM_OVERHEAD + texts


def find_lifetime(rumor: Rumor) -> float:
    """Return the seconds that a rumor is kept."""
    if rumor.lifetime is not None:
        return rumor.lifetime
    return LIFETIMES.get(rumor.kind, float("inf"))


def _name(rumor: Rumor) -> str:
    return f"r|{rumor.kind}|{rumor.subject}"
