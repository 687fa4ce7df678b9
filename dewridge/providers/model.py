"""Interfaces and data types of the platform's services."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Protocol

import msgspec

from dewridge.decoding import MAX_NAME, Amount, Count, Name, is_address
from dewridge.ids import BackendServerId, FailureDomain, ServiceName
from dewridge.sentinels import Failure

NAME_LENGTH = msgspec.Meta(max_length=MAX_NAME)


@dataclass(frozen=True, slots=True)
class Entry:
    """A key of the key-value service with its value.

    Attributes:
        key: name of the key.
        value: bytes of the value, at most a megabyte; empty if the key is absent.
        revision: increases with each write of the key; 0 if the key is absent.
    """

    key: str
    value: bytes
    revision: Count

    @property
    def is_absent(self) -> bool:
        """Whether the key does not exist."""
        return self.revision == 0


class KeyValue(Protocol):
    """The key-value service. Each method counts as one call against its rate limits."""

    async def get(self, key: str) -> Entry | Failure:
        """Read a key. An absent key is an entry with revision 0."""

    async def list_entries(self, prefix: str) -> list[Entry] | Failure:
        """Read all keys with a prefix."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int
    ) -> Entry | Failure:
        """Write a key if its revision is still the expected one (0: absent).

        Returns:
            The entry written, or a failure: KEY_VALUE_CONFLICT (not written),
            KEY_VALUE_DOWN (not written because it was not sent), or
            KEY_VALUE_UNKNOWN (may have been written; read the key again).
        """

    async def delete(self, key: str, expected_revision: int) -> Entry | Failure:
        """Delete a key if its revision is the expected one; fails as a write does."""

    async def watch(
        self, key: str, after_revision: int, timeout: float
    ) -> Entry | Failure:
        """Wait until the key's revision differs from `after_revision`.

        Returns:
            The new entry, or KEY_VALUE_TIMEOUT after `timeout` seconds.
        """


class HostState(Enum):
    """State of a backend server in the host list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class ServerKind(Enum):
    """Kind of service that runs on a backend server."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A backend server's record in the host list.

    Attributes:
        backend_server: id of the server; each replacement has a new one.
        address: IP address and port, `a.b.c.d:n`.
        services: the services that it can serve now.
        machine_class: the cloud's name for the type of machine.
        price: price per hour.
        reclaimable: whether the cloud may reclaim it at short notice.
        capacity: maximum number of concurrent requests.
        checks_fencing: whether it rejects an order with an old fencing number.
        version: version of its software; empty if the list does not say.
    """

    backend_server: Annotated[BackendServerId, NAME_LENGTH]
    address: Name
    failure_domain: Annotated[FailureDomain, NAME_LENGTH]
    kind: ServerKind
    services: tuple[Annotated[ServiceName, NAME_LENGTH], ...]
    machine_class: Name
    price: Amount
    reclaimable: bool
    capacity: Count
    checks_fencing: bool
    state: HostState
    version: Name = ""

    @property
    def has_address(self) -> bool:
        """Whether its address is one that hosts can connect to."""
        return is_address(self.address)


@dataclass(frozen=True, slots=True)
class ReclaimNotice:
    """The cloud's announcement that it will reclaim a host.

    Attributes:
        subject: id of the backend server or the entry host.
        at: Unix time in seconds at which the host is shut down.
    """

    subject: Name
    at: Amount


class HostList(Protocol):
    """The platform's list of live and leaving backend servers; it lags.

    Attributes:
        unreadable: servers in the last list whose record can't be read otherwise.
    """

    unreadable: frozenset[BackendServerId]

    async def fetch(self) -> list[ListedServer] | Failure:
        """Read the full list; fails with PLATFORM_DOWN or PLATFORM_MALFORMED."""


class Cloud(Protocol):
    """The cloud API for notices of hosts that it reclaims."""

    async def fetch_notices(self) -> list[ReclaimNotice] | Failure:
        """Read the current reclaim notices."""
