"""Attempts to run a request on servers, and the rules for retries."""

from functools import partial

import trio

from dewridge.codes import ResultCode
from dewridge.effects import Effect
from dewridge.gateway.contention.admitting import AdmissionControl, record_answer_end
from dewridge.gateway.endings.judging import EndJudge
from dewridge.gateway.events import EventSplitter, EventTooLongError
from dewridge.gateway.forwarding import (
    SILENCE_CHECK_PERIOD,
    CompleteAnswer,
    IncomingAnswer,
    LostAttempt,
    ServerRequest,
    SilenceLimit,
)
from dewridge.gateway.jobs import Continuation, Job, compute_engine_priority
from dewridge.gateway.limits.retries import RetryCause
from dewridge.gateway.losses import LossHandler
from dewridge.gateway.model import RouteKind, ServerRecord
from dewridge.gateway.moves import acquire_return, move_stream
from dewridge.gateway.placement import outcomes
from dewridge.gateway.placement.expected import estimate_first_event
from dewridge.gateway.placement.outcomes import record_complete_run, record_placement
from dewridge.gateway.reach.sending import read_answer, send_by_path
from dewridge.gateway.responder import Responder
from dewridge.gateway.rollouts import AttemptResult, classify_attempt
from dewridge.gateway.shutdown.accepting import check_time_to_exit
from dewridge.gateway.state import SERVER_ANSWER_TIME_METRIC, GatewayState
from dewridge.gateway.streams import RunningStream
from dewridge.gateway.suspects import (
    check_quarantine,
    record_answer,
    record_survival,
)
from dewridge.gateway.versions.eligibility import (
    compute_event_delay,
    has_bound_servers,
)
from dewridge.gateway.versions.origins import is_resumed, record_first_event
from dewridge.gateway.versions.processes import is_same_process
from dewridge.gateway.waiting import ServerChooser
from dewridge.gateway.weighing import ServerChoice, has_open_server
from dewridge.http1.client import ConnectionBrokenError, Headers
from dewridge.http1.headers import remove_hop_by_hop_headers
from dewridge.platform.headers import Dispatch, make_dispatch_headers
from dewridge.policy.answerends import AnswerRecord
from dewridge.policy.losses import LossReason
from dewridge.sentinels import Failure

MAX_REJECTIONS = 3
"""Attempts that servers may reject before a request is refused. Each costs a round
trip, and after three rejections the whole service is most likely full."""
SILENCE_TIMEOUT_FACTOR = 3.0
"""Multiple of the route's latency target after which a server counts as silent, if the
request may be retried. Nearly all answers that arrive at all take less."""
MIN_SILENCE_TIMEOUT = 0.25
"""Lower bound in seconds for the time without an answer."""
MIN_STREAM_SILENCE_TIMEOUT = 2.0
"""Lower bound in seconds for the time without an event after which a resumable stream
is continued on another server. Callers disconnect after longer pauses, and engines
hardly ever pause that long by themselves."""
SURVIVAL_SECONDS = 1.0
"""Seconds from an attempt's first event after which further events show that its
request does not crash servers: twice the time in which a crash is put down to it."""


