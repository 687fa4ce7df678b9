"""Pool of idle connections to backend servers, retained while certainly usable."""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass

import trio

from dewridge.gateway.model import ServerRecord
from dewridge.http1.client import ClientConnection, ConnectFailure, open_connection
from dewridge.http1.reach import probe_server
from dewridge.ids import BackendServerId, ServiceName
from dewridge.policy.idletime import IdleLimitEstimator
from dewridge.policy.losses import ConnectResult

MAX_IDLE_PER_SERVER = 4
"""Idle connections retained for each server: as many as a burst of requests within one
round trip uses."""
CONNECT_TIMEOUT = 0.35
"""Timeout in seconds: a hundred round trips, and less than the 1 s after which the
kernel retransmits a lost first packet. No request has been sent by then, so another
server can be tried without risk."""


@dataclass
class IdleConnection:
    """An idle connection with the service of its server."""

    connection: ClientConnection
    service: ServiceName


class ConnectionPool:
    """Idle connections by server process.

    A restarted server is a different process and never reuses earlier connections.

    Attributes:
        opened: connections opened so far.
        reused: times that an idle connection was used again.
        connect_failures: connections that could not be opened, by result.
    """

    def __init__(self) -> None:
        self._idle: dict[BackendServerId, deque[IdleConnection]] = defaultdict(deque)
        self._idle_times: dict[ServiceName, IdleLimitEstimator] = defaultdict(
            IdleLimitEstimator
        )
        self.opened = 0
        self.reused = 0
        self.connect_failures: Counter[ConnectFailure] = Counter()

    def acquire_idle(
        self, server: ServerRecord, *, is_non_retryable: bool
    ) -> ClientConnection | None:
        """Return an open connection without pending input; None if there is none.

        Args:
            server: the server to connect to.
            is_non_retryable: whether the request can't be retried if it is lost; only
                more recently used connections are returned then.
        """
        connections = self._idle.get(server.id)
        while connections:
            idle = connections[-1]
            age = trio.current_time() - idle.connection.idle_since
            if age > self._compute_idle_limit(idle, is_non_retryable=is_non_retryable):
                return None
            connections.pop()
            if self._check_open(idle, age):
                self.reused += 1
                return idle.connection
            idle.connection.close()
        return None

    async def open(self, server: ServerRecord) -> ClientConnection | ConnectFailure:
        """Open a connection; return why the server does not accept it in time."""
        self.opened += 1
        connection = await open_connection(server.address, CONNECT_TIMEOUT)
        if isinstance(connection, ConnectFailure):
            self.connect_failures[connection] += 1
        return connection

    async def probe(self, server: ServerRecord) -> ConnectResult:
        """Return whether a server accepts new connections."""
        self.opened += 1
        return await probe_server(server.address)

    def release(self, server: ServerRecord, connection: ClientConnection) -> None:
        """Return a connection to the pool after a cleanly completed exchange."""
        connections = self._idle[server.id]
        connections.append(IdleConnection(connection, server.service))
        while len(connections) > MAX_IDLE_PER_SERVER:
            connections.popleft().connection.close()

    def handle_broken(self, server: ServerRecord) -> None:
        """Close all idle connections to a server after a reused one failed.

        A request that stays unanswered on a reused connection is the only sign of a
        broken network path or of a server that ended without closing its connections.
        The other idle connections to that server are in the same state.
        """
        self._idle_times[server.service].record_closed(0.0)
        self.close_idle(server.id)

    def close_idle(self, server: BackendServerId) -> None:
        """Close all idle connections to a server."""
        for idle in self._idle.pop(server, ()):
            idle.connection.close()

    def close_expired(self) -> None:
        """Close connections idle beyond their limit, and adjust the limit by them."""
        now = trio.current_time()
        for server, connections in list(self._idle.items()):
            while connections:
                idle = connections[0]
                age = now - idle.connection.idle_since
                if age <= self._compute_idle_limit(idle, is_non_retryable=False):
                    break
                self._check_open(idle, age)
                connections.popleft().connection.close()
            if not connections:
                del self._idle[server]

    def _compute_idle_limit(
        self, idle: IdleConnection, *, is_non_retryable: bool
    ) -> float:
        announced = idle.connection.keep_alive_timeout
        times = self._idle_times[idle.service]
        return times.compute_limit(announced, is_non_retryable=is_non_retryable)

    def _check_open(self, idle: IdleConnection, age: float) -> bool:
        """Return whether a connection is open, and adjust the service's idle limit."""
        is_open = idle.connection.is_open_and_idle()
        if is_open:
            self._idle_times[idle.service].record_open(age)
        else:
            self._idle_times[idle.service].record_closed(age)
        return is_open
