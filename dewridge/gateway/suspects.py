"""Suspect requests: requests that servers crashed on.

They are recorded here, reported to the other hosts and, after several crashes,
quarantined, that is refused for some time.
"""

from collections.abc import Callable, Iterable

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.gateway.jobs import Job
from dewridge.gateway.reports import SuspectUpdate
from dewridge.gateway.rotation import select_part
from dewridge.gateway.state import GatewayState
from dewridge.ids import BackendServerId, ClientAccount, RequestDigest
from dewridge.policy.suspects import QUARANTINE_PERIOD, Crash, Suspect
from dewridge.sentinels import Failure

SUSPECT_REPORT_TIME = 4.0
"""Seconds for which an update of a suspect is repeated in reports, since single reports
get lost."""
MAX_URGENT_SUSPECTS = 64
"""Maximum number of suspects in an urgent update: as many as a server commonly runs, of
some 100 bytes each."""
QUARANTINE_POLL_INTERVAL = 0.5
"""Seconds for which the list of quarantined requests is cached for reports: making it
goes through all suspects, and reports are frequent."""
PROBE_INTERVAL = 0.5
"""Seconds between two requests of all hosts that tell apart the parts set aside: about
the time until their outcome is known to all."""
MAX_CRASH_AGE_MS = round(2 * QUARANTINE_PERIOD * 1000)
"""Milliseconds from which the age of a crash is not told apart; it no longer counts."""
SUSPECTS_PER_REPORT = 4
"""Maximum number of updated suspects in a report, and of quarantined ones, which are
repeated for hosts that missed them. The other suspects follow in later reports."""


def check_quarantine(state: GatewayState, job: Job) -> Failure | None:
    """Return a refusal if the request is quarantined; checked before each attempt.

    A request may crash each server that begins to run it and be repeated at any host.
    It can't be served, and each attempt fails all requests running on the same server.
    """
    if state.suspects.is_empty:
        return None
    now = trio.current_time()
    seconds_left = state.suspects.compute_quarantine_left(job.digest, now)
    reason = f"servers ended under {job.digest}"
    if seconds_left <= 0:
        # The answer does not name the part: callers could probe for those of others.
        seconds_left = max(
            (
                state.suspects.compute_part_left(shared.part, shared.in_account, now)
                for shared in job.shared_parts
            ),
            default=0.0,
        )
        reason = "servers ended under a part of the prompt"
        if seconds_left > 0 and may_probe(state, job, now):
            return None
        if seconds_left > 0:
            state.metrics.add("requests_with_part_set_aside_total", service=job.service)
    if seconds_left <= 0:
        return None
    state.metrics.add("requests_set_aside_total", service=job.service)
    return Failure(ResultCode.REQUEST_SET_ASIDE, reason, seconds_left)


def may_probe(state: GatewayState, job: Job, now: float) -> bool:
    """Return whether a request is sent once to tell apart the parts set aside."""
    if job.is_probe:
        return not job.tried_servers
    parts = [shared.part for shared in job.shared_parts]
    interval = PROBE_INTERVAL * state.hosts.count()
    job.is_probe = state.suspects.acquire_probe(parts, now, interval)
    if job.is_probe:
        log.bind(id=job.request.id, digest=job.digest).info("parts are told apart")
    return job.is_probe


def describe_suspect(state: GatewayState, job: Job | None) -> dict[str, str]:
    """Return the log field with a request's digest; empty if it is not a suspect."""
    if job is None or state.suspects.is_empty:
        return {}
    return {"digest": job.digest} if state.suspects.find(job.digest) else {}


def record_crash(
    state: GatewayState, job: Job, server: BackendServerId, crashed_at: float
) -> None:
    """Record that a server crashed when it had just begun to run a request."""
    account = job.account.name if job.account else ClientAccount("")
    crashes = {server: Crash(crashed_at, job.sent_at)}
    suspects = [Suspect(job.digest, account, job.service, crashes)]
    suspects += [
        Suspect(
            shared.in_account, account, job.service, dict(crashes), part=shared.part
        )
        for shared in job.shared_parts
    ]
    state.metrics.add("servers_ended_under_requests_total", service=job.service)
    state.observed_crashes.update(suspect.digest for suspect in suspects)
    is_new = merge_suspects(state, suspects)
    log.bind(
        id=job.request.id,
        digest=job.digest,
        account=account,
        route=job.route.name,
        server=server,
        ends=state.suspects.count_crashes(job.digest, trio.current_time()),
        parts=",".join(shared.in_account for shared in job.shared_parts),
    ).warning("server ended under request")
    if is_new:
        state.on_suspects_changed()


def record_answer(state: GatewayState, job: Job) -> None:
    """Clear a request that a server answered in full: it does not crash servers."""
    record_survival(state, job)
    if not state.suspects.is_empty:
        clear_suspect(state, job.digest, "answered")


