"""One service in the bench: entry hosts decide, servers work, callers wait."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from functools import partial

from dewridge.bench.deployments import (
    ENGINE,
    PLAIN_SECONDS,
    Arrival,
    ServiceShape,
)
from dewridge.bench.outcomes import Outcome, Record
from dewridge.bench.timeline import Timeline
from dewridge.bench.workers import (
    AnyServer,
    Report,
    SimulatedAttempt,
    SimulatedEngine,
    SimulatedPlainServer,
)
from dewridge.configuration.model import Profile
from dewridge.ids import BackendServerId, RequestId
from dewridge.policy.cost import find_slot_price
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
REPORT_LAG = 0.5
"""Seconds between two load reports, and their age when the hosts see them."""

NOTICE = 4.0
"""Seconds from a reclaim notice until the servers go."""
NOTICE_SPREAD = 0.5
"""Seconds until the last entry host has heard of the notice."""
REPLACEMENT = 20.0
"""Seconds until reclaimed servers are replaced."""

EXPORT_RATE = 20_000.0
"""Tokens of KV cache a second that one export moves."""


@dataclass(slots=True)
class InFlight:
    """A request while it is in the system.

    Attributes:
        attempt: the present one, if there is one.
        tokens: tokens that the owner keeps.
        imported: tokens whose KV cache was exported for the next attempt.
        has_run: whether an attempt began to run.
    """

    arrival: Arrival
    record: Record
    attempt: SimulatedAttempt | None = None
    server: BackendServerId | None = None
    tokens: int = 0
    imported: int = 0
    has_run: bool = False


class ServiceRun:
    """One service's servers and the schedulers of all entry hosts."""

    def __init__(
        self,
        timeline: Timeline,
        *,
        shape: ServiceShape,
        profile: Profile,
        servers: Sequence[ServerView],
        hosts: int,
        seed: int,
    ) -> None:
        self._timeline = timeline
        self._shape = shape
        self._rng = random.Random(f"{seed}/{shape.name}/run")
        self.servers: dict[BackendServerId, AnyServer] = {}
        for view in servers:
            self._add_server(view)
        service = shape.make_service()
        self.schedulers = [
            Scheduler(
                service, profile, seed=seed * 1000 + n, host_index=n, host_count=hosts
            )
            for n in range(hosts)
        ]
        self._requests: list[dict[RequestId, InFlight]] = [{} for _ in range(hosts)]
        self._wakes: list[float | None] = [None] * hosts
        self._owners: dict[SimulatedAttempt, int] = {}
        self._server_wakes: dict[BackendServerId, float | None] = {}
        self._publish(0.0)

    def _add_server(self, view: ServerView) -> None:
        server: AnyServer
        if self._shape.kind == "plain":
            server = SimulatedPlainServer(view, self._draw_plain_time)
        else:
            server = SimulatedEngine(view, ENGINE)
        self.servers[view.id] = server

    def _draw_plain_time(self) -> float:
        return PLAIN_SECONDS * self._rng.uniform(0.5, 1.5)

    # Callers

    def arrive(self, arrival: Arrival, record: Record) -> None:
        """Offer an arrival to its entry host."""
        now = self._timeline.now
        host = arrival.host
        failure = self.schedulers[host].offer(arrival.work, now)
        if failure is not None:
            record.end(Outcome.REFUSED, now)
            return
        self._requests[host][arrival.work.request] = InFlight(arrival, record)
        self.pump(host)

    def pump(self, host: int) -> None:
        """Carry out what a host's scheduler decides now."""
        now = self._timeline.now
        scheduler = self.schedulers[host]
        for abandoned in scheduler.expire(now):
            self._abandon(host, abandoned)
        while (assignment := scheduler.pick(now)) is not None:
            self._send(host, assignment)
        self._plan(host, scheduler.find_moves(now))
        wake = scheduler.find_next_time(now)
        known = self._wakes[host]
        if wake is not None and (known is None or wake < known or known <= now):
            wake = max(wake, now + 0.001)
            self._wakes[host] = wake
            self._timeline.schedule(wake, lambda: self._wake(host, wake))

    def _wake(self, host: int, at: float) -> None:
        if self._wakes[host] == at:
            self._wakes[host] = None
            self.pump(host)

    def _abandon(self, host: int, abandoned: Abandoned) -> None:
        flight = self._requests[host].pop(abandoned.request)
        outcome = Outcome.EXPIRED
        if not abandoned.failure.is_not_run:
            outcome = Outcome.FAILED
        flight.record.end(outcome, self._timeline.now)

    # Attempts

    def _send(self, host: int, assignment: Assignment) -> None:
        flight = self._requests[host][assignment.work.request]
        done = assignment.work.tokens_done
        flight.record.recomputed += flight.tokens - done
        flight.tokens = done
        target = max(1, flight.arrival.tokens - done)
        attempt = SimulatedAttempt(
            assignment.work, target, flight.imported, flight.has_run
        )
        flight.attempt = attempt
        flight.server = assignment.server
        self._owners[attempt] = host
        self._timeline.schedule_delayed(lambda: self._receive(attempt, flight))

    def _receive(self, attempt: SimulatedAttempt, flight: InFlight) -> None:
        if flight.attempt is not attempt or flight.server is None:
            return
        server = self.servers.get(flight.server)
        if server is None or server.refuses:
            self._answer_end(attempt, AttemptOutcome.NOT_STARTED)
            return
        server.accept(attempt, self._timeline.now)
        self._watch(server)

    def _watch(self, server: AnyServer) -> None:
        at = server.find_next_time()
        if at is None or self._server_wakes.get(server.id) == at:
            return
        self._server_wakes[server.id] = at
        self._timeline.schedule(at, lambda: self._serve(server, at))

    def _serve(self, server: AnyServer, at: float) -> None:
        if self._server_wakes.get(server.id) != at or server.is_gone:
            return
        self._server_wakes[server.id] = None
        for report in server.collect(self._timeline.now):
            self._answer(report)
        self._watch(server)

    def _answer(self, report: Report) -> None:
        self._timeline.schedule_delayed(lambda: self._hear(report))

    def _hear(self, report: Report) -> None:
        attempt = report.attempt
        host = self._owners.get(attempt)
        flight = None
        if host is not None:
            flight = self._requests[host].get(attempt.work.request)
        if host is None or flight is None or flight.attempt is not attempt:
            return
        now = self._timeline.now
        request = attempt.work.request
        server = flight.server
        assert server is not None
        done = attempt.work.tokens_done
        is_first = flight.tokens == done and report.tokens > 0
        gained = done + report.tokens - flight.tokens
        flight.tokens = done + report.tokens
        scheduler = self.schedulers[host]
        if is_first:
            flight.record.note_first_token(now)
            scheduler.record_first_token(request, server, now)
            gained -= 1
        if gained > 0:
            scheduler.record_tokens(request, server, gained, now)
        if not report.is_done:
            return
        self._settle(flight)
        scheduler.record_attempt_end(
            request, server, AttemptOutcome.DONE, flight.tokens, now
        )
        del self._requests[host][request]
        flight.record.end(Outcome.ANSWERED, now)
        flight.record.tokens = flight.tokens
        self.pump(host)

    def _answer_end(self, attempt: SimulatedAttempt, outcome: AttemptOutcome) -> None:
        self._timeline.schedule_delayed(lambda: self._end(attempt, outcome))

    def _end(
        self, attempt: SimulatedAttempt, outcome: AttemptOutcome, imported: int = 0
    ) -> None:
        host = self._owners.get(attempt)
        if host is None:
            return
        flight = self._requests[host].get(attempt.work.request)
        if flight is None or flight.attempt is not attempt or flight.server is None:
            return
        server = flight.server
        self._settle(flight, imported)
        decision = self.schedulers[host].record_attempt_end(
            attempt.work.request, server, outcome, flight.tokens, self._timeline.now
        )
        if isinstance(decision, Abandoned):
            self._abandon(host, decision)
        else:
            assert isinstance(decision, Retry)
        self.pump(host)

    def _settle(self, flight: InFlight, imported: int = 0) -> None:
        """Charge an attempt that is over and take note of what it wasted."""
        attempt = flight.attempt
        assert attempt is not None
        assert flight.server is not None
        self._owners.pop(attempt, None)
        flight.attempt = None
        server = self.servers.get(flight.server)
        if attempt.running_at is not None:
            flight.has_run = True
            flight.imported = imported
            flight.record.recomputed += attempt.recomputed
            held = self._timeline.now - attempt.running_at
            if server is not None:
                flight.record.cost += held * find_slot_price(server.view)

    # Surroundings

    def publish_loads(self) -> None:
        """Show the hosts the servers' load, as it was a while ago."""
        now = self._timeline.now
        self._publish(now)
        loads = [(server, server.load) for server in self.servers.values()]

        def arrive() -> None:
            for server, load in loads:
                server.reported_load = load

        self._timeline.schedule(now + REPORT_LAG, arrive)
        self._timeline.schedule(now + REPORT_PERIOD, self.publish_loads)

    def _publish(self, now: float) -> None:
        views = [
            replace(server.view, load=server.reported_load, load_at=now - REPORT_LAG)
            for server in self.servers.values()
            if not server.is_gone
        ]
        for scheduler in self.schedulers:
            scheduler.update_servers(views, now)

    def slow_down(self, factor: float) -> None:
        """Slow the first server down."""
        server = next(iter(self.servers.values()))
        server.collect(self._timeline.now)
        server.slowdown = factor
        self._watch(server)

    def reclaim(self, domains: tuple[str, ...]) -> None:
        """Give notice to servers of some domains, or to half of the fleet."""
        now = self._timeline.now
        live = [server for server in self.servers.values() if not server.refuses]
        if domains:
            taken = [
                server
                for server in live
                if server.view.failure_domain in domains and server.view.reclaimable
            ]
        else:
            taken = live[: len(live) // 2]
        leaving_at = now + NOTICE
        for server in taken:
            server.refuses = True
            server.view = replace(server.view, leaving_at=leaving_at)
            self._tell_hosts(server, leaving_at)
        self._timeline.schedule(leaving_at, lambda: self._take_away(taken))

    def _tell_hosts(self, server: AnyServer, leaving_at: float) -> None:
        for host in range(len(self.schedulers)):
            heard_at = self._timeline.now + self._rng.uniform(0, NOTICE_SPREAD)
            hear = partial(self._hear_notice, host, server, leaving_at)
            self._timeline.schedule(heard_at, hear)

    def _hear_notice(self, host: int, server: AnyServer, leaving_at: float) -> None:
        now = self._timeline.now
        moves = self.schedulers[host].handle_server_leaving(server.id, leaving_at, now)
        self._plan(host, moves)
        self.pump(host)

    def _plan(self, host: int, moves: Sequence[Move]) -> None:
        now = self._timeline.now
        for move in moves:
            flight = self._requests[host].get(move.request)
            if flight is None or flight.attempt is None or flight.server is None:
                continue
            server = self.servers[flight.server]
            act = partial(self._move, server, flight.attempt, move)
            self._timeline.schedule(max(now, move.at), act)

    def _move(self, server: AnyServer, attempt: SimulatedAttempt, move: Move) -> None:
        host = self._owners.get(attempt)
        if host is None or attempt.ended or server.is_gone:
            return
        flight = self._requests[host][move.request]
        now = self._timeline.now
        server.cancel(attempt, now)
        self._watch(server)
        tokens = attempt.work.tokens_done + attempt.tokens
        flight.tokens = max(flight.tokens, tokens)
        pause = 0.0
        imported = 0
        if move.export_cache and attempt.joined is not None:
            imported = attempt.work.prompt_tokens + tokens
            pause = imported / EXPORT_RATE

        end = partial(self._end, attempt, AttemptOutcome.LEAVING, imported)
        self._timeline.schedule(now + pause, end)

    def _take_away(self, servers: Sequence[AnyServer]) -> None:
        lost = []
        for server in servers:
            server.collect(self._timeline.now)
            server.is_gone = True
            lost += list(server.running)
            lost += [item[2] for item in server.waiting if not item[2].ended]
        for attempt in lost:
            attempt.ended = True
            self._answer_end(attempt, AttemptOutcome.LOST)
        self._timeline.schedule(
            self._timeline.now + REPLACEMENT, lambda: self._replace(servers)
        )

    def _replace(self, servers: Sequence[AnyServer]) -> None:
        for server in servers:
            identity = BackendServerId(f"{server.id}-next")
            self._add_server(replace(server.view, id=identity, leaving_at=None))
