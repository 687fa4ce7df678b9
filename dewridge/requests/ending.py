"""Completes and fails requests on their owner, and replicates their ends."""

from collections.abc import Callable

import trio
from loguru import logger as log

from dewridge.codes import CODE_TABLE, Outcome, ResultCode
from dewridge.ids import HostId
from dewridge.membership.ranking import make_preference_list
from dewridge.policy.model import Abandoned
from dewridge.requests.answers import Answer
from dewridge.requests.model import EndedEvent
from dewridge.requests.outcomes import make_end_event, summarize
from dewridge.requests.records import Record
from dewridge.requests.replication import Replicator, make_replicate_message
from dewridge.requests.shared import Shared
from dewridge.requests.usage import UsageLedger
from dewridge.sentinels import Failure

MAX_LATE_DELIVERY_ATTEMPTS = 20
LATE_DELIVERY_RETRY_DELAY = 0.5
"""Seconds between two attempts to deliver a late answer."""


class RequestFinisher:
    """Ends the requests that this host owns.

    Attributes:
        on_not_run: called with a record that ended with the outcome "not run".
    """

    def __init__(
        self, shared: Shared, replicator: Replicator, usage: UsageLedger
    ) -> None:
        self._shared = shared
        self._replicator = replicator
        self._usage = usage
        self.on_not_run: Callable[[Record], None] = lambda _: None
        replicator.on_superseded = self._start_late_delivery

    def complete(
        self, answer: Answer, body: str, backend_server: str, failure_domain: str
    ) -> None:
        """End a request whose complete answer was received."""
        record = answer.record
        summary = summarize(record, backend_server, failure_domain)
        event = EndedEvent(ResultCode.OK, body=body, summary=summary)
        if self._shared.clock() > record.deadline:
            self._usage.add(record.profile, "late")
        if record.recomputed:
            self._usage.add(record.profile, "tokens_recomputed", record.recomputed)
        self._end(answer, event)

    def fail(
        self, answer: Answer, failure: Failure, abandoned: Abandoned | None = None
    ) -> None:
        """End a request without a complete answer.

        The result code depends on whether the request may have run.
        """
        if abandoned is not None and failure.retry_after is None:
            failure = Failure(
                failure.code, failure.reason, abandoned.failure.retry_after
            )
        self._end(answer, make_end_event(answer.record, failure))

    def adopt_end(self, answer: Answer, event: EndedEvent) -> None:
        """End a request with the end that the holder of its claim recorded."""
        self._end(answer, event)

    def _end(self, answer: Answer, event: EndedEvent) -> None:
        record = answer.record
        if record.ended is not None:
            return
        outcome = CODE_TABLE[event.code].outcome
        self._shared.metrics.add("requests_ended", code=event.code.name.lower())
        if outcome in (Outcome.UNKNOWN, Outcome.FAILED):
            log.info(
                "request {}: ended {} under epoch {} after {} attempts: {}",
                record.request,
                event.code.name.lower(),
                record.ballot.epoch,
                record.attempts,
                event.reason,
            )
        if outcome is Outcome.UNKNOWN:
            self._usage.add(record.profile, "unknown")
        elif outcome is Outcome.FAILED:
            self._usage.add(record.profile, "lost")
        elif outcome is Outcome.NOT_RUN:
            self.on_not_run(record)
        if answer.lost:
            record.end(event, self._shared.clock())
            self._start_late_delivery(record)
            return
        self._shared.table.end(record, event, self._shared.clock())
        self._shared.jobs.start(self._replicator.publish_end, answer)

    def _start_late_delivery(self, record: Record) -> None:
        if not record.idempotent and record.outcome is Outcome.DONE:
            self._shared.jobs.start(self.deliver_late_answer, record)

    async def deliver_late_answer(self, record: Record) -> None:
        """Replicate the complete answer of a request that was reported as "unknown".

        This host was considered dead while it waited for the backend server. It
        held the claim, so no other answer can exist; callers that retry with the
        request's key receive it instead of "unknown".
        """
        hosts = set(record.replicas)
        candidates = make_preference_list(
            record.request, self._shared.membership.members()
        )
        hosts |= {m.host for m in candidates[: self._shared.query_fanout]}
        self._shared.metrics.add("requests_delivered_late")
        self._shared.table.store(record, self._shared.clock())
        message = make_replicate_message(record)
        reached = {self._shared.local_member.host}
        for _ in range(MAX_LATE_DELIVERY_ATTEMPTS):
            for host in hosts - reached:
                reply = await self._shared.call(host, message)
                if isinstance(reply, Failure):
                    continue
                reached.add(host)
                if reply.known is not None:
                    hosts |= {HostId(name) for name in reply.known.replicas}
            if hosts <= reached:
                return
            await trio.sleep(LATE_DELIVERY_RETRY_DELAY)
