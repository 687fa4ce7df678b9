"""Conversion of records and ends to and from the structures sent between hosts."""

from typing import Any

from dewridge.codes import ResultCode
from dewridge.ids import (
    Generation,
    HostId,
    Incarnation,
    OperationName,
    ProfileName,
    RequestId,
    ServiceName,
)
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.model import AnswerSummary, EndedEvent
from dewridge.requests.records import Ballot, Record

NO_RETRY_AFTER = -1.0
"""Value of the wire field `retry_after` for None."""


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
