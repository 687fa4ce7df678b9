"""Tests of reading the refusals of backend servers."""

import pytest
import trio

from dewridge.codes import ResultCode
from dewridge.fleet.dispatch import make_dispatch
from dewridge.fleet.refusals import read_refusal
from dewridge.metrics.registry import Metrics
from dewridge.providers.channel import Answer, open_channel
from dewridge.providers.model import ServerKind
from dewridge.sentinels import Failure
from dewridge.tests.fleet.dispatch_tests import ORDER, PLAIN_ORDER, make_server
from dewridge.tests.fleet.endless_tests import run_peer

OVERLOADED = b'{"error": {"type": "overloaded"}}'


def test_refusal_of_an_overloaded_server_carries_its_rest() -> None:
    refusal = read_refusal(503, OVERLOADED, retry_after=3.0)
    assert refusal.code is ResultCode.NOT_STARTED
    assert refusal.retry_after == 3.0


def test_failure_that_may_have_run_carries_no_rest() -> None:
    refusal = read_refusal(503, b"", retry_after=3.0)
    assert refusal.code is ResultCode.BACKEND_SERVER_FAILED
    assert refusal.retry_after is None


@pytest.mark.parametrize("kind", [ServerKind.ENGINE, ServerKind.PLAIN])
@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
async def test_a_status_that_http_does_not_have_is_a_failure(
    kind: ServerKind, status: str
) -> None:
    """Guards against an answer that counts although its status is invalid."""
    body = b'{"attempt":"attempt-1","body":1}'
    head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n\r\n"

    async def send(stream: trio.SocketStream) -> None:
        await stream.send_all(head.encode() + body)

    order = ORDER if kind is ServerKind.ENGINE else PLAIN_ORDER
    async with (
        run_peer(send) as peer,
        make_dispatch(metrics=Metrics(), connect_timeout=1.0) as dispatch,
    ):
        server = make_server("s-1", peer.address, kind)
        async with dispatch(server, order) as attempt:
            events = [event async for event in attempt]
        url = f"http://{peer.address}"
        async with open_channel("service", url, 1.0, Metrics()) as channel:
            answer = await channel.call("read", "GET", "/entries")
    assert len(events) == 1
    assert isinstance(events[0], Failure)
    assert events[0].code in {
        ResultCode.BACKEND_SERVER_FAILED,
        ResultCode.CONNECTION_LOST,
    }
    assert not isinstance(answer, Answer) or answer.is_server_error
