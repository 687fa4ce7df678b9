"""Types of identifiers, and functions that build and split them."""

from typing import NamedTuple, NewType

HostId = NewType("HostId", str)
"""Name of a host that runs `dewridge serve`; unique in a deployment."""

Incarnation = NewType("Incarnation", int)
"""Identifies one run of a process on a host: its start in microseconds since 1970."""

FailureDomain = NewType("FailureDomain", str)
ClientAccount = NewType("ClientAccount", str)
OperatorName = NewType("OperatorName", str)
ServiceName = NewType("ServiceName", str)
ProfileName = NewType("ProfileName", str)
OperationName = NewType("OperationName", str)

RequestKey = NewType("RequestKey", str)
"""A caller's idempotency key: a UUIDv7 in canonical lower-case form."""

RequestId = NewType("RequestId", str)
"""`account/key`: identifies a request within the system."""

RequestDigest = NewType("RequestDigest", str)
PartDigest = NewType("PartDigest", str)
"""Identifies a request by its content; the same for retries under other ids."""

Release = NewType("Release", int)
"""Digest of a service and a version of its software: 32 bits, never 0."""

StreamKey = NewType("StreamKey", int)
"""Digest of an account and the id of an attempt: 48 bits."""


class Registration(NamedTuple):
    """When a backend server registered; a later registration compares as greater.

    Attributes:
        era: era of the store in which the server is known to have written its record.
        created: revision at which the store created the record's key.
    """

    era: int
    created: int


UNREGISTERED = Registration(0, 0)
"""Less than any registration of a record in the store."""

AttemptId = NewType("AttemptId", str)
"""Identifies one dispatch of a request to a backend server."""

Generation = NewType("Generation", int)
"""Number of a token sequence of an answer; a higher one replaces the lower ones."""

ServerName = NewType("ServerName", str)
"""Name that a backend server reports; it may be the same after a restart."""

BackendServerId = NewType("BackendServerId", str)
"""Identifies one run of a backend server."""

Revision = NewType("Revision", int)
"""Revision of the entire configuration; it only increases."""


def make_request_id(account: ClientAccount, key: RequestKey) -> RequestId:
    """Return the id of an account's request."""
    return RequestId(f"{account}/{key}")


def make_server_id(name: ServerName, started_at_ms: int | None) -> BackendServerId:
    """Return the id of one run of a backend server.

    Args:
        name: the name that the server reports.
        started_at_ms: when this run started, in milliseconds since 1970; None if
            not reported.
    """
    return BackendServerId(name if started_at_ms is None else f"{name}@{started_at_ms}")


def split_request_id(request: RequestId) -> tuple[ClientAccount, RequestKey]:
    """Return the account and the key of a request id."""
    account, _, key = request.rpartition("/")
    return ClientAccount(account), RequestKey(key)