def record_survival(state: GatewayState, job: Job) -> None:
    """Clear the parts of a prompt that a server goes on answering."""
    if job.has_survived:
        return
    job.has_survived = True
    now = trio.current_time()
    for shared in job.shared_parts:
        if state.suspects.record_survival(shared.in_account, now):
            log.bind(digest=shared.in_account, reason="answered").info("part cleared")
            state.on_suspects_changed()


def clear_suspect(state: GatewayState, digest: RequestDigest, reason: str) -> bool:
    """Clear a request of its crashes, which releases it from quarantine on all hosts.

    Returns:
        Whether there was anything to clear.
    """
    if not state.suspects.clear(digest, trio.current_time()):
        return False
    log.bind(digest=digest, reason=reason).info("request cleared")
    state.on_suspects_changed()
    return True


def merge_suspects(state: GatewayState, suspects: Iterable[Suspect]) -> bool:
    """Merge suspects seen by this or other hosts into the ledger.

    Returns:
        Whether any of it was new.
    """
    now = trio.current_time()
    is_new = False
    for suspect in suspects:
        was_logged = suspect.digest in state.quarantine_logged
        if not state.suspects.merge(suspect, now):
            continue
        is_new = True
        seconds_left = state.suspects.compute_quarantine_left(suspect.digest, now)
        if seconds_left <= 0:
            state.quarantine_logged.discard(suspect.digest)
        elif not was_logged:
            state.quarantine_logged.add(suspect.digest)
            _log_quarantine(state, suspect.digest, seconds_left)
    return is_new


def _log_quarantine(
    state: GatewayState, digest: RequestDigest, seconds_left: float
) -> None:
    suspect = state.suspects.find(digest)
    assert suspect is not None
    log.bind(
        digest=digest,
        account=suspect.account,
        service=suspect.service,
        part=suspect.part,
        servers=",".join(sorted(suspect.crashes.keys() - suspect.cleared)),
        for_seconds=round(seconds_left, 1),
    ).warning("request set aside")


def make_urgent_lister(state: GatewayState) -> Callable[[], list[SuspectUpdate]]:
    """Return a function that lists the suspects updated since its last call."""
    listed_at = float("-inf")

    def list_urgent() -> list[SuspectUpdate]:
        nonlocal listed_at
        now = trio.current_time()
        updated = _list_updated(state, listed_at)[:MAX_URGENT_SUSPECTS]
        listed_at = now
        return [encode_suspect(suspect, now) for suspect in updated]

    return list_urgent


def make_update_lister(state: GatewayState) -> Callable[[int], list[SuspectUpdate]]:
    """Return a function that lists the suspects for a report, given its number.

    These are recently updated and quarantined suspects. Long lists are divided over
    successive reports.
    """
    quarantined: list[Suspect] = []
    polled_at = float("-inf")

    def list_updates(turn: int) -> list[SuspectUpdate]:
        nonlocal quarantined, polled_at
        if state.suspects.is_empty:
            return []
        now = trio.current_time()
        if now - polled_at >= QUARANTINE_POLL_INTERVAL:
            quarantined, polled_at = state.suspects.list_quarantined(now), now
        updated = select_part(
            _list_updated(state, now - SUSPECT_REPORT_TIME), turn, SUSPECTS_PER_REPORT
        )
        chosen = {
            suspect.digest: suspect
            for suspect in [
                *updated,
                *select_part(quarantined, turn, SUSPECTS_PER_REPORT),
            ]
        }
        return [encode_suspect(suspect, now) for suspect in chosen.values()]

    return list_updates


def _list_updated(state: GatewayState, since: float) -> list[Suspect]:
    """Return the suspects updated since a time, those with the most crashes first."""
    updated = state.suspects.list_updated_since(since)
    return sorted(updated, key=lambda suspect: -len(suspect.crashes))


def encode_suspect(suspect: Suspect, now: float) -> SuspectUpdate:
    """Return a suspect's wire form, with ages instead of local monotonic times."""
    return SuspectUpdate(
        digest=suspect.digest,
        account=suspect.account,
        service=suspect.service,
        crashes={
            server: (
                limit_age(round((now - crash.crashed_at) * 1000)),
                limit_age(round((now - crash.sent_at) * 1000)),
            )
            for server, crash in suspect.crashes.items()
        },
        cleared=sorted(suspect.cleared),
        part=suspect.part,
    )


def limit_age(age_ms: int) -> int:
    """Return an age in milliseconds that a crash can have.

    One in the future would never end, and others would report it in turn.
    """
    return max(0, min(MAX_CRASH_AGE_MS, age_ms))


def decode_suspect(update: SuspectUpdate, now: float) -> Suspect:
    """Return a suspect reported by another host, with monotonic times of this host."""
    return Suspect(
        update.digest,
        update.account,
        update.service,
        {
            server: Crash(
                now - limit_age(crashed_ms) / 1000, now - limit_age(sent_ms) / 1000
            )
            for server, (crashed_ms, sent_ms) in update.crashes.items()
        },
        set(update.cleared),
        part=update.part,
    )
