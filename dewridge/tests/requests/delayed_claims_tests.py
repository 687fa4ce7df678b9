"""Claims and releases of a bucket that land late."""

from dewridge.ids import HostId, Incarnation, RequestId
from dewridge.requests.claims import BucketValue, ClaimIntent, apply_intents
from dewridge.requests.records import Ballot

LETTER = RequestId("oficina/01890a5d-ac96-774b-bcce-b302099a8057")


def make_intent(epoch: int, release: bool = False) -> ClaimIntent:
    ballot = Ballot(epoch, HostId("host-1"), Incarnation(7))
    return ClaimIntent(LETTER, ballot, release)


def apply(*intents: ClaimIntent) -> list[bool]:
    """Apply intents one write at a time, as delayed writes do."""
    value, granted = BucketValue(), []
    for intent in intents:
        value, grants = apply_intents(value, [intent])
        granted.append(grants[0].granted)
    return granted


def test_a_delayed_claim_does_not_come_back_after_its_release() -> None:
    # The key-value service is down. A letter is given up twice, each time with a
    # claim still on its way and a release sent behind it. The release of the
    # second found the first one's mark and left none of its own, so the second
    # claim, when it landed, stood for good: the caller's third try was denied by
    # a claim that nobody held, until its deadline.
    first, second, third = make_intent(1), make_intent(2), make_intent(3)
    granted = apply(
        make_intent(1, release=True), make_intent(2, release=True), second, third
    )
    assert granted == [True, True, False, True]
    granted = apply(make_intent(1, release=True), second, first, third)
    assert granted == [True, True, False, False]


def test_a_release_of_one_ownership_leaves_anothers_claim() -> None:
    # A host that gave a call up releases it late, when another host has claimed
    # and sent it. Losing that claim would let the call run twice.
    granted = apply(make_intent(2), make_intent(1, release=True), make_intent(3))
    assert granted == [True, True, False]
