"""The supervisor tree: tasks that are restarted when they fail."""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
from loguru import logger as log

TaskFunction = Callable[[], Awaitable[None]]
"""What a task does; it opens what it owns on an exit stack of its own."""

INITIAL_BACKOFF = 0.05
"""Seconds before the first restart. A task that fails at once on a fault that
lasts would otherwise use a whole core; the pause doubles up to MAX_BACKOFF."""
MAX_BACKOFF = 2.0


class RestartLimitError(Exception):
    """A task failed more often than its supervisor allows."""


@dataclass
class Child:
    """A supervised task and how often it was restarted lately."""

    name: str
    run: TaskFunction
    restarts: deque[float] = field(default_factory=deque)
    total_restarts: int = 0
    last_error: str = ""
    state: str = "new"


class Supervisor:
    """Runs tasks side by side and restarts the ones that fail.

    A task that returns has ended. One that raises is started again after a
    pause; one that raises more often than the limit takes the supervisor down,
    so that a fault which restarts do not mend becomes visible one level up and
    in the end stops the process, which its platform starts afresh.
    """

    def __init__(self, name: str, restarts: int = 5, window: float = 60.0) -> None:
        self.name = name
        self._limit = restarts
        self._window = window
        self._children: list[Child] = []

    def add(self, name: str, run: TaskFunction) -> None:
        """Add a task; call before `run`."""
        self._children.append(Child(name, run))

    async def run(self) -> None:
        """Run all tasks until they have ended.

        Raises:
            RestartLimitError: a task failed too often.
        """
        async with trio.open_nursery() as nursery:
            for child in self._children:
                nursery.start_soon(self._keep_running, child)

    async def _keep_running(self, child: Child) -> None:
        while True:
            child.state = "running"
            try:
                await child.run()
            except Exception as error:  # any fault of a task leads to its restart
                self._note_fault(child, error)
            else:
                child.state = "ended"
                return
            await trio.sleep(self._find_pause(child))

    def _note_fault(self, child: Child, error: Exception) -> None:
        now = trio.current_time()
        child.state = "failed"
        child.total_restarts += 1
        child.last_error = f"{type(error).__name__}: {error}"[:200]
        child.restarts.append(now)
        while child.restarts and child.restarts[0] < now - self._window:
            child.restarts.popleft()
        log.opt(exception=error).error(
            "task {}/{} failed: {}", self.name, child.name, child.last_error
        )
        if len(child.restarts) > self._limit:
            raise RestartLimitError(f"{self.name}/{child.name}") from error

    def _find_pause(self, child: Child) -> float:
        doublings = max(0, len(child.restarts) - 1)
        return min(MAX_BACKOFF, INITIAL_BACKOFF * 2.0**doublings)

    def describe(self) -> dict[str, object]:
        """Return each task's state, for a dump."""
        return {
            child.name: {
                "state": child.state,
                "restarts": child.total_restarts,
                "last_error": child.last_error,
            }
            for child in self._children
        }
