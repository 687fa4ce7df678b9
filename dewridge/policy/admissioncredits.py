"""Admission of a share of the requests without a random draw for each of them."""

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

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

    def admit(self, key: Key, share: float) -> bool:
        """Return whether to admit a request, given the share of such requests.

        Requests of different shares may use the same credit: each is admitted with a
        probability equal to its own share, as the credit reaches 1 with it that often.
        """
        if share >= 1:
            return True
        credit = self._get(key) + max(0.0, share)
        is_admitted = credit >= 1.0
        self._credits[key] = credit - 1.0 if is_admitted else credit
        return is_admitted

    def _get(self, key: Key) -> float:
        credit = self._credits.get(key)
        if credit is None:
            if len(self._credits) >= MAX_KEYS:
                self._credits.clear()
            credit = self.draw_random()
        return credit
