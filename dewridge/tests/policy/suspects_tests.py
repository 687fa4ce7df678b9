"""Requests that end servers, told from those that run beside them."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dewridge.ids import BackendServerId, ClientAccount, RequestDigest, ServiceName
from dewridge.policy.losses import (
    CRASH_BLAME_SECONDS,
    ConnectResult,
    LossReason,
    ServerVerdict,
    classify_loss,
)
from dewridge.policy.suspects import (
    ENDS_BORNE,
    HOLD,
    MOST_ENDS,
    MOST_SUSPECTS,
    End,
    Suspect,
    SuspectLedger,
)

ACCOUNT = ClientAccount("account-1")
SERVICE = ServiceName("engine")
RUN_TIME = 0.1
CAUSE = RequestDigest("cause")


def make_suspect(ends: dict[str, float], digest: str = CAUSE) -> Suspect:
    """Return a request that was sent to servers right before they ended."""
    named = {
        BackendServerId(server): End(at, at - RUN_TIME) for server, at in ends.items()
    }
    return Suspect(RequestDigest(digest), ACCOUNT, SERVICE, named)


def test_ends_that_three_hosts_saw_set_a_request_aside() -> None:
    """Guards against each host counting to three by itself."""
    ledger = SuspectLedger()
    for number in range(ENDS_BORNE):
        assert ledger.find_hold_left(CAUSE, 1.0 + number) == 0
        ledger.merge(make_suspect({f"s{number}": 1.0 + number}), 1.0 + number)
    assert ledger.find_hold_left(CAUSE, 3.0) == pytest.approx(HOLD - 2.0)


def test_an_end_that_several_hosts_tell_of_counts_once() -> None:
    """Guards against setting a request aside for one end that many hosts repeat."""
    ledger = SuspectLedger()
    for at in (1.0, 1.2, 1.4, 1.6):
        ledger.merge(make_suspect({"s0": at}), at)
    assert ledger.count_ends(CAUSE, 2.0) == 1


def test_servers_that_end_together_count_once() -> None:
    """Guards against blaming a common request for the loss of a failure domain."""
    ledger = SuspectLedger()
    ends = {f"s{number}": 1.0 + number * RUN_TIME / 8 for number in range(4)}
    ledger.merge(make_suspect(ends), 1.1)
    assert ledger.find_hold_left(CAUSE, 1.2) == 0


def test_quick_ends_one_after_the_other_count_each() -> None:
    """Guards against taking the repeats of one request for the loss of a domain."""
    ledger = SuspectLedger()
    for number in range(ENDS_BORNE):
        sent_at = 1.0 + number * 0.01
        suspect = make_suspect({})
        suspect.ends = {BackendServerId(f"s{number}"): End(sent_at + 0.005, sent_at)}
        ledger.merge(suspect, sent_at)
    assert ledger.find_hold_left(CAUSE, 1.1) > 0


def test_a_request_that_is_answered_is_cleared_for_all_hosts() -> None:
    """Guards against common requests that gather ends over minutes."""
    ledger, other = SuspectLedger(), SuspectLedger()
    ledger.merge(make_suspect({"s0": 1.0, "s1": 2.0}), 2.0)
    assert ledger.clear(CAUSE, 3.0)
    other.merge(make_suspect({"s0": 1.0, "s1": 2.0, "s2": 2.5}), 3.0)
    told = ledger.find(CAUSE)
    assert told is not None
    other.merge(told, 3.1)
    assert other.find_hold_left(CAUSE, 3.2) == 0
    assert other.count_ends(CAUSE, 3.2) == 1


def test_a_request_let_through_again_ends_one_server() -> None:
    """Guards against three more servers lost each time a hold ends."""
    ledger = SuspectLedger()
    ledger.merge(make_suspect({"s0": 0.0, "s1": 10.0, "s2": 20.0}), 20.0)
    assert ledger.find_hold_left(CAUSE, HOLD - 1) > 0
    assert ledger.find_hold_left(CAUSE, HOLD + 1) == 0
    ledger.merge(make_suspect({"s3": HOLD + 2}), HOLD + 2)
    assert ledger.find_hold_left(CAUSE, HOLD + 3) > 0


def test_an_attack_with_many_requests_displaces_none_that_is_set_aside() -> None:
    """Guards against lost holds and growing memory under many crashing requests."""
    ledger = SuspectLedger()
    ledger.merge(make_suspect({"s0": 1.0, "s1": 2.0, "s2": 3.0}), 3.0)
    for number in range(MOST_SUSPECTS * 2):
        ledger.merge(make_suspect({"s9": 4.0 + number / 100}, f"d{number}"), 4.0)
    assert len(ledger.list_all()) == MOST_SUSPECTS
    assert ledger.find_hold_left(CAUSE, 30.0) > 0


def test_ends_of_one_request_are_bounded() -> None:
    ledger = SuspectLedger()
    for number in range(MOST_ENDS * 3):
        ledger.merge(make_suspect({f"s{number}": float(number)}), float(number))
    known = ledger.find(CAUSE)
    assert known is not None
    assert len(known.ends) == MOST_ENDS
    assert not ledger.merge(make_suspect({"s0": 0.0}), 40.0)


def test_what_does_not_count_any_more_is_forgotten() -> None:
    ledger = SuspectLedger()
    ledger.merge(make_suspect({"s0": 1.0}), 1.0)
    ledger.forget_old(HOLD)
    assert not ledger.is_empty
    ledger.forget_old(HOLD + 2)
    assert ledger.is_empty


@given(
    st.lists(
        st.tuples(st.integers(0, 20), st.booleans(), st.integers(0, 2)), max_size=40
    ),
    st.randoms(use_true_random=False),
)
def test_hosts_that_heard_the_same_agree(
    seen: list[tuple[int, bool, int]], rng: random.Random
) -> None:
    """Guards against hosts that differ by the order in which news came."""
    ledgers = [SuspectLedger() for _ in range(3)]
    for number, (server, is_clear, host) in enumerate(seen):
        at = 1.0 + number
        if is_clear:
            ledgers[host].clear(CAUSE, at)
        else:
            ledgers[host].merge(make_suspect({f"s{server}": float(server)}), at)
    for _ in range(4):
        order = list(range(3))
        rng.shuffle(order)
        for teller in order:
            told = ledgers[teller].find(CAUSE)
            for other in ledgers:
                if told is not None and other is not ledgers[teller]:
                    other.merge(told, 50.0)
    counted = {tuple(one.list_ends(50.0)) for one in _find_all(ledgers)}
    assert len(counted) <= 1


def _find_all(ledgers: list[SuspectLedger]) -> list[Suspect]:
    return [one for ledger in ledgers if (one := ledger.find(CAUSE)) is not None]


@pytest.mark.parametrize(
    ("loss", "reach", "is_leaving", "begun_for", "blames", "server"),
    [
        (
            LossReason.CUT_OFF,
            ConnectResult.REFUSED,
            False,
            None,
            True,
            ServerVerdict.GONE,
        ),
        (
            LossReason.MALFORMED,
            ConnectResult.REFUSED,
            False,
            None,
            True,
            ServerVerdict.GONE,
        ),
        (
            LossReason.CUT_OFF,
            ConnectResult.REFUSED,
            False,
            CRASH_BLAME_SECONDS / 2,
            True,
            ServerVerdict.GONE,
        ),
        (
            LossReason.CUT_OFF,
            ConnectResult.REFUSED,
            False,
            CRASH_BLAME_SECONDS * 2,
            False,
            ServerVerdict.GONE,
        ),
        (
            LossReason.CUT_OFF,
            ConnectResult.REFUSED,
            True,
            None,
            False,
            ServerVerdict.GONE,
        ),
        (
            LossReason.CUT_OFF,
            ConnectResult.ACCEPTED,
            False,
            None,
            False,
            ServerVerdict.FAILED,
        ),
        (
            LossReason.CUT_OFF,
            ConnectResult.SILENT,
            False,
            None,
            False,
            ServerVerdict.FAILED,
        ),
        (LossReason.MISMATCHED, None, False, None, False, ServerVerdict.FAILED),
        (LossReason.NOT_CONNECTED, None, False, None, False, ServerVerdict.GONE),
        (LossReason.REJECTED, None, False, None, False, ServerVerdict.FULL),
        (LossReason.OTHER_SERVER, None, False, None, False, ServerVerdict.REPLACED),
        (LossReason.MOVED, None, False, None, False, ServerVerdict.NOTHING),
    ],
)
def test_only_the_end_of_a_server_blames_what_it_had_just_begun(
    loss: LossReason,
    reach: ConnectResult | None,
    is_leaving: bool,
    begun_for: float | None,
    blames: bool,
    server: ServerVerdict,
) -> None:
    """Guards against blaming requests for reclaims, cut links and lost answers."""
    verdict = classify_loss(
        loss, reach, is_leaving=is_leaving, seconds_since_first_event=begun_for
    )
    assert (verdict.is_request_suspect, verdict.server) == (blames, server)
