"""Servers that leave or ended: what other hosts tell, and whom this one tells."""

import trio

from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reports import (
    CellReport,
    DepartureReport,
    PeriodicReport,
    SuspectReport,
    SuspectUpdate,
)
from dewridge.gateway.sharinglink import Recipients, ReportLink
from dewridge.gateway.state import GatewayState
from dewridge.gateway.suspects import decode_suspect, take_suspects
from dewridge.gateway.watching import StoreWatcher
from dewridge.ids import BackendServerId, HostId


def take_news(
    state: GatewayState, watcher: StoreWatcher, link: ReportLink, news: PeriodicReport
) -> None:
    """Take over what another host knows of the configuration and of servers."""
    watcher.note_version(news.version)
    is_new = drop_told(state, news.host, news.departing_servers)
    is_new |= take_told_suspects(state, news.suspects)
    for progress in news.rollouts:
        state.rollouts.apply_progress(progress)
    if is_new and isinstance(news, CellReport):
        link.schedule_urgent_send(Recipients.CELL_PEERS)


def take_left(state: GatewayState, link: ReportLink, report: DepartureReport) -> None:
    """Take over which servers leave; what comes from another cell is passed on."""
    is_new = drop_told(state, report.host, report.departing_servers)
    if is_new and not report.is_cell_local:
        link.schedule_urgent_send(Recipients.CELL_PEERS)


def take_suspect_report(
    state: GatewayState, link: ReportLink, report: SuspectReport
) -> None:
    """Take over under which requests servers ended; pass on another cell's word."""
    is_new = take_told_suspects(state, report.suspects)
    if is_new and not report.is_cell_local:
        link.schedule_urgent_send(Recipients.CELL_PEERS)


def take_told_suspects(state: GatewayState, suspects: list[SuspectUpdate]) -> bool:
    """Take over what another host tells; returns whether any of it was new."""
    if not suspects:
        return False
    now = trio.current_time()
    return take_suspects(state, [decode_suspect(one, now) for one in suspects])


def drop_told(
    state: GatewayState, teller: HostId, left: dict[BackendServerId, float]
) -> bool:
    """Drop servers of which another host tells; returns whether any was in use."""
    before = state.servers.version
    now = trio.current_time()
    for server, leaves_in in left.items():
        state.servers.drop(server, now, f"{teller} told", leaves_in, is_told=True)
    return state.servers.version != before


def note_left(
    state: GatewayState,
    link: ReportLink,
    record: ServerRecord,
    gone_at: float,
    is_told: bool,
) -> None:
    """Move what runs on a server that leaves, and tell the other hosts at once.

    Who learned it from the store tells all that it tells in a round, who learned it of
    another cell its own cell, and who learned it there nobody: a hundred messages at 85
    hosts. With a round from each of them it was fifteen times as many.
    """
    state.streams.note_leaving(record.id, gone_at)
    if not is_told:
        link.schedule_urgent_send(Recipients.ALL)
