"""Taking over the requests of hosts that died or were cut off."""

import trio
from loguru import logger as log

from dewridge.codes import Outcome, ResultCode
from dewridge.ids import HostId, Incarnation, RequestId
from dewridge.membership.model import Member, MemberState
from dewridge.membership.ranking import make_preference_list
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.answers import Answer, adopt, renew_generation
from dewridge.requests.attempts import Attempts
from dewridge.requests.codec import decode_end, decode_record
from dewridge.requests.ending import Ender
from dewridge.requests.locating import Located, Locator, decode_found
from dewridge.requests.records import Ballot, Record
from dewridge.requests.replication import Replicator, make_copy
from dewridge.requests.shared import Shared
from dewridge.sentinels import Failure

SWEEP_PERIOD = 0.5
"""Seconds between two looks for records whose owner is gone, besides the looks on
each change of the membership; it catches copies that arrive late."""
ORPHAN_AFTER = 5.0
"""Seconds without news of a record after which its live owner is asked whether it
still knows it. An owner that gave it up without being heard would otherwise
leave a request that nobody runs and whose caller waits for ever."""
TAKEOVERS_AT_ONCE = 16
"""Takeovers side by side. After a failure domain's loss a host takes over
thousands; all at once their calls would time out and be repeated."""
HOLDER_POLL = 0.2
HOLDER_PATIENCE = 5.0
"""Seconds past a call's deadline that its live holder is waited for."""

COPY_PATIENCE = 5.0
"""Seconds that a copy on a silent host is waited for; by then a host that is up has
refuted the suspicion and one that is not counts as dead."""


