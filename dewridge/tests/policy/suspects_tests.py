"""Tests the detection and quarantine of requests that crash servers."""

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
    CRASH_THRESHOLD,
    MAX_CRASHES,
    MAX_SUSPECTS,
    QUARANTINE_PERIOD,
    Crash,
    Suspect,
    SuspectLedger,
)

ACCOUNT = ClientAccount("account-1")
SERVICE = ServiceName("engine")
RUN_TIME = 0.1
"""Seconds from the sending of a request until the crash of its server."""
CAUSE = RequestDigest("cause")


def make_suspect(crashes: dict[str, float], digest: str = CAUSE) -> Suspect:
    """Return a suspect that was sent to servers right before they crashed."""
    named = {
        BackendServerId(server): Crash(at, at - RUN_TIME)
        for server, at in crashes.items()
    }
    return Suspect(RequestDigest(digest), ACCOUNT, SERVICE, named)


def test_crashes_that_three_hosts_noticed_quarantine_a_request() -> None:
    """Guards against each host counting only the crashes that it noticed itself."""
    ledger = SuspectLedger()
    for number in range(CRASH_THRESHOLD):
        assert ledger.compute_quarantine_left(CAUSE, 1.0 + number) == 0
        ledger.merge(make_suspect({f"s{number}": 1.0 + number}), 1.0 + number)
    assert ledger.compute_quarantine_left(CAUSE, 3.0) == pytest.approx(
        QUARANTINE_PERIOD - 2.0
    )


def test_a_crash_that_several_hosts_report_counts_once() -> None:
    """Guards against a quarantine for one crash that many hosts report."""
    ledger = SuspectLedger()
    for at in (1.0, 1.2, 1.4, 1.6):
        ledger.merge(make_suspect({"s0": at}), at)
    assert ledger.count_crashes(CAUSE, 2.0) == 1


def test_servers_that_crash_together_count_once() -> None:
    """Guards against blaming a common request for the loss of a failure domain."""
    ledger = SuspectLedger()
    crashes = {f"s{number}": 1.0 + number * RUN_TIME / 8 for number in range(4)}
    ledger.merge(make_suspect(crashes), 1.1)
    assert ledger.compute_quarantine_left(CAUSE, 1.2) == 0


def test_crashes_of_successive_attempts_count_separately() -> None:
    """Guards against mistaking crashes by fast retries for a failure domain's loss."""
    ledger = SuspectLedger()
    for number in range(CRASH_THRESHOLD):
        sent_at = 1.0 + number * 0.01
        suspect = make_suspect({})
        suspect.crashes = {
            BackendServerId(f"s{number}"): Crash(sent_at + 0.005, sent_at)
        }
        ledger.merge(suspect, sent_at)
    assert ledger.compute_quarantine_left(CAUSE, 1.1) > 0


def test_a_request_that_is_answered_is_cleared_for_all_hosts() -> None:
    """Guards against quarantining common requests for crashes minutes apart."""
    ledger, other = SuspectLedger(), SuspectLedger()
    ledger.merge(make_suspect({"s0": 1.0, "s1": 2.0}), 2.0)
    assert ledger.clear(CAUSE, 3.0)
    other.merge(make_suspect({"s0": 1.0, "s1": 2.0, "s2": 2.5}), 3.0)
    reported = ledger.find(CAUSE)
    assert reported is not None
    other.merge(reported, 3.1)
    assert other.compute_quarantine_left(CAUSE, 3.2) == 0
    assert other.count_crashes(CAUSE, 3.2) == 1


def test_a_released_request_is_quarantined_after_one_more_crash() -> None:
    """Guards against losing three more servers after each quarantine."""
    ledger = SuspectLedger()
    ledger.merge(make_suspect({"s0": 0.0, "s1": 10.0, "s2": 20.0}), 20.0)
    assert ledger.compute_quarantine_left(CAUSE, QUARANTINE_PERIOD - 1) > 0
    assert ledger.compute_quarantine_left(CAUSE, QUARANTINE_PERIOD + 1) == 0
    ledger.merge(make_suspect({"s3": QUARANTINE_PERIOD + 2}), QUARANTINE_PERIOD + 2)
    assert ledger.compute_quarantine_left(CAUSE, QUARANTINE_PERIOD + 3) > 0


