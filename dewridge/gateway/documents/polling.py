"""When a host asks the store whether its configuration is still the newest."""

import random
from collections.abc import Callable
from dataclasses import dataclass

POLL_INTERVAL = 1.5
"""Seconds between two polls of a host without live peers. Watches bring most changes at
once; polls alone still meet the limit of 2 s that operators rely on."""
MAX_PERIOD_FACTOR = 2.4
"""Maximum factor by which the poll period grows with the number of live peers.

The polls of each host serve all hosts, which report their version to each other within
0.2 s. With the watches of all hosts silent, nine hosts that each poll every 3.5 s leave
1.5 s without a poll once in a hundred times. Polls cost 2% of the benefit of a day's
requests when each host used the shortest period."""
HOSTS_PER_EXTRA_PERIOD = 6.0
"""Live peers for each further `POLL_INTERVAL` that is added to the poll period."""
MIN_RECHECK_AGE = 0.6
"""Age of a confirmation in seconds below which no host asks for a new one."""
RECHECK_AGE_EXPONENT = 1.5
"""Exponent that shifts the random recheck ages towards lower ones. With a uniform
distribution, nine hosts left the configuration unconfirmed for two seconds once in two
hundred times; with this exponent once in ten thousand, for a third more calls."""
POLL_READ_SHARE = 0.3
"""Share of the store's reads per second available to the polls of all hosts."""
POLLS_PER_PERIOD = 3
"""Polls of each host in one poll period: configuration, servers and hosts."""


@dataclass(frozen=True, slots=True)
class PollPacing:
    """Computes the times between polls from the size of the fleet.

    Attributes:
        count_hosts: returns the number of hosts.
        count_live_peers: returns the number of other live hosts.
        reads_per_second: reads of the store that all hosts together may make.
        rng: random generator.
    """

    count_hosts: Callable[[], int]
    count_live_peers: Callable[[], int]
    reads_per_second: float
    rng: random.Random

    def compute_interval(self) -> float:
        """Return the seconds between polls.

        The period grows with the number of live peers, and keeps the polls of all hosts
        together within their share of the store's reads.
        """
        polls = POLLS_PER_PERIOD * self.count_hosts()
        factor = min(
            MAX_PERIOD_FACTOR, 1 + self.count_live_peers() / HOSTS_PER_EXTRA_PERIOD
        )
        min_period = polls / (POLL_READ_SHARE * self.reads_per_second)
        return max(POLL_INTERVAL * factor, min_period)

    def draw_recheck_age(self) -> float:
        """Return a random age of the confirmation at which to ask for a new one.

        A host that asks also confirms the version for the peers that receive its
        reports. With random ages the reads are spread over the period, and each host
        makes only a small share of them. Hosts that restarted together after a power
        loss and polled at fixed intervals all asked at the same time. An outage of the
        store just before the next poll then left their keys trusted for two seconds
        instead of four.
        """
        period = self.compute_interval()
        min_age = max(MIN_RECHECK_AGE, period / (1 + self.count_live_peers()))
        min_age = min(min_age, period)
        return float(
            min_age + (period - min_age) * self.rng.random() ** RECHECK_AGE_EXPONENT
        )
