"""Attempts: sending a request to a backend server and taking its answer."""

from collections.abc import Callable
from itertools import count

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.fleet.model import (
    AttemptEnd,
    AttemptOrder,
    AttemptTokens,
    BackendServer,
    Dispatch,
    Priority,
    ServerState,
)
from dewridge.ids import RequestId
from dewridge.policy.model import (
    Abandoned,
    Assignment,
    AttemptOutcome,
    Retry,
    WorkClass,
)
from dewridge.requests.answers import Answer, renew_generation
from dewridge.requests.claiming import Claimer, make_unavailable
from dewridge.requests.claims import Grant
from dewridge.requests.ending import RequestFinisher
from dewridge.requests.ordering import charge, make_order, name_attempt
from dewridge.requests.outcomes import PROVES_NOT_STARTED, judge_failure
from dewridge.requests.records import Ballot, Record
from dewridge.requests.replication import Replicator
from dewridge.requests.scheduling import Scheduling, Servers
from dewridge.requests.shared import Shared
from dewridge.requests.stopping import Attempt, StopCause, Stopping
from dewridge.requests.suspects import SuspectRequests
from dewridge.sentinels import Failure

CLAIM_ON_SLOT = 0.1
"""Seconds that a call waits for its claim while it holds a backend server's slot.
A claim takes tens of milliseconds; while the key-value service is down it takes
seconds, and waiting calls would hold every slot of a service against work that
needs no claim."""

SLOW_CLAIMS = 2.0
"""Seconds after a slow claim during which calls wait for theirs off the slots from
the start; otherwise each of them would hold one for `CLAIM_ON_SLOT` first."""


