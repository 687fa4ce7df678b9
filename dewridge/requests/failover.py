"""Takes over the requests of hosts that crashed or were partitioned."""

import trio
from loguru import logger as log

from dewridge.codes import Outcome, ResultCode
from dewridge.ids import HostId, Incarnation, RequestId
from dewridge.membership.model import Member, MemberState
from dewridge.membership.ranking import make_preference_list
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.answers import Answer, renew_generation, take_ownership
from dewridge.requests.attempts import Attempts
from dewridge.requests.codec import decode_end, decode_record
from dewridge.requests.ending import RequestFinisher
from dewridge.requests.locating import Located, Locator, decode_find_reply
from dewridge.requests.records import Ballot, Record
from dewridge.requests.replication import Replicator, make_replicate_message
from dewridge.requests.shared import Shared
from dewridge.sentinels import Failure

SWEEP_INTERVAL = 0.5
"""Seconds between two searches for records whose owner has departed. Each change of
the membership starts a search too; the interval covers copies that arrive late."""
STALE_RECORD_TIMEOUT = 5.0
"""Seconds without an update of a record after which its live owner is asked whether it
still knows the request. If the owner abandoned it and the message was lost, no host
would run the request and its caller would wait forever."""
MAX_CONCURRENT_TAKEOVERS = 16
"""Maximum number of concurrent takeovers. After the loss of a failure domain a host
takes over thousands of requests; if it did so all at once, their calls would time out
and be retried."""
HOLDER_POLL_INTERVAL = 0.2
"""Seconds between two polls of the host that holds a request's claim."""
HOLDER_GRACE = 5.0
"""Seconds after a request's deadline to wait for the live holder of its claim."""

COPY_TIMEOUT = 5.0
"""Seconds to wait for a copy on a silent host. By then a running host has refuted the
suspicion, and any other host counts as dead."""


