"""Commits claims: batches the intents of a bucket into one compare-and-swap."""

from dataclasses import dataclass, field

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.membership.model import MemberState
from dewridge.membership.ranking import has_duty
from dewridge.providers.model import Entry, KeyValue
from dewridge.requests.claims import (
    MAX_BUCKET_BYTES,
    ClaimIntent,
    Grant,
    apply_intents,
    decode_bucket,
    encode_bucket,
    find_bucket,
)
from dewridge.requests.shared import Shared
from dewridge.sentinels import Failure
from dewridge.supervision.mailbox import Promise

MIN_RETRY_DELAY = 0.05
"""Seconds before the first retry while the key-value service is down. A longer delay
would extend the outage for callers, a shorter one would cause a burst of writes when
the service returns."""
MAX_RETRY_DELAY = 0.5
"""Seconds at which the exponential backoff of retries stops growing."""
CLAIM_WRITE_SHARE = 0.4
"""Fraction of the deployment's write rate that claims may use; operators' changes and
the deletion of expired windows need the rest. Of 200 writes per second, claims get 80;
at higher request rates each write carries several intents."""
MAX_WRITE_BURST = 5.0
"""Writes that may follow each other without delay after an idle period."""

CommitResult = Grant | Failure


@dataclass
class PendingIntent:
    """An intent that waits for the next write of its bucket.

    Attributes:
        expires: time on trio's clock after which the intent is not written.
    """

    intent: ClaimIntent
    expires: float
    promise: Promise[Grant] = field(default_factory=Promise)


