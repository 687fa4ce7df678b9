"""Tests of servers that reset the connection of the own interface within an upload."""

from dataclasses import replace

import pytest

from dewridge.codes import ResultCode
from dewridge.fleet.dispatch import make_dispatch
from dewridge.fleet.model import AttemptEnd, AttemptEvent
from dewridge.metrics.registry import Metrics
from dewridge.providers.channel import open_channel
from dewridge.providers.keyvalue import HttpKeyValue
from dewridge.providers.model import ServerKind
from dewridge.sentinels import Failure
from dewridge.tests.fleet.dispatch_tests import ORDER, PLAIN_ORDER, make_server
from dewridge.tests.gateway.uploads_tests import SIZES, make_answer, run_server

ROUNDS = 9

PARTS = {
    "nothing": b"",
    "answer": b'{"attempt":"attempt-1","body":{"done":1}',
    "events": b'data: {"attempt":"attempt-1","sequence":0,"tokens":["a"]}\n\n',
    "entry": b'{"value":"eA==","revision":1',
}


@pytest.mark.parametrize("kind", [ServerKind.ENGINE, ServerKind.PLAIN])
@pytest.mark.parametrize("part", PARTS)
async def test_an_attempt_takes_no_part_of_an_answer_for_the_whole(
    kind: ServerKind, part: str
) -> None:
    """Guards against a part that looks whole as the upload met the server's reset.

    The HTTP client drops errors of the upload and reads on. The end of an answer shows
    in its last event, or in its JSON object, and not in that of the connection.
    """
    order = ORDER if kind is ServerKind.ENGINE else PLAIN_ORDER
    events: list[AttemptEvent] = []
    count = 0
    with run_server(make_answer(b"", PARTS[part], is_reset=True)) as server:
        async with make_dispatch(metrics=Metrics(), connect_timeout=1.0) as dispatch:
            for size in SIZES * ROUNDS:
                count += 1
                call = replace(order, input="x" * size)
                target = make_server("s-1", server.address, kind)
                async with dispatch(target, call) as attempt:
                    events += [event async for event in attempt]
    assert sum(isinstance(event, Failure) for event in events) == count
    assert not any(isinstance(event, AttemptEnd) for event in events)


@pytest.mark.parametrize("part", ["nothing", "entry"])
async def test_a_write_takes_no_part_of_an_answer_for_the_whole(part: str) -> None:
    """Guards against a write that counts as done as its answer was cut off."""
    results = []
    with run_server(make_answer(b"", PARTS[part], is_reset=True)) as server:
        url = f"http://{server.address}"
        async with open_channel("key-value", url, 2.0, Metrics()) as channel:
            key_value = HttpKeyValue(channel)
            results = [
                await key_value.compare_and_swap("key", bytes(900_000), 0)
                for _ in range(ROUNDS)
            ]
    codes = {result.code for result in results if isinstance(result, Failure)}
    assert codes == {ResultCode.KEY_VALUE_UNKNOWN}
    assert all(isinstance(result, Failure) for result in results)
