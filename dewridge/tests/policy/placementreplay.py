"""Replay of prompts placed by many hosts, with slow servers, hot prefixes and bursts.

Nothing is measured on a clock: servers process prompts in order of arrival, run as many
requests as they have slots, and take longer during their slow periods. Hosts know their
own requests at once and those of the others late.
"""

import heapq
import math
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from dewridge.ids import BackendServerId, FailureDomain
from dewridge.policy.affinity import score_prefix
from dewridge.policy.choice import Candidate, place_prompt
from dewridge.policy.expectedtime import (
    RANDOM_CANDIDATES,
    ExpectedPlacement,
    Prompt,
    ServerLoad,
    ServiceSpeed,
    choose_soonest,
    draw_holders,
    estimate_placement,
)
from dewridge.policy.prefixdemand import PrefixDemand
from dewridge.policy.serverpace import PaceMeter, ReportedPace, combine_pace
from dewridge.policy.servicespeed import SpeedMeter

DOMAIN = FailureDomain("domain-a")
SECONDS = 16.0
WARM_UP = 4.0
"""Seconds at the start that are not counted: caches and figures are empty."""
FIXED_TIME = 0.01
COPY_COST_SHARE = 0.1
CACHE_LIFETIME = 10.0
SLOW_PERIOD = 0.6
SLOWDOWN = 2.5
BURST_AT, BURST_END = 8.0, 12.0


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request: tokens, events, latency target and share of the requests."""

    weight: float
    shared: int
    own: int
    events: int
    target: float
    subjects: int


KINDS = (
    Kind(65.8, 5_382, 6_610, 42, 1.045, 300),
    Kind(60.7, 198, 628, 32, 0.269, 200),
    Kind(134.0, 568, 1_800, 3, 0.422, 200),
)


@dataclass(frozen=True, slots=True)
class Fleet:
    """Servers and hosts of a deployment.

    Attributes:
        prefill_rate: prompt tokens per second of a server at its usual speed.
        event_time: seconds between two events of a stream.
    """

    servers: int
    slots: int
    hosts: int
    prefill_rate: float
    event_time: float


KIOSKS = Fleet(45, 16, 90, 68_200.0, 8 * 0.0042)
SCANS = Fleet(15, 24, 58, 157_000.0, 9 * 0.0045)


@dataclass(frozen=True, slots=True)
class Scene:
    """Circumstances of a replay.

    Attributes:
        load: mean prefill work as a share of what the servers can do.
        age: seconds by which reports lag.
        slow_share: share of the servers that are slow at any moment.
        hot_share: share of the requests with the same prefix.
        burst: factor of the requests in the middle of the replay.
        group: mean number of requests that a host gets at once.
        parts: parts of the fleet whose hosts get no reports from the others.
        slow_period: seconds after which other servers are slow.
    """

    fleet: Fleet
    load: float
    age: float
    slow_share: float = 0.0
    hot_share: float = 0.0
    burst: float = 1.0
    group: float = 2.0
    parts: int = 1
    slow_period: float = SLOW_PERIOD
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules that a replay compares.

    Attributes:
        uses_expected_time: whether servers are chosen by expected time; else with
            `place_prompt`.
        extras: random servers compared with the cache holders; all if negative.
        has_own_pace: whether hosts use the pace that they measured.
        has_reported_pace: whether they use the pace that others reported.
        is_report_aged: whether reported paces decay by their age.
        has_more_holders: whether a hot prefix has more than two holders.
        learns_speed: whether hosts learn the speed from their answers; else they know
            it.
    """

    uses_expected_time: bool = True
    extras: int = RANDOM_CANDIDATES
    has_own_pace: bool = True
    has_reported_pace: bool = True
    is_report_aged: bool = True
    has_more_holders: bool = True
    learns_speed: bool = True


@dataclass
class Result:
    """What a replay counts.

    Attributes:
        late: share of the requests whose first event was late.
        prefilled_twice: shared tokens prefilled or copied again, per request.
        late_by_kind: the share of late ones by kind.
    """

    late: float
    prefilled_twice: float
    late_by_kind: list[float]


class SimulatedServer:
    """A server that prefills in order of arrival and has slow periods."""

    def __init__(self, fleet: Fleet, slow: list[bool], period: float) -> None:
        self._fleet = fleet
        self._period = period
        self._slow = slow
        self._free_at = 0.0
        self._slots = [0.0] * fleet.slots
        self._cached: dict[str, float] = {}

    def run(
        self, now: float, kind: Kind, own: float, prefix: str
    ) -> tuple[float, float, float]:
        """Return the times of first event and end, and the shared tokens prefilled."""
        begin = max(now, self._free_at, heapq.heappop(self._slots))
        is_cached = self._cached.get(prefix, -CACHE_LIFETIME) > now - CACHE_LIFETIME
        cost = COPY_COST_SHARE if kind.shared > 1_500 else 1.0
        shared = 0.0 if is_cached else kind.shared * cost
        # Each running request lengthens the engine's steps by a few percent.
        running = sum(end > now for end in self._slots)
        work = (own + shared) / self._fleet.prefill_rate * (1 + 0.02 * running)
        self._free_at = self._advance(begin, work)
        first = self._free_at + FIXED_TIME
        output = (kind.events - 1) * self._fleet.event_time * (1 + 0.02 * running)
        end = self._advance(first, output)
        heapq.heappush(self._slots, end)
        self._cached[prefix] = now
        return first, end, shared

    def _advance(self, begin: float, work: float) -> float:
        """Return when work is done that takes so long at the usual speed."""
        at = begin
        while True:
            period = int(at / self._period + 1e-9)
            is_slow = period < len(self._slow) and self._slow[period]
            factor = SLOWDOWN if is_slow else 1.0
            until = (period + 1) * self._period
            if at + work * factor <= until:
                return at + work * factor
            work -= (until - at) / factor
            at = until