class WriteBudget:
    """Limits this host's writes to its share of the deployment's write rate."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at = 0.0

    async def wait(self, writers: int) -> None:
        """Wait until the next write is allowed; `writers` hosts share the rate."""
        now = trio.current_time()
        interval = max(1, writers) / self._rate
        self._free_at = max(self._free_at, now - MAX_WRITE_BURST * interval) + interval
        await trio.sleep(max(0.0, self._free_at - now))


class Committer:
    """Writes claims to the buckets that this host is responsible for.

    It also writes other buckets, when their committer does not reply.

    Attributes:
        is_down: whether the last access to the key-value service failed.
    """

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
        self._budget = WriteBudget(writes_per_second * CLAIM_WRITE_SHARE)
        self._batches: dict[str, list[PendingIntent]] = {}
        self._entries: dict[str, Entry] = {}
        self._busy: set[str] = set()
        self.is_down = False

    def find_key(self, bucket: str) -> str:
        """Return the key under which a bucket's value is stored."""
        return self._prefix + bucket

    async def commit(self, intent: ClaimIntent, timeout: float) -> CommitResult:
        """Add an intent to the next write of its bucket, and wait for the result."""
        settings = self._shared.settings
        bucket = find_bucket(
            intent.request, settings.claim_window, settings.claim_buckets
        )
        pending = PendingIntent(intent, trio.current_time() + timeout)
        self._batches.setdefault(bucket, []).append(pending)
        if bucket not in self._busy:
            self._busy.add(bucket)
            self._shared.jobs.start(self._write_batches, bucket)
        timed_out = Failure(
            ResultCode.CLAIM_UNAVAILABLE, "the claim was not recorded in time", 1.0
        )
        return await pending.promise.wait(timeout, timed_out)

    async def _write_batches(self, bucket: str) -> None:
        try:
            while bucket in self._batches:
                await trio.sleep(self._shared.settings.claim_batch)
                batch = self._batches.pop(bucket)
                await self._write_batch(bucket, batch)
        finally:
            self._busy.discard(bucket)

    async def _write_batch(self, bucket: str, batch: list[PendingIntent]) -> None:
        limit = trio.current_time() + self._shared.settings.claim_timeout
        delay = MIN_RETRY_DELAY
        while trio.current_time() < limit:
            batch = [pending for pending in batch if self._is_current(pending)]
            if not batch:
                return
            result = await self._try_write(bucket, [p.intent for p in batch])
            if result is not None:
                resolve_batch(batch, result)
                return
            if self.is_down:
                await trio.sleep(delay)
                delay = min(MAX_RETRY_DELAY, delay * 2)
        reason = "the key-value service is down"
        resolve_batch(batch, Failure(ResultCode.CLAIM_UNAVAILABLE, reason, 1.0))

    def _is_current(self, pending: PendingIntent) -> bool:
        """Whether an intent has not expired and its host is still a live member.

        Releases are written even if their host is down. Claims of crashed hosts that
        accumulate during an outage must not be written after it: the claims would
        belong to departed holders, and callers would be sent "unknown" for requests
        that no host ever sent.
        """
        ballot = pending.intent.ballot
        member = self._shared.membership.find(ballot.host)
        is_live = (
            member is not None
            and member.incarnation == ballot.incarnation
            and member.state in (MemberState.ALIVE, MemberState.LEAVING)
        )
        is_on_time = trio.current_time() < pending.expires
        return is_on_time and (is_live or pending.intent.release)

    async def _try_write(
        self, bucket: str, intents: list[ClaimIntent]
    ) -> list[Grant] | Failure | None:
        """Attempt one write of a bucket.

        This also resolves a write whose reply was lost: the next attempt reads the
        value, finds the claims in it, and changes nothing. A delayed write that
        arrives later fails, because the revision has changed.

        Returns:
            The grants, a permanent Failure, or None if the write must be retried.
        """
        entry = await self._read(bucket)
        if entry is None:
            return None
        value = decode_bucket(entry.value)
        if isinstance(value, Failure):
            log.error("claims bucket {} is malformed: {}", bucket, value.reason)
            return Failure(ResultCode.CLAIM_UNAVAILABLE, "the bucket is malformed")
        merged, grants = apply_intents(value, intents)
        if merged.claims == value.claims:
            return self._confirm(bucket, grants)
        encoded = encode_bucket(merged)
        if len(encoded) > MAX_BUCKET_BYTES:
            self._shared.metrics.add("claims_bucket_full")
            return Failure(ResultCode.CLAIM_UNAVAILABLE, "the bucket is full", 5.0)
        return await self._swap(bucket, encoded, entry.revision, grants)

    def _confirm(self, bucket: str, grants: list[Grant]) -> list[Grant] | None:
        """Return the grants if the value was read just now, None if it was cached.

        A cached value is dropped, so that the next attempt reads a current one.
        """
        is_fresh = self._entries.pop(bucket, None) is None
        return grants if is_fresh else None

    async def _read(self, bucket: str) -> Entry | None:
        cached = self._entries.get(bucket)
        if cached is not None:
            return cached
        await self._budget.wait(self._count_writers())
        self._shared.metrics.add("key_value_calls", kind="claim_read")
        entry = await self._key_value.get(self.find_key(bucket))
        self._record_reachability(not isinstance(entry, Failure))
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
            is_conflict = written.code is ResultCode.KEY_VALUE_CONFLICT
            self._record_reachability(is_conflict)
            self._shared.metrics.add("claim_writes_failed", code=written.code.name)
            return None
        self._record_reachability(True)
        self._entries[bucket] = Entry(written.key, value, written.revision)
        return grants

    def _count_writers(self) -> int:
        members = sum(1 for m in self._shared.membership.members() if m.accepts_work)
        return min(members, self._shared.settings.claim_buckets)

    def _record_reachability(self, is_reachable: bool) -> None:
        if is_reachable == self.is_down:
            self.is_down = not is_reachable
            state = "down" if self.is_down else "reachable"
            log.info("key-value service is {} for claims", state)

    async def delete_expired_windows(self) -> None:
        """Delete windows whose request keys every host rejects as too old.

        A window is deleted once it is older than the sum of the retention time, four
        times the clock skew and the claim timeout. `Claimer` acquires no claim that
        late.
        """
        settings = self._shared.settings
        while True:
            await trio.sleep(settings.claim_window)
            now = self._shared.clock()
            max_age = settings.retention + 4 * settings.clock_skew
            max_age += settings.claim_timeout
            newest = int((now - max_age) / settings.claim_window) - 1
            for window in (newest, newest - 1):
                for index in range(settings.claim_buckets):
                    await self._delete_bucket(f"{window}/{index}")
            self._entries = {
                name: entry
                for name, entry in self._entries.items()
                if int(name.split("/")[0]) > newest
            }

    async def _delete_bucket(self, bucket: str) -> None:
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
        pending = {name: len(batch) for name, batch in self._batches.items()}
        return {"is_down": self.is_down, "waiting": pending}


def resolve_batch(batch: list[PendingIntent], results: list[Grant] | Failure) -> None:
    """Resolve the promise of each intent of a batch with its result."""
    for index, pending in enumerate(batch):
        result = results if isinstance(results, Failure) else results[index]
        pending.promise.fulfil(result)
