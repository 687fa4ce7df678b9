"""Finds out whether an answer that has ended is whole."""

import trio
from loguru import logger as log

from dewridge.effects import Effect
from dewridge.gateway.endings.processes import ProcessExaminer
from dewridge.gateway.forwarding import LostAttempt
from dewridge.gateway.jobs import Job
from dewridge.gateway.losses import LossHandler
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.moves import send_order
from dewridge.gateway.state import GatewayState
from dewridge.policy.answerends import (
    AnswerRecord,
    EndVerdict,
    ProcessEvidence,
    describe_cut,
    judge_end,
)
from dewridge.policy.losses import ConnectResult, LossReason

ASK_SECONDS = 1.2
"""Seconds for which a source is asked whether it stopped a run. Callers disconnect two
seconds after the last event."""
RESUMABLE_ASK_SECONDS = 0.4
"""The same for a stream that may run anew elsewhere, which takes a moment as well. The
reply to the order itself may have been awaited for 0.6 s before."""
ASK_DELAY = 0.02
"""Seconds until the source is asked again, doubled each time."""
DEADLINE_MARGIN = 0.005
"""Seconds before its deadline from which an answer counts as ended by it: servers stop
at the deadline that they are given, in whole milliseconds."""
MAX_LOGGED_REPLIES = 8
"""Replies to orders that one log line names; a source is asked a few times."""


class EndJudge:
    """Judges how answers ended, by evidence that it collects as far as needed."""

    def __init__(self, state: GatewayState, losses: LossHandler) -> None:
        self._state = state
        self._losses = losses
        self._examiner = ProcessExaminer(state, losses)

    async def judge(
        self, job: Job, server: ServerRecord, record: AnswerRecord
    ) -> LostAttempt | None:
        """Return why an answer that has ended is not whole; None if it is."""
        has_reached_deadline = trio.current_time() >= job.deadline - DEADLINE_MARGIN
        if record.is_close_delimited and not record.fault and has_reached_deadline:
            record.fault = "ended at its deadline"
        while True:
            verdict = judge_end(record)
            if verdict is EndVerdict.ASK_SOURCE:
                await self._ask_source(job, server, record)
            elif verdict is EndVerdict.EXAMINE_PROCESS:
                record.process = await self._examiner.examine(job, server)
            else:
                break
        if record.is_close_delimited or record.stop is not Effect.REFUSED:
            self._record(job, server, record, verdict)
        is_cut = verdict is EndVerdict.CUT_OFF
        job.may_have_ended = is_cut and record.is_close_delimited and not record.fault
        match verdict:
            case EndVerdict.WHOLE:
                job.drop_orders(server.id)
                return None
            case EndVerdict.STOPPED:
                target = job.continuation.server.id if job.continuation else ""
                return LostAttempt(LossReason.MOVED, target)
        return LostAttempt(LossReason.CUT_OFF, describe_cut(record), reach=record.reach)

    async def _ask_source(
        self, job: Job, server: ServerRecord, record: AnswerRecord
    ) -> None:
        """Ask the server of an ended stream whether it stopped the run."""
        is_resumable = job.route.is_resumable
        seconds = RESUMABLE_ASK_SECONDS if is_resumable else ASK_SECONDS
        with trio.move_on_at(min(trio.current_time() + seconds, job.deadline)):
            await self._ask_until_answered(job, server, record)
        record.is_source_asked = record.stop is Effect.UNKNOWN

    async def _ask_until_answered(
        self, job: Job, server: ServerRecord, record: AnswerRecord
    ) -> None:
        """Ask for the memory of the run until nothing more can be learned.

        A source that has no such run does not show that the run ended by itself.
        """
        order = job.find_order(server.id)
        delay = ASK_DELAY
        while order is not None:
            reply = await send_order(self._state, job, order, record, has_ended=True)
            if reply.is_final or record.stop is not Effect.UNKNOWN:
                return
            # The server's own life is asked for where the order can't even be sent.
            if reply.effect is Effect.REFUSED and await self._has_ended(server, record):
                return
            await trio.sleep(delay)
            delay *= 2

    async def _has_ended(self, server: ServerRecord, record: AnswerRecord) -> bool:
        result = await self._losses.probe_after_end(server)
        if result is ConnectResult.REFUSED:
            record.process = ProcessEvidence.ENDED
        return result is ConnectResult.REFUSED

    def _record(
        self,
        job: Job,
        server: ServerRecord,
        record: AnswerRecord,
        verdict: EndVerdict,
    ) -> None:
        self._state.metrics.add("answer_ends_total", verdict=verdict.name)
        log.bind(
            id=job.request.id,
            server=server.id,
            verdict=verdict.value,
            framed=not record.is_close_delimited,
            fault=record.fault,
            stop=record.stop.value,
            replies=", ".join(record.replies[:MAX_LOGGED_REPLIES]),
            process=record.process.value if record.process else "",
        ).info("answer ended")
