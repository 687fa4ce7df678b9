"""Quotas of client accounts over all entry hosts: a token bucket replicated on each.

Every host has a replica of the full bucket. It subtracts its own usage at once, and the
usage at other hosts when they report it. Two rules keep the total below the limit
without a call to another host: while all hosts together have more demand than the
bucket holds until their next reports, each request is accepted only with a probability
that fits the level; and a host uses only the even shares of the hosts that it receives
reports from, itself included.
"""

import math
from collections import defaultdict, deque
from dataclasses import dataclass

from dewridge.ids import ClientAccount, HostId
from dewridge.policy.ratemeter import RateMeter

USABLE_TOLERANCE_SHARE = 0.6
"""Operators tolerate some usage above a quota; the buckets use this share of the
tolerance. The rest covers requests that are being accepted by two hosts at once."""
BURST_SLACK_SHARE = 0.1
"""Share of the usable slack that is added to the burst: an account with no burst of its
own needs some room for a single request."""
MIN_RETRY_WAIT = 0.1
"""Shortest wait in seconds that a refused caller is given: the interval of reports."""
MAX_RETRY_WAIT = 8.0
"""Longest wait in seconds that a refused caller is given."""
DEMAND_WINDOW = 1.0
"""Seconds over which a demand rate is averaged. Over less, single long prompts make it
jump; over more, an account that begins to send many times its usual demand is detected
late."""
EARLY_USAGE_RETENTION = 30.0
"""Seconds for which usage by other hosts is stored for an account without a bucket
here. An account that continues to use its quota for longer has a nearly empty bucket
anyway."""
MAX_EXTRAPOLATED_HOSTS = 8
"""Maximum number of other hosts that are assumed to have the same demand as this host
until their reports arrive. Callers spread over all hosts, so that a rise shows here at
once. Without the limit, one long prompt here would count once for each host of a large
fleet."""


@dataclass(frozen=True, slots=True)
class Quota:
    """Limit of an account: at most `burst + rate * t` units in any t seconds."""

    rate: float
    burst: float
    level_after_restart: float = 0.0
    """Additional units in the first `window` after the start of a host that does not
    know the earlier usage: the part of the tolerated slack that the bucket itself does
    not use. They are added over that time, as hosts may start several times in it."""
    window: float = 1.0
    """Seconds of a window by which usage is checked."""


def make_quota(
    rate: float, burst: float, overrun: float, slack: float, window: float
) -> Quota:
    """Return the bucket that keeps an account within what operators tolerate.

    Operators check usage by windows: in any window an account may use what its rate and
    its burst give, `overrun` more, and `slack` units besides. A bucket spends its burst
    once but its rate during the whole window. Slack added to the rate therefore serves
    an account that constantly asks for a little more than its quota, or whose quota was
    just lowered. Slack added to the burst was used up after the first second: one
    request in twenty of an ordinary day was refused although operators tolerate it.

    Args:
        rate: the account's rate in units per second.
        burst: the account's burst in units.
        overrun: share of the quota by which it may be exceeded.
        slack: units beyond that in a window.
        window: length of the window in seconds.
    """
    tolerance = 1 + overrun * USABLE_TOLERANCE_SHARE
    usable_slack = slack * USABLE_TOLERANCE_SHARE
    burst_slack = usable_slack * BURST_SLACK_SHARE
    return Quota(
        rate * tolerance + (usable_slack - burst_slack) / window,
        burst * tolerance + burst_slack,
        level_after_restart=slack - usable_slack,
        window=window,
    )


@dataclass(frozen=True, slots=True)
class FleetView:
    """What a host knows of the fleet when it checks a quota.

    Attributes:
        hosts: number of entry hosts, this one included.
        silent: number of registered hosts whose reports do not arrive.
        staleness: seconds by which the reports of the other hosts may lag.
    """

    hosts: int
    silent: int
    staleness: float

    @property
    def live_share(self) -> float:
        """Share of the fleet that is live, this host included."""
        return max(1, self.hosts - self.silent) / max(1, self.hosts)


@dataclass
class _Bucket:
    """This host's replica of one account's bucket."""

    level: float
    filled_at: float
    restarted_at: float = -math.inf
    live_share: float = 1.0

    def fill(self, quota: Quota, live_share: float, now: float) -> None:
        """Add the units since the last call, without the shares of silent hosts."""
        if live_share < self.live_share and self.level > 0:
            # A host that was just partitioned has a replica with the same level, and
            # both sides would spend it.
            self.level *= live_share / self.live_share
        self.live_share = live_share
        grown = self.level + quota.rate * live_share * max(0.0, now - self.filled_at)
        grown += self._compute_restart_units(quota, now)
        self.level = min(quota.burst * live_share, grown)
        self.filled_at = now

    def _compute_restart_units(self, quota: Quota, now: float) -> float:
        """Return the units of the first window after a start since the last call."""
        begin = max(self.filled_at, self.restarted_at)
        end = min(now, self.restarted_at + quota.window)
        return quota.level_after_restart * max(0.0, end - begin) / quota.window


def _make_meter() -> RateMeter:
    return RateMeter(DEMAND_WINDOW)


