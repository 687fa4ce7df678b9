"""Servers that say that they fall over if they have to reject many requests."""

import math
from collections.abc import Callable
from dataclasses import replace

import trio
from loguru import logger as log

from dewridge.gateway.servers import ServerTable
from dewridge.http1.client import Headers
from dewridge.ids import BackendServerId
from dewridge.metrics.registry import Metrics
from dewridge.platform import names
from dewridge.platform.signals import ServerSignals
from dewridge.policy.brittleness import (
    NOTICE_LIFETIME,
    PAUSE_AFTER_REJECTION,
    BrittleServer,
    ServerLoad,
    find_tolerance,
)

STATUS_UNAVAILABLE = 503
MAX_REPORTED = 16
"""Servers whose rejections are reported to other hosts at once."""


class BrittleServers:
    """What the servers said about their tolerance for rejections.

    Attributes:
        measure_load: returns the load of a server; None if it is not in use.
    """

    def __init__(
        self,
        servers: ServerTable,
        metrics: Metrics,
        rank_host: Callable[[BackendServerId, float], tuple[int | None, int]],
    ) -> None:
        """Create a table without servers.

        Args:
            servers: table of the servers.
            metrics: counts answers and rejections.
            rank_host: returns the rank of this host among the senders of a server, and
                their number.
        """
        self._servers = servers
        self._metrics = metrics
        self._rank_host = rank_host
        self._by_server: dict[BackendServerId, BrittleServer] = {}
        self._last_observed_at = -math.inf
        self.measure_load: Callable[[BackendServerId], ServerLoad | None] = (
            lambda server: None
        )

    def record_answer(
        self,
        server: BackendServerId,
        status: int,
        headers: Headers,
        signals: ServerSignals,
    ) -> None:
        """Apply what the answer to a request says."""
        now = trio.current_time()
        if signals.tolerance is not None:
            self._record_tolerance(server, signals.tolerance, now)
        elif server in self._by_server and not signals.has_tolerance_header:
            known = self._by_server[server]
            if known.is_brittle(now):
                log.bind(server=server).info("server is no longer brittle")
            known.tolerance, known.observed_at = None, now
        is_rejection = status == STATUS_UNAVAILABLE and any(
            name == names.NOT_EXECUTED for name, _ in headers
        )
        if is_rejection and self._find_tolerance(server, now) is not None:
            load = self.measure_load(server)
            requests = None if load is None else load.requests
            self._metrics.add("rejections_by_brittle_servers_total")
            self._get(server).record_rejection(now, requests)

    def _record_tolerance(
        self, server: BackendServerId, tolerance: float, now: float
    ) -> None:
        known = self._get(server)
        if not known.is_brittle(now):
            log.bind(server=server, tolerance=tolerance).info("server is brittle")
        self._metrics.add("answers_with_pushback_total", signal="brittle")
        known.tolerance, known.observed_at = tolerance, now
        self._last_observed_at = now

    def _get(self, server: BackendServerId) -> BrittleServer:
        return self._by_server.setdefault(server, BrittleServer())

    def _find_tolerance(self, server: BackendServerId, now: float) -> float | None:
        """Return the tolerance of a server; None if it is not brittle.

        A server that has not answered yet is as brittle as the others of its service.
        """
        if now - self._last_observed_at >= NOTICE_LIFETIME:
            return None
        known = self._by_server.get(server)
        if known is not None and known.has_answered(now):
            return known.tolerance
        record = self._servers.find(server)
        if record is None:
            return None
        others = self._servers.list_service(record.service)
        return find_tolerance(
            (
                self._by_server[other.id]
                for other in others
                if other.id in self._by_server
            ),
            now,
        )

    def find_send_time(
        self, server: BackendServerId, now: float, *, is_counted: bool = False
    ) -> float:
        """Return when a server has room for one more request, if it is brittle.

        Args:
            server: the server.
            now: monotonic time.
            is_counted: whether the load includes the request already.
        """
        if self._find_tolerance(server, now) is None:
            return now
        load = self.measure_load(server)
        if load is None:
            return now
        if is_counted:
            load = replace(
                load, requests=load.requests - 1, own_requests=load.own_requests - 1
            )
        share = self._compute_share(server, load.room, now)
        has_other_share = share == 0 and self._has_share(server, load.room, now)
        return self._get(server).find_send_time(
            load, share, now, has_other_share=has_other_share
        )

    def _compute_share(self, server: BackendServerId, room: float, now: float) -> int:
        rank, host_count = self._rank_host(server, now)
        return self._get(server).compute_share(room, rank, host_count, now)

    def _has_share(self, server: BackendServerId, room: float, now: float) -> bool:
        """Whether this host has a share at some server of the same service."""
        record = self._servers.find(server)
        return record is not None and any(
            self._compute_share(other.id, room, now) > 0
            for other in self._servers.list_service(record.service)
        )

    def record_rejection(self, server: BackendServerId, at: float) -> None:
        """Record that a server rejected a request of another host."""
        if self._find_tolerance(server, trio.current_time()) is not None:
            self._get(server).record_rejection(at, None)

    def list_rejections(self, now: float) -> dict[BackendServerId, int]:
        """Return the milliseconds since each recent rejection, for reports."""
        recent = {
            server: round((now - known.rejected_at) * 1000)
            for server, known in self._by_server.items()
            if now - known.rejected_at < PAUSE_AFTER_REJECTION
        }
        newest = sorted(recent.items(), key=lambda item: item[1])
        return dict(newest[:MAX_REPORTED])

    def list_tolerances(self, now: float) -> dict[BackendServerId, float]:
        """Return the tolerance of each brittle server."""
        return {
            server: known.tolerance
            for server, known in self._by_server.items()
            if known.tolerance is not None and known.is_brittle(now)
        }

    def describe(self, server: BackendServerId, now: float) -> str:
        """Return what a brittle server said, for logs; empty if it is not brittle."""
        known = self._by_server.get(server)
        if known is None or not known.is_brittle(now):
            return ""
        age = now - known.observed_at
        text = f"brittle at {known.tolerance:g}/s, said {age:.1f} s ago"
        if now - known.rejected_at < NOTICE_LIFETIME:
            text += f", rejected a request {now - known.rejected_at:.1f} s ago"
        return text

    @property
    def is_empty(self) -> bool:
        """Whether no server said anything."""
        return not self._by_server

    def drop_expired(self, servers: set[BackendServerId], now: float) -> None:
        """Drop what no longer applies, and what is known of all other servers."""
        self._by_server = {
            server: known
            for server, known in self._by_server.items()
            if server in servers and known.has_answered(now)
        }
