"""Checks of answers that end with their connection, and of stopped and moved runs."""

from collections import defaultdict

from dewridge.tests.soak.lostchecks import group_runs
from dewridge.tests.soak.records import (
    Continuation,
    EngineMemory,
    History,
    SentRequest,
    ServerRun,
)

MIN_UNFRAMED = 20
"""Sound unframed answers from which the share that callers got whole is checked."""
MIN_WHOLE_SHARE = 0.5
"""Share of these that callers must get whole."""
CONTACT_SECONDS = 3.0
"""Seconds before a request from which a fault excuses what becomes of it."""
FREE_SECONDS = 4.0
"""Seconds after the end of its stream by which a host must have freed memory."""


def check_ends(history: History) -> list[str]:
    """Return all violations of what the end of an answer or of a run requires."""
    return [
        *check_continuations(history),
        *check_unframed(history),
        *check_left_memory(history),
    ]


def check_continuations(history: History) -> list[str]:
    """Check that a run goes on from memory at most once.

    A host that is undisturbed must not ask for it again either, unless the first run
    was broken off.
    """
    by_handle: dict[str, list[Continuation]] = defaultdict(list)
    for each in history.continuations:
        by_handle[each.handle].append(each)
    runs = group_runs(history)
    violations = []
    for handle, asked in by_handle.items():
        used = [each for each in asked if each.has_run]
        if len(used) > 1:
            violations.append(f"{handle}: went on {len(used)} times")
        if not used:
            continue
        again = [each for each in asked if each.at > used[0].at and not each.has_run]
        request = history.requests.get(used[0].id)
        if (
            again
            and request is not None
            and not any(run.has_broken_off for run in runs[request.id])
            and not _is_disturbed(history, request, again[0].at)
        ):
            violations.append(f"{handle}: asked for again after it was used")
    return violations


def check_unframed(history: History) -> list[str]:
    """Check that callers get most sound answers without a length or chunks whole."""
    sound = list_sound_unframed(history)
    whole = sum(_is_whole(request) for request in sound)
    if len(sound) < MIN_UNFRAMED or whole >= MIN_WHOLE_SHARE * len(sound):
        return []
    return [f"{whole} of {len(sound)} sound unframed answers were served whole"]


def list_sound_unframed(history: History) -> list[SentRequest]:
    """Return the requests with an unframed answer that its server ended by itself.

    Requests whose callers left, or whose hosts were disturbed, don't count.
    """
    finished = {
        run.id
        for run in history.runs
        if run.is_unframed and run.has_finished and run.ended_at is not None
    }
    return [
        request
        for request_id in finished
        if (request := history.requests.get(request_id)) is not None
        and request.ended_at is not None
        and request.ended_at <= history.end
        and not (request.is_abandoned or request.breaks_off)
        and not history.is_disturbed(
            request.host,
            request.sent_at - CONTACT_SECONDS,
            request.ended_at,
            include_server_faults=False,
        )
    ]


def check_left_memory(history: History) -> list[str]:
    """Check that memory of stopped runs is used or freed soon after their streams.

    It counts if the source told its handle in time and still runs, and if the host that
    took the request was undisturbed and has not ended.
    """
    used = _list_used(history)
    return [
        f"{handle}: neither used nor freed at {memory.source}"
        for handle, memory in history.memories.items()
        if handle not in used
        and memory.freed_at is None
        and memory.announced_at is not None
        and memory.source not in history.server_ended_at
        and memory.source not in memory.forgotten_by
        and _must_be_free(history, memory)
    ]


def _must_be_free(history: History, memory: EngineMemory) -> bool:
    request = history.requests.get(memory.id)
    if request is None or request.ended_at is None:
        return False
    due_at = max(request.ended_at, memory.announced_at or 0.0) + FREE_SECONDS
    if due_at > history.end or _is_disturbed(history, request, due_at):
        return False
    has_signalled = any(
        answer.server == memory.source for answer in history.signal_answers
    )
    has_host_ended = any(
        boot.host == request.host
        and boot.exited_at is not None
        and request.sent_at <= boot.exited_at <= due_at
        for boot in history.boots
    )
    was_partitioned = any(
        request.host in partition.hosts
        and partition.begin <= due_at
        and partition.end >= request.sent_at
        for partition in history.partitions
    )
    return not (has_signalled or has_host_ended or was_partitioned)


def _is_disturbed(history: History, request: SentRequest, end: float) -> bool:
    return history.is_disturbed(request.host, request.sent_at - CONTACT_SECONDS, end)


def _is_whole(request: SentRequest) -> bool:
    if request.status != 200 or not request.is_complete:
        return False
    if request.kind.is_stream:
        return bool(request.events and request.events[-1][2])
    return request.body == request.id.encode()


def count_ends(history: History) -> dict[str, int]:
    """Return how many answers ended in the ways that `check_ends` is about."""
    sound = list_sound_unframed(history)
    used = _list_used(history)
    stopped = {memory.id for memory in history.memories.values()}
    went_on = {each.id for each in history.continuations if each.has_run}
    uploads = [each for each in history.requests.values() if each.upload_bytes]
    early = [
        run for run in history.runs if _is_upload(history, run) and run.has_broken_off
    ]
    return {
        "sound unframed": len(sound),
        "sound unframed, whole": sum(map(_is_whole, sound)),
        "orders to stop": len(history.stop_records),
        "orders without a usable reply": sum(
            not record.is_usable for record in history.stop_records
        ),
        "streams stopped": len(stopped),
        "stopped and went on": len(stopped & went_on),
        "stopped and whole": sum(
            _is_whole(history.requests[each])
            for each in stopped
            if each in history.requests
        ),
        "memory freed": sum(
            memory.freed_at is not None for memory in history.memories.values()
        ),
        "memory forgotten": sum(
            memory.source in memory.forgotten_by for memory in history.memories.values()
        ),
        "engines started again": len(history.restarts),
        "memory left": sum(
            memory.freed_at is None and handle not in used
            for handle, memory in history.memories.items()
        ),
        "uploads": len(uploads),
        "uploads, whole answer": sum(map(_is_whole, uploads)),
        "uploads answered in part": len(early),
        "parts of uploads taken for whole": sum(
            each.status == 200 and each.is_complete and not _is_whole(each)
            for each in uploads
        ),
    }


def _list_used(history: History) -> set[str]:
    return {each.handle for each in history.continuations if each.has_run}


def _is_upload(history: History, run: ServerRun) -> bool:
    request = history.requests.get(run.id)
    return request is not None and request.upload_bytes > 0
