"""Hashes of a host's state, by which two hosts find the items that differ."""

import xxhash

BUCKET_COUNT = 32
"""Hash buckets that members and rumors are divided into. Two of 440 members that
compare their state send 32 hashes, about 300 bytes. For each bucket that differs they
also send the versions of its items, 14 members. Fewer buckets would make these lists
longer; more buckets would make the list of hashes longer."""

_SIGNED_64_BIT_MASK = (1 << 63) - 1


class BucketHashes:
    """One hash for each bucket, updated as items are added and removed."""

    def __init__(self) -> None:
        self._hashes = [0] * BUCKET_COUNT

    def toggle(self, subject: str, version: str) -> None:
        """Add an item's version if it is absent, or remove it if it is present."""
        text = f"{subject}|{version}".encode()
        self._hashes[find_bucket(subject)] ^= (
            xxhash.xxh3_64_intdigest(text) & _SIGNED_64_BIT_MASK
        )

    def list_hashes(self) -> list[int]:
        """Return the hashes in the order of the buckets."""
        return list(self._hashes)

    def find_differing(self, other_hashes: list[int]) -> list[int]:
        """Return the buckets whose hash differs from that of another member."""
        if len(other_hashes) != BUCKET_COUNT:
            # The other member's release uses another bucket count: compare all.
            return list(range(BUCKET_COUNT))
        return [n for n in range(BUCKET_COUNT) if self._hashes[n] != other_hashes[n]]


def find_bucket(subject: str) -> int:
    """Return the bucket of an item, which is the same for all its versions."""
    return xxhash.xxh3_64_intdigest(subject.encode()) % BUCKET_COUNT
