"""Load shedding: refuses the least urgent requests while the engines are overloaded."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ramp:
    """Share of requests to refuse, rising linearly from 0 to 1 between two loads.

    Attributes:
        min_load: load in requests per slot up to which none are refused.
        max_load: load in requests per slot from which all are refused.
    """

    min_load: float
    max_load: float

    def compute_share(self, load: float) -> float:
        """Return the share of requests to refuse at a load in requests per slot."""
        return min(
            1.0, max(0.0, (load - self.min_load) / (self.max_load - self.min_load))
        )


SHEDDING_RAMPS = (Ramp(2.0, 3.5), Ramp(1.4, 2.2), Ramp(1.0, 1.5))
"""Ramps by urgency, most urgent first; the last one is for all lower urgencies. Engines
run one request per slot and queue the rest, most urgent first. With one queued request
per slot, the least urgent requests miss their deadline in the queue or are preempted
while they run, and the work done for them is wasted."""


def should_shed(
    in_flight: float, slots: int, urgency: int, random_number: float
) -> bool:
    """Return whether to refuse a request on arrival.

    Sheds load in the seconds after reclaims have removed more servers than can be
    replaced at once, under full traffic. Without it all classes of work slow down
    together: short requests wait until their deadline, long ones beside them complete
    late, and half of what the engines read is for requests that have already expired. A
    refused caller gets a retry time at once. The share of refusals rises gradually with
    the load, because hosts know the load with a delay and would otherwise alternate
    between refusing all requests and none.

    Args:
        in_flight: requests in flight to the service's servers from all hosts.
        slots: requests that these servers run concurrently.
        urgency: urgency of the route; 0 is the most urgent.
        random_number: random number from 0 to 1, excluding 1.
    """
    if slots <= 0:
        return False
    ramp = SHEDDING_RAMPS[min(urgency, len(SHEDDING_RAMPS) - 1)]
    return random_number < ramp.compute_share(in_flight / slots)
