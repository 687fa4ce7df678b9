"""Tests of claims and releases that are written late to their bucket, a stored key."""

from dewridge.ids import HostId, Incarnation, RequestId
from dewridge.requests.claims import BucketValue, ClaimIntent, apply_intents
from dewridge.requests.records import Ballot

REQUEST = RequestId("oficina/01890a5d-ac96-774b-bcce-b302099a8057")


def make_intent(epoch: int, release: bool = False) -> ClaimIntent:
    ballot = Ballot(epoch, HostId("host-1"), Incarnation(7))
    return ClaimIntent(REQUEST, ballot, release)


def apply(*intents: ClaimIntent) -> list[bool]:
    """Apply intents in separate writes; return which of them were granted."""
    value, granted = BucketValue(), []
    for intent in intents:
        value, grants = apply_intents(value, [intent])
        granted.append(grants[0].granted)
    return granted


def test_delayed_claim_is_not_granted_after_its_release() -> None:
    # During a key-value service outage two ballots (ownership epochs) of a request are
    # released, each while its claim is still in transit. If the second release found
    # the first one's entry and stored none of its own, the second claim would be
    # granted when it arrived and remain forever. The third attempt would then be denied
    # until its deadline by a claim that no host holds.
    first, second, third = make_intent(1), make_intent(2), make_intent(3)
    granted = apply(
        make_intent(1, release=True), make_intent(2, release=True), second, third
    )
    assert granted == [True, True, False, True]
    granted = apply(make_intent(1, release=True), second, first, third)
    assert granted == [True, True, False, False]


def test_release_of_one_ballot_keeps_the_claim_of_another() -> None:
    # A host releases its claim late, after another host has claimed and sent the
    # request. If the release removed that claim, the request could run twice.
    granted = apply(make_intent(2), make_intent(1, release=True), make_intent(3))
    assert granted == [True, True, False]
