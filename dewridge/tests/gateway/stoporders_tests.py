"""Tests of streams that end after an order to stop them, whatever its reply."""

import pytest

from dewridge.tests.gateway.stoppableengines import (
    STOPPING_FAULTS,
    Framing,
    Reply,
    StopScenario,
    join_events,
)
from dewridge.tests.gateway.world import open_world

ROUTES = ["/draft/a", "/chat/a"]
"""A route whose streams may run once, and one whose streams may be resumed."""


@pytest.mark.parametrize("framing", list(Framing))
@pytest.mark.parametrize("reply", STOPPING_FAULTS)
@pytest.mark.parametrize("path", ROUTES)
async def test_a_stopped_stream_is_not_complete_if_the_reply_failed(
    path: str, reply: Reply, framing: Framing
) -> None:
    """Guards against a part that looks whole as it is unknown who ended it."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, framing, [reply])
        answer = await scenario.run(path)
    assert (answer.body == join_events()) or not answer.is_complete
