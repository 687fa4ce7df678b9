"""Models of backend servers: an engine that batches, and a plain service."""

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from dewridge.ids import BackendServerId
from dewridge.policy.model import ServerView, Work, WorkClass

REPORT_TOKENS = 32
"""Tokens of a stream between two reports at most; the first are closer together. A
report a token would cost the bench its time and teach the decisions no more."""

PREFIX_SHARE = 0.6
"""Part of a prompt that its prefix makes up."""

CACHED_PREFIXES = 24
"""Prefixes that an engine keeps."""


@dataclass(frozen=True, slots=True)
class EngineShape:
    """How fast an engine is.

    Attributes:
        step: seconds of a step with an empty batch.
        step_stream: seconds that each stream in the batch adds to a step.
        prefill: prompt tokens computed in one step.
        prefill_token: seconds that each of them adds to the step.
    """

    step: float = 0.0072
    step_stream: float = 0.0001
    prefill: int = 512
    prefill_token: float = 0.00003


@dataclass(slots=True, eq=False)
class SimulatedAttempt:
    """One dispatch of a request, as a server sees it.

    Attributes:
        target: tokens after which it is done.
        imported: tokens whose KV cache came along.
        running_at: when it left the server's queue.
        is_repeat: whether an earlier attempt of the request began to run.
        recomputed: tokens of a repeat that had to be computed again.
        joined: count of the engine's steps when it began to decode.
    """

    work: Work
    target: int
    imported: int = 0
    is_repeat: bool = False
    running_at: float | None = None
    ended: bool = False
    tokens: int = 0
    recomputed: int = 0
    joined: float | None = None


@dataclass(frozen=True, slots=True)
class Report:
    """What a server says of an attempt: tokens so far, and whether it is done."""

    attempt: SimulatedAttempt
    tokens: int
    is_done: bool


@dataclass(slots=True, eq=False)
class SimulatedServer:
    """State common to both kinds of servers.

    Attributes:
        slowdown: factor on all times.
        refuses: whether new attempts are refused because it is leaving.
        reported_load: what the load report says at present, with its lag.
    """

    view: ServerView
    slowdown: float = 1.0
    refuses: bool = False
    is_gone: bool = False
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
        """Return the requests that wait and run now."""
        return len(self.running) + sum(not item[2].ended for item in self.waiting)

    def queue(self, attempt: SimulatedAttempt) -> None:
        """Put an attempt into the server's own queue, interactive first."""
        self.sequence += 1
        priority = int(attempt.work.work_class is WorkClass.BACKGROUND)
        heapq.heappush(self.waiting, (priority, self.sequence, attempt))

    def pop_waiting(self) -> SimulatedAttempt | None:
        """Take the next attempt from the queue."""
        while self.waiting:
            attempt = heapq.heappop(self.waiting)[2]
            if not attempt.ended:
                return attempt
        return None


