"""Simulated model engine: continuous batching in fixed steps, streamed tokens."""

import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum

import msgspec
import trio

from dewridge.standins.prefixcache import PrefixCache
from dewridge.standins.tokens import digest_prompt, make_token, split_prompt

MAX_LOG_ENTRIES = 200_000
MAX_CANCELLED_ATTEMPTS = 100_000
MAX_CACHE_EXPORTS = 1000
MAX_LOAD_SAMPLES = 2000


class EngineOptions(msgspec.Struct, frozen=True):
    """Options of a simulated engine.

    Attributes:
        step: seconds of one step, in which each running stream gets one token.
        prefill: prompt tokens computed in one step, summed over all streams.
        capacity: largest number of streams in the batch.
        queue: largest number of streams that wait to enter the batch.
        cache_tokens: capacity of the prefix cache in tokens.
        load_lag: age of the reported load in seconds.
        event_lag: delay in seconds until a cache event becomes visible.
        event_loss: fraction of the cache events that are lost.
        checks_fencing: whether orders with a stale fencing token are rejected.
    """

    step: float = 0.008
    prefill: int = 2048
    capacity: int = 8
    queue: int = 64
    cache_tokens: int = 65_536
    load_lag: float = 0.5
    event_lag: float = 0.5
    event_loss: float = 0.05
    checks_fencing: bool = True


class CompletionRequest(msgspec.Struct):
    """Body of a completion request; see docs/standins.md."""

    prompt: str
    max_tokens: int = 16
    attempt: str = ""
    key: str = ""
    account: str = ""
    model: str = ""
    operation: str = ""
    stream: bool = True
    priority: int = 0
    tokens_done: tuple[str, ...] = ()
    cache_salt: str = ""
    cache_handle: str | None = None


class Execution(msgspec.Struct):
    """One entry of the execution log."""

    at: float
    server: str
    operation: str
    key: str
    attempt: str
    account: str
    tokens_done: int
    tokens: int = 0
    state: str = "running"
    serial: str = ""


class StreamState(Enum):
    """State of a stream; an aborted stream also ends as `CANCELLED`."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class CacheExport(msgspec.Struct, frozen=True):
    """An exported KV cache, which another engine may import."""

    handle: str
    digest: int
    salt: str
    tokens: int


@dataclass(eq=False)
class EngineStream:
    """A completion that is waiting or running in the engine.

    Attributes:
        next_index: index of the next token in the answer.
        imported_tokens: tokens covered by an imported KV cache.
        remaining_prefill: tokens to compute before the next token of the answer.
        cached: prompt tokens found in the prefix cache.
        recomputed: tokens of prompt and answer computed again to resume an answer.
        sent_tokens: answer tokens sent so far, including those of earlier attempts.
        outbox: generated tokens that have not been sent yet.
        updated: set when there are new tokens or the stream has finished.
    """

    completion: CompletionRequest
    digest: int
    prompt: list[str]
    next_index: int
    execution: Execution
    imported_tokens: int = 0
    remaining_prefill: int = 0
    cached: int = 0
    recomputed: int = 0
    sent_tokens: int = 0
    outbox: deque[str] = field(default_factory=deque)
    state: StreamState = StreamState.WAITING
    updated: trio.Event = field(default_factory=trio.Event)

    def notify(self) -> None:
        """Wake the response that sends this stream's events."""
        self.updated.set()

    @property
    def is_finished(self) -> bool:
        """Whether no more tokens will be generated."""
        return self.state in (StreamState.DONE, StreamState.CANCELLED)


