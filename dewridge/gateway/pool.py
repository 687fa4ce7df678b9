"""Connections to backend servers: kept while they are surely usable."""

from collections import defaultdict, deque
from dataclasses import dataclass

import trio

from dewridge.gateway.model import ServerRecord
from dewridge.http1.client import ClientConnection, ConnectFailure, open_connection
from dewridge.http1.reach import probe_server
from dewridge.ids import BackendServerId, ServiceName
from dewridge.policy.idletime import IdleTime
from dewridge.policy.losses import Reach

MOST_IDLE = 4
"""Idle connections kept for each server: what a burst of one round trip uses."""
CONNECT_TIMEOUT = 0.35
"""Seconds to connect: a hundred times a round trip, and less than the 1 s after which
the kernel repeats a lost first packet. Nothing was sent, so that another server can
be tried without risk."""


@dataclass
class Kept:
    """An idle connection to a server of a service."""

    connection: ClientConnection
    service: ServiceName


class ConnectionPool:
    """Idle connections by start of a server; starts never share connections."""

    def __init__(self) -> None:
        self._idle: dict[BackendServerId, deque[Kept]] = defaultdict(deque)
        self._times: dict[ServiceName, IdleTime] = defaultdict(IdleTime)
        self.opened = 0
        self.reused = 0

    def take(
        self, server: ServerRecord, *, must_arrive: bool
    ) -> ClientConnection | None:
        """Return a connection that is open and quiet; None if there is none.

        Args:
            server: where it leads.
            must_arrive: whether what is sent on it can't be sent again.
        """
        idle = self._idle.get(server.id)
        while idle:
            kept = idle[-1]
            age = trio.current_time() - kept.connection.idle_since
            if age > self._find_limit(kept, must_arrive=must_arrive):
                return None
            idle.pop()
            if self._look(kept, age):
                self.reused += 1
                return kept.connection
            kept.connection.close()
        return None

    async def open(self, server: ServerRecord) -> ClientConnection | None:
        """Open a connection; None if the server does not accept one in time."""
        self.opened += 1
        connection = await open_connection(server.address, CONNECT_TIMEOUT)
        return None if isinstance(connection, ConnectFailure) else connection

    async def probe(self, server: ServerRecord) -> Reach:
        """Return whether a server accepts connections."""
        self.opened += 1
        return await probe_server(server.address)

    def put_back(self, server: ServerRecord, connection: ClientConnection) -> None:
        """Keep a connection that ended an exchange cleanly."""
        idle = self._idle[server.id]
        idle.append(Kept(connection, server.service))
        while len(idle) > MOST_IDLE:
            idle.popleft().connection.close()

    def note_broken(self, server: ServerRecord) -> None:
        """Drop what is kept for a server that left a request on such a one unanswered.

        A path that went silent, or a server that is gone without a word, shows only so;
        all connections to it are in the same state.
        """
        self._times[server.service].note_closed(0.0)
        for kept in self._idle.pop(server.id, ()):
            kept.connection.close()

    def drop_old(self) -> None:
        """Close the connections that are too old, and learn from those still open."""
        now = trio.current_time()
        for server, idle in list(self._idle.items()):
            while idle:
                kept = idle[0]
                age = now - kept.connection.idle_since
                if age <= self._find_limit(kept, must_arrive=False):
                    break
                self._look(kept, age)
                idle.popleft().connection.close()
            if not idle:
                del self._idle[server]

    def _find_limit(self, kept: Kept, *, must_arrive: bool) -> float:
        announced = kept.connection.keep_alive_timeout
        times = self._times[kept.service]
        return times.find_limit(announced, must_arrive=must_arrive)

    def _look(self, kept: Kept, age: float) -> bool:
        """Return whether a connection is open, and learn how long they stay so."""
        is_open = kept.connection.is_open_and_idle()
        if is_open:
            self._times[kept.service].note_open(age)
        else:
            self._times[kept.service].note_closed(age)
        return is_open
