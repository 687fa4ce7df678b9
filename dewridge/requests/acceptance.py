"""Accepting submissions: copies first, then the caller's "accepted"."""

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
from dewridge.requests.refusals import Refuser
from dewridge.requests.replicas import may_reopen
from dewridge.requests.replication import Replicator
from dewridge.requests.scheduling import Scheduling
from dewridge.requests.shared import Shared
from dewridge.requests.suspects import SuspectRequests
from dewridge.sentinels import Failure
from dewridge.supervision.mailbox import Promise

ACCEPTANCE_LIMIT = 15.0
"""Seconds after which a caller is told "unknown" of a submission that could not be
settled; calls of replicas end sooner unless something hangs."""
CONFLICT_LIMIT = 3
"""Rounds of settling with rival owners before the caller is told "unknown"."""
RETRY_AFTER = 1.0

FINAL_KEY_CODES = (
    ResultCode.MALFORMED_KEY,
    ResultCode.KEY_TOO_OLD,
    ResultCode.OUTCOME_UNKNOWN,
)
"""Refusals of keys that no host would accept; nobody else needs to hear of them."""


UNREAD_CODES = (ResultCode.UNKNOWN_SERVICE, ResultCode.UNKNOWN_OPERATION)
"""Refusals by a host that does not know what the input means. A host that has just
started writes it in another form than one that knows the service; compared with
that, the caller's own copy would look like other input."""


