"""Rate limit for the datagrams that a host sends on its network link.

A host sends a round of reports to many hosts at once. Without pauses the round would
overflow the send queue of a slow link, which drops the last datagrams of each round, so
that the same reports would never arrive.
"""

LINK_SHARE = 0.25
"""Share of the link's bandwidth for datagrams; the rest is for callers' traffic."""
DEFAULT_LINK_MBPS = 10.0
"""Assumed bandwidth in megabits per second of a link without a configured one."""
BURST_BYTES = 8_192
"""Bytes that are sent without a pause. Two large datagrams fit into the smallest send
queues, and a pause for each datagram would wake the process too often."""
BYTES_PER_MEGABIT = 125_000


def compute_datagram_rate(link_mbps: float) -> float:
    """Return the bytes per second for datagrams; `link_mbps` is 0 if unknown."""
    return LINK_SHARE * (link_mbps or DEFAULT_LINK_MBPS) * BYTES_PER_MEGABIT


class DatagramPacer:
    """Limits datagrams to a rate in bytes per second, with small bursts."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._sent_through = float("-inf")

    def compute_wait(self, now: float) -> float:
        """Return the seconds until a datagram may be sent.

        After a burst, waits until all of it has been sent at the rate. Waiting only
        until one more datagram fits would need a wake-up for each datagram.
        """
        backlog = self._sent_through - now
        return backlog if backlog * self.rate >= BURST_BYTES else 0.0

    def record_sent(self, size: int, now: float) -> None:
        """Record a sent datagram of `size` bytes."""
        self._sent_through = max(self._sent_through, now) + size / self.rate
