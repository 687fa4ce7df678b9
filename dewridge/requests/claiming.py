"""Claims as an owner asks for them: through the bucket's committer, or itself."""

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.ids import HostId, Incarnation, RequestId
from dewridge.membership.ranking import rank_members
from dewridge.peers.model import PeerIdentity
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.claims import ClaimIntent, Grant, find_bucket
from dewridge.requests.committer import Committer, Verdict
from dewridge.requests.keys import read_request_time
from dewridge.requests.records import Ballot, Record
from dewridge.requests.shared import Shared
from dewridge.sentinels import Failure

RELEASE_TRIES = 20
RELEASE_PAUSE = 0.2
"""Seconds between them; with the timeout of each they outlast an outage of the
key-value service of 10 s."""
COMMITTER_SHARE = 0.5
"""Part of the claim's time that the bucket's committer has before the owner writes
the claim itself; a committer that is paused must not cost the whole of it."""


class Claimer:
    """Acquires and releases claims for this host's calls."""

    def __init__(self, shared: Shared, committer: Committer) -> None:
        self._shared = shared
        self._committer = committer
        self._released: dict[RequestId, tuple[Ballot, float]] = {}

    def is_released(self, record: Record) -> bool:
        """Whether this process gave up the claim of a record's ownership.

        A grant that was on its way when the claim was released says nothing
        any more: another host may hold the claim by now and send the call too.
        """
        released = self._released.get(record.request)
        return released is not None and released[0] == record.ballot

    def forget(self) -> None:
        """Forget releases of keys that are refused as too old."""
        limit = self._shared.clock() - 2 * self._shared.settings.retention
        for request, (_, at) in list(self._released.items()):
            if at < limit:
                del self._released[request]

    def is_too_late(self, request: RequestId) -> bool:
        """Whether a claim may have been forgotten with its window.

        A process that was paused between a claim and its dispatch could wake
        after the window was deleted and another host had run the call.
        """
        settings = self._shared.settings
        last = read_request_time(request) + settings.retention + settings.clock_skew
        return self._shared.clock() > last

    async def acquire(self, record: Record, deadline: float) -> Verdict:
        """Claim a call until a time, or say why not."""
        intent = ClaimIntent(record.request, record.ballot)
        started = self._shared.clock()
        verdict: Verdict = make_unavailable("no time is left")
        while self._shared.clock() < deadline:
            if self.is_too_late(record.request) or self.is_released(record):
                return make_unavailable("the claim can't be used any more")
            left = deadline - self._shared.clock()
            verdict = await self._ask(intent, left)
            if not isinstance(verdict, Failure):
                break
            await trio.sleep(min(0.05, max(0.0, left)))
        if self.is_too_late(record.request) or self.is_released(record):
            return make_unavailable("the claim can't be used any more")
        name = "granted" if isinstance(verdict, Grant) and verdict.granted else "not"
        self._shared.metrics.add("claims", result=name)
        self._shared.metrics.observe("claim_seconds", self._shared.clock() - started)
        return verdict

    def give_up(self, record: Record) -> None:
        """Promise to send nothing under a record's ownership, and release its claim.

        The promise holds at once, so the call can be handed off without waiting
        for the key-value service: a reclaimed host may have less time than that.
        """
        request, ballot = record.request, record.ballot
        self._released[request] = ballot, self._shared.clock()
        self._shared.jobs.start(self.void, request, ballot)

    async def void(self, request: RequestId, ballot: Ballot) -> None:
        """Mark an ownership that sends nothing as given up, whether it claimed or not.

        Only for an ownership whose own host has promised that it sends nothing.
        """
        intent = ClaimIntent(request, ballot, release=True)
        for _ in range(RELEASE_TRIES):
            verdict = await self._ask(intent, self._shared.settings.claim_timeout)
            if not isinstance(verdict, Failure):
                self._shared.metrics.add("claims", result="released")
                return
            await trio.sleep(RELEASE_PAUSE)
        log.warning("request {}: its claim could not be given up", request)

    async def _ask(self, intent: ClaimIntent, timeout: float) -> Verdict:
        """Ask the committer of the bucket; commit here if it does not answer.

        Both may write the same intent: it names its ownership, and applying it
        twice is the same as once.
        """
        settings = self._shared.settings
        bucket = find_bucket(
            intent.request, settings.claim_window, settings.claim_buckets
        )
        members = [m for m in self._shared.membership.members() if m.accepts_work]
        ranked = rank_members(f"claims/{bucket}", members)
        if ranked and ranked[0].host != self._shared.local_member.host:
            message = wire.Claim(bucket=bucket, requests=[encode_intent(intent)])
            limit = min(timeout, settings.claim_timeout * COMMITTER_SHARE)
            with trio.move_on_after(limit):
                reply = await self._shared.call(ranked[0].host, message, limit)
                if not isinstance(reply, Failure):
                    return decode_result(reply.results[0])
            self._shared.metrics.add("claims_committed_by_owner")
        return await self._committer.commit(
            intent, min(timeout, settings.claim_timeout)
        )

    async def serve(self, peer: PeerIdentity, message: wire.Claim) -> wire.ClaimReply:
        """Commit the claims that another host asks for."""
        results: dict[int, wire.ClaimResult] = {}
        limit = self._shared.settings.claim_timeout * COMMITTER_SHARE

        async def commit(place: int, intent: ClaimIntent) -> None:
            verdict = await self._committer.commit(intent, limit)
            results[place] = encode_result(verdict)

        async with trio.open_nursery() as nursery:
            for place, request in enumerate(message.requests):
                nursery.start_soon(commit, place, decode_intent(request))
        return wire.ClaimReply(results=[results[n] for n in sorted(results)])


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


def encode_result(verdict: Verdict) -> wire.ClaimResult:
    """Return a verdict as a wire structure."""
    if isinstance(verdict, Failure):
        return wire.ClaimResult(
            code=int(verdict.code),
            holder="",
            holder_incarnation=0,
            reason=verdict.reason,
        )
    holder = verdict.holder
    return wire.ClaimResult(
        code=int(ResultCode.OK if verdict.granted else ResultCode.PEER_REFUSED),
        holder=holder.host if holder else "",
        holder_incarnation=holder.incarnation if holder else 0,
        reason=str(holder.epoch) if holder else "",
    )


def decode_result(message: wire.ClaimResult) -> Verdict:
    """Return the verdict of a wire structure."""
    if message.code == ResultCode.OK:
        return Grant(granted=True)
    if message.code != ResultCode.PEER_REFUSED:
        return make_unavailable(message.reason)
    epoch = int(message.reason or "0")
    holder = Ballot(
        epoch, HostId(message.holder), Incarnation(message.holder_incarnation)
    )
    return Grant(granted=False, holder=holder)
