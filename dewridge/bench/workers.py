"""Models of backend servers: a batching engine, and a server of a plain service."""

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from dewridge.ids import BackendServerId
from dewridge.policy.model import ServerView, Work, WorkClass

MAX_REPORT_TOKENS = 32
"""Most tokens of a stream between two reports; the first reports are closer together.
Reporting each token would slow the benchmark down without better decisions."""

PREFIX_SHARE = 0.6
"""Share of a prompt that is its cacheable prefix."""

MAX_CACHED_PREFIXES = 24
"""Prefixes in an engine's cache."""


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Speed of an engine.

    Attributes:
        step: seconds of a decoding step with an empty batch.
        step_stream: seconds that each stream in the batch adds to a step.
        prefill: prompt tokens processed in one step.
        prefill_token: seconds that each of them adds to the step.
    """

    step: float = 0.0072
    step_stream: float = 0.0001
    prefill: int = 512
    prefill_token: float = 0.00003


@dataclass(slots=True, eq=False)
class SimulatedAttempt:
    """One attempt of a request on a server.

    Attributes:
        target_tokens: generated tokens after which the attempt is complete.
        imported_tokens: tokens whose KV cache was imported from the earlier server.
        started_at: time at which it left the server's queue.
        is_retry: whether an earlier attempt of the request began to run.
        has_ended: whether it completed, was cancelled or was lost.
        recomputed_tokens: tokens of a retry that had to be computed again.
        decode_start_step: the engine's step count when decoding began.
    """

    work: Work
    target_tokens: int
    imported_tokens: int = 0
    is_retry: bool = False
    started_at: float | None = None
    has_ended: bool = False
    tokens: int = 0
    recomputed_tokens: int = 0
    decode_start_step: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """Progress of an attempt: its tokens so far, and whether it is complete."""

    attempt: SimulatedAttempt
    tokens: int
    is_done: bool


@dataclass(slots=True, eq=False)
class SimulatedServer:
    """State common to both kinds of servers.

    Attributes:
        slowdown: factor on all times.
        rejects_attempts: whether new attempts are rejected because the server is
            departing.
        is_removed: whether the server was reclaimed.
        reported_load: load in the last report that the entry hosts received.
        waiting: queue of attempts, ordered by priority and sequence number.
        sequence: last sequence number, which orders entries of equal rank.
    """

    view: ServerView
    slowdown: float = 1.0
    rejects_attempts: bool = False
    is_removed: bool = False
    reported_load: float = 0.0
    waiting: list[tuple[int, int, SimulatedAttempt]] = field(default_factory=list)
    running: set[SimulatedAttempt] = field(default_factory=set)
    sequence: int = 0

    @property
    def id(self) -> BackendServerId:
        """Return the server's id."""
        return self.view.id

    @property
    def load(self) -> float:
        """Return the number of waiting and running attempts."""
        return len(self.running) + sum(not item[2].has_ended for item in self.waiting)

    def enqueue(self, attempt: SimulatedAttempt) -> None:
        """Add an attempt to the server's queue, which runs interactive work first."""
        self.sequence += 1
        priority = int(attempt.work.work_class is WorkClass.BACKGROUND)
        heapq.heappush(self.waiting, (priority, self.sequence, attempt))

    def pop_waiting(self) -> SimulatedAttempt | None:
        """Remove and return the next attempt that has not ended, if any."""
        while self.waiting:
            attempt = heapq.heappop(self.waiting)[2]
            if not attempt.has_ended:
                return attempt
        return None


