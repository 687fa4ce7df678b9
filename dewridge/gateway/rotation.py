"""Division of long lists over successive reports."""

from collections.abc import Sequence
from typing import TypeVar

Entry = TypeVar("Entry")


def select_part(entries: Sequence[Entry], number: int, size: int) -> list[Entry]:
    """Return the part of a list that the report with a given number contains.

    Args:
        entries: the whole list.
        number: sequence number of the report.
        size: maximum number of entries in a report.
    """
    begin = (number * size) % max(1, len(entries))
    return [*entries[begin:], *entries[:begin]][:size]
