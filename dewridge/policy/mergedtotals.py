"""Merges reports of the same running total, each counted since its sender started."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from dewridge.ids import HostId

Name = TypeVar("Name", bound=str)
Source = tuple[HostId, int]
"""A host and the boot number of its process: each process counts from zero."""


@dataclass
class _Baseline(Generic[Name]):
    """The first totals that a source reported, and the merged totals at that time."""

    reported: dict[Name, float]
    totals: dict[Name, float]


@dataclass
class MergedTotals(Generic[Name]):
    """Running totals merged from several sources without counting anything twice.

    Two hosts report the same sums, so that the crash of one leaves no gap. Their counts
    began at different times: the first report of each source is aligned with the merged
    totals, and a later one adds only what exceeds them.

    Attributes:
        totals: the merged totals.
        max_growth: growth in one report that is possible; more than that is ignored.
        ignored: number of totals that were ignored.
    """

    totals: dict[Name, float] = field(default_factory=dict)
    max_growth: float = float("inf")
    ignored: int = 0
    _baselines: dict[Source, _Baseline[Name]] = field(default_factory=dict)

    def record(
        self, source: Source, reported: Mapping[Name, float]
    ) -> dict[Name, float]:
        """Merge a source's totals; returns the growth of the merged totals by name.

        The first report of a source sets its baseline and adds nothing.
        """
        baseline = self._baselines.get(source)
        if baseline is None:
            self._drop_earlier_boots(source)
            self._baselines[source] = _Baseline(dict(reported), dict(self.totals))
            return {}
        growth = {}
        for name, value in reported.items():
            aligned = (
                baseline.totals.get(name, 0.0)
                + value
                - baseline.reported.get(name, 0.0)
            )
            increase = aligned - self.totals.get(name, 0.0)
            if increase > self.max_growth:
                # Aligned anew: otherwise the impossible total would hide the growth
                # that the source reports from now on, or be added by its next report.
                baseline.reported[name] = value
                baseline.totals[name] = self.totals.get(name, 0.0)
                self.ignored += 1
            elif increase > 0:
                self.totals[name] = aligned
                growth[name] = increase
        return growth

    def _drop_earlier_boots(self, source: Source) -> None:
        host, _ = source
        self._baselines = {
            key: baseline for key, baseline in self._baselines.items() if key[0] != host
        }

    def reset_baselines(self) -> None:
        """Drop all baselines, so that the next report of each source adds nothing."""
        self._baselines.clear()


def compute_growth(
    current: Mapping[Name, float], previous: Mapping[Name, float]
) -> dict[Name, float]:
    """Return by how much each total has grown; totals without growth are left out."""
    growth = {}
    for name, value in current.items():
        increase = value - previous.get(name, 0.0)
        if increase > 0:
            growth[name] = increase
    return growth
