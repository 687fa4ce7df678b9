"""Tests whether a server accepts connections by opening some."""

import trio

from dewridge.http1.client import ConnectFailure, open_connection
from dewridge.policy.losses import ConnectResult

PROBE_TIMEOUT = 0.1
"""Seconds for a connection to open; the interrupted request waits in the meantime."""
MIN_OPEN_TIME = 0.01
"""Seconds for which an accepted connection must stay open."""
MAX_PROBES = 3


async def probe_server(address: str) -> ConnectResult:
    """Return what happens to new connections to `a.b.c.d:port`; closes them again.

    A process that exits closes its listening port slightly later than its connections.
    A connection opened in between is reset, just as it is by a server that has too many
    connections. Another attempt distinguishes the two cases.
    """
    for _ in range(MAX_PROBES):
        connection = await open_connection(address, PROBE_TIMEOUT)
        if connection is ConnectFailure.REFUSED:
            return ConnectResult.REFUSED
        if connection is ConnectFailure.SILENT:
            return ConnectResult.SILENT
        await trio.sleep(MIN_OPEN_TIME)
        if not isinstance(connection, ConnectFailure):
            is_open = connection.is_open_and_idle()
            connection.close()
            if is_open:
                return ConnectResult.ACCEPTED
    return ConnectResult.RESET
