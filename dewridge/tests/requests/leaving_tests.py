"""Hosts that are reclaimed while letters wait, run, or have just been answered."""

from typing import Any

import pytest
import trio

from dewridge.codes import ResultCode
from dewridge.ids import RequestKey, make_request_id
from dewridge.membership.ranking import rank_members
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.claims import find_bucket
from dewridge.requests.model import Accepted
from dewridge.requests.records import Record
from dewridge.requests.shared import wait_until
from dewridge.sentinels import Failure
from dewridge.tests.requests.failures_tests import read_end, submit
from dewridge.tests.requests.fakes import ACCOUNT, Cluster, Node, run_cluster


async def reclaim(cluster: Cluster, host: str, notice: float, drain: float) -> None:
    """Take a host away after a notice, a part of which it has for its drain."""
    cluster.announce_leaving(host)
    cluster.nursery.start_soon(cluster.nodes[host].service.drain, drain)
    await trio.sleep(notice)
    cluster.kill(host)


def rank_committers(cluster: Cluster, key: RequestKey) -> list[str]:
    """Return the hosts that write the claim of a key, the first that lives."""
    settings = cluster.settings
    bucket = find_bucket(
        make_request_id(ACCOUNT, key), settings.claim_window, settings.claim_buckets
    )
    members = [node.member for node in cluster.nodes.values()]
    return [member.host for member in rank_members(f"claims/{bucket}", members)]


def find_record(cluster: Cluster, host: str, key: RequestKey) -> Record:
    table = cluster.nodes[host].service._shared.table
    records: list[Record] = table.list_records()
    return next(record for record in records if record.request.endswith(key))


async def leave_answer_with_second(cluster: Cluster) -> tuple[RequestKey, str, str]:
    """Issue a letter of which only its second replica hears before its host goes.

    That one then stands still. Returns the key and the two replicas.
    """
    cluster.workers.plain_duration = 0.2
    key = await submit(cluster, "host-0", "issue_letter")
    first, second = find_record(cluster, "host-0", key).replicas
    cluster.blocked_links.add(("host-0", first))
    await wait_until(lambda: find_record(cluster, second, key).ended is not None, 0.01)
    cluster.kill("host-0")
    cluster.pause(second)
    return key, first, second


# A letter waits for its claim when its host is told to leave. The claim comes, the
# host sends the letter to a registry that needs longer than the host has left, and
# goes. Its callers were told that the letter was accepted, and hear "unknown" (301).
# In the hosts' logs the letter is "taken over", then "its claim is held by" the host
# that has gone; the registry has it begun after the notice.
def test_a_leaving_host_sends_no_letter() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.key_value.delay = 0.04
        cluster.workers.plain_duration = 3.0
        keys = [await submit(cluster, "host-0", "issue_letter") for _ in range(5)]
        assert not any(cluster.workers.count(key) for key in keys)
        await reclaim(cluster, "host-0", notice=2.0, drain=1.3)
        for key in keys:
            assert (await read_end(cluster, "host-1", key)).code is ResultCode.OK
            assert cluster.workers.count(key) == 1

    run_cluster(scenario)


# A host writes a letter's claim and is told to leave. The claim lands; the word that
# it is given up is lost on its way to the host that writes claims now, and the first
# host is gone before it writes that itself. Whoever went on with the letter was
# refused its claim, and the caller heard "unknown" (301) of a letter that was never
# sent. The log of the host that left has "draining" and then no line for the letter.
def test_a_letter_is_handed_off_before_its_claim_is_given_up() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.key_value.delay = 0.6
        submission = cluster.make_submission("issue_letter")
        host, next_one, other, *_ = rank_committers(cluster, submission.key)
        await cluster.nodes[host].service.submit(submission)
        await trio.sleep(0.9)
        cluster.blocked_links.add((host, next_one))
        await reclaim(cluster, host, notice=0.7, drain=0.3)
        ended = await read_end(cluster, other, submission.key)
        assert ended.code is ResultCode.OK
        assert cluster.workers.count(submission.key) == 1

    run_cluster(scenario)


# Callers that have not heard of a host's leaving go on sending to it, and slow
# peers make it take a while to refuse each. Handing off waited for the last of
# them: in a reclaim's two seconds of notice nothing was handed off at all. The
# host's log has "draining" and "drained" just two seconds apart.
def test_handing_off_does_not_wait_for_callers_that_go_on_sending() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.key_value.delay = 0.6
        await submit(cluster, "host-0", "issue_letter")
        cluster.delay = 0.1

        async def go_on_sending() -> None:
            while True:
                submission = cluster.make_submission("draft_finding")
                service = cluster.nodes["host-0"].service
                cluster.nursery.start_soon(service.submit, submission)
                await trio.sleep(0.05)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(go_on_sending)
            nursery.start_soon(reclaim, cluster, "host-0", 2.0, 1.3)
            await trio.sleep(1.0)
            metrics = cluster.nodes["host-0"].metrics
            assert metrics.read("requests_handed_off") >= 1
            nursery.cancel_scope.cancel()

    run_cluster(scenario)


