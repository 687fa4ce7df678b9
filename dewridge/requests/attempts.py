"""Attempts: sending a request to a backend server and receiving its answer."""

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
from dewridge.requests.ordering import charge_attempt, make_attempt_id, make_order
from dewridge.requests.outcomes import NOT_STARTED_CODES, classify_failure
from dewridge.requests.records import Ballot, Record
from dewridge.requests.replication import Replicator
from dewridge.requests.scheduling import Scheduling, Servers
from dewridge.requests.shared import Shared
from dewridge.requests.stopping import Attempt, AttemptStopper, StopCause
from dewridge.requests.suspects import SuspectRequests
from dewridge.sentinels import Failure

CLAIM_SLOT_TIMEOUT = 0.1
"""Seconds that a non-idempotent call waits for its claim while it occupies a backend
server's slot. A claim takes tens of milliseconds, but seconds while the key-value
service is down; waiting calls would then block every slot of the service for work that
needs no claim."""

SLOW_CLAIM_PERIOD = 2.0
"""Seconds after a slow claim during which further calls wait for their claims without
a slot from the start; otherwise each would first occupy one for
`CLAIM_SLOT_TIMEOUT`."""


class Attempts:
    """Executes the assignments of the schedulers.

    Attributes:
        on_claim_denied: called when another owner holds a call's claim.
    """

    def __init__(
        self,
        shared: Shared,
        *,
        replicator: Replicator,
        scheduling: Scheduling,
        claims: Claimer,
        finisher: RequestFinisher,
        servers: Servers,
        dispatch: Dispatch,
        stopping: AttemptStopper,
        suspects: SuspectRequests,
    ) -> None:
        self._shared = shared
        self._replicator = replicator
        self._scheduling = scheduling
        self._claims = claims
        self._finisher = finisher
        self._servers = servers
        self._dispatch = dispatch
        self.stopping = stopping
        self._suspects = suspects
        self._running: dict[RequestId, Attempt] = {}
        self._orphans: dict[RequestId, Attempt] = {}
        self._parked: dict[RequestId, trio.CancelScope] = {}
        self._attempt_numbers = count(1)
        self._claims_slow_until = 0.0
        self.on_claim_denied: Callable[[Answer, Ballot], None] = lambda *_: None
        scheduling.on_assigned = self.start
        scheduling.on_move = self._schedule_move

    def queue(self, answer: Answer) -> None:
        """Queue an accepted request, or fail it if its service no longer exists."""
        if not self._scheduling.restore(answer.record):
            failure = Failure(ResultCode.UNKNOWN_SERVICE, "the service is gone")
            self._finisher.fail(answer, failure)

    def find(self, request: RequestId) -> Attempt | None:
        """Return the running attempt for a request."""
        return self._running.get(request)

    def find_orphan(self, request: RequestId) -> Attempt | None:
        """Return an attempt that still runs although this host lost its ownership."""
        attempt = self._orphans.get(request) or self._running.get(request)
        return attempt if attempt is not None and attempt.answer.lost else None

    def is_parked(self, request: RequestId) -> bool:
        """Whether a request waits for its claim without occupying a slot."""
        return request in self._parked

    def start(self, assignment: Assignment) -> None:
        """Start an attempt for an assignment."""
        request = assignment.work.request
        answer = self._replicator.find(request)
        entry = None
        if answer is not None and not answer.lost and answer.record.ended is None:
            entry = self._scheduling.find_scheduler(answer.record.service)
        if answer is None or entry is None:
            self._shared.metrics.add("attempts_without_record")
            self._scheduling.release_slot(assignment)
            return
        self._displace_earlier(request)
        self._discard_tokens(answer, self._count_usable_tokens(answer, assignment))
        attempt = Attempt(answer.record, answer, entry, assignment.server)
        self._running[request] = attempt
        is_interactive = assignment.work.work_class is WorkClass.INTERACTIVE
        priority = Priority.INTERACTIVE if is_interactive else Priority.BACKGROUND
        self._shared.jobs.start(self._execute, attempt, priority)

    def _displace_earlier(self, request: RequestId) -> None:
        """Displace the attempt of an earlier ownership by this host.

        A non-idempotent call that was sent keeps running as an orphan, since no
        other attempt may produce its answer; any other attempt is stopped.
        """
        earlier = self._running.pop(request, None)
        if earlier is None:
            return
        if earlier.dispatched and not earlier.record.idempotent:
            self._orphans[request] = earlier
        else:
            earlier.stop(StopCause.LOST)

    def _count_usable_tokens(self, answer: Answer, assignment: Assignment) -> int:
        """Return how many tokens the assigned server continues after."""
        server = self._servers.find(assignment.server)
        if server is None or answer.record.may_continue_at(server.listed.version):
            return assignment.work.tokens_done
        self._shared.metrics.add("answers_restarted_for_version")
        return 0

    def _discard_tokens(self, answer: Answer, kept_count: int) -> None:
        """Discard tokens that the recovery policy drops, under a new generation."""
        record = answer.record
        if kept_count >= len(record.tokens):
            return
        record.recomputed += len(record.tokens) - kept_count
        record.cache_handle = None
        del record.tokens[kept_count:]
        if not record.tokens:
            record.version = None
        renew_generation(record)
        answer.acked_tokens.clear()
        answer.visible_tokens = 0
        answer.notify_followers()

    async def _execute(self, attempt: Attempt, priority: Priority) -> None:
        """Run an attempt, charge its cost and handle its result."""
        request = attempt.record.request
        result: AttemptEnd | Failure | None = None
        try:
            with attempt.scope:
                result = await self._claim_and_send(attempt, priority)
            if isinstance(result, Failure) and attempt.record.has_all_tokens:
                # Only the end marker was lost. An engine asked to continue after
                # the last token generates an extra one that is not in the answer.
                result = AttemptEnd()
            if isinstance(result, Failure) and await self._confirm_stopped(
                attempt, result
            ):
                attempt.stop_cause = attempt.stop_cause or StopCause.LEAVING
        except Exception as error:  # otherwise the caller would wait forever
            log.opt(exception=error).error("attempt failed with an internal fault")
            result = Failure(ResultCode.BACKEND_SERVER_FAILED, "an internal fault")
        finally:
            for attempts in (self._running, self._orphans):
                if attempts.get(request) is attempt:
                    del attempts[request]
            attempt.finished.set()
        if (
            isinstance(result, Failure)
            and attempt.dispatched
            and not attempt.stop_cause
        ):
            server = self._servers.find(attempt.server)
            await self._suspects.handle_lost_attempt(attempt, result, server)
        charge_attempt(attempt, self._servers.find(attempt.server))
        if attempt.stop_cause == StopCause.LEAVING:
            self._record_end(attempt, AttemptOutcome.LEAVING)
        elif result is not None and not attempt.stop_cause:
            self._handle_result(attempt, result)

    async def _claim_and_send(
        self, attempt: Attempt, priority: Priority
    ) -> AttemptEnd | Failure | None:
        """Run an attempt; None if there is no result to report to the scheduler."""
        record = attempt.record
        answer = attempt.answer
        await answer.accepted.wait()
        if answer.lost:
            return None
        if record.has_all_tokens:
            return AttemptEnd()
        if not record.idempotent:
            failure = await self._acquire_claim(attempt)
            if failure is not None or not record.claimed or self._is_withheld(record):
                return failure
        server = self._servers.find(attempt.server)
        if server is None or server.state is not ServerState.LIVE:
            return Failure(ResultCode.NOT_STARTED, "the server is leaving")
        return await self._send(attempt, server, priority)

    def _is_withheld(self, record: Record) -> bool:
        """Whether a call must stay unsent so that the drain can hand it off."""
        return not record.idempotent and self._shared.is_withholding_calls

    async def _acquire_claim(self, attempt: Attempt) -> Failure | None:
        """Acquire a call's claim; park the call if that takes too long."""
        record = attempt.record
        verdict: Grant | Failure | None = None
        if record.claimed or self._is_withheld(record):
            return None
        record.claim_requested = True
        if trio.current_time() < self._claims_slow_until:
            self.park(attempt.answer)
            return None
        with trio.move_on_after(CLAIM_SLOT_TIMEOUT):
            verdict = await self._claims.acquire(record, record.deadline)
        if verdict is None:
            self._claims_slow_until = trio.current_time() + SLOW_CLAIM_PERIOD
            self.park(attempt.answer)
            return None
        if isinstance(verdict, Failure):
            return verdict
        self._apply_verdict(attempt.answer, verdict)
        return None

    def park(self, answer: Answer) -> None:
        """Wait for a call's claim without occupying a slot, then queue the call."""
        self._scheduling.withdraw(answer.record)
        answer.record.claim_requested = True
        self.unpark(answer.record.request)
        scope = trio.CancelScope()
        self._parked[answer.record.request] = scope
        self._shared.metrics.add("claims_parked")
        self._shared.jobs.start(self._await_claim, answer, scope)

    def unpark(self, request: RequestId) -> None:
        """Stop waiting for a call's claim."""
        scope = self._parked.pop(request, None)
        if scope is not None:
            scope.cancel()

    async def _await_claim(self, answer: Answer, scope: trio.CancelScope) -> None:
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
            self.release_claim(record)
        elif isinstance(verdict, Failure):
            self.fail_unclaimed(answer, verdict)
        else:
            self._apply_verdict(answer, verdict)
            if record.claimed:
                self.queue(answer)

    def _apply_verdict(self, answer: Answer, verdict: Grant) -> None:
        record = answer.record
        if verdict.granted:
            record.claimed = True
            # No other owner held the claim, so none has sent the call.
            record.maybe_run = False
        elif verdict.holder is not None:
            self._scheduling.withdraw(record)
            self.on_claim_denied(answer, verdict.holder)

    def fail_unclaimed(self, answer: Answer, failure: Failure) -> None:
        """Fail a call whose claim could not be recorded.

        The claim is released as well, since its write may still take effect. This
        also applies if the call ends "unknown" because an earlier owner may have
        sent it: an unreleased claim would block every later submission of the key.
        """
        self._scheduling.withdraw(answer.record)
        self.release_claim(answer.record)
        self._finisher.fail(answer, failure)

    def release_claim(self, record: Record) -> None:
        """Release the claim of a call that was never sent, if one was requested."""
        if record.claim_requested:
            record.claim_requested = False
            self._claims.start_release(record)

    async def _send(
        self, attempt: Attempt, server: BackendServer, priority: Priority
    ) -> AttemptEnd | Failure:
        record = attempt.record
        if record.ended is not None or attempt.answer.lost:
            return make_unavailable("the request has ended")
        quarantine_failure = self._suspects.check_record(record)
        if quarantine_failure is not None:
            return quarantine_failure
        if not record.idempotent and not self._may_send(record):
            return make_unavailable("the claim can't be used any more")
        was_run = record.maybe_run
        order = make_order(
            attempt,
            make_attempt_id(self._shared.local_member, next(self._attempt_numbers)),
            priority,
            self._shared.settings.silence_timeout,
        )
        attempt.dispatched = True
        record.maybe_run = True
        record.attempts += 1
        attempt.dispatched_at = trio.current_time()
        result = await self._receive_answer(attempt, server, order)
        is_not_started = (
            isinstance(result, Failure) and result.code in NOT_STARTED_CODES
        )
        if is_not_started and not attempt.tokens:
            record.maybe_run = was_run
        return result

    def _may_send(self, record: Record) -> bool:
        too_late = self._claims.is_past_retention(record.request)
        return record.claimed and not too_late and not self._claims.is_released(record)

    async def _receive_answer(
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
                self._append_tokens(attempt, server, event)
        return Failure(ResultCode.CONNECTION_LOST, "the answer stopped midway")

    def _append_tokens(
        self, attempt: Attempt, server: BackendServer, event: AttemptTokens
    ) -> None:
        record = attempt.record
        if not record.tokens:
            record.version = server.listed.version
        scheduler = attempt.service_scheduler.scheduler
        now = self._shared.clock()
        record.tokens.extend(event.tokens)
        new_count = len(event.tokens)
        if not attempt.tokens:
            attempt.first_token_at = now
            scheduler.record_first_token(record.request, attempt.server, now)
            new_count -= 1
        if new_count > 0:
            scheduler.record_tokens(record.request, attempt.server, new_count, now)
        attempt.tokens += len(event.tokens)
        self._replicator.queue_update(attempt.answer)

    async def _confirm_stopped(self, attempt: Attempt, failure: Failure) -> bool:
        """Ask the engine to stop a failed non-idempotent call; whether it confirmed.

        Only after a confirmed stop may the call continue on another server.
        """
        if attempt.record.idempotent or not attempt.dispatched or attempt.stop_cause:
            return False
        outcome = classify_failure(failure, attempt.tokens > 0)
        if outcome not in (AttemptOutcome.LOST, AttemptOutcome.LEAVING):
            return False
        return await self.stopping.stop_with_confirmation(attempt)

    def _handle_result(self, attempt: Attempt, result: AttemptEnd | Failure) -> None:
        record = attempt.record
        if isinstance(result, AttemptEnd):
            self._handle_complete(attempt, result)
            return
        outcome = classify_failure(result, attempt.tokens > 0)
        self._shared.metrics.add("attempts_failed", code=result.code.name.lower())
        if result.code is ResultCode.CLAIM_UNAVAILABLE:
            self.fail_unclaimed(attempt.answer, result)
        elif attempt.answer.lost:
            self._scheduling.withdraw(record)
        elif outcome is AttemptOutcome.REJECTED or (
            not record.idempotent and outcome is not AttemptOutcome.NOT_STARTED
        ):
            now = self._shared.clock()
            entry = attempt.service_scheduler
            entry.scheduler.record_attempt_end(
                record.request, attempt.server, outcome, len(record.tokens), now
            )
            self._scheduling.withdraw(record)
            self._finisher.fail(attempt.answer, result)
        else:
            if result.code is ResultCode.BACKEND_SERVER_LEAVING:
                self._servers.handle_leaving(attempt.server, None, "engine")
            is_refusal = result.code is ResultCode.NOT_STARTED
            if is_refusal and result.retry_after is not None:
                attempt.service_scheduler.scheduler.rest_server(
                    attempt.server, result.retry_after, self._shared.clock()
                )
            self._record_end(attempt, outcome, result)

    def _handle_complete(self, attempt: Attempt, end: AttemptEnd) -> None:
        record = attempt.record
        record.recomputed += end.recomputed
        self._suspects.record_answered(record)
        self._record_end(attempt, AttemptOutcome.DONE)
        server = self._servers.find(attempt.server)
        domain = server.listed.failure_domain if server else ""
        self._finisher.complete(attempt.answer, end.body, attempt.server, domain)

    def _record_end(
        self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        failure: Failure | None = None,
    ) -> None:
        record = attempt.record
        decision = attempt.service_scheduler.scheduler.record_attempt_end(
            record.request,
            attempt.server,
            outcome,
            len(record.tokens),
            self._shared.clock(),
        )
        self._scheduling.wake()
        if isinstance(decision, Abandoned):
            self._finisher.fail(attempt.answer, failure or decision.failure, decision)
        elif outcome is not AttemptOutcome.DONE and not isinstance(decision, Retry):
            self._scheduling.restore(record)

    def _schedule_move(self, request: RequestId, at: float, export_cache: bool) -> None:
        attempt = self._running.get(request)
        if attempt is not None:
            self._shared.jobs.start(self._move_attempt, attempt, at, export_cache)

    async def _move_attempt(
        self, attempt: Attempt, at: float, export_cache: bool
    ) -> None:
        """Stop an attempt on a leaving or slow server, so that it can be moved.

        A non-idempotent call moves only if its engine confirms that it stopped;
        otherwise it could run twice.
        """
        with trio.move_on_after(max(0.0, at - self._shared.clock())):
            await attempt.finished.wait()
        if attempt.finished.is_set():
            return
        if export_cache:
            await self.stopping.export_cache(attempt)
        may_move = attempt.record.idempotent or not attempt.dispatched
        if not may_move and not await self.stopping.stop_with_confirmation(attempt):
            return
        self._shared.metrics.add("attempts_moved")
        attempt.stop(StopCause.LEAVING)
