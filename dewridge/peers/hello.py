"""The greeting that opens each connection between peers."""

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
"""Versions of the protocol that this release speaks. A release that raises the
newest keeps the previous one for as long as hosts are replaced one by one."""

RefusalCheck = Callable[[PeerIdentity], Failure | None]
"""Says why a peer must not be listened to, if so: fenced, or an incarnation older
than one known."""


@dataclass(frozen=True, slots=True)
class Greeting:
    """What a host says of itself in its hello."""

    deployment: str
    me: PeerIdentity
    newest_version: int = NEWEST_VERSION
    oldest_version: int = OLDEST_VERSION


@dataclass(frozen=True, slots=True)
class Greeted:
    """The peer at the other end and the version spoken with it."""

    peer: PeerIdentity
    version: int


def make_hello(greeting: Greeting) -> Message:
    """Return the message that opens a connection."""
    return ttypes.Hello(
        magic=MAGIC,
        version=greeting.newest_version,
        oldest_version=greeting.oldest_version,
        deployment=greeting.deployment,
        host=greeting.me.host,
        incarnation=greeting.me.incarnation,
        failure_domain=greeting.me.failure_domain,
    )


def check_hello(
    hello: Message | None, greeting: Greeting, is_refused: RefusalCheck
) -> Greeted | Failure:
    """Read a peer's hello, or say why its connection is refused."""
    if not isinstance(hello, ttypes.Hello) or hello.magic != MAGIC:
        return Failure(ResultCode.FRAME_MALFORMED, "no hello")
    if not _is_whole(hello):
        return Failure(ResultCode.FRAME_MALFORMED, "hello lacks a field")
    if hello.deployment != greeting.deployment:
        return Failure(ResultCode.PEER_REFUSED, "another deployment")
    version = min(hello.version, greeting.newest_version)
    if version < max(hello.oldest_version, greeting.oldest_version):
        return Failure(ResultCode.PEER_REFUSED, "no common protocol version")
    peer = PeerIdentity(
        HostId(hello.host),
        Incarnation(hello.incarnation),
        FailureDomain(hello.failure_domain),
    )
    refusal = is_refused(peer)
    return Greeted(peer, version) if refusal is None else refusal


def _is_whole(hello: Message) -> bool:
    numbers = (hello.version, hello.oldest_version, hello.incarnation)
    names = (hello.deployment, hello.host, hello.failure_domain)
    return all(isinstance(number, int) for number in numbers) and all(
        isinstance(name, str) for name in names
    )
