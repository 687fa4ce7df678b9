"""Whether a server accepts connections, seen by trying some."""

import trio

from dewridge.http1.client import ConnectFailure, open_connection
from dewridge.policy.losses import Reach

LOOK_TIMEOUT = 0.1
"""Seconds for a connection to open; the request that was lost waits meanwhile."""
SETTLE_TIME = 0.01
"""Seconds for which an accepted connection must stay open."""
MOST_LOOKS = 3


async def probe_server(address: str) -> Reach:
    """Return what becomes of new connections to `a.b.c.d:port`; they are closed again.

    A process that ends closes its port some moments after its connections: one that is
    opened meanwhile is reset, as it is by a server that has too many. The next one
    tells them apart.
    """
    for _ in range(MOST_LOOKS):
        connection = await open_connection(address, LOOK_TIMEOUT)
        if connection is ConnectFailure.REFUSED:
            return Reach.REFUSED
        if connection is ConnectFailure.SILENT:
            return Reach.SILENT
        await trio.sleep(SETTLE_TIME)
        if not isinstance(connection, ConnectFailure):
            is_open = connection.is_open_and_idle()
            connection.close()
            if is_open:
                return Reach.ACCEPTED
    return Reach.ACCEPTED
