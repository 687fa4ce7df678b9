"""Selection of the entry host that a client uses next."""

from collections.abc import Awaitable, Callable, Sequence

import trio

from dewridge.client.frames import ListedHosts
from dewridge.sentinels import Failure

EntryListFetcher = Callable[[str], Awaitable[ListedHosts | Failure]]
"""Fetches the entry list from one address."""
AVOID_TIME = 5.0
"""Seconds for which a failed address is ordered last. Longer than a host restart,
shorter than the lifetime of an entry list."""

MAX_REFRESH_INTERVAL = 3_600.0
"""Maximum seconds for which an entry list is used, whatever time to live it states."""
MIN_REFRESH_INTERVAL = 1.0
"""Minimum seconds between two fetches of the entry list. When a host crashes, all
of its streams fail at the same moment; one fetch serves all of them."""


class AddressBook:
    """Orders the addresses from the settings and from the entry list.

    There is no load balancer, so each client avoids failed hosts by itself: it
    caches the entry list for the list's time to live and orders addresses that
    failed recently last.
    """

    def __init__(self, seeds: Sequence[str], fetch: EntryListFetcher) -> None:
        self._seeds = list(dict.fromkeys(seeds))
        self._listed: list[str] = []
        self._fetch = fetch
        self._expires_at = float("-inf")
        self._refreshed_at = float("-inf")
        self._avoid_until: dict[str, float] = {}
        self._lock = trio.Lock()

    async def list_addresses(self) -> list[str]:
        """Return all addresses in order of preference; refetch an expired list."""
        async with self._lock:
            if trio.current_time() >= self._expires_at:
                await self._refresh()
        return self._order()

    def prefer(self, addresses: Sequence[str]) -> None:
        """Order addresses first, for example those named by a departing host."""
        self._listed = list(dict.fromkeys([*addresses, *self._listed]))
        for address in addresses:
            self._avoid_until.pop(address, None)

    def mark_failed(self, address: str) -> None:
        """Order an address last for `AVOID_TIME`."""
        self._avoid_until[address] = trio.current_time() + AVOID_TIME
        self._expires_at = min(
            self._expires_at, self._refreshed_at + MIN_REFRESH_INTERVAL
        )

    def _order(self) -> list[str]:
        now = trio.current_time()
        known = list(dict.fromkeys([*self._listed, *self._seeds]))
        return sorted(
            known, key=lambda address: self._avoid_until.get(address, 0.0) > now
        )

    async def _refresh(self) -> None:
        for address in self._order():
            listed = await self._fetch(address)
            self._refreshed_at = trio.current_time()
            if not isinstance(listed, Failure):
                self._listed = [host.address for host in listed.hosts]
                ttl = min(MAX_REFRESH_INTERVAL, listed.ttl)
                self._expires_at = self._refreshed_at + max(MIN_REFRESH_INTERVAL, ttl)
                return
            self._avoid_until[address] = self._refreshed_at + AVOID_TIME
        self._expires_at = self._refreshed_at + MIN_REFRESH_INTERVAL
