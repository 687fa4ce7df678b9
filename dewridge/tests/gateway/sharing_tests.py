"""Tests of applying reports that are lost, late, repeated, or follow a silence."""

import random

import msgspec
import pytest
import trio

from dewridge.gateway import clock
from dewridge.gateway.clock import StallDetector
from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.echoes import SentReportTimes
from dewridge.gateway.hosts import HostEntry, HostTable, Registration
from dewridge.gateway.reports import (
    CellReport,
    HostUsage,
    Report,
    ServerTotals,
    Totals,
    UsageReport,
)
from dewridge.gateway.sharing import SharedReports
from dewridge.gateway.sharinglink import ReportLink
from dewridge.gateway.state import MAX_STALL
from dewridge.gateway.upkeep import run_upkeep
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    FailureDomain,
    HostId,
    ServiceName,
)
from dewridge.policy.cells import CellName
from dewridge.tests.gateway.memorystore import MemoryStore
from dewridge.tests.gateway.world import make_configuration, make_state

LOCAL = HostId("host-1")
PEER = HostId("host-2")
ACCOUNT = ClientAccount("account-1")
SERVER = BackendServerId("s-1")


def make_report(
    number: int, used: int, *, boot: int = 1, age: float = 0.0, in_flight: int = 0
) -> Report:
    """Return a report of a cell peer with given totals and requests in flight."""
    return Report(
        host=PEER,
        boot=boot,
        number=number,
        is_ready=True,
        age=age,
        totals=Totals(
            quota_usage={ACCOUNT: used},
            token_demand={ServiceName("engine"): used},
            servers={SERVER: ServerTotals(in_flight, in_flight * 100)},
        ),
        usage_counts={7: {ACCOUNT: number}},
    )


class UsageRecorder:
    """Reports received by a host, and the quota usage that they add to its buckets."""

    def __init__(self) -> None:
        self.used: list[float] = []
        self.sharing = SharedReports(LOCAL, self._record)

    def _record(
        self, host: HostId, account: ClientAccount, amount: float, now: float
    ) -> None:
        self.used.append(amount)


def test_lost_and_late_reports_lose_no_usage() -> None:
    """One datagram is lost and another arrives after its successor."""
    recorder = UsageRecorder()
    for number, used, now in ((1, 10, 1.0), (3, 40, 1.2), (2, 25, 1.3), (3, 40, 1.4)):
        recorder.sharing.apply_report(make_report(number, used), now)
    assert recorder.used == [10, 30]


def test_a_restarted_host_counts_from_zero_again() -> None:
    recorder = UsageRecorder()
    recorder.sharing.apply_report(make_report(5, 100), 1.0)
    recorder.sharing.apply_report(make_report(1, 7, boot=2), 1.3)
    assert recorder.used == [100, 7]
    assert recorder.sharing.usage.counts_by_window[7][PEER, 1] == {ACCOUNT: 5}
    assert recorder.sharing.usage.counts_by_window[7][PEER, 2] == {ACCOUNT: 1}


def test_usage_before_this_host_started_is_not_counted() -> None:
    recorder = UsageRecorder()
    recorder.sharing.apply_report(make_report(500, 9000, age=60.0), 1.0)
    recorder.sharing.apply_report(make_report(501, 9010, age=60.1), 1.1)
    assert recorder.used == [10]


def test_usage_during_a_silence_is_not_deducted_twice() -> None:
    """A partition of ten seconds between a host and its peers heals.

    The host had reserved the peers' shares of the quotas meanwhile. If their usage were
    deducted as well, every account would be in debt, and callers of this host would be
    refused for another ten seconds.
    """
    recorder = UsageRecorder()
    recorder.sharing.apply_report(make_report(1, 10), 1.0)
    recorder.sharing.apply_report(make_report(100, 9000), 11.0)
    recorder.sharing.apply_report(make_report(101, 9030), 11.1)
    assert recorder.used == [10, 30]


