"""Logs of a gateway: JSON lines on standard output that never hold a request up."""

import os
import sys
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger as log

if TYPE_CHECKING:
    from loguru import Message

MAX_BACKLOG_BYTES = 262_144
"""Bytes kept while standard output takes nothing: some seconds of lines under load."""
ORDINARY_RATE = 200.0
"""Ordinary lines a second in the long run; a line costs about 60 us of processor time,
so that they stay near 1% of a core."""
TELLING_RATE = 800.0
"""Lines a second of refusals, failures and warnings: these are what somebody looks for
afterwards, so that they have an allowance of their own which successes can't use."""
BURST_SECONDS = 2.0
"""Seconds' worth of lines that may come at once."""
WARNING_LEVEL = 30
SERVER_ERROR = 500


class _Allowance:
    """A token bucket for one kind of lines."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate * BURST_SECONDS
        self._filled_at = 0.0

    def take(self, at: float) -> bool:
        """Take one line out if there is one."""
        grown = self._tokens + max(0.0, at - self._filled_at) * self._rate
        self._filled_at = at
        self._tokens = min(self._rate * BURST_SECONDS, grown)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LineWriter:
    """Writes lines without waiting; says how many it left out."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._backlog = bytearray()
        self._left_out = 0
        self._ordinary = _Allowance(ORDINARY_RATE)
        self._telling = _Allowance(TELLING_RATE)
        os.set_blocking(descriptor, False)

    def write(self, message: "Message") -> None:
        """Take one line from the logging library."""
        record = message.record
        extra = record["extra"]
        at = record["time"].timestamp()
        is_telling = record["level"].no >= WARNING_LEVEL or is_failure(extra)
        allowance = self._telling if is_telling else self._ordinary
        if not allowance.take(at):
            self._left_out += 1
            return
        line = {
            "time": round(at, 6),
            "level": record["level"].name.lower(),
            "part": record["name"],
            "event": record["message"],
            **extra,
        }
        if record["exception"] is not None:
            line["traceback"] = str(message).partition("\n")[2].strip()
        if self._left_out:
            line["lines_left_out"] = self._left_out
        self._push(msgspec.json.encode(line, enc_hook=str) + b"\n")

    def _push(self, line: bytes) -> None:
        if len(self._backlog) + len(line) > MAX_BACKLOG_BYTES:
            self._left_out += 1
            return
        self._left_out = 0
        self._backlog += line
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._backlog:
            try:
                written = os.write(self._descriptor, self._backlog)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no place left to tell it.
                self._backlog.clear()
                return
            del self._backlog[:written]


def is_failure(fields: dict[str, Any]) -> bool:
    """Whether a line tells of a refusal or a failure, of a server's own too."""
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
        # Its tracebacks print the values of variables: keys and prompts too.
        diagnose=False,
    )
    return writer
