"""Reports between hosts: lost, late, repeated, and after a silence."""

import msgspec

from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.echoes import SentReportTimes
from dewridge.gateway.reports import (
    CellReport,
    HostUsage,
    Report,
    ServerTotals,
    Totals,
    UsageReport,
)
from dewridge.gateway.sharing import SharedReports
from dewridge.ids import BackendServerId, ClientAccount, HostId, ServiceName
from dewridge.policy.cells import CellName
from dewridge.tests.gateway.world import make_configuration

OWN = HostId("host-1")
PEER = HostId("host-2")
ACCOUNT = ClientAccount("account-1")
SERVER = BackendServerId("s-1")


def make_report(
    number: int, used: int, *, boot: int = 1, age: float = 0.0, work: int = 0
) -> Report:
    """Return a peer's report."""
    return Report(
        host=PEER,
        boot=boot,
        number=number,
        is_ready=True,
        age=age,
        totals=Totals(
            quota_usage={ACCOUNT: used},
            token_demand={ServiceName("engine"): used},
            servers={SERVER: ServerTotals(work, work * 100)},
        ),
        usage_counts={7: {ACCOUNT: number}},
    )


class Listener:
    """A host's view with what it was told of use."""

    def __init__(self) -> None:
        self.used: list[float] = []
        self.sharing = SharedReports(OWN, self._note)

    def _note(
        self, host: HostId, account: ClientAccount, amount: float, now: float
    ) -> None:
        self.used.append(amount)


def test_lost_and_late_reports_cost_nothing() -> None:
    """A datagram is lost, the next one overtakes another."""
    listener = Listener()
    for number, used, now in ((1, 10, 1.0), (3, 40, 1.2), (2, 25, 1.3), (3, 40, 1.4)):
        listener.sharing.apply_report(make_report(number, used), now)
    assert listener.used == [10, 30]


def test_a_restarted_host_counts_from_zero_again() -> None:
    listener = Listener()
    listener.sharing.apply_report(make_report(5, 100), 1.0)
    listener.sharing.apply_report(make_report(1, 7, boot=2), 1.3)
    assert listener.used == [100, 7]
    assert listener.sharing.usage.counts_by_window[7][PEER, 1] == {ACCOUNT: 5}
    assert listener.sharing.usage.counts_by_window[7][PEER, 2] == {ACCOUNT: 1}


def test_use_before_this_host_started_is_not_counted() -> None:
    listener = Listener()
    listener.sharing.apply_report(make_report(500, 9000, age=60.0), 1.0)
    listener.sharing.apply_report(make_report(501, 9010, age=60.1), 1.1)
    assert listener.used == [10]


def test_use_of_a_silence_is_not_taken_out_twice() -> None:
    """A host was cut off from its peers for ten seconds and hears them again.

    It had left them their shares meanwhile. Taken out at once, their use would leave
    every account with a debt, and callers of this host would be refused for as long.
    """
    listener = Listener()
    listener.sharing.apply_report(make_report(1, 10), 1.0)
    listener.sharing.apply_report(make_report(100, 9000), 11.0)
    listener.sharing.apply_report(make_report(101, 9030), 11.1)
    assert listener.used == [10, 30]


def test_work_of_silent_hosts_is_not_counted() -> None:
    """A host dies with requests in flight; its servers must not look busy for ever."""
    listener = Listener()
    listener.sharing.apply_report(make_report(1, 0, work=5), 1.0)
    assert listener.sharing.find_summary(1.1).server_totals == {
        SERVER: ServerTotals(5, 500)
    }
    assert listener.sharing.find_summary(5.0).server_totals == {}


FAR = CellName("domain-b/0-2")
TELLER, OTHER_TELLER = HostId("host-8"), HostId("host-9")


def make_cell_report(
    teller: HostId, number: int, used: int, *, boot: int = 1, work: int = 0
) -> CellReport:
    """Return a word on another cell."""
    return CellReport(
        host=teller,
        boot=boot,
        number=number,
        cell=FAR,
        members=[TELLER, OTHER_TELLER],
        unready=[OTHER_TELLER],
        totals=Totals(
            quota_usage={ACCOUNT: used},
            servers={SERVER: ServerTotals(work, work * 100)},
        ),
    )


def test_a_cell_that_two_hosts_tell_of_counts_once() -> None:
    """Two hosts tell the same sums of their cell by turns; their counts differ.

    Counted twice, an account would get half of its quota.
    """
    listener = Listener()
    told = [(TELLER, 1, 100), (OTHER_TELLER, 2, 70), (TELLER, 3, 130)]
    told += [(OTHER_TELLER, 4, 105), (TELLER, 5, 135)]
    for round_number, (teller, number, used) in enumerate(told):
        report = make_cell_report(teller, number, used, work=3)
        listener.sharing.apply_report(report, 1.0 + round_number / 5)
    assert listener.used == [30, 5]
    assert listener.sharing.find_summary(1.9).server_totals == {
        SERVER: ServerTotals(3, 300)
    }


def test_the_second_teller_goes_on_when_the_first_one_dies() -> None:
    listener = Listener()
    for number in (1, 2, 3, 4):
        listener.sharing.apply_report(
            make_cell_report(TELLER, number, 10 * number), 1.0
        )
        listener.sharing.apply_report(
            make_cell_report(OTHER_TELLER, number, 10 * number), 1.0
        )
    assert sum(listener.used) == 30
    listener.sharing.apply_report(make_cell_report(OTHER_TELLER, 5, 55), 1.4)
    assert sum(listener.used) == 45
    listener.sharing.apply_report(make_cell_report(TELLER, 1, 3, boot=2), 1.5)
    listener.sharing.apply_report(make_cell_report(TELLER, 2, 8, boot=2), 1.6)
    assert sum(listener.used) == 50


