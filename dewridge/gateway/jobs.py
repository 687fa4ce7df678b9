"""One request on its way through attempts."""

from dataclasses import dataclass, field
from functools import cached_property

from dewridge.gateway.digests import make_digest
from dewridge.gateway.model import Account, CallerRequest, Route, ServerRecord
from dewridge.ids import BackendServerId, RequestDigest, ServiceName
from dewridge.platform.engines import CacheCopy

PRIORITY_STEP = 3
"""Weight of the account's priority before the route's in the engines' scale of ten."""


@dataclass(frozen=True, slots=True)
class NextStep:
    """A server that goes on with a stopped run, and the memory it goes on from."""

    server: ServerRecord
    memory: CacheCopy


@dataclass
class Job:
    """One request on its way.

    Attributes:
        request: the caller's request.
        route: its route.
        account: whose it is; None on an anonymous route.
        service: the service chosen for it.
        deadline: steady time at which it is given up.
        is_engine: whether model engines serve it.
        tried: servers that it was sent to.
        runs: sendings that may have run.
        last_event: last event passed on, or after which the caller resumes.
        sent_at: steady time of the last sending.
        begun_at: steady time of its first event; None without one.
        rejections: sendings that servers refused.
        may_have_run: whether some server may have run it.
        is_counted: whether it counts in its account's usage.
        unread_tokens: tokens of the prompt that the server likely has yet to read.
        timed_from: steady time of a sending to an idle engine, by which its pace is
            learned; None for any other.
        keeper: address of a server that likely keeps the prompt's shared part.
        events: events passed on.
        first_event_at: steady time of the first one.
        last_event_at: steady time of the last one.
        next_step: where and from which memory a stopped run goes on.
        last_resort: the same if that server does not take it.
        was_moved: whether it has been stopped and moved; never to be begun anew then.
    """

    request: CallerRequest
    route: Route
    account: Account | None
    service: ServiceName
    deadline: float
    is_engine: bool
    tried: list[BackendServerId] = field(default_factory=list)
    sent_at: float = float("-inf")
    begun_at: float | None = None
    rejections: int = 0
    runs: int = 0
    last_event: int | None = None
    may_have_run: bool = False
    is_counted: bool = False
    unread_tokens: int = 0
    timed_from: float | None = None
    keeper: str | None = None
    events: int = 0
    first_event_at: float | None = None
    last_event_at: float | None = None
    next_step: "NextStep | None" = None
    last_resort: "NextStep | None" = None
    was_moved: bool = False

    def __post_init__(self) -> None:
        """Take over the event after which the caller resumes."""
        if self.route.is_resumable:
            self.last_event = self.request.last_event

    @cached_property
    def digest(self) -> RequestDigest:
        """What names the request's content; worked out when it is first asked for."""
        return make_digest(self.request, self.account.name if self.account else None)


def find_priority(job: Job) -> int:
    """Return the urgency for the engine: the account's, then the route's."""
    account = job.account.priority if job.account else None
    if account is None:
        return min(9, job.route.priority)
    return min(9, account * PRIORITY_STEP + min(PRIORITY_STEP - 1, job.route.priority))
