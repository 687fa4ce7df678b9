"""Records of requests, and ballots that order their owners."""

from dataclasses import dataclass, field

import xxhash

from dewridge.codes import CODE_TABLE, Outcome, ResultCode
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

GENERATION_HASH_BITS = 16
"""Number of low bits of a generation that hold a hash; the epoch is above them."""


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """One host's ownership of a request; the greatest ballot takes precedence.

    Attributes:
        epoch: increases with each change of owner.
    """

    epoch: int
    host: HostId
    incarnation: Incarnation

    def is_same_process(self, other: "Ballot") -> bool:
        """Whether both belong to the same incarnation of the same host."""
        return (self.host, self.incarnation) == (other.host, other.incarnation)


def make_generation(ballot: Ballot, renewal: int = 0) -> Generation:
    """Return a number for an answer's token sequence that differs between owners.

    Two owners that are partitioned from each other may each generate an answer.
    If both used the same number, a caller that reconnects would receive the start
    of one answer and the rest of the other, a garbled text.
    """
    subject = f"{ballot.host}/{ballot.incarnation}/{renewal}"
    low = xxhash.xxh3_64_intdigest(subject.encode()) & ((1 << GENERATION_HASH_BITS) - 1)
    return Generation((ballot.epoch << GENERATION_HASH_BITS) | low)


def digest_input(service: str, operation: str, text: str) -> int:
    """Return a digest that detects the reuse of a key with different input."""
    value: int = xxhash.xxh3_64_intdigest(f"{service}\0{operation}\0{text}".encode())
    return value


@dataclass(slots=True)
class Record:
    """A request with its owner, its state and the tokens of its answer.

    Attributes:
        number: highest submission number that is attached to it.
        pending: its owner has not accepted it yet.
        maybe_run: an attempt may have started, so that it can't end as "not run".
        renewals: number of times the generation was renewed under this ballot.
        version: software version of the server that wrote the tokens; None if there are
            none, or if an earlier build of this host wrote the record.
        size: bytes of memory it occupies; set when it ends.
        last_update_at: when this host last received an update from its owner.
        claim_requested: this process requested a claim under this ballot.
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
    version: str | None = None
    size: int = 0

    @property
    def has_all_tokens(self) -> bool:
        """Whether a model's answer is complete except for its end."""
        return 0 < self.max_tokens <= len(self.tokens)

    def may_continue_at(self, version: str) -> bool:
        """Whether a server of a version may continue the answer.

        What two versions generate does not fit together.
        """
        return not self.tokens or (self.version or "") == version

    @property
    def outcome(self) -> Outcome:
        """The outcome of its end, or RUNNING if it has not ended."""
        return (
            Outcome.RUNNING
            if self.ended is None
            else CODE_TABLE[self.ended.code].outcome
        )

    @property
    def state(self) -> RequestState:
        """Return the state shown to callers."""
        if self.ended is None:
            return RequestState.RUNNING if self.maybe_run else RequestState.QUEUED
        return find_state(self.ended.code)

    def end(self, event: EndedEvent, now: float) -> None:
        """Mark the record as ended and discard its input, which is no longer needed."""
        self.ended = event
        self.ended_at = now
        self.pending = False
        self.input = ""
        self.size = self.count_bytes()

    def count_bytes(self) -> int:
        """Return an estimate of the memory that the record occupies."""
        body = len(self.ended.body) if self.ended else 0
        return 600 + len(self.input) + body + sum(len(t) + 50 for t in self.tokens)


def find_state(code: ResultCode) -> RequestState:
    """Return the state shown to callers for a final code."""
    states = {
        Outcome.DONE: RequestState.DONE,
        Outcome.NOT_RUN: RequestState.REFUSED,
        Outcome.UNKNOWN: RequestState.UNKNOWN,
    }
    return states.get(CODE_TABLE[code].outcome, RequestState.FAILED)


def make_record(
    submission: Submission,
    request: RequestId,
    ballot: Ballot,
    *,
    idempotent: bool,
    profile: ProfileName,
    now: float,
) -> Record:
    """Return a new pending record for a submission under a ballot."""
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
