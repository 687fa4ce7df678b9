"""Attempts at servers until one request has its answer, and what may be repeated."""

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.gateway.events import EventSplitter
from dewridge.gateway.forwarding import (
    Lost,
    OpenAnswer,
    WholeAnswer,
    read_whole,
    send_request,
)
from dewridge.gateway.jobs import Job, NextStep, find_priority
from dewridge.gateway.losses import LossNotes
from dewridge.gateway.model import RouteKind, ServerRecord
from dewridge.gateway.responder import Responder
from dewridge.gateway.rollouts import AttemptResult, classify_attempt
from dewridge.gateway.state import SERVER_SECONDS, GatewayState
from dewridge.gateway.streams import RunningStream
from dewridge.gateway.suspects import check_set_aside, note_answered
from dewridge.gateway.weighing import Choice, choose_server, choose_target, is_shed
from dewridge.http1.client import ConnectionBrokenError, Headers
from dewridge.http1.headers import remove_hop_by_hop_headers
from dewridge.platform.engines import stop_and_move
from dewridge.platform.headers import Dispatch
from dewridge.policy.losses import Loss
from dewridge.sentinels import Failure

REJECTIONS = 3
"""Sendings that servers refused before a request is given back. Each costs a round
trip; after three the service is as good as full."""
SILENCE_TARGETS = 3.0
"""Times the target after which a server that has not answered counts as silent, where
the request may be repeated: nearly all answers that still come take less."""
LEAST_SILENCE = 0.25
STREAM_SILENCE = 2.0
"""Seconds without an event after which a resumable stream is moved: callers leave
after longer pauses, and engines hardly ever pause so long by themselves."""


