"""What the modules of the requests part share on one host."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.ids import HostId, RequestId
from dewridge.membership.model import Member, MembershipView, MemberState
from dewridge.metrics.registry import Metrics
from dewridge.peers.model import Peers
from dewridge.requests.records import Ballot
from dewridge.requests.replicas import RecordTable
from dewridge.sentinels import Failure
from dewridge.settings.schema import RequestSettings

Job = Callable[..., Awaitable[Any]]

UNREACHABLE = Failure(ResultCode.PEER_UNREACHABLE, "the host is gone")


class Jobs:
    """Runs short-lived jobs, each shielded from the faults of the others."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._nursery: trio.Nursery | None = None
        self._waiting: list[tuple[Job, tuple[Any, ...]]] = []

    async def run(self) -> None:
        """Run the jobs that are started, until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for job, arguments in self._waiting:
                    nursery.start_soon(self._guard, job, arguments)
                self._waiting.clear()
                await trio.sleep_forever()
        finally:
            self._nursery = None

    def start(self, job: Job, *arguments: Any) -> None:
        """Start a job; it waits if `run` has not begun."""
        if self._nursery is None:
            self._waiting.append((job, arguments))
        else:
            self._nursery.start_soon(self._guard, job, arguments)

    async def _guard(self, job: Job, arguments: tuple[Any, ...]) -> None:
        try:
            await job(*arguments)
        except Exception as error:  # one job's fault must not end the others
            self._metrics.add("request_job_faults")
            log.opt(exception=error).error("a job of the requests part failed")


@dataclass
class Shared:
    """The interfaces and the state that the modules of the part share.

    Attributes:
        clock: seconds since 1970.
        leaving: this host drains; it accepts nothing and takes nothing over.
    """

    settings: RequestSettings
    peers: Peers
    membership: MembershipView
    clock: Callable[[], float]
    metrics: Metrics
    table: RecordTable
    jobs: Jobs
    leaving: bool = False

    @property
    def me(self) -> Member:
        """Return this host's own entry."""
        return self.membership.me

    @property
    def reach(self) -> int:
        """Hosts of a key's home to ask for what others may have accepted.

        An owner's replicas are among the first `replicas + 1` of the home. One
        more covers an owner that believes one of those to have failed.
        """
        return self.settings.replicas + 2

    @property
    def keeps_calls_back(self) -> bool:
        """Whether calls that may not be repeated must not be sent from here now.

        A reclaimed host that sends one may be gone before its answer comes; the
        caller then hears "unknown" of a call that another host could have sent.
        Without another host that takes work it is this one or none.
        """
        if not self.leaving:
            return False
        members = self.membership.members()
        return any(m.takes_work and m.host != self.me.host for m in members)

    def make_ballot(self, request: RequestId, above: int = 0) -> Ballot:
        """Begin an ownership by this host, above all that it has heard of."""
        epoch = max(self.table.find_max_epoch(request), above) + 1
        return Ballot(epoch, self.me.host, self.me.incarnation)

    def is_own(self, ballot: Ballot) -> bool:
        """Whether this very process holds the ownership."""
        me = self.me
        return (ballot.host, ballot.incarnation) == (me.host, me.incarnation)

    def find_live(self, host: HostId) -> Member | None:
        """Return a member that may still answer; None if it is gone."""
        member = self.membership.find(host)
        if member is None or member.state is MemberState.DEAD:
            return None
        return member

    async def call(self, host: HostId, message: Any, timeout: float = 0.0) -> Any:
        """Call a host by its name; a Failure if it is gone or does not answer."""
        member = self.find_live(host)
        if member is None:
            return UNREACHABLE
        limit = timeout or self.settings.replica_timeout
        return await self.peers.call(member.address, message, limit)


async def wait_until(condition: Callable[[], bool], period: float) -> None:
    """Look at a condition now and then until it holds."""
    while True:
        if condition():
            return
        await trio.sleep(period)
