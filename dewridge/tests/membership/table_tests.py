"""Tests of the tables of members and rumors, and of the update queue."""

from dataclasses import replace
from itertools import permutations

from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.membership.buckets import BucketHashes
from dewridge.membership.model import Member, MemberState, Rumor
from dewridge.membership.news import UpdateKey, UpdateKind, UpdateQueue
from dewridge.membership.rumors import MAX_RUMORS, MergeResult, RumorTable
from dewridge.membership.table import LocalClaim, MemberTable


def make_member(host: str, incarnation: int = 1, refutation: int = 0) -> Member:
    return Member(
        HostId(host),
        Incarnation(incarnation),
        FailureDomain("a"),
        f"{host}:1",
        f"{host}:2",
        refutation=refutation,
    )


def make_table(host: str = "me") -> MemberTable:
    return MemberTable(make_member(host), BucketHashes(), suspicion=2.0)


def test_claims_in_any_order_give_same_state() -> None:
    # Claims about a host may arrive in any order. If the order mattered, the views
    # of the members would differ permanently.
    first, second = make_member("x"), make_member("x", 2)
    claims = [
        first,
        replace(first, state=MemberState.DEAD),
        replace(first, refutation=1),
        second,
        replace(second, state=MemberState.SUSPECT),
        replace(second, refutation=1, state=MemberState.LEAVING),
    ]
    for order in permutations(claims):
        table = make_table()
        for claim in order:
            table.merge(claim, 0.0)
        assert table.find(HostId("x")) == claims[-1]


def test_suspect_is_dead_after_suspicion_time() -> None:
    table = make_table()
    member = make_member("x")
    table.merge(member, 0.0)
    table.suspect(member, 10.0)
    assert not table.expire(11.9, 1)
    assert not table.expire(12.1, 2), "a slow host waits longer"
    assert [m.state for m in table.expire(12.1, 1)] == [MemberState.DEAD]
    assert table.alive_count == 1
    assert not table.merge(member, 13.0), "the same claim must not revive it"
    assert table.merge(replace(member, refutation=1), 13.0)


def test_death_from_sync_is_applied_as_suspicion() -> None:
    # Two halves of a partition merge, each with the other's members as dead.
    table = make_table()
    member = make_member("x")
    table.merge(member, 0.0)
    dead = replace(member, state=MemberState.DEAD)
    changes = table.merge(dead, 1.0, from_sync=True)
    assert [m.state for m in changes] == [MemberState.SUSPECT]
    assert [m.state for m in table.merge(dead, 1.0)] == [MemberState.DEAD]


def test_claims_about_local_host_are_recorded() -> None:
    table = make_table()
    table.merge(replace(table.local_member, state=MemberState.SUSPECT), 0.0)
    assert table.pop_local_claims() == {LocalClaim.SUSPECT}
    assert table.refute().refutation == 1
    table.merge(replace(table.local_member, refutation=0, state=MemberState.DEAD), 0.0)
    assert not table.pop_local_claims(), "refuted already"
    table.merge(make_member("me", 2), 0.0)
    assert table.pop_local_claims() == {LocalClaim.SUPERSEDED}


def test_same_state_has_same_hashes() -> None:
    # Members compare hashes instead of full states. If the hashes depended on the
    # order of changes, members would exchange all items again and again.
    hashes_a, hashes_b = BucketHashes(), BucketHashes()
    members_a, members_b = (
        MemberTable(make_member("a"), hashes_a, 2.0),
        MemberTable(make_member("a"), hashes_b, 2.0),
    )
    rumors_a, rumors_b = RumorTable(hashes_a), RumorTable(hashes_b)
    members_a.merge(make_member("x"), 0.0)
    members_a.merge(make_member("x", 2), 0.0)
    rumors_a.merge(Rumor("k", "s", 1, b""), 0.0, 0.0)
    rumors_a.merge(Rumor("k", "s", 2, b""), 0.0, 0.0)
    assert hashes_a.find_differing(hashes_b.list_hashes())
    members_b.merge(make_member("x", 2), 0.0)
    rumors_b.merge(Rumor("k", "s", 2, b"other"), 5.0, 0.0)
    assert not hashes_a.find_differing(hashes_b.list_hashes())


def test_rumors_are_bounded_and_expire() -> None:
    # Servers are replaced for months, each with a rumor, which must not accumulate.
    # A member that retained an old rumor must not return it to members that
    # dropped it.
    table = RumorTable(BucketHashes())
    old = Rumor("server", "s", 1, b"gone", lifetime=100.0)
    assert table.merge(old, 50.0, 0.0) is MergeResult.NEW
    assert table.expire(49.0) == 0
    assert table.expire(51.0) == 1
    assert table.merge(old, 101.0, 51.0) is MergeResult.EXPIRED
    for number in range(MAX_RUMORS):
        table.merge(Rumor("k", str(number), 1, b""), 0.0, 0.0)
    assert table.merge(Rumor("k", "more", 1, b""), 0.0, 0.0) is MergeResult.OVER_LIMIT
    assert table.merge(Rumor("k", "5", 2, b""), 0.0, 0.0) is MergeResult.NEW


def test_updates_fit_message_and_are_sent_limited_times() -> None:
    # The updates about a whole failure domain must not all go into one message.
    queue = UpdateQueue()
    keys = [UpdateKey(UpdateKind.MEMBER, str(number)) for number in range(20)]
    for key in keys:
        queue.add(key)
    sent = [
        queue.select_for_message(lambda key: 100, 500, max_transmissions=3)
        for _ in range(12)
    ]
    assert all(len(message) <= 5 for message in sent)
    assert sorted(k.subject for m in sent for k in m) == sorted(
        k.subject for k in keys * 3
    )
    assert not queue.select_for_message(lambda key: 100, 500, max_transmissions=3)


def test_prioritized_update_precedes_backlog() -> None:
    # All hosts of a deployment start at once, and one of them is suspected. If its
    # refutation waited behind hundreds of joins, it would be declared dead.
    queue = UpdateQueue()
    for number in range(300):
        queue.add(UpdateKey(UpdateKind.MEMBER, str(number)))
    prioritized = UpdateKey(UpdateKind.MEMBER, "suspect")
    queue.add(prioritized, is_prioritized=True)
    assert (
        queue.select_for_message(lambda key: 100, 500, max_transmissions=3)[0]
        == prioritized
    )
