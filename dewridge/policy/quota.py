"""Quotas of client accounts over all entry hosts: one token bucket, kept by each host.

Every host keeps the whole bucket and takes its own use and, a little later, the
others' out of it. Two things keep the sum below the limit without a call to anybody:
when all hosts together are asked for more than the bucket holds until their next news,
each lets only that part of the requests pass, by chance; and a host that is not heard
keeps its even share.
"""

from collections import defaultdict, deque
from dataclasses import dataclass

from dewridge.ids import ClientAccount, HostId

USED_TOLERANCE = 0.6
"""Part of the tolerance that operators allow over a quota which this system uses: the
rest is for requests that are on their way in two hosts at once."""
BURST_SLACK = 0.1
"""Part of the used slack that goes to the burst: an account without a burst of its own
needs some room for a single request."""
SHORTEST_WAIT = 0.1
"""Seconds after which a refused caller may come back at the earliest: one report."""
LONGEST_WAIT = 8.0
"""Seconds after which a refused caller is asked back at the latest."""
ASKED_SPAN = 1.0
"""Seconds over which the rate asked for is taken: shorter, single long prompts make it
jump; longer, an account that begins to send many times its usual is seen late."""
EARLY_KEPT = 30.0
"""Seconds for which others' use of an account that was not asked for here is kept; an
account that goes on using its quota so long has a bucket nearly as empty as any."""
OWN_SPEAKS_FOR = 8
"""Hosts at the most for which what is asked here stands as well, until their news
come. Callers spread over all hosts, so that a rise shows here at once; for a whole
large fleet one long prompt here would stand for one at each host."""


@dataclass(frozen=True, slots=True)
class Quota:
    """An account's limit: in any time t no more than `burst + rate * t` units."""

    rate: float
    burst: float
    after_restart: float = 0.0
    """Units in the bucket of a host that does not know what was used before: what the
    judged limit leaves over the bucket's own."""


def make_quota(
    rate: float, burst: float, overrun: float, slack: float, window: float
) -> Quota:
    """Return the bucket that keeps an account within what operators tolerate.

    They judge by windows: in any of them an account may use what its rate and its burst
    give, `overrun` more, and `slack` units besides. A bucket uses its burst once and
    its rate for the whole window, so that slack given as rate serves an account that
    asks for a little more than its quota all the time, and one whose quota was just
    lowered. Given as burst it was gone after the first second: one request in twenty of
    a calm day was refused within what operators allow.

    Args:
        rate: the account's, in units a second.
        burst: the account's, in units.
        overrun: part of the quota by which it may be exceeded.
        slack: units beyond that in a window.
        window: seconds.
    """
    tolerance = 1 + overrun * USED_TOLERANCE
    usable = slack * USED_TOLERANCE
    kept_for_bursts = usable * BURST_SLACK
    return Quota(
        rate * tolerance + (usable - kept_for_bursts) / window,
        burst * tolerance + kept_for_bursts,
        after_restart=slack - usable,
    )


@dataclass(frozen=True, slots=True)
class FleetView:
    """What a host knows of the other hosts when it judges.

    Attributes:
        hosts: entry hosts, this one included.
        silent: registered hosts that are not heard.
        staleness: seconds by which the others' news may lag.
    """

    hosts: int
    silent: int
    staleness: float

    @property
    def heard_part(self) -> float:
        """Part of the fleet that this host speaks for: itself and the heard ones."""
        return max(1, self.hosts - self.silent) / max(1, self.hosts)


class _Rate:
    """What is asked for a second, over the last `ASKED_SPAN`."""

    def __init__(self) -> None:
        self._amounts: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count what is asked."""
        self._amounts.append((now, amount))
        self._sum += amount

    def read(self, now: float) -> float:
        """Return units a second."""
        while self._amounts and self._amounts[0][0] < now - ASKED_SPAN:
            self._sum -= self._amounts.popleft()[1]
        return max(0.0, self._sum) / ASKED_SPAN


@dataclass
class _Bucket:
    """One account's bucket as this host sees it."""

    level: float
    filled_at: float
    heard_part: float = 1.0

    def fill(self, quota: Quota, heard_part: float, now: float) -> None:
        """Add what came in since the last look; give silent hosts their share."""
        if heard_part < self.heard_part and self.level > 0:
            # A host that was just cut off has the same level before its eyes, and
            # both sides would spend it.
            self.level *= heard_part / self.heard_part
        self.heard_part = heard_part
        grown = self.level + quota.rate * heard_part * max(0.0, now - self.filled_at)
        self.level = min(quota.burst * heard_part, grown)
        self.filled_at = now


