"""Backend servers that one entry host sends a service's requests to."""

import random
from collections.abc import Sequence
from typing import Any

import xxhash

from dewridge.configuration.model import LatencyTargets
from dewridge.ids import BackendServerId, FailureDomain, RequestId
from dewridge.policy.cost import compute_slot_price
from dewridge.policy.credits import MIN_LIMIT, Health, ServerCredits
from dewridge.policy.model import AttemptOutcome, ServerView, WorkClass
from dewridge.policy.reserve import Reserve
from dewridge.policy.subsets import choose_subset, compute_hosts_per_server
from dewridge.policy.usual import LatencyModel

REFRESH_INTERVAL = 0.1
"""Seconds between two checks of all servers of the subset. A server that turned slow
gets work for this long at most; a check costs some tens of microseconds."""

MAX_OVERDRAFT_SHARE = 0.5
"""Share by which interactive work may exceed the credits, as far as background work
holds them. A larger one would only move the queue into the engines."""

NOTICE_PERIOD = 60.0
"""Seconds for which a failure domain counts as under notice after its last reclaim
notice. Reclaims come in waves, so that the next one is likely where the last one
was."""


class Servers:
    """Views of all servers of a service, and credits for the subset in use.

    Attributes:
        records: credits by server, for the subset and for other servers in use.
        subset: records of the servers that this host uses.
        fleet: views of all servers that are not leaving.
        latency_model: typical latencies of the subset.
        mean_in_flight: mean of this host's requests per healthy server of the subset.
        total_limit: sum of the credits of the healthy servers of the subset.
        has_suspended: whether a server of the subset is suspended.
        newly_slow: servers that turned slow since the last `pop_slow_servers`.
        in_flight: this host's requests at all servers.
        background: those of them that are background work.
        reserve: estimates the credits to reserve for interactive work.
        min_price: lowest price of a slot in the subset.
    """

    def __init__(
        self, targets: LatencyTargets, is_plain_service: bool, rng: random.Random
    ) -> None:
        self.records: dict[BackendServerId, ServerCredits] = {}
        self.subset: list[ServerCredits] = []
        self.fleet: list[ServerView] = []
        self.latency_model = LatencyModel(targets, is_plain_service)
        self.mean_in_flight = 0.0
        self.total_limit = 0.0
        self.has_suspended = False
        self.newly_slow: list[BackendServerId] = []
        self.in_flight = 0
        self.background = 0
        self.reserve = Reserve()
        self._rng = rng
        self._host_index = 0
        self._host_count = 1
        self._target_subset_size = 12
        self._hosts_per_server = 1.0
        self._views: dict[BackendServerId, ServerView] = {}
        self._available_ids: frozenset[BackendServerId] = frozenset()
        self._notices: dict[FailureDomain, float] = {}
        self._refresh_at = 0.0
        self.min_price = 0.0

    def configure(self, targets: LatencyTargets, target_size: int) -> None:
        """Apply a profile's latency targets and subset size."""
        self.latency_model.set_targets(targets)
        if target_size != self._target_subset_size:
            self._target_subset_size = target_size
            self._choose_subset()

    def set_hosts(self, host_index: int, host_count: int) -> None:
        """Set this host's index among the entry hosts, and their number."""
        if (host_index, host_count) != (self._host_index, self._host_count):
            self._host_index = host_index
            self._host_count = host_count
            self._choose_subset()

    def update(self, views: Sequence[ServerView], now: float) -> None:
        """Replace the views of all servers.

        A server known to be leaving stays marked as such, also when an older, lagging
        list does not say so: new requests sent there would be lost.
        """
        updated = {}
        for view in views:
            known = self._views.get(view.id)
            if view.leaving_at is not None and (
                known is None or known.leaving_at is None
            ):
                self._notices[view.failure_domain] = now
            updated[view.id] = view
            if known is not None and known.leaving_at is not None:
                updated[view.id] = _mark_leaving(view, known.leaving_at)
            record = self.records.get(view.id)
            if record is not None:
                record.view = updated[view.id]
        for removed in self._views.keys() - updated.keys():
            self._drop_idle_record(removed)
        self._views = updated
        self.fleet = [view for view in updated.values() if view.leaving_at is None]
        available = frozenset(view.id for view in self.fleet)
        if available != self._available_ids:
            self._available_ids = available
            self._choose_subset()

    def handle_leaving(
        self, server: BackendServerId, leaving_at: float, now: float
    ) -> None:
        """Stop sending new requests to a server that is leaving."""
        view = self._views.get(server)
        if view is None:
            return
        view = _mark_leaving(view, leaving_at)
        self._notices[view.failure_domain] = now
        self._views[server] = view
        record = self.records.get(server)
        if record is not None:
            record.view = view
        self.fleet = [other for other in self.fleet if other.id != server]
        self._available_ids -= {server}
        self._choose_subset()

    def find(self, server: BackendServerId) -> ServerCredits | None:
        """Return a server's record, created if missing; None for an unknown server."""
        record = self.records.get(server)
        view = self._views.get(server)
        if record is None and view is not None:
            record = self._make_record(view)
        return record

    def acquire(
        self,
        record: ServerCredits,
        request: RequestId,
        work_class: WorkClass,
        now: float,
    ) -> None:
        """Use a credit of a server for a dispatch."""
        record.acquire(request, work_class, now)
        self.in_flight += 1
        self.background += work_class is WorkClass.BACKGROUND

    def release(
        self, record: ServerCredits, request: RequestId, work_class: WorkClass
    ) -> None:
        """Free the credit of a request that completed or failed."""
        record.release(request, work_class)
        self.in_flight -= 1
        self.background -= work_class is WorkClass.BACKGROUND

    def has_total_credit(self, work_class: WorkClass, share: float) -> bool:
        """Whether this host's credits in total allow one more request of a class.

        Credits are fractions, and rounded up for each server; this limit on their sum
        keeps many hosts from rounding up at once. The reserve for interactive work is
        taken from the sum as well: with few credits per server, no full credit could be
        reserved on each.
        """
        total = max(1.0, self.total_limit)
        if work_class is WorkClass.BACKGROUND:
            reserved = self.compute_reserved_share(share) * total
            max_background = max(1.0, total - reserved)
            return self.in_flight < total and self.background < max_background
        # Background requests may hold all credits of this host while those of other
        # hosts are unused. Engines run interactive requests first, so that a few beyond
        # the credits start sooner than the next background request here would end.
        extra = min(MAX_OVERDRAFT_SHARE * total, self.background)
        return self.in_flight < total + extra

    def compute_reserved_share(self, share: float) -> float:
        """Return the share of the credits to reserve for interactive work.

        Args:
            share: upper limit of the result.
        """
        total = max(1.0, self.total_limit)
        return self.reserve.compute_credits(share * total) / total

    def is_under_notice(self, domain: FailureDomain, now: float) -> bool:
        """Whether a reclaim was recently announced for a server of a domain."""
        noticed_at = self._notices.get(domain)
        return noticed_at is not None and now - noticed_at < NOTICE_PERIOD

    def record_first_token(
        self,
        server: BackendServerId,
        request: RequestId,
        work_class: WorkClass,
        now: float,
    ) -> None:
        """Update latencies and credits by the first token of a request."""
        record = self.records.get(server)
        if record is None:
            return
        sample = record.record_first_token(request, work_class, now)
        if sample is None:
            return
        self.latency_model.record_sample(now)
        if record.probe == request:
            self._handle_probe_result(record, sample, now)
        elif record.health is Health.GOOD:
            self.latency_model.adjust_credits(record, sample, work_class, now)

    def handle_attempt_end(
        self,
        record: ServerCredits,
        request: RequestId,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Update a server's record by the outcome of an attempt."""
        if outcome is AttemptOutcome.LOST:
            record.record_failure(now, self._rng.random())
        elif outcome is AttemptOutcome.NOT_STARTED:
            record.record_refusal(request, now, self._rng.random())
        else:
            record.drop_probe(request)

    def rest(self, server: BackendServerId, seconds: float, now: float) -> None:
        """Send nothing to a server that turned a request away and asked for rest."""
        record = self.records.get(server)
        if record is not None:
            record.rest(seconds, now)
            self._refresh_at = 0.0

    def refresh(self, now: float) -> None:
        """Check all servers of the subset, at most once per `REFRESH_INTERVAL`."""
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_INTERVAL
        self._update_estimates(now)
        # A single server has no others to be compared with, or to take over its work.
        if len(self.subset) > 1:
            self._suspend_slow(now)
        healths = [record.health for record in self.subset]
        self.has_suspended = Health.SUSPENDED in healths

    def _suspend_slow(self, now: float) -> None:
        for record in self.subset:
            is_suspended = record.health is Health.SUSPENDED
            if not is_suspended and self.latency_model.is_slow(record, now):
                record.suspend(now, self._rng.random())
                self.newly_slow.append(record.view.id)

    def pop_slow_servers(self) -> list[BackendServerId]:
        """Return and clear the servers that turned slow since the last call."""
        if not self.newly_slow:
            return []
        slow, self.newly_slow = self.newly_slow, []
        return slow

    def find_probe_time(self, now: float) -> float | None:
        """Return when the next suspended server may be probed, or None."""
        times = [
            record.retry_at
            for record in self.subset
            if record.health is Health.SUSPENDED and record.retry_at > now
        ]
        return min(times, default=None)

    def describe(self) -> dict[str, Any]:
        """Return the state of each server of the subset, for a dump."""
        return {
            record.view.id: {
                "health": record.health.value,
                "limit": round(record.limit, 2),
                "in_flight": record.in_flight,
                "first_token": round(record.first_token, 4),
                "token_time": round(record.token_time, 5),
                "leaving_at": record.view.leaving_at,
            }
            for record in self.subset
        }

    def _update_estimates(self, now: float) -> None:
        good = [r for r in self.subset if r.health is Health.GOOD]
        self.latency_model.update(good)
        self.total_limit = sum(r.limit for r in good)
        self.mean_in_flight = sum(r.in_flight for r in good) / max(1, len(good))
        self.reserve.decay(now)

    def _handle_probe_result(
        self, record: ServerCredits, sample: float, now: float
    ) -> None:
        if self.latency_model.is_good(sample):
            record.recover(sample)
        else:
            record.suspend(now, self._rng.random())
            self.newly_slow.append(record.view.id)

    def _choose_subset(self) -> None:
        self._hosts_per_server = compute_hosts_per_server(
            self.fleet, self._host_count, self._target_subset_size
        )
        views = choose_subset(
            self.fleet, self._host_index, self._host_count, self._target_subset_size
        )
        self.subset = [self.records.get(v.id) or self._make_record(v) for v in views]
        for record in self.subset:
            record.set_share(self._compute_share(record.view))
        self._refresh_at = 0.0
        prices = [compute_slot_price(view) for view in views]
        self.min_price = min(prices, default=0.0)
        chosen = {view.id for view in views}
        for server, record in list(self.records.items()):
            if server not in chosen and record.in_flight == 0:
                del self.records[server]

    def _make_record(self, view: ServerView) -> ServerCredits:
        # The initial limit is this host's share of the server's capacity, so that all
        # hosts together start at what the server can run and not above it.
        share = self._compute_share(view)
        record = ServerCredits(
            view, share, share, xxhash.xxh3_64_intdigest(view.id.encode())
        )
        self.records[view.id] = record
        return record

    def _compute_share(self, view: ServerView) -> float:
        return max(MIN_LIMIT, view.capacity / self._hosts_per_server)

    def _drop_idle_record(self, server: BackendServerId) -> None:
        record = self.records.get(server)
        if record is not None and record.in_flight == 0:
            del self.records[server]


def _mark_leaving(view: ServerView, leaving_at: float) -> ServerView:
    if view.leaving_at is not None:
        return view
    return ServerView(
        id=view.id,
        failure_domain=view.failure_domain,
        machine_class=view.machine_class,
        price=view.price,
        reclaimable=view.reclaimable,
        capacity=view.capacity,
        leaving_at=leaving_at,
        load=view.load,
        load_at=view.load_at,
    )