class Failover:
    """Watches the owners of the records on this host, and takes over from lost ones."""

    def __init__(
        self,
        shared: Shared,
        *,
        replicator: Replicator,
        locator: Locator,
        attempts: Attempts,
        finisher: RequestFinisher,
    ) -> None:
        self._shared = shared
        self._replicator = replicator
        self._locator = locator
        self._attempts = attempts
        self._finisher = finisher
        self._wake = trio.Event()
        self._busy: set[RequestId] = set()
        self._limit = trio.CapacityLimiter(MAX_CONCURRENT_TAKEOVERS)
        shared.membership.subscribe(self._handle_member_change)
        attempts.on_claim_denied = self._handle_claim_denied

    def _handle_member_change(self, member: Member) -> None:
        if member.state is not MemberState.ALIVE:
            self._repair(member.host)
        self._wake.set()

    def _repair(self, host: HostId) -> None:
        """Replace a replica that no longer accepts copies."""
        for answer in self._replicator.list_answers():
            record = answer.record
            if host in record.replicas and record.ended is None:
                self._replicator.reassign_replicas(answer)

    async def run(self) -> None:
        """Search for records whose owner has departed, until cancelled."""
        while True:
            with trio.move_on_after(SWEEP_INTERVAL):
                await self._wake.wait()
            self._wake = trio.Event()
            if not self._shared.leaving:
                await self._sweep()

    async def _sweep(self) -> None:
        by_owner: dict[tuple[HostId, Incarnation], list[Record]] = {}
        for record in self._shared.table.list_live():
            if record.ended is None and self._is_responsible(record):
                owner = record.ballot.host, record.ballot.incarnation
                by_owner.setdefault(owner, []).append(record)
        await self._check_stale_records()
        for (host, incarnation), records in by_owner.items():
            if await self._is_silent(host, incarnation, records[0]):
                for record in records:
                    self._busy.add(record.request)
                    self._shared.jobs.start(self._take_over, record)

    async def _check_stale_records(self) -> None:
        now = self._shared.clock()
        for record in self._shared.table.list_live():
            is_stale = (
                record.ended is None
                and record.last_update_at < now - STALE_RECORD_TIMEOUT
            )
            if not is_stale or self._shared.is_local_ballot(record.ballot):
                continue
            if record.request in self._busy:
                continue
            record.last_update_at = now
            self._busy.add(record.request)
            self._shared.jobs.start(self._check_stale_record, record)

    async def _check_stale_record(self, record: Record) -> None:
        try:
            async with self._limit:
                message = wire.Find(request=record.request)
                reply = await self._shared.call(record.ballot.host, message)
        finally:
            self._busy.discard(record.request)
        if isinstance(reply, Failure):
            return
        if reply.found and reply.record.owner == record.ballot.host:
            # The message with the end was lost. Without it the copy would stay live,
            # and callers that find it would wait for an answer.
            if reply.ended is not None and self._can_take_over(record):
                ended = decode_end(reply.ended)
                self._shared.table.end(record, ended, self._shared.clock())
            return
        if reply.found:
            self._shared.table.store(decode_record(reply.record), self._shared.clock())
            return
        self._shared.metrics.add("requests_orphaned")
        self._busy.add(record.request)
        await self._take_over(record, is_orphan=True)

    def _is_responsible(self, record: Record) -> bool:
        """Whether this host must take a record over.

        That is so if its owner and all replicas listed before this host are down.
        """
        if record.request in self._busy or self._is_owner_live(record.ballot):
            return False
        for host in record.replicas:
            if host == self._shared.local_member.host:
                return True
            member = self._shared.membership.find(host)
            if member is not None and member.accepts_work:
                return False
        return True

    def _is_owner_live(self, ballot: Ballot) -> bool:
        if self._shared.is_local_ballot(ballot):
            return True
        member = self._shared.membership.find(ballot.host)
        if member is None or member.incarnation > ballot.incarnation:
            return False
        return member.state in (MemberState.ALIVE, MemberState.LEAVING)

    async def _is_silent(
        self, host: HostId, incarnation: Incarnation, record: Record
    ) -> bool:
        """Whether an owner does not reply to a direct query; suspicion may be wrong."""
        member = self._shared.find_live(host)
        if member is None or member.incarnation != incarnation:
            return True
        return await self._locator.query_host(host, record.request) is None

    async def _take_over(self, record: Record, is_orphan: bool = False) -> None:
        try:
            async with self._limit:
                await self._take_over_record(record, is_orphan)
        finally:
            self._busy.discard(record.request)

    async def _take_over_record(self, record: Record, is_orphan: bool) -> None:
        others = [h for h in record.replicas if h != self._shared.local_member.host]
        answered = await self._collect_copies(record, others)
        if not self._can_take_over(record):
            return
        if self._is_owner_live(record.ballot) and not is_orphan:
            return
        previous_owner = record.ballot.host
        take_ownership(
            record,
            self._shared.make_ballot(record.request),
            keep_generation=answered,
        )
        record.maybe_run = True
        if answered and not await self._announce_takeover(record, others):
            answered = False
            renew_generation(record)
        if not self._can_take_over(record):
            return
        self._replicator.assign_replicas(record)
        answer = Answer(record)
        answer.former_replicas = set(others)
        answer.visible_tokens = len(record.tokens) if answered else 0
        if answered and answer.replace_replicas(set(others)):
            renew_generation(record)
        self._replicator.add(answer)
        self._shared.metrics.add("requests_taken_over")
        log.info(
            "request {}: taken over from {}, which is gone; {}",
            record.request,
            previous_owner,
            "all replicas answered" if answered else "a replica did not answer",
        )
        if not record.replicas:
            answer.detach()
        self._replicator.queue_update(answer)
        answer.accepted.set()
        self.resume(answer)

    def _can_take_over(self, record: Record) -> bool:
        is_stored = self._shared.table.find(record.request) is record
        return is_stored and record.ended is None and not self._shared.leaving

    async def _announce_takeover(self, record: Record, others: list[HostId]) -> bool:
        """Send the takeover to the other replicas.

        Until they have stored it, an old owner that was only paused can store more
        tokens on one of them and show them to its callers. An answer that continued
        without those tokens under the same generation would mix two answers.

        Returns:
            Whether all of them have stored the new ownership.
        """
        missing: list[HostId] = []

        async def announce(host: HostId) -> None:
            reply = await self._shared.call(host, make_replicate_message(record))
            if isinstance(reply, Failure) or not reply.stored:
                missing.append(host)

        async with trio.open_nursery() as nursery:
            for host in others:
                nursery.start_soon(announce, host)
        return not missing

    def resume(self, answer: Answer) -> None:
        """Continue a request that this host now owns; wait for its claim if needed."""
        record = answer.record
        if record.idempotent or record.claimed:
            self._attempts.queue(answer)
        else:
            self._attempts.park(answer)

    async def _collect_copies(self, record: Record, others: list[HostId]) -> bool:
        """Merge the copies of other hosts into a record.

        A caller is sent a token after one replica has acknowledged it, so only all
        replicas together are certain to have what callers saw. If one is missing,
        the answer continues under a new generation. The other candidate hosts of
        the key are queried as well: the request may have ended long ago under an
        owner that this copy's owner, partitioned or paused, never learned of.

        Returns:
            Whether all the replicas sent their copy.
        """
        candidates = make_preference_list(
            record.request, self._shared.membership.members()
        )
        queried = {self._shared.local_member.host}
        answered: set[HostId] = set()
        hosts = {
            *others,
            *(m.host for m in candidates[: self._shared.query_fanout]),
        } - queried

        async def query(host: HostId) -> None:
            message = wire.Find(request=record.request, with_tokens=True)
            reply = await self._shared.call(host, message)
            if not isinstance(reply, Failure) and reply.found:
                answered.add(host)
                self._merge_copy(record, decode_find_reply(host, reply), others)

        while hosts:
            queried |= hosts
            async with trio.open_nursery() as nursery:
                for host in hosts:
                    nursery.start_soon(query, host)
            hosts = set(others) - queried
        return answered >= set(others)

    def _merge_copy(self, record: Record, found: Located, others: list[HostId]) -> None:
        """Merge a found copy into a record, and its unknown replicas into `others`."""
        remote = found.record
        if remote.ballot == record.ballot:
            known = {*others, self._shared.local_member.host, record.ballot.host}
            others += [host for host in remote.replicas if host not in known]
        now = self._shared.clock()
        if remote.ballot > record.ballot:
            self._shared.table.store(remote, now)
        elif remote.ballot < record.ballot:
            return
        elif remote.ended is not None and record.ended is None:
            record.tokens = remote.tokens
            record.generation = remote.generation
            self._shared.table.end(record, remote.ended, now)
        elif remote.generation == record.generation:
            record.tokens.extend(remote.tokens[len(record.tokens) :])

    def _handle_claim_denied(self, answer: Answer, holder: Ballot) -> None:
        log.info(
            "request {}: its claim is held by {}, epoch {}",
            answer.record.request,
            holder.host,
            holder.epoch,
        )
        self._shared.jobs.start(self._wait_for_holder, answer, holder)

    async def _wait_for_holder(self, answer: Answer, holder: Ballot) -> None:
        """Wait for the answer from the host that holds a request's claim.

        Only the holder may have sent the request. While it is live its answer can
        still arrive; after it has departed, no host knows whether the request ran.
        """
        record = answer.record
        record.maybe_run = True
        while not answer.lost and record.ended is None:
            if self._shared.clock() > record.deadline + HOLDER_GRACE:
                self._finisher.fail(answer, make_holder_lost_failure("does not answer"))
                return
            member = self._shared.find_live(holder.host)
            if member is None or member.incarnation != holder.incarnation:
                await self._resolve_without_holder(answer)
                return
            if self._shared.is_local_ballot(holder):
                # An earlier ballot of this process released the claim, but the release
                # is not written yet. Claiming without a pause would use up the write
                # budget that the release needs.
                await trio.sleep(HOLDER_POLL_INTERVAL)
                self._attempts.park(answer)
                return
            found = await self._locator.query_host(holder.host, record.request, True)
            if found is not None and found.record.outcome is Outcome.DONE:
                self._adopt_answer(answer, found.record)
                return
            if found is not None and self._shared.is_local_ballot(found.record.ballot):
                found = None
            if found is None and not await self._is_holder_silent(holder):
                self._attempts.park(answer)
                return
            await trio.sleep(HOLDER_POLL_INTERVAL)

    async def _resolve_without_holder(self, answer: Answer) -> None:
        """Search for the answer of a departed claim holder, or fail the request.

        The answer may be stored on a host that is slow at the moment, although this
        host never received it. Callers act on "unknown", so it is sent only when
        every host that may have the answer has replied or departed.
        """
        record = answer.record
        limit = min(record.deadline, self._shared.clock() + COPY_TIMEOUT)
        hosts = frozenset(answer.former_replicas.union(record.replicas))
        while not answer.lost and record.ended is None:
            search = await self._locator.find_complete_answer(record.request, hosts)
            if search.record is not None:
                log.info("request {}: its answer was found", record.request)
                self._adopt_answer(answer, search.record)
            elif search.is_conclusive or self._shared.clock() > limit:
                self._finisher.fail(answer, make_holder_lost_failure("is gone"))
            else:
                await trio.sleep(HOLDER_POLL_INTERVAL)

    async def _is_holder_silent(self, holder: Ballot) -> bool:
        member = self._shared.find_live(holder.host)
        return member is None or member.state is not MemberState.ALIVE

    def _adopt_answer(self, answer: Answer, remote: Record) -> None:
        record = answer.record
        if answer.lost or record.ended is not None or remote.ended is None:
            return
        record.tokens = remote.tokens
        renew_generation(record)
        answer.acked_tokens.clear()
        answer.visible_tokens = 0
        self._finisher.adopt_end(answer, remote.ended)


def make_holder_lost_failure(reason: str) -> Failure:
    """Return the failure of a request whose claim is held by another, lost host."""
    return Failure(
        ResultCode.HOLDER_LOST, f"the host that holds the call {reason}", 2.0
    )
