"""The backend servers that one entry host sends a service's work to."""

import random
from collections.abc import Sequence
from typing import Any

import xxhash

from dewridge.configuration.model import LatencyTargets
from dewridge.ids import BackendServerId, FailureDomain, RequestId
from dewridge.policy.cost import find_slot_price
from dewridge.policy.credits import MIN_LIMIT, Health, ServerCredits
from dewridge.policy.model import AttemptOutcome, ServerView, WorkClass
from dewridge.policy.reserve import Reserve
from dewridge.policy.subsets import choose_subset, find_sharers
from dewridge.policy.usual import Usual

REFRESH = 0.1
"""Seconds between two looks at all servers of the subset. A slow server keeps
getting work for this long at most; each look costs some tens of microseconds."""

OVERDRAFT = 0.5
"""Part of the credits that interactive work may go beyond them, while background
work holds as many. More would only move the queue into the engines."""

NOTICE_MEMORY = 60.0
"""Seconds that a failure domain counts as under notice after its last notice.
Reclaims come in waves, so the next is likely where the last one was."""


class Servers:
    """Views of the whole fleet, and credits for the subset that is in use."""

    def __init__(
        self, targets: LatencyTargets, is_plain: bool, rng: random.Random
    ) -> None:
        self.records: dict[BackendServerId, ServerCredits] = {}
        self.subset: list[ServerCredits] = []
        self.fleet: list[ServerView] = []
        self.usual = Usual(targets, is_plain)
        self.mean_in_flight = 0.0
        self.total_limit = 0.0
        self.has_suspended = False
        self.turned_slow: list[BackendServerId] = []
        self.in_flight = 0
        self.background = 0
        self.reserve = Reserve()
        self._rng = rng
        self._host_index = 0
        self._host_count = 1
        self._most = 12
        self._sharers = 1.0
        self._views: dict[BackendServerId, ServerView] = {}
        self._member_ids: frozenset[BackendServerId] = frozenset()
        self._notices: dict[FailureDomain, float] = {}
        self._refresh_at = 0.0
        self.least_price = 0.0

    def configure(self, targets: LatencyTargets, most: int) -> None:
        """Take over a profile's targets and size of the subset."""
        self.usual.set_targets(targets)
        if most != self._most:
            self._most = most
            self._choose_subset()

    def set_hosts(self, host_index: int, host_count: int) -> None:
        """Say which of how many entry hosts this is."""
        if (host_index, host_count) != (self._host_index, self._host_count):
            self._host_index = host_index
            self._host_count = host_count
            self._choose_subset()

    def update(self, views: Sequence[ServerView], now: float) -> None:
        """Replace what is known of the fleet.

        A server known to be leaving stays so, whatever an older, lagging list
        says: new work sent there would be lost.
        """
        fresh = {}
        for view in views:
            known = self._views.get(view.id)
            if view.leaving_at is not None and (
                known is None or known.leaving_at is None
            ):
                self._notices[view.failure_domain] = now
            fresh[view.id] = view
            if known is not None and known.leaving_at is not None:
                fresh[view.id] = _mark_leaving(view, known.leaving_at)
            record = self.records.get(view.id)
            if record is not None:
                record.view = fresh[view.id]
        for gone in self._views.keys() - fresh.keys():
            self._forget(gone)
        self._views = fresh
        self.fleet = [view for view in fresh.values() if view.leaving_at is None]
        members = frozenset(view.id for view in self.fleet)
        if members != self._member_ids:
            self._member_ids = members
            self._choose_subset()

    def note_leaving(
        self, server: BackendServerId, leaving_at: float, now: float
    ) -> None:
        """Give a server no new work from now on."""
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
        self._member_ids -= {server}
        self._choose_subset()

    def find(self, server: BackendServerId) -> ServerCredits | None:
        """Return a server's record; one outside the subset is made when known."""
        record = self.records.get(server)
        view = self._views.get(server)
        if record is None and view is not None:
            record = self._make_record(view)
        return record

    def take(
        self,
        record: ServerCredits,
        request: RequestId,
        work_class: WorkClass,
        now: float,
    ) -> None:
        """Use a credit for a dispatch."""
        record.acquire(request, work_class, now)
        self.in_flight += 1
        self.background += work_class is WorkClass.BACKGROUND

    def give_back(
        self, record: ServerCredits, request: RequestId, work_class: WorkClass
    ) -> None:
        """Free the credit of a request that ended."""
        record.release(request, work_class)
        self.in_flight -= 1
        self.background -= work_class is WorkClass.BACKGROUND

    def has_credit(self, work_class: WorkClass, share: float) -> bool:
        """Whether this host may send one more request of a class at all.

        Credits are fractions, and a server gets their number rounded up; this
        bound on their sum keeps many hosts from rounding up at once. What is
        kept for interactive work is counted over all servers too: with few
        credits to a server, no whole one could be kept on each.
        """
        total = max(1.0, self.total_limit)
        if work_class is WorkClass.BACKGROUND:
            kept = self.find_kept(share) * total
            most = max(1.0, total - kept)
            return self.in_flight < total and self.background < most
        # Drafts may hold all credits of this host while those of others lie
        # idle. Engines put questions first, so a few beyond the credits find a
        # place sooner than the next draft here would end.
        extra = min(OVERDRAFT * total, self.background)
        return self.in_flight < total + extra

    def find_kept(self, share: float) -> float:
        """Return the part of the credits to keep for interactive work now."""
        total = max(1.0, self.total_limit)
        return self.reserve.find_credits(share * total) / total

    def is_under_notice(self, domain: FailureDomain, now: float) -> bool:
        """Whether servers of a failure domain were reclaimed lately."""
        noticed_at = self._notices.get(domain)
        return noticed_at is not None and now - noticed_at < NOTICE_MEMORY

    def learn_first_token(
        self,
        server: BackendServerId,
        request: RequestId,
        work_class: WorkClass,
        now: float,
    ) -> None:
        """Learn from the first token of a request."""
        record = self.records.get(server)
        if record is None:
            return
        sample = record.record_first_token(request, work_class, now)
        if sample is None:
            return
        self.usual.note_sample(now)
        if record.probe == request:
            self._judge_probe(record, sample, now)
        elif record.health is Health.GOOD:
            self.usual.adjust_credits(record, sample, work_class, now)

    def learn_end(
        self,
        record: ServerCredits,
        request: RequestId,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Learn from how an attempt ended."""
        if outcome is AttemptOutcome.LOST:
            record.record_failure(now, self._rng.random())
        elif outcome is AttemptOutcome.NOT_STARTED:
            record.record_refusal(request, now, self._rng.random())
        else:
            record.drop_probe(request)

    def refresh(self, now: float) -> None:
        """Look at all servers of the subset, at most once in REFRESH seconds."""
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH
        self._learn(now)
        # One server alone has none to be slower than, and nobody to take over.
        if len(self.subset) > 1:
            self._suspend_slow(now)
        healths = [record.health for record in self.subset]
        self.has_suspended = Health.SUSPENDED in healths

    def _suspend_slow(self, now: float) -> None:
        for record in self.subset:
            is_suspended = record.health is Health.SUSPENDED
            if not is_suspended and self.usual.is_slow(record, now):
                record.suspend(now, self._rng.random())
                self.turned_slow.append(record.view.id)

    def take_slow(self) -> list[BackendServerId]:
        """Return the servers that turned slow since the last call."""
        if not self.turned_slow:
            return []
        slow, self.turned_slow = self.turned_slow, []
        return slow

    def find_probe_time(self, now: float) -> float | None:
        """Return when a suspended server may be tried again, if one is to be."""
        times = [
            record.retry_at
            for record in self.subset
            if record.health is Health.SUSPENDED and record.retry_at > now
        ]
        return min(times, default=None)

    def describe(self) -> dict[str, Any]:
        """Return what is known of each server of the subset."""
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

    def _learn(self, now: float) -> None:
        good = [r for r in self.subset if r.health is Health.GOOD]
        self.usual.learn(good)
        self.total_limit = sum(r.limit for r in good)
        self.mean_in_flight = sum(r.in_flight for r in good) / max(1, len(good))
        self.reserve.decay(now)

    def _judge_probe(self, record: ServerCredits, sample: float, now: float) -> None:
        if self.usual.is_good(sample):
            record.recover(sample)
        else:
            record.suspend(now, self._rng.random())
            self.turned_slow.append(record.view.id)

    def _choose_subset(self) -> None:
        self._sharers = find_sharers(self.fleet, self._host_count, self._most)
        views = choose_subset(
            self.fleet, self._host_index, self._host_count, self._most
        )
        self.subset = [self.records.get(v.id) or self._make_record(v) for v in views]
        for record in self.subset:
            record.set_share(self._find_share(record.view))
        self._refresh_at = 0.0
        prices = [find_slot_price(view) for view in views]
        self.least_price = min(prices, default=0.0)
        kept = {view.id for view in views}
        for server, record in list(self.records.items()):
            if server not in kept and record.in_flight == 0:
                del self.records[server]

    def _make_record(self, view: ServerView) -> ServerCredits:
        # The first guess is this host's part of the server's capacity, so that
        # all hosts together start at what the server can run and not above it.
        share = self._find_share(view)
        record = ServerCredits(
            view, share, share, xxhash.xxh3_64_intdigest(view.id.encode())
        )
        self.records[view.id] = record
        return record

    def _find_share(self, view: ServerView) -> float:
        return max(MIN_LIMIT, view.capacity / self._sharers)

    def _forget(self, server: BackendServerId) -> None:
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