class SimulatedEngine(SimulatedServer):
    """Batches streams: each step gives every running stream one token.

    Between two changes of the batch all steps take the same time, so the model
    counts steps as a real number that grows at a rate, and wakes only where a
    stream has something to report.
    """

    def __init__(self, view: ServerView, shape: EngineShape) -> None:
        super().__init__(view)
        self._shape = shape
        self._steps = 0.0
        self._at = 0.0
        self._prefills: list[SimulatedAttempt] = []
        self._prefill_end = 0.0
        self._milestones: list[tuple[float, int, SimulatedAttempt]] = []
        self._cache: OrderedDict[int, None] = OrderedDict()

    def accept(self, attempt: SimulatedAttempt, now: float) -> None:
        """Take an attempt into the queue."""
        self._advance(now)
        self.queue(attempt)
        self._fill(now)

    def cancel(self, attempt: SimulatedAttempt, now: float) -> None:
        """Stop an attempt."""
        self._advance(now)
        attempt.tokens = self._count_tokens(attempt)
        attempt.ended = True
        self.running.discard(attempt)
        if attempt in self._prefills:
            is_head = self._prefills[0] is attempt
            self._prefills.remove(attempt)
            if is_head:
                self._start_prefill()
        self._fill(now)

    def collect(self, now: float) -> list[Report]:
        """Return the reports that are due."""
        self._advance(now)
        reports: list[Report] = []
        if self._prefills and self._steps >= self._prefill_end - 1e-9:
            self._end_prefill(self._prefills.pop(0), reports)
        while self._milestones and self._milestones[0][0] <= self._steps + 1e-9:
            _, _, attempt = heapq.heappop(self._milestones)
            if not attempt.ended:
                self._report(attempt, reports)
        self._fill(now)
        return reports

    def find_next_time(self) -> float | None:
        """Return when the next report is due, if the batch stays as it is."""
        while self._milestones and self._milestones[0][2].ended:
            heapq.heappop(self._milestones)
        steps = [self._milestones[0][0]] if self._milestones else []
        if self._prefills:
            steps.append(self._prefill_end)
        if not steps:
            return None
        left = max(0.0, min(steps) - self._steps)
        return self._at + left * self._find_step()

    def _fill(self, now: float) -> None:
        while len(self.running) < self.view.capacity:
            attempt = self.pop_waiting()
            if attempt is None:
                return
            self.running.add(attempt)
            attempt.running_at = now
            self._prefills.append(attempt)
            if len(self._prefills) == 1:
                self._start_prefill()

    def _start_prefill(self) -> None:
        if not self._prefills:
            return
        attempt = self._prefills[0]
        work = attempt.work
        known = self._match_prefix(work)
        total = work.prompt_tokens + work.tokens_done
        computed = max(0, total - max(known, min(attempt.imported, total)))
        if attempt.is_repeat:
            attempt.recomputed = computed
        self._prefill_end = self._steps + max(1.0, computed / self._shape.prefill)

    def _match_prefix(self, work: Work) -> int:
        if work.prefix == 0:
            return 0
        known = work.prefix in self._cache
        self._cache[work.prefix] = None
        self._cache.move_to_end(work.prefix)
        if len(self._cache) > CACHED_PREFIXES:
            self._cache.popitem(last=False)
        return int(work.prompt_tokens * PREFIX_SHARE) if known else 0

    def _end_prefill(self, attempt: SimulatedAttempt, reports: list[Report]) -> None:
        attempt.joined = self._steps - 1
        self._report(attempt, reports)
        self._start_prefill()

    def _report(self, attempt: SimulatedAttempt, reports: list[Report]) -> None:
        attempt.tokens = self._count_tokens(attempt)
        is_done = attempt.tokens >= attempt.target
        reports.append(Report(attempt, attempt.tokens, is_done))
        if is_done:
            attempt.ended = True
            self.running.discard(attempt)
            return
        step = min(attempt.tokens, REPORT_TOKENS)
        following = min(attempt.target, attempt.tokens + step)
        self.sequence += 1
        milestone = (attempt.joined or 0.0) + following
        heapq.heappush(self._milestones, (milestone, self.sequence, attempt))

    def _count_tokens(self, attempt: SimulatedAttempt) -> int:
        if attempt.joined is None:
            return 0
        return min(attempt.target, int(self._steps - attempt.joined + 1e-6))

    def _find_step(self) -> float:
        shape = self._shape
        step = shape.step + shape.step_stream * len(self.running)
        if self._prefills:
            step += shape.prefill * shape.prefill_token
        return step * self.slowdown

    def _advance(self, now: float) -> None:
        if now > self._at:
            if self.running:
                self._steps += (now - self._at) / self._find_step()
            self._at = now


class SimulatedPlainServer(SimulatedServer):
    """Runs calls side by side, each for a time of its own."""

    def __init__(self, view: ServerView, draw: Callable[[], float]) -> None:
        super().__init__(view)
        self._draw = draw
        self._ends: list[tuple[float, int, SimulatedAttempt]] = []

    def accept(self, attempt: SimulatedAttempt, now: float) -> None:
        """Take a call into the queue."""
        self.queue(attempt)
        self._fill(now)

    def cancel(self, attempt: SimulatedAttempt, now: float) -> None:
        """Stop a call."""
        attempt.ended = True
        self.running.discard(attempt)
        self._fill(now)

    def collect(self, now: float) -> list[Report]:
        """Return the answers that are due."""
        reports = []
        while self._ends and self._ends[0][0] <= now + 1e-9:
            attempt = heapq.heappop(self._ends)[2]
            if attempt.ended:
                continue
            attempt.ended = True
            attempt.tokens = 1
            self.running.discard(attempt)
            reports.append(Report(attempt, 1, True))
        self._fill(now)
        return reports

    def find_next_time(self) -> float | None:
        """Return when the next answer is due."""
        while self._ends and self._ends[0][2].ended:
            heapq.heappop(self._ends)
        return self._ends[0][0] if self._ends else None

    def _fill(self, now: float) -> None:
        while len(self.running) < self.view.capacity:
            attempt = self.pop_waiting()
            if attempt is None:
                return
            self.running.add(attempt)
            attempt.running_at = now
            self.sequence += 1
            end = now + self._draw() * self.slowdown
            heapq.heappush(self._ends, (end, self.sequence, attempt))


AnyServer = SimulatedEngine | SimulatedPlainServer
