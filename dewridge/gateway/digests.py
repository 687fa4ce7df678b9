"""What makes two requests of callers the same."""

from dewridge.digests import make_content_digest
from dewridge.gateway.model import CallerRequest
from dewridge.ids import ClientAccount, RequestDigest


def make_digest(request: CallerRequest, account: ClientAccount | None) -> RequestDigest:
    """Return the digest of a request: its path, its account and its body.

    A caller's repeat has a new id and comes over another connection, at any host.
    """
    head = (request.method, request.target)
    return make_content_digest(account or ClientAccount(""), head, request.body)