class Attempts:
    """Carries out the assignments of the schedulers.

    Attributes:
        on_denied: told when another ownership holds a call's claim.
    """

    def __init__(
        self,
        shared: Shared,
        *,
        replicator: Replicator,
        scheduling: Scheduling,
        claims: Claimer,
        ender: RequestFinisher,
        servers: Servers,
        dispatch: Dispatch,
        stopping: Stopping,
        suspects: SuspectRequests,
    ) -> None:
        self._shared = shared
        self._replicator = replicator
        self._scheduling = scheduling
        self._claims = claims
        self._ender = ender
        self._servers = servers
        self._dispatch = dispatch
        self.stopping = stopping
        self._suspects = suspects
        self._running: dict[RequestId, Attempt] = {}
        self._orphans: dict[RequestId, Attempt] = {}
        self._parked: dict[RequestId, trio.CancelScope] = {}
        self._numbers = count(1)
        self._claims_slow_until = 0.0
        self.on_denied: Callable[[Answer, Ballot], None] = lambda *_: None
        scheduling.on_assigned = self.start
        scheduling.on_move = self._plan_move

    def queue(self, answer: Answer) -> None:
        """Queue an accepted request, or end it if its service is gone."""
        if not self._scheduling.restore(answer.record):
            failure = Failure(ResultCode.UNKNOWN_SERVICE, "the service is gone")
            self._ender.fail(answer, failure)

    def find(self, request: RequestId) -> Attempt | None:
        """Return the attempt under way for a request."""
        return self._running.get(request)

    def find_orphan(self, request: RequestId) -> Attempt | None:
        """Return an attempt that goes on though its ownership was lost."""
        attempt = self._orphans.get(request) or self._running.get(request)
        return attempt if attempt is not None and attempt.answer.lost else None

    def is_parked(self, request: RequestId) -> bool:
        """Whether a request waits for its claim without a slot."""
        return request in self._parked

    def start(self, assignment: Assignment) -> None:
        """Carry out an assignment."""
        request = assignment.work.request
        answer = self._replicator.find(request)
        entry = None
        if answer is not None and not answer.lost and answer.record.ended is None:
            entry = self._scheduling.find_scheduler(answer.record.service)
        if answer is None or entry is None:
            self._shared.metrics.add("attempts_without_record")
            self._scheduling.drop(assignment)
            return
        self._set_aside(request)
        self._drop_tokens(answer, assignment.work.tokens_done)
        attempt = Attempt(answer.record, answer, entry, assignment.server)
        self._running[request] = attempt
        is_interactive = assignment.work.work_class is WorkClass.INTERACTIVE
        priority = Priority.INTERACTIVE if is_interactive else Priority.BACKGROUND
        self._shared.jobs.start(self._carry_out, attempt, priority)

    def _set_aside(self, request: RequestId) -> None:
        """Make room for a new attempt at a request that was owned here before."""
        before = self._running.pop(request, None)
        if before is None:
            return
        if before.dispatched and not before.record.idempotent:
            self._orphans[request] = before
        else:
            before.stop(StopCause.LOST)

    def _drop_tokens(self, answer: Answer, keep: int) -> None:
        """Start an answer anew where the profile's recovery policy says so."""
        record = answer.record
        if keep >= len(record.tokens):
            return
        record.recomputed += len(record.tokens) - keep
        record.cache_handle = None
        del record.tokens[keep:]
        renew_generation(record)
        answer.acked_tokens.clear()
        answer.visible_tokens = 0
        answer.notify_followers()

    async def _carry_out(self, attempt: Attempt, priority: Priority) -> None:
        request = attempt.record.request
        result: AttemptEnd | Failure | None = None
        try:
            with attempt.scope:
                result = await self._run(attempt, priority)
            if isinstance(result, Failure) and attempt.record.has_all_tokens:
                # Only the end was lost. An engine asked to go on after the last
                # token makes one more, which is not part of the answer.
                result = AttemptEnd()
            if isinstance(result, Failure) and await self._is_surely_over(
                attempt, result
            ):
                attempt.cause = attempt.cause or StopCause.LEAVING
        except Exception as error:  # its caller must not wait for ever
            log.opt(exception=error).error("an attempt failed by a fault")
            result = Failure(ResultCode.BACKEND_SERVER_FAILED, "an internal fault")
        finally:
            for attempts in (self._running, self._orphans):
                if attempts.get(request) is attempt:
                    del attempts[request]
            attempt.finished.set()
        if isinstance(result, Failure) and attempt.dispatched and not attempt.cause:
            server = self._servers.find(attempt.server)
            await self._suspects.note_lost(attempt, result, server)
        charge(attempt, self._servers.find(attempt.server))
        if attempt.cause == StopCause.LEAVING:
            self._note_ended(attempt, AttemptOutcome.LEAVING)
        elif result is not None and not attempt.cause:
            self._conclude(attempt, result)

    async def _run(
        self, attempt: Attempt, priority: Priority
    ) -> AttemptEnd | Failure | None:
        """Run an attempt; None if it ended without a word to the scheduler."""
        record = attempt.record
        answer = attempt.answer
        await answer.accepted.wait()
        if answer.lost:
            return None
        if record.has_all_tokens:
            return AttemptEnd()
        if not record.idempotent:
            refused = await self._claim(attempt)
            if refused is not None or not record.claimed or self._is_kept_back(record):
                return refused
        server = self._servers.find(attempt.server)
        if server is None or server.state is not ServerState.LIVE:
            return Failure(ResultCode.NOT_STARTED, "the server is leaving")
        return await self._send(attempt, server, priority)

    def _is_kept_back(self, record: Record) -> bool:
        """Whether a call stays unsent until the drain has handed it off."""
        return not record.idempotent and self._shared.keeps_calls_back

    async def _claim(self, attempt: Attempt) -> Failure | None:
        """Acquire the claim, on the slot for a short time and then off it."""
        record = attempt.record
        verdict: Grant | Failure | None = None
        if record.claimed or self._is_kept_back(record):
            return None
        record.claim_asked = True
        if trio.current_time() < self._claims_slow_until:
            self.park(attempt.answer)
            return None
        with trio.move_on_after(CLAIM_ON_SLOT):
            verdict = await self._claims.acquire(record, record.deadline)
        if verdict is None:
            self._claims_slow_until = trio.current_time() + SLOW_CLAIMS
            self.park(attempt.answer)
            return None
        if isinstance(verdict, Failure):
            return verdict
        self._note_verdict(attempt.answer, verdict)
        return None

    def park(self, answer: Answer) -> None:
        """Wait for a call's claim without holding a slot, then queue it."""
        self._scheduling.withdraw(answer.record)
        answer.record.claim_asked = True
        self.unpark(answer.record.request)
        scope = trio.CancelScope()
        self._parked[answer.record.request] = scope
        self._shared.metrics.add("claims_parked")
        self._shared.jobs.start(self._wait_parked, answer, scope)

    def unpark(self, request: RequestId) -> None:
        """Stop waiting for a call's claim."""
        scope = self._parked.pop(request, None)
        if scope is not None:
            scope.cancel()

    async def _wait_parked(self, answer: Answer, scope: trio.CancelScope) -> None:
        record = answer.record
        limit = self._shared.settings.claim_timeout
        deadline = min(record.deadline, self._shared.clock() + limit)
        verdict: Grant | Failure | None = None
        with scope:
            verdict = await self._claims.acquire(record, deadline)
        if self._parked.get(record.request) is scope:
            del self._parked[record.request]
        if verdict is None:
            return
        if answer.lost or record.ended is not None:
            self.release(record)
        elif isinstance(verdict, Failure):
            self.give_up_claim(answer, verdict)
        else:
            self._note_verdict(answer, verdict)
            if record.claimed:
                self.queue(answer)

    def _note_verdict(self, answer: Answer, verdict: Grant) -> None:
        record = answer.record
        if verdict.granted:
            record.claimed = True
            # No other ownership held the claim, so none has sent the call.
            record.maybe_run = False
        elif verdict.holder is not None:
            self._scheduling.withdraw(record)
            self.on_denied(answer, verdict.holder)

    def give_up_claim(self, answer: Answer, failure: Failure) -> None:
        """End a call whose claim could not be recorded.

        The write may yet take effect, so it is given up as well, also where the
        call ends "unknown" since an earlier owner may have sent it. A claim that
        nobody gave up would turn away whoever sends the key again.
        """
        self._scheduling.withdraw(answer.record)
        self.release(answer.record)
        self._ender.fail(answer, failure)

    def release(self, record: Record) -> None:
        """Give up the claim of a call that was never sent, if it has one."""
        if record.claim_asked:
            record.claim_asked = False
            self._claims.start_release(record)

    async def _send(
        self, attempt: Attempt, server: BackendServer, priority: Priority
    ) -> AttemptEnd | Failure:
        record = attempt.record
        if record.ended is not None or attempt.answer.lost:
            return make_unavailable("the request has ended")
        set_aside = self._suspects.check_record(record)
        if set_aside is not None:
            return set_aside
        if not record.idempotent and not self._may_send(record):
            return make_unavailable("the claim can't be used any more")
        was_run = record.maybe_run
        order = make_order(
            attempt,
            name_attempt(self._shared.me, next(self._numbers)),
            priority,
            self._shared.settings.silence_timeout,
        )
        attempt.dispatched = True
        record.maybe_run = True
        record.attempts += 1
        attempt.started = trio.current_time()
        result = await self._receive(attempt, server, order)
        proves = isinstance(result, Failure) and result.code in PROVES_NOT_STARTED
        if proves and not attempt.tokens:
            record.maybe_run = was_run
        return result

    def _may_send(self, record: Record) -> bool:
        too_late = self._claims.is_past_retention(record.request)
        return record.claimed and not too_late and not self._claims.is_released(record)

    async def _receive(
        self, attempt: Attempt, server: BackendServer, order: AttemptOrder
    ) -> AttemptEnd | Failure:
        async with self._dispatch(server, order) as events:
            async for event in events:
                if not isinstance(event, AttemptTokens):
                    return event
                if event.sequence != len(attempt.record.tokens):
                    self._shared.metrics.add("attempts_mismatched")
                    return Failure(
                        ResultCode.ANSWER_MISMATCHED,
                        "a token's sequence number does not fit",
                    )
                self._take_tokens(attempt, event)
        return Failure(ResultCode.CONNECTION_LOST, "the answer stopped midway")

    def _take_tokens(self, attempt: Attempt, event: AttemptTokens) -> None:
        record = attempt.record
        scheduler = attempt.entry.scheduler
        now = self._shared.clock()
        record.tokens.extend(event.tokens)
        fresh = len(event.tokens)
        if not attempt.tokens:
            attempt.first_token_at = now
            scheduler.record_first_token(record.request, attempt.server, now)
            fresh -= 1
        if fresh > 0:
            scheduler.record_tokens(record.request, attempt.server, fresh, now)
        attempt.tokens += len(event.tokens)
        self._replicator.note(attempt.answer)

    async def _is_surely_over(self, attempt: Attempt, failure: Failure) -> bool:
        """Whether a failed call that may not be repeated can go on elsewhere."""
        if attempt.record.idempotent or not attempt.dispatched or attempt.cause:
            return False
        outcome = judge_failure(failure, attempt.tokens > 0)
        if outcome not in (AttemptOutcome.LOST, AttemptOutcome.LEAVING):
            return False
        return await self.stopping.stop_surely(attempt)

    def _conclude(self, attempt: Attempt, result: AttemptEnd | Failure) -> None:
        record = attempt.record
        if isinstance(result, AttemptEnd):
            self._conclude_whole(attempt, result)
            return
        outcome = judge_failure(result, attempt.tokens > 0)
        self._shared.metrics.add("attempts_failed", code=result.code.name.lower())
        if result.code is ResultCode.CLAIM_UNAVAILABLE:
            self.give_up_claim(attempt.answer, result)
        elif attempt.answer.lost:
            self._scheduling.withdraw(record)
        elif outcome is AttemptOutcome.REJECTED or (
            not record.idempotent and outcome is not AttemptOutcome.NOT_STARTED
        ):
            now = self._shared.clock()
            entry = attempt.entry
            entry.scheduler.record_attempt_end(
                record.request, attempt.server, outcome, len(record.tokens), now
            )
            self._scheduling.withdraw(record)
            self._ender.fail(attempt.answer, result)
        else:
            if result.code is ResultCode.BACKEND_SERVER_LEAVING:
                self._servers.note_leaving(attempt.server, None, "engine")
            self._note_ended(attempt, outcome, result)

    def _conclude_whole(self, attempt: Attempt, end: AttemptEnd) -> None:
        record = attempt.record
        record.recomputed += end.recomputed
        self._suspects.note_answered(record)
        self._note_ended(attempt, AttemptOutcome.DONE)
        server = self._servers.find(attempt.server)
        domain = server.listed.failure_domain if server else ""
        self._ender.complete(attempt.answer, end.body, attempt.server, domain)

    def _note_ended(
        self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        failure: Failure | None = None,
    ) -> None:
        record = attempt.record
        decision = attempt.entry.scheduler.record_attempt_end(
            record.request,
            attempt.server,
            outcome,
            len(record.tokens),
            self._shared.clock(),
        )
        self._scheduling.wake()
        if isinstance(decision, Abandoned):
            self._ender.fail(attempt.answer, failure or decision.failure, decision)
        elif outcome is not AttemptOutcome.DONE and not isinstance(decision, Retry):
            self._scheduling.restore(record)

    def _plan_move(self, request: RequestId, at: float, export_cache: bool) -> None:
        attempt = self._running.get(request)
        if attempt is not None:
            self._shared.jobs.start(self._move, attempt, at, export_cache)

    async def _move(self, attempt: Attempt, at: float, export_cache: bool) -> None:
        """Stop an attempt whose server leaves, so that it goes on elsewhere.

        A call that may not be repeated moves only if its engine confirms the
        stop; otherwise nothing proves that it would not run twice.
        """
        with trio.move_on_after(max(0.0, at - self._shared.clock())):
            await attempt.finished.wait()
        if attempt.finished.is_set():
            return
        if export_cache:
            await self.stopping.export_cache(attempt)
        may_move = attempt.record.idempotent or not attempt.dispatched
        if not may_move and not await self.stopping.stop_surely(attempt):
            return
        self._shared.metrics.add("attempts_moved")
        attempt.stop(StopCause.LEAVING)
