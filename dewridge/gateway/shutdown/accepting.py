"""Which requests a leaving host still passes on to servers."""

import trio

from dewridge.codes import ResultCode
from dewridge.gateway.model import Route, RouteKind
from dewridge.gateway.state import GatewayState
from dewridge.sentinels import Failure

DEADLINE_SLACK = 0.1
"""Seconds past the deadline during which an answer may still be completed."""


def check_time_to_exit(
    state: GatewayState, route: Route, deadline: float
) -> Failure | None:
    """Return the refusal of a request that may not complete before this process exits.

    During a rolling restart, callers still use addresses of leaving hosts. A stream
    interrupted by the exit has run and may not be retried, while a caller that is
    rejected at once sends it to another host.

    Args:
        state: the state of this host.
        route: the route of the request.
        deadline: when the request is abandoned.
    """
    schedule = state.shutdown
    if schedule is None:
        return None
    now = trio.current_time()
    stream_seconds = None
    if route.kind is RouteKind.STREAM:
        stream_seconds = state.stream_lengths.estimate(route.name, now)
    if schedule.accepts(now, deadline + DEADLINE_SLACK, stream_seconds):
        return None
    return Failure(ResultCode.HOST_LEAVING, "this host is leaving", 0.0)
