"""Digests of requests by their account, called operation and content."""

from collections.abc import Iterable
from hashlib import blake2b

from dewridge.ids import ClientAccount, RequestDigest

DIGEST_BYTES = 8


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
