"""Checks that no request is lost around planned work, and that hosts exit cleanly."""

import signal
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from dewridge.tests.soak.callers import find_timeout
from dewridge.tests.soak.records import History, HostBoot, SentRequest, ServerRun

GRACE_SECONDS = 8.0
"""Seconds from SIGTERM until a host may be killed."""
GRACE_SLACK = 1.0
"""Seconds after that for which SIGTERM still counts as planned work."""
LAST_SHARE = 1 / 6
"""Last share of `GRACE_SECONDS` in which requests that still run may be cut."""
OPEN_SECONDS = 3.0
"""Seconds after SIGTERM within which such requests must have been sent."""
CONTACT_SECONDS = 3.0
"""Seconds before a request in which an unplanned fault excuses its loss, or after which
a host is in touch again."""
LOSS_SLACK = 0.2
"""Seconds after its last byte within which a request that reached no server may end
without an answer."""
CONFIGURATION_SECONDS = 2.0
"""Seconds after which hosts must have a configuration, or their settings."""
CONFIGURATION_SLACK = 1.0
"""Seconds after that for which a configuration still counts as planned work."""
MAX_CUT_RATIO = 3.0
"""Share of the requests that a host may cut beside changes of the configuration,
relative to the share at other times."""
MAX_USED_SHARE = 0.7
"""Share of its time after which a cut request isn't put down to a configuration."""
MAX_UNANSWERED = 3
"""Requests on kept connections that hosts may have passed on and not answered."""
CLEAN_STATUSES = frozenset({0, -signal.SIGKILL})
"""Exit statuses of hosts that were asked to shut down; faults may kill them."""


@dataclass(frozen=True, eq=False)
class Loss:
    """A request that ended without a whole answer, and when it did."""

    request: SentRequest
    ended_at: float

    @property
    def seconds(self) -> float:
        """Seconds from the request to its end."""
        return self.ended_at - self.request.sent_at

    @property
    def used_share(self) -> float:
        """Share of its time that it had used."""
        return self.seconds / find_time_limit(self.request)


def check_lost(history: History) -> list[str]:
    """Return the requests that were lost around planned work.

    Planned work is a SIGTERM of the host that took the request, its SIGHUP, and a
    change of the configuration.
    """
    losses = list_losses(history)
    causes = {loss: _find_host_work(history, loss) for loss in losses}
    for host in sorted({loss.request.host for loss in losses}):
        at_host = [loss for loss in losses if loss.request.host == host]
        for loss in _list_cut_by_configurations(history, host, at_host):
            causes[loss] = causes[loss] or "beside a configuration"
    return [_describe(history, loss, cause) for loss, cause in causes.items() if cause]


def check_unanswered(history: History) -> list[str]:
    """Check requests on kept connections that reached sound servers.

    Hosts in touch must answer almost all of them before they close the connection.
    """
    runs = group_runs(history)
    unanswered = [
        request
        for request in history.requests.values()
        if request.is_kept
        and request.status == 0
        and has_ended(history, request)
        and any(not run.has_broken_off for run in runs[request.id])
        and _is_in_touch(history, request)
    ]
    if len(unanswered) <= MAX_UNANSWERED:
        return []
    ids = ", ".join(request.id for request in unanswered[: MAX_UNANSWERED + 1])
    return [f"{len(unanswered)} on kept connections ran without an answer: {ids}"]


def check_exits(history: History) -> list[str]:
    """Check that hosts that were asked to shut down exit with status 0.

    A process that has no handler yet when the signal arrives has not started.
    """
    violations = []
    for boot in history.boots:
        is_leaving = any(
            sent.number == signal.SIGTERM and sent.is_handled for sent in boot.signals
        )
        has_exited = boot.exited_at is not None and boot.exited_at <= history.end
        if is_leaving and has_exited and boot.status not in CLEAN_STATUSES:
            violations.append(f"{boot.host}: exited with status {boot.status}")
    return violations


