"""Attempts at servers until one request has its answer, and what may be repeated."""

from dataclasses import dataclass, field

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.gateway.events import EventSplitter
from dewridge.gateway.forwarding import (
    Loss,
    Lost,
    OpenAnswer,
    WholeAnswer,
    read_whole,
    send_request,
)
from dewridge.gateway.model import (
    Account,
    CallerRequest,
    Route,
    RouteKind,
    ServerRecord,
)
from dewridge.gateway.responder import Responder
from dewridge.gateway.sharing import Summary
from dewridge.gateway.state import SERVER_SECONDS, GatewayState
from dewridge.http1.client import ConnectionBrokenError, Headers
from dewridge.http1.headers import drop_hop_headers
from dewridge.ids import BackendServerId, ServiceName
from dewridge.platform.headers import Dispatch
from dewridge.policy.choice import Candidate, choose_by_prefix, choose_least_loaded
from dewridge.policy.serverhealth import (
    ServerHealth,
    find_failure_share,
    find_median,
)
from dewridge.sentinels import Failure

REJECTIONS = 3
"""Sendings that servers refused before a request is given back. Each costs a round
trip; after three the service is as good as full."""
PROMPT_TOKENS_PER_REQUEST = 8_000.0
"""Prompt tokens that weigh as much as one running request: an engine reads them in
about 140 ms, during which the answers beside them stand still."""
SILENCE_TARGETS = 3.0
"""Times the target after which a server that has not answered counts as silent, where
the request may be repeated: nearly all answers that still come take less."""
LEAST_SILENCE = 0.25
STREAM_SILENCE = 2.0
"""Seconds without an event after which a resumable stream is moved: callers leave
after longer pauses, and engines hardly ever pause so long by themselves."""
PRIORITY_STEP = 3
"""Weight of the account's priority before the route's in the engines' scale of ten."""
FULL_FOR = 0.1
"""Seconds that a server counts as full after it refused: a few answers' time."""


@dataclass
class Job:
    """One request on its way.

    Attributes:
        request: the caller's request.
        route: its route.
        account: whose it is; None on an anonymous route.
        service: the service chosen for it.
        deadline: steady time at which it is given up.
        is_engine: whether model engines serve it.
        tried: servers that it was sent to.
        runs: sendings that may have run.
        last_event: last event passed on, or after which the caller resumes.
        rejections: sendings that servers refused.
        may_have_run: whether some server may have run it.
        is_counted: whether it counts in its account's usage.
        unread_tokens: tokens of the prompt that the server has yet to read.
        events: events passed on.
        first_event_at: steady time of the first one.
        last_event_at: steady time of the last one.
    """

    request: CallerRequest
    route: Route
    account: Account | None
    service: ServiceName
    deadline: float
    is_engine: bool
    tried: list[BackendServerId] = field(default_factory=list)
    rejections: int = 0
    runs: int = 0
    last_event: int | None = None
    may_have_run: bool = False
    is_counted: bool = False
    unread_tokens: int = 0
    events: int = 0
    first_event_at: float | None = None
    last_event_at: float | None = None

    def __post_init__(self) -> None:
        """Take over the event after which the caller resumes."""
        if self.route.is_resumable:
            self.last_event = self.request.last_event


