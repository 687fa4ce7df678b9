"""Which entry host a client uses next."""

from collections.abc import Awaitable, Callable, Sequence

import trio

from dewridge.client.frames import ListedHosts
from dewridge.sentinels import Failure

FetchList = Callable[[str], Awaitable[ListedHosts | Failure]]
"""Asks one address for the entry list."""
AVOID_TIME = 5.0
"""How long an address that failed is tried last. Longer than a restart, shorter
than the time that an entry list is kept."""

MIN_REFRESH_INTERVAL = 1.0
"""Least time between two reads of the list. When a host dies, each of its
streams fails at the same moment; one read serves them all."""


class AddressBook:
    """Addresses from the settings and from the entry list.

    Without a balancer, each client keeps off hosts that are gone by itself: it
    keeps a list for as long as the list says, and puts addresses that failed
    at its end.
    """

    def __init__(self, seeds: Sequence[str], fetch: FetchList) -> None:
        self._seeds = list(dict.fromkeys(seeds))
        self._listed: list[str] = []
        self._fetch = fetch
        self._expires = float("-inf")
        self._refreshed = float("-inf")
        self._avoid: dict[str, float] = {}
        self._lock = trio.Lock()

    async def list_addresses(self) -> list[str]:
        """Return all addresses, the best first, with the list kept fresh."""
        async with self._lock:
            if trio.current_time() >= self._expires:
                await self._refresh()
        return self._order()

    def prefer(self, addresses: Sequence[str]) -> None:
        """Put addresses first, as a host that goes has told."""
        self._listed = list(dict.fromkeys([*addresses, *self._listed]))
        for address in addresses:
            self._avoid.pop(address, None)

    def mark_failed(self, address: str) -> None:
        """Try an address last for a while."""
        self._avoid[address] = trio.current_time() + AVOID_TIME
        self._expires = min(self._expires, self._refreshed + MIN_REFRESH_INTERVAL)

    def _order(self) -> list[str]:
        now = trio.current_time()
        known = list(dict.fromkeys([*self._listed, *self._seeds]))
        return sorted(known, key=lambda address: self._avoid.get(address, 0.0) > now)

    async def _refresh(self) -> None:
        for address in self._order():
            listed = await self._fetch(address)
            self._refreshed = trio.current_time()
            if not isinstance(listed, Failure):
                self._listed = [host.address for host in listed.hosts]
                self._expires = self._refreshed + max(MIN_REFRESH_INTERVAL, listed.ttl)
                return
            self._avoid[address] = self._refreshed + AVOID_TIME
        self._expires = self._refreshed + MIN_REFRESH_INTERVAL