class JobRunner:
    """Runs jobs on the backend servers that this gateway knows."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._losses = LossHandler(state)
        self._ends = EndJudge(state, self._losses)
        self._chooser = ServerChooser(state)
        self._admission = AdmissionControl(state, estimate_first_event)

    async def run(self, job: Job, responder: Responder) -> Failure | None:
        """Run a job until it is answered or has failed.

        Returns:
            The failure that the caller of this method has to send; None if the answer
            was sent to the client.
        """
        try:
            return await self._run(job, responder)
        finally:
            self._state.left_memories.add(job)

    async def _run(self, job: Job, responder: Responder) -> Failure | None:
        if job.is_engine:
            self._state.record_local_demand(
                job.service, job.request.sizes.prompt_tokens
            )
        refusal = self._admission.check(job)
        if refusal is not None:
            return self._refuse(job, refusal)
        self._state.retries.record_first_attempt(job.service, trio.current_time())
        while True:
            refusal = check_quarantine(self._state, job)
            if refusal is not None:
                return self._make_failure(job, refusal)
            continuation, job.continuation = job.continuation, None
            if continuation is not None:
                # The prompt of a stream that continues from copied memory is processed.
                choice: ServerChoice | Failure = ServerChoice(continuation.server, 0)
            else:
                choice = await self._chooser.choose(job)
            if isinstance(choice, Failure):
                return self._refuse(job, choice)
            server = choice.server
            is_moved = continuation is not None
            if not is_moved and not await is_same_process(self._state, job, server):
                continue
            refusal = self._check_time_to_exit(job)
            if refusal is not None:
                return refusal
            lost = await self._attempt(job, choice, continuation, responder)
            if lost is None:
                return None
            if lost.loss is LossReason.WITHHELD and continuation is None:
                job.tried_servers.pop()
                continue
            await self._losses.handle(job, server, lost)
            failure = self._decide_retry(job, lost, responder)
            if failure is not None:
                return failure

    def _check_time_to_exit(self, job: Job) -> Failure | None:
        """Refuse a job that no server has and that has waited while this host leaves.

        A job that may have run gets another chance: its caller can't be asked to send
        it to another host.
        """
        if job.may_have_run:
            return None
        return check_time_to_exit(self._state, job.route, job.deadline)

    async def _attempt(
        self,
        job: Job,
        choice: ServerChoice,
        continuation: Continuation | None,
        responder: Responder,
    ) -> LostAttempt | None:
        server = choice.server
        job.tried_servers.append(server.id)
        work = self._state.work_in_flight
        job.unprocessed_tokens = choice.unprocessed_tokens
        job.prefill_measured_from = trio.current_time() if choice.is_idle else None
        job.cache_holder = choice.cache_holder
        job.expected = choice.expected
        job.probed = choice.probed
        record_placement(self._state, job)
        work.add(server.id, job.unprocessed_tokens, is_suspect=choice.is_suspect)
        result = AttemptResult.ABANDONED
        try:
            lost = await self._exchange(job, server, continuation, responder)
            result = classify_attempt(lost, responder.status)
            return lost
        finally:
            self._record_prompt_read(job, server)
            work.remove(server.id, is_suspect=choice.is_suspect)
            seconds = trio.current_time() - job.sent_at
            self._state.rollouts.record_attempt_end(
                job.route.name, server, seconds, result
            )

    def _record_prompt_read(self, job: Job, server: ServerRecord) -> None:
        self._state.work_in_flight.record_prompt_processed(
            server.id, job.unprocessed_tokens
        )
        job.unprocessed_tokens = 0

    async def _exchange(
        self,
        job: Job,
        server: ServerRecord,
        continuation: Continuation | None,
        responder: Responder,
    ) -> LostAttempt | None:
        answer = await self._send(job, server, continuation)
        if isinstance(answer, LostAttempt):
            return answer
        job.may_have_run = True
        if continuation is not None and answer.head.status == 200:
            job.record_memory_used(continuation.memory)
        is_stream = job.route.kind is RouteKind.STREAM
        if is_stream and answer.head.status == 200:
            return await self._relay_stream(job, server, answer, responder)
        complete = await self._read_plain_answer(job, server, answer)
        if isinstance(complete, LostAttempt):
            return complete
        if responder.has_started:
            # This server failed to continue a stream. The caller already has the head
            # of a successful answer, so only closing the connection can show the
            # failure.
            return LostAttempt(
                LossReason.FAILED,
                f"status {complete.head.status}",
                complete.head.status,
            )
        self._count_usage(job)
        if complete.head.status >= 500 and self._may_retry(job):
            return LostAttempt(
                LossReason.FAILED,
                f"status {complete.head.status}",
                complete.head.status,
            )
        await self._forward_answer(job, server, complete, responder)
        return None

    async def _read_plain_answer(
        self, job: Job, server: ServerRecord, answer: IncomingAnswer
    ) -> CompleteAnswer | LostAttempt:
        can_follow = partial(self._reserve_retry, job)
        complete = await read_answer(
            self._state,
            server,
            answer,
            can_follow=can_follow if self._may_retry(job) else None,
        )
        if isinstance(complete, LostAttempt):
            return complete
        record = AnswerRecord(answer.is_unframed, can_identify=job.is_engine)
        buffers = self._state.answer_buffers
        buffers.grow(0, len(complete.body))
        try:
            return await self._ends.judge(job, server, record) or complete
        finally:
            buffers.release(len(complete.body))

    async def _send(
        self, job: Job, server: ServerRecord, continuation: Continuation | None
    ) -> IncomingAnswer | LostAttempt:
        now = trio.current_time()
        job.possible_runs += 1
        job.sent_at = now
        job.attempt_first_event_at = None
        dispatch = Dispatch(
            server=server.name,
            time_left=job.deadline - now,
            account=job.account.name if job.account else None,
            priority=compute_engine_priority(job) if job.is_engine else None,
            last_event_id=job.last_event,
            cache_copy=continuation.memory if continuation else None,
            cache_holder=job.cache_holder,
        )
        answer: IncomingAnswer | LostAttempt = LostAttempt(
            LossReason.CUT_OFF, "silent", is_silent=True
        )
        request = ServerRequest(
            job.request.id,
            job.request.method,
            job.request.target,
            make_dispatch_headers(job.request, dispatch),
            job.request.body,
        )
        with trio.move_on_after(self._compute_silence_timeout(job)) as scope:
            answer = await send_by_path(
                self._state,
                request,
                server,
                is_non_retryable=not job.route.is_repeatable,
                is_essential=dispatch.cache_copy is not None,
                limit=SilenceLimit(scope, partial(self._reserve_retry, job))
                if self._may_retry(job)
                else None,
            )
        if answer.relay is not None:
            job.relays.append(answer.relay)
        if isinstance(answer, IncomingAnswer):
            seconds = trio.current_time() - now
            metrics = self._state.metrics
            metrics.observe(SERVER_ANSWER_TIME_METRIC, seconds, server=server.id)
        if isinstance(answer, LostAttempt) and answer.is_not_run:
            job.possible_runs -= 1
        else:
            job.may_have_run = True
        return answer

    def _reserve_retry(self, job: Job) -> bool:
        """Return whether a job may be sent to another server, and reserve the retry.

        A silent server may still answer, so its attempt is given up for another one
        only. Without a retry, or a server that takes the request, the answer would end
        for its caller.
        """
        now = trio.current_time()
        if not self._may_retry(job) or not has_open_server(self._state, job, now):
            return False
        job.has_retry = job.has_retry or self._state.retries.acquire(
            job.service, RetryCause.LOST, now
        )
        return job.has_retry

    def _compute_silence_timeout(self, job: Job) -> float:
        if not job.route.is_repeatable or not self._has_attempts_left(job):
            return float("inf")
        if job.route.kind is RouteKind.STREAM:
            return max(
                MIN_STREAM_SILENCE_TIMEOUT,
                SILENCE_TIMEOUT_FACTOR * job.route.latency_target,
            )
        return max(
            MIN_SILENCE_TIMEOUT, SILENCE_TIMEOUT_FACTOR * job.route.latency_target
        )

    def _has_attempts_left(self, job: Job) -> bool:
        if job.release is not None and not has_bound_servers(self._state, job):
            return False
        return job.possible_runs < job.route.attempts_limit

    def _may_retry(self, job: Job) -> bool:
        return (
            job.route.is_repeatable
            and self._has_attempts_left(job)
            and trio.current_time() < job.deadline - 0.02
        )

    async def _forward_answer(
        self,
        job: Job,
        server: ServerRecord,
        answer: CompleteAnswer,
        responder: Responder,
    ) -> None:
        health = self._state.get_health(server.id)
        if answer.head.status >= 500:
            health.record_failure(trio.current_time(), is_hard=False)
        else:
            health.record_success(trio.current_time())
            record_answer(self._state, job)
        headers = clean_answer_headers(answer.head.headers)
        with self._state.answer_buffers.hold(responder.use, len(answer.body)):
            await responder.send_complete(answer.head.status, headers, answer.body)

    async def _relay_stream(
        self,
        job: Job,
        server: ServerRecord,
        answer: IncomingAnswer,
        responder: Responder,
    ) -> LostAttempt | None:
        splitter = EventSplitter()
        stream = self._open_stream(job, server, is_direct=answer.relay is None)
        record = stream.record
        record.is_close_delimited = answer.is_unframed
        record.can_identify = job.is_engine
        if job.expect_late_order(server.id):
            record.stop = Effect.UNKNOWN
        lost: LostAttempt | None = None
        try:
            lost = await self._forward_stream(
                job, server, answer, responder, splitter, stream
            )
        except EventTooLongError:
            lost = LostAttempt(LossReason.MALFORMED, "an event is too long")
        except ConnectionBrokenError as error:
            record.fault = str(error)
        finally:
            self._state.streams.unregister(server.id, stream)
            answer.close()
        if lost is None:
            record.fault = record.fault or find_fault(job, splitter, answer)
            lost = await self._ends.judge(job, server, record)
        if lost is not None:
            return lost
        job.continuation = None
        self._state.get_health(server.id).record_success(trio.current_time())
        if not responder.has_started:
            await responder.send_head(200, clean_answer_headers(answer.head.headers))
        record_answer(self._state, job)
        record_complete_run(self._state, job, trio.current_time())
        record_answer_end(self._state, job)
        await responder.finish()
        return None

    async def _forward_stream(
        self,
        job: Job,
        server: ServerRecord,
        answer: IncomingAnswer,
        responder: Responder,
        splitter: EventSplitter,
        stream: RunningStream,
    ) -> LostAttempt | None:
        """Forward events until the body ends; return why no more are awaited.

        Raises:
            ConnectionBrokenError: the answer was interrupted.
            EventTooLongError: an event has no end.
        """
        waiting_since = trio.current_time()
        while True:
            piece: bytes | None = None
            # Bytes that complete no event do not show that the server works.
            silent_at = waiting_since + self._compute_silence_timeout(job)
            with trio.move_on_at(min(silent_at, stream.moves_at)) as scope:
                stream.scope, stream.silent_at = scope, silent_at
                piece = await answer.receive()
            if scope.cancelled_caught:
                is_due = stream.is_due(trio.current_time())
                lost = await self._handle_silence(job, server, stream)
                if lost is not None:
                    return lost
                if is_due:
                    waiting_since = trio.current_time()
                else:
                    waiting_since += SILENCE_CHECK_PERIOD
                continue
            if piece is None:
                return None
            self._record_prompt_read(job, server)
            if await self._forward_events(
                job, server, splitter, piece, answer, responder
            ):
                waiting_since = trio.current_time()

    async def _handle_silence(
        self, job: Job, server: ServerRecord, stream: RunningStream
    ) -> LostAttempt | None:
        """Move a stream if that is due; return why no more events are awaited."""
        if job.continuation is not None:
            return LostAttempt(LossReason.MOVED, job.continuation.server.id)
        if not stream.is_due(trio.current_time()):
            if not self._reserve_retry(job):
                return None
            return LostAttempt(LossReason.CUT_OFF, "silent", is_silent=True)
        await move_stream(self._state, job, server, stream)
        is_moved = job.continuation is not None
        if stream.is_hanging and not is_moved and self._reserve_retry(job):
            return LostAttempt(LossReason.CUT_OFF, "the connection hangs")
        return None

    def _open_stream(
        self, job: Job, server: ServerRecord, *, is_direct: bool
    ) -> RunningStream:
        stream = self._state.streams.register(server.id)
        stream.is_direct = is_direct
        departure = self._state.servers.find_departure(server.id)
        if departure is not None and job.was_moved:
            now = trio.current_time()
            stream.schedule_return(departure.notice_ends_at, now)
        elif departure is not None:
            stream.schedule_move(departure.notice_ends_at)
        return stream

    async def _forward_events(
        self,
        job: Job,
        server: ServerRecord,
        splitter: EventSplitter,
        piece: bytes,
        answer: IncomingAnswer,
        responder: Responder,
    ) -> bool:
        """Forward the events that a piece completes; return whether there are any."""
        new_events = []
        events = splitter.push(piece)
        for event in events:
            if event.id is not None:
                if job.last_event is not None and event.id <= job.last_event:
                    continue
                job.last_event = event.id
            new_events.append(event.raw)
        if not new_events:
            return bool(events)
        record_first_event(self._state, job, server.release)
        self._count_usage(job)
        job.events += len(new_events)
        job.last_event_at = trio.current_time()
        if (
            not job.has_survived
            and job.attempt_first_event_at is not None
            and job.last_event_at - job.attempt_first_event_at > SURVIVAL_SECONDS
        ):
            record_survival(self._state, job)
        if job.attempt_first_event_at is None:
            job.attempt_first_event_at = job.last_event_at
            outcomes.record_first_event(self._state, job, job.last_event_at)
        if job.first_event_at is None:
            job.first_event_at = job.last_event_at
            self._record_prefill_rate(job, job.first_event_at)
        if not responder.has_started:
            await self._await_known_version(job, server)
            await responder.send_head(200, clean_answer_headers(answer.head.headers))
        await responder.send_body_part(b"".join(new_events))
        return True

    async def _await_known_version(self, job: Job, server: ServerRecord) -> None:
        """Delay the first event of a stream whose version other hosts may not know."""
        if not job.route.is_resumable or is_resumed(job):
            return
        now = trio.current_time()
        delay = compute_event_delay(self._state, job, server.release, now)
        if delay > 0:
            self._state.metrics.add("streams_delayed_total", service=job.service)
            await trio.sleep(delay)

    def _record_prefill_rate(self, job: Job, now: float) -> None:
        if job.prefill_measured_from is not None:
            meter = self._state.prefill_rate_meters[job.service]
            meter.add_sample(
                job.request.sizes.prompt_tokens, now - job.prefill_measured_from
            )

    def _count_usage(self, job: Job) -> None:
        if not job.is_usage_counted:
            job.is_usage_counted = True
            self._state.count_usage(job.account.name if job.account else None)

    def _decide_retry(
        self, job: Job, lost: LostAttempt, responder: Responder
    ) -> Failure | None:
        """Return the failure to report, or None to try another server."""
        if lost.loss is LossReason.MOVED:
            return None
        is_rejected_move = lost.is_not_run and job.fallback is not None
        if is_rejected_move and acquire_return(self._state, job, lost):
            job.continuation, job.fallback = job.fallback, None
            return None
        if lost.loss is LossReason.NO_PATH and not job.may_have_run:
            return self._refuse_with_retry_after(
                job, ResultCode.NO_BACKEND_SERVER, lost.reason
            )
        if lost.is_not_run and not job.was_moved:
            job.rejections += 1
            may_retry = job.rejections < MAX_REJECTIONS
        else:
            may_retry = self._may_retry(job)
        cause = RetryCause.REJECTED if lost.is_not_run else RetryCause.LOST
        now = trio.current_time()
        has_retry, job.has_retry = job.has_retry, False
        if may_retry and (
            has_retry or self._state.retries.acquire(job.service, cause, now)
        ):
            return None
        if job.may_have_run:
            reason = f"{lost.loss.value}: {lost.reason}"
            return Failure(ResultCode.OUTCOME_UNKNOWN, reason)
        return self._refuse_with_retry_after(
            job, ResultCode.QUEUE_FULL, lost.loss.value
        )

    def _refuse_with_retry_after(
        self, job: Job, code: ResultCode, reason: str
    ) -> Failure:
        time_left = max(0.0, job.deadline - trio.current_time())
        wait = min(1.0, time_left * self._state.rng.uniform(0.05, 0.25))
        return self._make_failure(job, Failure(code, reason, wait))

    def _refuse(self, job: Job, failure: Failure) -> Failure:
        is_final = failure.code is ResultCode.STREAM_VERSION_GONE
        if failure.retry_after is None and not is_final:
            return self._refuse_with_retry_after(job, failure.code, failure.reason)
        return self._make_failure(job, failure)

    def _make_failure(self, job: Job, failure: Failure) -> Failure:
        """Return a refusal, or an unknown outcome if a server may have run the job."""
        if job.may_have_run:
            return Failure(ResultCode.OUTCOME_UNKNOWN, failure.reason)
        return failure


def find_fault(job: Job, splitter: EventSplitter, answer: IncomingAnswer) -> str:
    """Return why a stream that has ended is incomplete; empty if nothing shows it."""
    if splitter.remainder:
        return "ended within an event"
    is_empty = answer.is_unframed and job.attempt_first_event_at is None
    if is_empty and not job.may_have_ended:
        return "ended before an event"
    return ""


def clean_answer_headers(headers: Headers) -> Headers:
    """Return a server's headers without those of the connection and the framing."""
    return [
        (name, value)
        for name, value in remove_hop_by_hop_headers(headers)
        if name != b"content-length"
    ]
