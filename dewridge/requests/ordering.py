"""What a backend server is sent for an attempt, and what the attempt costs there."""

import trio
import xxhash

from dewridge.fleet.model import AttemptOrder, BackendServer, Priority
from dewridge.ids import AttemptId, split_request_id
from dewridge.membership.model import Member
from dewridge.requests.stopping import Attempt

SECONDS_IN_HOUR = 3600


def name_attempt(me: Member, number: int) -> AttemptId:
    """Return the name of this process's attempt with a number."""
    return AttemptId(f"{me.host}-{me.incarnation:x}-{number}")


def make_order(
    attempt: Attempt, name: AttemptId, priority: Priority, timeout: float
) -> AttemptOrder:
    """Return the order for an attempt; the cache that it goes on from is used up.

    Args:
        attempt: gets the name.
        name: of the attempt.
        priority: urgency for the engine.
        timeout: seconds without a word after which the server counts as silent.
    """
    record = attempt.record
    account, key = split_request_id(record.request)
    attempt.id = name
    handle, record.cache_handle = record.cache_handle, None
    return AttemptOrder(
        attempt=name,
        service=record.service,
        operation=record.operation,
        account=account,
        key=key,
        input=record.input,
        max_tokens=record.max_tokens,
        priority=priority,
        timeout=timeout,
        tokens_done=tuple(record.tokens),
        cache_handle=handle,
        cache_salt=f"{xxhash.xxh3_64_intdigest(account.encode()):x}",
    )


def charge(attempt: Attempt, server: BackendServer | None) -> None:
    """Add to a request's cost what an attempt took of its server's time."""
    if server is None or not attempt.dispatched:
        return
    held = trio.current_time() - attempt.dispatched_at
    listed = server.listed
    hourly = listed.price / max(1, listed.capacity)
    attempt.record.cost += held * hourly / SECONDS_IN_HOUR
