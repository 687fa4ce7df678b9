"""Sends calls at their scheduled times, without waiting for earlier answers."""

import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import trio

from dewridge.load.mixes import Call
from dewridge.load.samples import RunReport, Sample
from dewridge.load.targets import SendCall

MAX_IN_FLIGHT = 5000
"""Most calls in flight. With more, the generator would be measured instead of the
system; calls above the limit are counted as not sent."""

PROGRESS_PERIOD_SECONDS = 5.0
NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class RunPlan:
    """Phases of a run.

    Attributes:
        seconds: time during which calls are sent and counted.
        warmup: seconds before it, during which calls are sent but not counted.
        answer_wait: seconds after it during which the generator waits for answers.
    """

    seconds: float
    warmup: float = 0.0
    answer_wait: float = 60.0


class LoadRun:
    """A run of the load generator."""

    def __init__(self, plan: RunPlan, send: SendCall, is_quiet: bool = False) -> None:
        self._plan = plan
        self._send = send
        self._is_quiet = is_quiet
        self._report = RunReport()
        self._in_flight = 0
        self._sent = 0
        self._started_at = 0.0

    async def run(self, calls: Iterable[Call]) -> dict[str, Any]:
        """Send all calls, and return the measured figures."""
        self._started_at = time.monotonic()
        cpu_before = time.process_time()
        plan = self._plan
        with trio.move_on_after(plan.warmup + plan.seconds + plan.answer_wait):
            async with trio.open_nursery() as progress:
                progress.start_soon(self._show_progress)
                async with trio.open_nursery() as nursery:
                    await self._send_calls(calls, nursery)
                progress.cancel_scope.cancel()
        elapsed = time.monotonic() - self._started_at
        figures = self._report.describe(self._plan.seconds)
        figures["generator_busy"] = (time.process_time() - cpu_before) / elapsed
        return figures

    async def _send_calls(self, calls: Iterable[Call], nursery: trio.Nursery) -> None:
        for call in calls:
            intended_at = self._started_at + call.at
            await trio.sleep(max(0.0, intended_at - time.monotonic()))
            sample = Sample(call.spec.operation, intended_at)
            if self._in_flight >= MAX_IN_FLIGHT:
                sample.outcome = NOT_SENT
                self._add_sample(sample)
                continue
            self._in_flight += 1
            nursery.start_soon(self._send_call, call, sample)

    async def _send_call(self, call: Call, sample: Sample) -> None:
        self._sent += 1
        sample.outcome = "no_answer"
        try:
            await self._send(call, sample)
        finally:
            self._in_flight -= 1
            self._add_sample(sample)

    def _add_sample(self, sample: Sample) -> None:
        if sample.intended_at >= self._started_at + self._plan.warmup:
            self._report.add(sample)

    async def _show_progress(self) -> None:
        while not self._is_quiet:
            await trio.sleep(PROGRESS_PERIOD_SECONDS)
            elapsed = time.monotonic() - self._started_at
            print(
                f"{elapsed:.0f} s: {self._sent} sent, {self._in_flight} open, "
                f"ended {self._report.outcomes}",
                file=sys.stderr,
                flush=True,
            )
