"""Admission, queueing, placement and recovery for one service under a profile."""

from collections.abc import Sequence
from typing import Any

from dewridge.configuration.model import Profile, Service
from dewridge.ids import BackendServerId, RequestId
from dewridge.policy.model import (
    Abandoned,
    Assignment,
    AttemptOutcome,
    Move,
    Retry,
    ServerView,
    Usage,
    Work,
)
from dewridge.sentinels import Failure


class Scheduler:
    """Decides for one service on one entry host; does no I/O and reads no clock.

    The owner of requests feeds it events, each with the time, and carries out
    what it decides.
    """

    def __init__(
        self,
        service: Service,
        profile: Profile,
        *,
        seed: int,
        host_index: int = 0,
        host_count: int = 1,
    ) -> None:
        raise NotImplementedError

    def set_profile(self, service: Service, profile: Profile, now: float) -> None:
        """Swap the policies; queued and running work stays."""

    def set_hosts(self, host_index: int, host_count: int, now: float) -> None:
        """Say which of how many entry hosts this is, for the subsets."""

    def update_servers(self, servers: Sequence[ServerView], now: float) -> None:
        """Replace what is known of the service's backend servers."""

    def offer(self, work: Work, now: float) -> Failure | None:
        """Admit a request to the queue, or refuse it at once with a time."""
        raise NotImplementedError

    def restore(self, work: Work, now: float) -> None:
        """Queue work that was accepted already (takeover); never refused."""

    def withdraw(self, request: RequestId, now: float) -> None:
        """Forget a request that was cancelled or ended, queued or running."""

    def pick(self, now: float) -> Assignment | None:
        """Take the next request that can be sent now; call until None."""
        raise NotImplementedError

    def expire(self, now: float) -> list[Abandoned]:
        """Take out queued requests whose deadline can't be met any more."""
        raise NotImplementedError

    def find_next_time(self, now: float) -> float | None:
        """Say when `pick` or `expire` may have news without any event."""
        raise NotImplementedError

    def note_first_token(
        self, request: RequestId, server: BackendServerId, now: float
    ) -> None:
        """Record that an attempt's first token (or whole plain answer) came."""

    def note_tokens(
        self, request: RequestId, server: BackendServerId, count: int, now: float
    ) -> None:
        """Record that `count` more tokens came."""

    def note_ended(
        self,
        request: RequestId,
        server: BackendServerId,
        outcome: AttemptOutcome,
        tokens_done: int,
        now: float,
    ) -> Retry | Abandoned | None:
        """Record an attempt's end and decide what follows; None after DONE."""
        raise NotImplementedError

    def note_leaving(
        self, server: BackendServerId, leaving_at: float, now: float
    ) -> list[Move]:
        """Decide which running requests leave a reclaimed server, and when."""
        raise NotImplementedError

    def read_usage(self) -> Usage:
        """Return what the profile cost and lost here so far."""
        raise NotImplementedError

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump: sizes and figures, no prompts."""
        raise NotImplementedError
