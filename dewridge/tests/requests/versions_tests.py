"""Tests of answers while servers of several software versions serve side by side."""

import pytest
import trio

from dewridge.codes import ResultCode
from dewridge.ids import BackendServerId
from dewridge.requests.model import Accepted
from dewridge.requests.scheduling import SERVER_UPDATE_INTERVAL
from dewridge.tests.requests.fakes import (
    ANSWER_TOKENS,
    Cluster,
    ReceivedAnswer,
    run_cluster,
)

ENGINES = [f"engine-{index}" for index in range(4)]
ANSWERS = 6


async def draft(cluster: Cluster, host: str) -> ReceivedAnswer:
    """Submit a draft and follow it to its end."""
    submission = cluster.make("draft_finding")
    accepted = await cluster.nodes[host].service.submit(submission)
    assert isinstance(accepted, Accepted), accepted
    return await cluster.follow(host, submission.key)


def find_versions(seen: ReceivedAnswer) -> set[str]:
    """Return the versions that wrote the tokens of an answer."""
    return {token.split()[-1] for token in seen.tokens}


def test_an_answer_is_started_again_without_another_server_of_its_version() -> None:
    """Guards against joining tokens of two versions after an interruption."""

    async def scenario(cluster: Cluster) -> None:
        for number, name in enumerate(ENGINES):
            cluster.servers.set_version(name, f"v{number}")
        for _ in range(ANSWERS):
            cluster.workers.interruptions = 1
            seen = await draft(cluster, "host-0")
            assert seen.ended is not None and seen.ended.code is ResultCode.OK
            assert len(seen.tokens) == ANSWER_TOKENS
            assert len(find_versions(seen)) == 1
            assert seen.restarts == 1

    run_cluster(scenario)


@pytest.mark.parametrize("partner", [1, 2, 3])
def test_an_interrupted_answer_goes_on_at_its_version(partner: int) -> None:
    """Guards against generating an answer again while its version has a server."""

    async def scenario(cluster: Cluster) -> None:
        for number, name in enumerate(ENGINES):
            version = "v0" if number in {0, partner} else "v1"
            cluster.servers.set_version(name, version)
        await trio.sleep(2 * SERVER_UPDATE_INTERVAL)
        for _ in range(ANSWERS):
            cluster.workers.interruptions = 1
            seen = await draft(cluster, "host-0")
            assert seen.ended is not None and seen.ended.code is ResultCode.OK
            assert len(find_versions(seen)) == 1
            assert seen.restarts == 0

    run_cluster(scenario)


def test_an_answer_is_taken_over_at_its_version() -> None:
    """Guards against a host that takes over an answer without knowing its version."""

    async def scenario(cluster: Cluster) -> None:
        for number, name in enumerate(ENGINES):
            cluster.servers.set_version(name, f"v{number}")
        submission = cluster.make("draft_finding")
        accepted = await cluster.nodes["host-0"].service.submit(submission)
        assert isinstance(accepted, Accepted), accepted
        seen = ReceivedAnswer()
        with trio.move_on_after(0.12):
            await cluster.follow("host-0", submission.key, seen)
        cluster.kill("host-0")
        engine = f"engine-{min(find_versions(seen)).removeprefix('v')}"
        cluster.servers.handle_leaving(BackendServerId(engine), None, "test")
        await cluster.follow("host-1", submission.key, seen)
        assert seen.ended is not None and seen.ended.code is ResultCode.OK
        assert len(seen.tokens) == ANSWER_TOKENS
        assert len(find_versions(seen)) == 1

    run_cluster(scenario)
