"""Tests of attempts and control calls against simulated backend servers.

An attempt yields its own complete answer, or a failure that does not claim more than
is known.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from itertools import pairwise

import pytest
import trio

from dewridge.codes import ResultCode
from dewridge.fleet.dispatch import BATCH_DELAY_SECONDS, make_dispatch
from dewridge.fleet.events import EventReader
from dewridge.fleet.model import (
    AttemptEnd,
    AttemptEvent,
    AttemptOrder,
    AttemptTokens,
    BackendServer,
    Priority,
    ServerState,
)
from dewridge.fleet.orders import (
    Cancellation,
    EngineOrder,
    OrderKind,
    allocate_fencing_number,
    make_control_client,
)
from dewridge.ids import (
    AttemptId,
    BackendServerId,
    ClientAccount,
    FailureDomain,
    OperationName,
    RequestKey,
    ServiceName,
)
from dewridge.metrics.registry import Metrics
from dewridge.providers.model import HostState, ListedServer, ServerKind
from dewridge.sentinels import Failure
from dewridge.standins.backend import BackendGroup, BackendPlan, LeavingOrder
from dewridge.standins.engine import EngineOptions
from dewridge.standins.misbehaviour import Misbehaviour, MisbehaviourMode
from dewridge.standins.plain import PlainOptions
from dewridge.standins.tokens import is_expected_answer
from dewridge.tests.fakes import MemoryKeyValue

PROMPT = "dossier of a plant with three lines"
TOKENS = 12
ORDER = AttemptOrder(
    AttemptId("attempt-1"),
    ServiceName("findings"),
    OperationName("draft_finding"),
    ClientAccount("cooperative"),
    RequestKey("key-1"),
    PROMPT,
    TOKENS,
    Priority.BACKGROUND,
    timeout=1.0,
)
PLAIN_ORDER = replace(ORDER, operation=OperationName("issue_letter"), max_tokens=0)


@asynccontextmanager
async def run_backend(
    options: EngineOptions | PlainOptions, count: int = 1
) -> AsyncIterator[tuple[BackendGroup, list[BackendServer]]]:
    is_engine = isinstance(options, EngineOptions)
    plan = BackendPlan("server", count, ("findings",), ("zona-a",))
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            group = BackendGroup(plan, options)
            ready = await group.start(nursery)
            kind = ServerKind.ENGINE if is_engine else ServerKind.PLAIN
            checks_fencing = getattr(options, "checks_fencing", True)
            yield (
                group,
                [
                    make_server(name, address, kind, checks_fencing)
                    for name, address in ready["servers"].items()
                ],
            )
            nursery.cancel_scope.cancel()


def make_server(
    name: str, address: str, kind: ServerKind, checks_fencing: bool = True
) -> BackendServer:
    listed = ListedServer(
        BackendServerId(name),
        address,
        FailureDomain("zona-a"),
        kind,
        (ServiceName("findings"),),
        "standard",
        1.0,
        True,
        8,
        checks_fencing,
        HostState.LIVE,
    )
    return BackendServer(listed, ServerState.LIVE)


async def send_attempt(
    server: BackendServer, order: AttemptOrder
) -> list[AttemptEvent]:
    async with (
        make_dispatch(metrics=Metrics(), connect_timeout=0.5) as dispatch,
        dispatch(server, order) as events,
    ):
        return [event async for event in events]


def join_tokens(events: list[AttemptEvent]) -> list[str]:
    tokens: list[str] = []
    for event in events:
        if isinstance(event, AttemptTokens):
            assert event.sequence == len(tokens)
            tokens.extend(event.tokens)
    return tokens


def get_failure_code(events: list[AttemptEvent]) -> ResultCode:
    last = events[-1]
    assert isinstance(last, Failure), last
    return last.code


@pytest.mark.parametrize(
    "mode", ["none", "late", "duplicate", "reorder", "misdirect", "slow"]
)
async def test_misordered_events_give_the_correct_answer(mode: str) -> None:
    # The engine sends events late, twice, out of order or mixed with another
    # attempt's. The caller must still get the correct answer.
    async with run_backend(EngineOptions(step=0.002)) as (group, [server]):
        group.set_misbehaviour(Misbehaviour(MisbehaviourMode(mode), seconds=0.02))
        events = await send_attempt(server, ORDER)
        assert is_expected_answer(PROMPT, TOKENS, join_tokens(events))
        assert isinstance(events[-1], AttemptEnd)


@pytest.mark.parametrize(
    ("mode", "code"),
    [
        ("truncate", ResultCode.CONNECTION_LOST),
        ("silent", ResultCode.BACKEND_SERVER_SILENT),
        ("error", ResultCode.BACKEND_SERVER_FAILED),
        ("down", ResultCode.NOT_STARTED),
    ],
)
async def test_broken_stream_is_not_a_complete_answer(
    mode: str, code: ResultCode
) -> None:
    # The engine's stream is truncated, stalls or fails midway, or the engine rejects
    # connections. A partial answer must not count as complete, and only the rejected
    # connection may be reported as not started.
    async with run_backend(EngineOptions(step=0.002)) as (group, [server]):
        group.set_misbehaviour(Misbehaviour(MisbehaviourMode(mode)))
        events = await send_attempt(server, replace(ORDER, timeout=0.3))
        assert get_failure_code(events) is code
        assert len(join_tokens(events)) < TOKENS


async def test_rejections_that_prove_that_nothing_ran() -> None:
    # An engine that is leaving or full rejects an attempt before it begins. Such an
    # attempt can be retried on another server at once, even if it is not idempotent.
    async with run_backend(EngineOptions(queue=0)) as (group, [server]):
        assert (
            get_failure_code(await send_attempt(server, ORDER))
            is ResultCode.NOT_STARTED
        )
        group.set_leaving(LeavingOrder())
        rejected = await send_attempt(server, ORDER)
        assert get_failure_code(rejected) is ResultCode.BACKEND_SERVER_LEAVING
        assert group.read_log() == []


async def test_status_without_error_type_is_a_failure_of_unknown_outcome() -> None:
    # A worker allocates a serial number, then fails with status 500. The failure must
    # not count as "not started": a retry would issue a second letter.
    async with run_backend(PlainOptions(work=0.001)) as (group, [server]):
        group.set_misbehaviour(Misbehaviour(MisbehaviourMode.ERROR))
        failed = await send_attempt(server, PLAIN_ORDER)
        assert get_failure_code(failed) is ResultCode.BACKEND_SERVER_FAILED
        assert [line.state for line in group.read_log()] == ["done"]


@pytest.mark.parametrize(
    ("mode", "code"),
    [
        ("misdirect", ResultCode.ANSWER_MISMATCHED),
        ("truncate", ResultCode.BACKEND_SERVER_FAILED),
        ("silent", ResultCode.BACKEND_SERVER_SILENT),
    ],
)
async def test_plain_answer_must_be_complete_and_match_the_attempt(
    mode: str, code: ResultCode
) -> None:
    # A worker returns another call's letter, half a letter or nothing. None of these
    # may count as the answer to this call.
    async with run_backend(PlainOptions(work=0.001)) as (group, [server]):
        [end] = await send_attempt(server, PLAIN_ORDER)
        assert isinstance(end, AttemptEnd)
        assert '"serial":"server-000001"' in end.body
        group.set_misbehaviour(Misbehaviour(MisbehaviourMode(mode)))
        assert (
            get_failure_code(
                await send_attempt(server, replace(PLAIN_ORDER, timeout=0.3))
            )
            is code
        )


async def test_attempt_resumes_with_an_exported_cache() -> None:
    # An attempt is stopped after a few tokens, as when its engine is reclaimed.
    # Another engine imports the exported cache, continues after the retained tokens
    # and recomputes nothing.
    async with run_backend(EngineOptions(step=0.01), 2) as (_, [first, second]):
        retained: list[str] = []
        async with (
            make_dispatch(metrics=Metrics(), connect_timeout=0.5) as dispatch,
            make_control_client(metrics=Metrics(), timeout=1.0) as client,
            dispatch(first, ORDER) as events,
        ):
            async for event in events:
                assert isinstance(event, AttemptTokens)
                retained.extend(event.tokens)
                if len(retained) >= 3:
                    break
            handle = await client.export_cache(first, ORDER.attempt)
            assert isinstance(handle, str)
            cancelled = await client.cancel(first, ORDER.attempt)
            assert cancelled is Cancellation.CANCELLED
        order = replace(
            ORDER,
            attempt=AttemptId("attempt-2"),
            tokens_done=tuple(retained),
            cache_handle=handle,
        )
        rest = await send_attempt(second, order)
        for event in rest:
            if isinstance(event, AttemptTokens):
                assert event.sequence == len(retained)
                retained.extend(event.tokens)
        assert is_expected_answer(PROMPT, TOKENS, retained)
        assert isinstance(rest[-1], AttemptEnd)
        assert rest[-1].recomputed == 0


async def test_superseded_order_is_rejected_or_its_effect_reported() -> None:
    # A paused host sends its order after another host has ordered the opposite. An
    # engine that checks fencing numbers rejects the old order; any other carries it
    # out, and the returned state shows the effect.
    first_fence = await allocate_fencing_number(MemoryKeyValue(), "dewridge/")
    assert first_fence == 1
    for checks in (True, False):
        options = EngineOptions(checks_fencing=checks)
        async with (
            run_backend(options) as (_, [server]),
            make_control_client(metrics=Metrics(), timeout=1.0) as client,
        ):
            new = EngineOrder(OrderKind.LOAD, "drafting", 2)
            old = EngineOrder(OrderKind.UNLOAD, "drafting", first_fence)
            state = await client.send(server, new)
            assert not isinstance(state, Failure)
            assert "drafting" in state.services
            outcome = await client.send(server, old)
            assert isinstance(outcome, Failure) is checks
            if isinstance(outcome, Failure):
                assert outcome.code is ResultCode.FENCED


def test_lost_event_is_a_failure() -> None:
    # An event is lost between the engine and the host. Forwarding the tokens after it
    # would give the caller an answer with a gap.
    reader = EventReader(AttemptId("a"), 0)
    lines = [
        f'data: {{"attempt":"a","sequence":{n},"tokens":["t"]}}'.encode()
        for n in range(60)
        if n != 5
    ]
    events = reader.read(lines)
    assert events[0] == AttemptTokens(0, ("t",) * 5)
    assert get_failure_code(events) is ResultCode.ANSWER_MISMATCHED


async def test_fast_stream_is_read_in_batches() -> None:
    # With one read per token of a fast engine, the host's CPU core is saturated and
    # the tokens of all its callers are delayed.
    order = replace(ORDER, max_tokens=60)
    times: list[float] = []
    async with (
        run_backend(EngineOptions(step=0.002)) as (_, [server]),
        make_dispatch(metrics=Metrics(), connect_timeout=0.5) as dispatch,
        dispatch(server, order) as events,
    ):
        async for event in events:
            if isinstance(event, AttemptTokens):
                times += [trio.current_time()] * len(event.tokens)
    assert len(times) == 60
    gaps = [later - earlier for earlier, later in pairwise(times)]
    assert sum(gap > BATCH_DELAY_SECONDS / 2 for gap in gaps) >= 3
    assert sum(gap < 0.001 for gap in gaps) >= 30
