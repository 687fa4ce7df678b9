"""Receipt of requests that leaving hosts hand off to this host."""

from dewridge.peers.model import PeerIdentity
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.answers import Answer, renew_generation, take_ownership
from dewridge.requests.attempts import Attempts
from dewridge.requests.claiming import Claimer
from dewridge.requests.codec import decode_record
from dewridge.requests.records import Ballot, Record
from dewridge.requests.replication import Replicator
from dewridge.requests.shared import Shared


class HandoffReceiver:
    """Accepts and continues the requests that other hosts hand off."""

    def __init__(
        self,
        shared: Shared,
        *,
        replicator: Replicator,
        attempts: Attempts,
        claims: Claimer,
    ) -> None:
        self._shared = shared
        self._replicator = replicator
        self._attempts = attempts
        self._claims = claims

    async def receive_handoff(
        self, peer: PeerIdentity, message: wire.Handoff
    ) -> wire.HandoffReply:
        """Accept a request that its leaving owner hands off.

        The reply is also positive if this host already stores an end of the request or
        a newer ownership of it.
        """
        if self._shared.leaving:
            return wire.HandoffReply(taken=False)
        offered = decode_record(message.record, message.tokens)
        if offered.ballot.host != peer.host:
            return wire.HandoffReply(taken=False)
        current = self._shared.table.find(offered.request)
        if current is not None and current.ballot > offered.ballot:
            return wire.HandoffReply(taken=True)
        if current is not None and current.ended is not None:
            return wire.HandoffReply(taken=True)
        self._take_ownership(offered, offered.ballot if message.released else None)
        return wire.HandoffReply(taken=True)

    def _take_ownership(self, record: Record, released: Ballot | None) -> None:
        """Become the owner of a request that was handed off, and queue it.

        Args:
            record: the request.
            released: the ownership of its previous host, if that host may hold the
                claim and has promised not to send the call.
        """
        ballot = self._shared.make_ballot(record.request, record.ballot.epoch)
        take_ownership(record, ballot, keep_generation=True)
        before = set(record.replicas)
        self._shared.table.put(record)
        self._replicator.assign_replicas(record)
        answer = Answer(record)
        if self._shared.local_member.host not in before and answer.replace_replicas(
            before
        ):
            renew_generation(record)
        self._replicator.add(answer)
        if not record.replicas:
            answer.detach()
        for host in record.replicas:
            self._replicator.queue_full_record(host, record.request)
        answer.accepted.set()
        self._shared.metrics.add("requests_taken_by_handoff")
        if record.idempotent or released is None:
            self._attempts.queue(answer)
        else:
            self._shared.jobs.start(self._queue_after_release, answer, released)

    async def _queue_after_release(self, answer: Answer, released: Ballot) -> None:
        """Queue a call once its previous owner's claim is released.

        The previous owner had no time to wait for the key-value service. If its claim
        were still recorded, this host's claim would be denied because of a holder that
        has departed, and the caller would get "unknown" for a call never sent.
        """
        record = answer.record
        await self._claims.write_release(record.request, released)
        if not answer.lost and record.ended is None:
            self._attempts.queue(answer)
