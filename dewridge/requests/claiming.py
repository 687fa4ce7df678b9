"""Acquires and releases claims, through the bucket's committer or directly."""

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.decoding import MAX_COUNT, decode_json
from dewridge.ids import HostId, Incarnation, RequestId
from dewridge.membership.ranking import rank_members
from dewridge.peers.model import PeerIdentity
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.claims import ClaimIntent, Grant, find_bucket
from dewridge.requests.committer import CommitResult, Committer
from dewridge.requests.keys import read_request_time
from dewridge.requests.records import Ballot, Record
from dewridge.requests.shared import Shared
from dewridge.sentinels import Failure

MAX_RELEASE_ATTEMPTS = 20
RELEASE_RETRY_DELAY = 0.2
"""Seconds between attempts to release a claim. Together with the timeout of each,
the attempts outlast a key-value service outage of 10 s."""
COMMITTER_TIMEOUT_SHARE = 0.5
"""Fraction of the claim timeout to wait for the bucket's committer. After that the
owner writes the claim itself, so a paused committer can't use up the whole timeout."""


class Claimer:
    """Acquires and releases the claims of this host's non-idempotent requests."""

    def __init__(self, shared: Shared, committer: Committer) -> None:
        self._shared = shared
        self._committer = committer
        self._released: dict[RequestId, tuple[Ballot, float]] = {}

    def is_released(self, record: Record) -> bool:
        """Whether this process released the claim under the record's ballot.

        A grant that arrives after the release is void: another host may hold the
        claim by now and send the request too.
        """
        released = self._released.get(record.request)
        return released is not None and released[0] == record.ballot

    def expire_releases(self) -> None:
        """Delete the releases of request keys that are rejected as too old."""
        limit = self._shared.clock() - 2 * self._shared.settings.retention
        for request, (_, at) in list(self._released.items()):
            if at < limit:
                del self._released[request]

    def is_past_retention(self, request: RequestId) -> bool:
        """Whether the request's claim may have been deleted with its time window.

        A process that is paused between claim and dispatch may resume after the
        window was deleted and another host has run the request.
        """
        settings = self._shared.settings
        expires = read_request_time(request) + settings.retention + settings.clock_skew
        return self._shared.clock() > expires

    async def acquire(self, record: Record, deadline: float) -> CommitResult:
        """Acquire the claim of a request, retrying until the deadline.

        Returns:
            The grant or denial, or a Failure if no claim could be recorded.
        """
        intent = ClaimIntent(record.request, record.ballot)
        started = self._shared.clock()
        result: CommitResult = make_unavailable("no time is left")
        while self._shared.clock() < deadline:
            if self.is_past_retention(record.request) or self.is_released(record):
                return make_unavailable("the claim can't be used any more")
            remaining = deadline - self._shared.clock()
            result = await self._commit_intent(intent, remaining)
            if not isinstance(result, Failure):
                break
            await trio.sleep(min(0.05, max(0.0, remaining)))
        if self.is_past_retention(record.request) or self.is_released(record):
            return make_unavailable("the claim can't be used any more")
        label = "granted" if isinstance(result, Grant) and result.granted else "not"
        self._shared.metrics.add("claims", result=label)
        self._shared.metrics.observe("claim_seconds", self._shared.clock() - started)
        return result

    def start_release(self, record: Record) -> None:
        """Stop using the claim of a record's ballot, and release it in the background.

        From now on this process sends nothing under that ballot. The request can
        thus be handed off without waiting for the key-value service, for which a
        reclaimed host may not have enough time.
        """
        request, ballot = record.request, record.ballot
        self._released[request] = ballot, self._shared.clock()
        self._shared.jobs.start(self.write_release, request, ballot)

    async def write_release(self, request: RequestId, ballot: Ballot) -> None:
        """Mark a ballot as released in its bucket, whether it holds the claim or not.

        Call it only if the ballot's host is known to send nothing more under it.
        """
        intent = ClaimIntent(request, ballot, release=True)
        for _ in range(MAX_RELEASE_ATTEMPTS):
            result = await self._commit_intent(
                intent, self._shared.settings.claim_timeout
            )
            if not isinstance(result, Failure):
                self._shared.metrics.add("claims", result="released")
                return
            await trio.sleep(RELEASE_RETRY_DELAY)
        log.warning("request {}: its claim could not be given up", request)

    async def _commit_intent(self, intent: ClaimIntent, timeout: float) -> CommitResult:
        """Have the bucket's committer write an intent, or write it here on no reply.

        Both may write the same intent: it carries its ballot, and applying it is
        idempotent.
        """
        settings = self._shared.settings
        bucket = find_bucket(
            intent.request, settings.claim_window, settings.claim_buckets
        )
        members = [m for m in self._shared.membership.members() if m.accepts_work]
        candidates = rank_members(f"claims/{bucket}", members)
        if candidates and candidates[0].host != self._shared.local_member.host:
            message = wire.Claim(bucket=bucket, requests=[encode_intent(intent)])
            limit = min(timeout, settings.claim_timeout * COMMITTER_TIMEOUT_SHARE)
            with trio.move_on_after(limit):
                reply = await self._shared.call(candidates[0].host, message, limit)
                if not isinstance(reply, Failure) and reply.results:
                    return decode_result(reply.results[0])
            self._shared.metrics.add("claims_committed_by_owner")
        return await self._committer.commit(
            intent, min(timeout, settings.claim_timeout)
        )

    async def serve(self, peer: PeerIdentity, message: wire.Claim) -> wire.ClaimReply:
        """Commit the claim intents that another host sent."""
        results: dict[int, wire.ClaimResult] = {}
        limit = self._shared.settings.claim_timeout * COMMITTER_TIMEOUT_SHARE

        async def commit(index: int, intent: ClaimIntent) -> None:
            result = await self._committer.commit(intent, limit)
            results[index] = encode_result(result)

        async with trio.open_nursery() as nursery:
            for index, request in enumerate(message.requests):
                nursery.start_soon(commit, index, decode_intent(request))
        return wire.ClaimReply(results=[results[i] for i in sorted(results)])


