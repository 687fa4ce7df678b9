"""Whether a server accepts connections, seen by trying some."""

import trio

from dewridge.http1.client import NotConnected, open_connection
from dewridge.policy.losses import ConnectResult

LOOK_TIMEOUT = 0.1
"""Seconds for a connection to open; the request that was lost waits meanwhile."""
SETTLE_TIME = 0.01
"""Seconds for which an accepted connection must stay open."""
MOST_LOOKS = 3


async def look(address: str) -> ConnectResult:
    """Return what becomes of new connections to `a.b.c.d:port`; they are closed again.

    A process that ends closes its port some moments after its connections: one that is
    opened meanwhile is reset, as it is by a server that has too many. The next one
    tells them apart.
    """
    for _ in range(MOST_LOOKS):
        connection = await open_connection(address, LOOK_TIMEOUT)
        if connection is NotConnected.REFUSED:
            return ConnectResult.REFUSED
        if connection is NotConnected.SILENT:
            return ConnectResult.SILENT
        await trio.sleep(SETTLE_TIME)
        if not isinstance(connection, NotConnected):
            is_open = connection.is_quiet()
            connection.close()
            if is_open:
                return ConnectResult.ACCEPTED
    return ConnectResult.ACCEPTED
