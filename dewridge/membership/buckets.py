"""Hashes over all that a member knows, by which two members find what differs."""

import xxhash

BUCKET_COUNT = 32
"""Groups that known items fall into. Two of 440 members that compare notes send 32
hashes, some 300 bytes; while one item is on its way they also send the versions of
its bucket, 14 members. Fewer buckets make that longer, more of them the hashes."""

_POSITIVE = (1 << 63) - 1


class BucketHashes:
    """A hash for each bucket, changed as items come and go."""

    def __init__(self) -> None:
        self._hashes = [0] * BUCKET_COUNT

    def toggle(self, subject: str, version: str) -> None:
        """Add an item that is absent, or remove one that is present."""
        text = f"{subject}|{version}".encode()
        self._hashes[find_bucket(subject)] ^= xxhash.xxh3_64_intdigest(text) & _POSITIVE

    def list_hashes(self) -> list[int]:
        """Return the hashes in order."""
        return list(self._hashes)

    def find_differing(self, others: list[int]) -> list[int]:
        """Return the buckets whose hash differs from another member's."""
        if len(others) != BUCKET_COUNT:  # a release with other buckets: compare all
            return list(range(BUCKET_COUNT))
        return [n for n in range(BUCKET_COUNT) if self._hashes[n] != others[n]]


def find_bucket(subject: str) -> int:
    """Return the bucket of an item, the same for all of its versions."""
    return xxhash.xxh3_64_intdigest(subject.encode()) % BUCKET_COUNT