class SimulatedEngine(SimulatedServer):
    """A batching engine: each step generates one token for every running stream.

    Between two changes of the batch all steps take the same time. So the model
    advances a fractional step count at a constant rate, and needs an event only when
    a report is due.
    """

    def __init__(self, view: ServerView, spec: EngineSpec) -> None:
        super().__init__(view)
        self._spec = spec
        self._steps = 0.0
        self._advanced_to = 0.0
        self._prefill_queue: list[SimulatedAttempt] = []
        self._prefill_end_step = 0.0
        self._report_queue: list[tuple[float, int, SimulatedAttempt]] = []
        self._cache: OrderedDict[int, None] = OrderedDict()

    def accept(self, attempt: SimulatedAttempt, now: float) -> None:
        """Add an attempt to the queue, and start it if there is a free slot."""
        self._advance_steps(now)
        self.enqueue(attempt)
        self._start_waiting(now)

    def cancel(self, attempt: SimulatedAttempt, now: float) -> None:
        """Cancel an attempt, and set its tokens to those generated so far."""
        self._advance_steps(now)
        attempt.tokens = self._count_tokens(attempt)
        attempt.has_ended = True
        self.running.discard(attempt)
        if attempt in self._prefill_queue:
            was_first = self._prefill_queue[0] is attempt
            self._prefill_queue.remove(attempt)
            if was_first:
                self._start_prefill()
        self._start_waiting(now)

    def collect_reports(self, now: float) -> list[AttemptReport]:
        """Return the reports that are due."""
        self._advance_steps(now)
        reports: list[AttemptReport] = []
        if self._prefill_queue and self._steps >= self._prefill_end_step - 1e-9:
            self._complete_prefill(self._prefill_queue.pop(0), reports)
        while self._report_queue and self._report_queue[0][0] <= self._steps + 1e-9:
            _, _, attempt = heapq.heappop(self._report_queue)
            if not attempt.has_ended:
                self._add_report(attempt, reports)
        self._start_waiting(now)
        return reports

    def find_next_report_time(self) -> float | None:
        """Return when the next report is due if the batch does not change, or None."""
        while self._report_queue and self._report_queue[0][2].has_ended:
            heapq.heappop(self._report_queue)
        steps = [self._report_queue[0][0]] if self._report_queue else []
        if self._prefill_queue:
            steps.append(self._prefill_end_step)
        if not steps:
            return None
        remaining_steps = max(0.0, min(steps) - self._steps)
        return self._advanced_to + remaining_steps * self._compute_step_seconds()

    def _start_waiting(self, now: float) -> None:
        while len(self.running) < self.view.capacity:
            attempt = self.pop_waiting()
            if attempt is None:
                return
            self.running.add(attempt)
            attempt.started_at = now
            self._prefill_queue.append(attempt)
            if len(self._prefill_queue) == 1:
                self._start_prefill()

    def _start_prefill(self) -> None:
        if not self._prefill_queue:
            return
        attempt = self._prefill_queue[0]
        work = attempt.work
        cached_tokens = self._match_prefix(work)
        context_tokens = work.prompt_tokens + work.tokens_done
        computed_tokens = max(
            0,
            context_tokens
            - max(cached_tokens, min(attempt.imported_tokens, context_tokens)),
        )
        if attempt.is_retry:
            attempt.recomputed_tokens = computed_tokens
        self._prefill_end_step = self._steps + max(
            1.0, computed_tokens / self._spec.prefill
        )

    def _match_prefix(self, work: Work) -> int:
        if work.prefix == 0:
            return 0
        is_cached = work.prefix in self._cache
        self._cache[work.prefix] = None
        self._cache.move_to_end(work.prefix)
        if len(self._cache) > MAX_CACHED_PREFIXES:
            self._cache.popitem(last=False)
        return int(work.prompt_tokens * PREFIX_SHARE) if is_cached else 0

    def _complete_prefill(
        self, attempt: SimulatedAttempt, reports: list[AttemptReport]
    ) -> None:
        attempt.decode_start_step = self._steps - 1
        self._add_report(attempt, reports)
        self._start_prefill()

    def _add_report(
        self, attempt: SimulatedAttempt, reports: list[AttemptReport]
    ) -> None:
        attempt.tokens = self._count_tokens(attempt)
        is_done = attempt.tokens >= attempt.target_tokens
        reports.append(AttemptReport(attempt, attempt.tokens, is_done))
        if is_done:
            attempt.has_ended = True
            self.running.discard(attempt)
            return
        interval = min(attempt.tokens, MAX_REPORT_TOKENS)
        next_report_tokens = min(attempt.target_tokens, attempt.tokens + interval)
        self.sequence += 1
        report_step = (attempt.decode_start_step or 0.0) + next_report_tokens
        heapq.heappush(self._report_queue, (report_step, self.sequence, attempt))

    def _count_tokens(self, attempt: SimulatedAttempt) -> int:
        if attempt.decode_start_step is None:
            return 0
        return min(
            attempt.target_tokens, int(self._steps - attempt.decode_start_step + 1e-6)
        )

    def _compute_step_seconds(self) -> float:
        spec = self._spec
        seconds = spec.step + spec.step_stream * len(self.running)
        if self._prefill_queue:
            seconds += spec.prefill * spec.prefill_token
        return seconds * self.slowdown

    def _advance_steps(self, now: float) -> None:
        if now > self._advanced_to:
            if self.running:
                self._steps += (now - self._advanced_to) / self._compute_step_seconds()
            self._advanced_to = now


class SimulatedPlainServer(SimulatedServer):
    """A server of a plain service: runs calls concurrently, for random durations."""

    def __init__(self, view: ServerView, draw_seconds: Callable[[], float]) -> None:
        super().__init__(view)
        self._draw_seconds = draw_seconds
        self._completions: list[tuple[float, int, SimulatedAttempt]] = []

    def accept(self, attempt: SimulatedAttempt, now: float) -> None:
        """Add a call to the queue, and start it if there is a free slot."""
        self.enqueue(attempt)
        self._start_waiting(now)

    def cancel(self, attempt: SimulatedAttempt, now: float) -> None:
        """Cancel a call."""
        attempt.has_ended = True
        self.running.discard(attempt)
        self._start_waiting(now)

    def collect_reports(self, now: float) -> list[AttemptReport]:
        """Return the reports of the calls that have completed."""
        reports = []
        while self._completions and self._completions[0][0] <= now + 1e-9:
            attempt = heapq.heappop(self._completions)[2]
            if attempt.has_ended:
                continue
            attempt.has_ended = True
            attempt.tokens = 1
            self.running.discard(attempt)
            reports.append(AttemptReport(attempt, 1, True))
        self._start_waiting(now)
        return reports

    def find_next_report_time(self) -> float | None:
        """Return when the next call completes; None if none is running."""
        while self._completions and self._completions[0][2].has_ended:
            heapq.heappop(self._completions)
        return self._completions[0][0] if self._completions else None

    def _start_waiting(self, now: float) -> None:
        while len(self.running) < self.view.capacity:
            attempt = self.pop_waiting()
            if attempt is None:
                return
            self.running.add(attempt)
            attempt.started_at = now
            self.sequence += 1
            completed_at = now + self._draw_seconds() * self.slowdown
            heapq.heappush(self._completions, (completed_at, self.sequence, attempt))


AnyServer = SimulatedEngine | SimulatedPlainServer