class JobRunner:
    """Runs jobs against the servers that this gateway knows."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._losses = LossNotes(state)

    async def run(self, job: Job, out: Responder) -> Failure | None:
        """Work on a job until it is answered; a failure is still to be told."""
        if job.is_engine:
            self._state.count_demand(job.service, job.request.sizes.prompt_tokens)
            if is_shed(self._state, job):
                return self._give_back(job, ResultCode.QUEUE_FULL, "shed: overloaded")
        self._state.find_budget(job.service).note_first(trio.current_time())
        while True:
            set_aside = check_set_aside(self._state, job)
            if set_aside is not None:
                return self._hand_back(job, set_aside)
            step, job.next_step = job.next_step, None
            now = trio.current_time()
            # A stream that goes on from a copied memory has nothing left to read.
            choice = Choice(step.server, 0) if step else None
            choice = choice or choose_server(self._state, job, now)
            if choice is None:
                return self._give_back(job, ResultCode.NO_BACKEND_SERVER, "no server")
            server = choice.server
            lost = await self._attempt(job, choice, step, out)
            if lost is None:
                return None
            await self._losses.note(job, server, lost)
            failure = self._decide(job, lost, out)
            if failure is not None:
                return failure

    async def _attempt(
        self, job: Job, choice: Choice, step: NextStep | None, out: Responder
    ) -> Lost | None:
        server = choice.server
        job.tried.append(server.id)
        work = self._state.work
        job.unread_tokens = choice.tokens
        job.timed_from = trio.current_time() if choice.is_idle else None
        job.keeper = choice.keeper
        work.add(server.id, job.unread_tokens, is_suspect=choice.is_suspect)
        result = AttemptResult.ABANDONED
        try:
            lost = await self._exchange(job, server, step, out)
            result = classify_attempt(lost, out.status)
            return lost
        finally:
            self._note_read(job, server)
            work.remove(server.id, is_suspect=choice.is_suspect)
            seconds = trio.current_time() - job.sent_at
            self._state.rollouts.note_attempt(job.route.name, server, seconds, result)

    def _note_read(self, job: Job, server: ServerRecord) -> None:
        self._state.work.note_read(server.id, job.unread_tokens)
        job.unread_tokens = 0

    async def _exchange(
        self, job: Job, server: ServerRecord, step: NextStep | None, out: Responder
    ) -> Lost | None:
        answer = await self._send(job, server, step)
        if isinstance(answer, Lost):
            return answer
        job.may_have_run = True
        is_stream = job.route.kind is RouteKind.STREAM
        if is_stream and answer.head.status == 200:
            return await self._relay(job, server, answer, out)
        whole = await read_whole(answer)
        if isinstance(whole, Lost):
            return whole
        if out.has_begun:
            # A stream goes on here and this server failed it: its caller has the head
            # of a success already, and only a cut tells it the truth.
            return Lost(Loss.FAILED, f"status {whole.head.status}", whole.head.status)
        self._count(job)
        if whole.head.status >= 500 and self._may_repeat(job):
            return Lost(Loss.FAILED, f"status {whole.head.status}", whole.head.status)
        await self._pass_on(job, server, whole, out)
        return None

    async def _send(
        self, job: Job, server: ServerRecord, step: NextStep | None
    ) -> OpenAnswer | Lost:
        now = trio.current_time()
        job.runs += 1
        job.sent_at = now
        job.begun_at = None
        dispatch = Dispatch(
            server=server.name,
            time_left=job.deadline - now,
            account=job.account.name if job.account else None,
            priority=find_priority(job) if job.is_engine else None,
            last_event_id=job.last_event,
            cache_copy=step.memory if step else None,
            cache_holder=job.keeper,
        )
        answer: OpenAnswer | Lost = Lost(Loss.CUT_OFF, "silent")
        with trio.move_on_after(self._find_silence(job)):
            answer = await send_request(
                job.request,
                dispatch,
                server,
                self._state.pool,
                must_arrive=not job.route.is_repeatable,
            )
        if isinstance(answer, OpenAnswer):
            seconds = trio.current_time() - now
            metrics = self._state.metrics
            metrics.observe(SERVER_SECONDS, seconds, server=server.id)
        if isinstance(answer, Lost) and answer.is_not_run:
            job.runs -= 1
        else:
            job.may_have_run = True
        return answer

    def _find_silence(self, job: Job) -> float:
        if not job.route.is_repeatable or not self._has_attempts_left(job):
            return float("inf")
        if job.route.kind is RouteKind.STREAM:
            return max(STREAM_SILENCE, SILENCE_TARGETS * job.route.target)
        return max(LEAST_SILENCE, SILENCE_TARGETS * job.route.target)

    def _has_attempts_left(self, job: Job) -> bool:
        return job.runs < job.route.attempts_limit

    def _may_repeat(self, job: Job) -> bool:
        return (
            job.route.is_repeatable
            and self._has_attempts_left(job)
            and trio.current_time() < job.deadline - 0.02
        )

    async def _pass_on(
        self, job: Job, server: ServerRecord, whole: WholeAnswer, out: Responder
    ) -> None:
        health = self._state.find_health(server.id)
        if whole.head.status >= 500:
            health.note_failure(trio.current_time(), is_hard=False)
        else:
            health.note_success(trio.current_time())
            note_answered(self._state, job)
        headers = clean_answer_headers(whole.head.headers)
        await out.send_whole(whole.head.status, headers, whole.body)

    async def _relay(
        self, job: Job, server: ServerRecord, answer: OpenAnswer, out: Responder
    ) -> Lost | None:
        splitter = EventSplitter()
        stream = self._open_stream(server)
        try:
            while True:
                piece: bytes | None = None
                silent_at = trio.current_time() + self._find_silence(job)
                with trio.move_on_at(min(silent_at, stream.moves_at)) as scope:
                    stream.scope = scope
                    piece = await answer.receive()
                if scope.cancelled_caught:
                    if job.next_step is not None:
                        return Lost(Loss.MOVED, job.next_step.server.id)
                    if not stream.is_due(trio.current_time()):
                        return Lost(Loss.CUT_OFF, "silent")
                    await self._move(job, server, stream)
                    continue
                if piece is None:
                    break
                self._note_read(job, server)
                await self._pass_events(job, splitter, piece, answer, out)
        except ConnectionBrokenError as error:
            if job.next_step is not None:
                return Lost(Loss.MOVED, job.next_step.server.id)
            return Lost(Loss.CUT_OFF, str(error))
        finally:
            self._state.streams.close(server.id, stream)
            answer.close()
        job.next_step = None
        self._state.find_health(server.id).note_success(trio.current_time())
        if splitter.rest:
            return Lost(Loss.CUT_OFF, "ended within an event")
        if not out.has_begun:
            await out.begin(200, clean_answer_headers(answer.head.headers))
        note_answered(self._state, job)
        await out.finish()
        return None

    def _open_stream(self, server: ServerRecord) -> RunningStream:
        stream = self._state.streams.open(server.id)
        leaving = self._state.servers.find_leaving(server.id)
        if leaving is not None:
            stream.note_leaving(leaving.gone_at)
        return stream

    async def _move(
        self, job: Job, server: ServerRecord, stream: RunningStream
    ) -> None:
        """Stop a stream whose server goes, and have its memory copied to another.

        Made for reclaims of a whole failure domain on a second's notice: cut there, a
        long draft that may not be repeated is lost, and one that may is read again.
        The stopped stream's connection ends without its end; what was still on its
        way is passed on first.
        """
        state = self._state
        now = trio.current_time()
        target = choose_target(state, job, server.id, now)
        budget = state.find_budget(job.service)
        if target is None or not budget.take(now, state.hosts.count()):
            stream.moves_at = float("inf")
            return
        moved = await stop_and_move(server.address, job.request.id, target.address)
        outcome = moved.reason if isinstance(moved, Failure) else "moved"
        log.bind(
            id=job.request.id, server=server.id, target=target.id, outcome=outcome
        ).info("stream moves")
        if isinstance(moved, Failure):
            state.metrics.add("streams_not_moved_total")
            stream.put_off(trio.current_time())
            return
        state.metrics.add("streams_moved_total")
        stream.note_stopped(trio.current_time())
        job.was_moved = True
        # Without room at the target the source keeps the memory, and goes on itself.
        job.last_resort = NextStep(server, moved)
        job.next_step = NextStep(target, moved) if moved.is_at_target else None
        if job.next_step is None:
            job.next_step, job.last_resort = job.last_resort, None

    async def _pass_events(
        self,
        job: Job,
        splitter: EventSplitter,
        piece: bytes,
        answer: OpenAnswer,
        out: Responder,
    ) -> None:
        fresh = []
        for event in splitter.push(piece):
            if event.id is not None:
                if job.last_event is not None and event.id <= job.last_event:
                    continue
                job.last_event = event.id
            fresh.append(event.raw)
        if not fresh:
            return
        self._count(job)
        job.events += len(fresh)
        job.last_event_at = trio.current_time()
        if job.begun_at is None:
            job.begun_at = job.last_event_at
        if job.first_event_at is None:
            job.first_event_at = job.last_event_at
            self._learn_pace(job, job.first_event_at)
        if not out.has_begun:
            await out.begin(200, clean_answer_headers(answer.head.headers))
        await out.send_piece(b"".join(fresh))

    def _learn_pace(self, job: Job, now: float) -> None:
        if job.timed_from is not None:
            pace = self._state.paces[job.service]
            pace.add(job.request.sizes.prompt_tokens, now - job.timed_from)

    def _count(self, job: Job) -> None:
        if not job.is_counted:
            job.is_counted = True
            self._state.count_began(job.account.name if job.account else None)

    def _decide(self, job: Job, lost: Lost, out: Responder) -> Failure | None:
        """Return the failure to tell, or None to try another server."""
        if lost.loss is Loss.MOVED:
            return None
        if lost.is_not_run and job.last_resort is not None:
            job.next_step, job.last_resort = job.last_resort, None
            return None
        now = trio.current_time()
        budget = self._state.find_budget(job.service)
        hosts = self._state.hosts.count()
        if lost.is_not_run and not job.was_moved:
            job.rejections += 1
            goes_on = job.rejections < REJECTIONS and budget.take(now, hosts)
        else:
            goes_on = self._may_repeat(job) and budget.take(now, hosts)
        if goes_on:
            return None
        if job.may_have_run:
            reason = f"{lost.loss.value}: {lost.reason}"
            return Failure(ResultCode.OUTCOME_UNKNOWN, reason)
        return self._give_back(job, ResultCode.QUEUE_FULL, lost.loss.value)

    def _give_back(self, job: Job, code: ResultCode, reason: str) -> Failure:
        left = max(0.0, job.deadline - trio.current_time())
        wait = min(1.0, left * self._state.rng.uniform(0.05, 0.25))
        return self._hand_back(job, Failure(code, reason, wait))

    def _hand_back(self, job: Job, failure: Failure) -> Failure:
        """Return a refusal, unless some server may have run the request."""
        if job.may_have_run:
            return Failure(ResultCode.OUTCOME_UNKNOWN, failure.reason)
        return failure


def clean_answer_headers(headers: Headers) -> Headers:
    """Return a server's headers without those of its connection and framing."""
    return [
        (name, value)
        for name, value in remove_hop_by_hop_headers(headers)
        if name != b"content-length"
    ]
