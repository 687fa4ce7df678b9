"""Log lines for entries that can't be read."""

from loguru import logger as log

from dewridge.sentinels import Failure

MAX_LOGGED = 200
"""Reasons that one log line each is written for: enough to find the writer, and a limit
on lines and memory if entries change often."""


class EntryFaults:
    """Logs each reason for which an entry can't be read once."""

    def __init__(self) -> None:
        self._logged: set[str] = set()

    def report(self, event: str, failure: Failure) -> None:
        """Log a failure unless its reason was logged before."""
        if failure.reason in self._logged or len(self._logged) >= MAX_LOGGED:
            return
        self._logged.add(failure.reason)
        log.bind(reason=failure.reason).error(event)
