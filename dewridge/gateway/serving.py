"""The way of one request: judged, admitted, sent to servers, its answer passed on."""

from dataclasses import dataclass

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.gateway.attempts import JobRunner
from dewridge.gateway.ingress import send_failure
from dewridge.gateway.jobs import Job
from dewridge.gateway.measures import count_request, observe_first_event
from dewridge.gateway.model import (
    Account,
    CallerRequest,
    Configuration,
    Route,
    RouteKind,
)
from dewridge.gateway.responder import CallerDisconnectedError, Responder
from dewridge.gateway.state import GatewayState
from dewridge.gateway.suspects import check_quarantine, describe_suspect
from dewridge.ids import ServiceName
from dewridge.policy.quota import make_quota
from dewridge.sentinels import Failure

FRESH_ENOUGH = 1.8
"""Age in seconds up to which the configuration may say that something does not exist.
A route or key that was just added must not be denied for good by a host that has not
seen it; past this age the caller is asked to come back."""
COME_BACK = 0.3
"""Seconds after which a caller finds news here, or another host: half a poll."""
STREAM_TIME = 4.0
"""Seconds that a stream takes at most, but for the longest one in a hundred under
load."""
END_SLACK = 0.1
"""Seconds past a deadline for the last bytes of an answer that is just ready."""


@dataclass(frozen=True, slots=True)
class Judged:
    """A request with what the configuration in force says of it."""

    configuration: Configuration
    route: Route
    account: Account | None