def test_use_of_a_silent_cell_is_not_taken_out_twice() -> None:
    """A failure domain was cut off for ten seconds and is heard again.

    Its hosts kept to the share that was left to them; taken out of the others'
    buckets at once, every account would be refused there.
    """
    listener = Listener()
    listener.sharing.apply_report(make_cell_report(TELLER, 1, 10), 1.0)
    listener.sharing.apply_report(make_cell_report(TELLER, 60, 9000), 11.0)
    listener.sharing.apply_report(make_cell_report(TELLER, 61, 9030), 11.2)
    assert listener.used == [30]


def test_members_of_a_cell_that_is_heard_are_not_silent() -> None:
    listener = Listener()
    assert listener.sharing.is_silent(OTHER_TELLER, 1.0)
    listener.sharing.apply_report(make_cell_report(TELLER, 1, 10), 1.0)
    assert not listener.sharing.is_silent(OTHER_TELLER, 1.1)
    assert listener.sharing.find_summary(1.1).unready_hosts == {OTHER_TELLER}
    assert listener.sharing.is_silent(OTHER_TELLER, 3.0)


def test_usage_that_several_hosts_tell_counts_once() -> None:
    """A host dies; two hosts of its cell tell the holder of the duties what it counted.

    One of them missed its last word. The sum is what an account is billed by.
    """
    listener = Listener()
    gone = HostId("host-7")
    for teller, count in ((TELLER, 5), (OTHER_TELLER, 4)):
        own = HostUsage(teller, 1, {7: {ACCOUNT: 10}})
        lost = HostUsage(gone, 3, {7: {ACCOUNT: count}})
        listener.sharing.usage.apply_report(
            UsageReport(teller, 1, 1, 7, [own, lost]), (OWN, 1)
        )
        listener.sharing.usage.apply_report(
            UsageReport(teller, 1, 1, 7, [own, lost]), (OWN, 1)
        )
    assert listener.sharing.usage.sum(7, {ACCOUNT: 2}) == {ACCOUNT: 27}


def test_usage_of_starts_that_are_gone_is_told_for_them() -> None:
    listener = Listener()
    listener.sharing.apply_report(make_report(4, 0, boot=1), 1.0)
    listener.sharing.apply_report(make_report(1, 0, boot=2), 2.0)
    told = listener.sharing.usage.list_departed({(PEER, 2)})
    assert told == [HostUsage(PEER, 1, {7: {ACCOUNT: 4}})]


def test_the_latest_holder_stands() -> None:
    """Word of the holder before comes late, from a host that was cut off."""
    listener = Listener()
    listener.sharing.record_holder((9, TELLER))
    listener.sharing.record_holder((5, OTHER_TELLER))
    assert listener.sharing.holder == (9, TELLER)


def test_a_cell_sums_its_own_hosts() -> None:
    listener = Listener()
    listener.sharing.apply_report(make_report(1, 10, work=2), 1.0)
    own = Totals(quota_usage={ACCOUNT: 5}, servers={SERVER: ServerTotals(1, 100)})
    told = listener.sharing.sum_cell_totals(own, 1.1)
    assert told.quota_usage == {ACCOUNT: 15}
    assert told.servers == {SERVER: ServerTotals(3, 300)}


def test_a_confirmation_is_dated_by_what_it_answers() -> None:
    """A host is frozen for nine seconds with a peer's report in its socket.

    The report says that the configuration was confirmed half a second before. Dated by
    its reading, a key that was taken away meanwhile would work again.
    """
    echoes = SentReportTimes(OWN, boot=5)
    echoes.record_sent(8, at=99.0)
    echoes.record_sent(9, at=100.0)
    report = msgspec.structs.replace(make_report(1, 0), confirmed_age=0.5)
    answered = msgspec.structs.replace(report, last_received={OWN: (5, 9)})
    assert echoes.find_confirmation_time(answered) == 99.5
    assert echoes.find_confirmation_time(report) is None
    earlier_start = msgspec.structs.replace(report, last_received={OWN: (4, 9)})
    assert echoes.find_confirmation_time(earlier_start) is None


def test_a_peer_with_an_older_version_confirms_too_a_newer_one_does_not() -> None:
    state = ConfigurationState(trusted_for=4.0)
    state.apply(make_configuration(7))
    state.confirm_by_peer(8, 50.0)
    assert state.confirmed_at == float("-inf")
    state.confirm_by_peer(6, 50.0)
    state.confirm_by_peer(7, 49.0)
    assert state.confirmed_at == 50.0


def test_words_of_a_large_fleet_get_through() -> None:
    """Datagrams beyond 4 KB get lost where links split them.

    With one table more, and all that hosts which are gone had counted in one message,
    the others' words were missing just when many hosts came and went.
    """
    accounts = {ClientAccount(f"account-{n:03}"): 10**7 + n for n in range(16)}
    servers = {
        BackendServerId(f"i-{n:010x}"): ServerTotals(24, 90_000, 400, 40)
        for n in range(94)
    }
    totals = Totals(quota_usage=accounts, quota_demand=accounts, servers=servers)
    members = [HostId(f"edge-somewhere-{n}") for n in range(12)]
    report = CellReport(OWN, 10**15, 1000, FAR, members, [], totals)
    assert len(msgspec.msgpack.encode(report)) < 3_600
    counts = {at: dict.fromkeys(accounts, 100) for at in range(4)}
    own = HostUsage(OWN, 10**15, counts)
    usage = UsageReport(OWN, 10**15, 1000, 10**9, [own])
    assert len(msgspec.msgpack.encode(usage)) < 3_600
