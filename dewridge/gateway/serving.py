"""Processing of a request: routing, authentication, admission, dispatch and logging."""

from dataclasses import dataclass

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.gateway.attempts import JobRunner
from dewridge.gateway.contention.accounts import count_unlimited_usage, count_usage
from dewridge.gateway.contention.describing import describe_admission
from dewridge.gateway.ingress import send_failure
from dewridge.gateway.jobs import Job
from dewridge.gateway.measures import count_request, observe_first_event
from dewridge.gateway.model import (
    Account,
    CallerRequest,
    Configuration,
    Route,
)
from dewridge.gateway.placement.outcomes import describe_choice
from dewridge.gateway.responder import CallerDisconnectedError, Responder
from dewridge.gateway.shutdown.accepting import DEADLINE_SLACK, check_time_to_exit
from dewridge.gateway.shutdown.progress import ServedRequest, Stage
from dewridge.gateway.state import GatewayState
from dewridge.gateway.suspects import check_quarantine, describe_suspect
from dewridge.gateway.versions.origins import (
    describe_origin,
    find_origin,
    record_end,
)
from dewridge.ids import ServiceName
from dewridge.policy.quota import make_quota
from dewridge.sentinels import Failure

MAX_DENIAL_CONFIGURATION_AGE = 1.8
"""Age in seconds of the configuration up to which an unknown route or key is denied.
With an older configuration the caller is asked to retry: the route or key may have been
added since then, and must not be denied permanently."""
STALE_RETRY_AFTER = 0.3
"""Mean seconds after which a caller is asked to retry, here or at another host, if the
configuration of this host is outdated or missing: half a poll interval."""
MAX_LOGGED_SERVERS = 8
"""Servers that withheld requests, in the line of a request that was refused."""


@dataclass(frozen=True, slots=True)
class ResolvedRequest:
    """A request's route and account by the configuration in force."""

    configuration: Configuration
    route: Route
    account: Account | None


