"""Tests of what calls of the platform conclude about their effect from their reply."""

import json
from typing import Any

import pytest

from dewridge.effects import Effect
from dewridge.gateway.model import AttemptKey
from dewridge.http1.calls import CallFailure, Response, ServiceClient
from dewridge.ids import FailureDomain, HostId, ServiceName
from dewridge.platform.cloud import CallOutcome, Cloud, DutyTerm, Order
from dewridge.platform.engines import CacheCopy, free_memory, stop_and_move

Reply = Response | CallFailure
TERM = DutyTerm(HostId("host-1"), 7)
ORDER = Order(ServiceName("s"), FailureDomain("a"), False, 3)
MEMORY = CacheCopy("127.0.0.1:1", "h/1", True)
MOVED = json.dumps({"handle": "h-1", "created": 3}).encode()


class FixedClient(ServiceClient):
    """Gives the same reply to each call."""

    def __init__(self, reply: Reply) -> None:
        self._reply = reply

    async def call(self, method: str, path: str, **options: Any) -> Reply:
        """Return the reply."""
        return self._reply


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (Response(200, b""), CallOutcome.ACCEPTED),
        (Response(409, b""), CallOutcome.NONE_AVAILABLE),
        (Response(400, b""), CallOutcome.REFUSED),
        (Response(429, b""), CallOutcome.REFUSED),
        (CallFailure.NOT_SENT, CallOutcome.REFUSED),
        (CallFailure.LOST, CallOutcome.UNKNOWN),
        (CallFailure.TOO_LARGE, CallOutcome.UNKNOWN),
        *(
            (Response(status, b""), CallOutcome.UNKNOWN)
            for status in (202, 302, 500, 502, 503, 504)
        ),
    ],
)
async def test_only_a_refusal_of_the_cloud_has_no_effect(
    reply: Reply, outcome: CallOutcome
) -> None:
    """Guards against an order or a report that is taken as not carried out."""
    cloud = Cloud(FixedClient(reply))
    assert await cloud.order_servers(TERM, ORDER) is outcome
    assert await cloud.report_usage(TERM, 1, {}) is outcome


@pytest.mark.parametrize(
    ("reply", "effect"),
    [
        (Response(200, b""), Effect.DONE),
        (Response(404, b""), Effect.REFUSED),
        (CallFailure.NOT_SENT, Effect.REFUSED),
        (CallFailure.LOST, Effect.UNKNOWN),
        (CallFailure.TOO_LARGE, Effect.UNKNOWN),
        (Response(409, b""), Effect.UNKNOWN),
        (Response(500, b""), Effect.UNKNOWN),
        (Response(503, b""), Effect.UNKNOWN),
    ],
)
async def test_memory_counts_as_freed_only_if_its_engine_says_so(
    reply: Reply, effect: Effect
) -> None:
    """Guards against memory that is used although it may have been freed."""

    async def call(method: str, path: str, body: bytes, timeout: float) -> Reply:
        assert (method, path) == ("DELETE", "/-/kv-handle/h%2F1")
        return reply

    assert await free_memory(MEMORY, call) is effect


@pytest.mark.parametrize(
    ("reply", "effect"),
    [
        (Response(200, MOVED), Effect.DONE),
        (Response(503, MOVED), Effect.DONE),
        (Response(404, b""), Effect.REFUSED),
        (Response(421, b""), Effect.REFUSED),
        (Response(503, b"", [(b"x-not-executed", b"1")]), Effect.REFUSED),
        (CallFailure.NOT_SENT, Effect.REFUSED),
        (CallFailure.LOST, Effect.UNKNOWN),
        (CallFailure.TOO_LARGE, Effect.UNKNOWN),
        (Response(200, b"{"), Effect.UNKNOWN),
        (Response(503, b""), Effect.UNKNOWN),
        (Response(409, b""), Effect.UNKNOWN),
        (Response(500, MOVED), Effect.UNKNOWN),
    ],
)
async def test_a_run_counts_as_not_stopped_only_if_its_engine_says_so(
    reply: Reply, effect: Effect
) -> None:
    """Guards against a part of a stream that is taken as the whole."""

    async def call(method: str, path: str, body: bytes, timeout: float) -> Reply:
        return reply

    stopped = await stop_and_move("127.0.0.1:1", AttemptKey("a"), "127.0.0.1:2", call)
    assert stopped.effect is effect
