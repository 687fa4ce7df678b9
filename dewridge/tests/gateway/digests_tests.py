"""Tests of digests that identify requests by their content."""

from dewridge.gateway.digests import make_digest
from dewridge.gateway.model import AccountKey, AttemptKey, CallerRequest, Sizes
from dewridge.ids import ClientAccount

ACCOUNT = ClientAccount("account-1")


def make_request(
    request_id: str = "r-1", target: bytes = b"/read/a", body: bytes = b"x"
) -> CallerRequest:
    """Return a caller's request."""
    return CallerRequest(
        id=AttemptKey(request_id),
        method=b"POST",
        target=target,
        hostname="example.test",
        headers=(),
        body=body,
        key=AccountKey("key-1"),
        sizes=Sizes(),
        last_event=None,
        arrived_at=0.0,
        deadline=1.0,
    )


def test_a_repeated_request_with_another_id_has_the_same_digest() -> None:
    first = make_digest(make_request("r-1"), ACCOUNT)
    assert make_digest(make_request("r-2"), ACCOUNT) == first


def test_other_content_and_other_accounts_have_other_digests() -> None:
    """Guards against digests of concatenated parts without their boundaries.

    With these, an account could make a request with the digest of another account's.
    """
    requests = [
        (make_request(), ACCOUNT),
        (make_request(), ClientAccount("account-2")),
        (make_request(), None),
        (make_request(body=b"y"), ACCOUNT),
        (make_request(target=b"/read/ax", body=b""), ACCOUNT),
        (make_request(target=b"/read/", body=b"ax"), ACCOUNT),
    ]
    digests = {make_digest(request, account) for request, account in requests}
    assert len(digests) == len(requests)
