"""Commits claims: many calls' intents in one compare-and-swap of their bucket."""

from dataclasses import dataclass, field

import msgspec
import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.membership.model import MemberState
from dewridge.membership.ranking import has_duty
from dewridge.providers.model import Entry, KeyValue
from dewridge.requests.claims import (
    VALUE_LIMIT,
    ClaimIntent,
    Grant,
    decode_bucket,
    encode_bucket,
    find_bucket,
    merge,
)
from dewridge.requests.shared import Shared
from dewridge.sentinels import Failure
from dewridge.supervision.mailbox import Promise

RETRY_PAUSE = 0.05
"""Seconds between tries while the service is down; longer ones would add to the
outage that callers see, shorter ones would meet its return with a burst."""
LAST_RETRY_PAUSE = 0.5
CLAIM_SHARE = 0.4
"""Part of the deployment's writes that claims may use; operators' changes and the
clean-up of windows need the rest. At 200 writes a second that is 80 for claims,
and with more calls than that each write carries several."""
BURST = 5.0
"""Writes that may follow each other at once after a quiet time."""

Verdict = Grant | Failure


@dataclass
class Waiting:
    """A intent that waits for the next write of its bucket."""

    intent: ClaimIntent
    expires: float
    promise: Promise[Grant] = field(default_factory=Promise)


class WriteBudget:
    """Spaces this host's writes so that the deployment keeps to its rate."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at = 0.0

    async def wait(self, sharers: int) -> None:
        """Wait for the next write's turn, with `sharers` hosts writing."""
        now = trio.current_time()
        step = max(1, sharers) / self._rate
        self._free_at = max(self._free_at, now - BURST * step) + step
        await trio.sleep(max(0.0, self._free_at - now))


