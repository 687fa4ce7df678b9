"""Whether a server accepts connections, seen by trying one."""

from dewridge.http1.client import NotConnected, open_connection
from dewridge.policy.losses import Reach

LOOK_TIMEOUT = 0.1
"""Seconds to see whether a server accepts connections; its request waits meanwhile."""
REACH = {
    NotConnected.REFUSED: Reach.REFUSED,
    NotConnected.SILENT: Reach.SILENT,
}


async def look(address: str) -> Reach:
    """Return what becomes of a new connection to `a.b.c.d:port`; it is closed again."""
    connection = await open_connection(address, LOOK_TIMEOUT)
    if isinstance(connection, NotConnected):
        return REACH[connection]
    connection.close()
    return Reach.ACCEPTED
