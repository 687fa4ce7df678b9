"""The hello message that opens each connection between peers, and its checks."""

from collections.abc import Callable
from dataclasses import dataclass

from dewridge.codes import ResultCode
from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.peers.model import Message, PeerIdentity
from dewridge.peers.wire import ttypes
from dewridge.sentinels import Failure

MAGIC = "dewridge"
NEWEST_VERSION = 1
OLDEST_VERSION = 1
"""Protocol versions that this release supports. A release that raises the newest
version still supports the previous one, as both run during a rolling upgrade."""

PeerCheck = Callable[[PeerIdentity], Failure | None]
"""Returns why a peer must be rejected, or None. A peer is rejected if it is fenced or
if a newer incarnation of its host is known."""


@dataclass(frozen=True, slots=True)
class HelloInfo:
    """What a host sends about itself in its hello."""

    deployment: str
    identity: PeerIdentity
    newest_version: int = NEWEST_VERSION
    oldest_version: int = OLDEST_VERSION


@dataclass(frozen=True, slots=True)
class HandshakeResult:
    """Identity of the peer and the protocol version agreed with it."""

    peer: PeerIdentity
    version: int


def make_hello(info: HelloInfo) -> Message:
    """Return the hello message, the first one on a connection."""
    return ttypes.Hello(
        magic=MAGIC,
        version=info.newest_version,
        oldest_version=info.oldest_version,
        deployment=info.deployment,
        host=info.identity.host,
        incarnation=info.identity.incarnation,
        failure_domain=info.identity.failure_domain,
    )


def check_hello(
    hello: Message | None, local_info: HelloInfo, check_peer: PeerCheck
) -> HandshakeResult | Failure:
    """Check a peer's hello and agree on a protocol version.

    Returns:
        The peer and the version, or the reason to reject the connection.
    """
    if not isinstance(hello, ttypes.Hello) or hello.magic != MAGIC:
        return Failure(ResultCode.FRAME_MALFORMED, "no hello")
    if not _has_all_fields(hello):
        return Failure(ResultCode.FRAME_MALFORMED, "hello lacks a field")
    if hello.deployment != local_info.deployment:
        return Failure(ResultCode.PEER_REFUSED, "another deployment")
    version = min(hello.version, local_info.newest_version)
    if version < max(hello.oldest_version, local_info.oldest_version):
        return Failure(ResultCode.PEER_REFUSED, "no common protocol version")
    peer = PeerIdentity(
        HostId(hello.host),
        Incarnation(hello.incarnation),
        FailureDomain(hello.failure_domain),
    )
    rejection = check_peer(peer)
    return HandshakeResult(peer, version) if rejection is None else rejection


def _has_all_fields(hello: Message) -> bool:
    numbers = (hello.version, hello.oldest_version, hello.incarnation)
    names = (hello.deployment, hello.host, hello.failure_domain)
    return all(isinstance(number, int) for number in numbers) and all(
        isinstance(name, str) for name in names
    )
