"""What was learned lately and still has to be told to others."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class UpdateKind(Enum):
    """What a piece of news is about."""

    MEMBER = "member"
    RUMOR = "rumor"


@dataclass(frozen=True, slots=True)
class UpdateKey:
    """Names a piece of news; its content is looked up when it is sent."""

    kind: UpdateKind
    subject: str
    detail: str = ""


EXTRA_TRANSMISSIONS = 2
"""Sendings beyond the logarithm, for small groups, where one unlucky target is a
large part of all."""


PRESSING_LEAD = 2
"""Sendings by which pressing news lead. While all hosts of a deployment start, each
has hundreds of joins to tell; a suspicion and its refutation that waited their turn
behind those would come too late, and a healthy host be declared dead."""


def count_transmissions(multiplier: int, members: int) -> int:
    """Return how often one member tells one piece of news.

    When each member that heard it tells it k more times, e^-k of them stay
    without it. At 440 members and the default multiplier of 3 that is ten
    times, and on average 0.02 members are missed; comparing notes finds those.
    """
    return math.ceil(multiplier * math.log10(members + 1)) + EXTRA_TRANSMISSIONS


class UpdateQueue:
    """News still to be sent, that sent least often first."""

    def __init__(self) -> None:
        self._sent: dict[UpdateKey, int] = {}

    def add(self, key: UpdateKey, *, is_urgent: bool = False) -> None:
        """Start telling something anew; an earlier version is told no more.

        Args:
            key: what to tell.
            is_urgent: whether it goes before all that is not, and is told
                PRESSING_LEAD times more.
        """
        self._sent.pop(key, None)
        self._sent[key] = -PRESSING_LEAD if is_urgent else 0

    def drop(self, key: UpdateKey) -> None:
        """Stop telling something."""
        self._sent.pop(key, None)

    def select_for_message(
        self,
        size_of: Callable[[UpdateKey], int | None],
        size_limit: int,
        max_transmissions: int,
        known: frozenset[UpdateKey] = frozenset(),
    ) -> list[UpdateKey]:
        """Choose what goes into one message, and count it as sent.

        Args:
            size_of: bytes that an item takes; None if it is known no more.
            size_limit: bytes for all of them. One item larger than that still
                goes, alone, as it would never be sent otherwise.
            max_transmissions: sendings after which an item is news no more.
            known: what the receiver told just now; sent back it would be wasted.
        """
        chosen: list[UpdateKey] = []
        left = size_limit
        waiting = [key for key in self._sent if key not in known]
        for key in sorted(waiting, key=self._sent.__getitem__):
            size = size_of(key)
            if size is None:
                del self._sent[key]
            elif size <= left or not chosen:
                chosen.append(key)
                left -= size
            if left <= 0:
                break
        for key in chosen:
            self._sent[key] += 1
            if self._sent[key] >= max_transmissions:
                del self._sent[key]
        return chosen

    def __len__(self) -> int:
        return len(self._sent)
