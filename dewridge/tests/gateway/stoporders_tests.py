"""Tests of streams that end after an order to stop them, whatever its reply."""

import pytest
import trio

from dewridge.gateway import streams
from dewridge.gateway.endings.left import LeftMemory
from dewridge.gateway.jobs import StopOrder
from dewridge.gateway.limits.retries import RetryCause
from dewridge.gateway.model import AttemptKey
from dewridge.gateway.moves import MAX_RETURN_OVERDRAFT, free_left_memory
from dewridge.platform.engines import CacheCopy
from dewridge.tests.gateway.partition_tests import open_linked_fleet, partition
from dewridge.tests.gateway.stoppableengines import (
    STOPPING_FAULTS,
    Framing,
    Reply,
    StoppableEngine,
    StopScenario,
    join_events,
)
from dewridge.tests.gateway.world import ENGINE, CallerAnswer, make_request, open_world

ROUTES = ["/draft/a", "/chat/a"]
"""A route whose streams may run once, and one whose streams may be resumed."""

MAX_PAUSE = 1.2
"""Seconds from the stop of a run to its continuation. Callers disconnect two seconds
after the last event."""

any_route = pytest.mark.parametrize("path", ROUTES)
any_framing = pytest.mark.parametrize("framing", list(Framing))


def is_whole(answer: CallerAnswer) -> bool:
    """Return whether a caller got all events, each once, and the end."""
    return answer.is_complete and answer.body == join_events()


def check_continued_once(scenario: StopScenario) -> None:
    """Check that a stream went on from the memory of its run, and nowhere anew."""
    runs = [run for engine in scenario.engines for run in engine.runs]
    assert len(runs) == 2
    assert [run for run in runs if run.memory.endswith(b"/h-1")]
    assert [run.first for run in runs if not run.memory] == [1]


@any_framing
@pytest.mark.parametrize("reply", STOPPING_FAULTS)
@any_route
async def test_a_stopped_stream_is_not_complete_if_the_reply_failed(
    path: str, reply: Reply, framing: Framing
) -> None:
    """Guards against a part that looks whole as it is unknown who ended it."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, framing, [reply])
        answer = await scenario.run(path)
    assert is_whole(answer) or not answer.is_complete
    assert join_events().startswith(answer.body)


@any_framing
@pytest.mark.parametrize("reply", STOPPING_FAULTS)
@any_route
async def test_a_stopped_stream_goes_on_from_its_memory_if_the_reply_failed(
    path: str, reply: Reply, framing: Framing
) -> None:
    """Guards against a stream that is lost although its engine keeps its memory."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, framing, [reply, Reply.MOVED])
        answer = await scenario.run(path)
    assert is_whole(answer)
    check_continued_once(scenario)


@any_framing
@pytest.mark.parametrize("reply", STOPPING_FAULTS)
async def test_a_resumable_stream_goes_on_although_its_source_does_not_tell(
    reply: Reply, framing: Framing
) -> None:
    """Guards against callers that leave while the source is asked in vain."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, framing, [reply])
        answer = await scenario.run("/chat/a")
        stopped_at, resumed_at = scenario.find_pause()
    assert is_whole(answer)
    assert resumed_at - stopped_at < MAX_PAUSE


@any_route
async def test_a_relayed_order_without_a_reply_makes_no_part_whole(path: str) -> None:
    """Guards against a lost reply to an order that a peer relays."""
    async with open_linked_fleet(2) as linked:
        world = linked.fleet.worlds[0]
        scenario = StopScenario(
            world, Framing.UNFRAMED, [Reply.LOST, Reply.MOVED], linked.add_server
        )
        partition(linked, [0])
        answer = await scenario.run(path)
    assert is_whole(answer)
    check_continued_once(scenario)


@any_framing
@any_route
async def test_a_stream_that_is_stopped_within_an_event_goes_on(
    path: str, framing: Framing
) -> None:
    """Guards against a moved stream that is cut as its source stopped in an event."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, framing, [Reply.MOVED], stops_within_event=True)
        answer = await scenario.run(path)
    assert is_whole(answer)
    check_continued_once(scenario)


