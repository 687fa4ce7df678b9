"""Tests of dividing a server's request limit among hosts that all have more demand."""

import math
import random
from dataclasses import dataclass, field

import pytest

from dewridge.ids import BackendServerId, HostId
from dewridge.policy.requestlimits import (
    RAMP_TIME,
    SLACK,
    STALE_AFTER,
    TOLERANCE,
    WINDOW,
    LimitNotice,
    LimitPacer,
    SendShare,
    SendSlot,
    compute_share,
    compute_stale_rate,
    count_senders,
    find_later_send_time,
    rank_sender,
    select_notice,
)

SERVER = BackendServerId("s-1")
STEP = 0.05
FLEET_SIZES = (2, 9, 60, 195, 440)
LIMITS = (0.3, 1.7, 8.0, 50.0)
SECONDS = 16.0


@dataclass
class SimulatedHost:
    """A host with unlimited demand and its own view of the fleet."""

    name: HostId
    view: frozenset[HostId]
    pacer: LimitPacer = field(default_factory=LimitPacer)
    begins_at: float = 0.0
    ends_at: float = math.inf
    _ranked: tuple[frozenset[HostId] | None, int | None] = (None, None)

    @property
    def rank(self) -> int | None:
        """Rank among the senders by the host's view."""
        if self._ranked[0] is not self.view:
            self._ranked = self.view, rank_sender(SERVER, self.name, self.view)
        return self._ranked[1]

    def count_sent(self, notice: LimitNotice, now: float, rng: random.Random) -> int:
        """Send all requests that the limit allows now."""
        if not self.begins_at <= now < self.ends_at:
            return 0
        share = compute_share(notice, self.rank, len(self.view), now)
        self.pacer.set_share(share, now, rng.random())
        sent = 0
        while self.pacer.find_send_time(now) <= now:
            self.pacer.record_sent(now)
            sent += 1
        return sent


def make_hosts(count: int) -> list[SimulatedHost]:
    """Return hosts that know each other."""
    names = [HostId(f"host-{number}") for number in range(count)]
    view = frozenset(names)
    return [SimulatedHost(name, view) for name in names]


def simulate(
    hosts: list[SimulatedHost], limit: float, seconds: float, *, is_fresh: bool = True
) -> list[float]:
    """Return the times of all requests under a limit that is named all the time."""
    rng = random.Random(7)
    sent: list[float] = []
    for step in range(round(seconds / STEP)):
        now = step * STEP
        notice = LimitNotice(limit, now if is_fresh else 0.0)
        for host in hosts:
            sent += [now] * host.count_sent(notice, now, rng)
    return sent


def count_max(sent: list[float]) -> int:
    """Return the most requests in any window."""
    return max(
        (sum(begin <= at < begin + WINDOW for at in sent) for begin in sent), default=0
    )


def compute_bound(limit: float) -> float:
    """Return the requests that operators tolerate in a window."""
    return TOLERANCE * limit * WINDOW + SLACK


@pytest.mark.parametrize("hosts", FLEET_SIZES)
@pytest.mark.parametrize("limit", LIMITS)
def test_hosts_with_unlimited_demand_keep_within_the_limit(
    hosts: int, limit: float
) -> None:
    sent = simulate(make_hosts(hosts), limit, SECONDS)
    assert count_max(sent) <= compute_bound(limit)
    assert len(sent) >= 0.8 * limit * SECONDS - count_senders(limit, hosts)


@pytest.mark.parametrize("hosts", FLEET_SIZES)
def test_a_server_that_names_no_requests_is_still_asked_sometimes(hosts: int) -> None:
    """Guards against a recovered server that no host finds out about."""
    sent = simulate(make_hosts(hosts), 0.0, 30.0)
    assert 4 <= len(sent) <= 10


