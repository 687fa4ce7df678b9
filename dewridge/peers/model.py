"""Interface for sending messages to peers and for handling theirs."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.sentinels import Failure

Message = Any
"""A structure of `dewridge.thrift` that an Envelope can carry. The generated classes
share no base class, hence Any."""


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Identity of the peer of a connection, as given in its hello."""

    host: HostId
    incarnation: Incarnation
    failure_domain: FailureDomain


Handler = Callable[[PeerIdentity, Message], Awaitable[Message | Failure | None]]
"""Handles a message and returns the reply. A Failure is sent as a Refusal; None sends
nothing."""


class Peers(Protocol):
    """Sends messages to other entry hosts, addressed by peer address."""

    async def call(
        self, address: str, message: Message, timeout: float
    ) -> Message | Failure:
        """Send a message and wait for its reply.

        Returns:
            The reply's structure, or a Failure with PEER_UNREACHABLE (the message
            was never sent), PEER_TIMEOUT (it may have been handled), or the code
            of the peer's Refusal.
        """

    def send(self, address: str, message: Message) -> Failure | None:
        """Queue a message that needs no reply; PEER_UNREACHABLE if that fails."""

    def handle(self, kind: type, handler: Handler) -> None:
        """Register the handler of a message type."""
