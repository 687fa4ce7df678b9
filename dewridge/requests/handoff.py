"""Leaving gracefully: requests end here or go on at a replica."""

from collections.abc import Callable
from typing import Any

import trio
from loguru import logger as log

from dewridge.ids import HostId, RequestId
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.answers import Answer, adopt
from dewridge.requests.attempts import Attempts
from dewridge.requests.claiming import Claimer
from dewridge.requests.codec import encode_record
from dewridge.requests.failover import Failover
from dewridge.requests.following import Followers
from dewridge.requests.records import Record
from dewridge.requests.replication import Replicator
from dewridge.requests.scheduling import Scheduling
from dewridge.requests.shared import Shared, wait_until
from dewridge.requests.stopping import StopCause
from dewridge.sentinels import Failure

GRACE_SHARE = 0.3
"""Part of the drain's time in which running work may end by itself; stopping it
costs tokens, waiting longer leaves too little time to hand off."""
GRACE_LIMIT = 3.0
"""Seconds of it at most: reclaims give 2 to 5 s of notice."""
HANDOFFS_AT_ONCE = 16
POLL = 0.05
ACCEPTANCE_PATIENCE = 2.0
"""Seconds in which submissions that are being decided on are waited for; the calls to
replicas that one needs take no longer, and callers that go on sending never end."""
HANDOFF_TRIES = 3