def check_own_ends(history: History) -> list[str]:
    """Check that no process ends without a signal that asks for it or kills it."""
    violations = []
    for boot in history.boots:
        if boot.exited_at is None or boot.exited_at > history.end:
            continue
        sent = {each.number for each in boot.signals if each.at <= boot.exited_at}
        unhandled = {-each.number for each in boot.signals if not each.is_handled}
        has_reason = signal.SIGTERM in sent or boot.status in unhandled
        if boot.status != -signal.SIGKILL and not has_reason:
            seconds = boot.exited_at - boot.started_at
            violations.append(
                f"{boot.host}: ended by itself after {seconds:.1f} s,"
                f" status {boot.status}"
            )
    return violations


def list_losses(history: History) -> list[Loss]:
    """Return the requests that were read and lost, and whose loss nothing excuses."""
    runs = group_runs(history)
    losses = []
    for request in history.requests.values():
        if request.ended_at is None or not has_ended(history, request):
            continue
        loss = Loss(request, request.ended_at)
        if (
            _was_read(loss, runs[request.id])
            and not _is_disturbed(history, loss)
            and not is_excused(history, loss, runs[request.id])
        ):
            losses.append(loss)
    return losses


def has_ended(history: History, request: SentRequest) -> bool:
    """Whether a host ended a request without a whole answer."""
    return (
        not request.is_complete
        and not request.is_abandoned
        and request.ended_at is not None
        and request.ended_at <= history.end
    )


def group_runs(history: History) -> defaultdict[str, list[ServerRun]]:
    """Return the executions by request."""
    runs = defaultdict(list)
    for run in history.runs:
        runs[run.id].append(run)
    return runs


def is_excused(history: History, loss: Loss, runs: Sequence[ServerRun]) -> bool:
    """Whether a loss is excused.

    The server, the request's time, the end of its host, or failed replies to orders to
    stop its run excuse it.
    """
    if any(run.has_broken_off for run in runs):
        return True
    if history.is_cut_by_order(loss.request):
        return True
    if history.is_restarted(runs):
        return True
    return loss.used_share >= 1 or was_cut_by_exit(history, loss, runs)


def was_cut_by_exit(history: History, loss: Loss, runs: Sequence[ServerRun]) -> bool:
    """Whether a server still worked on a request that its host's exit may cut.

    The caller may see the end later, if it reads slowly what the kernel still sends.
    """
    for boot in _list_boots(history, loss.request.host):
        if boot.leaves_at is None:
            continue
        begin = boot.leaves_at + GRACE_SECONDS * (1 - LAST_SHARE)
        was_running = any(run.ended_at is None or run.ended_at >= begin for run in runs)
        was_sent_to_it = (
            boot.started_at <= loss.request.sent_at <= boot.leaves_at + OPEN_SECONDS
        )
        if was_running and was_sent_to_it and begin <= loss.ended_at:
            return True
    return False


def find_time_limit(request: SentRequest) -> float:
    """Return the seconds after which a host abandons a request."""
    return min(find_timeout(request), request.kind.route_timeout)


def count_leaving(history: History) -> dict[str, int]:
    """Return how many hosts left, and how many requests they took and cut then."""
    runs = group_runs(history)
    boots = [boot for boot in history.boots if boot.leaves_at is not None]
    late = [
        request
        for boot in boots
        for request in history.requests.values()
        if request.host == boot.host
        and boot.leaves_at is not None
        and boot.leaves_at < request.sent_at < (boot.exited_at or history.end)
    ]
    cut = [
        request
        for request in history.requests.values()
        if has_ended(history, request)
        and was_cut_by_exit(
            history, Loss(request, request.ended_at or 0.0), runs[request.id]
        )
    ]
    return {
        "hosts that left": len(boots),
        "sent to leaving hosts": len(late),
        "cut by exits": len(cut),
    }


def _was_read(loss: Loss, runs: Sequence[ServerRun]) -> bool:
    """Whether a process read the whole request and kept it longer than allowed.

    A connection is reset if its process ends before it has read all that was sent.
    """
    if runs:
        return True
    request = loss.request
    is_read = request.status != 0 or not request.is_reset
    return (
        is_read and request.sent_by > 0 and loss.ended_at > request.sent_by + LOSS_SLACK
    )


