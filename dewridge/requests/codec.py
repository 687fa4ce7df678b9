"""Conversion of records and ends to and from the structures sent between hosts."""

from collections.abc import Awaitable, Callable
from typing import Annotated, Any

import msgspec

from dewridge.codes import ResultCode
from dewridge.decoding import MAX_COUNT, Amount, Count, Name, convert
from dewridge.ids import (
    Generation,
    HostId,
    Incarnation,
    OperationName,
    ProfileName,
    RequestId,
    ServiceName,
)
from dewridge.peers.model import PeerIdentity
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.model import AnswerSummary, EndedEvent
from dewridge.requests.records import Ballot, Record
from dewridge.sentinels import Failure

NO_RETRY_AFTER = -1.0
"""Value of the wire field `retry_after` for None."""


Number = Annotated[float, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
Handler = Callable[[PeerIdentity, Any], Awaitable[Any]]


class _RecordFields(msgspec.Struct):
    """The fields of a record as another host may send them."""

    request: Name
    service_name: Name
    operation: Name
    number: Count
    deadline: Number
    input: str
    max_tokens: Count
    idempotent: bool
    profile: Name
    accepted_at: Number
    owner: Name
    owner_incarnation: Count
    generation: int
    replicas: list[Name]
    attempts: Count
    recomputed: Count
    cost: Amount
    claimed: bool
    epoch: Count
    cache_handle: Name | None
    maybe_run: bool | None
    pending: bool | None
    digest: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{0,64}$")] | None
    version: Name | None


class _EndFields(msgspec.Struct):
    """The fields of an end as another host may send them."""

    code: int
    reason: str
    retry_after: Number
    body: str
    tokens: Count
    attempts: Count
    recomputed: Count
    cost: Amount
    backend_server: str
    failure_domain: str
    profile: str


RECORD_MEMBERS = ("record", "known")
END_MEMBERS = ("ended", "known_end")


def find_fault(message: Any) -> Failure | None:
    """Return why a message can't be used; None if its records and ends are sound.

    Args:
        message: any message of another host, or a failure.
    """
    if getattr(message, "found", True) and getattr(message, "record", 0) is None:
        return Failure(ResultCode.FRAME_MALFORMED, "no record")
    parts: list[tuple[Any, type[msgspec.Struct]]]
    parts = [(getattr(message, name, None), _RecordFields) for name in RECORD_MEMBERS]
    parts += [(getattr(message, name, None), _EndFields) for name in END_MEMBERS]
    parts += [(run.ended, _EndFields) for run in getattr(message, "runs", None) or ()]
    for part, kind in parts:
        if part is None:
            continue
        fields = {name: getattr(part, name, None) for name in kind.__struct_fields__}
        fault = convert(fields, kind, ResultCode.FRAME_MALFORMED)
        if isinstance(fault, Failure):
            return fault
    return None


def check_messages(handler: Handler) -> Handler:
    """Return a handler that refuses messages that can't be used."""

    async def handle(peer: PeerIdentity, message: Any) -> Any:
        fault = find_fault(message)
        return await handler(peer, message) if fault is None else fault

    return handle


def encode_record(record: Record) -> Any:
    """Return the wire structure of a record, without its tokens."""
    return wire.RequestRecord(
        request=record.request,
        service_name=record.service,
        operation=record.operation,
        number=record.number,
        deadline=record.deadline,
        input=record.input,
        max_tokens=record.max_tokens,
        idempotent=record.idempotent,
        profile=record.profile,
        accepted_at=record.accepted_at,
        owner=record.ballot.host,
        owner_incarnation=record.ballot.incarnation,
        generation=record.generation,
        replicas=list(record.replicas),
        attempts=record.attempts,
        recomputed=record.recomputed,
        cost=record.cost,
        claimed=record.claimed,
        cache_handle=record.cache_handle,
        epoch=record.ballot.epoch,
        maybe_run=record.maybe_run,
        pending=record.pending,
        digest=f"{record.digest:x}",
        version=record.version,
    )


def decode_record(message: Any, tokens: list[str] | None = None) -> Record:
    """Return the record in a wire structure."""
    ballot = Ballot(
        message.epoch,
        HostId(message.owner),
        Incarnation(message.owner_incarnation),
    )
    return Record(
        request=RequestId(message.request),
        service=ServiceName(message.service_name),
        operation=OperationName(message.operation),
        number=message.number,
        deadline=message.deadline,
        input=message.input,
        max_tokens=message.max_tokens,
        idempotent=message.idempotent,
        profile=ProfileName(message.profile),
        accepted_at=message.accepted_at,
        ballot=ballot,
        generation=Generation(message.generation),
        digest=int(message.digest or "0", 16),
        replicas=tuple(HostId(host) for host in message.replicas),
        attempts=message.attempts,
        recomputed=message.recomputed,
        cost=message.cost,
        claimed=message.claimed,
        cache_handle=message.cache_handle,
        pending=bool(message.pending),
        maybe_run=message.maybe_run is not False,
        tokens=list(tokens or ()),
        version=message.version,
    )


def encode_end(end: EndedEvent, number: int) -> Any:
    """Return the wire structure of an end."""
    summary = end.summary
    return wire.RequestEnd(
        code=int(end.code),
        reason=end.reason,
        retry_after=NO_RETRY_AFTER if end.retry_after is None else end.retry_after,
        body=end.body,
        tokens=summary.tokens,
        attempts=summary.attempts,
        recomputed=summary.recomputed,
        cost=summary.cost,
        backend_server=summary.backend_server,
        failure_domain=summary.failure_domain,
        profile=summary.profile,
        number=number,
    )


def decode_end(message: Any) -> EndedEvent:
    """Return the end in a wire structure; an unknown code becomes OUTCOME_UNKNOWN."""
    try:
        code = ResultCode(message.code)
    except ValueError:
        code = ResultCode.OUTCOME_UNKNOWN
    return EndedEvent(
        code=code,
        reason=message.reason,
        retry_after=None if message.retry_after < 0 else message.retry_after,
        body=message.body,
        summary=AnswerSummary(
            tokens=message.tokens,
            attempts=message.attempts,
            recomputed=message.recomputed,
            cost=message.cost,
            backend_server=message.backend_server,
            failure_domain=message.failure_domain,
            profile=message.profile,
        ),
    )
