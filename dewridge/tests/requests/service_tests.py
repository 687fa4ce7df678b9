"""Requests on several entry hosts: acceptance, answers and their promises."""

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


def test_answers_are_whole_and_their_own() -> None:
    async def scenario(cluster: Cluster) -> None:
        service = cluster.nodes["host-0"].service
        draft = cluster.make_submission("draft_finding")
        letter = cluster.make_submission("issue_letter")
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


# An operator asks any host for a profile's report right after its work was done.
# Another host had done it and answered with figures some seconds old: the report
# said that the profile had cost nothing.
def test_a_report_holds_the_work_just_done_elsewhere() -> None:
    async def scenario(cluster: Cluster) -> None:
        submission = cluster.make_submission("draft_finding")
        await cluster.nodes["host-0"].service.submit(submission)
        await cluster.follow("host-0", submission.key)
        profile = next(iter(make_configuration().profiles.values())).name
        node = cluster.nodes["host-1"]
        counters = await node.service.read_usage_everywhere(profile)
        assert counters.get("answered") == 1

    run_cluster(scenario)


def test_a_request_that_ends_servers_is_set_aside_under_all_keys() -> None:
    """Guards against servers lost to one request sent again with new keys."""

    async def scenario(cluster: Cluster) -> None:
        for place in range(4, 16):
            cluster.servers.add(f"engine-{place}", FINDINGS, ServerKind.ENGINE)
        cluster.workers.crashing_inputs.add(
            cluster.make_submission("draft_finding").input
        )
        results = []
        for number in range(12):
            service = cluster.nodes[f"host-{number % 4}"].service
            submission = cluster.make_submission("draft_finding")
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
