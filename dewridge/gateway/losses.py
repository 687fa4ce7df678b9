"""What follows from a lost attempt: for its server, and for its request."""

from dataclasses import dataclass, field

import trio
from loguru import logger as log

from dewridge.gateway.forwarding import Lost
from dewridge.gateway.jobs import Job
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.state import GatewayState
from dewridge.gateway.suspects import note_end
from dewridge.ids import BackendServerId
from dewridge.policy.losses import CUT, Reach, ServerVerdict, judge_loss

FULL_FOR = 0.1
"""Seconds that a server counts as full after it refused: a few answers' time."""
LOOK_FOR = 0.5
"""Seconds for which it stands whether a server accepts connections: all that it had
is lost in one moment, and one look does for all."""


@dataclass
class _Look:
    begun_at: float
    reach: Reach | None = None
    done: trio.Event = field(default_factory=trio.Event)


class LossNotes:
    """Judges the attempts that are lost at this host."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._looks: dict[BackendServerId, _Look] = {}

    async def note(self, job: Job, server: ServerRecord, lost: Lost) -> None:
        """Draw the conclusions from a lost attempt."""
        state = self._state
        now = trio.current_time()
        reach = await self._look(server) if lost.loss in CUT else None
        self._tell(job, server, lost, reach, now)
        verdict = judge_loss(
            lost.loss,
            reach,
            is_leaving=state.servers.find_leaving(server.id) is not None,
            begun_for=None if job.begun_at is None else now - job.begun_at,
        )
        self._apply(server, verdict.server)
        if verdict.blames_request:
            note_end(state, job, server.id, now)
        elif verdict.server is ServerVerdict.GONE and not lost.is_not_run:
            # The route's attempt limit bounds the servers that a request may cost; this
            # request is not blamed for the server's end.
            job.runs -= 1

    async def _look(self, server: ServerRecord) -> Reach | None:
        """Return whether a server accepts connections, looked at once for all jobs."""
        known = self._looks.get(server.id)
        if known is not None and trio.current_time() - known.begun_at < LOOK_FOR:
            await known.done.wait()
            # A job that ended while it looked, since its caller left, saw nothing.
            if known.reach is not None:
                return known.reach
        now = trio.current_time()
        self._forget_looks(now)
        look = self._looks[server.id] = _Look(now)
        # A server that ended has no requests left and looks like the best choice for
        # all that it had; those that look first would meet several such ones in a row.
        health = self._state.find_health(server.id)
        health.full_until = now + LOOK_FOR
        try:
            look.reach = await self._state.pool.probe(server)
        finally:
            health.full_until = float("-inf")
            look.done.set()
        return look.reach

    def _forget_looks(self, now: float) -> None:
        self._looks = {
            server: look
            for server, look in self._looks.items()
            if now - look.begun_at < LOOK_FOR
        }

    def _apply(self, server: ServerRecord, verdict: ServerVerdict) -> None:
        now = trio.current_time()
        health = self._state.find_health(server.id)
        match verdict:
            case ServerVerdict.REPLACED:
                self._state.servers.drop(server.id, now, "another has its address")
            case ServerVerdict.FULL:
                health.full_until = now + FULL_FOR
            case ServerVerdict.FAILED:
                health.note_failure(now, is_hard=False)
            case ServerVerdict.GONE:
                health.note_failure(now, is_hard=True)

    def _tell(
        self,
        job: Job,
        server: ServerRecord,
        lost: Lost,
        reach: Reach | None,
        now: float,
    ) -> None:
        self._state.metrics.add("attempts_lost_total", loss=lost.loss.name)
        begun_ms = None if job.begun_at is None else round((now - job.begun_at) * 1000)
        log.bind(
            id=job.request.id,
            service=job.service,
            server=server.id,
            loss=lost.loss.name,
            reason=lost.reason,
            reach=reach.value if reach else "",
            digest=job.digest,
            account=job.account.name if job.account else "",
            begun_ms_ago=begun_ms,
            sent_ms_ago=round((now - job.sent_at) * 1000, 1),
        ).info("attempt lost")
