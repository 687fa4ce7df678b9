"""Claims of non-idempotent requests, stored in buckets of a key-value service.

A compare-and-swap on a bucket's value decides which host incarnation may send a
request to a backend server. No lease, clock or membership view grants that right.
The functions here do no I/O.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from dewridge.decoding import Count, Name, decode_msgpack
from dewridge.ids import HostId, Incarnation, RequestId
from dewridge.requests.keys import read_request_time
from dewridge.requests.records import Ballot
from dewridge.sentinels import Failure

MAX_BUCKET_BYTES = 900_000
"""Size limit of a bucket's value. The key-value service accepts a megabyte; a write
that it rejects for its size would block every claim of the bucket."""


class StoredClaim(msgspec.Struct, frozen=True, array_like=True):
    """The claim of a request as stored in a bucket.

    Attributes:
        released: the holder released the claim without having sent the request. The
            entry remains, so that a delayed write of the same claim is not granted.
        voided: other ballots that were released. Without them, a claim still in
            transit at its release would be written later and remain forever,
            although no host uses it.
    """

    host: Name
    incarnation: Count
    epoch: Count
    released: bool = False
    voided: tuple[tuple[Name, Count, Count], ...] = ()

    @property
    def ballot(self) -> Ballot:
        """Return the ballot that holds the claim."""
        return Ballot(self.epoch, HostId(self.host), Incarnation(self.incarnation))


class BucketValue(msgspec.Struct, frozen=True):
    """The value of a bucket: claims by request id."""

    claims: dict[str, StoredClaim] = {}


@dataclass(frozen=True, slots=True)
class ClaimIntent:
    """A ballot's intent to acquire or to release the claim of a request."""

    request: RequestId
    ballot: Ballot
    release: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Whether an intent was granted, and who holds the claim if not."""

    granted: bool
    holder: Ballot | None = None


def find_window(request: RequestId, window: float) -> int:
    """Return the number of the time window in which a request's key was created."""
    return int(read_request_time(request) / window)


def find_bucket(request: RequestId, window: float, buckets: int) -> str:
    """Return the name of a request's bucket, `window/bucket`."""
    index = xxhash.xxh3_64_intdigest(request.encode()) % buckets
    return f"{find_window(request, window)}/{index}"


def decode_bucket(value: bytes) -> BucketValue | Failure:
    """Decode a bucket's value; empty bytes are an empty bucket.

    A claim that can't be read makes the whole bucket one that can't: without it, the
    request would look unclaimed, and could be run a second time.
    """
    return decode_msgpack(value, BucketValue) if value else BucketValue()


def encode_bucket(bucket: BucketValue) -> bytes:
    """Encode a bucket's value."""
    return msgspec.msgpack.encode(bucket)


def apply_intents(
    bucket: BucketValue, intents: Sequence[ClaimIntent]
) -> tuple[BucketValue, list[Grant]]:
    """Apply intents in order; the first one to claim a request is granted it.

    Intents that the value already contains change nothing, so the outcome of a
    write whose reply was lost is found by reading the value back.
    """
    claims = dict(bucket.claims)
    grants = [_apply(claims, intent) for intent in intents]
    return BucketValue(claims), grants


def _apply(claims: dict[str, StoredClaim], intent: ClaimIntent) -> Grant:
    stored = claims.get(intent.request)
    if intent.release:
        claims[intent.request] = _release(stored, intent.ballot)
        return Grant(granted=True)
    if stored is None:
        claims[intent.request] = _make_claim(intent.ballot)
        return Grant(granted=True)
    if stored.ballot == intent.ballot and not stored.released:
        return Grant(granted=True)
    if stored.released and not _has_released(stored, intent.ballot):
        voided = (*stored.voided, _to_tuple(stored.ballot))
        claims[intent.request] = _make_claim(intent.ballot, voided)
        return Grant(granted=True)
    return Grant(granted=False, holder=stored.ballot)


def _release(stored: StoredClaim | None, ballot: Ballot) -> StoredClaim:
    """Return the stored claim after a ballot was released."""
    if stored is None:
        return _make_claim(ballot, released=True)
    if stored.ballot == ballot:
        return _make_claim(ballot, stored.voided, released=True)
    if _has_released(stored, ballot):
        return stored
    voided = (*stored.voided, _to_tuple(ballot))
    return _make_claim(stored.ballot, voided, stored.released)


def _has_released(stored: StoredClaim, ballot: Ballot) -> bool:
    """Whether a ballot was released before."""
    is_released = stored.released and stored.ballot == ballot
    return is_released or _to_tuple(ballot) in stored.voided


def _make_claim(
    ballot: Ballot,
    voided: tuple[tuple[str, int, int], ...] = (),
    released: bool = False,
) -> StoredClaim:
    return StoredClaim(ballot.host, ballot.incarnation, ballot.epoch, released, voided)


def _to_tuple(ballot: Ballot) -> tuple[str, int, int]:
    return ballot.host, ballot.incarnation, ballot.epoch
