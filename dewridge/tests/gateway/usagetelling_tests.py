"""Which counts of usage are told again, and what goes out first."""

import pytest
import trio
import trio.testing

from dewridge.gateway.datagrams import PacedSocket, Urgency
from dewridge.gateway.reports import HostUsage
from dewridge.gateway.usagetelling import UsageOutbox
from dewridge.ids import ClientAccount, HostId
from dewridge.policy.pacing import Pace
from dewridge.tests.gateway.weaklinks import use_weak_links

OWN = HostId("host-1")
FIRST, SECOND = (5, HostId("host-2")), (9, HostId("host-3"))
ACCOUNT = ClientAccount("account-1")


def make_usage(count: int, window: int = 7) -> HostUsage:
    """Return counts of one window."""
    return HostUsage(OWN, 1, {window: {ACCOUNT: count}})


def test_what_is_confirmed_is_not_told_again() -> None:
    outbox = UsageOutbox(FIRST)
    number = outbox.record_sent(outbox.select_unconfirmed(make_usage(3)))
    assert outbox.select_unconfirmed(make_usage(3)).usage_counts == {7: {ACCOUNT: 3}}
    outbox.apply_confirmation(number)
    assert outbox.select_unconfirmed(make_usage(3)).usage_counts == {}
    assert outbox.select_unconfirmed(make_usage(4)).usage_counts == {7: {ACCOUNT: 4}}


def test_a_late_confirmation_does_not_cover_what_came_after() -> None:
    """Counts grow between a word and its confirmation, and the next word is lost."""
    outbox = UsageOutbox(FIRST)
    first = outbox.record_sent(outbox.select_unconfirmed(make_usage(3)))
    outbox.record_sent(outbox.select_unconfirmed(make_usage(8)))
    outbox.apply_confirmation(first)
    assert outbox.select_unconfirmed(make_usage(8)).usage_counts == {7: {ACCOUNT: 8}}


def test_another_holder_is_told_all() -> None:
    """The holder dies; what it confirmed died with it."""
    outbox = UsageOutbox(FIRST)
    number = outbox.record_sent(outbox.select_unconfirmed(make_usage(3)))
    outbox.apply_confirmation(number)
    outbox.set_holder(SECOND)
    assert outbox.select_unconfirmed(make_usage(3)).usage_counts == {7: {ACCOUNT: 3}}
    outbox.apply_confirmation(number)
    assert outbox.select_unconfirmed(make_usage(3)).usage_counts == {7: {ACCOUNT: 3}}


async def test_urgent_words_overtake_a_round(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock
) -> None:
    """A server is reclaimed while a round of reports waits for a weak link.

    Behind the round the news would take half a second, and the streams on that server
    have one to move.
    """
    network = use_weak_links(monkeypatch, rate=100_000.0, queue=32_768)
    sender, receiver = PacedSocket("a", 1, Pace(25_000.0)), PacedSocket("b", 1, Pace(1))
    heard: list[bytes] = []

    async def listen() -> None:
        while True:
            data, _ = await receiver.receive()
            heard.append(data[:1])

    async with trio.open_nursery() as nursery:
        await sender.bind()
        await receiver.bind()
        for task in (network.run, sender.run, listen):
            nursery.start_soon(task)
        for _ in range(8):
            sender.enqueue(("b", 1), b"r" * 3_000, Urgency.ROUND)
        await trio.sleep(0.01)
        sender.enqueue(("b", 1), b"u", Urgency.MUST_ARRIVE)
        sender.enqueue(("b", 1), b"l", Urgency.AT_ONCE)
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    assert heard.index(b"l") < heard.index(b"u") < 5
    assert heard.count(b"r") == 8
