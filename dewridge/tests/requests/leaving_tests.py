"""Calls on hosts that leave or crash before, while or just after the calls run.

`issue_letter` is a non-idempotent operation of a plain service: it must run at most
once, and its owner sends it only after it has acquired the call's claim.
"""

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


async def reclaim_host(
    cluster: Cluster, host: str, notice: float, drain: float
) -> None:
    """Announce that a host leaves, drain it, and crash it at the end of the notice."""
    cluster.announce_leaving(host)
    cluster.nursery.start_soon(cluster.nodes[host].service.drain, drain)
    await trio.sleep(notice)
    cluster.kill(host)


def rank_committers(cluster: Cluster, key: RequestKey) -> list[str]:
    """Return the hosts in the order in which they are chosen to write a key's claim."""
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


async def leave_answer_on_second_replica(
    cluster: Cluster,
) -> tuple[RequestKey, str, str]:
    """Run a call whose answer reaches only its second replica before its owner crashes.

    The second replica is then paused. Returns the key and the two replicas.
    """
    cluster.workers.plain_time = 0.2
    key = await submit(cluster, "host-0", "issue_letter")
    first, second = find_record(cluster, "host-0", key).replicas
    cluster.blocked_links.add(("host-0", first))
    await wait_until(lambda: find_record(cluster, second, key).ended is not None, 0.01)
    cluster.kill("host-0")
    cluster.pause(second)
    return key, first, second


# A call waits for its claim when its host is told to leave. If the host still acquired
# the claim and sent the call to a server that needs longer than the notice, the caller
# of an accepted call would get "unknown" (301) after the host has departed. The other
# hosts would log that they took the call over and that its claim is held by the
# departed host; the server would log the start of the call after the notice.
def test_leaving_host_sends_no_call() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.key_value.delay = 0.04
        cluster.workers.plain_time = 3.0
        keys = [await submit(cluster, "host-0", "issue_letter") for _ in range(5)]
        assert not any(cluster.workers.count(key) for key in keys)
        await reclaim_host(cluster, "host-0", notice=2.0, drain=1.3)
        for key in keys:
            assert (await read_end(cluster, "host-1", key)).code is ResultCode.OK
            assert cluster.workers.count(key) == 1

    run_cluster(scenario)


# A host writes a call's claim and is told to leave. The release of the claim is lost on
# its way to the host that now writes claims, and the first host departs before it
# writes the release itself. If the call's next owner were denied the claim, the caller
# would get "unknown" (301) for a call never sent. The departed host would log
# "draining" and then nothing about the call.
def test_call_is_handed_off_before_its_claim_is_released() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.key_value.delay = 0.6
        submission = cluster.make("issue_letter")
        host, next_host, other, *_ = rank_committers(cluster, submission.key)
        await cluster.nodes[host].service.submit(submission)
        await trio.sleep(0.9)
        cluster.blocked_links.add((host, next_host))
        await reclaim_host(cluster, host, notice=0.7, drain=0.3)
        ended = await read_end(cluster, other, submission.key)
        assert ended.code is ResultCode.OK
        assert cluster.workers.count(submission.key) == 1

    run_cluster(scenario)


# Callers that do not know that a host is leaving continue to submit requests to it, and
# slow peers delay each rejection. If the handoff waited for the last submission, no
# request would be handed off in a reclaim's notice of 2 s. The host would log
# "draining" and "drained" just 2 s apart.
def test_handoff_does_not_wait_for_new_submissions() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.key_value.delay = 0.6
        await submit(cluster, "host-0", "issue_letter")
        cluster.delay = 0.1

        async def keep_submitting() -> None:
            while True:
                submission = cluster.make("draft_finding")
                service = cluster.nodes["host-0"].service
                cluster.nursery.start_soon(service.submit, submission)
                await trio.sleep(0.05)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_submitting)
            nursery.start_soon(reclaim_host, cluster, "host-0", 2.0, 1.3)
            await trio.sleep(1.0)
            metrics = cluster.nodes["host-0"].metrics
            assert metrics.read("requests_handed_off") >= 1
            nursery.cancel_scope.cancel()

    run_cluster(scenario)


# A call was sent before its host was told to leave, and its answer arrives after the
# time for handing off but before the host departs. If the host stopped without waiting,
# it would lose the answer: the caller would get "unknown" (301) for a call that ran
# while the host had 0.5 s left.
def test_drain_waits_for_answer_after_handoff_time() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.workers.plain_time = 0.6
        key = await submit(cluster, "host-0", "issue_letter")
        await wait_until(lambda: cluster.workers.count(key) == 1, 0.01)
        cluster.announce_leaving("host-0")
        await cluster.nodes["host-0"].service.drain(0.3, answer_timeout=0.5)
        cluster.kill("host-0")
        assert (await read_end(cluster, "host-1", key)).code is ResultCode.OK
        assert cluster.workers.count(key) == 1

    run_cluster(scenario)


# The answer of a call reaches one of its two replicas, then its owner crashes. The
# other replica takes the call over while the one with the answer is paused. It is
# denied the claim, whose holder has crashed, but must not report "unknown" at once: the
# complete answer is stored on a host that is merely slow.
def test_takeover_waits_for_answer_on_paused_replica() -> None:
    async def scenario(cluster: Cluster) -> None:
        key, first, second = await leave_answer_on_second_replica(cluster)
        await trio.sleep(2.5)
        cluster.resume(second)
        ended = await read_end(cluster, first, key)
        assert (ended.code, ended.body) == (ResultCode.OK, f'"{key}"')
        assert cluster.workers.count(key) == 1

    run_cluster(scenario)


