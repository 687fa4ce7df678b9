"""State and interfaces that the modules of this package share on one host."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from sys import getsizeof
from typing import Any

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.ids import HostId, RequestId
from dewridge.membership.model import Member, MembershipView, MemberState
from dewridge.metrics.registry import Metrics
from dewridge.peers.model import Peers
from dewridge.requests.codec import find_fault
from dewridge.requests.records import Ballot
from dewridge.requests.replicas import RecordTable
from dewridge.sentinels import Failure
from dewridge.settings.schema import RequestSettings

Job = Callable[..., Awaitable[Any]]

SMALL_INPUT_CHARS = 65_536
"""Characters up to which an input counts as small."""
UNREACHABLE = Failure(ResultCode.PEER_UNREACHABLE, "the host is gone")


class Jobs:
    """Runs short-lived jobs and isolates each from exceptions in the others."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._nursery: trio.Nursery | None = None
        self._queued: list[tuple[Job, tuple[Any, ...]]] = []

    async def run(self) -> None:
        """Run jobs as they are started, until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for job, arguments in self._queued:
                    nursery.start_soon(self._run_guarded, job, arguments)
                self._queued.clear()
                await trio.sleep_forever()
        finally:
            self._nursery = None

    def start(self, job: Job, *arguments: Any) -> None:
        """Start a job, or queue it until `run` is called."""
        if self._nursery is None:
            self._queued.append((job, arguments))
        else:
            self._nursery.start_soon(self._run_guarded, job, arguments)

    async def _run_guarded(self, job: Job, arguments: tuple[Any, ...]) -> None:
        try:
            await job(*arguments)
        except Exception as error:  # must not cancel the other jobs
            self._metrics.add("request_job_faults")
            log.opt(exception=error).error("a job of the requests package failed")


@dataclass
class Shared:
    """State and interfaces that the modules of this package share.

    Attributes:
        clock: returns the time in seconds since 1970.
        leaving: this host drains; it accepts no submissions and takes over no requests.
    """

    settings: RequestSettings
    peers: Peers
    membership: MembershipView
    clock: Callable[[], float]
    metrics: Metrics
    table: RecordTable
    jobs: Jobs
    leaving: bool = False

    def has_room_for(self, text: str) -> bool:
        """Whether the input of another request fits into the memory for inputs.

        Small inputs are always taken, and are not counted one by one.
        """
        if len(text) <= SMALL_INPUT_CHARS:
            return True
        held = self.table.count_input_bytes() + 2 * getsizeof(text)
        return held <= self.settings.input_limit

    @property
    def local_member(self) -> Member:
        """Return the membership entry of this host."""
        return self.membership.local_member

    @property
    def query_fanout(self) -> int:
        """Number of hosts of a key's preference list that may hold a copy.

        An owner's replicas are among the first `replicas + 1` hosts of the list.
        One more covers an owner that considers one of those to have failed.
        """
        return self.settings.replicas + 2

    @property
    def is_withholding_calls(self) -> bool:
        """Whether this host must not send non-idempotent calls now.

        A reclaimed host may stop before the answer to a call arrives. The caller
        would receive "unknown" for a call that another host could have sent. If no
        other host accepts work, this host sends calls until it stops.
        """
        if not self.leaving:
            return False
        members = self.membership.members()
        return any(m.accepts_work and m.host != self.local_member.host for m in members)

    def make_ballot(self, request: RequestId, above_epoch: int = 0) -> Ballot:
        """Return a ballot of this host with an epoch above all known ones."""
        epoch = max(self.table.find_max_epoch(request), above_epoch) + 1
        return Ballot(epoch, self.local_member.host, self.local_member.incarnation)

    def is_local_ballot(self, ballot: Ballot) -> bool:
        """Whether the ballot belongs to this process."""
        member = self.local_member
        return (ballot.host, ballot.incarnation) == (member.host, member.incarnation)

    def find_live(self, host: HostId) -> Member | None:
        """Return a member that is not dead; None if there is none."""
        member = self.membership.find(host)
        if member is None or member.state is MemberState.DEAD:
            return None
        return member

    async def call(self, host: HostId, message: Any, timeout: float = 0.0) -> Any:
        """Call a host by name.

        Returns:
            The reply; a Failure if the host departed, or has no reply that can be used.
        """
        member = self.find_live(host)
        if member is None:
            return UNREACHABLE
        limit = timeout or self.settings.replica_timeout
        reply = await self.peers.call(member.address, message, limit)
        fault = find_fault(reply)
        return reply if fault is None else fault


async def wait_until(condition: Callable[[], bool], period: float) -> None:
    """Poll a condition until it holds."""
    while True:
        if condition():
            return
        await trio.sleep(period)
