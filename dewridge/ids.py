"""Identifiers used across the system."""

from typing import NewType

HostId = NewType("HostId", str)
"""Name of a host that runs `dewridge serve`; unique in a deployment."""

Incarnation = NewType("Incarnation", int)
"""One start of a process on a host: microseconds since 1970 at the start."""

FailureDomain = NewType("FailureDomain", str)
ClientAccount = NewType("ClientAccount", str)
OperatorName = NewType("OperatorName", str)
ServiceName = NewType("ServiceName", str)
ProfileName = NewType("ProfileName", str)
OperationName = NewType("OperationName", str)

RequestKey = NewType("RequestKey", str)
"""A caller's idempotency key: a UUIDv7 in canonical lower-case form."""

RequestId = NewType("RequestId", str)
"""`account/key`: what names a request everywhere inside the system."""

RequestDigest = NewType("RequestDigest", str)
"""Names a request by its content; the same for all repeats under other ids."""

AttemptId = NewType("AttemptId", str)
"""One dispatch of a request to one backend server."""

Generation = NewType("Generation", int)
"""Numbers the token sequences of one answer; a later one replaces the earlier."""

ServerName = NewType("ServerName", str)
"""What a backend server calls itself; a later start may have the same name."""

BackendServerId = NewType("BackendServerId", str)
"""One start of a backend server."""

Revision = NewType("Revision", int)
"""Revision of the configuration as a whole; only ever grows."""


def make_request_id(account: ClientAccount, key: RequestKey) -> RequestId:
    """Return the name under which an account's request is known inside."""
    return RequestId(f"{account}/{key}")


def make_server_id(name: ServerName, started_at_ms: int | None) -> BackendServerId:
    """Return the id of one start of a backend server.

    Args:
        name: what the server calls itself.
        started_at_ms: when this process started, in milliseconds since 1970; None if
            not reported.
    """
    return BackendServerId(name if started_at_ms is None else f"{name}@{started_at_ms}")


def split_request_id(request: RequestId) -> tuple[ClientAccount, RequestKey]:
    """Return the account and the key that `make_request_id` joined."""
    account, _, key = request.rpartition("/")
    return ClientAccount(account), RequestKey(key)