class Engine:
    """A simulated engine: its batch, caches, execution log and control state."""

    def __init__(self, name: str, services: tuple[str, ...], options: EngineOptions):
        self.name = name
        self.services = set(services)
        self.options = options
        self.leaving = False
        self.slowdown = 1.0
        self.role = "mixed"
        self.highest_fencing_token = 0
        self.cache = PrefixCache(
            options.cache_tokens, options.event_lag, options.event_loss
        )
        self.log: deque[Execution] = deque(maxlen=MAX_LOG_ENTRIES)
        self._waiting: list[EngineStream] = []
        self._running: list[EngineStream] = []
        self._cancelled: OrderedDict[str, None] = OrderedDict()
        self._exports: OrderedDict[str, CacheExport] = OrderedDict()
        self._load_samples: deque[tuple[float, int, int]] = deque(
            maxlen=MAX_LOAD_SAMPLES
        )
        self._work_available = trio.Event()

    async def run(self) -> None:
        """Run steps while streams wait or run; otherwise sleep until one arrives."""
        while True:
            if not (self._running or self._waiting):
                self._work_available = trio.Event()
                await self._work_available.wait()
            await trio.sleep(self.options.step * self.slowdown)
            self.step()

    def find_rejection(self, completion: CompletionRequest) -> tuple[int, str] | None:
        """Return status and error type if a request is rejected before it starts."""
        if self.leaving:
            return 503, "leaving"
        if completion.attempt in self._cancelled:
            return 409, "cancelled"
        if completion.model and completion.model not in self.services:
            return 404, "model_not_loaded"
        if completion.max_tokens < 1 or not completion.prompt:
            return 422, "invalid"
        if len(self._waiting) >= self.options.queue:
            return 503, "overloaded"
        return None

    def accept(
        self, completion: CompletionRequest, imported_tokens: int
    ) -> EngineStream:
        """Queue a completion that `find_rejection` did not reject."""
        done_count = len(completion.tokens_done)
        execution = Execution(
            time.time(),
            self.name,
            completion.operation,
            completion.key,
            completion.attempt,
            completion.account,
            done_count,
        )
        self.log.append(execution)
        stream = EngineStream(
            completion,
            digest_prompt(completion.prompt),
            split_prompt(completion.prompt),
            done_count,
            execution,
            imported_tokens,
            sent_tokens=done_count,
        )
        self._waiting.append(stream)
        self._waiting.sort(key=lambda waiting: waiting.completion.priority)
        self._work_available.set()
        self._record_load()
        return stream

    def step(self) -> None:
        """Fill the batch, run prefill, and generate a token for each ready stream."""
        while self._waiting and len(self._running) < self.options.capacity:
            self._start_stream(self._waiting.pop(0))
        budget = self.options.prefill
        for stream in list(self._running):
            computed = min(budget, stream.remaining_prefill)
            budget -= computed
            stream.remaining_prefill -= computed
            if stream.remaining_prefill == 0:
                self._generate_token(stream)
        self._record_load()

    def _start_stream(self, stream: EngineStream) -> None:
        salt = stream.completion.cache_salt
        total = len(stream.prompt) + stream.next_index
        stream.cached = self.cache.match(salt, stream.prompt)
        available = max(stream.cached, min(stream.imported_tokens, total))
        stream.remaining_prefill = total - available
        if stream.next_index:
            stream.recomputed = stream.remaining_prefill
        self.cache.store(salt, stream.prompt, time.time())
        stream.state = StreamState.RUNNING
        self._running.append(stream)

    def _generate_token(self, stream: EngineStream) -> None:
        stream.outbox.append(make_token(stream.digest, stream.next_index))
        stream.next_index += 1
        stream.execution.tokens += 1
        if stream.next_index >= stream.completion.max_tokens:
            self._finish_stream(stream, StreamState.DONE, "done")
        stream.notify()

    def _finish_stream(
        self, stream: EngineStream, state: StreamState, outcome: str
    ) -> None:
        if stream in self._running:
            self._running.remove(stream)
        if stream in self._waiting:
            self._waiting.remove(stream)
        stream.state = state
        stream.execution.state = outcome
        stream.notify()
        self._record_load()

    def abort(self, stream: EngineStream) -> None:
        """End a stream whose caller has disconnected."""
        if not stream.is_finished:
            self._finish_stream(stream, StreamState.CANCELLED, "aborted")

    def abort_all(self) -> None:
        """End all streams, as a crash of the process would."""
        for stream in self._running + self._waiting:
            self.abort(stream)

    def cancel(self, attempt: str) -> tuple[str, int]:
        """Cancel an attempt; if its request arrives later, it will be rejected.

        Returns:
            The attempt's state (`cancelled`, `done`, `aborted` or `unknown`) and the
            number of its tokens.
        """
        self._cancelled[attempt] = None
        while len(self._cancelled) > MAX_CANCELLED_ATTEMPTS:
            self._cancelled.popitem(last=False)
        stream = self._find_stream(attempt)
        if stream is not None:
            self._finish_stream(stream, StreamState.CANCELLED, "cancelled")
            return "cancelled", stream.next_index
        for execution in reversed(self.log):
            if execution.attempt == attempt:
                return execution.state, execution.tokens_done + execution.tokens
        return "unknown", 0

    def export_cache(self, attempt: str, address: str) -> CacheExport | None:
        """Export the KV cache of an attempt; None if it is not running."""
        stream = self._find_stream(attempt)
        if stream is None or stream.state is not StreamState.RUNNING:
            return None
        tokens = len(stream.prompt) + stream.next_index - stream.remaining_prefill
        handle = f"{address}/{attempt}"
        salt = stream.completion.cache_salt
        exported = CacheExport(handle, stream.digest, salt, tokens)
        self._exports[handle] = exported
        while len(self._exports) > MAX_CACHE_EXPORTS:
            self._exports.popitem(last=False)
        return exported

    def find_export(self, handle: str) -> CacheExport | None:
        """Return an exported KV cache; None if there is none with this handle."""
        return self._exports.get(handle)

    def execute_order(self, kind: str, subject: str, fence: int) -> bool:
        """Execute a control order; False if its fencing token is checked and stale."""
        if self.options.checks_fencing and fence < self.highest_fencing_token:
            return False
        self.highest_fencing_token = max(self.highest_fencing_token, fence)
        if kind == "load":
            self.services.add(subject)
        elif kind == "unload":
            self.services.discard(subject)
        elif kind == "role":
            self.role = subject
        return True

    def read_load(self) -> tuple[float, int, int]:
        """Return time, queued and running streams of `load_lag` seconds ago."""
        visible_until = time.time() - self.options.load_lag
        past = [load for load in self._load_samples if load[0] <= visible_until]
        return past[-1] if past else (visible_until, 0, 0)

    def _record_load(self) -> None:
        self._load_samples.append((time.time(), len(self._waiting), len(self._running)))

    def _find_stream(self, attempt: str) -> EngineStream | None:
        streams = self._running + self._waiting
        return next((s for s in streams if s.completion.attempt == attempt), None)
