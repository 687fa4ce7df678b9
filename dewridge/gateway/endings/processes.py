"""Finds out whether the process that sent an answer still runs after the answer's end.

A connection that is accepted shows only that some process listens. A server may have
started again under its name, or another one may have its address.
"""

from functools import partial

import trio

from dewridge.gateway.losses import LossHandler
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reach.control import call_engine
from dewridge.gateway.reach.probes import SharedProbes
from dewridge.gateway.state import GatewayState
from dewridge.http1.calls import Response
from dewridge.platform.engines import (
    REPORT_PATH,
    ReportedProcess,
    identify_process,
)
from dewridge.policy.answerends import ProcessEvidence
from dewridge.policy.losses import ConnectResult

REPORT_TIMEOUT = 0.4
"""Seconds for one report; an engine needs no slot for it."""
EXAMINATION_SECONDS = 1.2
"""Seconds in which a process is examined. Callers disconnect two seconds after the last
event."""
RETRY_DELAY = 0.03
"""Seconds until an engine is asked again that accepts connections but sends no usable
report, doubled each time."""

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

    async def examine(
        self, server: ServerRecord, *, can_identify: bool, deadline: float
    ) -> ProcessEvidence:
        """Return what is known of a server's process after this call.

        Args:
            server: the record of the process.
            can_identify: whether the process says which one it is.
            deadline: monotonic time at which the answer is due.
        """
        if not can_identify:
            return EVIDENCE[await self._losses.probe_after_end(server)]
        ends_at = min(deadline, trio.current_time() + EXAMINATION_SECONDS)
        with trio.move_on_at(ends_at):
            path = self._state.links.find_path(server.service)
            examine = partial(self._ask_until_known, server)
            return await self._shared.probe((server.id, path), examine)
        return ProcessEvidence.SILENT

    async def _ask_until_known(self, server: ServerRecord) -> ProcessEvidence:
        ends_at = trio.current_time() + EXAMINATION_SECONDS
        delay = RETRY_DELAY
        while True:
            match await self._ask(server):
                case ReportedProcess.SAME:
                    return ProcessEvidence.SAME
                case ReportedProcess.OTHER:
                    return ProcessEvidence.OTHER
            evidence = EVIDENCE[await self._losses.probe_after_end(server)]
            is_late = trio.current_time() + delay >= ends_at
            if is_late or evidence is not ProcessEvidence.LISTENING:
                return evidence
            await trio.sleep(delay)
            delay *= 2

    async def _ask(self, server: ServerRecord) -> ReportedProcess:
        path = REPORT_PATH.decode()
        response = await call_engine(
            self._state, server, "GET", path, b"", REPORT_TIMEOUT
        )
        if not isinstance(response, Response):
            return ReportedProcess.UNKNOWN
        return identify_process(response, server.started_at_ms)
