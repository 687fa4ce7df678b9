"""The supervisor tree restarts what fails, within limits."""

import pytest
import trio

from dewridge.supervision.dumps import DumpCollector
from dewridge.supervision.mailbox import Mailbox
from dewridge.supervision.tree import RestartLimitError, Supervisor


async def test_a_failed_task_is_restarted() -> None:
    # A task dies of a fault that goes away. Its neighbours and its users only
    # notice a short pause.
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


async def test_a_task_that_keeps_failing_takes_its_supervisor_down() -> None:
    # A fault that restarts do not mend. Left alone the process would look alive
    # and do nothing; it must end, so that the platform starts it afresh.
    async def run() -> None:
        raise ValueError("for good")

    supervisor = Supervisor("test", restarts=2)
    supervisor.add("broken", run)
    with trio.fail_after(5), pytest.raises(BaseExceptionGroup) as caught:
        await supervisor.run()
    assert caught.group_contains(RestartLimitError)


async def test_a_dump_arrives_though_a_part_hangs() -> None:
    # A task hangs in an endless wait. An operator asks for a dump to find out
    # which one; the dump must not hang with it.
    async def answer() -> dict[str, int]:
        return {"size": 3}

    board = DumpCollector(timeout=0.05)
    board.add("good", answer)
    board.add("hung", trio.sleep_forever)
    with trio.fail_after(2):
        dump = await board.collect()
    assert dump["parts"] == {"good": {"size": 3}}
    assert dump["missing"] == {"hung": "no answer within 0.05 s"}


async def test_a_full_mailbox_counts_what_it_drops() -> None:
    # A task stands still while its neighbours go on posting. Memory must not
    # grow without end, and an operator sees the count.
    mailbox: Mailbox[int] = Mailbox(2)
    assert [mailbox.post(n) for n in range(3)] == [True, True, False]
    assert mailbox.dropped == 1
    assert mailbox.receive_all() == [0, 1]
