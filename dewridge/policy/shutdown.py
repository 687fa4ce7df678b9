"""What a leaving host still accepts, and when it ends.

Made for rolling restarts and reclaims: callers use addresses that are seconds old, and
open connections until the process has ended, while streams last seconds. A request
that the exit cuts is lost to its caller; one that is refused at once is sent to another
host. So whether a request is accepted follows from the time that it may take at most,
not from how long such requests usually take.
"""

from dataclasses import dataclass, replace

OPEN_PERIOD = 3.0
"""Seconds from the signal in which streams are accepted that may outlast the process.
Callers with old addresses send few requests later, and operators allow only streams
sent by then to be cut."""
OPEN_SHARE = 0.35
"""Largest share of the grace period in which such streams are accepted. In a grace
period of 1 to 3 s, most streams that begin later are cut, and those that may not be
repeated are lost to callers whom another host would have served."""
SIGNAL_DELAY = 0.3
"""Seconds for which the signal may wait for a busy process. Operators count from when
they sent it."""
MAX_STALL_SHARE = 0.5
"""Largest share of the grace period by which a signal may have waited for a process
that stood still. It would have been killed after a whole one."""
EXIT_SHARE = 1 / 12
"""Share of the grace period that is left at the exit: half of the last sixth, before
which no running stream may be cut."""
MAX_EXIT_MARGIN = 0.6
"""Maximum seconds that are left at the exit, enough to end the process before it is
killed."""
STATUS_TIME = 0.3
"""Seconds before the exit in which requests without an answer get a status."""


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Times of a graceful shutdown on the monotonic clock.

    Attributes:
        started_at: when the signal was sent.
        open_until: until when streams are accepted that may outlast the process.
        answers_by: by when all other requests have to end.
        exits_at: when the process ends, whatever still runs.
    """

    started_at: float
    open_until: float
    answers_by: float
    exits_at: float

    def accepts(self, now: float, ends_by: float, stream_seconds: float | None) -> bool:
        """Return whether a request is accepted.

        Args:
            now: when it arrived.
            ends_by: when it ends at the latest.
            stream_seconds: how long streams of its kind take now; None if it is no
                stream.
        """
        if ends_by <= self.answers_by:
            return True
        if stream_seconds is None or now >= self.open_until:
            return False
        return now + stream_seconds <= self.exits_at

    def close(self, now: float) -> "ShutdownSchedule":
        """Return the schedule of a host that accepts nothing more."""
        return replace(self, open_until=now, answers_by=now)


def estimate_signal_time(
    now: float, checked_at: float, check_period: float, grace: float
) -> float:
    """Return when a signal was sent at the earliest that a process notices now.

    A process that stands still does not notice signals, while its grace period runs.

    Args:
        now: the time now.
        checked_at: when a periodic task last ran before the signal was noticed.
        check_period: seconds between two runs of that task.
        grace: seconds from the signal until the process is killed.
    """
    if now - checked_at <= check_period + SIGNAL_DELAY:
        return now
    return max(checked_at, now - MAX_STALL_SHARE * grace)


def schedule_shutdown(started_at: float, grace: float) -> ShutdownSchedule:
    """Return the times of a shutdown.

    Args:
        started_at: when the signal was sent.
        grace: seconds from the signal until the process is killed.
    """
    exits_at = started_at + grace - min(MAX_EXIT_MARGIN, EXIT_SHARE * grace)
    answers_by = exits_at - STATUS_TIME
    open_until = started_at + min(OPEN_PERIOD - SIGNAL_DELAY, OPEN_SHARE * grace)
    return ShutdownSchedule(started_at, open_until, answers_by, exits_at)
