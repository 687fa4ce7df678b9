"""Finds out whether the process that sent an answer still runs after the answer's end.

A connection that is accepted shows only that some process listens. A server may have
started again under its name, or another one may have its address.
"""

from functools import partial

import trio

from dewridge.gateway.jobs import Job
from dewridge.gateway.losses import LossHandler
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reach.control import call_relay_for_report
from dewridge.gateway.reach.probes import SharedProbes
from dewridge.gateway.reach.reports import fetch_report
from dewridge.gateway.state import GatewayState
from dewridge.platform.engines import ReportedProcess, ReportReply
from dewridge.policy.answerends import ProcessEvidence
from dewridge.policy.losses import ConnectResult
from dewridge.policy.reachability import ServerPath

REPORT_TIMEOUT = 0.4
"""Seconds for one report; an engine needs no slot for it."""
EXAMINATION_SECONDS = 1.7
"""Seconds in which a process is examined: sound servers fall silent for a second or so.
Callers disconnect two seconds after the last event."""
RESUMABLE_EXAMINATION_SECONDS = 0.8
"""The same for a stream that may run anew elsewhere, which takes a moment as well."""
RETRY_DELAY = 0.03
"""Seconds until an engine is asked again that accepts connections but sends no usable
report, doubled each time."""
DEADLINE_GRACE = 0.08
"""Seconds after its deadline in which a request is still examined; it is given up 0.1
seconds after it."""
REFUSALS = frozenset({429, 503})
"""Statuses by which an engine asks not to be called again."""

EVIDENCE = {
    ConnectResult.ACCEPTED: ProcessEvidence.LISTENING,
    ConnectResult.RESET: ProcessEvidence.LISTENING,
    ConnectResult.REFUSED: ProcessEvidence.ENDED,
    ConnectResult.SILENT: ProcessEvidence.SILENT,
}


class ProcessExaminer:
    """Examines the processes of servers; answers that end together share the calls."""

    def __init__(self, state: GatewayState, losses: LossHandler) -> None:
        self._state = state
        self._losses = losses
        self._shared: SharedProbes[ProcessEvidence] = SharedProbes()

    async def examine(self, job: Job, server: ServerRecord) -> ProcessEvidence:
        """Return what is known of a server's process after this call.

        Engines say which process they are. Other servers name it only where a request
        takes a slot, so that all that is known there is what listens.
        """
        evidence = ProcessEvidence.SILENT
        if not job.is_engine:
            evidence = EVIDENCE[await self._losses.probe_after_end(server)]
        else:
            seconds = EXAMINATION_SECONDS
            if job.route.is_resumable:
                seconds = RESUMABLE_EXAMINATION_SECONDS
            ends_at = min(job.deadline + DEADLINE_GRACE, trio.current_time() + seconds)
            with trio.move_on_at(ends_at):
                path = self._state.links.find_path(server.service)
                examine = partial(self._ask_until_known, server)
                evidence = await self._shared.probe((server.id, path), examine)
        if self._state.servers.has_later_process(server):
            return ProcessEvidence.OTHER
        if evidence is ProcessEvidence.OTHER:
            now = trio.current_time()
            self._state.servers.drop(server.id, now, "it started again", 0.0)
        return evidence

    async def _ask_until_known(self, server: ServerRecord) -> ProcessEvidence:
        ends_at = trio.current_time() + EXAMINATION_SECONDS
        delay = RETRY_DELAY
        while True:
            reply = await self._call(server)
            if reply is not None:
                match reply.identify_process(server.started_at_ms):
                    case ReportedProcess.SAME:
                        return ProcessEvidence.SAME
                    case ReportedProcess.OTHER:
                        return ProcessEvidence.OTHER
                if reply.status in REFUSALS:
                    return ProcessEvidence.LISTENING
            evidence = EVIDENCE[await self._losses.probe_after_end(server)]
            is_late = trio.current_time() + delay >= ends_at
            if is_late or evidence is not ProcessEvidence.LISTENING:
                return evidence
            await trio.sleep(delay)
            delay *= 2

    async def _call(self, server: ServerRecord) -> ReportReply | None:
        """Return the reply of a server to one call for its report."""
        if self._state.links.find_path(server.service) is not ServerPath.DIRECT:
            return await call_relay_for_report(self._state, server, REPORT_TIMEOUT)
        with trio.move_on_after(REPORT_TIMEOUT):
            reply = await fetch_report(self._state.pool, server)
            return reply if isinstance(reply, ReportReply) else None
        return None
