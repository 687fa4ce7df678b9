"""Tests of what failures of hosts leave uncertain about refused keys."""

from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import pytest

from dewridge.ids import ClientAccount, Incarnation, RequestKey, make_request_id
from dewridge.membership.model import Member, MemberState
from dewridge.requests.refusals import MemberFailureLog
from dewridge.tests.fakes import FakeMembership, make_member

HOST = make_member(1)
KEY_TIME = 1_700_000_000.0


class Hosts:
    """Two hosts, of which the first keeps a log of the second's failures."""

    def __init__(self) -> None:
        self.now = KEY_TIME
        self.membership = FakeMembership([make_member(0), HOST], make_member(0).host)
        shared = SimpleNamespace(
            membership=self.membership,
            clock=lambda: self.now,
            settings=SimpleNamespace(retention=3_600.0),
            query_fanout=2,
        )
        self.log = MemberFailureLog(cast(Any, shared))
        self.membership.update_member(HOST)

    def update(self, at: float, **changes: Any) -> Member:
        """Change the second host at a time."""
        self.now = KEY_TIME + at
        member = replace(self.membership.members_by_host[HOST.host], **changes)
        self.membership.update_member(member)
        return member

    def is_uncertain(self) -> bool:
        """Whether a key from the start of the test is uncertain."""
        milliseconds = int(KEY_TIME * 1000)
        key = f"{milliseconds >> 16:08x}-{milliseconds & 0xFFFF:04x}-7000-8000-{0:012x}"
        request = make_request_id(ClientAccount("account-a"), RequestKey(key))
        return self.log.is_uncertain(request)


def test_a_failed_host_leaves_keys_uncertain_until_it_refutes_that() -> None:
    hosts = Hosts()
    assert not hosts.is_uncertain()
    hosts.update(1.0, state=MemberState.SUSPECT)
    assert hosts.is_uncertain()
    hosts.update(2.0, state=MemberState.ALIVE, refutation=1)
    assert not hosts.is_uncertain()


@pytest.mark.parametrize("refutation", [0, 1])
def test_a_restarted_host_leaves_keys_uncertain(refutation: int) -> None:
    """Guards against "not known" of a restarted host as proof of "not run"."""
    hosts = Hosts()
    restarted = Incarnation(HOST.incarnation + 1)
    hosts.update(1.0, incarnation=restarted, refutation=refutation)
    assert hosts.is_uncertain()


def test_a_restarted_host_does_not_refute_the_failure_of_the_earlier_process() -> None:
    """Guards against a refutation by a process that has forgotten all requests."""
    hosts = Hosts()
    hosts.update(1.0, state=MemberState.SUSPECT)
    restarted = Incarnation(HOST.incarnation + 1)
    hosts.update(2.0, incarnation=restarted, state=MemberState.ALIVE)
    hosts.update(3.0, state=MemberState.SUSPECT)
    hosts.update(4.0, state=MemberState.ALIVE, refutation=1)
    assert hosts.is_uncertain()


def test_a_later_failure_counts_for_later_keys() -> None:
    """Guards against a first failure that hides the next one of the same host."""
    hosts = Hosts()
    hosts.update(-100.0, state=MemberState.DEAD)
    restarted = Incarnation(HOST.incarnation + 1)
    hosts.update(-90.0, incarnation=restarted, state=MemberState.ALIVE)
    assert not hosts.is_uncertain()
    hosts.update(1.0, state=MemberState.DEAD)
    assert hosts.is_uncertain()


def test_a_host_that_left_before_its_restart_leaves_no_key_uncertain() -> None:
    hosts = Hosts()
    hosts.update(1.0, state=MemberState.LEAVING)
    hosts.update(2.0, state=MemberState.DEAD)
    restarted = Incarnation(HOST.incarnation + 1)
    hosts.update(3.0, incarnation=restarted, state=MemberState.ALIVE)
    assert not hosts.is_uncertain()
