"""Claims about members are merged so that no order of arrival brings back the past."""

from dataclasses import replace
from itertools import permutations

from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.membership.buckets import BucketHashes
from dewridge.membership.model import Member, MemberState, Rumor
from dewridge.membership.news import UpdateKey, UpdateKind, UpdateQueue
from dewridge.membership.rumors import MAX_RUMORS, MergeResult, RumorTable
from dewridge.membership.table import LocalClaim, MemberTable


def make(host: str, incarnation: int = 1, refutation: int = 0) -> Member:
    return Member(
        HostId(host),
        Incarnation(incarnation),
        FailureDomain("a"),
        f"{host}:1",
        f"{host}:2",
        refutation=refutation,
    )


def make_table(me: str = "me") -> MemberTable:
    return MemberTable(make(me), BucketHashes(), suspicion=2.0)


def test_claims_lead_to_the_same_belief_in_any_order() -> None:
    # News of one host overtake each other on their ways. If the order mattered,
    # members would disagree for good on who is there.
    first, second = make("x"), make("x", 2)
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


def test_a_suspect_is_dead_when_its_time_is_over_and_not_before() -> None:
    table = make_table()
    member = make("x")
    table.merge(member, 0.0)
    table.suspect(member, 10.0)
    assert not table.expire(11.9, 1)
    assert not table.expire(12.1, 2), "a slow host waits longer"
    assert [m.state for m in table.expire(12.1, 1)] == [MemberState.DEAD]
    assert table.alive_count == 1
    assert not table.merge(member, 13.0), "the same claim does not bring it back"
    assert table.merge(replace(member, refutation=1), 13.0)


def test_a_death_by_hearsay_is_a_suspicion_first() -> None:
    # Two halves meet after a cut, each with the other's members for dead.
    table = make_table()
    member = make("x")
    table.merge(member, 0.0)
    dead = replace(member, state=MemberState.DEAD)
    changes = table.merge(dead, 1.0, from_sync=True)
    assert [m.state for m in changes] == [MemberState.SUSPECT]
    assert [m.state for m in table.merge(dead, 1.0)] == [MemberState.DEAD]


def test_a_host_learns_what_is_claimed_of_it() -> None:
    table = make_table()
    table.merge(replace(table.local_member, state=MemberState.SUSPECT), 0.0)
    assert table.pop_local_claims() == {LocalClaim.SUSPECT}
    assert table.refute().refutation == 1
    table.merge(replace(table.local_member, refutation=0, state=MemberState.DEAD), 0.0)
    assert not table.pop_local_claims(), "refuted already"
    table.merge(make("me", 2), 0.0)
    assert table.pop_local_claims() == {LocalClaim.SUPERSEDED}


def test_the_same_knowledge_has_the_same_hashes() -> None:
    # Members compare hashes in place of all they know. Hashes that kept a trace
    # of the way there would send everything back and forth for ever.
    one, two = BucketHashes(), BucketHashes()
    left, right = MemberTable(make("a"), one, 2.0), MemberTable(make("a"), two, 2.0)
    rumors, others = RumorTable(one), RumorTable(two)
    left.merge(make("x"), 0.0)
    left.merge(make("x", 2), 0.0)
    rumors.merge(Rumor("k", "s", 1, b""), 0.0, 0.0)
    rumors.merge(Rumor("k", "s", 2, b""), 0.0, 0.0)
    assert one.find_differing(two.list_hashes())
    right.merge(make("x", 2), 0.0)
    others.merge(Rumor("k", "s", 2, b"other"), 5.0, 0.0)
    assert not one.find_differing(two.list_hashes())


def test_rumors_are_bounded_and_forgotten_by_age() -> None:
    # Servers come and go for months, each with a rumor; and a member that kept an
    # old one must not bring it back to those that forgot it.
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


def test_news_fit_the_message_and_end() -> None:
    # A failure domain's worth of news must not make one message of everything.
    news = UpdateQueue()
    keys = [UpdateKey(UpdateKind.MEMBER, str(number)) for number in range(20)]
    for key in keys:
        news.add(key)
    sent = [
        news.select_for_message(lambda key: 100, 500, max_transmissions=3)
        for _ in range(12)
    ]
    assert all(len(message) <= 5 for message in sent)
    assert sorted(k.subject for m in sent for k in m) == sorted(
        k.subject for k in keys * 3
    )
    assert not news.select_for_message(lambda key: 100, 500, max_transmissions=3)


def test_pressing_news_go_before_a_backlog() -> None:
    # All hosts of a deployment start at once and one of them is suspected. If its
    # refutation waited behind hundreds of joins, it would be declared dead.
    news = UpdateQueue()
    for number in range(300):
        news.add(UpdateKey(UpdateKind.MEMBER, str(number)))
    pressing = UpdateKey(UpdateKind.MEMBER, "suspect")
    news.add(pressing, is_urgent=True)
    assert (
        news.select_for_message(lambda key: 100, 500, max_transmissions=3)[0]
        == pressing
    )
