"""When another host's word was surely still to be said."""

from collections import OrderedDict

from dewridge.gateway.reports import Report
from dewridge.ids import HostId

RETAINED_ROUNDS = 64
"""Own rounds whose time is kept: an echo older than that many says nothing of use."""


class SentReportTimes:
    """The times of this host's reports, to date the reports that answer them.

    A report may be read long after it was sent: this host was frozen, or is behind.
    Dated by its arrival, a confirmation of the configuration would look new, and a key
    that was taken away meanwhile would go on working. A report that names one of this
    host's own was made after that one was sent, whatever happened on the way.
    """

    def __init__(self, own: HostId, boot: int) -> None:
        self._local_host = own
        self._boot = boot
        self._sent_at: OrderedDict[int, float] = OrderedDict()

    def record_sent(self, number: int, at: float) -> None:
        """Note that a report is about to be sent; suspension counts in `at`."""
        self._sent_at[number] = at
        while len(self._sent_at) > RETAINED_ROUNDS:
            self._sent_at.popitem(last=False)

    def find_confirmation_time(self, report: Report) -> float | None:
        """Return when the sender's version was surely the newest; None if unknown."""
        boot, number = report.last_received.get(self._local_host, (0, 0))
        if boot != self._boot or number not in self._sent_at:
            return None
        return self._sent_at[number] - report.confirmed_age
