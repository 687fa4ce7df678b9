"""Digests of requests, of streams, and of versions of a service."""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from dewridge.ids import (
    ClientAccount,
    PartDigest,
    Release,
    RequestDigest,
    ServiceName,
    StreamKey,
)

DIGEST_BYTES = 8
RELEASE_BYTES = 4
STREAM_KEY_BYTES = 6


def compute_content_digest(
    account: ClientAccount, call_parts: Iterable[bytes], body: bytes
) -> RequestDigest:
    """Return the digest of a request; all its retries at any host have the same one.

    The account is part of the digest, so that requests of different accounts never
    share one.

    Args:
        account: the account of the request; empty if there is none.
        call_parts: the parts that name the called operation, such as method and path.
            Each is hashed with its length, so that different splits of the same bytes
            have different digests.
        body: the content of the request.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (account.encode(), *call_parts):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return RequestDigest(digest.hexdigest())


@lru_cache(maxsize=8192)
def make_part_digest(service: ServiceName, model: str, part: str) -> PartDigest:
    """Return the digest of a prompt part at the servers of a service and model."""
    return PartDigest(_hash_texts("part", service, model, part))


@lru_cache(maxsize=8192)
def make_account_part_digest(account: ClientAccount, part: PartDigest) -> RequestDigest:
    """Return the digest of a prompt part in the requests of one account."""
    return RequestDigest(_hash_texts("account part", account, part))


def _hash_texts(*texts: str) -> str:
    digest = blake2b(digest_size=DIGEST_BYTES)
    for text in texts:
        data = text.encode("utf-8", "surrogatepass")
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return digest.hexdigest()


@lru_cache(maxsize=1024)
def make_release(service: ServiceName, version: str) -> Release:
    """Return the digest of a version of a service."""
    text = f"{service}\0{version}".encode("utf-8", "surrogatepass")
    return Release(
        int.from_bytes(blake2b(text, digest_size=RELEASE_BYTES).digest()) or 1
    )


def make_stream_key(account: ClientAccount | None, attempt: bytes) -> StreamKey:
    """Return the digest of an attempt; another account's attempt has another one."""
    text = f"{account or ''}\0".encode() + attempt
    digest = blake2b(text, digest_size=STREAM_KEY_BYTES).digest()
    return StreamKey(int.from_bytes(digest))
