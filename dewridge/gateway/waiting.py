"""Choice of a server for an attempt, with a short wait if servers have limits."""

from collections import Counter
from dataclasses import replace

import trio

from dewridge.codes import ResultCode
from dewridge.gateway.jobs import Job
from dewridge.gateway.placement.probing import probe_candidates
from dewridge.gateway.state import GatewayState
from dewridge.gateway.versions.eligibility import make_version_refusal
from dewridge.gateway.weighing import (
    ServerChoice,
    WithheldServers,
    change_choice,
    choose_server,
)
from dewridge.ids import ServiceName
from dewridge.sentinels import Failure

MAX_WAIT_SHARE = 0.25
"""Share of a route's latency target for which a request waits for a server. The rest is
needed to answer it."""
MAX_STREAM_WAIT = 1.0
"""Seconds for which an interrupted stream waits, which can only be continued here."""
MIN_SPREAD = 0.3
"""Minimum seconds over which refused callers are told to come back, so that they do
not come at the same moment."""
SPREAD_SHARE = 0.5
"""Share of their wait over which they come back."""


class ServerChooser:
    """Chooses the server for each attempt of this host."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._waiting: Counter[ServiceName] = Counter()

    async def choose(self, job: Job) -> ServerChoice | Failure:
        """Return the server for a job's next attempt, or why there is none.

        While all servers of a service name limits, a request waits if its turn comes
        within a part of its latency target. Otherwise it is refused at once: the caller
        learns when to come back, instead of waiting in vain.
        """
        give_up_at = trio.current_time() + _compute_max_wait(job)
        if not self._state.servers.list_service(job.service):
            # The store may not have shown them to this host.
            await self._state.find_service_servers(job.service)
        while True:
            now = trio.current_time()
            choice = choose_server(self._state, job, now)
            if choice is None and job.release is not None:
                return make_version_refusal(self._state, job)
            if choice is None:
                return Failure(ResultCode.NO_BACKEND_SERVER, "no server")
            if isinstance(choice, ServerChoice):
                return await self._refine(job, choice, now)
            send_at = self._find_turn(job, choice, now)
            if send_at > give_up_at:
                return self._refuse(job, choice, send_at, now)
            self._count(job, "waited")
            self._waiting[job.service] += 1
            try:
                await trio.sleep_until(send_at)
            finally:
                self._waiting[job.service] -= 1

    async def _refine(self, job: Job, choice: ServerChoice, now: float) -> ServerChoice:
        """Return the choice by the engines' own load if they are asked for it."""
        if choice.expected is None:
            return choice
        result = await probe_candidates(
            self._state,
            job,
            [choice.expected, *choice.others],
            now,
            can_copy=bool(choice.copy_sources),
        )
        if result is None:
            return choice
        if result.answers:
            choice = change_choice(self._state, job, choice, result.chosen)
        return replace(choice, probed=f"{result.answers} of {result.asked}")

    def _find_turn(self, job: Job, withheld: WithheldServers, now: float) -> float:
        position = self._waiting[job.service]
        pushback = self._state.pushback
        return pushback.find_later_send_time(withheld.servers, position, now)

    def _refuse(
        self, job: Job, withheld: WithheldServers, send_at: float, now: float
    ) -> Failure:
        self._count(job, "refused")
        job.withheld_servers = withheld.servers
        reason = f"{withheld.servers[0]}: {withheld.reason}"
        if send_at == float("inf"):
            # Other hosts may send to these servers: the caller should try one soon.
            send_at = now
        wait = send_at - now
        spread = max(MIN_SPREAD, SPREAD_SHARE * wait)
        retry_after = wait + spread * self._state.rng.random()
        return Failure(ResultCode.QUEUE_FULL, reason, retry_after)

    def _count(self, job: Job, outcome: str) -> None:
        self._state.metrics.add(
            "requests_withheld_total", service=job.service, outcome=outcome
        )


def _compute_max_wait(job: Job) -> float:
    if job.may_have_run:
        return MAX_STREAM_WAIT
    return MAX_WAIT_SHARE * job.route.latency_target
