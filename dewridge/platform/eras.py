"""Eras of the store: each restore from an older copy starts a new one.

Revisions increase monotonically within an era. A restore resets them to those of the
copy, so revisions of different eras are not comparable.
"""

import time
from collections.abc import Callable

from loguru import logger as log

MAX_RESTORES = 1_000
"""Restores between two responses to one host. A larger increase is treated as
malformed: if it were accepted, every later response would be dropped as stale."""
MAX_ERA_DIGITS = 15


def parse_era(value: bytes) -> int | None:
    """Return the number of an era; None if it is malformed."""
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        return None
    return int(value)


class StoreEra:
    """The latest era seen in a response of the store.

    Attributes:
        number: the number of the era; 0 until a response carries one.
        seen_at: Unix time in seconds of its first response to this host.
        on_restored: callbacks to run whenever a known era is followed by a later one.
    """

    def __init__(self) -> None:
        self.number = 0
        self.seen_at = 0.0
        self.on_restored: list[Callable[[], None]] = []
        self._logged: set[str] = set()

    def has_followed(self, number: int) -> bool:
        """Return whether the store was restored since an era, if that was known.

        Leases are granted again after a restore: an id may name the lease of another
        host then.
        """
        return number not in {0, self.number}

    def accept(self, value: bytes | None) -> bool:
        """Process the era header of a response; return whether the response is valid.

        A response of an earlier era was in flight during a restore and is stale. A
        missing or malformed header is treated as the current era.
        """
        if value is None:
            return True
        number = parse_era(value)
        if number is None or (self.number and number > self.number + MAX_RESTORES):
            self._log_once("malformed era in an answer of the store", value)
            return True
        if number < self.number:
            self._log_once("stale answer of an earlier era dropped", value)
            return False
        if number > self.number:
            self._start_era(number)
        return True

    def _start_era(self, number: int) -> None:
        previous, self.number = self.number, number
        self.seen_at = time.time()
        if previous == 0:
            return
        log.bind(era=number, previous=previous).warning("store restored from a copy")
        for notify in self.on_restored:
            notify()

    def _log_once(self, event: str, value: bytes) -> None:
        if event not in self._logged:
            self._logged.add(event)
            log.bind(value=value[:40].decode("latin-1"), era=self.number).error(event)
