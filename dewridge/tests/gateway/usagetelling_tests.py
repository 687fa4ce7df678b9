"""Tests of resending usage counts, and of the priority of urgent datagrams."""

import pytest
import trio
import trio.testing

from dewridge.gateway.datagrams import PacedSocket, Urgency
from dewridge.gateway.reports import HostUsage
from dewridge.gateway.usagetelling import UsageOutbox
from dewridge.ids import ClientAccount, HostId
from dewridge.policy.pacing import DatagramPacer
from dewridge.tests.gateway.weaklinks import use_weak_links

LOCAL = HostId("host-1")
FIRST_HOLDER, SECOND_HOLDER = (5, HostId("host-2")), (9, HostId("host-3"))
ACCOUNT = ClientAccount("account-1")


def make_usage(count: int, window: int = 7) -> HostUsage:
    """Return the local usage of one window."""
    return HostUsage(LOCAL, 1, {window: {ACCOUNT: count}})


def test_confirmed_usage_is_not_sent_again() -> None:
    outbox = UsageOutbox(FIRST_HOLDER)
    number = outbox.record_sent(outbox.select_unconfirmed(make_usage(3)))
    assert outbox.select_unconfirmed(make_usage(3)).usage_counts == {7: {ACCOUNT: 3}}
    outbox.apply_confirmation(number)
    assert outbox.select_unconfirmed(make_usage(3)).usage_counts == {}
    assert outbox.select_unconfirmed(make_usage(4)).usage_counts == {7: {ACCOUNT: 4}}


def test_a_late_confirmation_does_not_cover_later_counts() -> None:
    """Counts grow before a report is confirmed, and the next report is lost."""
    outbox = UsageOutbox(FIRST_HOLDER)
    first = outbox.record_sent(outbox.select_unconfirmed(make_usage(3)))
    outbox.record_sent(outbox.select_unconfirmed(make_usage(8)))
    outbox.apply_confirmation(first)
    assert outbox.select_unconfirmed(make_usage(8)).usage_counts == {7: {ACCOUNT: 8}}


def test_a_new_holder_receives_all_usage() -> None:
    """The holder crashes, and the counts that it confirmed are lost with it."""
    outbox = UsageOutbox(FIRST_HOLDER)
    number = outbox.record_sent(outbox.select_unconfirmed(make_usage(3)))
    outbox.apply_confirmation(number)
    outbox.set_holder(SECOND_HOLDER)
    assert outbox.select_unconfirmed(make_usage(3)).usage_counts == {7: {ACCOUNT: 3}}
    outbox.apply_confirmation(number)
    assert outbox.select_unconfirmed(make_usage(3)).usage_counts == {7: {ACCOUNT: 3}}


async def test_urgent_datagrams_overtake_a_round(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock
) -> None:
    """A server is reclaimed while a round of reports is queued for a weak link.

    Sent after the round, the message about it would take half a second, and the streams
    on that server have one second to move.
    """
    network = use_weak_links(monkeypatch, rate=100_000.0, queue=32_768)
    sender, receiver = (
        PacedSocket("a", 1, DatagramPacer(25_000.0)),
        PacedSocket("b", 1, DatagramPacer(1)),
    )
    received: list[bytes] = []

    async def listen() -> None:
        while True:
            await receiver.wait_for_input()
            received.extend(data[:1] for data, _ in receiver.receive_batch())

    async with trio.open_nursery() as nursery:
        await sender.bind()
        await receiver.bind()
        for task in (network.run, sender.run, listen):
            nursery.start_soon(task)
        for _ in range(8):
            sender.enqueue(("b", 1), b"r" * 3_000, Urgency.PERIODIC)
        await trio.sleep(0.01)
        sender.enqueue(("b", 1), b"u", Urgency.CONFIRMED)
        sender.enqueue(("b", 1), b"l", Urgency.URGENT)
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    assert received.index(b"l") < received.index(b"u") < 5
    assert received.count(b"r") == 8