def make_unavailable(reason: str) -> Failure:
    """Return the failure of a claim that could not be recorded."""
    return Failure(ResultCode.CLAIM_UNAVAILABLE, reason, 1.0)


def encode_intent(intent: ClaimIntent) -> wire.ClaimRequest:
    """Return an intent as a wire structure."""
    return wire.ClaimRequest(
        request=intent.request,
        holder=intent.ballot.host,
        holder_incarnation=intent.ballot.incarnation,
        epoch=intent.ballot.epoch,
        release=intent.release,
    )


def decode_intent(message: wire.ClaimRequest) -> ClaimIntent:
    """Return the intent of a wire structure."""
    ballot = Ballot(
        message.epoch, HostId(message.holder), Incarnation(message.holder_incarnation)
    )
    return ClaimIntent(RequestId(message.request), ballot, message.release)


def encode_result(result: CommitResult) -> wire.ClaimResult:
    """Return a commit result as a wire structure."""
    if isinstance(result, Failure):
        return wire.ClaimResult(
            code=int(result.code),
            holder="",
            holder_incarnation=0,
            reason=result.reason,
        )
    holder = result.holder
    return wire.ClaimResult(
        code=int(ResultCode.OK if result.granted else ResultCode.PEER_REFUSED),
        holder=holder.host if holder else "",
        holder_incarnation=holder.incarnation if holder else 0,
        reason=str(holder.epoch) if holder else "",
    )


def decode_result(message: wire.ClaimResult) -> CommitResult:
    """Return the commit result of a wire structure."""
    if message.code == ResultCode.OK:
        return Grant(granted=True)
    if message.code != ResultCode.PEER_REFUSED:
        return make_unavailable(message.reason)
    epoch = decode_json((message.reason or "0").encode(), int)
    if isinstance(epoch, Failure) or not 0 <= epoch <= MAX_COUNT:
        return make_unavailable("the claim's holder has no epoch")
    holder = Ballot(
        epoch, HostId(message.holder), Incarnation(message.holder_incarnation)
    )
    return Grant(granted=False, holder=holder)
