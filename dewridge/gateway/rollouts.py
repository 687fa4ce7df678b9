"""Rollouts known to this host: orders, progress and outcomes of attempts."""

import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec
import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.decoding import MAX_COUNT, MAX_NAME, decode_json, is_finite
from dewridge.gateway.forwarding import LostAttempt
from dewridge.gateway.model import (
    RolloutOrder,
    RouteName,
    ServerRecord,
    ServerVersion,
)
from dewridge.gateway.reports import OutcomeKey, RolloutProgress
from dewridge.ids import ServiceName
from dewridge.policy.losses import LossReason
from dewridge.policy.rollouts import (
    FINAL,
    RANKS,
    Evidence,
    RouteLabel,
    Stage,
    Tally,
    VersionVerdict,
    choose_trial_servers,
    judge_version,
)
from dewridge.sentinels import Failure

SLOW_FACTOR = 3.0
"""Multiple of a route's typical latency above which an answer counts as slow. Leaves
room for answers of different lengths; applies to both versions."""
MIN_LATENCY_SAMPLES = 5
"""Answers needed on a route before its typical latency is used."""
LATENCY_WEIGHT = 0.05
"""Weight of a new sample in the moving average."""
NEUTRAL_LOSS_REASONS = frozenset(
    {
        LossReason.REJECTED,
        LossReason.OTHER_SERVER,
        LossReason.MOVED,
        LossReason.WITHHELD,
        LossReason.NO_PATH,
    }
)
"""Losses that are not counted for or against a version."""
REWRITE_WINDOW = 10.0
"""Seconds after a restore of the store during which an identical order counts as a
rewrite of the known one, not as a new order."""
MAX_DURATION = 86_400.0
"""Seconds within which a rollout has to complete: a day."""
MIN_FAILURE_STATUS = 500
"""Lowest status that counts as a server failure."""
NEW, OLD = "new", "old"
ANSWERS, BAD = "answers", "bad"


