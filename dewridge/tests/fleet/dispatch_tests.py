"""Attempts bring whole answers of their own, or say what is known of them."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from itertools import pairwise

import pytest
import trio

from dewridge.codes import ResultCode
from dewridge.fleet.dispatch import GATHER_SECONDS, make_dispatch
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
    make_control_client,
    take_fence,
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
from dewridge.standins.misbehaviour import Misbehaviour, Mode
from dewridge.standins.plain import PlainOptions
from dewridge.standins.tokens import check_answer
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
CALL = replace(ORDER, operation=OperationName("issue_letter"), max_tokens=0)


@asynccontextmanager
async def run_backend(
    options: EngineOptions | PlainOptions, count: int = 1
) -> AsyncIterator[tuple[BackendGroup, list[BackendServer]]]:
    is_engine = isinstance(options, EngineOptions)
    plan = BackendPlan("server", count, ("findings",), ("zona-a",))
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            group = BackendGroup(plan, options)
            line = await group.start(nursery)
            kind = ServerKind.ENGINE if is_engine else ServerKind.PLAIN
            fences = getattr(options, "checks_fencing", True)
            yield (
                group,
                [
                    make_server(name, address, kind, fences)
                    for name, address in line["servers"].items()
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


async def send(server: BackendServer, order: AttemptOrder) -> list[AttemptEvent]:
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


def find_code(events: list[AttemptEvent]) -> ResultCode:
    last = events[-1]
    assert isinstance(last, Failure), last
    return last.code


@pytest.mark.parametrize(
    "mode", ["none", "late", "duplicate", "reorder", "misdirect", "slow"]
)
async def test_an_answer_is_whole_and_its_own(mode: str) -> None:
    # An engine sends events late, twice, out of order or with another
    # attempt's among them. A caller must not notice any of it.
    async with run_backend(EngineOptions(step=0.002)) as (group, [server]):
        group.misbehave(Misbehaviour(Mode(mode), seconds=0.02))
        events = await send(server, ORDER)
        assert check_answer(PROMPT, TOKENS, join_tokens(events))
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
async def test_a_broken_stream_is_never_taken_for_an_answer(
    mode: str, code: ResultCode
) -> None:
    # An engine ends, falls silent or fails midway. The caller must not be
    # given the part for the whole, and only the engine that refuses
    # connections counts as one that did not start.
    async with run_backend(EngineOptions(step=0.002)) as (group, [server]):
        group.misbehave(Misbehaviour(Mode(mode)))
        events = await send(server, replace(ORDER, timeout=0.3))
        assert find_code(events) is code
        assert len(join_tokens(events)) < TOKENS


async def test_refusals_that_prove_that_nothing_ran() -> None:
    # An engine that is leaving or full refuses before it begins. The request
    # goes elsewhere at once, also one that may not be repeated.
    async with run_backend(EngineOptions(queue=0)) as (group, [server]):
        assert find_code(await send(server, ORDER)) is ResultCode.NOT_STARTED
        group.leave(LeavingOrder())
        refused = await send(server, ORDER)
        assert find_code(refused) is ResultCode.BACKEND_SERVER_LEAVING
        assert group.read_log() == []


async def test_a_bare_status_proves_nothing() -> None:
    # A worker fails after it has drawn a serial number and answers 500; a
    # second run of the call would put a second letter into circulation.
    async with run_backend(PlainOptions(work=0.001)) as (group, [server]):
        group.misbehave(Misbehaviour(Mode.ERROR))
        failed = await send(server, CALL)
        assert find_code(failed) is ResultCode.BACKEND_SERVER_FAILED
        assert [line.state for line in group.read_log()] == ["done"]


@pytest.mark.parametrize(
    ("mode", "code"),
    [
        ("misdirect", ResultCode.ANSWER_MISMATCHED),
        ("truncate", ResultCode.BACKEND_SERVER_FAILED),
        ("silent", ResultCode.BACKEND_SERVER_SILENT),
    ],
)
async def test_a_plain_answer_is_whole_and_its_own(mode: str, code: ResultCode) -> None:
    # A worker answers with another call's letter, half of one, or never.
    async with run_backend(PlainOptions(work=0.001)) as (group, [server]):
        [good] = await send(server, CALL)
        assert isinstance(good, AttemptEnd)
        assert '"serial":"server-000001"' in good.body
        group.misbehave(Misbehaviour(Mode(mode)))
        assert find_code(await send(server, replace(CALL, timeout=0.3))) is code


async def test_an_attempt_resumes_with_an_exported_cache() -> None:
    # The engine of a long draft is reclaimed. Another one goes on after the
    # tokens kept, with the exported cache, and computes nothing again.
    async with run_backend(EngineOptions(step=0.01), 2) as (_, [first, second]):
        kept: list[str] = []
        async with (
            make_dispatch(metrics=Metrics(), connect_timeout=0.5) as dispatch,
            make_control_client(metrics=Metrics(), timeout=1.0) as orders,
            dispatch(first, ORDER) as events,
        ):
            async for event in events:
                assert isinstance(event, AttemptTokens)
                kept.extend(event.tokens)
                if len(kept) >= 3:
                    break
            handle = await orders.export_cache(first, ORDER.attempt)
            assert isinstance(handle, str)
            cancelled = await orders.cancel(first, ORDER.attempt)
            assert cancelled is Cancellation.CANCELLED
        order = replace(
            ORDER,
            attempt=AttemptId("attempt-2"),
            tokens_done=tuple(kept),
            cache_handle=handle,
        )
        rest = await send(second, order)
        for event in rest:
            if isinstance(event, AttemptTokens):
                assert event.sequence == len(kept)
                kept.extend(event.tokens)
        assert check_answer(PROMPT, TOKENS, kept)
        assert isinstance(rest[-1], AttemptEnd)
        assert rest[-1].recomputed == 0


async def test_an_overruled_order_is_found_out_either_way() -> None:
    # A host is paused, another one orders the opposite, and the first wakes
    # up. One engine refuses the old number; one obeys it, and its state shows.
    number = await take_fence(MemoryKeyValue(), "dewridge/")
    assert number == 1
    for checks in (True, False):
        options = EngineOptions(checks_fencing=checks)
        async with (
            run_backend(options) as (_, [server]),
            make_control_client(metrics=Metrics(), timeout=1.0) as orders,
        ):
            new = EngineOrder(OrderKind.LOAD, "drafting", 2)
            old = EngineOrder(OrderKind.UNLOAD, "drafting", number)
            state = await orders.send(server, new)
            assert not isinstance(state, Failure)
            assert "drafting" in state.services
            outcome = await orders.send(server, old)
            assert isinstance(outcome, Failure) is checks
            if isinstance(outcome, Failure):
                assert outcome.code is ResultCode.FENCED


def test_a_gap_that_does_not_close_is_a_failure() -> None:
    # Events are lost between engine and host. To pass on what follows would
    # give the caller a draft with a hole in it.
    reader = EventReader(AttemptId("a"), 0)
    lines = [
        f'data: {{"attempt":"a","sequence":{n},"tokens":["t"]}}'.encode()
        for n in range(60)
        if n != 5
    ]
    events = reader.read(lines)
    assert events[0] == AttemptTokens(0, ("t",) * 5)
    assert find_code(events) is ResultCode.ANSWER_MISMATCHED


async def test_a_fast_stream_is_read_in_bursts() -> None:
    # A read for each token of a fast engine fills the host's core, and all
    # its callers' tokens come late.
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
    assert sum(gap > GATHER_SECONDS / 2 for gap in gaps) >= 3
    assert sum(gap < 0.001 for gap in gaps) >= 30
