"""Makes sure that a server is still the process that its record describes.

A server may start again under its name with another version. Until its new record is
read, hosts would take its events for those of the version before.
"""

import trio
from loguru import logger as log

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.jobs import Job
from dewridge.gateway.model import RouteKind, ServerRecord
from dewridge.gateway.placement.probing import request_report
from dewridge.gateway.state import GatewayState
from dewridge.policy.reachability import ServerPath
from dewridge.policy.streamversions import MAX_VIEW_AGE

REPORT_TIMEOUT = 0.3
"""Seconds for an engine's report; it needs no slot there."""


async def is_same_process(state: GatewayState, job: Job, server: ServerRecord) -> bool:
    """Return whether a stream may be sent to a server; drop it if it started again.

    Only a server is asked that was unreachable since its record was read, or whose
    record this host could not have seen replaced. One that does not answer is not sent
    away from here: the attempt shows what is wrong with it.
    """
    if not _is_doubtful(state, job, server):
        return True
    asked_at = read_boot_clock()
    report = None
    with trio.move_on_after(REPORT_TIMEOUT):
        report = await request_report(state.pool, server)
    if report is None or isinstance(report, str):
        return True
    if report.started_at_ms is None:
        return True
    state.versions.doubtful_servers.discard(server.id)
    if report.started_at_ms == server.started_at_ms:
        state.versions.confirmed_servers[server.id] = asked_at
        return True
    log.bind(id=job.request.id, server=server.id, started_at=report.started_at_ms).info(
        "server started again before its record was read"
    )
    state.servers.drop(server.id, trio.current_time(), "it started again", 0.0)
    return False


def _is_doubtful(state: GatewayState, job: Job, server: ServerRecord) -> bool:
    if server.id not in state.versions.doubtful_servers and not _is_unconfirmed(
        state, job, server
    ):
        return False
    if job.route.kind is not RouteKind.STREAM or not job.is_engine:
        return False
    if state.links.find_path(server.service) is not ServerPath.DIRECT:
        return False
    return server.started_at_ms > 0


def _is_unconfirmed(state: GatewayState, job: Job, server: ServerRecord) -> bool:
    """Return whether a server may have started again while this host was out of step.

    Only streams that have begun are checked. In an outage of the store all hosts are
    out of step, and a report for each new stream would be a load on the servers.
    """
    if job.release is None or state.versions.view.is_current:
        return False
    confirmed_at = state.versions.confirmed_servers.get(server.id, float("-inf"))
    return read_boot_clock() - confirmed_at > MAX_VIEW_AGE
