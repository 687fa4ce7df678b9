"""Calls for the load report of an engine, by which it also names its process."""

from enum import Enum

import trio

from dewridge.gateway.model import ServerRecord
from dewridge.gateway.pool import ConnectionPool
from dewridge.http1.client import (
    ClientConnection,
    ConnectFailure,
    ConnectionBrokenError,
)
from dewridge.platform import names
from dewridge.platform.engines import REPORT_PATH, ReportReply, read_report
from dewridge.platform.headers import read_request_id

MAX_REPORT_BYTES = 262_144
"""Maximum size of an answer. A report of a hundred runs takes some 5,000 bytes."""


class ReportFailure(Enum):
    """Why there is no reply to a call for a report."""

    REFUSED = "refused"
    """No connection could be opened."""
    INVALID = "invalid"
    BROKEN = "broken"


async def fetch_report(
    pool: ConnectionPool, server: ServerRecord
) -> ReportReply | ReportFailure:
    """Call an engine for its report, on a connection of the pool if one is idle.

    An engine that has too many connections resets new ones.
    """
    connection = pool.acquire_idle(server, is_non_retryable=False)
    if connection is None:
        opened = await pool.open(server)
        if isinstance(opened, ConnectFailure):
            return ReportFailure.REFUSED
        connection = opened
    is_reusable = False
    try:
        reply = await _exchange(connection, server)
        # After an invalid answer, the real one may still arrive, and a later request
        # would read it.
        is_valid = reply is not None and reply.report is not None
        is_reusable = is_valid and connection.finish_exchange(trio.current_time())
        return ReportFailure.INVALID if reply is None else reply
    except ConnectionBrokenError as error:
        is_invalid = error.is_framing_fault
        return ReportFailure.INVALID if is_invalid else ReportFailure.BROKEN
    finally:
        if is_reusable:
            pool.release(server, connection)
        else:
            connection.close()


async def _exchange(
    connection: ClientConnection, server: ServerRecord
) -> ReportReply | None:
    headers = [
        (b"host", server.address.encode()),
        (names.EXPECTED_SERVER, server.name.encode()),
    ]
    await connection.send(b"GET", REPORT_PATH, headers, b"")
    head = await connection.receive_head()
    # An answer that names a request is a second answer to an earlier one.
    if read_request_id(head):
        return None
    body = bytearray()
    while (part := await connection.receive_body()) is not None:
        body += part
        if len(body) > MAX_REPORT_BYTES:
            return None
    return read_report(head.status, bytes(body))