class Handoff:
    """Drains this host, and takes what other hosts drain."""

    def __init__(
        self,
        shared: Shared,
        *,
        replicator: Replicator,
        scheduling: Scheduling,
        attempts: Attempts,
        claims: Claimer,
        followers: Followers,
        failover: Failover,
    ) -> None:
        self._shared = shared
        self._replicator = replicator
        self._scheduling = scheduling
        self._attempts = attempts
        self._claims = claims
        self._followers = followers
        self._failover = failover
        self._busy: set[RequestId] = set()

    async def drain(
        self, timeout: float, is_accepting: Callable[[], bool], patience: float = 0.0
    ) -> None:
        """Finish or hand off every request, then return.

        Calls that may not be repeated and were sent stay here until their
        answer, unless their engine confirms that it stopped them: nobody else
        may go on with them.

        Args:
            timeout: seconds in which requests are handed off.
            is_accepting: whether submissions are still being decided on.
            patience: seconds after that in which this host still runs and answers
                to calls that were sent may come.
        """
        self._shared.leaving = True
        limit = trio.current_time() + timeout
        log.info("draining the requests of this host within {:.1f} s", timeout)
        await self._hand_off_all(limit, is_accepting)
        self._followers.moving = True
        for answer in self._replicator.list_answers():
            answer.note_change()
        with trio.move_on_at(limit + patience):
            await wait_until(lambda: self._is_over(limit), POLL)
        log.info("drained; {} requests left", len(self._list_live()))

    async def _hand_off_all(
        self, limit: float, is_accepting: Callable[[], bool]
    ) -> None:
        """Hand off requests until none is left or the time is over.

        Made for a reclaim's two seconds of notice on slow hosts. Handing off goes
        on beside what is being accepted, since callers that have not heard of the
        leaving go on sending, and each request by itself, since one silent peer
        would use up the time of all.
        """
        now = trio.current_time()
        grace_ends = now + min(GRACE_LIMIT, (limit - now) * GRACE_SHARE)
        accepted_by = min(limit, now + ACCEPTANCE_PATIENCE)
        at_once = trio.CapacityLimiter(HANDOFFS_AT_ONCE)
        async with trio.open_nursery() as nursery:
            while now < limit:
                is_settled = now >= accepted_by or not is_accepting()
                if is_settled and not self._list_live():
                    break
                for answer in self._list_live():
                    if self._may_go(answer, now < grace_ends):
                        self._busy.add(answer.record.request)
                        nursery.start_soon(self._hand_off, answer, at_once)
                await trio.sleep(POLL)
                now = trio.current_time()

    def _may_go(self, answer: Answer, in_grace: bool) -> bool:
        """Whether a request is to be handed off now.

        In the grace running work ends by itself, and what is being accepted is
        left to come to rest; a call that waits for its claim is not running.
        """
        record = answer.record
        if record.request in self._busy:
            return False
        if not in_grace:
            return True
        attempt = self._attempts.find(record.request)
        runs = attempt is not None and (record.idempotent or attempt.dispatched)
        return not runs and not record.pending

    def _list_live(self) -> list[Answer]:
        answers = self._replicator.list_answers()
        return [a for a in answers if not a.lost and a.record.ended is None]

    def _list_unsettled(self) -> list[Answer]:
        answers = self._replicator.list_answers()
        return [a for a in answers if not a.lost and not a.end_visible]

    def _is_quiet(self) -> bool:
        return not self._followers.open and not self._list_unsettled()

    def _is_over(self, limit: float) -> bool:
        """Whether nothing is left that this host must wait for."""
        if any(not a.record.idempotent for a in self._list_running()):
            return False
        return self._is_quiet() or trio.current_time() >= limit

    def _list_running(self) -> list[Answer]:
        """Return what was sent to a backend server, or has an answer not yet safe."""
        return [
            answer
            for answer in self._list_unsettled()
            if answer.record.ended is not None
            or self._attempts.find(answer.record.request) is not None
        ]

    async def _hand_off(self, answer: Answer, limit: trio.CapacityLimiter) -> None:
        record = answer.record
        try:
            async with limit:
                # The end of the drain's time must not cut a request off between
                # its stop here and its start at the replica.
                with trio.CancelScope(shield=True):
                    await self._stop_and_give(answer)
        finally:
            self._busy.discard(record.request)

    async def _stop_and_give(self, answer: Answer) -> None:
        record = answer.record
        if not await self._stop(answer):
            return
        for host in self._find_targets(record):
            if await self._give(answer, host):
                return
        if answer.lost or record.ended is not None:
            return
        if record.idempotent or not self._shared.is_withholding_calls:
            self._renew_ownership(answer)
        else:
            log.info("request {}: nobody has taken it yet", record.request)

    async def _stop(self, answer: Answer) -> bool:
        """Stop work on a request; False if it must stay here."""
        record = answer.record
        attempt = self._attempts.find(record.request)
        if attempt is not None:
            is_sent = attempt.dispatched and not record.idempotent
            if is_sent and not await self._attempts.stopping.stop_surely(attempt):
                return False
            attempt.stop(StopCause.HANDED_OFF)
            await attempt.finished.wait()
        if answer.lost or record.ended is not None:
            return False
        self._scheduling.withdraw(record)
        self._attempts.unpark(record.request)
        if record.claim_requested:
            self._claims.give_up(record)
        return True

    def _renew_ownership(self, answer: Answer) -> None:
        """Go on here under a new ownership; the old one's claim is given up.

        A replica whose reply was lost may go on as well, so the answer gets a
        generation of its own.
        """
        record = answer.record
        log.info("request {}: nobody took it; it goes on here", record.request)
        ballot = self._shared.make_ballot(record.request, record.ballot.epoch)
        adopt(record, ballot, keep_generation=False)
        answer.acked.clear()
        answer.visible = 0
        for host in record.replicas:
            self._replicator.send_whole(host, record.request)
        self._failover.resume(answer)

    def _find_targets(self, record: Record) -> list[HostId]:
        members = {m.host: m for m in self._shared.membership.members()}
        replicas = [h for h in record.replicas if h in members]
        live = [h for h in replicas if members[h].accepts_work]
        rest = [
            h
            for h, member in members.items()
            if member.accepts_work
            and h not in live
            and h != self._shared.local_member.host
        ]
        return live + rest[:HANDOFF_TRIES]

    async def _give(self, answer: Answer, host: HostId) -> bool:
        record = answer.record
        message = wire.Handoff(
            record=encode_record(record),
            tokens=list(record.tokens),
            released=record.claim_requested,
        )
        reply = await self._shared.call(host, message)
        if isinstance(reply, Failure) or not reply.taken:
            return False
        self._shared.metrics.add("requests_handed_off")
        log.info("request {}: handed off to {}", record.request, host)
        answer.lose()
        self._replicator.remove(answer)
        self._shared.table.lose(record, self._shared.clock())
        return True


def describe_drain(shared: Shared, followers: Followers) -> dict[str, Any]:
    """Return how far a drain is, for a dump."""
    return {"leaving": shared.leaving, "moving": followers.moving}
