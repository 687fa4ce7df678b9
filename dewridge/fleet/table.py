"""Table of the backend servers known to this host, merged from all sources."""

import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from dewridge.fleet.model import BackendServer, ServerState
from dewridge.ids import BackendServerId, ServiceName
from dewridge.providers.model import HostState, ListedServer

GONE_RETENTION_SECONDS = 3600.0
"""Time for which the record of a removed server is retained. It exceeds the lag of any
host list; a lagging list would otherwise add the server again as a live one. Without
expiry the table would grow with each replaced server."""

Listener = Callable[[BackendServer], None]


class ServerTable:
    """Backend servers by id; does no I/O.

    A server that any source reported as leaving stays leaving. The host list lags:
    with a list from before the notice, this host would send requests to a server that
    is about to stop, and callers would see their answers restart.

    Attributes:
        sources: number of departures that each source was the first to report.
    """

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self._clock = clock
        self._servers: dict[BackendServerId, BackendServer] = {}
        self._leaving_times: dict[BackendServerId, float] = {}
        self._leaving_ids: set[BackendServerId] = set()
        self._gone_at: dict[BackendServerId, float] = {}
        self._by_service: dict[ServiceName, list[BackendServer]] = {}
        self._listeners: list[Listener] = []
        self.sources: dict[str, int] = {}

    def servers(self, service: ServiceName) -> list[BackendServer]:
        """Return a service's live and leaving servers, ordered by id."""
        found = self._by_service.get(service)
        if found is None:
            found = [s for s in self.list_present() if service in s.listed.services]
            self._by_service[service] = found
        return list(found)

    def find(self, server: BackendServerId) -> BackendServer | None:
        """Look up a server, also a removed one."""
        return self._servers.get(server)

    def list_present(self) -> list[BackendServer]:
        """Return all live and leaving servers, ordered by id."""
        known = sorted(self._servers.items())
        return [s for _, s in known if s.state is not ServerState.GONE]

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` synchronously on each change; it must not block."""
        self._listeners.append(listener)

    def merge(self, listed: ListedServer) -> None:
        """Apply a server's record from the host list."""
        server = listed.backend_server
        known = self._servers.get(server)
        updated = BackendServer(listed, self._decide_state(listed))
        if known is not None:
            updated = replace(known, listed=listed, state=updated.state)
        if updated.state is ServerState.LEAVING and updated.leaving_at is None:
            updated = replace(
                updated, leaving_at=self._leaving_times.get(server, self._clock())
            )
        self._store(updated)

    def _decide_state(self, listed: ListedServer) -> ServerState:
        server = listed.backend_server
        if listed.state is not HostState.LIVE:
            self._leaving_ids.add(server)
        if listed.state is HostState.GONE:
            return ServerState.GONE
        if server not in self._leaving_ids:
            return ServerState.LIVE
        known = self._servers.get(server)
        if known is not None and known.state is ServerState.GONE:
            return ServerState.GONE
        return ServerState.LEAVING

    def handle_leaving(
        self, server: BackendServerId, at: float | None, source: str
    ) -> bool:
        """Record that a server is leaving, even if it is not listed yet.

        Args:
            server: its id.
            at: Unix time in seconds when it leaves; None if unknown, in which
                case it may stop at any moment.
            source: where the report came from; counted in `sources`.

        Returns:
            Whether the departure or its time was not known before.
        """
        is_new = server not in self._leaving_ids
        is_new_time = at is not None and self._leaving_times.get(server) != at
        self._leaving_ids.add(server)
        if at is not None:
            self._leaving_times[server] = at
        if is_new:
            self.sources[source] = self.sources.get(source, 0) + 1
        known = self._servers.get(server)
        if known is not None and known.state is not ServerState.GONE:
            leaving_at = self._leaving_times.get(
                server, known.leaving_at or self._clock()
            )
            self._store(
                replace(known, state=ServerState.LEAVING, leaving_at=leaving_at)
            )
        return is_new or is_new_time

    def record_gone(self, server: BackendServerId) -> None:
        """Record that a server has disappeared from the host list.

        A server that was not leaving becomes live again if a later list shows it: a
        host list that lost its records for a while must not remove servers for good.
        """
        known = self._servers.get(server)
        if known is not None:
            self._store(replace(known, state=ServerState.GONE))

    def record_load(self, server: BackendServerId, load: float, at: float) -> None:
        """Record the load that a server reported, unless a newer report is known."""
        known = self._servers.get(server)
        if known is not None and at > known.load_at:
            self._servers[server] = replace(known, load=load, load_at=at)
            self._by_service.clear()

    def is_leaving(self, server: BackendServerId) -> bool:
        """Whether any source reported the server as leaving."""
        return server in self._leaving_ids

    def find_leaving_time(self, server: BackendServerId) -> float | None:
        """Return the Unix time when a leaving server leaves, if it was announced."""
        return self._leaving_times.get(server)

    def drop_expired(self) -> None:
        """Drop servers that were removed more than `GONE_RETENTION_SECONDS` ago."""
        oldest = self._clock() - GONE_RETENTION_SECONDS
        for server in [s for s, at in self._gone_at.items() if at < oldest]:
            del self._gone_at[server]
            self._servers.pop(server, None)
            self._leaving_ids.discard(server)
            self._leaving_times.pop(server, None)

    def _store(self, updated: BackendServer) -> None:
        if self._servers.get(updated.id) == updated:
            return
        self._servers[updated.id] = updated
        if updated.state is ServerState.GONE:
            self._gone_at.setdefault(updated.id, self._clock())
        else:
            self._gone_at.pop(updated.id, None)
        self._by_service.clear()
        for listener in self._listeners:
            listener(updated)

    def describe(self) -> dict[str, Any]:
        """Return counts by state and by service, and the leaving servers."""
        return {
            "states": count_names(s.state.value for s in self._servers.values()),
            "services": count_names(
                n for s in self.list_present() for n in s.listed.services
            ),
            "leaving": {
                s.id: s.leaving_at
                for s in self.list_present()
                if s.state is ServerState.LEAVING
            },
            "leaving_first_said_by": dict(self.sources),
        }


def count_names(names: Iterable[str]) -> dict[str, int]:
    """Return the number of occurrences of each name."""
    counts: dict[str, int] = {}
    for name in names:
        counts[name] = counts.get(name, 0) + 1
    return counts
