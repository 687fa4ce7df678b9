"""Logging of a gateway: JSON lines on standard output, written without blocking."""

import os
import sys
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger as log

if TYPE_CHECKING:
    from loguru import Message

MAX_BACKLOG_BYTES = 262_144
"""Bytes buffered while standard output accepts nothing: some seconds of lines under
load."""
ORDINARY_RATE = 200.0
"""Long-term limit of ordinary lines per second. A line costs about 60 us of processor
time, so they use about 1% of a core."""
PROBLEM_RATE = 800.0
"""Long-term limit of lines per second for refusals, failures and warnings. They are the
lines needed to investigate a problem, so they have a limit of their own that successful
requests can't use up."""
BURST_SECONDS = 2.0
"""Size of a burst, in seconds of the long-term rate."""
MAX_VALUE_CHARS = 1_000
"""Characters of a value. Callers may send ids as large as a request's head."""
WARNING_LEVEL = 30
"""Number of the logging library's level for warnings."""
SERVER_ERROR = 500
"""Lowest HTTP status of a server error."""


class _TokenBucket:
    """A token bucket that limits the rate of one kind of lines."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate * BURST_SECONDS
        self._filled_at = 0.0

    def try_consume(self, at: float) -> bool:
        """Consume a token for one line; return whether there was one."""
        refilled = self._tokens + max(0.0, at - self._filled_at) * self._rate
        self._filled_at = at
        self._tokens = min(self._rate * BURST_SECONDS, refilled)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LineWriter:
    """Writes log lines without blocking, and reports how many it omitted."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._backlog = bytearray()
        self._omitted = 0
        self._ordinary = _TokenBucket(ORDINARY_RATE)
        self._problems = _TokenBucket(PROBLEM_RATE)
        os.set_blocking(descriptor, False)

    def write(self, message: "Message") -> None:
        """Write one message of the logging library."""
        record = message.record
        extra = record["extra"]
        at = record["time"].timestamp()
        is_problem = record["level"].no >= WARNING_LEVEL or is_failure(extra)
        bucket = self._problems if is_problem else self._ordinary
        if not bucket.try_consume(at):
            self._omitted += 1
            return
        line = {
            "time": round(at, 6),
            "level": record["level"].name.lower(),
            "part": record["name"],
            "event": record["message"][:MAX_VALUE_CHARS],
            **{name: shorten(value) for name, value in extra.items()},
        }
        if record["exception"] is not None:
            line["traceback"] = str(message).partition("\n")[2].strip()
        if self._omitted:
            line["lines_left_out"] = self._omitted
        self._push(msgspec.json.encode(line, enc_hook=str) + b"\n")

    def _push(self, line: bytes) -> None:
        if len(self._backlog) + len(line) > MAX_BACKLOG_BYTES:
            self._omitted += 1
            return
        self._omitted = 0
        self._backlog += line
        self.flush()

    def flush(self) -> None:
        """Write as much of the backlog as standard output accepts now."""
        while self._backlog:
            try:
                written = os.write(self._descriptor, self._backlog)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, and there is nowhere else to log this.
                self._backlog.clear()
                return
            del self._backlog[:written]


def shorten(value: Any) -> Any:
    """Return a value without the end of a long text."""
    return value[:MAX_VALUE_CHARS] if isinstance(value, str) else value


def is_failure(fields: dict[str, Any]) -> bool:
    """Return whether a line reports a refusal, a failure or a lost attempt."""
    status = fields.get("status", 0)
    return bool(fields.get("code")) or status >= SERVER_ERROR or "loss" in fields


def set_up_logs(level: str, host: str) -> LineWriter:
    """Send all logs of this process to standard output as JSON lines."""
    writer = LineWriter(sys.stdout.fileno())
    log.remove()
    log.configure(extra={"host": host})
    log.add(
        writer.write,
        level=level.upper(),
        format="{message}",
        backtrace=False,
        # With `diagnose`, tracebacks would show variables, including keys and prompts.
        diagnose=False,
    )
    return writer
