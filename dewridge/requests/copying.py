"""Offers a new record to its replicas before the request is accepted."""

from dataclasses import dataclass, field, replace
from typing import Any

import trio

from dewridge.codes import ResultCode
from dewridge.ids import HostId
from dewridge.requests.answers import Answer
from dewridge.requests.codec import decode_end, decode_record
from dewridge.requests.records import Record
from dewridge.requests.replication import make_replicate_message
from dewridge.requests.shared import Shared
from dewridge.sentinels import Failure

EXTRA_REPLY_WAIT = 0.05
"""Seconds that acceptance waits for the other replicas after the first reply. A silent
replica must not delay every caller; a healthy one replies in a few milliseconds."""


@dataclass
class CopyRound:
    """The replies of the replicas to one offer of a record.

    Attributes:
        pending: replicas that have not replied yet.
        supersedes: epoch up to which live records of other owners yield to it.
        conflicting: records on replicas that prevent the offered one from being stored.
    """

    pending: set[HostId]
    supersedes: int = 0
    stored: set[HostId] = field(default_factory=set)
    timed_out: set[HostId] = field(default_factory=set)
    conflicting: list[Record] = field(default_factory=list)
    changed: trio.Event = field(default_factory=trio.Event)


async def offer_copies(shared: Shared, answer: Answer, supersedes: int) -> CopyRound:
    """Offer a record to its replicas and wait until enough of them have replied."""
    copies = CopyRound(set(answer.record.replicas), supersedes)
    for host in answer.record.replicas:
        shared.jobs.start(_offer_copy, shared, answer, host, copies)
    with trio.move_on_after(shared.settings.replica_timeout):
        while copies.pending and not copies.stored and not copies.conflicting:
            await copies.changed.wait()
    with trio.move_on_after(EXTRA_REPLY_WAIT):
        while copies.pending and not copies.conflicting:
            await copies.changed.wait()
    copies.timed_out |= copies.pending
    return copies


async def _offer_copy(
    shared: Shared, answer: Answer, host: HostId, copies: CopyRound
) -> None:
    record = answer.record
    ballot = record.ballot
    answer.holders.add(host)
    message = make_replicate_message(record, copies.supersedes)
    reply = await shared.call(host, message)
    copies.pending.discard(host)
    if isinstance(reply, Failure):
        if reply.code is ResultCode.PEER_UNREACHABLE:
            answer.holders.discard(host)
        else:
            copies.timed_out.add(host)
    elif reply.stored:
        copies.stored.add(host)
        if record.ballot == ballot:
            answer.acknowledge(host, record.generation, 0, ended=False)
    else:
        answer.holders.discard(host)
        record_conflict(record, reply, copies)
    copies.changed.set()
    copies.changed = trio.Event()


def record_conflict(record: Record, reply: Any, copies: CopyRound) -> None:
    """Store the record or the end because of which a replica rejected a record."""
    if reply.known is not None:
        known = decode_record(reply.known)
        known.ended = decode_end(reply.ended) if reply.ended is not None else None
        copies.conflicting.append(known)
    elif reply.ended is not None:
        ended = decode_end(reply.ended)
        copies.conflicting.append(replace(record, ended=ended))
