"""Handling of lost attempts: consequences for the server and for the request."""

from functools import partial

import trio
from loguru import logger as log

from dewridge.gateway.forwarding import LostAttempt
from dewridge.gateway.jobs import Job
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reach.peers import ask_peer
from dewridge.gateway.reach.probes import SharedProbes
from dewridge.gateway.reach.reports import ReportFailure, fetch_report
from dewridge.gateway.state import GatewayState
from dewridge.gateway.suspects import record_crash
from dewridge.ids import HostId
from dewridge.platform.engines import ReportedProcess, ReportReply
from dewridge.policy.losses import (
    INTERRUPTED_REASONS,
    ConnectResult,
    LossReason,
    ServerVerdict,
    classify_loss,
)
from dewridge.policy.reachability import ServerPath
from dewridge.policy.streamversions import MAX_NAME_LENGTH

REJECTION_BACKOFF = 0.1
"""Seconds for which a server counts as full after it rejected a request: the time of a
few answers."""
PROBE_LIFETIME = 0.5
"""Seconds for which a failed probe of a server is used for requests that it lost. A
crash fails all requests on the server at the same moment, so one probe serves all of
them."""
REPORT_TIMEOUT = 0.2
"""Seconds for the report of an engine that lost a request, which waits meanwhile."""
MAX_END_PROBES = 3
"""Probes of a server that does not respond, or to which another path is found."""
MAX_RELAYS_ASKED = 2
"""Relays that are asked about one server. One may be leaving, or partitioned too."""
FAILED_PROBES = frozenset(ConnectResult) - {ConnectResult.ACCEPTED}
"""Results that later losses may use: a server that accepted a connection may have
crashed since."""


