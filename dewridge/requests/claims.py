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

MAX_BUCKET_BYTES = 900_000
"""Bytes of a bucket's value; the service holds a megabyte, and a write that it
refuses for its size would stop every claim of the bucket."""


class Held(msgspec.Struct, frozen=True, array_like=True):
    """A claim as it stands in a bucket.

    Attributes:
        released: the holder gave it up without having sent the call. It stays
            as a mark, so that a delayed write of the same claim is not granted.
        voided: other ownerships that gave the call up, as marks likewise. Without
            them a claim that was on its way when its owner gave up would land
            later and stand for good, held by nobody.
    """

    host: str
    incarnation: int
    epoch: int
    released: bool = False
    voided: tuple[tuple[str, int, int], ...] = ()

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


def apply_intents(
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
    if intent.release:
        claims[intent.request] = _release(held, intent.ballot)
        return Grant(granted=True)
    if held is None:
        claims[intent.request] = _hold(intent.ballot)
        return Grant(granted=True)
    if held.ballot == intent.ballot and not held.released:
        return Grant(granted=True)
    if held.released and not _is_void(held, intent.ballot):
        voided = (*held.voided, _mark(held.ballot))
        claims[intent.request] = _hold(intent.ballot, voided)
        return Grant(granted=True)
    return Grant(granted=False, holder=held.ballot)


def _release(held: Held | None, ballot: Ballot) -> Held:
    """Return what stands after an ownership gave a call up."""
    if held is None:
        return _hold(ballot, released=True)
    if held.ballot == ballot:
        return _hold(ballot, held.voided, released=True)
    if _is_void(held, ballot):
        return held
    voided = (*held.voided, _mark(ballot))
    return _hold(held.ballot, voided, held.released)


def _is_void(held: Held, ballot: Ballot) -> bool:
    """Whether an ownership gave the call up before."""
    given_up = held.released and held.ballot == ballot
    return given_up or _mark(ballot) in held.voided


def _hold(
    ballot: Ballot,
    voided: tuple[tuple[str, int, int], ...] = (),
    released: bool = False,
) -> Held:
    return Held(ballot.host, ballot.incarnation, ballot.epoch, released, voided)


def _mark(ballot: Ballot) -> tuple[str, int, int]:
    return ballot.host, ballot.incarnation, ballot.epoch
