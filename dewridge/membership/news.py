"""Queue of recent updates that still have to be sent to other members."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class UpdateKind(Enum):
    """What an update is about."""

    MEMBER = "member"
    RUMOR = "rumor"


@dataclass(frozen=True, slots=True)
class UpdateKey:
    """Identifies an update; its content is looked up when it is sent.

    Attributes:
        kind: whether it is about a member or a rumor.
        subject: id of the member's host, or kind of the rumor.
        detail: subject of the rumor; empty for a member.
    """

    kind: UpdateKind
    subject: str
    detail: str = ""


EXTRA_TRANSMISSIONS = 2
"""Transmissions added to the logarithmic term. In a small group, a member that is
missed by chance is a large part of the group."""


PRIORITY_EXTRA_TRANSMISSIONS = 2
"""Extra transmissions of a prioritized update, which is also sent before others. When
all hosts of a deployment start, each has hundreds of joins to send. A suspicion and
its refutation that waited behind those would arrive too late, and a healthy host would
be declared dead."""


def count_transmissions(multiplier: int, members: int) -> int:
    """Return how often one member sends one update.

    If each member that receives an update sends it k times, a share of e^-k of the
    members misses it. At 440 members and the default multiplier of 3, k is ten, and
    on average 0.02 members are missed; they get it when states are compared.
    """
    return math.ceil(multiplier * math.log10(members + 1)) + EXTRA_TRANSMISSIONS


class UpdateQueue:
    """Updates still to be sent; those sent least often come first."""

    def __init__(self) -> None:
        self._sent: dict[UpdateKey, int] = {}

    def add(self, key: UpdateKey, *, is_prioritized: bool = False) -> None:
        """Queue an update; it replaces an earlier update with the same key.

        Args:
            key: the update.
            is_prioritized: whether it precedes other updates, and is sent
                PRIORITY_EXTRA_TRANSMISSIONS times more.
        """
        self._sent.pop(key, None)
        self._sent[key] = -PRIORITY_EXTRA_TRANSMISSIONS if is_prioritized else 0

    def drop(self, key: UpdateKey) -> None:
        """Remove an update from the queue."""
        self._sent.pop(key, None)

    def select_for_message(
        self,
        size_of: Callable[[UpdateKey], int | None],
        size_limit: int,
        max_transmissions: int,
        known: frozenset[UpdateKey] = frozenset(),
    ) -> list[UpdateKey]:
        """Choose the updates for one message, and count them as sent.

        Args:
            size_of: returns the bytes that an update takes; None if its subject is
                no longer known.
            size_limit: bytes for all updates. A single update larger than that is
                sent alone, because it would never be sent otherwise.
            max_transmissions: transmissions after which an update is dropped.
            known: updates that the receiver has just sent, which need not be
                returned to it.
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
