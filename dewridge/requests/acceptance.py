"""Acceptance of submissions: a request is accepted once a replica stores a copy."""

from collections.abc import Callable

import trio

from dewridge.codes import Outcome, ResultCode
from dewridge.configuration.model import Configuration, Operation, Service
from dewridge.ids import HostId, RequestId, make_request_id, split_request_id
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.answers import Answer
from dewridge.requests.codec import decode_end, decode_record
from dewridge.requests.copying import offer_copies
from dewridge.requests.keys import check_key
from dewridge.requests.model import Accepted, EndedEvent, Submission
from dewridge.requests.records import (
    Record,
    digest_input,
    make_generation,
    make_record,
)
from dewridge.requests.refusals import RefusalConfirmer
from dewridge.requests.replicas import may_reopen
from dewridge.requests.replication import Replicator
from dewridge.requests.scheduling import Scheduling
from dewridge.requests.shared import Shared
from dewridge.requests.suspects import SuspectRequests
from dewridge.sentinels import Failure
from dewridge.supervision.mailbox import Promise

ACCEPTANCE_TIMEOUT = 15.0
"""Seconds after which a submission that is still undecided is answered with
OUTCOME_UNKNOWN. Calls to replicas time out earlier, so this only ends hangs."""
MAX_CONFLICT_ROUNDS = 3
"""Rounds of resolving conflicts with other owners of the key before the acceptance is
abandoned. The caller then receives OUTCOME_UNKNOWN unless the refusal is confirmed."""
RETRY_AFTER = 1.0
"""Seconds after which a caller may retry a failed acceptance."""

FINAL_KEY_CODES = (
    ResultCode.MALFORMED_KEY,
    ResultCode.KEY_TOO_OLD,
    ResultCode.OUTCOME_UNKNOWN,
)
"""Codes for keys that every host refuses, so the refusal needs no confirmation."""


UNKNOWN_TARGET_CODES = (ResultCode.UNKNOWN_SERVICE, ResultCode.UNKNOWN_OPERATION)
"""Refusals by a host that does not know the service or operation. Such a host, for
example one that has just started, encodes the input differently from a host that
knows the service, so comparing digests would falsely report a reused key."""


