"""Supervisors restart failed tasks within limits; dumps and mailboxes."""

import pytest
import trio
import trio.testing

from dewridge.supervision.dumps import DumpCollector
from dewridge.supervision.mailbox import Mailbox
from dewridge.supervision.tree import RestartLimitError, Supervisor


async def test_a_failed_task_is_restarted() -> None:
    # A task fails because of a transient fault. After a short backoff it runs again,
    # and other tasks continue.
    starts = 0

    async def run() -> None:
        nonlocal starts
        starts += 1
        if starts < 3:
            raise ValueError("gone soon")

    supervisor = Supervisor("test", restarts=5)
    supervisor.add("flaky", run)
    with trio.fail_after(5):
        await supervisor.run()
    assert starts == 3
    assert supervisor.describe()["flaky"] == {
        "state": "ended",
        "restarts": 2,
        "last_error": "ValueError: gone soon",
    }


async def test_a_task_that_keeps_failing_ends_its_supervisor() -> None:
    # Restarts do not cure the fault. Without a limit the process would appear alive
    # but do no work; it must end so that the platform starts it again.
    async def run() -> None:
        raise ValueError("for good")

    supervisor = Supervisor("test", restarts=2)
    supervisor.add("broken", run)
    with trio.fail_after(5), pytest.raises(BaseExceptionGroup) as exception_info:
        await supervisor.run()
    assert exception_info.group_contains(RestartLimitError)


async def test_a_failure_beyond_the_limit_can_leave_the_other_tasks_running(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against one failing task that ends the answers of all others at once."""
    limits = 0

    def count_limit() -> None:
        nonlocal limits
        limits += 1

    async def fail() -> None:
        raise ValueError("for good")

    finished = trio.Event()

    async def answer() -> None:
        await trio.sleep(60)
        finished.set()

    supervisor = Supervisor("test", restarts=2, on_limit=count_limit)
    supervisor.add("broken", fail)
    supervisor.add("answer", answer)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(supervisor.run)
        await finished.wait()
        nursery.cancel_scope.cancel()
    assert limits == 1
    assert str(supervisor.limit_error) == "test/broken"


async def test_a_dump_completes_while_a_part_hangs() -> None:
    # A task hangs in an endless wait, and an operator requests a dump to find out
    # which one. The dump must complete nevertheless.
    async def answer() -> dict[str, int]:
        return {"size": 3}

    board = DumpCollector(timeout=0.05)
    board.add("good", answer)
    board.add("hung", trio.sleep_forever)
    with trio.fail_after(2):
        dump = await board.collect()
    assert dump["parts"] == {"good": {"size": 3}}
    assert dump["missing"] == {"hung": "no answer within 0.05 s"}


async def test_a_full_mailbox_counts_dropped_messages() -> None:
    # A task is blocked while other tasks continue to post messages to it. Memory use
    # must stay bounded, and the count of dropped messages is visible to operators.
    mailbox: Mailbox[int] = Mailbox(2)
    assert [mailbox.post(n) for n in range(3)] == [True, True, False]
    assert mailbox.dropped == 1
    assert mailbox.receive_all() == [0, 1]
