"""Configures logging: plain text or JSON lines on standard error."""

import json
import logging
import sys
from typing import TYPE_CHECKING

from loguru import logger as log

if TYPE_CHECKING:
    from loguru import Message

    from dewridge.settings.common import LogSettings

PLAIN_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {name} {message}"


def set_up_logs(settings: "LogSettings") -> None:
    """Write all logs of this process to standard error, in the configured format."""
    log.remove()
    log.add(
        write_json if settings.format == "json" else sys.stderr,
        level=settings.level.upper(),
        format=PLAIN_FORMAT,
        backtrace=False,
        # Diagnostic tracebacks print the values of variables, such as tokens and
        # prompts.
        diagnose=False,
    )
    logging.basicConfig(
        handlers=[_LibraryLogHandler()], level=logging.WARNING, force=True
    )


def write_json(message: "Message") -> None:
    """Write a log message as one JSON object.

    The JSON format of loguru itself would include source file names.
    """
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


class _LibraryLogHandler(logging.Handler):
    """Forwards log records of libraries without arguments, which may contain input."""

    def emit(self, record: logging.LogRecord) -> None:
        """Forward a record to the log of this process."""
        exception_type = record.exc_info[0] if record.exc_info else None
        exception_name = exception_type.__name__ if exception_type else ""
        log.log(record.levelno, "{}: {} {}", record.name, record.msg, exception_name)
