"""Servers that a request may be sent to by its software version."""

from collections import defaultdict

import trio

from dewridge.codes import ResultCode
from dewridge.gateway.jobs import Job
from dewridge.gateway.model import RouteKind, ServerRecord
from dewridge.gateway.state import GatewayState
from dewridge.ids import Release
from dewridge.policy.rollouts import Stage
from dewridge.policy.streamversions import (
    compute_return_delay,
    find_longest_running,
)
from dewridge.sentinels import Failure


def list_bound_servers(state: GatewayState, job: Job) -> list[ServerRecord]:
    """Return the servers that may continue a stream that has begun.

    A rollout does not matter, except that a reverted version gets no requests at all.
    """
    assert job.release is not None
    servers = state.servers.list_release(job.service, job.release)
    if state.rollouts.find_stage(job.service) is not Stage.REVERTED:
        return servers
    serving = {
        server.id for server in state.rollouts.list_serving(job.service, servers)
    }
    return [server for server in servers if server.id in serving]


def has_bound_servers(state: GatewayState, job: Job) -> bool:
    """Return whether any server may continue a stream that has begun."""
    assert job.release is not None
    if state.rollouts.find_stage(job.service) is Stage.REVERTED:
        return bool(list_bound_servers(state, job))
    return state.servers.has_release(job.service, job.release)


def list_eligible_servers(state: GatewayState, job: Job) -> list[ServerRecord]:
    """Return the servers that may run a request, for estimates of its wait."""
    if job.release is not None:
        return list_bound_servers(state, job)
    return state.list_serving(job.service)


def prefer_known_versions(
    state: GatewayState, job: Job, servers: list[ServerRecord], now: float
) -> list[ServerRecord]:
    """Leave out servers of versions that other hosts may not know yet.

    A host that knows only one version takes any stream for one of it.
    """
    if job.route.kind is not RouteKind.STREAM or job.release is not None:
        return servers
    if not state.versions.history.is_mixed(job.service, now):
        return servers
    known = [
        server
        for server in servers
        if compute_event_delay(state, job, server.release, now) <= 0
    ]
    return known or servers


def compute_event_delay(
    state: GatewayState, job: Job, release: Release, now: float
) -> float:
    """Return the seconds for which no caller may have an event of a version's stream.

    A host that was in touch less than a second ago may take another version for the
    only one. For a host that has just started all versions are new; those that have run
    for longest are known to the others.
    """
    history = state.versions.history
    if not history.is_mixed(job.service, now):
        return 0.0
    delay = history.compute_delay(release, now)
    recent = history.list_recent(job.service, now)
    if delay <= 0 or not all(history.is_new(known, now) for known in recent):
        return delay
    starts: dict[Release, list[int]] = defaultdict(list)
    for server in state.servers.list_service(job.service):
        starts[server.release].append(server.started_at_ms)
    return 0.0 if find_longest_running(starts) == release else delay


def list_same_version(state: GatewayState, source: ServerRecord) -> list[ServerRecord]:
    """Return the other servers that can use the engine memory of a server."""
    servers = state.servers.list_release(source.service, source.release)
    return [server for server in servers if server.id != source.id]


def make_version_refusal(state: GatewayState, job: Job) -> Failure:
    """Return the refusal of a stream whose version has no servers."""
    now = trio.current_time()
    crashed_at = state.servers.find_last_crash(job.service, job.release)
    since_crash = None if crashed_at is None else now - crashed_at
    wait = compute_return_delay(since_crash)
    if wait is not None:
        wait *= state.rng.uniform(0.5, 1.5)
    state.metrics.add("streams_without_version_total", service=job.service)
    reason = "no server has the version that began the stream"
    return Failure(ResultCode.STREAM_VERSION_GONE, reason, wait)
