"""Who may talk to this host, by the hello that opens a connection."""

from dataclasses import replace

from dewridge.codes import ResultCode
from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.peers.hello import Greeted, Greeting, check_hello, make_hello
from dewridge.peers.model import PeerIdentity
from dewridge.peers.wire import ttypes
from dewridge.sentinels import Failure

ONE = Greeting("d", PeerIdentity(HostId("one"), Incarnation(1), FailureDomain("a")))


def accept(peer: PeerIdentity) -> Failure | None:
    return None


def test_two_releases_side_by_side_speak_the_older_version() -> None:
    # Hosts are replaced one by one, so for a while two releases run. If they
    # refused each other, each half would take the other for dead.
    newer = replace(ONE, newest_version=5, oldest_version=4)
    older = replace(ONE, newest_version=4, oldest_version=3)
    for here, there in ((newer, older), (older, newer)):
        greeted = check_hello(make_hello(there), here, accept)
        assert greeted == Greeted(ONE.me, 4)


def test_a_release_too_old_is_refused_by_code() -> None:
    # A host was left out of two upgrades. It must hear why nobody answers it.
    newer = replace(ONE, newest_version=6, oldest_version=5)
    older = replace(ONE, newest_version=4, oldest_version=3)
    refused = check_hello(make_hello(older), newer, accept)
    assert isinstance(refused, Failure)
    assert refused.code is ResultCode.PEER_REFUSED


def test_a_hello_that_lacks_a_field_is_malformed() -> None:
    # A garbled or foreign frame decodes by chance to a hello with holes.
    for field in ("version", "incarnation", "host", "deployment"):
        hello = make_hello(ONE)
        setattr(hello, field, None)
        refused = check_hello(hello, ONE, accept)
        assert isinstance(refused, Failure)
        assert refused.code is ResultCode.FRAME_MALFORMED
    assert isinstance(check_hello(ttypes.Find(), ONE, accept), Failure)
