"""Replay of engines under contention, without a network.

Hosts admit requests by figures of the other hosts that are `DELAY` old. Engines process
prompts one at a time and generate output for all requests in their slots in between;
requests beyond the slots wait, the most urgent first.
"""

import heapq
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from dewridge.ids import ClientAccount
from dewridge.policy.admissioncredits import AdmissionCredits
from dewridge.policy.admissionplan import (
    AdmissionPlan,
    ServiceLoad,
    make_plan,
)
from dewridge.policy.ratemeter import RateMeter
from dewridge.policy.returntimes import compute_wait
from dewridge.policy.shedding import should_shed
from dewridge.policy.workdemand import OutputTimeMeter, compute_work

HOSTS = 58
DELAY = 0.9
"""Seconds after which a host knows what happened at the others."""
STEP = 0.01
"""Seconds of one step of the replay."""
SLOTS = 24
PREFILL_RATE = 157_000.0
"""Prompt tokens per second of one engine."""
TOKEN_TIME = 0.00355
"""Seconds in which an engine generates one token for each of its requests."""
TOKENS_PER_EVENT = 9


@dataclass(frozen=True)
class Kind:
    """A kind of request."""

    name: str
    urgency: int
    rate: float
    shared: int
    own: int
    events: int
    target: float
    deadline: float
    value: float
    late_value: float


NOTES = Kind("notes", 2, 65.8, 5382, 6610, 42, 1.045, 12.5, 1.8, 0.27)
QUICK = Kind("quick", 0, 60.7, 198, 628, 32, 0.269, 10.7, 4.8, 0.19)
TAGS = Kind("tags", 1, 134.0, 568, 1800, 3, 0.422, 2.64, 0.3, 0.03)
KINDS = (NOTES, QUICK, TAGS)
ACCOUNTS = {
    ClientAccount(f"account-{number:02}"): 1.0 / (number + 1) for number in range(16)
}
"""Usual part of each account in the requests, before they are scaled to a sum of 1."""


@dataclass
class Request:
    """A request of a caller, over both of its attempts."""

    kind: Kind
    account: ClientAccount
    began_at: float
    own: int
    output_tokens: int
    attempts: int = 0
    first_event_at: float | None = None
    ended_at: float | None = None

    @property
    def deadline(self) -> float:
        return self.began_at + self.kind.deadline

    @property
    def is_on_time(self) -> bool:
        return (
            self.ended_at is not None
            and self.first_event_at is not None
            and self.first_event_at - self.began_at <= self.kind.target
        )

    @property
    def value(self) -> float:
        if self.ended_at is None:
            return 0.0
        return self.kind.value if self.is_on_time else self.kind.late_value


@dataclass
class Prompt:
    """A prompt that an engine has to process."""

    seconds: float
    request: Request


class ReplayedEngine:
    """An engine with slots, a queue by urgency and serial processing of prompts."""

    def __init__(self, cached_share: float) -> None:
        self.cached_share = cached_share
        self.waiting: list[tuple[int, int, Request]] = []
        self.prompts: deque[Prompt] = deque()
        self.running: list[tuple[float, int, Request]] = []
        self.ended: list[Request] = []
        self.clock = 0.0
        self._ticket = 0

    @property
    def load(self) -> int:
        return len(self.waiting) + len(self.prompts) + len(self.running)

    def push(self, request: Request) -> None:
        self._ticket += 1
        item = (request.kind.urgency, self._ticket, request)
        heapq.heappush(self.waiting, item)

    def run(self, now: float) -> None:
        """Run for one step."""
        while self.waiting and len(self.prompts) + len(self.running) < SLOTS:
            request = heapq.heappop(self.waiting)[2]
            if request.deadline > now:
                tokens = request.own + request.kind.shared * (1 - self.cached_share)
                self.prompts.append(Prompt(tokens / PREFILL_RATE, request))
        left = STEP
        while self.prompts and left > 0:
            prompt = self.prompts[0]
            used = min(left, prompt.seconds)
            prompt.seconds -= used
            left -= used
            if prompt.seconds <= 1e-9:
                self.prompts.popleft()
                self._start(prompt.request, now)
        self.clock += left / TOKEN_TIME
        while self.running and self.running[0][0] <= self.clock:
            request = heapq.heappop(self.running)[2]
            if now <= request.deadline:
                request.ended_at = now
                self.ended.append(request)

    def _start(self, request: Request, now: float) -> None:
        if request.first_event_at is None:
            request.first_event_at = now
        self._ticket += 1
        ends_at = self.clock + request.output_tokens
        heapq.heappush(self.running, (ends_at, self._ticket, request))

    def drop_all(self) -> list[Request]:
        """Return all requests of an engine that is lost."""
        requests = [item[-1] for item in (*self.waiting, *self.running)]
        requests += [prompt.request for prompt in self.prompts]
        self.waiting, self.running = [], []
        self.prompts.clear()
        return requests


