"""How other parts send messages to peers and receive them."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.sentinels import Failure

Message = Any
"""One of the structures of `dewridge.thrift` that an Envelope can carry. The
generated classes share no base class, hence Any."""


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Who is at the other end of a connection, as its hello said."""

    host: HostId
    incarnation: Incarnation
    failure_domain: FailureDomain


Handler = Callable[[PeerIdentity, Message], Awaitable[Message | Failure | None]]
"""Answers one message. A Failure goes back as a Refusal; None sends nothing."""


class Peers(Protocol):
    """Connections to other entry hosts, by their peer address."""

    async def call(
        self, address: str, message: Message, timeout: float
    ) -> Message | Failure:
        """Send a message and wait for its reply.

        Returns:
            The reply's structure, or PEER_UNREACHABLE (the message never
            left), PEER_TIMEOUT (it may have been handled), or the code of the
            peer's Refusal.
        """

    def send(self, address: str, message: Message) -> Failure | None:
        """Queue a message that needs no reply; PEER_UNREACHABLE if it can't be."""

    def handle(self, kind: type, handler: Handler) -> None:
        """Register what answers messages of a structure."""
