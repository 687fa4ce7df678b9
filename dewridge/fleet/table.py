"""What this host knows of the backend servers, merged from all that tell of them."""

import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from dewridge.fleet.model import BackendServer, ServerState
from dewridge.ids import BackendServerId, ServiceName
from dewridge.providers.model import HostState, ListedServer

GONE_KEPT_SECONDS = 3600.0
"""How long a server that has gone is remembered. It outlasts the lag of any host
list, which would bring it back as a live one; for good would grow with each
replacement."""

Listener = Callable[[BackendServer], None]


class ServerTable:
    """Backend servers by id; does no I/O.

    A server that anybody saw leaving stays so: the host list lags, and a list
    from before the notice would otherwise send work to a server that is about
    to go, which callers notice as answers that begin anew.
    """

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self._clock = clock
        self._servers: dict[BackendServerId, BackendServer] = {}
        self._announced: dict[BackendServerId, float] = {}
        self._left: set[BackendServerId] = set()
        self._gone_at: dict[BackendServerId, float] = {}
        self._by_service: dict[ServiceName, list[BackendServer]] = {}
        self._listeners: list[Listener] = []
        self.sources: dict[str, int] = {}

    def servers(self, service: ServiceName) -> list[BackendServer]:
        """Return a service's live and leaving servers, ordered by id."""
        found = self._by_service.get(service)
        if found is None:
            found = [s for s in self.all() if service in s.listed.services]
            self._by_service[service] = found
        return list(found)

    def find(self, server: BackendServerId) -> BackendServer | None:
        """Look up a server, gone ones included."""
        return self._servers.get(server)

    def all(self) -> list[BackendServer]:
        """Return all live and leaving servers, ordered by id."""
        known = sorted(self._servers.items())
        return [s for _, s in known if s.state is not ServerState.GONE]

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` at once and briefly on each change of a server."""
        self._listeners.append(listener)

    def merge(self, listed: ListedServer) -> None:
        """Take in what a host list says of a server."""
        server = listed.backend_server
        known = self._servers.get(server)
        made = BackendServer(listed, self._decide_state(listed))
        if known is not None:
            made = replace(known, listed=listed, state=made.state)
        if made.state is ServerState.LEAVING and made.leaving_at is None:
            made = replace(made, leaving_at=self._announced.get(server, self._clock()))
        self._put(made)

    def _decide_state(self, listed: ListedServer) -> ServerState:
        server = listed.backend_server
        if listed.state is not HostState.LIVE:
            self._left.add(server)
        if listed.state is HostState.GONE:
            return ServerState.GONE
        if server not in self._left:
            return ServerState.LIVE
        known = self._servers.get(server)
        if known is not None and known.state is ServerState.GONE:
            return ServerState.GONE
        return ServerState.LEAVING

    def handle_leaving(
        self, server: BackendServerId, at: float | None, source: str
    ) -> bool:
        """Record that a server leaves, also one that no list has shown yet.

        Args:
            server: its id.
            at: seconds since 1970 when it goes; None if that is not known, in
                which case it may go at any moment.
            source: who said so, for counting.

        Returns:
            Whether that was news.
        """
        is_news = server not in self._left
        is_time_news = at is not None and self._announced.get(server) != at
        self._left.add(server)
        if at is not None:
            self._announced[server] = at
        if is_news:
            self.sources[source] = self.sources.get(source, 0) + 1
        known = self._servers.get(server)
        if known is not None and known.state is not ServerState.GONE:
            leaving_at = self._announced.get(server, known.leaving_at or self._clock())
            self._put(replace(known, state=ServerState.LEAVING, leaving_at=leaving_at))
        return is_news or is_time_news

    def note_gone(self, server: BackendServerId) -> None:
        """Record that the host list has dropped a server.

        A server that was not seen leaving comes back if a later list shows it:
        a host list that lost its records for a while must not end the servers.
        """
        known = self._servers.get(server)
        if known is not None:
            self._put(replace(known, state=ServerState.GONE))

    def note_load(self, server: BackendServerId, load: float, at: float) -> None:
        """Take in a server's own report, unless a newer one is known."""
        known = self._servers.get(server)
        if known is not None and at > known.load_at:
            self._servers[server] = replace(known, load=load, load_at=at)
            self._by_service.clear()

    def is_leaving(self, server: BackendServerId) -> bool:
        """Whether anybody saw the server leaving."""
        return server in self._left

    def find_announced(self, server: BackendServerId) -> float | None:
        """Return when a leaving server goes, if anybody said so."""
        return self._announced.get(server)

    def forget_gone(self) -> None:
        """Drop servers that went long ago."""
        limit = self._clock() - GONE_KEPT_SECONDS
        for server in [s for s, at in self._gone_at.items() if at < limit]:
            del self._gone_at[server]
            self._servers.pop(server, None)
            self._left.discard(server)
            self._announced.pop(server, None)

    def _put(self, made: BackendServer) -> None:
        if self._servers.get(made.id) == made:
            return
        self._servers[made.id] = made
        if made.state is ServerState.GONE:
            self._gone_at.setdefault(made.id, self._clock())
        else:
            self._gone_at.pop(made.id, None)
        self._by_service.clear()
        for listener in self._listeners:
            listener(made)

    def describe(self) -> dict[str, Any]:
        """Return counts by state and service, and the servers that leave."""
        return {
            "states": count(s.state.value for s in self._servers.values()),
            "services": count(n for s in self.all() for n in s.listed.services),
            "leaving": {
                s.id: s.leaving_at for s in self.all() if s.state is ServerState.LEAVING
            },
            "leaving_first_said_by": dict(self.sources),
        }


def count(names: Iterable[str]) -> dict[str, int]:
    """Count names."""
    counts: dict[str, int] = {}
    for name in names:
        counts[name] = counts.get(name, 0) + 1
    return counts
