"""Handling of leaving, returning and crashed servers, with reports between hosts."""

import trio

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.limitsharing import apply_reported_limits
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reports import (
    TENTHS_PER_SECOND,
    CellReport,
    DepartureReport,
    PeriodicReport,
    Report,
    ServerRegistrations,
    SuspectReport,
    SuspectUpdate,
)
from dewridge.gateway.sharinglink import Recipients, ReportLink
from dewridge.gateway.state import GatewayState
from dewridge.gateway.suspects import decode_suspect, merge_suspects
from dewridge.gateway.watching import StoreWatcher
from dewridge.ids import BackendServerId, HostId, Registration

MAX_REPORT_DELAY = 2.0
"""Seconds that a report may have taken if it shows when the store answered its sender:
two rounds of reports in a large fleet."""


def apply_peer_update(
    state: GatewayState, watcher: StoreWatcher, link: ReportLink, update: PeriodicReport
) -> None:
    """Apply a peer's report on the configuration, servers and rollouts.

    What is new in a report from another cell is broadcast to the cell peers at once.
    """
    watcher.configuration.receive_version(update.version, update.host)
    state.compare_releases(update)
    now = trio.current_time()
    added = state.unknown_servers.record(update.totals.servers, update.host, now)
    watcher.receive_servers(added)
    is_new = apply_reported_servers(
        state, update.host, update.departing_servers, update.registrations
    )
    is_new |= apply_reported_suspects(state, update.suspects)
    apply_reported_limits(state, update)
    apply_reported_rejections(state, update)
    for progress in update.rollouts:
        state.rollouts.apply_progress(progress)
    if is_new and isinstance(update, CellReport):
        link.schedule_urgent_send(Recipients.CELL_PEERS)


def apply_reported_rejections(state: GatewayState, update: PeriodicReport) -> None:
    """Apply what a peer reports about requests that brittle servers rejected."""
    now = trio.current_time()
    for server, age_ms in update.rejections.items():
        state.pushback.brittle.record_rejection(server, now - max(0, age_ms) / 1000)


def apply_store_calls(state: GatewayState, report: Report, made_at: float) -> None:
    """Apply when the store answered a peer, which may show that it was not away.

    Args:
        state: the state of this host.
        report: the peer's report.
        made_at: the earliest time on the boot clock at which it can have been made.
    """
    if read_boot_clock() - made_at > MAX_REPORT_DELAY:
        return
    now = trio.current_time()

    def find_time(age: int | None) -> float | None:
        return None if age is None else now - age / TENTHS_PER_SECOND

    state.servers.outages.record_peer_calls(
        find_time(report.store_answer_age), find_time(report.store_failure_age), now
    )


def apply_left_report(
    state: GatewayState, link: ReportLink, report: DepartureReport
) -> None:
    """Apply a report of leaving and returning servers.

    A report from another cell is forwarded to the cell peers.
    """
    is_new = apply_reported_servers(
        state, report.host, report.departing_servers, report.registrations
    )
    if is_new and not report.is_cell_local:
        link.schedule_urgent_send(Recipients.CELL_PEERS)


def apply_suspect_report(
    state: GatewayState, link: ReportLink, report: SuspectReport
) -> None:
    """Apply a report of requests during which servers crashed.

    A report from another cell is forwarded to the cell peers.
    """
    is_new = apply_reported_suspects(state, report.suspects)
    if is_new and not report.is_cell_local:
        link.schedule_urgent_send(Recipients.CELL_PEERS)


def apply_reported_suspects(state: GatewayState, suspects: list[SuspectUpdate]) -> bool:
    """Apply suspect requests that a peer reports; return whether any of it was new."""
    if not suspects:
        return False
    now = trio.current_time()
    return merge_suspects(state, [decode_suspect(suspect, now) for suspect in suspects])


def apply_reported_servers(
    state: GatewayState,
    reporter: HostId,
    left: dict[BackendServerId, float],
    registrations: ServerRegistrations,
) -> bool:
    """Apply that servers left or returned; return whether that changed the table.

    Args:
        state: the state of this host.
        reporter: the peer that reports it.
        left: seconds until each departing server stops serving.
        registrations: tells which of them may return, and which servers have returned.
    """
    previous_version = state.servers.version
    now = trio.current_time()
    for server, leaves_in in left.items():
        lapsed = registrations.lapsed.get(server)
        state.servers.drop(
            server,
            now,
            f"{reporter} told",
            leaves_in,
            is_reported=True,
            lapsed=None if lapsed is None else Registration(*lapsed),
        )
    for server, registration in registrations.returned.items():
        state.servers.apply_reported_return(server, Registration(*registration), now)
    unknown = [
        server
        for server in registrations.returned
        if not state.servers.has_known(server)
    ]
    state.unknown_servers.record(unknown, reporter, now)
    return state.servers.version != previous_version


def handle_server_left(
    state: GatewayState,
    link: ReportLink,
    record: ServerRecord,
    stops_at: float,
    is_reported_by_peer: bool,
) -> None:
    """Move the streams on a leaving server, and report it to the other hosts at once.

    A host that learns of it from the store sends to all its report targets. A host that
    learns of it from another cell sends only to its cell peers, and a host that learns
    of it from a cell peer sends nothing. With 85 hosts this takes a hundred messages; a
    report from every host to all its targets took fifteen times as many.
    """
    departure = state.servers.find_departure(record.id)
    if departure is not None:
        # A stream that its new server rejects has to return within the notice.
        stops_at = departure.notice_ends_at
    state.streams.schedule_moves(record.id, stops_at)
    if not is_reported_by_peer:
        link.schedule_urgent_send(Recipients.ALL)


def handle_server_returned(
    state: GatewayState,
    link: ReportLink,
    record: ServerRecord,
    is_reported_by_peer: bool,
) -> None:
    """Let the streams on a returned server run on, and report it to the other hosts."""
    state.metrics.add("servers_returned_total", service=record.service)
    state.streams.cancel_moves(record.id)
    if not is_reported_by_peer:
        link.schedule_urgent_send(Recipients.ALL)
