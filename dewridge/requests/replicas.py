"""The request records that one host stores, with the rules for replacing them.

The module does no I/O; callers pass the time in.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from sys import getsizeof

from dewridge.codes import Outcome, ResultCode
from dewridge.ids import Generation, HostId, RequestId
from dewridge.requests.model import EndedEvent
from dewridge.requests.records import Ballot, Record


@dataclass(frozen=True, slots=True)
class ClosedSubmissions:
    """A refusal of a request's submissions.

    Attributes:
        number: highest submission number that it applies to.
        ended: the end that refused submissions are answered with.
        epoch: epoch of the ownership that refused them.
        at: when it was recorded, in seconds since 1970.
    """

    number: int
    ended: EndedEvent
    epoch: int
    at: float


@dataclass(frozen=True, slots=True)
class StoreReply:
    """Whether an offered record was stored, and what conflicts with it if not.

    Attributes:
        known: the record of another ownership that conflicts with it.
        ended: the end or the refusal that conflicts with it.
    """

    stored: bool
    known: Record | None = None
    ended: EndedEvent | None = None


class RunReply(Enum):
    """Result of appending tokens that an owner sent.

    UNKNOWN asks the owner for its full record; SUPERSEDED tells it that a newer
    ownership exists.
    """

    APPLIED = "applied"
    UNKNOWN = "unknown"
    SUPERSEDED = "superseded"


@dataclass(frozen=True, slots=True)
class TokenRun:
    """Consecutive tokens of one generation of an answer, as its owner sends them.

    Attributes:
        offset: position of the first token in the answer.
        ended: the end of the request, if these are its last tokens.
        number: highest submission number that the end applies to.
        version: software version of the server that wrote the tokens, if known.
    """

    request: RequestId
    ballot: Ballot
    generation: Generation
    offset: int
    tokens: tuple[str, ...]
    ended: EndedEvent | None = None
    number: int = 0
    version: str | None = None


class RecordTable:
    """All request records that this host stores, as owner or as replica.

    It stores at most one record of a request, usually the one with the greatest
    ballot that it received.

    Attributes:
        on_replaced: called with a record that was replaced or dropped, and with its
            replacement if there is one.
        on_stored: called with each record that another host sent and that was stored.
    """

    def __init__(self, local_host: HostId) -> None:
        self._local_host = local_host
        self._records: dict[RequestId, Record] = {}
        self._live: dict[RequestId, Record] = {}
        self._closed: dict[RequestId, ClosedSubmissions] = {}
        self._dropped_epochs: dict[RequestId, tuple[int, float]] = {}
        self.on_replaced: Callable[[Record, Record | None], None] = lambda *_: None
        self.on_stored: Callable[[Record], None] = lambda _: None

    def __len__(self) -> int:
        return len(self._records)

    def find(self, request: RequestId) -> Record | None:
        """Return the stored record of a request, in any state."""
        return self._records.get(request)

    def find_closed_submissions(self, request: RequestId) -> ClosedSubmissions | None:
        """Return the recorded refusal of a request, if there is one."""
        return self._closed.get(request)

    def list_records(self) -> list[Record]:
        """Return all records."""
        return list(self._records.values())

    def list_live(self) -> list[Record]:
        """Return the records that have not ended, whoever owns them.

        They have an index of their own: most of a host's tens of thousands of
        records have ended, and the owners of the live ones are checked twice a
        second.
        """
        for request, record in list(self._live.items()):
            if record.ended is not None or self._records.get(request) is not record:
                del self._live[request]
        return list(self._live.values())

    def count_input_bytes(self) -> int:
        """Return the memory of the inputs of live records, with a copy of each.

        An input is encoded once more while it is sent.
        """
        return 2 * sum(getsizeof(record.input) for record in self.list_live())

    def list_own(self) -> Iterator[Record]:
        """Return the records that this host owns and that have not ended."""
        return (r for r in self.list_live() if r.ballot.host == self._local_host)

    def put(self, record: Record) -> None:
        """Store a record that this host owns, replacing any other of the request."""
        before = self._records.get(record.request)
        self._records[record.request] = record
        self._live[record.request] = record
        if before is not None and before is not record:
            self.on_replaced(before, record)

    def drop(self, request: RequestId, ballot: Ballot, now: float) -> None:
        """Drop the record of an ownership that its owner withdrew."""
        record = self._records.get(request)
        if record is not None and record.ballot == ballot:
            self.drop_superseded(record, now)

    def drop_superseded(self, record: Record, now: float) -> None:
        """Drop a live record that another ownership superseded.

        Its epoch is stored: a later ownership by this process must not be mistaken
        for this one, since callers may hold tokens of its generation.
        """
        if self._records.get(record.request) is record and record.ended is None:
            del self._records[record.request]
            earlier_epoch, _ = self._dropped_epochs.get(record.request, (0, 0.0))
            epoch = max(earlier_epoch, record.ballot.epoch)
            self._dropped_epochs[record.request] = epoch, now
            self.on_replaced(record, None)

    def store(self, offered: Record, now: float, supersedes: int = 0) -> StoreReply:
        """Store another host's record, or return what conflicts with it.

        A refusal conflicts only with a record that is still being accepted: one that
        another host accepted earlier makes the refusal unconfirmed.

        Args:
            offered: the record.
            now: seconds since 1970.
            supersedes: epoch up to which a record that is still being accepted
                replaces live records of other owners; its owner has queried them.
        """
        closed = self._closed.get(offered.request)
        is_closed = closed is not None and offered.number <= closed.number
        if closed is not None and is_closed and offered.pending:
            return StoreReply(stored=False, ended=closed.ended)
        current = self._records.get(offered.request)
        if current is None or self._yields_to(current, offered, supersedes):
            self._replace(current, offered, now)
            return StoreReply(stored=True)
        if current.ballot == offered.ballot:
            return StoreReply(stored=True)
        return StoreReply(stored=False, known=current, ended=current.ended)

    def _yields_to(self, current: Record, offered: Record, supersedes: int) -> bool:
        if current.ended is not None:
            return self._end_yields_to(current, offered)
        if offered.ballot == current.ballot:
            return offered.ended is not None or self._is_not_older(current, offered)
        if offered.pending and supersedes < current.ballot.epoch:
            return False
        if is_late_answer(current, offered):
            return True
        return offered.ballot > current.ballot and not self._lacks_tokens(
            current, offered
        )

    @staticmethod
    def _lacks_tokens(current: Record, offered: Record) -> bool:
        """Whether the new owner has fewer tokens than callers may have received."""
        if offered.ended is not None or offered.generation != current.generation:
            return False
        return len(offered.tokens) < len(current.tokens)

    @staticmethod
    def _is_not_older(current: Record, offered: Record) -> bool:
        if offered.generation != current.generation:
            return offered.renewals >= current.renewals
        return len(offered.tokens) >= len(current.tokens)

    @staticmethod
    def _end_yields_to(current: Record, offered: Record) -> bool:
        if current.outcome is Outcome.NOT_RUN:
            return offered.number > current.number
        if offered.number > current.number and may_reopen(current):
            return True
        return is_late_answer(current, offered)

    def _replace(self, current: Record | None, offered: Record, now: float) -> None:
        self._records[offered.request] = offered
        self._live[offered.request] = offered
        offered.last_update_at = now
        if offered.ended is not None:
            offered.end(offered.ended, now)
            self._record_refusal(offered, now)
        if current is not None:
            self.on_replaced(current, offered)
        self.on_stored(offered)

    def append(self, run: TokenRun, now: float) -> RunReply:
        """Append tokens if they come from the ownership stored here."""
        current = self._records.get(run.request)
        if current is None:
            return RunReply.UNKNOWN
        if current.ballot != run.ballot:
            is_older = run.ballot < current.ballot
            return RunReply.SUPERSEDED if is_older else RunReply.UNKNOWN
        current.last_update_at = now
        if current.ended is not None:
            return RunReply.APPLIED
        if current.generation != run.generation or run.offset > len(current.tokens):
            return RunReply.UNKNOWN
        current.maybe_run = True
        new_tokens = run.tokens[len(current.tokens) - run.offset :]
        current.tokens.extend(new_tokens)
        current.version = run.version
        if run.ended is not None:
            current.number = max(current.number, run.number)
            self.end(current, run.ended, now)
        return RunReply.APPLIED

    def end(self, record: Record, ended: EndedEvent, now: float) -> None:
        """End a stored record; if it was not run, its submissions are closed."""
        record.end(ended, now)
        self._record_refusal(record, now)

    def _record_refusal(self, record: Record, now: float) -> None:
        if record.ended is not None and record.outcome is Outcome.NOT_RUN:
            self._record_closed(
                record.request, record.number, record.ended, record.ballot, now
            )

    def close_submissions(
        self,
        request: RequestId,
        number: int,
        ended: EndedEvent,
        ballot: Ballot,
        now: float,
    ) -> Record | None:
        """Close submissions up to a number; returns the record that prevents it.

        A live record of the closing process is ended. One of another owner prevents
        it, since that owner may run the request and the refusal would be false.
        """
        current = self._records.get(request)
        if current is not None:
            is_own = current.ballot.is_same_process(ballot) and current.ballot <= ballot
            if current.ended is None and not is_own:
                return current
            if current.ended is None:
                current.number = max(current.number, number)
                self.end(current, ended, now)
            elif current.outcome is not Outcome.NOT_RUN:
                return current
        self._record_closed(request, number, ended, ballot, now)
        return None

    def _record_closed(
        self,
        request: RequestId,
        number: int,
        ended: EndedEvent,
        ballot: Ballot,
        now: float,
    ) -> None:
        before = self._closed.get(request)
        if before is None or before.number < number:
            self._closed[request] = ClosedSubmissions(number, ended, ballot.epoch, now)

    def find_max_epoch(self, request: RequestId) -> int:
        """Return the greatest epoch known for a request; 0 if there is none.

        It includes the ownerships that were dropped within the retention.
        """
        record = self._records.get(request)
        closed = self._closed.get(request)
        dropped_epoch, _ = self._dropped_epochs.get(request, (0, 0.0))
        return max(
            record.ballot.epoch if record else 0,
            closed.epoch if closed else 0,
            dropped_epoch,
        )

    def prune(self, now: float, retention: float, limit: int) -> int:
        """Remove what ended longer ago than the retention, or exceeds a size limit.

        The limit bounds memory: 100 answers of 1 kB a second over 15 minutes are
        90 MB, more than a host's entire allowance. Answers of idempotent requests
        are evicted first, then those of other calls, the oldest first in each group.
        Other calls keep their end, so that callers get "unknown" and no second run
        starts.

        Args:
            now: seconds since 1970.
            retention: seconds for which ended records are stored.
            limit: bytes that ended records may use in total.

        Returns:
            The number of answers that were evicted to keep to the limit.
        """
        ended = [r for r in self._records.values() if r.ended is not None]
        for record in ended:
            if record.ended_at < now - retention:
                del self._records[record.request]
        for request, closed in list(self._closed.items()):
            if closed.at < now - retention:
                del self._closed[request]
        for request, (_, at) in list(self._dropped_epochs.items()):
            if at < now - retention:
                del self._dropped_epochs[request]
        return self._evict_to_limit(limit)

    def _evict_to_limit(self, limit: int) -> int:
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
                self._discard_answer(record)
                size += record.size
        return evicted

    @staticmethod
    def _discard_answer(record: Record) -> None:
        if record.outcome in (Outcome.DONE, Outcome.FAILED):
            record.ended = EndedEvent(
                ResultCode.OUTCOME_UNKNOWN, "the call ran; its answer is kept no longer"
            )
        record.tokens = []
        record.size = record.count_bytes()

    def count(self) -> dict[str, int]:
        """Return counts of records and tokens for a diagnostic dump."""
        records = self._records.values()
        live = self.list_live()
        owned = [record for record in live if record.ballot.host == self._local_host]
        return {
            "records": len(self._records),
            "live": len(live),
            "owned": len(owned),
            "closed_submissions": len(self._closed),
            "tokens": sum(len(record.tokens) for record in records),
        }


def is_late_answer(current: Record, offered: Record) -> bool:
    """Whether the offered record has the complete answer of an abandoned call.

    A non-idempotent call runs at most once, so a complete answer is the only one
    there can be and replaces the outcome "unknown", however late it arrives.
    """
    if current.idempotent or offered.ended is None:
        return False
    is_undecided = current.ended is None or current.outcome is Outcome.UNKNOWN
    return is_undecided and offered.outcome is Outcome.DONE


def may_reopen(record: Record) -> bool:
    """Whether a later submission may retry a request whose outcome is unknown.

    An idempotent request may always run again. A call whose claim holder was lost,
    or that was abandoned before it was sent, may request the claim again: it is
    granted only if no host holds it, or if its holder released it without sending
    the call.
    """
    if record.ended is None or record.outcome is not Outcome.UNKNOWN:
        return False
    is_lost = record.ended.code is ResultCode.HOLDER_LOST
    is_unsent = not record.maybe_run or not record.attempts
    return record.idempotent or is_lost or is_unsent
