"""Handlers of replication, lookup and usage messages from other entry hosts."""

from collections.abc import Awaitable, Callable
from typing import Any

from dewridge.ids import Generation, HostId, RequestId
from dewridge.peers.model import PeerIdentity
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.attempts import Attempts
from dewridge.requests.codec import decode_end, decode_record, encode_end, encode_record
from dewridge.requests.records import Ballot, Record
from dewridge.requests.replicas import RunReply, TokenRun, is_late_answer
from dewridge.requests.replication import Replicator
from dewridge.requests.shared import Shared
from dewridge.requests.usage import (
    UsageLedger,
    decode_usages,
    encode_usages,
)


class ReplicaHandlers:
    """Stores replicas for other owners and answers lookups of requests and usage.

    Args:
        shared: state and interfaces shared by the modules of this package.
        replicator: replicates the requests that this host owns.
        attempts: attempts at backend servers that are in progress.
        usage: usage counters of this process and of others.
        sync_usage: brings `usage` up to date with the schedulers' counters.
    """

    def __init__(
        self,
        shared: Shared,
        replicator: Replicator,
        attempts: Attempts,
        usage: UsageLedger,
        sync_usage: Callable[[], None],
    ) -> None:
        self._shared = shared
        self._replicator = replicator
        self._attempts = attempts
        self._usage = usage
        self._sync_usage = sync_usage

    def list_handlers(
        self,
    ) -> list[tuple[type, Callable[[PeerIdentity, Any], Awaitable[Any]]]]:
        """Return each handled message type with its handler."""
        return [
            (wire.Replicate, self.replicate),
            (wire.ReplicateTokens, self.replicate_tokens),
            (wire.CloseSubmission, self.close),
            (wire.Find, self.find),
            (wire.MergeUsage, self.merge_usage),
            (wire.ReadUsage, self.read_usage),
        ]

    async def replicate(
        self, peer: PeerIdentity, message: wire.Replicate
    ) -> wire.ReplicateReply:
        """Store a replica of a record, or return the state that conflicts with it.

        A peer may send only records that it owns.
        """
        offered = decode_record(message.record, message.tokens)
        if message.ended is not None:
            offered.ended = decode_end(message.ended)
        if offered.ballot.host != peer.host:
            self._shared.metrics.add("replicas_foreign_records")
            return wire.ReplicateReply(stored=False)
        before = self._shared.table.find(offered.request)
        if before is None and not self._shared.has_room_for(offered.input):
            self._shared.metrics.add("replicas_over_input_limit")
            return wire.ReplicateReply(stored=False)
        now = self._shared.clock()
        reply = self._shared.table.store(offered, now, message.supersedes or 0)
        if reply.stored and before is not None and is_late_answer(before, offered):
            # Other replicas may still hold the outcome "unknown". The sender finds
            # them in the record that this one replaced, and must update them too.
            return wire.ReplicateReply(stored=True, known=encode_record(before))
        return wire.ReplicateReply(
            stored=reply.stored,
            known=encode_record(reply.known) if reply.known else None,
            ended=encode_end(reply.ended, offered.number) if reply.ended else None,
        )

    async def replicate_tokens(
        self, peer: PeerIdentity, message: wire.ReplicateTokens
    ) -> wire.ReplicateTokensReply:
        """Store tokens of requests that a peer owns."""
        now = self._shared.clock()
        unknown: list[str] = []
        superseded: list[str] = []
        for run in message.runs:
            result = self._shared.table.append(decode_token_run(peer, run), now)
            if result is RunReply.UNKNOWN:
                unknown.append(run.request)
            elif result is RunReply.SUPERSEDED:
                superseded.append(run.request)
        return wire.ReplicateTokensReply(unknown=unknown, superseded=superseded)

    async def close(
        self, peer: PeerIdentity, message: wire.CloseSubmission
    ) -> wire.CloseSubmissionReply:
        """Record a refusal, unless another owner runs the request or it may have run.

        A message with `withdraw` removes the replica of a withdrawn ownership.
        """
        ballot = Ballot(message.epoch, HostId(message.owner), peer.incarnation)
        request = RequestId(message.request)
        table = self._shared.table
        if message.withdraw:
            table.drop(request, ballot, self._shared.clock())
            return wire.CloseSubmissionReply(closed=True)
        ended = decode_end(message.ended)
        number = message.ended.number
        existing = table.close_submissions(
            request, number, ended, ballot, self._shared.clock()
        )
        if existing is None:
            return wire.CloseSubmissionReply(closed=True)
        known_end = (
            encode_end(existing.ended, existing.number) if existing.ended else None
        )
        return wire.CloseSubmissionReply(
            closed=False, known=encode_record(existing), known_end=known_end
        )

    async def find(self, peer: PeerIdentity, message: wire.Find) -> wire.FindReply:
        """Return what this host stores about a request."""
        request = RequestId(message.request)
        record = self.find_record(request)
        if record is None:
            return wire.FindReply(found=False, tokens=0)
        answer = self._replicator.find(request)
        is_hidden = answer is not None and not answer.end_visible
        ended = None if is_hidden else record.ended
        visible = len(record.tokens) if answer is None else answer.visible_tokens
        return wire.FindReply(
            found=True,
            record=encode_record(record),
            ended=encode_end(ended, record.number) if ended else None,
            tokens=visible,
            token_list=list(record.tokens) if message.with_tokens else None,
        )

    def find_record(self, request: RequestId) -> Record | None:
        """Return the stored record of a request, or that of an orphaned attempt.

        An orphaned attempt continues here although another host owns the request now.
        """
        attempt = self._attempts.find_orphan(request)
        if attempt is not None:
            return attempt.record
        return self._shared.table.find(request)

    async def merge_usage(
        self, peer: PeerIdentity, message: wire.MergeUsage
    ) -> wire.MergeUsageReply:
        """Store the counters of another process, so that they outlive it."""
        self._usage.store_remote(*decode_usages(message))
        return wire.MergeUsageReply(taken=True)

    async def read_usage(
        self, peer: PeerIdentity, message: wire.ReadUsage
    ) -> wire.ReadUsageReply:
        """Return the counters of a profile, by the process that counted them."""
        # The schedulers' counters are otherwise synchronised only every few
        # seconds; the report would lack the most recent work.
        self._sync_usage()
        local_host = self._shared.local_member
        sources = self._usage.read_remote()
        sources[local_host.host, local_host.incarnation] = self._usage.read_local()
        chosen = [
            encode_usages(source, {message.profile: usages[message.profile]})
            for source, usages in sources.items()
            if message.profile in usages
        ]
        return wire.ReadUsageReply(usages=chosen)


def decode_token_run(peer: PeerIdentity, message: Any) -> TokenRun:
    """Decode tokens sent by a peer that owns the request."""
    ended = decode_end(message.ended) if message.ended is not None else None
    return TokenRun(
        request=RequestId(message.request),
        ballot=Ballot(message.epoch, peer.host, peer.incarnation),
        generation=Generation(message.generation),
        offset=message.offset,
        tokens=tuple(message.tokens),
        ended=ended,
        number=message.ended.number if message.ended is not None else 0,
        version=message.version,
    )