class JobRunner:
    """Runs jobs against the servers that this gateway knows."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def run(self, job: Job, out: Responder) -> Failure | None:
        """Work on a job until it is answered; a failure is still to be told."""
        self._state.find_budget(job.service).note_first(trio.current_time())
        if job.is_engine:
            self._state.count_demand(job.service, job.request.sizes.prompt_tokens)
        while True:
            server = self._choose(job)
            if server is None:
                return self._give_back(job, ResultCode.NO_BACKEND_SERVER, "no server")
            lost = await self._attempt(job, server, out)
            if lost is None:
                return None
            self._note_loss(job, server, lost)
            failure = self._decide(job, lost, out)
            if failure is not None:
                return failure

    def _choose(self, job: Job) -> ServerRecord | None:
        now = trio.current_time()
        records = self._state.servers.list_service(job.service)
        untried = [one for one in records if one.id not in job.tried] or records
        candidates = self._weigh(untried, now)
        parts = job.request.sizes.parts
        if job.is_engine and len(parts) > 1:
            prefix = f"{job.request.sizes.model}/{parts[-2].id}"
            chosen = choose_by_prefix(candidates, prefix)
        else:
            chosen = choose_least_loaded(candidates, self._state.rng)
        return None if chosen is None else self._state.servers.find(chosen.id)

    def _weigh(self, records: list[ServerRecord], now: float) -> list[Candidate]:
        state = self._state
        others = state.sharing.find_summary(now)
        healths = [state.find_health(one.id) for one in records]
        shares = [
            self._find_fleet_share(one.id, health, others, now)
            for one, health in zip(records, healths, strict=True)
        ]
        median = find_median(
            health.failure_share if share is None else share
            for share, health in zip(shares, healths, strict=True)
        )
        candidates = []
        for record, health, share in zip(records, healths, shares, strict=True):
            requests, tokens = others.work.get(record.id, (0, 0))
            requests += state.work.requests.get(record.id, 0)
            tokens += state.work.tokens.get(record.id, 0)
            candidates.append(
                Candidate(
                    id=record.id,
                    failure_domain=record.failure_domain,
                    load=requests + tokens / PROMPT_TOKENS_PER_REQUEST,
                    slots=record.slots,
                    is_usable=health.is_usable(now, share, median),
                )
            )
        return candidates

    def _find_fleet_share(
        self,
        server: BackendServerId,
        health: ServerHealth,
        others: Summary,
        now: float,
    ) -> float | None:
        attempts, failures = others.outcomes.get(server, (0.0, 0.0))
        own_attempts, own_failures = health.recent.read(now)
        return find_failure_share(attempts + own_attempts, failures + own_failures)

    async def _attempt(
        self, job: Job, server: ServerRecord, out: Responder
    ) -> Lost | None:
        job.tried.append(server.id)
        work = self._state.work
        job.unread_tokens = job.request.sizes.prompt_tokens
        work.add(server.id, job.unread_tokens)
        try:
            return await self._exchange(job, server, out)
        finally:
            self._note_read(job, server)
            work.remove(server.id)

    def _note_read(self, job: Job, server: ServerRecord) -> None:
        self._state.work.note_read(server.id, job.unread_tokens)
        job.unread_tokens = 0

    async def _exchange(
        self, job: Job, server: ServerRecord, out: Responder
    ) -> Lost | None:
        answer = await self._send(job, server)
        if isinstance(answer, Lost):
            return answer
        job.may_have_run = True
        is_stream = job.route.kind is RouteKind.STREAM
        if is_stream and answer.head.status == 200:
            return await self._relay(job, server, answer, out)
        whole = await read_whole(answer)
        if isinstance(whole, Lost):
            return whole
        self._count(job)
        if whole.head.status >= 500 and self._may_repeat(job):
            return Lost(Loss.CUT_OFF, f"status {whole.head.status}", whole.head.status)
        await self._pass_on(job, server, whole, out)
        return None

    async def _send(self, job: Job, server: ServerRecord) -> OpenAnswer | Lost:
        now = trio.current_time()
        job.runs += 1
        dispatch = Dispatch(
            server=server.id,
            time_left=job.deadline - now,
            account=job.account.name if job.account else None,
            priority=find_priority(job) if job.is_engine else None,
            last_event=job.last_event,
        )
        answer: OpenAnswer | Lost = Lost(Loss.CUT_OFF, "silent")
        with trio.move_on_after(self._find_silence(job)):
            answer = await send_request(
                job.request,
                dispatch,
                server,
                self._state.pool,
                may_reuse=job.route.is_repeatable,
            )
        if isinstance(answer, OpenAnswer):
            seconds = trio.current_time() - now
            metrics = self._state.metrics
            metrics.observe(SERVER_SECONDS, seconds, server=server.id)
        if isinstance(answer, Lost) and answer.is_not_run:
            job.runs -= 1
        else:
            job.may_have_run = True
        return answer

    def _find_silence(self, job: Job) -> float:
        if not job.route.is_repeatable or not self._has_attempts_left(job):
            return float("inf")
        if job.route.kind is RouteKind.STREAM:
            return max(STREAM_SILENCE, SILENCE_TARGETS * job.route.target)
        return max(LEAST_SILENCE, SILENCE_TARGETS * job.route.target)

    def _has_attempts_left(self, job: Job) -> bool:
        return job.runs < job.route.attempts_limit

    def _may_repeat(self, job: Job) -> bool:
        return (
            job.route.is_repeatable
            and self._has_attempts_left(job)
            and trio.current_time() < job.deadline - 0.02
        )

    async def _pass_on(
        self, job: Job, server: ServerRecord, whole: WholeAnswer, out: Responder
    ) -> None:
        health = self._state.find_health(server.id)
        if whole.head.status >= 500:
            health.note_failure(trio.current_time(), is_hard=False)
        else:
            health.note_success(trio.current_time())
        headers = clean_answer_headers(whole.head.headers)
        await out.send_whole(whole.head.status, headers, whole.body)

    async def _relay(
        self, job: Job, server: ServerRecord, answer: OpenAnswer, out: Responder
    ) -> Lost | None:
        splitter = EventSplitter()
        try:
            while True:
                piece: bytes | None = None
                with trio.move_on_after(self._find_silence(job)) as scope:
                    piece = await answer.receive()
                if scope.cancelled_caught:
                    return Lost(Loss.CUT_OFF, "silent")
                if piece is None:
                    break
                self._note_read(job, server)
                await self._pass_events(job, splitter, piece, answer, out)
        except ConnectionBrokenError as error:
            return Lost(Loss.CUT_OFF, str(error))
        finally:
            answer.close()
        self._state.find_health(server.id).note_success(trio.current_time())
        if splitter.rest:
            return Lost(Loss.CUT_OFF, "ended within an event")
        if not out.has_begun:
            await out.begin(200, clean_answer_headers(answer.head.headers))
        await out.finish()
        return None

    async def _pass_events(
        self,
        job: Job,
        splitter: EventSplitter,
        piece: bytes,
        answer: OpenAnswer,
        out: Responder,
    ) -> None:
        fresh = []
        for event in splitter.push(piece):
            if event.id is not None:
                if job.last_event is not None and event.id <= job.last_event:
                    continue
                job.last_event = event.id
            fresh.append(event.raw)
        if not fresh:
            return
        self._count(job)
        job.events += len(fresh)
        job.last_event_at = trio.current_time()
        if job.first_event_at is None:
            job.first_event_at = job.last_event_at
        if not out.has_begun:
            await out.begin(200, clean_answer_headers(answer.head.headers))
        await out.send_piece(b"".join(fresh))

    def _count(self, job: Job) -> None:
        if not job.is_counted:
            job.is_counted = True
            self._state.count_began(job.account.name if job.account else None)

    def _note_loss(self, job: Job, server: ServerRecord, lost: Lost) -> None:
        now = trio.current_time()
        self._state.metrics.add("attempts_lost_total", loss=lost.loss.name)
        log.bind(
            id=job.request.id,
            service=job.service,
            server=server.id,
            loss=lost.loss.name,
            reason=lost.reason,
        ).info("attempt lost")
        health = self._state.find_health(server.id)
        if lost.loss is Loss.OTHER_SERVER:
            self._state.servers.drop(server.id, now, "another has its address")
        elif lost.loss is Loss.REJECTED:
            health.full_until = now + FULL_FOR
        else:
            health.note_failure(now, is_hard=lost.loss is Loss.NOT_CONNECTED)

    def _decide(self, job: Job, lost: Lost, out: Responder) -> Failure | None:
        """Return the failure to tell, or None to try another server."""
        now = trio.current_time()
        budget = self._state.find_budget(job.service)
        hosts = self._state.hosts.count()
        if lost.is_not_run:
            job.rejections += 1
            goes_on = job.rejections < REJECTIONS and budget.take(now, hosts)
        else:
            goes_on = self._may_repeat(job) and budget.take(now, hosts)
        if goes_on:
            return None
        if job.may_have_run:
            reason = f"{lost.loss.value}: {lost.reason}"
            return Failure(ResultCode.OUTCOME_UNKNOWN, reason)
        return self._give_back(job, ResultCode.QUEUE_FULL, lost.loss.value)

    def _give_back(self, job: Job, code: ResultCode, reason: str) -> Failure:
        if job.may_have_run:
            return Failure(ResultCode.OUTCOME_UNKNOWN, reason)
        left = max(0.0, job.deadline - trio.current_time())
        wait = min(1.0, left * self._state.rng.uniform(0.05, 0.25))
        return Failure(code, reason, wait)


def find_priority(job: Job) -> int:
    """Return the urgency for the engine: the account's, then the route's."""
    account = job.account.priority if job.account else None
    if account is None:
        return min(9, job.route.priority)
    return min(9, account * PRIORITY_STEP + min(PRIORITY_STEP - 1, job.route.priority))


def clean_answer_headers(headers: Headers) -> Headers:
    """Return a server's headers without those of its connection and framing."""
    return [
        (name, value)
        for name, value in drop_hop_headers(headers)
        if name != b"content-length"
    ]