# A letter was sent before its host was told to leave, and the registry answers when
# the time for handing off is over but the host is still there. It closed without
# waiting, and the answer was lost with it: the caller heard "unknown" (301) of a
# letter that was issued while its host had half a second left.
def test_an_answer_that_comes_after_the_handing_off_is_waited_for() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.workers.plain_duration = 0.6
        key = await submit(cluster, "host-0", "issue_letter")
        await wait_until(lambda: cluster.workers.count(key) == 1, 0.01)
        cluster.announce_leaving("host-0")
        await cluster.nodes["host-0"].service.drain(0.3, patience=0.5)
        cluster.kill("host-0")
        assert (await read_end(cluster, "host-1", key)).code is ResultCode.OK
        assert cluster.workers.count(key) == 1

    run_cluster(scenario)


# A letter is issued and one of its two copies hears of it; then its host goes.
# The other copy's host takes the letter over while the first one stands still.
# It is refused the claim, the claim's holder is gone, and it told the caller
# "unknown" though the whole answer lay on a host that was merely slow.
def test_an_answer_on_a_slow_host_is_waited_for() -> None:
    async def scenario(cluster: Cluster) -> None:
        key, first, second = await leave_answer_with_second(cluster)
        await trio.sleep(2.5)
        cluster.resume(second)
        ended = await read_end(cluster, first, key)
        assert (ended.code, ended.body) == (ResultCode.OK, f'"{key}"')
        assert cluster.workers.count(key) == 1

    run_cluster(scenario)


# The same, but the host with the answer stands still for so long that the caller
# has heard "unknown" before it wakes. Whoever asks later, at whichever host, must
# get the answer; the word "unknown" stuck at the host that had said it.
def test_unknown_gives_way_to_an_answer_that_is_found_later() -> None:
    async def scenario(cluster: Cluster) -> None:
        key, first, second = await leave_answer_with_second(cluster)
        ended = await read_end(cluster, first, key)
        assert ended.code is ResultCode.HOLDER_LOST
        cluster.resume(second)
        await trio.sleep(1.0)
        for host in ("host-1", "host-2", "host-3"):
            ended = await read_end(cluster, host, key)
            assert (ended.code, ended.body) == (ResultCode.OK, f'"{key}"')

    run_cluster(scenario)


# A letter's copies are stored, but all word of it is lost, also of its refusal to one
# of them. Its caller hears that nobody knows whether it runs, and sends it again to
# another host. That one found the copy and joined the caller to it: "accepted", and
# then "unknown" each time that the caller asked, though nothing ran or ever would.
# The owner's log has the refusal, and no host's log has an attempt.
# It is the same at the host that holds the copy.
@pytest.mark.parametrize("holds_copy", [False, True])
def test_a_letter_sent_again_after_an_unconfirmed_refusal_runs(
    holds_copy: bool,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        submission = cluster.make_submission("issue_letter")
        silent: list[str] = []

        def lose(source: Node, target: Node, message: Any) -> None:
            if isinstance(message, wire.Replicate) and message.record.pending:
                silent.append(target.member.host)
                cluster.blocked_links.add((target.member.host, "host-0"))

        async def lose_refusal() -> None:
            await wait_until(lambda: len(silent) == 2, 0.01)
            await trio.sleep(0.2)
            cluster.blocked_links.add(("host-0", silent[0]))

        cluster.on_message = lose
        cluster.nursery.start_soon(lose_refusal)
        first = await cluster.nodes["host-0"].service.submit(submission)
        assert isinstance(first, Failure) and not first.is_not_run
        cluster.on_message = lambda *_: None
        cluster.blocked_links.clear()
        again = cluster.make_submission("issue_letter", number=2, key=submission.key)
        other = next(n for n in cluster.nodes if n not in ("host-0", *silent))
        other = silent[0] if holds_copy else other
        accepted = await cluster.nodes[other].service.submit(again)
        assert isinstance(accepted, Accepted), accepted
        ended = await read_end(cluster, other, submission.key)
        assert (ended.code, ended.body) == (ResultCode.OK, f'"{submission.key}"')
        assert cluster.workers.count(submission.key) == 1

    run_cluster(scenario)


# A letter is taken over from a host that died, and the key-value service is so slow
# that its claim is not recorded in time. It is given up as "unknown", since the dead
# host may have sent it; then the claim lands after all. Nobody gave it up, so the
# letter sent again was refused by a holder that had never sent it, and by the time
# that one was gone too, by a lost one (301).
def test_a_claim_that_lands_after_its_call_was_given_up_holds_nobody_up() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.key_value.delay = 2.0
        key = await submit(cluster, "host-0", "issue_letter")
        await trio.sleep(0.05)
        cluster.kill("host-0")
        ended = await read_end(cluster, "host-1", key)
        assert ended.code is ResultCode.OUTCOME_UNKNOWN
        await trio.sleep(5.0)
        cluster.key_value.delay = 0.002
        await trio.sleep(5.0)
        again = cluster.make_submission("issue_letter", number=2, key=key)
        accepted = await cluster.nodes["host-2"].service.submit(again)
        assert isinstance(accepted, Accepted), accepted
        ended = await read_end(cluster, "host-2", key)
        assert (ended.code, ended.body) == (ResultCode.OK, f'"{key}"')
        assert cluster.workers.count(key) == 1

    run_cluster(scenario)