class AttemptResult(Enum):
    """How an attempt counts for or against the version of its server."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not run"
    ABANDONED = "abandoned"
    """The caller disconnected or the time limit was reached."""


def classify_attempt(lost: LostAttempt | None, status: int) -> AttemptResult:
    """Return the result of an attempt.

    Args:
        lost: why it has no answer; None if its answer was forwarded.
        status: status of that answer.
    """
    if lost is None:
        return (
            AttemptResult.FAILED
            if status >= MIN_FAILURE_STATUS
            else AttemptResult.ANSWERED
        )
    return (
        AttemptResult.NOT_RUN
        if lost.loss in NEUTRAL_LOSS_REASONS
        else AttemptResult.FAILED
    )


@dataclass
class TypicalLatency:
    """Moving average of the time to a complete answer on a route, in seconds."""

    seconds: float = 0.0
    count: int = 0

    def add(self, seconds: float) -> None:
        """Add a sample."""
        self.count += 1
        weight = max(LATENCY_WEIGHT, 1 / self.count)
        self.seconds += weight * (seconds - self.seconds)

    def is_slow(self, seconds: float) -> bool:
        """Whether a time is over `SLOW_FACTOR` times the typical latency, if known."""
        return (
            self.count >= MIN_LATENCY_SAMPLES and seconds > SLOW_FACTOR * self.seconds
        )


@dataclass(frozen=True, slots=True)
class VersionSplit:
    """Servers of a service, split by whether they run the target version."""

    old: list[ServerRecord]
    new: list[ServerRecord]


@dataclass
class RolloutTable:
    """Rollouts known to this host and their counters.

    Attributes:
        outcomes: numbers of answers and bad answers counted by this host.
    """

    outcomes: dict[OutcomeKey, int] = field(default_factory=lambda: defaultdict(int))
    _progress: dict[ServiceName, RolloutProgress] = field(default_factory=dict)
    _totals: dict[OutcomeKey, float] = field(default_factory=lambda: defaultdict(float))
    _latencies: dict[RouteName, TypicalLatency] = field(
        default_factory=lambda: defaultdict(TypicalLatency)
    )
    _verdicts: dict[int, VersionVerdict] = field(default_factory=dict)
    _restored_at: float | None = None

    def apply_order(self, order: RolloutOrder) -> None:
        """Register an order; its target gets no requests until the trial begins."""
        known = self._progress.get(order.service)
        if known is not None and known.order >= order.revision:
            return
        if known is not None and self._is_rewrite(known, order):
            self._update_revision(known, order.revision)
            return
        log.bind(
            service=order.service, target=order.target, duration=order.duration
        ).info("rollout ordered")
        self._set_progress(
            RolloutProgress(
                service=order.service,
                target=order.target,
                order=order.revision,
                stage=Stage.WAITING,
                share=0.0,
                ordered_at=time.time(),
                duration=order.duration,
            )
        )

    def handle_restore(self) -> None:
        """Record that the store was restored; known orders may be written again."""
        self._restored_at = trio.current_time()

    def _is_rewrite(self, known: RolloutProgress, order: RolloutOrder) -> bool:
        if (known.target, known.duration) != (order.target, order.duration):
            return False
        restored_at = self._restored_at
        if restored_at is None:
            return False
        return trio.current_time() - restored_at < REWRITE_WINDOW

    def _update_revision(self, known: RolloutProgress, revision: int) -> None:
        """Apply a rewritten order's revision; keep stage and verdict, reset counts."""
        verdict = self._verdicts.get(known.order, VersionVerdict.UNDECIDED)
        self._set_progress(msgspec.structs.replace(known, order=revision))
        self._verdicts[revision] = verdict

    def apply_progress(self, progress: RolloutProgress) -> bool:
        """Apply progress if it is newer than the known one; return whether it was."""
        known = self._progress.get(progress.service)
        if known is not None and _get_rank(known) >= _get_rank(progress):
            return False
        log.bind(
            service=progress.service,
            target=progress.target,
            stage=progress.stage.value,
            share=progress.share,
        ).info("rollout progress applied")
        self._set_progress(progress)
        return True

    def _set_progress(self, progress: RolloutProgress) -> None:
        self._progress[progress.service] = progress
        for counts in (self.outcomes, self._totals):
            for key in [
                counter for counter in counts if not self.is_outcome_open(counter)
            ]:
                del counts[key]
        orders = {rollout.order for rollout in self._progress.values()}
        self._verdicts = {
            order: verdict
            for order, verdict in self._verdicts.items()
            if order in orders
        }

    def is_outcome_open(self, key: OutcomeKey) -> bool:
        """Whether a counter belongs to a rollout in progress."""
        return self._find_open_rollout(key) is not None

    def _find_open_rollout(self, key: OutcomeKey) -> RolloutProgress | None:
        order = key.partition("/")[0]
        for progress in self._progress.values():
            if str(progress.order) == order and progress.stage not in FINAL:
                return progress
        return None

    def list_progress(self) -> list[RolloutProgress]:
        """Return the progress of all rollouts."""
        return list(self._progress.values())

    def find_stage(self, service: ServiceName) -> Stage | None:
        """Return the stage of a service's rollout on this host; None without one.

        A local verdict of `BAD` reverts at once, as the holder of the duties may be
        down or unreachable.
        """
        progress = self._progress.get(service)
        if progress is None:
            return None
        verdict = self._verdicts.get(progress.order)
        if verdict is VersionVerdict.BAD and progress.stage not in FINAL:
            return Stage.REVERTED
        return progress.stage

    def list_serving(
        self, service: ServiceName, records: list[ServerRecord]
    ) -> list[ServerRecord]:
        """Return the servers that may serve any request; excludes those under trial."""
        progress = self._progress.get(service)
        if progress is None:
            return records
        split = _split_by_version(records, progress.target)
        match self.find_stage(service):
            case Stage.MOVING | Stage.COMPLETED:
                return split.new or split.old
            case Stage.REVERTED:
                return split.old
        # If all servers already run the target version, all of them serve.
        return split.old or split.new

    def choose_servers(
        self,
        service: ServiceName,
        records: list[ServerRecord],
        *,
        is_first: bool,
        draw_random: Callable[[], float],
    ) -> list[ServerRecord]:
        """Return the servers that a request may be sent to.

        Args:
            service: the request's service.
            records: all servers of the service.
            is_first: whether this is the request's first attempt; retries are not sent
                to servers under trial.
            draw_random: returns a random number from 0 to 1; called during a trial
                only.
        """
        progress = self._progress.get(service)
        if progress is None:
            return records
        is_trial = self.find_stage(service) is Stage.TRIAL
        if is_trial and is_first and draw_random() < progress.share:
            split = _split_by_version(records, progress.target)
            chosen = choose_trial_servers(
                progress.order,
                [server.id for server in split.new],
                len(split.old),
                progress.share,
            )
            if chosen:
                return [server for server in split.new if server.id in chosen]
        return self.list_serving(service, records)

    def record_attempt_end(
        self,
        route: RouteName,
        server: ServerRecord,
        seconds: float,
        result: AttemptResult,
    ) -> None:
        """Count the result of an attempt.

        Args:
            route: the request's route.
            server: the server it was sent to.
            seconds: time since it was sent, in seconds.
            result: how the attempt ended.
        """
        if result is AttemptResult.NOT_RUN:
            return
        latency = self._latencies[route]
        is_slow = latency.is_slow(seconds) and not server.is_cold
        progress = self._progress.get(server.service)
        is_new = progress is not None and server.version == progress.target
        if result is AttemptResult.ANSWERED and not is_new:
            latency.add(seconds)
        if progress is None or progress.stage not in {Stage.TRIAL, Stage.MOVING}:
            return
        if result is AttemptResult.ABANDONED and not is_slow:
            return
        side = NEW if is_new else OLD
        self._increment(make_outcome_key(progress.order, side, ANSWERS, route))
        if result is AttemptResult.FAILED or is_slow:
            self._increment(make_outcome_key(progress.order, side, BAD, route))
            self._update_verdict(progress)

    def _increment(self, key: OutcomeKey) -> None:
        self.outcomes[key] += 1
        self._totals[key] += 1

    def add_remote_count(self, key: OutcomeKey, increase: float) -> None:
        """Add the increase of a counter at other hosts."""
        progress = self._find_open_rollout(key)
        if progress is not None:
            self._totals[key] += increase
            if f"/{NEW}/{BAD}/" in key:
                self._update_verdict(progress)

    def compute_evidence(self, order: int) -> Evidence:
        """Return the answer counts of both versions by route, summed over all hosts."""
        sides: dict[str, dict[RouteLabel, Tally]] = {NEW: {}, OLD: {}}
        for key, count in self._totals.items():
            number, side, kind, route = key.split("/", 3)
            if number != str(order):
                continue
            label = RouteLabel(route)
            rounded = round(count)
            tally = Tally(rounded, 0) if kind == ANSWERS else Tally(0, rounded)
            sides[side][label] = sides[side].get(label, Tally()) + tally
        return Evidence(target=sides[NEW], baseline=sides[OLD])

    def _update_verdict(self, progress: RolloutProgress) -> None:
        if self._verdicts.get(progress.order) is VersionVerdict.BAD:
            return
        evidence = self.compute_evidence(progress.order)
        verdict = judge_version(evidence)
        self._verdicts[progress.order] = verdict
        if verdict is VersionVerdict.BAD:
            log.bind(
                service=progress.service,
                target=progress.target,
                **describe_evidence(evidence),
            ).warning("rollout target judged bad")