def test_load_of_silent_hosts_is_not_counted() -> None:
    """A host crashes with requests in flight; servers must not look busy forever."""
    recorder = UsageRecorder()
    recorder.sharing.apply_report(make_report(1, 0, in_flight=5), 1.0)
    assert recorder.sharing.get_summary(1.1).server_totals == {
        SERVER: ServerTotals(5, 500)
    }
    assert recorder.sharing.get_summary(5.0).server_totals == {}


REMOTE_CELL = CellName("domain-b/0-2")
SENDER, OTHER_SENDER = HostId("host-8"), HostId("host-9")


def make_cell_report(
    sender: HostId, number: int, used: int, *, boot: int = 1, in_flight: int = 0
) -> CellReport:
    """Return a report on another cell."""
    return CellReport(
        host=sender,
        boot=boot,
        number=number,
        cell=REMOTE_CELL,
        members=[SENDER, OTHER_SENDER],
        unready=[OTHER_SENDER],
        totals=Totals(
            quota_usage={ACCOUNT: used},
            servers={SERVER: ServerTotals(in_flight, in_flight * 100)},
        ),
    )


def test_a_cell_that_two_hosts_report_on_counts_once() -> None:
    """Two hosts alternate in reporting the sums of their cell; their counts differ.

    If the usage were counted twice, an account would get half of its quota.
    """
    recorder = UsageRecorder()
    reports = [(SENDER, 1, 100), (OTHER_SENDER, 2, 70), (SENDER, 3, 130)]
    reports += [(OTHER_SENDER, 4, 105), (SENDER, 5, 135)]
    for round_number, (sender, number, used) in enumerate(reports):
        report = make_cell_report(sender, number, used, in_flight=3)
        recorder.sharing.apply_report(report, 1.0 + round_number / 5)
    assert recorder.used == [30, 5]
    assert recorder.sharing.get_summary(1.9).server_totals == {
        SERVER: ServerTotals(3, 300)
    }


def test_reports_of_the_second_sender_suffice_when_the_first_dies() -> None:
    recorder = UsageRecorder()
    for number in (1, 2, 3, 4):
        recorder.sharing.apply_report(
            make_cell_report(SENDER, number, 10 * number), 1.0
        )
        recorder.sharing.apply_report(
            make_cell_report(OTHER_SENDER, number, 10 * number), 1.0
        )
    assert sum(recorder.used) == 30
    recorder.sharing.apply_report(make_cell_report(OTHER_SENDER, 5, 55), 1.4)
    assert sum(recorder.used) == 45
    recorder.sharing.apply_report(make_cell_report(SENDER, 1, 3, boot=2), 1.5)
    recorder.sharing.apply_report(make_cell_report(SENDER, 2, 8, boot=2), 1.6)
    assert sum(recorder.used) == 50


def test_usage_of_a_silent_cell_is_not_deducted_twice() -> None:
    """A failure domain was partitioned for ten seconds and is live again.

    Its hosts used no more than the share reserved for them. If this usage were deducted
    from the buckets of the other hosts, these would refuse every account.
    """
    recorder = UsageRecorder()
    recorder.sharing.apply_report(make_cell_report(SENDER, 1, 10), 1.0)
    recorder.sharing.apply_report(make_cell_report(SENDER, 60, 9000), 11.0)
    recorder.sharing.apply_report(make_cell_report(SENDER, 61, 9030), 11.2)
    assert recorder.used == [30]


def test_members_of_a_live_cell_are_not_silent() -> None:
    recorder = UsageRecorder()
    assert recorder.sharing.is_silent(OTHER_SENDER, 1.0)
    recorder.sharing.apply_report(make_cell_report(SENDER, 1, 10), 1.0)
    assert not recorder.sharing.is_silent(OTHER_SENDER, 1.1)
    assert recorder.sharing.get_summary(1.1).unready_hosts == {OTHER_SENDER}
    assert recorder.sharing.is_silent(OTHER_SENDER, 3.0)