class LossHandler:
    """Handles the attempts of this host that were lost."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._probes: SharedProbes[ConnectResult] = SharedProbes()

    async def handle(self, job: Job, server: ServerRecord, lost: LostAttempt) -> None:
        """Apply what a lost attempt shows about its server and about its request."""
        state = self._state
        now = trio.current_time()
        is_leaving = state.servers.find_departure(server.id) is not None
        connect_result = lost.reach
        if connect_result is None and lost.loss in INTERRUPTED_REASONS:
            connect_result = await self._probe_losing_server(server)
            is_accepted = connect_result is ConnectResult.ACCEPTED
            if is_accepted and job.is_engine and not lost.is_silent:
                connect_result = await self._examine_accepting(server)
        path = state.links.find_path(server.service)
        is_broken = lost.loss in {*INTERRUPTED_REASONS, LossReason.NOT_CONNECTED}
        if is_broken and path is not ServerPath.DIRECT and lost.relay is None:
            # The links of this host are at fault, not the server or the request.
            self._record_loss(job, server, lost, connect_result, now)
            return
        self._record_loss(job, server, lost, connect_result, now)
        verdict = classify_loss(
            lost.loss,
            connect_result,
            is_leaving=is_leaving,
            seconds_since_first_event=None
            if job.attempt_first_event_at is None
            else now - job.attempt_first_event_at,
        )
        self._apply_verdict(job, server, lost, verdict.server)
        if verdict.is_request_suspect:
            record_crash(state, job, server.id, now)
        elif (
            verdict.server is ServerVerdict.ENDED_OR_UNREACHABLE and not lost.is_not_run
        ):
            # The route's attempt limit bounds how many servers a request may crash. The
            # attempt does not count against it if the request is not a suspect.
            job.possible_runs -= 1

    async def probe_after_end(self, server: ServerRecord) -> ConnectResult:
        """Return whether a server still runs after an answer ended with its connection.

        The connections of a process that ends are closed like that of a whole answer.
        Only a connection that is opened afterwards shows the difference. That holds for
        servers that leave as well: they exit at a time of their own, whatever runs.
        """
        result = ConnectResult.SILENT
        for _ in range(MAX_END_PROBES):
            path = self._state.links.find_path(server.service)
            result = await self._probe_server(server)
            if result not in {ConnectResult.REFUSED, ConnectResult.SILENT}:
                break
            is_same_path = self._state.links.find_path(server.service) is path
            if result is ConnectResult.REFUSED and is_same_path:
                break
            # No response, or the probe showed that the links of this host are at fault.
        return result

    async def _examine_accepting(self, server: ServerRecord) -> ConnectResult:
        """Return REFUSED if an engine that accepts connections has started again.

        It lost its requests as one that has not; the request that crashed it would come
        again and again.
        """
        is_direct = self._state.links.find_path(server.service) is ServerPath.DIRECT
        if not server.started_at_ms or not is_direct:
            return ConnectResult.ACCEPTED
        reply: ReportReply | ReportFailure = ReportFailure.BROKEN
        with trio.move_on_after(REPORT_TIMEOUT):
            reply = await fetch_report(self._state.pool, server)
        if isinstance(reply, ReportFailure):
            return ConnectResult.ACCEPTED
        if reply.identify_process(server.started_at_ms) is not ReportedProcess.OTHER:
            return ConnectResult.ACCEPTED
        now = trio.current_time()
        self._state.servers.drop(server.id, now, "it started again", 0.0)
        return ConnectResult.REFUSED

    async def _probe_losing_server(self, server: ServerRecord) -> ConnectResult:
        """Probe a server that lost a request; it counts as full meanwhile.

        A crashed server has no requests left, so it would look like the best choice for
        the requests that it lost; if several crash together, a request would be sent to
        one after the other.
        """
        health = self._state.get_health(server.id)
        health.full_until = trio.current_time() + PROBE_LIFETIME
        try:
            return await self._probe_server(server, PROBE_LIFETIME, FAILED_PROBES)
        finally:
            health.full_until = float("-inf")

    async def _probe_server(
        self,
        server: ServerRecord,
        max_age: float = 0.0,
        reusable: frozenset[ConnectResult] | None = None,
    ) -> ConnectResult:
        """Return whether a server accepts connections; jobs share one probe."""
        path = self._state.links.find_path(server.service)
        connect = partial(self._connect, server, path)
        key = (server.id, path)
        return await self._probes.probe(key, connect, max_age, reusable)

    async def _connect(self, server: ServerRecord, path: ServerPath) -> ConnectResult:
        """Return whether a server accepts connections of this host, or of a relay."""
        if path is ServerPath.BY_PEER:
            return await self._ask_relay(server)
        started_at = trio.current_time()
        result = await self._state.pool.probe(server)
        if result is not ConnectResult.ACCEPTED:
            await self._state.links.check(server, started_at)
        return result

    async def _ask_relay(self, server: ServerRecord) -> ConnectResult:
        """Return what a relay says of a server; ask another if it says nothing."""
        state = self._state
        excluded: set[HostId] = set()
        for _ in range(MAX_RELAYS_ASKED):
            peer = state.links.choose_relay(
                server.service,
                excluded,
                state.failure_domain,
                state.count_domain_hosts(),
            )
            if peer is None:
                break
            results = await ask_peer(state.host, peer, [server], is_fresh=True)
            if results and results[0] is not ConnectResult.SILENT:
                return results[0]
            excluded.add(peer.id)
        return ConnectResult.SILENT

    def _apply_verdict(
        self, job: Job, server: ServerRecord, lost: LostAttempt, verdict: ServerVerdict
    ) -> None:
        now = trio.current_time()
        health = self._state.get_health(server.id)
        match verdict:
            case ServerVerdict.REPLACED:
                self._state.servers.drop(server.id, now, "another has its address")
            case ServerVerdict.FULL:
                health.full_until = now + REJECTION_BACKOFF
            case ServerVerdict.FAILED | ServerVerdict.ENDED_OR_UNREACHABLE:
                is_hard = verdict is ServerVerdict.ENDED_OR_UNREACHABLE
                if is_hard:
                    self._state.versions.doubtful_servers.add(server.id)
                if lost.is_silent:
                    health.record_silence(now, job.sent_at, is_hard=is_hard)
                else:
                    health.record_failure(now, is_hard=is_hard)

    def _record_loss(
        self,
        job: Job,
        server: ServerRecord,
        lost: LostAttempt,
        connect_result: ConnectResult | None,
        now: float,
    ) -> None:
        self._state.metrics.add("attempts_lost_total", loss=lost.loss.name)
        since_first_event_ms = (
            None
            if job.attempt_first_event_at is None
            else round((now - job.attempt_first_event_at) * 1000)
        )
        log.bind(
            id=job.request.id,
            service=job.service,
            server=server.id,
            server_version=server.version[:MAX_NAME_LENGTH],
            loss=lost.loss.name,
            reason=lost.reason,
            reach=connect_result.value if connect_result else "",
            digest=job.digest,
            account=job.account.name if job.account else "",
            begun_ms_ago=since_first_event_ms,
            sent_ms_ago=round((now - job.sent_at) * 1000, 1),
        ).info("attempt lost")
