"""The demonstration end to end, and the shutdown of its processes."""

import trio

from dewridge.testbed.demonstration import run_demonstration
from dewridge.testbed.processes import Process, start_process, stop_processes


async def test_the_demonstration_runs_across_separate_processes() -> None:
    lines: list[str] = []
    with trio.fail_after(50):
        assert await run_demonstration(lines.append), "\n".join(lines)


async def test_all_processes_are_stopped_after_an_interrupt(tmp_path) -> None:  # type: ignore[no-untyped-def]
    # Ctrl-C interrupts the demo. Processes that kept running would hold ports and
    # memory and conflict with the next run.
    started: list[Process] = []
    with trio.move_on_after(0.5):
        try:
            for _ in range(2):
                arguments = ["standin", "platform", "--die-with-parent"]
                process = await start_process(
                    "platform", arguments, tmp_path, expects_announcement=True
                )
                process.suspend()
                started.append(process)
            await trio.sleep_forever()
        finally:
            await stop_processes(started)
    assert not any(process.is_running for process in started)