def test_an_attack_with_many_requests_evicts_no_quarantined_one() -> None:
    """Guards against evicted quarantines and unbounded memory under an attack."""
    ledger = SuspectLedger()
    ledger.merge(make_suspect({"s0": 1.0, "s1": 2.0, "s2": 3.0}), 3.0)
    for number in range(MAX_SUSPECTS * 2):
        ledger.merge(make_suspect({"s9": 4.0 + number / 100}, f"d{number}"), 4.0)
    assert len(ledger.list_all()) == MAX_SUSPECTS
    assert ledger.compute_quarantine_left(CAUSE, 30.0) > 0


def test_crashes_stored_per_request_are_bounded() -> None:
    ledger = SuspectLedger()
    for number in range(MAX_CRASHES * 3):
        ledger.merge(make_suspect({f"s{number}": float(number)}), float(number))
    known = ledger.find(CAUSE)
    assert known is not None
    assert len(known.crashes) == MAX_CRASHES
    assert not ledger.merge(make_suspect({"s0": 0.0}), 40.0)


def test_expired_suspects_are_dropped() -> None:
    ledger = SuspectLedger()
    ledger.merge(make_suspect({"s0": 1.0}), 1.0)
    ledger.drop_expired(QUARANTINE_PERIOD)
    assert not ledger.is_empty
    ledger.drop_expired(QUARANTINE_PERIOD + 2)
    assert ledger.is_empty


@given(
    st.lists(
        st.tuples(st.integers(0, 20), st.booleans(), st.integers(0, 2)), max_size=40
    ),
    st.randoms(use_true_random=False),
)
def test_hosts_with_the_same_reports_agree(
    seen: list[tuple[int, bool, int]], rng: random.Random
) -> None:
    """Guards against results that depend on the order in which reports arrive."""
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
        for sender in order:
            reported = ledgers[sender].find(CAUSE)
            for other in ledgers:
                if reported is not None and other is not ledgers[sender]:
                    other.merge(reported, 50.0)
    counted = {tuple(s.list_crash_times(50.0)) for s in _list_suspects(ledgers)}
    assert len(counted) <= 1


def _list_suspects(ledgers: list[SuspectLedger]) -> list[Suspect]:
    return [
        suspect for ledger in ledgers if (suspect := ledger.find(CAUSE)) is not None
    ]


@pytest.mark.parametrize(
    ("loss", "reach", "is_leaving", "begun_for", "blames", "server"),
    [
        (
            LossReason.CUT_OFF,
            ConnectResult.REFUSED,
            False,
            None,
            True,
            ServerVerdict.ENDED_OR_UNREACHABLE,
        ),
        (
            LossReason.MALFORMED,
            ConnectResult.REFUSED,
            False,
            None,
            True,
            ServerVerdict.ENDED_OR_UNREACHABLE,
        ),
        (
            LossReason.CUT_OFF,
            ConnectResult.REFUSED,
            False,
            CRASH_BLAME_SECONDS / 2,
            True,
            ServerVerdict.ENDED_OR_UNREACHABLE,
        ),
        (
            LossReason.CUT_OFF,
            ConnectResult.REFUSED,
            False,
            CRASH_BLAME_SECONDS * 2,
            False,
            ServerVerdict.ENDED_OR_UNREACHABLE,
        ),
        (
            LossReason.CUT_OFF,
            ConnectResult.REFUSED,
            True,
            None,
            False,
            ServerVerdict.ENDED_OR_UNREACHABLE,
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
        (
            LossReason.NOT_CONNECTED,
            None,
            False,
            None,
            False,
            ServerVerdict.ENDED_OR_UNREACHABLE,
        ),
        (LossReason.REJECTED, None, False, None, False, ServerVerdict.FULL),
        (LossReason.OTHER_SERVER, None, False, None, False, ServerVerdict.REPLACED),
        (LossReason.MOVED, None, False, None, False, ServerVerdict.NO_EVIDENCE),
    ],
)
def test_only_the_crash_of_a_server_blames_what_it_had_just_begun(
    loss: LossReason,
    reach: ConnectResult | None,
    is_leaving: bool,
    begun_for: float | None,
    blames: bool,
    server: ServerVerdict,
) -> None:
    """Guards against blaming requests for reclaims, partitions and lost answers."""
    verdict = classify_loss(
        loss, reach, is_leaving=is_leaving, seconds_since_first_event=begun_for
    )
    assert (verdict.is_request_suspect, verdict.server) == (blames, server)