class Failover:
    """Watches the owners of the records kept here."""

    def __init__(
        self,
        shared: Shared,
        *,
        replicator: Replicator,
        locator: Locator,
        attempts: Attempts,
        ender: Ender,
    ) -> None:
        self._shared = shared
        self._replicator = replicator
        self._locator = locator
        self._attempts = attempts
        self._ender = ender
        self._wake = trio.Event()
        self._busy: set[RequestId] = set()
        self._limit = trio.CapacityLimiter(TAKEOVERS_AT_ONCE)
        shared.membership.subscribe(self._note_member)
        attempts.on_claim_denied = self._note_denied

    def _note_member(self, member: Member) -> None:
        if member.state is not MemberState.ALIVE:
            self._repair(member.host)
        self._wake.set()

    def _repair(self, host: HostId) -> None:
        """Replace a replica that no longer takes copies."""
        for answer in self._replicator.list_answers():
            record = answer.record
            if host in record.replicas and record.ended is None:
                self._replicator.repair(answer)

    async def run(self) -> None:
        """Look for records whose owner is gone until cancelled."""
        while True:
            with trio.move_on_after(SWEEP_PERIOD):
                await self._wake.wait()
            self._wake = trio.Event()
            if not self._shared.leaving:
                await self._sweep()

    async def _sweep(self) -> None:
        by_owner: dict[tuple[HostId, Incarnation], list[Record]] = {}
        for record in self._shared.table.list_live():
            if record.ended is None and self._falls_to_me(record):
                owner = record.ballot.host, record.ballot.incarnation
                by_owner.setdefault(owner, []).append(record)
        await self._check_quiet_records()
        for (host, incarnation), records in by_owner.items():
            if await self._is_silent(host, incarnation, records[0]):
                for record in records:
                    self._busy.add(record.request)
                    self._shared.jobs.start(self._take_over, record)

    async def _check_quiet_records(self) -> None:
        now = self._shared.clock()
        for record in self._shared.table.list_live():
            is_quiet = (
                record.ended is None and record.last_update_at < now - ORPHAN_AFTER
            )
            if not is_quiet or self._shared.is_local_ballot(record.ballot):
                continue
            if record.request in self._busy:
                continue
            record.last_update_at = now
            self._busy.add(record.request)
            self._shared.jobs.start(self._check_quiet, record)

    async def _check_quiet(self, record: Record) -> None:
        try:
            async with self._limit:
                message = wire.Find(request=record.request)
                reply = await self._shared.call(record.ballot.host, message)
        finally:
            self._busy.discard(record.request)
        if isinstance(reply, Failure):
            return
        if reply.found and reply.record.owner == record.ballot.host:
            # The word of the end was lost on its way here. Without it the copy would
            # stay live, and callers who find it would wait for an answer.
            if reply.ended is not None and self._is_mine_to_take(record):
                ended = decode_end(reply.ended)
                self._shared.table.end(record, ended, self._shared.clock())
            return
        if reply.found:
            self._shared.table.store(decode_record(reply.record), self._shared.clock())
            return
        self._shared.metrics.add("requests_orphaned")
        self._busy.add(record.request)
        await self._take_over(record, is_orphan=True)

    def _falls_to_me(self, record: Record) -> bool:
        """Whether this host is the first live one to take a record over."""
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
        """Ask a suspected owner once more; suspicion may be an error."""
        member = self._shared.find_live(host)
        if member is None or member.incarnation != incarnation:
            return True
        return await self._locator.ask(host, record.request) is None

    async def _take_over(self, record: Record, is_orphan: bool = False) -> None:
        try:
            async with self._limit:
                await self._take_over_one(record, is_orphan)
        finally:
            self._busy.discard(record.request)

    async def _take_over_one(self, record: Record, is_orphan: bool) -> None:
        others = [h for h in record.replicas if h != self._shared.local_member.host]
        answered = await self._gather(record, others)
        if not self._is_mine_to_take(record):
            return
        if self._is_owner_live(record.ballot) and not is_orphan:
            return
        before = record.ballot.host
        adopt(
            record,
            self._shared.make_ballot(record.request),
            keep_generation=answered,
        )
        record.maybe_run = True
        if answered and not await self._announce(record, others):
            answered = False
            renew_generation(record)
        if not self._is_mine_to_take(record):
            return
        self._replicator.choose(record)
        answer = Answer(record)
        answer.former = set(others)
        answer.visible = len(record.tokens) if answered else 0
        if answered and answer.replace_replicas(set(others)):
            renew_generation(record)
        self._replicator.add(answer)
        self._shared.metrics.add("requests_taken_over")
        log.info(
            "request {}: taken over from {}, which is gone; {}",
            record.request,
            before,
            "all replicas answered" if answered else "a replica did not answer",
        )
        if not record.replicas:
            answer.detach()
        self._replicator.note(answer)
        answer.accepted.set()
        self.resume(answer)

    def _is_mine_to_take(self, record: Record) -> bool:
        is_held = self._shared.table.find(record.request) is record
        return is_held and record.ended is None and not self._shared.leaving

    async def _announce(self, record: Record, others: list[HostId]) -> bool:
        """Tell the other replicas of the takeover; whether all have taken it.

        Until then the old owner, if it was merely paused, can leave more tokens
        with one of them and show them to its callers; an answer that went on
        without those under the same generation would be a mixture of two.
        """
        refused: list[HostId] = []

        async def tell(host: HostId) -> None:
            reply = await self._shared.call(host, make_copy(record))
            if isinstance(reply, Failure) or not reply.stored:
                refused.append(host)

        async with trio.open_nursery() as nursery:
            for host in others:
                nursery.start_soon(tell, host)
        return not refused

    def resume(self, answer: Answer) -> None:
        """Go on with a request that this host has come to own."""
        record = answer.record
        if record.idempotent or record.claimed:
            self._attempts.queue(answer)
        else:
            self._attempts.park(answer)

    async def _gather(self, record: Record, others: list[HostId]) -> bool:
        """Collect what other hosts have; whether all the replicas answered.

        A token went to a caller after one replica's acknowledgement, so only
        all of them together surely have what callers saw. If one is missing
        the answer goes on under a new generation. The rest of the key's home
        is asked as well: the request may have ended long ago under an owner of
        which this copy's owner, cut off or paused, never heard.
        """
        home = make_preference_list(record.request, self._shared.membership.members())
        asked = {self._shared.local_member.host}
        answered: set[HostId] = set()
        hosts = {*others, *(m.host for m in home[: self._shared.query_fanout])} - asked

        async def ask(host: HostId) -> None:
            message = wire.Find(request=record.request, with_tokens=True)
            reply = await self._shared.call(host, message)
            if not isinstance(reply, Failure) and reply.found:
                answered.add(host)
                self._learn(record, decode_found(host, reply), others)

        while hosts:
            asked |= hosts
            async with trio.open_nursery() as nursery:
                for host in hosts:
                    nursery.start_soon(ask, host)
            hosts = set(others) - asked
        return answered >= set(others)

    def _learn(self, record: Record, found: Located, others: list[HostId]) -> None:
        theirs = found.record
        if theirs.ballot == record.ballot:
            known = {*others, self._shared.local_member.host, record.ballot.host}
            others += [host for host in theirs.replicas if host not in known]
        now = self._shared.clock()
        if theirs.ballot > record.ballot:
            self._shared.table.store(theirs, now)
        elif theirs.ballot < record.ballot:
            return
        elif theirs.ended is not None and record.ended is None:
            record.tokens = theirs.tokens
            record.generation = theirs.generation
            self._shared.table.end(record, theirs.ended, now)
        elif theirs.generation == record.generation:
            record.tokens.extend(theirs.tokens[len(record.tokens) :])

    def _note_denied(self, answer: Answer, holder: Ballot) -> None:
        log.info(
            "request {}: its claim is held by {}, epoch {}",
            answer.record.request,
            holder.host,
            holder.epoch,
        )
        self._shared.jobs.start(self._await_holder, answer, holder)

    async def _await_holder(self, answer: Answer, holder: Ballot) -> None:
        """Wait for the answer of the host that holds a call's claim.

        Only the holder may have sent the call. While it lives its answer can
        come; once it is gone nobody can say whether the call ran.
        """
        record = answer.record
        record.maybe_run = True
        while not answer.lost and record.ended is None:
            if self._shared.clock() > record.deadline + HOLDER_PATIENCE:
                self._ender.give_up(answer, make_holder_lost("does not answer"))
                return
            member = self._shared.find_live(holder.host)
            if member is None or member.incarnation != holder.incarnation:
                await self._settle_without_holder(answer)
                return
            if self._shared.is_local_ballot(holder):
                # An earlier ownership of ours gave the call up; its release is
                # on its way. Asking without a pause would use up the budget of
                # writes that the release needs.
                await trio.sleep(HOLDER_POLL)
                self._attempts.park(answer)
                return
            found = await self._locator.ask(holder.host, record.request, True)
            if found is not None and found.record.outcome is Outcome.DONE:
                self._take_answer(answer, found.record)
                return
            if found is not None and self._shared.is_local_ballot(found.record.ballot):
                found = None
            if found is None and not await self._is_holder_silent(holder):
                self._attempts.park(answer)
                return
            await trio.sleep(HOLDER_POLL)

    async def _settle_without_holder(self, answer: Answer) -> None:
        """Find the answer that a holder left before it went, or say that none is there.

        Its copy may lie on a host that is slow just now, while this host's copy
        never heard of it. A word of "unknown" is believed by callers, so it waits
        until every host that may know better has answered or is gone.
        """
        record = answer.record
        limit = min(record.deadline, self._shared.clock() + COPY_PATIENCE)
        hosts = frozenset(answer.former.union(record.replicas))
        while not answer.lost and record.ended is None:
            whole = await self._locator.find_whole(record.request, hosts)
            if whole.record is not None:
                log.info("request {}: its answer was found", record.request)
                self._take_answer(answer, whole.record)
            elif whole.is_sure or self._shared.clock() > limit:
                self._ender.give_up(answer, make_holder_lost("is gone"))
            else:
                await trio.sleep(HOLDER_POLL)

    async def _is_holder_silent(self, holder: Ballot) -> bool:
        member = self._shared.find_live(holder.host)
        return member is None or member.state is not MemberState.ALIVE

    def _take_answer(self, answer: Answer, theirs: Record) -> None:
        record = answer.record
        if answer.lost or record.ended is not None or theirs.ended is None:
            return
        record.tokens = theirs.tokens
        renew_generation(record)
        answer.acked.clear()
        answer.visible = 0
        self._ender.adopt_end(answer, theirs.ended)


def make_holder_lost(reason: str) -> Failure:
    """Return the failure of a call whose claim another host holds."""
    return Failure(
        ResultCode.HOLDER_LOST, f"the host that holds the call {reason}", 2.0
    )