class Committer:
    """Writes the buckets that fall to this host, and others' when asked."""

    def __init__(
        self,
        shared: Shared,
        *,
        key_value: KeyValue,
        prefix: str,
        writes_per_second: float,
    ) -> None:
        self._shared = shared
        self._key_value = key_value
        self._prefix = f"{prefix}claims/"
        self._budget = WriteBudget(writes_per_second * CLAIM_SHARE)
        self._batches: dict[str, list[Waiting]] = {}
        self._entries: dict[str, Entry] = {}
        self._busy: set[str] = set()
        self.is_down = False

    def find_key(self, bucket: str) -> str:
        """Return the key of a bucket's value."""
        return self._prefix + bucket

    async def commit(self, intent: ClaimIntent, timeout: float) -> Verdict:
        """Have an intent written with the next write of its bucket."""
        settings = self._shared.settings
        bucket = find_bucket(
            intent.request, settings.claim_window, settings.claim_buckets
        )
        waiting = Waiting(intent, trio.current_time() + timeout)
        self._batches.setdefault(bucket, []).append(waiting)
        if bucket not in self._busy:
            self._busy.add(bucket)
            self._shared.jobs.start(self._work, bucket)
        late = Failure(
            ResultCode.CLAIM_UNAVAILABLE, "the claim was not recorded in time", 1.0
        )
        return await waiting.promise.wait(timeout, late)

    async def _work(self, bucket: str) -> None:
        try:
            while bucket in self._batches:
                await trio.sleep(self._shared.settings.claim_batch)
                batch = self._batches.pop(bucket)
                await self._write(bucket, batch)
        finally:
            self._busy.discard(bucket)

    async def _write(self, bucket: str, batch: list[Waiting]) -> None:
        limit = trio.current_time() + self._shared.settings.claim_timeout
        pause = RETRY_PAUSE
        while trio.current_time() < limit:
            batch = [waiting for waiting in batch if self._is_wanted(waiting)]
            if not batch:
                return
            verdict = await self._try(bucket, [waiting.intent for waiting in batch])
            if verdict is not None:
                fulfil(batch, verdict)
                return
            if self.is_down:
                await trio.sleep(pause)
                pause = min(LAST_RETRY_PAUSE, pause * 2)
        down = "the key-value service is down"
        fulfil(batch, Failure(ResultCode.CLAIM_UNAVAILABLE, down, 1.0))

    def _is_wanted(self, waiting: Waiting) -> bool:
        """Whether anybody still waits for an intent.

        During an outage intents of hosts that die pile up here. Written after
        it, they would give calls to holders that are gone: callers would hear
        "unknown" of calls that nobody ever sent.
        """
        ballot = waiting.intent.ballot
        member = self._shared.membership.find(ballot.host)
        is_live = (
            member is not None
            and member.incarnation == ballot.incarnation
            and member.state in (MemberState.ALIVE, MemberState.LEAVING)
        )
        on_time = trio.current_time() < waiting.expires
        return on_time and (is_live or waiting.intent.release)

    async def _try(
        self, bucket: str, intents: list[ClaimIntent]
    ) -> list[Grant] | Failure | None:
        """Try one write; None to try again.

        A write whose answer was lost is settled here as well: the next try
        reads the value, finds the claims in it, and changes nothing. A delayed
        write that lands later meets a changed revision.
        """
        entry = await self._read(bucket)
        if entry is None:
            return None
        try:
            value = decode_bucket(entry.value)
        except msgspec.DecodeError:
            log.error("claims bucket {} is malformed", bucket)
            return Failure(ResultCode.CLAIM_UNAVAILABLE, "the bucket is malformed")
        merged, grants = merge(value, intents)
        if merged.claims == value.claims:
            return self._confirm(bucket, grants)
        encoded = encode_bucket(merged)
        if len(encoded) > VALUE_LIMIT:
            self._shared.metrics.add("claims_bucket_full")
            return Failure(ResultCode.CLAIM_UNAVAILABLE, "the bucket is full", 5.0)
        return await self._swap(bucket, encoded, entry.revision, grants)

    def _confirm(self, bucket: str, grants: list[Grant]) -> list[Grant] | None:
        """Trust a value only if it was read just now."""
        fresh = self._entries.pop(bucket, None) is None
        return grants if fresh else None

    async def _read(self, bucket: str) -> Entry | None:
        cached = self._entries.get(bucket)
        if cached is not None:
            return cached
        await self._budget.wait(self._count_writers())
        self._shared.metrics.add("key_value_calls", kind="claim_read")
        entry = await self._key_value.get(self.find_key(bucket))
        self._note_reachable(not isinstance(entry, Failure))
        return None if isinstance(entry, Failure) else entry

    async def _swap(
        self, bucket: str, value: bytes, revision: int, grants: list[Grant]
    ) -> list[Grant] | None:
        await self._budget.wait(self._count_writers())
        self._shared.metrics.add("key_value_calls", kind="claim_write")
        self._entries.pop(bucket, None)
        written = await self._key_value.compare_and_swap(
            self.find_key(bucket), value, revision
        )
        if isinstance(written, Failure):
            conflict = written.code is ResultCode.KEY_VALUE_CONFLICT
            self._note_reachable(conflict)
            self._shared.metrics.add("claim_writes_failed", code=written.code.name)
            return None
        self._note_reachable(True)
        self._entries[bucket] = Entry(written.key, value, written.revision)
        return grants

    def _count_writers(self) -> int:
        members = sum(1 for m in self._shared.membership.members() if m.accepts_work)
        return min(members, self._shared.settings.claim_buckets)

    def _note_reachable(self, reachable: bool) -> None:
        if reachable == self.is_down:
            self.is_down = not reachable
            state = "down" if self.is_down else "reachable"
            log.info("key-value service is {} for claims", state)

    async def clean(self) -> None:
        """Delete windows whose keys are refused everywhere as too old.

        A window goes after the retention, the clocks' skew twice over and the
        longest wait for a claim, since `Claimer` grants nothing that late.
        """
        settings = self._shared.settings
        while True:
            await trio.sleep(settings.claim_window)
            now = self._shared.clock()
            keep = settings.retention + 4 * settings.clock_skew
            keep += settings.claim_timeout
            newest = int((now - keep) / settings.claim_window) - 1
            for window in (newest, newest - 1):
                for place in range(settings.claim_buckets):
                    await self._delete(f"{window}/{place}")
            self._entries = {
                name: entry
                for name, entry in self._entries.items()
                if int(name.split("/")[0]) > newest
            }

    async def _delete(self, bucket: str) -> None:
        if not has_duty(f"claims/{bucket}", self._shared.membership):
            return
        key = self.find_key(bucket)
        self._shared.metrics.add("key_value_calls", kind="claim_clean")
        entry = await self._key_value.get(key)
        if isinstance(entry, Failure) or entry.is_absent:
            return
        self._shared.metrics.add("key_value_calls", kind="claim_clean")
        await self._key_value.delete(key, entry.revision)

    def describe(self) -> dict[str, object]:
        """Return the state for a dump."""
        waiting = {name: len(batch) for name, batch in self._batches.items()}
        return {"is_down": self.is_down, "waiting": waiting}


def fulfil(batch: list[Waiting], verdict: list[Grant] | Failure) -> None:
    """Give each intent of a batch its verdict."""
    for place, waiting in enumerate(batch):
        own = verdict if isinstance(verdict, Failure) else verdict[place]
        waiting.promise.fulfil(own)
