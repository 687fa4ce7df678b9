"""The requests of callers that this host is serving, and how far each of them is."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum

import trio

from dewridge.gateway.jobs import Job
from dewridge.gateway.responder import Responder


class Stage(Enum):
    """How far a request is."""

    WAITING = "waiting"
    """No server may have run it."""
    SENT = "sent"
    """A server may have run it, and the caller has no byte of an answer."""
    ANSWERING = "answering"
    """The caller has a part of the answer."""


@dataclass(eq=False)
class ServedRequest:
    """A request while it is served.

    Attributes:
        responder: writes its answer.
        job: the request with its attempts; None before it is routed.
        scope: is cancelled if the caller has to get a status instead of an answer.
    """

    responder: Responder
    job: Job | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def stage(self) -> Stage:
        """How far it is."""
        if self.responder.has_started:
            return Stage.ANSWERING
        if self.job is None:
            return Stage.WAITING
        has_run = self.job.may_have_run or self.job.possible_runs > 0
        return Stage.SENT if has_run else Stage.WAITING


@dataclass
class ServedRequests:
    """All requests that are served now.

    Attributes:
        is_exiting: whether the process ends now; requests that are cancelled from then
            on are cut by it and not by their callers.
        last_at: when a request last began or ended.
    """

    is_exiting: bool = False
    last_at: float = float("-inf")
    _requests: set[ServedRequest] = field(default_factory=set)

    @contextmanager
    def track(self, responder: Responder) -> Iterator[ServedRequest]:
        """Count a request during the `with` body."""
        served = ServedRequest(responder)
        self._requests.add(served)
        self.last_at = trio.current_time()
        try:
            yield served
        finally:
            self._requests.discard(served)
            self.last_at = trio.current_time()

    def prepare_exit(self) -> None:
        """Have the callers that have no byte of an answer get a status at once.

        Answers that wait for slow callers are left to the kernel. Must be called again
        until the process ends, as streams go on.
        """
        for served in self._requests:
            if served.stage is Stage.ANSWERING:
                served.responder.leave_to_kernel()
            else:
                served.scope.cancel()

    def count_stages(self) -> dict[str, int]:
        """Return the number of requests by stage."""
        counts = Counter(served.stage for served in self._requests)
        return {stage.value: counts[stage] for stage in Stage}
