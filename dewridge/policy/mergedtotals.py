"""One running total told by several hosts, each counting from its own start."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from dewridge.ids import HostId

Name = TypeVar("Name", bound=str)
Source = tuple[HostId, int]
"""A start of a host."""


@dataclass
class _Base(Generic[Name]):
    """Where a source stood when it was first heard, and the totals then."""

    told: dict[Name, float]
    totals: dict[Name, float]


@dataclass
class MergedTotals(Generic[Name]):
    """The furthest that any source has come, counted once.

    Two hosts tell the same sum, so that the death of one leaves no gap. Their counts
    began at different times: each is laid on the total as of its first word, and only
    what goes beyond the total counts as growth.
    """

    totals: dict[Name, float] = field(default_factory=dict)
    _bases: dict[Source, _Base[Name]] = field(default_factory=dict)

    def record(self, source: Source, told: Mapping[Name, float]) -> dict[Name, float]:
        """Take over a source's totals; returns the growth by name."""
        base = self._bases.get(source)
        if base is None:
            self._drop_earlier_starts(source)
            self._bases[source] = _Base(dict(told), dict(self.totals))
            return {}
        growth = {}
        for name, value in told.items():
            reached = base.totals.get(name, 0.0) + value - base.told.get(name, 0.0)
            grown = reached - self.totals.get(name, 0.0)
            if grown > 0:
                self.totals[name] = reached
                growth[name] = grown
        return growth

    def _drop_earlier_starts(self, source: Source) -> None:
        host, _ = source
        self._bases = {key: base for key, base in self._bases.items() if key[0] != host}

    def reset_baselines(self) -> None:
        """Count no growth up to each source's next word."""
        self._bases.clear()


def find_growth(
    now: Mapping[Name, float], before: Mapping[Name, float]
) -> dict[Name, float]:
    """Return by how much totals have grown; those that have not are left out."""
    growth = {}
    for name, value in now.items():
        grown = value - before.get(name, 0.0)
        if grown > 0:
            growth[name] = grown
    return growth