class RequestProcessor:
    """Processes the requests of all callers of this host."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._runner = JobRunner(state)

    async def serve(self, request: CallerRequest, responder: Responder) -> None:
        """Answer a request; any failure is answered, or interrupts the stream."""
        with self._state.served.track(responder) as served:
            await self._serve(request, responder, served)

    async def _serve(
        self, request: CallerRequest, responder: Responder, served: ServedRequest
    ) -> None:
        started_at = trio.current_time()
        job: Job | None = None
        failure: Failure | None = None
        try:
            resolved = self._resolve(request)
            if isinstance(resolved, Failure):
                failure = resolved
            else:
                job = served.job = self._make_job(request, resolved)
                with served.scope:
                    failure = (
                        await find_origin(self._state, job)
                        or self._admit(job)
                        or await self._run(job, responder)
                    )
                if served.scope.cancelled_caught:
                    failure = make_exit_failure(served)
        except (CallerDisconnectedError, trio.Cancelled):
            reason = f"host exits: {served.stage.value}"
            if not self._state.served.is_exiting:
                reason = "caller left"
            self._record_completion(request, job, responder, None, started_at, reason)
            raise
        except Exception as error:
            log.bind(id=request.id).opt(exception=error).error("request failed")
            failure = Failure(ResultCode.INTERNAL, type(error).__name__)
        finally:
            if job is not None:
                record_end(self._state, job)
        if failure is not None and not responder.has_started:
            await send_failure(responder, failure)
        self._record_completion(request, job, responder, failure, started_at, "")

    def _resolve(self, request: CallerRequest) -> ResolvedRequest | Failure:
        configuration = self._state.configuration.current
        if configuration is None:
            return self._ask_to_retry("no configuration yet")
        if not request.id:
            return Failure(ResultCode.MALFORMED_REQUEST, "the request has no id")
        route = configuration.find_route(request.hostname, request.path)
        if route is None:
            return self._deny(ResultCode.UNKNOWN_SERVICE, "no route")
        account = None
        if configuration.has_accounts and not route.is_anonymous:
            if not self._state.configuration.is_trusted:
                return self._ask_to_retry("the store is out of reach")
            account = configuration.accounts.get(request.key)
            if account is None:
                return self._deny(ResultCode.UNAUTHENTICATED, "unknown key")
        deadline = compute_deadline(request, route)
        refusal = check_time_to_exit(self._state, route, deadline)
        return refusal or ResolvedRequest(configuration, route, account)

    def _admit(self, job: Job) -> Failure | None:
        refusal = check_quarantine(self._state, job)
        return refusal or self._check_quota(job.request, job.account)

    def _deny(self, code: ResultCode, reason: str) -> Failure:
        if self._state.configuration.age > MAX_DENIAL_CONFIGURATION_AGE:
            return self._ask_to_retry(f"{reason}, but the configuration may be old")
        return Failure(code, reason)

    def _ask_to_retry(self, reason: str) -> Failure:
        wait = STALE_RETRY_AFTER * self._state.rng.uniform(0.5, 1.5)
        return Failure(ResultCode.CONFIGURATION_STALE, reason, wait)

    def _check_quota(
        self, request: CallerRequest, account: Account | None
    ) -> Failure | None:
        if account is None:
            return None
        state = self._state
        amount = compute_quota_units(request, account)
        now = trio.current_time()
        if account.rate <= 0:
            count_unlimited_usage(state, account.name, amount, now)
            return None
        bounds = state.settings.bounds
        quota = make_quota(
            account.rate,
            account.burst,
            bounds.quota_overrun,
            bounds.quota_slack,
            bounds.quota_window,
        )
        fleet = state.make_fleet_view()
        random_number = state.rng.random()
        wait = state.ledger.compute_wait(
            account.name, amount, quota, now, fleet, random_number
        )
        if wait > 0:
            retry_after = wait * state.rng.uniform(1.0, 1.5)
            level = state.ledger.get_level(account.name)
            reason = (
                f"over the quota: asks {amount:.0f}, {level:.0f} left, "
                f"{fleet.hosts} hosts, {fleet.silent} silent"
            )
            return Failure(ResultCode.SHARE_EXCEEDED, reason, retry_after)
        state.ledger.record(state.host, account.name, amount, now)
        count_usage(state, account.name, amount, now)
        return None

    def _make_job(self, request: CallerRequest, resolved: ResolvedRequest) -> Job:
        route = resolved.route
        return Job(
            request=request,
            route=route,
            account=resolved.account,
            service=self._choose_service(route),
            deadline=compute_deadline(request, route),
            is_engine=self._has_engine(resolved, route),
        )

    def _choose_service(self, route: Route) -> ServiceName:
        weights = [share.weight for share in route.shares]
        if len(weights) == 1 or sum(weights) <= 0:
            return route.shares[0].service
        return self._state.rng.choices(route.shares, weights)[0].service

    def _has_engine(self, resolved: ResolvedRequest, route: Route) -> bool:
        service = resolved.configuration.services.get(route.shares[0].service)
        return service is not None and service.engine is not None

    async def _run(self, job: Job, responder: Responder) -> Failure | None:
        # On an open connection the request would be sent before the time limit, which
        # acts at the next wait, ends it.
        if trio.current_time() >= job.deadline:
            return Failure(ResultCode.DEADLINE_PASSED, "deadline")
        failure: Failure | None = None
        with trio.move_on_at(job.deadline + DEADLINE_SLACK) as scope:
            failure = await self._runner.run(job, responder)
        if scope.cancelled_caught:
            if job.may_have_run:
                return Failure(ResultCode.DEADLINE_PASSED_RUNNING, "deadline")
            return Failure(ResultCode.DEADLINE_PASSED, "deadline")
        return failure

    def _record_completion(
        self,
        request: CallerRequest,
        job: Job | None,
        responder: Responder,
        failure: Failure | None,
        started_at: float,
        reason: str,
    ) -> None:
        now = trio.current_time()
        count_request(self._state, job, responder, failure, now - started_at)
        if job is not None and job.first_event_at is not None:
            observe_first_event(self._state, job, job.first_event_at - started_at)
        stream = describe_stream(job, started_at, now) if job else {}
        if job is not None and stream and responder.is_finished:
            self._state.stream_lengths.record(job.route.name, now - started_at, now)
        withheld = ",".join(job.withheld_servers[:MAX_LOGGED_SERVERS]) if job else ""
        log.bind(
            id=request.id,
            **stream,
            route=job.route.name if job else "",
            account=job.account.name if job and job.account else "",
            status=responder.status,
            code=failure.code.name if failure else "",
            reason=failure.reason if failure else reason,
            **describe_suspect(self._state, job),
            **describe_origin(self._state, job),
            servers=",".join(job.tried_servers) if job else "",
            **(describe_choice(job) if job else {}),
            **({"withheld": withheld} if withheld else {}),
            **({"relays": ",".join(job.relays)} if job and job.relays else {}),
            **describe_admission(job),
            is_whole=responder.is_finished,
            ms=round((now - started_at) * 1000, 1),
            version=self._state.configuration.version,
            age=round(self._state.configuration.age, 2),
        ).info("request")


def make_exit_failure(served: ServedRequest) -> Failure:
    """Return the failure of a request that has no answer when this host exits."""
    if served.stage is Stage.WAITING:
        return Failure(ResultCode.HOST_LEAVING, "this host exits", 0.0)
    return Failure(ResultCode.OUTCOME_UNKNOWN, "this host exits")


def compute_deadline(request: CallerRequest, route: Route) -> float:
    """Return the time at which a request is abandoned."""
    return min(request.deadline, request.arrived_at + route.timeout)


def compute_quota_units(request: CallerRequest, account: Account) -> float:
    """Return the units that a request uses of its account's quota."""
    if not account.counts_tokens:
        return 1.0
    return float(request.sizes.tokens or account.plain_tokens)


def describe_stream(job: Job, started_at: float, now: float) -> dict[str, float]:
    """Return the progress of a stream as log fields; empty if it sent no event."""
    if job.first_event_at is None or job.last_event_at is None:
        return {}
    return {
        "events": job.events,
        "first_event_ms": round((job.first_event_at - started_at) * 1000, 1),
        "since_last_ms": round((now - job.last_event_at) * 1000, 1),
    }
