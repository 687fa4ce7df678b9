"""Tests of the choice of entry hosts for a client account."""

from collections import Counter

from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.membership.model import Member, MemberState
from dewridge.policy.entry import choose_entry_hosts


def make_members(count: int) -> list[Member]:
    return [
        Member(
            HostId(f"host-{n}"),
            Incarnation(1),
            FailureDomain(f"domain-{n % 4}"),
            f"127.0.0.1:{n}",
            f"127.0.0.1:{1000 + n}",
            MemberState.LEAVING if n == 0 else MemberState.ALIVE,
        )
        for n in range(count)
    ]


def test_first_hosts_are_live_and_in_different_failure_domains() -> None:
    for account in range(50):
        chosen = choose_entry_hosts(f"account-{account}", make_members(9), 4)
        assert len({member.failure_domain for member in chosen}) == 4
        assert all(member.accepts_work for member in chosen)


def test_accounts_and_callers_are_spread_evenly() -> None:
    members = make_members(9)
    by_account = Counter(
        choose_entry_hosts(f"account-{n}", members, 1)[0].host for n in range(4000)
    )
    by_caller = Counter(
        choose_entry_hosts("large", members, 1, f"caller-{n}")[0].host
        for n in range(4000)
    )
    for counts in (by_account, by_caller):
        assert len(counts) == 8
        assert max(counts.values()) < 1.25 * 4000 / 8
