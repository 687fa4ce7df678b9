"""Tests of requests on several entry hosts: answers, usage reports and quarantine."""

import trio

from dewridge.codes import ResultCode
from dewridge.providers.model import ServerKind
from dewridge.requests.model import Accepted
from dewridge.sentinels import Failure
from dewridge.tests.requests.fakes import (
    FINDINGS,
    Cluster,
    make_configuration,
    make_tokens,
    run_cluster,
)


def test_answers_are_complete_and_distinct() -> None:
    async def scenario(cluster: Cluster) -> None:
        service = cluster.nodes["host-0"].service
        draft = cluster.make("draft_finding")
        letter = cluster.make("issue_letter")
        for submission in (draft, letter):
            accepted = await service.submit(submission)
            assert isinstance(accepted, Accepted), accepted
        for host in ("host-0", "host-1", "host-2", "host-3"):
            seen = await cluster.follow(host, draft.key)
            assert seen.ended is not None and seen.ended.code is ResultCode.OK
            assert seen.tokens == make_tokens(draft.key)
            seen = await cluster.follow(host, letter.key)
            assert seen.ended is not None and seen.ended.body == f'"{letter.key}"'
        assert cluster.workers.count(letter.key) == 1

    run_cluster(scenario)


# A profile's report may be requested on any host right after another host completed
# the work. That host returned counters that were some seconds old, so the report
# showed no cost for the profile.
def test_report_includes_recent_work_of_other_hosts() -> None:
    async def scenario(cluster: Cluster) -> None:
        submission = cluster.make("draft_finding")
        await cluster.nodes["host-0"].service.submit(submission)
        await cluster.follow("host-0", submission.key)
        profile = next(iter(make_configuration().profiles.values())).name
        node = cluster.nodes["host-1"]
        counters = await node.service.read_usage_everywhere(profile)
        assert counters.get("answered") == 1

    run_cluster(scenario)


def test_request_that_crashes_servers_is_quarantined_under_all_keys() -> None:
    """Guards against repeated crashes by one request submitted under new keys."""

    async def scenario(cluster: Cluster) -> None:
        for index in range(4, 16):
            cluster.servers.add(f"engine-{index}", FINDINGS, ServerKind.ENGINE)
        cluster.workers.crashing_inputs.add(cluster.make("draft_finding").input)
        results = []
        for number in range(12):
            service = cluster.nodes[f"host-{number % 4}"].service
            submission = cluster.make("draft_finding")
            result = await service.submit(submission)
            results.append(result)
            if isinstance(result, Accepted):
                with trio.move_on_after(20.0):
                    await cluster.follow(f"host-{number % 4}", submission.key)
        assert len(cluster.workers.crashed_servers) == 3
        last = results[-1]
        assert isinstance(last, Failure)
        assert last.code is ResultCode.REQUEST_SET_ASIDE

    run_cluster(scenario)


def test_partition_from_all_servers_makes_no_request_a_suspect() -> None:
    """Guards against requests that all hosts refuse because one host was cut off."""

    async def scenario(cluster: Cluster) -> None:
        for index in range(4, 16):
            cluster.servers.add(f"engine-{index}", FINDINGS, ServerKind.ENGINE)
        cluster.workers.crashing_inputs.add(cluster.make("draft_finding").input)
        cluster.is_partitioned_from_servers = True
        for number in range(6):
            service = cluster.nodes["host-0"].service
            submission = cluster.make("draft_finding")
            result = await service.submit(submission)
            assert isinstance(result, Accepted), number
            with trio.move_on_after(5.0):
                await cluster.follow("host-0", submission.key)

    run_cluster(scenario)