@dataclass(frozen=True)
class Scenario:
    """Load of a replay.

    Attributes:
        load: usual work, as a part of what all engines do.
        begins_at: time at which the disturbance begins.
        ends_at: time at which it ends.
        burst_kind: kind of which more requests arrive.
        burst_factor: multiple of its usual rate.
        loud_account: account that sends more.
        loud_factor: multiple of its usual rate.
        lost_share: part of the engines that is lost.
    """

    load: float
    begins_at: float = 6.0
    ends_at: float = 10.0
    seconds: float = 22.0
    burst_kind: Kind | None = None
    burst_factor: float = 1.0
    loud_account: ClientAccount | None = None
    loud_factor: float = 1.0
    lost_share: float = 0.0

    def is_disturbed(self, now: float) -> bool:
        return self.begins_at <= now < self.ends_at


@dataclass(frozen=True)
class View:
    """What a host knows of all hosts, `DELAY` ago; the number of engines is current."""

    now: float
    in_flight: int
    engines: int
    demand: dict[int, float]
    accounts: dict[ClientAccount, float]
    mean_work: float


class Admission(Protocol):
    """Decides on requests at all hosts."""

    def admit(self, host: int, request: Request, view: View) -> float | None:
        """Return None to admit a request, else the seconds after which to return."""