class Acceptor:
    """Accepts submissions on their entry host."""

    def __init__(
        self,
        shared: Shared,
        replicator: Replicator,
        scheduling: Scheduling,
        refuser: Refuser,
        *,
        configuration: Callable[[], Configuration],
        admission_gate: Callable[[], Failure | None],
        suspects: SuspectRequests,
    ) -> None:
        self._shared = shared
        self._replicator = replicator
        self._scheduling = scheduling
        self._refuser = refuser
        self._configuration = configuration
        self._gate = admission_gate
        self._suspects = suspects
        self._pending: dict[RequestId, trio.Event] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no submission is being accepted."""
        return not self._pending

    async def submit(self, submission: Submission) -> Accepted | Failure:
        """Accept a submission, join the request that it names, or refuse it."""
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
        self._shared.jobs.start(self._accept_in_turn, submission, failure, promise)
        fault = Failure(ResultCode.OUTCOME_UNKNOWN, "acceptance failed", RETRY_AFTER)
        return await promise.wait(ACCEPTANCE_LIMIT, fault)

    async def _accept_in_turn(
        self,
        submission: Submission,
        failure: Failure | None,
        promise: Promise[Accepted],
    ) -> None:
        """Decide on a submission after those of the same key that came before.

        This is a job, not the caller's own task: a caller that drops its
        connection in the middle would leave a record that is neither accepted
        nor refused, and every later sending would join it and wait for ever.
        """
        request = make_request_id(submission.account, submission.key)
        while request in self._pending:
            await self._pending[request].wait()
        done = self._pending[request] = trio.Event()
        try:
            result = await self._decide(submission, request, failure)
        finally:
            del self._pending[request]
            done.set()
        name = "accepted" if isinstance(result, Accepted) else result.code.name
        self._shared.metrics.add("requests_submissions", result=name.lower())
        promise.fulfil(result)

    async def _decide(
        self, submission: Submission, request: RequestId, failure: Failure | None
    ) -> Accepted | Failure:
        joined = self._join(submission, request)
        if joined is not None and not await self._is_joined_to_left_over(submission):
            return joined
        if failure is None:
            failure = self._check(submission, request)
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
            earlier = await self._close_earlier(submission, record)
            if earlier is not None:
                return earlier
        self._replicator.choose(record)
        if not record.replicas:
            failure = Failure(ResultCode.NO_REPLICA, "no other entry host", RETRY_AFTER)
            return await self._refuse(submission, request, failure)
        refused = self._scheduling.offer(record)
        if refused is not None:
            return await self._refuse(submission, request, refused)
        return await self._accept(record)

    def _join(
        self, submission: Submission, request: RequestId
    ) -> Accepted | Failure | None:
        """Join a request that this host knows, if that is what this repeats."""
        record = self._shared.table.find(request)
        if record is None:
            return None
        if self._is_reused(submission, record):
            return make_reused()
        is_later = submission.number > record.number
        if record.outcome is Outcome.NOT_RUN:
            if is_later or not self._shared.is_own(record.ballot):
                return None
        elif is_later and may_reopen(record):
            return None
        elif record.ended is None:
            record.number = max(record.number, submission.number)
        return Accepted(request, record.generation, attached=True)

    @staticmethod
    def _is_reused(submission: Submission, record: Record) -> bool:
        digest = digest_input(
            submission.service, submission.operation, submission.input
        )
        return record.digest not in (0, digest)

    async def _close_earlier(
        self, submission: Submission, record: Record
    ) -> Accepted | Failure | None:
        """Close the earlier submissions of a key before a repeat is accepted.

        One of them may be running where its caller lost sight of it: the
        repeat then joins it. If that can't be excluded, the repeat runs, but
        nobody will be told that the key was not run.
        """
        request = record.request
        before = self._shared.table.find(request)
        failure = Failure(ResultCode.SUBMISSION_CLOSED, "a later one was sent")
        result = await self._refuser.refuse(
            request, submission.number - 1, failure, record.ballot
        )
        if isinstance(result, Failure):
            was_run = before is not None and before.maybe_run
            record.maybe_run = was_run or not result.is_not_run
        elif self._is_reused(submission, result):
            return make_reused()
        elif may_reopen(result) or await self._is_left_over(result):
            record.maybe_run = True
        else:
            return Accepted(request, result.generation, attached=True)
        record.ballot = self._shared.make_ballot(request)
        record.generation = make_generation(record.ballot)
        return None

    async def _is_joined_to_left_over(self, submission: Submission) -> bool:
        """Whether a repeat would join a copy here that nobody goes on with."""
        request = make_request_id(submission.account, submission.key)
        record = self._shared.table.find(request)
        if submission.number <= 1 or record is None:
            return False
        is_own = self._shared.is_own(record.ballot)
        return not is_own and await self._is_left_over(record)

    async def _is_left_over(self, known: Record) -> bool:
        """Whether a live copy belongs to a sending that its owner has refused.

        The owner could not be sure that this copy was gone, so its caller was told
        "unknown" and sent the key again. Joined to a copy that nobody goes on
        with, it would be told that it is accepted and hear "unknown" for ever.
        """
        if known.ended is not None:
            return False
        owned = await self._ask_owner(known)
        return owned is None or owned.outcome is Outcome.NOT_RUN

    def _check(self, submission: Submission, request: RequestId) -> Failure | None:
        closed = self._shared.table.find_closed(request)
        if closed is not None and submission.number <= closed.number:
            return make_closed(closed.ended)
        if self._shared.leaving:
            return Failure(ResultCode.HOST_LEAVING, "this entry host is leaving", 0.0)
        if submission.deadline <= self._shared.clock():
            return Failure(ResultCode.DEADLINE_PASSED, "the deadline has passed")
        return self._gate() or self._suspects.check(
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
        also: frozenset[HostId] = frozenset(),
    ) -> Accepted | Failure:
        ballot = record.ballot if record else self._shared.make_ballot(request)
        number = submission.number
        result = await self._refuser.refuse(request, number, failure, ballot, also)
        if isinstance(result, Failure):
            return result
        if failure.code not in UNREAD_CODES and self._is_reused(submission, result):
            return make_reused()
        if result.outcome is Outcome.NOT_RUN:
            return failure
        return Accepted(request, result.generation, attached=True)

    async def _accept(self, record: Record) -> Accepted | Failure:
        answer = Answer(record)
        self._shared.table.put(record)
        self._replicator.add(answer)
        supersedes = 0
        for _ in range(CONFLICT_LIMIT):
            copies = await offer_copies(self._shared, answer, supersedes)
            if copies.conflicting:
                known = max(copies.conflicting, key=lambda found: found.ballot)
                settled = await self._settle(answer, known)
                if settled is not None:
                    return settled
                supersedes = record.ballot.epoch - 1
                continue
            if answer.lost:
                return Accepted(record.request, record.generation, attached=True)
            if copies.stored:
                return self._open(answer)
            break
        return await self._give_up(answer)

    def _open(self, answer: Answer) -> Accepted:
        record = answer.record
        record.pending = False
        answer.accepted.set()
        self._scheduling.wake()
        return Accepted(record.request, record.generation)

    async def _settle(self, answer: Answer, known: Record) -> Accepted | Failure | None:
        """Settle with another ownership of the key; None to offer it again.

        The same key may reach several entry hosts at once. If both sides gave
        way nobody would run it, and if neither did it would run twice; so of
        two that are still accepting, the lower host name goes on.
        """
        if known.digest not in (0, answer.record.digest):
            await self._take_back(answer)
            return make_reused()
        if known.ended is not None:
            return await self._settle_ended(answer, known)
        rival = await self._ask_owner(known)
        if rival is None or self._yields(rival, answer.record):
            self._supersede(answer, rival or known)
            return None
        if rival.ended is not None:
            return await self._settle_ended(answer, rival)
        await self._take_back(answer)
        return Accepted(rival.request, rival.generation, attached=True)

    def _yields(self, rival: Record, record: Record) -> bool:
        """Whether a rival gives way: refused earlier, or still accepting too."""
        if rival.ended is not None:
            refused = rival.outcome is Outcome.NOT_RUN
            return refused and rival.number < record.number
        return rival.pending and self._shared.me.host < rival.ballot.host

    async def _settle_ended(self, answer: Answer, known: Record) -> Accepted | Failure:
        record = answer.record
        await self._take_back(answer)
        if known.ended is not None and known.outcome is Outcome.NOT_RUN:
            submission = make_submission_of(record)
            failure = make_closed(known.ended)
            return await self._refuse(submission, record.request, failure)
        return Accepted(record.request, known.generation, attached=True)

    async def _ask_owner(self, known: Record) -> Record | None:
        """Ask a rival owner; None if it does not know the request any more."""
        host = known.ballot.host
        member = self._shared.find_live(host)
        if member is None or member.incarnation != known.ballot.incarnation:
            return None if self._shared.is_own(known.ballot) else known
        reply = await self._shared.call(host, wire.Find(request=known.request))
        if isinstance(reply, Failure):
            return known
        if not reply.found:
            return None
        record = decode_record(reply.record)
        record.ended = decode_end(reply.ended) if reply.ended is not None else None
        return record

    def _supersede(self, answer: Answer, known: Record) -> None:
        """Offer the record again above a rival that is gone or gives way."""
        record = answer.record
        record.maybe_run = record.maybe_run or known.maybe_run
        record.ballot = self._shared.make_ballot(record.request, known.ballot.epoch)
        record.generation = make_generation(record.ballot)
        answer.acked_tokens.clear()
        self._shared.metrics.add("requests_supersede")

    async def _take_back(self, answer: Answer) -> None:
        """Undo an acceptance that gives way to another ownership."""
        record = answer.record
        self._forget(answer)
        self._shared.table.lose(record, self._shared.clock())
        self._shared.jobs.start(
            self._refuser.withdraw,
            record.request,
            record.ballot,
            frozenset(answer.holders),
        )

    def _forget(self, answer: Answer) -> None:
        self._scheduling.withdraw(answer.record)
        self._replicator.remove(answer)
        answer.mark_lost()

    async def _give_up(self, answer: Answer) -> Accepted | Failure:
        record = answer.record
        self._forget(answer)
        failure = Failure(
            ResultCode.NO_REPLICA, "no replica acknowledged in time", RETRY_AFTER
        )
        also = frozenset(answer.holders)
        submission = make_submission_of(record)
        return await self._refuse(submission, record.request, failure, record, also)


def make_submission_of(record: Record) -> Submission:
    """Return the submission that a record began with."""
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


def make_reused() -> Failure:
    """Return the refusal of a key that names other input."""
    return Failure(ResultCode.KEY_REUSED, "the key was used for other input")


def make_closed(ended: EndedEvent) -> Failure:
    """Return the refusal of a submission that was refused before."""
    return Failure(
        ResultCode.SUBMISSION_CLOSED,
        f"this submission was refused before ({ended.code.name.lower()})",
        ended.retry_after,
    )