@pytest.mark.parametrize("hosts", FLEET_SIZES[1:])
@pytest.mark.parametrize("limit", LIMITS)
def test_hosts_that_know_different_hosts_keep_within_the_limit(
    hosts: int, limit: float
) -> None:
    """Guards against a bound that holds only while all lists of hosts are equal.

    One host knows only itself and one more; each other one misses a host.
    """
    fleet = make_hosts(hosts)
    for number, host in enumerate(fleet):
        missing = fleet[(number * 5 + 1) % hosts].name
        host.view -= {missing} - {host.name}
    fleet[0].view = frozenset({fleet[0].name, fleet[1].name})
    assert count_max(simulate(fleet, limit, SECONDS)) <= compute_bound(limit)


@pytest.mark.parametrize("limit", LIMITS)
def test_hosts_that_join_and_leave_keep_within_the_limit(limit: float) -> None:
    """Half of the hosts are replaced, one each second; the others know it 1 s later."""
    fleet = make_hosts(9)
    for number in range(4):
        fleet[number].ends_at = 5.0 + number
        name = HostId(f"new-{number}")
        fleet.append(SimulatedHost(name, frozenset(), begins_at=6.0 + number))
    rng = random.Random(7)
    sent: list[float] = []
    for step in range(round(20.0 / STEP)):
        now = step * STEP
        known = frozenset(
            host.name
            for host in fleet
            if host.begins_at <= max(0.0, now - 1.0) < host.ends_at + 10.0
        )
        for host in fleet:
            host.view = known | {host.name}
            sent += [now] * host.count_sent(LimitNotice(limit, now), now, rng)
    assert count_max(sent) <= compute_bound(limit)


@pytest.mark.parametrize("hosts", FLEET_SIZES)
def test_other_hosts_try_a_server_whose_senders_are_silent(hosts: int) -> None:
    """Guards against a server that is left alone because its senders have no callers.

    Without news, all hosts together send less than the limit, and not at once.
    """
    limit = 1.7
    fleet = make_hosts(hosts)
    senders = count_senders(limit, hosts)
    others = [host for host in fleet if host.rank is not None and host.rank >= senders]
    sent = simulate(others, limit, STALE_AFTER + 30.0, is_fresh=False)
    assert all(at >= STALE_AFTER for at in sent)
    expected = 30.0 * compute_stale_rate(limit) * len(others) / hosts
    assert len(sent) >= math.floor(0.7 * expected)
    assert count_max(sent) <= compute_bound(limit)


@pytest.mark.parametrize("hosts", FLEET_SIZES)
def test_the_end_of_a_limit_is_not_followed_by_a_burst(hosts: int) -> None:
    """Guards against all hosts returning at once to a server that has recovered."""
    limit, ended_at = 1.7, 10.0
    fleet = make_hosts(hosts)
    rng = random.Random(7)
    sent = []
    for step in range(round((ended_at + RAMP_TIME) / STEP)):
        now = step * STEP
        has_ended = now >= ended_at
        notice = LimitNotice(limit, ended_at if has_ended else now, has_ended)
        for host in fleet:
            sent += [now] * host.count_sent(notice, now, rng)
    by_second = [
        sum(ended_at + second <= at < ended_at + second + 1 for at in sent)
        for second in range(round(RAMP_TIME))
    ]
    assert by_second[0] <= 2 * limit + SLACK
    assert by_second[-1] >= 40
    assert LimitNotice(limit, ended_at, True).is_expired(ended_at + RAMP_TIME)


@pytest.mark.parametrize("hosts", [9, 60, 195])
@pytest.mark.parametrize("limit", [0.3, 1.7, 8.0, 12.0, 50.0])
@pytest.mark.parametrize("lull", [3.0, 10.0])
def test_a_burst_after_a_lull_keeps_within_the_limit(
    hosts: int, limit: float, lull: float
) -> None:
    """Guards against a burst of hosts that see only their own answers.

    The limit is stale to all but the chosen senders, which still have answers, and both
    send. All demand pauses and then returns at once.
    """
    begin, end = 12.0, 12.0 + lull
    fleet = make_hosts(hosts)
    rng = random.Random(7)
    observed_at = dict.fromkeys((host.name for host in fleet), 0.0)
    sent: list[float] = []
    for step in range(round((end + WINDOW) / STEP)):
        now = step * STEP
        if begin <= now < end:
            continue
        for host in fleet:
            notice = LimitNotice(limit, observed_at[host.name])
            count = host.count_sent(notice, now, rng)
            if count:
                observed_at[host.name] = now
            sent += [now] * count
    assert count_max(sent) <= compute_bound(limit)