@any_route
@pytest.mark.parametrize("reply", [Reply.FINISHES, Reply.NOT_REACHED])
async def test_a_run_that_ended_by_itself_is_whole(reply: Reply, path: str) -> None:
    """Guards against a whole answer that is lost as an order had no reply."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, Framing.CHUNKED, [reply])
        answer = await scenario.run(path)
    assert scenario.source.orders
    assert is_whole(answer)
    assert scenario.count_arrivals() == 1


@any_framing
async def test_a_source_that_copies_is_asked_again(framing: Framing) -> None:
    """Guards against a stream that is lost as its memory is still being copied."""
    async with open_world(retry_slack=100) as world:
        replies = [Reply.LOST, Reply.IN_PROGRESS, Reply.IN_PROGRESS, Reply.MOVED]
        scenario = StopScenario(world, framing, replies)
        answer = await scenario.run("/draft/a")
    assert is_whole(answer)
    check_continued_once(scenario)


@any_framing
async def test_a_stream_returns_if_the_target_is_full(framing: Framing) -> None:
    """Guards against a stream that is lost although its source keeps its memory."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, framing, [Reply.LOST, Reply.TARGET_FULL])
        answer = await scenario.run("/draft/a")
    assert is_whole(answer)
    assert not scenario.target.runs
    assert [run.first for run in scenario.source.runs if not run.memory] == [1]


@any_framing
async def test_an_order_that_is_carried_out_late_makes_no_part_whole(
    framing: Framing,
) -> None:
    """Guards against an order that stops the run which goes on after it."""
    async with open_world(retry_slack=100) as world:
        replies = [Reply.DELAYED, Reply.TARGET_FULL, Reply.REJECTED, Reply.MOVED]
        scenario = StopScenario(world, framing, replies)
        answer = await scenario.run("/draft/a")
        budgets = world.state.retries.describe(trio.current_time())
    assert is_whole(answer)
    assert len(scenario.source.runs) == 2
    assert len(scenario.target.runs) == 1
    assert budgets["engine"]["retries"] == 2


@any_framing
async def test_a_stream_is_not_complete_if_a_late_order_leaves_it_no_retry(
    framing: Framing,
) -> None:
    """Guards against a stopped stream that runs anew, or looks whole."""
    async with open_world(retry_slack=10) as world:
        replies = [Reply.DELAYED, Reply.TARGET_FULL, Reply.REJECTED, Reply.MOVED]
        scenario = StopScenario(world, framing, replies)

        async def use_up_retries() -> None:
            await scenario.wait_for_run()
            while not scenario.source.orders:  # noqa: ASYNC110
                await trio.sleep(0.005)
            now = trio.current_time()
            cause, overdraft = RetryCause.RETURNED, -MAX_RETURN_OVERDRAFT
            while world.state.retries.acquire(ENGINE, cause, now, overdraft):
                pass

        async with trio.open_nursery() as nursery:
            nursery.start_soon(use_up_retries)
            answer = await scenario.run("/draft/a")
        assert not answer.is_complete
        await wait_for_release(scenario)
    runs = [run for engine in scenario.engines for run in engine.runs]
    assert [run.first for run in runs if not run.memory] == [1]
    assert len(runs) == 2


@any_framing
async def test_a_stream_that_returned_is_not_stopped_without_a_retry(
    framing: Framing,
) -> None:
    """Guards against a repeated order that stops a sound stream and has no retry."""
    async with open_world(retry_slack=10) as world:
        replies = [Reply.NOT_REACHED, Reply.TARGET_FULL]
        scenario = StopScenario(world, framing, replies)

        async def use_up_retries() -> None:
            await scenario.wait_for_run()
            while not scenario.source.orders:  # noqa: ASYNC110
                await trio.sleep(0.005)
            now = trio.current_time()
            cause, overdraft = RetryCause.RETURNED, -MAX_RETURN_OVERDRAFT
            while world.state.retries.acquire(ENGINE, cause, now, overdraft):
                pass

        async with trio.open_nursery() as nursery:
            nursery.start_soon(use_up_retries)
            answer = await scenario.run("/draft/a")
    assert answer.body == join_events()
    # The first order may be carried out late, so that only chunks show the end.
    assert answer.is_complete or framing is Framing.UNFRAMED
    assert len(scenario.source.runs) == 2


