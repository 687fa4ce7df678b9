"""Orders that backend servers receive for attempts, and the cost of attempts."""

import trio
import xxhash

from dewridge.fleet.model import AttemptOrder, BackendServer, Priority
from dewridge.ids import AttemptId, split_request_id
from dewridge.membership.model import Member
from dewridge.requests.stopping import Attempt

SECONDS_PER_HOUR = 3600


def make_attempt_id(member: Member, number: int) -> AttemptId:
    """Return the id of a process's attempt, unique across hosts and restarts."""
    return AttemptId(f"{member.host}-{member.incarnation:x}-{number}")


def make_order(
    attempt: Attempt, attempt_id: AttemptId, priority: Priority, timeout: float
) -> AttemptOrder:
    """Return the order for an attempt and clear the record's single-use cache handle.

    Args:
        attempt: the attempt; its `id` is set.
        attempt_id: id to assign to the attempt.
        priority: scheduling priority for the engine.
        timeout: seconds without data after which the server counts as silent.
    """
    record = attempt.record
    account, key = split_request_id(record.request)
    attempt.id = attempt_id
    handle, record.cache_handle = record.cache_handle, None
    return AttemptOrder(
        attempt=attempt_id,
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


def charge_attempt(attempt: Attempt, server: BackendServer | None) -> None:
    """Add the price of the server time that an attempt used to the request's cost."""
    if server is None or not attempt.dispatched:
        return
    duration = trio.current_time() - attempt.dispatched_at
    listed = server.listed
    hourly_slot_price = listed.price / max(1, listed.capacity)
    attempt.record.cost += duration * hourly_slot_price / SECONDS_PER_HOUR
