"""Checks of the hello that opens a connection: which peers are accepted."""

from dataclasses import replace

from dewridge.codes import ResultCode
from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.peers.hello import HandshakeResult, HelloInfo, check_hello, make_hello
from dewridge.peers.model import PeerIdentity
from dewridge.peers.wire import ttypes
from dewridge.sentinels import Failure

HELLO_INFO = HelloInfo(
    "d", PeerIdentity(HostId("one"), Incarnation(1), FailureDomain("a"))
)


def accept_peer(peer: PeerIdentity) -> Failure | None:
    return None


def test_two_releases_agree_on_the_older_version() -> None:
    # During a rolling upgrade two releases run at once. If they rejected each
    # other, the hosts of each release would consider those of the other dead.
    newer = replace(HELLO_INFO, newest_version=5, oldest_version=4)
    older = replace(HELLO_INFO, newest_version=4, oldest_version=3)
    for local, remote in ((newer, older), (older, newer)):
        result = check_hello(make_hello(remote), local, accept_peer)
        assert result == HandshakeResult(HELLO_INFO.identity, 4)


def test_a_release_that_is_too_old_is_rejected_with_a_code() -> None:
    # A host missed two upgrades. It must be told why its peers reject it.
    newer = replace(HELLO_INFO, newest_version=6, oldest_version=5)
    older = replace(HELLO_INFO, newest_version=4, oldest_version=3)
    failure = check_hello(make_hello(older), newer, accept_peer)
    assert isinstance(failure, Failure)
    assert failure.code is ResultCode.PEER_REFUSED


def test_a_hello_that_lacks_a_field_is_malformed() -> None:
    # A garbled or foreign frame may happen to decode as a hello with missing fields.
    for field in ("version", "incarnation", "host", "deployment"):
        hello = make_hello(HELLO_INFO)
        setattr(hello, field, None)
        failure = check_hello(hello, HELLO_INFO, accept_peer)
        assert isinstance(failure, Failure)
        assert failure.code is ResultCode.FRAME_MALFORMED
    assert isinstance(check_hello(ttypes.Find(), HELLO_INFO, accept_peer), Failure)
