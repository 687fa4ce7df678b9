"""Set-up of the logs: plain lines or JSON lines on standard error."""

import json
import logging
import sys
from typing import TYPE_CHECKING

from loguru import logger as log

if TYPE_CHECKING:
    from loguru import Message

    from dewridge.settings.schema import LogSettings

PLAIN = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {name} {message}"


def set_up_logs(settings: "LogSettings") -> None:
    """Send all logs of this process to standard error as the settings say."""
    log.remove()
    log.add(
        write_json if settings.format == "json" else sys.stderr,
        level=settings.level.upper(),
        format=PLAIN,
        backtrace=False,
        # Its tracebacks print the values of variables: tokens and prompts too.
        diagnose=False,
    )
    logging.basicConfig(handlers=[_Forwarder()], level=logging.WARNING, force=True)


def write_json(message: "Message") -> None:
    """Write a line as one JSON object; the library's own names source files."""
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name.lower(),
        "part": record["name"],
        "message": record["message"],
    }
    if record["exception"] is not None:
        line["traceback"] = str(message).partition("\n")[2].strip()
    sys.stderr.write(json.dumps(line) + "\n")


class _Forwarder(logging.Handler):
    """Passes on what libraries log, without arguments: they may hold input."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a library's record as a line of ours."""
        kind = record.exc_info[0] if record.exc_info else None
        fault = kind.__name__ if kind else ""
        log.log(record.levelno, "{}: {} {}", record.name, record.msg, fault)
