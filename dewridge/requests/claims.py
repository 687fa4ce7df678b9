"""Claims of calls that may not be repeated, as values of buckets. Pure.

The compare-and-swap of a bucket's value decides which host, and which start of
it, may send a call to a backend server. Nothing else gives that right: no
lease, no clock, no view of the membership.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from dewridge.ids import HostId, Incarnation, RequestId
from dewridge.requests.keys import read_request_time
from dewridge.requests.records import Ballot

VALUE_LIMIT = 900_000
"""Bytes of a bucket's value; the service holds a megabyte, and a write that it
refuses for its size would stop every claim of the bucket."""


class Held(msgspec.Struct, frozen=True, array_like=True):
    """A claim as it stands in a bucket.

    Attributes:
        released: the holder gave it up without having sent the call. It stays
            as a mark, so that a delayed write of the same claim is not granted.
    """

    host: str
    incarnation: int
    epoch: int
    released: bool = False

    @property
    def ballot(self) -> Ballot:
        """Return the ownership that holds the claim."""
        return Ballot(self.epoch, HostId(self.host), Incarnation(self.incarnation))


class BucketValue(msgspec.Struct, frozen=True):
    """A bucket's value: the claims by request."""

    claims: dict[str, Held] = {}


@dataclass(frozen=True, slots=True)
class ClaimIntent:
    """An ownership that wants a claim, or gives it up."""

    request: RequestId
    ballot: Ballot
    release: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Whether an intent is fulfilled, and who holds the claim if not."""

    granted: bool
    holder: Ballot | None = None


def find_window(request: RequestId, window: float) -> int:
    """Return the window of time that a request's key falls in."""
    return int(read_request_time(request) / window)


def find_bucket(request: RequestId, window: float, buckets: int) -> str:
    """Name the bucket of a request, `window/bucket`."""
    place = xxhash.xxh3_64_intdigest(request.encode()) % buckets
    return f"{find_window(request, window)}/{place}"


def decode_bucket(value: bytes) -> BucketValue:
    """Return a bucket's value; empty bytes are an empty bucket.

    Raises:
        msgspec.DecodeError: the value is not one of ours.
    """
    if not value:
        return BucketValue()
    return msgspec.msgpack.decode(value, type=BucketValue)


def encode_bucket(bucket: BucketValue) -> bytes:
    """Return the bytes of a bucket's value."""
    return msgspec.msgpack.encode(bucket)


def merge(
    bucket: BucketValue, intents: Sequence[ClaimIntent]
) -> tuple[BucketValue, list[Grant]]:
    """Apply intents in their order; the first to ask for a request has it.

    Applying the same intents to a value that holds them already changes
    nothing, so a write whose answer was lost is settled by reading back.
    """
    claims = dict(bucket.claims)
    grants = [_apply(claims, intent) for intent in intents]
    return BucketValue(claims), grants


def _apply(claims: dict[str, Held], intent: ClaimIntent) -> Grant:
    held = claims.get(intent.request)
    ballot = intent.ballot
    own = held is not None and held.ballot == ballot
    if intent.release:
        if held is None or own:
            claims[intent.request] = Held(
                ballot.host, ballot.incarnation, ballot.epoch, released=True
            )
        return Grant(granted=True)
    if held is None or (held.released and not own):
        claims[intent.request] = Held(ballot.host, ballot.incarnation, ballot.epoch)
        return Grant(granted=True)
    if own and not held.released:
        return Grant(granted=True)
    return Grant(granted=False, holder=held.ballot)
