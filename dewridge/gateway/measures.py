"""Metrics of a gateway. Every label has few possible values."""

from collections.abc import Mapping

import trio

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.jobs import Job
from dewridge.gateway.reports import RolloutProgress
from dewridge.gateway.responder import Responder
from dewridge.gateway.state import GatewayState
from dewridge.metrics.registry import Metrics
from dewridge.policy.reachability import ServerPath
from dewridge.policy.rollouts import RouteLabel, Tally
from dewridge.sentinels import Failure

UNROUTED_KIND = "none"
"""Label of requests for which no route was found."""


def count_request(
    state: GatewayState,
    job: Job | None,
    responder: Responder,
    failure: Failure | None,
    seconds: float,
) -> None:
    """Count and time a completed request."""
    kind = job.route.kind.value if job else UNROUTED_KIND
    outcome = classify_outcome(responder)
    code = failure.code.name if failure else ""
    state.metrics.add("requests_total", kind=kind, outcome=outcome, code=code)
    state.metrics.observe("request_seconds", seconds, kind=kind)


def classify_outcome(responder: Responder) -> str:
    """Return the label value for the answer that a caller got."""
    if not responder.has_started:
        return "none"
    if not responder.is_finished:
        return "cut"
    return f"{responder.status // 100}xx"


def observe_first_event(state: GatewayState, job: Job, seconds: float) -> None:
    """Record the time until a stream's first event."""
    state.metrics.observe("first_event_seconds", seconds, kind=job.route.kind.value)


def observe_dependency_call(metrics: Metrics, name: str, seconds: float) -> None:
    """Record the duration of an answered call to the store or the cloud API."""
    metrics.observe("dependency_seconds", seconds, dependency=name)


def count_store_call(metrics: Metrics, kind: str, keys: str) -> None:
    """Count a call to the store by its kind and its group of keys."""
    metrics.add("store_calls", kind=kind, keys=keys)


def count_received_bytes(metrics: Metrics, keys: str, size: int) -> None:
    """Count the bytes that the store sent for a group of keys."""
    metrics.add("store_received_bytes", size, keys=keys)


def update_gauges(state: GatewayState) -> None:
    """Set the gauges that are computed only when the metrics are read."""
    metrics = state.metrics
    metrics.set_gauge("configuration_version", state.configuration.version)
    metrics.set_gauge("configuration_age_seconds", state.configuration.age)
    arrival = state.configuration.arrival
    source = arrival.source.value
    in_force = read_boot_clock() - arrival.at
    metrics.set_gauge("configuration_in_force_seconds", in_force)
    metrics.set_gauge("configuration_bytes", arrival.size)
    metrics.set_gauge("configuration_received_bytes", arrival.received, source=source)
    metrics.set_gauge("versions_age_seconds", state.versions.view.age)
    metrics.set_gauge("servers_only_peers_know", len(state.unknown_servers))
    metrics.set_gauge("hosts", state.hosts.count())
    metrics.set_gauge("hosts_silent", len(state.list_silent_hosts()))
    metrics.set_gauge("reports_heard", state.sharing.reports_received)
    metrics.set_gauge("reports_missed", state.sharing.reports_missed)
    quarantined = len(state.suspects.list_quarantined(trio.current_time()))
    metrics.set_gauge("requests_suspected", len(state.suspects.list_all()))
    metrics.set_gauge("requests_set_aside", quarantined)
    metrics.set_gauge("caller_connections", state.ingress.connections)
    metrics.set_gauge("requests_in_flight", state.ingress.requests)
    update_intake_gauges(state)
    metrics.set_gauge("server_connections_opened", state.pool.opened)
    metrics.set_gauge("server_connections_reused", state.pool.reused)
    for service, path in state.links.list_paths().items():
        is_direct = path is ServerPath.DIRECT
        metrics.set_gauge("server_path_direct", float(is_direct), service=service)
    for result, count in state.pool.connect_failures.items():
        metrics.set_gauge("server_connects_failed", count, result=result.value)
    for progress in state.rollouts.list_progress():
        evidence = state.rollouts.compute_evidence(progress.order)
        set_rollout_gauges(metrics, progress, "new", evidence.target)
        set_rollout_gauges(metrics, progress, "old", evidence.baseline)
    for caller in state.dependencies:
        metrics.set_gauge("dependency_up", float(caller.is_up), dependency=caller.name)
        metrics.set_gauge("dependency_calls", caller.calls, dependency=caller.name)
        metrics.set_gauge(
            "dependency_failures", caller.failures, dependency=caller.name
        )
    limits = state.pushback.list_limits(trio.current_time())
    brittle = state.pushback.brittle.list_tolerances(trio.current_time())
    rests = state.pushback.list_rests(trio.current_time())
    for server in state.servers.list_all():
        metrics.set_gauge("server_limit", limits.get(server.id, 0.0), server=server.id)
        is_brittle = float(server.id in brittle)
        metrics.set_gauge("server_is_brittle", is_brittle, server=server.id)
        rest = rests.get(server.id, 0.0)
        metrics.set_gauge("server_rest_seconds", rest, server=server.id)
        in_flight = state.work_in_flight.requests.get(server.id, 0)
        metrics.set_gauge("server_in_flight", in_flight, server=server.id)
        share = state.get_health(server.id).failure_share
        metrics.set_gauge("server_failure_share", share, server=server.id)


def update_intake_gauges(state: GatewayState) -> None:
    """Set the gauges of what clients make this process hold, and of its limits."""
    metrics = state.metrics
    memory, answers = state.ingress.memory, state.answer_buffers
    metrics.set_gauge("intake_bytes", memory.used, kind="input")
    metrics.set_gauge("intake_bytes", answers.used, kind="answers")
    metrics.set_gauge("intake_limit_bytes", memory.limit)
    metrics.set_gauge("intake_refused", memory.refused)
    metrics.set_gauge("intake_closed", memory.closed, kind="input")
    metrics.set_gauge("intake_closed", answers.cut, kind="answers")
    for endpoint in state.endpoints:
        name, places = endpoint.name, endpoint.places
        metrics.set_gauge("listener_connections", len(places), listener=name)
        metrics.set_gauge("listener_connection_limit", places.limit, listener=name)
        if endpoint.memory is not None:
            metrics.set_gauge("listener_bytes", endpoint.memory.used, listener=name)
        metrics.set_gauge("listener_closed", places.closed, listener=name)
        metrics.set_gauge("listener_refused", places.refused, listener=name)


def set_rollout_gauges(
    metrics: Metrics,
    progress: RolloutProgress,
    side: str,
    tallies: Mapping[RouteLabel, Tally],
) -> None:
    """Set the gauges of one version of a rollout to the counts over all hosts."""
    for route, tally in tallies.items():
        labels = {"service": progress.service, "version": side, "route": route}
        metrics.set_gauge("rollout_answers", tally.answers, **labels)
        metrics.set_gauge("rollout_bad_answers", tally.bad, **labels)
