"""HTTP clients by backend server, each with its own small connection pool."""

from collections import OrderedDict
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    import httpx

MAX_CLIENTS = 256
"""Clients that stay open. A host sends to far fewer servers than this; without the
limit, clients of replaced servers, whose addresses are new, would accumulate."""
KEEPALIVE_SECONDS = 4.0
"""Time after which an idle connection is closed. Servers commonly close theirs after
5 s, and it is unknown whether an attempt sent at that moment started."""
MAX_IDLE_CONNECTIONS = 16
"""Idle connections that one client keeps open."""
HEADERS = {"content-type": "application/json", "accept-encoding": "identity"}


@dataclass
class _Entry:
    client: "httpx.AsyncClient"
    user_count: int = 0


class ClientTable:
    """Clients by address, opened on first use.

    httpx's pool scans all its connections for each request: a single pool for all
    servers took 3.5 ms per request with 64 open streams.
    """

    def __init__(self) -> None:
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    @contextmanager
    def use(self, address: str) -> Iterator["httpx.AsyncClient"]:
        """Yield the client of an address; it stays open until the context exits."""
        entry = self._entries.get(address)
        if entry is None:
            entry = self._entries[address] = _Entry(self._open(address))
        self._entries.move_to_end(address)
        entry.user_count += 1
        try:
            yield entry.client
        finally:
            entry.user_count -= 1

    def _open(self, address: str) -> "httpx.AsyncClient":
        import httpx  # noqa: PLC0415 - heavy

        from dewridge.fleet.transport import BatchingTransport  # noqa: PLC0415

        # Backend servers are reached over plain HTTP at listed addresses. Proxy
        # settings of the environment are ignored, and no certificates are loaded:
        # they would take a megabyte per client.
        return httpx.AsyncClient(
            base_url=f"http://{address}",
            transport=BatchingTransport(MAX_IDLE_CONNECTIONS, KEEPALIVE_SECONDS),
            trust_env=False,
            headers=HEADERS,
        )

    async def trim(self) -> None:
        """Close the least recently used idle clients beyond `MAX_CLIENTS`."""
        surplus = len(self._entries) - MAX_CLIENTS
        if surplus <= 0:
            return
        idle = [a for a, entry in self._entries.items() if entry.user_count == 0]
        for address in idle[:surplus]:
            await self._entries.pop(address).client.aclose()

    async def close(self) -> None:
        """Close all clients."""
        with trio.CancelScope(shield=True):
            while self._entries:
                _, entry = self._entries.popitem()
                await entry.client.aclose()


@asynccontextmanager
async def open_clients() -> AsyncIterator[ClientTable]:
    """Open a table of clients and close them all on exit."""
    clients = ClientTable()
    try:
        yield clients
    finally:
        await clients.close()