class QuotaLedger:
    """One host's replicas of the buckets of all accounts.

    Attributes:
        usage_totals: units that each account used at this host since startup.
        demand_totals: units that each account asked for at this host since startup.
    """

    def __init__(
        self,
        local_host: HostId,
        *,
        starts_full: bool = True,
        started_at: float = float("inf"),
    ) -> None:
        """Create a ledger without buckets.

        Args:
            local_host: this host.
            starts_full: whether there can't have been any usage before. After a restart
                possibly no host knows the earlier usage; a bucket that starts empty
                can't give an account its burst twice.
            started_at: monotonic time from which buckets fill; by default, each fills
                from its first use.
        """
        self._local_host = local_host
        self._starts_full = starts_full
        self._started_at = started_at
        self._buckets: dict[ClientAccount, _Bucket] = {}
        self.usage_totals: dict[ClientAccount, float] = defaultdict(float)
        self.demand_totals: dict[ClientAccount, float] = defaultdict(float)
        self._early_usage: dict[ClientAccount, deque[tuple[float, float]]] = (
            defaultdict(deque)
        )
        self._local_demand: dict[ClientAccount, RateMeter] = defaultdict(_make_meter)
        self._remote_demand: dict[ClientAccount, RateMeter] = defaultdict(_make_meter)

    def record(
        self, host: HostId, account: ClientAccount, amount: float, now: float
    ) -> None:
        """Subtract usage at this or another host from the account's bucket."""
        bucket = self._buckets.get(account)
        if bucket is None:
            self._record_early_usage(account, amount, now)
        else:
            bucket.level -= amount
        if host == self._local_host:
            self.usage_totals[account] += amount

    def record_unlimited(self, account: ClientAccount, amount: float) -> None:
        """Count units of an account without a quota, which has no bucket."""
        self.usage_totals[account] += amount
        self.demand_totals[account] += amount

    def record_remote_demand(
        self, account: ClientAccount, amount: float, now: float
    ) -> None:
        """Count units that an account asked for at other hosts."""
        self._remote_demand[account].add(amount, now)

    def compute_wait(
        self,
        account: ClientAccount,
        amount: float,
        quota: Quota,
        now: float,
        fleet: FleetView,
        random_number: float,
    ) -> float:
        """Return 0 if an account may use some units now, else the seconds to wait.

        An account may suddenly send many times its usual demand to all hosts at once.
        Without a quota it would occupy the engines that other accounts need; limited by
        each host alone, it would get one quota per host. While the demand at all hosts
        exceeds what the bucket holds until the next reports, each request is accepted
        with a probability equal to the part that fits: all hosts see the same level and
        would otherwise each spend it. Reserving what the other hosts may have used
        refused one request in fifty of accounts far below their quotas, since one long
        prompt here counted as one at every host.

        A request larger than the burst is accepted when the bucket is full, as it could
        otherwise never run.

        Args:
            account: the account that asks.
            amount: units that it asks for.
            quota: the account's quota.
            now: monotonic time.
            fleet: what is known of the other hosts.
            random_number: a random number from 0 up to 1.
        """
        self.demand_totals[account] += amount
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._open_bucket(account, quota, now)
        bucket.fill(quota, fleet.live_share, now)
        unreported = self._estimate_remote_demand(account, fleet, now) * fleet.staleness
        self._local_demand[account].add(amount, now)
        needed = min(amount, quota.burst * fleet.live_share)
        left = bucket.level - needed
        if left >= 0 and left >= random_number * unreported:
            return 0.0
        rate = max(quota.rate * fleet.live_share, 1.0)
        missing = max(random_number * unreported, 0.0) - left
        return min(MAX_RETRY_WAIT, max(MIN_RETRY_WAIT, missing / rate))

    def _estimate_remote_demand(
        self, account: ClientAccount, fleet: FleetView, now: float
    ) -> float:
        """Return the estimated demand at the other live hosts, in units per second."""
        others = max(0, fleet.hosts - 1 - fleet.silent)
        local = self._local_demand[account].compute_rate(now)
        reported = self._remote_demand[account].compute_rate(now)
        return max(reported, local * min(others, MAX_EXTRAPOLATED_HOSTS))

    def describe(self) -> dict[str, dict[str, float]]:
        """Return each account's bucket, for a dump of the state."""
        return {
            account: {
                "level": round(bucket.level, 1),
                "used": self.usage_totals[account],
            }
            for account, bucket in self._buckets.items()
        }

    def get_level(self, account: ClientAccount) -> float:
        """Return the level of an account's bucket when it was last filled."""
        bucket = self._buckets.get(account)
        return 0.0 if bucket is None else bucket.level

    def _record_early_usage(
        self, account: ClientAccount, amount: float, now: float
    ) -> None:
        early = self._early_usage[account]
        early.append((now, amount))
        while early[0][0] < now - EARLY_USAGE_RETENTION:
            early.popleft()

    def _open_bucket(self, account: ClientAccount, quota: Quota, now: float) -> _Bucket:
        """Create an account's bucket, with the usage by other hosts until now.

        In a large fleet an account's first request reaches some hosts seconds after its
        first request elsewhere, and what it used since has partly been refilled. The
        usage is therefore replayed in time: subtracted at once from a full bucket, it
        would give the account a negative initial level.
        """
        early = self._early_usage.pop(account, deque())
        opened_at = min(self._started_at, early[0][0] if early else now)
        bucket = self._buckets[account] = (
            _Bucket(quota.burst, opened_at)
            if self._starts_full
            else _Bucket(0.0, opened_at, restarted_at=opened_at)
        )
        for used_at, amount in early:
            bucket.fill(quota, 1.0, used_at)
            bucket.level -= amount
        return bucket