def test_usage_that_several_hosts_report_counts_once() -> None:
    """A host crashes; two peers of its cell report its usage to the duty holder.

    One of them missed its last report. Accounts are billed by the sum.
    """
    recorder = UsageRecorder()
    departed = HostId("host-7")
    for sender, count in ((SENDER, 5), (OTHER_SENDER, 4)):
        sender_usage = HostUsage(sender, 1, {7: {ACCOUNT: 10}})
        departed_usage = HostUsage(departed, 3, {7: {ACCOUNT: count}})
        recorder.sharing.usage.apply_report(
            UsageReport(sender, 1, 1, 7, [sender_usage, departed_usage]), (LOCAL, 1)
        )
        recorder.sharing.usage.apply_report(
            UsageReport(sender, 1, 1, 7, [sender_usage, departed_usage]), (LOCAL, 1)
        )
    assert recorder.sharing.usage.sum(7, {ACCOUNT: 2}) == {ACCOUNT: 27}


def test_usage_of_departed_incarnations_is_reported() -> None:
    recorder = UsageRecorder()
    recorder.sharing.apply_report(make_report(4, 0, boot=1), 1.0)
    recorder.sharing.apply_report(make_report(1, 0, boot=2), 2.0)
    departed = recorder.sharing.usage.list_departed({(PEER, 2)})
    assert departed == [HostUsage(PEER, 1, {7: {ACCOUNT: 4}})]


def test_the_latest_holder_is_kept() -> None:
    """A host that was partitioned reports an earlier holder."""
    recorder = UsageRecorder()
    recorder.sharing.record_holder((9, SENDER))
    recorder.sharing.record_holder((5, OTHER_SENDER))
    assert recorder.sharing.holder == (9, SENDER)


def test_cell_totals_include_the_local_host() -> None:
    recorder = UsageRecorder()
    recorder.sharing.apply_report(make_report(1, 10, in_flight=2), 1.0)
    local = Totals(quota_usage={ACCOUNT: 5}, servers={SERVER: ServerTotals(1, 100)})
    totals = recorder.sharing.sum_cell_totals(local, 1.1)
    assert totals.quota_usage == {ACCOUNT: 15}
    assert totals.servers == {SERVER: ServerTotals(3, 300)}


def test_a_confirmation_is_dated_by_the_report_it_answers() -> None:
    """A host is suspended for nine seconds with a peer's report in its socket buffer.

    The report says that the configuration was confirmed half a second before. Dated
    by its arrival, it would make a key that was revoked meanwhile work again.
    """
    sent_times = SentReportTimes(LOCAL, boot=5)
    sent_times.record_sent(8, at=99.0)
    sent_times.record_sent(9, at=100.0)
    report = msgspec.structs.replace(make_report(1, 0), confirmed_age=0.5)
    answered = msgspec.structs.replace(report, last_received={LOCAL: (5, 9)})
    assert sent_times.find_confirmation_time(answered) == 99.5
    assert sent_times.find_confirmation_time(report) is None
    earlier_incarnation = msgspec.structs.replace(report, last_received={LOCAL: (4, 9)})
    assert sent_times.find_confirmation_time(earlier_incarnation) is None


def test_a_peer_confirms_with_an_older_version_but_not_with_a_newer_one() -> None:
    state = ConfigurationState(trust_period=4.0)
    state.apply(make_configuration(7))
    state.confirm_by_peer(8, 50.0)
    assert state.confirmed_at == float("-inf")
    state.confirm_by_peer(6, 50.0)
    state.confirm_by_peer(7, 49.0)
    assert state.confirmed_at == 50.0