def _is_disturbed(history: History, loss: Loss) -> bool:
    """Whether an unplanned fault excuses a loss.

    A host that is partitioned from all servers depends on the other hosts. Trouble of
    the store alone does not excuse requests without a stream.
    """
    request = loss.request
    begin = request.sent_at - CONTACT_SECONDS
    depends_on_all = any(
        request.host in partition.hosts
        and partition.begin <= loss.ended_at
        and partition.end >= request.sent_at
        for partition in history.partitions
    )
    return any(
        not disturbance.is_planned
        and (request.kind.is_stream or not disturbance.affects_store_only)
        and (depends_on_all or disturbance.host in {"", request.host})
        and disturbance.begin <= loss.ended_at
        and disturbance.end >= begin
        for disturbance in history.disturbances
    )


def _is_in_touch(history: History, request: SentRequest) -> bool:
    """Whether the host of a request was in touch from its start to its end."""
    begin = request.sent_at - CONTACT_SECONDS
    end = request.ended_at or history.end
    if any(
        disturbance.host in {"", request.host}
        and disturbance.begin <= end
        and disturbance.end >= begin
        for disturbance in history.disturbances
    ):
        return False
    return not any(
        _is_starting_or_ending(boot, begin, end)
        for boot in _list_boots(history, request.host)
    )


def _is_starting_or_ending(boot: HostBoot, begin: float, end: float) -> bool:
    if begin <= boot.started_at <= end:
        return True
    exited_at = float("inf") if boot.exited_at is None else boot.exited_at
    if begin <= exited_at <= end:
        return True
    return boot.leaves_at is not None and boot.leaves_at <= end and exited_at >= begin


def _find_host_work(history: History, loss: Loss) -> str:
    """Return the planned work at a host that cut a request; empty if there is none."""
    for boot in _list_boots(history, loss.request.host):
        for sent in boot.signals:
            age = loss.ended_at - sent.at
            if sent.number == signal.SIGTERM:
                if 0 <= age <= GRACE_SECONDS + GRACE_SLACK:
                    return f"{age:.2f} s after SIGTERM"
            elif loss.request.sent_at <= sent.at + CONFIGURATION_SECONDS and age >= 0:
                return f"{age:.2f} s after SIGHUP"
    return ""


def _list_cut_by_configurations(
    history: History, host: str, losses: list[Loss]
) -> list[Loss]:
    """Return the losses beside changes of the configuration, if these are too many."""
    requests = [
        request
        for request in history.requests.values()
        if request.host == host and request.ended_at is not None
    ]
    beside = [
        loss
        for loss in losses
        if _is_beside_configuration(history, loss.ended_at)
        and loss.used_share < MAX_USED_SHARE
    ]
    count = sum(
        _is_beside_configuration(history, request.ended_at or 0.0)
        for request in requests
    )
    share = len(beside) / max(1, count)
    other_losses = [
        loss for loss in losses if not _is_beside_configuration(history, loss.ended_at)
    ]
    other_share = len(other_losses) / max(1, len(requests) - count)
    return beside if share > MAX_CUT_RATIO * other_share else []


def _is_beside_configuration(history: History, at: float) -> bool:
    period = CONFIGURATION_SECONDS + CONFIGURATION_SLACK
    return any(
        0 <= at - written_at <= period
        for written_at in history.configurations_written_at
    )


def _list_boots(history: History, host: str) -> list[HostBoot]:
    return [boot for boot in history.boots if boot.host == host]


def _describe(history: History, loss: Loss, cause: str) -> str:
    request = loss.request
    terminated_at = [
        boot.leaves_at
        for boot in _list_boots(history, request.host)
        if boot.leaves_at is not None and boot.leaves_at <= loss.ended_at
    ]
    sent = request.sent_at - max(terminated_at) if terminated_at else request.sent_at
    return (
        f"{request.id}: lost at {request.host} {cause}, sent at {sent:.2f},"
        f" took {loss.seconds:.2f} of {find_time_limit(request):.2f} s,"
        f" status {request.status}, {len(request.events)} events"
    )
