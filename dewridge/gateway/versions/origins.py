"""Finds out at which version a stream began that its caller resumes."""

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.gateway.hosts import POLL_INTERVAL
from dewridge.gateway.jobs import Job
from dewridge.gateway.model import RouteKind
from dewridge.gateway.state import GatewayState
from dewridge.ids import (
    Release,
    ServiceName,
)
from dewridge.policy.streamversions import (
    Origin,
    OriginSource,
)
from dewridge.sentinels import Failure

UNKNOWN_RETRY_AFTER = 0.4
"""Mean seconds after which a caller may resume while some hosts did not answer: other
hosts may know more, and silent ones answer again."""
LEARNING_TIME = POLL_INTERVAL + 1.0
"""Seconds after its start within which a host may not know all other hosts."""
MAX_LOGGED_ATTEMPT = 40
"""Characters of a resumed attempt's id in a log line."""


async def find_origin(state: GatewayState, job: Job) -> Failure | None:
    """Bind a job that resumes a stream to the version that began the stream.

    Returns:
        A refusal if that version is not known: events of two versions do not fit
        together, and no host may guess.
    """
    if not is_resumed(job):
        return None
    origin = find_local_origin(state, job)
    doubts = ""
    if origin is None:
        origin, doubts = await search_origin(state, job)
    count_resumption(state, job, origin)
    if origin is not None:
        job.origin = origin
        if not has_release(state, job, origin.release):
            # The store may not have shown them to this host.
            await state.find_release_servers(origin.release)
        choose_bound_service(state, job)
        return None
    log.bind(id=job.request.id, doubts=doubts).info("stream origin unknown")
    reason = "nobody knows the stream" + (f" ({doubts})" if doubts else "")
    wait = UNKNOWN_RETRY_AFTER * state.rng.uniform(0.5, 1.5) if doubts else None
    return Failure(ResultCode.STREAM_ORIGIN_UNKNOWN, reason, wait)


async def search_origin(state: GatewayState, job: Job) -> tuple[Origin | None, str]:
    """Ask the other hosts for the version of a stream, then the store.

    Returns:
        Where the stream began, and why a later search may find more; empty if it can't.
    """
    knowledge = await state.ask_peers_for_origin(job.service, job.stream_key)
    origin = knowledge.origin
    if origin is not None and is_plausible(state, job, origin):
        return origin, ""
    stored = await state.find_stored_origin(job.service, job.stream_key)
    is_known = state.versions.find(job.stream_key, trio.current_time()) is not None
    if isinstance(stored, Origin) and (is_known or not knowledge.has_several):
        return stored, ""
    if isinstance(stored, Failure):
        return None, "the store is out of reach"
    if knowledge.silent:
        return None, f"{knowledge.silent} hosts silent"
    if trio.current_time() - state.sharing.started_at < LEARNING_TIME:
        return None, "this host may not know all others yet"
    return None, ""


def is_resumed(job: Job) -> bool:
    """Return whether a request resumes a stream that servers have begun."""
    if job.route.kind is not RouteKind.STREAM or not job.route.is_resumable:
        return False
    return job.request.last_event is not None or job.request.resumed_attempt is not None


def find_local_origin(state: GatewayState, job: Job) -> Origin | None:
    """Return the version by what this host knows itself."""
    origin = state.versions.find(job.stream_key, trio.current_time())
    if origin is not None:
        return origin
    if not state.versions.view.is_current:
        # This host may have missed a version, as after a pause of its machine.
        return None
    only = find_only_release(state, job.service)
    if not only:
        return None
    return Origin(only, OriginSource.ONLY_VERSION, state.versions.view.age)


def find_only_release(state: GatewayState, service: ServiceName) -> Release | None:
    """Return the only version that a service had recently.

    Returns:
        0 if it had several; None if this host started too recently to know.
    """
    now = trio.current_time()
    if state.versions.history.is_mixed(service, now):
        return Release(0)
    return state.versions.history.find_only(service, now)


def is_plausible(state: GatewayState, job: Job, origin: Origin) -> bool:
    """Return whether this host's own view does not contradict a peer's.

    A peer that does not know the newest version yet takes the one before for the
    only one.
    """
    if state.versions.find(job.stream_key, trio.current_time()) is not None:
        return True
    recent = state.versions.history.list_recent(job.service, trio.current_time())
    return set(recent) <= {origin.release}


def has_release(state: GatewayState, job: Job, release: Release) -> bool:
    """Return whether a version of any service of the route has servers."""
    return any(
        state.servers.has_release(share.service, release) for share in job.route.shares
    )


def choose_bound_service(state: GatewayState, job: Job) -> None:
    """Choose the service of the stream if the route is divided between several."""
    for share in job.route.shares:
        servers = state.servers.list_service(share.service)
        if any(server.release == job.release for server in servers):
            job.service = share.service
            return


def record_first_event(state: GatewayState, job: Job, release: Release) -> None:
    """Bind a job to the version of its first event.

    That happens before the event is passed on, so that no caller has an event of a
    stream that its host does not know.
    """
    if job.origin is None:
        job.origin = Origin(release, OriginSource.LOCAL)
        version = state.versions.history.name_release(release)
        state.metrics.add("streams_begun_total", service=job.service, version=version)
    if job.route.is_resumable and not job.is_version_recorded:
        job.is_version_recorded = True
        now = trio.current_time()
        state.versions.begin(job.service, job.stream_key, release, now)


def record_end(state: GatewayState, job: Job) -> None:
    """Record that a stream does not run here any more."""
    if job.is_version_recorded:
        state.versions.end(job.service, job.stream_key)


def count_resumption(state: GatewayState, job: Job, origin: Origin | None) -> None:
    """Count a stream that a caller resumes."""
    source = origin.source.value if origin else "unknown"
    state.metrics.add("streams_resumed_total", service=job.service, source=source)


def describe_origin(state: GatewayState, job: Job | None) -> dict[str, object]:
    """Return the log fields on the version of a request's stream.

    They are left out for new streams of a service whose servers have one version.
    """
    if job is None or job.route.kind is not RouteKind.STREAM:
        return {}
    fields: dict[str, object] = {}
    if job.request.resumed_attempt is not None:
        attempt = job.request.resumed_attempt[:MAX_LOGGED_ATTEMPT]
        fields["resumed_attempt"] = attempt.decode("latin-1")
    if job.request.last_event is not None:
        fields["resumes_after"] = job.request.last_event
    origin = job.origin
    now = trio.current_time()
    if origin is None or not (
        fields or state.versions.history.is_mixed(job.service, now)
    ):
        return fields
    fields["server_version"] = state.versions.history.name_release(origin.release)
    fields["version_known_by"] = origin.source.value
    fields["version_known_s"] = round(origin.age, 1)
    return fields
