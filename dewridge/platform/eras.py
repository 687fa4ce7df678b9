"""Eras of the store: each restore from an older copy begins a new one.

Revisions increase monotonically within an era. A restore resets them to those of the
copy, so revisions of different eras are not comparable.
"""

from collections.abc import Callable

from loguru import logger as log

MOST_RESTORES = 1_000
"""Restores between two answers to one host. A larger step is treated as malformed:
accepted, it would make every later answer a stale one."""
MOST_DIGITS = 15


def parse_era(value: bytes) -> int | None:
    """Return the number of an era; None if it is malformed."""
    if not value.isdigit() or len(value) > MOST_DIGITS:
        return None
    return int(value)


class StoreEra:
    """The latest era seen in an answer of the store.

    Attributes:
        number: the number of the era; 0 until an answer carries one.
        on_restored: callbacks to run whenever a known era is followed by a later one.
    """

    def __init__(self) -> None:
        self.number = 0
        self.on_restored: list[Callable[[], None]] = []
        self._logged: set[str] = set()

    def accept(self, value: bytes | None) -> bool:
        """Process the era header of an answer; return whether the answer is valid.

        An answer of an earlier era was in flight during a restore and is stale. A
        missing or malformed header is treated as the current era.
        """
        if value is None:
            return True
        number = parse_era(value)
        if number is None or (self.number and number > self.number + MOST_RESTORES):
            self._log_once("malformed era in an answer of the store", value)
            return True
        if number < self.number:
            self._log_once("stale answer of an earlier era dropped", value)
            return False
        if number > self.number:
            self._begin(number)
        return True

    def _begin(self, number: int) -> None:
        previous, self.number = self.number, number
        if previous == 0:
            return
        log.bind(era=number, previous=previous).warning("store restored from a copy")
        for notify in self.on_restored:
            notify()

    def _log_once(self, event: str, value: bytes) -> None:
        if event not in self._logged:
            self._logged.add(event)
            log.bind(value=value[:40].decode("latin-1"), era=self.number).error(event)
