"""Scheduler of one service: admission, queueing, placement and recovery."""

import random
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from dewridge.configuration.model import Profile, Service
from dewridge.ids import BackendServerId, RequestId
from dewridge.policy import admission, placement, recovery
from dewridge.policy.admission import AdmissionView
from dewridge.policy.backlog import Backlog
from dewridge.policy.cost import CostBudget, compute_slot_price, measure_cost
from dewridge.policy.credits import ServerCredits
from dewridge.policy.model import (
    Abandoned,
    Assignment,
    AttemptOutcome,
    Move,
    Retry,
    ServerView,
    Usage,
    Work,
    WorkClass,
)
from dewridge.policy.queueing import QueueEntry
from dewridge.policy.recovery import RunningAttempt, abandon_expired
from dewridge.policy.registry import PolicyKind, resolve_policy
from dewridge.policy.servers import Servers
from dewridge.policy.usage import UsageLedger
from dewridge.sentinels import Failure

MIN_DURATION_SHARE = 0.8
"""Share of the expected duration that an answer may take at best. Queued work is
abandoned only if even that is too long, because an abandoned answer is lost."""

DEFAULT_SUBSET = 12
"""Number of servers in the subset for placement policies without `subset_size`."""


class Scheduler:
    """Schedules the requests of one service at one entry host.

    Does no I/O and reads no clock: the caller passes in events, each with the current
    time, and carries out the decisions.

    Args:
        service: the service.
        profile: the policies, latency targets and cost limits.
        seed: seed of all random choices.
        host_index: index of this host among the entry hosts.
        host_count: number of entry hosts.
    """

    def __init__(
        self,
        service: Service,
        profile: Profile,
        *,
        seed: int,
        host_index: int = 0,
        host_count: int = 1,
    ) -> None:
        self._rng = random.Random(seed)
        self._service = service
        self._profile = profile
        self._servers = Servers(profile.targets, service.kind == "plain", self._rng)
        self._servers.set_hosts(host_index, host_count)
        self._usage = UsageLedger()
        self._budget = CostBudget(profile.limits)
        self._backlog = Backlog()
        self._running: dict[RequestId, RunningAttempt] = {}
        self._by_server: dict[BackendServerId, dict[RequestId, RunningAttempt]] = (
            defaultdict(dict)
        )
        self._sequence = 0
        self._build_policies()

    def set_profile(self, service: Service, profile: Profile, now: float) -> None:
        """Replace the policies; queued and running work is not affected."""
        self._service = service
        self._profile = profile
        self._budget.set_limits(profile.limits)
        self._build_policies()

    def set_hosts(self, host_index: int, host_count: int, now: float) -> None:
        """Set this host's index among the entry hosts, which determines its subset."""
        self._servers.set_hosts(host_index, host_count)

    def update_servers(self, servers: Sequence[ServerView], now: float) -> None:
        """Replace the list of the service's backend servers.

        Takes time in proportion to the fleet: call it a few times per second when the
        list or the reports have changed, not for each request.
        """
        self._servers.update(servers, now)

    def offer(self, work: Work, now: float) -> Failure | None:
        """Queue a request, or return a failure with a retry-after time."""
        self._refresh(now)
        cost = measure_cost(work)
        if work.work_class is WorkClass.INTERACTIVE:
            duration = self._servers.latency_model.predict_duration(work)
            self._servers.reserve.record_offer(duration)
        failure = self._admit(work, self._view_admission(work, cost, now), now)
        if failure is not None:
            self._usage.count_refusal(failure.code)
            return failure
        self._usage.count("accepted")
        self._enqueue(self._make_entry(work, cost), True, now)
        return None

    def restore(self, work: Work, now: float) -> None:
        """Queue a request that was already accepted, on takeover; never refuses it."""
        self._usage.count("restored")
        entry = self._make_entry(work, measure_cost(work))
        entry.has_started = work.tokens_done > 0
        self._enqueue(entry, True, now)

    def withdraw(self, request: RequestId, now: float) -> None:
        """Remove a queued or running request that was cancelled or has ended."""
        self._backlog.withdraw(request, now)
        attempt = self._running.get(request)
        if attempt is not None:
            record = self._end_attempt(attempt, AttemptOutcome.LEAVING, now)
            if record is not None:
                record.drop_probe(request)

    def pick(self, now: float) -> Assignment | None:
        """Dequeue the next request that can be sent now; call until it returns None."""
        self._refresh(now)
        for entry in self._backlog.pop_due(now):
            self._enqueue(entry, False, now)
        for entry in self._backlog.find_heads(now):
            record = self._choose(entry.work, self._servers, entry.avoided_server, now)
            if record is not None:
                return self._dispatch(entry, record, now)
        return None

    def expire(self, now: float) -> list[Abandoned]:
        """Remove and fail queued requests whose deadline can't be met any more.

        Their callers get a retry-after time while they still have time to do without
        the answer.
        """
        expired = self._backlog.pop_expired(now)
        if not expired:
            return []
        self._usage.count("expired", len(expired))
        rate = self._backlog.estimate_rate(
            None, self._estimate_credit_rate(expired[0].work)
        )
        wait = self._backlog.compute_cost() / rate
        return [abandon_expired(entry, wait, self._rng) for entry in expired]

    def find_next_time(self, now: float) -> float | None:
        """Return when `pick` or `expire` may have a result without another event."""
        times = [self._backlog.find_next_time(now)]
        if self._backlog.queued:
            times.append(self._servers.find_probe_time(now))
        upcoming = [time for time in times if time is not None]
        return max(now, min(upcoming)) if upcoming else None

    def record_first_token(
        self, request: RequestId, server: BackendServerId, now: float
    ) -> None:
        """Record an attempt's first token, or the answer of a plain service."""
        attempt = self._find_attempt(request, server)
        if attempt is None or attempt.first_token_at is not None:
            return
        attempt.first_token_at = now
        attempt.last_token_at = now
        attempt.tokens += self._service.kind == "model"
        work_class = attempt.entry.work.work_class
        self._servers.record_first_token(server, request, work_class, now)

    def record_tokens(
        self, request: RequestId, server: BackendServerId, count: int, now: float
    ) -> None:
        """Record `count` more tokens of an attempt."""
        attempt = self._find_attempt(request, server)
        record = self._servers.records.get(server)
        if attempt is None or record is None or count <= 0:
            return
        attempt.tokens += count
        if attempt.last_token_at is not None:
            record.record_token_time((now - attempt.last_token_at) / count, now)
        attempt.last_token_at = now

    def record_attempt_end(
        self,
        request: RequestId,
        server: BackendServerId,
        outcome: AttemptOutcome,
        tokens_done: int,
        now: float,
    ) -> Retry | Abandoned | None:
        """Record the end of an attempt and decide what follows.

        Returns:
            The next step; None after DONE or for an unknown attempt.
        """
        attempt = self._find_attempt(request, server)
        if attempt is None:
            return None
        if outcome is AttemptOutcome.DONE:
            self.record_first_token(request, server, now)
        record = self._end_attempt(attempt, outcome, now)
        if record is not None:
            self._servers.handle_attempt_end(record, request, outcome, now)
        if outcome is AttemptOutcome.DONE:
            self._usage.count_answer(attempt, self._profile.targets, now)
            return None
        return self._recover(attempt, outcome, tokens_done, now)

    def rest_server(self, server: BackendServerId, seconds: float, now: float) -> None:
        """Send nothing to a server for as long as it asked for."""
        self._servers.rest(server, seconds, now)

    def handle_server_leaving(
        self, server: BackendServerId, leaving_at: float, now: float
    ) -> list[Move]:
        """Decide which running requests leave a reclaimed server, and when.

        A repeated call for the same server only plans requests without a planned move,
        and those whose move would be after the server ends.
        """
        self._servers.handle_leaving(server, leaving_at, now)
        record = self._servers.records.get(server)
        running = [
            (attempt, self._predict_remaining_time(attempt, record, now))
            for attempt in self._by_server.get(server, {}).values()
            if attempt.moves_at is None or attempt.moves_at > leaving_at
        ]
        moves = self._recovery.plan_moves(running, leaving_at, now)
        self._record_moves(moves)
        return moves

    def find_moves(self, now: float) -> list[Move]:
        """Decide which running requests leave servers that have become slow.

        Call it after `pick`. Moves are carried out as those of `handle_server_leaving`:
        the attempt is stopped at the given time, and its end is recorded as LEAVING.
        """
        moves: list[Move] = []
        for server in self._servers.pop_slow_servers():
            running = [
                attempt
                for attempt in self._by_server.get(server, {}).values()
                if attempt.moves_at is None
            ]
            moves += self._recovery.plan_slow_server_moves(running, now)
        self._record_moves(moves)
        return moves

    def get_usage(self) -> Usage:
        """Return the counters of this service at this host."""
        return self._usage.read()

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump; it contains no prompts."""
        queue = self._backlog.queue
        return {
            "profile": self._profile.name,
            "placement": self._profile.placement.name,
            "admission": self._profile.admission.name,
            "recovery": self._profile.recovery.name,
            "queued": self._backlog.queued,
            "delayed": self._backlog.delayed,
            "running": len(self._running),
            "queued_work": {
                work_class.value: round(queue.get_cost(work_class), 1)
                for work_class in WorkClass
            },
            "servers": self._servers.describe(),
        }

    def _build_policies(self) -> None:
        profile = self._profile
        spec, parameters = resolve_policy(PolicyKind.PLACEMENT, profile.placement)
        make_choose = placement.MAKERS[spec.name]
        self._choose = make_choose(parameters, profile.targets, self._rng)
        subset_size = int(parameters.get("subset_size", DEFAULT_SUBSET))
        self._servers.configure(profile.targets, subset_size)
        spec, parameters = resolve_policy(PolicyKind.RECOVERY, profile.recovery)
        self._recovery = recovery.MAKERS[spec.name](parameters, self._rng)
        spec, parameters = resolve_policy(PolicyKind.ADMISSION, profile.admission)
        make_admit = admission.MAKERS[spec.name]
        self._admit = make_admit(parameters, profile.targets, self._rng)
        self._drops_expired = parameters.get("drops_expired", 1.0) > 0
        background_share = parameters.get("background_share")
        self._backlog.configure(self._service.shares, background_share)

    def _view_admission(self, work: Work, cost: float, now: float) -> AdmissionView:
        queue = self._backlog.queue
        servers = self._servers
        prior_rate = self._estimate_credit_rate(work)
        expected = servers.latency_model.predict_duration(work) * servers.min_price
        return AdmissionView(
            cost=cost,
            first_token=servers.latency_model.first_token,
            duration=servers.latency_model.estimate_duration(work, now),
            class_cost=queue.get_cost(work.work_class),
            account_cost=queue.get_account_cost(work.work_class, work.account),
            account_share=queue.estimate_share(work.work_class, work.account),
            class_rate=self._backlog.estimate_rate(work.work_class, prior_rate),
            total_cost=self._backlog.compute_cost(),
            total_rate=self._backlog.estimate_rate(None, prior_rate),
            has_servers=bool(servers.fleet),
            budget_wait=self._budget.compute_wait(expected, now),
            exceeds_answer_limit=self._budget.exceeds_answer_limit(expected),
        )

    def _estimate_credit_rate(self, work: Work) -> float:
        duration = max(self._servers.latency_model.predict_duration(work), 1e-6)
        return measure_cost(work) / duration

    def _refresh(self, now: float) -> None:
        self._servers.refresh(now)
        self._backlog.set_credits(self._servers.total_limit)

    def _make_entry(self, work: Work, cost: float) -> QueueEntry:
        self._sequence += 1
        due = work.deadline
        if work.work_class is WorkClass.INTERACTIVE:
            # A caller with a late deadline still expects the latency target.
            due = min(due, work.arrival + self._profile.targets.whole_answer)
        return QueueEntry(work, cost, self._sequence, due)

    def _enqueue(self, entry: QueueEntry, is_charged: bool, now: float) -> None:
        if self._drops_expired:
            min_duration = (
                MIN_DURATION_SHARE
                * self._servers.latency_model.estimate_duration(entry.work, now)
            )
            entry.latest_start = entry.work.deadline - min_duration
        self._backlog.add(entry, is_charged, now)

    def _dispatch(
        self, entry: QueueEntry, record: ServerCredits, now: float
    ) -> Assignment:
        work = entry.work
        self._backlog.dequeue(entry, now)
        self._servers.acquire(record, work.request, work.work_class, now)
        price = compute_slot_price(record.view)
        attempt = RunningAttempt(
            entry, record.view.id, now, price, version=record.view.version
        )
        self._running[work.request] = attempt
        self._by_server[record.view.id][work.request] = attempt
        if not entry.failed_attempts:
            self._recovery.record_first_attempt()
        self._usage.count("dispatched")
        return Assignment(work, record.view.id)

    def _end_attempt(
        self, attempt: RunningAttempt, outcome: AttemptOutcome, now: float
    ) -> ServerCredits | None:
        request = attempt.request
        del self._running[request]
        server_attempts = self._by_server[attempt.server]
        del server_attempts[request]
        if not server_attempts:
            del self._by_server[attempt.server]
        record = self._servers.records.get(attempt.server)
        if record is not None:
            self._servers.release(record, request, attempt.entry.work.work_class)
            cost = self._usage.count_attempt(attempt, record.view, outcome, now)
            self._budget.charge(cost, now)
        return record

    def _recover(
        self,
        attempt: RunningAttempt,
        outcome: AttemptOutcome,
        tokens_done: int,
        now: float,
    ) -> Retry | Abandoned:
        entry = attempt.entry
        entry.record_failure(attempt.server, outcome)
        decision = self._recovery.retry(entry, outcome, now)
        if isinstance(decision, Abandoned):
            self._usage.count(f"abandoned.{decision.failure.code.name.lower()}")
            return decision
        retained = tokens_done if self._recovery.retains_tokens else 0
        self._usage.count("retries")
        self._usage.count("tokens_dropped", tokens_done - retained)
        version = attempt.version if attempt.tokens else entry.work.version
        entry.work = replace(entry.work, tokens_done=retained, version=version)
        if decision.after > 0:
            self._backlog.delay(entry, now + decision.after)
        else:
            self._enqueue(entry, False, now)
        return decision

    def _record_moves(self, moves: Sequence[Move]) -> None:
        for move in moves:
            self._running[move.request].moves_at = move.stop_at
        self._usage.count("moves_planned", len(moves))

    def _predict_remaining_time(
        self, attempt: RunningAttempt, record: ServerCredits | None, now: float
    ) -> float:
        expected = self._servers.latency_model.predict_duration(
            attempt.entry.work, record
        )
        return max(0.0, expected - (now - attempt.sent_at))

    def _find_attempt(
        self, request: RequestId, server: BackendServerId
    ) -> RunningAttempt | None:
        attempt = self._running.get(request)
        if attempt is None or attempt.server != server:
            return None
        return attempt
