"""Taking requests that a leaving host hands off."""

from dewridge.peers.model import PeerIdentity
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.answers import Answer, renew_generation, take_ownership
from dewridge.requests.attempts import Attempts
from dewridge.requests.claiming import Claimer
from dewridge.requests.codec import decode_record
from dewridge.requests.records import Ballot, Record
from dewridge.requests.replication import Replicator
from dewridge.requests.shared import Shared


class Taker:
    """Goes on with the requests that other hosts hand off."""

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

    async def take(
        self, peer: PeerIdentity, message: wire.Handoff
    ) -> wire.HandoffReply:
        """Take a request that its leaving owner gives to this host."""
        if self._shared.leaving:
            return wire.HandoffReply(taken=False)
        offered = decode_record(message.record, message.tokens)
        if offered.ballot.host != peer.host:
            return wire.HandoffReply(taken=False)
        have = self._shared.table.find(offered.request)
        if have is not None and have.ballot > offered.ballot:
            return wire.HandoffReply(taken=True)
        if have is not None and have.ended is not None:
            return wire.HandoffReply(taken=True)
        self._own(offered, offered.ballot if message.released else None)
        return wire.HandoffReply(taken=True)

    def _own(self, record: Record, voided: Ballot | None) -> None:
        """Go on with a request that was handed off.

        Args:
            record: the request.
            voided: the ownership of its last host, if that may hold the claim and
                has promised to send nothing.
        """
        ballot = self._shared.make_ballot(record.request, record.ballot.epoch)
        take_ownership(record, ballot, keep_generation=True)
        before = set(record.replicas)
        self._shared.table.put(record)
        self._replicator.choose(record)
        answer = Answer(record)
        if self._shared.me.host not in before and answer.replace_replicas(before):
            renew_generation(record)
        self._replicator.add(answer)
        if not record.replicas:
            answer.detach()
        for host in record.replicas:
            self._replicator.send_whole(host, record.request)
        answer.accepted.set()
        self._shared.metrics.add("requests_taken_by_handoff")
        if record.idempotent or voided is None:
            self._attempts.queue(answer)
        else:
            self._shared.jobs.start(self._queue_call, answer, voided)

    async def _queue_call(self, answer: Answer, voided: Ballot) -> None:
        """Queue a call once the claim of its last host is out of the way.

        That host had no time to wait for the key-value service. If its claim stood
        when this host asks for one, this one would be refused by a holder that is
        gone and tell the caller "unknown" of a call that was never sent.
        """
        record = answer.record
        await self._claims.write_release(record.request, voided)
        if not answer.lost and record.ended is None:
            self._attempts.queue(answer)