async def test_a_repeated_order_to_another_target_uses_a_retry() -> None:
    """Guards against a run beyond the budget as the target of an order has left."""
    async with open_world(retry_slack=100) as world:
        replies = [Reply.NOT_REACHED, Reply.TARGET_FULL, Reply.MOVED]
        scenario = StopScenario(world, Framing.UNFRAMED, replies)
        scenario.engines.append(StoppableEngine("s-3", Framing.UNFRAMED, replies))

        async def remove_target() -> None:
            await scenario.wait_for_run()
            while len(scenario.source.runs) < 2:  # noqa: ASYNC110
                await trio.sleep(0.005)
            servers = world.state.servers
            for engine in scenario.engines:
                record = servers.find(engine.id)
                if record and record.address == scenario.source.orders[-1]["target"]:
                    servers.drop(record.id, trio.current_time(), "it ended")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(remove_target)
            answer = await scenario.run("/draft/a")
        budgets = world.state.retries.describe(trio.current_time())
    assert is_whole(answer)
    assert len({order["target"] for order in scenario.source.orders}) == 2
    assert scenario.count_arrivals() == 3
    assert budgets["engine"]["retries"] == 2


async def test_a_stream_that_returned_is_not_moved_again_at_once() -> None:
    """Guards against a stream that is stopped for each event it makes."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, Framing.CHUNKED, [Reply.TARGET_FULL])
        answer = await scenario.run("/draft/a")
    assert is_whole(answer)
    tries = streams.MOVE_LEAD_TIME / streams.MOVE_RETRY_DELAY
    assert 2 <= len(scenario.source.runs) <= 2 + tries


@any_framing
@any_route
async def test_a_stopped_stream_is_not_complete_if_its_server_ends(
    path: str, framing: Framing
) -> None:
    """Guards against a part that looks whole as nobody can say who ended it."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, framing, [Reply.LOST], ends_when_stopped=True)
        with trio.fail_after(3.0):
            answer = await scenario.run(path)
    is_resumable = path == "/chat/a"
    assert answer.is_complete is is_resumable
    assert is_resumable is is_whole(answer)


@any_framing
async def test_another_server_does_not_say_that_a_run_ended_by_itself(
    framing: Framing,
) -> None:
    """Guards against a part that looks whole as its server's address is used again."""
    async with open_world(retry_slack=100) as world:
        replies = [Reply.LOST, Reply.OTHER_SERVER]
        scenario = StopScenario(world, framing, replies)
        answer = await scenario.run("/draft/a")
    assert not answer.is_complete


@pytest.mark.parametrize("replies", [[Reply.LOST, Reply.MOVED], [Reply.MOVED]])
async def test_a_moved_stream_uses_the_retry_of_its_order(replies: list[Reply]) -> None:
    """Guards against an order that is asked for twice and counted twice."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, Framing.UNFRAMED, replies)
        await scenario.run("/draft/a")
        budgets = world.state.retries.describe(trio.current_time())
    assert budgets["engine"]["retries"] == scenario.count_arrivals() - 1


@any_framing
async def test_refused_orders_use_one_retry(framing: Framing) -> None:
    """Guards against a budget that orders use up although no stream moves."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, framing, [Reply.REJECTED])
        answer = await scenario.run("/draft/a")
        budgets = world.state.retries.describe(trio.current_time())
    assert is_whole(answer)
    assert len(scenario.source.orders) > 1
    assert budgets["engine"]["retries"] == 1


@any_framing
async def test_no_stream_is_stopped_without_a_retry(framing: Framing) -> None:
    """Guards against a stopped stream that may not go on anywhere."""
    async with open_world(retry_slack=0) as world:
        scenario = StopScenario(world, framing, [Reply.LOST, Reply.MOVED])
        answer = await scenario.run("/draft/a")
    assert is_whole(answer)
    assert not scenario.source.orders