class RequestProcessor:
    """Serves the requests of all callers of this host."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._runner = JobRunner(state)

    async def serve(self, request: CallerRequest, out: Responder) -> None:
        """Answer one request; every fault becomes an answer or a cut stream."""
        began = trio.current_time()
        job: Job | None = None
        failure: Failure | None = None
        try:
            judged = self._judge(request)
            if isinstance(judged, Failure):
                failure = judged
            else:
                job = self._make_job(request, judged)
                failure = self._admit(job) or await self._run(job, out)
        except (CallerDisconnectedError, trio.Cancelled):
            self._tell(request, job, out, None, began, "caller left")
            raise
        except Exception as error:
            log.bind(id=request.id).opt(exception=error).error("request failed")
            failure = Failure(ResultCode.INTERNAL, type(error).__name__)
        if failure is not None and not out.has_started:
            await send_failure(out, failure)
        self._tell(request, job, out, failure, began, "")

    def _judge(self, request: CallerRequest) -> Judged | Failure:
        configuration = self._state.configuration.current
        if configuration is None:
            return self._ask_back("no configuration yet")
        if not request.id:
            return Failure(ResultCode.MALFORMED_REQUEST, "the request has no id")
        route = configuration.find_route(request.hostname, request.path)
        if route is None:
            return self._deny(ResultCode.UNKNOWN_SERVICE, "no route")
        account = None
        if configuration.has_accounts and not route.is_anonymous:
            if not self._state.configuration.is_trusted:
                return self._ask_back("the store is out of reach")
            account = configuration.accounts.get(request.key)
            if account is None:
                return self._deny(ResultCode.UNAUTHENTICATED, "unknown key")
        late = self._check_leaving(request, route)
        return late or Judged(configuration, route, account)

    def _admit(self, job: Job) -> Failure | None:
        set_aside = check_quarantine(self._state, job)
        return set_aside or self._check_quota(job.request, job.account)

    def _check_leaving(self, request: CallerRequest, route: Route) -> Failure | None:
        """Refuse what can't be answered whole before this process ends.

        Made for a rolling restart under callers who still hold the old addresses. A
        stream that is cut at the process's end has run and may not be repeated;
        refused at once, the caller sends it to another host.
        """
        left = self._state.leaves_at - trio.current_time()
        if route.kind is RouteKind.STREAM:
            needed = STREAM_TIME
        else:
            needed = min(request.deadline - request.arrived_at, route.timeout)
        if left >= needed:
            return None
        return Failure(ResultCode.HOST_LEAVING, "this host is leaving", 0.0)

    def _deny(self, code: ResultCode, reason: str) -> Failure:
        if self._state.configuration.age > FRESH_ENOUGH:
            return self._ask_back(f"{reason}, but the configuration may be old")
        return Failure(code, reason)

    def _ask_back(self, reason: str) -> Failure:
        wait = COME_BACK * self._state.rng.uniform(0.5, 1.5)
        return Failure(ResultCode.CONFIGURATION_STALE, reason, wait)

    def _check_quota(
        self, request: CallerRequest, account: Account | None
    ) -> Failure | None:
        if account is None or account.rate <= 0:
            return None
        amount = find_quota_units(request, account)
        state = self._state
        bounds = state.settings.bounds
        quota = make_quota(
            account.rate,
            account.burst,
            bounds.quota_overrun,
            bounds.quota_slack,
            bounds.quota_window,
        )
        now = trio.current_time()
        fleet = state.make_fleet_view()
        draw = state.rng.random()
        wait = state.ledger.find_wait(account.name, amount, quota, now, fleet, draw)
        if wait > 0:
            spread = wait * state.rng.uniform(1.0, 1.5)
            level = state.ledger.find_level(account.name)
            reason = (
                f"over the quota: asks {amount:.0f}, {level:.0f} left, "
                f"{fleet.hosts} hosts, {fleet.silent} silent"
            )
            return Failure(ResultCode.SHARE_EXCEEDED, reason, spread)
        state.ledger.record(state.host, account.name, amount, now)
        return None

    def _make_job(self, request: CallerRequest, judged: Judged) -> Job:
        route = judged.route
        deadline = min(request.deadline, request.arrived_at + route.timeout)
        return Job(
            request=request,
            route=route,
            account=judged.account,
            service=self._choose_service(route),
            deadline=deadline,
            is_engine=self._has_engine(judged, route),
        )

    def _choose_service(self, route: Route) -> ServiceName:
        weights = [share.weight for share in route.shares]
        if len(weights) == 1 or sum(weights) <= 0:
            return route.shares[0].service
        return self._state.rng.choices(route.shares, weights)[0].service

    def _has_engine(self, judged: Judged, route: Route) -> bool:
        service = judged.configuration.services.get(route.shares[0].service)
        return service is not None and service.engine is not None

    async def _run(self, job: Job, out: Responder) -> Failure | None:
        failure: Failure | None = None
        with trio.move_on_at(job.deadline + END_SLACK) as scope:
            failure = await self._runner.run(job, out)
        if scope.cancelled_caught:
            if job.may_have_run:
                return Failure(ResultCode.DEADLINE_PASSED_RUNNING, "deadline")
            return Failure(ResultCode.DEADLINE_PASSED, "deadline")
        return failure

    def _tell(
        self,
        request: CallerRequest,
        job: Job | None,
        out: Responder,
        failure: Failure | None,
        began: float,
        note: str,
    ) -> None:
        now = trio.current_time()
        count_request(self._state, job, out, failure, now - began)
        if job is not None and job.first_event_at is not None:
            observe_first_event(self._state, job, job.first_event_at - began)
        stream = describe_stream(job, began, now) if job else {}
        log.bind(
            id=request.id,
            **stream,
            route=job.route.name if job else "",
            account=job.account.name if job and job.account else "",
            status=out.status,
            code=failure.code.name if failure else "",
            reason=failure.reason if failure else note,
            **describe_suspect(self._state, job),
            servers=",".join(job.tried_servers) if job else "",
            is_whole=out.is_finished,
            ms=round((now - began) * 1000, 1),
            version=self._state.configuration.version,
            age=round(self._state.configuration.age, 2),
        ).info("request")


def find_quota_units(request: CallerRequest, account: Account) -> float:
    """Return what a request takes out of its account's quota."""
    if not account.counts_tokens:
        return 1.0
    return float(request.sizes.tokens or account.plain_tokens)


def describe_stream(job: Job, began: float, now: float) -> dict[str, float]:
    """Return how far a stream came, for the line that tells its end."""
    if job.first_event_at is None or job.last_event_at is None:
        return {}
    return {
        "events": job.events,
        "first_event_ms": round((job.first_event_at - began) * 1000, 1),
        "since_last_ms": round((now - job.last_event_at) * 1000, 1),
    }
