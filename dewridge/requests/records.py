"""What is known of one request, and how owners of it are ordered."""

from dataclasses import dataclass, field

import xxhash

from dewridge.codes import TABLE, Outcome, ResultCode
from dewridge.ids import (
    Generation,
    HostId,
    Incarnation,
    OperationName,
    ProfileName,
    RequestId,
    ServiceName,
)
from dewridge.requests.model import EndedEvent, RequestState, Submission

GENERATION_BITS = 16


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """One host's ownership of a request; of two the greater one wins.

    Attributes:
        epoch: raised with each change of owner.
    """

    epoch: int
    host: HostId
    incarnation: Incarnation

    def is_same_process(self, other: "Ballot") -> bool:
        """Whether both are ownerships of one start of one host."""
        return (self.host, self.incarnation) == (other.host, other.incarnation)


def make_generation(ballot: Ballot, renewal: int = 0) -> Generation:
    """Number an answer's token sequence so that no two owners share a number.

    Two owners that were cut off from each other may each generate an answer.
    Under one number a caller that reconnects would be given the start of one
    answer and the end of the other; its text would read as garbled.
    """
    subject = f"{ballot.host}/{ballot.incarnation}/{renewal}"
    low = xxhash.xxh3_64_intdigest(subject.encode()) & ((1 << GENERATION_BITS) - 1)
    return Generation((ballot.epoch << GENERATION_BITS) | low)


def digest_input(service: str, operation: str, text: str) -> int:
    """Return a digest by which a key used for other input is noticed."""
    value: int = xxhash.xxh3_64_intdigest(f"{service}\0{operation}\0{text}".encode())
    return value


@dataclass(slots=True)
class Record:
    """A request with its owner, its state and the tokens of its answer.

    Attributes:
        number: highest submission number that was joined to it.
        pending: its owner has not accepted it yet.
        maybe_run: an attempt may have started; "not run" must not be said.
        renewals: generations begun under the present ballot.
        size: bytes that it holds since its end.
        last_update_at: when this host last heard of it from its owner.
        claim_requested: this process asked for a claim under the present ballot.
    """

    request: RequestId
    service: ServiceName
    operation: OperationName
    number: int
    deadline: float
    input: str
    max_tokens: int
    idempotent: bool
    profile: ProfileName
    accepted_at: float
    ballot: Ballot
    generation: Generation
    digest: int
    replicas: tuple[HostId, ...] = ()
    attempts: int = 0
    recomputed: int = 0
    cost: float = 0.0
    claimed: bool = False
    cache_handle: str | None = None
    pending: bool = False
    maybe_run: bool = False
    tokens: list[str] = field(default_factory=list)
    ended: EndedEvent | None = None
    ended_at: float = 0.0
    renewals: int = 0
    claim_requested: bool = False
    last_update_at: float = 0.0
    size: int = 0

    @property
    def has_all_tokens(self) -> bool:
        """Whether a model's answer lacks nothing but its end."""
        return 0 < self.max_tokens <= len(self.tokens)

    @property
    def outcome(self) -> Outcome:
        """What its end says, or that it goes on."""
        return Outcome.RUNNING if self.ended is None else TABLE[self.ended.code].outcome

    @property
    def state(self) -> RequestState:
        """Return the state shown to callers."""
        if self.ended is None:
            return RequestState.RUNNING if self.maybe_run else RequestState.QUEUED
        return find_state(self.ended.code)

    def end(self, event: EndedEvent, now: float) -> None:
        """Close the record; the input is no longer needed."""
        self.ended = event
        self.ended_at = now
        self.pending = False
        self.input = ""
        self.size = self.count_bytes()

    def count_bytes(self) -> int:
        """Return about how much memory the record holds."""
        body = len(self.ended.body) if self.ended else 0
        return 600 + len(self.input) + body + sum(len(t) + 50 for t in self.tokens)


def find_state(code: ResultCode) -> RequestState:
    """Return the state shown to callers for a final code."""
    states = {
        Outcome.DONE: RequestState.DONE,
        Outcome.NOT_RUN: RequestState.REFUSED,
        Outcome.UNKNOWN: RequestState.UNKNOWN,
    }
    return states.get(TABLE[code].outcome, RequestState.FAILED)


def make_record(
    submission: Submission,
    request: RequestId,
    ballot: Ballot,
    *,
    idempotent: bool,
    profile: ProfileName,
    now: float,
) -> Record:
    """Begin a record for a submission under a new ownership."""
    return Record(
        request=request,
        service=submission.service,
        operation=submission.operation,
        number=submission.number,
        deadline=submission.deadline,
        input=submission.input,
        max_tokens=submission.max_tokens,
        idempotent=idempotent,
        profile=profile,
        accepted_at=now,
        ballot=ballot,
        generation=make_generation(ballot),
        digest=digest_input(submission.service, submission.operation, submission.input),
        pending=True,
    )
