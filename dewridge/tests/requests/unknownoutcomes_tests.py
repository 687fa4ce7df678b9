"""Tests of calls between hosts, and to engines, that are carried out without an answer.

`docs/design/calls-with-effects.md` lists all such calls.
"""

from typing import Any

import pytest
import trio

from dewridge.codes import ResultCode
from dewridge.fleet.orders import allocate_fencing_number
from dewridge.membership.registration import Registration
from dewridge.peers.wire import ttypes as wire
from dewridge.tests.fakes import MemoryKeyValue
from dewridge.tests.frontend.fakes import make_member
from dewridge.tests.requests.failures_tests import read_end, submit
from dewridge.tests.requests.fakes import Cluster, Node, make_tokens, run_cluster
from dewridge.tests.requests.leaving_tests import reclaim_host


# An engine stops a certificate, and its confirmation is lost. If the call were then
# sent to another engine, or its part were taken as the answer, the caller would get a
# certificate that was issued twice, or a part of one.
def test_certificate_without_a_confirmed_stop_is_not_sent_again() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.workers.step = 0.2
        cluster.workers.loses_confirmations = True
        key = await submit(cluster, "host-0", "draft_certificate")
        await trio.sleep(0.5)
        attempts = cluster.nodes["host-0"].service._attempts
        server = next(iter(attempts._running.values())).server
        at = cluster.nodes["host-0"].service._shared.clock() + 1.5
        cluster.servers.handle_leaving(server, at, "notice")
        ended = await read_end(cluster, "host-1", key)
        assert cluster.workers.cancelled_attempts
        assert cluster.workers.count(key) == 1
        assert ended.code is ResultCode.OUTCOME_UNKNOWN

    run_cluster(scenario)


def test_certificate_that_an_engine_has_forgotten_is_not_sent_again() -> None:
    """Guards against "unknown" of a restarted engine as proof of "not run"."""

    async def scenario(cluster: Cluster) -> None:
        cluster.workers.forgets_attempts = True
        cluster.workers.interruptions = 1
        key = await submit(cluster, "host-0", "draft_certificate")
        ended = await read_end(cluster, "host-1", key)
        assert cluster.workers.count(key) == 1
        assert ended.code is ResultCode.OUTCOME_UNKNOWN

    run_cluster(scenario)


def lose_replies(cluster: Cluster, hosts: list[str]) -> list[str]:
    """Lose replies of hosts to host-0; return the list of those it offers requests."""
    offered: list[str] = []

    def record(source: Node, target: Node, message: Any) -> None:
        if isinstance(message, wire.Handoff):
            offered.append(target.member.host)

    cluster.on_message = record
    for name in hosts:
        cluster.blocked_links.add((name, "host-0"))
    return offered


# A leaving host hands its requests off, and the replies are lost, so that it offers
# each to a host after the other. If two of them ran a letter, it would be issued twice.
@pytest.mark.parametrize("lost_from", [1, 2, 4])
def test_call_runs_once_if_replies_to_its_handoff_are_lost(lost_from: int) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.key_value.delay = 0.04
        keys = [await submit(cluster, "host-0", "issue_letter") for _ in range(5)]
        assert not any(cluster.workers.count(key) for key in keys)
        others = [name for name in cluster.nodes if name != "host-0"]
        offered = lose_replies(cluster, others[:lost_from])
        await reclaim_host(cluster, "host-0", notice=4.0, drain=3.0)
        assert set(offered) & set(others[:lost_from])
        for key in keys:
            ended = await read_end(cluster, others[-1], key)
            assert cluster.workers.count(key) <= 1
            if not cluster.workers.count(key):
                assert ended.code is not ResultCode.OK
            elif ended.code is not ResultCode.OK:
                assert ended.code is ResultCode.OUTCOME_UNKNOWN
        await trio.sleep(5.0)
        assert all(cluster.workers.count(key) <= 1 for key in keys)

    run_cluster(scenario)


# The same with drafts, which may run twice: their callers must get one whole answer.
def test_draft_is_whole_if_replies_to_its_handoff_are_lost() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.workers.step = 0.1
        keys = [await submit(cluster, "host-0", "draft_finding") for _ in range(3)]
        others = [name for name in cluster.nodes if name != "host-0"]
        offered = lose_replies(cluster, others[:2])
        await reclaim_host(cluster, "host-0", notice=4.0, drain=3.0)
        assert set(offered) & set(others[:2])
        for key in keys:
            seen = await cluster.follow(others[-1], key)
            assert seen.ended is not None
            assert seen.ended.code is ResultCode.OK
            assert seen.tokens == make_tokens(key)

    run_cluster(scenario)


# A number whose write had no answer may be that of another host's order by then. The
# next number must be higher than all that were drawn.
async def test_fencing_numbers_increase_if_answers_are_lost() -> None:
    key_value = MemoryKeyValue()
    numbers: list[int] = []
    for lost in (0, 1, 3, 0):
        key_value.answers_to_lose = lost
        number = await allocate_fencing_number(key_value, "dewridge/")
        assert isinstance(number, int)
        numbers.append(number)
        stored = key_value.entries["dewridge/fence"].value
        assert int(stored) == number
    assert numbers == sorted(set(numbers))


@pytest.mark.parametrize("lost", ["answers_to_lose", "writes_to_lose"])
async def test_address_is_registered_if_answers_are_lost(
    lost: str, autojump_clock: trio.testing.MockClock
) -> None:
    key_value = MemoryKeyValue()
    member = make_member("host-0", "domain-0")
    registration = Registration(key_value, "dewridge/", (), member)
    setattr(key_value, lost, 2)
    with trio.fail_after(30.0):
        await registration.run()
    assert member.address.encode() in key_value.entries["dewridge/hosts/host-0"].value
