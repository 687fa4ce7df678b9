"""Admission of the requests that arrive at this host for engines."""

from collections.abc import Callable
from dataclasses import dataclass

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
from dewridge.policy.admissionplan import PLANNED_LOAD
from dewridge.policy.returntimes import compute_wait, is_returning
from dewridge.policy.workdemand import compute_work, get_urgency_class
from dewridge.sentinels import Failure

FirstEventEstimator = Callable[[GatewayState, Job, float], float | None]
"""Returns the expected seconds to a job's first event; None if not known."""


def estimate_unknown(state: GatewayState, job: Job, now: float) -> float | None:
    """Return None: no expected time is known."""
    return None


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrived.

    Attributes:
        time_left: seconds until its caller's deadline.
        usual: the usual time left on its route.
        is_returning: whether its caller was probably refused before.
    """

    time_left: float
    usual: float
    is_returning: bool


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
        arrival = self._record_arrival(job, now)
        if job.last_event is not None:
            # A stream that was interrupted elsewhere has run in part; refusing it would
            # lose that work.
            return None
        refusal = self._check_servers(job, arrival, now)
        refusal = refusal or self._check_expected_time(job, arrival, now)
        refusal = refusal or self._check_plan(job, arrival, now)
        outcome = "admitted" if refusal is None else "refused"
        self._count(job, arrival, outcome)
        return refusal

    def _record_arrival(self, job: Job, now: float) -> Arrival:
        contention = self._state.contention
        sizes = job.request.sizes
        plan = get_service_plan(self._state, job.service, now)
        work = compute_work(
            sizes.prompt_tokens,
            get_prefill_rate(self._state, job.service, now),
            contention.output_times[job.route.name].estimate(sizes.output_tokens),
            round(plan.slots / plan.servers) if plan.servers else 1,
        )
        contention.record_work(job.service, work)
        contention.demand.record_local(job.service, job.route.priority, work, now)
        request = job.request
        time_left = max(0.0, request.deadline - request.arrived_at)
        usual_times = contention.usual_times[job.route.name]
        usual_times.record(time_left, now)
        usual = usual_times.get(now)
        return Arrival(time_left, usual, is_returning(time_left, usual))

    def _check_servers(self, job: Job, arrival: Arrival, now: float) -> Failure | None:
        state = self._state
        if state.list_serving(job.service):
            state.contention.lost_at.pop(job.service, None)
            return None
        wait = estimate_return_of_servers(state, job.service, now)
        return self._refuse(
            job, arrival, wait, "no server", ResultCode.NO_BACKEND_SERVER
        )

    def _check_expected_time(
        self, job: Job, arrival: Arrival, now: float
    ) -> Failure | None:
        expected = self._estimate_first_event(self._state, job, now)
        if expected is None or now + expected <= job.deadline:
            return None
        late_by = now + expected - job.deadline
        reason = f"first event expected in {expected:.2f} s, after the deadline"
        return self._refuse(job, arrival, late_by, reason)

    def _check_plan(self, job: Job, arrival: Arrival, now: float) -> Failure | None:
        known = get_service_plan(self._state, job.service, now)
        if not known.plan.is_contended:
            return None
        urgency = get_urgency_class(job.route.priority)
        account = job.account.name if job.account else None
        share = known.plan.get_share(urgency, account)
        job.admission_share = share
        if self._state.contention.credits.admit(
            (job.service, urgency, account), share, is_returning=arrival.is_returning
        ):
            return None
        capacity = max(known.plan.capacity, known.servers * PLANNED_LOAD, 1e-9)
        wait = known.plan.waiting_work / capacity
        reason = (
            f"contended: share {share:.2f} of urgency {urgency}, "
            f"{known.in_flight:.0f} in flight, {known.slots:.0f} slots, "
            f"capacity {known.plan.capacity:.1f}"
        )
        return self._refuse(job, arrival, wait, reason)

    def _refuse(
        self,
        job: Job,
        arrival: Arrival,
        capacity_in: float,
        reason: str,
        code: ResultCode = ResultCode.QUEUE_FULL,
    ) -> Failure:
        time_left = job.deadline - trio.current_time()
        random_number = self._state.rng.random()
        wait = compute_wait(capacity_in, time_left, arrival.usual, random_number)
        return Failure(code, reason, wait)

    def _count(self, job: Job, arrival: Arrival, outcome: str) -> None:
        self._state.metrics.add(
            "admissions_total",
            service=job.service,
            urgency=str(get_urgency_class(job.route.priority)),
            caller="returning" if arrival.is_returning else "new",
            outcome=outcome,
        )


def record_answer_end(state: GatewayState, job: Job, now: float) -> None:
    """Record the time from the first event of a complete answer to its end."""
    if job.first_event_at is not None and is_planned(state, job.service):
        meter = state.contention.output_times[job.route.name]
        meter.add_sample(now - job.first_event_at)
