"""The hosts that may send to servers, among which limits on their sum are divided."""

import math
from collections.abc import Callable, Iterable

from dewridge.ids import HostId

HOST_RETENTION = 10.0
"""Seconds for which limits are still divided among hosts that are no longer listed. A
list may lack hosts that still send: after a restore of the store, or while they can't
renew their leases. What a host sent before it left also counts until then."""
HOSTS_POLL_INTERVAL = 0.25
"""Seconds between two readings of the list of hosts."""


class SenderHosts:
    """The hosts among which limits are divided.

    Attributes:
        hosts: their ids; empty while the list of hosts is not known.
        version: number of changes.
        retention: seconds for which a host that is no longer listed counts.
    """

    def __init__(self, list_hosts: Callable[[], Iterable[HostId]]) -> None:
        """Create a list that is not known yet.

        Args:
            list_hosts: returns all entry hosts, including this one; none while they
                are not known.
        """
        self.hosts: frozenset[HostId] = frozenset()
        self.version = 0
        self.retention = HOST_RETENTION
        self._list_hosts = list_hosts
        self._listed_at: dict[HostId, float] = {}
        self._polled_at = -math.inf

    def poll(self, now: float) -> None:
        """Read the list of hosts if it was not read recently."""
        if now - self._polled_at < HOSTS_POLL_INTERVAL:
            return
        self._polled_at = now
        self._listed_at |= dict.fromkeys(self._list_hosts(), now)
        self._listed_at = {
            host: listed_at
            for host, listed_at in self._listed_at.items()
            if now - listed_at < self.retention
        }
        hosts = frozenset(self._listed_at)
        if hosts != self.hosts:
            self.hosts = hosts
            self.version += 1

    def count(self, now: float) -> int | None:
        """Return the number of these hosts; None while they are not known."""
        self.poll(now)
        return len(self.hosts) or None
