"""How fast a host's datagrams may follow each other on its own link.

A round of reports goes to many hosts at once. Sent without a pause it fills the queue
in front of a weak link, which drops what does not fit: each time the same last ones, so
that what they tell never arrives.
"""

LINK_SHARE = 0.25
"""Part of a link that datagrams may take for a time; the rest is for callers."""
UNKNOWN_LINK = 10.0
"""Megabits a second that a link is taken for whose bandwidth nobody told."""
BURST_BYTES = 8_192
"""Bytes that may go without a pause: two large datagrams fit into the smallest queues,
and a pause for each datagram would wake the process too often."""
BYTES_PER_MEGABIT = 125_000


def find_datagram_rate(link_mbps: float) -> float:
    """Return the bytes a second for datagrams; a link of 0 is not known."""
    return LINK_SHARE * (link_mbps or UNKNOWN_LINK) * BYTES_PER_MEGABIT


class DatagramPacer:
    """Keeps datagrams to a rate, in small bursts."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._sent_through = float("-inf")

    def find_wait(self, now: float) -> float:
        """Return the seconds until something may be sent.

        After a burst all of it must have gone at the rate: waiting for one datagram's
        room each time would take a wake-up for each of them.
        """
        backlog = self._sent_through - now
        return backlog if backlog * self.rate >= BURST_BYTES else 0.0

    def record_sent(self, size: int, now: float) -> None:
        """Count a datagram of some bytes as sent."""
        self._sent_through = max(self._sent_through, now) + size / self.rate