@dataclass
class View:
    """Requests, unread tokens and paces at each server, of one host or of all."""

    requests: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    tokens: dict[int, float] = field(default_factory=lambda: defaultdict(float))
    paces: dict[int, PaceMeter] = field(default_factory=lambda: defaultdict(PaceMeter))


@dataclass
class Host:
    """One host.

    Attributes:
        others: what was reported by the hosts of its part, including itself.
        own: what it knows at once of its own requests.
        reported: what it reported of them.
        demand: its recent requests by prefix.
        speed: the speed of the servers as learned.
    """

    others: View
    own: View = field(default_factory=View)
    reported: View = field(default_factory=View)
    demand: PrefixDemand = field(default_factory=PrefixDemand)
    speed: SpeedMeter = field(default_factory=SpeedMeter)


class Replay:
    """Runs one scene with one set of rules."""

    def __init__(self, scene: Scene, rules: Rules) -> None:
        self._scene = scene
        self._rules = rules
        fleet = scene.fleet
        self._rng = random.Random(scene.seed)
        periods = int((SECONDS + 40) / scene.slow_period)
        slow = [
            set(
                self._rng.sample(
                    range(fleet.servers), round(fleet.servers * scene.slow_share)
                )
            )
            for _ in range(periods)
        ]
        self._servers = [
            SimulatedServer(
                fleet,
                [n in slow[period] for period in range(periods)],
                scene.slow_period,
            )
            for n in range(fleet.servers)
        ]
        parts = [View() for _ in range(scene.parts)]
        self._hosts = [Host(parts[n % scene.parts]) for n in range(fleet.hosts)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._speed = ServiceSpeed(fleet.prefill_rate, FIXED_TIME, 1.0)
        self._rankings: dict[str, list[int]] = {}

    def run(self) -> Result:
        """Return what the rules did with the scene's requests."""
        late: dict[int, int] = defaultdict(int)
        total: dict[int, int] = defaultdict(int)
        again = 0.0
        now = 0.0
        rate = self._compute_rate()
        while now < SECONDS:
            is_burst = BURST_AT <= now < BURST_END
            factor = self._scene.burst if is_burst else 1.0
            now += self._rng.expovariate(rate * factor / self._scene.group)
            self._run_events(now)
            host = self._rng.choice(self._hosts)
            for _ in range(1 + int(self._rng.expovariate(1 / (self._scene.group - 1)))):
                index = self._rng.choices(range(len(KINDS)), [k.weight for k in KINDS])[
                    0
                ]
                is_late, shared = self._send(now, host, KINDS[index])
                if now >= WARM_UP:
                    late[index] += is_late
                    total[index] += 1
                    again += shared
        count = sum(total.values())
        return Result(
            sum(late.values()) / count,
            again / count,
            [late[n] / max(1, total[n]) for n in range(len(KINDS))],
        )

    def _compute_rate(self) -> float:
        weights = sum(kind.weight for kind in KINDS)
        tokens = sum(kind.weight * kind.own for kind in KINDS) / weights
        fleet = self._scene.fleet
        return self._scene.load * fleet.servers * fleet.prefill_rate / tokens

    def _send(self, now: float, host: Host, kind: Kind) -> tuple[bool, float]:
        own = min(4 * kind.own, kind.own * math.exp(self._rng.gauss(-0.18, 0.6)))
        is_hot = self._rng.random() < self._scene.hot_share
        subject = "hot" if is_hot else str(self._rng.randrange(kind.subjects))
        prefix = f"{kind.shared}/{subject}"
        prompt = Prompt(
            int(own) + kind.shared, kind.shared, can_copy=kind.shared > 1_500
        )
        host.demand.record(prefix, now)
        if self._rules.uses_expected_time:
            server, tokens, chosen = self._place(now, host, prefix, prompt)
        else:
            server, tokens = self._place_by_load(now, host, prefix, prompt)
            chosen = None
        first, end, shared = self._servers[server].run(now, kind, own, prefix)
        self._record(now, host, server, tokens, first, end, chosen)
        return first - now > kind.target, shared

    def _place_by_load(
        self, now: float, host: Host, prefix: str, prompt: Prompt
    ) -> tuple[int, float]:
        fleet = self._scene.fleet
        loads = [self._find_load(now, host, n) for n in range(fleet.servers)]
        candidates = [
            Candidate(
                load.id,
                DOMAIN,
                load.requests,
                load.unprocessed_tokens,
                load.slots,
                is_usable=True,
            )
            for load in loads
        ]
        placement = place_prompt(
            candidates,
            prefix,
            prompt.shared_tokens,
            prompt.tokens,
            self._rng,
            can_copy=prompt.can_copy,
            staleness=self._scene.age,
        )
        assert placement is not None
        return int(placement.server), placement.tokens

    def _place(
        self, now: float, host: Host, prefix: str, prompt: Prompt
    ) -> tuple[int, float, ExpectedPlacement]:
        servers = self._scene.fleet.servers
        count = 2
        if self._rules.has_more_holders:
            count = host.demand.count_holders(prefix, servers, now)
        ranked = [BackendServerId(str(n)) for n in self._rank(prefix)[:count]]
        holders = [int(server) for server in draw_holders(ranked, self._rng)]
        extras: list[int] = list(range(servers))
        if self._rules.extras >= 0:
            extras = self._rng.sample(range(servers), self._rules.extras)
        speed = self._speed
        if self._rules.learns_speed:
            rate, fixed_time = host.speed.estimate()
            speed = ServiceSpeed(rate, fixed_time, host.speed.run_time)
        loads = [self._find_load(now, host, n, is_holder=True) for n in holders]
        loads += [self._find_load(now, host, n) for n in extras if n not in holders]
        chosen = choose_soonest(
            [estimate_placement(load, prompt, speed) for load in loads],
            self._scene.age,
            self._rng,
        )
        assert chosen is not None
        tokens = prompt.compute_prefill_tokens(is_holder=chosen.load.is_holder)
        return int(chosen.load.id), tokens, chosen

    def _rank(self, prefix: str) -> list[int]:
        ranking = self._rankings.get(prefix)
        if ranking is None:
            seed = hash_text(prefix)
            ranking = sorted(
                range(self._scene.fleet.servers),
                key=lambda n: score_prefix(seed, hash_text(f"server {n}")),
                reverse=True,
            )
            self._rankings[prefix] = ranking
        return ranking

    def _find_load(
        self, now: float, host: Host, server: int, *, is_holder: bool = False
    ) -> ServerLoad:
        everyone, told, own = host.others, host.reported, host.own
        requests = everyone.requests[server] - told.requests[server]
        tokens = everyone.tokens[server] - told.tokens[server]
        return ServerLoad(
            BackendServerId(str(server)),
            requests + own.requests[server],
            tokens + own.tokens[server],
            self._scene.fleet.slots,
            self._find_pace(now, host, server),
            is_holder,
        )

    def _find_pace(self, now: float, host: Host, server: int) -> float:
        if not self._rules.uses_expected_time:
            return 1.0
        reported = ReportedPace()
        if self._rules.has_reported_pace:
            then = now - self._scene.age
            samples, ratios = host.others.paces[server].read(then)
            own_samples, own_ratios = host.reported.paces[server].read(then)
            others = samples - own_samples
            if others > 0.05:
                reported = ReportedPace(others, max(1e-9, ratios - own_ratios))
        own = host.own.paces[server] if self._rules.has_own_pace else None
        staleness = self._scene.age if self._rules.is_report_aged else 0.0
        return combine_pace(own, reported, staleness, now)

    def _record(
        self,
        now: float,
        host: Host,
        server: int,
        tokens: float,
        first: float,
        end: float,
        chosen: ExpectedPlacement | None,
    ) -> None:
        """Let the host know of its request at once, and all hosts with a delay."""

        def begin(view: View) -> None:
            view.requests[server] += 1
            view.tokens[server] += tokens

        def read(view: View) -> None:
            view.tokens[server] -= tokens
            if chosen is not None:
                view.paces[server].add(first - now, chosen.usual_seconds, first)

        def finish(view: View) -> None:
            view.requests[server] -= 1

        def learn() -> None:
            if chosen is not None and chosen.slot_wait <= 0:
                host.speed.add_first_event(chosen.queued_tokens, first - now)

        begin(host.own)
        self._schedule(first, learn)
        self._schedule(end, lambda: host.speed.add_run(end - now, 1))
        self._schedule(first, lambda: read(host.own))
        self._schedule(end, lambda: finish(host.own))
        for view in (host.others, host.reported):
            for at, change in ((now, begin), (first, read), (end, finish)):
                self._schedule(
                    at + self._scene.age,
                    lambda view=view, change=change: change(view),  # type: ignore[misc]
                )

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, action))

    def _run_events(self, now: float) -> None:
        while self._events and self._events[0][0] <= now:
            heapq.heappop(self._events)[2]()


def hash_text(text: str) -> int:
    """Return a hash that is the same in each process."""
    return random.Random(text).getrandbits(64)


def find_late(scene: Scene, rules: Rules) -> float:
    """Return the share of late first events."""
    return Replay(scene, rules).run().late
