"""Admission of the requests that arrive at this host for engines."""

from collections.abc import Callable

import trio

from dewridge.codes import ResultCode
from dewridge.gateway.contention.mode import is_planned
from dewridge.gateway.contention.planning import (
    estimate_return_of_servers,
    get_prefill_rate,
    get_service_plan,
)
from dewridge.gateway.jobs import Job
from dewridge.gateway.state import GatewayState
from dewridge.gateway.weighing import is_load_shed
from dewridge.policy.returntimes import compute_wait, compute_wait_until
from dewridge.policy.workdemand import compute_work, get_urgency_class
from dewridge.sentinels import Failure

FirstEventEstimator = Callable[[GatewayState, Job, float], float | None]
"""Returns the expected seconds to a job's first event; None if not known."""


def estimate_unknown(state: GatewayState, job: Job, now: float) -> float | None:
    """Return None: no expected time is known."""
    return None


class AdmissionControl:
    """Admits or refuses jobs before their first attempt."""

    def __init__(
        self,
        state: GatewayState,
        estimate_first_event: FirstEventEstimator = estimate_unknown,
    ) -> None:
        self._state = state
        self._estimate_first_event = estimate_first_event

    def check(self, job: Job) -> Failure | None:
        """Return why a job is refused; None if it is admitted.

        A refusal without a retry time gets that of an overloaded service.
        """
        if not job.is_engine:
            return None
        if not is_planned(self._state, job.service):
            if is_load_shed(self._state, job):
                return Failure(ResultCode.QUEUE_FULL, "shed: overloaded")
            return None
        now = trio.current_time()
        self._record_arrival(job, now)
        if job.last_event is not None:
            # A stream that was interrupted elsewhere has run in part; refusing it would
            # lose that work.
            return None
        refusal = self._check_servers(job, now)
        refusal = refusal or self._check_expected_time(job, now)
        refusal = refusal or self._check_plan(job, now)
        self._state.metrics.add(
            "admissions_total",
            service=job.service,
            urgency=str(get_urgency_class(job.route.priority)),
            outcome="admitted" if refusal is None else "refused",
        )
        return refusal

    def _record_arrival(self, job: Job, now: float) -> None:
        contention = self._state.contention
        sizes = job.request.sizes
        known = get_service_plan(self._state, job.service, now)
        work = compute_work(
            sizes.prompt_tokens,
            get_prefill_rate(self._state, job.service, now),
            contention.output_times[job.route.name].estimate(sizes.output_tokens),
            round(known.slots / known.servers) if known.servers else 1,
        )
        contention.record_work(job.service, work)
        contention.demand.record_local(job.service, job.route.priority, work, now)

    def _check_servers(self, job: Job, now: float) -> Failure | None:
        state = self._state
        if state.servers.list_service(job.service):
            # If all of them ask for rest, the choice of a server handles this.
            state.contention.last_served_at[job.service] = now
            return None
        ready_in = estimate_return_of_servers(state, job.service, now)
        if ready_in is None:
            return None
        wait = compute_wait_until(ready_in, job.deadline - now, state.rng.random())
        return Failure(ResultCode.NO_BACKEND_SERVER, "no server", wait)

    def _check_expected_time(self, job: Job, now: float) -> Failure | None:
        expected = self._estimate_first_event(self._state, job, now)
        if expected is None or now + expected <= job.deadline:
            return None
        late_by = now + expected - job.deadline
        random_number = self._state.rng.random()
        wait = compute_wait_until(late_by, job.deadline - now, random_number)
        reason = f"first event expected in {expected:.2f} s, after the deadline"
        return Failure(ResultCode.QUEUE_FULL, reason, wait)

    def _check_plan(self, job: Job, now: float) -> Failure | None:
        known = get_service_plan(self._state, job.service, now)
        if not known.plan.is_contended:
            return None
        urgency = get_urgency_class(job.route.priority)
        account = job.account.name if job.account else None
        share = job.admission_share = known.plan.get_share(urgency, account)
        if self._state.contention.credits.admit((job.service, urgency), share):
            return None
        reason = (
            f"contended: share {share:.2f} of urgency {urgency}, "
            f"{known.in_flight:.0f} in flight, {known.slots:.0f} slots, "
            f"capacity {known.plan.capacity:.1f}"
        )
        wait = compute_wait(job.deadline - now, self._state.rng.random())
        return Failure(ResultCode.QUEUE_FULL, reason, wait)


def record_answer_end(state: GatewayState, job: Job) -> None:
    """Record how long the output of an answer took that ran on one server."""
    first, last = job.attempt_first_event_at, job.last_event_at
    if first is None or last is None or len(job.tried_servers) > 1:
        return
    if is_planned(state, job.service):
        state.contention.output_times[job.route.name].add_sample(
            last - first, job.events
        )
