"""Reports of the servers' request limits to other hosts, and from them.

A host reports only what its own answers showed, and for its cell, what those of the
cell's hosts showed. If hosts repeated what others reported, the delay of each message
would make a notice look newer, and one that was repeated would never become stale.
"""

import trio

from dewridge.gateway.reports import LimitUpdate, PeriodicReport
from dewridge.gateway.rotation import select_part
from dewridge.gateway.sharing import SharedReports
from dewridge.gateway.state import GatewayState
from dewridge.ids import BackendServerId
from dewridge.policy.requestlimits import LimitNotice, select_notice

LIMIT_REPORT_TIME = 8.0
"""Seconds for which a notice is reported: longer than the ramp after the end of a
limit, and less than the time after which it is stale."""
LIMITS_PER_REPORT = 16
"""Maximum number of notices in a report, some 600 bytes; the others follow in later
reports."""
UNITS_PER_REQUEST = 1000
"""Units per request in which reports give limits."""


def list_limit_updates(state: GatewayState, number: int) -> list[LimitUpdate]:
    """Return the notices of this host's own answers for a report of a given number."""
    now = trio.current_time()
    updates = [
        encode_notice(server, notice, now)
        for server, notice in state.pushback.list_own_notices().items()
        if now - notice.observed_at < LIMIT_REPORT_TIME
    ]
    return select_part(updates, number, LIMITS_PER_REPORT)


def merge_cell_limits(
    own: list[LimitUpdate], sharing: SharedReports, number: int, now: float
) -> list[LimitUpdate]:
    """Return the newest notices of the local cell, for hosts of other cells."""
    newest: dict[BackendServerId, LimitNotice] = {}
    received = [(own, now)]
    received += [
        (view.report.limits, view.received_at) for view in sharing.cell_peers.values()
    ]
    for updates, received_at in received:
        for update in updates:
            notice = decode_notice(update, received_at)
            if now - notice.observed_at < LIMIT_REPORT_TIME:
                newest[update.server] = select_notice(newest.get(update.server), notice)
    updates = [encode_notice(server, notice, now) for server, notice in newest.items()]
    return select_part(updates, number, LIMITS_PER_REPORT)


def apply_reported_limits(state: GatewayState, report: PeriodicReport) -> None:
    """Apply the notices in a report; those of unknown servers are ignored."""
    now = trio.current_time()
    for update in report.limits:
        if state.servers.find(update.server) is not None:
            notice = decode_notice(update, now)
            state.pushback.merge_notice(update.server, notice, report.host)


def encode_notice(
    server: BackendServerId, notice: LimitNotice, now: float
) -> LimitUpdate:
    """Return a notice's wire form, with its age instead of a local monotonic time."""
    return LimitUpdate(
        server,
        round(notice.limit * UNITS_PER_REQUEST),
        max(0, round((now - notice.observed_at) * 1000)),
        notice.has_ended,
    )


def decode_notice(update: LimitUpdate, received_at: float) -> LimitNotice:
    """Return a reported notice, with a monotonic time of this host.

    A notice from the future would be newer than all that the server says from now on.
    """
    return LimitNotice(
        update.limit / UNITS_PER_REQUEST,
        received_at - max(0, update.age_ms) / 1000,
        update.has_ended,
    )
