"""The records that one host holds, and what it answers about them. Pure state."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from dewridge.codes import Outcome, ResultCode
from dewridge.ids import Generation, HostId, RequestId
from dewridge.requests.model import EndedEvent
from dewridge.requests.records import Ballot, Record


@dataclass(frozen=True, slots=True)
class Closed:
    """A refusal that holds for all submission numbers up to one."""

    number: int
    ended: EndedEvent
    epoch: int
    at: float


@dataclass(frozen=True, slots=True)
class StoreReply:
    """What became of a record that was offered to this host.

    Attributes:
        known: a record of another ownership that stands against it.
        ended: the end that stands against it.
    """

    stored: bool
    known: Record | None = None
    ended: EndedEvent | None = None


class RunReply(Enum):
    """What became of tokens that were sent to this host."""

    APPLIED = "applied"
    UNKNOWN = "unknown"
    SUPERSEDED = "superseded"


@dataclass(frozen=True, slots=True)
class TokenRun:
    """Tokens of one ownership's generation, from an offset on."""

    request: RequestId
    ballot: Ballot
    generation: Generation
    offset: int
    tokens: tuple[str, ...]
    ended: EndedEvent | None = None
    number: int = 0


class RecordTable:
    """All records that this host holds, as owner or as replica.

    A host holds at most one record of a request: that of the greatest ballot
    it has heard of. `on_replaced` is told when a record gives way to another.
    """

    def __init__(self, me: HostId) -> None:
        self._me = me
        self._records: dict[RequestId, Record] = {}
        self._live: dict[RequestId, Record] = {}
        self._closed: dict[RequestId, Closed] = {}
        self._epochs: dict[RequestId, tuple[int, float]] = {}
        self.on_replaced: Callable[[Record, Record | None], None] = lambda *_: None
        self.on_stored: Callable[[Record], None] = lambda _: None

    def __len__(self) -> int:
        return len(self._records)

    def find(self, request: RequestId) -> Record | None:
        """Return the record held, in whatever state."""
        return self._records.get(request)

    def find_closed_submissions(self, request: RequestId) -> Closed | None:
        """Return the refusal remembered, if there is one."""
        return self._closed.get(request)

    def list_records(self) -> list[Record]:
        """Return all records."""
        return list(self._records.values())

    def list_live(self) -> list[Record]:
        """Return the records that go on, whoever owns them.

        They are kept apart: of a host's tens of thousands of records most have
        ended, and the owners of the others are looked at twice a second.
        """
        for request, record in list(self._live.items()):
            if record.ended is not None or self._records.get(request) is not record:
                del self._live[request]
        return list(self._live.values())

    def list_own(self) -> Iterator[Record]:
        """Return the records that go on under this host's ownership."""
        return (r for r in self.list_live() if r.ballot.host == self._me)

    def put(self, record: Record) -> None:
        """Hold this host's own record, in place of any other."""
        before = self._records.get(record.request)
        self._records[record.request] = record
        self._live[record.request] = record
        if before is not None and before is not record:
            self.on_replaced(before, record)

    def drop(self, request: RequestId, ballot: Ballot, now: float) -> None:
        """Forget the record of an ownership that was taken back."""
        record = self._records.get(request)
        if record is not None and record.ballot == ballot:
            self.drop_superseded(record, now)

    def drop_superseded(self, record: Record, now: float) -> None:
        """Forget a live record that gave way to another ownership.

        Its epoch is kept in mind: a later ownership by this process must not
        be taken for this one, since callers may hold tokens of its generation.
        """
        if self._records.get(record.request) is record and record.ended is None:
            del self._records[record.request]
            self._epochs[record.request] = record.ballot.epoch, now
            self.on_replaced(record, None)

    def store(self, offered: Record, now: float, supersedes: int = 0) -> StoreReply:
        """Hold another host's record, or say what stands against it.

        A refusal stands against a record that is still being accepted only:
        one that was accepted elsewhere first makes the refusal unconfirmed.

        Args:
            offered: the record.
            now: seconds since 1970.
            supersedes: epoch up to which live records of other owners give way to
                one that is still being accepted; its owner has asked them.
        """
        closed = self._closed.get(offered.request)
        is_closed = closed is not None and offered.number <= closed.number
        if closed is not None and is_closed and offered.pending:
            return StoreReply(stored=False, ended=closed.ended)
        have = self._records.get(offered.request)
        if have is None or self._gives_way(have, offered, supersedes):
            self._replace(have, offered, now)
            return StoreReply(stored=True)
        if have.ballot == offered.ballot:
            return StoreReply(stored=True)
        return StoreReply(stored=False, known=have, ended=have.ended)

    def _gives_way(self, have: Record, offered: Record, supersedes: int) -> bool:
        if have.ended is not None:
            return self._end_gives_way(have, offered)
        if offered.ballot == have.ballot:
            return offered.ended is not None or self._is_newer(have, offered)
        if offered.pending and supersedes < have.ballot.epoch:
            return False
        if is_late_answer(have, offered):
            return True
        return offered.ballot > have.ballot and not self._lacks_tokens(have, offered)

    @staticmethod
    def _lacks_tokens(have: Record, offered: Record) -> bool:
        """Whether a successor would go on from less than callers may have seen."""
        if offered.ended is not None or offered.generation != have.generation:
            return False
        return len(offered.tokens) < len(have.tokens)

    @staticmethod
    def _is_newer(have: Record, offered: Record) -> bool:
        if offered.generation != have.generation:
            return offered.renewals >= have.renewals
        return len(offered.tokens) >= len(have.tokens)

    @staticmethod
    def _end_gives_way(have: Record, offered: Record) -> bool:
        if have.outcome is Outcome.NOT_RUN:
            return offered.number > have.number
        if offered.number > have.number and may_reopen(have):
            return True
        return is_late_answer(have, offered)

    def _replace(self, have: Record | None, offered: Record, now: float) -> None:
        self._records[offered.request] = offered
        self._live[offered.request] = offered
        offered.touched = now
        if offered.ended is not None:
            offered.end(offered.ended, now)
            self._remember_refusal(offered, now)
        if have is not None:
            self.on_replaced(have, offered)
        self.on_stored(offered)

    def append(self, run: TokenRun, now: float) -> RunReply:
        """Add tokens of the ownership that this host knows."""
        have = self._records.get(run.request)
        if have is None:
            return RunReply.UNKNOWN
        if have.ballot != run.ballot:
            is_old = run.ballot < have.ballot
            return RunReply.SUPERSEDED if is_old else RunReply.UNKNOWN
        have.touched = now
        if have.ended is not None:
            return RunReply.APPLIED
        if have.generation != run.generation or run.offset > len(have.tokens):
            return RunReply.UNKNOWN
        have.maybe_run = True
        fresh = run.tokens[len(have.tokens) - run.offset :]
        have.tokens.extend(fresh)
        if run.ended is not None:
            have.number = max(have.number, run.number)
            self.end(have, run.ended, now)
        return RunReply.APPLIED

    def end(self, record: Record, ended: EndedEvent, now: float) -> None:
        """End a record that this host holds."""
        record.end(ended, now)
        self._remember_refusal(record, now)

    def _remember_refusal(self, record: Record, now: float) -> None:
        if record.ended is not None and record.outcome is Outcome.NOT_RUN:
            self._close(record.request, record.number, record.ended, record.ballot, now)

    def close_submissions(
        self,
        request: RequestId,
        number: int,
        ended: EndedEvent,
        ballot: Ballot,
        now: float,
    ) -> Record | None:
        """Close submissions up to a number; returns the record that forbids it.

        A record of the closing ownership itself ends. One of another goes on:
        the refusal would then be a lie, since that owner may run the request.
        """
        have = self._records.get(request)
        if have is not None:
            own = have.ballot.is_same_process(ballot) and have.ballot <= ballot
            if have.ended is None and not own:
                return have
            if have.ended is None:
                have.number = max(have.number, number)
                self.end(have, ended, now)
            elif have.outcome is not Outcome.NOT_RUN:
                return have
        self._close(request, number, ended, ballot, now)
        return None

    def _close(
        self,
        request: RequestId,
        number: int,
        ended: EndedEvent,
        ballot: Ballot,
        now: float,
    ) -> None:
        before = self._closed.get(request)
        if before is None or before.number < number:
            self._closed[request] = Closed(number, ended, ballot.epoch, now)

    def find_max_epoch(self, request: RequestId) -> int:
        """Return the greatest epoch heard of for a request; 0 for none."""
        record = self._records.get(request)
        closed = self._closed.get(request)
        return max(record.ballot.epoch if record else 0, closed.epoch if closed else 0)

    def prune(self, now: float, retention: float, limit: int) -> int:
        """Forget what ended longer ago than the retention, or exceeds a size.

        Memory is the limit's reason: at 100 answers a second of 1 kB and 15
        minutes a host would hold 90 MB, more than its whole allowance. Answers
        that may be computed again go first, oldest first; of the others, the
        end stays so that the caller hears "unknown" and never a second run.
        """
        ended = [r for r in self._records.values() if r.ended is not None]
        for record in ended:
            if record.ended_at < now - retention:
                del self._records[record.request]
        for request, closed in list(self._closed.items()):
            if closed.at < now - retention:
                del self._closed[request]
        for request, (_, at) in list(self._epochs.items()):
            if at < now - retention:
                del self._epochs[request]
        return self._shrink(limit)

    def _shrink(self, limit: int) -> int:
        ended = [r for r in self._records.values() if r.ended is not None]
        size = sum(record.size for record in ended)
        if size <= limit:
            return 0
        ended.sort(key=lambda record: (not record.idempotent, record.ended_at))
        evicted = 0
        for record in ended:
            if size <= limit:
                break
            size -= record.size
            evicted += 1
            if record.idempotent:
                del self._records[record.request]
            else:
                self._empty(record)
                size += record.size
        return evicted

    @staticmethod
    def _empty(record: Record) -> None:
        if record.outcome in (Outcome.DONE, Outcome.FAILED):
            record.ended = EndedEvent(
                ResultCode.OUTCOME_UNKNOWN, "the call ran; its answer is kept no longer"
            )
        record.tokens = []
        record.size = record.count_bytes()

    def count(self) -> dict[str, int]:
        """Return sizes for a dump."""
        records = self._records.values()
        live = self.list_live()
        own = [record for record in live if record.ballot.host == self._me]
        return {
            "records": len(self._records),
            "live": len(live),
            "owned": len(own),
            "closed_submissions": len(self._closed),
            "tokens": sum(len(record.tokens) for record in records),
        }


def is_late_answer(have: Record, offered: Record) -> bool:
    """Whether a holder brings the whole answer of a call given up as unknown.

    A call that may not be repeated ran at most once, so whoever has its whole
    answer has the only one; better late than unknown.
    """
    if have.idempotent or offered.ended is None:
        return False
    gave_up = have.ended is None or have.outcome is Outcome.UNKNOWN
    return gave_up and offered.outcome is Outcome.DONE


def may_reopen(record: Record) -> bool:
    """Whether a later submission may try a request again that ended unknown.

    An idempotent one may simply run again. One whose holder was lost, or that was
    given up unsent, may ask for the claim again: it is granted only if nobody
    holds it, or its holder released it unsent.
    """
    if record.ended is None or record.outcome is not Outcome.UNKNOWN:
        return False
    is_lost = record.ended.code is ResultCode.HOLDER_LOST
    is_unsent = not record.maybe_run or not record.attempts
    return record.idempotent or is_lost or is_unsent