async def wait_for_release(scenario: StopScenario) -> None:
    """Wait until the source was asked to free the memory of its run."""
    with trio.fail_after(2.0):
        while not scenario.source.released:  # noqa: ASYNC110
            await trio.sleep(0.005)
    assert scenario.source.released == [b"h-1"]


@pytest.mark.parametrize("reply", [Reply.MOVED, Reply.LOST])
async def test_memory_is_freed_if_the_caller_leaves(reply: Reply) -> None:
    """Guards against engine memory that is held for a stream without a caller."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(
            world, Framing.UNFRAMED, [reply, Reply.MOVED], hangs_when_stopped=True
        )
        await scenario.start_engines()
        stream = await world.connect()
        async with stream:
            await stream.send_all(make_request("/draft/a", method="POST"))
            await scenario.wait_for_run()
            scenario.announce_reclaim(0.1)
            while not scenario.source.orders:  # noqa: ASYNC110
                await trio.sleep(0.005)
            await trio.sleep(0.02)
        await wait_for_release(scenario)


@pytest.mark.parametrize("replies", [[Reply.MOVED], [Reply.LOST, Reply.MOVED]])
async def test_memory_is_freed_if_no_engine_continues_the_stream(
    replies: list[Reply],
) -> None:
    """Guards against engine memory that is held for a stream that was given up."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(
            world, Framing.UNFRAMED, replies, rejects_continuations=True
        )
        answer = await scenario.run("/draft/a")
        assert not answer.is_complete
        await wait_for_release(scenario)


@pytest.mark.parametrize("is_known", [True, False])
async def test_no_memory_is_freed_at_a_resting_server(is_known: bool) -> None:
    """Guards against a stream that is lost as its server's rest was used up."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, Framing.UNFRAMED, [Reply.MOVED])
        await scenario.start_engines()
        state = world.state
        source, target = (state.servers.find(engine.id) for engine in scenario.engines)
        assert source is not None
        assert target is not None
        memory = CacheCopy(source.address, "h-1", is_at_target=True)
        left = LeftMemory(
            AttemptKey("r-1"),
            StopOrder(source, target),
            memory if is_known else None,
        )
        for record in (source, target):
            state.pushback.apply_rest(record.id, 1.0, trio.current_time())
        await free_left_memory(state, left)
        calls = [len(e.server.received) for e in scenario.engines if e.server]
        now = trio.current_time()
        may_move = state.pushback.acquire(source.id, now, is_essential=True)
    assert calls == [0, 0]
    assert may_move


async def test_used_memory_is_not_freed() -> None:
    """Guards against a call that may end the run that uses the memory."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, Framing.UNFRAMED, [Reply.LOST, Reply.MOVED])
        answer = await scenario.run("/draft/a")
        await trio.sleep(0.1)
    assert is_whole(answer)
    assert not [engine.released for engine in scenario.engines if engine.released]


@any_framing
async def test_a_stream_whose_continuation_is_lost_does_not_run_again(
    framing: Framing,
) -> None:
    """Guards against a second run from memory that a lost run may have used."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, framing, [Reply.MOVED], loses_continuations=True)
        answer = await scenario.run("/draft/a")
    assert not answer.is_complete
    assert scenario.count_arrivals() == 2


@any_framing
async def test_a_resumable_stream_goes_on_if_its_continuation_is_lost(
    framing: Framing,
) -> None:
    """Guards against a lost continuation that ends a stream which may be resumed."""
    async with open_world(retry_slack=100) as world:
        scenario = StopScenario(world, framing, [Reply.MOVED], loses_continuations=True)
        # Neither the source, which leaves, nor the target, which failed, takes it.
        scenario.engines.append(StoppableEngine("s-3", framing, [Reply.MOVED]))
        answer = await scenario.run("/chat/a")
        handles = [run.memory for engine in scenario.engines for run in engine.runs]
    assert is_whole(answer)
    used = [handle for handle in handles if handle]
    assert len(used) == len(set(used))