def test_a_host_with_little_demand_gets_its_turn() -> None:
    """Guards against a turn that is drawn again at each request and never comes."""
    share = SendShare(60.0, is_stale=True)
    pacer = LimitPacer()
    rng = random.Random(7)
    sent = 0
    for second in range(0, 3_600, 7):
        pacer.set_share(share, second, rng.random())
        if pacer.find_send_time(second) <= second:
            pacer.record_sent(second)
            sent += 1
    assert sent >= 45


def test_lowered_limit_applies_at_once() -> None:
    """Guards against bursts that were saved up under a higher limit."""
    fleet = make_hosts(9)
    rng = random.Random(7)
    sent = []
    for step in range(round(12.0 / STEP)):
        now = step * STEP
        notice = LimitNotice(50.0 if now < 4.0 else 1.7, now)
        # No demand before the limit is lowered: all pacers are full.
        if now >= 3.9:
            counts = [host.count_sent(notice, now, rng) for host in fleet]
            sent += [now] * sum(counts) if now >= 4.0 else []
        else:
            for host in fleet:
                share = compute_share(notice, host.rank, len(fleet), now)
                host.pacer.set_share(share, now, 0.5)
    assert count_max(sent) <= compute_bound(1.7)


def test_a_host_that_does_not_know_the_others_does_not_send() -> None:
    """Guards against a host that has just started and takes the whole limit."""
    share = compute_share(
        LimitNotice(8.0, 0.0), rank_sender(SERVER, HostId("a"), ()), 0, 1.0
    )
    assert math.isinf(share.interval)


def test_newer_notice_holds_and_the_first_end_of_a_limit() -> None:
    named, later = LimitNotice(2.0, 1.0), LimitNotice(3.0, 2.0)
    ended = LimitNotice(3.0, 3.0, has_ended=True)
    again = LimitNotice(3.0, 4.0, has_ended=True)
    assert select_notice(None, named) is named
    assert select_notice(later, named) is later
    assert select_notice(later, ended) is ended
    assert select_notice(ended, again) is ended
    assert select_notice(again, ended) is ended


def test_waiting_requests_get_times_one_after_the_other() -> None:
    slots = [SendSlot(0.2, 0.4), SendSlot(0.5, 1.0)]
    times = [find_later_send_time(slots, position) for position in range(4)]
    assert times == pytest.approx([0.2, 0.5, 0.6, 1.0])
    assert find_later_send_time([], 3) == math.inf


@pytest.mark.parametrize("hosts", FLEET_SIZES[1:])
@pytest.mark.parametrize("limit", LIMITS)
def test_halves_that_cannot_reach_each_other_keep_within_the_limit(
    hosts: int, limit: float
) -> None:
    """Half of the hosts has dropped the other half, which still knows all hosts."""
    fleet = make_hosts(hosts)
    half = frozenset(host.name for host in fleet[: hosts // 2])
    for host in fleet[: hosts // 2]:
        host.view = half
    assert count_max(simulate(fleet, limit, SECONDS)) <= compute_bound(limit)


@pytest.mark.parametrize("limit", LIMITS)
def test_hosts_that_wake_after_a_freeze_keep_within_the_limit(limit: float) -> None:
    """Guards against hosts that use up the shares of the time in which they stood."""
    fleet = make_hosts(9)
    rng = random.Random(7)
    sent: list[float] = []
    for step in range(round(SECONDS / STEP)):
        now = step * STEP
        for number, host in enumerate(fleet):
            is_frozen = number % 2 == 0 and 4.0 <= now < 10.0
            if not is_frozen:
                sent += [now] * host.count_sent(LimitNotice(limit, now), now, rng)
    assert count_max(sent) <= compute_bound(limit)
