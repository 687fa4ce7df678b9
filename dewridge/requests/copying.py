"""Offering a new record to its replicas, as the condition of its acceptance."""

from dataclasses import dataclass, field, replace
from typing import Any

import trio

from dewridge.codes import ResultCode
from dewridge.ids import HostId
from dewridge.requests.answers import Answer
from dewridge.requests.codec import decode_end, decode_record
from dewridge.requests.records import Record
from dewridge.requests.replication import make_copy
from dewridge.requests.shared import Shared
from dewridge.sentinels import Failure

ACCEPT_GRACE = 0.05
"""Seconds that acceptance waits for the other replicas after the first one's
word. A silent replica must not hold up every caller; a healthy one answers in a
few milliseconds."""


@dataclass
class CopyRound:
    """Replies of the replicas to one offer of a record."""

    waiting: set[HostId]
    supersedes: int = 0
    stored: set[HostId] = field(default_factory=set)
    timed_out: set[HostId] = field(default_factory=set)
    conflicting: list[Record] = field(default_factory=list)
    changed: trio.Event = field(default_factory=trio.Event)


async def offer_copies(shared: Shared, answer: Answer, supersedes: int) -> CopyRound:
    """Offer a record to its replicas until enough of them have answered."""
    copies = CopyRound(set(answer.record.replicas), supersedes)
    for host in answer.record.replicas:
        shared.jobs.start(_copy_to, shared, answer, host, copies)
    with trio.move_on_after(shared.settings.replica_timeout):
        while copies.waiting and not copies.stored and not copies.conflicting:
            await copies.changed.wait()
    with trio.move_on_after(ACCEPT_GRACE):
        while copies.waiting and not copies.conflicting:
            await copies.changed.wait()
    copies.timed_out |= copies.waiting
    return copies


async def _copy_to(
    shared: Shared, answer: Answer, host: HostId, copies: CopyRound
) -> None:
    record = answer.record
    ballot = record.ballot
    answer.holders.add(host)
    message = make_copy(record, copies.supersedes)
    reply = await shared.call(host, message)
    copies.waiting.discard(host)
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
        note_standing(record, reply, copies)
    copies.changed.set()
    copies.changed = trio.Event()


def note_standing(record: Record, reply: Any, copies: CopyRound) -> None:
    """Note what a replica says stands against a record."""
    if reply.known is not None:
        known = decode_record(reply.known)
        known.ended = decode_end(reply.ended) if reply.ended is not None else None
        copies.conflicting.append(known)
    elif reply.ended is not None:
        closed = decode_end(reply.ended)
        copies.conflicting.append(replace(record, ended=closed))
