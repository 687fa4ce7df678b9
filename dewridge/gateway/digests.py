"""Digests that identify requests of callers by their content."""

from dewridge.digests import compute_content_digest
from dewridge.gateway.model import CallerRequest
from dewridge.ids import ClientAccount, RequestDigest


def make_digest(request: CallerRequest, account: ClientAccount | None) -> RequestDigest:
    """Return the digest of a request's account, method, path, query and body.

    It identifies a request that a caller repeats: the repetition has a new id and may
    arrive over another connection and at another host.
    """
    head = (request.method, request.target)
    return compute_content_digest(account or ClientAccount(""), head, request.body)