def make_outcome_key(order: int, side: str, kind: str, route: RouteName) -> OutcomeKey:
    """Return the key of a counter.

    The route comes last, as its name may contain slashes.
    """
    return OutcomeKey(f"{order}/{side}/{kind}/{route}")


def _get_rank(progress: RolloutProgress) -> tuple[int, int]:
    return progress.order, RANKS[progress.stage]


def _split_by_version(
    records: Iterable[ServerRecord], target: ServerVersion
) -> VersionSplit:
    split = VersionSplit([], [])
    for record in records:
        side = split.new if record.version == target else split.old
        side.append(record)
    return split


def describe_evidence(evidence: Evidence) -> dict[str, int]:
    """Return the totals of both versions, for logs and dumps."""
    target = sum(evidence.target.values(), Tally())
    baseline = sum(evidence.baseline.values(), Tally())
    return {
        "answers": target.answers,
        "bad": target.bad,
        "answers_before": baseline.answers,
        "bad_before": baseline.bad,
    }


def decode_progress(value: bytes) -> RolloutProgress | Failure:
    """Decode and validate the stored progress of a rollout."""
    progress = decode_json(value, RolloutProgress)
    if isinstance(progress, Failure):
        return progress
    fault = ""
    if not 0 < progress.order <= MAX_COUNT:
        fault = f"order {progress.order} is out of range"
    elif max(len(progress.service), len(progress.target)) > MAX_NAME:
        fault = "a name is too long"
    elif not (0 <= progress.share <= 1 and 0 < progress.duration <= MAX_DURATION):
        fault = "the share or the duration is out of range"
    elif not is_finite(progress.ordered_at):
        fault = f"ordered at {progress.ordered_at}"
    return Failure(ResultCode.PLATFORM_MALFORMED, fault) if fault else progress


def compute_elapsed(progress: RolloutProgress) -> float:
    """Return the seconds since a rollout was ordered."""
    return max(0.0, time.time() - progress.ordered_at)
