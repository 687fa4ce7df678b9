"""Requests on several entry hosts: acceptance, answers and their promises."""

from dewridge.codes import ResultCode
from dewridge.requests.model import Accepted
from dewridge.tests.requests.fakes import Cluster, make_tokens, run_cluster


def test_answers_are_whole_and_their_own() -> None:
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