def test_reports_of_a_large_fleet_fit_into_datagrams() -> None:
    """Datagrams above 4 KB get lost on links that fragment them.

    With one more table in each report, and the usage of all departed hosts in one
    message, the reports of other hosts got lost whenever many hosts came and went.
    """
    accounts = {ClientAccount(f"account-{n:03}"): 10**7 + n for n in range(16)}
    servers = {
        BackendServerId(f"i-{n:010x}"): ServerTotals(24, 90_000, 400, 40)
        for n in range(94)
    }
    totals = Totals(quota_usage=accounts, quota_demand=accounts, servers=servers)
    members = [HostId(f"edge-somewhere-{n}") for n in range(12)]
    report = CellReport(LOCAL, 10**15, 1000, REMOTE_CELL, members, [], totals)
    assert len(msgspec.msgpack.encode(report)) < 3_600
    counts = {at: dict.fromkeys(accounts, 100) for at in range(4)}
    local_usage = HostUsage(LOCAL, 10**15, counts)
    usage = UsageReport(LOCAL, 10**15, 1000, 10**9, [local_usage])
    assert len(msgspec.msgpack.encode(usage)) < 3_600


def test_a_stall_is_noticed_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a host that takes what was true before a pause for current."""
    boot, monotonic = 100.0, 50.0
    monkeypatch.setattr(clock, "read_boot_clock", lambda: boot)
    monkeypatch.setattr("time.monotonic", lambda: monotonic)
    stalls: list[float] = []
    detector = StallDetector(1.0)
    detector.on_stall = stalls.append
    for _ in range(4):
        boot, monotonic = boot + 0.25, monotonic + 0.25
        detector.check()
    assert stalls == []
    boot, monotonic = boot + 6.0, monotonic + 0.5
    detector.check()
    detector.check()
    assert stalls == [5.5]


def test_a_peer_that_ended_in_a_suspension_is_silent_after_it() -> None:
    """Guards against a host that counts an ended peer as alive when it wakes up."""
    recorder = UsageRecorder()
    sharing = recorder.sharing
    sharing.apply_report(make_report(1, 0), 10.0)
    cell_report = CellReport(
        HostId("host-3"), 1, 1, CellName("b"), [HostId("host-3")], [], Totals()
    )
    sharing.apply_report(cell_report, 10.0)
    assert not sharing.is_silent(PEER, 10.1)
    sharing.handle_suspension(5.0)
    assert sharing.is_silent(PEER, 10.2)
    assert sharing.is_silent(HostId("host-3"), 10.2)
    sharing.apply_report(make_report(2, 0), 10.3)
    assert not sharing.is_silent(PEER, 10.35)


async def test_reports_from_before_the_end_of_a_stall_show_departures_only() -> None:
    """Guards against peers that seem alive by reports that waited in the socket."""
    recorder = UsageRecorder()
    link = ReportLink(
        None,  # type: ignore[arg-type]
        recorder.sharing,
        HostTable(LOCAL),
        FailureDomain("domain-a"),
        lambda number: make_report(number, 0),
        SentReportTimes(LOCAL, 1),
        None,  # type: ignore[arg-type]
        lambda version, at: None,
    )
    departed: list[BackendServerId] = []
    link.on_departures = lambda report: departed.extend(report.departing_servers)
    waiting = msgspec.structs.replace(
        make_report(1, 0), departing_servers={SERVER: 1.0}
    )
    link.handle_stall()
    link.receive_message(waiting, ("127.0.0.1", 1))
    now = trio.current_time()
    assert recorder.sharing.is_silent(PEER, now)
    assert departed == [SERVER]


async def test_a_slow_start_is_no_stall() -> None:
    """Guards against ignoring the first reports because the start took seconds."""
    state = make_state(None)
    stalls: list[float] = []
    state.stalls.on_stall = stalls.append
    store = MemoryStore()
    entry = HostEntry(LOCAL, 1, "", "", FailureDomain("domain-a"), False)
    registration = Registration(store, entry, random.Random(1))
    with trio.move_on_after(MAX_STALL + 0.5):
        await run_upkeep(state, registration)
    state.stalls.check()
    assert stalls == []
