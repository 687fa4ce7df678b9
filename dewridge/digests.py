"""What makes two requests the same: the account, what is asked, and the content."""

from collections.abc import Iterable
from hashlib import blake2b

from dewridge.ids import ClientAccount, RequestDigest

DIGEST_BYTES = 8


def compute_content_digest(
    account: ClientAccount, call_parts: Iterable[bytes], body: bytes
) -> RequestDigest:
    """Return the digest of a request, the same for each repeat of it at any host.

    The account goes in first, so that no account's request ever has the digest of
    another one's.

    Args:
        account: whose request it is; empty without an account.
        call_parts: what is asked, in parts that don't run into each other.
        body: the content.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (account.encode(), *call_parts):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return RequestDigest(digest.hexdigest())
