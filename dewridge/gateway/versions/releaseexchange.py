"""Exchange of the versions that hosts saw recently.

Each periodic report has a digest of the versions that its sender saw. A host whose own
ones differ sends them to that peer and gets the peer's, so that a version that one host
knows is known to all that hear it, whether or not they reach the store.
"""

from collections.abc import Callable, Mapping

import trio

from dewridge.gateway.datagrams import PeerAddress
from dewridge.gateway.hosts import HostEntry
from dewridge.gateway.reports import (
    PeriodicReport,
    RecentReleases,
    Report,
    ReportedRelease,
    StreamVersionMessage,
)
from dewridge.gateway.versions.freshness import ConfirmedBy
from dewridge.gateway.versions.records import StreamVersions
from dewridge.ids import HostId
from dewridge.policy.streamversions import MAX_NAME_LENGTH, RETENTION, SeenRelease

MIN_EXCHANGE_INTERVAL = 0.3
"""Seconds between two exchanges with one peer: an exchange takes some tenths of a
second in a busy host, and a lost one has to be repeated."""
MAX_RELEASES_PER_DATAGRAM = 15
"""Some 1,200 bytes, which fit into one packet."""

SendMessage = Callable[[str, StreamVersionMessage], None]
"""Sends a message to a peer's address `a.b.c.d:port`."""


class ReleaseExchange:
    """Compares this host's recent versions with those of its peers."""

    def __init__(
        self,
        versions: StreamVersions,
        local_host: HostId,
        list_hosts: Callable[[], list[HostEntry]],
        send: SendMessage,
    ) -> None:
        """Create the exchange.

        Args:
            versions: the versions that this host knows.
            local_host: this host.
            list_hosts: returns the other registered hosts.
            send: sends a message.
        """
        self._versions = versions
        self._local_host = local_host
        self._list_hosts = list_hosts
        self._send = send
        self._exchanged_at: dict[HostId, float] = {}

    def compare(self, report: PeriodicReport) -> None:
        """Exchange versions with a peer whose report shows other ones."""
        now = trio.current_time()
        if report.releases in {None, self._versions.history.compute_digest(now)}:
            return
        last_at = self._exchanged_at.get(report.host, float("-inf"))
        if now - last_at < MIN_EXCHANGE_INTERVAL:
            return
        peers: Mapping[HostId, HostEntry] = {
            entry.id: entry for entry in self._list_hosts()
        }
        peer = peers.get(report.host)
        if peer is None:
            return
        self._exchanged_at = {
            host: at
            for host, at in self._exchanged_at.items()
            if now - at < MIN_EXCHANGE_INTERVAL
        }
        self._exchanged_at[report.host] = now
        self._send_releases(peer.peers, wants_answer=True)

    def confirm(self, report: Report, made_at: float) -> None:
        """Confirm this host's view by a peer that has seen the same versions.

        Args:
            report: the peer's report.
            made_at: the earliest time on the boot clock at which it can have been made.
        """
        digest = self._versions.history.compute_digest(trio.current_time())
        if report.versions_age_ms is None or report.releases != digest:
            return
        age = max(0, report.versions_age_ms) / 1000
        self._versions.view.confirm(made_at - age, ConfirmedBy.PEER)

    def receive(self, message: StreamVersionMessage, sender: PeerAddress) -> None:
        """Apply the versions of a peer, and send this host's own if it wants them."""
        if not isinstance(message, RecentReleases):
            return
        now = trio.current_time()
        if message.wants_answer:
            self._send_releases(f"{sender[0]}:{sender[1]}", wants_answer=False)
        self._versions.merge(
            [
                SeenRelease(
                    reported.service,
                    reported.release,
                    reported.name[:MAX_NAME_LENGTH],
                    now - max(0, reported.age_ms) / 1000,
                )
                for reported in message.releases
            ],
            now,
        )

    def _send_releases(self, address: str, *, wants_answer: bool) -> None:
        now = trio.current_time()
        reported = [
            ReportedRelease(
                seen.service,
                seen.release,
                seen.name,
                min(round((now - seen.seen_at) * 1000), round(RETENTION * 1000)),
            )
            for seen in self._versions.history.list_seen(now)
        ]
        for first in range(0, max(1, len(reported)), MAX_RELEASES_PER_DATAGRAM):
            part = reported[first : first + MAX_RELEASES_PER_DATAGRAM]
            is_first = first == 0
            message = RecentReleases(self._local_host, part, wants_answer and is_first)
            self._send(address, message)
