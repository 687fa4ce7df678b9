"""What makes two requests the same: the path, the account and the body."""

from hashlib import blake2b

from dewridge.gateway.model import CallerRequest
from dewridge.ids import ClientAccount, RequestDigest

DIGEST_BYTES = 8


def make_digest(request: CallerRequest, account: ClientAccount | None) -> RequestDigest:
    """Return the digest of a request, the same for each repeat of it at any host.

    A caller's repeat has a new id and comes over another connection. The account goes
    in first, so that no account's request ever has the digest of another one's.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in ((account or "").encode(), request.method, request.target):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(request.body)
    return RequestDigest(digest.hexdigest())
