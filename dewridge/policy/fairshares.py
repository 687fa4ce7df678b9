"""Weighted max-min fair division of a capacity among client accounts."""

from collections.abc import Mapping
from itertools import accumulate
from typing import TypeVar

Name = TypeVar("Name", bound=str)

MIN_WEIGHT = 1e-9
"""Lower bound for weights; a weight of zero would be divided by."""


def compute_fair_amounts(
    demands: Mapping[Name, float], weights: Mapping[Name, float], capacity: float
) -> dict[Name, float]:
    """Return the amount that each account gets, at most its demand.

    All accounts that do not get their whole demand get the same amount per weight, and
    no account that gets its whole demand gets more per weight than these. What an
    account does not ask for is divided among the others.

    Args:
        demands: what each account asks for.
        weights: weight of each account; 1 for those without one.
        capacity: the amount to divide.
    """
    amounts = dict.fromkeys(demands, 0.0)
    left = max(0.0, capacity)
    by_need = sorted(
        (max(0.0, demand) / _get_weight(weights, name), name)
        for name, demand in demands.items()
    )
    # Sums from the end: a small weight left after subtractions would be inaccurate.
    remaining_weights = list(
        accumulate(_get_weight(weights, name) for _, name in reversed(by_need))
    )
    for (need, name), remaining in zip(
        by_need, reversed(remaining_weights), strict=True
    ):
        weight = _get_weight(weights, name)
        amounts[name] = min(need * weight, left * weight / remaining)
        left -= amounts[name]
    return amounts


def compute_served_shares(
    demands: Mapping[Name, float], weights: Mapping[Name, float], capacity: float
) -> dict[Name, float]:
    """Return the part of each account's demand that its fair amount covers."""
    amounts = compute_fair_amounts(demands, weights, capacity)
    return {
        name: min(1.0, amounts[name] / demand) if demand > 0 else 1.0
        for name, demand in demands.items()
    }


def _get_weight(weights: Mapping[Name, float], name: Name) -> float:
    return max(MIN_WEIGHT, weights.get(name, 1.0))
