"""Admission of a share of the requests without a random draw for each of them."""

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

MAX_CREDIT = 1.0
"""Credit that can be stored. With more, requests that arrive after a pause would be
admitted beyond their share."""
MAX_DEBT = 1.0
"""Credit that returning requests may use before it has accrued."""
MAX_KEYS = 4_096
"""Number of credits that are stored; all start anew beyond it."""


@dataclass
class AdmissionCredits(Generic[Key]):
    """Credits of this host, by key.

    Attributes:
        draw_random: returns a random number from 0 up to 1 for an initial credit.
            Hosts that all started with the same credit would admit and refuse at the
            same moments.
    """

    draw_random: Callable[[], float]
    _credits: dict[Key, float] = field(default_factory=dict)

    def admit(self, key: Key, share: float, *, is_returning: bool) -> bool:
        """Return whether to admit a request, given the share to admit of its key.

        A returning request uses credit that has not accrued yet, so that newer ones are
        refused in its place.
        """
        if share >= 1:
            return True
        credit = self._get(key) + max(0.0, share)
        needed = 1.0 - MAX_DEBT if is_returning and share > 0 else 1.0
        is_admitted = credit >= needed
        if is_admitted:
            credit -= 1.0
        self._credits[key] = min(MAX_CREDIT, credit)
        return is_admitted

    def _get(self, key: Key) -> float:
        credit = self._credits.get(key)
        if credit is None:
            if len(self._credits) >= MAX_KEYS:
                self._credits.clear()
            credit = self.draw_random()
        return credit
