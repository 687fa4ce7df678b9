"""Drains a departing host: its requests finish here or are handed off."""

from collections.abc import Callable
from typing import Any

import trio
from loguru import logger as log

from dewridge.ids import HostId, RequestId
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.answers import Answer, take_ownership
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
"""Fraction of the drain's time in which running attempts may finish. Stopping them
costs tokens; a longer wait leaves too little time to hand off."""
MAX_GRACE = 3.0
"""Maximum seconds in which running attempts may finish; reclaims give 2 to 5 s of
notice."""
MAX_CONCURRENT_HANDOFFS = 16
POLL_INTERVAL = 0.05
"""Seconds between two checks for requests to hand off and for the end of the drain."""
ACCEPTANCE_TIMEOUT = 2.0
"""Seconds to wait for submissions whose acceptance is undecided. The calls to replicas
that a submission needs take no longer; callers may send new ones without end."""
MAX_EXTRA_TARGETS = 3
"""Maximum number of hosts, besides the replicas, to which a handoff is offered."""


class Handoff:
    """Drains this host by finishing its requests or handing them off to other hosts."""

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
        self,
        timeout: float,
        is_accepting: Callable[[], bool],
        answer_timeout: float = 0.0,
    ) -> None:
        """Finish or hand off every request, then return.

        Non-idempotent requests that were sent stay here until their answer arrives,
        because no other host may continue them, unless their engine confirms that
        it stopped them.

        Args:
            timeout: seconds in which requests are handed off.
            is_accepting: whether the acceptance of submissions is still undecided.
            answer_timeout: seconds after `timeout` during which this host still runs
                and can receive answers to requests that were sent.
        """
        self._shared.leaving = True
        limit = trio.current_time() + timeout
        log.info("draining the requests of this host within {:.1f} s", timeout)
        await self._hand_off_all(limit, is_accepting)
        self._followers.is_redirecting = True
        for answer in self._replicator.list_answers():
            answer.notify_followers()
        with trio.move_on_at(limit + answer_timeout):
            await wait_until(lambda: self._is_drained(limit), POLL_INTERVAL)
        log.info("drained; {} requests left", len(self._list_live()))

    async def _hand_off_all(
        self, limit: float, is_accepting: Callable[[], bool]
    ) -> None:
        """Hand off requests until none is left or the time limit is reached.

        A reclaim may give only two seconds of notice, also on slow hosts. Requests
        are therefore handed off while submissions are still being accepted, since
        callers not yet informed of the departure keep sending, and concurrently,
        since one silent peer would otherwise use up the time of all requests.
        """
        now = trio.current_time()
        grace_ends = now + min(MAX_GRACE, (limit - now) * GRACE_SHARE)
        accepted_by = min(limit, now + ACCEPTANCE_TIMEOUT)
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_HANDOFFS)
        async with trio.open_nursery() as nursery:
            while now < limit:
                is_decided = now >= accepted_by or not is_accepting()
                if is_decided and not self._list_live():
                    break
                for answer in self._list_live():
                    if self._should_hand_off(answer, now < grace_ends):
                        self._busy.add(answer.record.request)
                        nursery.start_soon(self._hand_off, answer, limiter)
                await trio.sleep(POLL_INTERVAL)
                now = trio.current_time()

    def _should_hand_off(self, answer: Answer, in_grace: bool) -> bool:
        """Whether a request is to be handed off now.

        During the grace period, running attempts may finish and the acceptance of
        submissions may complete. A non-idempotent request that waits for its claim
        doesn't count as running.
        """
        record = answer.record
        if record.request in self._busy:
            return False
        if not in_grace:
            return True
        attempt = self._attempts.find(record.request)
        is_running = attempt is not None and (record.idempotent or attempt.dispatched)
        return not is_running and not record.pending

    def _list_live(self) -> list[Answer]:
        answers = self._replicator.list_answers()
        return [a for a in answers if not a.lost and a.record.ended is None]

    def _list_unfinished(self) -> list[Answer]:
        answers = self._replicator.list_answers()
        return [a for a in answers if not a.lost and not a.end_visible]

    def _is_idle(self) -> bool:
        return not self._followers.open_streams and not self._list_unfinished()

    def _is_drained(self, limit: float) -> bool:
        """Whether no request is left that this host must wait for.

        Once the limit is reached, it waits only for non-idempotent requests that are
        running or whose end is not replicated yet.
        """
        if any(not a.record.idempotent for a in self._list_running()):
            return False
        return self._is_idle() or trio.current_time() >= limit

    def _list_running(self) -> list[Answer]:
        """Return requests that have an attempt, or an end that isn't replicated yet."""
        return [
            answer
            for answer in self._list_unfinished()
            if answer.record.ended is not None
            or self._attempts.find(answer.record.request) is not None
        ]

    async def _hand_off(self, answer: Answer, limiter: trio.CapacityLimiter) -> None:
        record = answer.record
        try:
            async with limiter:
                # The end of the drain's time must not cancel a handoff between the
                # stop of the request here and its start on the other host.
                with trio.CancelScope(shield=True):
                    await self._stop_and_transfer(answer)
        finally:
            self._busy.discard(record.request)

    async def _stop_and_transfer(self, answer: Answer) -> None:
        record = answer.record
        if not await self._stop(answer):
            return
        for host in self._find_targets(record):
            if await self._transfer(answer, host):
                return
        if answer.lost or record.ended is not None:
            return
        if record.idempotent or not self._shared.is_withholding_calls:
            self._continue_locally(answer)
        else:
            log.info("request {}: nobody has taken it yet", record.request)

    async def _stop(self, answer: Answer) -> bool:
        """Stop the work on a request; False if it must stay on this host."""
        record = answer.record
        attempt = self._attempts.find(record.request)
        if attempt is not None:
            is_sent = attempt.dispatched and not record.idempotent
            if is_sent and not await self._attempts.stopping.stop_with_confirmation(
                attempt
            ):
                return False
            attempt.stop(StopCause.HANDED_OFF)
            await attempt.finished.wait()
        if answer.lost or record.ended is not None:
            return False
        self._scheduling.withdraw(record)
        self._attempts.unpark(record.request)
        if record.claim_requested:
            self._claims.start_release(record)
        return True

    def _continue_locally(self, answer: Answer) -> None:
        """Continue on this host under a new ballot; the old one's claim is released.

        A host whose reply to the handoff was lost may continue as well, so the
        answer gets a new generation.
        """
        record = answer.record
        log.info("request {}: nobody took it; it goes on here", record.request)
        ballot = self._shared.make_ballot(record.request, record.ballot.epoch)
        take_ownership(record, ballot, keep_generation=False)
        answer.acked_tokens.clear()
        answer.visible_tokens = 0
        for host in record.replicas:
            self._replicator.queue_full_record(host, record.request)
        self._failover.resume(answer)

    def _find_targets(self, record: Record) -> list[HostId]:
        members = {m.host: m for m in self._shared.membership.members()}
        replicas = [h for h in record.replicas if h in members]
        live = [h for h in replicas if members[h].accepts_work]
        extra = [
            h
            for h, member in members.items()
            if member.accepts_work
            and h not in live
            and h != self._shared.local_member.host
        ]
        return live + extra[:MAX_EXTRA_TARGETS]

    async def _transfer(self, answer: Answer, host: HostId) -> bool:
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
        answer.mark_lost()
        self._replicator.remove(answer)
        self._shared.table.drop_superseded(record, self._shared.clock())
        return True


def describe_drain(shared: Shared, followers: Followers) -> dict[str, Any]:
    """Return the state of a drain, for a dump."""
    return {"leaving": shared.leaving, "moving": followers.is_redirecting}
