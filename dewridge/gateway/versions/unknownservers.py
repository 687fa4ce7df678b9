"""Servers that peers send requests to, and that this host does not know."""

from collections.abc import Callable, Iterable

import trio
from loguru import logger as log

from dewridge.ids import BackendServerId, HostId

OVERDUE_AFTER = 0.5
"""Seconds after which a host that reads the store usually knows a server that a peer
uses."""
MAX_SERVERS = 1_000
"""Servers retained; further ones are ignored."""
RETENTION = 10.0
"""Seconds after the last report for which a server is retained."""
MAX_QUERIES = 10
"""Queries for a server. A peer may use one whose record this host rejects."""


class UnknownServers:
    """The servers in peers' reports that are missing in this host's table."""

    def __init__(self, is_known: Callable[[BackendServerId], bool]) -> None:
        """Create the table.

        Args:
            is_known: whether this host knows a server, or that it has left.
        """
        self._is_known = is_known
        self._first_named: dict[BackendServerId, float] = {}
        self._last_named: dict[BackendServerId, tuple[float, HostId]] = {}
        self._queries: dict[BackendServerId, int] = {}
        self._logged: set[BackendServerId] = set()
        self._recorded = trio.Event()

    def record(
        self, servers: Iterable[BackendServerId], peer: HostId, now: float
    ) -> list[BackendServerId]:
        """Record the servers that a peer uses; return those named the first time."""
        added = []
        for server in servers:
            if self._is_known(server):
                continue
            if server not in self._first_named:
                if len(self._first_named) >= MAX_SERVERS:
                    continue
                self._first_named[server] = now
                self._queries[server] = 0
                added.append(server)
            self._last_named[server] = (now, peer)
        if added:
            self._recorded.set()
        return added

    async def wait(self) -> None:
        """Wait until there are servers to ask for."""
        while min(self._queries.values(), default=MAX_QUERIES) >= MAX_QUERIES:
            self._recorded = trio.Event()
            await self._recorded.wait()

    def drop_known(self, now: float) -> None:
        """Forget servers that this host knows by now, or that no peer uses any more."""
        dropped = [
            server
            for server, (at, _) in self._last_named.items()
            if now - at > RETENTION or self._is_known(server)
        ]
        for server in dropped:
            del self._first_named[server]
            del self._queries[server]
            del self._last_named[server]
            self._logged.discard(server)

    def take_queries(self) -> dict[HostId, list[BackendServerId]]:
        """Return the servers to ask for now, by the peer that named them last."""
        servers: dict[HostId, list[BackendServerId]] = {}
        for server, (_, peer) in self._last_named.items():
            if self._queries[server] < MAX_QUERIES:
                self._queries[server] += 1
                servers.setdefault(peer, []).append(server)
        return servers

    def log_overdue(self, now: float, versions_age: float) -> None:
        """Log once each server that this host should know by now.

        Args:
            now: monotonic time.
            versions_age: seconds since this host knew all servers by the store.
        """
        for server, named_at in self._first_named.items():
            if now - named_at > OVERDUE_AFTER and server not in self._logged:
                self._logged.add(server)
                log.bind(
                    server=server,
                    peer=self._last_named[server][1],
                    versions_age=round(versions_age, 2),
                ).warning("server is known to peers only")

    def __len__(self) -> int:
        return len(self._first_named)
