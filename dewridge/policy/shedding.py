"""Refusing the least urgent work while model engines have more than they can run."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ramp:
    """Part of the requests refused, rising from none to all over a span of load.

    Attributes:
        begin: requests in flight for each slot at which refusals begin.
        end: the same from which all are refused.
    """

    begin: float
    end: float

    def find_share(self, load: float) -> float:
        """Return the part to refuse."""
        return min(1.0, max(0.0, (load - self.begin) / (self.end - self.begin)))


RAMPS = (Ramp(2.0, 3.5), Ramp(1.4, 2.2), Ramp(1.0, 1.5))
"""By urgency, the most urgent first; what is less urgent than all has the last one.
Engines run a request for each slot and queue the rest, the most urgent first: with one
request a slot waiting, the least urgent ones run out of time in the queue or are
preempted in the middle, and what was read for them is read in vain."""


def must_shed(in_flight: float, slots: int, urgency: int, draw: float) -> bool:
    """Return whether to refuse a request at once.

    Made for the seconds in which reclaims have taken more servers than can be replaced
    at once, under full traffic. Without it all kinds of work slow down together: short
    checks wait until their deadline, long drafts beside them come late, and half of
    what the engines read is read for requests that nobody waits for any more. A refused
    caller is told at once when to come back. Refusals rise with the load, since hosts
    know it late and would otherwise refuse all and nothing by turns.

    Args:
        in_flight: requests that all hosts have at the service's servers.
        slots: requests that these work on at once.
        urgency: of the route; 0 is the most urgent.
        draw: a random number from 0 up to 1.
    """
    if slots <= 0:
        return False
    ramp = RAMPS[min(urgency, len(RAMPS) - 1)]
    return draw < ramp.find_share(in_flight / slots)