# As above, but the replica with the answer is paused until the caller has got
# "unknown". Callers that ask any host later must get the answer; the host that has
# reported "unknown" must not continue to do so.
def test_late_answer_replaces_unknown() -> None:
    async def scenario(cluster: Cluster) -> None:
        key, first, second = await leave_answer_on_second_replica(cluster)
        ended = await read_end(cluster, first, key)
        assert ended.code is ResultCode.HOLDER_LOST
        cluster.resume(second)
        await trio.sleep(1.0)
        for host in ("host-1", "host-2", "host-3"):
            ended = await read_end(cluster, host, key)
            assert (ended.code, ended.body) == (ResultCode.OK, f'"{key}"')

    run_cluster(scenario)


# The replicas of a call store it, but their replies are lost, and so is the refusal
# that the owner sends to one of them. The caller gets "unknown" and retries at another
# host. If that host found the replica and attached the caller to it, the retry would be
# accepted and then end "unknown" on every query, though nothing runs or ever will. The
# owner would log the refusal, and no host would log an attempt. A retry at the host
# that stores the replica (holds_copy) could fail in the same way.
@pytest.mark.parametrize("holds_copy", [False, True])
def test_retry_after_unconfirmed_refusal_runs(
    holds_copy: bool,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        submission = cluster.make("issue_letter")
        replicas: list[str] = []

        def block_replies(source: Node, target: Node, message: Any) -> None:
            if isinstance(message, wire.Replicate) and message.record.pending:
                replicas.append(target.member.host)
                cluster.blocked_links.add((target.member.host, "host-0"))

        async def block_refusal() -> None:
            await wait_until(lambda: len(replicas) == 2, 0.01)
            await trio.sleep(0.2)
            cluster.blocked_links.add(("host-0", replicas[0]))

        cluster.on_message = block_replies
        cluster.nursery.start_soon(block_refusal)
        first = await cluster.nodes["host-0"].service.submit(submission)
        assert isinstance(first, Failure) and not first.is_not_run
        cluster.on_message = lambda *_: None
        cluster.blocked_links.clear()
        retry = cluster.make("issue_letter", number=2, key=submission.key)
        other = next(n for n in cluster.nodes if n not in ("host-0", *replicas))
        other = replicas[0] if holds_copy else other
        accepted = await cluster.nodes[other].service.submit(retry)
        assert isinstance(accepted, Accepted), accepted
        ended = await read_end(cluster, other, submission.key)
        assert (ended.code, ended.body) == (ResultCode.OK, f'"{submission.key}"')
        assert cluster.workers.count(submission.key) == 1

    run_cluster(scenario)


# A call is taken over from a crashed host, and the key-value service is too slow to
# record its claim in time. The call is abandoned as "unknown", since the crashed host
# may have sent it; then the claim is recorded after all. If it were never released, a
# retry would be denied the claim because of a holder that has not sent the call and,
# once that holder has departed as well, end because its holder was lost (301).
def test_late_claim_of_abandoned_call_is_released() -> None:
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
        retry = cluster.make("issue_letter", number=2, key=key)
        accepted = await cluster.nodes["host-2"].service.submit(retry)
        assert isinstance(accepted, Accepted), accepted
        ended = await read_end(cluster, "host-2", key)
        assert (ended.code, ended.body) == (ResultCode.OK, f'"{key}"')
        assert cluster.workers.count(key) == 1

    run_cluster(scenario)


# Callers who do not know that a host leaves submit to it at each moment of its drain.
# If it accepted one that it neither ran nor handed off, the caller would wait for an
# answer that never comes; if it ran one that it refused, a retry elsewhere would run
# it twice. Servers answer calls within the drain or after it, and acceptances take a
# moment or a part of the drain.
@pytest.mark.parametrize("delay", [0.001, 0.1])
@pytest.mark.parametrize("plain_time", [0.05, 0.8, 5.0])
def test_submissions_at_each_moment_of_a_drain_are_kept_or_refused(
    plain_time: float, delay: float
) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.workers.plain_time = plain_time
        cluster.delay = delay
        service = cluster.nodes["host-0"].service
        results: dict[RequestKey, Accepted | Failure] = {}
        sent_late: set[RequestKey] = set()
        drained_from = trio.current_time() + 0.5

        async def send(operation: str, at: float) -> None:
            await trio.sleep_until(at)
            submission = cluster.make(operation)
            if at > drained_from:
                sent_late.add(submission.key)
            results[submission.key] = await service.submit(submission)

        async with trio.open_nursery() as nursery:
            for number in range(40):
                at = drained_from - 0.4 + 0.06 * number
                for operation in ("issue_letter", "draft_finding"):
                    nursery.start_soon(send, operation, at)
            await trio.sleep_until(drained_from)
            cluster.announce_leaving("host-0")
            await service.drain(1.3, answer_timeout=0.5)
            cluster.kill("host-0")
            nursery.cancel_scope.cancel()
        refused = {
            key: result
            for key, result in results.items()
            if isinstance(result, Failure)
        }
        accepted = results.keys() - refused.keys()
        assert len(accepted) >= 10
        assert len(refused) >= 5
        assert refused.keys() >= sent_late & results.keys()
        assert {each.code for each in refused.values()} == {ResultCode.HOST_LEAVING}
        assert [key for key in refused if cluster.workers.count(key)] == []
        lost = 0
        for key in accepted:
            ended = await read_end(cluster, "host-1", key)
            assert ended.code in {ResultCode.OK, ResultCode.HOLDER_LOST}
            assert cluster.workers.count(key) == 1
            lost += ended.code is ResultCode.HOLDER_LOST
        # Only calls whose servers need longer than their host has get no answer.
        assert (lost > 0) == (plain_time == 5.0)

    run_cluster(scenario)
