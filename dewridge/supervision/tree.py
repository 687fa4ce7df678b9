"""Supervisors, which restart failed tasks."""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
from loguru import logger as log

TaskFunction = Callable[[], Awaitable[None]]
"""The body of a task. It opens its resources itself, on its own exit stack, since it
may run again after a failure."""

INITIAL_BACKOFF = 0.05
"""Seconds before the first restart. The delay doubles with each further failure within
the window, up to MAX_BACKOFF. Without it, a task that keeps failing immediately would
occupy a CPU core."""
MAX_BACKOFF = 2.0  # seconds


class RestartLimitError(Exception):
    """A task failed more often than its supervisor allows within the window."""


@dataclass
class Child:
    """A supervised task with its state and the times of its recent failures."""

    name: str
    run: TaskFunction
    restarts: deque[float] = field(default_factory=deque)
    total_restarts: int = 0
    last_error: str = ""
    state: str = "new"


class Supervisor:
    """Runs tasks concurrently and restarts the ones that fail.

    A task that returns is complete. A task that raises is restarted after a backoff.
    If it fails more often than the limit, the supervisor fails too, so that a fault
    that restarts do not cure propagates upwards and finally ends the process, which
    the platform then starts again.

    Attributes:
        limit_error: the first failure beyond the limit; None without one.
    """

    def __init__(
        self,
        name: str,
        restarts: int = 5,
        window: float = 60.0,
        on_limit: Callable[[], None] | None = None,
    ) -> None:
        """Create a supervisor without tasks.

        Args:
            name: name for logs.
            restarts: restarts of one task that are allowed within the window.
            window: seconds for which a restart counts.
            on_limit: called when a task exceeds the limit, in place of failing; its
                owner ends the process once the other tasks are not needed any more.
        """
        self.name = name
        self.limit_error: RestartLimitError | None = None
        self._limit = restarts
        self._window = window
        self._on_limit = on_limit
        self._children: list[Child] = []

    def add(self, name: str, run: TaskFunction) -> None:
        """Add a task; must be called before `run`."""
        self._children.append(Child(name, run))

    async def run(self) -> None:
        """Run all tasks until they are complete.

        Raises:
            RestartLimitError: a task failed too often, and there is no `on_limit`.
        """
        async with trio.open_nursery() as nursery:
            for child in self._children:
                nursery.start_soon(self._run_with_restarts, child)

    async def _run_with_restarts(self, child: Child) -> None:
        while True:
            child.state = "running"
            try:
                await child.run()
            except Exception as error:  # every failure leads to a restart
                self._record_failure(child, error)
            else:
                child.state = "ended"
                return
            await trio.sleep(self._compute_backoff(child))

    def _record_failure(self, child: Child, error: Exception) -> None:
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
        if len(child.restarts) <= self._limit:
            return
        limit_error = RestartLimitError(f"{self.name}/{child.name}")
        limit_error.__cause__ = error
        if self._on_limit is None:
            raise limit_error
        if self.limit_error is None:
            self.limit_error = limit_error
            self._on_limit()

    def _compute_backoff(self, child: Child) -> float:
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
