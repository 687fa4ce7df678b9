"""The main job, from end to end over separate processes."""

import trio

from dewridge.testbed.demonstration import run_demonstration
from dewridge.testbed.processes import Process, start_process, stop_processes


async def test_the_main_job_runs_through_separate_processes() -> None:
    lines: list[str] = []
    with trio.fail_after(50):
        assert await run_demonstration(lines.append), "\n".join(lines)


async def test_interrupted_processes_are_all_ended(tmp_path) -> None:  # type: ignore[no-untyped-def]
    # Somebody presses Ctrl-C during the demo. Processes left behind would hold
    # ports and memory, and the next run would meet them.
    started: list[Process] = []
    with trio.move_on_after(0.5):
        try:
            for _ in range(2):
                arguments = ["standin", "platform", "--die-with-parent"]
                process = await start_process(
                    "platform", arguments, tmp_path, waits_for_line=True
                )
                process.suspend()
                started.append(process)
            await trio.sleep_forever()
        finally:
            await stop_processes(started)
    assert not any(process.is_running for process in started)
