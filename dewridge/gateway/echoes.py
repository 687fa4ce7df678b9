"""Lower bounds for the time at which a report of another host was made."""

from collections import OrderedDict

from dewridge.gateway.reports import Report
from dewridge.ids import HostId

RETAINED_ROUNDS = 64
"""Number of local rounds whose send times are kept: an answer to an older round is too
old to confirm anything."""


class SentReportTimes:
    """Send times of this host's reports, used to date the reports that answer them.

    A report may be processed long after it was sent, if this host was suspended or has
    a backlog. Dated by its arrival, an old confirmation of the configuration would look
    recent, and a revoked API key would continue to work. A report that names a report
    of this host was made after that one was sent, however long it was in transit.
    """

    def __init__(self, local_host: HostId, boot: int) -> None:
        self._local_host = local_host
        self._boot = boot
        self._sent_at: OrderedDict[int, float] = OrderedDict()

    def record_sent(self, number: int, at: float) -> None:
        """Record that a report is about to be sent.

        Args:
            number: sequence number of the report.
            at: time by a clock that also runs while the host is suspended.
        """
        self._sent_at[number] = at
        while len(self._sent_at) > RETAINED_ROUNDS:
            self._sent_at.popitem(last=False)

    def find_confirmation_time(self, report: Report) -> float | None:
        """Return a time at which the sender's configuration version was the newest.

        Returns None if the report answers no report whose send time is kept.
        """
        made_at = self.find_earliest_time(report)
        return None if made_at is None else made_at - max(0.0, report.confirmed_age)

    def find_earliest_time(self, report: Report) -> float | None:
        """Return the earliest time at which a report can have been made.

        Returns None if the report answers no report whose send time is kept.
        """
        boot, number = report.last_received.get(self._local_host, (0, 0))
        if boot != self._boot or number not in self._sent_at:
            return None
        return self._sent_at[number]