class Acceptor:
    """Accepts submissions on their entry host."""

    def __init__(
        self,
        shared: Shared,
        replicator: Replicator,
        scheduling: Scheduling,
        refusals: RefusalConfirmer,
        *,
        configuration: Callable[[], Configuration],
        admission_gate: Callable[[], Failure | None],
        suspects: SuspectRequests,
    ) -> None:
        self._shared = shared
        self._replicator = replicator
        self._scheduling = scheduling
        self._refusals = refusals
        self._configuration = configuration
        self._admission_gate = admission_gate
        self._suspects = suspects
        self._pending: dict[RequestId, trio.Event] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no submission is being processed."""
        return not self._pending

    async def submit(self, submission: Submission) -> Accepted | Failure:
        """Accept a submission, attach it to the request of its key, or refuse it."""
        settings = self._shared.settings
        now = self._shared.clock()
        failure = check_key(
            submission.key,
            submission.number,
            now,
            settings.retention,
            settings.clock_skew,
        )
        if failure is not None and failure.code in FINAL_KEY_CODES:
            return failure
        promise: Promise[Accepted] = Promise()
        self._shared.jobs.start(self._process_in_order, submission, failure, promise)
        timed_out = Failure(
            ResultCode.OUTCOME_UNKNOWN, "acceptance failed", RETRY_AFTER
        )
        return await promise.wait(ACCEPTANCE_TIMEOUT, timed_out)

    async def _process_in_order(
        self,
        submission: Submission,
        failure: Failure | None,
        promise: Promise[Accepted],
    ) -> None:
        """Process a submission after all earlier ones of the same key.

        Runs as a job instead of in the caller's task. If the caller's disconnect
        cancelled it, the record would stay neither accepted nor refused, and every
        later submission of the key would attach to it and wait forever.
        """
        request = make_request_id(submission.account, submission.key)
        while request in self._pending:
            await self._pending[request].wait()
        done = self._pending[request] = trio.Event()
        try:
            result = await self._process(submission, request, failure)
        finally:
            del self._pending[request]
            done.set()
        name = "accepted" if isinstance(result, Accepted) else result.code.name
        self._shared.metrics.add("requests_submissions", result=name.lower())
        promise.fulfil(result)

    async def _process(
        self, submission: Submission, request: RequestId, failure: Failure | None
    ) -> Accepted | Failure:
        attached = self._attach(submission, request)
        if attached is not None and not await self._would_attach_to_orphan(submission):
            return attached
        if failure is None:
            failure = self._check_preconditions(submission, request)
        found = self._find_operation(submission) if failure is None else failure
        if isinstance(found, Failure):
            return await self._refuse(submission, request, found)
        service, operation = found
        record = make_record(
            submission,
            request,
            self._shared.make_ballot(request),
            idempotent=operation.idempotent,
            profile=service.profile,
            now=self._shared.clock(),
        )
        if submission.number > 1:
            earlier_result = await self._close_earlier(submission, record)
            if earlier_result is not None:
                return earlier_result
        self._replicator.assign_replicas(record)
        if not record.replicas:
            failure = Failure(ResultCode.NO_REPLICA, "no other entry host", RETRY_AFTER)
            return await self._refuse(submission, request, failure)
        refused = self._scheduling.offer(record)
        if refused is not None:
            return await self._refuse(submission, request, refused)
        return await self._accept(record)

    def _attach(
        self, submission: Submission, request: RequestId
    ) -> Accepted | Failure | None:
        """Attach to this host's record of the request; None if that is not possible."""
        record = self._shared.table.find(request)
        if record is None:
            return None
        if self._is_key_reused(submission, record):
            return make_key_reused()
        is_later = submission.number > record.number
        if record.outcome is Outcome.NOT_RUN:
            if is_later or not self._shared.is_local_ballot(record.ballot):
                return None
        elif is_later and may_reopen(record):
            return None
        elif record.ended is None:
            record.number = max(record.number, submission.number)
        return Accepted(request, record.generation, attached=True)

    @staticmethod
    def _is_key_reused(submission: Submission, record: Record) -> bool:
        digest = digest_input(
            submission.service, submission.operation, submission.input
        )
        return record.digest not in (0, digest)

    async def _close_earlier(
        self, submission: Submission, record: Record
    ) -> Accepted | Failure | None:
        """Close the earlier submissions of a key before a retry is accepted.

        If one of them still runs on another host, the retry attaches to it. If
        that can't be ruled out, the retry runs, but its record is marked
        `maybe_run` so that it never ends as "not run".
        """
        request = record.request
        previous = self._shared.table.find(request)
        failure = Failure(ResultCode.SUBMISSION_CLOSED, "a later one was sent")
        result = await self._refusals.confirm(
            request, submission.number - 1, failure, record.ballot
        )
        if isinstance(result, Failure):
            was_run = previous is not None and previous.maybe_run
            record.maybe_run = was_run or not result.is_not_run
        elif self._is_key_reused(submission, result):
            return make_key_reused()
        elif may_reopen(result) or await self._is_orphaned(result):
            record.maybe_run = True
        else:
            return Accepted(request, result.generation, attached=True)
        record.ballot = self._shared.make_ballot(request)
        record.generation = make_generation(record.ballot)
        return None

    async def _would_attach_to_orphan(self, submission: Submission) -> bool:
        """Whether a retry would attach to an orphaned copy on this host."""
        request = make_request_id(submission.account, submission.key)
        record = self._shared.table.find(request)
        if submission.number <= 1 or record is None:
            return False
        is_own = self._shared.is_local_ballot(record.ballot)
        return not is_own and await self._is_orphaned(record)

    async def _is_orphaned(self, known: Record) -> bool:
        """Whether a live copy belongs to a submission that its owner has refused.

        The owner could not confirm that this copy was removed, so its caller
        received "unknown" and retries. Attached to this copy, which no host
        continues, the retry would be accepted and then end "unknown" every time.
        """
        if known.ended is not None:
            return False
        owned = await self._query_owner(known)
        return owned is None or owned.outcome is Outcome.NOT_RUN

    def _check_preconditions(
        self, submission: Submission, request: RequestId
    ) -> Failure | None:
        closed = self._shared.table.find_closed_submissions(request)
        if closed is not None and submission.number <= closed.number:
            return make_submission_closed(closed.ended)
        if self._shared.leaving:
            return Failure(ResultCode.HOST_LEAVING, "this entry host is leaving", 0.0)
        if submission.deadline <= self._shared.clock():
            return Failure(ResultCode.DEADLINE_PASSED, "the deadline has passed")
        if not self._shared.has_room_for(submission.input):
            self._shared.metrics.add("requests_over_input_limit")
            reason = "the inputs of other requests take the memory for inputs"
            return Failure(ResultCode.HOST_OVERLOADED, reason, RETRY_AFTER)
        return self._admission_gate() or self._suspects.check(
            submission.account,
            submission.service,
            submission.operation,
            submission.input,
        )

    def _find_operation(
        self, submission: Submission
    ) -> tuple[Service, Operation] | Failure:
        service = self._configuration().services.get(submission.service)
        if service is None:
            return Failure(
                ResultCode.UNKNOWN_SERVICE, f"no service {submission.service!r}"
            )
        for operation in service.operations:
            if operation.name == submission.operation:
                return service, operation
        return Failure(
            ResultCode.UNKNOWN_OPERATION,
            f"{submission.service} has no operation {submission.operation!r}",
        )

    async def _refuse(
        self,
        submission: Submission,
        request: RequestId,
        failure: Failure,
        record: Record | None = None,
        extra_hosts: frozenset[HostId] = frozenset(),
    ) -> Accepted | Failure:
        ballot = record.ballot if record else self._shared.make_ballot(request)
        number = submission.number
        result = await self._refusals.confirm(
            request, number, failure, ballot, extra_hosts
        )
        if isinstance(result, Failure):
            return result
        if failure.code not in UNKNOWN_TARGET_CODES and self._is_key_reused(
            submission, result
        ):
            return make_key_reused()
        if result.outcome is Outcome.NOT_RUN:
            return failure
        return Accepted(request, result.generation, attached=True)

    async def _accept(self, record: Record) -> Accepted | Failure:
        answer = Answer(record)
        self._shared.table.put(record)
        self._replicator.add(answer)
        supersedes = 0
        for _ in range(MAX_CONFLICT_ROUNDS):
            copies = await offer_copies(self._shared, answer, supersedes)
            if copies.conflicting:
                known = max(copies.conflicting, key=lambda found: found.ballot)
                resolved = await self._resolve_conflict(answer, known)
                if not isinstance(resolved, int):
                    return resolved
                supersedes = max(supersedes, resolved)
                continue
            if answer.lost:
                return Accepted(record.request, record.generation, attached=True)
            if copies.stored:
                return self._open(answer)
            break
        return await self._abandon(answer)

    def _open(self, answer: Answer) -> Accepted:
        record = answer.record
        record.pending = False
        answer.accepted.set()
        self._scheduling.wake()
        return Accepted(record.request, record.generation)

    async def _resolve_conflict(
        self, answer: Answer, known: Record
    ) -> Accepted | Failure | int:
        """Resolve a conflict with another owner.

        The same key may reach several entry hosts at once. If both yielded, none
        would run it, and if neither did, it would run twice. Of two hosts that
        are still accepting, the one with the lower host name continues.

        Returns:
            The result of the submission, or the epoch that the record now supersedes
            if it has to be offered again. This process may know of greater epochs
            than the owner that it queried, and must not supersede those.
        """
        if known.digest not in (0, answer.record.digest):
            await self._withdraw(answer)
            return make_key_reused()
        if known.ended is not None:
            return await self._resolve_with_ended(answer, known)
        rival = await self._query_owner(known)
        if rival is None and not self._shared.is_local_ballot(known.ballot):
            # Its owner may have started again since it ran the request, and the copy
            # may be older than the attempt.
            answer.record.maybe_run = True
        if rival is None or self._is_rival_yielding(rival, answer.record):
            superseded = rival or known
            self._supersede(answer, superseded)
            return superseded.ballot.epoch
        if rival.ended is not None:
            return await self._resolve_with_ended(answer, rival)
        await self._withdraw(answer)
        return Accepted(rival.request, rival.generation, attached=True)

    def _is_rival_yielding(self, rival: Record, record: Record) -> bool:
        """Whether the rival was refused earlier, or is still accepting and yields."""
        if rival.ended is not None:
            refused = rival.outcome is Outcome.NOT_RUN
            return refused and rival.number < record.number
        return rival.pending and self._shared.local_member.host < rival.ballot.host

    async def _resolve_with_ended(
        self, answer: Answer, known: Record
    ) -> Accepted | Failure:
        record = answer.record
        await self._withdraw(answer)
        if known.ended is not None and known.outcome is Outcome.NOT_RUN:
            submission = make_submission(record)
            failure = make_submission_closed(known.ended)
            return await self._refuse(submission, record.request, failure)
        return Accepted(record.request, known.generation, attached=True)

    async def _query_owner(self, known: Record) -> Record | None:
        """Query a rival owner for its record; None if it no longer has one."""
        host = known.ballot.host
        member = self._shared.find_live(host)
        if member is None or member.incarnation != known.ballot.incarnation:
            return None if self._shared.is_local_ballot(known.ballot) else known
        reply = await self._shared.call(host, wire.Find(request=known.request))
        if isinstance(reply, Failure):
            return known
        if not reply.found:
            return None
        record = decode_record(reply.record)
        record.ended = decode_end(reply.ended) if reply.ended is not None else None
        return record

    def _supersede(self, answer: Answer, known: Record) -> None:
        """Raise the record's ballot above that of a departed or yielding rival."""
        record = answer.record
        record.maybe_run = record.maybe_run or known.maybe_run
        record.ballot = self._shared.make_ballot(record.request, known.ballot.epoch)
        record.generation = make_generation(record.ballot)
        answer.acked_tokens.clear()
        self._shared.metrics.add("requests_supersede")

    async def _withdraw(self, answer: Answer) -> None:
        """Undo an acceptance that is superseded by another ownership."""
        record = answer.record
        self._remove(answer)
        self._shared.table.drop_superseded(record, self._shared.clock())
        self._shared.jobs.start(
            self._refusals.withdraw,
            record.request,
            record.ballot,
            frozenset(answer.holders),
        )

    def _remove(self, answer: Answer) -> None:
        self._scheduling.withdraw(answer.record)
        self._replicator.remove(answer)
        answer.mark_lost()

    async def _abandon(self, answer: Answer) -> Accepted | Failure:
        record = answer.record
        self._remove(answer)
        failure = Failure(
            ResultCode.NO_REPLICA, "no replica acknowledged in time", RETRY_AFTER
        )
        extra_hosts = frozenset(answer.holders)
        submission = make_submission(record)
        return await self._refuse(
            submission, record.request, failure, record, extra_hosts
        )


def make_submission(record: Record) -> Submission:
    """Return the submission that a record was made from."""
    account, key = split_request_id(record.request)
    return Submission(
        account=account,
        service=record.service,
        operation=record.operation,
        key=key,
        number=record.number,
        deadline=record.deadline,
        input=record.input,
        max_tokens=record.max_tokens,
    )


def make_key_reused() -> Failure:
    """Return the refusal of a key that was used with different input."""
    return Failure(ResultCode.KEY_REUSED, "the key was used for other input")


def make_submission_closed(ended: EndedEvent) -> Failure:
    """Return the refusal of a submission that is already closed."""
    return Failure(
        ResultCode.SUBMISSION_CLOSED,
        f"this submission was refused before ({ended.code.name.lower()})",
        ended.retry_after,
    )
