"""What clients make this process hold: listeners and sizes in memory."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import trio

from dewridge.gateway.model import Sizes
from dewridge.http1.client import Headers
from dewridge.policy.memorybudget import ConnectionPlaces, MemoryBudget, Room
from dewridge.sentinels import Failure
from dewridge.settings.gateway import GatewaySettings


class ListenerName(Enum):
    """The listeners of a gateway."""

    CALLERS = "callers"
    READINESS = "readiness"
    DIRECTORY = "directory"
    OPERATIONS = "operations"
    PEERS = "peers"


RECEIVE_SIZE_BYTES = 32_768
HEADER_BYTES = 192
"""Memory of a header beside its text: two strings, and their places in two lists."""
PART_BYTES = 768
"""Memory of a part of a prompt: its name, its digests, and their places."""
ROOM_CHECK_PERIOD = 0.02
"""Seconds between two checks whether a connection can be closed for a new one."""

MEGABYTE = 1_000_000
RESERVED_DESCRIPTORS = 300
"""File descriptors for files, listeners, the store, the cloud API, connections that are
about to be closed, and clients of the directory, the platform and operators."""
DIRECTORY_CONNECTIONS = 96
"""Connections of callers that look addresses up, which takes a few milliseconds."""
OPERATOR_CONNECTIONS = 48
"""Connections of the platform's check, and of operators."""
CONTROL_PATIENCE = 0.2
"""Multiple of the usual time after which connections of these three have stalled: they
are few, and their requests come with their connections."""
CONTROL_CONNECTION_BYTES = 196_608
"""Memory of each connection of the directory, the platform and operators. They have
budgets of their own, so that a crowd of callers can't make a host look unready."""
CONTROL_LISTENERS = frozenset(
    {ListenerName.READINESS, ListenerName.DIRECTORY, ListenerName.OPERATIONS}
)
MIN_CALLERS = 64
MIN_PEERS = 32


CheckHead = Callable[[tuple[tuple[bytes, bytes], ...]], Failure | None]
"""Returns why a request is refused before its body is read; None if it is not."""


def compute_intake_bytes(settings: GatewaySettings) -> int:
    """Return the bytes that all clients together may make the process hold."""
    return round(settings.host.memory_mb * MEGABYTE * settings.intake.memory_share)


def list_connection_limits(settings: GatewaySettings) -> dict[ListenerName, int]:
    """Return how many connections each listener may have open at once.

    Together with a connection to a server for each request they stay below the number
    of descriptors.
    """
    shared = int(settings.host.descriptors) - RESERVED_DESCRIPTORS
    callers = max(MIN_CALLERS, round(shared * settings.intake.connection_share))
    peers = max(MIN_PEERS, shared // 8)
    return {
        ListenerName.CALLERS: callers,
        ListenerName.PEERS: peers,
        ListenerName.DIRECTORY: DIRECTORY_CONNECTIONS,
        ListenerName.READINESS: OPERATOR_CONNECTIONS,
        ListenerName.OPERATIONS: OPERATOR_CONNECTIONS,
    }


def accept_any_head(headers: tuple[tuple[bytes, bytes], ...]) -> Failure | None:
    """Return that a request's body may be read."""
    return None


@dataclass(frozen=True)
class Endpoint:
    """A listener.

    Attributes:
        places: the connections that it may have open.
        keeps_bodies: whether its handler uses the bodies of requests.
        check_head: decides whether the body of a request is read.
        memory: what its connections may make the process hold; None if they share the
            budget of the callers.
    """

    places: ConnectionPlaces
    keeps_bodies: bool = True
    check_head: CheckHead = accept_any_head
    memory: MemoryBudget | None = None

    @property
    def name(self) -> str:
        """Name of the listener, for logs and metrics."""
        return self.places.name


def make_endpoint(
    name: ListenerName, connections: int, check_head: CheckHead
) -> Endpoint:
    """Return a listener of a gateway.

    Args:
        name: the listener.
        connections: connections that it may have open.
        check_head: decides whether the body of a request is read.
    """
    is_control = name in CONTROL_LISTENERS
    memory = MemoryBudget(connections * CONTROL_CONNECTION_BYTES)
    return Endpoint(
        ConnectionPlaces(
            name.value, connections, CONTROL_PATIENCE if is_control else 1.0
        ),
        keeps_bodies=not is_control,
        check_head=check_head,
        memory=memory if is_control else None,
    )


async def wait_for_room(places: ConnectionPlaces) -> Room:
    """Wait until there is a place for a connection, or none will come free soon."""
    room = places.make_room(trio.current_time())
    while room is Room.SOON:
        await trio.sleep(ROOM_CHECK_PERIOD)
        room = places.make_room(trio.current_time())
    return room


def compute_head_bytes(headers: "tuple[tuple[bytes, bytes], ...] | Headers") -> int:
    """Return the memory that the headers of a request take."""
    text = sum(len(name) + len(value) for name, value in headers)
    return text + HEADER_BYTES * len(headers)


def compute_parts_bytes(sizes: Sizes) -> int:
    """Return the memory that the parts of a prompt take."""
    return PART_BYTES * len(sizes.parts)