class QuotaLedger:
    """The buckets of all accounts as one host keeps them.

    Attributes:
        usage_totals: units that each account used here since the start.
        demand_totals: units that each account asked for here since the start.
    """

    def __init__(
        self,
        own: HostId,
        *,
        starts_full: bool = True,
        started_at: float = float("inf"),
    ) -> None:
        """Open the ledger.

        Args:
            own: this host.
            starts_full: whether nothing can have been used before. After a restart
                nobody may remember what was; a bucket that starts nearly empty can't
                give an account its burst twice.
            started_at: steady time from which buckets fill; by default each one's
                first use.
        """
        self._own = own
        self._starts_full = starts_full
        self._started_at = started_at
        self._buckets: dict[ClientAccount, _Bucket] = {}
        self.usage_totals: dict[ClientAccount, float] = defaultdict(float)
        self.demand_totals: dict[ClientAccount, float] = defaultdict(float)
        self._early: dict[ClientAccount, deque[tuple[float, float]]] = defaultdict(
            deque
        )
        self._asked_here: dict[ClientAccount, _Rate] = defaultdict(_Rate)
        self._asked_elsewhere: dict[ClientAccount, _Rate] = defaultdict(_Rate)

    def record(
        self, host: HostId, account: ClientAccount, amount: float, now: float
    ) -> None:
        """Take use, this host's own or another's, out of the bucket."""
        bucket = self._buckets.get(account)
        if bucket is None:
            self._note_early(account, amount, now)
        else:
            bucket.level -= amount
        if host == self._own:
            self.usage_totals[account] += amount

    def record_remote_demand(
        self, account: ClientAccount, amount: float, now: float
    ) -> None:
        """Count what an account asked for at other hosts."""
        self._asked_elsewhere[account].add(amount, now)

    def find_wait(
        self,
        account: ClientAccount,
        amount: float,
        quota: Quota,
        now: float,
        fleet: FleetView,
        draw: float,
    ) -> float:
        """Return 0 if the use fits, else the seconds until it may.

        Made for an account that sends many times its usual over all hosts at once:
        unchecked it would take the engines from the others; checked by each host
        alone, it would get as many quotas as there are hosts. While more is asked at
        all hosts than the bucket holds until the next news, each request passes with
        the part that fits as its chance: all hosts see the same level, and would
        spend it all at once otherwise. Setting aside what the others may have used
        refused one request in fifty of accounts far below their quotas, since a long
        prompt here stood for one at every host.

        A request larger than the burst is let through a full bucket: else it could
        never run.

        Args:
            account: who asks.
            amount: units.
            quota: the account's.
            now: steady time.
            fleet: what is known of the other hosts.
            draw: a random number from 0 up to 1.
        """
        self.demand_totals[account] += amount
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._open_bucket(account, quota, now)
        bucket.fill(quota, fleet.heard_part, now)
        unheard = self._find_asked_rate(account, fleet, now) * fleet.staleness
        self._asked_here[account].add(amount, now)
        needed = min(amount, quota.burst * fleet.heard_part)
        left = bucket.level - needed
        if left >= 0 and left >= draw * unheard:
            return 0.0
        rate = max(quota.rate * fleet.heard_part, 1.0)
        missing = max(draw * unheard, 0.0) - left
        return min(LONGEST_WAIT, max(SHORTEST_WAIT, missing / rate))

    def _find_asked_rate(
        self, account: ClientAccount, fleet: FleetView, now: float
    ) -> float:
        """Return the units a second that the other heard hosts are asked for."""
        others = max(0, fleet.hosts - 1 - fleet.silent)
        here = self._asked_here[account].read(now)
        told = self._asked_elsewhere[account].read(now)
        return max(told, here * min(others, OWN_SPEAKS_FOR))

    def describe(self) -> dict[str, dict[str, float]]:
        """Return each account's bucket, for a dump."""
        return {
            account: {
                "level": round(bucket.level, 1),
                "used": self.usage_totals[account],
            }
            for account, bucket in self._buckets.items()
        }

    def find_level(self, account: ClientAccount) -> float:
        """Return the level of an account's bucket as of the last look."""
        bucket = self._buckets.get(account)
        return 0.0 if bucket is None else bucket.level

    def _note_early(self, account: ClientAccount, amount: float, now: float) -> None:
        early = self._early[account]
        early.append((now, amount))
        while early[0][0] < now - EARLY_KEPT:
            early.popleft()

    def _open_bucket(self, account: ClientAccount, quota: Quota, now: float) -> _Bucket:
        """Open an account's bucket as it is after the others' use until now.

        With many hosts an account's first request comes to some of them seconds after
        its first elsewhere. What was used meanwhile has been filled up again since;
        taken out of a full bucket at once, the account started with a debt there.
        """
        early = self._early.pop(account, deque())
        level = quota.burst if self._starts_full else quota.after_restart
        opened_at = min(self._started_at, early[0][0] if early else now)
        bucket = self._buckets[account] = _Bucket(level, opened_at)
        for used_at, amount in early:
            bucket.fill(quota, 1.0, used_at)
            bucket.level -= amount
        return bucket
