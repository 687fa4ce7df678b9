"""Admission, queueing, placement and recovery for one service under a profile."""

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
from dewridge.policy.cost import CostBudget, find_slot_price, measure_cost
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
from dewridge.policy.recovery import RunningAttempt, abandon_late
from dewridge.policy.registry import PolicyKind, resolve_policy
from dewridge.policy.servers import Servers
from dewridge.policy.usage import UsageLedger
from dewridge.sentinels import Failure

OPTIMISM = 0.8
"""Part of the usual duration in which an answer may still come. Queued work is
given up only when even that is too long, since an answer given up is lost."""


DEFAULT_SUBSET = 12
"""Size of the subset under a placement that does not name one."""


class Scheduler:
    """Decides for one service on one entry host; does no I/O and reads no clock.

    The owner of requests feeds it events, each with the time, and carries out
    what it decides.
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
        """Swap the policies; queued and running work stays."""
        self._service = service
        self._profile = profile
        self._budget.set_limits(profile.limits)
        self._build_policies()

    def set_hosts(self, host_index: int, host_count: int, now: float) -> None:
        """Say which of how many entry hosts this is, for the subsets."""
        self._servers.set_hosts(host_index, host_count)

    def update_servers(self, servers: Sequence[ServerView], now: float) -> None:
        """Replace what is known of the service's backend servers.

        Takes time in proportion to the fleet: call it when the list or the
        reports changed, a few times a second, not for each request.
        """
        self._servers.update(servers, now)

    def offer(self, work: Work, now: float) -> Failure | None:
        """Admit a request to the queue, or refuse it at once with a time."""
        self._refresh(now)
        cost = measure_cost(work)
        if work.work_class is WorkClass.INTERACTIVE:
            duration = self._servers.usual.predict_duration(work)
            self._servers.reserve.record_offer(duration)
        failure = self._admit(work, self._view_admission(work, cost, now), now)
        if failure is not None:
            self._usage.count_refusal(failure.code)
            return failure
        self._usage.count("accepted")
        self._enqueue(self._make_entry(work, cost), True, now)
        return None

    def restore(self, work: Work, now: float) -> None:
        """Queue work that was accepted already (takeover); never refused."""
        self._usage.count("restored")
        entry = self._make_entry(work, measure_cost(work))
        entry.has_started = work.tokens_done > 0
        self._enqueue(entry, True, now)

    def withdraw(self, request: RequestId, now: float) -> None:
        """Forget a request that was cancelled or ended, queued or running."""
        self._backlog.withdraw(request, now)
        attempt = self._running.get(request)
        if attempt is not None:
            record = self._end_attempt(attempt, AttemptOutcome.LEAVING, now)
            if record is not None:
                record.drop_probe(request)

    def pick(self, now: float) -> Assignment | None:
        """Take the next request that can be sent now; call until None."""
        self._refresh(now)
        for entry in self._backlog.pop_due(now):
            self._enqueue(entry, False, now)
        for entry in self._backlog.find_heads(now):
            record = self._choose(entry.work, self._servers, entry.avoid, now)
            if record is not None:
                return self._dispatch(entry, record, now)
        return None

    def expire(self, now: float) -> list[Abandoned]:
        """Take out queued requests whose deadline can't be met any more.

        A caller whose request is hopeless is told at once, with when to come
        back, while there is still time to do without the answer.
        """
        hopeless = self._backlog.pop_expired(now)
        if not hopeless:
            return []
        self._usage.count("expired", len(hopeless))
        pace = self._backlog.find_rate(None, self._guess_credit_pace(hopeless[0].work))
        wait = self._backlog.find_cost() / pace
        return [abandon_late(entry, wait, self._rng) for entry in hopeless]

    def find_next_time(self, now: float) -> float | None:
        """Say when `pick` or `expire` may have news without any event."""
        times = [self._backlog.find_next_time(now)]
        if self._backlog.queued:
            times.append(self._servers.find_probe_time(now))
        known = [time for time in times if time is not None]
        return max(now, min(known)) if known else None

    def record_first_token(
        self, request: RequestId, server: BackendServerId, now: float
    ) -> None:
        """Record that an attempt's first token (or whole plain answer) came."""
        attempt = self._find_attempt(request, server)
        if attempt is None or attempt.first_token_at is not None:
            return
        attempt.first_token_at = now
        attempt.last_token_at = now
        attempt.tokens += self._service.kind == "model"
        work_class = attempt.entry.work.work_class
        self._servers.learn_first_token(server, request, work_class, now)

    def record_tokens(
        self, request: RequestId, server: BackendServerId, count: int, now: float
    ) -> None:
        """Record that `count` more tokens came."""
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
        """Record an attempt's end and decide what follows; None after DONE."""
        attempt = self._find_attempt(request, server)
        if attempt is None:
            return None
        if outcome is AttemptOutcome.DONE:
            self.record_first_token(request, server, now)
        record = self._end_attempt(attempt, outcome, now)
        if record is not None:
            self._servers.learn_end(record, request, outcome, now)
        if outcome is AttemptOutcome.DONE:
            self._usage.count_answer(attempt, self._profile.targets, now)
            return None
        return self._recover(attempt, outcome, tokens_done, now)

    def handle_server_leaving(
        self, server: BackendServerId, leaving_at: float, now: float
    ) -> list[Move]:
        """Decide which running requests leave a reclaimed server, and when.

        Told again of the same server, it speaks only of requests that it has
        not planned for, unless the server goes earlier than their moves.
        """
        self._servers.note_leaving(server, leaving_at, now)
        record = self._servers.records.get(server)
        running = [
            (attempt, self._predict_rest(attempt, record, now))
            for attempt in self._by_server.get(server, {}).values()
            if attempt.moves_at is None or attempt.moves_at > leaving_at
        ]
        moves = self._recovery.plan_moves(running, leaving_at, now)
        self._note_moves(moves)
        return moves

    def find_moves(self, now: float) -> list[Move]:
        """Decide which running requests leave servers that turned slow.

        Call it after `pick`. Moves are carried out as those of
        `handle_server_leaving`: the attempt is stopped at the time given, and its end
        is recorded as LEAVING.
        """
        moves: list[Move] = []
        for server in self._servers.take_slow():
            running = [
                attempt
                for attempt in self._by_server.get(server, {}).values()
                if attempt.moves_at is None
            ]
            moves += self._recovery.plan_slow_server_moves(running, now)
        self._note_moves(moves)
        return moves

    def read_usage(self) -> Usage:
        """Return what the profile cost and lost here so far."""
        return self._usage.read()

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump: sizes and figures, no prompts."""
        queue = self._backlog.queue
        return {
            "profile": self._profile.name,
            "placement": self._profile.placement.name,
            "admission": self._profile.admission.name,
            "recovery": self._profile.recovery.name,
            "queued": self._backlog.queued,
            "delayed": self._backlog.delayed,
            "running": len(self._running),
            "queued_work": {c.value: round(queue.find_cost(c), 1) for c in WorkClass},
            "servers": self._servers.describe(),
        }

    def _build_policies(self) -> None:
        profile = self._profile
        spec, parameters = resolve_policy(PolicyKind.PLACEMENT, profile.placement)
        make_choose = placement.MAKERS[spec.name]
        self._choose = make_choose(parameters, profile.targets, self._rng)
        most = int(parameters.get("subset_size", DEFAULT_SUBSET))
        self._servers.configure(profile.targets, most)
        spec, parameters = resolve_policy(PolicyKind.RECOVERY, profile.recovery)
        self._recovery = recovery.MAKERS[spec.name](parameters, self._rng)
        spec, parameters = resolve_policy(PolicyKind.ADMISSION, profile.admission)
        make_admit = admission.MAKERS[spec.name]
        self._admit = make_admit(parameters, profile.targets, self._rng)
        self._drops_hopeless = parameters.get("drops_expired", 1.0) > 0
        background_share = parameters.get("background_share")
        self._backlog.configure(self._service.shares, background_share)

    def _view_admission(self, work: Work, cost: float, now: float) -> AdmissionView:
        queue = self._backlog.queue
        servers = self._servers
        guess = self._guess_credit_pace(work)
        expected = servers.usual.predict_duration(work) * servers.least_price
        return AdmissionView(
            cost=cost,
            first_token=servers.usual.first_token,
            duration=servers.usual.find_duration(work, now),
            class_cost=queue.find_cost(work.work_class),
            account_cost=queue.find_account_cost(work.work_class, work.account),
            account_share=queue.find_share(work.work_class, work.account),
            class_rate=self._backlog.find_rate(work.work_class, guess),
            total_cost=self._backlog.find_cost(),
            total_rate=self._backlog.find_rate(None, guess),
            has_servers=bool(servers.fleet),
            budget_wait=self._budget.find_wait(expected, now),
            exceeds_answer_limit=self._budget.exceeds_answer_limit(expected),
        )

    def _guess_credit_pace(self, work: Work) -> float:
        duration = max(self._servers.usual.predict_duration(work), 1e-6)
        return measure_cost(work) / duration

    def _refresh(self, now: float) -> None:
        self._servers.refresh(now)
        self._backlog.set_credits(self._servers.total_limit)

    def _make_entry(self, work: Work, cost: float) -> QueueEntry:
        self._sequence += 1
        due = work.deadline
        if work.work_class is WorkClass.INTERACTIVE:
            # A caller with a generous deadline waits no longer than the target.
            due = min(due, work.arrival + self._profile.targets.whole_answer)
        return QueueEntry(work, cost, self._sequence, due)

    def _enqueue(self, entry: QueueEntry, is_charged: bool, now: float) -> None:
        if self._drops_hopeless:
            shortest = OPTIMISM * self._servers.usual.find_duration(entry.work, now)
            entry.latest_start = entry.work.deadline - shortest
        self._backlog.add(entry, is_charged, now)

    def _dispatch(
        self, entry: QueueEntry, record: ServerCredits, now: float
    ) -> Assignment:
        work = entry.work
        self._backlog.dequeue(entry, now)
        self._servers.take(record, work.request, work.work_class, now)
        price = find_slot_price(record.view)
        attempt = RunningAttempt(entry, record.view.id, now, price)
        self._running[work.request] = attempt
        self._by_server[record.view.id][work.request] = attempt
        if not entry.lost:
            self._recovery.record_first_attempt()
        self._usage.count("dispatched")
        return Assignment(work, record.view.id)

    def _end_attempt(
        self, attempt: RunningAttempt, outcome: AttemptOutcome, now: float
    ) -> ServerCredits | None:
        request = attempt.request
        del self._running[request]
        held = self._by_server[attempt.server]
        del held[request]
        if not held:
            del self._by_server[attempt.server]
        record = self._servers.records.get(attempt.server)
        if record is not None:
            self._servers.give_back(record, request, attempt.entry.work.work_class)
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
        kept = tokens_done if self._recovery.retains_tokens else 0
        self._usage.count("retries")
        self._usage.count("tokens_dropped", tokens_done - kept)
        entry.work = replace(entry.work, tokens_done=kept)
        if decision.after > 0:
            self._backlog.delay(entry, now + decision.after)
        else:
            self._enqueue(entry, False, now)
        return decision

    def _note_moves(self, moves: Sequence[Move]) -> None:
        for move in moves:
            self._running[move.request].moves_at = move.at
        self._usage.count("moves_planned", len(moves))

    def _predict_rest(
        self, attempt: RunningAttempt, record: ServerCredits | None, now: float
    ) -> float:
        expected = self._servers.usual.predict_duration(attempt.entry.work, record)
        return max(0.0, expected - (now - attempt.sent_at))

    def _find_attempt(
        self, request: RequestId, server: BackendServerId
    ) -> RunningAttempt | None:
        attempt = self._running.get(request)
        if attempt is None or attempt.server != server:
            return None
        return attempt
