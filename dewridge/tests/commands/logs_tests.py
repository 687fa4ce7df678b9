"""Logs: one line for each message, plain or JSON, without input of callers."""

import json
import logging
from collections.abc import Iterator

import pytest
from loguru import logger as log

from dewridge.logs import set_up_logs
from dewridge.settings.common import LogSettings


@pytest.fixture(autouse=True)
def restore_logging() -> Iterator[None]:
    handlers = logging.root.handlers[:]
    yield
    log.remove()
    logging.root.handlers[:] = handlers


def test_tracebacks_do_not_print_the_values_of_variables(
    capsys: pytest.CaptureFixture[str],
) -> None:
    # A task fails while a variable contains a token. By default, loguru's tracebacks
    # print the values of variables beside each line.
    set_up_logs(LogSettings(format="json"))
    token = "".join(["very", "-", "secret"])
    try:
        len(token) / 0
    except ZeroDivisionError as error:
        log.opt(exception=error).error("a task failed")
    captured = capsys.readouterr().err
    line = json.loads(captured.splitlines()[0])
    assert (line["level"], line["message"]) == ("error", "a task failed")
    assert "ZeroDivisionError" in line["traceback"]
    assert "very-secret" not in captured


def test_arguments_of_library_log_calls_are_not_written(
    capsys: pytest.CaptureFixture[str],
) -> None:
    set_up_logs(LogSettings(level="debug"))
    logging.getLogger("some.library").warning("bad header %s", "very-secret")
    logging.getLogger("some.library").log(35, "an odd level")
    captured = capsys.readouterr().err
    assert "bad header %s" in captured and "very-secret" not in captured
    assert "an odd level" in captured