class RampAdmission:
    """The shedding by ramps."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def admit(self, host: int, request: Request, view: View) -> float | None:
        """Return None to admit a request, else the seconds after which to return."""
        slots = view.engines * SLOTS
        urgency = request.kind.urgency
        if not should_shed(view.in_flight, slots, urgency, self._rng.random()):
            return None
        time_left = request.deadline - view.now
        return min(1.0, time_left * self._rng.uniform(0.05, 0.25))


class PlannedAdmission:
    """The plan by urgency and account."""

    def __init__(
        self,
        rng: random.Random,
        weights: Mapping[ClientAccount, float],
        *,
        has_accounts: bool = True,
        wait: Callable[[float, float], float] = compute_wait,
    ) -> None:
        self._rng = rng
        self._weights = weights
        self._has_accounts = has_accounts
        self._compute_wait = wait
        self._credits = [AdmissionCredits[int](rng.random) for _ in range(HOSTS)]
        self._plan = AdmissionPlan(is_contended=False)
        self._planned_at = -1.0

    def admit(self, host: int, request: Request, view: View) -> float | None:
        """Return None to admit a request, else the seconds after which to return."""
        plan = self.get_plan(view)
        if not plan.is_contended:
            return None
        account = request.account if self._has_accounts else None
        urgency = request.kind.urgency
        share = plan.get_share(urgency, account)
        if self._credits[host].admit(urgency, share):
            return None
        time_left = request.deadline - view.now
        return self._compute_wait(time_left, self._rng.random())

    def get_plan(self, view: View) -> AdmissionPlan:
        """Return the plan in force, which all hosts compute alike."""
        if view.now - self._planned_at < 0.1 - STEP / 2:
            return self._plan
        load = ServiceLoad(
            in_flight=view.in_flight,
            slots=view.engines * SLOTS,
            servers=view.engines,
            mean_work=view.mean_work,
            demand=view.demand,
            accounts=view.accounts,
            weights=self._weights,
        )
        self._plan = make_plan(load)
        self._planned_at = view.now
        return self._plan


def compute_weights() -> dict[ClientAccount, float]:
    """Return the usual part of each account in all requests."""
    total = sum(ACCOUNTS.values())
    return {account: part / total for account, part in ACCOUNTS.items()}


def compute_request_work(request: Request, cached_share: float) -> float:
    """Return the seconds that a request takes of one engine."""
    tokens = request.own + request.kind.shared * (1 - cached_share)
    output = request.output_tokens * TOKEN_TIME
    return tokens / PREFILL_RATE + output / SLOTS


class Replay:
    """One run of a scenario."""

    def __init__(
        self,
        scenario: Scenario,
        admission: Admission,
        seed: int = 1,
        *,
        cached_share: float = 0.8,
        work_error: float = 1.0,
    ) -> None:
        self.scenario = scenario
        self.requests: list[Request] = []
        self.refusals: list[tuple[float, float]] = []
        """Time and requests in flight per slot of each refusal."""
        self._admission = admission
        self._rng = random.Random(seed)
        self._cached_share = cached_share
        self._work_error = work_error
        weights = compute_weights()
        self._names = list(weights)
        self._parts = list(weights.values())
        work = sum(
            kind.rate
            * compute_request_work(self._make_mean_request(kind), cached_share)
            for kind in KINDS
        )
        self.engines = [
            ReplayedEngine(cached_share) for _ in range(round(work / scenario.load))
        ]
        self._lost: list[ReplayedEngine] = []
        self._returning: list[tuple[float, int, Request]] = []
        self._ticket = 0
        self._meters = {kind.urgency: RateMeter(1.0) for kind in KINDS}
        self._accounts = {name: RateMeter(2.0) for name in self._names}
        self._pending: deque[tuple[float, int, ClientAccount, float, float]] = deque()
        self._in_flight: deque[int] = deque([0] * round(DELAY / STEP))
        self._output_times: dict[str, OutputTimeMeter] = defaultdict(OutputTimeMeter)
        # Hosts measure the rate with the cached tokens counted as read.
        tokens = sum(kind.rate * (kind.own + kind.shared) for kind in KINDS)
        read = sum(
            kind.rate * (kind.own + kind.shared * (1 - cached_share)) for kind in KINDS
        )
        self._prefill_rate = PREFILL_RATE * tokens / read
        self._works: deque[float] = deque([0.02], maxlen=300)

    def run(self) -> "Replay":
        """Run until all requests have ended."""
        now = 0.0
        while now < self.scenario.seconds + 14.0:
            self._apply_losses(now)
            view = self._make_view(now)
            while self._returning and self._returning[0][0] <= now:
                self._offer(heapq.heappop(self._returning)[2], view)
            if now < self.scenario.seconds:
                for request in self._make_arrivals(now):
                    self.requests.append(request)
                    self._offer(request, view)
            for engine in self.engines:
                engine.run(now)
            self._record_answers()
            self._in_flight.append(sum(engine.load for engine in self.engines))
            now = round(now + STEP, 6)
        return self

    def _estimate_work(self, request: Request) -> float:
        """Return the work as a host estimates it, without knowing cached tokens."""
        tokens = request.own + request.kind.shared
        output = self._output_times[request.kind.name].estimate(request.output_tokens)
        return compute_work(tokens, self._prefill_rate, output, SLOTS)

    def _record_answers(self) -> None:
        for engine in self.engines:
            for request in engine.ended:
                assert request.ended_at is not None
                assert request.first_event_at is not None
                self._output_times[request.kind.name].add_sample(
                    request.ended_at - request.first_event_at,
                    request.output_tokens // TOKENS_PER_EVENT,
                )
            engine.ended.clear()

    def _make_mean_request(self, kind: Kind) -> Request:
        tokens = kind.events * TOKENS_PER_EVENT
        return Request(kind, self._names[0], 0.0, kind.own, tokens)

    def _make_arrivals(self, now: float) -> list[Request]:
        scenario = self.scenario
        arrivals = []
        for kind in KINDS:
            for name, part in zip(self._names, self._parts, strict=True):
                rate = kind.rate * part
                if scenario.is_disturbed(now):
                    if kind is scenario.burst_kind:
                        rate *= scenario.burst_factor
                    if name == scenario.loud_account:
                        rate *= scenario.loud_factor
                for _ in range(draw_count(rate * STEP, self._rng)):
                    own = round(kind.own * self._rng.lognormvariate(-0.125, 0.5))
                    events = kind.events * self._rng.uniform(0.5, 1.5)
                    tokens = round(events * TOKENS_PER_EVENT)
                    arrivals.append(Request(kind, name, now, own, tokens))
        return arrivals

    def _offer(self, request: Request, view: View) -> None:
        request.attempts += 1
        work = self._estimate_work(request) * self._work_error
        self._works.append(work)
        units = request.own + request.kind.shared + request.output_tokens
        self._pending.append(
            (view.now + DELAY, request.kind.urgency, request.account, work, units)
        )
        wait = self._admission.admit(self._rng.randrange(HOSTS), request, view)
        if wait is None:
            self._place(request)
            return
        self.refusals.append((view.now, view.in_flight / max(1, view.engines * SLOTS)))
        if request.attempts < 2:
            wait = min(wait, (request.deadline - view.now) / 3)
            back_at = view.now + wait
            self._ticket += 1
            heapq.heappush(self._returning, (back_at, self._ticket, request))

    def _place(self, request: Request) -> None:
        if self.engines:
            some = self._rng.sample(self.engines, min(2, len(self.engines)))
            min(some, key=lambda engine: engine.load).push(request)

    def _make_view(self, now: float) -> View:
        while self._pending and self._pending[0][0] <= now:
            at, urgency, account, work, units = self._pending.popleft()
            self._meters[urgency].add(work, at)
            self._accounts[account].add(units, at)
        return View(
            now=now,
            in_flight=self._in_flight.popleft(),
            engines=len(self.engines),
            demand={
                urgency: meter.compute_rate(now)
                for urgency, meter in self._meters.items()
            },
            accounts={
                name: meter.compute_rate(now) for name, meter in self._accounts.items()
            },
            mean_work=sum(self._works) / len(self._works),
        )

    def _apply_losses(self, now: float) -> None:
        scenario = self.scenario
        if scenario.lost_share and scenario.is_disturbed(now) and not self._lost:
            count = round(len(self.engines) * scenario.lost_share)
            self._lost, self.engines = self.engines[:count], self.engines[count:]
            for engine in self._lost:
                for request in engine.drop_all():
                    if request.first_event_at is None or request.kind is not QUICK:
                        self._place(request)
        elif self._lost and now >= scenario.ends_at:
            self.engines += [ReplayedEngine(self._cached_share) for _ in self._lost]
            self._lost = []


def draw_count(mean: float, rng: random.Random) -> int:
    """Return a Poisson-distributed number."""
    limit, count, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


@dataclass
class Figures:
    """How callers were served in a replay.

    Attributes:
        value: value delivered, as a part of what is possible.
        on_time: share of the requests on time, by kind.
        served: share of the requests served, by kind.
        by_account: share of the requests served, by account.
        largest: share of the largest tenth of the requests served, by kind.
        retried: share of the callers that returned that were served.
        waits: mean seconds to the first event, by kind.
        refusals: number of refusals.
        idle_refusals: refusals while reports showed less than half of the slots taken.
        all_served: share of all requests served.
    """

    value: float
    on_time: dict[str, float]
    served: dict[str, float]
    by_account: dict[ClientAccount, float]
    largest: dict[str, float]
    retried: float
    waits: dict[str, float]
    refusals: int
    idle_refusals: int
    all_served: float


def measure(replay: Replay, since: float = 6.0, until: float = 12.0) -> Figures:
    """Return the figures of the requests that began within a time."""
    requests = [at for at in replay.requests if since <= at.began_at < until]
    by_kind = {kind.name: [at for at in requests if at.kind is kind] for kind in KINDS}
    retried = [at for at in requests if at.attempts > 1]
    return Figures(
        value=sum(at.value for at in requests) / sum(at.kind.value for at in requests),
        on_time={
            name: count_share(some, lambda at: at.is_on_time)
            for name, some in by_kind.items()
        },
        served={name: count_share(some, is_served) for name, some in by_kind.items()},
        by_account={
            name: count_share([at for at in requests if at.account == name], is_served)
            for name in ACCOUNTS
        },
        largest={
            name: count_share(
                sorted(some, key=lambda at: at.own)[-len(some) // 10 :], is_served
            )
            for name, some in by_kind.items()
        },
        retried=count_share(retried, is_served),
        waits={
            name: compute_mean(
                at.first_event_at - at.began_at
                for at in some
                if at.first_event_at is not None and is_served(at)
            )
            for name, some in by_kind.items()
        },
        refusals=len(replay.refusals),
        idle_refusals=sum(load < 0.5 for _, load in replay.refusals),
        all_served=count_share(requests, is_served),
    )


def is_served(request: Request) -> bool:
    return request.ended_at is not None


def count_share(some: list[Request], test: Callable[[Request], bool]) -> float:
    """Return the share of requests that pass a test; 1 if there are none."""
    return sum(test(at) for at in some) / len(some) if some else 1.0


def compute_mean(values: Iterable[float]) -> float:
    listed = list(values)
    return sum(listed) / len(listed) if listed else 0.0
