"""Tests of the control calls to engines: load reports, orders to stop and move runs."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dewridge.effects import Effect
from dewridge.gateway.model import AttemptKey
from dewridge.http1.calls import CallFailure, Response
from dewridge.platform.engines import (
    CacheCopy,
    StopReply,
    decode_report,
    free_memory,
    stop_and_move,
)


def make_report(**changes: Any) -> bytes:
    """Return a load report as engines send it, with some fields changed."""
    report = {
        "waiting": 2,
        "running": 3,
        "kv_used": 30_000,
        "kv_total": 478_628,
        "next_token": 12_000,
        "runs": [["a", 12_000, 4, 2], ["b", 500, 0, 1], ["c", 0, 0, None]],
    }
    return json.dumps({**report, **changes}).encode()


def test_runs_without_events_are_still_being_prefilled() -> None:
    report = decode_report(make_report())
    assert report is not None
    assert (report.waiting, report.running, report.prefilling) == (2, 3, 2)
    assert report.run_ids == {"a", "b", "c"}


def test_an_idle_engine_and_unknown_fields() -> None:
    """Guards against refusing the reports of a newer or an idle engine."""
    body = make_report(
        waiting=0, running=0, runs=[], next_token=None, kv_used=0, added={"x": 1}
    )
    report = decode_report(body)
    assert report is not None
    assert (report.waiting, report.running, report.prefilling) == (0, 0, 0)
    longer = decode_report(make_report(runs=[["a", 1, 0, 2, "added"]]))
    assert longer is not None
    assert longer.prefilling == 1


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"garbage",
        b"\xff\xfe",
        b"[]",
        b"null",
        b"{}",
        b'{"waiting": 1, "running": NaN, "runs": []}',
        b"[" * 100_000,
        make_report(waiting=-1),
        make_report(running=-1),
        make_report(waiting=10_001),
        make_report(running=10_001),
        make_report(running=1.5),
        make_report(running="3"),
        make_report(running=None),
        make_report(running=10**30),
        make_report(kv_used=-1),
        make_report(kv_total=-1),
        make_report(next_token=-1),
        make_report(runs=3),
        make_report(runs={"a": 1}),
        make_report(runs=None),
        make_report(runs=["a"]),
        make_report(runs=[["a", 1]]),
        make_report(runs=[["a", -1, 0, 1]]),
        make_report(runs=[["a", 1, -1, 1]]),
        make_report(runs=[["a", 1, "0", 1]]),
        make_report(runs=[[["a"], 1, 0, 1]]),
        make_report(runs=[["a", 1, 0, 1]] * 10_001),
        b'{"waiting": 1, "running": 1}',
    ],
)
def test_malformed_and_impossible_reports_are_refused(body: bytes) -> None:
    """Guards against a faulty engine that draws or repels all prompts."""
    assert decode_report(body) is None


@given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
def test_no_input_raises(body: bytes) -> None:
    decode_report(body)


async def order_stop(result: Response | CallFailure) -> StopReply:
    """Return what is known of an order after a response or a failed call."""

    async def call(
        method: str, path: str, body: bytes, timeout: float
    ) -> Response | CallFailure:
        assert (method, path) == ("POST", "/-/kv-move")
        assert json.loads(body) == {"id": "r-1", "target": "t:1", "last": True}
        return result

    return await stop_and_move("s:1", AttemptKey("r-1"), "t:1", call)


@pytest.mark.parametrize(
    "result",
    [
        CallFailure.LOST,
        CallFailure.TOO_LARGE,
        Response(200, b""),
        Response(200, b"{"),
        Response(200, b"\xff"),
        Response(200, b"[]"),
        Response(200, b'{"handle":{}}'),
        Response(200, b'{"handle":""}'),
        Response(200, b'{"handle":"a\\r\\nb: c"}'),
        Response(200, '{"handle":"\u00e9"}'.encode()),
        Response(200, b'{"handle":"%s"}' % (b"h" * 30_000)),
        Response(202, b'{"handle":"h"}'),
        Response(400, b""),
        Response(409, b"{}"),
        Response(429, b""),
        Response(500, b'{"handle":"h"}'),
        Response(502, b""),
        Response(503, b""),
        Response(503, b"{}"),
        Response(504, b""),
    ],
)
async def test_an_order_without_a_usable_reply_may_have_been_carried_out(
    result: Response | CallFailure,
) -> None:
    """Guards against a run that counts as running although it was stopped."""
    reply = await order_stop(result)
    assert reply.effect is Effect.UNKNOWN
    assert reply.memory is None
    assert not reply.is_final


@pytest.mark.parametrize(
    ("result", "is_final"),
    [
        (CallFailure.NOT_SENT, False),
        (Response(404, b"{}"), True),
        (Response(421, b""), True),
        (Response(503, b"", [(b"x-not-executed", b"1")]), False),
        (Response(429, b"", [(b"x-not-executed", b"1")]), False),
    ],
)
async def test_a_refused_order_has_stopped_nothing(
    result: Response | CallFailure, is_final: bool
) -> None:
    """Guards against a whole answer that is lost as its server refused an order."""
    reply = await order_stop(result)
    assert (reply.effect, reply.is_final) == (Effect.REFUSED, is_final)


@pytest.mark.parametrize(("status", "is_at_target"), [(200, True), (503, False)])
async def test_a_stopped_run_has_its_memory_at_the_target_or_the_source(
    status: int, is_at_target: bool
) -> None:
    reply = await order_stop(Response(status, b'{"handle":7,"created":3}'))
    assert reply.effect is Effect.DONE
    assert reply.memory == CacheCopy("s:1", "7", is_at_target)


@pytest.mark.parametrize(
    ("result", "effect"),
    [
        (Response(200, b""), Effect.DONE),
        (Response(404, b""), Effect.REFUSED),
        (Response(500, b""), Effect.UNKNOWN),
        (CallFailure.LOST, Effect.UNKNOWN),
        (CallFailure.NOT_SENT, Effect.REFUSED),
    ],
)
async def test_memory_is_freed_by_its_handle(
    result: Response | CallFailure, effect: Effect
) -> None:
    """Guards against a handle that leads to another path of the engine."""
    paths = []

    async def call(
        method: str, path: str, body: bytes, timeout: float
    ) -> Response | CallFailure:
        paths.append((method, path, body))
        return result

    memory = CacheCopy("s:1", "a/../b ?", is_at_target=True)
    assert await free_memory(memory, call) is effect
    assert paths == [("DELETE", "/-/kv-handle/a%2F..%2Fb%20%3F", b"")]


@pytest.mark.parametrize(("status", "count"), [(421, 0), (404, 1), (200, 1)])
async def test_signals_of_another_server_do_not_apply(status: int, count: int) -> None:
    """Guards against a server that rests as another one at its address asked for it."""
    heads: list[int] = []

    async def call(
        method: str, path: str, body: bytes, timeout: float
    ) -> Response | CallFailure:
        return Response(status, b"{}")

    await stop_and_move(
        "s:1", AttemptKey("r-1"), "t:1", call, lambda status, _: heads.append(status)
    )
    assert len(heads) == count
