"""Checks that streams that ended by themselves are whole, and others go on."""

from collections.abc import Sequence

from dewridge.tests.soak.lostchecks import (
    Loss,
    group_runs,
    has_ended,
    was_cut_by_exit,
)
from dewridge.tests.soak.records import (
    RETRY_SLACK,
    History,
    SentRequest,
    ServerRun,
)
from dewridge.tests.soak.retrychecks import RETRY_WINDOW

CALM_SECONDS = 3.0
"""Seconds before a request from which faults excuse what becomes of it."""
MAX_REPEATS = 3
"""Repeated or cut requests of a host in a window after which its retries may be used
up. Three hosts have six or more each at the start."""


def check_finished(history: History) -> list[str]:
    """Check streams that their engines ended, and resumable ones that they did not.

    Nothing can show that a stream without chunks was not stopped if an order had no
    usable reply. It may be cut, unless it may go on elsewhere.
    """
    violations = []
    runs = group_runs(history)
    for request in _list_parts(history):
        its_runs = runs[request.id]
        finished = [run for run in its_runs if run.has_finished]
        if any(_must_look_whole(history, request, run) for run in finished):
            violations.append(f"{request.id}: cut although its run ended by itself")
        elif not finished and _must_go_on(history, request, its_runs):
            violations.append(f"{request.id}: did not go on after its run was lost")
    return violations


def _list_parts(history: History) -> list[SentRequest]:
    """Return the streams that were cut, and whose cut no fault of a host excuses."""
    runs = group_runs(history)
    return [
        request
        for request in history.requests.values()
        if request.kind.is_stream
        and request.ended_at is not None
        and has_ended(history, request)
        and not request.breaks_off
        and Loss(request, request.ended_at).used_share < 1
        and not _is_excused(history, request, request.ended_at, runs[request.id])
    ]


def _is_excused(
    history: History, request: SentRequest, ended_at: float, runs: Sequence[ServerRun]
) -> bool:
    begin = request.sent_at - CALM_SECONDS
    if history.is_disturbed(request.host, begin, ended_at):
        return True
    if was_cut_by_exit(history, Loss(request, ended_at), runs):
        return True
    return any(
        partition.begin <= ended_at and partition.end >= begin
        for partition in history.partitions
    )


def _must_look_whole(history: History, request: SentRequest, run: ServerRun) -> bool:
    if not run.is_unframed:
        return True
    return not history.is_restarted([run]) and not _list_lost_orders(history, request)


def _must_go_on(
    history: History, request: SentRequest, runs: Sequence[ServerRun]
) -> bool:
    """Whether a resumable stream has lost one engine's run, and had no other trouble.

    Two attempts are allowed, and servers that ask for fewer requests may refuse one.
    A host may have no retries left if it has lost several streams.
    """
    lost = {run.server for run in runs if run.has_broken_off}
    lost |= set(_list_lost_orders(history, request))
    refusing = {answer.server for answer in history.signal_answers}
    return (
        request.kind.is_retryable
        and len(runs) <= 1
        and len(lost) == 1
        and not refusing
        and history.rejections_for_room == 0
        and history.retry_slack >= RETRY_SLACK
        and _count_repeats(history, request) <= MAX_REPEATS
    )


def _count_repeats(history: History, request: SentRequest) -> int:
    """Return the streams that a host may have used a retry for, or had none for."""
    begin = (request.ended_at or 0.0) - RETRY_WINDOW
    runs = group_runs(history)
    return sum(
        other.host == request.host
        and other.kind.is_stream
        and (other.ended_at or history.end) >= begin
        and other.sent_at <= (request.ended_at or 0.0)
        and (len(runs[other.id]) > 1 or not other.is_complete)
        for other in history.requests.values()
        if other is not request
    )


def _list_lost_orders(history: History, request: SentRequest) -> list[str]:
    """Return the engines of orders to stop a stream that had no usable reply."""
    return [
        record.server
        for record in history.stop_records
        if record.id == request.id and not record.is_usable
    ]
