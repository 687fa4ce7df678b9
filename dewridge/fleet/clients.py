"""HTTP clients by backend server, so that each has a small pool of its own."""

from collections import OrderedDict
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    import httpx

CLIENTS_KEPT = 256
"""Clients kept open. A host sends to a subset of the servers, far fewer than
this; replaced servers come under new addresses and must not add up for good."""
KEEPALIVE_SECONDS = 4.0
"""Idle connections are dropped before servers commonly drop them (5 s): an attempt
on a connection that closes at that moment may or may not have started."""
IDLE_CONNECTIONS = 16
HEADERS = {"content-type": "application/json", "accept-encoding": "identity"}


@dataclass
class _Entry:
    client: "httpx.AsyncClient"
    users: int = 0


class ClientTable:
    """Clients by address, opened as they are needed.

    The library's pool looks through all its connections for each request: with
    one pool for all servers and 64 streams open, that was 3.5 ms a request.
    """

    def __init__(self) -> None:
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    @contextmanager
    def use(self, address: str) -> Iterator["httpx.AsyncClient"]:
        """Return the client of an address; it stays open while it is used."""
        entry = self._entries.get(address)
        if entry is None:
            entry = self._entries[address] = _Entry(self._open(address))
        self._entries.move_to_end(address)
        entry.users += 1
        try:
            yield entry.client
        finally:
            entry.users -= 1

    def _open(self, address: str) -> "httpx.AsyncClient":
        import httpx  # noqa: PLC0415 - heavy

        from dewridge.fleet.transport import GatheringTransport  # noqa: PLC0415

        # Backend servers are reached by plain HTTP at listed addresses: no
        # proxy of the environment, and no certificates to load, which would
        # cost a megabyte for each client.
        return httpx.AsyncClient(
            base_url=f"http://{address}",
            transport=GatheringTransport(IDLE_CONNECTIONS, KEEPALIVE_SECONDS),
            trust_env=False,
            headers=HEADERS,
        )

    async def trim(self) -> None:
        """Close the clients that were not used for longest, down to the bound."""
        surplus = len(self._entries) - CLIENTS_KEPT
        if surplus <= 0:
            return
        idle = [a for a, entry in self._entries.items() if entry.users == 0]
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
    """Open a table of clients and close them all in the end."""
    clients = ClientTable()
    try:
        yield clients
    finally:
        await clients.close()
