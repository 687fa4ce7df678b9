"""Makes calls at their times, whether or not earlier ones have been answered."""

import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import trio

from dewridge.load.mixes import Call
from dewridge.load.samples import Report, Sample
from dewridge.load.targets import Send

IN_FLIGHT_LIMIT = 5000
"""Calls open at once. Past it the generator, not the system, would be measured;
calls above it are counted as not sent."""
PROGRESS_SECONDS = 5.0
NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class RunPlan:
    """How a run goes.

    Attributes:
        seconds: time over which calls are sent and counted.
        warmup: seconds before it, whose calls are sent and not counted.
        patience: seconds after it that answers are waited for.
    """

    seconds: float
    warmup: float = 0.0
    patience: float = 60.0


class Run:
    """One run of the generator."""

    def __init__(self, plan: RunPlan, send: Send, is_quiet: bool = False) -> None:
        self._plan = plan
        self._send = send
        self._is_quiet = is_quiet
        self._report = Report()
        self._in_flight = 0
        self._sent = 0
        self._start = 0.0

    async def run(self, calls: Iterable[Call]) -> dict[str, Any]:
        """Make all calls and return the figures."""
        self._start = time.monotonic()
        busy = time.process_time()
        plan = self._plan
        with trio.move_on_after(plan.warmup + plan.seconds + plan.patience):
            async with trio.open_nursery() as progress:
                progress.start_soon(self._show_progress)
                async with trio.open_nursery() as nursery:
                    await self._send_all(calls, nursery)
                progress.cancel_scope.cancel()
        taken = time.monotonic() - self._start
        figures = self._report.describe(self._plan.seconds)
        figures["generator_busy"] = (time.process_time() - busy) / taken
        return figures

    async def _send_all(self, calls: Iterable[Call], nursery: trio.Nursery) -> None:
        for call in calls:
            intended = self._start + call.at
            await trio.sleep(max(0.0, intended - time.monotonic()))
            sample = Sample(call.shape.operation, intended)
            if self._in_flight >= IN_FLIGHT_LIMIT:
                sample.outcome = NOT_SENT
                self._add(sample)
                continue
            self._in_flight += 1
            nursery.start_soon(self._make, call, sample)

    async def _make(self, call: Call, sample: Sample) -> None:
        self._sent += 1
        sample.outcome = "no_answer"
        try:
            await self._send(call, sample)
        finally:
            self._in_flight -= 1
            self._add(sample)

    def _add(self, sample: Sample) -> None:
        if sample.intended >= self._start + self._plan.warmup:
            self._report.add(sample)

    async def _show_progress(self) -> None:
        while not self._is_quiet:
            await trio.sleep(PROGRESS_SECONDS)
            taken = time.monotonic() - self._start
            print(
                f"{taken:.0f} s: {self._sent} sent, {self._in_flight} open, "
                f"ended {self._report.outcomes}",
                file=sys.stderr,
                flush=True,
            )
