"""Simulates one service: its entry hosts' schedulers and its backend servers."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from functools import partial

from dewridge.bench.deployments import (
    DEFAULT_ENGINE,
    PLAIN_CALL_SECONDS,
    Arrival,
    ServiceSpec,
)
from dewridge.bench.outcomes import Outcome, Record
from dewridge.bench.timeline import Timeline
from dewridge.bench.workers import (
    AnyServer,
    AttemptReport,
    SimulatedAttempt,
    SimulatedEngine,
    SimulatedPlainServer,
)
from dewridge.configuration.model import Profile
from dewridge.ids import BackendServerId, RequestId
from dewridge.policy.cost import compute_slot_price
from dewridge.policy.model import (
    Abandoned,
    Assignment,
    AttemptOutcome,
    Move,
    Retry,
    ServerView,
)
from dewridge.policy.scheduler import Scheduler

REPORT_PERIOD = 0.5
"""Seconds between two load reports."""
REPORT_LAG = 0.5
"""Staleness in seconds of a load report when the entry hosts receive it."""

RECLAIM_NOTICE = 4.0
"""Seconds from a reclaim notice until the servers are removed."""
MAX_NOTICE_DELAY = 0.5
"""Longest time in seconds until an entry host receives the notice."""
REPLACEMENT_DELAY = 20.0
"""Seconds from the removal of servers until they are replaced."""

EXPORT_TOKENS_PER_SECOND = 20_000.0
"""KV cache transfer rate of one export."""


@dataclass(slots=True)
class InFlightRequest:
    """State of an incomplete request on its entry host.

    Attributes:
        attempt: the current attempt, if any.
        server: the server of the last attempt.
        tokens: answer tokens that the entry host has stored.
        imported_tokens: tokens whose KV cache was exported for the next attempt.
        has_started: whether any attempt began to run.
    """

    arrival: Arrival
    record: Record
    attempt: SimulatedAttempt | None = None
    server: BackendServerId | None = None
    tokens: int = 0
    imported_tokens: int = 0
    has_started: bool = False


class ServiceSimulation:
    """Simulates the servers of a service and the schedulers of all entry hosts."""

    def __init__(
        self,
        timeline: Timeline,
        *,
        spec: ServiceSpec,
        profile: Profile,
        servers: Sequence[ServerView],
        hosts: int,
        seed: int,
    ) -> None:
        self._timeline = timeline
        self._spec = spec
        self._rng = random.Random(f"{seed}/{spec.name}/run")
        self.servers: dict[BackendServerId, AnyServer] = {}
        for view in servers:
            self._add_server(view)
        service = spec.make_service()
        self.schedulers = [
            Scheduler(
                service,
                profile,
                seed=seed * 1000 + index,
                host_index=index,
                host_count=hosts,
            )
            for index in range(hosts)
        ]
        self._requests: list[dict[RequestId, InFlightRequest]] = [
            {} for _ in range(hosts)
        ]
        self._scheduler_wake_times: list[float | None] = [None] * hosts
        self._attempt_hosts: dict[SimulatedAttempt, int] = {}
        self._report_times: dict[BackendServerId, float | None] = {}
        self._update_schedulers(0.0)

    def _add_server(self, view: ServerView) -> None:
        server: AnyServer
        if self._spec.kind == "plain":
            server = SimulatedPlainServer(view, self._draw_call_seconds)
        else:
            server = SimulatedEngine(view, DEFAULT_ENGINE)
        self.servers[view.id] = server

    def _draw_call_seconds(self) -> float:
        return PLAIN_CALL_SECONDS * self._rng.uniform(0.5, 1.5)

    # Arrivals and scheduling

    def handle_arrival(self, arrival: Arrival, record: Record) -> None:
        """Offer an arriving request to the scheduler of its entry host."""
        now = self._timeline.now
        host = arrival.host
        failure = self.schedulers[host].offer(arrival.work, now)
        if failure is not None:
            record.complete(Outcome.REFUSED, now)
            return
        self._requests[host][arrival.work.request] = InFlightRequest(arrival, record)
        self.run_scheduler(host)

    def run_scheduler(self, host: int) -> None:
        """Run a host's scheduler, and schedule its next run."""
        now = self._timeline.now
        scheduler = self.schedulers[host]
        for abandoned in scheduler.expire(now):
            self._record_abandoned(host, abandoned)
        while (assignment := scheduler.pick(now)) is not None:
            self._start_attempt(host, assignment)
        self._schedule_moves(host, scheduler.find_moves(now))
        wake_time = scheduler.find_next_time(now)
        planned_wake_time = self._scheduler_wake_times[host]
        if wake_time is not None and (
            planned_wake_time is None
            or wake_time < planned_wake_time
            or planned_wake_time <= now
        ):
            wake_time = max(wake_time, now + 0.001)
            self._scheduler_wake_times[host] = wake_time
            self._timeline.schedule(
                wake_time, lambda: self._run_scheduler_at(host, wake_time)
            )

    def _run_scheduler_at(self, host: int, at: float) -> None:
        if self._scheduler_wake_times[host] == at:
            self._scheduler_wake_times[host] = None
            self.run_scheduler(host)

    def _record_abandoned(self, host: int, abandoned: Abandoned) -> None:
        request_state = self._requests[host].pop(abandoned.request)
        outcome = Outcome.EXPIRED
        if not abandoned.failure.is_not_run:
            outcome = Outcome.FAILED
        request_state.record.complete(outcome, self._timeline.now)

    # Attempts

    def _start_attempt(self, host: int, assignment: Assignment) -> None:
        request_state = self._requests[host][assignment.work.request]
        tokens_done = assignment.work.tokens_done
        request_state.record.recomputed_tokens += request_state.tokens - tokens_done
        request_state.tokens = tokens_done
        target = max(1, request_state.arrival.answer_tokens - tokens_done)
        attempt = SimulatedAttempt(
            assignment.work,
            target,
            request_state.imported_tokens,
            request_state.has_started,
        )
        request_state.attempt = attempt
        request_state.server = assignment.server
        self._attempt_hosts[attempt] = host
        self._timeline.schedule_delayed(
            lambda: self._deliver_attempt(attempt, request_state)
        )

    def _deliver_attempt(
        self, attempt: SimulatedAttempt, request_state: InFlightRequest
    ) -> None:
        if request_state.attempt is not attempt or request_state.server is None:
            return
        server = self.servers.get(request_state.server)
        if server is None or server.rejects_attempts:
            self._send_attempt_end(attempt, AttemptOutcome.NOT_STARTED)
            return
        server.accept(attempt, self._timeline.now)
        self._schedule_report(server)

    def _schedule_report(self, server: AnyServer) -> None:
        at = server.find_next_report_time()
        if at is None or self._report_times.get(server.id) == at:
            return
        self._report_times[server.id] = at
        self._timeline.schedule(at, lambda: self._collect_reports(server, at))

    def _collect_reports(self, server: AnyServer, at: float) -> None:
        if self._report_times.get(server.id) != at or server.is_removed:
            return
        self._report_times[server.id] = None
        for report in server.collect_reports(self._timeline.now):
            self._send_report(report)
        self._schedule_report(server)

    def _send_report(self, report: AttemptReport) -> None:
        self._timeline.schedule_delayed(lambda: self._handle_report(report))

    def _handle_report(self, report: AttemptReport) -> None:
        attempt = report.attempt
        host = self._attempt_hosts.get(attempt)
        request_state = None
        if host is not None:
            request_state = self._requests[host].get(attempt.work.request)
        if (
            host is None
            or request_state is None
            or request_state.attempt is not attempt
        ):
            return
        now = self._timeline.now
        request = attempt.work.request
        server = request_state.server
        assert server is not None
        tokens_done = attempt.work.tokens_done
        is_first = request_state.tokens == tokens_done and report.tokens > 0
        new_tokens = tokens_done + report.tokens - request_state.tokens
        request_state.tokens = tokens_done + report.tokens
        scheduler = self.schedulers[host]
        if is_first:
            request_state.record.record_first_token(now)
            scheduler.record_first_token(request, server, now)
            new_tokens -= 1
        if new_tokens > 0:
            scheduler.record_tokens(request, server, new_tokens, now)
        if not report.is_done:
            return
        self._record_attempt_cost(request_state)
        scheduler.record_attempt_end(
            request, server, AttemptOutcome.DONE, request_state.tokens, now
        )
        del self._requests[host][request]
        request_state.record.complete(Outcome.ANSWERED, now)
        request_state.record.tokens = request_state.tokens
        self.run_scheduler(host)

    def _send_attempt_end(
        self, attempt: SimulatedAttempt, outcome: AttemptOutcome
    ) -> None:
        self._timeline.schedule_delayed(
            lambda: self._handle_attempt_end(attempt, outcome)
        )

    def _handle_attempt_end(
        self,
        attempt: SimulatedAttempt,
        outcome: AttemptOutcome,
        imported_tokens: int = 0,
    ) -> None:
        host = self._attempt_hosts.get(attempt)
        if host is None:
            return
        request_state = self._requests[host].get(attempt.work.request)
        if (
            request_state is None
            or request_state.attempt is not attempt
            or request_state.server is None
        ):
            return
        server = request_state.server
        self._record_attempt_cost(request_state, imported_tokens)
        decision = self.schedulers[host].record_attempt_end(
            attempt.work.request,
            server,
            outcome,
            request_state.tokens,
            self._timeline.now,
        )
        if isinstance(decision, Abandoned):
            self._record_abandoned(host, decision)
        else:
            assert isinstance(decision, Retry)
        self.run_scheduler(host)

    def _record_attempt_cost(
        self, request_state: InFlightRequest, imported_tokens: int = 0
    ) -> None:
        """Record the cost and the recomputed tokens of an ended attempt."""
        attempt = request_state.attempt
        assert attempt is not None
        assert request_state.server is not None
        self._attempt_hosts.pop(attempt, None)
        request_state.attempt = None
        server = self.servers.get(request_state.server)
        if attempt.started_at is not None:
            request_state.has_started = True
            request_state.imported_tokens = imported_tokens
            request_state.record.recomputed_tokens += attempt.recomputed_tokens
            occupied_seconds = self._timeline.now - attempt.started_at
            if server is not None:
                request_state.record.cost += occupied_seconds * compute_slot_price(
                    server.view
                )

    # Load reports and faults

    def publish_loads(self) -> None:
        """Update the hosts with the servers' load, delayed by `REPORT_LAG`."""
        now = self._timeline.now
        self._update_schedulers(now)
        loads = [(server, server.load) for server in self.servers.values()]

        def apply_loads() -> None:
            for server, load in loads:
                server.reported_load = load

        self._timeline.schedule(now + REPORT_LAG, apply_loads)
        self._timeline.schedule(now + REPORT_PERIOD, self.publish_loads)

    def _update_schedulers(self, now: float) -> None:
        views = [
            replace(server.view, load=server.reported_load, load_at=now - REPORT_LAG)
            for server in self.servers.values()
            if not server.is_removed
        ]
        for scheduler in self.schedulers:
            scheduler.update_servers(views, now)

    def slow_down(self, factor: float) -> None:
        """Multiply all times of the first server by a factor."""
        server = next(iter(self.servers.values()))
        server.collect_reports(self._timeline.now)
        server.slowdown = factor
        self._schedule_report(server)

    def reclaim(self, domains: tuple[str, ...]) -> None:
        """Announce and later remove servers of some failure domains, or half of all.

        Args:
            domains: domains that lose their reclaimable servers; if empty, the first
                half of the fleet is reclaimed.
        """
        now = self._timeline.now
        live = [
            server for server in self.servers.values() if not server.rejects_attempts
        ]
        if domains:
            reclaimed = [
                server
                for server in live
                if server.view.failure_domain in domains and server.view.reclaimable
            ]
        else:
            reclaimed = live[: len(live) // 2]
        leaving_at = now + RECLAIM_NOTICE
        for server in reclaimed:
            server.rejects_attempts = True
            server.view = replace(server.view, leaving_at=leaving_at)
            self._send_notice(server, leaving_at)
        self._timeline.schedule(leaving_at, lambda: self._remove_servers(reclaimed))

    def _send_notice(self, server: AnyServer, leaving_at: float) -> None:
        for host in range(len(self.schedulers)):
            received_at = self._timeline.now + self._rng.uniform(0, MAX_NOTICE_DELAY)
            handle_notice = partial(self._handle_notice, host, server, leaving_at)
            self._timeline.schedule(received_at, handle_notice)

    def _handle_notice(self, host: int, server: AnyServer, leaving_at: float) -> None:
        now = self._timeline.now
        moves = self.schedulers[host].handle_server_leaving(server.id, leaving_at, now)
        self._schedule_moves(host, moves)
        self.run_scheduler(host)

    def _schedule_moves(self, host: int, moves: Sequence[Move]) -> None:
        now = self._timeline.now
        for move in moves:
            request_state = self._requests[host].get(move.request)
            if (
                request_state is None
                or request_state.attempt is None
                or request_state.server is None
            ):
                continue
            server = self.servers[request_state.server]
            start_move = partial(
                self._move_attempt, server, request_state.attempt, move
            )
            self._timeline.schedule(max(now, move.stop_at), start_move)

    def _move_attempt(
        self, server: AnyServer, attempt: SimulatedAttempt, move: Move
    ) -> None:
        host = self._attempt_hosts.get(attempt)
        if host is None or attempt.has_ended or server.is_removed:
            return
        request_state = self._requests[host][move.request]
        now = self._timeline.now
        server.cancel(attempt, now)
        self._schedule_report(server)
        tokens = attempt.work.tokens_done + attempt.tokens
        request_state.tokens = max(request_state.tokens, tokens)
        export_seconds = 0.0
        imported_tokens = 0
        if move.export_cache and attempt.decode_start_step is not None:
            imported_tokens = attempt.work.prompt_tokens + tokens
            export_seconds = imported_tokens / EXPORT_TOKENS_PER_SECOND

        handle_end = partial(
            self._handle_attempt_end, attempt, AttemptOutcome.LEAVING, imported_tokens
        )
        self._timeline.schedule(now + export_seconds, handle_end)

    def _remove_servers(self, servers: Sequence[AnyServer]) -> None:
        lost_attempts = []
        for server in servers:
            server.collect_reports(self._timeline.now)
            server.is_removed = True
            lost_attempts += list(server.running)
            lost_attempts += [
                item[2] for item in server.waiting if not item[2].has_ended
            ]
        for attempt in lost_attempts:
            attempt.has_ended = True
            self._send_attempt_end(attempt, AttemptOutcome.LOST)
        self._timeline.schedule(
            self._timeline.now + REPLACEMENT_DELAY,
            lambda: self._add_replacements(servers),
        )

    def _add_replacements(self, servers: Sequence[AnyServer]) -> None:
        for server in servers:
            server_id = BackendServerId(f"{server.id}-next")
            self._add_server(replace(server.view, id=server_id, leaving_at=None))
