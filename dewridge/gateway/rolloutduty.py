"""The duty that completes or reverts rollouts of new server versions."""

import msgspec
import trio
from loguru import logger as log

from dewridge.gateway.duties import HolderElection
from dewridge.gateway.entries.faults import EntryFaults
from dewridge.gateway.hosts import SYSTEM_PREFIX
from dewridge.gateway.reports import RolloutProgress
from dewridge.gateway.rollouts import (
    compute_elapsed,
    decode_progress,
    describe_evidence,
)
from dewridge.gateway.state import GatewayState
from dewridge.ids import ServiceName
from dewridge.platform.rollouts import RolloutStatus, make_status_write
from dewridge.platform.store import Item, Store, Write
from dewridge.policy.rollouts import (
    FINAL,
    RolloutState,
    Stage,
    compute_next_stage,
    compute_trial_share,
    judge_version,
)
from dewridge.sentinels import Failure

ROLLOUT_PREFIX = SYSTEM_PREFIX + "rollouts/"
"""Below the prefix of the host entries, which every host already reads."""
POLL_INTERVAL = 0.25
"""Seconds between two checks of the rollouts in progress."""
OPERATOR_STATUSES = {
    Stage.TRIAL: RolloutStatus.IN_PROGRESS,
    Stage.MOVING: RolloutStatus.IN_PROGRESS,
    Stage.COMPLETED: RolloutStatus.COMPLETED,
    Stage.REVERTED: RolloutStatus.REVERTED,
}


class RolloutDuty:
    """Advances each rollout through its stages while this host holds the duties.

    The stage and the operator's status are written in one conditional change, so the
    next holder resumes from the stored stage and a replaced holder that is unaware of
    it can't overwrite a later decision.
    """

    def __init__(
        self, state: GatewayState, election: HolderElection, store: Store
    ) -> None:
        self._state = state
        self._election = election
        self._store = store
        self._stage_first_seen_at: dict[tuple[int, Stage], float] = {}
        self._services_to_rewrite: set[ServiceName] = set()
        self._faults = EntryFaults()

    def apply_item(self, item: Item) -> None:
        """Apply the stored progress of a rollout."""
        if item.key.startswith(ROLLOUT_PREFIX):
            progress = decode_progress(item.value)
            if isinstance(progress, Failure):
                reason = f"{item.key!r}: {progress.reason}"
                failure = Failure(progress.code, reason)
                self._faults.report("rollout progress can't be read", failure)
            elif item.key == make_progress_key(progress.service):
                self._state.rollouts.apply_progress(progress)

    def handle_restore(self) -> None:
        """Schedule rewrites of closed rollouts; the store may hold an earlier stage."""
        self._services_to_rewrite = {
            progress.service for progress in self._state.rollouts.list_progress()
        }

    async def run(self) -> None:
        """Advance all rollouts forever."""
        while True:
            for progress in self._state.rollouts.list_progress():
                if progress.stage not in FINAL:
                    await self._advance_if_due(progress)
                elif progress.service in self._services_to_rewrite:
                    await self._rewrite(progress)
            await trio.sleep(POLL_INTERVAL)

    async def _advance_if_due(self, progress: RolloutProgress) -> None:
        if self._election.find_active_term() is None:
            return
        rollout = self._make_rollout_state(progress)
        stage = compute_next_stage(rollout)
        if stage is not progress.stage:
            await self._advance(progress, stage, rollout)

    def _make_rollout_state(self, progress: RolloutProgress) -> RolloutState:
        state = self._state
        now = trio.current_time()
        evidence = state.rollouts.compute_evidence(progress.order)
        records = state.servers.list_service(progress.service)
        old = [server for server in records if server.version != progress.target]
        return RolloutState(
            stage=progress.stage,
            elapsed=compute_elapsed(progress),
            stage_age=now
            - self._stage_first_seen_at.setdefault(
                (progress.order, progress.stage), now
            ),
            duration=progress.duration,
            verdict=judge_version(evidence),
            target_answers=sum(tally.answers for tally in evidence.target.values()),
            target_servers=len(records) - len(old),
            baseline_servers=len(old),
            baseline_in_flight=state.count_in_flight(old),
        )

    async def _advance(
        self, progress: RolloutProgress, stage: Stage, rollout: RolloutState
    ) -> None:
        share = progress.share
        if stage is Stage.TRIAL:
            bounds = self._state.settings.bounds
            share = compute_trial_share(bounds.exposure_share, progress.duration)
        advanced = msgspec.structs.replace(progress, stage=stage, share=share)
        if not await self._write(advanced):
            return
        log.bind(
            service=progress.service,
            target=progress.target,
            stage=stage.value,
            elapsed=round(rollout.elapsed, 2),
            target_servers=rollout.target_servers,
            baseline_servers=rollout.baseline_servers,
            baseline_in_flight=rollout.baseline_in_flight,
            **describe_evidence(self._state.rollouts.compute_evidence(progress.order)),
        ).info("rollout stage changed")
        self._state.rollouts.apply_progress(advanced)

    async def _rewrite(self, progress: RolloutProgress) -> None:
        if self._election.find_active_term() is not None and await self._write(
            progress
        ):
            self._services_to_rewrite.discard(progress.service)

    async def _write(self, progress: RolloutProgress) -> bool:
        """Write the stage and the operator's status; return whether it succeeded."""
        service = progress.service
        key = make_progress_key(service)
        known = self._state.hosts.items.get(key)
        status = OPERATOR_STATUSES[progress.stage]
        result = await self._store.change(
            expected={key: known.revision if known is not None else 0},
            writes=(
                Write(key, msgspec.json.encode(progress)),
                make_status_write(service, progress.target, status),
            ),
        )
        if isinstance(result, Failure):
            # The cached revision may be stale, or another holder may have written.
            log.bind(service=service, reason=result.reason).info(
                "rollout stage not written"
            )
            await self._refresh(key)
            return False
        self._state.hosts.items[key] = Item(key, revision=result)
        return True

    async def _refresh(self, key: str) -> None:
        item = await self._store.read(key)
        if isinstance(item, Item):
            self._state.hosts.items[key] = item
            self.apply_item(item)
        elif item is None:
            self._state.hosts.items.pop(key, None)


def make_progress_key(service: ServiceName) -> str:
    """Return the store key of the progress of a service's rollout."""
    return ROLLOUT_PREFIX + service
